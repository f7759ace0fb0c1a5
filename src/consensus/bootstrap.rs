//! The content of new disks: of the first voters, of a later replica, and of voters that are bootstrapped again.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::persistent_state::{HardState, LogEntry, Metadata, PersistentState, Record, Snapshot};
use super::state::{Entry, State};
use super::{bootstrap_voter, ReplicaId, MAX_VOTERS};
use crate::lease::table::LeaseTable;
use crate::membership::is_name;

/// The index of a bootstrap state in its log, and its term.
const BOOTSTRAP_INDEX: u64 = 1;

/// Why voters cannot be bootstrapped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// There have to be 1 to [`MAX_VOTERS`] different valid names.
    #[error("a council has 1 to {MAX_VOTERS} voters, each with a name of its own")]
    Names,
    /// The gateway whose disk is made has to be one of the voters.
    #[error("the gateway itself is not among the voters")]
    NotAmongThem,
    /// The new generation has to be above that of the old disk.
    #[error("the disk is of generation {0}, which is not an earlier one")]
    Generation(u32),
}

/// The content of a bootstrap voter's disk: the same state at all of them, and the voter's own replica.
///
/// `old` is the state of a survivor of an older generation. Its leases start again with terms above all that were granted.
///
/// # Errors
///
/// [`BootstrapError`] if the names or the generation are not valid.
pub fn bootstrap(
    generation: u32,
    own_name: &str,
    names: &[String],
    old: Option<&State>,
) -> Result<Record, BootstrapError> {
    let voters: BTreeMap<ReplicaId, Arc<str>> = names
        .iter()
        .map(|name| (bootstrap_voter(generation, name), name.as_str().into()))
        .collect();
    let valid = !names.is_empty() && names.iter().all(|name| is_name(name));
    if !valid || voters.len() != names.len() || names.len() > MAX_VOTERS {
        return Err(BootstrapError::Names);
    }
    if !names.iter().any(|name| name == own_name) {
        return Err(BootstrapError::NotAmongThem);
    }
    if let Some(old) = old.filter(|state| state.generation >= generation) {
        return Err(BootstrapError::Generation(old.generation));
    }
    let leases = old.map_or_else(LeaseTable::default, |state| {
        state.leases.rebootstrapped(generation)
    });
    let (replica_sets, tenants) = old.map_or_else(Default::default, |state| {
        (state.replica_sets.clone(), state.tenants.clone())
    });
    // As if one entry was committed: a replica that joins later does not have it, and is sent the state.
    let state = State {
        generation,
        applied: BOOTSTRAP_INDEX,
        voters,
        leases,
        replica_sets,
        tenants,
    };
    Ok(initial_record(
        bootstrap_voter(generation, own_name),
        &state,
    ))
}

/// The content of the disk of a replica that is not a voter yet.
pub fn new_replica(replica: ReplicaId) -> Record {
    initial_record(replica, &State::default())
}

fn initial_record(replica: ReplicaId, state: &State) -> Record {
    let voters: Vec<ReplicaId> = state.voters.keys().copied().collect();
    // A state always encodes.
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

/// The state that a disk's snapshot and its committed entries come to; `None` if the snapshot cannot be decoded.
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

/// The persistent state of a disk that holds just this record.
pub fn initial_state(record: &Record) -> PersistentState {
    let mut persistent = PersistentState::default();
    persistent.apply(record);
    persistent
}
