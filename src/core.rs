//! The core: requests, attempts and orders in numbered slots, every deadline in one ordered structure.
//!
//! It knows no wire and no socket. Events come in, go through the decision module, and leave as [`Command`]s.
//! Every call that it takes gets exactly one [`Answer`].

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use slotmap::{new_key_type, Key, KeyData, SlotMap};

use crate::api::*;
use crate::brain::Brain;
use crate::counters::{Counters, Ends, Final};
use crate::ending::{Ending, Left};

new_key_type! {
    /// The slot of a request; a stale key names nothing.
    pub struct RequestKey;
    /// The slot of an attempt.
    pub struct AttemptKey;
    /// The slot of a load order.
    pub struct OrderKey;
    /// The slot of a probe.
    pub struct ProbeKey;
}

/// What falls due at a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(u64),
    Attempt(u64),
    Request(u64),
    Order(u64),
    Probe(u64),
    /// Something of the core's user; handed back as it came.
    Outside(Token),
}

/// A deadline of the core's user: what kind of thing, and which.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// What kind.
    pub kind: u8,
    /// Which.
    pub number: u64,
}

/// A call as a front hands it in.
#[derive(Clone, Debug)]
pub struct Call<O> {
    /// Whose answer it is; handed back with it.
    pub origin: O,
    /// The identity that workers are told.
    pub id: Rc<str>,
    /// What the worker gets.
    pub body: Rc<[u8]>,
    /// What the module is told; the core numbers the request.
    pub arrival: Arrival,
}

impl<O> Call<O> {
    /// The same call with another origin.
    pub fn with<P>(self, origin: P) -> Call<P> {
        let Call { id, body, arrival, .. } = self;
        Call { origin, id, body, arrival }
    }
}

/// The final answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's body.
    Served(Vec<u8>),
    /// Refused: trying again is harmless, after this time.
    Refused {
        /// The module's advice.
        retry_after: Micros,
    },
    /// Failed; promises nothing.
    Failed,
}

/// What the sockets' side is to do.
#[derive(Debug)]
pub enum Command<O> {
    /// Send an attempt.
    Go {
        /// Names it until it has ended.
        attempt: AttemptKey,
        /// To whom.
        worker: WorkerId,
        /// The request's identity.
        id: Rc<str>,
        /// Its class.
        class: ClassId,
        /// The function.
        function: FunctionId,
        /// When the gateway stops waiting.
        expires: Micros,
        /// The payload.
        body: Rc<[u8]>,
    },
    /// An attempt is given up: take it back or tell the worker, and report its ending with how much of it
    /// had left.
    Halt {
        /// Which.
        attempt: AttemptKey,
        /// The ending to report.
        why: Ending,
    },
    /// Send an order to load.
    Stage {
        /// Names it until it has ended.
        order: OrderKey,
        /// To whom.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// How many copies; 0 only asks.
        copies: u8,
    },
    /// Nobody waits for an order any more: take it back if it has not left, and report it as timed out.
    Forget {
        /// Which.
        order: OrderKey,
    },
    /// Have idle copies unloaded.
    Purge {
        /// To whom.
        worker: WorkerId,
        /// What.
        function: FunctionId,
    },
    /// Probe a worker.
    Probe {
        /// Names it until it has ended.
        probe: ProbeKey,
        /// Whom.
        worker: WorkerId,
    },
    /// The one final answer to a call.
    Answer {
        /// Whose.
        origin: O,
        /// What.
        answer: Answer,
    },
}

/// What came back with an attempt's end.
#[derive(Debug, Default)]
pub struct Back {
    /// The answer's body.
    pub body: Vec<u8>,
    /// What it tells of the copy.
    pub warmth: Option<Warmth>,
    /// Requests of the function that the worker held.
    pub crowd: u32,
    /// The worker's report.
    pub report: Option<Report>,
}

/// A function as the wire names it.
struct Hex(u64);

