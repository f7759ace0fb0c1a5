//! Errors of replication, and what an operator can do about them.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Epoch, Name, ShardId};

/// Why a record is not committed. It may have no effect; a retry with the same identity is safe.
///
/// Postcard encodes the error, so the order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize)]
pub enum ReplicationError {
    /// This gateway is not the primary of the shard.
    #[error("shard {shard} is led by {}", primary.as_deref().unwrap_or("nobody"))]
    NotPrimary {
        /// The shard.
        shard: ShardId,
        /// The primary, as far as is known here.
        primary: Option<Name>,
    },
    /// Another gateway has become the primary.
    #[error("shard {shard} was taken over: epoch {ours} here, {theirs} agreed")]
    Superseded {
        /// The shard.
        shard: ShardId,
        /// The epoch under which this gateway was the primary.
        ours: Epoch,
        /// The agreed epoch.
        theirs: Epoch,
    },
    /// The shard has fewer replicas than calls of this class need.
    #[error("shard {shard} is held by {have} machines, a promise asks for {want}")]
    TooFewReplicas {
        /// The shard.
        shard: ShardId,
        /// The number of replicas.
        have: usize,
        /// The number that is needed.
        want: usize,
    },
    /// The primary did not answer in time.
    #[error("nobody who leads shard {shard} answered in time")]
    PrimaryUnreachable {
        /// The shard.
        shard: ShardId,
    },
    /// Too many requests to other gateways are pending.
    #[error("{open} questions to other gateways are under way, as many as may be")]
    TooManyRequests {
        /// The number.
        open: usize,
    },
    /// Too many bytes of records wait for the acknowledgements of replicas.
    #[error("{bytes} bytes of shard {shard} wait for other disks, as many as may")]
    ReplicationLag {
        /// The shard.
        shard: ShardId,
        /// The number.
        bytes: usize,
    },
    /// The record is too long.
    #[error("a record of {bytes} bytes is longer than the {max} that one may have")]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The maximum length.
        max: usize,
    },
    /// The identity was used before.
    #[error("the identity was taken before")]
    DuplicateIdentity,
    /// The identity has expired at the primary, or so nearly that it may have been removed.
    #[error(
        "the identity's time is over in shard {shard}, so that nobody can tell whether it was taken before"
    )]
    IdentityExpired {
        /// The shard.
        shard: ShardId,
    },
    /// The primary does not know the class, tenant or kind of request.
    #[error("the primary's settings do not know this {subject}")]
    Unknown {
        /// What the primary does not know.
        subject: String,
    },
    /// The primary has too many calls in flight.
    #[error("the primary has too many calls under way")]
    PrimaryOverloaded,
    /// The gateway is shutting down.
    #[error("the gateway is about to end")]
    ShuttingDown,
}

impl ReplicationError {
    /// Returns what an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            ReplicationError::NotPrimary { .. } => {
                "wait: a member of the set takes the shard over by itself; if none does, look at whether the council has a majority"
            }
            ReplicationError::Superseded { .. } => "nothing: the shard goes on elsewhere; look at why this gateway was silent for so long",
            ReplicationError::TooFewReplicas { .. } => {
                "start the gateways that are down, or name further ones under [members]; or allow fewer copies for the class with when_fewer"
            }
            ReplicationError::PrimaryUnreachable { .. } => "look at the links between gateways and at whether the council has a majority",
            ReplicationError::TooManyRequests { .. } => "look for a primary that is slow; callers may try again",
            ReplicationError::ReplicationLag { .. } => "look for a gateway of the set with a slow disk or link; it is left out after stall_ms",
            ReplicationError::TooLong { .. } => "have callers send smaller bodies",
            ReplicationError::DuplicateIdentity => "nothing: the call has its answer, or will have it",
            ReplicationError::IdentityExpired { .. } => "look at the clocks of the gateways and of the caller; the call may be sent under a new identity",
            ReplicationError::Unknown { .. } => "give all gateways the same classes and tenants",
            ReplicationError::PrimaryOverloaded => "raise webhooks.pending, or add gateways",
            ReplicationError::ShuttingDown => "nothing: callers find another gateway",
        }
    }
}

/// Why a replica declines a message of its primary.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize)]
pub enum Declined {
    /// The epoch of the sender is over.
    #[error("epoch {theirs} of shard {shard} is over: {ours} is agreed")]
    Stale {
        /// The shard.
        shard: ShardId,
        /// The sender's epoch.
        theirs: Epoch,
        /// The agreed one.
        ours: Epoch,
    },
    /// The snapshot is too long.
    #[error("a snapshot of shard {shard} is longer than {max} bytes")]
    TooLong {
        /// The shard.
        shard: ShardId,
        /// The maximum length.
        max: usize,
    },
}

impl Declined {
    /// Returns what an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Declined::Stale { .. } => {
                "nothing: a late word of an older primary was refused, as it has to be"
            }
            Declined::TooLong { .. } => "raise the number of shards, so that each holds less",
        }
    }
}

/// Why the replication file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: {error}; look at the path and at who may read it", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error.
        error: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}{}: {message}; see docs/operators/copies.md for what each key takes", line.map_or(String::new(), |line| format!(" line {line}")), path = path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The line.
        line: Option<usize>,
        /// What is wrong, and what is expected.
        message: String,
    },
    /// A value is out of range.
    #[error("{key} = {value}: expected {expected}")]
    Value {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The expected values.
        expected: String,
    },
}
