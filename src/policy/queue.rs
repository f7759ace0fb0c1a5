//! Fair Choice on total processing time (FCP): the order in which queued requests are sent, and
//! which of them are given up.

use super::dispatch::Placement;
use super::function::FunctionState;
use super::request::RequestState;
use super::{Policy, INITIAL_CONCURRENCY_LIMIT};
use crate::api::{Action, FunctionId, Micros, RequestId};

/// Urgency of a queued request, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It can still meet its latency objective.
    InTime,
    /// It will miss its latency objective.
    Late,
    /// It exceeds its tenant's quota.
    OverQuota,
}

/// Sort key of a queued request, compared field by field in declaration order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    urgency: Urgency,
    /// The bits of the function's demand. Demand is never negative, so the bits sort as the numbers
    /// do.
    demand_bits: u64,
    arrived_at: Micros,
    id: RequestId,
    function: FunctionId,
    cannot_complete: bool,
}

impl Policy {
    /// Sends queued requests by urgency, then lowest demand, then earliest arrival.
    pub(super) fn dispatch_queued(&mut self, now: Micros, actions: &mut Vec<Action>) {
        // A request without a worker blocks those of the same function and urgency behind it.
        let mut blocked: Option<(Urgency, FunctionId)> = None;
        // Evaluated on first use, as the queues change during the loop.
        let mut sheds_late: Option<bool> = None;
        for queued in self.queued_in_order(now) {
            let QueuedRequest {
                urgency,
                id,
                function,
                ..
            } = queued;
            let awaits_load = self.requests[&id].awaited_load.is_some();
            // In a backlog, late and over-quota requests are given up early: serving them takes
            // capacity from requests that can still meet their latency objective.
            let may_shed = urgency > Urgency::InTime && !awaits_load;
            if queued.cannot_complete
                || may_shed && *sheds_late.get_or_insert_with(|| self.has_backlog())
            {
                self.answer(now, id, actions);
                continue;
            }
            if blocked == Some((urgency, function)) {
                continue;
            }
            if self.place(now, function, id, actions) == Placement::Queued && !awaits_load {
                blocked = Some((urgency, function));
            }
        }
    }

    fn queued_in_order(&self, now: Micros) -> Vec<QueuedRequest> {
        let mut queued = Vec::new();
        for id in &self.queued_functions {
            let function = &self.functions[id];
            let demand_bits = self.demand(function).to_bits();
            let run_time = self.mean_run_time(function) as Micros;
            for request_id in &function.queue {
                let request = &self.requests[request_id];
                let attempt_end = now + run_time.min(request.latency_objective / 2);
                queued.push(QueuedRequest {
                    urgency: urgency(request, attempt_end),
                    demand_bits,
                    arrived_at: request.arrived_at,
                    id: *request_id,
                    function: *id,
                    cannot_complete: request.cannot_complete(now, attempt_end, &self.settings),
                });
            }
        }
        queued.sort_unstable();
        queued
    }

    /// Whether late requests are shed: more is queued than half of the requests in flight at all
    /// workers, or, with many instances, the workers are overloaded.
    fn has_backlog(&self) -> bool {
        if self.has_many_instances() && self.is_overloaded {
            return true;
        }
        let queued: usize = self
            .queued_functions
            .iter()
            .map(|id| self.functions[id].queue.len())
            .sum();
        2 * queued > self.workers.total_in_flight() + INITIAL_CONCURRENCY_LIMIT as usize
    }

    /// A function's FCP demand in microseconds: the larger of the last interval's requests times
    /// the mean run time, and the current interval's run time.
    fn demand(&self, function: &FunctionState) -> f64 {
        let expected = function.last_interval_requests * self.mean_run_time(function);
        expected.max(function.interval_run_time)
    }

    /// A function's mean run time in microseconds; before its first answer, the mean of all
    /// functions.
    pub(super) fn mean_run_time(&self, function: &FunctionState) -> f64 {
        function
            .mean_run_time()
            .unwrap_or_else(|| self.mean_run_time_of_all())
    }

    /// The mean run time of all answers in microseconds; 0 before the first.
    pub(super) fn mean_run_time_of_all(&self) -> f64 {
        self.total_run_time / self.answers.max(1.0)
    }

    /// Removes a request from its function's queue.
    pub(super) fn remove_from_queue(&mut self, function: FunctionId, id: RequestId) {
        let Some(state) = self.functions.get_mut(&function) else {
            return;
        };
        state.queue.retain(|queued| *queued != id);
        if state.queue.is_empty() {
            self.queued_functions.remove(&function);
        }
    }
}

fn urgency(request: &RequestState, attempt_end: Micros) -> Urgency {
    if request.over_quota {
        Urgency::OverQuota
    } else if attempt_end > request.first_sent_at + request.latency_objective {
        Urgency::Late
    } else {
        Urgency::InTime
    }
}
