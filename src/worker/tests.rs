//! Tests of the worker protocol without a socket: reply matching, malformed input and withdrawn exchanges.

use slotmap::SlotMap;

use super::connection::DUPLICATE_REPLY_WINDOW;
use super::*;
use crate::api::{CopyStart, FunctionId, LoadReport, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::AttemptKey;
use crate::net::{Buffer, Outbox};

const ID: &str = "9b1f03aa5c7e2d41";

struct Harness {
    connection: WorkerConnection,
    outbox: Outbox,
    input: Buffer,
    done: Vec<Completed>,
    keys: SlotMap<AttemptKey, ()>,
}

impl Harness {
    fn new() -> Harness {
        let connection = WorkerConnection::new(WorkerId(1), 0);
        let keys = SlotMap::with_key();
        Harness {
            connection,
            outbox: Outbox::default(),
            input: Buffer::default(),
            done: Vec::new(),
            keys,
        }
    }

    fn send_attempt(&mut self, id: &str) -> AttemptKey {
        let attempt = self.keys.insert(());
        let command = AttemptCommand {
            attempt,
            identity: id.into(),
            idempotency_key: None,
            class: "c",
            function: FunctionId(7),
            wait_ms: 9,
            body: b"x",
            run_at_most_once: true,
        };
        self.connection.send_attempt(&mut self.outbox, command);
        attempt
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<u64, RespError> {
        self.input.append(bytes);
        self.connection
            .read_replies(1, 1, &mut self.input, &mut self.done)
    }

    fn completions(&self) -> Vec<(CloseReason, SendProgress)> {
        self.done.iter().map(|d| (d.reason, d.progress)).collect()
    }
}

#[test]
fn late_reply_to_cancelled_attempt_matches_nothing() {
    let mut harness = Harness::new();
    let first = harness.send_attempt(ID);
    harness.outbox.drain();
    assert_eq!(
        harness
            .connection
            .cancel(&mut harness.outbox, Exchange::Attempt(first), 5, 100),
        SendProgress::Started
    );
    assert_eq!(
        harness.outbox.drain(),
        encode_array(&[b"halt", ID.as_bytes()])
    );
    assert!(
        !harness.connection.accepts(ID, 100),
        "a retry uses another connection"
    );
    assert!(harness.connection.accepts("9b1f03aa5c7e2d42", 100));
    assert_eq!(
        harness.receive(&encode_array(&[ID.as_bytes(), b"200", b"-", b"old"])),
        Ok(1)
    );
    assert!(
        harness.done.is_empty() && harness.connection.accepts(ID, 100),
        "the late reply frees the identity"
    );
}

#[test]
fn unsent_exchanges_are_withdrawn_silently() {
    let mut harness = Harness::new();
    let (first, _) = (
        harness.send_attempt(ID),
        harness.send_attempt("9b1f03aa5c7e2d42"),
    );
    assert_eq!(
        harness
            .connection
            .cancel(&mut harness.outbox, Exchange::Attempt(first), 5, 100),
        SendProgress::Unsent
    );
    assert!(harness.connection.accepts(ID, 100));
    let mut done = Vec::new();
    harness
        .connection
        .withdraw_unsent(&mut harness.outbox, &mut done);
    assert_eq!(
        (done.len(), done[0].reason, done[0].progress),
        (1, CloseReason::Withdrawn, SendProgress::Unsent)
    );
    assert_eq!(
        (harness.outbox.drain(), harness.connection.open()),
        (vec![], 0),
        "nothing is sent for withdrawn exchanges"
    );
}

#[test]
fn closed_connection_completes_exchanges_by_send_progress() {
    let mut harness = Harness::new();
    harness.send_attempt(ID);
    harness.outbox.drain();
    harness.send_attempt("9b1f03aa5c7e2d42");
    harness
        .connection
        .complete_all(&harness.outbox, CloseReason::Reset, &mut harness.done);
    assert_eq!(
        harness.completions(),
        vec![
            (CloseReason::Reset, SendProgress::Started),
            (CloseReason::Reset, SendProgress::Unsent)
        ]
    );
}

#[test]
fn reply_fields_are_read_completely() {
    let mut harness = Harness::new();
    harness.send_attempt(ID);
    let fields = b"remark=f,queue_fn=3,report=inflight:7;x0:0.5;x1:2;new:1,other=1";
    let bytes = encode_array(&[ID.as_bytes(), b"500", fields, b""]);
    for byte in &bytes {
        assert_eq!(harness.receive(&[*byte]), Ok(0));
    }
    let reply = &harness.done[0].reply;
    let report = LoadReport {
        in_flight: Some(7.0),
        pinned_memory: Some(0.5),
        active_loads: Some(2.0),
        ..LoadReport::default()
    };
    assert_eq!(
        (
            reply.copy_start,
            reply.function_in_flight,
            reply.load_report
        ),
        (Some(CopyStart::LoadFailed), 3, Some(report))
    );
}

#[test]
fn malformed_replies_return_named_errors() {
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
            Harness::new().receive(bytes).map_err(|e| e.to_string()),
            Err(error.into())
        );
    }
    let mut harness = Harness::new();
    harness.send_attempt(ID);
    assert!(harness
        .receive(&encode_array(&[ID.as_bytes(), b"teapot", b"-", b""]))
        .is_err());
    // Any one-byte corruption of a valid reply is parsed, left incomplete or rejected.
    let valid = encode_array(&[ID.as_bytes(), b"200", b"remark=w,queue_fn=1", b"body"]);
    for position in 0..valid.len() {
        for byte in [0, b'\r', b'\n', b'*', b'$', b'9', 0xff] {
            let mut corrupted = valid.clone();
            corrupted[position] = byte;
            let mut harness = Harness::new();
            harness.send_attempt(ID);
            let _ = harness.receive(&corrupted);
            assert!(harness.done.len() <= 1);
        }
    }
}

