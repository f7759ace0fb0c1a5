//! Drives a decision module: executes its actions at a simulated fleet and feeds the results back
//! as events.

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

/// The time at which a run begins.
const START: Micros = 50 * SECOND;
/// Mean time between two changes of the fleet or of the information about it.
const CHANGE_INTERVAL: Micros = 250 * MILLISECOND;

/// The number of instances from which most of a worker's load comes from other instances.
const MANY_INSTANCES: u32 = 100;

/// A scheduled occurrence.
#[derive(Clone, Copy)]
enum Due {
    Arrival,
    AttemptEnd(RequestId),
    LoadEnd(WorkerId, FunctionId, Outcome),
    HealthCheckEnd(WorkerId),
    Streaming(RequestId),
    ClientGone(RequestId),
    Wake(u64),
    FullList,
    Change,
}

/// An attempt in flight.
struct Attempt {
    worker: WorkerId,
    sent_at: Micros,
    ends_at: Micros,
    outcome: Outcome,
    copy_start: Option<CopyStart>,
    function_in_flight: u32,
}

struct Request {
    function: FunctionId,
    expires_at: Micros,
    attempts: u8,
    /// Whether the request has its final answer or its client has gone.
    finished: bool,
    attempt: Option<Attempt>,
}

/// A decision module with its simulated fleet.
pub struct Driver<'a> {
    combination: &'a Combination,
    policy: Policy,
    random: Random,
    now: Micros,
    event_count: u64,
    due: BTreeMap<(Micros, u64), Due>,
    sequence: u64,
    workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    last_request: u32,
    record: Record,
}

