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
const SHARD_AT: u32 = 52;
const EPOCH_AT: u32 = 32;

impl Seq {
    /// One of a shard, given under an epoch; numbers of one epoch are given by one process.
    pub fn of_shard(shard: u16, epoch: u64, number: u32) -> Seq {
        Seq(u64::from(shard) << SHARD_AT | (epoch & 0xf_ffff) << EPOCH_AT | u64::from(number))
    }

    /// The shard whose it is; 0 if it is this gateway's alone.
    pub fn shard(self) -> u16 {
        (self.0 >> SHARD_AT) as u16
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
pub struct Plan {
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
pub struct Caps {
    /// Attempts out at once, over all endpoints.
    pub out: u32,
    /// Messages of one endpoint known here that are due.
    pub ready: usize,
    /// Messages known here in all.
    pub loaded: usize,
    /// How far ahead messages are known here.
    pub soon: Micros,
    /// An endpoint that has only failed for so long is switched off.
    pub disable_after: Micros,
}

impl Default for Caps {
    fn default() -> Caps {
        let day = 86_400_000_000;
        Caps {
            out: 64,
            ready: 64,
            loaded: 4096,
            soon: 60_000_000,
            disable_after: 5 * day,
        }
    }
}

/// What happens to delivery.
#[derive(Debug)]
pub enum Input {
    /// An endpoint is new or has changed.
    Endpoint(EndpointId, Plan),
    /// An endpoint is there no more.
    Removed(EndpointId),
    /// A message is in the store and waits.
    Waits(Waiting),
    /// The store holds messages of an endpoint, the first due at this time.
    Stored(EndpointId, Micros),
    /// What was asked for by [`Output::Fetch`]: the first that wait, and when the next one after them is due.
    Fetched(EndpointId, Vec<Waiting>, Option<Micros>),
    /// An attempt has ended.
    Ended(Seq, Report),
    /// A message is not in the store any more, or not waiting there.
    Gone(Seq),
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
    Keep {
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
    Disabled(EndpointId, &'static str),
    /// All that still waits for a removed endpoint is over.
    Purge(EndpointId),
}

#[derive(Debug)]
enum Place {
    Ready,
    Later(Timer),
    /// Sent at this time.
    Out(Micros),
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Message(Seq),
    Look(EndpointId),
}

#[derive(Debug)]
struct Endpoint {
    plan: Plan,
    breaker: Breaker,
    bucket: Option<Bucket>,
    budget: Budget,
    /// First attempts and repeats that are due, in their order.
    fresh: VecDeque<Seq>,
    again: VecDeque<Seq>,
    out: u32,
    /// All of its messages known here.
    held: BTreeSet<Seq>,
    /// When the first message that only the store knows is due.
    stored: Option<Micros>,
    fetching: bool,
    /// Messages that changed while they were being fetched: what is fetched of them is old.
    changed: HashSet<Seq>,
    look: Option<(Micros, Timer)>,
}

impl Endpoint {
    fn ready(&self) -> usize {
        self.fresh.len() + self.again.len()
    }

    fn in_store(&mut self, due: Micros) {
        self.stored = Some(self.stored.map_or(due, |s| s.min(due)));
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
    caps: Caps,
    seed: u64,
    endpoints: HashMap<EndpointId, Endpoint>,
    turns: FairQueue<u64, EndpointId>,
    wheel: TimingWheel<Due>,
    loaded: HashMap<Seq, (Waiting, Place)>,
    out: u32,
    stopped: bool,
    outputs: VecDeque<Output>,
}

/// How long a message waits that could not leave for a reason of this side's own.
const VOID_PAUSE: Micros = 1_000_000;
/// Bytes of a message that cost as much as a message.
const COST: u32 = 4096;

impl Delivery {
    /// Nothing known, nothing waiting. The seed makes the jitter.
    pub fn new(caps: Caps, seed: u64, now: Micros) -> Delivery {
        Delivery {
            caps,
            seed,
            endpoints: HashMap::new(),
            turns: FairQueue::default(),
            wheel: TimingWheel::new(now),
            loaded: HashMap::new(),
            out: 0,
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
        self.wheel.next()
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
        self.out
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
            in_flight: e.out,
        })
    }

    /// Takes what has happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Endpoint(id, plan) => self.endpoint(now, id, plan),
            Input::Removed(id) => self.removed(id),
            Input::Waits(message) => self.load(now, message),
            Input::Stored(id, due) => {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.in_store(due);
                }
                self.refill(now, id);
            }
            Input::Fetched(id, messages, next) => {
                let Some(e) = self.endpoints.get_mut(&id) else {
                    return;
                };
                e.fetching = false;
                let changed = std::mem::take(&mut e.changed);
                for message in messages.into_iter().filter(|m| !changed.contains(&m.seq)) {
                    self.load(now, message);
                }
                if let (Some(e), Some(next)) = (self.endpoints.get_mut(&id), next) {
                    e.in_store(next);
                }
                self.refill(now, id);
            }
            Input::Ended(seq, report) => self.ended(now, seq, report),
            Input::Gone(seq) => {
                if let Some((message, place)) = self.take(seq) {
                    if matches!(place, Place::Out(_)) {
                        self.back(now, message.endpoint);
                    }
                }
            }
            Input::Tick => {
                let mut due = Vec::new();
                self.wheel.expire(now, &mut due);
                for (_, what) in due {
                    match what {
                        Due::Message(seq) => self.fell_due(seq),
                        Due::Look(id) => {
                            if let Some(e) = self.endpoints.get_mut(&id) {
                                e.look = None;
                                self.turns.join(e.plan.tenant, id);
                            }
                            self.refill(now, id);
                        }
                    }
                }
            }
            Input::Stop => self.stopped = true,
        }
        self.send(now);
    }

    fn endpoint(&mut self, now: Micros, id: EndpointId, plan: Plan) {
        let e = self.endpoints.entry(id).or_insert_with(|| Endpoint {
            plan: plan.clone(),
            breaker: Breaker::default(),
            bucket: None,
            budget: Budget::new(now),
            fresh: VecDeque::new(),
            again: VecDeque::new(),
            out: 0,
            held: BTreeSet::new(),
            stored: None,
            fetching: false,
            changed: HashSet::new(),
            look: None,
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
            self.turns.join(e.plan.tenant, id);
            self.refill(now, id);
        } else {
            self.leave(id);
        }
    }

    /// Leaves what waits for an endpoint to the store.
    fn leave(&mut self, id: EndpointId) {
        let Some(e) = self.endpoints.get(&id) else {
            return;
        };
        for seq in e.held.clone() {
            if let Some((_, Place::Out(_))) = self.loaded.get(&seq) {
                continue;
            }
            if let Some((message, _)) = self.take(seq) {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.in_store(message.due);
                }
            }
        }
    }

    fn removed(&mut self, id: EndpointId) {
        self.leave(id);
        let Some(e) = self.endpoints.remove(&id) else {
            return;
        };
        if let Some((_, timer)) = e.look {
            self.wheel.cancel(timer);
        }
        // What is out ends by itself; its end is kept, and nothing follows from it.
        self.outputs.push_back(Output::Purge(id));
    }

    /// Takes a message out of what is known here.
    fn take(&mut self, seq: Seq) -> Option<(Waiting, Place)> {
        let (message, place) = self.loaded.remove(&seq)?;
        if let Some(e) = self.endpoints.get_mut(&message.endpoint) {
            e.held.remove(&seq);
            match place {
                Place::Ready => {
                    e.fresh.retain(|s| *s != seq);
                    e.again.retain(|s| *s != seq);
                }
                Place::Later(timer) => {
                    self.wheel.cancel(timer);
                }
                Place::Out(_) => {
                    e.out = e.out.saturating_sub(1);
                    self.out -= 1;
                }
            }
        } else if matches!(place, Place::Out(_)) {
            self.out -= 1;
        }
        Some((message, place))
    }

    /// Takes a message in, or leaves it to the store.
    fn load(&mut self, now: Micros, message: Waiting) {
        if self.loaded.contains_key(&message.seq) {
            return;
        }
        let full = self.loaded.len() >= self.caps.loaded;
        let Some(e) = self.endpoints.get_mut(&message.endpoint) else {
            let state = State::Dead(Dead::Gone);
            return self.outputs.push_back(Output::Keep {
                message,
                state,
                attempt: None,
            });
        };
        let due = message.due <= now;
        // One that has always some places, however many others wait: no endpoint starves for room here.
        let room = !full || e.held.len() < 4;
        let fits = room
            && if due {
                e.ready() < self.caps.ready
            } else {
                message.due - now <= self.caps.soon
            };
        // What is due stands behind what the store holds of before.
        let behind = due && e.stored.is_some_and(|s| s <= message.due);
        if e.plan.enabled != Enabled::Yes || !fits || behind {
            e.in_store(message.due);
            return self.refill(now, message.endpoint);
        }
        e.held.insert(message.seq);
        let place = if due {
            Place::Ready
        } else {
            Place::Later(self.wheel.insert(message.due, Due::Message(message.seq)))
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
        *place = Place::Ready;
        let Some(e) = self.endpoints.get_mut(&message.endpoint) else {
            return;
        };
        let queue = if message.tries == 0 {
            &mut e.fresh
        } else {
            &mut e.again
        };
        queue.push_back(seq);
        self.turns.join(e.plan.tenant, message.endpoint);
    }

    /// Has more of an endpoint's messages fetched when those known here run low.
    fn refill(&mut self, now: Micros, id: EndpointId) {
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Some(stored) = e.stored else { return };
        if e.fetching || e.plan.enabled != Enabled::Yes || e.ready() > self.caps.ready / 2 {
            return;
        }
        if self.loaded.len() >= self.caps.loaded && e.held.len() >= 4 {
            // What is fetched would find no room; others' messages make some as they end.
            self.look_again(id, now.max(stored) + VOID_PAUSE);
        } else if stored <= now {
            (e.fetching, e.stored) = (true, None);
            self.outputs
                .push_back(Output::Fetch(id, self.caps.ready + e.held.len()));
        } else {
            self.look_again(id, stored);
        }
    }

    fn look_again(&mut self, id: EndpointId, at: Micros) {
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        if let Some((old, timer)) = e.look {
            if old <= at {
                return;
            }
            self.wheel.cancel(timer);
        }
        e.look = Some((at, self.wheel.insert(at, Due::Look(id))));
    }

    /// Begins attempts, in fair turns, as long as there is room.
    fn send(&mut self, now: Micros) {
        while !self.stopped && self.out < self.caps.out {
            let (endpoints, loaded) = (&mut self.endpoints, &self.loaded);
            let mut looks = Vec::new();
            let chosen = self.turns.next(|id| {
                let e = endpoints.get_mut(&id)?;
                match next_of(e, now) {
                    Ok(seq) => loaded.get(&seq).map(|(m, _)| 1 + m.size / COST),
                    Err(at) => {
                        looks.extend(at.map(|at| (id, at)));
                        None
                    }
                }
            });
            looks
                .into_iter()
                .for_each(|(id, at)| self.look_again(id, at));
            let Some(id) = chosen else { return };
            self.begin(now, id);
            self.refill(now, id);
        }
    }

    fn begin(&mut self, now: Micros, id: EndpointId) {
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Ok(seq) = next_of(e, now) else { return };
        let Some((message, place)) = self.loaded.get_mut(&seq) else {
            return;
        };
        if e.fresh.front() == Some(&seq) {
            e.fresh.pop_front();
        } else {
            e.again.pop_front();
        }
        if !permitted_after(message.effect, message.ran, now, 0).retry {
            // The time within which a repeat is harmless passed while it waited.
            let message = *message;
            self.take(seq);
            return self.over(message, State::Dead(Dead::Unknown), None);
        }
        e.breaker.sent(now);
        if let Some(bucket) = &mut e.bucket {
            bucket.take();
        }
        if message.tries > 0 {
            e.budget.take();
        }
        *place = Place::Out(now);
        e.out += 1;
        self.out += 1;
        let recorded = message.effect != Effect::Idempotent;
        self.outputs.push_back(Output::Begin {
            seq,
            endpoint: id,
            recorded,
        });
    }

    fn over(&mut self, message: Waiting, state: State, attempt: Option<Report>) {
        if let Some(e) = self
            .endpoints
            .get_mut(&message.endpoint)
            .filter(|e| e.fetching)
        {
            e.changed.insert(message.seq);
        }
        self.outputs.push_back(Output::Keep {
            message,
            state,
            attempt,
        });
    }

    /// A place at an endpoint is free again.
    fn back(&mut self, now: Micros, id: EndpointId) {
        if let Some(e) = self.endpoints.get(&id) {
            self.turns.join(e.plan.tenant, id);
        }
        self.refill(now, id);
    }

    fn ended(&mut self, now: Micros, seq: Seq, report: Report) {
        let Some((_, Place::Out(sent))) = self.loaded.get(&seq) else {
            return;
        };
        let sent = *sent;
        let Some((mut message, _)) = self.take(seq) else {
            return;
        };
        let id = message.endpoint;
        let disable_after = self.caps.disable_after;
        let meaning = report.meaning();
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
                ResponseClass::Void => e.breaker.proved_nothing(now),
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
                message.due = now + VOID_PAUSE;
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
        self.over(message, state, attempt);
        if let Some(why) = off {
            if let Some(e) = self
                .endpoints
                .get_mut(&id)
                .filter(|e| e.plan.enabled == Enabled::Yes)
            {
                e.plan.enabled = Enabled::ByFailure;
                self.outputs.push_back(Output::Disabled(id, why));
                self.leave(id);
            }
        }
        if state == State::Waiting {
            self.load(now, message);
        }
        self.back(now, id);
    }
}

/// The message of an endpoint that may go now; else when it may be, if it is time alone that it waits for.
fn next_of(e: &mut Endpoint, now: Micros) -> Result<Seq, Option<Micros>> {
    if e.plan.enabled != Enabled::Yes || e.ready() == 0 {
        return Err(None);
    }
    if e.out >= e.breaker.room(now, e.plan.in_flight.max(1)).map_err(Some)? {
        return Err(None);
    }
    if let Some(bucket) = &mut e.bucket {
        bucket.ready(now).map_err(Some)?;
    }
    match (e.again.front(), e.fresh.front()) {
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
