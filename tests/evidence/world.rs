//! Workers that drain, end and come back, a discovery that comes and goes, and a tracker that hears of them; time is a
//! number.

use std::collections::BTreeMap;

use molelug::api::{DiscoverySignal, Micros, WorkerId, WorkerStatus};
use molelug::policy::evidence::{CheckResult, EvidenceTracker, ReportedCapacity};

use super::{settings, GRACE, MS, SECOND, START, TOLD_AFTER};

const WORKERS: u32 = 6;
const STEPS: usize = 1_500;
/// How late discovery tells of a change at most.
const MAX_LAG: Micros = 1_500 * MS;

/// What a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truth {
    Serving,
    /// It takes nothing new since then.
    Draining(Micros),
    /// Its process is gone; it began to drain or went then.
    Gone(Micros),
}

/// A change that discovery tells of once its time has come.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Micros,
    worker: WorkerId,
    status: WorkerStatus,
    restarted: bool,
}

/// The answer to a health check or a call that is on its way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    due: Micros,
    worker: WorkerId,
    sent_at: Micros,
    is_check: bool,
    truth: Truth,
}

pub struct World {
    seed: u64,
    random: u64,
    now: Micros,
    tracker: EvidenceTracker,
    truths: BTreeMap<WorkerId, Truth>,
    listed: BTreeMap<WorkerId, WorkerStatus>,
    told: Vec<Told>,
    pending: Vec<Pending>,
    discovery_up: bool,
    up_since: Micros,
    next_heartbeat: Micros,
    sends: u64,
}

impl World {
    pub fn new(seed: u64, may_health_check: bool) -> World {
        let mut world = World {
            seed,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            now: START,
            tracker: EvidenceTracker::new(&settings(may_health_check), seed, START),
            truths: BTreeMap::new(),
            listed: BTreeMap::new(),
            told: Vec::new(),
            pending: Vec::new(),
            discovery_up: false,
            up_since: 0,
            next_heartbeat: 0,
            sends: 0,
        };
        for id in (0..WORKERS).map(WorkerId) {
            world.truths.insert(id, Truth::Serving);
            world.listed.insert(id, WorkerStatus::Ready);
            world.tracker.on_listed(id, WorkerStatus::Ready, false);
        }
        world.connect();
        world
    }

