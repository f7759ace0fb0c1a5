//! Deterministic emulator of a fleet. Runs the gateway's own state machines (core with decision
//! module, consensus participant, health checker and load coordinator) on a virtual clock, with an
//! emulated network with faults and emulated workers.
//!
//! The same scenario and seed give the same run. The histories of the gateways go through the same
//! checker as those of real processes.

mod plot;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{Error, Result};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use molelug::api::{
    Arrival, CellId, Class, ClassId, Effect, FunctionId, ListUpdate, LoadRateLimit, Micros, OnMiss,
    RequestId, Settings, TenantId, WorkerEntry, WorkerId, WorkerStatus, ZoneId,
};
use molelug::completion::{CloseReason, SendProgress};
use molelug::consensus::bootstrap::{bootstrap, initial_state};
use molelug::consensus::participant::{self, DisabledGuards, Output, Participant};
use molelug::consensus::persistent_state::{PersistentState, Record};
use molelug::consensus::voter;
use molelug::consensus::wire::{self, Body};
use molelug::core::{
    Answer, AttemptCompletion, AttemptDispatch, AttemptKey, AttemptReply, Call, Command, Core,
    HealthCheckKey, LoadOrderKey,
};
use molelug::health_checks::{self, HealthChecker, ProbeResult, Verdict};
use molelug::lease::LeaseName;
use molelug::load_coordination::{self, CopyKey, LoadCoordinator, LoadMessage};
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::history::{self, Line};
use workers::{CallOutcome, Worker};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// A scenario, read from a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Number of gateways.
    pub instances: usize,
    /// Number of voters among the gateways.
    pub voters: usize,
    /// Duration in virtual seconds.
    pub seconds: f64,
    /// Whether the gateways form a consensus group.
    #[serde(default = "default_true")]
    pub council: bool,
    /// Number of workers.
    pub workers: usize,
    /// Number of functions that are called.
    pub functions: u64,
    /// Calls per second over all gateways.
    pub calls_per_s: f64,
    /// Duration of a lease in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Tick of the voters in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Number of load coordination shards; 0 disables load coordination.
    #[serde(default)]
    pub shards: usize,
    /// Faults of the network.
    #[serde(default)]
    pub network: Network,
    /// Scheduled events.
    #[serde(default)]
    pub at: Vec<At>,
}

fn default_true() -> bool {
    true
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_tick_ms() -> u64 {
    50
}

/// Faults of the network between gateways.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Delay of a frame in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Maximum random delay on top, in milliseconds.
    #[serde(default)]
    pub jitter_ms: u64,
    /// Percentage of frames that are dropped.
    #[serde(default)]
    pub lost: u32,
    /// Percentage of frames that are delivered twice.
    #[serde(default)]
    pub doubled: u32,
}

/// A scheduled event.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct At {
    /// Time in virtual seconds.
    pub s: f64,
    /// Action.
    pub what: What,
    /// Target: `gw-3`, `worker-0`, `owner` (the holder of the health check lease at that time),
    /// `leader`, or `all`.
    pub who: String,
}

/// Action of a scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The worker stops answering.
    Silent,
    /// The worker answers again.
    Well,
    /// The gateway is suspended and keeps its memory.
    Stop,
    /// The gateway resumes.
    Wake,
    /// The gateway's process ends at once; completed writes stay on its disk.
    Kill,
    /// A new process of the gateway starts on its disk.
    Start,
    /// The network drops all frames from the gateway.
    CutOut,
    /// The network drops all frames to the gateway.
    CutIn,
    /// Ends `CutOut` and `CutIn`.
    Heal,
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// The seed.
    pub seed: u64,
    /// Number of gateways.
    pub instances: usize,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls served.
    pub served: u64,
    /// Attempts sent to a worker that did not answer.
    pub lost_attempts: u64,
    /// Health checks sent to workers.
    pub pings: u64,
    /// Load orders sent to workers.
    pub orders: u64,
    /// Copies fetched from the shared store.
    pub fetches: u64,
    /// Load orders not sent, as a copy was already resident.
    pub spared: u64,
    /// Frames sent between gateways.
    pub frames: u64,
    /// Bytes per second sent by the voter that sent most.
    pub voter_bytes_per_s: f64,
    /// Bytes per second sent by the non-voter that sent most.
    pub member_bytes_per_s: f64,
    /// Records written to all disks.
    pub writes: u64,
    /// Number of lease terms.
    pub terms: usize,
    /// Effects accepted.
    pub accepted: usize,
    /// Effects refused.
    pub refused: usize,
    /// Time from each fault that hit the lease holder to the first effect of the next holder, in
    /// milliseconds.
    pub gaps_ms: Vec<f64>,
    /// Violations found in the histories.
    pub wrong: Vec<String>,
}

