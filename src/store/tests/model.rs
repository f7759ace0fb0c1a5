//! Comparison of the store with a model: calls complete with a message, and messages are delivered
//! or expire, with restarts in between.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::{
    accept, begin_durably, begin_unrecorded, complete, finish, message, retain, MAX_BYTES,
};
use crate::api::{Effect, Micros};
use crate::delivery::response::{DeadLetterReason, MessageState};
use crate::delivery::{EndpointId, PendingMessage, Seq};
use crate::store::keyspace::MemoryKeyspace;
use crate::store::operations::{Op, Reply};
use crate::store::tables::Tables;

/// The size in bytes of each call's body and each message's body.
const BODY_BYTES: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Accept { idempotent: bool },
    Complete { index: usize, order: Option<u64> },
    FinishAttempt { index: usize, outcome: u8 },
    Restart,
    Retain { max_age: Micros },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(|idempotent| Step::Accept { idempotent }),
        4 => (any::<usize>(), prop::option::of(0u64..3))
            .prop_map(|(index, order)| Step::Complete { index, order }),
        6 => (any::<usize>(), 0u8..5)
            .prop_map(|(index, outcome)| Step::FinishAttempt { index, outcome }),
        1 => Just(Step::Restart),
        1 => (0u64..2000).prop_map(|max_age| Step::Retain { max_age }),
    ]
}

/// A message of the model whose delivery is not over.
#[derive(Clone, Copy, Debug)]
struct ModelMessage {
    order: Option<u64>,
}

/// The store in memory, and its expected content.
struct Harness {
    keyspace: MemoryKeyspace,
    tables: Tables,
    now: Micros,
    last_sequence_number: u64,
    calls: BTreeMap<u64, Effect>,
    pending: BTreeMap<u64, ModelMessage>,
    finished: u64,
    /// The last finished message of each order key.
    last_of_key: BTreeMap<u64, u64>,
}

impl Harness {
    fn new() -> Harness {
        let mut keyspace = MemoryKeyspace::default();
        let (tables, _) = Tables::open(&mut keyspace, true, MAX_BYTES, 0).unwrap();
        Harness {
            keyspace,
            tables,
            now: 1000,
            last_sequence_number: 0,
            calls: BTreeMap::new(),
            pending: BTreeMap::new(),
            finished: 0,
            last_of_key: BTreeMap::new(),
        }
    }

    fn apply(&mut self, op: Op) -> Reply {
        self.tables.apply(&mut self.keyspace, op).unwrap()
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        self.now += 1;
        match *step {
            Step::Accept { idempotent } => self.accept(idempotent),
            Step::Complete { index, order } => self.complete(index, order),
            Step::FinishAttempt { index, outcome } => self.finish_attempt(index, outcome)?,
            Step::Restart => self.restart()?,
            Step::Retain { max_age } => self.retain(max_age)?,
        }
        self.check_stats()
    }

    fn accept(&mut self, idempotent: bool) {
        self.last_sequence_number += 1;
        let seq = self.last_sequence_number;
        let effect = if idempotent {
            Effect::Idempotent
        } else {
            Effect::NonIdempotent
        };
        self.apply(accept(seq, effect, self.now + 300));
        self.calls.insert(seq, effect);
    }

    fn complete(&mut self, index: usize, order: Option<u64>) {
        if self.calls.is_empty() {
            return;
        }
        let call = *self.calls.keys().nth(index % self.calls.len()).unwrap();
        let effect = self.calls.remove(&call).unwrap();
        self.last_sequence_number += 1;
        let seq = self.last_sequence_number;
        let mut message = message(seq, 0, effect, order);
        message.0.created = self.now;
        self.pending.insert(seq, ModelMessage { order });
        self.apply(complete(call, vec![message]));
    }

