//! Frames to and from a worker without a socket: identities, damage, and what is taken back.

use super::*;
use slotmap::SlotMap;

const ID: &str = "9b1f03aa5c7e2d41";

struct Rig {
    link: WorkerConnection,
    out: Outbox,
    input: Buffer,
    done: Vec<Completed>,
    keys: SlotMap<AttemptKey, ()>,
}

impl Rig {
    fn new() -> Rig {
        let link = WorkerConnection::new(WorkerId(1), 0);
        let keys = SlotMap::with_key();
        Rig {
            link,
            out: Outbox::default(),
            input: Buffer::default(),
            done: Vec::new(),
            keys,
        }
    }

    fn go(&mut self, id: &str) -> AttemptKey {
        let attempt = self.keys.insert(());
        let go = AttemptCommand {
            attempt,
            identity: id.into(),
            class: "c",
            function: FunctionId(7),
            wait_ms: 9,
            body: b"x",
            must_run_once: true,
        };
        self.link.send_attempt(&mut self.out, go);
        attempt
    }

    fn hear(&mut self, bytes: &[u8]) -> Result<u64, RespError> {
        self.input.append(bytes);
        self.link.read_replies(1, &mut self.input, &mut self.done)
    }

    fn ends(&self) -> Vec<(CloseReason, SendProgress)> {
        self.done.iter().map(|d| (d.reason, d.progress)).collect()
    }
}

#[test]
fn the_late_answer_of_a_given_up_attempt_is_nobodys_and_its_identity_waits() {
    let mut r = Rig::new();
    let first = r.go(ID);
    r.out.drain();
    assert_eq!(
        r.link.cancel(&mut r.out, Exchange::Attempt(first), 5, 100),
        SendProgress::Started
    );
    assert_eq!(r.out.drain(), encode_array(&[b"halt", ID.as_bytes()]));
    assert!(
        !r.link.accepts(ID, 100),
        "a resend goes on another connection"
    );
    assert!(r.link.accepts("9b1f03aa5c7e2d42", 100));
    assert_eq!(
        r.hear(&encode_array(&[ID.as_bytes(), b"200", b"-", b"old"])),
        Ok(1)
    );
    assert!(
        r.done.is_empty() && r.link.accepts(ID, 100),
        "it has come, so the identity is free again"
    );
}

#[test]
fn what_has_not_left_is_taken_back_whole_and_without_a_word() {
    let mut r = Rig::new();
    let (first, _) = (r.go(ID), r.go("9b1f03aa5c7e2d42"));
    assert_eq!(
        r.link.cancel(&mut r.out, Exchange::Attempt(first), 5, 100),
        SendProgress::Unsent
    );
    assert!(r.link.accepts(ID, 100));
    let mut done = Vec::new();
    r.link.withdraw_unsent(&mut r.out, &mut done);
    assert_eq!(
        (done.len(), done[0].reason, done[0].progress),
        (1, CloseReason::Withdrawn, SendProgress::Unsent)
    );
    assert_eq!(
        (r.out.drain(), r.link.open()),
        (vec![], 0),
        "a drained worker hears nothing more"
    );
}

#[test]
fn when_a_connection_ends_only_what_left_may_have_run() {
    let mut r = Rig::new();
    r.go(ID);
    r.out.drain();
    r.go("9b1f03aa5c7e2d42");
    r.link.complete_all(&r.out, CloseReason::Reset, &mut r.done);
    assert_eq!(
        r.ends(),
        vec![
            (CloseReason::Reset, SendProgress::Started),
            (CloseReason::Reset, SendProgress::Unsent)
        ]
    );
}

