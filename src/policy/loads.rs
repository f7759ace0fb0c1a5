//! Copies of functions: the workers that hold them, and loads in progress.

use std::ops::RangeInclusive;

use super::function::FunctionState;
use super::worker::{BASE_EJECTION_TIME, MAX_CONSECUTIVE_FAILURES};
use super::Policy;
use crate::api::{AttemptEnd, CopyStart, FunctionId, Micros, Outcome, WorkerId};

/// The probability of a load that was ordered.
pub(super) const LOAD_CERTAIN: f64 = 1.0;
/// The probability that a request begins a load at a worker where the function's copies are
/// unknown.
pub(super) const LOAD_LIKELY: f64 = 0.5;
/// The probability that a request begins a load at a worker that answers a miss instead of loading.
pub(super) const LOAD_EXCLUDED: f64 = 0.0;

/// One function's copies on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CopyKey {
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
}

/// A load assumed to be in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadInProgress {
    pub(super) since: Micros,
    pub(super) probability: f64,
}

impl CopyKey {
    /// The keys of all functions at one worker.
    pub(super) fn all_of(worker: WorkerId) -> RangeInclusive<CopyKey> {
        let key = |function| CopyKey { worker, function };
        key(FunctionId(0))..=key(FunctionId(u64::MAX))
    }
}

impl Policy {
    /// The time for which a load without an answer is assumed to be in progress, in microseconds.
    pub(super) fn assumed_load_time(&self, function: &FunctionState) -> Micros {
        let objective = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .max()
            .unwrap_or(0);
        function.load_duration.unwrap_or(objective) * 3 / 2
    }

    /// Records that a load begins with the given probability.
    pub(super) fn begin_load(&mut self, now: Micros, key: CopyKey, probability: f64) {
        let Some(function) = self.functions.get_mut(&key.function) else {
            return;
        };
        if probability == LOAD_CERTAIN {
            self.known_copies.insert(key);
            function.copies.entry(key.worker).or_default().loading_since = Some(now);
        }
        self.loads_in_progress.insert(
            key,
            LoadInProgress {
                since: now,
                probability,
            },
        );
    }

    /// Records the end of a load order.
    pub(super) fn on_load_ended(
        &mut self,
        now: Micros,
        key: CopyKey,
        outcome: Outcome,
        copies: u32,
    ) {
        if outcome == Outcome::ConnectFailed && self.has_many_instances() {
            self.eject_unreachable(now, key.worker);
        }
        let was_ordered = self.load_orders.remove(&key);
        if was_ordered {
            self.load_backoffs.on_order_ended(now, key, outcome);
        }
        match outcome {
            Outcome::Ok if was_ordered => self.evidence.on_loaded(key.worker),
            Outcome::Rejected if was_ordered => self.evidence.on_load_rejected(now, key.worker),
            _ => {}
        }
        self.loads_in_progress.remove(&key);
        let Some(function) = self.functions.get_mut(&key.function) else {
            return;
        };
        self.known_copies.insert(key);
        let copy = function.copies.entry(key.worker).or_default();
        copy.loading_since = None;
        if copies > 0 {
            copy.confirm(now, copies);
        } else if outcome != Outcome::Timeout {
            copy.record_miss(now);
        }
    }

    /// Ejects a worker after a failed connect, whatever the connect was for. Only many instances
    /// need this: a few send each worker enough requests to detect it.
    fn eject_unreachable(&mut self, now: Micros, worker: WorkerId) {
        let Some(mut state) = self.workers.get_mut(&worker) else {
            return;
        };
        if state.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            state.consecutive_failures = MAX_CONSECUTIVE_FAILURES;
            state.unreachable_since = Some(now);
            state.ejected_until = now + BASE_EJECTION_TIME;
        }
    }

    /// Updates the function's copies at the worker from the end of an attempt.
    pub(super) fn record_copies(&mut self, now: Micros, id: FunctionId, end: &AttemptEnd) {
        let Some(function) = self.functions.get_mut(&id) else {
            return;
        };
        let concurrency_per_copy = function.concurrency_per_copy;
        self.known_copies.insert(CopyKey {
            worker: end.worker,
            function: id,
        });
        let copy = function.copies.entry(end.worker).or_default();
        copy.own_in_flight = copy.own_in_flight.saturating_sub(1);
        match end.outcome {
            Outcome::Ok => {
                // The worker has more requests than the known copies can run: it has loaded another
                // copy, or other instances have ordered one.
                let needed = (end.function_in_flight + 1).div_ceil(concurrency_per_copy);
                copy.confirm(now, copy.count.max(1).max(needed.min(copy.count + 1)));
            }
            Outcome::Miss => copy.record_miss(now),
            Outcome::Error if end.copy_start == Some(CopyStart::LoadFailed) => {}
            Outcome::Error | Outcome::Timeout | Outcome::Cancelled => return,
            // An attempt that was withdrawn began no load; waiting for one would delay its request.
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Reset | Outcome::NotSent => {}
        }
        copy.loading_since = None;
        self.loads_in_progress.remove(&CopyKey {
            worker: end.worker,
            function: id,
        });
    }
}
