//! The initial content of replica disks: for the first voters, for a replica added later, and for voters that are
//! bootstrapped again after a loss.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::persistent_state::{HardState, LogEntry, Metadata, PersistentState, Record, Snapshot};
use super::state::{Entry, State};
use super::{bootstrap_replica_id, ReplicaId, MAX_VOTERS};
use crate::lease::table::LeaseTable;
use crate::membership::is_name;

/// The log index of the bootstrap snapshot, and its term.
const BOOTSTRAP_INDEX: u64 = 1;

/// The reason for rejecting a bootstrap.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// The names are not 1 to [`MAX_VOTERS`] distinct valid names.
    #[error("a council needs 1 to {MAX_VOTERS} voters with distinct valid names")]
    InvalidNames,
    /// The gateway whose disk is created is not one of the voters.
    #[error("this gateway's name is not in the list of voters")]
    NotAVoter,
    /// The new generation is not higher than that of the old disk.
    #[error("the old disk has generation {0}; the new generation must be higher")]
    GenerationNotHigher(u32),
}

/// Returns the content of a bootstrap voter's disk: a state that is the same for all bootstrap voters, and the voter's own
/// replica ID.
///
/// `old` is the state of a surviving voter of an older generation. Its leases start again, unheld, with terms above all
/// granted ones.
///
/// # Errors
///
/// Returns a [`BootstrapError`] if the names or the generation are invalid.
pub fn bootstrap(
    generation: u32,
    own_name: &str,
    names: &[String],
    old: Option<&State>,
) -> Result<Record, BootstrapError> {
    let voters: BTreeMap<ReplicaId, Arc<str>> = names
        .iter()
        .map(|name| (bootstrap_replica_id(generation, name), name.as_str().into()))
        .collect();
    let valid = !names.is_empty() && names.iter().all(|name| is_name(name));
    if !valid || voters.len() != names.len() || names.len() > MAX_VOTERS {
        return Err(BootstrapError::InvalidNames);
    }
    if !names.iter().any(|name| name == own_name) {
        return Err(BootstrapError::NotAVoter);
    }
    if let Some(old) = old.filter(|state| state.generation >= generation) {
        return Err(BootstrapError::GenerationNotHigher(old.generation));
    }
    let leases = old.map_or_else(LeaseTable::default, |state| {
        state.leases.for_generation(generation)
    });
    let (replica_sets, tenants) = old.map_or_else(Default::default, |state| {
        (state.replica_sets.clone(), state.tenants.clone())
    });
    // The state counts as one committed entry. A replica that joins later lacks this entry and so receives a snapshot.
    let state = State {
        generation,
        applied: BOOTSTRAP_INDEX,
        voters,
        leases,
        replica_sets,
        tenants,
    };
    Ok(initial_record(
        bootstrap_replica_id(generation, own_name),
        &state,
    ))
}

/// Returns the disk content of a replica that is not a voter yet.
pub fn new_replica(replica: ReplicaId) -> Record {
    initial_record(replica, &State::default())
}

fn initial_record(replica: ReplicaId, state: &State) -> Record {
    let voters: Vec<ReplicaId> = state.voters.keys().copied().collect();
    // Encoding a state cannot fail.
    let data = postcard::to_stdvec(state).unwrap_or_default();
    let index = state.applied;
    let hard_state = HardState {
        term: index,
        vote: 0,
        commit: index,
    };
    let snapshot = Snapshot {
        index,
        term: index,
        voters: voters.clone(),
        data,
    };
    let metadata = Metadata {
        replica,
        voters,
        hard_state,
        snapshot,
        ..Metadata::default()
    };
    Record {
        metadata: Some(metadata),
        ..Record::default()
    }
}

/// Applies a disk's committed entries to its snapshot. Returns `None` if the snapshot cannot be decoded.
pub fn recover_state(metadata: &Metadata, log: &[LogEntry]) -> Option<State> {
    let mut state = State::decode(&metadata.snapshot.data).ok()?;
    let committed = metadata.hard_state.commit;
    for stored in log.iter().filter(|entry| entry.index <= committed) {
        let bytes = if stored.is_conf_change {
            &stored.context
        } else {
            &stored.data
        };
        let entry = postcard::from_bytes(bytes).unwrap_or(Entry::Noop);
        state.apply(stored.index, &entry);
    }
    Some(state)
}

/// Returns the persistent state of a disk that contains only this record.
pub fn initial_state(record: &Record) -> PersistentState {
    let mut persistent = PersistentState::default();
    persistent.apply(record);
    persistent
}
