//! Limits from the settings: slow start of workers, the rate of load orders, and tenants' quotas.

use super::endpoints::rendezvous_hash;
use super::worker::WorkerState;
use super::Policy;
use crate::api::{FunctionId, Micros, TenantId, WorkerId};

/// Fraction of the slow-start budget that is used: workers differ, and some have less capacity than
/// the average worker.
const SLOW_START_SAFETY: f64 = 0.65;
/// Fraction of a budget below one request that the interval between turns is based on.
const TURN_SAFETY: f64 = 0.75;
/// Fraction of the load rate limit that many instances may use for requests with another attempt
/// left. The rest is reserved for requests on their last attempt, which would otherwise be
/// rejected.
const LOAD_SHARE_BEFORE_LAST_ATTEMPT: f64 = 0.5;
/// Requests that a tenant may send at once, whatever its quota.
const MIN_BURST_REQUESTS: f64 = 4.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket for this instance's share of a tenant's quota. It holds one second of the quota,
/// but at least [`MIN_BURST_REQUESTS`].
#[derive(Debug)]
pub(super) struct TenantBucket {
    /// 0 if the tenant has no quota.
    rate_per_s: f64,
    tokens: f64,
    updated_at: Micros,
}

impl TenantBucket {
    /// Creates a full bucket.
    pub(super) fn full(rate_per_s: f64, now: Micros) -> Self {
        TenantBucket {
            rate_per_s,
            tokens: MIN_BURST_REQUESTS.max(rate_per_s),
            updated_at: now,
        }
    }

    /// Creates the bucket of a tenant without a quota.
    fn unlimited(now: Micros) -> Self {
        TenantBucket {
            rate_per_s: 0.0,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Takes a token for a request. Returns whether the request exceeds the quota.
    fn exceeds(&mut self, now: Micros) -> bool {
        if self.rate_per_s <= 0.0 {
            return false;
        }
        let refill = (now - self.updated_at) as f64 / MICROS_PER_SECOND * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.rate_per_s.max(MIN_BURST_REQUESTS));
        self.updated_at = now;
        let exceeds = self.tokens < 1.0;
        if !exceeds {
            self.tokens -= 1.0;
        }
        exceeds
    }

    /// The time until the bucket holds a token, in microseconds.
    pub(super) fn until_next_token(&self) -> f64 {
        (1.0 - self.tokens).max(0.0) * MICROS_PER_SECOND / self.rate_per_s
    }
}

impl Policy {
    /// Whether a worker in slow start may be sent a request. Within the overload window it receives
    /// at most the stated multiple of its capacity. The capacity is estimated from the throughput
    /// of warm workers for this instance, so that the instances share the budget without
    /// communication.
    pub(super) fn within_slow_start(
        &self,
        now: Micros,
        id: WorkerId,
        worker: &WorkerState,
    ) -> bool {
        let settings = &self.settings;
        let Some(started_at) = worker.started_at else {
            return true;
        };
        let age = now.saturating_sub(started_at);
        if settings.overload_multiple <= 0.0 || age >= settings.slow_start_duration {
            return true;
        }
        let floor = settings.slow_start_floor;
        let capacity_share =
            floor + (1.0 - floor) * age as f64 / settings.slow_start_duration as f64;
        let window = settings.overload_window as f64;
        let budget = settings.overload_multiple
            * capacity_share
            * self.observed_capacity
            * window
            * SLOW_START_SAFETY;
        if budget < 1.0 {
            return self.has_slow_start_turn(now, id, worker, age, budget);
        }
        worker
            .recent_sends
            .count_within(now, settings.overload_window) as f64
            + 1.0
            <= budget
    }

    /// Enforces a budget below one request over time: the instance has a turn once in several
    /// windows, with a phase derived from its seed. An unused turn lapses.
    fn has_slow_start_turn(
        &self,
        now: Micros,
        id: WorkerId,
        worker: &WorkerState,
        age: Micros,
        budget: f64,
    ) -> bool {
        let window = self.settings.overload_window as f64;
        let min_budget = 1.0 / f64::from(self.settings.instances.max(1));
        let turn_interval = window / (TURN_SAFETY * budget).max(min_budget);
        let phase = rendezvous_hash(FunctionId(self.seed), id) as f64 / u64::MAX as f64;
        let time_into_turn = (phase + age as f64 / turn_interval).fract() * turn_interval;
        let is_unused = worker
            .recent_sends
            .latest()
            .is_none_or(|sent_at| sent_at as f64 + time_into_turn < now as f64);
        let turn_length = window * if self.has_spare_capacity { 2.0 } else { 0.25 };
        is_unused && time_into_turn <= turn_length
    }

    /// Whether one more load order is within the rate limit.
    pub(super) fn within_load_rate(&mut self, now: Micros, has_further_attempt: bool) -> bool {
        let Some(limit) = self.settings.load_rate_limit else {
            return true;
        };
        // An order exactly at the edge of the window still counts; a request there does not.
        let orders = self.recent_load_orders.count(now, limit.window + 1) + 1.0;
        let requests = self.recent_requests.count(now, limit.window);
        let share = if has_further_attempt && self.has_many_instances() {
            LOAD_SHARE_BEFORE_LAST_ATTEMPT
        } else {
            1.0
        };
        orders <= share * (limit.base_loads + limit.loads_per_request * requests)
    }

    /// Whether a request exceeds this instance's share of its tenant's quota.
    pub(super) fn exceeds_quota(&mut self, now: Micros, tenant: TenantId) -> bool {
        self.tenant_buckets
            .get_mut(tenant.0 as usize)
            .is_some_and(|bucket| bucket.exceeds(now))
    }

    /// Applies a quota that an operator has set at run time. The new bucket is full.
    pub(super) fn on_tenant_quota(&mut self, now: Micros, tenant: TenantId, quota_per_s: f64) {
        let index = tenant.0 as usize;
        let rate_per_s = quota_per_s / f64::from(self.settings.instances.max(1));
        while self.tenant_buckets.len() <= index {
            self.tenant_buckets.push(TenantBucket::unlimited(now));
        }
        self.tenant_buckets[index] = TenantBucket::full(rate_per_s, now);
    }
}