impl std::fmt::Display for Hex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[derive(Debug)]
struct Request<O> {
    brain_id: RequestId,
    call: Call<O>,
    attempts: u8,
    out: Option<AttemptKey>,
    answered: bool,
    /// Whether an attempt was sent that is not proved never to have run.
    may_have_run: bool,
}

#[derive(Debug)]
struct Attempt {
    request: RequestKey,
    worker: WorkerId,
    number: u8,
    sent: Micros,
    expires: Micros,
}

/// The decisions and everything that is open.
#[derive(Debug)]
pub struct Core<O> {
    brain: Brain,
    grace: Micros,
    order_limit: Micros,
    safe: Vec<bool>,
    requests: SlotMap<RequestKey, Request<O>>,
    by_id: HashMap<RequestId, RequestKey>,
    /// The identities of all that is open.
    ids: HashSet<Rc<str>>,
    attempts: SlotMap<AttemptKey, Attempt>,
    orders: SlotMap<OrderKey, (WorkerId, FunctionId, Micros)>,
    probes: SlotMap<ProbeKey, (WorkerId, Micros)>,
    deadlines: BTreeSet<(Micros, Due)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command<O>>,
    /// When the module took the last event that it has not settled yet.
    unsettled: Option<Micros>,
    next_id: u32,
    /// What was taken, sent and answered.
    pub counters: Counters,
}

