//! The decisions, all of them. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Held requests leave by Fair Choice on total processing time (FCP): when a slot opens, the function of
//! lowest demand that may use it goes first. Workers are walked in one hash order that all instances share.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;

// ---- Constants. Spans follow from the settings wherever a setting exists. ----

/// FCP counts calls and run time in intervals of this length (the paper's minute is longer than a burst).
const INTERVAL: Micros = 10_000_000;
/// Answers that a function's mean remembers at most across a roll, so that it follows a change of cost.
const MEMORY: f64 = 64.0;
/// Requests in flight from all instances that a worker may have before answers have raised or cut its cap.
const FIRST_CAP: f64 = 8.0;
/// What a 'full' or a slow spell leaves of a cap.
const CUT: f64 = 0.7;
/// Calls, all instances' together, up to which no worker is slow for their sake.
const LIGHT: f64 = FIRST_CAP * 3.0 / 8.0;
/// A worker that takes so many times a function's usual latency is overloaded or slow: its cap is cut.
const STRAINED: f64 = 2.0;
/// Part of the aim that warm answers of a worker may take on average before its cap is cut.
const AIM_SHARE: f64 = 0.25;
/// Weight of one answer in a worker's strain.
const STRAIN_STEP: f64 = 0.1;
/// Unanswered attempts in a row (a broken connection counts as all of them) that bench a worker.
const STRIKES: u32 = 2;
/// First time on the bench; doubles with each failed trial, up to 16 times this.
const BENCH: Micros = 250_000;
/// Calls of a tenant at once.
const SLACK: f64 = 4.0;
/// Homes of a function that are walked at most, in a fleet of any size.
const WALK: usize = 24;
const ROUND: Micros = 10_000;
/// How often all workers are looked over.
const SURVEY: Micros = 10 * ROUND;
/// Part of all caps that may be in use before calls stop spreading to homes without a copy.
const CALM: f64 = 0.75;
/// Part of all caps, or of the first ones if more, that may be in use before late calls yield.
const PRESSED: f64 = 0.5;
/// Homes without a copy that are found by asking within a keep time, before asking stops.
const ASKS: usize = 3;
/// Mean calls that a worker may be owed by a function without another home, while calm.
const CREDIT: f64 = 6.0;
/// Share of the cold budget used: workers differ, and some can do less than the mean worker seen.
const COLD_SAFETY: f64 = 0.65;

/// Calls held by a worker that make it crowded, as it told last and not longer ago than copies are kept.
const CROWD: u32 = FIRST_CAP as u32;

// ---- State ----

#[derive(Debug, Default)]
struct Function {
    lanes: u32,
    load_time: Option<Micros>,
    /// FCP counters: calls of the last interval and of this one, its run time, the mean of all answers.
    last_calls: f64,
    calls: f64,
    sum: f64,
    total: f64,
    answers: f64,
    held: VecDeque<RequestId>,
    copies: BTreeMap<WorkerId, Copies>,
    order: Vec<WorkerId>,
    order_of: u64,
    asked: Micros,
}

/// What is believed of one function's copies on one worker.
#[derive(Debug, Default, Clone)]
struct Copies {
    count: u32,
    used: Micros,
    own: u32,
    loading: Option<Micros>,
    missed: Micros,
    asked: Micros,
}

#[derive(Debug, Default)]
struct Worker {
    zone: Option<ZoneId>,
    cell: Option<CellId>,
    ready: bool,
    started: Option<Micros>,
    inflight: u32,
    /// Own requests in flight it may have; below one, on average: what own calls took lately, when counted.
    cap: f64,
    debt: f64,
    charged: Micros,
    cut_at: Micros,
    strain: f64,
    heard_ok: Micros,
    /// What it held in all when it answered last, and when that was.
    told: (f64, Micros),
    stalled: bool,
    strikes: u32,
    reset: Micros,
    benched: Micros,
    /// Until when others come before it, as instances that talk say that it is ill.
    rumoured: Micros,
    /// When a connect failed last with nothing heard since.
    down: Option<Micros>,
    quiet_since: Micros,
    sent: VecDeque<Micros>,
    /// For each class that it limits: until when calls are kept away, and for how long.
    gates: BTreeMap<usize, (Micros, Micros)>,
}

/// A worker and a function that may stand there.
type Home = (WorkerId, FunctionId);

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    sent: Micros,
    /// Whether it may have waited for a load.
    cold: bool,
    cancelled: bool,
}

#[derive(Debug, Default)]
struct Request {
    function: FunctionId,
    class: usize,
    effect: Effect,
    aim: Micros,
    arrived: Micros,
    asked: Micros,
    expires: Micros,
    attempts: u32,
    out: Option<Attempt>,
    /// The first attempt that may have run: where and when it was sent.
    ran: Option<(WorkerId, Micros)>,
    /// Where it waits for a load, and from when it may be sent there.
    waits: Option<(WorkerId, Micros)>,
    avoid: Option<WorkerId>,
    over_share: bool,
    tenant: usize,
    done: bool,
}

/// Decides for one instance. Feed it every event; it appends what is to be done.
#[derive(Debug, Default)]
pub struct Brain {
    settings: Settings,
    seed: u64,
    functions: BTreeMap<FunctionId, Function>,
    workers: BTreeMap<WorkerId, Worker>,
    list_version: u64,
    requests: BTreeMap<RequestId, Request>,
    deadlines: BTreeSet<(Micros, RequestId)>,
    held: BTreeSet<FunctionId>,
    /// Loads believed under way: since when, and how surely one is.
    loading: BTreeMap<Home, (Micros, f64)>,
    orders: BTreeSet<Home>,
    ordered: VecDeque<Micros>,
    taken: VecDeque<Micros>,
    served: VecDeque<Micros>,
    /// The most that a worker served for this instance on average over an interval, answers a microsecond.
    pub(crate) bears: f64,
    /// For each tenant this instance's part of its share, calls a second, what is left of it, and when.
    buckets: Vec<(f64, f64, Micros)>,
    total: f64,
    answers: f64,
    rolled: Micros,
    wakes: Micros,
    surveyed: Micros,
    /// Own requests in flight on average, as answers tell; whether they leave room to spread; and press.
    inflow: (f64, Micros),
    calm: bool,
    pressed: bool,
    first_cap: f64,
    /// Workers ready, and those of them that look healthy.
    ready: usize,
    pub(crate) fit: usize,
    subscribed: Micros,
    tries: BTreeMap<usize, Micros>,
}