/// Guards calls that must run at most once: within a time window, one duplicate `404` is not taken for the reply to the
/// next attempt.
#[test]
fn duplicate_rejection_is_ignored_once() {
    let not_loaded = encode_array(&[ID.as_bytes(), b"404", b"-", b""]);
    let mut harness = Harness::new();
    harness.send_attempt(ID);
    assert_eq!(
        (harness.receive(&not_loaded), harness.done.len()),
        (Ok(0), 1)
    );
    harness.send_attempt(ID);
    assert_eq!(
        (harness.receive(&not_loaded), harness.done.len()),
        (Ok(1), 1),
        "it may be a duplicate of the first rejection"
    );
    assert_eq!(
        (harness.receive(&not_loaded), harness.done.len()),
        (Ok(0), 2),
        "a third rejection belongs to the second attempt"
    );
    harness.send_attempt(ID);
    assert_eq!(
        harness.receive(&encode_array(&[ID.as_bytes(), b"200", b"-", b""])),
        Ok(0)
    );
    assert_eq!(
        harness.completions().last(),
        Some(&(CloseReason::Served, SendProgress::Started)),
        "a reply that shows that the call ran is never ignored"
    );
    let mut later = Harness::new();
    later.send_attempt(ID);
    assert_eq!(later.receive(&not_loaded), Ok(0));
    later.send_attempt(ID);
    later.input.append(&not_loaded);
    assert_eq!(
        later.connection.read_replies(
            1 + DUPLICATE_REPLY_WINDOW,
            1 + DUPLICATE_REPLY_WINDOW,
            &mut later.input,
            &mut later.done
        ),
        Ok(0),
        "after the window, a rejection is not a duplicate"
    );
}

#[test]
fn started_exchanges_are_not_withdrawn() {
    let mut harness = Harness::new();
    let (first, second) = (
        harness.send_attempt(ID),
        harness.send_attempt("9b1f03aa5c7e2d42"),
    );
    assert!(harness
        .connection
        .withdraw(&mut harness.outbox, Exchange::Attempt(first)));
    assert!(
        !harness
            .connection
            .withdraw(&mut harness.outbox, Exchange::Attempt(first)),
        "the exchange has already been withdrawn"
    );
    harness.outbox.drain();
    assert!(!harness
        .connection
        .withdraw(&mut harness.outbox, Exchange::Attempt(second)));
    assert_eq!(
        (harness.connection.open(), harness.outbox.len()),
        (1, 0),
        "the exchange stays in flight, and nothing is sent"
    );
}
