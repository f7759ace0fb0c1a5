//! What the entries of the agreed log come to; applied in the log's order it is the same at every instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Seat;
use crate::duty::ledger::{self, Ledger};

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A leader's first: it says nothing but that all before it is agreed.
    Nothing,
    /// Of duties.
    Duty(ledger::Entry),
    /// Who votes from here on.
    Voters(BTreeMap<Seat, Arc<str>>),
}

/// The state at one place in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Counts how often a council was founded anew after most of its voters were lost.
    pub generation: u32,
    /// The last entry that is in it.
    pub applied: u64,
    /// Who votes.
    pub voters: BTreeMap<Seat, Arc<str>>,
    /// Duties.
    pub ledger: Ledger,
}

impl State {
    /// Applies the entry at an index; tells whether it took hold.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> bool {
        self.applied = index;
        match entry {
            Entry::Nothing => false,
            Entry::Duty(entry) => self.ledger.apply(entry),
            Entry::Voters(voters) => {
                self.voters.clone_from(voters);
                true
            }
        }
    }
}
