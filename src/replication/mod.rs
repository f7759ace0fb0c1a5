//! Replication of accepted calls and their callbacks among gateways: shards, epochs, replica sets,
//! and repair. No I/O.
//!
//! Identities of calls are hashed to [shards](config::Settings::shards). For each shard the agreed
//! state ([`replica_sets`]) names an epoch, a primary and the members of the replica set. The
//! primary assigns each record a number and a chained digest; a record is committed once all
//! members have it on their disks ([`primary`]). Every member therefore has all committed records
//! and can take over the shard ([`shard`]). Another gateway is caught up from the tail of the log
//! or from a snapshot, and is added once it has all records. [`placement`] chooses the gateways of
//! a shard. [`replicator::Replicator`] is the state machine of one gateway for all shards; [`wire`]
//! defines the messages between gateways, [`history`] the events for a checker, and [`identities`]
//! the used identities. A damaged disk ([`damage`]) is repaired from another disk.
//!
//! All state is bounded: shards by [`MAX_SHARDS`], members by the replication file, the tail of a
//! log by bytes (the oldest records are removed first), and pending requests by
//! [`replicator::MAX_FORWARDED_REQUESTS`] and their deadlines.

pub mod config;
pub mod damage;
pub mod error;
pub mod history;
pub mod identities;
pub mod placement;
pub mod primary;
pub mod replica_sets;
pub mod replicator;
pub mod shard;
#[cfg(test)]
mod tests;
pub mod wire;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use identities::IdentityDigest;

/// A gateway's name.
pub type Name = Arc<str>;
/// The number of a shard, from 1; 0 stands for data that is not replicated.
pub type ShardId = u16;
/// The number of agreed changes of a shard's replica set; it never decreases.
pub type Epoch = u64;
/// The number of a record in its shard's log.
pub type SequenceNumber = u64;
/// The digest of a log up to a record.
pub type ChainDigest = [u8; 32];

/// The maximum number of shards.
pub const MAX_SHARDS: u16 = 1024;
/// The maximum number of members of a replica set.
pub const MAX_REPLICAS: usize = 5;

/// The position of the last record of a shard's log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The number of the record.
    pub number: SequenceNumber,
    /// The digest of the log up to the record.
    pub chain: ChainDigest,
}

impl LogPosition {
    /// Returns the position after one more record.
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

/// Returns the shard of an identity's digest.
pub fn shard_of(identity: &IdentityDigest, shards: u16) -> ShardId {
    let prefix = identity
        .first_chunk::<8>()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes));
    // The remainder is less than `shards`, so it fits into 16 bits.
    (prefix % u64::from(shards.max(1))) as ShardId + 1
}
