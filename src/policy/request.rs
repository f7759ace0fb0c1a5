//! The life cycle of a request, from its arrival until it is forgotten.

use super::idempotency::{never_ran, permitted_after};
use super::loads::CopyKey;
use super::{Policy, TICK_INTERVAL};
use crate::api::{
    Action, Arrival, AttemptEnd, CopyStart, Effect, FunctionId, Micros, Outcome, RequestId,
    Settings, WorkerId,
};

/// One request.
#[derive(Debug, Default)]
pub(super) struct RequestState {
    pub(super) function: FunctionId,
    pub(super) class: usize,
    pub(super) effect: Effect,
    pub(super) latency_objective: Micros,
    pub(super) arrived_at: Micros,
    /// When the client first sent it; before its arrival if it is a client's retry.
    pub(super) first_sent_at: Micros,
    /// The client's deadline.
    pub(super) expires_at: Micros,
    /// Attempts sent.
    pub(super) attempts: u32,
    /// The attempt in flight.
    pub(super) in_flight: Option<AttemptState>,
    /// The first attempt that may have run.
    pub(super) first_possible_run: Option<PossibleRun>,
    /// The load ordered for this request.
    pub(super) awaited_load: Option<AwaitedLoad>,
    /// The worker of the last failed attempt; another worker is tried first.
    pub(super) avoided: Option<WorkerId>,
    pub(super) over_quota: bool,
    pub(super) tenant: usize,
    /// Whether its final answer has been given or nobody waits for one.
    pub(super) done: bool,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct AttemptState {
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    /// Whether it may have waited for a load.
    pub(super) may_wait_for_load: bool,
    pub(super) cancelled: bool,
}

/// An attempt that may have run.
#[derive(Debug, Clone, Copy)]
pub(super) struct PossibleRun {
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
}

/// A load that a request waits for.
#[derive(Debug, Clone, Copy)]
pub(super) struct AwaitedLoad {
    pub(super) worker: WorkerId,
    /// The request may be sent there from this instant on.
    pub(super) send_from: Micros,
}

impl RequestState {
    /// When the first attempt that may have run was sent.
    pub(super) fn possible_run_at(&self) -> Option<Micros> {
        self.first_possible_run.map(|run| run.sent_at)
    }

    /// Waits for a load at a worker. The request is sent some time after its load order, because it
    /// could otherwise overtake the order, and the resulting miss would cost an attempt.
    pub(super) fn await_load(&mut self, now: Micros, worker: WorkerId, tick: Micros) {
        let head_start = (2 * tick).max(TICK_INTERVAL / 2);
        self.awaited_load = Some(AwaitedLoad {
            worker,
            send_from: now + head_start,
        });
        self.avoided = None;
    }

    /// Whether another attempt would still be safe.
    pub(super) fn may_retry(&self, now: Micros) -> bool {
        permitted_after(self.effect, self.possible_run_at(), now, TICK_INTERVAL).retry
    }

    /// Whether a queued request can no longer be served: an attempt would end too late, or none is
    /// permitted.
    pub(super) fn cannot_complete(
        &self,
        now: Micros,
        attempt_end: Micros,
        settings: &Settings,
    ) -> bool {
        attempt_end > self.expires_at
            || !self.may_retry(now)
            || self.attempts >= settings.max_attempts.max(1)
    }
}

impl Policy {
    /// Queues an incoming request.
    pub(super) fn on_request(&mut self, now: Micros, arrival: &Arrival) {
        if self.settings.load_rate_limit.is_some() {
            self.recent_requests.record(now);
        }
        self.evidence.on_request(now);
        let over_quota = self.exceeds_quota(now, arrival.tenant);
        if !self.functions.contains_key(&arrival.function) {
            self.make_room_for_function();
        }
        let function = self.functions.get_or_create(arrival.function);
        function.concurrency_per_copy = arrival.concurrency_per_copy.max(1);
        function.load_duration = arrival.load_duration.or(function.load_duration);
        function.interval_requests += 1.0;
        function.queue.push_back(arrival.request);
        self.queued_functions.insert(arrival.function);
        self.deadlines.insert((arrival.expires_at, arrival.request));
        let request = self.new_request(now, arrival, over_quota);
        self.requests.insert(arrival.request, request);
    }

    /// Forgets a function that was never served, with all that is known of its copies, if there are
    /// too many functions.
    fn make_room_for_function(&mut self) {
        let Some((id, function)) = self.functions.make_room() else {
            return;
        };
        for worker in function.copies.into_keys() {
            let key = CopyKey {
                worker,
                function: id,
            };
            self.known_copies.remove(&key);
            self.loads_in_progress.remove(&key);
        }
    }