/// What is done next for a held request: sent to a copy, to a load under way, or where, so surely, it begins
/// one; or a worker is asked what stands there, or told to load.
#[rustfmt::skip]
enum Step { Hold, Warm(WorkerId), Wait(WorkerId), Begin(WorkerId, f64), Ask(WorkerId), Order(WorkerId) }

/// What may follow for a request, by its effect class and what its attempts may have done.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct Allowed {
    /// Another attempt (keyed: within the group of the first that may have run).
    pub resend: bool,
    /// A refusal; where false only a failure is left.
    pub refuse: bool,
}

/// The table of outcome x effect class: `ran` is when the first attempt that may have run was sent.
pub fn allowed(effect: Effect, ran: Option<Micros>, now: Micros, margin: Micros) -> Allowed {
    let open = |window| ran.is_none_or(|sent| now + margin < sent + window);
    match effect {
        Effect::Safe => Allowed { resend: true, refuse: true },
        _ if ran.is_none() => Allowed { resend: true, refuse: true },
        Effect::Keyed { group, window } => {
            Allowed { resend: open(window), refuse: open(window) && group == Group::All }
        }
        Effect::Unsafe => Allowed { resend: false, refuse: false },
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss)
}

/// How many of the times in a queue lie within the span before now; drops the others.
fn recent(times: &mut VecDeque<Micros>, now: Micros, span: Micros) -> f64 {
    while times.front().is_some_and(|t| *t + span <= now) {
        times.pop_front();
    }
    times.len() as f64
}

