//! Drives one module: carries its actions out at the fleet, and feeds it what comes of them.

use std::collections::BTreeMap;

use molelug::api::{
    Action, Arrival, AttemptEnd, ClassId, CopyStart, Event, FunctionId, ListUpdate, LoadRateLimit,
    Micros, Outcome, RequestId, TenantId, WorkerEntry, WorkerId, WorkerStatus,
};
use molelug::Policy;

use crate::combinations::{Combination, Delivery, FirstWorkers, MILLISECOND, SECOND};
use crate::fleet::{load_time, Mode, Worker};
use crate::random::Random;
use crate::record::Record;

/// When a run begins.
const START: Micros = 50 * SECOND;
/// Mean time between two changes of the fleet or of what is known of it.
const CHANGE_INTERVAL: Micros = 250 * MILLISECOND;

/// Instances from which on a worker's load is mostly that of others.
const MANY_INSTANCES: u32 = 100;

/// Something that is to come.
#[derive(Clone, Copy)]
enum Due {
    Arrival,
    AttemptEnd(RequestId),
    OrderEnd(WorkerId, FunctionId, Outcome),
    ProbeEnd(WorkerId),
    Streaming(RequestId),
    ClientGone(RequestId),
    Wake(u64),
    WholeList,
    Change,
}

/// An attempt that is out.
struct Attempt {
    worker: WorkerId,
    sent: Micros,
    ends_at: Micros,
    outcome: Outcome,
    warmth: Option<CopyStart>,
    crowd: u32,
}

struct Request {
    function: FunctionId,
    expires: Micros,
    attempts: u8,
    /// Whether it has its final answer, or nobody waits for one.
    finished: bool,
    out: Option<Attempt>,
}

/// One module with its fleet.
pub struct Driver<'a> {
    combination: &'a Combination,
    policy: Policy,
    random: Random,
    now: Micros,
    fed: u64,
    due: BTreeMap<(Micros, u64), Due>,
    sequence: u64,
    workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    last_request: u32,
    record: Record,
}

