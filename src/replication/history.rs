//! What a process records of shards, for a checker apart from it.

use serde::{Deserialize, Serialize};

use super::{Epoch, Name, SequenceNumber, ShardId};

/// A note; digests are cut to eight bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "copies", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// This process gives a shard's records their numbers from here on.
    BecamePrimary {
        /// Which shard.
        shard: ShardId,
        /// Under which epoch.
        epoch: Epoch,
        /// How far its records go.
        number: SequenceNumber,
        /// Their digest.
        chain: u64,
        /// The set.
        members: Vec<Name>,
    },
    /// It does so no more.
    SteppedDown {
        /// Which shard.
        shard: ShardId,
        /// Under which epoch it did.
        epoch: Epoch,
    },
    /// A record stands on the disks of all the set.
    Committed {
        /// Which shard.
        shard: ShardId,
        /// Under which epoch.
        epoch: Epoch,
        /// Which record.
        number: SequenceNumber,
        /// The digest of all up to it.
        chain: u64,
        /// On how many disks.
        disks: usize,
    },
    /// A record stands on this process's disk.
    Stored {
        /// Which shard.
        shard: ShardId,
        /// Under which epoch it came.
        epoch: Epoch,
        /// Which record.
        number: SequenceNumber,
        /// The digest of all up to it.
        chain: u64,
    },
    /// A snapshot took the place of what stood here.
    Installed {
        /// Which shard.
        shard: ShardId,
        /// Up to which record.
        number: SequenceNumber,
        /// The digest of all up to it.
        chain: u64,
    },
    /// What this process's disk holds of a shard is not what was written.
    Damaged {
        /// Which shard.
        shard: ShardId,
        /// Which of its ranges.
        ranges: Vec<u8>,
    },
    /// The disk here is damaged, and whoever else holds the shard cannot be heard: it is waited for.
    WaitingForReplica {
        /// Which shard.
        shard: ShardId,
        /// The set.
        members: Vec<Name>,
    },
    /// It was mended from another disk; or, as no other has it, what is left of it counts.
    Repaired {
        /// Which shard.
        shard: ShardId,
        /// Whether something of it may be gone.
        accepted: bool,
    },
    /// What an older primary sent was refused.
    Declined {
        /// Which shard.
        shard: ShardId,
        /// Its epoch.
        theirs: Epoch,
        /// The agreed one.
        ours: Epoch,
    },
    /// All that held a shard were lost, and one that had been left out leads it: it has what was promised until then.
    RecoveredFromFormer {
        /// Which shard.
        shard: ShardId,
    },
    /// All that held a shard were lost, and it was founded anew: what was promised in it is gone.
    DataLost {
        /// Which shard.
        shard: ShardId,
    },
}

/// A digest as histories have it.
pub fn short_digest(chain: &super::ChainDigest) -> u64 {
    chain
        .first_chunk::<8>()
        .map_or(0, |b| u64::from_le_bytes(*b))
}
