//! Errors of the store.

use thiserror::Error;

use crate::replication::error::ReplicationError;
use crate::replication::ShardId;

/// An error of a store operation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Another process has the file open, and has to exit first.
    #[error("the store is held by another process")]
    Locked,
    /// The file is not a store of this program. The operator has to configure another path.
    #[error("the file is not a store of this program: {0}")]
    NotAStore(String),
    /// The file was written by a newer version of the program; only such a version can read it.
    #[error("the store has format {0}, which is newer than this program")]
    NewerFormat(u32),
    /// A record cannot be decoded. `molelug store check` repairs the file as far as possible.
    #[error("the store holds {0} that cannot be read")]
    Unreadable(&'static str),
    /// The disk failed or is full, and the operation is not durable. The writer reopens the file
    /// automatically.
    #[error("the store cannot be written or read: {0}")]
    Io(String),
    /// The stored bodies have reached their size limit. New calls are accepted again once pending
    /// calls complete.
    #[error("the stored bodies have reached their size limit")]
    Full,
    /// Rows of a shard do not match the checksums of the listed ranges. The shard is repaired from
    /// another replica.
    #[error("ranges {1:?} of shard {0} are not what was written")]
    ChecksumMismatch(ShardId, Vec<u8>),
    /// Replication did not commit the operation, for example because too few replicas
    /// acknowledged it.
    #[error("{0}")]
    NotCommitted(ReplicationError),
}
