//! Selection of the worker for a queued request, or of the preparatory step that it needs.
//!
//! The rules are tried in the order of [`Selection::decide`]; the first that applies decides.

use std::cell::OnceCell;

use super::function::FunctionState;
use super::loads::{LOAD_CERTAIN, LOAD_EXCLUDED, LOAD_LIKELY};
use super::request::RequestState;
use super::{Policy, TICK_INTERVAL};
use crate::api::{FunctionId, Micros, RequestId, WorkerId};

/// The number of workers found without a copy, within a copy's idle timeout, at which queries stop.
const MAX_MISSES: usize = 3;
/// Rounds of requests in flight at a copy: one that runs and one that waits.
const ROUNDS_PER_COPY: u32 = 2;

/// The next step for a queued request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Decision {
    /// It stays queued.
    KeepQueued,
    /// It is sent to a loaded copy.
    SendToCopy(WorkerId),
    /// It is sent to a worker with a load in progress and waits there.
    SendToLoading(WorkerId),
    /// It is sent to a worker where it may start a load.
    SendToLoad {
        /// The worker.
        worker: WorkerId,
        /// The probability that a load begins.
        load_probability: f64,
    },
    /// The worker is queried for its copies.
    QueryCopies(WorkerId),
    /// The worker is ordered to load a copy.
    OrderLoad(WorkerId),
}

/// One queued request with its function's copies and candidates.
pub(super) struct Selection<'a> {
    pub(super) policy: &'a Policy,
    pub(super) now: Micros,
    pub(super) function: &'a FunctionState,
    pub(super) request: &'a RequestState,
    /// The time for which a load is assumed to be in progress, in microseconds.
    pub(super) assumed_load_time: Micros,
    /// Whether more than one instance shares the work.
    pub(super) is_shared: bool,
    /// Whether another attempt would be left after the next one.
    pub(super) has_further_attempt: bool,
    /// Whether an attempt may be sent to a worker that may miss. The last attempt may not, nor may
    /// a request with an ordered load, as three misses lead to a rejection.
    pub(super) may_risk_miss: bool,
    /// The candidates that may take the request now, in the order in which they are tried.
    pub(super) usable: Vec<WorkerId>,
    /// The first healthy candidate, where all instances expect the function's copies.
    pub(super) preferred: Option<WorkerId>,
    /// The next worker without known copies to try, cached on first use.
    pub(super) next_untried: OnceCell<Option<WorkerId>>,
}

impl<'a> Selection<'a> {
    /// Creates the selection for a request queued for a function.
    pub(super) fn new(
        policy: &'a Policy,
        now: Micros,
        function: FunctionId,
        id: RequestId,
    ) -> Self {
        let function = &policy.functions[&function];
        let request = &policy.requests[&id];
        let has_further_attempt = request.attempts + 1 < policy.settings.max_attempts;
        let mut selection = Selection {
            policy,
            now,
            function,
            request,
            assumed_load_time: policy.assumed_load_time(function),
            is_shared: policy.settings.instances > 1,
            has_further_attempt,
            may_risk_miss: has_further_attempt && request.awaited_load.is_none(),
            usable: Vec::new(),
            preferred: None,
            next_untried: OnceCell::new(),
        };
        let candidates = selection.candidates_suspect_last();
        selection.usable = selection.usable_candidates(&candidates);
        selection.preferred = candidates
            .into_iter()
            .find(|worker| selection.is_preferred(*worker));
        selection
    }

    /// Decides on the next step of the request.
    pub(super) fn decide(&self) -> Decision {
        self.use_copy()
            .or_else(|| self.try_elsewhere_while_loading())
            .or_else(|| self.wait_for_ordered_load())
            .or_else(|| self.find_unknown_copies())
            .or_else(|| self.join_load())
            .or_else(|| self.wait_for_capacity())
            .or_else(|| self.queue_at_copy())
            .or_else(|| self.postpone_load())
            .or_else(|| self.load_copy())
            .unwrap_or(Decision::KeepQueued)
    }

    /// Uses a copy with free capacity, preferably at a worker without concurrency debt: otherwise
    /// every instance fills the same worker before it moves on to the next. The preferred worker
    /// counts as having a copy unless it was tried recently, since other instances may keep copies
    /// there.
    fn use_copy(&self) -> Option<Decision> {
        let unsaturated = self.usable.iter().copied().find(|worker| {
            let has_copy = self.has_free_copy(*worker) && self.has_no_debt(*worker);
            (has_copy || self.is_untried_preferred(*worker)) && !self.is_saturated(*worker)
        });
        let worker = unsaturated.or_else(|| self.least_saturated_copy())?;
        if self.is_warm(self.copies_at(worker)) {
            return Some(Decision::SendToCopy(worker));
        }
        let load_probability = if self.miss_loads() {
            LOAD_LIKELY
        } else {
            LOAD_EXCLUDED
        };
        Some(Decision::SendToLoad {
            worker,
            load_probability,
        })
    }

    /// The copy with free capacity at the worker with the lowest reported load. If a miss may be
    /// risked, an untried worker is preferred.
    fn least_saturated_copy(&self) -> Option<WorkerId> {
        let copy = self
            .usable
            .iter()
            .copied()
            .filter(|worker| self.has_free_copy(*worker))
            .min_by_key(|worker| self.saturation(*worker))?;
        let untried = if self.may_risk_miss {
            self.next_untried()
        } else {
            None
        };
        Some(untried.unwrap_or(copy))
    }

