//! Errors of replication, and what an operator can do about them.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Epoch, Name, ShardId};

/// The reason why a record is not committed. It may have no effect; a retry with the same identity
/// is safe.
///
/// Postcard encodes the error, so the order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize)]
pub enum ReplicationError {
    /// This gateway is not the primary of the shard.
    #[error("not the primary of shard {shard}; the primary is {}", primary.as_deref().unwrap_or("unknown"))]
    NotPrimary {
        /// The shard.
        shard: ShardId,
        /// The primary, as far as is known here.
        primary: Option<Name>,
    },
    /// Another gateway has become the primary.
    #[error("the primary of shard {shard} was superseded: its epoch is {ours}, the agreed epoch is {theirs}")]
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
    #[error("the primary of shard {shard} did not respond in time")]
    PrimaryUnreachable {
        /// The shard.
        shard: ShardId,
    },
    /// Too many requests to other gateways are pending.
    #[error("{open} requests to other gateways are pending, which is the maximum")]
    TooManyRequests {
        /// The number of pending requests.
        open: usize,
    },
    /// Too many bytes of records wait for the acknowledgements of replicas.
    #[error("{bytes} bytes of shard {shard} wait for acknowledgements of replicas, which is over the limit")]
    ReplicationLag {
        /// The shard.
        shard: ShardId,
        /// The number of uncommitted bytes.
        bytes: usize,
    },
    /// The record is too long.
    #[error("a record of {bytes} bytes exceeds the maximum of {max} bytes")]
    TooLong {
        /// The length of the record.
        bytes: usize,
        /// The maximum length.
        max: usize,
    },
    /// The identity was used before.
    #[error("the identity was taken before")]
    DuplicateIdentity,
    /// The identity has expired at the primary, or may have been removed there already.
    #[error(
        "the identity has expired in shard {shard}, so it is unknown whether it was used before"
    )]
    IdentityExpired {
        /// The shard.
        shard: ShardId,
    },
    /// The primary does not know the class, tenant or kind of request.
    #[error("the primary does not know this {subject}")]
    Unknown {
        /// The unknown item, for example `class or tenant`.
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
    /// Returns the action that an operator can take.
    pub fn remedy(&self) -> &'static str {
        match self {
            ReplicationError::NotPrimary { .. } => {
                "wait until a member of the replica set takes over the shard; if none does, check that the council has a majority"
            }
            ReplicationError::Superseded { .. } => "no action needed for the shard, which continues elsewhere; find out why this gateway was unreachable",
            ReplicationError::TooFewReplicas { .. } => {
                "start the gateways that are down, or add gateways under [members]; or allow fewer replicas for the class with when_fewer"
            }
            ReplicationError::PrimaryUnreachable { .. } => "check the connections between the gateways, and that the council has a majority",
            ReplicationError::TooManyRequests { .. } => "look for a slow primary; callers can retry",
            ReplicationError::ReplicationLag { .. } => "look for a member of the replica set with a slow disk or connection; it is removed after stall_ms",
            ReplicationError::TooLong { .. } => "have callers send smaller bodies",
            ReplicationError::DuplicateIdentity => "no action needed: the first call with this identity is answered or will be",
            ReplicationError::IdentityExpired { .. } => "check the clocks of the gateways and of the caller; the call can be sent under a new identity",
            ReplicationError::Unknown { .. } => "configure the same classes and tenants at all gateways",
            ReplicationError::PrimaryOverloaded => "raise webhooks.pending, or add gateways",
            ReplicationError::ShuttingDown => "no action needed: callers use another gateway",
        }
    }
}

/// The reason why a replica declines a message of its primary.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize)]
pub enum Declined {
    /// The sender's epoch was superseded.
    #[error("epoch {theirs} of shard {shard} is over: {ours} is agreed")]
    Stale {
        /// The shard.
        shard: ShardId,
        /// The sender's epoch.
        theirs: Epoch,
        /// The agreed epoch.
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
    /// Returns the action that an operator can take.
    pub fn remedy(&self) -> &'static str {
        match self {
            Declined::Stale { .. } => {
                "no action needed: a late message of a former primary was declined"
            }
            Declined::TooLong { .. } => "raise the number of shards, so that each holds less",
        }
    }
}

/// The reason why the replication file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("cannot read {path}: {error}; check the path and its permissions", path = path.display())]
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
        /// The line, if it is known.
        line: Option<usize>,
        /// The parser's message.
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
