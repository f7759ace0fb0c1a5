//! Errors of the store.

use thiserror::Error;

use crate::replication::error::ReplicationError;
use crate::replication::ShardId;

/// Why the store cannot carry out an operation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Another process has the file open. It has to end first.
    #[error("the store is held by another process")]
    Locked,
    /// The file is not a store of this program. The operator has to name another path.
    #[error("the file is not a store of this program: {0}")]
    NotAStore(String),
    /// The file was written by a newer version, which has to be installed to read it.
    #[error("the store has format {0}, which is newer than this program")]
    NewerFormat(u32),
    /// A record cannot be decoded. `molelug store check` repairs what can be repaired.
    #[error("the store holds {0} that cannot be read")]
    Unreadable(&'static str),
    /// The disk failed or is full; the operation is not durable. The writer opens the file again by
    /// itself.
    #[error("the store cannot be written or read: {0}")]
    Io(String),
    /// The limit of stored bytes is reached. Calls are accepted again once others have completed.
    #[error("the store holds as much as it may")]
    Full,
    /// The rows of some ranges of a shard do not match their checksums. They are repaired from
    /// another replica.
    #[error("ranges {1:?} of shard {0} are not what was written")]
    ChecksumMismatch(ShardId, Vec<u8>),
    /// The record is not committed: not enough replicas have acknowledged it.
    #[error("{0}")]
    NotCommitted(ReplicationError),
}