    fn new_request(&mut self, now: Micros, arrival: &Arrival, over_quota: bool) -> RequestState {
        let class = arrival.class.0 as usize;
        let remaining = arrival.expires_at.saturating_sub(now);
        let longest = self
            .longest_client_timeout
            .entry(class)
            .or_insert(remaining);
        *longest = remaining.max(*longest);
        // A request with less time left than others of its class is a client's retry: its latency
        // objective counts from the client's first attempt.
        let is_client_retry = remaining + self.settings.tick < *longest;
        let mut request = RequestState {
            function: arrival.function,
            class,
            arrived_at: now.saturating_sub(arrival.unread_for),
            first_sent_at: now.saturating_sub(arrival.unread_for),
            expires_at: arrival.expires_at,
            over_quota,
            tenant: arrival.tenant.0 as usize,
            ..Default::default()
        };
        let mut client_deadline = 0;
        if let Some(settings) = self.settings.classes.get(class) {
            request.latency_objective = settings.latency_objective;
            request.effect = settings.effect.of_request(arrival.has_idempotency_key);
            client_deadline = settings.deadline;
        }
        if is_client_retry {
            request.first_sent_at = request
                .arrived_at
                .min(arrival.expires_at.saturating_sub(client_deadline));
        }
        request
    }

    /// Marks a request as done once its response streams to the client: this instance then applies
    /// no deadline, cancellation or final answer.
    pub(super) fn on_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.done = true;
        }
    }

    /// Ends a request whose client has left.
    pub(super) fn on_client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.done = true;
        let attempt = request.attempts.saturating_sub(1) as u8;
        if request.in_flight.is_none() {
            self.forget_request(id);
        } else if self.settings.may_cancel {
            actions.push(Action::Cancel {
                request: id,
                attempt,
            });
        }
    }

    /// Updates the state from the end of an attempt, and answers or requeues its request.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&end.request) else {
            return;
        };
        let Some(mut attempt) = request.in_flight.take() else {
            return;
        };
        request.done |= end.terminal;
        if !never_ran(end.outcome) {
            let run = PossibleRun {
                worker: end.worker,
                sent_at: attempt.sent_at,
            };
            request.first_possible_run.get_or_insert(run);
        }
        if end.outcome != Outcome::Ok {
            request.avoided = Some(end.worker);
        }
        let function = request.function;
        let class = request.class;
        let latency_objective = request.latency_objective as f64;
        let done = request.done;
        if attempt.may_wait_for_load && end.outcome == Outcome::Ok {
            attempt.may_wait_for_load = self.waited_for_load(function, end);
        }
        self.record_copies(now, function, end);
        self.record_outcome(now, end, &attempt, class, latency_objective);
        if end.outcome == Outcome::Ok {
            self.record_latency(now, function, end, &attempt, latency_objective);
        }
        if done {
            self.forget_request(end.request);
        } else {
            self.retry_or_answer(now, end, actions);
        }
    }

    /// Whether a served attempt waited for a load, judged by its latency if the answer does not
    /// state it.
    fn waited_for_load(&self, function: FunctionId, end: &AttemptEnd) -> bool {
        if let Some(copy_start) = end.copy_start {
            return copy_start != CopyStart::Warm;
        }
        let usual_latency = self.functions.get(&function).map_or(0.0, |function| {
            self.mean_run_time(function) + self.assumed_load_time(function) as f64 / 3.0
        });
        end.latency as f64 > usual_latency
    }

    /// Requeues a request after an unsuccessful attempt, or answers it if no retry is left.
    fn retry_or_answer(&mut self, now: Micros, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.request;
        let request = &self.requests[&id];
        let function = request.function;
        let client_time_is_over = request.expires_at <= now + self.settings.tick;
        if !request.may_retry(now)
            || client_time_is_over
            || request.attempts >= self.settings.max_attempts
        {
            self.answer(now, id, actions);
            return;
        }
        if end.outcome == Outcome::Miss && self.should_load_after_miss(now, end.worker, request) {
            self.order_load(
                now,
                CopyKey {
                    worker: end.worker,
                    function,
                },
                id,
                actions,
            );
        }
        if let Some(state) = self.functions.get_mut(&function) {
            state.queue.push_front(id);
            self.queued_functions.insert(function);
        }
    }

    /// Whether the worker that missed should load the function: it is the function's first
    /// candidate, or a known copy is at a saturated worker.
    fn should_load_after_miss(
        &self,
        now: Micros,
        worker: WorkerId,
        request: &RequestState,
    ) -> bool {
        let Some(function) = self.functions.get(&request.function) else {
            return false;
        };
        let is_first_candidate = function.candidates.workers().first() == Some(&worker);
        let copies_saturated = request.attempts == 1
            && function
                .copies
                .iter()
                .filter(|(_, copy)| copy.count > 0)
                .any(|(worker, _)| self.is_saturated(now, *worker));
        is_first_candidate || copies_saturated
    }

    /// Forgets a finished request.
    pub(super) fn forget_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(request.expires_at, id));
        self.remove_from_queue(request.function, id);
    }
}
