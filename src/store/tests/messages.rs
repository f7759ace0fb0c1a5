//! Messages: order keys, recovery of attempts, and resends.

use super::{begin_durably, begin_unrecorded, message, retain, MAX_BYTES};
use crate::api::Effect;
use crate::delivery::response::{DeadLetterReason, MessageState};
use crate::delivery::{EndpointId, Seq};
use crate::store::keyspace::MemoryKeyspace;
use crate::store::operations::{MessageDetails, Op, Reply, Resend, ResendDeadLetters};
use crate::store::tables::Tables;

/// A store in memory.
struct Store {
    keyspace: MemoryKeyspace,
    tables: Tables,
}

impl Store {
    fn new() -> Store {
        let mut keyspace = MemoryKeyspace::default();
        let (tables, _) = Tables::open(&mut keyspace, true, MAX_BYTES, 0).unwrap();
        Store { keyspace, tables }
    }

    fn apply(&mut self, op: Op) -> Reply {
        self.tables.apply(&mut self.keyspace, op).unwrap()
    }

    fn details(&mut self, seq: u64) -> MessageDetails {
        match self.apply(Op::GetMessage(Seq(seq), 1)) {
            Reply::Message(Some(details)) => *details,
            other => panic!("{other:?}"),
        }
    }

    fn resend(&mut self, acknowledged_by: Option<&str>) -> Reply {
        self.apply(Op::Resend(Resend {
            message: Seq(1),
            serial: 1,
            now: 70,
            acknowledged_by: acknowledged_by.map(str::to_owned),
        }))
    }
}

/// Retention returns the released message for the delivery scheduler. Purging an endpoint ends all
/// of its messages.
#[test]
fn expired_message_releases_next_of_order_key() {
    let mut store = Store::new();
    let messages = (1..=4).map(|seq| {
        let mut message = message(seq, 0, Effect::Idempotent, Some(7));
        message.0.created = seq * 100;
        message
    });
    store.apply(Op::Publish(messages.collect()));
    let Reply::Retained(result) = store.apply(retain(350, 100)) else {
        panic!()
    };
    assert_eq!(result.expired, [Seq(1), Seq(2)]);
    let released: Vec<Seq> = result.released.iter().map(|waiting| waiting.seq).collect();
    assert_eq!(released, [Seq(3)]);
    store.apply(Op::PurgeEndpoint(EndpointId(0), 10));
    let Reply::Stats(stats) = store.apply(Op::Stats) else {
        panic!()
    };
    assert_eq!((stats.waiting, stats.messages), (0, 4));
}

#[test]
fn non_idempotent_message_in_flight_needs_acknowledged_resend() {
    let mut store = Store::new();
    store.apply(Op::Publish(vec![
        message(1, 0, Effect::NonIdempotent, None),
        message(2, 0, Effect::Idempotent, None),
    ]));
    store.apply(begin_durably(Seq(1), 50));
    store.apply(begin_unrecorded(Seq(2), 50));

    let (tables, recovered) = Tables::open(&mut store.keyspace, true, MAX_BYTES, 60).unwrap();
    store.tables = tables;
    assert_eq!(
        (recovered.unknown_deliveries, recovered.endpoints),
        (1, vec![(EndpointId(0), 2)])
    );
    let unknown = store.details(1);
    assert_eq!(
        (unknown.record.state, unknown.attempts.len()),
        (MessageState::Dead(DeadLetterReason::Unknown), 1)
    );
    let idempotent = store.details(2);
    assert_eq!(
        (idempotent.record.state, idempotent.attempts.len()),
        (MessageState::Waiting, 0)
    );

    assert!(matches!(store.resend(None), Reply::ResendRejected(_)));
    let dead_letters = store.apply(Op::ResendDeadLetters(ResendDeadLetters {
        endpoint: EndpointId(0),
        serial: 1,
        since: 0,
        now: 70,
        limit: 10,
    }));
    assert!(matches!(dead_letters, Reply::Queued(queued) if queued.is_empty()));
    assert!(matches!(store.resend(Some("ops")), Reply::Queued(queued) if queued.len() == 1));
    let resent = store.details(1).record;
    assert_eq!(
        (resent.state, resent.acknowledged.as_deref()),
        (MessageState::Waiting, Some("ops"))
    );
    assert_eq!(
        store.apply(Op::GetMessage(Seq(1), 2)),
        Reply::Message(None),
        "another tenant's message"
    );
}
