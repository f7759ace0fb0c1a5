//! What the decision module knows of discovery and of workers that take new work: signals in, changes logged and counted.

use super::Core;
use crate::api::{DiscoverySignal, Event, Micros, Outcome, WorkerId};
use crate::policy::evidence::{EvidenceChange, SuspendReason, WorkerEvidenceAge};

/// Microseconds of a millisecond, for log lines.
const MICROS_PER_MILLI: Micros = 1_000;

/// How old what is known is, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceView {
    /// The age of the list; none if discovery has not confirmed it since the start, or there is no discovery.
    pub list_age: Option<Micros>,
    /// Whether discovery has confirmed nothing for too long.
    pub discovery_lost: bool,
    /// The workers that are listed as ready.
    pub workers: Vec<WorkerEvidenceAge>,
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// The stream of service discovery has given a sign.
    pub fn discovery_signal(&mut self, now: Micros, signal: DiscoverySignal) {
        self.handle_event(now, Event::Discovery(signal));
    }

    /// Whether there is evidence that a worker takes new work. Asked where bytes would leave, as it may have expired since
    /// the module decided.
    pub fn may_send(&self, now: Micros, worker: WorkerId) -> bool {
        self.policy.may_send(now, worker)
    }

    /// Whether calls are worth taking: discovery has confirmed the list, or has had the time to do so.
    pub fn knows_workers(&self, now: Micros) -> bool {
        self.policy.knows_workers(now)
    }

    /// Takes over evidence that another process of this gateway had of a worker at `at`.
    pub fn adopt_evidence(&mut self, worker: WorkerId, at: Micros) {
        self.policy.adopt_evidence(worker, at);
    }

    /// The workers that showed by themselves that they take new work, and when.
    pub fn served_evidence(&self, now: Micros) -> Vec<(WorkerId, Micros)> {
        self.policy.served_evidence(now)
    }

    /// Whether discovery has confirmed nothing for too long.
    pub fn is_discovery_lost(&self, now: Micros) -> bool {
        self.policy.is_discovery_lost(now)
    }

    /// How old what is known is.
    pub fn evidence_view(&self, now: Micros) -> EvidenceView {
        EvidenceView {
            list_age: self.policy.list_age(now),
            discovery_lost: self.policy.is_discovery_lost(now),
            workers: self.policy.evidence_ages(now),
        }
    }

    /// A connection to a worker was refused while no other was open: its process has ended.
    pub fn worker_refused(&mut self, now: Micros, worker: WorkerId) {
        self.handle_event(now, Event::WorkerRefused { worker });
    }

    /// Counts what a health check found.
    pub(super) fn count_health_check(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.counters.checks_alive += 1,
            Outcome::Error => self.counters.checks_dead += 1,
            _ => self.counters.checks_unanswered += 1,
        }
    }

    /// Logs and counts what has changed since the last call.
    pub(super) fn log_evidence_changes(&mut self) {
        while let Some(change) = self.policy.next_evidence_change() {
            self.log_evidence_change(change);
        }
    }

    fn log_evidence_change(&mut self, change: EvidenceChange) {
        match change {
            EvidenceChange::DiscoveryLost { list_age } => {
                self.counters.discovery_lost += 1;
                tracing::warn!(list_age_ms = ?millis(list_age), "discovery lost");
            }
            EvidenceChange::DiscoveryHeard { lost_for } => {
                tracing::info!(
                    lost_for_ms = lost_for / MICROS_PER_MILLI,
                    "discovery heard again"
                );
            }
            EvidenceChange::Doubted {
                worker,
                reason,
                evidence_age,
            } => {
                self.counters.workers_doubted += 1;
                tracing::info!(
                    worker = worker.0,
                    ?reason,
                    evidence_age_ms = ?millis(evidence_age),
                    "worker doubted"
                );
            }
            EvidenceChange::Suspended {
                worker,
                reason,
                evidence_age,
            } => {
                self.counters.workers_suspended += 1;
                log_suspended(worker, reason, evidence_age);
            }
            EvidenceChange::Resumed {
                worker,
                new_process,
                suspended_for,
            } => {
                self.counters.workers_resumed += 1;
                tracing::info!(
                    worker = worker.0,
                    new_process,
                    suspended_for_ms = suspended_for / MICROS_PER_MILLI,
                    "worker resumed"
                );
            }
        }
    }
}

/// Evidence expires for the whole of a large fleet at once; that is logged with the details only.
fn log_suspended(worker: WorkerId, reason: SuspendReason, evidence_age: Option<Micros>) {
    let evidence_age_ms = millis(evidence_age);
    if reason == SuspendReason::EvidenceExpired {
        tracing::debug!(
            worker = worker.0,
            ?reason,
            ?evidence_age_ms,
            "worker suspended"
        );
    } else {
        tracing::info!(
            worker = worker.0,
            ?reason,
            ?evidence_age_ms,
            "worker suspended"
        );
    }
}

fn millis(age: Option<Micros>) -> Option<Micros> {
    age.map(|age| age / MICROS_PER_MILLI)
}
