//! Checksums of what a disk holds of each shard. They are updated in each commit, so that a disk
//! can detect by itself whether its rows are still those that were written.
//!
//! The rows of a shard fall into [`RANGE_COUNT`] ranges. The checksum of a range is the wrapping
//! sum of its rows' digests, so that adding or removing a row changes it by the row's digest alone.
//! Checksums of different replicas are not compared: each disk applies retention by its own clock.

use std::collections::{BTreeMap, BTreeSet};

use super::error::StoreError;
use super::keys::{
    decode_call_state, decode_identity, key, key_part, shard_key_range, KEY_END, TABLES_BY_SEQUENCE,
};
use super::keyspace::{KeyValue, Keyspace, KeyspaceReader, ScanOrder, Table};
use crate::delivery::Seq;
use crate::replication::ShardId;

/// Ranges of a shard.
const RANGE_COUNT: usize = 16;
/// Rows that are read at a time while all of them are counted.
const SCAN_PAGE_ROWS: usize = 256;
/// Tables with rows of shards that are found by an identity.
const TABLES_BY_IDENTITY: [Table; 2] = [Table::Identities, Table::CallStates];

/// The checksums of a shard's ranges.
type ShardChecksums = [u128; RANGE_COUNT];

/// A range of a shard's rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShardRange {
    shard: ShardId,
    range: usize,
}

impl ShardRange {
    /// Returns the range of a row; none if the row is not replicated or cannot be read.
    fn of_row(table: Table, row_key: &[u8], value: &[u8]) -> Option<ShardRange> {
        let last_byte = usize::from(row_key.last().copied().unwrap_or(0));
        let (shard, range) = match table {
            Table::Identities => (decode_identity(value).ok()?.shard, last_byte % RANGE_COUNT),
            Table::CallStates => (
                decode_call_state(value).ok()?.shard,
                last_byte % RANGE_COUNT,
            ),
            table if TABLES_BY_SEQUENCE.contains(&table) => {
                let seq = Seq(key_part(row_key, 0));
                (seq.shard(), (seq.0 % RANGE_COUNT as u64) as usize)
            }
            _ => return None,
        };
        (shard > 0).then_some(ShardRange { shard, range })
    }

    /// Returns the key of the range's checksum.
    fn key(self) -> Vec<u8> {
        key(&[u64::from(self.shard), self.range as u64])
    }
}

/// Returns the digest of a row.
fn row_digest(table: Table, row_key: &[u8], value: &[u8]) -> u128 {
    let mut hash = blake3::Hasher::new();
    hash.update(table.name().as_bytes());
    hash.update(&(row_key.len() as u64).to_le_bytes());
    hash.update(row_key);
    hash.update(value);
    hash.finalize()
        .as_bytes()
        .first_chunk::<16>()
        .map_or(0, |bytes| u128::from_le_bytes(*bytes))
}

/// Computes checksums from rows that are added one by one.
#[derive(Clone, Debug, Default)]
pub(super) struct ChecksumCounter(BTreeMap<ShardId, ShardChecksums>);

impl ChecksumCounter {
    /// Adds rows of a table.
    pub(super) fn add_rows(&mut self, table: Table, rows: &[KeyValue]) {
        for (row_key, value) in rows {
            self.add_row(table, row_key, value);
        }
    }

    fn add_row(&mut self, table: Table, row_key: &[u8], value: &[u8]) {
        if let Some(ShardRange { shard, range }) = ShardRange::of_row(table, row_key, value) {
            let checksums = self.0.entry(shard).or_default();
            checksums[range] = checksums[range].wrapping_add(row_digest(table, row_key, value));
        }
    }

    fn checksums(&self, shard: ShardId) -> ShardChecksums {
        self.0.get(&shard).copied().unwrap_or_default()
    }

    /// Returns the ranges of a shard whose computed checksum differs from the stored one.
    pub(super) fn mismatches(
        &self,
        reader: &dyn KeyspaceReader,
        shard: ShardId,
    ) -> Result<Vec<u8>, StoreError> {
        let mut mismatches = Vec::new();
        for (range, computed) in self.checksums(shard).into_iter().enumerate() {
            if computed != stored_checksum(reader, ShardRange { shard, range })? {
                // There are sixteen ranges.
                mismatches.push(range as u8);
            }
        }
        Ok(mismatches)
    }
}

fn stored_checksum(reader: &dyn KeyspaceReader, range: ShardRange) -> Result<u128, StoreError> {
    let bytes = reader.get(Table::Checksums, &range.key())?;
    let checksum = bytes.and_then(|bytes| bytes.first_chunk::<16>().copied());
    Ok(checksum.map_or(0, u128::from_le_bytes))
}

fn store_checksum(
    keyspace: &mut dyn Keyspace,
    range: ShardRange,
    checksum: u128,
) -> Result<(), StoreError> {
    keyspace
        .put(Table::Checksums, &range.key(), &checksum.to_le_bytes())
        .map(drop)
}

