//! State of a worker: its concurrency limit, its failures and its reports.

use std::collections::BTreeMap;

use super::window::SlidingWindow;
use super::TICK_INTERVAL;
use crate::api::{CellId, Micros, ZoneId};

/// Consecutive failures that eject a worker. All attempts that end with one connection count as
/// one.
pub(super) const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// The first ejection time of a worker, in microseconds. It doubles with each failed trial.
pub(super) const BASE_EJECTION_TIME: Micros = 25 * TICK_INTERVAL;
/// The maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// The factor by which a rejection or slow answers cut a concurrency limit.
const LIMIT_CUT_FACTOR: f64 = 0.7;

/// One worker. Instants are 0 if the event has not occurred.
#[derive(Debug, Default)]
pub(super) struct WorkerState {
    pub(super) zone: Option<ZoneId>,
    pub(super) cell: Option<CellId>,
    /// Whether the endpoint list marks it as ready.
    pub(super) ready: bool,
    /// When its process started, if known.
    pub(super) started_at: Option<Micros>,
    /// This instance's requests in flight.
    pub(super) in_flight: u32,
    /// The limit on this instance's requests in flight. A limit below one holds on average over
    /// time: see [`WorkerState::concurrency_debt`]. It is 0 only before the worker is first listed.
    pub(super) concurrency_limit: f64,
    /// In-flight time beyond the limit as of `debt_updated_at`, in microseconds.
    debt: f64,
    debt_updated_at: Micros,
    /// When the concurrency limit was last cut.
    pub(super) limit_cut_at: Micros,
    /// Moving average of its latency relative to the target; above 1 it is slow.
    pub(super) latency_ratio: f64,
    /// When it last gave an answer that counted for the latency ratio.
    pub(super) last_sample_at: Micros,
    pub(super) reported_load: ReportedLoad,
    /// Whether it has answered nothing for too long.
    pub(super) stalled: bool,
    pub(super) consecutive_failures: u32,
    /// When a connection to it was last reset.
    pub(super) last_reset_at: Micros,
    /// An ejected worker gets no request before this instant, and a single trial request after it.
    pub(super) ejected_until: Micros,
    /// Other workers are preferred until this instant, as peers observed failures.
    pub(super) peer_unhealthy_until: Micros,
    /// When a connect failed, if no answer has arrived since.
    pub(super) unreachable_since: Option<Micros>,
    /// When it last answered, or when a request was sent to it with no others in flight.
    pub(super) last_answer_at: Micros,
    pub(super) recent_sends: SlidingWindow,
    /// Pauses of the classes that it limits.
    pub(super) class_backoff: BTreeMap<usize, ClassBackoff>,
}

/// All requests that a worker held at its last answer, from all instances.
#[derive(Debug, Default)]
pub(super) struct ReportedLoad {
    pub(super) in_flight: f64,
    pub(super) at: Micros,
}

/// The pause during which a worker gets no requests of one class. It doubles with each further
/// rejection.
#[derive(Debug, Default)]
pub(super) struct ClassBackoff {
    pub(super) until: Micros,
    pub(super) duration: Micros,
}

impl WorkerState {
    /// Creates the state of a worker's new process. Requests in flight to the previous process
    /// still count.
    pub(super) fn new_process(
        now: Micros,
        started_at: Option<Micros>,
        concurrency_limit: f64,
        in_flight: u32,
    ) -> Self {
        WorkerState {
            in_flight,
            started_at,
            concurrency_limit,
            last_answer_at: now,
            last_sample_at: now,
            latency_ratio: 1.0,
            ..Default::default()
        }
    }

    /// Time that this instance's requests have spent in flight beyond the concurrency limit,
    /// including those still in flight, in microseconds. It enforces a limit below one: a worker
    /// takes no further request before its debt is paid off.
    pub(super) fn concurrency_debt(&self, now: Micros) -> f64 {
        let excess = f64::from(self.in_flight) - self.concurrency_limit;
        (self.debt + excess * (now - self.debt_updated_at) as f64).max(0.0)
    }

    /// Updates the concurrency debt and adds to it, before the limit or the requests in flight
    /// change.
    pub(super) fn add_debt(&mut self, now: Micros, more: f64) {
        self.debt = self.concurrency_debt(now) + more;
        self.debt_updated_at = now;
    }

    /// Whether it is healthy, or may be sent the one trial request that ends an ejection.
    pub(super) fn is_healthy(&self, now: Micros) -> bool {
        let trial_allowed = now >= self.ejected_until && self.in_flight == 0;
        !self.stalled && (self.consecutive_failures < MAX_CONSECUTIVE_FAILURES || trial_allowed)
    }

    /// Cuts the concurrency limit, but not below `min_limit`.
    pub(super) fn cut_limit(&mut self, now: Micros, min_limit: f64) {
        let used = f64::from(self.in_flight + 1);
        self.concurrency_limit =
            (self.concurrency_limit.min(used) * LIMIT_CUT_FACTOR).max(min_limit);
        self.limit_cut_at = now;
    }

    /// Raises the concurrency limit by one step.
    pub(super) fn raise_limit(&mut self) {
        self.concurrency_limit += (1.0 / self.concurrency_limit).min(self.concurrency_limit / 8.0);
    }

    /// Ejects the worker after too many consecutive failures.
    pub(super) fn eject_after_failures(&mut self, now: Micros) {
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            let doublings =
                (self.consecutive_failures - MAX_CONSECUTIVE_FAILURES).min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now + (BASE_EJECTION_TIME << doublings);
        }
    }

    /// Whether the worker gets no requests of a class at `now`, because it limits the class.
    pub(super) fn backs_off(&self, now: Micros, class: usize) -> bool {
        self.class_backoff
            .get(&class)
            .is_some_and(|backoff| now < backoff.until)
    }

    /// Whether its process started less than `duration` microseconds ago.
    pub(super) fn is_in_slow_start(&self, now: Micros, duration: Micros) -> bool {
        self.started_at
            .is_some_and(|started_at| now < started_at + duration)
    }

    /// Records a request sent to it.
    pub(super) fn record_send(&mut self, now: Micros, overload_window: Micros) {
        if self.in_flight == 0 {
            self.last_answer_at = now;
        }
        self.add_debt(now, 0.0);
        self.in_flight += 1;
        self.recent_sends.count(now, overload_window);
        self.recent_sends.record(now);
    }
}
