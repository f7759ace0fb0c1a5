//! Delivery: which callback goes to which endpoint, when, and what follows from how it ended.
//!
//! One value without I/O: [`Delivery::handle`] takes an [`Input`] and the time, and leaves [`Output`]s. Messages lie
//! in the store; here is what is known of those due soon, a bounded number of an endpoint's, without their bodies.
//! An endpoint that has more has them fetched when its own run low. Deadlines hang in a [`timing_wheel::TimingWheel`];
//! [`Delivery::next_deadline`] is to hang in the core's one order, and [`Input::Tick`] tells that it fell due.
//!
//! Kept by id: endpoints until [`Input::Removed`]; messages until their end, or until they are left to the store.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::api::{Effect, Micros};
use crate::policy::permitted_after;

pub mod breaker;
pub mod egress;
pub mod fair_queue;
pub mod response;
pub mod schedule;
pub mod timing_wheel;

use breaker::{Breaker, Bucket, Budget};
use fair_queue::FairQueue;
use response::{Dead, Report, ResponseClass, State};
use schedule::Schedule;
use timing_wheel::{Timer, TimingWheel};

/// Names an endpoint; never given again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

/// Names a message or a call in the store, in the order in which they were made; never given again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seq(pub u64);

/// Where the shard stands in a number, and the epoch in which it was given.
const SHARD_SHIFT: u32 = 52;
const EPOCH_SHIFT: u32 = 32;

impl Seq {
    /// One of a shard, given under an epoch; numbers of one epoch are given by one process.
    pub fn of_shard(shard: u16, epoch: u64, number: u32) -> Seq {
        Seq(u64::from(shard) << SHARD_SHIFT | (epoch & 0xf_ffff) << EPOCH_SHIFT | u64::from(number))
    }

    /// The shard whose it is; 0 if it is this gateway's alone.
    pub fn shard(self) -> u16 {
        (self.0 >> SHARD_SHIFT) as u16
    }
}

/// What is known of a message that waits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    /// Which.
    pub seq: Seq,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// When its next attempt is due.
    pub due: Micros,
    /// What sending it twice does.
    pub effect: Effect,
    /// When the first attempt that may have arrived was sent.
    pub ran: Option<Micros>,
    /// Attempts so far.
    pub tries: u32,
    /// Bytes of its body.
    pub size: u32,
}

/// Whether an endpoint is sent anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enabled {
    /// It is.
    #[default]
    Yes,
    /// An operator switched it off; its messages wait.
    ByHand,
    /// It was switched off because it said 410 or failed for too long; its messages wait.
    ByFailure,
}

/// What delivery is told of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPlan {
    /// Whose it is.
    pub tenant: u64,
    /// Whether it is sent anything.
    pub enabled: Enabled,
    /// Attempts a second at most; 0 for no such limit.
    pub per_s: f64,
    /// Attempts out at once at most.
    pub in_flight: u32,
    /// When a message is tried again.
    pub schedule: Schedule,
}

/// What delivery may hold and do at once.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts out at once, over all endpoints.
    pub max_in_flight: u32,
    /// Messages of one endpoint known here that are due.
    pub max_ready_per_endpoint: usize,
    /// Messages known here in all.
    pub max_loaded: usize,
    /// How far ahead messages are known here.
    pub load_horizon: Micros,
    /// An endpoint that has only failed for so long is switched off.
    pub disable_after: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        let day = 86_400_000_000;
        Limits {
            max_in_flight: 64,
            max_ready_per_endpoint: 64,
            max_loaded: 4096,
            load_horizon: 60_000_000,
            disable_after: 5 * day,
        }
    }
}

