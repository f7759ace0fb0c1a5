//! Loading of messages from the store, and when more are fetched.

use super::ids::{EndpointId, Seq};
use super::messages::{Enabled, Output, PendingMessage};
use super::outcomes::VOID_ATTEMPT_PAUSE;
use super::response::{DeadLetterReason, MessageState};
use super::{Delivery, LoadedState, TimerPurpose};
use crate::api::Micros;

/// Messages that every endpoint may load even if the limit of all endpoints is reached.
const MIN_LOADED_PER_ENDPOINT: usize = 4;

impl Delivery {
    /// Unloads an endpoint's messages that are not in flight. They remain in the store.
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

    /// Unloads a message and returns it with its state.
    pub(super) fn unload(&mut self, seq: Seq) -> Option<(PendingMessage, LoadedState)> {
        let (message, loaded_state) = self.loaded.remove(&seq)?;
        if let Some(endpoint) = self.endpoints.get_mut(&message.endpoint) {
            endpoint.loaded.remove(&seq);
            match loaded_state {
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
        } else if matches!(loaded_state, LoadedState::InFlight(_)) {
            self.in_flight -= 1;
        }
        Some((message, loaded_state))
    }

    /// Loads a message if the limits permit. Otherwise it is only in the store.
    pub(super) fn load(&mut self, now: Micros, message: PendingMessage) {
        if self.loaded.contains_key(&message.seq) {
            return;
        }
        let full = self.loaded.len() >= self.limits.max_loaded;
        let Some(endpoint) = self.endpoints.get_mut(&message.endpoint) else {
            let state = MessageState::Dead(DeadLetterReason::Gone);
            return self.outputs.push_back(Output::Persist {
                message,
                state,
                attempt: None,
            });
        };
        let due = message.due <= now;
        // Every endpoint may load a few messages beyond the common limit, so that none starves.
        let has_capacity = !full || endpoint.loaded.len() < MIN_LOADED_PER_ENDPOINT;
        let fits = has_capacity
            && if due {
                endpoint.ready() < self.limits.max_ready_per_endpoint
            } else {
                message.due - now <= self.limits.load_horizon
            };
        // Messages of an earlier due time that are only in the store go first.
        let has_predecessors = due && endpoint.next_stored_at.is_some_and(|s| s <= message.due);
        if endpoint.settings.enabled != Enabled::Yes || !fits || has_predecessors {
            endpoint.note_stored(message.due);
            return self.refill(now, message.endpoint);
        }
        endpoint.loaded.insert(message.seq);
        let loaded_state = if due {
            LoadedState::Ready
        } else {
            LoadedState::Scheduled(
                self.timers
                    .insert(message.due, TimerPurpose::Message(message.seq)),
            )
        };
        self.loaded.insert(message.seq, (message, loaded_state));
        if due {
            self.queue_due_message(message.seq);
        }
    }

    /// Queues a loaded message that is due.
    pub(super) fn queue_due_message(&mut self, seq: Seq) {
        let Some((message, loaded_state)) = self.loaded.get_mut(&seq) else {
            return;
        };
        *loaded_state = LoadedState::Ready;
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
            .enqueue(endpoint.settings.tenant, message.endpoint);
    }

    /// Fetches more of an endpoint's messages if few are loaded.
    pub(super) fn refill(&mut self, now: Micros, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Some(stored_due) = endpoint.next_stored_at else {
            return;
        };
        if endpoint.fetching
            || endpoint.settings.enabled != Enabled::Yes
            || endpoint.ready() > self.limits.max_ready_per_endpoint / 2
        {
            return;
        }
        if self.loaded.len() >= self.limits.max_loaded
            && endpoint.loaded.len() >= MIN_LOADED_PER_ENDPOINT
        {
            // Fetched messages could not be loaded now. Capacity becomes available as messages of
            // other endpoints end.
            self.recheck_at(id, now.max(stored_due) + VOID_ATTEMPT_PAUSE);
        } else if stored_due <= now {
            (endpoint.fetching, endpoint.next_stored_at) = (true, None);
            self.outputs.push_back(Output::Fetch(
                id,
                self.limits.max_ready_per_endpoint + endpoint.loaded.len(),
            ));
        } else {
            self.recheck_at(id, stored_due);
        }
    }

    /// Schedules a check of an endpoint at this time, unless an earlier check is scheduled.
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
        endpoint.recheck = Some((at, self.timers.insert(at, TimerPurpose::Recheck(id))));
    }
}