    pub fn run(mut self) {
        for _ in 0..STEPS {
            self.now += 1 + self.below(120 * MS);
            self.deliver();
            match self.below(100) {
                0 => self.toggle_discovery(),
                1..=2 => self.change_worker(),
                3..=40 => self.call(),
                _ => {}
            }
            self.tracker.tick(self.now);
            for worker in self.tracker.due_checks(self.now) {
                self.post(worker, true);
            }
        }
        assert!(self.sends > 0, "seed {}: nothing was sent", self.seed);
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    fn any_worker(&mut self) -> WorkerId {
        WorkerId(self.below(u64::from(WORKERS)) as u32)
    }

    fn connect(&mut self) {
        self.discovery_up = true;
        self.up_since = self.now;
        self.next_heartbeat = self.now + SECOND;
        self.tracker.on_discovery(self.now, DiscoverySignal::Opened);
        self.tracker
            .on_discovery(self.now, DiscoverySignal::Heartbeat);
    }

    fn toggle_discovery(&mut self) {
        if self.discovery_up {
            self.discovery_up = false;
            // Either the stream ends, or it just falls silent.
            if self.below(2) == 0 {
                self.tracker.on_discovery(self.now, DiscoverySignal::Closed);
            }
        } else {
            self.connect();
        }
    }

    /// A worker begins to drain, ends or comes back; discovery learns of it.
    fn change_worker(&mut self) {
        let worker = self.any_worker();
        let before = self.truths[&worker];
        let (truth, status, restarted) = match before {
            Truth::Serving if self.below(4) == 0 => {
                (Truth::Gone(self.now), WorkerStatus::Removed, false)
            }
            Truth::Serving => (Truth::Draining(self.now), WorkerStatus::Draining, false),
            Truth::Draining(since) => (Truth::Gone(since), WorkerStatus::Removed, false),
            Truth::Gone(_) => (Truth::Serving, WorkerStatus::Ready, true),
        };
        self.truths.insert(worker, truth);
        let latest = self.told.iter().map(|told| told.at).max().unwrap_or(0);
        let at = (self.now + self.below(MAX_LAG)).max(latest);
        self.told.push(Told {
            at,
            worker,
            status,
            restarted,
        });
    }

    /// Has everything arrive whose time has come.
    fn deliver(&mut self) {
        if self.discovery_up {
            let (due, later): (Vec<Told>, Vec<Told>) =
                self.told.iter().partition(|told| told.at <= self.now);
            self.told = later;
            for told in due {
                self.listed.insert(told.worker, told.status);
                self.tracker
                    .on_listed(told.worker, told.status, told.restarted);
                self.tracker.on_discovery(self.now, DiscoverySignal::Update);
            }
            if self.now >= self.next_heartbeat {
                self.next_heartbeat = self.now + SECOND;
                self.tracker
                    .on_discovery(self.now, DiscoverySignal::Heartbeat);
            }
        }
        let (due, later): (Vec<Pending>, Vec<Pending>) = self
            .pending
            .iter()
            .partition(|answer| answer.due <= self.now);
        self.pending = later;
        for answer in due {
            self.answer(answer);
        }
    }

    fn answer(&mut self, answer: Pending) {
        let Pending {
            worker, sent_at, ..
        } = answer;
        match (answer.truth, answer.is_check) {
            (Truth::Serving, false) => self.tracker.on_served(self.now, worker, sent_at),
            (Truth::Draining(_), false) => {
                self.tracker
                    .on_rejected(self.now, worker, sent_at, ReportedCapacity::Free);
            }
            (Truth::Gone(_), _) => {
                self.tracker.on_process_ended(self.now, worker);
                if answer.is_check {
                    self.check_ended(worker, CheckResult::NoAnswer, sent_at);
                }
            }
            (Truth::Serving, true) => self.check_ended(worker, CheckResult::Alive, sent_at),
            (Truth::Draining(_), true) => self.check_ended(worker, CheckResult::Dead, sent_at),
        }
    }

    fn check_ended(&mut self, worker: WorkerId, result: CheckResult, sent_at: Micros) {
        self.tracker
            .on_checked(self.now, worker, result, sent_at, None);
    }

    fn post(&mut self, worker: WorkerId, is_check: bool) {
        let due = self.now + self.below(200 * MS);
        let truth = self.truths[&worker];
        self.pending.push(Pending {
            due,
            worker,
            sent_at: self.now,
            is_check,
            truth,
        });
    }

    /// A call for any worker: sent if the tracker allows it, which must not be too late.
    fn call(&mut self) {
        self.tracker.on_request(self.now);
        let worker = self.any_worker();
        let truth = self.truths[&worker];
        let is_listed = self.listed[&worker] == WorkerStatus::Ready;
        if !is_listed || !self.tracker.may_send(self.now, worker) {
            self.assert_used_while_confirmed(worker, is_listed);
            return;
        }
        if let Truth::Draining(since) | Truth::Gone(since) = truth {
            assert!(
                self.now <= since + TOLD_AFTER + GRACE,
                "seed {}: {worker:?} is sent to {} ms after it began to drain",
                self.seed,
                (self.now - since) / MS
            );
        }
        self.sends += 1;
        self.tracker.on_sent(self.now, worker);
        self.post(worker, false);
    }

    /// A worker that serves and is listed is used once discovery has been in reach for a while with nothing to tell.
    fn assert_used_while_confirmed(&self, worker: WorkerId, is_listed: bool) {
        let is_quiet = self.discovery_up
            && self.now > self.up_since + 20 * SECOND
            && self.told.is_empty()
            && self.truths.values().all(|truth| *truth == Truth::Serving);
        assert!(
            !(is_quiet && is_listed),
            "seed {}: {worker:?} is not used though the list names it",
            self.seed
        );
    }
}
