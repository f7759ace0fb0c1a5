//! Identifiers of endpoints and messages.

use serde::{Deserialize, Serialize};

/// An endpoint. The number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// A message or a call in the store, in the order in which they were created. The number is never
/// reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seq(pub u64);

/// The positions of the shard, and of the epoch in which the number was assigned, in a number.
const SHARD_SHIFT: u32 = 52;
const EPOCH_SHIFT: u32 = 32;

impl Seq {
    /// A number of a shard, assigned under an epoch. One process assigns all numbers of an epoch.
    pub fn of_shard(shard: u16, epoch: u64, number: u32) -> Seq {
        Seq(u64::from(shard) << SHARD_SHIFT | (epoch & 0xf_ffff) << EPOCH_SHIFT | u64::from(number))
    }

    /// The shard that it belongs to; 0 if it is this gateway's alone.
    pub fn shard(self) -> u16 {
        (self.0 >> SHARD_SHIFT) as u16
    }
}
