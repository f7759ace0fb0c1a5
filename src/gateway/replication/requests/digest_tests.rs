//! Guards the encoding of requests to a shard's primary against their recorded bytes.
//!
//! See `tests/wire_formats.rs`; `UPDATE_FIXTURES=1` writes the file again.

use super::PrimaryRequest;
use crate::api::{Effect, IdempotencyScope};
use crate::delivery::Seq;
use crate::fixtures::check_lines;
use crate::hex::hex_line;
use crate::store::records::{CallRecord, CallState};

fn call() -> CallRecord {
    CallRecord {
        seq: Seq::of_shard(9, 5, 301),
        tenant: "acme".into(),
        serial: 12,
        webhook_id: "msg_1".into(),
        worker_id: "9b1f03aa5c7e2d41".into(),
        class: "checkout".into(),
        effect: Effect::Keyed {
            scope: IdempotencyScope::Zone,
            window: 5_000_000,
        },
        function: 0x0123_4567_89ab_cdef,
        expires: 1_700_000_000_000_000,
        work: Some(20_000),
        memory_mb: 128.5,
        concurrency_per_copy: 2,
        load_time: None,
        body: b"input".to_vec(),
        order: Some("cart-7".into()),
        sent: Some(1_699_999_999_000_000),
    }
}

fn packed(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a value of fixed content can be packed")
}

#[test]
fn primary_requests_match_recorded_bytes() {
    let take = packed(&PrimaryRequest::AcceptCall {
        call: Box::new(call()),
        identity: [0xcc; 32],
        valid_until: 1_700_000_300_000_000,
    });
    let state = packed(&PrimaryRequest::CallState(12, "msg_1".into()));
    check_lines(
        "wire/primary_questions.txt",
        &[hex_line("take", &take), hex_line("state", &state)],
    );
    match postcard::from_bytes(&take) {
        Ok(PrimaryRequest::AcceptCall {
            call: read,
            identity,
            valid_until,
        }) => {
            assert_eq!(
                (*read, identity, valid_until),
                (call(), [0xcc; 32], 1_700_000_300_000_000)
            );
        }
        other => panic!("read as {other:?}"),
    }
    match postcard::from_bytes(&state) {
        Ok(PrimaryRequest::CallState(serial, id)) => {
            assert_eq!((serial, id.as_str()), (12, "msg_1"))
        }
        other => panic!("read as {other:?}"),
    }
}

#[test]
fn call_state_response_matches_recorded_bytes() {
    let state = |outcome: Option<&str>| {
        Some(CallState {
            retention_start: 1_700_000_000_000_000,
            outcome: outcome.map(str::to_owned),
            shard: 9,
        })
    };
    let answers = [
        ("open", state(None)),
        ("served", state(Some("served"))),
        ("none", None),
    ];
    let lines: Vec<String> = answers
        .iter()
        .map(|(name, answer)| hex_line(name, &packed(answer)))
        .collect();
    check_lines("wire/call_states.txt", &lines);
    for (name, answer) in answers {
        let read: Option<CallState> =
            postcard::from_bytes(&packed(&answer)).expect("it can be read");
        assert_eq!(read, answer, "{name}");
    }
}
