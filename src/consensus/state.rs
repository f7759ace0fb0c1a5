//! What the entries of the agreed log come to; applied in the log's order it is the same at every instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ReplicaId;
use crate::lease::ledger::{self, LeaseTable};
use crate::replication::replica_sets::{self, ReplicaSets};
use crate::tenancy::replicated::state as tenants;

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A leader's first: it says nothing but that all before it is agreed.
    Noop,
    /// Of duties.
    Lease(ledger::Entry),
    /// Who votes from here on.
    Voters(BTreeMap<ReplicaId, Arc<str>>),
    /// Of shards and the disks that hold them.
    ReplicaSets(replica_sets::Entry),
    /// Of tenants.
    Tenants(Box<tenants::Entry>),
}

/// An entry that another subsystem brings; the council knows no more of it than whose word it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubsystemEntry {
    /// Of shards and the disks that hold them.
    ReplicaSets(replica_sets::Entry),
    /// Of tenants.
    Tenants(Box<tenants::Entry>),
}

impl SubsystemEntry {
    /// Whose word it is.
    pub fn by(&self) -> &Arc<str> {
        match self {
            SubsystemEntry::ReplicaSets(e) => e.proposer(),
            SubsystemEntry::Tenants(e) => &e.by,
        }
    }

    /// As the log has it.
    pub fn entry(self) -> Entry {
        match self {
            SubsystemEntry::ReplicaSets(e) => Entry::ReplicaSets(e),
            SubsystemEntry::Tenants(e) => Entry::Tenants(e),
        }
    }
}

/// The state at one place in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Counts how often a council was founded anew after most of its voters were lost.
    pub generation: u32,
    /// The last entry that is in it.
    pub applied: u64,
    /// Who votes.
    pub voters: BTreeMap<ReplicaId, Arc<str>>,
    /// Duties.
    pub leases: LeaseTable,
    /// Shards.
    pub replica_sets: ReplicaSets,
    /// Tenants as they were changed.
    pub tenants: tenants::Tenants,
}

/// The state as disks have it that were written before there were shards.
type First = (u32, u64, BTreeMap<ReplicaId, Arc<str>>, LeaseTable);
/// As they have it that were written before there were tenants.
type Second = (
    u32,
    u64,
    BTreeMap<ReplicaId, Arc<str>>,
    LeaseTable,
    replica_sets::LegacyReplicaSets,
);

impl State {
    /// Reads a snapshot's bytes, also those of an earlier version.
    pub fn read(bytes: &[u8]) -> Result<State, postcard::Error> {
        postcard::from_bytes(bytes).or_else(|e| {
            let tenants = tenants::Tenants::default();
            if let Ok((generation, applied, voters, ledger, sets)) =
                postcard::from_bytes::<Second>(bytes)
            {
                return Ok(State {
                    generation,
                    applied,
                    voters,
                    leases: ledger,
                    replica_sets: sets.into(),
                    tenants,
                });
            }
            let (generation, applied, voters, ledger): First =
                postcard::from_bytes(bytes).map_err(|_| e)?;
            Ok(State {
                generation,
                applied,
                voters,
                leases: ledger,
                replica_sets: ReplicaSets::default(),
                tenants,
            })
        })
    }

    /// Applies the entry at an index; tells whether it took hold.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> bool {
        self.applied = index;
        match entry {
            Entry::Noop => false,
            Entry::Lease(entry) => self.leases.apply(entry),
            Entry::ReplicaSets(entry) => self.replica_sets.apply(entry),
            Entry::Tenants(entry) => self.tenants.apply(entry),
            Entry::Voters(voters) => {
                self.voters.clone_from(voters);
                true
            }
        }
    }
}
