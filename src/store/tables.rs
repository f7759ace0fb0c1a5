//! The effect of each [`Op`] on the tables. This module does no I/O; it operates on a [`Keyspace`].
//!
//! Tables by their names in the file (`seq` is a sequence number):
//!
//! | table | key | value | removed by |
//! | --- | --- | --- | --- |
//! | calls | seq | the call | its outcome |
//! | messages, bodies | seq | the message; its body | retention |
//! | waiting | endpoint, due time, seq | the scheduler's data | the end of the attempt |
//! | begun | seq | the start time of the attempt | the end of the attempt |
//! | attempts | seq, counter | a finished attempt | retention, with its message |
//! | by_tenant | tenant, seq | - | retention, with its message |
//! | by_call, call_ages | tenant, identity; prefixed by time | the state of the call | retention |
//! | replays, replay_ages | digest; prefixed by time | expiry time, shard | expiry (retention) |
//! | heads, behind | endpoint, order key (, seq) | first message; - | the end of the last message |
//! | log | index | an entry of the consensus log | a snapshot |
//! | shards | shard | log position, role, expiry time of removed identities | a reset of the disk |
//! | sums | shard, range | the sum of the digests of the rows | never |
//! | meta | name | the header; the disk's identity; the voter's metadata | never |

use serde::{Deserialize, Serialize};

use super::checksums;
use super::consensus_log::{self, VoterState};
use super::error::StoreError;
use super::keys::{decode, encode, key, key_part, KEY_END};
use super::keyspace::{Keyspace, KeyspaceReader, ScanOrder, Table};
use super::operations::{Op, Reply};
use super::records::{CallRecord, IdentityDigest, StoreStats, TenantsRecord};
use super::shards;
use crate::api::Micros;
use crate::delivery::{EndpointId, Seq};
use crate::replication::ShardId;

mod attempts;
mod calls;
mod messages;
mod queries;
mod retention;
mod shard_ops;

/// The current format of the tables. A file with a higher format is not opened.
pub const FORMAT: u32 = 3;
/// The format of a file without replicated data. Earlier versions can read such a file.
const UNREPLICATED_FORMAT: u32 = 1;
/// The key of the header in [`Table::Meta`].
const HEADER_KEY: &[u8] = b"head";

/// The key of the tenants in [`Table::Meta`]. Earlier versions do not read it.
const TENANTS_KEY: &[u8] = b"tenants";

/// Data of the whole store, persisted with each commit. The header is encoded with postcard, so the
/// order of its fields is part of the format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    format: u32,
    /// The highest sequence number of a call or message that is not replicated.
    last_sequence_number: u64,
    /// The latest time of a commit, used to detect a clock that went backwards.
    written_at: Micros,
    /// Identities that expired at or before this time may have been removed.
    identities_expired_until: Micros,
    stats: StoreStats,
}

/// The state that a starting process recovers from the store.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// Calls without an outcome.
    pub calls: Vec<CallRecord>,
    /// Endpoints with waiting messages, and the first due time of each.
    pub endpoints: Vec<(EndpointId, Micros)>,
    /// Identities of accepted calls, with the time until which each is valid.
    pub identities: Vec<(IdentityDigest, Micros)>,
    /// The highest sequence number of a call or message that is not replicated.
    pub last_sequence_number: u64,
    /// Identities that expired at or before this time may have been removed.
    pub identities_expired_until: Micros,
    /// Whether the clock is behind the time of the last commit.
    pub clock_regressed: bool,
    /// The number of messages that ended because it is unknown whether they arrived.
    pub unknown_deliveries: u64,
    /// The voter's metadata and log, if the file has them.
    pub log: VoterState,
    /// The tenants of the previous process; none if a version that did not store them wrote the
    /// file.
    pub tenants: Option<TenantsRecord>,
}

/// The state of the store that is kept in memory beside one keyspace.
#[derive(Clone, Debug)]
pub struct Tables {
    header: Header,
    /// Whether finished messages are kept until retention removes them.
    history: bool,
    /// The maximum total size of bodies, in bytes.
    max_bytes: u64,
    /// The sequence number of the message at which the next retention pass continues.
    retention_cursor: u64,
    /// Shards whose checksums have to be recomputed from all rows.
    shards_to_recompute: Vec<ShardId>,
}

