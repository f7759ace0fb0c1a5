//! Start of attempts.

use super::ids::EndpointId;
use super::messages::Output;
use super::response::{DeadLetterReason, MessageState};
use super::{Delivery, LoadedState};
use crate::api::{Effect, Micros};
use crate::policy::permitted_after;

/// Message size that adds one unit to the cost in the fair queue, in bytes.
const BYTES_PER_COST_UNIT: u32 = 4096;

impl Delivery {
    /// Begins attempts, fairly among tenants and endpoints, up to the limit of attempts in flight.
    pub(super) fn begin_attempts(&mut self, now: Micros) {
        while !self.stopped && self.in_flight < self.limits.max_in_flight {
            let (endpoints, loaded) = (&mut self.endpoints, &self.loaded);
            let mut rechecks = Vec::new();
            let chosen =
                self.endpoint_queue
                    .next(|id| match endpoints.get_mut(&id)?.next_message(now) {
                        Ok(seq) => loaded
                            .get(&seq)
                            .map(|(m, _)| 1 + m.size / BYTES_PER_COST_UNIT),
                        Err(at) => {
                            rechecks.extend(at.map(|at| (id, at)));
                            None
                        }
                    });
            rechecks
                .into_iter()
                .for_each(|(id, at)| self.recheck_at(id, at));
            let Some(id) = chosen else { return };
            self.begin_attempt(now, id);
            self.refill(now, id);
        }
    }

    /// Begins the endpoint's next attempt.
    pub(super) fn begin_attempt(&mut self, now: Micros, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Ok(seq) = endpoint.next_message(now) else {
            return;
        };
        let Some((message, loaded_state)) = self.loaded.get_mut(&seq) else {
            return;
        };
        if endpoint.first_attempts.front() == Some(&seq) {
            endpoint.first_attempts.pop_front();
        } else {
            endpoint.retries.pop_front();
        }
        if !permitted_after(message.effect, message.maybe_received_at, now, 0).retry {
            // The time in which a retry is safe has passed while the message waited.
            let message = *message;
            self.unload(seq);
            return self.persist(message, MessageState::Dead(DeadLetterReason::Unknown), None);
        }
        endpoint.breaker.sent(now);
        if let Some(bucket) = &mut endpoint.bucket {
            bucket.take();
        }
        if message.tries > 0 {
            endpoint.budget.take();
        }
        *loaded_state = LoadedState::InFlight(now);
        endpoint.in_flight += 1;
        self.in_flight += 1;
        let recorded = message.effect != Effect::Idempotent;
        self.outputs.push_back(Output::Begin {
            seq,
            endpoint: id,
            recorded,
        });
    }
}
