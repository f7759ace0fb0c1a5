//! Messages: publishing, resending and deletion.

use super::queries::{list_messages, read_message, write_message};
use super::Tables;
use crate::api::Effect;
use crate::delivery::response::{DeadLetterReason, MessageState};
use crate::delivery::{EndpointId, PendingMessage, Seq};
use crate::store::error::StoreError;
use crate::store::keys::{decode, encode, key, sequence_key, waiting_key};
use crate::store::keyspace::{Keyspace, ScanOrder, Table};
use crate::store::operations::{
    Filter, FinishAttempt, PurgeResult, Reply, Resend, ResendDeadLetters,
};
use crate::store::records::MessageRecord;
use crate::store::shards;

/// Adds a message to the messages that wait for an attempt by this gateway.
pub(super) fn enqueue(
    keyspace: &mut dyn Keyspace,
    waiting: &PendingMessage,
) -> Result<(), StoreError> {
    keyspace
        .put(Table::Waiting, &waiting_key(waiting), &encode(waiting)?)
        .map(drop)
}

impl Tables {
    /// Persists messages with their bodies. A message waits for an attempt, unless an earlier
    /// message of its order key is unfinished.
    pub(super) fn publish(
        &mut self,
        keyspace: &mut dyn Keyspace,
        messages: Vec<(MessageRecord, Vec<u8>)>,
    ) -> Result<Reply, StoreError> {
        let mut queued = Vec::new();
        for (mut message, body) in messages {
            let seq = message.waiting.seq;
            self.observe_sequence_number(seq);
            queue_in_order(keyspace, &mut message)?;
            if message.state == MessageState::Waiting && shards::is_local_or_primary(keyspace, seq)
            {
                enqueue(keyspace, &message.waiting)?;
                queued.push(message.waiting);
            }
            self.header.stats.messages += 1;
            self.header.stats.waiting += 1;
            self.header.stats.bytes += body.len() as u64;
            keyspace.put(Table::Bodies, &sequence_key(seq), &body)?;
            keyspace.put(Table::MessagesByTenant, &key(&[message.serial, seq.0]), &[])?;
            write_message(keyspace, seq, &message)?;
        }
        Ok(Reply::Queued(queued))
    }

    /// Ends up to `limit` waiting messages of a removed endpoint.
    pub(super) fn purge_endpoint(
        &mut self,
        keyspace: &mut dyn Keyspace,
        endpoint: EndpointId,
        limit: usize,
    ) -> Result<Reply, StoreError> {
        let from = key(&[endpoint.0]);
        let to = key(&[endpoint.0, u64::MAX, u64::MAX]);
        let rows = keyspace.scan(Table::Waiting, &from, &to, limit, ScanOrder::Ascending)?;
        let mut ended = 0;
        for (row_key, value) in &rows {
            let waiting: PendingMessage = decode(value, "what waits")?;
            let started = keyspace.get(Table::StartedAttempts, &sequence_key(waiting.seq))?;
            if started.is_some() {
                // The end of the attempt, or recovery after a crash, sets the message's state.
                keyspace.remove(Table::Waiting, row_key)?;
                continue;
            }
            // Ending a message releases the next one of its order key, which has the same endpoint.
            let mut removed = vec![waiting];
            while let Some(waiting) = removed.pop() {
                ended += 1;
                let finish = FinishAttempt {
                    waiting: Box::new(waiting),
                    state: MessageState::Dead(DeadLetterReason::Gone),
                    attempt: None,
                };
                removed.extend(self.finish_attempt(keyspace, finish)?);
            }
        }
        Ok(Reply::Purged(PurgeResult {
            ended,
            more: rows.len() == limit,
        }))
    }

