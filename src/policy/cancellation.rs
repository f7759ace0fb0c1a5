//! Cancels attempts at stalled workers, so that they can be retried elsewhere.

use super::idempotency::permitted_after;
use super::{Policy, TICK_INTERVAL};
use crate::api::{Action, Micros};

impl Policy {
    /// Cancels attempts at stalled workers if they may be retried. A fixed timeout would amplify an
    /// overload. If most workers stall, the fault is elsewhere and nothing is cancelled.
    pub(super) fn cancel_stalled(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let stalled = self.workers.stalled().len();
        if stalled == 0 || !self.settings.may_cancel || 2 * stalled > self.workers.len() {
            return;
        }
        for (id, request) in self
            .requests
            .iter_mut()
            .filter(|(_, request)| !request.done)
        {
            let Some(attempt) = request.in_flight.as_mut() else {
                continue;
            };
            let permitted =
                permitted_after(request.effect, Some(attempt.sent_at), now, TICK_INTERVAL);
            let may_retry = permitted.retry && request.attempts < self.settings.max_attempts;
            // An attempt sent late in the silent period says little about the worker.
            let is_stalled = self.workers.get(&attempt.worker).is_some_and(|worker| {
                worker.stalled && (now - attempt.sent_at) * 4 > (now - worker.last_answer_at) * 3
            });
            if is_stalled && may_retry && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::Cancel {
                    request: *id,
                    attempt: (request.attempts - 1) as u8,
                });
            }
        }
    }
}
