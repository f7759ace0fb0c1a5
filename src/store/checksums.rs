//! Sums of what a disk holds of each shard, kept with each commit, so that a disk can tell by itself whether what it holds
//! is still what was written.
//!
//! A shard's rows fall into [`RANGES`] ranges. A range's sum is the sum of its rows' digests, so a row that comes or goes moves it
//! by its own digest. Copies' sums are not compared with one another: each disk lets go of what is old by its own clock.

use std::collections::{BTreeMap, BTreeSet};

use super::keyspace::{KeyValue, Keyspace, KeyspaceReader, Table};
use super::records::StoreError;
use super::shards::{shard_of_mark, state, BY_NUMBER};
use super::tables::{key, number, TOP};
use crate::delivery::Seq;
use crate::replication::ShardId;

/// Ranges of a shard.
pub const RANGES: usize = 16;
/// Rows read at once while all are counted.
const PAGE: usize = 256;

/// A shard's sums.
pub(super) type Sums = [u128; RANGES];

/// Which shard and range a row belongs to; none if it is not a shard's, or cannot be read.
fn place_of(table: Table, k: &[u8], value: &[u8]) -> Option<(ShardId, usize)> {
    let last = usize::from(k.last().copied().unwrap_or(0));
    let (shard, at) = match table {
        t if BY_NUMBER.contains(&t) => {
            let seq = Seq(number(k, 0));
            (seq.shard(), (seq.0 % RANGES as u64) as usize)
        }
        Table::Replays => (shard_of_mark(value).ok()?, last % RANGES),
        Table::ByCall => (state(value).ok()?.shard, last % RANGES),
        _ => return None,
    };
    (shard > 0).then_some((shard, at))
}

/// A row's digest.
fn digest(table: Table, k: &[u8], value: &[u8]) -> u128 {
    let mut hash = blake3::Hasher::new();
    hash.update(table.name().as_bytes());
    hash.update(&(k.len() as u64).to_le_bytes());
    hash.update(k);
    hash.update(value);
    hash.finalize()
        .as_bytes()
        .first_chunk::<16>()
        .map_or(0, |b| u128::from_le_bytes(*b))
}

/// Sums of rows that are looked at one by one.
#[derive(Clone, Debug, Default)]
pub(super) struct Count(BTreeMap<ShardId, Sums>);

impl Count {
    /// One more row.
    pub(super) fn row(&mut self, table: Table, k: &[u8], value: &[u8]) {
        if let Some((shard, at)) = place_of(table, k, value) {
            let sums = self.0.entry(shard).or_default();
            sums[at] = sums[at].wrapping_add(digest(table, k, value));
        }
    }

    /// The ranges of a shard that are not what was kept.
    pub(super) fn unlike(
        &self,
        look: &dyn KeyspaceReader,
        shard: ShardId,
    ) -> Result<Vec<u8>, StoreError> {
        let (counted, kept) = (
            self.0.get(&shard).copied().unwrap_or_default(),
            kept(look, shard)?,
        );
        // Sixteen ranges.
        Ok((0..RANGES)
            .filter(|at| counted[*at] != kept[*at])
            .map(|at| at as u8)
            .collect())
    }
}

fn kept_at(look: &dyn KeyspaceReader, shard: ShardId, at: usize) -> Result<u128, StoreError> {
    let bytes = look.get(Table::Sums, &key(&[u64::from(shard), at as u64]))?;
    let word = bytes.and_then(|b| b.first_chunk::<16>().copied());
    Ok(word.map_or(0, u128::from_le_bytes))
}

fn kept(look: &dyn KeyspaceReader, shard: ShardId) -> Result<Sums, StoreError> {
    let mut sums = Sums::default();
    for (at, sum) in sums.iter_mut().enumerate() {
        *sum = kept_at(look, shard, at)?;
    }
    Ok(sums)
}

