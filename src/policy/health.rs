//! Updates of worker health when an attempt ends: failures, ejection, and cuts of the concurrency
//! limit.

use super::evidence::ReportedCapacity;
use super::latency::SLOW_LATENCY_RATIO;
use super::request::AttemptState;
use super::worker::{WorkerState, MAX_CONSECUTIVE_FAILURES};
use super::{Policy, FCP_INTERVAL};
use crate::api::{AttemptEnd, Micros, Outcome};

/// The minimum time for which requests of a class are kept from a worker that limits the class, in
/// microseconds.
const MIN_CLASS_BACKOFF: Micros = FCP_INTERVAL / 8;
/// The maximum time of such a pause, in microseconds.
const MAX_CLASS_BACKOFF: Micros = FCP_INTERVAL;

/// Whether a worker's process has been replaced since its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Same,
    Restarted,
}

impl Policy {
    /// Updates the worker's health from an attempt's outcome.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        attempt: &AttemptState,
        class: usize,
        latency_objective: f64,
    ) {
        let usual_run_time = self.mean_run_time_of_all();
        let min_limit = self.min_concurrency_limit();
        self.record_evidence(now, end, latency_objective);
        let Some(mut worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        worker.add_debt(now, 0.0);
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let answered_since = worker.last_answer_at > attempt.sent_at;
        let mut process = Process::Same;
        match end.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Miss | Outcome::Rejected => {
                worker.record_answer(now);
                if end.outcome == Outcome::Rejected && end.latency as f64 > latency_objective / 10.0
                {
                    worker.back_off_class(now, class);
                } else if end.outcome == Outcome::Rejected {
                    worker.cut_limit(now, min_limit);
                    worker.add_debt(now, 2.0 * usual_run_time);
                } else if end.outcome == Outcome::Ok {
                    worker.class_backoff.remove(&class);
                }
                process = worker.detect_restart(now, attempt);
            }
            Outcome::Timeout | Outcome::Cancelled if !answered_since => {
                worker.consecutive_failures += 1;
                // Answers show only the latency of requests that complete: a timeout well beyond
                // the usual run time cuts the limit too.
                if usual_run_time > 0.0 && end.latency as f64 > SLOW_LATENCY_RATIO * usual_run_time
                {
                    worker.cut_limit(now, min_limit);
                }
            }
            Outcome::Reset if !answered_since => worker.record_reset(now),
            Outcome::ConnectFailed if !answered_since => worker.record_connect_failure(now),
            Outcome::Timeout
            | Outcome::Cancelled
            | Outcome::Reset
            | Outcome::ConnectFailed
            | Outcome::NotSent => {}
        }
        worker.eject_after_failures(now);
        drop(worker);
        if process == Process::Restarted {
            self.forget_copies(end.worker);
        }
    }

    /// Updates the evidence that the worker accepts new work from an attempt's outcome.
    fn record_evidence(&mut self, now: Micros, end: &AttemptEnd, latency_objective: f64) {
        let sent_at = now.saturating_sub(end.unread_for + end.latency);
        match end.outcome {
            Outcome::Ok => {
                let capacity = ReportedCapacity::from_report(end.load_report);
                self.evidence.on_reported(end.worker, capacity);
                self.evidence.on_served(now, end.worker, sent_at);
            }
            Outcome::Rejected => {
                // A slow rejection limits one class and says nothing about the worker.
                let limits_class = end.latency as f64 > latency_objective / 10.0;
                let capacity = if limits_class {
                    ReportedCapacity::Used
                } else {
                    ReportedCapacity::from_report(end.load_report)
                };
                self.evidence
                    .on_rejected(now, end.worker, sent_at, capacity);
            }
            Outcome::Error
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::Miss => {}
        }
    }

    /// The minimum to which a worker's concurrency limit is cut.
    pub(super) fn min_concurrency_limit(&self) -> f64 {
        (self.initial_concurrency_limit / 4.0).min(1.0)
    }
}

impl WorkerState {
    fn record_answer(&mut self, now: Micros) {
        self.last_answer_at = now;
        self.consecutive_failures = 0;
        self.stalled = false;
    }

    /// Keeps requests of one class away after a slow rejection, with a pause that doubles each
    /// time.
    fn back_off_class(&mut self, now: Micros, class: usize) {
        let backoff = self.class_backoff.entry(class).or_default();
        backoff.duration = (2 * backoff.duration).clamp(MIN_CLASS_BACKOFF, MAX_CLASS_BACKOFF);
        backoff.until = now + backoff.duration;
    }

    /// Detects the restart of a worker that was unreachable and answers again, unless the answer is
    /// to an attempt sent before the failure. The new process is in slow start and has no copies.
    fn detect_restart(&mut self, now: Micros, attempt: &AttemptState) -> Process {
        match self.unreachable_since.take() {
            Some(unreachable_since) if attempt.sent_at >= unreachable_since => {
                self.started_at = Some(now);
                Process::Restarted
            }
            _ => Process::Same,
        }
    }

    /// Counts a reset connection as one failure, however many attempts end with it.
    fn record_reset(&mut self, now: Micros) {
        if self.last_reset_at != now {
            self.consecutive_failures += 1;
        }
        self.last_reset_at = now;
    }

    fn record_connect_failure(&mut self, now: Micros) {
        self.consecutive_failures = (self.consecutive_failures + 1).max(MAX_CONSECUTIVE_FAILURES);
        self.unreachable_since = Some(now);
    }
}