/// Checks a shard's rows against its checksums.
pub(super) fn verify_shard(reader: &dyn KeyspaceReader, shard: ShardId) -> Result<(), StoreError> {
    let mut counter = ChecksumCounter::default();
    let (from, to) = shard_key_range(shard);
    for table in TABLES_BY_SEQUENCE {
        counter.add_rows(table, &reader.scan_all(table, &from, &to)?);
    }
    for table in TABLES_BY_IDENTITY {
        counter.add_rows(table, &reader.scan_all(table, &[], &KEY_END)?);
    }
    let mismatches = counter.mismatches(reader, shard)?;
    if mismatches.is_empty() {
        Ok(())
    } else {
        Err(StoreError::ChecksumMismatch(shard, mismatches))
    }
}

/// Counts the rows of all shards, a page at a time.
fn count_all(reader: &dyn KeyspaceReader) -> Result<ChecksumCounter, StoreError> {
    let mut counter = ChecksumCounter::default();
    for table in TABLES_BY_SEQUENCE.into_iter().chain(TABLES_BY_IDENTITY) {
        let mut from = Vec::new();
        loop {
            let order = ScanOrder::Ascending;
            let page = reader.scan(table, &from, &KEY_END, SCAN_PAGE_ROWS, order)?;
            counter.add_rows(table, &page);
            let Some((last_key, _)) = page.last().filter(|_| page.len() == SCAN_PAGE_ROWS) else {
                break;
            };
            // The lowest key after the last one.
            from.clone_from(last_key);
            from.push(0);
        }
    }
    Ok(counter)
}

/// Returns for each shard the ranges whose rows do not match their checksums.
pub(super) fn verify(reader: &dyn KeyspaceReader) -> Result<Vec<(ShardId, Vec<u8>)>, StoreError> {
    let counter = count_all(reader)?;
    let mut verified = Vec::new();
    for (shard_key, _) in reader.scan_all(Table::Shards, &[], &KEY_END)? {
        // The keys are written from shard numbers.
        let shard = key_part(&shard_key, 0) as ShardId;
        verified.push((shard, counter.mismatches(reader, shard)?));
    }
    Ok(verified)
}

/// A keyspace that tracks how writes change the checksums of shards.
pub(super) struct ChecksummedKeyspace<'a> {
    keyspace: &'a mut dyn Keyspace,
    /// The change of each range's checksum.
    changes: BTreeMap<ShardRange, u128>,
    /// Shards whose checksums are computed from all of their rows.
    recounted: BTreeSet<ShardId>,
}

impl<'a> ChecksummedKeyspace<'a> {
    /// Wraps a keyspace.
    pub(super) fn new(keyspace: &'a mut dyn Keyspace) -> ChecksummedKeyspace<'a> {
        ChecksummedKeyspace {
            keyspace,
            changes: BTreeMap::new(),
            recounted: BTreeSet::new(),
        }
    }

    /// Has a shard's checksums computed from all of its rows, whatever was stored before.
    pub(super) fn recount(&mut self, shard: ShardId) {
        self.recounted.insert(shard);
    }

    /// Stores the checksums: before an operation that compares them with rows, and as the last step
    /// of a commit but for the store's header.
    pub(super) fn flush(&mut self) -> Result<(), StoreError> {
        self.flush_changes()?;
        let recounted = std::mem::take(&mut self.recounted);
        if recounted.is_empty() {
            return Ok(());
        }
        let counter = count_all(self.keyspace)?;
        for shard in recounted {
            for (range, checksum) in counter.checksums(shard).into_iter().enumerate() {
                store_checksum(self.keyspace, ShardRange { shard, range }, checksum)?;
            }
        }
        Ok(())
    }

    fn flush_changes(&mut self) -> Result<(), StoreError> {
        for (range, change) in std::mem::take(&mut self.changes) {
            if self.recounted.contains(&range.shard) {
                continue;
            }
            let checksum = stored_checksum(self.keyspace, range)?.wrapping_add(change);
            store_checksum(self.keyspace, range, checksum)?;
        }
        Ok(())
    }

    fn subtract_row(&mut self, table: Table, row_key: &[u8], value: &[u8]) {
        if let Some(range) = ShardRange::of_row(table, row_key, value) {
            let change = self.changes.entry(range).or_default();
            *change = change.wrapping_sub(row_digest(table, row_key, value));
        }
    }

    fn add_row(&mut self, table: Table, row_key: &[u8], value: &[u8]) {
        if let Some(range) = ShardRange::of_row(table, row_key, value) {
            let change = self.changes.entry(range).or_default();
            *change = change.wrapping_add(row_digest(table, row_key, value));
        }
    }
}

impl KeyspaceReader for ChecksummedKeyspace<'_> {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.keyspace.get(table, key)
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        order: ScanOrder,
    ) -> Result<Vec<KeyValue>, StoreError> {
        self.keyspace.scan(table, from, to, limit, order)
    }
}

impl Keyspace for ChecksummedKeyspace<'_> {
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError> {
        let previous = self.keyspace.put(table, key, value)?;
        if let Some(previous) = &previous {
            self.subtract_row(table, key, previous);
        }
        self.add_row(table, key, value);
        Ok(previous)
    }

    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let previous = self.keyspace.remove(table, key)?;
        if let Some(previous) = &previous {
            self.subtract_row(table, key, previous);
        }
        Ok(previous)
    }
}

#[cfg(test)]
mod fixture_tests;
