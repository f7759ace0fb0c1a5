//! Evidence that discovery is reachable and that workers accept new work: input signals, queries, logs and counters.

use super::Core;
use crate::api::{DiscoverySignal, Event, Micros, Outcome, WorkerId};
use crate::policy::evidence::{EvidenceChange, SuspendReason, WorkerEvidenceAge};

/// Microseconds per millisecond.
const MICROS_PER_MILLI: Micros = 1_000;

/// The age of the discovery and worker evidence, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceView {
    /// The age of the worker list; `None` if discovery has not confirmed it since the start, or is not configured.
    pub list_age: Option<Micros>,
    /// Whether discovery is considered lost because its last confirmation is too old.
    pub discovery_lost: bool,
    /// The evidence ages of the workers listed as ready.
    pub workers: Vec<WorkerEvidenceAge>,
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Handles a signal from the service discovery stream that arrived at `arrived_at`.
    pub fn handle_discovery_signal(
        &mut self,
        now: Micros,
        arrived_at: Micros,
        signal: DiscoverySignal,
    ) {
        let event = if arrived_at < now {
            Event::DelayedDiscovery { signal, arrived_at }
        } else {
            Event::Discovery(signal)
        };
        self.handle_event(now, event);
    }

    /// Returns whether there is valid evidence that a worker accepts new work. The driver checks it immediately before
    /// it sends, as the evidence may have expired since the module's decision.
    pub fn may_send(&self, now: Micros, worker: WorkerId) -> bool {
        self.policy.may_send(now, worker)
    }

    /// Returns whether the gateway can accept calls: discovery has confirmed the worker list or has had time to do so.
    pub fn knows_workers(&self, now: Micros) -> bool {
        self.policy.knows_workers(now)
    }

    /// Imports the evidence of a worker that another process of this gateway obtained at `at`.
    pub fn import_evidence(&mut self, worker: WorkerId, at: Micros) {
        self.policy.import_evidence(worker, at);
    }

    /// Returns the workers that have themselves shown that they accept new work, with the time of that evidence.
    pub fn served_evidence(&self, now: Micros) -> Vec<(WorkerId, Micros)> {
        self.policy.served_evidence(now)
    }

    /// Returns whether discovery is considered lost because its last confirmation is too old.
    pub fn is_discovery_lost(&self, now: Micros) -> bool {
        self.policy.is_discovery_lost(now)
    }

    /// Returns the age of the discovery and worker evidence.
    pub fn evidence_view(&self, now: Micros) -> EvidenceView {
        EvidenceView {
            list_age: self.policy.list_age(now),
            discovery_lost: self.policy.is_discovery_lost(now),
            workers: self.policy.evidence_ages(now),
        }
    }

    /// Handles a refused connection to a worker without other open connections: its process has ended.
    pub fn connection_refused(&mut self, now: Micros, worker: WorkerId) {
        self.handle_event(now, Event::ConnectionRefused { worker });
    }

    /// Counts the outcome of a health check.
    pub(super) fn count_health_check(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.counters.checks_alive += 1,
            Outcome::Error => self.counters.checks_dead += 1,
            _ => self.counters.checks_unanswered += 1,
        }
    }

    /// Logs and counts the evidence changes since the last call.
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
            EvidenceChange::DiscoveryRestored { lost_for } => {
                tracing::info!(
                    lost_for_ms = lost_for / MICROS_PER_MILLI,
                    "discovery recovered"
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

/// Logs a suspension. Expired evidence is logged at the debug level, as it can affect all workers of a large fleet at
/// once.
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