/// What happens to delivery.
#[derive(Debug)]
pub enum Input {
    /// An endpoint is new or has changed.
    EndpointChanged(EndpointId, EndpointPlan),
    /// An endpoint is there no more.
    EndpointRemoved(EndpointId),
    /// A message is in the store and waits.
    MessagePending(Waiting),
    /// The store holds messages of an endpoint, the first due at this time.
    Stored(EndpointId, Micros),
    /// What was asked for by [`Output::Fetch`]: the first that wait, and when the next one after them is due.
    Fetched(EndpointId, Vec<Waiting>, Option<Micros>),
    /// An attempt has ended.
    AttemptEnded(Seq, Report),
    /// A message is not in the store any more, or not waiting there.
    MessageRemoved(Seq),
    /// A deadline fell due.
    Tick,
    /// Nothing more is begun.
    Stop,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Begin an attempt. If `recorded`, it is kept that it began before a byte leaves.
    Begin {
        /// Which message.
        seq: Seq,
        /// To whom.
        endpoint: EndpointId,
        /// Whether the class asks that it be recorded first.
        recorded: bool,
    },
    /// Keep where a message stands now.
    Persist {
        /// It, with its next due time, tries and `ran`.
        message: Waiting,
        /// Where it stands.
        state: State,
        /// The attempt that led there; none if there was none.
        attempt: Option<Report>,
    },
    /// Have messages of an endpoint told, so many of the first.
    Fetch(EndpointId, usize),
    /// An endpoint was switched off.
    EndpointDisabled(EndpointId, &'static str),
    /// All that still waits for a removed endpoint is over.
    Purge(EndpointId),
}

#[derive(Debug)]
enum LoadedState {
    Ready,
    Scheduled(Timer),
    /// Sent at this time.
    InFlight(Micros),
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Message(Seq),
    Recheck(EndpointId),
}

#[derive(Debug)]
struct EndpointState {
    plan: EndpointPlan,
    breaker: Breaker,
    bucket: Option<Bucket>,
    budget: Budget,
    /// First attempts and repeats that are due, in their order.
    first_attempts: VecDeque<Seq>,
    retries: VecDeque<Seq>,
    in_flight: u32,
    /// All of its messages known here.
    loaded: BTreeSet<Seq>,
    /// When the first message that only the store knows is due.
    next_stored_at: Option<Micros>,
    fetching: bool,
    /// Messages that changed while they were being fetched: what is fetched of them is old.
    changed_while_fetching: HashSet<Seq>,
    recheck: Option<(Micros, Timer)>,
}

impl EndpointState {
    fn ready(&self) -> usize {
        self.first_attempts.len() + self.retries.len()
    }

    fn note_stored(&mut self, due: Micros) {
        self.next_stored_at = Some(self.next_stored_at.map_or(due, |s| s.min(due)));
    }
}

/// What can be seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Health {
    /// The breaker's state.
    pub breaker: &'static str,
    /// Since when it has only failed, Unix microseconds.
    pub failing_since: Option<Micros>,
    /// Attempts that are out.
    pub in_flight: u32,
}

/// All deliveries.
#[derive(Debug)]
pub struct Delivery {
    limits: Limits,
    seed: u64,
    endpoints: HashMap<EndpointId, EndpointState>,
    endpoint_queue: FairQueue<u64, EndpointId>,
    timers: TimingWheel<Due>,
    loaded: HashMap<Seq, (Waiting, LoadedState)>,
    in_flight: u32,
    stopped: bool,
    outputs: VecDeque<Output>,
}

/// How long a message waits that could not leave for a reason of this side's own.
const VOID_ATTEMPT_PAUSE: Micros = 1_000_000;
/// Bytes of a message that cost as much as a message.
const BYTES_PER_COST_UNIT: u32 = 4096;