impl Tables {
    /// Opens the tables in a new process, and returns the state recovered at `now`. Attempts that
    /// the previous process started are settled according to the effect of their message.
    pub fn open(
        keyspace: &mut dyn Keyspace,
        history: bool,
        max_bytes: u64,
        now: Micros,
    ) -> Result<(Tables, RecoveredState), StoreError> {
        let mut tables = Tables::resume(keyspace, history, max_bytes)?;
        let header = tables.header;
        let clock_regressed = now < header.written_at;
        let mut recovered = RecoveredState {
            last_sequence_number: header.last_sequence_number,
            identities_expired_until: header.identities_expired_until,
            clock_regressed,
            ..RecoveredState::default()
        };
        recovered.unknown_deliveries =
            tables.settle_started_attempts(keyspace, now, clock_regressed)?;
        recovered.calls = local_calls(keyspace)?;
        recovered.endpoints = endpoints_with_waiting_messages(keyspace)?;
        recovered.identities = readable_identities(keyspace)?;
        shards::resign_all(keyspace)?;
        recovered.log = consensus_log::read(keyspace)?;
        recovered.tenants = stored_tenants(keyspace)?;
        tables.finish(keyspace, now)?;
        Ok((tables, recovered))
    }

    /// Opens tables that were already open in this process.
    pub fn resume(
        keyspace: &mut dyn Keyspace,
        history: bool,
        max_bytes: u64,
    ) -> Result<Tables, StoreError> {
        let header = match keyspace.get(Table::Meta, HEADER_KEY)? {
            Some(bytes) => decode::<Header>(&bytes, "a head")?,
            None if is_empty(keyspace, Table::Messages)? => Header {
                format: UNREPLICATED_FORMAT,
                ..Header::default()
            },
            None => {
                let reason = "it has messages and no head";
                return Err(StoreError::NotAStore(reason.into()));
            }
        };
        if header.format > FORMAT {
            return Err(StoreError::NewerFormat(header.format));
        }
        Ok(Tables {
            header,
            history,
            max_bytes,
            retention_cursor: 0,
            shards_to_recompute: Vec::new(),
        })
    }

    /// Returns the counts of the store's content.
    pub fn stats(&self) -> StoreStats {
        self.header.stats
    }

    /// Takes the shards whose checksums have to be recomputed from all rows.
    pub(super) fn take_shards_to_recompute(&mut self) -> Vec<ShardId> {
        std::mem::take(&mut self.shards_to_recompute)
    }

    /// Persists the header. This is the last step of a commit.
    pub fn finish(&mut self, keyspace: &mut dyn Keyspace, now: Micros) -> Result<(), StoreError> {
        self.header.written_at = self.header.written_at.max(now);
        keyspace
            .put(Table::Meta, HEADER_KEY, &encode(&self.header)?)
            .map(drop)
    }

    /// Applies an operation.
    pub fn apply(&mut self, keyspace: &mut dyn Keyspace, op: Op) -> Result<Reply, StoreError> {
        match op {
            Op::AcceptCall(accept) => self.accept_call(keyspace, &accept),
            Op::RevokeCall(seq, identity) => self.revoke_call(keyspace, seq, &identity),
            Op::SetSent(seq, at) => self.set_sent(keyspace, seq, Some(at)),
            Op::ClearSent(seq) => self.set_sent(keyspace, seq, None),
            Op::CompleteCall(complete) => self.complete_call(keyspace, complete),
            Op::Publish(messages) => self.publish(keyspace, messages),
            Op::BeginAttempt(begin) => self.begin_attempt(keyspace, begin),
            Op::FinishAttempt(finish) => self.finish_attempt(keyspace, finish).map(Reply::Queued),
            Op::FetchDue(endpoint, limit) => queries::fetch_due(keyspace, endpoint, limit),
            Op::PurgeEndpoint(endpoint, limit) => self.purge_endpoint(keyspace, endpoint, limit),
            Op::Resend(resend) => self.resend(keyspace, resend),
            Op::ResendDeadLetters(resend) => self.resend_dead_letters(keyspace, resend),
            Op::ListMessages(filter) => {
                queries::list_messages(keyspace, &filter, |_| true).map(Reply::Messages)
            }
            Op::GetMessage(seq, serial) => queries::get_message(keyspace, seq, serial),
            Op::GetCall(serial, id) => queries::get_call(keyspace, serial, &id),
            Op::ApplyRetention(retention) => self.apply_retention(keyspace, retention),
            Op::Stats => Ok(Reply::Stats(self.stats())),
            // The writer thread does not get here; it verifies checksums on a separate thread.
            Op::VerifyChecksums => checksums::verify(keyspace).map(Reply::Verified),
            Op::ExportMessages(after, limit) => queries::export_messages(keyspace, after, limit),
            Op::AppendLog(record) => consensus_log::append(keyspace, &record).map(|()| Reply::Done),
            Op::RegisterDisk(register) => self.register_disk(keyspace, register),
            Op::ApplyToShard(apply) => self.apply_to_shard(keyspace, apply),
            Op::ReadShard(shard) => self.read_shard(keyspace, shard),
            Op::InstallShard(install) => self.install_shard(keyspace, &install),
            Op::AcceptDamage(shard) => self.accept_damage(keyspace, shard),
            Op::BecomePrimary(shard) => self.become_primary(keyspace, shard),
            Op::ResignPrimary(shard) => {
                shards::resign_primary(keyspace, shard).map(|()| Reply::Done)
            }
            Op::StoreTenants(tenants) => keyspace
                .put(Table::Meta, TENANTS_KEY, tenants.0.as_bytes())
                .map(|_| Reply::Done),
        }
    }

