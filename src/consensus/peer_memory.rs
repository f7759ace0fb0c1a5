//! Detection of a voter whose disk was restored from an older copy.
//!
//! A voter that restarts on an outdated disk has lost votes that it cast and entries that it acknowledged. If it voted, one
//! term could have two leaders, and committed entries could be lost. The disk alone does not reveal the loss, but the voters
//! that exchanged messages with it remember more recent state. A starting voter therefore asks the other voters for the last
//! state that they observed of its replica, and takes part only if none of them has observed state that its disk lacks.
//!
//! The voter takes part as soon as a majority of all voters, not counting itself, has answered: every majority that the
//! voter was part of has a member among them. If fewer can answer, it takes part after [`MAX_KNOWN_STATE_REQUESTS`] requests
//! with answers from as many voters as form a majority together with itself. An outdated disk is marked, and its replica
//! never votes again; the operator has to create a new replica (`docs/operators/council.md`).
//!
//! This does not detect a copy made during the previous run if all voters that observed the newer state have restarted since
//! or are unreachable.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ReplicaId;

/// The number of requests after which a majority that includes the voter itself is sufficient.
pub const MAX_KNOWN_STATE_REQUESTS: u32 = 40;

/// The state of a replica as observed by another voter, or as stored on the replica's own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownState {
    /// The number of process starts on the replica's disk.
    pub boots: u64,
    /// The ID of the process that started last.
    pub process: u64,
    /// The highest term in which the replica sent a message.
    pub term: u64,
    /// The last entry that the replica acknowledged: the term of the acknowledgement and the
    /// entry's index. For the state on the replica's own disk: the term and index of the last entry
    /// there.
    pub acknowledged: (u64, u64),
}

/// The evidence that a replica's disk has lost state, so that the replica must not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateLoss {
    /// The disk is a copy or outdated: another process was seen with the same or a higher number of starts.
    #[error("its disk was started less often than others have seen")]
    Boots,
    /// The replica sent messages in a later term than its disk records.
    #[error("it spoke in a later term than its disk knows")]
    Term,
    /// The replica acknowledged entries that are not on its disk.
    #[error("it told to have kept entries that its disk does not hold")]
    Entries,
}

/// The states that a voter has observed of other voters, one for each configured or agreed voter.
#[derive(Clone, Debug, Default)]
pub struct PeerMemory(BTreeMap<ReplicaId, KnownState>);

impl PeerMemory {
    /// Merges the state shown by a message of a replica.
    pub fn observe(&mut self, replica: ReplicaId, observed: KnownState) {
        let known = self.0.entry(replica).or_default();
        if observed.boots > known.boots {
            known.boots = observed.boots;
            known.process = observed.process;
        }
        known.term = known.term.max(observed.term);
        known.acknowledged = known.acknowledged.max(observed.acknowledged);
    }

    /// Returns the state observed of a replica; the default if none was.
    pub fn known(&self, replica: ReplicaId) -> KnownState {
        self.0.get(&replica).copied().unwrap_or_default()
    }

    /// Removes the replicas for which `is_voter` returns false.
    pub fn retain(&mut self, is_voter: impl Fn(&ReplicaId) -> bool) {
        self.0.retain(|replica, _| is_voter(replica));
    }
}

/// Compares the state on a voter's own disk with the state that another voter has observed.
///
/// # Errors
///
/// Returns the [`StateLoss`] if the disk lacks observed state.
pub fn compare(own: KnownState, remembered: KnownState) -> Result<(), StateLoss> {
    let same_boot_of_other_process =
        remembered.boots == own.boots && remembered.process != own.process;
    if remembered.boots > own.boots || same_boot_of_other_process {
        return Err(StateLoss::Boots);
    }
    if remembered.term > own.term {
        return Err(StateLoss::Term);
    }
    // An entry acknowledged in an older term than the last entry's may have been overwritten since.
    let (own_term, own_index) = own.acknowledged;
    let (remembered_term, remembered_index) = remembered.acknowledged;
    if remembered_index > own_index && own_term <= remembered_term {
        return Err(StateLoss::Entries);
    }
    Ok(())
}

/// The phase between a voter's start and its first message, in which the voter asks others about its replica.
#[derive(Clone, Debug, Default)]
pub struct StateCheck {
    replied: BTreeSet<ReplicaId>,
    requests: u32,
}

impl StateCheck {
    /// Handles the reply of a voter that has observed no state beyond that on the disk.
    pub fn on_reply(&mut self, from: ReplicaId) {
        self.replied.insert(from);
    }

    /// Counts a round of requests.
    pub fn on_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Returns whether the voter may take part, given the number of voters.
    pub fn is_over(&self, voters: usize) -> bool {
        let required = if self.requests > MAX_KNOWN_STATE_REQUESTS {
            voters / 2
        } else {
            (voters / 2 + 1).min(voters.saturating_sub(1))
        };
        self.replied.len() >= required
    }
}
