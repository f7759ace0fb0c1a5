//! Queries of the selection rules about candidates and their copies.

use super::function::CopyState;
use super::loads::CopyKey;
use super::selection::Selection;
use crate::api::{Micros, WorkerId};

/// Concurrency debt, in requests of mean run time, that a worker may have for a function with fewer
/// than two copies while there is spare capacity.
const MAX_DEBT_REQUESTS: f64 = 6.0;

impl Selection<'_> {
    /// The function's candidates. Those that are doubted, or that peers report as unhealthy, come
    /// last.
    pub(super) fn candidates_suspect_last(&self) -> Vec<WorkerId> {
        let has_doubts = self.policy.evidence.has_anomalies();
        let is_suspect = |worker: &&WorkerId| {
            let state = self.policy.workers.get(worker);
            let is_faulty = state.is_some_and(|state| self.now < state.peer_unhealthy_until);
            is_faulty || has_doubts && self.policy.evidence.is_doubted(**worker)
        };
        let candidates = self.function.candidates.workers();
        let trusted = candidates.iter().filter(|worker| !is_suspect(worker));
        let suspect = candidates.iter().filter(is_suspect);
        trusted.chain(suspect).copied().collect()
    }

    /// The candidates that may take the request now. Candidates with a pending health check are
    /// left out as long as there are others.
    pub(super) fn usable_candidates(&self, candidates: &[WorkerId]) -> Vec<WorkerId> {
        let max_debt = self.max_debt();
        let usable: Vec<WorkerId> = candidates
            .iter()
            .copied()
            .filter(|worker| self.policy.has_capacity(self.now, *worker, max_debt))
            .filter(|worker| self.policy.may_take(self.now, *worker, self.request))
            .collect();
        let evidence = &self.policy.evidence;
        if !evidence.has_anomalies() {
            return usable;
        }
        let without_doubted: Vec<WorkerId> = usable
            .iter()
            .copied()
            .filter(|worker| !evidence.awaits_check(*worker))
            .collect();
        if without_doubted.is_empty() {
            usable
        } else {
            without_doubted
        }
    }

    pub(super) fn is_preferred(&self, worker: WorkerId) -> bool {
        let accepts_load = || {
            let state = self.policy.workers.get(&worker);
            state.is_some_and(|state| self.policy.within_slow_start(self.now, worker, state))
        };
        self.is_ready_and_healthy(worker) && (self.policy.has_many_instances() || accepts_load())
    }

    /// The maximum concurrency debt with which a worker may take the request, in microseconds.
    /// With many instances, the permitted debts of all instances add up in a burst, so the maximum
    /// is then 0 unless the function has fewer than two copies.
    pub(super) fn max_debt(&self) -> f64 {
        let requests = if !self.policy.has_many_instances() {
            1.0
        } else if self.has_single_copy() && self.policy.has_spare_capacity {
            MAX_DEBT_REQUESTS
        } else {
            0.0
        };
        requests * self.policy.mean_run_time_of_all()
    }

    pub(super) fn has_single_copy(&self) -> bool {
        self.healthy_warm_copies() < 2
    }

    pub(super) fn has_warm_copy(&self) -> bool {
        self.healthy_warm_copies() > 0
    }

    pub(super) fn healthy_warm_copies(&self) -> usize {
        let copies = self.function.copies.iter();
        copies
            .filter(|(worker, copy)| self.is_warm(copy) && self.is_ready_and_healthy(**worker))
            .count()
    }

    /// The next worker without known copies to which the request is sent, with many instances: the
    /// preferred worker after a first attempt at another one, otherwise the first unsaturated
    /// worker. Workers in slow start come last.
    pub(super) fn next_untried(&self) -> Option<WorkerId> {
        *self.next_untried.get_or_init(|| {
            let may_try = self.policy.has_many_instances()
                && !self.miss_loads()
                && self.has_further_attempt
                && (self.may_risk_miss || self.request.attempts == 1);
            if !may_try {
                return None;
            }
            self.preferred_after_first_attempt()
                .or_else(|| self.first_unsaturated_untried())
        })
    }

    pub(super) fn preferred_after_first_attempt(&self) -> Option<WorkerId> {
        let preferred = self.preferred.filter(|_| self.request.attempts == 1)?;
        (self.usable.contains(&preferred) && self.is_untried(self.copies_at(preferred)))
            .then_some(preferred)
    }

    pub(super) fn first_unsaturated_untried(&self) -> Option<WorkerId> {
        let slow_start = self.policy.settings.slow_start_duration;
        self.usable
            .iter()
            .copied()
            .filter(|worker| {
                self.is_untried(self.copies_at(*worker)) && !self.is_saturated(*worker)
            })
            .min_by_key(|worker| {
                let state = self.policy.workers.get(worker);
                state.is_some_and(|state| state.is_in_slow_start(self.now, slow_start))
            })
    }

    pub(super) fn is_untried_preferred(&self, worker: WorkerId) -> bool {
        Some(worker) == self.preferred
            && self.is_shared
            && self.may_risk_miss
            && self.is_untried(self.copies_at(worker))
    }

    pub(super) fn copies_at(&self, worker: WorkerId) -> &CopyState {
        self.function
            .copies
            .get(&worker)
            .unwrap_or(&CopyState::NONE)
    }

    /// Whether knowledge from an instant is outdated: idle copies may have been unloaded since.
    pub(super) fn is_outdated(&self, at: Micros) -> bool {
        at == 0 || self.now >= at + self.policy.settings.copy_idle_timeout
    }

    pub(super) fn is_warm(&self, copies: &CopyState) -> bool {
        copies.count > 0 && (copies.own_in_flight > 0 || !self.is_outdated(copies.last_used_at))
    }

    pub(super) fn is_loading(&self, copies: &CopyState) -> bool {
        let in_progress = copies
            .loading_since
            .is_some_and(|since| self.now < since + self.assumed_load_time);
        in_progress && copies.count == 0
    }

    /// Whether there is no recent knowledge of the function's copies at the worker.
    pub(super) fn is_untried(&self, copies: &CopyState) -> bool {
        copies.own_in_flight == 0
            && self.is_outdated(copies.last_used_at)
            && self.is_outdated(copies.missed_at)
    }

    pub(super) fn has_free_copy(&self, worker: WorkerId) -> bool {
        let copies = self.copies_at(worker);
        self.is_warm(copies)
            && copies.own_in_flight < self.function.concurrency_per_copy * copies.count
    }

    pub(super) fn is_ready_and_healthy(&self, worker: WorkerId) -> bool {
        let state = self.policy.workers.get(&worker);
        state.is_some_and(|state| {
            state.ready
                && state.is_healthy(self.now)
                && self.policy.evidence.may_send(self.now, worker)
        })
    }

    pub(super) fn has_no_debt(&self, worker: WorkerId) -> bool {
        let state = self.policy.workers.get(&worker);
        state.is_some_and(|state| {
            state.concurrency_limit >= 1.0 || state.concurrency_debt(self.now) == 0.0
        })
    }

    pub(super) fn is_saturated(&self, worker: WorkerId) -> bool {
        self.policy.is_saturated(self.now, worker)
    }

    /// The number of requests in flight that a saturated worker reported; 0 for other workers.
    pub(super) fn saturation(&self, worker: WorkerId) -> u32 {
        if self.is_saturated(worker) {
            self.policy
                .workers
                .get(&worker)
                .map_or(0, |state| self.policy.reported_in_flight(self.now, state))
        } else {
            0
        }
    }

    /// The time since the request arrived at this instance, in microseconds.
    pub(super) fn waited(&self) -> Micros {
        self.now - self.request.arrived_at
    }

    /// Whether load orders for the function are paused at the worker. Always false if workers load
    /// a missing function without an order.
    pub(super) fn load_is_paused(&self, worker: WorkerId) -> bool {
        let key = CopyKey {
            worker,
            function: self.request.function,
        };
        !self.miss_loads() && self.policy.load_backoffs.is_paused(self.now, key)
    }

    pub(super) fn miss_loads(&self) -> bool {
        self.policy.miss_loads()
    }
}
