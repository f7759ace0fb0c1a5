//! The file: an embedded database with atomic commits, each synced before it is told done.

use std::path::Path;
use std::sync::Arc;

use redb::{
    Database, DatabaseError, Durability, ReadOnlyTable, ReadTransaction, ReadableDatabase,
    ReadableTable, StorageBackend, TableDefinition, TableError, WriteTransaction,
};

use super::checksums::{self, Summed};
use super::keyspace::{KeyValue, Keyspace, KeyspaceReader, Table};
use super::records::{Op, Reply, StoreError};
use super::tables::{RecoveredState, Tables};
use crate::api::Micros;
use crate::replication::ShardId;

/// Bytes of the database's own cache.
const CACHE: usize = 8 << 20;

type Definition = TableDefinition<'static, &'static [u8], &'static [u8]>;

fn definition(table: Table) -> Definition {
    TableDefinition::new(table.name())
}

fn disk(e: impl std::fmt::Display) -> StoreError {
    StoreError::Io(e.to_string())
}

struct Transaction<'a>(&'a WriteTransaction);

fn scanned(
    table: &impl ReadableTable<&'static [u8], &'static [u8]>,
    from: &[u8],
    to: &[u8],
    limit: usize,
    backwards: bool,
) -> Result<Vec<KeyValue>, StoreError> {
    if from >= to {
        return Ok(Vec::new());
    }
    let mut range = table.range(from..to).map_err(disk)?;
    let mut found = Vec::new();
    while found.len() < limit {
        let next = if backwards {
            range.next_back()
        } else {
            range.next()
        };
        let Some(pair) = next else { break };
        let (k, v) = pair.map_err(disk)?;
        found.push((k.value().to_vec(), v.value().to_vec()));
    }
    Ok(found)
}

impl KeyspaceReader for Transaction<'_> {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let table = self.0.open_table(definition(table)).map_err(disk)?;
        let value = table.get(key).map_err(disk)?;
        Ok(value.map(|v| v.value().to_vec()))
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        backwards: bool,
    ) -> Result<Vec<KeyValue>, StoreError> {
        let table = self.0.open_table(definition(table)).map_err(disk)?;
        scanned(&table, from, to, limit, backwards)
    }
}

impl Keyspace for Transaction<'_> {
    fn put(
        &mut self,
        table: Table,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<Vec<u8>>, StoreError> {
        let mut table = self.0.open_table(definition(table)).map_err(disk)?;
        let old = table.insert(key, value).map_err(disk)?;
        Ok(old.map(|v| v.value().to_vec()))
    }

    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let mut table = self.0.open_table(definition(table)).map_err(disk)?;
        let old = table.remove(key).map_err(disk)?;
        Ok(old.map(|v| v.value().to_vec()))
    }
}

/// The file as of one commit, read beside the one thread that writes.
#[derive(Debug)]
pub struct Reader(Arc<Database>);

struct Reading(ReadTransaction);

type ReadTable = ReadOnlyTable<&'static [u8], &'static [u8]>;

impl Reading {
    fn table(&self, table: Table) -> Result<Option<ReadTable>, StoreError> {
        match self.0.open_table(definition(table)) {
            Ok(table) => Ok(Some(table)),
            Err(TableError::TableDoesNotExist(_)) => Ok(None),
            Err(e) => Err(disk(e)),
        }
    }
}

impl KeyspaceReader for Reading {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(table) = self.table(table)? else {
            return Ok(None);
        };
        let value = table.get(key).map_err(disk)?;
        Ok(value.map(|v| v.value().to_vec()))
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        backwards: bool,
    ) -> Result<Vec<KeyValue>, StoreError> {
        let Some(table) = self.table(table)? else {
            return Ok(Vec::new());
        };
        scanned(&table, from, to, limit, backwards)
    }
}

impl Reader {
    /// Counts all that the disk holds of shards; the ranges of each that are not what was written.
    pub fn verify(&self) -> Result<Vec<(ShardId, Vec<u8>)>, StoreError> {
        checksums::verify(&Reading(self.0.begin_read().map_err(disk)?))
    }
}

/// The store's file, open and held.
#[derive(Debug)]
pub struct Disk {
    database: Arc<Database>,
    tables: Tables,
}