#[test]
fn an_answer_is_read_with_all_that_it_tells() {
    let mut r = Rig::new();
    r.go(ID);
    let fields = b"remark=f,queue_fn=3,report=inflight:7;x0:0.5;x1:2;new:1,other=1";
    let bytes = encode_array(&[ID.as_bytes(), b"500", fields, b""]);
    for b in &bytes {
        assert_eq!(r.hear(&[*b]), Ok(0));
    }
    let back = &r.done[0].reply;
    let report = LoadReport {
        in_flight: Some(7.0),
        pinned_memory: Some(0.5),
        active_loads: Some(2.0),
        ..LoadReport::default()
    };
    assert_eq!(
        (back.copy_start, back.function_in_flight, back.load_report),
        (Some(CopyStart::LoadFailed), 3, Some(report))
    );
}

#[test]
fn what_is_no_answer_is_told_clearly_and_never_panics() {
    for (bytes, error) in [
        (&b"+OK\r\n"[..], "expected an array"),
        (b"*2\r\n:1\r\n", "expected a bulk string"),
        (b"*99\r\n", "length '99' is not a number within bounds"),
        (
            b"*2\r\n$-1\r\n",
            "length '-1' is not a number within bounds",
        ),
        (b"*2\r\n$2\r\nabXX", "expected the end of a bulk string"),
        (b"*1\r\n$1\r\na\r\n", "an answer of 1 words"),
    ] {
        assert_eq!(
            Rig::new().hear(bytes).map_err(|e| e.to_string()),
            Err(error.into())
        );
    }
    let mut r = Rig::new();
    r.go(ID);
    assert!(r
        .hear(&encode_array(&[ID.as_bytes(), b"teapot", b"-", b""]))
        .is_err());
    // Every damage of one byte to a good answer is read, waited on or refused.
    let good = encode_array(&[ID.as_bytes(), b"200", b"remark=w,queue_fn=1", b"body"]);
    for at in 0..good.len() {
        for byte in [0, b'\r', b'\n', b'*', b'$', b'9', 0xff] {
            let mut bad = good.clone();
            bad[at] = byte;
            let mut r = Rig::new();
            r.go(ID);
            let _ = r.hear(&bad);
            assert!(r.done.len() <= 1);
        }
    }
}

/// Guards calls that must not run twice: a doubled 'missed' is not the answer to the next attempt, once and for a while.
#[test]
fn a_second_answer_that_turns_an_identity_away_is_passed_over_once() {
    let missed = encode_array(&[ID.as_bytes(), b"404", b"-", b""]);
    let mut r = Rig::new();
    r.go(ID);
    assert_eq!((r.hear(&missed), r.done.len()), (Ok(0), 1));
    r.go(ID);
    assert_eq!(
        (r.hear(&missed), r.done.len()),
        (Ok(1), 1),
        "it may be the first one's"
    );
    assert_eq!(
        (r.hear(&missed), r.done.len()),
        (Ok(0), 2),
        "a third is its own"
    );
    r.go(ID);
    assert_eq!(
        r.hear(&encode_array(&[ID.as_bytes(), b"200", b"-", b""])),
        Ok(0)
    );
    assert_eq!(
        r.ends().last(),
        Some(&(CloseReason::Served, SendProgress::Started)),
        "what says that it ran counts at once"
    );
    let mut later = Rig::new();
    later.go(ID);
    assert_eq!(later.hear(&missed), Ok(0));
    later.go(ID);
    later.input.append(&missed);
    assert_eq!(
        later.link.read_replies(
            1 + DUPLICATE_REPLY_WINDOW,
            &mut later.input,
            &mut later.done
        ),
        Ok(0),
        "not for ever"
    );
}

#[test]
fn only_what_has_not_begun_to_leave_is_taken_back() {
    let mut r = Rig::new();
    let (first, second) = (r.go(ID), r.go("9b1f03aa5c7e2d42"));
    assert!(r.link.withdraw(&mut r.out, Exchange::Attempt(first)));
    assert!(
        !r.link.withdraw(&mut r.out, Exchange::Attempt(first)),
        "it is not there any more"
    );
    r.out.drain();
    assert!(!r.link.withdraw(&mut r.out, Exchange::Attempt(second)));
    assert_eq!(
        (r.link.open(), r.out.len()),
        (1, 0),
        "it goes on, and the worker hears nothing"
    );
}
