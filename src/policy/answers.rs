//! Final answers: when a request is given up, whether it is rejected or failed, and its
//! Retry-After.

use super::idempotency::permitted_after;
use super::Policy;
use crate::api::{Action, Effect, Micros, RequestId};

impl Policy {
    /// Answers all requests whose deadlines are about to expire. It runs after every event, as a
    /// client's retry can arrive with hardly any time left.
    pub(super) fn expire_overdue(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let horizon = now + self.tick_interval() + self.settings.tick;
        let due: Vec<RequestId> = self
            .deadlines
            .iter()
            .take_while(|(at, _)| *at <= horizon)
            .map(|(_, id)| *id)
            .collect();
        for id in due {
            let request = &self.requests[&id];
            let attempt_is_overdue = now > request.expires_at + self.settings.answer_grace / 2;
            if !request.done && (request.in_flight.is_none() || attempt_is_overdue) {
                self.answer(now, id, actions);
            }
        }
    }

    /// Gives the final answer: a rejection if permitted, otherwise a failure.
    pub(super) fn answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let retry_after = self.retry_after(now, id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.done = true;
        let may_still_run = request.in_flight.is_some() && request.effect != Effect::Idempotent;
        let permitted = permitted_after(request.effect, request.possible_run_at(), now, 0);
        actions.push(if !may_still_run && permitted.reject {
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        if request.in_flight.is_none() {
            self.forget_request(id);
        }
    }

    /// The Retry-After of a rejected client: until its tenant's bucket holds a token again, and
    /// until the first of the function's workers has paid off its concurrency debt.
    fn retry_after(&self, now: Micros, id: RequestId) -> Micros {
        let Some(request) = self.requests.get(&id) else {
            return 0;
        };
        let bucket = self
            .tenant_buckets
            .get(request.tenant)
            .filter(|_| request.over_quota);
        let until_token = bucket.map_or(0.0, |bucket| bucket.until_next_token());
        let candidates = self
            .functions
            .get(&request.function)
            .into_iter()
            .flat_map(|function| function.candidates.workers());
        let until_capacity = candidates
            .filter(|worker| self.is_available(now, **worker))
            .filter_map(|worker| self.workers.get(worker))
            .filter(|worker| worker.is_healthy(now))
            .map(|worker| {
                let debt = worker.concurrency_debt(now) - self.mean_run_time_of_all();
                debt.max(0.0) / worker.concurrency_limit
            })
            .fold(f64::INFINITY, f64::min);
        (until_capacity.max(until_token) as Micros).min(self.settings.max_retry_after)
    }
}