enum Event {
    Frame {
        to: usize,
        from: usize,
        body: Body,
    },
    Deadline(usize),
    Persisted {
        who: usize,
        process: u64,
        number: u64,
        record: Box<Record>,
    },
    Call(usize),
    AttemptEnded {
        who: usize,
        process: u64,
        attempt: AttemptKey,
        reason: CloseReason,
        progress: SendProgress,
    },
    Loaded {
        who: usize,
        process: u64,
        order: LoadOrderKey,
        copies: u32,
    },
    HealthChecked {
        who: usize,
        process: u64,
        probe: HealthCheckKey,
    },
    Scheduled(usize),
    WorkerTick,
}

struct Instance {
    name: Arc<str>,
    core: Core<u64>,
    participant: Option<Participant>,
    health_checker: HealthChecker,
    coordinator: Option<LoadCoordinator>,
    /// Orders that the load coordinator decides on, by the number it knows them by.
    orders: BTreeMap<u64, (LoadOrderKey, WorkerId, FunctionId, u8)>,
    /// Keys of `orders` by load order.
    order_numbers: BTreeMap<LoadOrderKey, u64>,
    /// Load orders sent to workers and not answered.
    sent_orders: BTreeSet<LoadOrderKey>,
    process: u64,
    running: bool,
    suspended: bool,
    /// Whether frames from the gateway and to the gateway are dropped.
    cut: (bool, bool),
    /// Events that arrived while the gateway was suspended.
    deferred_events: Vec<Event>,
    open_checks: BTreeMap<HealthCheckKey, WorkerId>,
    disk: PersistentState,
    votes: bool,
    /// Time of the earliest scheduled `Event::Deadline`.
    scheduled_deadline: Micros,
    bytes_sent: u64,
    open_attempts: BTreeMap<AttemptKey, WorkerId>,
    history: Vec<Line>,
}

struct Emulation {
    scenario: Scenario,
    now: Micros,
    sequence: u64,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    results: RunReport,
    last_process: u64,
    /// Time of the fault that hit the lease holder, and the holder's term.
    holder_lost: Option<(Micros, u64)>,
    /// Time of the first effect of each term.
    first_effect: BTreeMap<u64, Micros>,
}

fn lease_names(shards: usize) -> BTreeSet<LeaseName> {
    let shards =
        (0..shards).map(|n| format!("{}{n}", load_coordination::SHARD_LEASE_PREFIX).into());
    shards.chain([health_checks::LEASE_NAME.into()]).collect()
}

fn name(n: usize) -> Arc<str> {
    format!("gw-{n}").into()
}

fn settings(instances: usize) -> Settings {
    let class = Class {
        latency_objective: 400 * MS,
        deadline: 900 * MS,
        priority_weight: 1.0,
        late_weight: 0.3,
        effect: Effect::Idempotent,
    };
    Settings {
        instances: instances as u32,
        tick: 4 * MS,
        classes: vec![class],
        answer_grace: 16 * MS,
        copy_idle_timeout: 8 * SECOND,
        may_load: true,
        may_cancel: true,
        on_miss: OnMiss::Reject,
        max_attempts: 3,
        load_order_timeout: 10 * SECOND,
        load_rate_limit: Some(LoadRateLimit {
            base_loads: 3.0,
            loads_per_request: 0.3,
            window: 10 * SECOND,
        }),
        ..Settings::default()
    }
}

/// Returns the initial disk of a bootstrap voter.
fn bootstrap_disk(name: &str, names: &[String]) -> Result<PersistentState> {
    let record = bootstrap(1, name, names, None).map_err(Error::other)?;
    Ok(initial_state(&record))
}

/// Decodes verdicts as the emulated gateways send them: the worker, then 1 if the worker is
/// unhealthy, four bytes each.
fn decode_verdicts(content: &[u8]) -> Vec<Verdict> {
    let numbers: Vec<u32> = content
        .as_chunks::<4>()
        .0
        .iter()
        .map(|bytes| u32::from_le_bytes(*bytes))
        .collect();
    numbers
        .chunks_exact(2)
        .map(|pair| Verdict {
            worker: WorkerId(pair[0]),
            unhealthy: pair[1] == 1,
        })
        .collect()
}

impl Scenario {
    /// Reads a scenario file; unknown keys are errors.
    pub fn read(path: &Path) -> Result<Scenario> {
        let text = std::fs::read_to_string(path)?;
        let s: Scenario =
            toml::from_str(&text).map_err(|e| Error::other(e.message().to_owned()))?;
        if s.voters == 0 || s.voters > s.instances.min(7) || s.workers == 0 || s.functions == 0 {
            return Err(Error::other(
                "voters are 1 to 7 of the instances; there are workers and functions",
            ));
        }
        Ok(s)
    }

