//! Which messages are loaded from the store, and when more are fetched.

use super::ids::{EndpointId, Seq};
use super::messages::{Enabled, Output, Waiting};
use super::outcomes::VOID_ATTEMPT_PAUSE;
use super::response::{DeadLetterReason, State};
use super::{Delivery, Due, LoadedState};
use crate::api::Micros;

/// Messages that every endpoint may load, however many others are loaded.
const MIN_LOADED_PER_ENDPOINT: usize = 4;

impl Delivery {
    /// Unloads an endpoint's messages. They go on waiting in the store.
    pub(super) fn unload_endpoint(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        for seq in endpoint.loaded.clone() {
            if let Some((_, LoadedState::InFlight(_))) = self.loaded.get(&seq) {
                continue;
            }
            if let Some((message, _)) = self.unload(seq) {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.note_stored(message.due);
                }
            }
        }
    }

    /// Unloads a message.
    pub(super) fn unload(&mut self, seq: Seq) -> Option<(Waiting, LoadedState)> {
        let (message, place) = self.loaded.remove(&seq)?;
        if let Some(endpoint) = self.endpoints.get_mut(&message.endpoint) {
            endpoint.loaded.remove(&seq);
            match place {
                LoadedState::Ready => {
                    endpoint.first_attempts.retain(|s| *s != seq);
                    endpoint.retries.retain(|s| *s != seq);
                }
                LoadedState::Scheduled(timer) => {
                    self.timers.cancel(timer);
                }
                LoadedState::InFlight(_) => {
                    endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
                    self.in_flight -= 1;
                }
            }
        } else if matches!(place, LoadedState::InFlight(_)) {
            self.in_flight -= 1;
        }
        Some((message, place))
    }

    /// Loads a message, or leaves it to the store.
    pub(super) fn load(&mut self, now: Micros, message: Waiting) {
        if self.loaded.contains_key(&message.seq) {
            return;
        }
        let full = self.loaded.len() >= self.limits.max_loaded;
        let Some(endpoint) = self.endpoints.get_mut(&message.endpoint) else {
            let state = State::Dead(DeadLetterReason::Gone);
            return self.outputs.push_back(Output::Persist {
                message,
                state,
                attempt: None,
            });
        };
        let due = message.due <= now;
        // Every endpoint may load a few messages, however many others wait, so that none starves.
        let has_capacity = !full || endpoint.loaded.len() < MIN_LOADED_PER_ENDPOINT;
        let fits = has_capacity
            && if due {
                endpoint.ready() < self.limits.max_ready_per_endpoint
            } else {
                message.due - now <= self.limits.load_horizon
            };
        // A due message goes behind those that the store has of before.
        let behind = due && endpoint.next_stored_at.is_some_and(|s| s <= message.due);
        if endpoint.plan.enabled != Enabled::Yes || !fits || behind {
            endpoint.note_stored(message.due);
            return self.refill(now, message.endpoint);
        }
        endpoint.loaded.insert(message.seq);
        let place = if due {
            LoadedState::Ready
        } else {
            LoadedState::Scheduled(self.timers.insert(message.due, Due::Message(message.seq)))
        };
        self.loaded.insert(message.seq, (message, place));
        if due {
            self.fell_due(message.seq);
        }
    }

    /// A loaded message is due.
    pub(super) fn fell_due(&mut self, seq: Seq) {
        let Some((message, place)) = self.loaded.get_mut(&seq) else {
            return;
        };
        *place = LoadedState::Ready;
        let Some(endpoint) = self.endpoints.get_mut(&message.endpoint) else {
            return;
        };
        let queue = if message.tries == 0 {
            &mut endpoint.first_attempts
        } else {
            &mut endpoint.retries
        };
        queue.push_back(seq);
        self.endpoint_queue
            .join(endpoint.plan.tenant, message.endpoint);
    }

    /// Fetches more of an endpoint's messages when few are loaded.
    pub(super) fn refill(&mut self, now: Micros, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Some(stored) = endpoint.next_stored_at else {
            return;
        };
        if endpoint.fetching
            || endpoint.plan.enabled != Enabled::Yes
            || endpoint.ready() > self.limits.max_ready_per_endpoint / 2
        {
            return;
        }
        if self.loaded.len() >= self.limits.max_loaded
            && endpoint.loaded.len() >= MIN_LOADED_PER_ENDPOINT
        {
            // What is fetched could not be loaded; capacity returns as other endpoints' messages
            // end.
            self.recheck_at(id, now.max(stored) + VOID_ATTEMPT_PAUSE);
        } else if stored <= now {
            (endpoint.fetching, endpoint.next_stored_at) = (true, None);
            self.outputs.push_back(Output::Fetch(
                id,
                self.limits.max_ready_per_endpoint + endpoint.loaded.len(),
            ));
        } else {
            self.recheck_at(id, stored);
        }
    }

    /// Looks at an endpoint again at this instant, or earlier if that is planned already.
    pub(super) fn recheck_at(&mut self, id: EndpointId, at: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if let Some((old, timer)) = endpoint.recheck {
            if old <= at {
                return;
            }
            self.timers.cancel(timer);
        }
        endpoint.recheck = Some((at, self.timers.insert(at, Due::Recheck(id))));
    }
}
