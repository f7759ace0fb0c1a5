//! Messages between gateways about shards; consensus frames carry and seal them.
//!
//! Postcard encodes them, so the order of variants and fields is part of the format.

use serde::{Deserialize, Serialize};

use super::error::{Declined, ReplicationError};
use super::{Epoch, LogPosition, SequenceNumber, ShardId};

/// The maximum size of a record.
pub const MAX_RECORD_BYTES: usize = 512 << 10;
/// The size of one part of a snapshot.
pub const SNAPSHOT_PART_BYTES: usize = 256 << 10;
/// The maximum size of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is reachable.
    Heartbeat,
    /// The primary queries the position of a replica.
    QueryPosition(ShardId, Epoch),
    /// A replica reports its position.
    Position {
        /// The shard.
        shard: ShardId,
        /// The epoch of the query.
        epoch: Epoch,
        /// The position of the replica.
        position: LogPosition,
        /// The process that reports it.
        process: u64,
    },
    /// The primary sends a record.
    Record(RecordMessage),
    /// A replica has all records up to a number on its disk.
    Acknowledge {
        /// The shard.
        shard: ShardId,
        /// The epoch under which the last record was received.
        epoch: Epoch,
        /// The number of the last record.
        number: SequenceNumber,
        /// The process that acknowledges it.
        process: u64,
    },
    /// The primary sends a part of a snapshot.
    SnapshotPart(SnapshotPartMessage),
    /// A replica has received a part of a snapshot.
    SnapshotPartReceived {
        /// The shard.
        shard: ShardId,
        /// The epoch under which it was received.
        epoch: Epoch,
        /// The index of the part.
        part: u32,
    },
    /// A replica declines a message.
    Declined(ShardId, Declined),
    /// A request to a shard's primary.
    Request {
        /// The shard.
        shard: ShardId,
        /// The sender's number of the request.
        number: u64,
        /// The request.
        request: Vec<u8>,
    },
    /// The response to a request, by its number.
    Reply(u64, RequestOutcome),
    /// A replica reports damage of the shard on its disk. The replica does not count until it has
    /// received a snapshot.
    Corrupt(ShardId, Epoch),
}

/// A record for a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordMessage {
    /// The shard.
    pub shard: ShardId,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// The position before the record.
    pub before: LogPosition,
    /// The record.
    pub bytes: Vec<u8>,
}

/// A part of a snapshot for a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotPartMessage {
    /// The shard.
    pub shard: ShardId,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// The position of the snapshot.
    pub position: LogPosition,
    /// The index of the part.
    pub part: u32,
    /// Whether this is the last part.
    pub is_last: bool,
    /// The part's bytes.
    pub bytes: Vec<u8>,
}

/// The outcome of a request to a primary.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The record is committed on this number of replicas.
    Committed(u8),
    /// The record is not committed.
    Rejected(ReplicationError),
    /// The content that was requested.
    Content(Vec<u8>),
}
