//! Bookkeeping of requests, attempts, load orders and health checks in slot maps, with all deadlines in one queue.
//!
//! The core does no I/O. It passes events to the decision module and returns the resulting actions as [`Command`]s for
//! its driver. Every submitted call gets exactly one [`Answer`] unless its client disconnects first.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use slotmap::{new_key_type, KeyData, SlotMap};

use crate::api::{Action, ClassId, Effect, Event, Micros, RequestId, Settings};
use crate::completion::CloseReason;
use crate::counters::{Counters, FinalAnswerCounts};
use crate::policy::Policy;

mod actions;
mod attempts;
mod command;
mod deadlines;
mod evidence;
mod health_checks;
mod idempotency_key;
mod load_orders;
mod requests;

use attempts::Attempt;
pub use attempts::AttemptCompletion;
pub use command::{Answer, AttemptDispatch, AttemptReply, Call, Command};
pub use deadlines::ExternalDeadline;
use deadlines::{Deadline, DeadlineQueue};
pub use evidence::EvidenceView;
use health_checks::HealthCheck;
pub use idempotency_key::{IdempotencyKey, InvalidIdempotencyKey, MAX_IDEMPOTENCY_KEY_BYTES};
use load_orders::{LoadOrder, DEFAULT_LOAD_ORDER_TIMEOUT};
use requests::Request;

new_key_type! {
    /// The key of a request's slot. Keys of removed entries match no entry.
    pub struct RequestKey;
    /// The key of an attempt's slot.
    pub struct AttemptKey;
    /// The key of a load order's slot.
    pub struct LoadOrderKey;
    /// The key of a health check's slot.
    pub struct HealthCheckKey;
}

/// Formats a function id for log lines in the hexadecimal form that the wire protocols use.
struct HexFunctionId(u64);

impl std::fmt::Display for HexFunctionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The decision module together with all requests, attempts, load orders and health checks in flight.
#[derive(Debug)]
pub struct Core<O> {
    policy: Policy,
    answer_grace: Micros,
    load_order_timeout: Micros,
    /// The effect of repeating a request, indexed by class.
    effects: Vec<Effect>,
    requests: SlotMap<RequestKey, Request<O>>,
    /// The number of `requests` without a final answer.
    unanswered_requests: usize,
    /// The size of the bodies of all `requests`.
    body_bytes: usize,
    keys_by_id: HashMap<RequestId, RequestKey>,
    /// The identities of all requests in `requests`.
    open_identities: HashSet<Rc<str>>,
    attempts: SlotMap<AttemptKey, Attempt>,
    load_orders: SlotMap<LoadOrderKey, LoadOrder>,
    health_checks: SlotMap<HealthCheckKey, HealthCheck>,
    deadlines: DeadlineQueue,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command<O>>,
    /// The time of the last event that the module has handled since it last decided on the pending requests; `None` if
    /// there is no such event.
    undecided_since: Option<Micros>,
    last_request_id: u32,
    /// Counts of requests, attempts and connections.
    pub counters: Counters,
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Creates a core without workers or requests.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Core<O> {
        let answer_grace = settings.answer_grace;
        let load_order_timeout = match settings.load_order_timeout {
            0 => DEFAULT_LOAD_ORDER_TIMEOUT,
            stated => stated,
        };
        let effects: Vec<Effect> = settings.classes.iter().map(|class| class.effect).collect();
        let counters = Counters {
            answers_by_class: vec![FinalAnswerCounts::default(); effects.len()],
            ..Counters::default()
        };
        Core {
            policy: Policy::new(settings, seed, now),
            answer_grace,
            load_order_timeout,
            effects,
            requests: SlotMap::with_key(),
            unanswered_requests: 0,
            body_bytes: 0,
            keys_by_id: HashMap::new(),
            open_identities: HashSet::new(),
            attempts: SlotMap::with_key(),
            load_orders: SlotMap::with_key(),
            health_checks: SlotMap::with_key(),
            deadlines: DeadlineQueue::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            undecided_since: None,
            last_request_id: 0,
            counters,
        }
    }

    /// Returns the number of workers that are ready and considered healthy.
    pub fn available_workers(&self) -> usize {
        self.policy.healthy_workers()
    }

    /// Returns the number of functions that the decision module remembers.
    pub fn function_count(&self) -> usize {
        self.policy.function_count()
    }

    /// Returns the highest observed rate at which an average worker served this gateway, in answers per microsecond.
    pub fn observed_capacity(&self) -> f64 {
        self.policy.observed_capacity()
    }

    /// Returns the effect of repeating a request of a class that has an idempotency key where its class requires one.
    fn class_effect(&self, class: ClassId) -> Effect {
        self.effects
            .get(usize::from(class.0))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the next command for the driver. The module decides on pending requests only when the command queue is
    /// empty, so that it examines them once for all events of one turn of the event loop.
    pub fn next_command(&mut self) -> Option<Command<O>> {
        if self.commands.is_empty() {
            self.decide();
        }
        self.commands.pop_front()
    }

    /// Returns the time at which [`Core::tick`] must next be called.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.next_at()
    }

    /// Adds a deadline of the driver to the queue.
    pub fn schedule(&mut self, at: Micros, deadline: ExternalDeadline) {
        self.deadlines.insert(at, Deadline::External(deadline));
    }

    /// Removes a deadline of the driver from the queue.
    pub fn unschedule(&mut self, at: Micros, deadline: ExternalDeadline) {
        self.deadlines.remove(at, Deadline::External(deadline));
    }

    /// Handles all expired deadlines of the core and appends those of the driver to `external`.
    pub fn tick(&mut self, now: Micros, external: &mut Vec<ExternalDeadline>) {
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Wake(token) => self.handle_event(now, Event::Wake { token }),
                Deadline::Attempt(number) => self.commands.push_back(Command::Cancel {
                    attempt: AttemptKey::from(KeyData::from_ffi(number)),
                    reason: CloseReason::TimedOut,
                }),
                Deadline::AttemptStart(number) => self.commands.push_back(Command::Withdraw {
                    attempt: AttemptKey::from(KeyData::from_ffi(number)),
                    reason: CloseReason::Withdrawn,
                }),
                Deadline::Request(number) => {
                    self.request_overdue(RequestKey::from(KeyData::from_ffi(number)));
                }
                Deadline::LoadOrder(number) => self.commands.push_back(Command::AbandonLoad {
                    order: LoadOrderKey::from(KeyData::from_ffi(number)),
                }),
                Deadline::HealthCheck(number) => {
                    self.commands.push_back(Command::AbandonHealthCheck {
                        check: HealthCheckKey::from(KeyData::from_ffi(number)),
                    });
                }
                Deadline::External(deadline) => external.push(deadline),
            }
        }
    }
}

#[cfg(test)]
mod tests;
