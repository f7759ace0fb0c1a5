//! Delivery of callbacks: selection and timing of attempts, and the effects of their outcomes.
//!
//! [`Delivery`] is one value without I/O: [`Delivery::handle`] takes an [`Input`] and the time, and
//! queues [`Output`]s. The store holds all messages. A bounded number of messages that are due soon
//! is loaded, without their bodies, and more are fetched when an endpoint has few
//! loaded. Deadlines are in a [`timing_wheel::TimingWheel`]; the caller sets a timer for
//! [`Delivery::next_deadline`] and reports it by [`Input::Tick`].
//!
//! Endpoints are kept until [`Input::EndpointRemoved`]; messages until they end or are unloaded.

use std::collections::{HashMap, VecDeque};

use crate::api::Micros;

pub mod breaker;
pub mod egress;
mod endpoint_state;
pub mod fair_queue;
mod ids;
mod loading;
mod messages;
mod outcomes;
pub mod response;
pub mod schedule;
mod sending;
pub mod timing_wheel;

pub use ids::{EndpointId, Seq};
pub use messages::{Enabled, EndpointSettings, Health, Input, Limits, Output, PendingMessage};

use breaker::{CircuitBreaker, TokenBucket};
use endpoint_state::EndpointState;
use fair_queue::FairQueue;
use timing_wheel::{TimerKey, TimingWheel};

/// State of a loaded message.
#[derive(Debug)]
enum LoadedState {
    /// Due and queued.
    Ready,
    /// Due when the timer expires.
    Scheduled(TimerKey),
    /// Sent at this time.
    InFlight(Micros),
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug)]
enum TimerPurpose {
    Message(Seq),
    Recheck(EndpointId),
}

/// All deliveries of one gateway.
#[derive(Debug)]
pub struct Delivery {
    limits: Limits,
    /// Seed of the jitter of the retry schedules.
    seed: u64,
    endpoints: HashMap<EndpointId, EndpointState>,
    endpoint_queue: FairQueue<u64, EndpointId>,
    timers: TimingWheel<TimerPurpose>,
    loaded: HashMap<Seq, (PendingMessage, LoadedState)>,
    in_flight: u32,
    stopped: bool,
    outputs: VecDeque<Output>,
}

impl Delivery {
    /// Creates a delivery without endpoints and messages. The seed determines the jitter of the
    /// retry schedules.
    pub fn new(limits: Limits, seed: u64, now: Micros) -> Delivery {
        Delivery {
            limits,
            seed,
            endpoints: HashMap::new(),
            endpoint_queue: FairQueue::default(),
            timers: TimingWheel::new(now),
            loaded: HashMap::new(),
            in_flight: 0,
            stopped: false,
            outputs: VecDeque::new(),
        }
    }

    /// Removes and returns the next output.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns when [`Input::Tick`] is due next.
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.stopped {
            return None;
        }
        self.timers.next_deadline()
    }

    /// Returns the loaded messages of a shard.
    pub fn loaded_of_shard(&self, shard: u16) -> Vec<Seq> {
        self.loaded
            .keys()
            .filter(|seq| seq.shard() == shard)
            .copied()
            .collect()
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether messages of an endpoint wait, here or in the store, or are in flight.
    pub fn has_messages(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|state| {
            !state.loaded.is_empty() || state.fetching || state.next_stored_at.is_some()
        })
    }

    /// Returns the number of loaded messages.
    pub fn loaded(&self) -> usize {
        self.loaded.len()
    }

    /// Returns the state of an endpoint for operators.
    pub fn health(&self, endpoint: EndpointId) -> Option<Health> {
        let state = self.endpoints.get(&endpoint)?;
        Some(Health {
            breaker: state.breaker.name(),
            failing_since: state.breaker.failing_since(),
            in_flight: state.in_flight,
        })
    }

    /// Processes an input and begins the attempts that have become possible.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::EndpointChanged(id, plan) => self.on_endpoint_changed(now, id, plan),
            Input::EndpointRemoved(id) => self.on_endpoint_removed(id),
            Input::MessagePending(message) => self.load(now, message),
            Input::Stored(id, due) => {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.note_stored(due);
                }
                self.refill(now, id);
            }
            Input::Fetched(id, messages, next) => self.on_fetched(now, id, messages, next),
            Input::AttemptEnded(seq, report) => self.on_attempt_ended(now, seq, report),
            Input::MessageRemoved(seq) => self.on_message_removed(now, seq),
            Input::Tick => self.on_tick(now),
            Input::Stop => self.stopped = true,
        }
        self.begin_attempts(now);
    }

    fn on_fetched(
        &mut self,
        now: Micros,
        id: EndpointId,
        messages: Vec<PendingMessage>,
        next: Option<Micros>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.fetching = false;
        let changed = std::mem::take(&mut endpoint.changed_while_fetching);
        for message in messages {
            if !changed.contains(&message.seq) {
                self.load(now, message);
            }
        }
        if let (Some(endpoint), Some(next)) = (self.endpoints.get_mut(&id), next) {
            endpoint.note_stored(next);
        }
        self.refill(now, id);
    }

    fn on_message_removed(&mut self, now: Micros, seq: Seq) {
        let Some((message, state)) = self.unload(seq) else {
            return;
        };
        if matches!(state, LoadedState::InFlight(_)) {
            self.attempt_slot_freed(now, message.endpoint);
        }
    }

    fn on_tick(&mut self, now: Micros) {
        let mut due = Vec::new();
        self.timers.expire(now, &mut due);
        for (_, purpose) in due {
            match purpose {
                TimerPurpose::Message(seq) => self.queue_due_message(seq),
                TimerPurpose::Recheck(id) => self.recheck(now, id),
            }
        }
    }

    fn recheck(&mut self, now: Micros, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.recheck = None;
            self.endpoint_queue.enqueue(endpoint.settings.tenant, id);
        }
        self.refill(now, id);
    }

    fn on_endpoint_changed(&mut self, now: Micros, id: EndpointId, plan: EndpointSettings) {
        let endpoint = self
            .endpoints
            .entry(id)
            .or_insert_with(|| EndpointState::new(plan.clone(), now));
        let burst = plan.per_s.max(1.0);
        match &mut endpoint.bucket {
            _ if plan.per_s <= 0.0 => endpoint.bucket = None,
            Some(bucket) => bucket.change(plan.per_s, burst),
            none => *none = Some(TokenBucket::new(plan.per_s, burst, now)),
        }
        // An endpoint that an operator enables again is presumed to be repaired.
        if plan.enabled == Enabled::Yes && endpoint.settings.enabled != Enabled::Yes {
            endpoint.breaker = CircuitBreaker::default();
        }
        endpoint.settings = plan;
        if endpoint.settings.enabled == Enabled::Yes {
            self.endpoint_queue.enqueue(endpoint.settings.tenant, id);
            self.refill(now, id);
        } else {
            self.unload_endpoint(id);
        }
    }

    fn on_endpoint_removed(&mut self, id: EndpointId) {
        self.unload_endpoint(id);
        let Some(endpoint) = self.endpoints.remove(&id) else {
            return;
        };
        if let Some((_, timer)) = endpoint.recheck {
            self.timers.cancel(timer);
        }
        // Attempts in flight run to their end. Their outcome is stored and has no other effect.
        self.outputs.push_back(Output::Purge(id));
    }
}

#[cfg(test)]
mod tests;
