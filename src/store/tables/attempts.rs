//! Delivery attempts: their start and end, recovery after a crash, and in-order delivery.

use super::messages::enqueue;
use super::queries::{read_message, write_message};
use super::Tables;
use crate::api::Micros;
use crate::delivery::response::MessageState;
use crate::delivery::{PendingMessage, Seq};
use crate::store::error::StoreError;
use crate::store::keys::{decode, encode, key, key_part, sequence_key, waiting_key, KEY_END};
use crate::store::keyspace::{Keyspace, ScanOrder, Table};
use crate::store::operations::{BeginAttempt, FinishAttempt, Reply};
use crate::store::records::{AttemptRecord, MessageRecord};
use crate::store::recovery::settle_attempt;
use crate::store::shards;

/// The maximum number of finished attempts stored for a message.
pub(super) const MAX_ATTEMPTS_PER_MESSAGE: usize = 100;

impl Tables {
    /// Starts an attempt, if the message still waits. A start that does not have to be durable is
    /// not replicated; only the primary may start such an attempt of a replicated message.
    pub(super) fn begin_attempt(
        &mut self,
        keyspace: &mut dyn Keyspace,
        begin: BeginAttempt,
    ) -> Result<Reply, StoreError> {
        let seq = begin.message;
        let message = read_message(keyspace, seq)?
            .filter(|message| message.state == MessageState::Waiting)
            .filter(|_| begin.durable || shards::is_local_or_primary(keyspace, seq));
        let Some(message) = message else {
            return Ok(Reply::Attempt(None));
        };
        if begin.durable {
            keyspace.put(
                Table::StartedAttempts,
                &sequence_key(seq),
                &encode(&begin.at)?,
            )?;
        }
        let body = keyspace
            .get(Table::Bodies, &sequence_key(seq))?
            .unwrap_or_default();
        Ok(Reply::Attempt(Some(Box::new((message, body)))))
    }

    /// Sets the state of a message. If the message is finished, returns the next message of its
    /// order key, which is now waiting.
    pub(super) fn finish_attempt(
        &mut self,
        keyspace: &mut dyn Keyspace,
        finish: FinishAttempt,
    ) -> Result<Vec<PendingMessage>, StoreError> {
        let (waiting, state) = (*finish.waiting, finish.state);
        let seq = waiting.seq;
        keyspace.remove(Table::StartedAttempts, &sequence_key(seq))?;
        // The message may have been deleted, or have ended for another reason, such as the removal
        // of its endpoint.
        let Some(mut message) = read_message(keyspace, seq)? else {
            return Ok(Vec::new());
        };
        let was_over = message.state.is_over();
        if was_over && state != MessageState::Delivered {
            return Ok(Vec::new());
        }
        keyspace.remove(Table::Waiting, &waiting_key(&message.waiting))?;
        if let Some(attempt) = finish.attempt {
            append_attempt(keyspace, seq, &attempt)?;
        }
        message.waiting = waiting;
        message.state = state;
        write_message(keyspace, seq, &message)?;
        if state == MessageState::Waiting {
            if shards::is_local_or_primary(keyspace, seq) {
                enqueue(keyspace, &waiting)?;
            }
            return Ok(Vec::new());
        }
        if !was_over {
            let stats = &mut self.header.stats;
            stats.waiting = stats.waiting.saturating_sub(1);
        }
        let released = release_next_in_order(keyspace, &message)?;
        if !self.history {
            self.delete_message(keyspace, seq, &message)?;
        }
        Ok(released)
    }

    /// Settles the attempts that the previous process had started, and returns the number of
    /// messages that ended because it is unknown whether they arrived. Attempts of replicated
    /// messages are settled by the primary of their shard.
    pub(super) fn settle_started_attempts(
        &mut self,
        keyspace: &mut dyn Keyspace,
        now: Micros,
        clock_regressed: bool,
    ) -> Result<u64, StoreError> {
        let mut unknown_deliveries = 0;
        for (row_key, value) in keyspace.scan_all(Table::StartedAttempts, &[], &KEY_END)? {
            let seq = Seq(key_part(&row_key, 0));
            if seq.shard() > 0 {
                continue;
            }
            let started_at: Micros = decode(&value, "an attempt's beginning")?;
            keyspace.remove(Table::StartedAttempts, &sequence_key(seq))?;
            let message = read_message(keyspace, seq)?
                .filter(|message| message.state == MessageState::Waiting);
            let Some(message) = message else {
                continue;
            };
            let mut waiting = message.waiting;
            let (state, attempt) = settle_attempt(&mut waiting, started_at, now, clock_regressed);
            let finish = FinishAttempt {
                waiting: Box::new(waiting),
                state,
                attempt: Some(attempt),
            };
            self.finish_attempt(keyspace, finish)?;
            unknown_deliveries += u64::from(state != MessageState::Waiting);
        }
        Ok(unknown_deliveries)
    }
}

/// Appends a finished attempt, and removes the oldest one if the maximum number is exceeded.
fn append_attempt(
    keyspace: &mut dyn Keyspace,
    seq: Seq,
    attempt: &AttemptRecord,
) -> Result<(), StoreError> {
    let (from, to) = (sequence_key(seq), key(&[seq.0, u64::MAX]));
    let last = keyspace
        .scan(Table::Attempts, &from, &to, 1, ScanOrder::Descending)?
        .pop();
    let counter = last.map_or(0, |(row_key, _)| key_part(&row_key, 1) + 1);
    if let Some(oldest) = counter.checked_sub(MAX_ATTEMPTS_PER_MESSAGE as u64) {
        keyspace.remove(Table::Attempts, &key(&[seq.0, oldest]))?;
    }
    keyspace
        .put(Table::Attempts, &key(&[seq.0, counter]), &encode(attempt)?)
        .map(drop)
}

/// Changes the next message of a finished message's order key to waiting, and returns it.
fn release_next_in_order(
    keyspace: &mut dyn Keyspace,
    finished: &MessageRecord,
) -> Result<Vec<PendingMessage>, StoreError> {
    let Some(order) = finished.order else {
        return Ok(Vec::new());
    };
    let (endpoint, finished_seq) = (finished.waiting.endpoint.0, finished.waiting.seq.0);
    let head_key = key(&[endpoint, order]);
    let head = keyspace.get(Table::OrderHeads, &head_key)?;
    if head.map(|value| key_part(&value, 0)) != Some(finished_seq) {
        keyspace.remove(Table::OrderQueue, &key(&[endpoint, order, finished_seq]))?;
        return Ok(Vec::new());
    }
    let to = key(&[endpoint, order, u64::MAX]);
    loop {
        let next = keyspace
            .scan(Table::OrderQueue, &head_key, &to, 1, ScanOrder::Ascending)?
            .pop();
        let Some((row_key, _)) = next else {
            keyspace.remove(Table::OrderHeads, &head_key)?;
            return Ok(Vec::new());
        };
        keyspace.remove(Table::OrderQueue, &row_key)?;
        let seq = Seq(key_part(&row_key, 2));
        let message =
            read_message(keyspace, seq)?.filter(|message| message.state == MessageState::Blocked);
        let Some(mut message) = message else {
            continue;
        };
        message.state = MessageState::Waiting;
        keyspace.put(Table::OrderHeads, &head_key, &sequence_key(seq))?;
        if shards::is_local_or_primary(keyspace, seq) {
            enqueue(keyspace, &message.waiting)?;
        }
        write_message(keyspace, seq, &message)?;
        return Ok(vec![message.waiting]);
    }
}
