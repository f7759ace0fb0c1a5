//! The agreed log: a few gateways, the voters, agree on one order of entries; all others follow. No I/O.
//!
//! [`voter`] is the value that a voter drives: the registry's `raft` with pre-vote and quorum check, fed with `now` and
//! messages, its records handed out to be kept before anything is said on their ground. [`persistent_state`] is what a voter's disk
//! holds; [`state`] what the entries come to; [`peer_memory`] what voters remember of one another, and with it the refusal of one
//! whose disk is not the one it had; [`wire`] the frames; [`learners`] how members that do not vote keep up.
//!
//! Nothing here is on a call's way. What is kept by id: voters (at most [`MAX_VOTERS`]), duties (the ledger's bound), members
//! that follow (at most [`learners::MAX_LEARNERS`], let go of when silent), entries (a snapshot every [`voter::ENTRIES_PER_SNAPSHOT`]).

pub mod config;
pub mod learners;
pub mod participant;
pub mod peer_memory;
pub mod persistent_state;
pub mod state;
pub mod voter;
pub mod wire;

/// A voter's seat: a number drawn when its disk was made. A new disk is a new seat, whatever its name.
pub type ReplicaId = u64;

/// Voters at most.
pub const MAX_VOTERS: usize = 7;

/// The seat of a founder, the same at every founder so that they know one another: of a generation and a name.
pub fn bootstrap_voter(generation: u32, name: &str) -> ReplicaId {
    let content = [&generation.to_le_bytes()[..], name.as_bytes()].concat();
    let hash = blake3::derive_key("molelug council founder's seat 1", &content);
    u64::from_le_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ])
    .max(1)
}