impl Delivery {
    /// Nothing known, nothing waiting. The seed makes the jitter.
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

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Tick`] is next to be given.
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.stopped {
            return None;
        }
        self.timers.next_deadline()
    }

    /// Messages of a shard that are known here.
    pub fn of_shard(&self, shard: u16) -> Vec<Seq> {
        self.loaded
            .keys()
            .filter(|s| s.shard() == shard)
            .copied()
            .collect()
    }

    /// Attempts that are out.
    pub fn out(&self) -> u32 {
        self.in_flight
    }

    /// Messages known here.
    pub fn loaded(&self) -> usize {
        self.loaded.len()
    }

    /// What can be seen of an endpoint.
    pub fn health(&self, endpoint: EndpointId) -> Option<Health> {
        let e = self.endpoints.get(&endpoint)?;
        let failing_since = e.breaker.failing_since();
        Some(Health {
            breaker: e.breaker.name(),
            failing_since,
            in_flight: e.in_flight,
        })
    }

    /// Takes what has happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::EndpointChanged(id, plan) => self.on_endpoint_changed(now, id, plan),
            Input::EndpointRemoved(id) => self.on_endpoint_removed(id),
            Input::MessagePending(message) => self.load(now, message),
            Input::Stored(id, due) => {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.note_stored(due);
                }
                self.refill(now, id);
            }
            Input::Fetched(id, messages, next) => {
                let Some(e) = self.endpoints.get_mut(&id) else {
                    return;
                };
                e.fetching = false;
                let changed = std::mem::take(&mut e.changed_while_fetching);
                for message in messages.into_iter().filter(|m| !changed.contains(&m.seq)) {
                    self.load(now, message);
                }
                if let (Some(e), Some(next)) = (self.endpoints.get_mut(&id), next) {
                    e.note_stored(next);
                }
                self.refill(now, id);
            }
            Input::AttemptEnded(seq, report) => self.on_attempt_ended(now, seq, report),
            Input::MessageRemoved(seq) => {
                if let Some((message, place)) = self.unload(seq) {
                    if matches!(place, LoadedState::InFlight(_)) {
                        self.attempt_slot_freed(now, message.endpoint);
                    }
                }
            }
            Input::Tick => {
                let mut due = Vec::new();
                self.timers.expire(now, &mut due);
                for (_, what) in due {
                    match what {
                        Due::Message(seq) => self.fell_due(seq),
                        Due::Recheck(id) => {
                            if let Some(e) = self.endpoints.get_mut(&id) {
                                e.recheck = None;
                                self.endpoint_queue.join(e.plan.tenant, id);
                            }
                            self.refill(now, id);
                        }
                    }
                }
            }
            Input::Stop => self.stopped = true,
        }
        self.begin_attempts(now);
    }

    fn on_endpoint_changed(&mut self, now: Micros, id: EndpointId, plan: EndpointPlan) {
        let e = self.endpoints.entry(id).or_insert_with(|| EndpointState {
            plan: plan.clone(),
            breaker: Breaker::default(),
            bucket: None,
            budget: Budget::new(now),
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
            in_flight: 0,
            loaded: BTreeSet::new(),
            next_stored_at: None,
            fetching: false,
            changed_while_fetching: HashSet::new(),
            recheck: None,
        });
        let burst = plan.per_s.max(1.0);
        match &mut e.bucket {
            _ if plan.per_s <= 0.0 => e.bucket = None,
            Some(bucket) => bucket.change(plan.per_s, burst),
            none => *none = Some(Bucket::new(plan.per_s, burst, now)),
        }
        // Switched on again by hand: what made it fail is thought to be mended.
        if plan.enabled == Enabled::Yes && e.plan.enabled != Enabled::Yes {
            e.breaker = Breaker::default();
        }
        e.plan = plan;
        if e.plan.enabled == Enabled::Yes {
            self.endpoint_queue.join(e.plan.tenant, id);
            self.refill(now, id);
        } else {
            self.unload_endpoint(id);
        }
    }

    /// Leaves what waits for an endpoint to the store.
    fn unload_endpoint(&mut self, id: EndpointId) {
        let Some(e) = self.endpoints.get(&id) else {
            return;
        };
        for seq in e.loaded.clone() {
            if let Some((_, LoadedState::InFlight(_))) = self.loaded.get(&seq) {
                continue;
            }
            if let Some((message, _)) = self.unload(seq) {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.note_stored(message.due);
                }
            }
        }
    }

    fn on_endpoint_removed(&mut self, id: EndpointId) {
        self.unload_endpoint(id);
        let Some(e) = self.endpoints.remove(&id) else {
            return;
        };
        if let Some((_, timer)) = e.recheck {
            self.timers.cancel(timer);
        }
        // What is out ends by itself; its end is kept, and nothing follows from it.
        self.outputs.push_back(Output::Purge(id));
    }

    /// Takes a message out of what is known here.
    fn unload(&mut self, seq: Seq) -> Option<(Waiting, LoadedState)> {
        let (message, place) = self.loaded.remove(&seq)?;
        if let Some(e) = self.endpoints.get_mut(&message.endpoint) {
            e.loaded.remove(&seq);
            match place {
                LoadedState::Ready => {
                    e.first_attempts.retain(|s| *s != seq);
                    e.retries.retain(|s| *s != seq);
                }
                LoadedState::Scheduled(timer) => {
                    self.timers.cancel(timer);
                }
                LoadedState::InFlight(_) => {
                    e.in_flight = e.in_flight.saturating_sub(1);
                    self.in_flight -= 1;
                }
            }
        } else if matches!(place, LoadedState::InFlight(_)) {
            self.in_flight -= 1;
        }
        Some((message, place))
    }

    /// Takes a message in, or leaves it to the store.
    fn load(&mut self, now: Micros, message: Waiting) {
        if self.loaded.contains_key(&message.seq) {
            return;
        }
        let full = self.loaded.len() >= self.limits.max_loaded;
        let Some(e) = self.endpoints.get_mut(&message.endpoint) else {
            let state = State::Dead(Dead::Gone);
            return self.outputs.push_back(Output::Persist {
                message,
                state,
                attempt: None,
            });
        };
        let due = message.due <= now;
        // One that has always some places, however many others wait: no endpoint starves for room here.
        let room = !full || e.loaded.len() < 4;
        let fits = room
            && if due {
                e.ready() < self.limits.max_ready_per_endpoint
            } else {
                message.due - now <= self.limits.load_horizon
            };
        // What is due stands behind what the store holds of before.
        let behind = due && e.next_stored_at.is_some_and(|s| s <= message.due);
        if e.plan.enabled != Enabled::Yes || !fits || behind {
            e.note_stored(message.due);
            return self.refill(now, message.endpoint);
        }
        e.loaded.insert(message.seq);
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

    fn fell_due(&mut self, seq: Seq) {
        let Some((message, place)) = self.loaded.get_mut(&seq) else {
            return;
        };
        *place = LoadedState::Ready;
        let Some(e) = self.endpoints.get_mut(&message.endpoint) else {
            return;
        };
        let queue = if message.tries == 0 {
            &mut e.first_attempts
        } else {
            &mut e.retries
        };
        queue.push_back(seq);
        self.endpoint_queue.join(e.plan.tenant, message.endpoint);
    }

    /// Has more of an endpoint's messages fetched when those known here run low.
    fn refill(&mut self, now: Micros, id: EndpointId) {
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Some(stored) = e.next_stored_at else { return };
        if e.fetching || e.plan.enabled != Enabled::Yes || e.ready() > self.limits.max_ready_per_endpoint / 2 {
            return;
        }
        if self.loaded.len() >= self.limits.max_loaded && e.loaded.len() >= 4 {
            // What is fetched would find no room; others' messages make some as they end.
            self.recheck_at(id, now.max(stored) + VOID_ATTEMPT_PAUSE);
        } else if stored <= now {
            (e.fetching, e.next_stored_at) = (true, None);
            self.outputs
                .push_back(Output::Fetch(id, self.limits.max_ready_per_endpoint + e.loaded.len()));
        } else {
            self.recheck_at(id, stored);
        }
    }

    fn recheck_at(&mut self, id: EndpointId, at: Micros) {
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        if let Some((old, timer)) = e.recheck {
            if old <= at {
                return;
            }
            self.timers.cancel(timer);
        }
        e.recheck = Some((at, self.timers.insert(at, Due::Recheck(id))));
    }

    /// Begins attempts, in fair turns, as long as there is room.
    fn begin_attempts(&mut self, now: Micros) {
        while !self.stopped && self.in_flight < self.limits.max_in_flight {
            let (endpoints, loaded) = (&mut self.endpoints, &self.loaded);
            let mut looks = Vec::new();
            let chosen = self.endpoint_queue.next(|id| {
                let e = endpoints.get_mut(&id)?;
                match next_message(e, now) {
                    Ok(seq) => loaded.get(&seq).map(|(m, _)| 1 + m.size / BYTES_PER_COST_UNIT),
                    Err(at) => {
                        looks.extend(at.map(|at| (id, at)));
                        None
                    }
                }
            });
            looks
                .into_iter()
                .for_each(|(id, at)| self.recheck_at(id, at));
            let Some(id) = chosen else { return };
            self.begin_attempt(now, id);
            self.refill(now, id);
        }
    }

    fn begin_attempt(&mut self, now: Micros, id: EndpointId) {
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Ok(seq) = next_message(e, now) else { return };
        let Some((message, place)) = self.loaded.get_mut(&seq) else {
            return;
        };
        if e.first_attempts.front() == Some(&seq) {
            e.first_attempts.pop_front();
        } else {
            e.retries.pop_front();
        }
        if !permitted_after(message.effect, message.ran, now, 0).retry {
            // The time within which a repeat is harmless passed while it waited.
            let message = *message;
            self.unload(seq);
            return self.persist(message, State::Dead(Dead::Unknown), None);
        }
        e.breaker.sent(now);
        if let Some(bucket) = &mut e.bucket {
            bucket.take();
        }
        if message.tries > 0 {
            e.budget.take();
        }
        *place = LoadedState::InFlight(now);
        e.in_flight += 1;
        self.in_flight += 1;
        let recorded = message.effect != Effect::Idempotent;
        self.outputs.push_back(Output::Begin {
            seq,
            endpoint: id,
            recorded,
        });
    }

    fn persist(&mut self, message: Waiting, state: State, attempt: Option<Report>) {
        if let Some(e) = self
            .endpoints
            .get_mut(&message.endpoint)
            .filter(|e| e.fetching)
        {
            e.changed_while_fetching.insert(message.seq);
        }
        self.outputs.push_back(Output::Persist {
            message,
            state,
            attempt,
        });
    }

    /// A place at an endpoint is free again.
    fn attempt_slot_freed(&mut self, now: Micros, id: EndpointId) {
        if let Some(e) = self.endpoints.get(&id) {
            self.endpoint_queue.join(e.plan.tenant, id);
        }
        self.refill(now, id);
    }

    fn on_attempt_ended(&mut self, now: Micros, seq: Seq, report: Report) {
        let Some((_, LoadedState::InFlight(sent))) = self.loaded.get(&seq) else {
            return;
        };
        let sent = *sent;
        let Some((mut message, _)) = self.unload(seq) else {
            return;
        };
        let id = message.endpoint;
        let disable_after = self.limits.disable_after;
        let meaning = report.class();
        let mut off = None;
        if let Some(e) = self.endpoints.get_mut(&id) {
            match meaning {
                ResponseClass::Delivered => {
                    e.breaker.succeeded(e.plan.in_flight);
                    e.budget.earn();
                }
                ResponseClass::Gone => off = Some("gone"),
                ResponseClass::Failed(advice) => {
                    e.breaker.failed(now, advice);
                    if e.breaker
                        .failing_since()
                        .is_some_and(|t| now >= t + disable_after)
                    {
                        off = Some("failing");
                    }
                }
                ResponseClass::Void => e.breaker.attempt_void(now),
            }
        }
        if report.may_have_arrived() && meaning != ResponseClass::Delivered {
            message.ran.get_or_insert(sent);
        }
        let mut attempt = Some(report);
        let known = self.endpoints.get(&id);
        let state = match meaning {
            ResponseClass::Delivered => State::Delivered,
            ResponseClass::Void => {
                attempt = None;
                message.due = now + VOID_ATTEMPT_PAUSE;
                State::Waiting
            }
            _ if !permitted_after(message.effect, message.ran, now, 0).retry => {
                State::Dead(Dead::Unknown)
            }
            ResponseClass::Gone => State::Dead(Dead::Gone),
            ResponseClass::Failed(advice) => match known {
                None => State::Dead(Dead::Gone),
                Some(e) => match e
                    .plan
                    .schedule
                    .pause(message.tries + 1, self.seed ^ seq.0, advice)
                {
                    Some(pause) => {
                        message.due = now + pause;
                        State::Waiting
                    }
                    None => State::Dead(Dead::Exhausted),
                },
            },
        };
        if attempt.is_some() {
            message.tries += 1;
        }
        self.persist(message, state, attempt);
        if let Some(why) = off {
            if let Some(e) = self
                .endpoints
                .get_mut(&id)
                .filter(|e| e.plan.enabled == Enabled::Yes)
            {
                e.plan.enabled = Enabled::ByFailure;
                self.outputs.push_back(Output::EndpointDisabled(id, why));
                self.unload_endpoint(id);
            }
        }
        if state == State::Waiting {
            self.load(now, message);
        }
        self.attempt_slot_freed(now, id);
    }
}

/// The message of an endpoint that may go now; else when it may be, if it is time alone that it waits for.
fn next_message(e: &mut EndpointState, now: Micros) -> Result<Seq, Option<Micros>> {
    if e.plan.enabled != Enabled::Yes || e.ready() == 0 {
        return Err(None);
    }
    if e.in_flight >= e.breaker.attempts_allowed(now, e.plan.in_flight.max(1)).map_err(Some)? {
        return Err(None);
    }
    if let Some(bucket) = &mut e.bucket {
        bucket.ready(now).map_err(Some)?;
    }
    match (e.retries.front(), e.first_attempts.front()) {
        (Some(seq), fresh) => match (e.budget.ready(now), fresh) {
            (Ok(()), _) => Ok(*seq),
            (Err(_), Some(fresh)) => Ok(*fresh),
            (Err(at), None) => Err(Some(at)),
        },
        (None, Some(seq)) => Ok(*seq),
        (None, None) => Err(None),
    }
}

#[cfg(test)]
mod tests;
