//! Eligibility of workers for a request: health, concurrency limit, slow start and idempotency
//! scope.

use super::request::RequestState;
use super::worker::WorkerState;
use super::{Policy, INITIAL_CONCURRENCY_LIMIT};
use crate::api::{Effect, IdempotencyScope, Micros, OnMiss, WorkerId};

/// The number of reported requests in flight from which a worker is saturated.
const SATURATED_QUEUE: u32 = INITIAL_CONCURRENCY_LIMIT as u32;

impl Policy {
    /// Whether a worker may take a request now, regardless of its capacity.
    pub(super) fn may_take(&self, now: Micros, id: WorkerId, request: &RequestState) -> bool {
        let Some(worker) = self.workers.get(&id) else {
            return false;
        };
        if !worker.ready
            || !self.evidence.may_send(now, id)
            || worker.backs_off(now, request.class)
            || !self.within_slow_start(now, id, worker)
        {
            return false;
        }
        if !self.within_idempotency_scope(worker, request) {
            return false;
        }
        // If most workers look unhealthy, the fault is elsewhere, and ejections are ignored.
        let most_are_unhealthy = 2 * self.healthy_workers < self.ready_workers;
        let is_avoided = request.avoided == Some(id) && self.ready_workers >= 2;
        (worker.is_healthy(now) || most_are_unhealthy) && !is_avoided
    }

    /// Whether a worker would recognize the idempotency key of an attempt that may have run
    /// elsewhere.
    fn within_idempotency_scope(&self, worker: &WorkerState, request: &RequestState) -> bool {
        let (Some(run), Effect::Keyed { scope, .. }) = (request.first_possible_run, request.effect)
        else {
            return true;
        };
        let first = self.workers.get(&run.worker);
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => first.is_some_and(|first| first.zone == worker.zone),
            IdempotencyScope::Cell => first.is_some_and(|first| first.cell == worker.cell),
        }
    }

    /// Whether a worker's concurrency limit admits one more request. A worker without failures may
    /// have up to the allowed concurrency debt.
    pub(super) fn has_capacity(&self, now: Micros, worker: WorkerId, max_debt: f64) -> bool {
        self.workers.get(&worker).is_some_and(|worker| {
            let allowed_debt = if worker.consecutive_failures == 0 {
                max_debt
            } else {
                0.0
            };
            f64::from(worker.in_flight) < worker.concurrency_limit.max(2.0)
                && (worker.concurrency_limit >= 1.0 || worker.concurrency_debt(now) <= allowed_debt)
        })
    }

    /// The requests in flight that a worker reported; 0 if the report is outdated, or with few
    /// instances, whose own requests are sufficient to judge its load.
    pub(super) fn reported_in_flight(&self, now: Micros, worker: &WorkerState) -> u32 {
        let is_current = now < worker.reported_load.at + self.settings.copy_idle_timeout;
        if self.has_many_instances() && is_current {
            worker.reported_load.in_flight as u32
        } else {
            0
        }
    }

    /// Whether a worker reported so many requests in flight that other workers are preferred.
    pub(super) fn is_saturated(&self, now: Micros, worker: WorkerId) -> bool {
        let state = self.workers.get(&worker);
        state.is_some_and(|state| self.reported_in_flight(now, state) >= SATURATED_QUEUE)
    }

    /// Whether a request that misses makes the worker load the function. Otherwise a miss does not
    /// count as a load.
    pub(super) fn miss_loads(&self) -> bool {
        self.settings.on_miss == OnMiss::Load
    }
}
