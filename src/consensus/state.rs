//! The replicated state: applied in the order of the log, the entries give the same state at every gateway.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ReplicaId;
use crate::lease::table::{self, LeaseTable};
use crate::replication::replica_sets::{self, ReplicaSets};
use crate::tenancy::replicated::state as tenants;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The first entry of a leader, without content.
    Noop,
    /// An entry about a lease.
    Lease(table::Entry),
    /// The voters from this entry on.
    Voters(BTreeMap<ReplicaId, Arc<str>>),
    /// An entry about shards and the disks that hold them.
    ReplicaSets(replica_sets::Entry),
    /// An entry about tenants.
    Tenants(Box<tenants::Entry>),
}

/// An entry that another subsystem proposes; consensus reads nothing of it but its proposer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubsystemEntry {
    /// An entry about shards and the disks that hold them.
    ReplicaSets(replica_sets::Entry),
    /// An entry about tenants.
    Tenants(Box<tenants::Entry>),
}

impl SubsystemEntry {
    /// The name of the gateway that proposes it.
    pub fn proposer(&self) -> &Arc<str> {
        match self {
            SubsystemEntry::ReplicaSets(entry) => entry.proposer(),
            SubsystemEntry::Tenants(entry) => &entry.by,
        }
    }

    /// The entry of the log.
    pub fn into_entry(self) -> Entry {
        match self {
            SubsystemEntry::ReplicaSets(entry) => Entry::ReplicaSets(entry),
            SubsystemEntry::Tenants(entry) => Entry::Tenants(entry),
        }
    }
}

/// An entry that was applied to the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// Its index in the log.
    pub index: u64,
    /// The entry.
    pub entry: Entry,
    /// Whether it changed the state; an entry that contradicts an earlier one does not.
    pub took_effect: bool,
}

/// The state at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Counts how often the voters were bootstrapped again after most of them were lost.
    pub generation: u32,
    /// The index of the last entry that was applied.
    pub applied: u64,
    /// The voters, by replica.
    pub voters: BTreeMap<ReplicaId, Arc<str>>,
    /// The leases.
    pub leases: LeaseTable,
    /// The shards and the disks that hold them.
    pub replica_sets: ReplicaSets,
    /// The tenants that were changed at run time.
    pub tenants: tenants::Tenants,
}

/// The state as versions before shards stored it.
#[derive(Deserialize)]
struct StateV1 {
    generation: u32,
    applied: u64,
    voters: BTreeMap<ReplicaId, Arc<str>>,
    leases: LeaseTable,
}

/// The state as versions before tenants stored it.
#[derive(Deserialize)]
struct StateV2 {
    generation: u32,
    applied: u64,
    voters: BTreeMap<ReplicaId, Arc<str>>,
    leases: LeaseTable,
    replica_sets: replica_sets::LegacyReplicaSets,
}

impl From<StateV1> for State {
    fn from(stored: StateV1) -> State {
        State {
            generation: stored.generation,
            applied: stored.applied,
            voters: stored.voters,
            leases: stored.leases,
            ..State::default()
        }
    }
}

impl From<StateV2> for State {
    fn from(stored: StateV2) -> State {
        State {
            generation: stored.generation,
            applied: stored.applied,
            voters: stored.voters,
            leases: stored.leases,
            replica_sets: stored.replica_sets.into(),
            tenants: tenants::Tenants::default(),
        }
    }
}

impl State {
    /// Decodes a snapshot of this version or of an earlier one.
    pub fn decode(bytes: &[u8]) -> Result<State, postcard::Error> {
        let error = match postcard::from_bytes::<State>(bytes) {
            Ok(state) => return Ok(state),
            Err(error) => error,
        };
        if let Ok(stored) = postcard::from_bytes::<StateV2>(bytes) {
            return Ok(stored.into());
        }
        let stored: StateV1 = postcard::from_bytes(bytes).map_err(|_| error)?;
        Ok(stored.into())
    }

    /// Applies the entry at an index; returns whether it took effect.
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
