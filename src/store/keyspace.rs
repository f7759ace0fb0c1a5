//! Ordered tables of byte keys and values: the storage interface of [`super::tables`], and its
//! implementation in memory. [`super::disk`] implements the interface for the file.

use std::collections::BTreeMap;

use super::error::StoreError;

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// The store's header, the disk's identity, and the voter's metadata, by name.
    Meta,
    /// Calls without an outcome, by sequence number.
    Calls,
    /// Messages, by sequence number.
    Messages,
    /// Bodies of messages, by sequence number.
    Bodies,
    /// Messages that this gateway has to deliver, by endpoint, due time and sequence number.
    Waiting,
    /// Start times of unfinished attempts, by the message's sequence number.
    StartedAttempts,
    /// Finished attempts, by the message's sequence number and a counter.
    Attempts,
    /// Index of messages by tenant and sequence number.
    MessagesByTenant,
    /// States of calls, by tenant and call identity.
    CallStates,
    /// Index of call states by time, for retention.
    CallStateAges,
    /// Identities of accepted calls, by digest.
    Identities,
    /// Index of identities by expiry time, for retention.
    IdentityAges,
    /// The first message of each order key, by endpoint and order key.
    OrderHeads,
    /// Messages behind the first of their order key, by endpoint, order key and sequence number.
    OrderQueue,
    /// Entries of the consensus log, by index.
    Log,
    /// Headers of shards, by shard.
    Shards,
    /// Checksums of rows, by shard and range.
    Checksums,
}

impl Table {
    /// All tables.
    pub const ALL: [Table; 17] = [
        Table::Meta,
        Table::Calls,
        Table::Messages,
        Table::Bodies,
        Table::Waiting,
        Table::StartedAttempts,
        Table::Attempts,
        Table::MessagesByTenant,
        Table::CallStates,
        Table::CallStateAges,
        Table::Identities,
        Table::IdentityAges,
        Table::OrderHeads,
        Table::OrderQueue,
        Table::Log,
        Table::Shards,
        Table::Checksums,
    ];

    /// Returns the table's name in the file.
    pub fn name(self) -> &'static str {
        match self {
            Table::Meta => "meta",
            Table::Calls => "calls",
            Table::Messages => "messages",
            Table::Bodies => "bodies",
            Table::Waiting => "waiting",
            Table::StartedAttempts => "begun",
            Table::Attempts => "attempts",
            Table::MessagesByTenant => "by_tenant",
            Table::CallStates => "by_call",
            Table::CallStateAges => "call_ages",
            Table::Identities => "replays",
            Table::IdentityAges => "replay_ages",
            Table::OrderHeads => "heads",
            Table::OrderQueue => "behind",
            Table::Log => "log",
            Table::Shards => "shards",
            Table::Checksums => "sums",
        }
    }
}

/// A key and its value.
pub type KeyValue = (Vec<u8>, Vec<u8>);

/// The order in which a scan returns rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanOrder {
    /// From the lowest key.
    Ascending,
    /// From the highest key.
    Descending,
}

/// Read access to ordered tables of bytes.
pub trait KeyspaceReader {
    /// Returns the value of a key.
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError>;
    /// Returns up to `limit` rows whose keys are at least `from` and below `to`, in the given
    /// order.
    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        order: ScanOrder,
    ) -> Result<Vec<KeyValue>, StoreError>;

    /// Returns all rows whose keys are at least `from` and below `to`.
    fn scan_all(&self, table: Table, from: &[u8], to: &[u8]) -> Result<Vec<KeyValue>, StoreError> {
        self.scan(table, from, to, usize::MAX, ScanOrder::Ascending)
    }
}

/// Read and write access to ordered tables of bytes.
pub trait Keyspace: KeyspaceReader {
    /// Sets the value of a key and returns its previous value.
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError>;
    /// Removes a key and returns its value.
    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Tables in memory. Their content is lost when the process exits.
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
        order: ScanOrder,
    ) -> Result<Vec<KeyValue>, StoreError> {
        if from >= to {
            return Ok(Vec::new());
        }
        let rows = self
            .0
            .range((table, from.to_vec())..(table, to.to_vec()))
            .map(|((_, key), value)| (key.clone(), value.clone()));
        Ok(match order {
            ScanOrder::Ascending => rows.take(limit).collect(),
            ScanOrder::Descending => rows.rev().take(limit).collect(),
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
