//! The file of the store: an embedded database with atomic, synced commits.

use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::Arc;

use redb::{Database, DatabaseError, Durability, ReadableDatabase, StorageBackend, StorageError};

use super::checksums::{self, ChecksummedKeyspace};
use super::error::StoreError;
use super::operations::{Op, Reply};
use super::tables::{RecoveredState, Tables};
use crate::api::Micros;
use crate::replication::ShardId;

mod transaction;

use transaction::{ReadSnapshot, Transaction};

/// The size of the database cache in bytes.
const CACHE_BYTES: usize = 8 << 20;
/// The mode of a new file. Only the owner may read it, because it contains tenants' data.
const FILE_MODE: u32 = 0o600;

fn io_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Io(error.to_string())
}

fn open_error(error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
        DatabaseError::UpgradeRequired(format) => {
            StoreError::NotAStore(format!("file format {format}"))
        }
        DatabaseError::Storage(StorageError::Io(error))
            if error.kind() == ErrorKind::InvalidData =>
        {
            StoreError::NotAStore(error.to_string())
        }
        DatabaseError::Storage(StorageError::Corrupted(reason)) => StoreError::NotAStore(reason),
        error => io_error(error),
    }
}

fn open_database(path: &Path) -> Result<Database, StoreError> {
    Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create(path)
        .map_err(open_error)
}

/// Creates an empty file, unless the file exists.
fn create_file(path: &Path) -> Result<(), StoreError> {
    let created = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(FILE_MODE)
        .open(path);
    match created {
        Err(error) if error.kind() != ErrorKind::AlreadyExists => Err(io_error(error)),
        _ => Ok(()),
    }
}

/// A reader of the last committed state of the file, for use on any thread.
#[derive(Debug)]
pub struct Reader(Arc<Database>);

impl Reader {
    /// Compares the rows of all shards with their checksums, and returns the mismatched ranges of
    /// each shard.
    pub fn verify(&self) -> Result<Vec<(ShardId, Vec<u8>)>, StoreError> {
        let transaction = self.0.begin_read().map_err(io_error)?;
        checksums::verify(&ReadSnapshot(transaction))
    }
}

/// The store's file, open and locked.
#[derive(Debug)]
pub struct Disk {
    database: Arc<Database>,
    tables: Tables,
}

impl Disk {
    /// Opens or creates a file, and returns the state recovered from it. `max_bytes` limits the
    /// total size of stored bodies.
    pub fn open(
        path: &Path,
        max_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, RecoveredState), StoreError> {
        create_file(path)?;
        Disk::recover(open_database(path)?, max_bytes, now)
    }

    /// Reopens a file after an error, in the same process. Nothing is recovered, because the
    /// attempts that were started are still in flight.
    pub fn reopen(path: &Path, max_bytes: u64) -> Result<Disk, StoreError> {
        let database = open_database(path)?;
        let write = database.begin_write().map_err(io_error)?;
        let tables = Tables::resume(&mut Transaction(&write), true, max_bytes);
        write.abort().map_err(io_error)?;
        Ok(Disk {
            database: Arc::new(database),
            tables: tables?,
        })
    }

    /// Opens a store on a given backend, such as one that injects faults.
    pub fn open_backend(
        backend: impl StorageBackend,
        max_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, RecoveredState), StoreError> {
        let database = Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(backend)
            .map_err(open_error)?;
        Disk::recover(database, max_bytes, now)
    }

    fn recover(
        database: Database,
        max_bytes: u64,
        now: Micros,
    ) -> Result<(Disk, RecoveredState), StoreError> {
        let write = database.begin_write().map_err(io_error)?;
        let opened = Tables::open(&mut Transaction(&write), true, max_bytes, now);
        let (tables, recovered) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                // Leaves the file unchanged.
                write.abort().map_err(io_error)?;
                return Err(error);
            }
        };
        write.commit().map_err(io_error)?;
        let disk = Disk {
            database: Arc::new(database),
            tables,
        };
        Ok((disk, recovered))
    }

    /// Applies all operations in one synced commit, or none of them. If the store rejects an
    /// operation, for example because of its size limit, only this operation fails.
    pub fn commit(
        &mut self,
        ops: impl IntoIterator<Item = Op>,
        now: Micros,
    ) -> Result<Vec<Result<Reply, StoreError>>, StoreError> {
        let mut write = self.database.begin_write().map_err(io_error)?;
        write
            .set_durability(Durability::Immediate)
            .map_err(io_error)?;
        let mut tables = self.tables.clone();
        let mut transaction = Transaction(&write);
        let mut keyspace = ChecksummedKeyspace::new(&mut transaction);
        let mut replies = Vec::new();
        for op in ops {
            match apply_checksummed(&mut tables, &mut keyspace, op) {
                Err(error @ (StoreError::Io(_) | StoreError::Unreadable(_))) => return Err(error),
                reply => replies.push(reply),
            }
        }
        keyspace.flush()?;
        tables.finish(&mut transaction, now)?;
        write.commit().map_err(io_error)?;
        self.tables = tables;
        Ok(replies)
    }

    /// Returns free space in the file to the file system; returns whether there was any.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.exclusive()?.compact().map_err(io_error)
    }

    /// Checks and repairs the whole file; returns whether the file was intact.
    pub fn check_integrity(&mut self) -> Result<bool, StoreError> {
        self.exclusive()?.check_integrity().map_err(io_error)
    }

    fn exclusive(&mut self) -> Result<&mut Database, StoreError> {
        Arc::get_mut(&mut self.database).ok_or(StoreError::Locked)
    }

    /// Returns a reader for another thread.
    pub fn reader(&self) -> Reader {
        Reader(self.database.clone())
    }
}

/// Applies an operation, and marks the shards whose checksums have to be recomputed from all rows.
/// Before an operation that compares rows with checksums, the pending checksums are stored.
pub(super) fn apply_checksummed(
    tables: &mut Tables,
    keyspace: &mut ChecksummedKeyspace<'_>,
    op: Op,
) -> Result<Reply, StoreError> {
    if op.verifies_checksums() {
        // Otherwise a shard that an earlier operation of the same commit changed would appear
        // damaged.
        keyspace.flush()?;
    }
    let installed = match &op {
        Op::InstallShard(install) => Some(install.shard),
        _ => None,
    };
    let reply = tables.apply(keyspace, op);
    for shard in installed
        .into_iter()
        .chain(tables.take_shards_to_recompute())
    {
        keyspace.recompute(shard);
    }
    reply
}