    /// With many instances, tries the next worker while the load ordered for the request is in
    /// progress.
    fn try_elsewhere_while_loading(&self) -> Option<Decision> {
        self.request.awaited_load?;
        let worker = self.next_untried()?;
        Some(Decision::SendToLoad {
            worker,
            load_probability: LOAD_EXCLUDED,
        })
    }

    /// Sends the request to the load that was ordered for it, once the order has had its head
    /// start.
    fn wait_for_ordered_load(&self) -> Option<Decision> {
        let load = self.request.awaited_load?;
        let is_in_progress = self.is_loading(self.copies_at(load.worker))
            && self.policy.may_take(self.now, load.worker, self.request);
        if !is_in_progress {
            return None;
        }
        let may_send = self.now >= load.send_from
            && self
                .policy
                .has_capacity(self.now, load.worker, self.max_debt());
        Some(if may_send {
            Decision::SendToLoading(load.worker)
        } else {
            Decision::KeepQueued
        })
    }

    /// Tries further candidates before a load evicts other functions' copies: few instances send a
    /// query, many send the request itself, as a miss costs one attempt. The last attempt is kept
    /// for a known copy or load.
    fn find_unknown_copies(&self) -> Option<Decision> {
        if self.function.last_query_at > 0
            && self.now < self.function.last_query_at + 2 * TICK_INTERVAL
        {
            return Some(Decision::KeepQueued);
        }
        let misses = self
            .function
            .copies
            .values()
            .filter(|copy| !self.is_outdated(copy.missed_at))
            .count();
        if !self.policy.settings.may_load || !self.is_shared || misses >= MAX_MISSES {
            return None;
        }
        let worker = self.usable.iter().copied().find(|worker| {
            let copies = self.copies_at(*worker);
            self.is_untried(copies) && self.is_outdated(copies.queried_at)
        })?;
        if self.miss_loads() || !self.policy.has_many_instances() {
            return Some(Decision::QueryCopies(worker));
        }
        let worker = self.next_untried().unwrap_or(worker);
        self.may_risk_miss.then_some(Decision::SendToLoad {
            worker,
            load_probability: LOAD_EXCLUDED,
        })
    }

    /// Without a warm copy, lets the request wait at a load in progress, at most two rounds deep.
    fn join_load(&self) -> Option<Decision> {
        if self.has_warm_copy() {
            return None;
        }
        let max_in_flight = ROUNDS_PER_COPY * self.function.concurrency_per_copy;
        let worker = self.usable.iter().copied().find(|worker| {
            let copies = self.copies_at(*worker);
            self.is_loading(copies) && copies.own_in_flight < max_in_flight
        })?;
        Some(Decision::SendToLoading(worker))
    }

    /// Waits while all copies are busy: one more run costs less than part of a load, and each load
    /// evicts other functions' copies.
    fn wait_for_capacity(&self) -> Option<Decision> {
        let run_time = self.policy.mean_run_time(self.function) as Micros;
        let max_wait = run_time.max(self.assumed_load_time / 4);
        (self.has_warm_copy() && self.waited() < max_wait).then_some(Decision::KeepQueued)
    }

    /// Sends a second round to a worker with a copy: the worker starts another copy by itself
    /// without fetching the function.
    fn queue_at_copy(&self) -> Option<Decision> {
        let worker = self.usable.iter().copied().find(|worker| {
            let copies = self.copies_at(*worker);
            let max_in_flight = ROUNDS_PER_COPY * self.function.concurrency_per_copy * copies.count;
            self.is_warm(copies) && copies.own_in_flight < max_in_flight
        })?;
        Some(Decision::SendToCopy(worker))
    }

    /// Bounds the loads in progress, as all workers fetch from one store. A function has one load
    /// at a time unless its request has waited long.
    fn postpone_load(&self) -> Option<Decision> {
        let policy = self.policy;
        let max_loads =
            (policy.initial_concurrency_limit * policy.ready_workers as f64 / 2.0 - 1.0).max(2.0);
        let expected_loads: f64 = policy
            .loads_in_progress
            .values()
            .map(|load| load.probability)
            .sum();
        let has_load_in_progress = self
            .function
            .copies
            .values()
            .any(|copy| self.is_loading(copy))
            && self.waited() < self.assumed_load_time;
        let must_wait = self.has_warm_copy() && !policy.has_spare_capacity
            || expected_loads > max_loads
            || has_load_in_progress;
        must_wait.then_some(Decision::KeepQueued)
    }

    /// Loads a copy at the next candidate without one. Without spare capacity only the preferred
    /// worker loads: spreading would evict other functions' copies and delay all requests.
    fn load_copy(&self) -> Option<Decision> {
        let worker = self.usable.iter().copied().find(|worker| {
            let copies = self.copies_at(*worker);
            let may_load_here = self.policy.has_spare_capacity || Some(*worker) == self.preferred;
            may_load_here
                && !self.is_warm(copies)
                && !self.is_loading(copies)
                && !self.load_is_paused(*worker)
        })?;
        let missed_lately = !self.is_outdated(self.copies_at(worker).missed_at);
        if !self.miss_loads() && (!self.may_risk_miss || missed_lately) {
            return Some(Decision::OrderLoad(worker));
        }
        Some(Decision::SendToLoad {
            worker,
            load_probability: LOAD_CERTAIN,
        })
    }
}
