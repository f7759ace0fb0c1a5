//! Snapshots of shards, with which another replica catches up or is repaired.

use serde::{Deserialize, Serialize};

use super::{identities, remove_shard, shard_rows, ShardHeader};
use crate::api::Micros;
use crate::delivery::response::MessageState;
use crate::delivery::Seq;
use crate::replication::{LogPosition, ShardId};
use crate::store::checksums::verify_shard;
use crate::store::error::StoreError;
use crate::store::keys::{
    age_key, decode, decode_call_state, encode, key, key_part, IdentityEntry, KEY_END,
    TABLES_BY_SEQUENCE,
};
use crate::store::keyspace::{Keyspace, KeyspaceReader, Table};
use crate::store::records::{CallRecord, CallState, IdentityDigest, MessageRecord, StoreStats};

/// A row of one of the [`TABLES_BY_SEQUENCE`].
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotRow {
    /// The index of the table in [`TABLES_BY_SEQUENCE`].
    table: u8,
    key: Vec<u8>,
    value: Vec<u8>,
}

/// The content of a shard, encoded with postcard: the order of the fields is part of the format.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(in crate::store) struct ShardSnapshot {
    position: LogPosition,
    rows: Vec<SnapshotRow>,
    identities: Vec<(IdentityDigest, Micros)>,
    call_states: Vec<(Vec<u8>, CallState)>,
    identities_expired_until: Micros,
}

/// The store's counts of a shard, before and after a snapshot was installed.
#[derive(Clone, Copy, Debug)]
pub(in crate::store) struct StatsChange {
    pub(in crate::store) before: StoreStats,
    pub(in crate::store) after: StoreStats,
}

/// Reads a snapshot of a shard, and returns the position and the encoded snapshot. Fails if rows do
/// not match their checksums, so that damage is not replicated.
pub(in crate::store) fn read(
    reader: &dyn KeyspaceReader,
    shard: ShardId,
    identities_expired_until: Micros,
) -> Result<(LogPosition, Vec<u8>), StoreError> {
    verify_shard(reader, shard)?;
    let header = ShardHeader::read(reader, shard)?;
    let mut snapshot = ShardSnapshot {
        position: header.position,
        identities_expired_until: header
            .identities_expired_until
            .max(identities_expired_until),
        ..ShardSnapshot::default()
    };
    for (index, table) in TABLES_BY_SEQUENCE.into_iter().enumerate() {
        let rows = shard_rows(reader, table, shard)?;
        snapshot
            .rows
            .extend(rows.into_iter().map(|(key, value)| SnapshotRow {
                // There are five tables.
                table: index as u8,
                key,
                value,
            }));
    }
    snapshot.identities = identities(reader, shard)?;
    for (row_key, value) in reader.scan_all(Table::CallStates, &[], &KEY_END)? {
        let state = decode_call_state(&value)?;
        if state.shard == shard {
            snapshot.call_states.push((row_key, state));
        }
    }
    Ok((snapshot.position, encode(&snapshot)?))
}

/// Replaces the content of a shard by a snapshot, and returns the counts before and after.
pub(in crate::store) fn install(
    keyspace: &mut dyn Keyspace,
    shard: ShardId,
    position: LogPosition,
    bytes: &[u8],
) -> Result<StatsChange, StoreError> {
    let snapshot: ShardSnapshot = decode(bytes, "a shard's content")?;
    let before = shard_stats(keyspace, shard)?;
    remove_shard(keyspace, shard)?;
    for row in &snapshot.rows {
        install_row(keyspace, shard, row)?;
    }
    for (identity, valid_until) in &snapshot.identities {
        let entry = IdentityEntry {
            valid_until: *valid_until,
            shard,
        };
        keyspace.put(Table::Identities, identity, &encode(&entry)?)?;
        keyspace.put(Table::IdentityAges, &age_key(*valid_until, identity), &[])?;
    }
    for (row_key, state) in &snapshot.call_states {
        keyspace.put(Table::CallStates, row_key, &encode(state)?)?;
        keyspace.put(
            Table::CallStateAges,
            &age_key(state.retention_start, row_key),
            &[],
        )?;
    }
    let header = ShardHeader {
        position,
        is_primary: false,
        identities_expired_until: ShardHeader::read(keyspace, shard)?
            .identities_expired_until
            .max(snapshot.identities_expired_until),
    };
    header.write(keyspace, shard)?;
    let after = shard_stats(keyspace, shard)?;
    Ok(StatsChange { before, after })
}

fn install_row(
    keyspace: &mut dyn Keyspace,
    shard: ShardId,
    row: &SnapshotRow,
) -> Result<(), StoreError> {
    let table = TABLES_BY_SEQUENCE
        .get(usize::from(row.table))
        .copied()
        .ok_or(StoreError::Unreadable("a shard's table"))?;
    if Seq(key_part(&row.key, 0)).shard() != shard {
        return Err(StoreError::Unreadable("a row of another shard"));
    }
    keyspace.put(table, &row.key, &row.value)?;
    if table == Table::Messages {
        index_message(keyspace, &decode(&row.value, "a message")?)?;
    }
    Ok(())
}

/// Writes the index rows of a message: by tenant and by order key.
fn index_message(keyspace: &mut dyn Keyspace, message: &MessageRecord) -> Result<(), StoreError> {
    let endpoint = message.waiting.endpoint.0;
    let seq = message.waiting.seq.0;
    keyspace.put(Table::MessagesByTenant, &key(&[message.serial, seq]), &[])?;
    match (message.order, message.state) {
        (Some(order), MessageState::Blocked) => {
            keyspace.put(Table::OrderQueue, &key(&[endpoint, order, seq]), &[])?;
        }
        (Some(order), MessageState::Waiting) => {
            keyspace.put(Table::OrderHeads, &key(&[endpoint, order]), &key(&[seq]))?;
        }
        _ => {}
    }
    Ok(())
}

/// Counts the calls, messages and bytes of a shard on this disk. An unreadable call adds no bytes,
/// and an unreadable message is not counted as waiting.
fn shard_stats(reader: &dyn KeyspaceReader, shard: ShardId) -> Result<StoreStats, StoreError> {
    let calls = shard_rows(reader, Table::Calls, shard)?;
    let mut stats = StoreStats {
        calls: calls.len() as u64,
        ..StoreStats::default()
    };
    for (_, value) in shard_rows(reader, Table::Messages, shard)? {
        stats.messages += 1;
        let message = decode::<MessageRecord>(&value, "a message");
        stats.waiting += u64::from(message.is_ok_and(|message| !message.state.is_over()));
    }
    for (_, body) in shard_rows(reader, Table::Bodies, shard)? {
        stats.bytes += body.len() as u64;
    }
    for (_, value) in calls {
        let call = decode::<CallRecord>(&value, "a call");
        stats.bytes += call.map_or(0, |call| call.body.len() as u64);
    }
    Ok(stats)
}
