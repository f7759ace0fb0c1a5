//! Updates of whether workers may be sent new work: which are suspended and resumed, and when each
//! is examined again.

use super::change::{EvidenceChange, SuspendReason};
use super::discovery::DiscoveryChange;
use super::tracker::EvidenceTracker;
use super::validity::EvidenceValidity;
use super::worker::WorkerEvidence;
use crate::api::{Micros, WorkerId};

impl EvidenceTracker {
    /// Updates the state. Returns the workers that it suspends or resumes.
    pub fn tick(&mut self, now: Micros) -> Vec<(WorkerId, Availability)> {
        let Some(validity) = self.validity else {
            return Vec::new();
        };
        match self.discovery.tick(now) {
            Some(DiscoveryChange::Lost) => {
                let list_age = self.discovery.confirmed_at(now).map(|at| now - at);
                self.report(EvidenceChange::DiscoveryLost { list_age });
            }
            Some(DiscoveryChange::Restored { lost_for }) => {
                self.on_discovery_restored();
                self.report(EvidenceChange::DiscoveryRestored { lost_for });
            }
            None => {}
        }
        if !self.must_examine_workers(now) {
            return Vec::new();
        }
        if self.contradicted_for(now) >= Some(validity.max_list_age) {
            self.discovery.mark_updates_withheld();
        }
        self.update_availability(now, &validity)
    }

    /// Drops doubts and ended processes when discovery is available again: the list decides from
    /// now on.
    fn on_discovery_restored(&mut self) {
        for id in &self.flagged {
            let Some(worker) = self.workers.get_mut(id) else {
                continue;
            };
            let had_ended = worker.process_ended_at.take().is_some();
            worker.is_new_process |= had_ended && worker.suspended_since.is_some();
            worker.doubt = None;
            self.reexamination.touch(*id);
        }
    }

    /// Whether the state of each worker has to be examined.
    pub(super) fn must_examine_workers(&self, now: Micros) -> bool {
        let Some(validity) = &self.validity else {
            return false;
        };
        self.has_anomalies()
            || self.reexamination.has_touched()
            || self.is_list_ageing(now, validity)
    }

    /// Whether listed workers may lose their evidence without any further event.
    fn is_list_ageing(&self, now: Micros, validity: &EvidenceValidity) -> bool {
        let listed_until = self
            .discovery
            .confirmed_at(now)
            .map_or(0, |at| at + validity.list_evidence);
        self.discovery.is_lost(now) || now >= listed_until
    }

    /// Examines the workers whose availability may have changed: those with new evidence, those
    /// whose evidence expires now, and, once discovery confirms the list, the unavailable ones.
    fn update_availability(
        &mut self,
        now: Micros,
        validity: &EvidenceValidity,
    ) -> Vec<(WorkerId, Availability)> {
        let confirmed_at = self.discovery.confirmed_at(now);
        if self.is_list_ageing(now, validity) {
            let workers = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.is_available);
            self.reexamination.watch_all(
                workers.map(|(id, worker)| (worker.expires_at(validity, confirmed_at), *id)),
            );
        } else {
            let restricted = self.flagged.union(&self.unavailable);
            self.reexamination.stop_watching_all(restricted);
        }
        let mut due = self.reexamination.take_due(now);
        if self.reexamination.is_newly_confirmed(confirmed_at) {
            due.extend(&self.unavailable);
        }
        let mut changed = Vec::new();
        for id in due {
            let availability = self.examine(now, id, validity, confirmed_at);
            changed.extend(availability.map(|availability| (id, availability)));
        }
        changed
    }

    /// Updates whether one worker may be sent new work, and when it is examined again.
    fn examine(
        &mut self,
        now: Micros,
        id: WorkerId,
        validity: &EvidenceValidity,
        confirmed_at: Option<Micros>,
    ) -> Option<Availability> {
        self.examined += 1;
        let worker = self.workers.get_mut(&id)?;
        let may_send = worker.may_send(now, validity, confirmed_at);
        let was_available = std::mem::replace(&mut worker.is_available, may_send);
        if may_send {
            self.unavailable.remove(&id);
        } else {
            self.unavailable.insert(id);
        }
        if !worker.is_flagged() {
            self.flagged.remove(&id);
        }
        let next_at = if may_send {
            let is_watched = self.reexamination.watches_all() || worker.is_flagged();
            is_watched.then(|| worker.expires_at(validity, confirmed_at))
        } else {
            Some(worker.usable_from).filter(|usable_from| now < *usable_from)
        };
        if let Some(at) = next_at {
            self.reexamination.schedule(at, id);
        }
        match (was_available, may_send) {
            (false, true) => {
                let new_process = std::mem::take(&mut worker.is_new_process);
                // A worker that becomes available for the first time was not suspended, so there is
                // nothing to report.
                if let Some(since) = worker.suspended_since.take() {
                    self.report(EvidenceChange::Resumed {
                        worker: id,
                        new_process,
                        suspended_for: now - since,
                    });
                }
                Some(Availability::Resumed { new_process })
            }
            (true, false) => {
                worker.suspended_since = Some(now);
                let change = EvidenceChange::Suspended {
                    worker: id,
                    reason: suspend_reason(now, worker),
                    evidence_age: worker.latest(confirmed_at).map(|at| now - at),
                };
                self.report(change);
                Some(Availability::Suspended)
            }
            (true, true) | (false, false) => None,
        }
    }
}

/// A change of whether a worker may be sent new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may no longer be sent new work.
    Suspended,
    /// It may be sent new work again, or for the first time.
    Resumed {
        /// Whether its process may have been replaced.
        new_process: bool,
    },
}

fn suspend_reason(now: Micros, worker: &WorkerEvidence) -> SuspendReason {
    if worker.reported_unavailable_at.is_some() {
        SuspendReason::SaidDead
    } else if now < worker.usable_from {
        SuspendReason::ProcessReplaced
    } else {
        SuspendReason::EvidenceExpired
    }
}