    /// Returns the scenario with another number of gateways and the same total call rate.
    pub fn sized(&self, instances: usize) -> Scenario {
        Scenario {
            instances,
            voters: self.voters.min(instances),
            ..self.clone()
        }
    }
}

impl Emulation {
    fn new(scenario: &Scenario, seed: u64) -> Result<Emulation> {
        let names: Vec<String> = (0..scenario.voters).map(|n| name(n).to_string()).collect();
        let mut instances = Vec::new();
        for n in 0..scenario.instances {
            let votes = n < scenario.voters;
            let disk = match votes {
                true => bootstrap_disk(&names[n], &names)?,
                false => PersistentState::default(),
            };
            instances.push(Instance {
                name: name(n),
                core: Core::new(settings(scenario.instances), seed ^ n as u64, 0),
                participant: None,
                health_checker: HealthChecker::default(),
                coordinator: None,
                orders: BTreeMap::new(),
                order_numbers: BTreeMap::new(),
                sent_orders: BTreeSet::new(),
                process: 0,
                running: false,
                suspended: false,
                cut: (false, false),
                deferred_events: Vec::new(),
                open_checks: BTreeMap::new(),
                disk,
                votes,
                scheduled_deadline: Micros::MAX,
                bytes_sent: 0,
                open_attempts: BTreeMap::new(),
                history: Vec::new(),
            });
        }
        let mut emulation = Emulation {
            now: SECOND,
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            instances,
            workers: (0..scenario.workers).map(|_| Worker::default()).collect(),
            results: RunReport {
                seed,
                instances: scenario.instances,
                ..RunReport::default()
            },
            last_process: 0,
            holder_lost: None,
            first_effect: BTreeMap::new(),
            scenario: scenario.clone(),
        };
        for n in 0..scenario.instances {
            emulation.start(n);
            let first = emulation.random_below(emulation.call_interval());
            emulation.schedule(emulation.now + first, Event::Call(n));
        }
        for (i, at) in scenario.at.iter().enumerate() {
            emulation.schedule(SECOND + (at.s * 1e6) as Micros, Event::Scheduled(i));
        }
        emulation.schedule(emulation.now, Event::WorkerTick);
        Ok(emulation)
    }

    fn call_interval(&self) -> Micros {
        ((self.scenario.instances as f64 / self.scenario.calls_per_s) * 1e6).max(1.0) as Micros
    }

    fn random_below(&mut self, n: Micros) -> Micros {
        self.random.next_u64() % n.max(1)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        let slot = self.sequence as usize;
        self.queue.push(Reverse((at, self.sequence, slot)));
        self.events.insert(slot, event);
    }

    fn start(&mut self, n: usize) {
        self.last_process += 1;
        let s = &self.scenario;
        let settings = participant::Settings {
            name: name(n),
            process: self.last_process,
            contacts: (0..s.voters).map(name).collect(),
            leases: lease_names(s.shards),
            lease: molelug::lease::Settings {
                duration: s.lease_ms * MS,
                drift_ppm: 1_000,
            },
            voter: voter::Settings {
                tick: s.tick_ms * MS,
            },
            seed: self.results.seed ^ ((n as u64) << 20),
            disabled_guards: DisabledGuards::default(),
        };
        let (now, council) = (self.now, s.council);
        let (count, all, shards) = (s.instances, s.workers, s.shards);
        let seed = self.results.seed ^ n as u64;
        let i = &mut self.instances[n];
        (i.process, i.running, i.suspended) = (self.last_process, true, false);
        i.core = Core::new(self::settings(count), seed, now);
        let entry = |w: u32| ListedWorker(w).into();
        i.core.update_workers(
            now,
            ListUpdate::Snapshot,
            (0..all as u32).map(entry).collect(),
        );
        i.health_checker = HealthChecker::default();
        i.health_checker.handle(
            now,
            health_checks::Input::Ready((0..all as u32).map(WorkerId).collect()),
        );
        i.coordinator = council
            .then(|| LoadCoordinator::new(name(n), &lease_names(shards)))
            .flatten();
        i.orders.clear();
        i.order_numbers.clear();
        i.sent_orders.clear();
        i.open_checks.clear();
        i.open_attempts.clear();
        let disk = i.votes.then(|| i.disk.clone());
        i.participant = council.then(|| Participant::new(settings, disk, now));
        self.drive(n);
    }

    /// Returns the holder of the health check lease and the term.
    fn owner(&self) -> Option<(usize, u64)> {
        let lease = health_checks::LEASE_NAME.into();
        let of = |(n, i): (usize, &Instance)| {
            i.participant
                .as_ref()
                .filter(|_| i.running && !i.suspended)
                .and_then(|m| m.held_term(self.now, &lease))
                .map(|t| (n, t))
        };
        self.instances
            .iter()
            .enumerate()
            .filter_map(of)
            .max_by_key(|(_, t)| *t)
    }

