//! The life cycle of requests, from submission to the final answer.

use slotmap::Key;

use super::deadlines::Deadline;
use super::{Answer, AttemptKey, Call, Command, Core, HexFunctionId, RequestKey};
use crate::api::{ClassId, Effect, Event, Micros, RequestId};
use crate::completion::CloseReason;
use crate::counters::FinalAnswer;

/// A request that awaits its final answer or still has an attempt in flight.
#[derive(Debug)]
pub(super) struct Request<O> {
    pub(super) request_id: RequestId,
    pub(super) call: Call<O>,
    /// The effect of running it more than once.
    pub(super) effect: Effect,
    pub(super) attempts_sent: u8,
    pub(super) in_flight: Option<AttemptKey>,
    pub(super) answered: bool,
    /// The send time of the first ended attempt that may have run.
    pub(super) may_have_run_at: Option<Micros>,
}

impl<O> Request<O> {
    fn new(request_id: RequestId, call: Call<O>, effect: Effect) -> Request<O> {
        Request {
            request_id,
            call,
            effect,
            attempts_sent: 0,
            in_flight: None,
            answered: false,
            may_have_run_at: None,
        }
    }

    pub(super) fn class(&self) -> ClassId {
        self.call.arrival.class
    }

    fn is_finished(&self) -> bool {
        self.answered && self.in_flight.is_none()
    }
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Returns the number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.unanswered_requests
    }

    /// Returns the number of requests that are remembered, answered or not.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the size of the bodies of all requests that are remembered.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Counts a call that was rejected before it reached the decision module.
    pub fn count_rejected(&mut self, class: ClassId) {
        self.counters.received += 1;
        self.counters.count_answer(class, FinalAnswer::Rejected);
    }

    /// Returns whether a request with this identity awaits its answer or has an attempt in flight. A second call with
    /// the same identity must not be submitted, as replies on worker connections are matched by identity alone.
    pub fn is_open(&self, identity: &str) -> bool {
        self.open_identities.contains(identity)
    }

    /// Returns whether a call must not run twice, also not as a repeat by its client.
    pub fn runs_at_most_once(&self, call: &Call<()>) -> bool {
        let effect = self.class_effect(call.arrival.class);
        effect.of_request(call.idempotency_key.is_some()) != Effect::Idempotent
    }

    /// Submits a call. It then gets exactly one answer unless its client disconnects first.
    pub fn submit(&mut self, now: Micros, mut call: Call<O>) -> RequestKey {
        let request_id = self.next_request_id();
        call.arrival.request = request_id;
        call.arrival.has_idempotency_key = call.idempotency_key.is_some();
        let effect = self
            .class_effect(call.arrival.class)
            .of_request(call.arrival.has_idempotency_key);
        let arrival = call.arrival.clone();
        self.open_identities.insert(call.identity.clone());
        self.body_bytes += call.body.len();
        let key = self.requests.insert(Request::new(request_id, call, effect));
        self.unanswered_requests += 1;
        self.keys_by_id.insert(request_id, key);
        // The module answers by the request's deadline; this later deadline guarantees an answer if it does not.
        let overdue_at = arrival.expires_at + self.answer_grace;
        self.deadlines
            .insert(overdue_at, Deadline::Request(key.data().as_ffi()));
        self.counters.received += 1;
        tracing::debug!(
            request_id = request_id.0,
            class = arrival.class.0,
            function = %HexFunctionId(arrival.function.0),
            "request received"
        );
        self.handle_event(now, Event::Request(arrival));
        key
    }

    /// Returns the next request id that is not in use. Ids wrap around.
    fn next_request_id(&mut self) -> RequestId {
        loop {
            self.last_request_id = self.last_request_id.wrapping_add(1);
            let request_id = RequestId(self.last_request_id);
            if !self.keys_by_id.contains_key(&request_id) {
                return request_id;
            }
        }
    }

    /// Handles the disconnection of a request's client: the request gets no answer.
    pub fn client_disconnected(&mut self, now: Micros, key: RequestKey) {
        let Some(request) = self.end_unanswered(key) else {
            return;
        };
        let request = request.request_id;
        self.counters.client_disconnects += 1;
        self.withdraw_in_flight(key);
        self.handle_event(now, Event::ClientGone { request });
        self.remove_if_finished(key);
    }

    /// Returns a request if it has no final answer yet.
    pub(super) fn unanswered(&mut self, key: RequestKey) -> Option<&mut Request<O>> {
        self.requests
            .get_mut(key)
            .filter(|request| !request.answered)
    }

    /// Marks a request as answered and returns it, unless it was before.
    pub(super) fn end_unanswered(&mut self, key: RequestKey) -> Option<&mut Request<O>> {
        let request = self
            .requests
            .get_mut(key)
            .filter(|request| !request.answered)?;
        request.answered = true;
        self.unanswered_requests -= 1;
        Some(request)
    }

    /// Gives a request the answer that the module has decided on.
    pub(super) fn answer_request(&mut self, request_id: RequestId, answer: Answer) {
        let Some(&key) = self.keys_by_id.get(&request_id) else {
            return;
        };
        if self.unanswered(key).is_none() {
            return;
        }
        tracing::debug!(
            request_id = request_id.0,
            ?answer,
            "request answered without a worker reply"
        );
        self.answer_without_reply(key, answer);
    }

    /// Answers a request whose deadline and grace period have passed without a decision of the module. It is rejected if
    /// a retry by the client is harmless (its class is idempotent, or no attempt can have run), and fails otherwise.
    pub(super) fn request_overdue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key).filter(|request| !request.answered) else {
            return;
        };
        let idempotent = request.effect == Effect::Idempotent;
        let may_retry = idempotent || request.may_have_run_at.is_none();
        let answer = if may_retry && request.in_flight.is_none() {
            Answer::Rejected { retry_after: 0 }
        } else {
            Answer::Failed
        };
        self.counters.overdue += 1;
        self.answer_without_reply(key, answer);
    }

    /// Answers a request without a response body and withdraws its attempt if that has not started.
    fn answer_without_reply(&mut self, key: RequestKey, answer: Answer) {
        let Some(request) = self.end_unanswered(key) else {
            return;
        };
        let class = request.class();
        let origin = request.call.origin.clone();
        let counted = match answer {
            Answer::Rejected { .. } => FinalAnswer::Rejected,
            Answer::Served(_) | Answer::Failed => FinalAnswer::Failed,
        };
        self.counters.count_answer(class, counted);
        self.commands.push_back(Command::Answer { origin, answer });
        self.withdraw_in_flight(key);
        self.remove_if_finished(key);
    }

    /// Withdraws the attempt of an answered request if none of it has been sent. This applies even where the settings do
    /// not permit the cancellation of started attempts.
    fn withdraw_in_flight(&mut self, key: RequestKey) {
        let in_flight = self.requests.get(key).and_then(|request| request.in_flight);
        let Some(attempt) = in_flight else {
            return;
        };
        self.commands.push_back(Command::Withdraw {
            attempt,
            reason: CloseReason::Cancelled,
        });
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, key: RequestKey) {
        if !self.requests.get(key).is_some_and(Request::is_finished) {
            return;
        }
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        self.body_bytes -= request.call.body.len();
        self.keys_by_id.remove(&request.request_id);
        self.open_identities.remove(&request.call.identity);
        if request.effect != Effect::Idempotent && request.may_have_run_at.is_none() {
            self.commands.push_back(Command::ReleaseIdentity {
                origin: request.call.origin.clone(),
                identity: request.call.identity.clone(),
            });
        }
        let overdue_at = request.call.arrival.expires_at + self.answer_grace;
        self.deadlines
            .remove(overdue_at, Deadline::Request(key.data().as_ffi()));
    }
}