/// How long a probe may take.
const PROBE_LIMIT: Micros = 250_000;

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// A core that knows only the settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Core<O> {
        let (grace, order_limit) = (settings.answer_grace, settings.order_limit);
        let safe: Vec<bool> = settings.classes.iter().map(|c| c.effect == Effect::Safe).collect();
        let counters = Counters { ends: vec![Ends::default(); safe.len()], ..Counters::default() };
        Core {
            brain: Brain::new(settings, seed, now),
            grace,
            order_limit: if order_limit == 0 { 10_000_000 } else { order_limit },
            safe,
            requests: SlotMap::with_key(),
            by_id: HashMap::new(),
            ids: HashSet::new(),
            attempts: SlotMap::with_key(),
            orders: SlotMap::with_key(),
            probes: SlotMap::with_key(),
            deadlines: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            unsettled: None,
            next_id: 0,
            counters,
        }
    }

    /// Requests that still wait for their answer.
    pub fn open(&self) -> usize {
        self.requests.values().filter(|r| !r.answered).count()
    }

    /// A call is refused before the module hears of it; its one answer counts as any other.
    pub fn turned_away(&mut self, class: ClassId) {
        self.counters.taken += 1;
        self.counters.answered(class, Final::Refused);
    }

    /// Workers that the module would send to now.
    pub fn fit(&self) -> usize {
        self.brain.fit
    }

    /// Whether a request under this identity has no answer yet, or an attempt out. Another call under it is not to
    /// be taken: answers on workers' connections are told apart by identity alone.
    pub fn is_open(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// The next thing to be done outside, if any. The module decides once all that came before has been done: one look
    /// over what is held for all that came in one turn, however much that is.
    pub fn command(&mut self) -> Option<Command<O>> {
        if self.commands.is_empty() {
            self.settle();
        }
        self.commands.pop_front()
    }

    fn settle(&mut self) {
        let Some(now) = self.unsettled.take() else { return };
        self.counters.settled += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.brain.settle(now, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    /// When [`Core::tick`] is next to be called.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(t, _)| *t)
    }

    /// Hangs a deadline of the core's user among the others.
    pub fn hang(&mut self, at: Micros, token: Token) {
        self.deadlines.insert((at, Due::Outside(token)));
    }

    /// Takes a deadline of the core's user away.
    pub fn unhang(&mut self, at: Micros, token: Token) {
        self.deadlines.remove(&(at, Due::Outside(token)));
    }

    /// Does what has fallen due; appends the user's own deadlines that have.
    pub fn tick(&mut self, now: Micros, outside: &mut Vec<Token>) {
        while let Some(&(at, due)) = self.deadlines.first().filter(|(t, _)| *t <= now) {
            self.deadlines.remove(&(at, due));
            match due {
                Due::Wake(token) => self.feed(now, Event::Wake { token }),
                Due::Attempt(k) => {
                    let key = AttemptKey::from(KeyData::from_ffi(k));
                    self.commands.push_back(Command::Halt { attempt: key, why: Ending::TimedOut });
                }
                Due::Request(k) => self.overdue(RequestKey::from(KeyData::from_ffi(k))),
                Due::Order(k) => {
                    self.commands.push_back(Command::Forget { order: OrderKey::from(KeyData::from_ffi(k)) });
                }
                Due::Probe(k) => {
                    self.probe_ended(now, ProbeKey::from(KeyData::from_ffi(k)), Ending::TimedOut, None)
                }
                Due::Outside(token) => outside.push(token),
            }
        }
    }

    /// Takes news of the list of workers.
    pub fn members(&mut self, now: Micros, kind: ListKind, members: Vec<Member>) {
        self.feed(now, Event::Members { kind, members });
    }

    /// Sets a tenant's share, calls a second over all gateways; 0 states none.
    pub fn share(&mut self, now: Micros, tenant: TenantId, quota_per_s: f64) {
        self.feed(now, Event::Share { tenant, quota_per_s });
    }

    /// Sets this instance's part of the load ration and of what cold workers bear.
    pub fn limits(&mut self, now: Micros, ration: Option<LoadRation>, fall_multiple: f64, bears: f64) {
        self.feed(now, Event::Limits { ration, fall_multiple, bears });
    }

    /// The most that a worker served for this gateway, answers a microsecond, as the module has seen it.
    pub fn bears(&self) -> f64 {
        self.brain.bears
    }

    /// Tells the module what others saw of a worker; see [`Event::Rumour`].
    pub fn rumour(&mut self, now: Micros, worker: WorkerId, down: Option<Micros>) {
        self.feed(now, Event::Rumour { worker, down });
    }

    /// Takes a call; from here on it is owed one answer.
    pub fn call(&mut self, now: Micros, mut call: Call<O>) -> RequestKey {
        self.next_id = self.next_id.wrapping_add(1);
        while self.by_id.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let brain_id = RequestId(self.next_id);
        call.arrival.request = brain_id;
        let arrival = call.arrival.clone();
        let expires = call.arrival.expires;
        self.ids.insert(call.id.clone());
        let key = self.requests.insert(Request {
            brain_id,
            call,
            attempts: 0,
            out: None,
            answered: false,
            may_have_run: false,
        });
        self.by_id.insert(brain_id, key);
        // The module answers by the deadline; this guards the one answer against its oversight.
        self.deadlines.insert((expires + self.grace, Due::Request(key.data().as_ffi())));
        self.counters.taken += 1;
        tracing::debug!(call = brain_id.0, class = arrival.class.0, function = %Hex(arrival.function.0), "taken");
        self.feed(now, Event::Request(arrival));
        key
    }

    /// The caller has left: no answer is owed any more.
    pub fn caller_gone(&mut self, now: Micros, key: RequestKey) {
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered) else { return };
        r.answered = true;
        let request = r.brain_id;
        self.counters.left += 1;
        self.feed(now, Event::ClientGone { request });
        self.drop_finished(key);
    }

    /// The worker of an attempt that is open.
    pub fn worker_of(&self, key: AttemptKey) -> Option<WorkerId> {
        self.attempts.get(key).map(|a| a.worker)
    }

    /// An attempt has ended outside. An attempt that is not open any more is passed over: the late answer of
    /// an old attempt must not be taken for that of a new one.
    pub fn ended(&mut self, now: Micros, key: AttemptKey, ending: Ending, left: Left, back: Back) {
        let Some(a) = self.attempts.remove(key) else { return };
        self.deadlines.remove(&(a.expires, Due::Attempt(key.data().as_ffi())));
        self.counters.ended(ending);
        let Some(r) = self.requests.get_mut(a.request) else { return };
        r.out = None;
        let outcome = ending.outcome(left);
        r.may_have_run |= !crate::brain::never_ran(outcome);
        let first = outcome == Outcome::Ok && !r.answered;
        if first {
            r.answered = true;
            self.counters.answered(r.call.arrival.class, Final::Served);
            let origin = r.call.origin.clone();
            self.commands.push_back(Command::Answer { origin, answer: Answer::Served(back.body) });
        }
        let ended = Ended {
            request: r.brain_id,
            worker: a.worker,
            attempt: a.number,
            terminal: r.answered,
            outcome,
            warmth: back.warmth,
            crowd: back.crowd,
            latency: now.saturating_sub(a.sent),
            report: back.report,
        };
        tracing::debug!(
            call = ended.request.0,
            worker = ended.worker.0,
            after = ended.latency,
            how = ending.name(),
            warmth = ?ended.warmth,
            crowd = ended.crowd,
            held = ended.report.and_then(|r| r.inflight),
            "attempt ended"
        );
        self.feed(now, Event::Ended(ended));
        self.drop_finished(a.request);
    }

    /// A load order has ended outside.
    pub fn order_ended(&mut self, now: Micros, key: OrderKey, ending: Ending, left: Left, copies: u32) {
        let Some((worker, function, at)) = self.orders.remove(key) else { return };
        self.deadlines.remove(&(at, Due::Order(key.data().as_ffi())));
        let outcome = ending.outcome(left);
        tracing::debug!(worker = worker.0, function = %Hex(function.0), how = ending.name(), copies, "order ended");
        self.feed(now, Event::Loaded { worker, function, outcome, copies });
    }

    /// Probes a worker, for the module or on behalf of the fleet.
    pub fn probe(&mut self, now: Micros, worker: WorkerId) -> ProbeKey {
        let at = now + PROBE_LIMIT;
        let probe = self.probes.insert((worker, at));
        self.deadlines.insert((at, Due::Probe(probe.data().as_ffi())));
        self.counters.probes += 1;
        self.commands.push_back(Command::Probe { probe, worker });
        probe
    }

    /// Whether a probe is still out.
    pub fn has_probe(&self, key: ProbeKey) -> bool {
        self.probes.contains_key(key)
    }

    /// A probe has ended outside.
    pub fn probe_ended(&mut self, now: Micros, key: ProbeKey, ending: Ending, report: Option<Report>) {
        let Some((worker, at)) = self.probes.remove(key) else { return };
        self.deadlines.remove(&(at, Due::Probe(key.data().as_ffi())));
        self.feed(now, Event::Probed { worker, outcome: ending.outcome(Left::Some), report });
    }

    /// Whether refusing this call is harmless: its class is safe, or nothing of it can have run.
    fn overdue(&mut self, key: RequestKey) {
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered) else { return };
        r.answered = true;
        let safe = self.safe.get(r.call.arrival.class.0 as usize).copied().unwrap_or(false);
        let (answer, how) = if (safe || !r.may_have_run) && r.out.is_none() {
            (Answer::Refused { retry_after: 0 }, Final::Refused)
        } else {
            (Answer::Failed, Final::Failed)
        };
        self.counters.answered(r.call.arrival.class, how);
        self.counters.overdue += 1;
        self.commands.push_back(Command::Answer { origin: r.call.origin.clone(), answer });
        self.drop_finished(key);
    }

    fn drop_finished(&mut self, key: RequestKey) {
        let done = |r: &Request<O>| r.answered && r.out.is_none();
        if self.requests.get(key).is_some_and(done) {
            if let Some(r) = self.requests.remove(key) {
                self.by_id.remove(&r.brain_id);
                self.ids.remove(&r.call.id);
                let at = r.call.arrival.expires + self.grace;
                self.deadlines.remove(&(at, Due::Request(key.data().as_ffi())));
            }
        }
    }

    /// Hands events to the module and carries out its actions. What an action ends at once is queued, so
    /// that the module is never entered while it decides.
    fn feed(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        if self.events.len() > 1 {
            return;
        }
        while let Some(event) = self.events.front().cloned() {
            let mut actions = std::mem::take(&mut self.actions);
            self.brain.take(now, event, &mut actions);
            self.unsettled = Some(now);
            for action in actions.drain(..) {
                self.act(now, action);
            }
            self.actions = actions;
            self.events.pop_front();
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, worker, within } => self.send(now, request, worker, within),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.by_id.get(&request).and_then(|k| self.requests.get(*k)) else { return };
                let Some(key) = r.out.filter(|_| r.attempts == attempt + 1) else { return };
                self.commands.push_back(Command::Halt { attempt: key, why: Ending::CalledOff });
            }
            Action::Refuse { request, retry_after } => {
                self.finish(request, Answer::Refused { retry_after });
            }
            Action::Fail { request } => self.finish(request, Answer::Failed),
            Action::Load { worker, function, copies } => {
                let at = now + self.order_limit;
                let order = self.orders.insert((worker, function, at));
                self.deadlines.insert((at, Due::Order(order.data().as_ffi())));
                self.counters.orders += u64::from(copies > 0);
                self.counters.asks += u64::from(copies == 0);
                tracing::debug!(worker = worker.0, function = %Hex(function.0), copies, "order");
                self.commands.push_back(Command::Stage { order, worker, function, copies });
            }
            Action::Unload { worker, function } => {
                self.commands.push_back(Command::Purge { worker, function })
            }
            Action::Probe { worker } => drop(self.probe(now, worker)),
            Action::Wake { after, token } => {
                self.deadlines.insert((now + after.max(1), Due::Wake(token)));
            }
            // The board pushes; there is nothing to subscribe to.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, now: Micros, request: RequestId, worker: WorkerId, within: Option<Micros>) {
        let Some(&key) = self.by_id.get(&request) else { return };
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered && r.out.is_none()) else { return };
        let expires = within.map_or(r.call.arrival.expires, |w| r.call.arrival.expires.min(now + w));
        let number = r.attempts;
        r.attempts = r.attempts.saturating_add(1);
        let attempt = self.attempts.insert(Attempt { request: key, worker, number, sent: now, expires });
        r.out = Some(attempt);
        self.counters.sent += 1;
        tracing::debug!(call = request.0, worker = worker.0, "sent");
        self.deadlines.insert((expires, Due::Attempt(attempt.data().as_ffi())));
        self.commands.push_back(Command::Go {
            attempt,
            worker,
            id: r.call.id.clone(),
            class: r.call.arrival.class,
            function: r.call.arrival.function,
            expires,
            body: r.call.body.clone(),
        });
    }

    fn finish(&mut self, request: RequestId, answer: Answer) {
        let Some(&key) = self.by_id.get(&request) else { return };
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered) else { return };
        r.answered = true;
        let refused = matches!(answer, Answer::Refused { .. });
        self.counters.answered(r.call.arrival.class, if refused { Final::Refused } else { Final::Failed });
        tracing::debug!(call = request.0, ?answer, "given up");
        self.commands.push_back(Command::Answer { origin: r.call.origin.clone(), answer });
        self.drop_finished(key);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    const SECOND: Micros = 1_000_000;

    fn settings() -> Settings {
        let class = |effect| Class { aim: SECOND, deadline: 2 * SECOND, worth: 1.0, late_worth: 0.2, effect };
        Settings {
            instances: 1,
            tick: 4_000,
            classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
            answer_grace: 16_000,
            keep: 8 * SECOND,
            may_load: true,
            may_cancel: true,
            on_miss: OnMiss::Answers,
            max_attempts: 3,
            ..Settings::default()
        }
    }

    fn member(id: u32) -> Member {
        Member {
            worker: WorkerId(id),
            zone: ZoneId(0),
            cell: CellId(0),
            status: Status::Ready,
            capacity: 1.0,
            started: None,
        }
    }

    fn call(origin: u32, now: Micros) -> Call<u32> {
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId((origin % 2) as u8),
            tenant: TenantId(0),
            function: FunctionId(u64::from(origin % 5)),
            expires: now + SECOND / 2 + Micros::from(origin % 7) * 100_000,
            work: None,
            memory_mb: 1.0,
            lanes: 2,
            load_time: None,
        };
        Call { origin, id: format!("{origin:016x}").into(), body: Rc::from(&b""[..]), arrival }
    }

    /// Workers that answer, miss, fail, say nothing, or whose connections end, in a fixed pseudo-random order:
    /// each call gets one answer by its time, no attempt of a booking follows one that may have run, and no
    /// call has two attempts out.
    #[test]
    fn whatever_workers_do_each_call_gets_one_answer_in_time() {
        let mut core: Core<u32> = Core::new(settings(), 3, 0);
        core.members(1, ListKind::Full, (1..5).map(member).collect());
        let mut state = 9u64;
        let mut next = |n: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % n
        };
        let mut answers: BTreeMap<u32, u32> = BTreeMap::new();
        let mut due: BTreeMap<u32, Micros> = BTreeMap::new();
        let mut out: BTreeMap<AttemptKey, Rc<str>> = BTreeMap::new();
        let mut ran: BTreeSet<Rc<str>> = BTreeSet::new();
        let mut now = 1;
        for step in 0..6_000u32 {
            now += 2_000;
            if step < 4_000 && step % 4 == 0 {
                let c = call(step, now);
                due.insert(step, c.arrival.expires);
                core.call(now, c);
            }
            core.tick(now, &mut Vec::new());
            while let Some(command) = core.command() {
                match command {
                    Command::Go { attempt, id, class, .. } => {
                        assert!(!out.values().any(|i| *i == id), "two attempts out");
                        assert!(class == ClassId(0) || !ran.contains(&id), "a booking may run twice");
                        out.insert(attempt, id);
                    }
                    Command::Halt { attempt, why } => {
                        if let Some(id) = out.remove(&attempt) {
                            ran.insert(id);
                        }
                        core.ended(now, attempt, why, Left::Some, Back::default());
                    }
                    Command::Stage { order, copies, .. } => {
                        let ending = if next(3) == 0 { Ending::NoRoom } else { Ending::Served };
                        core.order_ended(now, order, ending, Left::Some, u32::from(copies));
                    }
                    Command::Answer { origin, .. } => {
                        *answers.entry(origin).or_default() += 1;
                        assert!(now <= due[&origin] + 20_000, "{origin} is late");
                    }
                    _ => {}
                }
            }
            let ready: Vec<AttemptKey> = out.keys().copied().filter(|_| next(12) == 0).collect();
            for attempt in ready {
                let (ending, left) = match next(8) {
                    0 => (Ending::Missed, Left::Some),
                    1 => (Ending::Failed, Left::Some),
                    2 => (Ending::Reset, Left::Some),
                    3 => (Ending::Reset, Left::Nothing),
                    4 => continue,
                    _ => (Ending::Served, Left::Some),
                };
                let id = out.remove(&attempt).unwrap();
                if !crate::brain::never_ran(ending.outcome(left)) {
                    ran.insert(id);
                }
                core.ended(now, attempt, ending, left, Back::default());
                core.ended(now, attempt, Ending::Served, Left::Some, Back::default());
            }
        }
        assert_eq!((answers.len(), core.open()), (1_000, 0));
        assert!(answers.values().all(|n| *n == 1));
        assert_eq!(core.counters.overdue, 0, "the module itself kept the time");
        assert!(core.requests.is_empty() && core.attempts.is_empty() && core.by_id.is_empty());
    }

    use proptest::prelude::*;

    proptest! {
        /// The books hold after every step, whatever comes in whatever order: a call that was taken is open, has one
        /// of the three final answers, in all and in its class, or its client left.
        #[test]
        fn what_was_taken_has_ended_or_is_pending(
            steps in proptest::collection::vec((0..8u8, any::<prop::sample::Index>()), 1..200),
        ) {
            let mut core: Core<u32> = Core::new(settings(), 3, 0);
            core.members(1, ListKind::Full, (1..4).map(member).collect());
            let (mut now, mut out, mut open) = (1, Vec::new(), Vec::new());
            for (n, (what, which)) in steps.into_iter().enumerate() {
                now += 50_000;
                match what {
                    0..=2 => open.push(core.call(now, call(n as u32, now))),
                    3 if !open.is_empty() => core.caller_gone(now, open.swap_remove(which.index(open.len()))),
                    4 => core.turned_away(ClassId(1)),
                    5..=7 if !out.is_empty() => {
                        let attempt = out.swap_remove(which.index(out.len()));
                        let ending = [Ending::Served, Ending::Failed, Ending::Missed][usize::from(what) - 5];
                        core.ended(now, attempt, ending, Left::Some, Back::default());
                    }
                    _ => {}
                }
                core.tick(now, &mut Vec::new());
                while let Some(command) = core.command() {
                    match command {
                        Command::Go { attempt, .. } => out.push(attempt),
                        Command::Halt { attempt, why } => {
                            out.retain(|a| *a != attempt);
                            core.ended(now, attempt, why, Left::Some, Back::default());
                        }
                        Command::Stage { order, copies, .. } => {
                            core.order_ended(now, order, Ending::Served, Left::Some, u32::from(copies));
                        }
                        _ => {}
                    }
                }
                let c = &core.counters;
                let by_class = |of: fn(&Ends) -> u64| c.ends.iter().map(of).sum::<u64>();
                prop_assert_eq!(c.taken, c.served + c.refused + c.failed + c.left + core.open() as u64);
                prop_assert_eq!(by_class(|e| e.served), c.served);
                prop_assert_eq!(by_class(|e| e.refused), c.refused);
                prop_assert_eq!(by_class(|e| e.failed), c.failed);
            }
        }
    }

    /// Guards the processor: at a high rate all that is held was looked over for each event, which took more time
    /// the more was held, and so more was.
    #[test]
    fn what_comes_in_one_turn_is_decided_on_at_once() {
        let mut core: Core<u32> = Core::new(settings(), 3, 0);
        core.members(1, ListKind::Full, vec![member(1)]);
        for n in 0..200 {
            core.call(10, call(n * 2, 10));
        }
        let mut out = Vec::new();
        while let Some(command) = core.command() {
            out.extend(match command {
                Command::Go { attempt, .. } => Some(attempt),
                _ => None,
            });
        }
        assert!(out.len() > 1, "some of them are out");
        assert_eq!(core.counters.settled, 1, "one look for the list and 200 calls");
        for attempt in out {
            core.ended(20_000, attempt, Ending::Served, Left::Some, Back::default());
        }
        while core.command().is_some() {}
        assert_eq!(core.counters.settled, 2, "and one for all the answers");
    }

    #[test]
    fn the_module_giving_up_is_an_answer_at_once() {
        let mut core: Core<u32> = Core::new(settings(), 3, 0);
        core.members(1, ListKind::Full, vec![member(1)]);
        core.call(10, call(1, 10));
        let Some(Command::Go { attempt, .. }) = core.command() else { panic!("it is sent") };
        // A booking that may have run is failed in the very turn, not towards its deadline.
        core.ended(20, attempt, Ending::Reset, Left::Some, Back::default());
        let answer = std::iter::from_fn(|| core.command()).find(|c| matches!(c, Command::Answer { .. }));
        assert!(matches!(answer, Some(Command::Answer { origin: 1, answer: Answer::Failed })));
    }
}