    fn targets(&self, who: &str) -> Vec<usize> {
        match who {
            "all" => (0..self.instances.len()).collect(),
            "owner" => self.owner().map(|(n, _)| n).into_iter().collect(),
            "leader" => {
                let leads = |n: &usize| {
                    self.instances[*n]
                        .participant
                        .as_ref()
                        .is_some_and(Participant::leads)
                };
                (0..self.instances.len()).filter(leads).collect()
            }
            _ => (0..self.instances.len())
                .filter(|n| *self.instances[*n].name == *who)
                .collect(),
        }
    }

    fn apply_scheduled(&mut self, at: &At) {
        if let Some(w) = at
            .who
            .strip_prefix("worker-")
            .and_then(|w| w.parse::<usize>().ok())
        {
            if let Some(w) = self.workers.get_mut(w) {
                w.silent = at.what == What::Silent;
            }
            return;
        }
        let owner = self.owner();
        for n in self.targets(&at.who) {
            let is_fault = matches!(
                at.what,
                What::Stop | What::Kill | What::CutOut | What::CutIn
            );
            if let Some((_, term)) = owner.filter(|(o, _)| *o == n && is_fault) {
                self.holder_lost = Some((self.now, term));
            }
            let i = &mut self.instances[n];
            match at.what {
                What::Stop => i.suspended = true,
                What::Wake => {
                    i.suspended = false;
                    let deferred = std::mem::take(&mut i.deferred_events);
                    deferred
                        .into_iter()
                        .for_each(|e| self.schedule(self.now, e));
                    self.schedule(self.now, Event::Deadline(n));
                }
                What::Kill => {
                    (i.running, i.participant) = (false, None);
                    i.deferred_events.clear();
                }
                What::Start if !i.running => self.start(n),
                What::CutOut => i.cut.0 = true,
                What::CutIn => i.cut.1 = true,
                What::Heal => i.cut = (false, false),
                What::Start | What::Silent | What::Well => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, body: Body) {
        let Some(to) = to.strip_prefix("gw-").and_then(|n| n.parse::<usize>().ok()) else {
            return;
        };
        self.instances[from].bytes_sent += wire::encoded_size(&name(from), &name(to), &body) as u64;
        self.results.frames += 1;
        let net = self.scenario.network;
        if self.instances[from].cut.0 || self.random.next_u32() % 100 < net.lost {
            return;
        }
        let times = 1 + usize::from(self.random.next_u32() % 100 < net.doubled);
        for _ in 0..times {
            let at = self.now + net.delay_ms * MS + self.random_below(net.jitter_ms * MS + 1) + 50;
            self.schedule(
                at,
                Event::Frame {
                    to,
                    from,
                    body: body.clone(),
                },
            );
        }
    }

    fn play(&mut self) {
        let end = SECOND + (self.scenario.seconds * 1e6) as Micros;
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&slot) else {
                continue;
            };
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        let who = match &event {
            Event::Frame { to, .. } => Some(*to),
            Event::Deadline(n) | Event::Call(n) => Some(*n),
            Event::AttemptEnded { who, .. }
            | Event::Loaded { who, .. }
            | Event::HealthChecked { who, .. } => Some(*who),
            Event::Persisted { .. } | Event::Scheduled(_) | Event::WorkerTick => None,
        };
        if let Some(n) = who.filter(|n| self.instances[*n].suspended) {
            // Received data waits in the sockets; the gateway checks its deadlines when it resumes.
            match event {
                Event::Deadline(_) => {}
                Event::Call(_) => {
                    let interval = self.call_interval();
                    self.schedule(now + interval, event);
                }
                event => self.instances[n].deferred_events.push(event),
            }
            return;
        }
        match event {
            Event::Frame { to, from, body } => {
                let sender = name(from);
                let i = &mut self.instances[to];
                if i.cut.1 {
                    return;
                }
                if let Some(m) = i.participant.as_mut() {
                    m.handle(now, participant::Input::Frame(sender, body));
                }
                self.drive(to);
            }
            Event::Deadline(n) => {
                let i = &mut self.instances[n];
                if i.scheduled_deadline <= now {
                    i.scheduled_deadline = Micros::MAX;
                }
                if i.running {
                    i.core.tick(now, &mut Vec::new());
                    i.health_checker.handle(now, health_checks::Input::Tick);
                    if let Some(l) = i.coordinator.as_mut() {
                        l.handle(now, load_coordination::Input::Tick);
                    }
                    if let Some(m) = i.participant.as_mut() {
                        m.handle(now, participant::Input::Tick);
                    }
                    self.drive(n);
                }
            }
            Event::Persisted {
                who,
                process,
                number,
                record,
            } => {
                let i = &mut self.instances[who];
                // A write in progress when the process ends is lost; a real disk may keep it.
                if i.process != process || !i.running {
                    return;
                }
                i.disk.apply(&record);
                self.results.writes += 1;
                if i.suspended {
                    return i.deferred_events.push(Event::Persisted {
                        who,
                        process,
                        number,
                        record: Box::default(),
                    });
                }
                if let Some(m) = i.participant.as_mut() {
                    m.handle(now, participant::Input::Persisted(number));
                }
                self.drive(who);
            }
            Event::Call(n) => {
                let interval = self.call_interval();
                let at = now + interval / 2 + self.random_below(interval);
                self.schedule(at, Event::Call(n));
                if self.instances[n].running {
                    self.call(n);
                    self.drive(n);
                }
            }
            Event::AttemptEnded {
                who,
                process,
                attempt,
                reason,
                progress,
            } => {
                if self.instances[who].process == process && self.instances[who].running {
                    self.ended(who, attempt, reason, progress);
                    self.drive(who);
                }
            }
            Event::Loaded {
                who,
                process,
                order,
                copies,
            } => {
                let i = &mut self.instances[who];
                if i.process == process && i.running {
                    if let (Some(l), Some(number)) =
                        (i.coordinator.as_mut(), i.order_numbers.remove(&order))
                    {
                        i.orders.remove(&number);
                        l.handle(now, load_coordination::Input::Ended(number, copies));
                    }
                    i.sent_orders.remove(&order);
                    i.core.load_ended(
                        now,
                        order,
                        CloseReason::Served,
                        SendProgress::Started,
                        copies,
                    );
                    self.drive(who);
                }
            }
            Event::HealthChecked {
                who,
                process,
                probe,
            } => {
                let i = &mut self.instances[who];
                if i.process == process && i.running {
                    if let Some(w) = i.open_checks.remove(&probe) {
                        i.health_checker.handle(
                            now,
                            health_checks::Input::ProbeEnded(w, ProbeResult::Answered),
                        );
                    }
                    i.core
                        .health_check_ended(now, probe, CloseReason::Served, None, None);
                    self.drive(who);
                }
            }
            Event::Scheduled(at) => {
                let at = self.scenario.at[at].clone();
                self.apply_scheduled(&at);
            }
            Event::WorkerTick => {
                // Completes the loads that are due.
                self.workers.iter_mut().for_each(|w| w.advance(now));
                self.schedule(now + 5 * MS, Event::WorkerTick);
            }
        }
    }

    fn call(&mut self, n: usize) {
        self.results.calls += 1;
        let id = self.results.calls;
        // The distribution is skewed: functions with low numbers are called more often.
        let f = self
            .random_below(self.scenario.functions * self.scenario.functions)
            .isqrt();
        let function = FunctionId(self.scenario.functions - 1 - f.min(self.scenario.functions - 1));
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(0),
            tenant: TenantId(0),
            function,
            unread_for: 0,
            expires_at: self.now + 900 * MS,
            expected_work: None,
            memory_mb: 1.0,
            concurrency_per_copy: 4,
            load_duration: Some(workers::LOAD_TIME),
            has_idempotency_key: false,
        };
        let call = Call {
            origin: id,
            identity: format!("{id:016x}").into(),
            idempotency_key: None,
            body: Rc::from(&b""[..]),
            arrival,
        };
        self.instances[n].core.submit(self.now, call);
    }