impl Driver<'_> {
    /// One at the beginning of its run.
    pub fn new(combination: &Combination, seed: u64) -> Driver<'_> {
        let cold = combination.first_workers == FirstWorkers::Cold;
        let worker = |number: u32| {
            let age = Micros::from(number) * SECOND / 2;
            let worker = Worker::new(number, cold.then(|| START - age));
            (worker.id, worker)
        };
        Driver {
            combination,
            policy: Policy::new(combination.settings.clone(), seed, START),
            random: Random::new(seed),
            now: START,
            fed: 0,
            due: BTreeMap::new(),
            sequence: 0,
            workers: (1..=combination.workers).map(worker).collect(),
            requests: BTreeMap::new(),
            last_request: 0,
            record: Record::default(),
        }
    }

    /// Runs until so many events were fed.
    pub fn run(mut self, events: u64) -> Record {
        let kind = if self.combination.settings.must_subscribe {
            ListUpdate::Cached
        } else {
            ListUpdate::Snapshot
        };
        let first = self.list(kind);
        self.feed(vec![first]);
        self.after(MILLISECOND, Due::Arrival);
        self.after(CHANGE_INTERVAL, Due::Change);
        while self.fed < events {
            let batch = self.next_batch();
            self.feed(batch);
        }
        self.record
    }

    fn after(&mut self, time: Micros, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + time, self.sequence), due);
    }

    /// The events of the next moment: those of one instant, or of one tick.
    fn next_batch(&mut self) -> Vec<Event> {
        let (first, _) = *self
            .due
            .keys()
            .next()
            .expect("there is always a next change");
        let tick = self.combination.settings.tick;
        self.now = match self.combination.delivery {
            Delivery::Single => first,
            Delivery::Batched => first.div_ceil(tick) * tick,
        };
        let mut events = Vec::new();
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let ((at, _), due) = entry.remove_entry();
            events.extend(self.event(at, due));
        }
        events
    }

    fn feed(&mut self, events: Vec<Event>) {
        if events.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        for event in events {
            self.record.event(&event);
            self.fed += 1;
            self.policy.handle_event(self.now, event, &mut actions);
        }
        self.policy.append_actions(self.now, &mut actions);
        for action in actions {
            self.record.action(self.now, &action);
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                request, worker, ..
            } => self.send(request, worker),
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::Reject { request, .. } | Action::Fail { request } => self.finish(request),
            Action::Load {
                worker,
                function,
                copies,
            } => {
                let limit = self.combination.settings.load_order_timeout;
                let target = self.workers.get_mut(&worker).expect("it was on a list");
                let end = target.load(self.now, function, copies, limit, &mut self.random);
                self.after(end.latency, Due::OrderEnd(worker, function, end.outcome));
            }
            Action::Unload { worker, function } => {
                self.workers
                    .get_mut(&worker)
                    .expect("it was on a list")
                    .unload(function);
            }
            Action::HealthCheck { worker } => self.after(2 * MILLISECOND, Due::ProbeEnd(worker)),
            Action::Wake { after, token } => self.after(after, Due::Wake(token)),
            Action::Subscribe | Action::ReopenDiscovery => {
                self.after(5 * MILLISECOND, Due::WholeList)
            }
        }
    }

    fn send(&mut self, id: RequestId, worker: WorkerId) {
        let request = self.requests.get_mut(&id).expect("a request that is open");
        assert!(
            request.out.is_none() && !request.finished,
            "request {} is not to be sent",
            id.0
        );
        request.attempts += 1;
        let (function, time_left) = (request.function, request.expires.saturating_sub(self.now));
        let on_miss = self.combination.settings.on_miss;
        let target = self.workers.get_mut(&worker).expect("it was on a list");
        let end = target.send(self.now, function, on_miss, time_left, &mut self.random);
        request.out = Some(Attempt {
            worker,
            sent: self.now,
            ends_at: self.now + end.latency,
            outcome: end.outcome,
            warmth: end
                .warmth
                .filter(|_| self.combination.settings.reports_copy_start),
            crowd: end.crowd,
        });
        self.after(end.latency, Due::AttemptEnd(id));
        if end.outcome == Outcome::Ok && self.random.percent(3) {
            self.after(end.latency / 2, Due::Streaming(id));
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: u8) {
        let soon = self.now + MILLISECOND;
        let open = self
            .requests
            .get_mut(&id)
            .filter(|request| request.attempts == attempt + 1);
        // It may have ended in the same batch, after the module gave the action.
        let Some(out) = open.and_then(|request| request.out.as_mut()) else {
            return;
        };
        if out.ends_at > soon {
            (out.outcome, out.warmth, out.ends_at) = (Outcome::Cancelled, None, soon);
            self.after(MILLISECOND, Due::AttemptEnd(id));
        }
    }

    fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.finished = true;
        if request.out.is_none() {
            self.requests.remove(&id);
        }
    }

    fn event(&mut self, at: Micros, due: Due) -> Option<Event> {
        match due {
            Due::Arrival => Some(self.arrival()),
            Due::AttemptEnd(id) => self.attempt_end(at, id),
            Due::OrderEnd(worker, function, outcome) => {
                let standing = self
                    .workers
                    .get(&worker)
                    .map_or(0, |w| w.standing(self.now, function));
                let copies = if outcome == Outcome::Ok { standing } else { 0 };
                Some(Event::LoadEnded {
                    worker,
                    function,
                    outcome,
                    copies,
                })
            }
            Due::ProbeEnd(id) => {
                let worker = &self.workers[&id];
                let outcome = if worker.mode == Mode::Hung {
                    Outcome::Timeout
                } else {
                    Outcome::Ok
                };
                Some(Event::HealthChecked {
                    worker: id,
                    outcome,
                    load_report: worker.report(&mut self.random),
                    latency: 0,
                    connection_opened_at: None,
                })
            }
            Due::Streaming(request) => {
                let streams =
                    |r: &&mut Request| r.out.as_ref().is_some_and(|o| o.outcome == Outcome::Ok);
                let open = self
                    .requests
                    .get_mut(&request)
                    .filter(|r| !r.finished)
                    .filter(streams)?;
                open.finished = true;
                Some(Event::Streaming { request })
            }
            Due::ClientGone(request) => {
                self.requests.get(&request).filter(|r| !r.finished)?;
                self.finish(request);
                Some(Event::ClientGone { request })
            }
            Due::Wake(token) => Some(Event::Wake { token }),
            Due::WholeList => Some(self.list(ListUpdate::Snapshot)),
            Due::Change => {
                let wait = self.random.below(2 * CHANGE_INTERVAL);
                self.after(wait, Due::Change);
                self.change()
            }
        }
    }

    /// The time to the next call: hours of rush, of little and of none follow one another.
    fn gap(&mut self) -> Micros {
        let mean = self.combination.mean_gap;
        let mean = match self.now / SECOND % 20 {
            6 | 7 => mean / 6,
            12..=14 => mean * 4,
            15 => return SECOND / 2,
            _ => mean,
        };
        1 + self.random.below(2 * mean)
    }

    fn arrival(&mut self) -> Event {
        let gap = self.gap();
        self.after(gap, Due::Arrival);
        let random = &mut self.random;
        let functions = self.combination.functions;
        let popular = if random.percent(60) {
            functions.div_ceil(8)
        } else {
            functions
        };
        let function = FunctionId((random.below(popular) + 1).wrapping_mul(0x0003_0000_0001_2345));
        let class = random.below(self.combination.settings.classes.len() as u64) as u8;
        let deadline = self.combination.settings.classes[usize::from(class)].deadline;
        let time = match random.below(100) {
            0..=2 => 6 * MILLISECOND,
            3..=14 => deadline / 2,
            _ => deadline,
        };
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let expires = self.now + time;
        let arrival = Arrival {
            request,
            class: ClassId(class),
            tenant: TenantId(random.below(3) as u32),
            function,
            expires_at: expires,
            expected_work: random.percent(50).then_some(20 * MILLISECOND),
            memory_mb: 100.0,
            concurrency_per_copy: 1 + (function.0 % 3) as u32,
            load_duration: random.percent(70).then_some(load_time(function)),
        };
        let leaves = random.percent(4).then(|| random.below(time));
        self.requests.insert(
            request,
            Request {
                function,
                expires,
                attempts: 0,
                finished: false,
                out: None,
            },
        );
        if let Some(time) = leaves {
            self.after(time, Due::ClientGone(request));
        }
        Event::Request(arrival)
    }

    fn attempt_end(&mut self, at: Micros, id: RequestId) -> Option<Event> {
        let request = self.requests.get_mut(&id)?;
        // One that was cancelled meanwhile has ended before.
        let out = request.out.take_if(|out| out.ends_at == at)?;
        request.finished |= out.outcome == Outcome::Ok;
        let (terminal, function, attempt) =
            (request.finished, request.function, request.attempts - 1);
        let worker = self.workers.get_mut(&out.worker).expect("it was on a list");
        worker.ended(function);
        let answered = matches!(
            out.outcome,
            Outcome::Ok | Outcome::Rejected | Outcome::Miss | Outcome::Error
        );
        let reports = answered && self.combination.settings.reports_inline;
        let report = if reports {
            worker.report(&mut self.random)
        } else {
            None
        };
        if terminal {
            self.requests.remove(&id);
        }
        Some(Event::AttemptEnded(AttemptEnd {
            request: id,
            worker: out.worker,
            attempt,
            terminal,
            outcome: out.outcome,
            copy_start: out.warmth,
            function_in_flight: out.crowd,
            latency: self.now - out.sent,
            load_report: report,
        }))
    }

    fn list(&self, kind: ListUpdate) -> Event {
        let listed = self
            .workers
            .values()
            .filter(|w| w.status != WorkerStatus::Removed);
        Event::WorkerList {
            update: kind,
            workers: listed.map(Worker::member).collect(),
        }
    }

    fn delta(&mut self, id: WorkerId, change: impl FnOnce(&mut Worker)) -> Event {
        let worker = self.workers.get_mut(&id).expect("it was on a list");
        change(worker);
        let members: Vec<WorkerEntry> = vec![worker.member()];
        Event::WorkerList {
            update: ListUpdate::Delta,
            workers: members,
        }
    }

    /// The fleet changes, or what is known of it.
    fn change(&mut self) -> Option<Event> {
        self.change_load_of_others();
        let now = self.now;
        let place = self.random.below(self.workers.len() as u64) as usize;
        let id = *self.workers.keys().nth(place).expect("a place among them");
        match self.random.below(16) {
            0 | 1 => Some(self.delta(id, |w| {
                w.status = if w.status == WorkerStatus::Ready {
                    WorkerStatus::Draining
                } else {
                    WorkerStatus::Ready
                };
            })),
            2 => Some(self.delta(id, |w| {
                w.restart(now);
                w.status = WorkerStatus::Ready;
            })),
            3 => Some(self.delta(id, |w| {
                w.restart(now);
                w.status = if w.status == WorkerStatus::Removed {
                    WorkerStatus::Ready
                } else {
                    WorkerStatus::Removed
                };
            })),
            4..=8 => {
                self.change_mode(id);
                None
            }
            9 => Some(Event::PeerHealth {
                worker: id,
                unhealthy_until: Some(now + 2 * SECOND),
            }),
            10 => Some(Event::PeerHealth {
                worker: id,
                unhealthy_until: None,
            }),
            11 => {
                let quota_per_s = self.random.below(60) as f64;
                Some(Event::TenantQuota {
                    tenant: TenantId(self.random.below(4) as u32),
                    quota_per_s,
                })
            }
            12 => Some(self.limits()),
            13 => {
                let kinds = [ListUpdate::Snapshot, ListUpdate::Cached, ListUpdate::Failed];
                let kind = kinds[self.random.below(3) as usize];
                let failed = Event::WorkerList {
                    update: kind,
                    workers: Vec::new(),
                };
                Some(if kind == ListUpdate::Failed {
                    failed
                } else {
                    self.list(kind)
                })
            }
            // The gateway probes on behalf of the fleet, unasked by the module.
            _ => {
                self.after(2 * MILLISECOND, Due::ProbeEnd(id));
                None
            }
        }
    }

    /// What other instances have at each worker changes, where there are many of them.
    fn change_load_of_others(&mut self) {
        if self.combination.settings.instances < MANY_INSTANCES {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.others = self.random.below(13) as u32;
        }
    }

    fn change_mode(&mut self, id: WorkerId) {
        let mode = match self.random.below(18) {
            0 => Mode::Slow,
            1 | 2 => Mode::Hung,
            3 => Mode::Refusing,
            4 => Mode::Resetting,
            5 => Mode::Limiting,
            _ => Mode::Healthy,
        };
        self.workers.get_mut(&id).expect("it was on a list").mode = mode;
    }

    /// A new version begins beside the old one, or has taken over.
    fn limits(&mut self) -> Event {
        let settings = &self.combination.settings;
        let whole = self.random.percent(50);
        let half = |r: LoadRateLimit| LoadRateLimit {
            base_loads: r.base_loads / 2.0,
            loads_per_request: r.loads_per_request / 2.0,
            ..r
        };
        Event::InstanceLimits {
            load_rate_limit: settings
                .load_rate_limit
                .map(|r| if whole { r } else { half(r) }),
            overload_multiple: if whole {
                settings.overload_multiple
            } else {
                settings.overload_multiple / 2.0
            },
            observed_capacity: if whole { 0.0 } else { 2e-7 },
        }
    }
}