/// Counts all rows of shards.
fn count(look: &dyn KeyspaceReader) -> Result<Count, StoreError> {
    let mut count = Count::default();
    for table in BY_NUMBER.into_iter().chain([Table::Replays, Table::ByCall]) {
        let mut from = Vec::new();
        loop {
            let page: Vec<KeyValue> = look.scan(table, &from, &TOP, PAGE, false)?;
            page.iter().for_each(|(k, v)| count.row(table, k, v));
            let Some((last, _)) = page.last().filter(|_| page.len() == PAGE) else {
                break;
            };
            // The next key after it.
            from.clone_from(last);
            from.push(0);
        }
    }
    Ok(count)
}

/// The ranges of each shard whose rows are not what was written; none of a shard that is sound.
pub(super) fn verify(look: &dyn KeyspaceReader) -> Result<Vec<(ShardId, Vec<u8>)>, StoreError> {
    let count = count(look)?;
    let mut found = Vec::new();
    for (k, _) in look.scan(Table::Shards, &[], &TOP, usize::MAX, false)? {
        // Keys are written from numbers of shards.
        let shard = number(&k, 0) as ShardId;
        found.push((shard, count.unlike(look, shard)?));
    }
    Ok(found)
}

/// A space whose changes of shards' rows are summed.
pub(super) struct Summed<'a> {
    space: &'a mut dyn Keyspace,
    changed: BTreeMap<(ShardId, usize), u128>,
    anew: BTreeSet<ShardId>,
}

impl<'a> Summed<'a> {
    /// Round a space.
    pub(super) fn new(space: &'a mut dyn Keyspace) -> Summed<'a> {
        Summed {
            space,
            changed: BTreeMap::new(),
            anew: BTreeSet::new(),
        }
    }

    /// All of a shard was written anew: its sums are counted, whatever was kept before.
    pub(super) fn anew(&mut self, shard: ShardId) {
        self.anew.insert(shard);
    }

    /// Keeps the sums; the last step of a commit but for the store's own.
    pub(super) fn flush(&mut self) -> Result<(), StoreError> {
        let changed = std::mem::take(&mut self.changed);
        for ((shard, at), by) in changed
            .into_iter()
            .filter(|((s, _), by)| !self.anew.contains(s) && *by != 0)
        {
            let sum = kept_at(self.space, shard, at)?.wrapping_add(by);
            self.space.put(
                Table::Sums,
                &key(&[u64::from(shard), at as u64]),
                &sum.to_le_bytes(),
            )?;
        }
        let anew = std::mem::take(&mut self.anew);
        if anew.is_empty() {
            return Ok(());
        }
        let count = count(self.space)?;
        for shard in anew {
            let sums = count.0.get(&shard).copied().unwrap_or_default();
            for (at, sum) in sums.iter().enumerate() {
                self.space.put(
                    Table::Sums,
                    &key(&[u64::from(shard), at as u64]),
                    &sum.to_le_bytes(),
                )?;
            }
        }
        Ok(())
    }

    fn moved(&mut self, table: Table, k: &[u8], old: Option<&[u8]>, new: Option<&[u8]>) {
        for (value, comes) in [(old, false), (new, true)] {
            let Some((place, value)) = value.and_then(|v| Some((place_of(table, k, v)?, v))) else {
                continue;
            };
            let by = digest(table, k, value);
            let sum = self.changed.entry(place).or_default();
            *sum = if comes {
                sum.wrapping_add(by)
            } else {
                sum.wrapping_sub(by)
            };
        }
    }

    fn is_summed(table: Table) -> bool {
        BY_NUMBER.contains(&table) || matches!(table, Table::Replays | Table::ByCall)
    }
}

impl KeyspaceReader for Summed<'_> {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.space.get(table, key)
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        backwards: bool,
    ) -> Result<Vec<KeyValue>, StoreError> {
        self.space.scan(table, from, to, limit, backwards)
    }
}

impl Keyspace for Summed<'_> {
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError> {
        let old = self.space.put(table, key, value)?;
        if Summed::is_summed(table) {
            self.moved(table, key, old.as_deref(), Some(value));
        }
        Ok(old)
    }

    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let old = self.space.remove(table, key)?;
        if Summed::is_summed(table) {
            self.moved(table, key, old.as_deref(), None);
        }
        Ok(old)
    }
}

#[cfg(test)]
mod fixture_tests;