    fn ended(
        &mut self,
        n: usize,
        attempt: AttemptKey,
        reason: CloseReason,
        progress: SendProgress,
    ) {
        let now = self.now;
        let i = &mut self.instances[n];
        if let Some(w) = i.open_attempts.remove(&attempt) {
            if let Some(seen) = reason.observation(progress) {
                i.health_checker
                    .handle(now, health_checks::Input::Outcome(w, seen));
            }
        }
        i.core.attempt_ended(
            now,
            attempt,
            AttemptCompletion::at_once(reason, progress),
            AttemptReply::default(),
        );
    }

    /// Performs all pending outputs of an instance's state machines and schedules its next
    /// deadline.
    fn drive(&mut self, n: usize) {
        let now = self.now;
        loop {
            if let Some(command) = self.instances[n].core.next_command() {
                self.perform(n, command);
            } else if let Some(output) = self.instances[n].health_checker.output() {
                self.perform_health(n, output);
            } else if let Some(output) = self.instances[n]
                .coordinator
                .as_mut()
                .and_then(LoadCoordinator::output)
            {
                self.perform_coordination(n, output);
            } else if let Some(output) = self.instances[n]
                .participant
                .as_mut()
                .and_then(Participant::output)
            {
                self.perform_consensus(n, output);
            } else {
                break;
            }
        }
        let i = &mut self.instances[n];
        let participant = i.participant.as_ref().map(|m| m.next_deadline(now));
        let loads = i
            .coordinator
            .as_ref()
            .and_then(LoadCoordinator::next_deadline);
        let next = [
            i.core.next_deadline(),
            i.health_checker.next_deadline(),
            loads,
            participant,
        ]
        .into_iter()
        .flatten()
        .min();
        if let Some(at) = next
            .map(|t| t.max(now + 1))
            .filter(|t| *t < i.scheduled_deadline)
        {
            i.scheduled_deadline = at;
            self.schedule(at, Event::Deadline(n));
        }
    }

