//! Why something is not promised, and what an operator can do about it.

use super::{Epoch, Name, SequenceNumber, ShardId};

/// Why a record is not promised. Nothing of it may be relied on; to try again with the same identity is harmless.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    thiserror::Error,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum ReplicationError {
    /// This gateway does not lead the shard.
    #[error("shard {shard} is led by {}", primary.as_deref().unwrap_or("nobody"))]
    NotPrimary {
        /// Which.
        shard: ShardId,
        /// Who leads, as far as is known here.
        primary: Option<Name>,
    },
    /// Another has taken the shard over.
    #[error("shard {shard} was taken over: epoch {ours} here, {theirs} agreed")]
    Superseded {
        /// Which.
        shard: ShardId,
        /// The epoch under which it was led here.
        ours: Epoch,
        /// The one that is agreed.
        theirs: Epoch,
    },
    /// Fewer machines hold the shard than a promise of this class asks for.
    #[error("shard {shard} is held by {have} machines, a promise asks for {want}")]
    TooFewReplicas {
        /// Which.
        shard: ShardId,
        /// How many hold it.
        have: usize,
        /// How many are asked for.
        want: usize,
    },
    /// The primary did not answer in time.
    #[error("nobody who leads shard {shard} answered in time")]
    PrimaryUnreachable {
        /// Which.
        shard: ShardId,
    },
    /// As many questions are under way as may be.
    #[error("{open} questions to other gateways are under way, as many as may be")]
    TooManyRequests {
        /// How many.
        open: usize,
    },
    /// The records that wait for other disks take as many bytes as they may.
    #[error("{bytes} bytes of shard {shard} wait for other disks, as many as may")]
    ReplicationLag {
        /// Which.
        shard: ShardId,
        /// How many.
        bytes: usize,
    },
    /// It is longer than a record may be.
    #[error("a record of {bytes} bytes is longer than the {most} that one may have")]
    TooLong {
        /// How long.
        bytes: usize,
        /// How long one may be.
        most: usize,
    },
    /// Its identity was given before.
    #[error("the identity was taken before")]
    DuplicateIdentity,
    /// Its identity's time is over at the primary, or so close to it that it may have been forgotten.
    #[error(
        "the identity's time is over in shard {shard}, so that nobody can tell whether it was taken before"
    )]
    IdentityExpired {
        /// Which shard.
        shard: ShardId,
    },
    /// The call is of a class, tenant or kind that the primary does not know.
    #[error("the primary's settings do not know this {what}")]
    Unknown {
        /// What it does not know.
        what: String,
    },
    /// The primary has too many calls under way.
    #[error("the primary has too many calls under way")]
    PrimaryOverloaded,
    /// The process is about to end.
    #[error("the gateway is about to end")]
    ShuttingDown,
}

impl ReplicationError {
    /// What an operator can do.
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

/// Why a copy does not take what a primary sent.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    thiserror::Error,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum Declined {
    /// The epoch is over.
    #[error("epoch {theirs} of shard {shard} is over: {ours} is agreed")]
    Stale {
        /// Which shard.
        shard: ShardId,
        /// The sender's epoch.
        theirs: Epoch,
        /// The agreed one.
        ours: Epoch,
    },
    /// A snapshot takes more bytes than one may.
    #[error("a snapshot of shard {shard} is longer than {most} bytes")]
    TooLong {
        /// Which shard.
        shard: ShardId,
        /// How long one may be.
        most: usize,
    },
}

impl Declined {
    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Declined::Stale { .. } => {
                "nothing: a late word of an older primary was refused, as it has to be"
            }
            Declined::TooLong { .. } => "raise the number of shards, so that each holds less",
        }
    }
}

/// Why the file that switches copies on cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("{path}: {error}; look at the path and at who may read it", path = path.display())]
    Read {
        /// Which file.
        path: std::path::PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// It is not what is expected.
    #[error("{path}{}: {what}; see docs/operators/copies.md for what each key takes", line.map_or(String::new(), |l| format!(" line {l}")), path = path.display())]
    Parse {
        /// Which file.
        path: std::path::PathBuf,
        /// Which line.
        line: Option<usize>,
        /// What is wrong, with what is expected.
        what: String,
    },
    /// A value is out of bounds.
    #[error("{key} = {value}: expected {expected}")]
    Value {
        /// Which key.
        key: String,
        /// What it is.
        value: String,
        /// What it may be.
        expected: String,
    },
}

/// How far a copy has come, for messages to people.
pub fn behind(primary: SequenceNumber, copy: SequenceNumber) -> SequenceNumber {
    primary.saturating_sub(copy)
}
