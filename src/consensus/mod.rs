//! Consensus: a few gateways, the voters, agree on one log of entries; all others learn it. No I/O.
//!
//! [`participant`] is one gateway's part as a whole, and what a driver uses. [`voter`] wraps the `raft` library, with
//! [`persistent_state`] as its storage; [`state`] is what the entries come to. [`peer_memory`] keeps a voter with an outdated
//! disk from voting; [`learners`] is how gateways without a vote keep up; [`wire`] are the frames; [`config`] is the
//! operator's file and [`bootstrap`] the content of new disks.
//!
//! No request waits for anything here. What is stored by key is bounded: voters ([`MAX_VOTERS`]), leases (the bound of the
//! lease table), learners ([`learners::MAX_LEARNERS`], removed when silent), entries (a snapshot every
//! [`voter::ENTRIES_PER_SNAPSHOT`]).

pub mod bootstrap;
pub mod config;
pub mod learners;
pub mod participant;
pub mod peer_memory;
pub mod persistent_state;
pub mod state;
pub mod voter;
pub mod wire;

/// The identity of a voter's disk: a number drawn when the disk was made. A new disk is a new replica, whatever its name.
pub type ReplicaId = u64;

/// The maximum number of voters.
pub const MAX_VOTERS: usize = 7;

/// The replica of a bootstrap voter. It follows from the generation and the name, so that bootstrap voters know one another.
pub fn bootstrap_voter(generation: u32, name: &str) -> ReplicaId {
    let content = [&generation.to_le_bytes()[..], name.as_bytes()].concat();
    let hash = blake3::derive_key("molelug council founder's seat 1", &content);
    replica_from_hash(&hash)
}

/// A replica from the first bytes of a hash; 0 stands for no replica.
pub fn replica_from_hash(hash: &[u8; 32]) -> ReplicaId {
    let first = hash.first_chunk::<8>();
    first.map_or(1, |bytes| u64::from_le_bytes(*bytes).max(1))
}
