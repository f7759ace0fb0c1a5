//! What gateways say to one another of shards; carried and sealed by the council's frames.

use serde::{Deserialize, Serialize};

use super::error::{Declined, ReplicationError};
use super::{Epoch, LogPosition, SequenceNumber, ShardId};

/// Bytes of a record at most.
pub const MAX_RECORD_BYTES: usize = 512 << 10;
/// Bytes of one part of a snapshot.
pub const SNAPSHOT_PART_BYTES: usize = 256 << 10;
/// Bytes of a snapshot at most.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

/// What a frame says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Nothing but that it is there.
    Heartbeat,
    /// The primary asks how far a copy has come.
    QueryPosition(ShardId, Epoch),
    /// How far it has come, and which process says so.
    Position(ShardId, Epoch, LogPosition, u64),
    /// A record, and the place before it.
    Record(ShardId, Epoch, LogPosition, Vec<u8>),
    /// A copy has all up to this on its disk, and which process says so.
    Acknowledge(ShardId, Epoch, SequenceNumber, u64),
    /// A part of a snapshot as of a place: which part, whether it is the last, its bytes.
    SnapshotPart(ShardId, Epoch, LogPosition, u32, bool, Vec<u8>),
    /// A copy has taken a part of a snapshot.
    SnapshotPartReceived(ShardId, Epoch, u32),
    /// A copy does not take what was sent.
    Declined(ShardId, Declined),
    /// A question for a shard's primary, under a number of who asks.
    Request(ShardId, u64, Vec<u8>),
    /// Its answer.
    Reply(u64, RequestOutcome),
    /// What a copy's disk holds is not what was written: it counts for nothing until it has a snapshot.
    Corrupt(ShardId, Epoch),
}

/// What a primary answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// It is promised, and stands on so many machines.
    Committed(u8),
    /// It is not.
    Rejected(ReplicationError),
    /// Something was asked for and is told.
    Content(Vec<u8>),
}
