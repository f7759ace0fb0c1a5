//! The replicated state machine: applying the log's entries in order yields the same state at every gateway.

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
    /// An entry without content, as a new leader appends first; also stands for one that cannot be decoded.
    Noop,
    /// A change of a lease.
    Lease(table::Entry),
    /// The set of voters from this entry on.
    Voters(BTreeMap<ReplicaId, Arc<str>>),
    /// A change of shards or of the disks that hold them.
    ReplicaSets(replica_sets::Entry),
    /// A change of a tenant.
    Tenants(Box<tenants::Entry>),
}

/// An entry proposed by another subsystem. Consensus reads only its proposer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubsystemEntry {
    /// A change of shards or of the disks that hold them.
    ReplicaSets(replica_sets::Entry),
    /// A change of a tenant.
    Tenants(Box<tenants::Entry>),
}

impl SubsystemEntry {
    /// Returns the name of the proposing gateway.
    pub fn proposer(&self) -> &Arc<str> {
        match self {
            SubsystemEntry::ReplicaSets(entry) => entry.proposer(),
            SubsystemEntry::Tenants(entry) => &entry.by,
        }
    }

    /// Converts it into an entry of the log.
    pub fn into_entry(self) -> Entry {
        match self {
            SubsystemEntry::ReplicaSets(entry) => Entry::ReplicaSets(entry),
            SubsystemEntry::Tenants(entry) => Entry::Tenants(entry),
        }
    }
}

/// An applied entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// The index in the log.
    pub index: u64,
    /// The entry.
    pub entry: Entry,
    /// Whether the entry changed the state; an entry that conflicts with an earlier one does not.
    pub took_effect: bool,
}

/// The state at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The generation of the voters; it increases each time they are bootstrapped again after most of them were lost.
    pub generation: u32,
    /// The index of the last applied entry.
    pub applied: u64,
    /// The names of the voters, by replica ID.
    pub voters: BTreeMap<ReplicaId, Arc<str>>,
    /// The leases.
    pub leases: LeaseTable,
    /// The shards and the disks that hold them.
    pub replica_sets: ReplicaSets,
    /// The tenants changed at run time.
    pub tenants: tenants::Tenants,
}

/// The format before shards were added to the state.
#[derive(Deserialize)]
struct StateV1 {
    generation: u32,
    applied: u64,
    voters: BTreeMap<ReplicaId, Arc<str>>,
    leases: LeaseTable,
}

/// The format before tenants were added to the state.
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
    /// Decodes a snapshot in the current format or an earlier one.
    ///
    /// # Errors
    ///
    /// Returns the error of the current format if no format matches.
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

    /// Applies the entry at an index. Returns whether it changed the state.
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
