//! What the entries of the agreed log come to; applied in the log's order it is the same at every instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Seat;
use crate::duty::ledger::{self, Ledger};
use crate::replication::sets::{self, Sets};

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A leader's first: it says nothing but that all before it is agreed.
    Nothing,
    /// Of duties.
    Duty(ledger::Entry),
    /// Who votes from here on.
    Voters(BTreeMap<Seat, Arc<str>>),
    /// Of shards and the disks that hold them.
    Sets(sets::Entry),
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
    /// Shards.
    pub sets: Sets,
}

/// The state as disks have it that were written before there were shards.
#[derive(Deserialize)]
struct Earlier {
    generation: u32,
    applied: u64,
    voters: BTreeMap<Seat, Arc<str>>,
    ledger: Ledger,
}

impl State {
    /// Reads a snapshot's bytes, also those of an earlier version.
    pub fn read(bytes: &[u8]) -> Result<State, postcard::Error> {
        postcard::from_bytes(bytes).or_else(|e| {
            let earlier: Earlier = postcard::from_bytes(bytes).map_err(|_| e)?;
            let Earlier { generation, applied, voters, ledger } = earlier;
            Ok(State { generation, applied, voters, ledger, sets: Sets::default() })
        })
    }

    /// Applies the entry at an index; tells whether it took hold.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> bool {
        self.applied = index;
        match entry {
            Entry::Nothing => false,
            Entry::Duty(entry) => self.ledger.apply(entry),
            Entry::Sets(entry) => self.sets.apply(entry),
            Entry::Voters(voters) => {
                self.voters.clone_from(voters);
                true
            }
        }
    }
}
