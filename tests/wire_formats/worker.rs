//! Commands to workers, and their replies.

use std::rc::Rc;

use molelug::api::{CopyStart, FunctionId, LoadReport, WorkerId};
use molelug::completion::{CloseReason, SendProgress};
use molelug::core::{AttemptKey, HealthCheckKey, LoadOrderKey};
use molelug::net::{Buffer, Outbox};
use molelug::worker::{
    encode_array, parse_array, AttemptCommand, Completed, Exchange, WorkerConnection,
};
use slotmap::KeyData;

use crate::fixtures::check_lines;
use crate::hex::hex_line;

const IDENTITY: &str = "9b1f03aa5c7e2d41";
const FUNCTION: FunctionId = FunctionId(0x00ab_cdef_0123_4567);
/// Slot map keys in their integer form.
const ATTEMPT: u64 = 0x1_0000_0002;
const ORDER: u64 = 0x3_0000_0007;
const HEALTH_CHECK: u64 = 0x5_0000_0009;

/// Opens a connection with an attempt, a load order and a health check in flight. Returns it with
/// the bytes of each command.
fn busy_connection() -> (WorkerConnection, Vec<(&'static str, Vec<u8>)>) {
    let mut connection = WorkerConnection::new(WorkerId(1), 0);
    let mut outbox = Outbox::default();
    let go = AttemptCommand {
        attempt: AttemptKey::from(KeyData::from_ffi(ATTEMPT)),
        identity: Rc::from(IDENTITY),
        idempotency_key: None,
        class: "checkout",
        function: FUNCTION,
        wait_ms: 2500,
        body: b"{\"amount\":12}\r\n\x00\xff",
        run_at_most_once: true,
    };
    connection.send_attempt(&mut outbox, go);
    let call = outbox.drain();
    connection.send_load(
        &mut outbox,
        LoadOrderKey::from(KeyData::from_ffi(ORDER)),
        FUNCTION,
        2,
    );
    let load = outbox.drain();
    connection.send_health_check(
        &mut outbox,
        HealthCheckKey::from(KeyData::from_ffi(HEALTH_CHECK)),
    );
    let probe = outbox.drain();
    connection.send_unload(&mut outbox, FUNCTION);
    let unload = outbox.drain();
    (
        connection,
        vec![
            ("call", call),
            ("load", load),
            ("probe", probe),
            ("unload", unload),
        ],
    )
}

/// Splits an array into its strings with the gateway's parser.
fn strings(bytes: &[u8]) -> Vec<Vec<u8>> {
    let array = parse_array(bytes)
        .expect("it can be read")
        .expect("it is whole");
    assert_eq!(array.size_bytes, bytes.len());
    array.strings.into_iter().map(<[u8]>::to_vec).collect()
}

fn read_reply(connection: &mut WorkerConnection, answer: &[&[u8]]) -> Completed {
    let (mut input, mut done) = (Buffer::default(), Vec::new());
    input.append(&encode_array(answer));
    assert_eq!(connection.read_replies(1, 1, &mut input, &mut done), Ok(0));
    done.pop().expect("it matches something open")
}

#[test]
fn worker_commands_match_their_recorded_bytes() {
    let (mut connection, mut commands) = busy_connection();
    let mut outbox = Outbox::default();
    let attempt = Exchange::Attempt(AttemptKey::from(KeyData::from_ffi(ATTEMPT)));
    // The bytes of the attempt have been sent, so the worker receives a cancel command.
    assert_eq!(
        connection.cancel(&mut outbox, attempt, 5, 100),
        SendProgress::Started
    );
    commands.push(("cancel", outbox.drain()));
    for (name, bytes) in &commands {
        assert_eq!(
            encode_array(&strings(bytes).iter().map(Vec::as_slice).collect::<Vec<_>>()),
            *bytes,
            "{name}"
        );
    }
    let lines: Vec<String> = commands
        .iter()
        .map(|(name, bytes)| hex_line(name, bytes))
        .collect();
    check_lines("wire/worker_commands.txt", &lines);
}

#[test]
fn worker_commands_keep_their_strings() {
    let (_, commands) = busy_connection();
    let text = |bytes: &Vec<u8>| {
        let words = strings(bytes);
        words
            .iter()
            .map(|w| String::from_utf8_lossy(w).into_owned())
            .collect::<Vec<_>>()
    };
    let all: Vec<Vec<String>> = commands.iter().map(|(_, bytes)| text(bytes)).collect();
    assert_eq!(
        all[0][..3],
        [
            "go",
            IDENTITY,
            "profile=checkout,thing=00abcdef01234567,max=2500"
        ]
    );
    assert_eq!(
        all[1],
        ["stage", "o300000007", "thing=00abcdef01234567,copies=2"]
    );
    assert_eq!(all[2], ["stat", "p500000009"]);
    assert_eq!(all[3], ["purge", "00abcdef01234567"]);
}

#[test]
fn served_reply_contains_every_field() {
    let (mut connection, _) = busy_connection();
    let fields = b"remark=w,queue_fn=3,report=q:1.5;rif:2;busy:0.25;x0:0.5;x1:4";
    let done = read_reply(
        &mut connection,
        &[IDENTITY.as_bytes(), b"200", fields, b"body"],
    );
    assert_eq!(
        done.exchange,
        Exchange::Attempt(AttemptKey::from(KeyData::from_ffi(ATTEMPT)))
    );
    assert_eq!(
        (done.reason, done.progress, done.copies),
        (CloseReason::Served, SendProgress::Started, 0)
    );
    assert_eq!(
        (done.reply.copy_start, done.reply.function_in_flight),
        (Some(CopyStart::Warm), 3)
    );
    assert_eq!(done.reply.body, b"body");
    let report = LoadReport {
        queued: Some(1.5),
        in_flight: Some(2.0),
        cpu_utilization: Some(0.25),
        pinned_memory: Some(0.5),
        active_loads: Some(4.0),
    };
    assert_eq!(done.reply.load_report, Some(report));
}

#[test]
fn reply_statuses_map_to_close_reasons() {
    let expected: [(&[u8], CloseReason); 5] = [
        (b"200", CloseReason::Served),
        (b"404", CloseReason::NotLoaded),
        (b"503", CloseReason::AtCapacity),
        (b"500", CloseReason::Failed),
        (b"504", CloseReason::Expired),
    ];
    for (word, reason) in expected {
        let (mut connection, _) = busy_connection();
        assert_eq!(
            read_reply(&mut connection, &[IDENTITY.as_bytes(), word]).reason,
            reason
        );
        assert_eq!(
            read_reply(&mut connection, &[b"o300000007", word, b"copies=2"]).copies,
            2
        );
    }
    for (word, reason) in [
        (&b"alive"[..], CloseReason::Served),
        (b"dead", CloseReason::Failed),
    ] {
        let (mut connection, _) = busy_connection();
        assert_eq!(
            read_reply(&mut connection, &[b"p500000009", word]).reason,
            reason
        );
    }
    let remarks = [
        ("w", Some(CopyStart::Warm)),
        ("c", Some(CopyStart::Triggered)),
        ("j", Some(CopyStart::Joined)),
        ("f", Some(CopyStart::LoadFailed)),
        ("z", None),
    ];
    for (remark, warmth) in remarks {
        let (mut connection, _) = busy_connection();
        let fields = format!("remark={remark}");
        assert_eq!(
            read_reply(
                &mut connection,
                &[IDENTITY.as_bytes(), b"200", fields.as_bytes()]
            )
            .reply
            .copy_start,
            warmth
        );
    }
}
