//! Calls: acceptance, the send time of the first attempt, and completion.

use super::Tables;
use crate::api::Micros;
use crate::delivery::Seq;
use crate::store::error::StoreError;
use crate::store::keys::{
    age_key, call_key, decode, decode_call_state, encode, sequence_key, IdentityEntry,
};
use crate::store::keyspace::{Keyspace, Table};
use crate::store::operations::{AcceptCall, CompleteCall, Reply};
use crate::store::records::{CallRecord, CallState, IdentityDigest};

impl Tables {
    /// Persists a call, its identity and its state.
    pub(super) fn accept_call(
        &mut self,
        keyspace: &mut dyn Keyspace,
        accept: &AcceptCall,
    ) -> Result<Reply, StoreError> {
        let call = &accept.call;
        let shard = call.seq.shard();
        let body_bytes = call.body.len() as u64;
        if shard == 0 && self.header.stats.bytes + body_bytes > self.max_bytes {
            return Err(StoreError::Full);
        }
        self.observe_sequence_number(call.seq);
        self.header.stats.calls += 1;
        self.header.stats.bytes += body_bytes;
        keyspace.put(Table::Calls, &sequence_key(call.seq), &encode(&**call)?)?;

        let (identity, valid_until) = (&accept.identity, accept.valid_until);
        let entry = IdentityEntry { valid_until, shard };
        keyspace.put(Table::Identities, identity, &encode(&entry)?)?;
        keyspace.put(Table::IdentityAges, &age_key(valid_until, identity), &[])?;

        let state = CallState {
            retention_start: call.expires,
            outcome: None,
            shard,
        };
        let state_key = call_key(call.serial, &call.webhook_id);
        keyspace.put(
            Table::CallStateAges,
            &age_key(state.retention_start, &state_key),
            &[],
        )?;
        keyspace.put(Table::CallStates, &state_key, &encode(&state)?)?;
        Ok(Reply::Done)
    }

    /// Removes a call, its identity and its state, if the call has no outcome yet.
    pub(super) fn revoke_call(
        &mut self,
        keyspace: &mut dyn Keyspace,
        seq: Seq,
        identity: &IdentityDigest,
    ) -> Result<Reply, StoreError> {
        let Some(call) = self.remove_call(keyspace, seq)? else {
            return Ok(Reply::Done);
        };
        keyspace.remove(Table::CallStates, &call_key(call.serial, &call.webhook_id))?;
        if let Some(entry) = keyspace.remove(Table::Identities, identity)? {
            let valid_until: Micros = decode(&entry, "a digest")?;
            keyspace.remove(Table::IdentityAges, &age_key(valid_until, identity))?;
        }
        Ok(Reply::Done)
    }

    /// Sets or clears the time at which the first attempt was sent.
    pub(super) fn set_sent(
        &mut self,
        keyspace: &mut dyn Keyspace,
        seq: Seq,
        sent_at: Option<Micros>,
    ) -> Result<Reply, StoreError> {
        if let Some(bytes) = keyspace.get(Table::Calls, &sequence_key(seq))? {
            let mut call: CallRecord = decode(&bytes, "a call")?;
            call.sent = sent_at.map(|at| call.sent.unwrap_or(at));
            keyspace.put(Table::Calls, &sequence_key(seq), &encode(&call)?)?;
        }
        Ok(Reply::Done)
    }

    /// Removes a call, records its outcome if history is kept, and publishes the messages that
    /// report the outcome. If the call is already complete, publishes no messages.
    pub(super) fn complete_call(
        &mut self,
        keyspace: &mut dyn Keyspace,
        complete: CompleteCall,
    ) -> Result<Reply, StoreError> {
        let Some(call) = self.remove_call(keyspace, complete.call)? else {
            return Ok(Reply::Queued(Vec::new()));
        };
        let state_key = call_key(call.serial, &call.webhook_id);
        if let Some(bytes) = keyspace.get(Table::CallStates, &state_key)? {
            let mut state = decode_call_state(&bytes)?;
            if self.history {
                state.outcome = Some(complete.outcome);
                keyspace.put(Table::CallStates, &state_key, &encode(&state)?)?;
            } else {
                keyspace.remove(Table::CallStates, &state_key)?;
                keyspace.remove(
                    Table::CallStateAges,
                    &age_key(state.retention_start, &state_key),
                )?;
            }
        }
        self.publish(keyspace, complete.messages)
    }

    fn remove_call(
        &mut self,
        keyspace: &mut dyn Keyspace,
        seq: Seq,
    ) -> Result<Option<CallRecord>, StoreError> {
        let Some(bytes) = keyspace.remove(Table::Calls, &sequence_key(seq))? else {
            return Ok(None);
        };
        let call: CallRecord = decode(&bytes, "a call")?;
        let stats = &mut self.header.stats;
        stats.calls = stats.calls.saturating_sub(1);
        stats.bytes = stats.bytes.saturating_sub(call.body.len() as u64);
        Ok(Some(call))
    }
}
