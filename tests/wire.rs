//! Tests of the adapter process: frames laid out as in the byte examples of the wire format, and
//! malformed frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_molelug-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at a malformed frame, so a broken pipe is not a failure.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

fn frame(records: &[Vec<u8>], tail: &[u8], clock: f64) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend(((records.len() * 56 + tail.len()) as u32).to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(clock.to_le_bytes());
    for r in records {
        let mut r = r.clone();
        r.resize(56, 0);
        out.extend(r);
    }
    out.extend(tail);
    out
}

fn record(code: u8, instance: u16, fields: &[&[u8]]) -> Vec<u8> {
    let mut r = vec![code];
    r.extend(instance.to_le_bytes());
    fields.iter().for_each(|part| r.extend(*part));
    r
}

const SETTINGS: &str = "services.count=1\nservices.0.aimMs=1000.0\nservices.0.hardLimitMs=3000.0\n\
services.0.repeat=read_like\nfamilyInfo.onMiss=load\nfamilyInfo.mayLoad=true\ncaps.mostTries=4\n\
familyInfo.keepMs=9000.0\ngroupSize=1\ntickMs=4.0\nnonsense.key=1\nbroken line\n";

/// A frame that starts instance 3 and gives it a list of one worker.
fn start_frame() -> Vec<u8> {
    let entry: Vec<u8> = [
        &[7, 0x4a, 0x12, 3, 0, 0, 0, 0, 2][..],
        &1f32.to_le_bytes()[..],
        &0f64.to_le_bytes()[..],
    ]
    .concat();
    let mut tail = SETTINGS.as_bytes().to_vec();
    let at = tail.len() as u32;
    tail.extend(entry);
    let size = (SETTINGS.len() as u32).to_le_bytes();
    let start = record(8, 3, &[&9u64.to_le_bytes(), &0u32.to_le_bytes(), &size]);
    let list = record(
        3,
        3,
        &[
            &[2],
            &1u32.to_le_bytes(),
            &at.to_le_bytes(),
            &1u32.to_le_bytes(),
        ],
    );
    frame(&[start, list], &tail, 58_225.0)
}

fn request(instance: u16, id: u32) -> Vec<u8> {
    record(
        1,
        instance,
        &[
            &id.to_le_bytes(),
            &[0],
            &0u32.to_le_bytes(),
            &77u64.to_le_bytes(),
            &61_225f64.to_le_bytes(),
            &0f64.to_le_bytes(),
            &390f32.to_le_bytes(),
            &2f32.to_le_bytes(),
            &900f32.to_le_bytes(),
            &[0],
        ],
    )
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let out = run_adapter(&frame(&[], &[], 58_225.0));
    assert!(out.status.success());
    assert_eq!(out.stdout, vec![0; 8]);
}

#[test]
fn a_request_is_sent_as_the_byte_example_shows() {
    let mut input = start_frame();
    input.extend(frame(
        &[request(3, 0x5d3a_91c4), request(9, 1), record(5, 9, &[])],
        &[],
        58_226.0,
    ));
    let out = run_adapter(&input);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let first = u32::from_le_bytes(out.stdout[..4].try_into().unwrap()) as usize + 8;
    let reply = &out.stdout[first..];
    assert_eq!(reply[4], 1, "one action, as instance 9 is unknown");
    let mut expected = vec![65, 3, 0, 0xc4, 0x91, 0x3a, 0x5d, 7, 0x4a, 0x12, 3];
    expected.resize(24, 0);
    assert_eq!(reply[8..], expected[..]);
}

#[test]
fn a_kill_and_a_restart_may_share_a_batch() {
    let mut input = start_frame();
    input.extend(frame(&[record(5, 3, &[])], &[], 58_226.0));
    input.extend(start_frame());
    assert!(run_adapter(&input).status.success());
}

#[test]
fn malformed_frames_end_with_an_error_message() {
    let complete = start_frame();
    let mut cases = vec![complete[..9].to_vec(), complete[..40].to_vec()];
    for (code, fields) in [
        (99, vec![]),
        (3, vec![9]),
        (7, [vec![0; 10], vec![77, 0]].concat()),
    ] {
        cases.push(frame(&[record(code, 3, &[&fields])], &[], 1.0));
    }
    cases.push(frame(
        &[record(8, 3, &[&[0; 8], &[255; 4], &[1, 0, 0, 0]])],
        &[],
        1.0,
    ));
    let mut wrong_count = frame(&[], &[], 1.0);
    wrong_count[4] = 200;
    cases.push(wrong_count);
    for input in cases {
        let out = run_adapter(&input);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{error}");
        assert!(
            error.starts_with("molelug-simhost: ") && !error.contains("panicked"),
            "{error}"
        );
    }
}