impl Driver<'_> {
    /// Creates a driver at the beginning of its run.
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
            event_count: 0,
            due: BTreeMap::new(),
            sequence: 0,
            workers: (1..=combination.workers).map(worker).collect(),
            requests: BTreeMap::new(),
            last_request: 0,
            record: Record::default(),
        }
    }

    /// Runs until the module has handled `events` events or more.
    pub fn run(mut self, events: u64) -> Record {
        let update = if self.combination.settings.must_subscribe {
            ListUpdate::Cached
        } else {
            ListUpdate::Snapshot
        };
        let first = self.list(update);
        self.feed(vec![first]);
        self.schedule(MILLISECOND, Due::Arrival);
        self.schedule(CHANGE_INTERVAL, Due::Change);
        while self.event_count < events {
            let batch = self.next_batch();
            self.feed(batch);
        }
        self.record
    }

    fn schedule(&mut self, after: Micros, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + after, self.sequence), due);
    }

    /// Returns the events of the next instant or, if batched, of the next tick.
    fn next_batch(&mut self) -> Vec<Event> {
        let (first, _) = *self
            .due
            .keys()
            .next()
            .expect("a fleet change is always scheduled");
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
            self.event_count += 1;
            self.policy.handle_event(self.now, event, &mut actions);
        }
        self.policy.append_actions(self.now, &mut actions);
        for action in actions {
            self.record.action(self.now, &action);
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
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
                let timeout = self.combination.settings.load_order_timeout;
                let target = self
                    .workers
                    .get_mut(&worker)
                    .expect("the worker was listed");
                let end = target.load(self.now, function, copies, timeout, &mut self.random);
                self.schedule(end.latency, Due::LoadEnd(worker, function, end.outcome));
            }
            Action::Unload { worker, function } => {
                self.workers
                    .get_mut(&worker)
                    .expect("the worker was listed")
                    .unload(function);
            }
            Action::HealthCheck { worker } => {
                self.schedule(2 * MILLISECOND, Due::HealthCheckEnd(worker))
            }
            Action::Wake { after, token } => self.schedule(after, Due::Wake(token)),
            Action::Subscribe | Action::ReopenDiscovery => {
                self.schedule(5 * MILLISECOND, Due::FullList)
            }
        }
    }

    fn send(&mut self, id: RequestId, worker: WorkerId) {
        let request = self.requests.get_mut(&id).expect("the request is open");
        assert!(
            request.attempt.is_none() && !request.finished,
            "request {} is in flight or finished and must not be sent",
            id.0
        );
        request.attempts += 1;
        let (function, time_left) = (
            request.function,
            request.expires_at.saturating_sub(self.now),
        );
        let on_miss = self.combination.settings.on_miss;
        let target = self
            .workers
            .get_mut(&worker)
            .expect("the worker was listed");
        let end = target.send(self.now, function, on_miss, time_left, &mut self.random);
        request.attempt = Some(Attempt {
            worker,
            sent_at: self.now,
            ends_at: self.now + end.latency,
            outcome: end.outcome,
            copy_start: end
                .copy_start
                .filter(|_| self.combination.settings.reports_copy_start),
            function_in_flight: end.function_in_flight,
        });
        self.schedule(end.latency, Due::AttemptEnd(id));
        if end.outcome == Outcome::Ok && self.random.percent(3) {
            self.schedule(end.latency / 2, Due::Streaming(id));
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: u8) {
        let soon = self.now + MILLISECOND;
        let open = self
            .requests
            .get_mut(&id)
            .filter(|request| request.attempts == attempt + 1);
        // The attempt may have ended in the same batch, after the module returned the action.
        let Some(attempt) = open.and_then(|request| request.attempt.as_mut()) else {
            return;
        };
        if attempt.ends_at > soon {
            (attempt.outcome, attempt.copy_start, attempt.ends_at) =
                (Outcome::Cancelled, None, soon);
            self.schedule(MILLISECOND, Due::AttemptEnd(id));
        }
    }

    fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.finished = true;
        if request.attempt.is_none() {
            self.requests.remove(&id);
        }
    }

    fn event(&mut self, at: Micros, due: Due) -> Option<Event> {
        match due {
            Due::Arrival => Some(self.arrival()),
            Due::AttemptEnd(id) => self.attempt_end(at, id),
            Due::LoadEnd(worker, function, outcome) => {
                let ready = self
                    .workers
                    .get(&worker)
                    .map_or(0, |w| w.ready_copies(self.now, function));
                let copies = if outcome == Outcome::Ok { ready } else { 0 };
                Some(Event::LoadEnded {
                    worker,
                    function,
                    outcome,
                    copies,
                })
            }
            Due::HealthCheckEnd(id) => {
                let worker = &self.workers[&id];
                let outcome = if worker.mode == Mode::Hung {
                    Outcome::Timeout
                } else {
                    Outcome::Ok
                };
                Some(Event::HealthChecked {
                    worker: id,
                    outcome,
                    load_report: worker.load_report(&mut self.random),
                    latency: 0,
                    connection_opened_at: None,
                })
            }
            Due::Streaming(request) => {
                let streams =
                    |r: &&mut Request| r.attempt.as_ref().is_some_and(|a| a.outcome == Outcome::Ok);
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
            Due::FullList => Some(self.list(ListUpdate::Snapshot)),
            Due::Change => {
                let wait = self.random.below(2 * CHANGE_INTERVAL);
                self.schedule(wait, Due::Change);
                self.change()
            }
        }
    }

    /// Returns the time to the next call. Periods of high, low and no traffic alternate.
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
        self.schedule(gap, Due::Arrival);
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
        let expires_at = self.now + time;
        let arrival = Arrival {
            request,
            class: ClassId(class),
            tenant: TenantId(random.below(3) as u32),
            function,
            unread_for: 0,
            expires_at,
            expected_work: random.percent(50).then_some(20 * MILLISECOND),
            memory_mb: 100.0,
            concurrency_per_copy: 1 + (function.0 % 3) as u32,
            load_duration: random.percent(70).then_some(load_time(function)),
            has_idempotency_key: true,
        };
        let client_leaves_after = random.percent(4).then(|| random.below(time));
        self.requests.insert(
            request,
            Request {
                function,
                expires_at,
                attempts: 0,
                finished: false,
                attempt: None,
            },
        );
        if let Some(time) = client_leaves_after {
            self.schedule(time, Due::ClientGone(request));
        }
        Event::Request(arrival)
    }

    fn attempt_end(&mut self, at: Micros, id: RequestId) -> Option<Event> {
        let request = self.requests.get_mut(&id)?;
        // A cancelled attempt has already ended at an earlier time.
        let ended = request.attempt.take_if(|attempt| attempt.ends_at == at)?;
        request.finished |= ended.outcome == Outcome::Ok;
        let (terminal, function, attempt) =
            (request.finished, request.function, request.attempts - 1);
        let worker = self
            .workers
            .get_mut(&ended.worker)
            .expect("the worker was listed");
        worker.end_attempt(function);
        let answered = matches!(
            ended.outcome,
            Outcome::Ok | Outcome::Rejected | Outcome::Miss | Outcome::Error
        );
        let reports = answered && self.combination.settings.reports_inline;
        let load_report = if reports {
            worker.load_report(&mut self.random)
        } else {
            None
        };
        if terminal {
            self.requests.remove(&id);
        }
        Some(Event::AttemptEnded(AttemptEnd {
            request: id,
            worker: ended.worker,
            attempt,
            terminal,
            outcome: ended.outcome,
            copy_start: ended.copy_start,
            function_in_flight: ended.function_in_flight,
            unread_for: 0,
            latency: self.now - ended.sent_at,
            load_report,
        }))
    }

    fn list(&self, update: ListUpdate) -> Event {
        let listed = self
            .workers
            .values()
            .filter(|w| w.status != WorkerStatus::Removed);
        Event::WorkerList {
            update,
            workers: listed.map(Worker::entry).collect(),
        }
    }

    fn delta(&mut self, id: WorkerId, change: impl FnOnce(&mut Worker)) -> Event {
        let worker = self.workers.get_mut(&id).expect("the worker was listed");
        change(worker);
        let entries: Vec<WorkerEntry> = vec![worker.entry()];
        Event::WorkerList {
            update: ListUpdate::Delta,
            workers: entries,
        }
    }

    /// Changes the fleet or the information about it.
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
                let updates = [ListUpdate::Snapshot, ListUpdate::Cached, ListUpdate::Failed];
                let update = updates[self.random.below(3) as usize];
                let failed = Event::WorkerList {
                    update,
                    workers: Vec::new(),
                };
                Some(if update == ListUpdate::Failed {
                    failed
                } else {
                    self.list(update)
                })
            }
            // The gateway runs health checks for the fleet without a request by the module.
            _ => {
                self.schedule(2 * MILLISECOND, Due::HealthCheckEnd(id));
                None
            }
        }
    }

    /// Changes the load of other instances at each worker if there are many instances.
    fn change_load_of_others(&mut self) {
        if self.combination.settings.instances < MANY_INSTANCES {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.others_in_flight = self.random.below(13) as u32;
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
        self.workers
            .get_mut(&id)
            .expect("the worker was listed")
            .mode = mode;
    }

    /// Returns the limits as a new version starts beside the old one, or after it has taken over.
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
