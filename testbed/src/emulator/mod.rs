//! The emulator: one seed, a virtual clock, a network with faults and workers, round the very values that the gateway runs:
//! the core with the decision module, the council's member with its duties, and the duty `trials`.
//!
//! The same scenario and seed give the same run. What each member notes is judged by the checker that judges real processes.

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
    Answer, AttemptDispatch, AttemptKey, AttemptReply, Call, Command, Core, HealthCheckKey,
    LoadOrderKey,
};
use molelug::health_checks::{self, HealthChecker, ProbeResult, Verdict};
use molelug::lease::LeaseName;
use molelug::load_coordination::{self, CopyKey, LoadCoordinator, LoadMessage};
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::history::{self, Line};
use workers::{Met, Worker};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// What is played.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Gateways.
    pub instances: usize,
    /// How many of them vote.
    pub voters: usize,
    /// How long, virtual seconds.
    pub seconds: f64,
    /// Whether there is a council at all.
    #[serde(default = "yes")]
    pub council: bool,
    /// Workers.
    pub workers: usize,
    /// Functions that are called.
    pub functions: u64,
    /// Calls a second, of all gateways together.
    pub calls_per_s: f64,
    /// The lease, milliseconds.
    #[serde(default = "lease")]
    pub lease_ms: u64,
    /// The voters' tick, milliseconds.
    #[serde(default = "tick")]
    pub tick_ms: u64,
    /// Shards of the duty `loads`; 0 for none.
    #[serde(default)]
    pub shards: usize,
    /// What the network does.
    #[serde(default)]
    pub network: Network,
    /// What happens when.
    #[serde(default)]
    pub at: Vec<At>,
}

fn yes() -> bool {
    true
}

fn lease() -> u64 {
    3_000
}

fn tick() -> u64 {
    50
}

/// What the network between gateways does.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// A frame takes this long, milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// And up to this much longer.
    #[serde(default)]
    pub jitter_ms: u64,
    /// Of a hundred frames, so many get lost.
    #[serde(default)]
    pub lost: u32,
    /// Of a hundred, so many come twice.
    #[serde(default)]
    pub doubled: u32,
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct At {
    /// When, virtual seconds.
    pub s: f64,
    /// What.
    pub what: What,
    /// To whom: `gw-3`, `worker-0`, `owner` (whoever owns the trials then), `leader`, or `all`.
    pub who: String,
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A worker answers nothing.
    Silent,
    /// It answers again.
    Well,
    /// A gateway is stopped, and forgets nothing.
    Stop,
    /// It goes on.
    Wake,
    /// Its process ends at once; its disk keeps what was written.
    Kill,
    /// A new process begins on its disk.
    Start,
    /// Nothing that it says leaves it.
    CutOut,
    /// Nothing comes to it.
    CutIn,
    /// Both end.
    Heal,
}

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Ran {
    /// The seed.
    pub seed: u64,
    /// Gateways.
    pub instances: usize,
    /// Calls, and those served.
    pub calls: u64,
    /// Calls that were served.
    pub served: u64,
    /// Attempts that went to a worker which answered nothing.
    pub lost_attempts: u64,
    /// Pings to workers.
    pub pings: u64,
    /// Orders to load, and copies fetched from the shared store.
    pub orders: u64,
    /// Copies fetched from the shared store.
    pub fetches: u64,
    /// Orders that were not given, as another's copy stood.
    pub spared: u64,
    /// Frames between gateways.
    pub frames: u64,
    /// Bytes a second that a voter sent, on average, and the most of any.
    pub voter_bytes_per_s: f64,
    /// Bytes a second that one which does not vote sent, the most of any.
    pub member_bytes_per_s: f64,
    /// Records written to all disks.
    pub writes: u64,
    /// Terms of duties.
    pub terms: usize,
    /// Effects that others took, and refused.
    pub accepted: usize,
    /// Effects refused.
    pub refused: usize,
    /// From each fault that took the owner away to the next owner's first effect, milliseconds.
    pub gaps_ms: Vec<f64>,
    /// What is wrong with the history.
    pub wrong: Vec<String>,
}

