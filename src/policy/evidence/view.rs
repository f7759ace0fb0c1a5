//! The evidence as reported to operators and passed to other processes of the gateway.

use super::change::EvidenceChange;
use super::tracker::EvidenceTracker;
use crate::api::{Micros, WorkerId};

/// The maximum number of pending changes; further ones are dropped.
const MAX_CHANGES: usize = 4096;

/// Age of the latest evidence of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerEvidenceAge {
    /// The worker.
    pub worker: WorkerId,
    /// The age; `None` if there is no evidence.
    pub age: Option<Micros>,
    /// Whether it is suspended.
    pub suspended: bool,
}

impl EvidenceTracker {
    pub(super) fn report(&mut self, change: EvidenceChange) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push_back(change);
        }
    }

    /// The next change to be logged.
    pub fn next_change(&mut self) -> Option<EvidenceChange> {
        self.changes.pop_front()
    }

    /// The age of the list; `None` if discovery has not confirmed it since the start, or the list
    /// does not expire.
    pub fn list_age(&self, now: Micros) -> Option<Micros> {
        self.discovery
            .confirmed_at(now)
            .map(|at| now.saturating_sub(at))
    }

    /// The number of workers examined so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Whether discovery has confirmed the list since the start, or the time allowed for that is
    /// over.
    pub fn is_startup_complete(&self, now: Micros) -> bool {
        self.validity.is_none()
            || self.discovery.confirmed_at(now).is_some()
            || self.discovery.is_lost(now)
    }

    /// Whether discovery is lost.
    pub fn is_discovery_lost(&self, now: Micros) -> bool {
        self.validity.is_some() && self.discovery.is_lost(now)
    }

    pub(super) fn evidence_age(&self, now: Micros, id: WorkerId) -> Option<Micros> {
        let confirmed_at = self.discovery.confirmed_at(now);
        let latest = self.workers.get(&id)?.latest(confirmed_at)?;
        Some(now.saturating_sub(latest))
    }

    /// The age of the evidence of every worker that is listed as ready.
    pub fn evidence_ages(&self, now: Micros) -> Vec<WorkerEvidenceAge> {
        let confirmed_at = self.discovery.confirmed_at(now);
        self.workers
            .iter()
            .map(|(id, worker)| WorkerEvidenceAge {
                worker: *id,
                age: worker.latest(confirmed_at).map(|at| now.saturating_sub(at)),
                suspended: !worker.is_available,
            })
            .collect()
    }

    /// The workers that may be sent new work and gave evidence of that themselves, with the time of
    /// that evidence. Evidence from the list is not included: it is valid for a shorter time.
    pub fn served_evidence(&self, now: Micros) -> Vec<(WorkerId, Micros)> {
        self.workers
            .iter()
            .filter(|(id, _)| self.may_send(now, **id))
            .filter_map(|(id, worker)| Some((*id, worker.served_at?)))
            .collect()
    }

    /// Takes over evidence of time `at` from another process of this gateway.
    pub fn import(&mut self, id: WorkerId, at: Micros) {
        if let Some(worker) = self.workers.get_mut(&id) {
            if worker.reported_unavailable_at.is_none() && worker.process_ended_at.is_none() {
                worker.served_at = worker.served_at.max(Some(at));
                self.reexamination.touch(id);
            }
        }
    }
}
