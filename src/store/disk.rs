//! The file: an embedded database with atomic commits, each synced before it is told done.

use std::path::Path;

use redb::{
    Database, DatabaseError, Durability, ReadableTable, StorageBackend, TableDefinition, WriteTransaction,
};

use super::records::{Op, Reply, StoreError};
use super::space::{Pair, Space, Table};
use super::tables::{Found, Tables};
use crate::api::Micros;

/// Bytes of the database's own cache.
const CACHE: usize = 8 << 20;

type Definition = TableDefinition<'static, &'static [u8], &'static [u8]>;

fn definition(table: Table) -> Definition {
    TableDefinition::new(table.name())
}

fn disk(e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

struct Transaction<'a>(&'a WriteTransaction);

impl Space for Transaction<'_> {
    fn get(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let table = self.0.open_table(definition(table)).map_err(disk)?;
        let value = table.get(key).map_err(disk)?;
        Ok(value.map(|v| v.value().to_vec()))
    }

    fn put(&mut self, table: Table, key: &[u8], value: &[u8]) -> Result<(), StoreError> {
        let mut table = self.0.open_table(definition(table)).map_err(disk)?;
        table.insert(key, value).map_err(disk)?;
        Ok(())
    }

    fn remove(&mut self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        let mut table = self.0.open_table(definition(table)).map_err(disk)?;
        let old = table.remove(key).map_err(disk)?;
        Ok(old.map(|v| v.value().to_vec()))
    }

    fn scan(
        &self,
        table: Table,
        from: &[u8],
        to: &[u8],
        limit: usize,
        backwards: bool,
    ) -> Result<Vec<Pair>, StoreError> {
        if from >= to {
            return Ok(Vec::new());
        }
        let table = self.0.open_table(definition(table)).map_err(disk)?;
        let mut range = table.range(from..to).map_err(disk)?;
        let mut found = Vec::new();
        while found.len() < limit {
            let next = if backwards { range.next_back() } else { range.next() };
            let Some(pair) = next else { break };
            let (k, v) = pair.map_err(disk)?;
            found.push((k.value().to_vec(), v.value().to_vec()));
        }
        Ok(found)
    }
}

/// The store's file, open and held.
#[derive(Debug)]
pub struct Disk {
    database: Database,
    tables: Tables,
}

fn opened(e: DatabaseError) -> StoreError {
    match e {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Held,
        DatabaseError::UpgradeRequired(v) => StoreError::Foreign(format!("file format {v}")),
        DatabaseError::Storage(redb::StorageError::Io(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
            StoreError::Foreign(e.to_string())
        }
        DatabaseError::Storage(redb::StorageError::Corrupted(e)) => StoreError::Foreign(e),
        e => disk(e),
    }
}

impl Disk {
    /// Opens or makes a file, and tells what is in it. `most_bytes` bounds the bodies that wait.
    pub fn open(path: &Path, most_bytes: u64, now: Micros) -> Result<(Disk, Found), StoreError> {
        // The file holds what tenants send: it is made for its owner alone.
        use std::os::unix::fs::OpenOptionsExt;
        let made = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
        if let Err(e) = made {
            if e.kind() != std::io::ErrorKind::AlreadyExists {
                return Err(disk(e));
            }
        }
        let database = Database::builder().set_cache_size(CACHE).create(path).map_err(opened)?;
        Disk::with(database, most_bytes, now)
    }

    /// Opens a file again after an error within one process: attempts that had begun are still out, and nothing is
    /// settled.
    pub fn reopen(path: &Path, most_bytes: u64) -> Result<Disk, StoreError> {
        let database = Database::builder().set_cache_size(CACHE).create(path).map_err(opened)?;
        let write = database.begin_write().map_err(disk)?;
        let tables = Tables::resume(&mut Transaction(&write), true, most_bytes);
        write.abort().map_err(disk)?;
        Ok(Disk { database, tables: tables? })
    }

    /// Opens a store on a backend of the caller's, such as one that fails.
    pub fn open_backend(
        backend: impl StorageBackend,
        most_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, Found), StoreError> {
        let database =
            Database::builder().set_cache_size(CACHE).create_with_backend(backend).map_err(opened)?;
        Disk::with(database, most_bytes, now)
    }

    fn with(database: Database, most_bytes: u64, now: Micros) -> Result<(Disk, Found), StoreError> {
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
        Ok((Disk { database, tables }, found))
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
            for op in ops {
                match tables.apply(&mut space, op) {
                    Err(e @ (StoreError::Disk(_) | StoreError::Damaged(_))) => return Err(e),
                    reply => replies.push(reply),
                }
            }
            tables.finish(&mut space, now)?;
        }
        write.commit().map_err(disk)?;
        self.tables = tables;
        Ok(replies)
    }

    /// Gives space that is free in the file back to the disk; tells whether there was any.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.database.compact().map_err(disk)
    }

    /// Checks the file from end to end; tells whether it was sound as it stood.
    pub fn check(&mut self) -> Result<bool, StoreError> {
        self.database.check_integrity().map_err(disk)
    }
}
