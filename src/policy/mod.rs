//! The decision module: chooses a worker for each request, and decides on retries, rejections and
//! loads.
//!
//! It is deterministic and performs no I/O. [`Policy::handle_event`] takes events; [`Policy::append_actions`]
//! appends the resulting actions. `src/api` defines both. Queued requests are sent by Fair Choice
//! on total processing time (FCP): the function with the lowest demand first. All instances try a
//! function's workers in the same rendezvous-hash order, so that they find the same copies without
//! communication.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Action, Event, FunctionId, Micros, Outcome, RequestId, Settings, WorkerId};

mod answers;
mod cancellation;
mod candidates;
mod dispatch;
mod eligibility;
mod endpoints;
pub mod evidence;
mod function;
mod function_table;
mod health;
mod idempotency;
mod latency;
mod limits;
mod load_backoff;
mod loads;
mod queue;
mod request;
mod scan;
mod selection;
mod selection_view;
mod window;
mod worker;
mod worker_table;

pub use idempotency::{never_ran, permitted_after, Permitted};

use candidates::AvailabilityChanges;
use evidence::{Availability, CheckResult, EvidenceChange, EvidenceTracker, WorkerEvidenceAge};
use function_table::FunctionTable;
use limits::TenantBucket;
use load_backoff::LoadBackoffs;
use loads::{CopyKey, LoadInProgress};
use request::RequestState;
use window::{DecayingAverage, SlidingWindow};
use worker_table::WorkerTable;

/// Initial concurrency limit of a worker, for all instances together. Answers raise or cut it. Each
/// instance starts with its share.
const INITIAL_CONCURRENCY_LIMIT: f64 = 8.0;
/// The shortest time between two wake-ups, in microseconds.
const TICK_INTERVAL: Micros = 10_000;
/// The interval between scans of all workers, in microseconds.
const HEALTH_SCAN_INTERVAL: Micros = 10 * TICK_INTERVAL;
/// The FCP accounting interval, in microseconds. One minute, as in the paper, is longer than a
/// burst of traffic.
const FCP_INTERVAL: Micros = 10_000_000;

/// The decision module of one gateway instance.
#[derive(Debug, Default)]
pub struct Policy {
    settings: Settings,
    /// Decorrelates the turns of instances at workers in slow start.
    seed: u64,
    functions: FunctionTable,
    workers: WorkerTable,
    /// Evidence that workers accept new work.
    evidence: EvidenceTracker,
    /// Changes of the workers' availability, which functions' candidates follow.
    availability_changes: AvailabilityChanges,
    /// The number of workers and functions looked at so far, apart from evidence.
    visited: u64,
    /// The functions with known copies or requests in flight, by worker.
    known_copies: BTreeSet<CopyKey>,
    requests: BTreeMap<RequestId, RequestState>,
    /// Requests by their clients' deadlines.
    deadlines: BTreeSet<(Micros, RequestId)>,
    /// Functions with queued requests.
    queued_functions: BTreeSet<FunctionId>,
    /// Loads assumed to be in progress.
    loads_in_progress: BTreeMap<CopyKey, LoadInProgress>,
    /// Load orders without an answer yet.
    load_orders: BTreeSet<CopyKey>,
    /// Workers that get no load orders for a while because they rejected some.
    load_backoffs: LoadBackoffs,
    recent_load_orders: SlidingWindow,
    recent_requests: SlidingWindow,
    recent_answers: SlidingWindow,
    /// The highest throughput of an average worker for this instance in any interval, in answers
    /// per microsecond.
    observed_capacity: f64,
    tenant_buckets: Vec<TenantBucket>,
    /// Run time of all answers, in microseconds.
    total_run_time: f64,
    answers: f64,
    interval_started_at: Micros,
    next_wake_at: Micros,
    last_scan_at: Micros,
    in_flight_average: DecayingAverage,
    /// Whether there is spare capacity to spread calls to workers without a copy.
    has_spare_capacity: bool,
    /// Whether the load is so high that late requests are shed in favour of those in time.
    is_overloaded: bool,
    initial_concurrency_limit: f64,
    ready_workers: usize,
    healthy_workers: usize,
    /// The time of the last subscription to the endpoint list; 0 if a subscription is needed.
    subscribed_at: Micros,
    /// The longest time to the deadline that an arriving request of each class has had, in
    /// microseconds.
    longest_client_timeout: BTreeMap<usize, Micros>,
}

