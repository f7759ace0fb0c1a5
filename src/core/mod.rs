//! The core: requests, attempts and orders in numbered slots, every deadline in one ordered structure.
//!
//! It knows no wire and no socket. Events come in, go through the decision module, and leave as [`Command`]s.
//! Every call that it takes gets exactly one [`RenewReply`].

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use slotmap::{new_key_type, Key, KeyData, SlotMap};

use crate::api::*;
use crate::completion::{CloseReason, SendProgress};
use crate::counters::{Counters, Ends, Final};
use crate::policy::Policy;

mod command;
pub use command::{Answer, AttemptReply, Call, Command};

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
    /// An attempt that has not begun by now must not begin.
    Begin(u64),
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

/// A function as the wire names it.
struct Hex(u64);

impl std::fmt::Display for Hex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[derive(Debug)]
struct Request<O> {
    request_id: RequestId,
    call: Call<O>,
    attempts: u8,
    out: Option<AttemptKey>,
    answered: bool,
    /// When the first attempt was sent that is not proved never to have run.
    ran_from: Option<Micros>,
}

#[derive(Debug)]
struct Attempt {
    request: RequestKey,
    worker: WorkerId,
    number: u8,
    sent: Micros,
    expires: Micros,
    /// When it must have begun, if it may not begin at any time.
    begin_by: Option<Micros>,
}

