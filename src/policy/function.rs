//! What is known of a function: its demand, its queue and its copies.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Micros, RequestId, WorkerId};

/// Answers that a function's mean run time remembers at most from one interval to the next, so that
/// it follows a change of cost.
const MAX_REMEMBERED_ANSWERS: f64 = 64.0;

/// One function.
#[derive(Debug, Default)]
pub(super) struct FunctionState {
    /// Requests that one copy runs at once.
    pub(super) concurrency_per_copy: u32,
    /// The usual time of a load in microseconds, where clients tell it.
    pub(super) load_duration: Option<Micros>,
    /// Requests of the last complete interval.
    pub(super) last_interval_requests: f64,
    /// Requests of the current interval.
    pub(super) interval_requests: f64,
    /// Run time of the current interval, in microseconds.
    pub(super) interval_run_time: f64,
    /// Run time of the answers that the mean remembers, in microseconds.
    pub(super) total_run_time: f64,
    /// Answers that the mean remembers.
    pub(super) answers: f64,
    /// Requests that wait for a worker, in the order in which they are taken.
    pub(super) queue: VecDeque<RequestId>,
    pub(super) copies: BTreeMap<WorkerId, CopyState>,
    /// The workers that may hold copies, in rendezvous order.
    pub(super) candidates: Vec<WorkerId>,
    /// The version of the endpoint list from which the candidates were taken.
    pub(super) candidates_version: u64,
    /// When some worker was last queried for copies; 0 if never.
    pub(super) last_query_at: Micros,
}

impl FunctionState {
    /// A function that is seen for the first time.
    pub(super) fn first_seen() -> Self {
        FunctionState {
            last_interval_requests: 1.0,
            ..Default::default()
        }
    }

    /// The mean run time of the answers remembered, in microseconds; none before the first answer.
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

    /// Whether the function was called in the last two intervals, or has requests queued or in
    /// flight.
    pub(super) fn is_in_use(&self) -> bool {
        self.interval_requests + self.last_interval_requests > 0.0
            || !self.queue.is_empty()
            || self.copies.values().any(|copy| copy.own_in_flight > 0)
    }
}

/// What is believed of one function's copies on one worker. Instants are 0 if they have not come
/// yet.
#[derive(Debug, Default, Clone)]
pub(super) struct CopyState {
    /// Copies that stand there.
    pub(super) count: u32,
    /// When a copy there was last used or confirmed.
    pub(super) last_used_at: Micros,
    /// This instance's requests in flight there.
    pub(super) own_in_flight: u32,
    /// Since when a load is believed to be in progress.
    pub(super) loading_since: Option<Micros>,
    /// When the worker last answered that it has no copy.
    pub(super) missed_at: Micros,
    /// When the worker was last queried for copies.
    pub(super) queried_at: Micros,
}

impl CopyState {
    /// Nothing is known.
    pub(super) const NONE: CopyState = CopyState {
        count: 0,
        last_used_at: 0,
        own_in_flight: 0,
        loading_since: None,
        missed_at: 0,
        queried_at: 0,
    };

    /// What is left of the belief when the worker's copies are gone: the requests in flight.
    pub(super) fn forget(&mut self) {
        *self = CopyState {
            own_in_flight: self.own_in_flight,
            ..Default::default()
        };
    }

    /// Copies were seen to stand there.
    pub(super) fn confirm(&mut self, now: Micros, count: u32) {
        self.count = count;
        self.last_used_at = now;
        self.missed_at = 0;
    }

    /// The worker was seen to have no copy.
    pub(super) fn record_miss(&mut self, now: Micros) {
        self.count = 0;
        self.missed_at = now;
    }
}
