//! A replicated log: a few gateways, the voters, run Raft; all other gateways follow the log as learners. No I/O.
//!
//! - [`participant`]: the consensus state machine of one gateway, which a driver connects to sockets and disk.
//! - [`voter`]: a Raft voter, built on the `raft` library, with [`persistent_state`] as its storage.
//! - [`state`]: the log entries and the state machine that applies them.
//! - [`peer_memory`]: detection of voters whose disk was restored from an older copy.
//! - [`learners`]: the polling by which gateways without a vote follow the log.
//! - [`wire`]: the frames between gateways.
//! - [`config`]: the configuration file.
//! - [`bootstrap`]: the initial content of replica disks.
//!
//! Requests never wait for consensus. Every keyed collection is bounded: voters ([`MAX_VOTERS`]), leases (the limit of the
//! lease table), learners ([`learners::MAX_LEARNERS`]; a learner is removed when it stops polling), log entries (a snapshot
//! every [`voter::ENTRIES_PER_SNAPSHOT`]).

pub mod bootstrap;
pub mod config;
pub mod learners;
pub mod participant;
pub mod peer_memory;
pub mod persistent_state;
pub mod state;
pub mod voter;
pub mod wire;

/// Identifies a replica, that is, a voter's disk; assigned when the disk is created. A gateway with a new disk is a new
/// replica under the same name.
pub type ReplicaId = u64;

/// The maximum number of voters.
pub const MAX_VOTERS: usize = 7;

/// Returns the replica ID of a bootstrap voter. It is derived from the generation and the name, so that bootstrap voters can
/// compute one another's IDs.
pub fn bootstrap_replica_id(generation: u32, name: &str) -> ReplicaId {
    let content = [&generation.to_le_bytes()[..], name.as_bytes()].concat();
    let hash = blake3::derive_key("molelug council founder's seat 1", &content);
    replica_id_from_hash(&hash)
}

/// Derives a replica ID from the first bytes of a hash. The result is never 0, which stands for no replica.
pub fn replica_id_from_hash(hash: &[u8; 32]) -> ReplicaId {
    let prefix = hash.first_chunk::<8>();
    prefix.map_or(1, |bytes| u64::from_le_bytes(*bytes).max(1))
}