/// The decisions and everything that is open.
#[derive(Debug)]
pub struct Core<O> {
    policy: Policy,
    grace: Micros,
    order_limit: Micros,
    /// What repeating does, by class.
    effects: Vec<Effect>,
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
        let (grace, order_limit) = (settings.answer_grace, settings.load_order_timeout);
        let effects: Vec<Effect> = settings.classes.iter().map(|c| c.effect).collect();
        let counters = Counters {
            ends: vec![Ends::default(); effects.len()],
            ..Counters::default()
        };
        Core {
            policy: Policy::new(settings, seed, now),
            grace,
            order_limit: if order_limit == 0 {
                10_000_000
            } else {
                order_limit
            },
            effects,
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
        self.policy.healthy_workers()
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
        let Some(now) = self.unsettled.take() else {
            return;
        };
        self.counters.settled += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.settle(now, &mut actions);
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
                    self.commands.push_back(Command::Cancel {
                        attempt: key,
                        reason: CloseReason::TimedOut,
                    });
                }
                Due::Begin(k) => {
                    let key = AttemptKey::from(KeyData::from_ffi(k));
                    self.commands.push_back(Command::Withdraw {
                        attempt: key,
                        reason: CloseReason::Withdrawn,
                    });
                }
                Due::Request(k) => self.overdue(RequestKey::from(KeyData::from_ffi(k))),
                Due::Order(k) => {
                    self.commands.push_back(Command::AbandonLoad {
                        order: OrderKey::from(KeyData::from_ffi(k)),
                    });
                }
                Due::Probe(k) => self.probe_ended(
                    now,
                    ProbeKey::from(KeyData::from_ffi(k)),
                    CloseReason::TimedOut,
                    None,
                ),
                Due::Outside(token) => outside.push(token),
            }
        }
    }

    /// Takes news of the list of workers.
    pub fn members(&mut self, now: Micros, kind: ListUpdate, members: Vec<WorkerEntry>) {
        self.feed(
            now,
            Event::WorkerList {
                update: kind,
                workers: members,
            },
        );
    }

    /// Sets a tenant's share, calls a second over all gateways; 0 states none.
    pub fn share(&mut self, now: Micros, tenant: TenantId, quota_per_s: f64) {
        self.feed(
            now,
            Event::TenantQuota {
                tenant,
                quota_per_s,
            },
        );
    }

    /// Sets this instance's part of the load ration and of what cold workers bear.
    pub fn limits(
        &mut self,
        now: Micros,
        ration: Option<LoadRateLimit>,
        fall_multiple: f64,
        bears: f64,
    ) {
        self.feed(
            now,
            Event::InstanceLimits {
                load_rate_limit: ration,
                overload_multiple: fall_multiple,
                observed_capacity: bears,
            },
        );
    }

    /// The most that a worker served for this gateway, answers a microsecond, as the module has seen it.
    pub fn bears(&self) -> f64 {
        self.policy.observed_capacity()
    }

    /// Tells the module what others saw of a worker; see [`Event::Rumour`].
    pub fn rumour(&mut self, now: Micros, worker: WorkerId, down: Option<Micros>) {
        self.feed(
            now,
            Event::PeerHealth {
                worker,
                unhealthy_until: down,
            },
        );
    }

    /// Takes a call; from here on it is owed one answer.
    pub fn call(&mut self, now: Micros, mut call: Call<O>) -> RequestKey {
        self.next_id = self.next_id.wrapping_add(1);
        while self.by_id.contains_key(&RequestId(self.next_id)) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let request_id = RequestId(self.next_id);
        call.arrival.request = request_id;
        let arrival = call.arrival.clone();
        let expires = call.arrival.expires_at;
        self.ids.insert(call.id.clone());
        let key = self.requests.insert(Request {
            request_id,
            call,
            attempts: 0,
            out: None,
            answered: false,
            ran_from: None,
        });
        self.by_id.insert(request_id, key);
        // The module answers by the deadline; this guards the one answer against its oversight.
        self.deadlines
            .insert((expires + self.grace, Due::Request(key.data().as_ffi())));
        self.counters.taken += 1;
        tracing::debug!(call = request_id.0, class = arrival.class.0, function = %Hex(arrival.function.0), "taken");
        self.feed(now, Event::Request(arrival));
        key
    }

    /// The caller has left: no answer is owed any more.
    pub fn caller_gone(&mut self, now: Micros, key: RequestKey) {
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered) else {
            return;
        };
        r.answered = true;
        let request = r.request_id;
        self.counters.left += 1;
        self.recall(key);
        self.feed(now, Event::ClientGone { request });
        self.drop_finished(key);
    }

    /// The worker of an attempt that is open.
    pub fn worker_of(&self, key: AttemptKey) -> Option<WorkerId> {
        self.attempts.get(key).map(|a| a.worker)
    }

    /// An attempt has ended outside. An attempt that is not open any more is passed over: the late answer of
    /// an old attempt must not be taken for that of a new one.
    pub fn ended(
        &mut self,
        now: Micros,
        key: AttemptKey,
        ending: CloseReason,
        left: SendProgress,
        back: AttemptReply,
    ) {
        let Some(a) = self.attempts.remove(key) else {
            return;
        };
        self.deadlines
            .remove(&(a.expires, Due::Attempt(key.data().as_ffi())));
        if let Some(at) = a.begin_by {
            self.deadlines
                .remove(&(at, Due::Begin(key.data().as_ffi())));
        }
        self.counters.ended(ending);
        let Some(r) = self.requests.get_mut(a.request) else {
            return;
        };
        r.out = None;
        let outcome = ending.outcome(left);
        if !crate::policy::never_ran(outcome) {
            r.ran_from.get_or_insert(a.sent);
        }
        let first = outcome == Outcome::Ok && !r.answered;
        if first {
            r.answered = true;
            self.counters.answered(r.call.arrival.class, Final::Served);
            let origin = r.call.origin.clone();
            self.commands.push_back(Command::Answer {
                origin,
                answer: Answer::Served(back.body),
            });
        }
        let ended = AttemptEnd {
            request: r.request_id,
            worker: a.worker,
            attempt: a.number,
            terminal: r.answered,
            outcome,
            copy_start: back.copy_start,
            function_in_flight: back.function_in_flight,
            latency: now.saturating_sub(a.sent),
            load_report: back.load_report,
        };
        tracing::debug!(
            call = ended.request.0,
            worker = ended.worker.0,
            after = ended.latency,
            how = ending.name(),
            warmth = ?ended.copy_start,
            crowd = ended.function_in_flight,
            held = ended.load_report.and_then(|r| r.in_flight),
            "attempt ended"
        );
        self.feed(now, Event::AttemptEnded(ended));
        self.drop_finished(a.request);
    }

    /// A load order has ended outside.
    pub fn order_ended(
        &mut self,
        now: Micros,
        key: OrderKey,
        ending: CloseReason,
        left: SendProgress,
        copies: u32,
    ) {
        let Some((worker, function, at)) = self.orders.remove(key) else {
            return;
        };
        self.deadlines
            .remove(&(at, Due::Order(key.data().as_ffi())));
        let outcome = ending.outcome(left);
        tracing::debug!(worker = worker.0, function = %Hex(function.0), how = ending.name(), copies, "order ended");
        self.feed(
            now,
            Event::LoadEnded {
                worker,
                function,
                outcome,
                copies,
            },
        );
    }

    /// Probes a worker, for the module or on behalf of the fleet.
    pub fn probe(&mut self, now: Micros, worker: WorkerId) -> ProbeKey {
        let at = now + PROBE_LIMIT;
        let probe = self.probes.insert((worker, at));
        self.deadlines
            .insert((at, Due::Probe(probe.data().as_ffi())));
        self.counters.probes += 1;
        self.commands.push_back(Command::HealthCheck {
            check: probe,
            worker,
        });
        probe
    }

    /// Whether a probe is still out.
    pub fn has_probe(&self, key: ProbeKey) -> bool {
        self.probes.contains_key(key)
    }

    /// A probe has ended outside.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        key: ProbeKey,
        ending: CloseReason,
        report: Option<LoadReport>,
    ) {
        let Some((worker, at)) = self.probes.remove(key) else {
            return;
        };
        self.deadlines
            .remove(&(at, Due::Probe(key.data().as_ffi())));
        self.feed(
            now,
            Event::HealthChecked {
                worker,
                outcome: ending.outcome(SendProgress::Started),
                load_report: report,
            },
        );
    }

    /// A request has its end: an attempt of it that has not begun must not begin any more, whether or not the
    /// settings let one be cancelled that has.
    fn recall(&mut self, key: RequestKey) {
        let Some(attempt) = self.requests.get(key).and_then(|r| r.out) else {
            return;
        };
        self.commands.push_back(Command::Withdraw {
            attempt,
            reason: CloseReason::Cancelled,
        });
    }

    fn effect_of(&self, class: ClassId) -> Effect {
        self.effects
            .get(class.0 as usize)
            .copied()
            .unwrap_or_default()
    }

    /// The module has let a request's time pass: it is refused where that is harmless (its class is safe, or nothing of
    /// it can have run), and has failed otherwise.
    fn overdue(&mut self, key: RequestKey) {
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered) else {
            return;
        };
        r.answered = true;
        let safe = self.effects.get(r.call.arrival.class.0 as usize) == Some(&Effect::Idempotent);
        let (answer, how) = if (safe || r.ran_from.is_none()) && r.out.is_none() {
            (Answer::Rejected { retry_after: 0 }, Final::Refused)
        } else {
            (Answer::Failed, Final::Failed)
        };
        self.counters.answered(r.call.arrival.class, how);
        self.counters.overdue += 1;
        self.commands.push_back(Command::Answer {
            origin: r.call.origin.clone(),
            answer,
        });
        self.recall(key);
        self.drop_finished(key);
    }

    fn drop_finished(&mut self, key: RequestKey) {
        let done = |r: &Request<O>| r.answered && r.out.is_none();
        if self.requests.get(key).is_some_and(done) {
            if let Some(r) = self.requests.remove(key) {
                self.by_id.remove(&r.request_id);
                self.ids.remove(&r.call.id);
                let at = r.call.arrival.expires_at + self.grace;
                self.deadlines
                    .remove(&(at, Due::Request(key.data().as_ffi())));
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
            self.policy.take(now, event, &mut actions);
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
            Action::Send {
                request,
                worker,
                timeout: within,
            } => self.send(now, request, worker, within),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.by_id.get(&request).and_then(|k| self.requests.get(*k)) else {
                    return;
                };
                let Some(key) = r.out.filter(|_| r.attempts == attempt + 1) else {
                    return;
                };
                self.commands.push_back(Command::Cancel {
                    attempt: key,
                    reason: CloseReason::Cancelled,
                });
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.finish(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => self.finish(request, Answer::Failed),
            Action::Load {
                worker,
                function,
                copies,
            } => {
                let at = now + self.order_limit;
                let order = self.orders.insert((worker, function, at));
                self.deadlines
                    .insert((at, Due::Order(order.data().as_ffi())));
                self.counters.orders += u64::from(copies > 0);
                self.counters.asks += u64::from(copies == 0);
                tracing::debug!(worker = worker.0, function = %Hex(function.0), copies, "order");
                self.commands.push_back(Command::Load {
                    order,
                    worker,
                    function,
                    copies,
                });
            }
            Action::Unload { worker, function } => self
                .commands
                .push_back(Command::Unload { worker, function }),
            Action::HealthCheck { worker } => drop(self.probe(now, worker)),
            Action::Wake { after, token } => {
                self.deadlines
                    .insert((now + after.max(1), Due::Wake(token)));
            }
            // The board pushes; there is nothing to subscribe to.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, now: Micros, request: RequestId, worker: WorkerId, within: Option<Micros>) {
        let Some(&key) = self.by_id.get(&request) else {
            return;
        };
        let class = self
            .requests
            .get(key)
            .map_or(ClassId::default(), |r| r.call.arrival.class);
        let effect = self.effect_of(class);
        let Some(r) = self
            .requests
            .get_mut(key)
            .filter(|r| !r.answered && r.out.is_none())
        else {
            return;
        };
        // Workers drop repeats for so long only; a connection that is still coming up may not carry one past that.
        let begin_by = match effect {
            Effect::Keyed { window, .. } => r.ran_from.map(|from| from + window),
            Effect::Idempotent | Effect::NonIdempotent => None,
        };
        let expires = within.map_or(r.call.arrival.expires_at, |w| {
            r.call.arrival.expires_at.min(now + w)
        });
        let number = r.attempts;
        r.attempts = r.attempts.saturating_add(1);
        let attempt = Attempt {
            request: key,
            worker,
            number,
            sent: now,
            expires,
            begin_by,
        };
        let attempt = self.attempts.insert(attempt);
        r.out = Some(attempt);
        self.counters.sent += 1;
        tracing::debug!(call = request.0, worker = worker.0, "sent");
        self.deadlines
            .insert((expires, Due::Attempt(attempt.data().as_ffi())));
        if let Some(at) = begin_by {
            self.deadlines
                .insert((at, Due::Begin(attempt.data().as_ffi())));
        }
        self.commands.push_back(Command::Dispatch {
            attempt,
            worker,
            id: r.call.id.clone(),
            class: r.call.arrival.class,
            function: r.call.arrival.function,
            expires_at: expires,
            body: r.call.body.clone(),
        });
    }

    fn finish(&mut self, request: RequestId, answer: Answer) {
        let Some(&key) = self.by_id.get(&request) else {
            return;
        };
        let Some(r) = self.requests.get_mut(key).filter(|r| !r.answered) else {
            return;
        };
        r.answered = true;
        let refused = matches!(answer, Answer::Rejected { .. });
        self.counters.answered(
            r.call.arrival.class,
            if refused {
                Final::Refused
            } else {
                Final::Failed
            },
        );
        tracing::debug!(call = request.0, ?answer, "given up");
        self.commands.push_back(Command::Answer {
            origin: r.call.origin.clone(),
            answer,
        });
        self.recall(key);
        self.drop_finished(key);
    }
}

#[cfg(test)]
mod tests;
