//! Identifiers of endpoints and messages.

use serde::{Deserialize, Serialize};

/// Identifier of an endpoint. A number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// Sequence number of a message or a call in the store, ascending in the order of creation within
/// an epoch of a shard. A number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seq(pub u64);

/// Bit positions of the shard and of the epoch within a sequence number.
const SHARD_SHIFT: u32 = 52;
const EPOCH_SHIFT: u32 = 32;

impl Seq {
    /// Creates a sequence number of a shard in an epoch. One process assigns all numbers of an
    /// epoch.
    pub fn of_shard(shard: u16, epoch: u64, number: u32) -> Seq {
        Seq(u64::from(shard) << SHARD_SHIFT | (epoch & 0xf_ffff) << EPOCH_SHIFT | u64::from(number))
    }

    /// Returns the shard; 0 for a number that is local to this gateway.
    pub fn shard(self) -> u16 {
        (self.0 >> SHARD_SHIFT) as u16
    }
}
