//! Tests of the store: comparison with a model, faulty disks, recovery by effect, and checksums.

use super::operations::{
    AcceptCall, ApplyRetention, BeginAttempt, CompleteCall, FinishAttempt, Op,
};
use super::records::{CallRecord, IdentityDigest, MessageRecord};
use crate::api::{Effect, Micros};
use crate::delivery::response::MessageState;
use crate::delivery::{EndpointId, PendingMessage, Seq};

mod batches;
mod checksums;
mod faults;
mod messages;
mod model;
mod recovery;

const SECOND_US: Micros = 1_000_000;
const MAX_BYTES: u64 = 1 << 30;

fn call(seq: u64, effect: Effect) -> Box<CallRecord> {
    Box::new(CallRecord {
        seq: Seq(seq),
        tenant: "clinic".into(),
        serial: 1,
        webhook_id: format!("call-{seq}"),
        worker_id: format!("{seq:016x}"),
        class: "c".into(),
        effect,
        function: 7,
        expires: 100 * SECOND_US,
        work: None,
        memory_mb: 1.0,
        concurrency_per_copy: 1,
        load_time: None,
        body: b"trip".to_vec(),
        order: None,
        sent: None,
    })
}

fn identity(seq: u64) -> IdentityDigest {
    let mut identity = IdentityDigest::default();
    identity[..8].copy_from_slice(&seq.to_be_bytes());
    identity
}

fn message(
    seq: u64,
    endpoint: u64,
    effect: Effect,
    order: Option<u64>,
) -> (MessageRecord, Vec<u8>) {
    let waiting = PendingMessage {
        seq: Seq(seq),
        endpoint: EndpointId(endpoint),
        due: seq,
        effect,
        maybe_received_at: None,
        tries: 0,
        size: 4,
    };
    let record = MessageRecord {
        waiting,
        state: MessageState::Waiting,
        tenant: "clinic".into(),
        serial: 1,
        id: format!("msg_{seq}"),
        kind: "call.completed".into(),
        call: None,
        created: seq,
        order,
        acknowledged: None,
    };
    (record, b"body".to_vec())
}

fn accept(seq: u64, effect: Effect, valid_until: Micros) -> Op {
    Op::AcceptCall(AcceptCall {
        call: call(seq, effect),
        identity: identity(seq),
        valid_until,
    })
}

fn complete(call: u64, messages: Vec<(MessageRecord, Vec<u8>)>) -> Op {
    Op::CompleteCall(CompleteCall {
        call: Seq(call),
        outcome: "served".into(),
        messages,
    })
}

fn begin_durably(message: Seq, at: Micros) -> Op {
    Op::BeginAttempt(BeginAttempt {
        message,
        durable: true,
        at,
    })
}

fn begin_unrecorded(message: Seq, at: Micros) -> Op {
    Op::BeginAttempt(BeginAttempt {
        message,
        durable: false,
        at,
    })
}

fn finish(waiting: PendingMessage, state: MessageState) -> Op {
    Op::FinishAttempt(FinishAttempt {
        waiting: Box::new(waiting),
        state,
        attempt: None,
    })
}

/// Returns a retention pass that deletes records by age only.
fn retain(now: Micros, max_age: Micros) -> Op {
    Op::ApplyRetention(ApplyRetention {
        now,
        max_age,
        max_bytes: u64::MAX,
        limit: 1000,
    })
}