    fn perform(&mut self, n: usize, command: Command<u64>) {
        let now = self.now;
        let process = self.instances[n].process;
        match command {
            Command::Dispatch(AttemptDispatch {
                attempt,
                worker,
                function,
                ..
            }) => {
                self.instances[n].open_attempts.insert(attempt, worker);
                let Some(w) = self.workers.get_mut(worker.0 as usize) else {
                    return;
                };
                let (delay, reason) = match w.call(now, function) {
                    CallOutcome::Silent => {
                        self.results.lost_attempts += 1;
                        return;
                    }
                    CallOutcome::NotLoaded => (MS, CloseReason::NotLoaded),
                    CallOutcome::Runs(duration) => (duration, CloseReason::Served),
                };
                self.schedule(
                    now + delay + MS,
                    Event::AttemptEnded {
                        who: n,
                        process,
                        attempt,
                        reason,
                        progress: SendProgress::Started,
                    },
                );
            }
            Command::Cancel {
                attempt,
                reason: why,
            } => self.ended(n, attempt, why, SendProgress::Started),
            // The emulator has no send buffers: an attempt that was sent has started.
            Command::Withdraw { .. } => {}
            Command::AbandonHealthCheck { check } => {
                let core = &mut self.instances[n].core;
                core.health_check_ended(now, check, CloseReason::TimedOut, None, None);
            }
            // The emulator's worker list does not expire.
            Command::ReopenDiscovery => {}
            Command::Load {
                order,
                worker,
                function,
                copies,
            } => {
                let i = &mut self.instances[n];
                if let Some(l) = i.coordinator.as_mut().filter(|_| copies > 0) {
                    self.sequence += 1;
                    i.orders
                        .insert(self.sequence, (order, worker, function, copies));
                    i.order_numbers.insert(order, self.sequence);
                    l.handle(
                        now,
                        load_coordination::Input::Order(
                            self.sequence,
                            CopyKey { worker, function },
                        ),
                    );
                } else {
                    self.send_load_order(n, order, worker, function, copies);
                }
            }
            Command::HealthCheck {
                check: probe,
                worker,
            } => {
                self.results.pings += 1;
                if self
                    .workers
                    .get(worker.0 as usize)
                    .is_some_and(|w| !w.silent)
                {
                    self.schedule(
                        now + 2 * MS,
                        Event::HealthChecked {
                            who: n,
                            process,
                            probe,
                        },
                    );
                }
            }
            Command::AbandonLoad { order } => {
                let i = &mut self.instances[n];
                if let (Some(l), Some(number)) =
                    (i.coordinator.as_mut(), i.order_numbers.remove(&order))
                {
                    i.orders.remove(&number);
                    let was_sent = i.sent_orders.remove(&order);
                    let input = if was_sent {
                        load_coordination::Input::Ended(number, 0)
                    } else {
                        load_coordination::Input::Cancel(number)
                    };
                    l.handle(now, input);
                }
                i.core
                    .load_ended(now, order, CloseReason::TimedOut, SendProgress::Started, 0);
            }
            Command::Unload { .. } | Command::ReleaseIdentity { .. } => {}
            Command::Answer { answer, .. } => {
                self.results.served += u64::from(matches!(answer, Answer::Served(_)))
            }
        }
    }

    fn send_load_order(
        &mut self,
        n: usize,
        order: LoadOrderKey,
        worker: WorkerId,
        function: FunctionId,
        copies: u8,
    ) {
        let (now, process) = (self.now, self.instances[n].process);
        self.results.orders += u64::from(copies > 0);
        self.instances[n].sent_orders.insert(order);
        let Some(w) = self
            .workers
            .get_mut(worker.0 as usize)
            .filter(|w| !w.silent)
        else {
            return;
        };
        let (delay, loaded) = w.load_order(now, function, copies > 0, &mut self.results.fetches);
        self.schedule(
            now + delay + MS,
            Event::Loaded {
                who: n,
                process,
                order,
                copies: loaded,
            },
        );
    }

