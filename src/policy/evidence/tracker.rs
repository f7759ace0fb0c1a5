//! The evidence of all workers that are listed as ready.

use std::collections::{BTreeMap, VecDeque};

use super::change::{DoubtReason, EvidenceChange, SuspendReason};
use super::check_budget::CheckBudget;
use super::discovery::{DiscoveryChange, DiscoveryFreshness, DiscoveryKind};
use super::validity::EvidenceValidity;
use super::worker::{DoubtPolicy, ReportedCapacity, WorkerEvidence};
use crate::api::{DiscoverySignal, Micros, Settings, WorkerId, WorkerStatus};

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The worker accepts new work.
    Alive,
    /// The worker answers that it accepts no new work.
    Dead,
    /// No answer arrived, which proves nothing.
    NoAnswer,
}

/// Tracks the evidence of workers; see the module documentation.
#[derive(Debug)]
pub struct EvidenceTracker {
    /// `None` if the list does not expire: every listed worker may then be sent new work.
    pub(super) validity: Option<EvidenceValidity>,
    pub(super) may_check: bool,
    pub(super) seed: u64,
    pub(super) discovery: DiscoveryFreshness,
    pub(super) workers: BTreeMap<WorkerId, WorkerEvidence>,
    pub(super) budget: CheckBudget,
    /// When a request last arrived.
    pub(super) last_request_at: Option<Micros>,
    /// Whether any worker may be doubted, suspended or reported as ended.
    pub(super) has_anomalies: bool,
    /// When the discovery stream was last reopened.
    pub(super) stream_reopened_at: Micros,
    /// The number of reopenings since the last update.
    pub(super) reopenings: u32,
    pub(super) changes: VecDeque<EvidenceChange>,
}

impl Default for EvidenceTracker {
    fn default() -> EvidenceTracker {
        EvidenceTracker::new(&Settings::default(), 0, 0)
    }
}

impl EvidenceTracker {
    /// Creates a tracker without workers.
    pub fn new(settings: &Settings, seed: u64, now: Micros) -> EvidenceTracker {
        let kind = if settings.discovery_heartbeats {
            DiscoveryKind::Heartbeats
        } else {
            DiscoveryKind::Subscription
        };
        EvidenceTracker {
            validity: EvidenceValidity::from_settings(settings),
            may_check: settings.may_health_check,
            seed,
            discovery: DiscoveryFreshness::new(kind, now),
            workers: BTreeMap::new(),
            budget: CheckBudget::new(settings.instances, now),
            last_request_at: None,
            has_anomalies: false,
            stream_reopened_at: 0,
            reopenings: 0,
            changes: VecDeque::new(),
        }
    }

    /// Whether a worker that is listed as ready may be sent new work.
    pub fn may_send(&self, now: Micros, id: WorkerId) -> bool {
        let Some(validity) = &self.validity else {
            return true;
        };
        let confirmed_at = self.discovery.confirmed_at(now);
        self.workers
            .get(&id)
            .is_some_and(|worker| worker.may_send(now, validity, confirmed_at))
    }

    /// Whether a worker is doubted: it rejected work in an unexpected way, and no evidence since
    /// has shown whether it drains.
    pub fn is_doubted(&self, id: WorkerId) -> bool {
        let worker = self.workers.get(&id);
        worker.is_some_and(|worker| worker.doubt.is_some())
    }

    /// Whether any worker may be doubted, suspended or reported as ended. If not, callers need not
    /// look at each worker.
    pub fn has_anomalies(&self) -> bool {
        self.has_anomalies
    }

    /// Whether a worker is doubted and a health check will settle the doubt.
    pub fn awaits_check(&self, id: WorkerId) -> bool {
        self.may_check && self.is_doubted(id)
    }

    /// Handles a signal of the discovery stream.
    pub fn on_discovery(&mut self, now: Micros, signal: DiscoverySignal) {
        if self.validity.is_none() {
            return;
        }
        let is_contradicted = self
            .workers
            .values()
            .any(|worker| worker.reported_unavailable_at.is_some());
        self.discovery.handle(now, signal, is_contradicted);
        if signal == DiscoverySignal::Update {
            self.reopenings = 0;
            if !self.may_check {
                // Updates arrive, so the list is valid for doubted workers too.
                self.drop_doubts();
            }
        }
    }

    fn drop_doubts(&mut self) {
        for worker in self.workers.values_mut() {
            worker.doubt = None;
        }
    }

    /// Applies a list entry. `restarted` is true if the entry names a later process start than the
    /// worker's previous entry.
    pub fn on_listed(&mut self, id: WorkerId, status: WorkerStatus, restarted: bool) {
        if self.validity.is_none() {
            return;
        }
        if status != WorkerStatus::Ready {
            self.workers.remove(&id);
            return;
        }
        let worker = self.workers.entry(id).or_default();
        // The next update determines whether it may be used.
        self.has_anomalies |= !worker.is_available;
        if restarted {
            worker.begin_process();
        }
    }

    /// Removes workers that a complete list does not contain.
    pub fn retain_listed(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        self.workers.retain(|id, _| is_listed(*id));
    }

    /// Records the arrival of a request.
    pub fn on_request(&mut self, now: Micros) {
        self.last_request_at = Some(now);
    }

