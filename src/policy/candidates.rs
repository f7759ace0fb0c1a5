//! A function's candidates: the first available workers in rendezvous order. They follow changes of
//! single workers, and are computed from the whole fleet only when a function is first used, or
//! when too much has changed since.

use std::collections::VecDeque;

use super::endpoints::rendezvous_hash;
use super::Policy;
use crate::api::{FunctionId, Micros, WorkerId};

/// The maximum number of workers that a function uses, in a fleet of any size.
const MAX_CANDIDATES: usize = 24;
/// The number of workers that are ranked, so that some may leave before all are ranked again.
const MAX_RANKED: usize = 2 * MAX_CANDIDATES;
/// The minimum and maximum number of remembered changes. Functions that were not used for longer
/// are ranked anew; so are those for which more has changed than there are workers.
const MIN_REMEMBERED_CHANGES: usize = 64;
const MAX_REMEMBERED_CHANGES: usize = 8_192;

/// The workers whose availability has changed, in order.
#[derive(Debug, Default)]
pub(super) struct AvailabilityChanges {
    changed: VecDeque<WorkerId>,
    /// The number of changes before those remembered.
    forgotten: u64,
}

impl AvailabilityChanges {
    /// Records that a worker, one of `fleet_size`, may have become available or unavailable.
    pub(super) fn record(&mut self, worker: WorkerId, fleet_size: usize) {
        self.changed.push_back(worker);
        let bound = fleet_size.clamp(MIN_REMEMBERED_CHANGES, MAX_REMEMBERED_CHANGES);
        while self.changed.len() > bound {
            self.changed.pop_front();
            self.forgotten += 1;
        }
    }

    /// The number of changes so far.
    fn count(&self) -> u64 {
        self.forgotten + self.changed.len() as u64
    }

    /// The changes after the first `seen`; `None` if some of them are forgotten.
    fn since(&self, seen: u64) -> Option<impl Iterator<Item = WorkerId> + '_> {
        let skipped = seen.checked_sub(self.forgotten)?;
        Some(self.changed.range(skipped as usize..).copied())
    }
}

/// The first workers of a function in rendezvous order.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// The ranks and workers in order.
    ranked: Vec<(u64, WorkerId)>,
    /// Whether `ranked` holds every available worker.
    is_complete: bool,
    /// The number of changes that are applied; `None` before the first ranking.
    changes_seen: Option<u64>,
    workers: Vec<WorkerId>,
}

impl Candidates {
    /// The candidates in the order in which they are tried.
    pub(super) fn workers(&self) -> &[WorkerId] {
        &self.workers
    }

    /// Ranks all available workers.
    fn rank_all(&mut self, function: FunctionId, available: impl Iterator<Item = WorkerId>) {
        self.ranked = available
            .map(|worker| (rendezvous_hash(function, worker), worker))
            .collect();
        self.is_complete = self.ranked.len() <= MAX_RANKED;
        if !self.is_complete {
            self.ranked.select_nth_unstable(MAX_RANKED);
            self.ranked.truncate(MAX_RANKED);
        }
        self.ranked.sort_unstable();
        self.ranked.shrink_to_fit();
    }

    /// Adds or removes one worker. Returns whether the ranking still has enough workers.
    fn apply(
        &mut self,
        function: FunctionId,
        worker: WorkerId,
        is_available: impl FnOnce() -> bool,
    ) -> bool {
        let entry = (rendezvous_hash(function, worker), worker);
        match self.ranked.binary_search(&entry) {
            // Workers that are not ranked may stand between the last ranked one and this one.
            Err(place) if place == self.ranked.len() && !self.is_complete => {}
            Ok(place) => {
                if !is_available() {
                    self.ranked.remove(place);
                }
            }
            Err(place) => {
                if is_available() {
                    self.ranked.insert(place, entry);
                }
                if self.ranked.len() > MAX_RANKED {
                    self.ranked.pop();
                    self.is_complete = false;
                }
            }
        }
        self.is_complete || self.ranked.len() >= MAX_CANDIDATES
    }

    fn take_first(&mut self) {
        let first = self.ranked.iter().take(MAX_CANDIDATES);
        self.workers = first.map(|(_, worker)| *worker).collect();
    }
}

impl Policy {
    /// Notes that a worker may have become available or unavailable.
    pub(super) fn note_availability_change(&mut self, worker: WorkerId) {
        let fleet_size = self.workers.len();
        self.availability_changes.record(worker, fleet_size);
    }

    /// Updates a function's candidates to the current endpoint list and evidence.
    pub(super) fn refresh_candidates(&mut self, now: Micros, id: FunctionId) {
        let changes = self.availability_changes.count();
        let Some(function) = self.functions.get_mut(&id) else {
            return;
        };
        if function.candidates.changes_seen == Some(changes) {
            return;
        }
        let mut candidates = std::mem::take(&mut function.candidates);
        if !self.apply_changes(now, id, &mut candidates) {
            self.visited += self.workers.len() as u64;
            let are_all_available = self.evidence.are_all_available();
            let ready = self.workers.iter().filter(|(_, state)| state.ready);
            let available = ready
                .map(|(worker, _)| *worker)
                .filter(|worker| are_all_available || self.evidence.may_send(now, *worker));
            candidates.rank_all(id, available);
        }
        candidates.take_first();
        candidates.changes_seen = Some(changes);
        if let Some(function) = self.functions.get_mut(&id) {
            function.candidates = candidates;
        }
    }

    /// Applies the changes since the candidates were last updated. Returns whether that sufficed.
    fn apply_changes(&mut self, now: Micros, id: FunctionId, candidates: &mut Candidates) -> bool {
        let Some(seen) = candidates.changes_seen else {
            return false;
        };
        let Some(changed) = self.availability_changes.since(seen) else {
            return false;
        };
        let changed: Vec<WorkerId> = changed.collect();
        if changed.len() > self.workers.len() {
            return false;
        }
        self.visited += changed.len() as u64;
        changed
            .into_iter()
            .all(|worker| candidates.apply(id, worker, || self.is_available(now, worker)))
    }
}

#[cfg(test)]
#[path = "../../tests/policy/candidates.rs"]
mod tests;
