//! What voters remember of one another, and the rejection of a voter whose disk was restored from an older copy.
//!
//! A voter that comes back with yesterday's disk has forgotten votes that it gave and entries that it stored. If it voted,
//! one term could have two leaders, and committed entries could be lost. Its disk alone cannot show this, but the voters
//! that it exchanged messages with can. So a voter that starts first asks the others what they know of its replica, and
//! takes part once none of them knows of more than its disk does. It starts at once when a majority of all voters besides
//! itself has answered, as every majority that it was part of shares a voter with them. When fewer can answer, it starts
//! after [`MAX_KNOWN_STATE_REQUESTS`] requests with as many as make a majority with itself. A disk that is found to be older is
//! marked and its replica never votes again; a new replica has to be made (`docs/operators/council.md`).
//!
//! This cannot detect a copy made within the last run, if all voters that could tell have restarted since or stay
//! unreachable.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ReplicaId;

/// Requests after which a majority that counts the voter itself is enough.
pub const MAX_KNOWN_STATE_REQUESTS: u32 = 40;

/// What a voter knows of a replica: of another one, or of its own by its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownState {
    /// How often a process has started on its disk.
    pub boots: u64,
    /// The process of the last start.
    pub process: u64,
    /// The highest term in which it sent a message.
    pub term: u64,
    /// The last entry that it acknowledged: the term of the message and the index. For its own disk, the term of the last
    /// entry and its index.
    pub acknowledged: (u64, u64),
}

/// Why a replica must not vote: its disk has lost state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateLoss {
    /// The disk is a copy or an older version: another process has started as often on it, or more often.
    #[error("its disk was started less often than others have seen")]
    Boots,
    /// The replica sent messages in a later term than its disk has.
    #[error("it spoke in a later term than its disk knows")]
    Term,
    /// The replica acknowledged entries that its disk does not have.
    #[error("it told to have kept entries that its disk does not hold")]
    Entries,
}

/// What a voter remembers of the others: one record for each configured or agreed voter.
#[derive(Clone, Debug, Default)]
pub struct PeerMemory(BTreeMap<ReplicaId, KnownState>);

impl PeerMemory {
    /// Records what a message of a replica shows.
    pub fn observe(&mut self, replica: ReplicaId, observed: KnownState) {
        let known = self.0.entry(replica).or_default();
        if observed.boots > known.boots {
            known.boots = observed.boots;
            known.process = observed.process;
        }
        known.term = known.term.max(observed.term);
        known.acknowledged = known.acknowledged.max(observed.acknowledged);
    }

    /// What is known of a replica.
    pub fn known(&self, replica: ReplicaId) -> KnownState {
        self.0.get(&replica).copied().unwrap_or_default()
    }

    /// Forgets the replicas for which `is_voter` is false.
    pub fn retain(&mut self, is_voter: impl Fn(&ReplicaId) -> bool) {
        self.0.retain(|replica, _| is_voter(replica));
    }
}

/// Compares what a voter's own disk says with what another voter remembers.
pub fn compare(own: KnownState, remembered: KnownState) -> Result<(), StateLoss> {
    let same_boot_of_other_process =
        remembered.boots == own.boots && remembered.process != own.process;
    if remembered.boots > own.boots || same_boot_of_other_process {
        return Err(StateLoss::Boots);
    }
    if remembered.term > own.term {
        return Err(StateLoss::Term);
    }
    // An entry acknowledged in an older term than that of the last entry may have been overwritten since.
    let (own_term, own_index) = own.acknowledged;
    let (remembered_term, remembered_index) = remembered.acknowledged;
    if remembered_index > own_index && own_term <= remembered_term {
        return Err(StateLoss::Entries);
    }
    Ok(())
}

/// A voter between its start and its first message.
#[derive(Clone, Debug, Default)]
pub struct Probation {
    replied: BTreeSet<ReplicaId>,
    requests: u32,
}

impl Probation {
    /// A voter has replied, and knows of nothing that the disk does not have.
    pub fn on_reply(&mut self, from: ReplicaId) {
        self.replied.insert(from);
    }

    /// The requests are sent once more.
    pub fn on_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Whether the voter may take part, given the number of voters.
    pub fn is_over(&self, voters: usize) -> bool {
        let required = if self.requests > MAX_KNOWN_STATE_REQUESTS {
            voters / 2
        } else {
            (voters / 2 + 1).min(voters.saturating_sub(1))
        };
        self.replied.len() >= required
    }
}
