//! What voters remember of one another, and the refusal of one whose disk is not the one it had.
//!
//! A voter that comes back with yesterday's disk has forgotten votes it gave and entries it took. Were it let vote, one term
//! could have two leaders, and what was agreed could be lost. Its disk alone cannot tell; those it spoke with can. So a voter
//! that begins asks the others what they know of its seat, and takes part once none of them knows of more than its disk does:
//! at once when a majority of all voters has answered besides itself, as every majority that it was part of then has one
//! among them; and when fewer can answer, after [`PATIENCE`] questions, with as many as make a majority with itself. A disk
//! that is found out is marked and never votes again under this seat; the way back is a new seat
//! (`docs/operators/council.md`).
//!
//! What this cannot tell: a copy made within its last run, when all who could tell have begun anew since or cannot be reached
//! all the while.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ReplicaId;

/// What one voter knows of another's seat, or a seat of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownState {
    /// Which start of its disk, and which process that was.
    pub boots: u64,
    /// Which process.
    pub process: u64,
    /// The highest term in which it spoke.
    pub term: u64,
    /// The last entry that it told to have kept, behind the term in which it did; of its disk, behind that entry's term.
    pub kept: (u64, u64),
}

/// Why a seat must not vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateLoss {
    /// The disk was started as often as, or less than, others have seen: it is a copy, or an older one.
    Boots,
    /// It has spoken in a later term than its disk knows.
    Term,
    /// It has told to have kept entries that its disk does not hold.
    Entries,
}

impl StateLoss {
    /// Its name.
    pub fn name(&self) -> &'static str {
        match self {
            StateLoss::Boots => "its disk was started less often than others have seen",
            StateLoss::Term => "it spoke in a later term than its disk knows",
            StateLoss::Entries => "it told to have kept entries that its disk does not hold",
        }
    }
}

/// What is remembered of the others; one line a seat, for seats of the operator's list of voters and those agreed on.
#[derive(Clone, Debug, Default)]
pub struct PeerMemory(BTreeMap<ReplicaId, KnownState>);

impl PeerMemory {
    /// A seat spoke.
    pub fn heard(&mut self, seat: ReplicaId, heard: KnownState) {
        let known = self.0.entry(seat).or_default();
        if heard.boots > known.boots {
            (known.boots, known.process) = (heard.boots, heard.process);
        }
        (known.term, known.kept) = (known.term.max(heard.term), known.kept.max(heard.kept));
    }

    /// What is known of a seat.
    pub fn of(&self, seat: ReplicaId) -> KnownState {
        self.0.get(&seat).copied().unwrap_or_default()
    }

    /// Forgets all seats but these.
    pub fn keep(&mut self, seats: impl Fn(&ReplicaId) -> bool) {
        self.0.retain(|s, _| seats(s));
    }
}

/// Compares what one's own disk says with what another remembers.
pub fn compare(own: KnownState, theirs: KnownState) -> Result<(), StateLoss> {
    if theirs.boots > own.boots || theirs.boots == own.boots && theirs.process != own.process {
        return Err(StateLoss::Boots);
    }
    if theirs.term > own.term {
        return Err(StateLoss::Term);
    }
    // What it kept in an older term than that of its last entry may have been written over since.
    if theirs.kept.1 > own.kept.1 && own.kept.0 <= theirs.kept.0 {
        return Err(StateLoss::Entries);
    }
    Ok(())
}

/// Questions after which a majority that counts oneself is enough.
pub const PATIENCE: u32 = 40;

/// A voter between its start and its first word.
#[derive(Clone, Debug, Default)]
pub struct Probation {
    answered: std::collections::BTreeSet<ReplicaId>,
    asked: u32,
}

impl Probation {
    /// Another has answered, and knows of nothing that the disk does not.
    pub fn answered(&mut self, by: ReplicaId) {
        self.answered.insert(by);
    }

    /// It asks once more.
    pub fn asked(&mut self) {
        self.asked = self.asked.saturating_add(1);
    }

    /// Whether it may take part, among so many voters.
    pub fn is_over(&self, voters: usize) -> bool {
        let others = if self.asked > PATIENCE {
            voters / 2
        } else {
            (voters / 2 + 1).min(voters.saturating_sub(1))
        };
        self.answered.len() >= others
    }
}
