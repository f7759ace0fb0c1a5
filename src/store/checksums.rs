//! Checksums of the rows of each shard on a disk. They are updated in each commit and detect rows
//! that were corrupted on disk, without a comparison with other replicas.
//!
//! The rows of a shard are divided into [`RANGE_COUNT`] ranges. The checksum of a range is the
//! wrapping sum of the digests of its rows, so that an added or removed row changes the checksum by
//! the digest of this row alone. Checksums of different replicas are not compared, because each
//! disk applies retention by its own clock.

use std::collections::{BTreeMap, BTreeSet};

use super::error::StoreError;
use super::keys::{
    decode_call_state, decode_identity, key, key_part, shard_key_range, KEY_END, TABLES_BY_SEQUENCE,
};
use super::keyspace::{KeyValue, Keyspace, KeyspaceReader, ScanOrder, Table};
use crate::delivery::Seq;
use crate::replication::ShardId;

/// The number of ranges of a shard.
const RANGE_COUNT: usize = 16;
/// The number of rows read at a time while the checksums of all shards are computed.
const SCAN_PAGE_ROWS: usize = 256;
/// Tables with rows of shards whose keys are identities.
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
    /// Returns the range of a row; none if the row is not replicated or has no readable shard.
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

/// Accumulates checksums from rows.
#[derive(Clone, Debug, Default)]
pub(super) struct ChecksumAccumulator(BTreeMap<ShardId, ShardChecksums>);

impl ChecksumAccumulator {
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

    /// Returns the ranges of a shard whose computed and stored checksums differ.
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

/// Returns an error if rows of a shard do not match the stored checksums.
pub(super) fn verify_shard(reader: &dyn KeyspaceReader, shard: ShardId) -> Result<(), StoreError> {
    let mut accumulator = ChecksumAccumulator::default();
    let (from, to) = shard_key_range(shard);
    for table in TABLES_BY_SEQUENCE {
        accumulator.add_rows(table, &reader.scan_all(table, &from, &to)?);
    }
    for table in TABLES_BY_IDENTITY {
        accumulator.add_rows(table, &reader.scan_all(table, &[], &KEY_END)?);
    }
    let mismatches = accumulator.mismatches(reader, shard)?;
    if mismatches.is_empty() {
        Ok(())
    } else {
        Err(StoreError::ChecksumMismatch(shard, mismatches))
    }
}

/// Computes the checksums of all shards, reading a page of rows at a time.
fn accumulate_all(reader: &dyn KeyspaceReader) -> Result<ChecksumAccumulator, StoreError> {
    let mut accumulator = ChecksumAccumulator::default();
    for table in TABLES_BY_SEQUENCE.into_iter().chain(TABLES_BY_IDENTITY) {
        let mut from = Vec::new();
        loop {
            let order = ScanOrder::Ascending;
            let page = reader.scan(table, &from, &KEY_END, SCAN_PAGE_ROWS, order)?;
            accumulator.add_rows(table, &page);
            let Some((last_key, _)) = page.last().filter(|_| page.len() == SCAN_PAGE_ROWS) else {
                break;
            };
            // The lowest key after the last one.
            from.clone_from(last_key);
            from.push(0);
        }
    }
    Ok(accumulator)
}

/// Returns the ranges of each shard whose rows do not match their checksums.
pub(super) fn verify(reader: &dyn KeyspaceReader) -> Result<Vec<(ShardId, Vec<u8>)>, StoreError> {
    let accumulator = accumulate_all(reader)?;
    let mut verified = Vec::new();
    for (shard_key, _) in reader.scan_all(Table::Shards, &[], &KEY_END)? {
        // The keys are written from shard numbers.
        let shard = key_part(&shard_key, 0) as ShardId;
        verified.push((shard, accumulator.mismatches(reader, shard)?));
    }
    Ok(verified)
}

/// A keyspace that tracks the changes of checksums by writes.
pub(super) struct ChecksummedKeyspace<'a> {
    keyspace: &'a mut dyn Keyspace,
    /// The pending change of each range's checksum.
    changes: BTreeMap<ShardRange, u128>,
    /// Shards whose checksums are recomputed from all rows.
    to_recompute: BTreeSet<ShardId>,
}

impl<'a> ChecksummedKeyspace<'a> {
    /// Wraps a keyspace.
    pub(super) fn new(keyspace: &'a mut dyn Keyspace) -> ChecksummedKeyspace<'a> {
        ChecksummedKeyspace {
            keyspace,
            changes: BTreeMap::new(),
            to_recompute: BTreeSet::new(),
        }
    }

    /// Marks a shard whose checksums are recomputed from all rows at the next flush, regardless of
    /// the stored checksums.
    pub(super) fn recompute(&mut self, shard: ShardId) {
        self.to_recompute.insert(shard);
    }

    /// Stores the changed checksums. Called before an operation that compares checksums with rows,
    /// and at the end of a commit, before the store's header is written.
    pub(super) fn flush(&mut self) -> Result<(), StoreError> {
        self.flush_changes()?;
        let to_recompute = std::mem::take(&mut self.to_recompute);
        if to_recompute.is_empty() {
            return Ok(());
        }
        let accumulator = accumulate_all(self.keyspace)?;
        for shard in to_recompute {
            for (range, checksum) in accumulator.checksums(shard).into_iter().enumerate() {
                store_checksum(self.keyspace, ShardRange { shard, range }, checksum)?;
            }
        }
        Ok(())
    }

    fn flush_changes(&mut self) -> Result<(), StoreError> {
        for (range, change) in std::mem::take(&mut self.changes) {
            if self.to_recompute.contains(&range.shard) {
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
