//! One store record of each variant as postcard, including the operations that replicas receive.

use molelug::api::{Effect, IdempotencyScope, Micros};
use molelug::delivery::response::{DeadLetterReason, MessageState};
use molelug::delivery::{EndpointId, PendingMessage, Seq};
use molelug::store::operations::{AcceptCall, CompleteCall, FinishAttempt, Op};
use molelug::store::records::{
    AttemptRecord, CallRecord, CallState, IdentityDigest, MessageRecord, StoreStats,
};
use molelug::store::replicated_op::ReplicatedOp;

use crate::pins::RecordedValues;

pub const SECOND: Micros = 1_000_000;

/// A call record with a distinct value in each field.
pub fn call(seq: Seq, effect: Effect) -> CallRecord {
    CallRecord {
        seq,
        tenant: "clinic".into(),
        serial: 21,
        webhook_id: format!("call-{:x}", seq.0),
        worker_id: format!("{:016x}", seq.0),
        class: "interactive".into(),
        effect,
        function: 1007,
        expires: 100 * SECOND,
        work: Some(250_000),
        memory_mb: 96.5,
        concurrency_per_copy: 3,
        load_time: Some(1_500_000),
        body: b"a call's body".to_vec(),
        order: Some("patient-9".into()),
        sent: None,
    }
}

/// The digest of a call's identity, with bytes that count up from `of`.
pub fn identity_digest(of: u8) -> IdentityDigest {
    std::array::from_fn(|at| of.wrapping_add(at as u8))
}

/// A message waiting for its first attempt, and its body.
pub fn message(seq: Seq, effect: Effect, order: Option<u64>) -> (MessageRecord, Vec<u8>) {
    let body = b"a message's body".to_vec();
    let waiting = PendingMessage {
        seq,
        endpoint: EndpointId(4004),
        due: 6 * SECOND,
        effect,
        maybe_received_at: None,
        tries: 0,
        size: body.len() as u32,
    };
    let record = MessageRecord {
        waiting,
        state: MessageState::Waiting,
        tenant: "clinic".into(),
        serial: 21,
        id: format!("msg_{:x}", seq.0),
        kind: "call.completed".into(),
        call: Some("call-1".into()),
        created: 5 * SECOND,
        order,
        acknowledged: None,
    };
    (record, body)
}

/// A finished attempt.
pub fn attempt() -> AttemptRecord {
    let ending = "status".into();
    AttemptRecord {
        at: 7 * SECOND,
        took: 30_000,
        ending,
        status: Some(503),
        may_have_arrived: true,
    }
}

fn states() -> [(&'static str, MessageState); 7] {
    [
        ("waiting", MessageState::Waiting),
        ("behind", MessageState::Blocked),
        ("delivered", MessageState::Delivered),
        (
            "dead, exhausted",
            MessageState::Dead(DeadLetterReason::Exhausted),
        ),
        (
            "dead, unknown",
            MessageState::Dead(DeadLetterReason::Unknown),
        ),
        ("dead, gone", MessageState::Dead(DeadLetterReason::Gone)),
        (
            "dead, expired",
            MessageState::Dead(DeadLetterReason::Expired),
        ),
    ]
}

#[test]
fn store_records_encode_as_before() {
    let mut recorded = RecordedValues::load("store-records.txt");
    let keyed = |group| Effect::Keyed {
        scope: group,
        window: 5 * SECOND,
    };
    recorded.postcard("call, safe", &call(Seq(1), Effect::Idempotent));
    recorded.postcard(
        "call, unsafe",
        &CallRecord {
            sent: Some(3 * SECOND),
            ..call(Seq(1), Effect::NonIdempotent)
        },
    );
    recorded.postcard(
        "call, keyed for all",
        &call(Seq(1), keyed(IdempotencyScope::All)),
    );
    recorded.postcard(
        "call, keyed in a zone",
        &call(Seq(1), keyed(IdempotencyScope::Zone)),
    );
    recorded.postcard(
        "call, keyed in a cell",
        &call(Seq(1), keyed(IdempotencyScope::Cell)),
    );
    let bare = CallRecord {
        work: None,
        load_time: None,
        order: None,
        ..call(Seq(1), Effect::Idempotent)
    };
    recorded.postcard("call without hints", &bare);
    for (name, state) in states() {
        let (message, _) = message(Seq(10), Effect::Idempotent, Some(7));
        recorded.postcard(
            &format!("message, {name}"),
            &MessageRecord { state, ..message },
        );
    }
    let (mut sent, _) = message(Seq(10), Effect::NonIdempotent, None);
    (sent.waiting.maybe_received_at, sent.waiting.tries) = (Some(4 * SECOND), 2);
    (sent.call, sent.acknowledged) = (None, Some("ops".into()));
    recorded.postcard("message sent again", &sent);
    recorded.postcard("attempt", &attempt());
    let failed = AttemptRecord {
        status: None,
        may_have_arrived: false,
        ..attempt()
    };
    recorded.postcard("attempt without status", &failed);
    let outcome = Some("served".to_owned());
    recorded.postcard(
        "call's state",
        &CallState {
            retention_start: 100 * SECOND,
            outcome,
            shard: 3,
        },
    );
    recorded.postcard(
        "open call's state",
        &CallState {
            retention_start: 100 * SECOND,
            outcome: None,
            shard: 0,
        },
    );
    recorded.postcard(
        "figures",
        &StoreStats {
            calls: 1,
            messages: 2,
            waiting: 3,
            bytes: 4,
        },
    );
    recorded.postcard("number of a shard", &Seq::of_shard(3, 7, 41));
    recorded.finish();
}

#[test]
fn shard_records_encode_as_before() {
    let seq = Seq::of_shard(3, 7, 41);
    let (record, body) = message(Seq::of_shard(3, 7, 141), Effect::NonIdempotent, Some(7));
    let waiting = Box::new(record.waiting);
    let records = [
        (
            "take",
            ReplicatedOp::AcceptCall(AcceptCall {
                call: Box::new(call(seq, Effect::NonIdempotent)),
                identity: identity_digest(1),
                valid_until: 50 * SECOND,
            }),
        ),
        ("untake", ReplicatedOp::RevokeCall(seq, identity_digest(1))),
        ("sent", ReplicatedOp::SetSent(seq, 3 * SECOND)),
        ("unsent", ReplicatedOp::ClearSent(seq)),
        (
            "answer",
            ReplicatedOp::CompleteCall(CompleteCall {
                call: seq,
                outcome: "served".into(),
                messages: vec![(record, body)],
            }),
        ),
        ("begin", ReplicatedOp::BeginAttempt(seq, 6 * SECOND)),
        (
            "ended",
            ReplicatedOp::FinishAttempt(FinishAttempt {
                waiting,
                state: MessageState::Dead(DeadLetterReason::Unknown),
                attempt: Some(attempt()),
            }),
        ),
    ];
    let mut recorded = RecordedValues::load("shard-records.txt");
    for (name, record) in &records {
        recorded.postcard(name, record);
        let op: Op = record.clone().into_op();
        assert_eq!(ReplicatedOp::from_op(&op).as_ref(), Some(record), "{name}");
        assert_eq!(op.shard(), Some(3), "{name}");
    }
    recorded.finish();
}
