//! All workers, with the totals and subsets that periodic work and decisions need, so that neither
//! looks at the whole fleet. A change through [`WorkerMut`] updates them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

use super::worker::{WorkerState, MAX_CONSECUTIVE_FAILURES};
use crate::api::WorkerId;

/// Parts of one request in flight in which concurrency limits are summed. Sums of integers do not
/// depend on the order of the changes.
const LIMIT_PARTS: f64 = 1_048_576.0;

/// What one worker adds to the totals and subsets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Contribution {
    ready: bool,
    in_flight: u32,
    /// The concurrency limit of a ready worker, in [`LIMIT_PARTS`].
    limit: i64,
    stalled: bool,
    suspect: bool,
}

impl Contribution {
    fn of(state: &WorkerState) -> Contribution {
        Contribution {
            ready: state.ready,
            in_flight: state.in_flight,
            limit: if state.ready {
                (state.concurrency_limit * LIMIT_PARTS) as i64
            } else {
                0
            },
            stalled: state.stalled,
            suspect: state.stalled || state.consecutive_failures >= MAX_CONSECUTIVE_FAILURES,
        }
    }
}

/// Totals and subsets of the workers.
#[derive(Debug, Default)]
struct WorkerIndex {
    ready: usize,
    in_flight: u64,
    limits: i64,
    /// Workers with requests in flight.
    busy: BTreeSet<WorkerId>,
    stalled: BTreeSet<WorkerId>,
    suspects: BTreeSet<WorkerId>,
    /// Workers that are neither ready nor in use.
    unused: BTreeSet<WorkerId>,
}

impl WorkerIndex {
    fn replace(&mut self, id: WorkerId, before: Contribution, after: Contribution) {
        set_member(&mut self.unused, id, !after.ready && after.in_flight == 0);
        if before == after {
            return;
        }
        self.ready = self.ready + usize::from(after.ready) - usize::from(before.ready);
        self.in_flight = self.in_flight + u64::from(after.in_flight) - u64::from(before.in_flight);
        self.limits += after.limit - before.limit;
        set_member(&mut self.busy, id, after.in_flight > 0);
        set_member(&mut self.stalled, id, after.stalled);
        set_member(&mut self.suspects, id, after.suspect);
    }

    fn remove(&mut self, id: WorkerId, state: &WorkerState) {
        self.replace(id, Contribution::of(state), Contribution::default());
        self.unused.remove(&id);
    }
}

fn set_member(set: &mut BTreeSet<WorkerId>, id: WorkerId, is_member: bool) {
    if is_member {
        set.insert(id);
    } else {
        set.remove(&id);
    }
}

/// All workers.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: BTreeMap<WorkerId, WorkerState>,
    index: WorkerIndex,
}

impl WorkerTable {
    pub(super) fn get(&self, id: &WorkerId) -> Option<&WorkerState> {
        self.workers.get(id)
    }

    pub(super) fn contains_key(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// The number of workers, ready or still in use.
    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    /// All workers, by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerState)> {
        self.workers.iter()
    }

    /// A worker to be changed.
    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<WorkerMut<'_>> {
        let state = self.workers.get_mut(id)?;
        let before = Contribution::of(state);
        Some(WorkerMut {
            id: *id,
            state,
            index: &mut self.index,
            before,
        })
    }

    /// A worker to be changed, added if it is unknown.
    pub(super) fn get_or_add(&mut self, id: WorkerId) -> WorkerMut<'_> {
        let before = self
            .workers
            .get(&id)
            .map_or_else(Contribution::default, Contribution::of);
        WorkerMut {
            id,
            state: self.workers.entry(id).or_default(),
            index: &mut self.index,
            before,
        }
    }

    /// Removes the workers that are neither ready nor in use.
    pub(super) fn remove_unused(&mut self) {
        while let Some(id) = self.index.unused.pop_first() {
            if let Some(state) = self.workers.remove(&id) {
                self.index.remove(id, &state);
            }
        }
    }

    /// The number of ready workers.
    pub(super) fn ready_count(&self) -> usize {
        self.index.ready
    }

    /// The requests in flight at all workers.
    pub(super) fn total_in_flight(&self) -> usize {
        self.index.in_flight as usize
    }

    /// The sum of the ready workers' concurrency limits.
    pub(super) fn total_limit(&self) -> f64 {
        self.index.limits as f64 / LIMIT_PARTS
    }

    /// The workers with requests in flight.
    pub(super) fn busy(&self) -> &BTreeSet<WorkerId> {
        &self.index.busy
    }

    /// The stalled workers.
    pub(super) fn stalled(&self) -> &BTreeSet<WorkerId> {
        &self.index.stalled
    }

    /// The workers that may be unhealthy: stalled, or with several failures in a row.
    pub(super) fn suspects(&self) -> &BTreeSet<WorkerId> {
        &self.index.suspects
    }
}

/// A worker that is being changed; the totals are updated when the value is dropped.
#[derive(Debug)]
pub(super) struct WorkerMut<'a> {
    id: WorkerId,
    state: &'a mut WorkerState,
    index: &'a mut WorkerIndex,
    before: Contribution,
}

impl Deref for WorkerMut<'_> {
    type Target = WorkerState;

    fn deref(&self) -> &WorkerState {
        self.state
    }
}

impl DerefMut for WorkerMut<'_> {
    fn deref_mut(&mut self) -> &mut WorkerState {
        self.state
    }
}

impl Drop for WorkerMut<'_> {
    fn drop(&mut self) {
        let after = Contribution::of(self.state);
        self.index.replace(self.id, self.before, after);
    }
}
