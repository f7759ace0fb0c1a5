//! Tables of bytes: what the store's logic stands on, in memory or in a file's transaction.

use std::collections::BTreeMap;

use super::records::StoreError;

/// The tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Table {
    Meta,
    Calls,
    Messages,
    Bodies,
    Waiting,
    Begun,
    Attempts,
    ByTenant,
    ByCall,
    CallAges,
    Replays,
    ReplayAges,
    Heads,
    Behind,
    Log,
    Shards,
    Sums,
}

impl Table {
    /// All of them.
    pub const ALL: [Table; 17] = [
        Table::Meta,
        Table::Calls,
        Table::Messages,
        Table::Bodies,
        Table::Waiting,
        Table::Begun,
        Table::Attempts,
        Table::ByTenant,
        Table::ByCall,
        Table::CallAges,
        Table::Replays,
        Table::ReplayAges,
        Table::Heads,
        Table::Behind,
        Table::Log,
        Table::Shards,
        Table::Sums,
    ];

    /// Its name in the file.
    pub fn name(self) -> &'static str {
        match self {
            Table::Meta => "meta",
            Table::Calls => "calls",
            Table::Messages => "messages",
            Table::Bodies => "bodies",
            Table::Waiting => "waiting",
            Table::Begun => "begun",
            Table::Attempts => "attempts",
            Table::ByTenant => "by_tenant",
            Table::ByCall => "by_call",
            Table::CallAges => "call_ages",
            Table::Replays => "replays",
            Table::ReplayAges => "replay_ages",
            Table::Heads => "heads",
            Table::Behind => "behind",
            Table::Log => "log",
            Table::Shards => "shards",
            Table::Sums => "sums",
        }
    }
}

/// A key and its value.
pub type KeyValue = (Vec<u8>, Vec<u8>);

/// Ordered tables of bytes, to be looked at.
pub trait KeyspaceReader {
    /// A value.
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError>;
    /// The first pairs from `from` up to and without `to`; the last ones, backwards, if asked so.
    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        backwards: bool,
    ) -> Result<Vec<KeyValue>, StoreError>;
}

/// Ordered tables of bytes.
pub trait Keyspace: KeyspaceReader {
    /// Sets a value and returns the one before it.
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError>;
    /// Removes a value and returns it.
    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Tables in memory, which last as long as the process.
#[derive(Clone, Debug, Default)]
pub struct MemoryKeyspace(BTreeMap<(Table, Vec<u8>), Vec<u8>>);

impl KeyspaceReader for MemoryKeyspace {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.0.get(&(table, key.to_vec())).cloned())
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        backwards: bool,
    ) -> Result<Vec<KeyValue>, StoreError> {
        if from >= to {
            return Ok(Vec::new());
        }
        let range = self.0.range((table, from.to_vec())..(table, to.to_vec()));
        let pair = |((_, k), v): (&(Table, Vec<u8>), &Vec<u8>)| (k.clone(), v.clone());
        Ok(match backwards {
            false => range.take(limit).map(pair).collect(),
            true => range.rev().take(limit).map(pair).collect(),
        })
    }
}

impl Keyspace for MemoryKeyspace {
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.0.insert((table, key.to_vec()), value.to_vec()))
    }

    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.0.remove(&(table, key.to_vec())))
    }
}