    /// Returns the messages that may be sent: those without an order key, and the oldest of each
    /// order key.
    fn deliverable(&self) -> Vec<u64> {
        let is_oldest = |seq: u64, message: &ModelMessage| {
            let oldest = self
                .pending
                .iter()
                .find(|(_, other)| other.order == message.order);
            message.order.is_none() || oldest.is_some_and(|(oldest, _)| *oldest == seq)
        };
        self.pending
            .iter()
            .filter(|(seq, message)| is_oldest(**seq, message))
            .map(|(seq, _)| *seq)
            .collect()
    }

    fn finish_attempt(&mut self, index: usize, outcome: u8) -> Result<(), TestCaseError> {
        let Reply::Due(due, _) = self.apply(Op::FetchDue(EndpointId(0), 1000)) else {
            panic!()
        };
        let mut fetched: Vec<u64> = due.iter().map(|waiting| waiting.seq.0).collect();
        fetched.sort();
        prop_assert_eq!(&fetched, &self.deliverable());
        if due.is_empty() {
            return Ok(());
        }
        let mut waiting = due[index % due.len()];
        self.begin_attempt(&waiting);
        waiting.tries += 1;
        let state = match outcome {
            0 => {
                waiting.due = self.now + 5;
                MessageState::Waiting
            }
            1 => MessageState::Dead(DeadLetterReason::Exhausted),
            _ => MessageState::Delivered,
        };
        self.apply(finish(waiting, state));
        if state != MessageState::Waiting {
            let previous = self.count_finished(waiting.seq);
            prop_assert!(previous < Some(waiting.seq.0), "out of order");
        }
        Ok(())
    }

    fn begin_attempt(&mut self, waiting: &PendingMessage) {
        let begin = if waiting.effect == Effect::Idempotent {
            begin_unrecorded(waiting.seq, self.now)
        } else {
            begin_durably(waiting.seq, self.now)
        };
        self.apply(begin);
    }

    /// Marks a message as finished, and returns the previous finished message of its order key.
    fn count_finished(&mut self, seq: Seq) -> Option<u64> {
        let message = self.pending.remove(&seq.0).unwrap();
        self.finished += 1;
        let order = message.order?;
        self.last_of_key.insert(order, seq.0)
    }

    fn restart(&mut self) -> Result<(), TestCaseError> {
        self.tables.finish(&mut self.keyspace, self.now).unwrap();
        let (tables, recovered) =
            Tables::open(&mut self.keyspace, true, MAX_BYTES, self.now).unwrap();
        self.tables = tables;
        let calls: Vec<u64> = recovered.calls.iter().map(|call| call.seq.0).collect();
        prop_assert_eq!(calls, self.calls.keys().copied().collect::<Vec<_>>());
        prop_assert_eq!(recovered.last_sequence_number, self.last_sequence_number);
        prop_assert_eq!(
            (recovered.unknown_deliveries, recovered.clock_regressed),
            (0, false)
        );
        Ok(())
    }

    fn retain(&mut self, max_age: Micros) -> Result<(), TestCaseError> {
        let Reply::Retained(result) = self.apply(retain(self.now, max_age)) else {
            panic!()
        };
        let all_pending = result
            .released
            .iter()
            .all(|waiting| self.pending.contains_key(&waiting.seq.0));
        prop_assert!(all_pending);
        for seq in result.expired {
            self.count_finished(seq);
        }
        Ok(())
    }

    fn check_stats(&mut self) -> Result<(), TestCaseError> {
        let Reply::Stats(stats) = self.apply(Op::Stats) else {
            panic!()
        };
        let (calls, pending) = (self.calls.len() as u64, self.pending.len() as u64);
        prop_assert_eq!((stats.calls, stats.waiting), (calls, pending));
        let max_messages = stats.waiting + self.finished;
        prop_assert!(stats.messages >= stats.waiting && stats.messages <= max_messages);
        prop_assert_eq!(stats.bytes, BODY_BYTES * (stats.messages + stats.calls));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// No call or message is lost or finished twice, messages of one order key are delivered in
    /// order, and the counts are correct.
    #[test]
    fn random_steps_lose_and_repeat_nothing(steps in prop::collection::vec(any_step(), 1..120)) {
        let mut harness = Harness::new();
        for step in &steps {
            harness.run(step)?;
        }
    }
}
