//! The evidence of all workers that are listed as ready.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::change::{DoubtReason, EvidenceChange};
use super::check_budget::CheckBudget;
use super::checks::USE_WINDOW;
use super::discovery::{DiscoveryFreshness, DiscoveryKind};
use super::reexamination::Reexamination;
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
    /// The workers that could not be sent new work when they were last examined.
    pub(super) unavailable: BTreeSet<WorkerId>,
    /// The workers that are doubted, said that they are unavailable, or whose process has ended.
    pub(super) flagged: BTreeSet<WorkerId>,
    /// When and which workers have to be examined again.
    pub(super) reexamination: Reexamination,
    /// The workers sent work lately, for checks while discovery is lost.
    pub(super) recently_used: BTreeSet<(Micros, WorkerId)>,
    /// Where the search for workers to check continues in a large fleet.
    pub(super) check_cursor: Option<WorkerId>,
    /// Number of workers examined so far.
    pub(super) examined: u64,
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
            unavailable: BTreeSet::new(),
            flagged: BTreeSet::new(),
            reexamination: Reexamination::default(),
            recently_used: BTreeSet::new(),
            // Instances begin at different places, as their checks would otherwise meet.
            check_cursor: Some(WorkerId((seed >> 32) as u32)),
            examined: 0,
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
            // A new process is used only once its copies have been forgotten.
            .is_some_and(|worker| {
                !worker.is_new_process && worker.may_send(now, validity, confirmed_at)
            })
    }

    /// The number of workers that may be sent new work, as of the last update; `None` if the list
    /// does not expire.
    pub fn available_count(&self) -> Option<usize> {
        self.validity?;
        Some(self.workers.len() - self.unavailable.len())
    }

    /// Whether every listed worker may be sent new work, as of the last update.
    pub fn are_all_available(&self) -> bool {
        self.unavailable.is_empty() && !self.reexamination.has_touched()
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
        !self.unavailable.is_empty() || !self.flagged.is_empty()
    }

    /// Whether a worker is doubted and a health check will settle the doubt.
    pub fn awaits_check(&self, id: WorkerId) -> bool {
        self.may_check && self.is_doubted(id)
    }

    /// Handles a signal of the discovery stream that arrived at `arrived_at`.
    pub fn on_discovery(&mut self, arrived_at: Micros, signal: DiscoverySignal) {
        if self.validity.is_none() {
            return;
        }
        let is_contradicted = self
            .flagged_workers()
            .any(|worker| worker.reported_unavailable_at.is_some());
        self.discovery.handle(arrived_at, signal, is_contradicted);
        if signal == DiscoverySignal::Update {
            self.reopenings = 0;
            if !self.may_check {
                // Updates arrive, so the list is valid for doubted workers too.
                self.drop_doubts();
            }
        }
    }

    fn drop_doubts(&mut self) {
        for id in &self.flagged {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.doubt = None;
            }
            self.reexamination.touch(*id);
        }
    }

    /// The evidence of the flagged workers.
    pub(super) fn flagged_workers(&self) -> impl Iterator<Item = &WorkerEvidence> {
        self.flagged.iter().filter_map(|id| self.workers.get(id))
    }

    /// Notes that a worker's evidence has changed in a way that restricts its use.
    fn flag(&mut self, id: WorkerId) {
        self.flagged.insert(id);
        self.reexamination.touch(id);
    }

    fn forget(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.remove(&id) {
            self.recently_used.remove(&(worker.last_used_at, id));
        }
        self.unavailable.remove(&id);
        self.flagged.remove(&id);
    }

    /// Applies a list entry. `restarted` is true if the entry names a later process start than the
    /// worker's previous entry.
    pub fn on_listed(&mut self, id: WorkerId, status: WorkerStatus, restarted: bool) {
        if self.validity.is_none() {
            return;
        }
        if status != WorkerStatus::Ready {
            self.forget(id);
            return;
        }
        let worker = self.workers.entry(id).or_default();
        if restarted {
            worker.begin_process();
        }
        // The next update determines whether it may be used.
        if !worker.is_available {
            self.unavailable.insert(id);
        }
        if restarted || !worker.is_available {
            self.reexamination.touch(id);
        }
    }

    /// Removes workers that a complete list does not contain.
    pub fn retain_listed(&mut self, is_listed: impl Fn(WorkerId) -> bool) {
        let unlisted: Vec<WorkerId> = self
            .workers
            .keys()
            .filter(|id| !is_listed(**id))
            .copied()
            .collect();
        for id in unlisted {
            self.forget(id);
        }
    }

    /// Records the arrival of a request.
    pub fn on_request(&mut self, now: Micros) {
        self.last_request_at = Some(now);
    }

    /// Records that an attempt or a load order is sent.
    pub fn on_sent(&mut self, now: Micros, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            self.recently_used.remove(&(worker.last_used_at, id));
            worker.last_used_at = now;
            self.recently_used.insert((now, id));
        }
        let outdated = now.saturating_sub(USE_WINDOW);
        while self
            .recently_used
            .first()
            .is_some_and(|(at, _)| *at < outdated)
        {
            self.recently_used.pop_first();
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
        if self.flagged.contains(&id) || self.unavailable.contains(&id) {
            self.reexamination.touch(id);
        }
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
        self.flag(id);
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
            self.flag(id);
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
            self.flag(id);
        }
    }
}