fn opened(e: DatabaseError) -> StoreError {
    match e {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
        DatabaseError::UpgradeRequired(v) => StoreError::NotAStore(format!("file format {v}")),
        DatabaseError::Storage(redb::StorageError::Io(e))
            if e.kind() == std::io::ErrorKind::InvalidData =>
        {
            StoreError::NotAStore(e.to_string())
        }
        DatabaseError::Storage(redb::StorageError::Corrupted(e)) => StoreError::NotAStore(e),
        e => disk(e),
    }
}

impl Disk {
    /// Opens or makes a file, and tells what is in it. `most_bytes` bounds the bodies that wait.
    pub fn open(
        path: &Path,
        most_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, RecoveredState), StoreError> {
        // The file holds what tenants send: it is made for its owner alone.
        use std::os::unix::fs::OpenOptionsExt;
        let made = std::fs::OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(path);
        if let Err(e) = made {
            if e.kind() != std::io::ErrorKind::AlreadyExists {
                return Err(disk(e));
            }
        }
        let database = Database::builder()
            .set_cache_size(CACHE)
            .create(path)
            .map_err(opened)?;
        Disk::with(database, most_bytes, now)
    }

    /// Opens a file again after an error within one process: attempts that had begun are still out, and nothing is
    /// settled.
    pub fn reopen(path: &Path, most_bytes: u64) -> Result<Disk, StoreError> {
        let database = Database::builder()
            .set_cache_size(CACHE)
            .create(path)
            .map_err(opened)?;
        let write = database.begin_write().map_err(disk)?;
        let tables = Tables::resume(&mut Transaction(&write), true, most_bytes);
        write.abort().map_err(disk)?;
        Ok(Disk {
            database: Arc::new(database),
            tables: tables?,
        })
    }

    /// Opens a store on a backend of the caller's, such as one that fails.
    pub fn open_backend(
        backend: impl StorageBackend,
        most_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, RecoveredState), StoreError> {
        let database = Database::builder()
            .set_cache_size(CACHE)
            .create_with_backend(backend)
            .map_err(opened)?;
        Disk::with(database, most_bytes, now)
    }

    fn with(
        database: Database,
        most_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, RecoveredState), StoreError> {
        let write = database.begin_write().map_err(disk)?;
        let opened = Tables::open(&mut Transaction(&write), true, most_bytes, now);
        let (tables, found) = match opened {
            Ok(opened) => opened,
            Err(e) => {
                // Left as it was found.
                write.abort().map_err(disk)?;
                return Err(e);
            }
        };
        write.commit().map_err(disk)?;
        Ok((
            Disk {
                database: Arc::new(database),
                tables,
            },
            found,
        ))
    }

    /// Does all of these in one synced commit, or none of them. An operation that the store itself refuses, such
    /// as a call for which there is no room, fails alone.
    pub fn commit(
        &mut self,
        ops: impl IntoIterator<Item = Op>,
        now: Micros,
    ) -> Result<Vec<Result<Reply, StoreError>>, StoreError> {
        let mut write = self.database.begin_write().map_err(disk)?;
        write.set_durability(Durability::Immediate).map_err(disk)?;
        let mut tables = self.tables.clone();
        let mut replies = Vec::new();
        {
            let mut space = Transaction(&write);
            let mut summed = Summed::new(&mut space);
            for op in ops {
                let anew = match &op {
                    Op::InstallShard(shard, ..) => Some(*shard),
                    _ => None,
                };
                match tables.apply(&mut summed, op) {
                    Err(e @ (StoreError::Io(_) | StoreError::Unreadable(_))) => return Err(e),
                    reply => replies.push(reply),
                }
                anew.into_iter()
                    .chain(tables.unsummed())
                    .for_each(|shard| summed.anew(shard));
            }
            summed.flush()?;
            tables.finish(&mut space, now)?;
        }
        write.commit().map_err(disk)?;
        self.tables = tables;
        Ok(replies)
    }

    /// Gives space that is free in the file back to the disk; tells whether there was any.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        Arc::get_mut(&mut self.database)
            .ok_or(StoreError::Locked)?
            .compact()
            .map_err(disk)
    }

    /// Checks the file from end to end; tells whether it was sound as it stood.
    pub fn check_integrity(&mut self) -> Result<bool, StoreError> {
        Arc::get_mut(&mut self.database)
            .ok_or(StoreError::Locked)?
            .check_integrity()
            .map_err(disk)
    }

    /// Reads beside the thread that writes.
    pub fn reader(&self) -> Reader {
        Reader(self.database.clone())
    }
}