    fn perform_coordination(&mut self, n: usize, output: load_coordination::Output) {
        let now = self.now;
        let i = &mut self.instances[n];
        let text = |w: &LoadMessage| serde_json::to_vec(w).unwrap_or_default();
        match output {
            load_coordination::Output::Report(lease, message) => {
                if let Some(m) = i.participant.as_mut() {
                    m.handle(now, participant::Input::Report(lease, text(&message)));
                }
            }
            load_coordination::Output::Announce(lease, message) => {
                if let Some(m) = i.participant.as_mut() {
                    m.handle(now, participant::Input::SendEffect(lease, text(&message)));
                }
            }
            load_coordination::Output::Load(number) => {
                if let Some((order, worker, function, copies)) = i.orders.get(&number).copied() {
                    self.send_load_order(n, order, worker, function, copies);
                }
            }
            load_coordination::Output::AlreadyResident(number, copies) => {
                if let Some((order, ..)) = i.orders.remove(&number) {
                    i.order_numbers.remove(&order);
                    self.results.spared += 1;
                    i.core.load_ended(
                        now,
                        order,
                        CloseReason::Served,
                        SendProgress::Unsent,
                        copies,
                    );
                }
            }
        }
    }

    /// Passes a message to the load coordinator if `lease` is the lease of a load coordination
    /// shard, and returns whether `lease` is.
    fn forward_to_coordinator(
        &mut self,
        n: usize,
        lease: &str,
        input: impl FnOnce(LoadMessage) -> load_coordination::Input,
        content: &[u8],
    ) -> bool {
        let now = self.now;
        if !lease.starts_with(load_coordination::SHARD_LEASE_PREFIX) {
            return false;
        }
        if let (Some(l), Ok(message)) = (
            self.instances[n].coordinator.as_mut(),
            serde_json::from_slice(content),
        ) {
            l.handle(now, input(message));
        }
        true
    }

    /// Tells the load coordinator which shards have a holder, according to the log at this gateway.
    fn update_shard_holders(&mut self, n: usize) {
        let now = self.now;
        let i = &mut self.instances[n];
        let (Some(l), Some(m)) = (i.coordinator.as_mut(), i.participant.as_ref()) else {
            return;
        };
        for lease in lease_names(self.scenario.shards)
            .into_iter()
            .filter(|d| d.starts_with(load_coordination::SHARD_LEASE_PREFIX))
        {
            let owned = m.state().leases.record(&lease).holder.is_some();
            l.handle(now, load_coordination::Input::HolderKnown(lease, owned));
        }
    }

    fn perform_health(&mut self, n: usize, output: health_checks::Output) {
        let now = self.now;
        let i = &mut self.instances[n];
        let lease = || health_checks::LEASE_NAME.into();
        let input = match output {
            health_checks::Output::Report(w) => {
                participant::Input::Report(lease(), w.0.to_le_bytes().to_vec())
            }
            health_checks::Output::Announce(verdicts) => {
                let plain = verdicts
                    .into_iter()
                    .flat_map(|verdict| [verdict.worker.0, u32::from(verdict.unhealthy)]);
                participant::Input::SendEffect(lease(), plain.flat_map(u32::to_le_bytes).collect())
            }
            health_checks::Output::SetCapable(able) => participant::Input::SetEligible(able),
            health_checks::Output::Advise(w, until) => {
                return i.core.update_peer_health(now, w, until)
            }
            health_checks::Output::Probe(w) => {
                let probe = i.core.start_health_check(now, w);
                i.open_checks.insert(probe, w);
                return;
            }
        };
        if let Some(m) = i.participant.as_mut() {
            m.handle(now, input);
        }
    }

    fn lease_changed(&mut self, n: usize, lease: LeaseName, owns: bool) {
        let now = self.now;
        let i = &mut self.instances[n];
        if *lease == *health_checks::LEASE_NAME {
            i.health_checker
                .handle(now, health_checks::Input::LeaseChanged(owns));
        } else if let Some(l) = i.coordinator.as_mut() {
            l.handle(now, load_coordination::Input::LeaseChanged(lease, owns));
        }
    }

