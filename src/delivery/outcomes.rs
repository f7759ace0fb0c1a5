//! Effects of the end of an attempt on the message and on its endpoint.

use super::ids::{EndpointId, Seq};
use super::messages::{Enabled, Output, PendingMessage};
use super::response::{DeadLetterReason, DeliveryReport, MessageState, ResponseClass};
use super::{Delivery, LoadedState};
use crate::api::Micros;
use crate::policy::permitted_after;

/// How long a message waits after an attempt that the gateway itself did not begin, in
/// microseconds.
pub(super) const VOID_ATTEMPT_PAUSE: Micros = 1_000_000;

/// Reasons for which an endpoint is disabled after an attempt, as operators see them.
const REASON_GONE: &str = "gone";
const REASON_FAILING: &str = "failing";

impl Delivery {
    /// Requests that the state of a message is stored.
    pub(super) fn persist(
        &mut self,
        message: PendingMessage,
        state: MessageState,
        attempt: Option<DeliveryReport>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(&message.endpoint) {
            if endpoint.fetching {
                endpoint.changed_while_fetching.insert(message.seq);
            }
        }
        self.outputs.push_back(Output::Persist {
            message,
            state,
            attempt,
        });
    }

    /// Queues an endpoint that may have one more attempt in flight.
    pub(super) fn attempt_slot_freed(&mut self, now: Micros, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get(&id) {
            self.endpoint_queue.enqueue(endpoint.settings.tenant, id);
        }
        self.refill(now, id);
    }

    /// Applies the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, now: Micros, seq: Seq, report: DeliveryReport) {
        let Some((_, LoadedState::InFlight(sent_at))) = self.loaded.get(&seq) else {
            return;
        };
        let sent_at = *sent_at;
        let Some((mut message, _)) = self.unload(seq) else {
            return;
        };
        let id = message.endpoint;
        let class = report.class();
        let disable_reason = self.record_response(now, id, class);
        if report.may_have_arrived() && class != ResponseClass::Delivered {
            message.maybe_received_at.get_or_insert(sent_at);
        }
        let state = self.state_after(now, &mut message, class);
        let attempt = (class != ResponseClass::Void).then_some(report);
        if attempt.is_some() {
            message.tries += 1;
        }
        self.persist(message, state, attempt);
        if let Some(reason) = disable_reason {
            self.disable(id, reason);
        }
        if state == MessageState::Waiting {
            self.load(now, message);
        }
        self.attempt_slot_freed(now, id);
    }

    /// Updates the endpoint's breaker and retry budget. Returns the reason if the endpoint is to be
    /// disabled.
    fn record_response(
        &mut self,
        now: Micros,
        id: EndpointId,
        class: ResponseClass,
    ) -> Option<&'static str> {
        let disable_after = self.limits.disable_after;
        let endpoint = self.endpoints.get_mut(&id)?;
        match class {
            ResponseClass::Delivered => {
                endpoint.breaker.succeeded(endpoint.settings.in_flight);
                endpoint.budget.add_success();
                None
            }
            ResponseClass::OptedOut => Some(REASON_GONE),
            ResponseClass::Failed(retry_after) => {
                endpoint.breaker.failed(now, retry_after);
                let failing_since = endpoint.breaker.failing_since();
                let failing_too_long =
                    failing_since.is_some_and(|since| now >= since + disable_after);
                failing_too_long.then_some(REASON_FAILING)
            }
            ResponseClass::Void => {
                endpoint.breaker.attempt_void(now);
                None
            }
        }
    }

    /// Returns the state of a message after a response. Sets the next due time if it is sent again.
    fn state_after(
        &self,
        now: Micros,
        message: &mut PendingMessage,
        class: ResponseClass,
    ) -> MessageState {
        match class {
            ResponseClass::Delivered => MessageState::Delivered,
            ResponseClass::Void => {
                message.due = now + VOID_ATTEMPT_PAUSE;
                MessageState::Waiting
            }
            _ if !permitted_after(message.effect, message.maybe_received_at, now, 0).retry => {
                MessageState::Dead(DeadLetterReason::Unknown)
            }
            ResponseClass::OptedOut => MessageState::Dead(DeadLetterReason::Gone),
            ResponseClass::Failed(retry_after) => self.schedule_retry(now, message, retry_after),
        }
    }

    fn schedule_retry(
        &self,
        now: Micros,
        message: &mut PendingMessage,
        retry_after: Option<Micros>,
    ) -> MessageState {
        let Some(endpoint) = self.endpoints.get(&message.endpoint) else {
            return MessageState::Dead(DeadLetterReason::Gone);
        };
        let schedule = &endpoint.settings.schedule;
        let jitter_seed = self.seed ^ message.seq.0;
        match schedule.pause(message.tries + 1, jitter_seed, retry_after) {
            Some(pause) => {
                message.due = now + pause;
                MessageState::Waiting
            }
            None => MessageState::Dead(DeadLetterReason::Exhausted),
        }
    }

    fn disable(&mut self, id: EndpointId, reason: &'static str) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.settings.enabled != Enabled::Yes {
            return;
        }
        endpoint.settings.enabled = Enabled::DisabledByFailure;
        self.outputs.push_back(Output::EndpointDisabled(id, reason));
        self.unload_endpoint(id);
    }
}
