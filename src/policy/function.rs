//! State of a function: its demand, its queue and its copies.

use std::collections::{BTreeMap, VecDeque};

use super::candidates::Candidates;
use crate::api::{Micros, RequestId, WorkerId};

/// The maximum number of answers carried over in a function's mean run time from one interval to
/// the next, so that the mean follows a change of cost.
const MAX_REMEMBERED_ANSWERS: f64 = 64.0;

/// One function.
#[derive(Debug, Default)]
pub(super) struct FunctionState {
    /// Requests that one copy runs at once.
    pub(super) concurrency_per_copy: u32,
    /// The usual load time in microseconds, if clients state it.
    pub(super) load_duration: Option<Micros>,
    /// Requests in the last complete interval.
    pub(super) last_interval_requests: f64,
    /// Requests in the current interval.
    pub(super) interval_requests: f64,
    /// Run time in the current interval, in microseconds.
    pub(super) interval_run_time: f64,
    /// Total run time of the answers in the mean, in microseconds.
    pub(super) total_run_time: f64,
    /// Number of answers in the mean.
    pub(super) answers: f64,
    /// Requests waiting for a worker, in dispatch order.
    pub(super) queue: VecDeque<RequestId>,
    pub(super) copies: BTreeMap<WorkerId, CopyState>,
    /// The workers that may hold copies, in rendezvous order.
    pub(super) candidates: Candidates,
    /// When a worker was last queried for copies; 0 if never.
    pub(super) last_query_at: Micros,
}

impl FunctionState {
    /// Creates a function on its first request.
    pub(super) fn first_seen() -> Self {
        FunctionState {
            last_interval_requests: 1.0,
            ..Default::default()
        }
    }

    /// The mean run time in microseconds; `None` before the first answer.
    pub(super) fn mean_run_time(&self) -> Option<f64> {
        Some(self.total_run_time / self.answers).filter(|mean| mean.is_finite())
    }

    /// Records the run time of an answer, in microseconds.
    pub(super) fn record_run_time(&mut self, run_time: f64) {
        self.interval_run_time += run_time;
        self.total_run_time += run_time;
        self.answers += 1.0;
    }

    /// Begins a new FCP interval.
    pub(super) fn begin_interval(&mut self) {
        self.last_interval_requests = self.interval_requests;
        self.interval_requests = 0.0;
        self.interval_run_time = 0.0;
        self.total_run_time *= (MAX_REMEMBERED_ANSWERS / self.answers).min(1.0);
        self.answers = self.answers.min(MAX_REMEMBERED_ANSWERS);
    }

    /// Whether a worker has served it, or is known to hold copies of it.
    pub(super) fn was_served(&self) -> bool {
        self.answers > 0.0 || self.copies.values().any(|copy| copy.count > 0)
    }

    /// Whether it was called more often than on its first call and once more in the last two
    /// intervals. A new function counts as called once in the interval before.
    pub(super) fn was_called_again(&self) -> bool {
        self.interval_requests + self.last_interval_requests > 2.0
    }

    /// Whether a request or a load of it is under way.
    pub(super) fn is_busy(&self) -> bool {
        let is_loading = |copy: &CopyState| copy.own_in_flight > 0 || copy.loading_since.is_some();
        !self.queue.is_empty() || self.copies.values().any(is_loading)
    }

    /// Whether the function was called in the last two intervals, or has requests queued or in
    /// flight.
    pub(super) fn is_in_use(&self) -> bool {
        self.interval_requests + self.last_interval_requests > 0.0
            || !self.queue.is_empty()
            || self.copies.values().any(|copy| copy.own_in_flight > 0)
    }
}

/// Known state of one function's copies on one worker. Instants are 0 if the event has not
/// occurred.
#[derive(Debug, Default, Clone)]
pub(super) struct CopyState {
    /// Loaded copies.
    pub(super) count: u32,
    /// When a copy there was last used or confirmed.
    pub(super) last_used_at: Micros,
    /// This instance's requests in flight there.
    pub(super) own_in_flight: u32,
    /// When a load began that is assumed to be in progress.
    pub(super) loading_since: Option<Micros>,
    /// When the worker last answered that it had no copy.
    pub(super) missed_at: Micros,
    /// When the worker was last queried for copies.
    pub(super) queried_at: Micros,
}

impl CopyState {
    /// No known copies.
    pub(super) const NONE: CopyState = CopyState {
        count: 0,
        last_used_at: 0,
        own_in_flight: 0,
        loading_since: None,
        missed_at: 0,
        queried_at: 0,
    };

    /// Forgets all but the requests in flight after the worker has lost its copies.
    pub(super) fn forget(&mut self) {
        *self = CopyState {
            own_in_flight: self.own_in_flight,
            ..Default::default()
        };
    }

    /// Records that copies are loaded.
    pub(super) fn confirm(&mut self, now: Micros, count: u32) {
        self.count = count;
        self.last_used_at = now;
        self.missed_at = 0;
    }

    /// Records that the worker has no copy.
    pub(super) fn record_miss(&mut self, now: Micros) {
        self.count = 0;
        self.missed_at = now;
    }
}
