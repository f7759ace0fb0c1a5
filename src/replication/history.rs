//! Shard events that a process records for an independent checker.

use serde::{Deserialize, Serialize};

use super::{ChainDigest, Epoch, Name, SequenceNumber, ShardId};

/// An event. Digests are truncated to eight bytes. The checker reads the tags and keys of the JSON
/// lines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "copies", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// This process has become the primary of a shard.
    #[serde(rename = "led")]
    BecamePrimary {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// The number of the last record.
        number: SequenceNumber,
        /// The digest of the log up to it.
        chain: u64,
        /// The members of the replica set.
        members: Vec<Name>,
    },
    /// This process is no longer the primary of a shard.
    #[serde(rename = "rested")]
    SteppedDown {
        /// The shard.
        shard: ShardId,
        /// The epoch under which it was the primary.
        epoch: Epoch,
    },
    /// A record is on the disks of all members.
    #[serde(rename = "promised")]
    Committed {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// The number of the record.
        number: SequenceNumber,
        /// The digest of the log up to it.
        chain: u64,
        /// The number of disks that have the record.
        disks: usize,
    },
    /// A record is on this process's disk.
    Stored {
        /// The shard.
        shard: ShardId,
        /// The epoch under which it was accepted.
        epoch: Epoch,
        /// The number of the record.
        number: SequenceNumber,
        /// The digest of the log up to it.
        chain: u64,
    },
    /// A snapshot has replaced a shard's content on this process's disk.
    Installed {
        /// The shard.
        shard: ShardId,
        /// The number of its last record.
        number: SequenceNumber,
        /// The digest of the log up to it.
        chain: u64,
    },
    /// Rows of a shard on this process's disk do not match their checksums.
    Damaged {
        /// The shard.
        shard: ShardId,
        /// The damaged ranges.
        ranges: Vec<u8>,
    },
    /// This process's disk is damaged and no other member is reachable, so it waits for one.
    #[serde(rename = "waits")]
    WaitingForReplica {
        /// The shard.
        shard: ShardId,
        /// The members of the replica set.
        members: Vec<Name>,
    },
    /// A damaged shard was repaired from another disk, or its readable rows were accepted because
    /// no other disk has the shard.
    #[serde(rename = "mended")]
    Repaired {
        /// The shard.
        shard: ShardId,
        /// Whether the readable rows were accepted, so that committed data may be lost.
        accepted: bool,
    },
    /// One read has found damage of a shard, and a second one has not.
    #[serde(rename = "refuted")]
    DamageRefuted {
        /// The shard.
        shard: ShardId,
    },
    /// A message of a former primary was declined.
    Declined {
        /// The shard.
        shard: ShardId,
        /// The sender's epoch.
        theirs: Epoch,
        /// The agreed epoch.
        ours: Epoch,
    },
    /// All members lost their disks, and a former member continues with the records that were
    /// committed before its removal.
    #[serde(rename = "recalled")]
    RecoveredFromFormer {
        /// The shard.
        shard: ShardId,
    },
    /// All members lost their disks, and the shard was created again: its committed records are
    /// lost.
    #[serde(rename = "lost")]
    DataLost {
        /// The shard.
        shard: ShardId,
    },
}

/// Returns the first eight bytes of a digest, the form that events use.
pub fn short_digest(chain: &ChainDigest) -> u64 {
    chain
        .first_chunk::<8>()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
