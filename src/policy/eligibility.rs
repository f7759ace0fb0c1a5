//! Which workers may take a request: health, concurrency limit, slow start and idempotency scope.

use super::request::RequestState;
use super::worker::WorkerState;
use super::{Policy, INITIAL_CONCURRENCY_LIMIT};
use crate::api::{Effect, IdempotencyScope, Micros, OnMiss, WorkerId};

/// Reported requests in flight that make a worker saturated.
const SATURATED_QUEUE: u32 = INITIAL_CONCURRENCY_LIMIT as u32;

impl Policy {
    /// Whether a worker may take a request now, its capacity aside.
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
        // Most of the fleet is never ejected: when most workers look faulty, the fault is
        // elsewhere.
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

    /// Whether a worker's concurrency limit admits one more request, with some debt allowed unless
    /// it has failed.
    pub(super) fn has_capacity(&self, now: Micros, worker: WorkerId, credit: f64) -> bool {
        self.workers.get(&worker).is_some_and(|worker| {
            let allowed_debt = if worker.consecutive_failures == 0 {
                credit
            } else {
                0.0
            };
            f64::from(worker.in_flight) < worker.concurrency_limit.max(2.0)
                && (worker.concurrency_limit >= 1.0 || worker.concurrency_debt(now) <= allowed_debt)
        })
    }

    /// The requests in flight that a worker reported, unless the report is outdated. To few
    /// instances their own requests tell enough, and this is 0.
    pub(super) fn reported_in_flight(&self, now: Micros, worker: &WorkerState) -> u32 {
        let is_current = now < worker.reported_load.at + self.settings.copy_idle_timeout;
        if self.shares_workers_with_many() && is_current {
            worker.reported_load.in_flight as u32
        } else {
            0
        }
    }

    /// Whether a worker reported so many requests in flight that others are preferred.
    pub(super) fn is_saturated(&self, now: Micros, worker: WorkerId) -> bool {
        let state = self.workers.get(&worker);
        state.is_some_and(|state| self.reported_in_flight(now, state) >= SATURATED_QUEUE)
    }

    /// Whether a request that misses begins a load by itself. Otherwise it does not count as a
    /// load.
    pub(super) fn miss_loads(&self) -> bool {
        self.settings.on_miss == OnMiss::Load
    }
}
