//! The decisions, all of them; `src/api.rs` is the interface. Held requests leave by Fair Choice on total
//! processing time (FCP): lowest demand first. All instances walk the workers in one hash order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;

mod budgets;
mod health;
mod loads;
mod members;
mod queue;
mod requests;
mod selection;
use members::rendezvous;
pub use requests::{allowed, never_ran, Allowed};

/// FCP counts calls and run time in intervals of this length (the paper's minute is longer than a burst).
const INTERVAL: Micros = 10_000_000;
/// Answers that a function's mean remembers at most across a roll, so that it follows a change of cost.
const MEMORY: f64 = 64.0;
/// Requests in flight from all instances that a worker may have before answers have raised or cut its cap.
const FIRST_CAP: f64 = 8.0;
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
/// Calls held by a worker that make it crowded, as it told last and not longer ago than copies are kept.
const CROWD: u32 = FIRST_CAP as u32;

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
pub struct Policy {
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

/// How many of the times in a queue lie within the span before now; drops the others.
fn recent(times: &mut VecDeque<Micros>, now: Micros, span: Micros) -> f64 {
    while times.front().is_some_and(|t| *t + span <= now) {
        times.pop_front();
    }
    times.len() as f64
}

impl Policy {
    /// A fresh instance that knows only its settings. The seed spreads turns on cold workers over them.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let instances = f64::from(settings.instances.max(1));
        let share = |t: &Tenant| {
            (
                t.quota_per_s / instances,
                SLACK.max(t.quota_per_s / instances),
                now,
            )
        };
        let (buckets, first_cap) = (
            settings.tenants.iter().map(share).collect(),
            FIRST_CAP / instances,
        );
        Policy {
            settings,
            seed,
            first_cap,
            buckets,
            rolled: now,
            ..Default::default()
        }
    }

    /// Takes one event; [`Policy::settle`] is due once after all that come together.
    pub fn take(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::WorkerList {
                update: kind,
                workers: members,
            } => self.on_members(now, kind, members),
            Event::Request(arrival) => self.on_request(now, arrival),
            Event::AttemptEnded(ended) => self.on_ended(now, &ended, out),
            // A stream that flows belongs to the client: no deadline, no call-back, no answer of ours.
            Event::Streaming { request: id } => {
                drop(self.requests.entry(id).and_modify(|r| r.done = true))
            }
            Event::ClientGone { request } => self.on_client_gone(request, out),
            Event::LoadEnded {
                worker: w,
                function: f,
                outcome: o,
                copies,
            } => self.on_loaded(now, (w, f), o, copies),
            Event::HealthChecked { .. } => {}
            Event::PeerHealth {
                worker,
                unhealthy_until: down,
            } => self.on_rumour(now, worker, down),
            Event::TenantQuota {
                tenant,
                quota_per_s,
            } => self.on_share(now, tenant, quota_per_s),
            Event::InstanceLimits {
                load_rate_limit: ration,
                overload_multiple: fall_multiple,
                observed_capacity,
            } => {
                (
                    self.settings.load_rate_limit,
                    self.settings.overload_multiple,
                ) = (ration, fall_multiple);
                self.bears = self.bears.max(observed_capacity);
            }
            Event::Wake { .. } => self.on_round(now, out),
        }
    }

    /// Does what follows from the events taken, and appends the actions.
    pub fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.release(now, out);
        self.keep_time(now, out);
        // Woken soon only where something is held or about to run out: a hundred idle instances cost nothing.
        let due = self
            .deadlines
            .first()
            .is_some_and(|(t, _)| *t < now + SURVEY);
        let after = if due || !self.held.is_empty() {
            self.round()
        } else {
            SURVEY
        };
        if self.wakes <= now || now + after < self.wakes {
            self.wakes = now + after;
            out.push(Action::Wake { after, token: 0 });
        }
        if self.settings.must_subscribe && (self.subscribed == 0) {
            self.subscribed = now.max(1);
            out.push(Action::Subscribe);
        }
    }

    fn round(&self) -> Micros {
        self.settings.tick.max(ROUND)
    }
}