    fn perform_consensus(&mut self, n: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Send(to, body) => self.send(n, &to, body),
            Output::SendEffect(to, effect) => {
                let still = |m: &Participant| m.still_holds(now, &effect.lease, effect.term);
                if self.instances[n].participant.as_ref().is_some_and(still) {
                    self.send(n, &to, Body::Effect(effect));
                }
            }
            Output::Persist(number, record) => {
                let process = self.instances[n].process;
                let at = now + MS + self.random_below(4 * MS);
                self.schedule(
                    at,
                    Event::Persisted {
                        who: n,
                        process,
                        number,
                        record,
                    },
                );
            }
            Output::LeaseAcquired(lease, _) => self.lease_changed(n, lease, true),
            Output::LeaseLost(lease, _) => self.lease_changed(n, lease, false),
            Output::EffectReceived(effect) => {
                if self.forward_to_coordinator(
                    n,
                    &effect.lease,
                    load_coordination::Input::Announced,
                    &effect.content,
                ) {
                    return;
                }
                self.first_effect.entry(effect.term).or_insert(now);
                if let Some((at, _)) = self.holder_lost.filter(|(_, term)| effect.term > *term) {
                    self.results.gaps_ms.push((now - at) as f64 / 1e3);
                    self.holder_lost = None;
                }
                let verdicts = decode_verdicts(&effect.content);
                self.instances[n]
                    .health_checker
                    .handle(now, health_checks::Input::Verdicts(verdicts));
            }
            Output::ReportReceived(lease, from, content) => {
                if self.forward_to_coordinator(
                    n,
                    &lease,
                    |message| load_coordination::Input::ReportReceived(from, message),
                    &content,
                ) {
                    return;
                }
                if let Some(w) = content.first_chunk::<4>() {
                    let heard =
                        health_checks::Input::ReportReceived(WorkerId(u32::from_le_bytes(*w)));
                    self.instances[n].health_checker.handle(now, heard);
                }
            }
            Output::SubsystemChanged => {}
            Output::Record(note) => {
                if matches!(
                    note,
                    participant::HistoryEvent::Agreed { .. }
                        | participant::HistoryEvent::Restored { .. }
                ) {
                    self.update_shard_holders(n);
                }
                let i = &mut self.instances[n];
                // Encodes the event as a real process does, so that the same checker can read it.
                let line = serde_json::json!({ "at": now, "name": i.name, "process": i.process, "note": note });
                if let Ok(line) = serde_json::from_value(line) {
                    i.history.push(line);
                }
            }
        }
    }
}

struct ListedWorker(u32);

impl From<ListedWorker> for WorkerEntry {
    fn from(m: ListedWorker) -> WorkerEntry {
        WorkerEntry {
            worker: WorkerId(m.0),
            zone: ZoneId(0),
            cell: CellId(0),
            status: WorkerStatus::Ready,
            capacity: 1.0,
            started_at: None,
        }
    }
}

/// Runs a scenario with a seed.
pub fn play(scenario: &Scenario, seed: u64) -> Result<RunReport> {
    let mut emulation = Emulation::new(scenario, seed)?;
    emulation.play();
    let mut results = std::mem::take(&mut emulation.results);
    let per_s = |i: &Instance| i.bytes_sent as f64 / scenario.seconds;
    let most = |votes: bool| {
        emulation
            .instances
            .iter()
            .filter(|i| i.votes == votes)
            .map(per_s)
            .fold(0.0, f64::max)
    };
    (results.voter_bytes_per_s, results.member_bytes_per_s) = (most(true), most(false));
    let files: Vec<Vec<Line>> = emulation.instances.into_iter().map(|i| i.history).collect();
    let (counts, violations) = history::check(&files);
    (results.terms, results.accepted, results.refused) =
        (counts.terms, counts.accepted, counts.refused);
    results.wrong = violations.iter().map(ToString::to_string).collect();
    Ok(results)
}

/// Runs the command `emulate`: runs a scenario for each size and seed and prints a line per run.
/// Writes the results as JSON and as an SVG plot if asked to. Returns whether there are no
/// violations.
pub fn run(
    path: &Path,
    seeds: u64,
    first: u64,
    sizes: &[usize],
    json: Option<&Path>,
    svg: Option<&Path>,
) -> Result<bool> {
    let scenario = Scenario::read(path)?;
    let sizes = if sizes.is_empty() {
        vec![scenario.instances]
    } else {
        sizes.to_vec()
    };
    let (mut all, mut wrong) = (Vec::new(), 0);
    for size in sizes {
        for seed in first..first + seeds {
            let begun = std::time::Instant::now();
            let results = play(&scenario.sized(size), seed)?;
            wrong += results.wrong.len();
            println!(
                "{size} gateways, seed {seed}: {:.2}% of {} served, {} lost attempts, {} pings, {} orders ({} spared), {} fetches; \
                 bytes/s voter {:.0}, member {:.0}; {} writes, {} terms, {} effects taken, {} refused; gaps {:?} ms; {:.1} s",
                100.0 * results.served as f64 / results.calls.max(1) as f64,
                results.calls,
                results.lost_attempts,
                results.pings,
                results.orders,
                results.spared,
                results.fetches,
                results.voter_bytes_per_s,
                results.member_bytes_per_s,
                results.writes,
                results.terms,
                results.accepted,
                results.refused,
                results.gaps_ms.iter().map(|g| g.round()).collect::<Vec<_>>(),
                begun.elapsed().as_secs_f64()
            );
            results
                .wrong
                .iter()
                .for_each(|w| println!("WRONG, seed {seed}: {w}"));
            all.push(results);
        }
    }
    if let Some(json) = json {
        std::fs::write(
            json,
            serde_json::to_string_pretty(&all).map_err(Error::other)?,
        )?;
    }
    if let Some(svg) = svg {
        std::fs::write(svg, plot::by_size(&all))?;
    }
    println!("{} runs, {wrong} violations", all.len());
    Ok(wrong == 0)
}
