//! The replicas of shards in the tables of a disk.
//!
//! The sequence number of a call or message contains its shard; identities and states of calls
//! store the shard in the value. A replica has all rows of a shard except those in
//! [`Table::Waiting`], which are created when this gateway becomes the primary and removed when the
//! gateway resigns.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::checksums::verify_shard;
use super::error::StoreError;
use super::keys::{
    decode, decode_call_state, decode_identity, encode, key, key_part, sequence_key,
    shard_key_range, waiting_key, KEY_END, KEY_PART_BYTES, TABLES_BY_SEQUENCE,
};
use super::keyspace::{KeyValue, Keyspace, KeyspaceReader, Table};
use super::operations::ShardState;
use super::records::{AttemptRecord, CallRecord, IdentityDigest, MessageRecord};
use crate::api::Micros;
use crate::delivery::response::MessageState;
use crate::delivery::Seq;
use crate::replication::{LogPosition, ShardId};

pub(super) mod snapshot;

/// The header of a shard on this disk.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct ShardHeader {
    /// The position of the replica's log.
    position: LogPosition,
    /// Whether this gateway is the shard's primary.
    is_primary: bool,
    /// Identities that expired at or before this time may have been removed, on this disk or on the
    /// disk from which a snapshot was installed.
    identities_expired_until: Micros,
}

impl ShardHeader {
    /// Decodes a header. Earlier versions stored no expiry time of removed identities; the time is
    /// then 0.
    fn decode(bytes: &[u8]) -> Result<ShardHeader, StoreError> {
        decode(bytes, "a shard").or_else(|error| {
            let (position, is_primary) = decode(bytes, "a shard").map_err(|_: StoreError| error)?;
            Ok(ShardHeader {
                position,
                is_primary,
                identities_expired_until: 0,
            })
        })
    }

    fn read(reader: &dyn KeyspaceReader, shard: ShardId) -> Result<ShardHeader, StoreError> {
        let bytes = reader.get(Table::Shards, &shard_key(shard))?;
        bytes.map_or(Ok(ShardHeader::default()), |bytes| {
            ShardHeader::decode(&bytes)
        })
    }

    fn write(&self, keyspace: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
        keyspace
            .put(Table::Shards, &shard_key(shard), &encode(self)?)
            .map(drop)
    }
}

fn shard_key(shard: ShardId) -> Vec<u8> {
    key(&[u64::from(shard)])
}

/// Returns whether this gateway delivers a message: either the message is not replicated, or this
/// gateway is the primary of its shard.
pub(super) fn is_local_or_primary(reader: &dyn KeyspaceReader, seq: Seq) -> bool {
    seq.shard() == 0 || ShardHeader::read(reader, seq.shard()).is_ok_and(|header| header.is_primary)
}

/// Sets the position of a replica's log.
pub(super) fn set_position(
    keyspace: &mut dyn Keyspace,
    shard: ShardId,
    position: LogPosition,
) -> Result<(), StoreError> {
    let header = ShardHeader {
        position,
        ..ShardHeader::read(keyspace, shard)?
    };
    header.write(keyspace, shard)
}

/// Returns all shards on the disk, with the positions of their logs.
pub(super) fn positions(
    reader: &dyn KeyspaceReader,
) -> Result<Vec<(ShardId, LogPosition)>, StoreError> {
    let rows = reader.scan_all(Table::Shards, &[], &KEY_END)?;
    rows.iter()
        .map(|(row_key, value)| {
            // The keys are written from shard numbers.
            let shard = key_part(row_key, 0) as ShardId;
            Ok((shard, ShardHeader::decode(value)?.position))
        })
        .collect()
}

/// Removes a shard's header.
pub(super) fn remove_header(keyspace: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    keyspace.remove(Table::Shards, &shard_key(shard)).map(drop)
}

/// Resigns as the primary of all shards, because a starting process is not a primary.
pub(super) fn resign_all(keyspace: &mut dyn Keyspace) -> Result<(), StoreError> {
    for (shard, _) in positions(keyspace)? {
        resign_primary(keyspace, shard)?;
    }
    Ok(())
}

/// Ends this gateway's role as the primary of a shard, and removes the shard's waiting rows.
pub(super) fn resign_primary(
    keyspace: &mut dyn Keyspace,
    shard: ShardId,
) -> Result<(), StoreError> {
    let header = ShardHeader::read(keyspace, shard)?;
    if !header.is_primary {
        return Ok(());
    }
    remove_rows(keyspace, Table::Waiting, |row_key, _| {
        Seq(key_part(row_key, 2)).shard() == shard
    })?;
    let header = ShardHeader {
        is_primary: false,
        ..header
    };
    header.write(keyspace, shard)
}

/// Makes this gateway the primary of a shard, and returns the shard's state. Fails if rows do not
/// match their checksums: another replica, which is intact, has to be promoted.
pub(super) fn become_primary(
    keyspace: &mut dyn Keyspace,
    shard: ShardId,
    identities_expired_until: Micros,
) -> Result<ShardState, StoreError> {
    verify_shard(keyspace, shard)?;
    let mut state = ShardState::default();
    for message in waiting_messages(keyspace, shard)? {
        let waiting = message.waiting;
        keyspace.put(Table::Waiting, &waiting_key(&waiting), &encode(&waiting)?)?;
        match keyspace.get(Table::StartedAttempts, &sequence_key(waiting.seq))? {
            Some(started) => {
                let started_at = decode(&started, "an attempt's beginning")?;
                state.in_flight.push((waiting, started_at));
            }
            None => state.waiting.push(waiting),
        }
    }
    for (_, value) in shard_rows(keyspace, Table::Calls, shard)? {
        state.calls.push(decode(&value, "a call")?);
    }
    state.identities = identities(keyspace, shard)?;
    let header = ShardHeader::read(keyspace, shard)?;
    state.identities_expired_until = header
        .identities_expired_until
        .max(identities_expired_until);
    let header = ShardHeader {
        is_primary: true,
        ..header
    };
    header.write(keyspace, shard)?;
    Ok(state)
}