    /// Tracks the highest sequence number in use. Sequence numbers of shards are tracked by their
    /// primaries.
    fn observe_sequence_number(&mut self, seq: Seq) {
        if seq.shard() == 0 {
            self.header.last_sequence_number = self.header.last_sequence_number.max(seq.0);
        }
    }
}

fn is_empty(reader: &dyn KeyspaceReader, table: Table) -> Result<bool, StoreError> {
    let first = reader.scan(table, &[], &KEY_END, 1, ScanOrder::Ascending)?;
    Ok(first.is_empty())
}

fn stored_tenants(reader: &dyn KeyspaceReader) -> Result<Option<TenantsRecord>, StoreError> {
    let Some(bytes) = reader.get(Table::Meta, TENANTS_KEY)? else {
        return Ok(None);
    };
    let text = String::from_utf8(bytes).map_err(|_| StoreError::Unreadable("the tenants"))?;
    Ok(Some(TenantsRecord(text)))
}

/// Returns the calls without an outcome that are not replicated.
fn local_calls(reader: &dyn KeyspaceReader) -> Result<Vec<CallRecord>, StoreError> {
    let mut calls = Vec::new();
    for (row_key, value) in reader.scan_all(Table::Calls, &[], &KEY_END)? {
        if Seq(key_part(&row_key, 0)).shard() == 0 {
            calls.push(decode(&value, "a call")?);
        }
    }
    Ok(calls)
}

/// Returns the endpoints with waiting messages, and the first due time of each.
fn endpoints_with_waiting_messages(
    reader: &dyn KeyspaceReader,
) -> Result<Vec<(EndpointId, Micros)>, StoreError> {
    let mut endpoints = Vec::new();
    let mut from = key(&[0]);
    loop {
        let first = reader
            .scan(Table::Waiting, &from, &KEY_END, 1, ScanOrder::Ascending)?
            .pop();
        let Some((row_key, _)) = first else {
            return Ok(endpoints);
        };
        let endpoint = key_part(&row_key, 0);
        endpoints.push((EndpointId(endpoint), key_part(&row_key, 1)));
        let Some(next_endpoint) = endpoint.checked_add(1) else {
            return Ok(endpoints);
        };
        from = key(&[next_endpoint]);
    }
}

/// Returns the identities, with the time until which each is valid. An unreadable identity is an
/// error, unless the disk holds replicated shards: these are repaired from another replica.
fn readable_identities(
    reader: &dyn KeyspaceReader,
) -> Result<Vec<(IdentityDigest, Micros)>, StoreError> {
    let has_no_replicas = is_empty(reader, Table::Shards)?;
    let mut identities = Vec::new();
    for (row_key, value) in reader.scan_all(Table::Identities, &[], &KEY_END)? {
        let identity = row_key
            .try_into()
            .map_err(|_| StoreError::Unreadable("a digest"))?;
        match decode(&value, "a digest") {
            Ok(valid_until) => identities.push((identity, valid_until)),
            Err(error) if has_no_replicas => return Err(error),
            Err(_) => {}
        }
    }
    Ok(identities)
}