/// A worker's place in a function's walk: the same at every instance, so that they meet at the same homes.
fn rendezvous(function: FunctionId, worker: WorkerId) -> u64 {
    let w = u64::from(worker.0).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let mut x = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ w;
    for _ in 0..2 {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    x ^ (x >> 31)
}

impl Request {
    /// Held with no prospect: no time left for an attempt, or none permitted any more. It gets its answer at
    /// once: a worker would go on with it after its client has gone. Can harm a call much shorter than usual.
    fn hopeless(&self, now: Micros, end: Micros, settings: &Settings) -> bool {
        let permitted = allowed(self.effect, self.ran.map(|(_, sent)| sent), now, ROUND).resend;
        end > self.expires || !permitted || self.attempts >= settings.max_attempts.max(1)
    }
}

impl Worker {
    /// A cap below one is kept in time: what own calls take beyond the cap, all of them and while still out:
    /// at a hundred instances most calls are an instance's first of that function, and owed nothing else.
    fn owes(&self, now: Micros) -> f64 {
        (self.debt + (f64::from(self.inflight) - self.cap) * (now - self.charged) as f64).max(0.0)
    }

    fn charge(&mut self, now: Micros, more: f64) {
        (self.debt, self.charged) = (self.owes(now) + more, now);
    }

    /// Whether it answers, as far as its symptoms tell. One trial at a time ends a spell on the bench.
    fn healthy(&self, now: Micros) -> bool {
        !self.stalled && (self.strikes < STRIKES || (now >= self.benched && self.inflight == 0))
    }

    fn cut(&mut self, now: Micros, floor: f64) {
        (self.cap, self.cut_at) = ((self.cap.min(f64::from(self.inflight + 1)) * CUT).max(floor), now);
    }
}

// ---- Events ----

impl Brain {
    /// A fresh instance that knows only its settings. The seed spreads turns on cold workers over them.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let instances = f64::from(settings.instances.max(1));
        let share = |t: &Tenant| (t.quota_per_s / instances, SLACK.max(t.quota_per_s / instances), now);
        let (buckets, first_cap) = (settings.tenants.iter().map(share).collect(), FIRST_CAP / instances);
        Brain { settings, seed, first_cap, buckets, rolled: now, ..Default::default() }
    }

    /// Takes one event. [`Brain::settle`] is due once after all that come together: to look over what is held
    /// at each of them took the whole processor where much was held, and then more was.
    pub fn take(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.on_members(now, kind, members),
            Event::Request(arrival) => self.on_request(now, arrival),
            Event::Ended(ended) => self.on_ended(now, &ended, out),
            // A stream that flows belongs to the client: no deadline, no call-back, no answer of ours.
            Event::Streaming { request: id } => drop(self.requests.entry(id).and_modify(|r| r.done = true)),
            Event::ClientGone { request } => self.on_client_gone(request, out),
            Event::Loaded { worker: w, function: f, outcome: o, copies } => {
                self.on_loaded(now, (w, f), o, copies)
            }
            Event::Probed { .. } => {}
            Event::Rumour { worker, down } => self.on_rumour(now, worker, down),
            Event::Share { tenant, quota_per_s } => self.on_share(now, tenant, quota_per_s),
            Event::Limits { ration, fall_multiple, bears } => {
                (self.settings.ration, self.settings.fall_multiple) = (ration, fall_multiple);
                self.bears = self.bears.max(bears);
            }
            Event::Wake { .. } => self.on_round(now, out),
        }
    }

    /// Does what follows from the events taken, and appends the actions.
    pub fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.release(now, out);
        self.keep_time(now, out);
        // Woken soon only where something is held or about to run out: a hundred idle instances cost nothing.
        let due = self.deadlines.first().is_some_and(|(t, _)| *t < now + SURVEY);
        let after = if due || !self.held.is_empty() { self.round() } else { SURVEY };
        if self.wakes <= now || now + after < self.wakes {
            self.wakes = now + after;
            out.push(Action::Wake { after, token: 0 });
        }
        if self.settings.must_subscribe && (self.subscribed == 0) {
            self.subscribed = now.max(1);
            out.push(Action::Subscribe);
        }
    }

    /// Others' word moves a worker down the walk for a while, or ends a spell on the bench: one trial tells.
    fn on_rumour(&mut self, now: Micros, worker: WorkerId, down: Option<Micros>) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        match down {
            Some(until) => w.rumoured = until,
            None => (w.rumoured, w.benched) = (0, w.benched.min(now)),
        }
    }

    /// An operator's tenants come and go while it runs; a bucket begins full, as at the start.
    fn on_share(&mut self, now: Micros, tenant: TenantId, quota_per_s: f64) {
        let (place, rate) = (tenant.0 as usize, quota_per_s / f64::from(self.settings.instances.max(1)));
        let missing = (place + 1).saturating_sub(self.buckets.len());
        self.buckets.extend(std::iter::repeat_n((0.0, 0.0, now), missing));
        self.buckets[place] = (rate, SLACK.max(rate), now);
    }

    fn on_members(&mut self, now: Micros, kind: ListKind, members: Vec<Member>) {
        if kind == ListKind::Failed {
            self.subscribed = 0;
            return;
        }
        self.list_version += 1;
        if kind != ListKind::Delta {
            let named: BTreeSet<WorkerId> = members.iter().map(|m| m.worker).collect();
            for (id, worker) in self.workers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                worker.ready = false;
                self.loading.retain(|(w, _), _| w != id);
            }
        }
        for m in members {
            let w = self.workers.entry(m.worker).or_default();
            let begun = w.cap == 0.0 || m.started.is_some() && m.started > w.started;
            if begun {
                let (started, cap) = (m.started, self.first_cap);
                let fresh = Worker { started, cap, strain: 1.0, ..Default::default() };
                let fresh = Worker { quiet_since: now, heard_ok: now, ..fresh };
                *w = Worker { inflight: w.inflight, ..fresh };
            }
            (w.zone, w.cell, w.ready) = (Some(m.zone), Some(m.cell), m.status == Status::Ready);
            if begun || m.status == Status::Gone {
                self.forget_copies(m.worker);
            }
        }
        self.survey(now);
    }

    fn on_request(&mut self, now: Micros, a: Arrival) {
        if self.settings.ration.is_some() {
            self.taken.push_back(now);
        }
        let over_share = self.past_share(now, a.tenant);
        let unseen = || Function { last_calls: 1.0, ..Default::default() };
        let f = self.functions.entry(a.function).or_insert_with(unseen);
        f.lanes = a.lanes.max(1);
        f.load_time = a.load_time.or(f.load_time);
        f.calls += 1.0;
        f.held.push_back(a.request);
        self.held.insert(a.function);
        self.deadlines.insert((a.expires, a.request));
        let class = a.class.0 as usize;
        let (function, expires, left) = (a.function, a.expires, a.expires.saturating_sub(now));
        // A try with less time than others of its class is a repeat: its aim runs from the first try.
        let longest = *self.tries.entry(class).and_modify(|t| *t = left.max(*t)).or_insert(left);
        let (aim, deadline, effect) =
            self.settings.classes.get(class).map_or_else(Default::default, |c| (c.aim, c.deadline, c.effect));
        let repeat = left + self.settings.tick < longest;
        let asked = if repeat { now.min(expires.saturating_sub(deadline)) } else { now };
        let mut r = Request { function, class, effect, aim, over_share, ..Default::default() };
        (r.arrived, r.asked, r.expires, r.tenant) = (now, asked, expires, a.tenant.0 as usize);
        self.requests.insert(a.request, r);
    }

    fn on_ended(&mut self, now: Micros, e: &Ended, out: &mut Vec<Action>) {
        let (id, worker, outcome) = (e.request, e.worker, e.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(mut attempt) = r.out.take() else { return };
        let function = r.function;
        r.done |= e.terminal;
        if !never_ran(outcome) {
            r.ran.get_or_insert((worker, attempt.sent));
        }
        if outcome != Outcome::Ok {
            r.avoid = Some(worker);
        }
        let (aim, class) = (r.aim as f64, r.class);
        let (done, client_time) = (r.done, r.expires <= now + self.settings.tick);
        if attempt.cold && outcome == Outcome::Ok {
            let f = self.functions.get(&function);
            let usual = f.map_or(0.0, |f| self.mean(f) + self.load_patience(f) as f64 / 3.0);
            attempt.cold = e.warmth.map_or(e.latency as f64 > usual, |w| w != Warmth::Stood);
        }
        self.learn_copies(now, function, e);
        self.learn_health(now, e, &attempt, (class, aim));
        if outcome == Outcome::Ok {
            self.learn_latency(now, function, e, &attempt, aim);
        }
        if done {
            self.forget(id);
            return;
        }
        let r = &self.requests[&id];
        let again = allowed(r.effect, r.ran.map(|(_, sent)| sent), now, ROUND).resend;
        if !again || client_time || r.attempts >= self.settings.max_attempts {
            self.answer(now, id, out);
            return;
        }
        let first = self.functions.get(&function).and_then(|f| f.order.first());
        // A copy in a crowd is not enough: at a miss the next home, the same for all instances, is told to
        // hold one too, while this call goes on.
        let crowd = |w: &WorkerId| self.workers.get(w).is_some_and(|w| self.told(now, w) >= CROWD);
        let copies = self.functions.get(&function).into_iter().flat_map(|f| &f.copies);
        let jammed = r.attempts == 1 && copies.filter(|(_, c)| c.count > 0).any(|(w, _)| crowd(w));
        if outcome == Outcome::Miss && (first == Some(&worker) || jammed) {
            self.order_load(now, (worker, function), id, out);
        }
        if let Some(f) = self.functions.get_mut(&function) {
            f.held.push_front(id);
            self.held.insert(function);
        }
    }

    fn on_client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.done = true;
        let attempt = r.attempts.saturating_sub(1) as u8;
        match r.out {
            Some(_) if self.settings.may_cancel => out.push(Action::Cancel { request: id, attempt }),
            Some(_) => {}
            None => self.forget(id),
        }
    }

    fn on_round(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.surveyed + SURVEY {
            return;
        }
        self.surveyed = now;
        if now >= self.rolled + INTERVAL {
            self.rolled = now;
            // What is not seen for two intervals is forgotten, or memory would grow with every function met.
            self.functions.retain(|_, f| {
                f.calls + f.last_calls > 0.0 || !f.held.is_empty() || f.copies.values().any(|c| c.own > 0)
            });
            for f in self.functions.values_mut() {
                (f.last_calls, f.calls, f.sum) = (f.calls, 0.0, 0.0);
                f.total *= (MEMORY / f.answers).min(1.0);
                f.answers = f.answers.min(MEMORY);
                f.copies.retain(|w, c| c.own > 0 || self.workers.contains_key(w));
            }
        }
        self.survey(now);
        // Nobody tells the end of a load whose requests have left: past its usual time it holds no place.
        let mut loading = std::mem::take(&mut self.loading);
        loading.retain(|(_, f), (since, _)| {
            self.functions.get(f).is_some_and(|f| now <= *since + self.load_patience(f))
        });
        self.loading = loading;
        self.call_back(now, out);
    }

    /// What is counted over all workers, once a round.
    fn survey(&mut self, now: Micros) {
        let of = |(id, w): (&WorkerId, &Worker)| self.stalled(now, *id, w).then_some(*id);
        let stalled: BTreeSet<WorkerId> = self.workers.iter().filter_map(of).collect();
        self.workers.iter_mut().for_each(|(id, w)| w.stalled = stalled.contains(id));
        self.workers.retain(|_, w| w.ready || w.inflight > 0);
        self.ready = self.workers.values().filter(|w| w.ready).count();
        self.fit = self.workers.values().filter(|w| w.ready && w.healthy(now)).count();
        let ready = self.ready.max(1) as f64;
        let served = recent(&mut self.served, now, INTERVAL);
        // The best seen: a budget cut by the very loss it should mend would never recover.
        self.bears = self.bears.max(served / INTERVAL as f64 / ready);
        let caps: f64 = self.workers.values().filter(|w| w.ready).map(|w| w.cap).sum();
        self.calm = self.carried(now) < CALM * caps;
        self.pressed = self.carried(now) > PRESSED * caps.max(self.first_cap * ready);
    }

    /// No held request outlives its client's time: at every event, as a try can come with hardly any left.
    fn keep_time(&mut self, now: Micros, out: &mut Vec<Action>) {
        let edge = now + self.round() + self.settings.tick;
        let due: Vec<RequestId> =
            self.deadlines.iter().take_while(|(t, _)| *t <= edge).map(|(_, id)| *id).collect();
        for id in due {
            let r = &self.requests[&id];
            // An attempt still out ends with the client's time by itself; its outcome is answered then.
            let silent = now > r.expires + self.settings.answer_grace / 2;
            if !r.done && (r.out.is_none() || silent) {
                self.answer(now, id, out);
            }
        }
    }

    fn round(&self) -> Micros {
        self.settings.tick.max(ROUND)
    }

    /// Gives the final answer: a refusal while the table permits it, else a failure.
    fn answer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let retry_after = self.room_in(now, id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.done = true;
        let still_out = r.out.is_some() && r.effect != Effect::Safe;
        let refuse = !still_out && allowed(r.effect, r.ran.map(|(_, sent)| sent), now, 0).refuse;
        let (refused, failed) = (Action::Refuse { request: id, retry_after }, Action::Fail { request: id });
        out.push(if refuse { refused } else { failed });
        if r.out.is_none() {
            self.forget(id);
        }
    }

    /// When room is expected, as the client is told: its tenant's bucket holds a call again and the first of
    /// the function's homes has paid its debt. Without it repeats meet the same crowd.
    fn room_in(&self, now: Micros, id: RequestId) -> Micros {
        let Some(r) = self.requests.get(&id) else { return 0 };
        let bucket = self.buckets.get(r.tenant).filter(|_| r.over_share);
        let share = bucket.map_or(0.0, |(rate, level, _)| (1.0 - level).max(0.0) * 1e6 / rate);
        let homes = self.functions.get(&r.function).into_iter().flat_map(|f| &f.order);
        let sound = homes.filter_map(|w| self.workers.get(w)).filter(|w| w.ready && w.healthy(now));
        let paid =
            sound.map(|w| (w.owes(now) - self.mean_all()).max(0.0) / w.cap).fold(f64::INFINITY, f64::min);
        (paid.max(share) as Micros).min(self.settings.max_retry_after)
    }

    fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.deadlines.remove(&(r.expires, id));
        self.unhold(r.function, id);
    }

    fn unhold(&mut self, function: FunctionId, id: RequestId) {
        let Some(f) = self.functions.get_mut(&function) else { return };
        f.held.retain(|h| *h != id);
        if f.held.is_empty() {
            self.held.remove(&function);
        }
    }

    fn carried(&self, now: Micros) -> f64 {
        self.inflow.0 * (-((now - self.inflow.1) as f64) * 4.0 / INTERVAL as f64).exp()
    }

    /// Calls that a worker told of; to few instances their own tell enough.
    fn told(&self, now: Micros, w: &Worker) -> u32 {
        let counts = self.first_cap < 1.0 && now < w.told.1 + self.settings.keep;
        u32::from(counts) * w.told.0 as u32
    }

    fn mean_all(&self) -> f64 {
        self.total / self.answers.max(1.0)
    }

    fn mean(&self, f: &Function) -> f64 {
        Some(f.total / f.answers).filter(|m| m.is_finite()).unwrap_or_else(|| self.mean_all())
    }

    /// FCP: the larger of last interval's calls times the mean and this interval's run time.
    fn demand(&self, f: &Function) -> f64 {
        (f.last_calls * self.mean(f)).max(f.sum)
    }

    /// Sends what may leave: lowest demand first, earliest arrival on ties. On-time requests go before those
    /// past their aim, those before what is over a tenant's share: what earns least yields under pressure.
    fn release(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut queue = Vec::new();
        for function in &self.held {
            let f = &self.functions[function];
            // No demand is negative, so that its bits are in its order.
            let (demand, mean) = (self.demand(f).to_bits(), self.mean(f) as Micros);
            for id in &f.held {
                let r = &self.requests[id];
                // When an attempt that leaves now is expected to have ended.
                let end = now + mean.min(r.aim / 2);
                // Past its aim, or past hope of it: served late it earns little.
                let rank = u8::from(end > r.asked + r.aim).max(2 * u8::from(r.over_share));
                queue.push((rank, demand, r.arrived, *id, *function, r.hopeless(now, end, &self.settings)));
            }
        }
        queue.sort_unstable();
        let (mut stuck, mut give_up) = (None, None);
        for (rank, _, _, id, function, hopeless) in queue {
            // What earns least is given up first and early: served late it takes cores from what is in time,
            // of other instances too, whose calls no rank here protects: where caps are below one, as soon as
            // calls press. Covers repeats that keep a jam up. Can harm where late answers earn nearly as
            // much.
            let waits = self.requests[&id].waits.is_some();
            if hopeless || rank > 0 && !waits && *give_up.get_or_insert_with(|| self.backlogged()) {
                self.answer(now, id, out);
            } else if stuck != Some((rank, function)) && !self.place(now, function, id, out) && !waits {
                stuck = Some((rank, function));
            }
        }
    }

    /// More is held than half of what all workers have in flight from here; at many instances: pressed.
    fn backlogged(&self) -> bool {
        if self.first_cap < 1.0 && self.pressed {
            return true;
        }
        let held: usize = self.held.iter().map(|f| self.functions[f].held.len()).sum();
        2 * held > self.workers.values().map(|w| w.inflight as usize).sum::<usize>() + FIRST_CAP as usize
    }

    // ---- Placement ----

    /// Sends one held request if some worker may take it now; tells whether it left.
    fn place(&mut self, now: Micros, function: FunctionId, id: RequestId, out: &mut Vec<Action>) -> bool {
        self.refresh_order(function);
        let step = self.choose(now, function, id);
        match step {
            Step::Hold => {}
            Step::Warm(w) => self.send(now, id, w, false, out),
            Step::Wait(w) => self.send(now, id, w, true, out),
            Step::Begin(w, sure) => {
                self.begin_load(now, (w, function), sure);
                self.send(now, id, w, true, out);
            }
            Step::Ask(worker) => {
                self.functions.entry(function).and_modify(|f| {
                    f.copies.entry(worker).or_default().asked = now;
                    f.asked = now;
                });
                out.push(Action::Load { worker, function, copies: 0 });
            }
            Step::Order(w) => self.order_load(now, (w, function), id, out),
        }
        matches!(step, Step::Warm(_) | Step::Wait(_) | Step::Begin(..))
    }

    fn choose(&self, now: Micros, function: FunctionId, id: RequestId) -> Step {
        let (f, r, keep) = (&self.functions[&function], &self.requests[&id], self.settings.keep);
        let none = Copies::default();
        let copy = |w: &WorkerId| f.copies.get(w).unwrap_or(&none);
        let past = |t: Micros| t == 0 || now >= t + keep;
        let warm = |c: &Copies| c.count > 0 && (c.own > 0 || !past(c.used));
        let sound = |w: &WorkerId| self.workers.get(w).is_some_and(|s| s.ready && s.healthy(now));
        // A call of credit at each worker for each of many instances is thousands that no cap holds back,
        // spent at the start of a rush. Few instances keep it; of many only a function without two known
        // homes has any, while calm: it would wait or load. Can harm where many such share a home.
        let lone = f.copies.iter().filter(|(w, c)| warm(c) && sound(w)).count() < 2;
        let calls = if self.first_cap < 1.0 { CREDIT * f64::from(lone && self.calm) } else { 1.0 };
        let credit = calls * self.mean_all();
        let room = |w: &WorkerId| self.has_slot(now, *w, credit) && self.usable(now, *w, r);
        // Workers of which ill is rumoured come last, each part in the function's own order.
        let ill = |w: &WorkerId| self.workers.get(w).is_some_and(|s| now < s.rumoured);
        let walk = || f.order.iter().filter(|w| !ill(w)).chain(f.order.iter().filter(|w| ill(w))).copied();
        let rest: Vec<WorkerId> = walk().filter(room).collect();
        let usable = || rest.iter().copied();
        let untried = |c: &Copies| c.own == 0 && past(c.used) && past(c.missed);
        let (patience, many) = (self.load_patience(f), self.settings.instances > 1);
        let loads = |c: &Copies| c.loading.is_some_and(|t| now < t + patience) && c.count == 0;
        let open = |w: &WorkerId| self.workers.get(w).is_some_and(|s| self.cold_room(now, *w, s));
        let cold = |w: &WorkerId| {
            self.workers.get(w).and_then(|s| s.started).is_some_and(|t| now < t + self.settings.cold_time)
        };
        let home = walk().find(|w| sound(w) && (self.first_cap < 1.0 || open(w)));
        // 1. Warm with a free lane. A first home not tried lately is not cold: others may keep copies there.
        let lane = |c: &Copies| warm(c) && c.own < f.lanes * c.count;
        // Not with the last attempt, nor away from a load ordered for this call: three misses are a refusal.
        let spare = r.attempts + 1 < self.settings.max_attempts;
        let blind = spare && r.waits.is_none();
        let first = |w: WorkerId| Some(w) == home && many && blind && untried(copy(&w));
        // One of many instances tries the next home with the call itself, a miss costs it one attempt: while
        // a load is under way, and before homes that told of a crowd; it knows no second home of most. Cold
        // ones last, then a first home passed over: a crowded copy is better than a load.
        let tries = self.first_cap < 1.0 && !self.miss_loads() && spare && (blind || r.attempts == 1);
        let told = |w: &WorkerId| self.workers.get(w).map_or(0, |w| self.told(now, w));
        let next = || {
            let worth = |w: &WorkerId| untried(copy(w)) && told(w) < CROWD;
            let back = || usable().find(|w| r.attempts == 1 && Some(*w) == home && untried(copy(w)));
            back().or_else(|| usable().filter(worth).min_by_key(cold)).filter(|_| tries)
        };
        // Rested workers first: else every instance fills the same home before it goes to the next.
        let rested = |w: &WorkerId| self.workers.get(w).is_some_and(|s| s.cap >= 1.0 || s.owes(now) == 0.0);
        let quiet = usable().find(|w| (lane(copy(w)) && rested(w) || first(*w)) && told(w) < CROWD);
        let taken =
            || usable().filter(|w| lane(copy(w))).min_by_key(|w| if told(w) < CROWD { 0 } else { told(w) });
        match quiet.or_else(|| taken().map(|w| next().filter(|_| blind).unwrap_or(w))) {
            Some(w) if !warm(copy(&w)) => return Step::Begin(w, if self.miss_loads() { 0.5 } else { 0.0 }),
            Some(w) => return Step::Warm(w),
            None => {}
        }
        if let Some(w) = next().filter(|_| r.waits.is_some()) {
            return Step::Begin(w, 0.0);
        }
        if let Some((w, from)) = r.waits.filter(|(w, _)| loads(copy(w)) && self.usable(now, *w, r)) {
            return if now >= from && self.has_slot(now, w, credit) { Step::Wait(w) } else { Step::Hold };
        }
        // Further homes are tried before a load in vain evicts others' copies: of few instances by asking, of
        // many by the call itself: their asks outnumbered their loads three to one, and a miss costs nothing
        // but one attempt. The last attempt is kept for a copy known or a load ordered.
        if f.asked > 0 && now < f.asked + 2 * ROUND {
            return Step::Hold;
        }
        let misses = f.copies.values().filter(|c| !past(c.missed)).count();
        if self.settings.may_load && many && misses < ASKS {
            match usable().find(|w| untried(copy(w)) && past(copy(w).asked)) {
                Some(w) if self.miss_loads() || self.first_cap >= 1.0 => return Step::Ask(w),
                Some(w) if blind => return Step::Begin(next().unwrap_or(w), 0.0),
                _ => {}
            }
        }
        // 2. A load under way: wait there, not more than two turns deep.
        let any_warm = f.copies.iter().any(|(w, c)| warm(c) && sound(w));
        if !any_warm {
            if let Some(w) = usable().find(|w| loads(copy(w)) && copy(w).own < 2 * f.lanes) {
                return Step::Wait(w);
            }
        }
        // 3. Lanes taken: one more turn is cheaper than part of a load, and each load evicts others' copies.
        let waited = now - r.arrived;
        if any_warm && waited < (self.mean(f) as Micros).max(patience / 4) {
            return Step::Hold;
        }
        // 4. A second turn where the function stands: the worker starts another copy by itself, no fetch.
        if let Some(w) = usable().find(|w| warm(copy(w)) && copy(w).own < 2 * f.lanes * copy(w).count) {
            return Step::Warm(w);
        }
        // 5. A cold worker, next in the order; loads under way are bounded, the store is shared. While all
        // carry much only the first home loads: spreading then evicts others' copies, and all is late. One of
        // many instances may still have a few: two that come together are chance, and the second was late.
        let most_loads = (self.first_cap * self.ready as f64 / 2.0 - 1.0).max(2.0);
        if any_warm && !self.calm
            || self.loading.values().map(|(_, sure)| sure).sum::<f64>() > most_loads
            || f.copies.values().any(loads) && waited < patience
        {
            return Step::Hold;
        }
        let near = |w: &WorkerId| self.calm || Some(*w) == home;
        match usable().find(|w| near(w) && !warm(copy(w)) && !loads(copy(w))) {
            Some(w) if !self.miss_loads() && (!blind || !past(copy(&w).missed)) => Step::Order(w),
            Some(w) => Step::Begin(w, 1.0),
            None => Step::Hold,
        }
    }

    /// Whether a call that misses begins a load by itself; else it takes no place among the loads.
    fn miss_loads(&self) -> bool {
        self.settings.on_miss == OnMiss::Loads
    }

    fn refresh_order(&mut self, function: FunctionId) {
        let stale = |f: &&mut Function| f.order_of != self.list_version;
        if let Some(f) = self.functions.get_mut(&function).filter(stale) {
            f.order_of = self.list_version;
            f.order = self.workers.iter().filter(|(_, w)| w.ready).map(|(id, _)| *id).collect();
            f.order.sort_by_key(|w| rendezvous(function, *w));
            f.order.truncate(WALK);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, worker: WorkerId, cold: bool, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let function = r.function;
        r.attempts += 1;
        r.out = Some(Attempt { worker, sent: now, cold, cancelled: false });
        // A try elsewhere leaves the load ordered for it to come back to, and its head start.
        r.waits = r.waits.filter(|(w, _)| *w != worker);
        let Some(f) = self.functions.get_mut(&function) else { return };
        let c = f.copies.entry(worker).or_default();
        (c.own, c.used) = (c.own + 1, now);
        self.unhold(function, id);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.quiet_since = if w.inflight == 0 { now } else { w.quiet_since };
            w.charge(now, 0.0);
            w.inflight += 1;
            recent(&mut w.sent, now, self.settings.fall_window);
            w.sent.push_back(now);
        }
        out.push(Action::Send { request: id, worker, within: None });
    }

    fn learn_copies(&mut self, now: Micros, function: FunctionId, e: &Ended) {
        let worker = e.worker;
        let Some(f) = self.functions.get_mut(&function) else { return };
        let c = f.copies.entry(worker).or_default();
        c.own = c.own.saturating_sub(1);
        match e.outcome {
            Outcome::Ok => {
                // More held than the lanes believed: the worker has begun, or others have ordered, one more.
                let needed = (e.crowd + 1).div_ceil(f.lanes);
                c.count = c.count.max(1).max(needed.min(c.count + 1));
                (c.used, c.missed) = (now, 0);
            }
            Outcome::Miss => (c.count, c.missed) = (0, now),
            Outcome::Error if e.warmth != Some(Warmth::LoadFailed) => return,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => return,
            _ => {}
        }
        c.loading = None;
        self.loading.remove(&(worker, function));
    }

    fn learn_latency(&mut self, now: Micros, function: FunctionId, e: &Ended, a: &Attempt, aim: f64) {
        let least_cap = (self.first_cap / 4.0).min(1.0);
        let (latency, warm) = (e.latency as f64, e.warmth.map_or(!a.cold, |w| w == Warmth::Stood));
        self.served.push_back(now);
        let told = e.report.is_some_and(|r| r.inflight.is_some());
        let load = e.report.and_then(|r| r.inflight).map_or(0.0, f64::from).max(f64::from(e.crowd + 1));
        let usual = self.functions.get(&function).map_or(0.0, |f| self.mean(f));
        let Some(f) = self.functions.get_mut(&function) else { return };
        (f.sum, f.total, f.answers) = (f.sum + latency, f.total + latency, f.answers + 1.0);
        (self.total, self.answers) = (self.total + latency, self.answers + 1.0);
        self.inflow = (self.carried(now) + latency * 4.0 / INTERVAL as f64, now);
        let Some(w) = self.workers.get_mut(&e.worker) else { return };
        w.told = (load, now);
        if warm && usual > 0.0 && aim > 0.0 {
            // Slow against the function elsewhere, or too slow for the aim: a cap raised until 'full' would
            // fill queues that no answer leaves in time. Rare answers weigh more.
            let slow = (latency / (STRAINED * usual)).max(latency / (AIM_SHARE * aim)).min(4.0);
            let weight = ((now - w.heard_ok) as f64 / INTERVAL as f64).clamp(STRAIN_STEP, 0.5);
            w.strain += weight * (slow - w.strain);
            w.heard_ok = now;
        }
        if w.cap < 1.0 && (told || load > FIRST_CAP) {
            // Few answers come from each worker: the cap follows what one tells both ways, and soon. Slow
            // alone is a small worker, crowded alone one that bears it. Covers jams, slow and hot workers.
            // Can harm where reports are so late that all instances swing.
            let pressure = (load.max(1.0) / FIRST_CAP * latency * 3.0 / aim.max(1.0)).sqrt();
            w.cap = (w.cap / pressure.clamp(0.6, 1.6)).clamp(least_cap, 1.0);
        } else if w.strain > 1.0 && (!told || load > LIGHT) && now > w.cut_at + usual as Micros * 2 {
            // Slow answers alone leave few instances a call or two: when a day begins all workers are slow,
            // and a cap below one holds calls back. While all carry much, and on 'full', it cuts deeper.
            // Those of a worker that tells of few calls are its own pace: less work makes them no faster.
            let few = self.calm && self.first_cap >= 2.0;
            w.cut(now, if few { 1.0 } else { least_cap });
        } else if f64::from(w.inflight + 1) >= w.cap * 0.75 {
            w.cap += (1.0 / w.cap).min(w.cap / 8.0);
        }
    }

    // ---- Loads ----

    /// How long a load is taken to be under way when nothing is heard of it.
    fn load_patience(&self, f: &Function) -> Micros {
        let aim = self.settings.classes.iter().map(|c| c.aim).max().unwrap_or(0);
        f.load_time.unwrap_or(aim) * 3 / 2
    }

    fn begin_load(&mut self, now: Micros, (worker, function): Home, sure: f64) {
        let Some(f) = self.functions.get_mut(&function) else { return };
        if sure == 1.0 {
            f.copies.entry(worker).or_default().loading = Some(now);
        }
        self.loading.insert((worker, function), (now, sure));
    }

    /// Orders a copy, one order for a worker and function at a time, and has the request wait for it.
    fn order_load(&mut self, now: Micros, (w, f): Home, id: RequestId, out: &mut Vec<Action>) {
        if !self.orders.contains(&(w, f)) {
            let ready = self.workers.get(&w).is_some_and(|w| w.ready);
            let spare = self.requests.get(&id).is_some_and(|r| r.attempts + 1 < self.settings.max_attempts);
            if !self.settings.may_load || !ready || !self.within_ration(now, spare) {
                return;
            }
            self.ordered.push_back(now);
            self.orders.insert((w, f));
            self.begin_load(now, (w, f), 1.0);
            out.push(Action::Load { worker: w, function: f, copies: 1 });
        }
        // A SEND can overtake its LOAD, and a miss there costs an attempt: leave the order a head start.
        let from = now + (2 * self.settings.tick).max(ROUND / 2);
        self.requests.entry(id).and_modify(|r| (r.waits, r.avoid) = (Some((w, from)), None));
    }

    fn on_loaded(&mut self, now: Micros, (worker, function): Home, outcome: Outcome, copies: u32) {
        // A refused connect tells of the worker whatever it was for; few instances see enough of others.
        let refused = outcome == Outcome::ConnectFailed && self.first_cap < 1.0;
        if let Some(w) = self.workers.get_mut(&worker).filter(|_| refused) {
            if w.strikes < STRIKES {
                (w.strikes, w.down, w.benched) = (STRIKES, Some(now), now + BENCH);
            }
        }
        self.orders.remove(&(worker, function));
        self.loading.remove(&(worker, function));
        let Some(f) = self.functions.get_mut(&function) else { return };
        let c = f.copies.entry(worker).or_default();
        c.loading = None;
        if copies > 0 {
            (c.count, c.used, c.missed) = (copies, now, 0);
        } else if outcome != Outcome::Timeout {
            (c.count, c.missed) = (0, now);
        }
    }

    fn forget_copies(&mut self, worker: WorkerId) {
        for f in self.functions.values_mut() {
            if let Some(c) = f.copies.get_mut(&worker) {
                *c = Copies { own: c.own, ..Default::default() };
            }
        }
        self.loading.retain(|(w, _), _| *w != worker);
    }

    // ---- Health ----

    fn has_slot(&self, now: Micros, worker: WorkerId, credit: f64) -> bool {
        let room = |w: &Worker| {
            f64::from(w.inflight) < w.cap.max(2.0)
                && (w.cap >= 1.0 || w.owes(now) <= if w.strikes == 0 { credit } else { 0.0 })
        };
        self.workers.get(&worker).is_some_and(room)
    }

    fn learn_health(&mut self, now: Micros, e: &Ended, a: &Attempt, (class, aim): (usize, f64)) {
        let (worker, outcome) = (e.worker, e.outcome);
        let (usual, floor) = (self.mean_all(), (self.first_cap / 4.0).min(1.0));
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.charge(now, 0.0);
        w.inflight = w.inflight.saturating_sub(1);
        let mut reborn = false;
        let answered_since = w.quiet_since > a.sent;
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Miss | Outcome::Full => {
                (w.quiet_since, w.strikes, w.stalled) = (now, 0, false);
                let gate = w.gates.entry(class).or_default();
                if outcome == Outcome::Full && e.latency as f64 > aim / 10.0 {
                    // 'Full' said only after a while is a limit on this class: it alone is kept away, longer
                    // each time. Can harm where a worker is slow to say anything: its class waits elsewhere.
                    gate.1 = (2 * gate.1).clamp(INTERVAL / 8, INTERVAL);
                    gate.0 = now + gate.1;
                } else if outcome == Outcome::Full {
                    w.cut(now, floor);
                    w.charge(now, 2.0 * usual);
                } else if outcome == Outcome::Ok {
                    *gate = (0, 0);
                }
                // It vanished and answers again: cold and empty, whatever the list says yet. An answer to
                // what was sent before shows that the process lived on and only connections were short.
                if w.down.take().is_some_and(|at| a.sent >= at) {
                    w.started = Some(now);
                    reborn = true;
                }
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Reset if !answered_since => {
                // All that ends with one connection is one sign.
                w.strikes += u32::from(outcome != Outcome::Reset || w.reset != now);
                w.reset = if outcome == Outcome::Reset { now } else { w.reset };
                // Answers alone tell only of what survives: silence beyond the usual cuts too.
                if outcome != Outcome::Reset && usual > 0.0 && e.latency as f64 > STRAINED * usual {
                    w.cut(now, floor);
                }
            }
            Outcome::ConnectFailed if !answered_since => {
                w.strikes = (w.strikes + 1).max(STRIKES);
                w.down = Some(now);
            }
            _ => {}
        }
        if w.strikes >= STRIKES {
            w.benched = now + (BENCH << (w.strikes - STRIKES).min(4));
        }
        if reborn {
            self.forget_copies(worker);
        }
    }

    /// No answer at all for longer than its attempts take elsewhere: hung, cut off, or buried in work.
    fn stalled(&self, now: Micros, id: WorkerId, w: &Worker) -> bool {
        let aim = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(0);
        // One long request alone is no sign of a hang, nor is a wait for a load.
        let limit = (4.0 * self.mean_all()).max(aim as f64 * 0.75) * if w.inflight > 1 { 1.0 } else { 2.0 };
        let here = self.loading.range((id, FunctionId(0))..=(id, FunctionId(u64::MAX)));
        let load = here.filter_map(|((_, f), _)| self.functions.get(f)).map(|f| self.load_patience(f)).max();
        w.inflight > 0 && now > w.quiet_since + limit as Micros + load.unwrap_or(0)
    }

    /// Calls back what may be repeated from silent workers; a time-out by the clock would feed an overload.
    fn call_back(&mut self, now: Micros, out: &mut Vec<Action>) {
        let stalled = self.workers.values().filter(|w| w.stalled).count();
        if stalled == 0 || !self.settings.may_cancel || 2 * stalled > self.workers.len() {
            return;
        }
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| !r.done) {
            let Some(a) = r.out.as_mut() else { continue };
            let quiet = |w: &Worker| w.stalled && (now - a.sent) * 4 > (now - w.quiet_since) * 3;
            let ours = self.workers.get(&a.worker).is_some_and(quiet);
            let again =
                r.attempts < self.settings.max_attempts && allowed(r.effect, Some(a.sent), now, ROUND).resend;
            if ours && again && !a.cancelled {
                a.cancelled = true;
                out.push(Action::Cancel { request: *id, attempt: (r.attempts - 1) as u8 });
            }
        }
    }

    /// Whether a worker may take this request now, lanes and slots aside.
    fn usable(&self, now: Micros, id: WorkerId, r: &Request) -> bool {
        let Some(w) = self.workers.get(&id) else { return false };
        if !w.ready || w.gates.get(&r.class).is_some_and(|g| now < g.0) || !self.cold_room(now, id, w) {
            return false;
        }
        if let (Some((at, _)), Effect::Keyed { group, .. }) = (r.ran, r.effect) {
            let first = self.workers.get(&at);
            if group == Group::Zone && first.is_none_or(|f| f.zone != w.zone)
                || group == Group::Cell && first.is_none_or(|f| f.cell != w.cell)
            {
                return false;
            }
        }
        // Never eject most of the fleet: when most look ill the fault is elsewhere.
        (w.healthy(now) || 2 * self.fit < self.ready) && (r.avoid != Some(id) || self.ready < 2)
    }

    // ---- Guards ----

    /// The cold budget: within the fall window a cold worker gets at most its multiple of what it can do,
    /// taken from what warm workers serve for this instance, so that the instances share it without talking.
    /// A budget below one call is kept in time: a turn of one call in so many windows, spread by the seed,
    /// that lapses, soonest under load: a hundred instances that have saved one call up each push it over.
    fn cold_room(&self, now: Micros, id: WorkerId, w: &Worker) -> bool {
        let s = &self.settings;
        let Some(started) = w.started else { return true };
        let age = now.saturating_sub(started);
        if s.fall_multiple <= 0.0 || age >= s.cold_time {
            return true;
        }
        let part = s.cold_from + (1.0 - s.cold_from) * age as f64 / s.cold_time as f64;
        let budget = s.fall_multiple * part * self.bears * s.fall_window as f64 * COLD_SAFETY;
        if budget < 1.0 {
            let turn = s.fall_window as f64 / (0.75 * budget).max(1.0 / f64::from(s.instances.max(1)));
            let phase = rendezvous(FunctionId(self.seed), id) as f64 / u64::MAX as f64;
            let into = (phase + age as f64 / turn).fract() * turn;
            let fresh = w.sent.back().is_none_or(|t| *t as f64 + into < now as f64);
            return fresh && into <= s.fall_window as f64 * if self.calm { 2.0 } else { 0.25 };
        }
        let sent = w.sent.iter().rev().take_while(|t| **t + s.fall_window > now).count() as f64;
        sent + 1.0 <= budget
    }

    /// The ration of load orders, counted at the very order, this one included.
    /// While a call has attempts to spare, many instances leave half of it to calls that have none: what one
    /// of them orders others do at once, and a call that finds the ration used up is refused.
    fn within_ration(&mut self, now: Micros, spare: bool) -> bool {
        let Some(ration) = self.settings.ration else { return true };
        // An order on the very edge of the window still counts, a call there no more.
        let orders = recent(&mut self.ordered, now, ration.window + 1) + 1.0;
        let calls = recent(&mut self.taken, now, ration.window);
        let part = if spare && self.first_cap < 1.0 { 0.5 } else { 1.0 };
        orders <= part * (ration.free + ration.ratio * calls)
    }

    /// Whether a tenant is past this instance's part of its share: a bucket of one second's worth, or of a
    /// few calls: an instance that sees less than a call a second would find every one over the share.
    fn past_share(&mut self, now: Micros, tenant: TenantId) -> bool {
        let bucket = self.buckets.get_mut(tenant.0 as usize).filter(|(rate, ..)| *rate > 0.0);
        let Some((rate, level, at)) = bucket else { return false };
        *level = (*level + (now - *at) as f64 / 1e6 * *rate).min(rate.max(SLACK));
        *at = now;
        let over = *level < 1.0;
        *level -= if over { 0.0 } else { 1.0 };
        over
    }
}
