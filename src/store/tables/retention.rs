//! Retention: the deletion of old records, and of finished messages while stored bodies exceed the
//! limit.

use super::queries::read_message;
use super::Tables;
use crate::api::Micros;
use crate::delivery::response::{DeadLetterReason, MessageState};
use crate::delivery::Seq;
use crate::store::error::StoreError;
use crate::store::keys::{key, key_part, KEY_END, KEY_PART_BYTES};
use crate::store::keyspace::{KeyValue, Keyspace, ScanOrder, Table};
use crate::store::operations::{ApplyRetention, FinishAttempt, Reply, RetentionResult};
use crate::store::shards;

impl Tables {
    /// Runs one retention pass. Waiting messages are not deleted to reduce the stored bytes;
    /// they end as expired once they exceed the maximum age.
    pub(super) fn apply_retention(
        &mut self,
        keyspace: &mut dyn Keyspace,
        retention: ApplyRetention,
    ) -> Result<Reply, StoreError> {
        let ApplyRetention { now, limit, .. } = retention;
        let mut result = RetentionResult::default();
        let more_messages = self.retain_messages(keyspace, retention, &mut result)?;
        let cutoff = now.saturating_sub(retention.max_age);
        let states = remove_older(
            keyspace,
            Table::CallStateAges,
            Table::CallStates,
            cutoff,
            limit,
        )?;
        let identities =
            remove_older(keyspace, Table::IdentityAges, Table::Identities, now, limit)?;
        for (age_key, _) in &identities {
            let expired_until = &mut self.header.identities_expired_until;
            *expired_until = key_part(age_key, 0).max(*expired_until);
        }
        result
            .released
            .retain(|waiting| !result.expired.contains(&waiting.seq));
        result.more = more_messages || states.len() == limit || identities.len() == limit;
        Ok(Reply::Retained(result))
    }

    /// Examines the next page of messages, and returns whether more messages may follow.
    fn retain_messages(
        &mut self,
        keyspace: &mut dyn Keyspace,
        retention: ApplyRetention,
        result: &mut RetentionResult,
    ) -> Result<bool, StoreError> {
        let limit = retention.limit;
        let from = key(&[self.retention_cursor]);
        let page = keyspace.scan(
            Table::Messages,
            &from,
            &KEY_END,
            limit,
            ScanOrder::Ascending,
        )?;
        let is_last_page = page.len() < limit;
        self.retention_cursor = match page.last() {
            Some((last_key, _)) if !is_last_page => key_part(last_key, 0) + 1,
            _ => 0,
        };
        for (row_key, _) in page {
            self.retain_message(keyspace, retention, &row_key, result)?;
        }
        Ok(!is_last_page)
    }

    fn retain_message(
        &mut self,
        keyspace: &mut dyn Keyspace,
        retention: ApplyRetention,
        row_key: &[u8],
        result: &mut RetentionResult,
    ) -> Result<(), StoreError> {
        let seq = Seq(key_part(row_key, 0));
        // Reads the message again, because an earlier message of the page may have released it.
        let Some(message) = read_message(keyspace, seq)? else {
            return Ok(());
        };
        let is_old = message.created.saturating_add(retention.max_age) < retention.now;
        if message.state.is_over() {
            if is_old || self.header.stats.bytes > retention.max_bytes {
                self.delete_message(keyspace, seq, &message)?;
            }
            return Ok(());
        }
        let may_be_in_flight = keyspace.get(Table::StartedAttempts, row_key)?.is_some()
            || !shards::is_local_or_primary(keyspace, seq);
        if is_old && !may_be_in_flight {
            let finish = FinishAttempt {
                waiting: Box::new(message.waiting),
                state: MessageState::Dead(DeadLetterReason::Expired),
                attempt: None,
            };
            result
                .released
                .extend(self.finish_attempt(keyspace, finish)?);
            result.expired.push(seq);
        }
        Ok(())
    }
}

/// Removes up to `limit` rows with times before `cutoff`, and returns their rows in `ages`.
fn remove_older(
    keyspace: &mut dyn Keyspace,
    ages: Table,
    rows: Table,
    cutoff: Micros,
    limit: usize,
) -> Result<Vec<KeyValue>, StoreError> {
    let removed = keyspace.scan(ages, &[], &key(&[cutoff]), limit, ScanOrder::Ascending)?;
    for (age_key, _) in &removed {
        keyspace.remove(ages, age_key)?;
        keyspace.remove(rows, &age_key[KEY_PART_BYTES..])?;
    }
    Ok(removed)
}
