//! What gateways say to one another of shards; carried and sealed by the council's frames.

use serde::{Deserialize, Serialize};

use super::error::{Declined, Refusal};
use super::{Epoch, Number, Place, ShardId};

/// Bytes of a record at most.
pub const LONGEST_RECORD: usize = 512 << 10;
/// Bytes of one part of a snapshot.
pub const PART: usize = 256 << 10;
/// Bytes of a snapshot at most.
pub const LONGEST_SNAPSHOT: usize = 64 << 20;

/// What a frame says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Nothing but that it is there.
    Here,
    /// The primary asks how far a copy has come.
    Where(ShardId, Epoch),
    /// How far it has come, and which process says so.
    At(ShardId, Epoch, Place, u64),
    /// A record, and the place before it.
    Record(ShardId, Epoch, Place, Vec<u8>),
    /// A copy has all up to this on its disk, and which process says so.
    Has(ShardId, Epoch, Number, u64),
    /// A part of a snapshot as of a place: which part, whether it is the last, its bytes.
    Part(ShardId, Epoch, Place, u32, bool, Vec<u8>),
    /// A copy has taken a part of a snapshot.
    Took(ShardId, Epoch, u32),
    /// A copy does not take what was sent.
    Declined(ShardId, Declined),
    /// A question for a shard's primary, under a number of who asks.
    Ask(ShardId, u64, Vec<u8>),
    /// Its answer.
    Told(u64, Told),
    /// What a copy's disk holds is not what was written: it counts for nothing until it has a snapshot.
    Unsound(ShardId, Epoch),
}

/// What a primary answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Told {
    /// It is promised, and stands on so many machines.
    Promised(u8),
    /// It is not.
    Refused(Refusal),
    /// Something was asked for and is told.
    Content(Vec<u8>),
}