    /// Records that an attempt or a load order is sent.
    pub fn on_sent(&mut self, now: Micros, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.last_used_at = now;
        }
    }

    /// Records that a worker served a request sent at `sent_at`.
    pub fn on_served(&mut self, now: Micros, id: WorkerId, sent_at: Micros) {
        self.record_served(now, id, sent_at, None);
    }

    fn record_served(&mut self, now: Micros, id: WorkerId, at: Micros, opened_at: Option<Micros>) {
        let confirmed_at = self.discovery.confirmed_at(now);
        let (Some(validity), Some(worker)) = (&self.validity, self.workers.get_mut(&id)) else {
            return;
        };
        worker.record_served(now, at, opened_at, validity, confirmed_at);
    }

    /// Records that a worker rejected a call sent at `sent_at`.
    pub fn on_rejected(
        &mut self,
        now: Micros,
        id: WorkerId,
        sent_at: Micros,
        capacity: ReportedCapacity,
    ) {
        let policy = self.doubt_policy(now);
        let doubt = self
            .workers
            .get_mut(&id)
            .and_then(|worker| worker.record_rejection(sent_at, capacity, policy));
        self.report_doubt(now, id, doubt);
    }

    /// Records that a worker rejected a load order.
    pub fn on_load_rejected(&mut self, now: Micros, id: WorkerId) {
        let policy = self.doubt_policy(now);
        let doubt = self
            .workers
            .get_mut(&id)
            .and_then(|worker| worker.record_load_rejection(now, policy));
        self.report_doubt(now, id, doubt);
    }

    /// How a doubt that begins now is settled.
    fn doubt_policy(&self, now: Micros) -> DoubtPolicy {
        if self.may_check {
            DoubtPolicy::HealthCheck
        } else {
            DoubtPolicy::ListDeliveredAt(self.discovery.delivered_at(now).unwrap_or(0))
        }
    }

    /// Records the capacity that a worker reported with a served request.
    pub fn on_reported(&mut self, id: WorkerId, capacity: ReportedCapacity) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.reported_capacity = capacity;
        }
    }

    /// Records that a worker carried out a load order.
    pub fn on_loaded(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.record_load();
        }
    }

    fn report_doubt(&mut self, now: Micros, id: WorkerId, doubt: Option<DoubtReason>) {
        let Some(reason) = doubt else {
            return;
        };
        self.has_anomalies = true;
        let evidence_age = self.evidence_age(now, id);
        self.report(EvidenceChange::Doubted {
            worker: id,
            reason,
            evidence_age,
        });
    }

    /// Records that a worker's address refuses connections: its process has ended. While discovery
    /// is available, the list alone decides.
    pub fn on_process_ended(&mut self, now: Micros, id: WorkerId) {
        if self.validity.is_none() || !self.discovery.is_lost(now) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.process_ended_at = Some(now);
            self.has_anomalies = true;
        }
    }

    /// Records the end of a health check that was sent at `sent_at`, on a connection opened at
    /// `opened_at` if known.
    pub fn on_checked(
        &mut self,
        now: Micros,
        id: WorkerId,
        result: CheckResult,
        sent_at: Micros,
        opened_at: Option<Micros>,
    ) {
        if result == CheckResult::Alive {
            self.record_served(now, id, sent_at, opened_at);
        }
        let retry_interval = self.budget.retry_interval();
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker
            .check
            .end(now, result == CheckResult::Alive, retry_interval);
        if result == CheckResult::Dead && worker.served_at.is_none_or(|at| at < sent_at) {
            worker.reported_unavailable_at = Some(sent_at);
            worker.doubt = None;
            self.has_anomalies = true;
        }
    }

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
        for worker in self.workers.values_mut() {
            let had_ended = worker.process_ended_at.take().is_some();
            worker.is_new_process |= had_ended && worker.suspended_since.is_some();
            worker.doubt = None;
        }
    }

    /// Whether the state of each worker has to be examined.
    pub(super) fn must_examine_workers(&self, now: Micros) -> bool {
        self.validity.is_some() && (self.has_anomalies || self.discovery.is_lost(now))
    }

    fn update_availability(
        &mut self,
        now: Micros,
        validity: &EvidenceValidity,
    ) -> Vec<(WorkerId, Availability)> {
        let confirmed_at = self.discovery.confirmed_at(now);
        let mut changed = Vec::new();
        let mut changes = Vec::new();
        let mut has_anomalies = false;
        for (id, worker) in &mut self.workers {
            let may_send = worker.may_send(now, validity, confirmed_at);
            match (may_send, worker.is_available) {
                (true, false) => {
                    worker.is_available = true;
                    let new_process = std::mem::take(&mut worker.is_new_process);
                    changed.push((*id, Availability::Resumed { new_process }));
                    // A worker that becomes available for the first time was not suspended, so
                    // there is nothing to report.
                    changes.extend(worker.suspended_since.take().map(|since| {
                        EvidenceChange::Resumed {
                            worker: *id,
                            new_process,
                            suspended_for: now - since,
                        }
                    }));
                }
                (false, true) => {
                    worker.is_available = false;
                    worker.suspended_since = Some(now);
                    changed.push((*id, Availability::Suspended));
                    changes.push(EvidenceChange::Suspended {
                        worker: *id,
                        reason: suspend_reason(now, worker),
                        evidence_age: worker.latest(confirmed_at).map(|at| now - at),
                    });
                }
                (true, true) | (false, false) => {}
            }
            has_anomalies |=
                !may_send || worker.doubt.is_some() || worker.process_ended_at.is_some();
        }
        self.has_anomalies = has_anomalies;
        for change in changes {
            self.report(change);
        }
        changed
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
