//! The life cycle of attempts, from dispatch to the worker's reply or failure.

use slotmap::Key;

use super::deadlines::Deadline;
use super::{Answer, AttemptDispatch, AttemptKey, AttemptReply, Command, Core, RequestKey};
use crate::api::{AttemptEnd, Effect, Event, Micros, Outcome, RequestId, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::counters::FinalAnswer;
use crate::policy::never_ran;

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    request: RequestKey,
    worker: WorkerId,
    /// The attempt's index among those of its request, from 0.
    number: u8,
    sent_at: Micros,
    expires_at: Micros,
    /// The latest time at which the attempt may start, if its class limits it.
    start_deadline: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCompletion {
    /// The reason for its end.
    pub reason: CloseReason,
    /// The extent to which it had been sent.
    pub progress: SendProgress,
    /// The time from the arrival of its reply to the reading, in microseconds.
    pub unread_for: Micros,
}

impl AttemptCompletion {
    /// An end that is noticed as it happens.
    pub fn at_once(reason: CloseReason, progress: SendProgress) -> AttemptCompletion {
        AttemptCompletion {
            reason,
            progress,
            unread_for: 0,
        }
    }
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Returns the worker of an attempt in flight.
    pub fn worker_of(&self, key: AttemptKey) -> Option<WorkerId> {
        self.attempts.get(key).map(|attempt| attempt.worker)
    }

    /// Returns the origin of the request that an attempt in flight belongs to.
    pub fn origin_of(&self, key: AttemptKey) -> Option<&O> {
        let request = self.requests.get(self.attempts.get(key)?.request)?;
        Some(&request.call.origin)
    }

    /// Sends a request to a worker, unless it has been answered or has an attempt in flight.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        request_id: RequestId,
        worker: WorkerId,
        timeout: Option<Micros>,
    ) {
        let Some(&request_key) = self.keys_by_id.get(&request_id) else {
            return;
        };
        let Some(request) = self
            .unanswered(request_key)
            .filter(|request| request.in_flight.is_none())
        else {
            return;
        };
        // Workers deduplicate repeats only within this window, so a repeat that waits for a connection to be
        // established must not be sent after it.
        let start_deadline = match request.effect {
            Effect::Keyed { window, .. } => request.may_have_run_at.map(|sent_at| sent_at + window),
            Effect::Idempotent | Effect::NonIdempotent => None,
        };
        let request_expires_at = request.call.arrival.expires_at;
        let expires_at = timeout.map_or(request_expires_at, |timeout| {
            request_expires_at.min(now + timeout)
        });
        let attempt = Attempt {
            request: request_key,
            worker,
            number: request.attempts_sent,
            sent_at: now,
            expires_at,
            start_deadline,
        };
        request.attempts_sent = request.attempts_sent.saturating_add(1);
        self.dispatch(attempt, request_id);
    }

    /// Stores an attempt, schedules its deadlines and queues its dispatch.
    fn dispatch(&mut self, attempt: Attempt, request_id: RequestId) {
        let request_key = attempt.request;
        let worker = attempt.worker;
        let expires_at = attempt.expires_at;
        let start_deadline = attempt.start_deadline;
        let key = self.attempts.insert(attempt);
        let number = key.data().as_ffi();
        self.deadlines.insert(expires_at, Deadline::Attempt(number));
        if let Some(at) = start_deadline {
            self.deadlines.insert(at, Deadline::AttemptStart(number));
        }
        self.counters.sent += 1;
        tracing::debug!(request_id = request_id.0, worker = worker.0, "attempt sent");
        let Some(request) = self.requests.get_mut(request_key) else {
            return;
        };
        request.in_flight = Some(key);
        self.commands.push_back(Command::Dispatch(AttemptDispatch {
            attempt: key,
            worker,
            identity: request.call.identity.clone(),
            idempotency_key: request.call.idempotency_key.clone(),
            class: request.class(),
            effect: request.effect,
            function: request.call.arrival.function,
            expires_at,
            body: request.call.body.clone(),
        }));
    }

    /// Cancels a request's attempt with this number if it is the one in flight.
    pub(super) fn cancel_attempt(&mut self, request_id: RequestId, number: u8) {
        let Some(key) = self.keys_by_id.get(&request_id) else {
            return;
        };
        let Some(request) = self.requests.get(*key) else {
            return;
        };
        let Some(attempt) = request.in_flight else {
            return;
        };
        if request.attempts_sent == number + 1 {
            self.commands.push_back(Command::Cancel {
                attempt,
                reason: CloseReason::Cancelled,
            });
        }
    }

    /// Handles the end of an attempt that the driver reports. An attempt that is no longer in flight is ignored, so that
    /// a late reply to an earlier attempt is not taken for the reply to a later one.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        key: AttemptKey,
        end: AttemptCompletion,
        reply: AttemptReply,
    ) {
        let AttemptCompletion {
            reason,
            progress,
            unread_for,
        } = end;
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.remove_attempt_deadlines(key, &attempt);
        self.counters.count_attempt_end(reason);
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        request.in_flight = None;
        let outcome = reason.outcome(progress);
        if !never_ran(outcome) {
            request.may_have_run_at.get_or_insert(attempt.sent_at);
        }
        let end = AttemptEnd {
            request: request.request_id,
            worker: attempt.worker,
            attempt: attempt.number,
            terminal: request.answered || outcome == Outcome::Ok,
            outcome,
            copy_start: reply.copy_start,
            function_in_flight: reply.function_in_flight,
            latency: now.saturating_sub(attempt.sent_at + unread_for),
            unread_for,
            load_report: reply.load_report,
        };
        if outcome == Outcome::Ok {
            self.answer_served(attempt.request, reply.body);
        }
        log_attempt_end(&end, reason);
        self.handle_event(now, Event::AttemptEnded(end));
        self.remove_if_finished(attempt.request);
    }

    fn remove_attempt_deadlines(&mut self, key: AttemptKey, attempt: &Attempt) {
        let number = key.data().as_ffi();
        self.deadlines
            .remove(attempt.expires_at, Deadline::Attempt(number));
        if let Some(at) = attempt.start_deadline {
            self.deadlines.remove(at, Deadline::AttemptStart(number));
        }
    }

    /// Answers a request with a worker's response body, unless it has been answered.
    fn answer_served(&mut self, key: RequestKey, body: Vec<u8>) {
        let Some(request) = self.end_unanswered(key) else {
            return;
        };
        let class = request.class();
        let origin = request.call.origin.clone();
        self.counters.count_answer(class, FinalAnswer::Served);
        self.commands.push_back(Command::Answer {
            origin,
            answer: Answer::Served(body),
        });
    }
}

fn log_attempt_end(end: &AttemptEnd, reason: CloseReason) {
    tracing::debug!(
        request_id = end.request.0,
        worker = end.worker.0,
        latency_us = end.latency,
        reason = reason.name(),
        copy_start = ?end.copy_start,
        function_in_flight = end.function_in_flight,
        in_flight = end.load_report.and_then(|report| report.in_flight),
        "attempt ended"
    );
}