enum Event {
    Frame {
        to: usize,
        from: usize,
        body: Body,
    },
    Deadline(usize),
    Kept {
        who: usize,
        process: u64,
        number: u64,
        record: Box<Record>,
    },
    Call(usize),
    Back {
        who: usize,
        process: u64,
        attempt: AttemptKey,
        ending: CloseReason,
        left: SendProgress,
    },
    Loaded {
        who: usize,
        process: u64,
        order: LoadOrderKey,
        copies: u32,
    },
    Pinged {
        who: usize,
        process: u64,
        probe: HealthCheckKey,
    },
    At(usize),
    Turn,
}

struct Instance {
    name: Arc<str>,
    core: Core<u64>,
    member: Option<Participant>,
    health_checker: HealthChecker,
    loads: Option<LoadCoordinator>,
    orders: BTreeMap<u64, (LoadOrderKey, WorkerId, FunctionId, u8)>,
    numbers: BTreeMap<LoadOrderKey, u64>,
    given: BTreeSet<LoadOrderKey>,
    process: u64,
    up: bool,
    stopped: bool,
    cut: (bool, bool),
    /// What came while it was stopped.
    waits: Vec<Event>,
    probes: BTreeMap<HealthCheckKey, WorkerId>,
    disk: PersistentState,
    votes: bool,
    hung: Micros,
    bytes: u64,
    out: BTreeMap<AttemptKey, WorkerId>,
    history: Vec<Line>,
}

struct World {
    scenario: Scenario,
    now: Micros,
    number: u64,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    ran: Ran,
    processes: u64,
    /// When the owner was taken away, and under which term it owned.
    gone: Option<(Micros, u64)>,
    /// Effects by the term: the first.
    first_effect: BTreeMap<u64, Micros>,
}

fn duties(shards: usize) -> BTreeSet<LeaseName> {
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

/// The disk of a bootstrap voter.
fn bootstrap_disk(name: &str, names: &[String]) -> Result<PersistentState> {
    let record = bootstrap(1, name, names, None).map_err(Error::other)?;
    Ok(initial_state(&record))
}

/// Decodes verdicts as the emulated gateways send them: the worker and 1 if it is unhealthy, four bytes each.
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
    /// Reads one; unknown keys are errors.
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

    /// The same with another number of gateways and the same calls of all together.
    pub fn sized(&self, instances: usize) -> Scenario {
        Scenario {
            instances,
            voters: self.voters.min(instances),
            ..self.clone()
        }
    }
}