    /// Changes a finished message to waiting. If the message may have arrived and is not
    /// idempotent, an operator has to acknowledge the resend.
    pub(super) fn resend(
        &mut self,
        keyspace: &mut dyn Keyspace,
        resend: Resend,
    ) -> Result<Reply, StoreError> {
        let message = read_message(keyspace, resend.message)?
            .filter(|message| message.serial == resend.serial);
        let Some(mut message) = message else {
            return Ok(Reply::ResendRejected("no such message"));
        };
        if !message.state.is_over() {
            return Ok(Reply::ResendRejected("it still waits"));
        }
        let may_have_arrived =
            message.state == MessageState::Delivered || message.waiting.maybe_received_at.is_some();
        if message.waiting.effect != Effect::Idempotent && may_have_arrived {
            if resend.acknowledged_by.is_none() {
                return Ok(Reply::ResendRejected(
                    "it may have arrived, and its class forbids to send it twice",
                ));
            }
            message.acknowledged = resend.acknowledged_by;
            message.waiting.maybe_received_at = None;
        }
        message.waiting.tries = 0;
        message.waiting.due = resend.now;
        message.state = MessageState::Waiting;
        message.order = None;
        self.header.stats.waiting += 1;
        enqueue(keyspace, &message.waiting)?;
        write_message(keyspace, resend.message, &message)?;
        Ok(Reply::Queued(vec![message.waiting]))
    }

    /// Changes an endpoint's dead letters to waiting, except those that need an acknowledgement.
    pub(super) fn resend_dead_letters(
        &mut self,
        keyspace: &mut dyn Keyspace,
        request: ResendDeadLetters,
    ) -> Result<Reply, StoreError> {
        let filter = Filter {
            serial: request.serial,
            endpoint: Some(request.endpoint),
            since: Some(request.since),
            limit: request.limit,
            ..Filter::default()
        };
        let dead_letters = list_messages(keyspace, &filter, |message| {
            matches!(message.state, MessageState::Dead(_))
        })?;
        let mut queued = Vec::new();
        for message in dead_letters {
            let resend = Resend {
                message: message.waiting.seq,
                serial: request.serial,
                now: request.now,
                acknowledged_by: None,
            };
            if let Reply::Queued(waiting) = self.resend(keyspace, resend)? {
                queued.extend(waiting);
            }
        }
        Ok(Reply::Queued(queued))
    }

    /// Deletes a message with its body and attempts.
    pub(super) fn delete_message(
        &mut self,
        keyspace: &mut dyn Keyspace,
        seq: Seq,
        message: &MessageRecord,
    ) -> Result<(), StoreError> {
        let body = keyspace.remove(Table::Bodies, &sequence_key(seq))?;
        keyspace.remove(Table::Messages, &sequence_key(seq))?;
        keyspace.remove(Table::MessagesByTenant, &key(&[message.serial, seq.0]))?;
        let (from, to) = (sequence_key(seq), key(&[seq.0, u64::MAX]));
        for (row_key, _) in keyspace.scan_all(Table::Attempts, &from, &to)? {
            keyspace.remove(Table::Attempts, &row_key)?;
        }
        let body_bytes = body.map_or(0, |body| body.len() as u64);
        let stats = &mut self.header.stats;
        stats.messages = stats.messages.saturating_sub(1);
        stats.bytes = stats.bytes.saturating_sub(body_bytes);
        Ok(())
    }
}

/// Makes a message the head of its order key, or queues it behind the existing head.
fn queue_in_order(
    keyspace: &mut dyn Keyspace,
    message: &mut MessageRecord,
) -> Result<(), StoreError> {
    let Some(order) = message.order else {
        return Ok(());
    };
    let (endpoint, seq) = (message.waiting.endpoint.0, message.waiting.seq);
    let head_key = key(&[endpoint, order]);
    if keyspace.get(Table::OrderHeads, &head_key)?.is_some() {
        message.state = MessageState::Blocked;
        keyspace.put(Table::OrderQueue, &key(&[endpoint, order, seq.0]), &[])?;
    } else {
        keyspace.put(Table::OrderHeads, &head_key, &sequence_key(seq))?;
    }
    Ok(())
}
