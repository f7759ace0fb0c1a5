//! What a gateway holds for others, copied to further gateways: shards, epochs, sets in sync, repair. No I/O.
//!
//! Identities are spread over [`shards`](config::Settings::shards). For each the agreed log names an *epoch*, a *primary* and
//! the *set in sync* ([`sets`]). The primary gives each record a number and a chained digest, has it on its own disk and on
//! those of all the set, and only then is it promised ([`leading`]). Whoever is in the set can take the shard over with all
//! that was promised ([`shard`]); whoever is not can come to it by a tail of records or a snapshot, and counts once it has
//! all. Which gateways hold a shard follows from [`order`]. [`machine::Replicator`] is one gateway's part in all shards; [`wire`]
//! what parts say to one another; [`history`] what each process records for a checker;
//! [`identities`] which calls were taken. A disk that no longer holds what was written is mended from another
//! (`machine/soundness.rs`).
//!
//! Kept by id: shards (at most [`MAX_SHARDS`]), members (the file's), records of a tail (by bytes, the oldest go first),
//! questions under way (at most [`machine::MAX_FORWARDED_REQUESTS`], each with its end).

pub mod config;
#[cfg(test)]
mod disks_tests;
pub mod error;
pub mod history;
pub mod identities;
pub mod machine;
#[cfg(test)]
mod model;
pub mod placement;
pub mod primary;
pub mod sets;
pub mod shard;
#[cfg(test)]
mod tests;
pub mod wire;

use std::sync::Arc;

/// A gateway's name.
pub type Name = Arc<str>;
/// One of the parts that identities are spread over; 0 is what a gateway holds for itself alone.
pub type ShardId = u16;
/// Counts the agreed changes of one shard's set; it only grows.
pub type Epoch = u64;
/// The place of a record in its shard.
pub type SequenceNumber = u64;
/// The digest of a record and of all before it.
pub type ChainDigest = [u8; 32];

/// Shards at most.
pub const MAX_SHARDS: u16 = 1024;
/// A shard's gateways at most.
pub const MAX_REPLICAS: usize = 5;

/// How far a shard's records go, and the digest of all of them.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct LogPosition {
    /// The last record's number.
    pub number: SequenceNumber,
    /// Its chained digest.
    pub chain: ChainDigest,
}

impl LogPosition {
    /// The place behind one more record.
    pub fn advance(&self, record: &[u8]) -> LogPosition {
        let mut hash = blake3::Hasher::new_derive_key("molelug shard's records 1");
        hash.update(&self.chain);
        hash.update(&(self.number + 1).to_le_bytes());
        hash.update(record);
        LogPosition {
            number: self.number + 1,
            chain: *hash.finalize().as_bytes(),
        }
    }
}

/// The shard of an identity's digest.
pub fn shard_of(mark: &[u8; 32], shards: u16) -> ShardId {
    let word = u64::from_le_bytes([
        mark[0], mark[1], mark[2], mark[3], mark[4], mark[5], mark[6], mark[7],
    ]);
    // The rest of a division always fits.
    (word % u64::from(shards.max(1))) as ShardId + 1
}