/// Returns a shard's rows in one of the [`TABLES_BY_SEQUENCE`].
fn shard_rows(
    reader: &dyn KeyspaceReader,
    table: Table,
    shard: ShardId,
) -> Result<Vec<KeyValue>, StoreError> {
    let (from, to) = shard_key_range(shard);
    reader.scan_all(table, &from, &to)
}

fn waiting_messages(
    reader: &dyn KeyspaceReader,
    shard: ShardId,
) -> Result<Vec<MessageRecord>, StoreError> {
    let mut messages = Vec::new();
    for (_, value) in shard_rows(reader, Table::Messages, shard)? {
        let message: MessageRecord = decode(&value, "a message")?;
        if message.state == MessageState::Waiting {
            messages.push(message);
        }
    }
    Ok(messages)
}

/// Returns a shard's identities, with the time until which each is valid.
fn identities(
    reader: &dyn KeyspaceReader,
    shard: ShardId,
) -> Result<Vec<(IdentityDigest, Micros)>, StoreError> {
    let mut identities = Vec::new();
    for (row_key, value) in reader.scan_all(Table::Identities, &[], &KEY_END)? {
        let identity: IdentityDigest = row_key
            .try_into()
            .map_err(|_| StoreError::Unreadable("a digest"))?;
        let entry = decode_identity(&value)?;
        if entry.shard == shard {
            identities.push((identity, entry.valid_until));
        }
    }
    Ok(identities)
}

/// Accepts a damaged shard: keeps its readable rows and removes the others.
pub(super) fn accept_damage(keyspace: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    for table in TABLES_BY_SEQUENCE {
        for (row_key, value) in shard_rows(keyspace, table, shard)? {
            if !is_readable(table, &value) {
                keyspace.remove(table, &row_key)?;
            }
        }
    }
    // No shard has this number, so this removes only the rows that cannot be read.
    remove_rows_by_identity(keyspace, ShardId::MAX)
}

fn is_readable(table: Table, value: &[u8]) -> bool {
    match table {
        Table::Calls => decode::<CallRecord>(value, "a call").is_ok(),
        Table::Messages => decode::<MessageRecord>(value, "a message").is_ok(),
        Table::StartedAttempts => decode::<Micros>(value, "an attempt's beginning").is_ok(),
        Table::Attempts => decode::<AttemptRecord>(value, "an attempt").is_ok(),
        _ => true,
    }
}

/// Removes all rows of a shard, including damaged ones.
fn remove_shard(keyspace: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    resign_primary(keyspace, shard)?;
    for (table, part) in [(Table::MessagesByTenant, 1), (Table::OrderQueue, 2)] {
        remove_rows(keyspace, table, |row_key, _| {
            Seq(key_part(row_key, part)).shard() == shard
        })?;
    }
    remove_rows(keyspace, Table::OrderHeads, |_, value| {
        Seq(key_part(value, 0)).shard() == shard
    })?;
    for table in TABLES_BY_SEQUENCE {
        for (row_key, _) in shard_rows(keyspace, table, shard)? {
            keyspace.remove(table, &row_key)?;
        }
    }
    remove_rows_by_identity(keyspace, shard)
}

/// Removes a shard's identities and states of calls, and the rows that index them by time. Rows
/// that cannot be read are removed too, because their shard is unknown.
fn remove_rows_by_identity(keyspace: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    let identities = remove_rows(keyspace, Table::Identities, |_, value| {
        decode_identity(value).map_or(true, |entry| entry.shard == shard)
    })?;
    remove_ages(keyspace, Table::IdentityAges, &identities)?;
    let states = remove_rows(keyspace, Table::CallStates, |_, value| {
        decode_call_state(value).map_or(true, |state| state.shard == shard)
    })?;
    remove_ages(keyspace, Table::CallStateAges, &states)
}

/// Removes the matching rows of a table, and returns their keys.
fn remove_rows(
    keyspace: &mut dyn Keyspace,
    table: Table,
    matches: impl Fn(&[u8], &[u8]) -> bool,
) -> Result<BTreeSet<Vec<u8>>, StoreError> {
    let mut removed = BTreeSet::new();
    for (row_key, value) in keyspace.scan_all(table, &[], &KEY_END)? {
        if matches(&row_key, &value) {
            keyspace.remove(table, &row_key)?;
            removed.insert(row_key);
        }
    }
    Ok(removed)
}

/// Removes the rows that index removed rows by time.
fn remove_ages(
    keyspace: &mut dyn Keyspace,
    table: Table,
    removed: &BTreeSet<Vec<u8>>,
) -> Result<(), StoreError> {
    remove_rows(keyspace, table, |age_key, _| {
        age_key
            .get(KEY_PART_BYTES..)
            .is_some_and(|row_key| removed.contains(row_key))
    })
    .map(drop)
}