impl World {
    fn new(scenario: &Scenario, seed: u64) -> Result<World> {
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
                member: None,
                health_checker: HealthChecker::default(),
                loads: None,
                orders: BTreeMap::new(),
                numbers: BTreeMap::new(),
                given: BTreeSet::new(),
                process: 0,
                up: false,
                stopped: false,
                cut: (false, false),
                waits: Vec::new(),
                probes: BTreeMap::new(),
                disk,
                votes,
                hung: Micros::MAX,
                bytes: 0,
                out: BTreeMap::new(),
                history: Vec::new(),
            });
        }
        let mut world = World {
            now: SECOND,
            number: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            instances,
            workers: (0..scenario.workers).map(|_| Worker::default()).collect(),
            ran: Ran {
                seed,
                instances: scenario.instances,
                ..Ran::default()
            },
            processes: 0,
            gone: None,
            first_effect: BTreeMap::new(),
            scenario: scenario.clone(),
        };
        for n in 0..scenario.instances {
            world.start(n);
            let first = world.below(world.pause());
            world.post(world.now + first, Event::Call(n));
        }
        for (i, at) in scenario.at.iter().enumerate() {
            world.post(SECOND + (at.s * 1e6) as Micros, Event::At(i));
        }
        world.post(world.now, Event::Turn);
        Ok(world)
    }

    fn pause(&self) -> Micros {
        ((self.scenario.instances as f64 / self.scenario.calls_per_s) * 1e6).max(1.0) as Micros
    }

    fn below(&mut self, n: Micros) -> Micros {
        self.random.next_u64() % n.max(1)
    }

    fn post(&mut self, at: Micros, event: Event) {
        self.number += 1;
        let slot = self.number as usize;
        self.queue.push(Reverse((at, self.number, slot)));
        self.events.insert(slot, event);
    }

    fn start(&mut self, n: usize) {
        self.processes += 1;
        let s = &self.scenario;
        let settings = participant::Settings {
            name: name(n),
            process: self.processes,
            contacts: (0..s.voters).map(name).collect(),
            leases: duties(s.shards),
            lease: molelug::lease::Settings {
                duration: s.lease_ms * MS,
                drift_ppm: 1_000,
            },
            voter: voter::Settings {
                tick: s.tick_ms * MS,
            },
            seed: self.ran.seed ^ ((n as u64) << 20),
            disabled_guards: DisabledGuards::default(),
        };
        let (now, council) = (self.now, s.council);
        let (count, all, shards) = (s.instances, s.workers, s.shards);
        let seed = self.ran.seed ^ n as u64;
        let i = &mut self.instances[n];
        (i.process, i.up, i.stopped) = (self.processes, true, false);
        i.core = Core::new(self::settings(count), seed, now);
        let member = |w: u32| ListedWorker(w).into();
        i.core.update_workers(
            now,
            ListUpdate::Snapshot,
            (0..all as u32).map(member).collect(),
        );
        i.health_checker = HealthChecker::default();
        i.health_checker.handle(
            now,
            health_checks::Input::Ready((0..all as u32).map(WorkerId).collect()),
        );
        i.loads = council
            .then(|| LoadCoordinator::new(name(n), &duties(shards)))
            .flatten();
        i.orders.clear();
        i.numbers.clear();
        i.given.clear();
        i.probes.clear();
        i.out.clear();
        let kept = i.votes.then(|| i.disk.clone());
        i.member = council.then(|| Participant::new(settings, kept, now));
        self.drive(n);
    }

    /// Whoever owns the trials now, and under which term.
    fn owner(&self) -> Option<(usize, u64)> {
        let duty = health_checks::LEASE_NAME.into();
        let of = |(n, i): (usize, &Instance)| {
            i.member
                .as_ref()
                .filter(|_| i.up && !i.stopped)
                .and_then(|m| m.held_term(self.now, &duty))
                .map(|t| (n, t))
        };
        self.instances
            .iter()
            .enumerate()
            .filter_map(of)
            .max_by_key(|(_, t)| *t)
    }

    fn who(&self, who: &str) -> Vec<usize> {
        match who {
            "all" => (0..self.instances.len()).collect(),
            "owner" => self.owner().map(|(n, _)| n).into_iter().collect(),
            "leader" => {
                let leads = |n: &usize| {
                    self.instances[*n]
                        .member
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

    fn happen(&mut self, at: &At) {
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
        for n in self.who(&at.who) {
            let takes = matches!(
                at.what,
                What::Stop | What::Kill | What::CutOut | What::CutIn
            );
            if let Some((_, term)) = owner.filter(|(o, _)| *o == n && takes) {
                self.gone = Some((self.now, term));
            }
            let i = &mut self.instances[n];
            match at.what {
                What::Stop => i.stopped = true,
                What::Wake => {
                    i.stopped = false;
                    let waits = std::mem::take(&mut i.waits);
                    waits.into_iter().for_each(|e| self.post(self.now, e));
                    self.post(self.now, Event::Deadline(n));
                }
                What::Kill => {
                    (i.up, i.member) = (false, None);
                    i.waits.clear();
                }
                What::Start if !i.up => self.start(n),
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
        self.instances[from].bytes += wire::encoded_size(&name(from), &name(to), &body) as u64;
        self.ran.frames += 1;
        let net = self.scenario.network;
        if self.instances[from].cut.0 || self.random.next_u32() % 100 < net.lost {
            return;
        }
        let times = 1 + usize::from(self.random.next_u32() % 100 < net.doubled);
        for _ in 0..times {
            let at = self.now + net.delay_ms * MS + self.below(net.jitter_ms * MS + 1) + 50;
            self.post(
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
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.now;
        let who = match &event {
            Event::Frame { to, .. } => Some(*to),
            Event::Deadline(n) | Event::Call(n) => Some(*n),
            Event::Back { who, .. } | Event::Loaded { who, .. } | Event::Pinged { who, .. } => {
                Some(*who)
            }
            Event::Kept { .. } | Event::At(_) | Event::Turn => None,
        };
        if let Some(n) = who.filter(|n| self.instances[*n].stopped) {
            // What comes waits in its sockets; its own deadlines are looked at when it wakes.
            match event {
                Event::Deadline(_) => {}
                Event::Call(_) => {
                    let pause = self.pause();
                    self.post(now + pause, event);
                }
                event => self.instances[n].waits.push(event),
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
                if let Some(m) = i.member.as_mut() {
                    m.handle(now, participant::Input::Frame(sender, body));
                }
                self.drive(to);
            }
            Event::Deadline(n) => {
                let i = &mut self.instances[n];
                if i.hung <= now {
                    i.hung = Micros::MAX;
                }
                if i.up {
                    i.core.tick(now, &mut Vec::new());
                    i.health_checker.handle(now, health_checks::Input::Tick);
                    if let Some(l) = i.loads.as_mut() {
                        l.handle(now, load_coordination::Input::Tick);
                    }
                    if let Some(m) = i.member.as_mut() {
                        m.handle(now, participant::Input::Tick);
                    }
                    self.drive(n);
                }
            }
            Event::Kept {
                who,
                process,
                number,
                record,
            } => {
                let i = &mut self.instances[who];
                // A write that had begun when its process ended is there or not; here it is not.
                if i.process != process || !i.up {
                    return;
                }
                i.disk.apply(&record);
                self.ran.writes += 1;
                if i.stopped {
                    return i.waits.push(Event::Kept {
                        who,
                        process,
                        number,
                        record: Box::default(),
                    });
                }
                if let Some(m) = i.member.as_mut() {
                    m.handle(now, participant::Input::Persisted(number));
                }
                self.drive(who);
            }
            Event::Call(n) => {
                let pause = self.pause();
                let at = now + pause / 2 + self.below(pause);
                self.post(at, Event::Call(n));
                if self.instances[n].up {
                    self.call(n);
                    self.drive(n);
                }
            }
            Event::Back {
                who,
                process,
                attempt,
                ending,
                left,
            } => {
                if self.instances[who].process == process && self.instances[who].up {
                    self.ended(who, attempt, ending, left);
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
                if i.process == process && i.up {
                    if let (Some(l), Some(number)) = (i.loads.as_mut(), i.numbers.remove(&order)) {
                        i.orders.remove(&number);
                        l.handle(now, load_coordination::Input::Ended(number, copies));
                    }
                    i.given.remove(&order);
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
            Event::Pinged {
                who,
                process,
                probe,
            } => {
                let i = &mut self.instances[who];
                if i.process == process && i.up {
                    if let Some(w) = i.probes.remove(&probe) {
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
            Event::At(at) => {
                let at = self.scenario.at[at].clone();
                self.happen(&at);
            }
            Event::Turn => {
                // Loads that are done; a load lasts a while.
                self.workers.iter_mut().for_each(|w| w.settle(now));
                self.post(now + 5 * MS, Event::Turn);
            }
        }
    }

    fn call(&mut self, n: usize) {
        self.ran.calls += 1;
        let id = self.ran.calls;
        // A few functions are called often, most seldom.
        let f = self
            .below(self.scenario.functions * self.scenario.functions)
            .isqrt();
        let function = FunctionId(self.scenario.functions - 1 - f.min(self.scenario.functions - 1));
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(0),
            tenant: TenantId(0),
            function,
            expires_at: self.now + 900 * MS,
            expected_work: None,
            memory_mb: 1.0,
            concurrency_per_copy: 4,
            load_duration: Some(workers::LOAD),
        };
        let call = Call {
            origin: id,
            identity: format!("{id:016x}").into(),
            body: Rc::from(&b""[..]),
            arrival,
        };
        self.instances[n].core.submit(self.now, call);
    }

    fn ended(&mut self, n: usize, attempt: AttemptKey, ending: CloseReason, left: SendProgress) {
        let now = self.now;
        let i = &mut self.instances[n];
        if let Some(w) = i.out.remove(&attempt) {
            if let Some(seen) = ending.observation(left) {
                i.health_checker
                    .handle(now, health_checks::Input::Outcome(w, seen));
            }
        }
        i.core
            .attempt_ended(now, attempt, ending, left, AttemptReply::default());
    }

    /// Carries out all that an instance's values have to have done.
    fn drive(&mut self, n: usize) {
        let now = self.now;
        loop {
            if let Some(command) = self.instances[n].core.next_command() {
                self.perform(n, command);
            } else if let Some(output) = self.instances[n].health_checker.output() {
                self.of_trials(n, output);
            } else if let Some(output) = self.instances[n]
                .loads
                .as_mut()
                .and_then(LoadCoordinator::output)
            {
                self.of_loads(n, output);
            } else if let Some(output) = self.instances[n]
                .member
                .as_mut()
                .and_then(Participant::output)
            {
                self.of_member(n, output);
            } else {
                break;
            }
        }
        let i = &mut self.instances[n];
        let member = i.member.as_ref().map(|m| m.next_deadline(now));
        let loads = i.loads.as_ref().and_then(LoadCoordinator::next_deadline);
        let next = [
            i.core.next_deadline(),
            i.health_checker.next_deadline(),
            loads,
            member,
        ]
        .into_iter()
        .flatten()
        .min();
        if let Some(at) = next.map(|t| t.max(now + 1)).filter(|t| *t < i.hung) {
            i.hung = at;
            self.post(at, Event::Deadline(n));
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
                self.instances[n].out.insert(attempt, worker);
                let Some(w) = self.workers.get_mut(worker.0 as usize) else {
                    return;
                };
                let (after, ending) = match w.meet(now, function) {
                    Met::Silent => {
                        self.ran.lost_attempts += 1;
                        return;
                    }
                    Met::Missed => (MS, CloseReason::NotLoaded),
                    Met::Runs(span) => (span, CloseReason::Served),
                };
                self.post(
                    now + after + MS,
                    Event::Back {
                        who: n,
                        process,
                        attempt,
                        ending,
                        left: SendProgress::Started,
                    },
                );
            }
            Command::Cancel {
                attempt,
                reason: why,
            } => self.ended(n, attempt, why, SendProgress::Started),
            // Nothing waits in a buffer here: what was sent has begun.
            Command::Withdraw { .. } => {}
            Command::AbandonHealthCheck { check } => {
                let core = &mut self.instances[n].core;
                core.health_check_ended(now, check, CloseReason::TimedOut, None, None);
            }
            // The emulator's list does not age.
            Command::ReopenDiscovery => {}
            Command::Load {
                order,
                worker,
                function,
                copies,
            } => {
                let i = &mut self.instances[n];
                if let Some(l) = i.loads.as_mut().filter(|_| copies > 0) {
                    self.number += 1;
                    i.orders
                        .insert(self.number, (order, worker, function, copies));
                    i.numbers.insert(order, self.number);
                    l.handle(
                        now,
                        load_coordination::Input::Order(self.number, CopyKey { worker, function }),
                    );
                } else {
                    self.stage(n, order, worker, function, copies);
                }
            }
            Command::HealthCheck {
                check: probe,
                worker,
            } => {
                self.ran.pings += 1;
                if self
                    .workers
                    .get(worker.0 as usize)
                    .is_some_and(|w| !w.silent)
                {
                    self.post(
                        now + 2 * MS,
                        Event::Pinged {
                            who: n,
                            process,
                            probe,
                        },
                    );
                }
            }
            Command::AbandonLoad { order } => {
                let i = &mut self.instances[n];
                if let (Some(l), Some(number)) = (i.loads.as_mut(), i.numbers.remove(&order)) {
                    i.orders.remove(&number);
                    let given = i.given.remove(&order);
                    let input = if given {
                        load_coordination::Input::Ended(number, 0)
                    } else {
                        load_coordination::Input::Cancel(number)
                    };
                    l.handle(now, input);
                }
                i.core
                    .load_ended(now, order, CloseReason::TimedOut, SendProgress::Started, 0);
            }
            Command::Unload { .. } => {}
            Command::Answer { answer, .. } => {
                self.ran.served += u64::from(matches!(answer, Answer::Served(_)))
            }
        }
    }

    fn stage(
        &mut self,
        n: usize,
        order: LoadOrderKey,
        worker: WorkerId,
        function: FunctionId,
        copies: u8,
    ) {
        let (now, process) = (self.now, self.instances[n].process);
        self.ran.orders += u64::from(copies > 0);
        self.instances[n].given.insert(order);
        let Some(w) = self
            .workers
            .get_mut(worker.0 as usize)
            .filter(|w| !w.silent)
        else {
            return;
        };
        let (after, stands) = w.order(now, function, copies > 0, &mut self.ran.fetches);
        self.post(
            now + after + MS,
            Event::Loaded {
                who: n,
                process,
                order,
                copies: stands,
            },
        );
    }

    fn of_loads(&mut self, n: usize, output: load_coordination::Output) {
        let now = self.now;
        let i = &mut self.instances[n];
        let text = |w: &LoadMessage| serde_json::to_vec(w).unwrap_or_default();
        match output {
            load_coordination::Output::Report(duty, word) => {
                if let Some(m) = i.member.as_mut() {
                    m.handle(now, participant::Input::Report(duty, text(&word)));
                }
            }
            load_coordination::Output::Announce(duty, word) => {
                if let Some(m) = i.member.as_mut() {
                    m.handle(now, participant::Input::SendEffect(duty, text(&word)));
                }
            }
            load_coordination::Output::Load(number) => {
                if let Some((order, worker, function, copies)) = i.orders.get(&number).copied() {
                    self.stage(n, order, worker, function, copies);
                }
            }
            load_coordination::Output::AlreadyResident(number, copies) => {
                if let Some((order, ..)) = i.orders.remove(&number) {
                    i.numbers.remove(&order);
                    self.ran.spared += 1;
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

    /// What an owner said, or another said to it, goes to the duty that it is of.
    fn tell_loads(
        &mut self,
        n: usize,
        duty: &str,
        input: impl FnOnce(LoadMessage) -> load_coordination::Input,
        content: &[u8],
    ) -> bool {
        let now = self.now;
        if !duty.starts_with(load_coordination::SHARD_LEASE_PREFIX) {
            return false;
        }
        if let (Some(l), Ok(word)) = (
            self.instances[n].loads.as_mut(),
            serde_json::from_slice(content),
        ) {
            l.handle(now, input(word));
        }
        true
    }

    /// Whether each shard has an owner, as the log says here.
    fn know_loads(&mut self, n: usize) {
        let now = self.now;
        let i = &mut self.instances[n];
        let (Some(l), Some(m)) = (i.loads.as_mut(), i.member.as_ref()) else {
            return;
        };
        for duty in duties(self.scenario.shards)
            .into_iter()
            .filter(|d| d.starts_with(load_coordination::SHARD_LEASE_PREFIX))
        {
            let owned = m.state().leases.record(&duty).holder.is_some();
            l.handle(now, load_coordination::Input::HolderKnown(duty, owned));
        }
    }

    fn of_trials(&mut self, n: usize, output: health_checks::Output) {
        let now = self.now;
        let i = &mut self.instances[n];
        let duty = || health_checks::LEASE_NAME.into();
        let input = match output {
            health_checks::Output::Report(w) => {
                participant::Input::Report(duty(), w.0.to_le_bytes().to_vec())
            }
            health_checks::Output::Announce(verdicts) => {
                let plain = verdicts
                    .into_iter()
                    .flat_map(|verdict| [verdict.worker.0, u32::from(verdict.unhealthy)]);
                participant::Input::SendEffect(duty(), plain.flat_map(u32::to_le_bytes).collect())
            }
            health_checks::Output::SetCapable(able) => participant::Input::SetEligible(able),
            health_checks::Output::Advise(w, until) => {
                return i.core.update_peer_health(now, w, until)
            }
            health_checks::Output::Probe(w) => {
                let probe = i.core.start_health_check(now, w);
                i.probes.insert(probe, w);
                return;
            }
        };
        if let Some(m) = i.member.as_mut() {
            m.handle(now, input);
        }
    }

    fn owns(&mut self, n: usize, duty: LeaseName, owns: bool) {
        let now = self.now;
        let i = &mut self.instances[n];
        if *duty == *health_checks::LEASE_NAME {
            i.health_checker
                .handle(now, health_checks::Input::LeaseChanged(owns));
        } else if let Some(l) = i.loads.as_mut() {
            l.handle(now, load_coordination::Input::LeaseChanged(duty, owns));
        }
    }

    fn of_member(&mut self, n: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Send(to, body) => self.send(n, &to, body),
            Output::SendEffect(to, effect) => {
                let still = |m: &Participant| m.still_holds(now, &effect.lease, effect.term);
                if self.instances[n].member.as_ref().is_some_and(still) {
                    self.send(n, &to, Body::Effect(effect));
                }
            }
            Output::Persist(number, record) => {
                let process = self.instances[n].process;
                let at = now + MS + self.below(4 * MS);
                self.post(
                    at,
                    Event::Kept {
                        who: n,
                        process,
                        number,
                        record,
                    },
                );
            }
            Output::LeaseAcquired(duty, _) => self.owns(n, duty, true),
            Output::LeaseLost(duty, _) => self.owns(n, duty, false),
            Output::EffectReceived(effect) => {
                if self.tell_loads(
                    n,
                    &effect.lease,
                    load_coordination::Input::Announced,
                    &effect.content,
                ) {
                    return;
                }
                self.first_effect.entry(effect.term).or_insert(now);
                if let Some((at, _)) = self.gone.filter(|(_, term)| effect.term > *term) {
                    self.ran.gaps_ms.push((now - at) as f64 / 1e3);
                    self.gone = None;
                }
                let verdicts = decode_verdicts(&effect.content);
                self.instances[n]
                    .health_checker
                    .handle(now, health_checks::Input::Verdicts(verdicts));
            }
            Output::ReportReceived(duty, from, content) => {
                if self.tell_loads(
                    n,
                    &duty,
                    |word| load_coordination::Input::ReportReceived(from, word),
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
                    self.know_loads(n);
                }
                let i = &mut self.instances[n];
                // As a real process writes it, so that one checker reads both.
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

/// Plays a scenario from a seed.
pub fn play(scenario: &Scenario, seed: u64) -> Result<Ran> {
    let mut world = World::new(scenario, seed)?;
    world.play();
    let mut ran = std::mem::take(&mut world.ran);
    let per_s = |i: &Instance| i.bytes as f64 / scenario.seconds;
    let most = |votes: bool| {
        world
            .instances
            .iter()
            .filter(|i| i.votes == votes)
            .map(per_s)
            .fold(0.0, f64::max)
    };
    (ran.voter_bytes_per_s, ran.member_bytes_per_s) = (most(true), most(false));
    let files: Vec<Vec<Line>> = world.instances.into_iter().map(|i| i.history).collect();
    let (held, wrong) = history::check(&files);
    (ran.terms, ran.accepted, ran.refused) = (held.terms, held.accepted, held.refused);
    ran.wrong = wrong.iter().map(ToString::to_string).collect();
    Ok(ran)
}

/// `emulate`: seeds of a scenario, what came of them, and a line a run as JSON if asked for.
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
            let ran = play(&scenario.sized(size), seed)?;
            wrong += ran.wrong.len();
            println!(
                "{size} gateways, seed {seed}: {:.2}% of {} served, {} lost attempts, {} pings, {} orders ({} spared), {} fetches; \
                 bytes/s voter {:.0}, member {:.0}; {} writes, {} terms, {} effects taken, {} refused; gaps {:?} ms; {:.1} s",
                100.0 * ran.served as f64 / ran.calls.max(1) as f64,
                ran.calls,
                ran.lost_attempts,
                ran.pings,
                ran.orders,
                ran.spared,
                ran.fetches,
                ran.voter_bytes_per_s,
                ran.member_bytes_per_s,
                ran.writes,
                ran.terms,
                ran.accepted,
                ran.refused,
                ran.gaps_ms.iter().map(|g| g.round()).collect::<Vec<_>>(),
                begun.elapsed().as_secs_f64()
            );
            ran.wrong
                .iter()
                .for_each(|w| println!("WRONG, seed {seed}: {w}"));
            all.push(ran);
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