impl Policy {
    /// Creates an instance that knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let instances = f64::from(settings.instances.max(1));
        let tenant_buckets = settings
            .tenants
            .iter()
            .map(|tenant| TenantBucket::full(tenant.quota_per_s / instances, now))
            .collect();
        Policy {
            seed,
            evidence: EvidenceTracker::new(&settings, seed, now),
            initial_concurrency_limit: INITIAL_CONCURRENCY_LIMIT / instances,
            tenant_buckets,
            functions: FunctionTable::with_limit(settings.max_functions),
            interval_started_at: now,
            settings,
            ..Default::default()
        }
    }

    /// Handles one event. After all events of a batch, call [`Policy::append_actions`] once.
    pub fn handle_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::WorkerList { update, workers } => self.on_worker_list(now, update, workers),
            Event::Discovery(signal) => self.evidence.on_discovery(now, signal),
            Event::DelayedDiscovery { signal, arrived_at } => {
                self.evidence.on_discovery(arrived_at.min(now), signal)
            }
            Event::ConnectionRefused { worker } => self.evidence.on_process_ended(now, worker),
            Event::Request(arrival) => self.on_request(now, &arrival),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, &end, actions),
            Event::Streaming { request } => self.on_streaming(request),
            Event::ClientGone { request } => self.on_client_gone(request, actions),
            Event::LoadEnded {
                worker,
                function,
                outcome,
                copies,
            } => {
                self.on_load_ended(now, CopyKey { worker, function }, outcome, copies);
            }
            Event::HealthChecked {
                worker,
                outcome,
                latency,
                connection_opened_at,
                ..
            } => {
                let result = check_result(outcome);
                let sent_at = now.saturating_sub(latency);
                self.evidence
                    .on_checked(now, worker, result, sent_at, connection_opened_at);
            }
            Event::PeerHealth {
                worker,
                unhealthy_until,
            } => self.on_peer_health(now, worker, unhealthy_until),
            Event::TenantQuota {
                tenant,
                quota_per_s,
            } => self.on_tenant_quota(now, tenant, quota_per_s),
            Event::InstanceLimits {
                load_rate_limit,
                overload_multiple,
                observed_capacity,
            } => {
                self.settings.load_rate_limit = load_rate_limit;
                self.settings.overload_multiple = overload_multiple;
                self.observed_capacity = self.observed_capacity.max(observed_capacity);
            }
            Event::Wake { .. } => self.on_wake(now, actions),
        }
    }

    /// Makes the decisions that follow from the handled events, and appends the actions.
    pub fn append_actions(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.apply_evidence(now, actions);
        self.dispatch_queued(now, actions);
        self.expire_overdue(now, actions);
        self.schedule_wake(now, actions);
        if self.settings.must_subscribe && self.subscribed_at == 0 {
            self.subscribed_at = now.max(1);
            actions.push(Action::Subscribe);
        }
    }

    /// Suspends and resumes workers by their evidence, and starts health checks that are due.
    fn apply_evidence(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let changed = self.evidence.tick(now);
        for (worker, availability) in &changed {
            // Suspended workers leave the candidate lists.
            self.note_availability_change(*worker);
            if *availability == (Availability::Resumed { new_process: true }) {
                self.begin_slow_start(now, *worker);
            }
        }
        if !changed.is_empty() {
            self.scan_workers(now);
        }
        let checks = self.evidence.due_checks(now).into_iter();
        actions.extend(checks.map(|worker| Action::HealthCheck { worker }));
        if self.evidence.take_due_reopening(now) {
            actions.push(Action::ReopenDiscovery);
        }
    }

    /// Whether a worker is listed as ready and there is evidence that it accepts new work.
    pub(crate) fn is_available(&self, now: Micros, id: WorkerId) -> bool {
        let is_ready = self.workers.get(&id).is_some_and(|worker| worker.ready);
        is_ready && self.evidence.may_send(now, id)
    }

    /// Whether there is evidence that a worker accepts new work. The caller asks again just before
    /// it writes a request.
    pub(crate) fn may_send(&self, now: Micros, worker: WorkerId) -> bool {
        self.evidence.may_send(now, worker)
    }

    /// The next change of the evidence, for the log.
    pub fn next_evidence_change(&mut self) -> Option<EvidenceChange> {
        self.evidence.next_change()
    }

    /// The age of the endpoint list, if discovery has confirmed it.
    pub(crate) fn list_age(&self, now: Micros) -> Option<Micros> {
        self.evidence.list_age(now)
    }

    /// Whether discovery has not confirmed the list for too long.
    pub(crate) fn is_discovery_lost(&self, now: Micros) -> bool {
        self.evidence.is_discovery_lost(now)
    }

    /// The age of the evidence of every worker that is listed as ready.
    pub(crate) fn evidence_ages(&self, now: Micros) -> Vec<WorkerEvidenceAge> {
        self.evidence.evidence_ages(now)
    }

    /// Whether discovery has confirmed the list since the start, or the time allowed for that is
    /// over.
    pub(crate) fn knows_workers(&self, now: Micros) -> bool {
        self.evidence.is_startup_complete(now)
    }

    /// The workers with evidence of their own that they accept new work, and the time of that
    /// evidence.
    pub(crate) fn served_evidence(&self, now: Micros) -> Vec<(WorkerId, Micros)> {
        self.evidence.served_evidence(now)
    }

    /// Takes over evidence from another process of this gateway.
    pub(crate) fn import_evidence(&mut self, worker: WorkerId, at: Micros) {
        self.evidence.import(worker, at);
    }

    /// The highest observed throughput of an average worker for this instance, in answers per
    /// microsecond.
    pub(crate) fn observed_capacity(&self) -> f64 {
        self.observed_capacity
    }

    /// The number of workers and functions that periodic work, lists and decisions have looked at
    /// so far, for tests of how the cost grows with the fleet.
    pub fn visited(&self) -> u64 {
        self.visited + self.evidence.examined()
    }

    /// The number of known functions.
    pub(crate) fn function_count(&self) -> usize {
        self.functions.len()
    }

    /// The number of workers that are ready and healthy.
    pub(crate) fn healthy_workers(&self) -> usize {
        self.healthy_workers
    }

    /// Sets an early wake-up only if a request is queued or about to expire, so that hundreds of
    /// idle instances cost nothing.
    fn schedule_wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let expires_soon = self
            .deadlines
            .first()
            .is_some_and(|(at, _)| *at < now + HEALTH_SCAN_INTERVAL);
        let soon = expires_soon || !self.queued_functions.is_empty();
        let after = if soon {
            self.tick_interval()
        } else {
            HEALTH_SCAN_INTERVAL
        };
        if self.next_wake_at <= now || now + after < self.next_wake_at {
            self.next_wake_at = now + after;
            actions.push(Action::Wake { after, token: 0 });
        }
    }

    fn tick_interval(&self) -> Micros {
        self.settings.tick.max(TICK_INTERVAL)
    }

    /// Whether so many instances share the workers that each may have less than one request in
    /// flight at a worker. Each then receives too few answers to judge a worker by its own requests
    /// alone.
    fn has_many_instances(&self) -> bool {
        self.initial_concurrency_limit < 1.0
    }
}

/// Converts a health check's outcome into its result for the worker.
fn check_result(outcome: Outcome) -> CheckResult {
    match outcome {
        Outcome::Ok => CheckResult::Alive,
        Outcome::Error => CheckResult::Dead,
        Outcome::Rejected
        | Outcome::Timeout
        | Outcome::ConnectFailed
        | Outcome::Reset
        | Outcome::Cancelled
        | Outcome::NotSent
        | Outcome::Miss => CheckResult::NoAnswer,
    }
}
