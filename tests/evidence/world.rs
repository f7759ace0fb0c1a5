//! A simulation on a virtual clock: workers drain, stop and restart, discovery is lost and returns,
//! and a tracker gets the resulting events.

use std::collections::BTreeMap;

use molelug::api::{DiscoverySignal, Micros, WorkerId, WorkerStatus};
use molelug::policy::evidence::{CheckResult, EvidenceTracker, ReportedCapacity};

use super::{settings, DRAIN_GRACE, LIST_MAX_AGE, MS, SECOND, START};

const WORKERS: u32 = 6;
const STEPS: usize = 1_500;
/// The longest delay with which discovery announces a change.
const MAX_LAG: Micros = 1_500 * MS;

/// The real state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkerState {
    Serving,
    /// The worker takes no new requests since this instant.
    Draining(Micros),
    /// The process has ended. It began to drain, or ended without a drain, at this instant.
    Stopped(Micros),
}

/// A change that discovery announces at an instant.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    at: Micros,
    worker: WorkerId,
    status: WorkerStatus,
    restarted: bool,
}

/// The future answer to a health check or a call.
#[derive(Clone, Copy, Debug)]
struct PendingAnswer {
    due: Micros,
    worker: WorkerId,
    sent_at: Micros,
    is_check: bool,
    state: WorkerState,
}

pub struct World {
    seed: u64,
    random: u64,
    now: Micros,
    tracker: EvidenceTracker,
    states: BTreeMap<WorkerId, WorkerState>,
    listed: BTreeMap<WorkerId, WorkerStatus>,
    announcements: Vec<Announcement>,
    pending: Vec<PendingAnswer>,
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
            states: BTreeMap::new(),
            listed: BTreeMap::new(),
            announcements: Vec::new(),
            pending: Vec::new(),
            discovery_up: false,
            up_since: 0,
            next_heartbeat: 0,
            sends: 0,
        };
        for id in (0..WORKERS).map(WorkerId) {
            world.states.insert(id, WorkerState::Serving);
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
                self.send(worker, true);
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
            // The stream either ends or stays open without events.
            if self.below(2) == 0 {
                self.tracker.on_discovery(self.now, DiscoverySignal::Closed);
            }
        } else {
            self.connect();
        }
    }

    /// Has a worker drain, stop or restart, and schedules the announcement.
    fn change_worker(&mut self) {
        let worker = self.any_worker();
        let before = self.states[&worker];
        let (state, status, restarted) = match before {
            WorkerState::Serving if self.below(4) == 0 => {
                (WorkerState::Stopped(self.now), WorkerStatus::Removed, false)
            }
            WorkerState::Serving => (
                WorkerState::Draining(self.now),
                WorkerStatus::Draining,
                false,
            ),
            WorkerState::Draining(since) => {
                (WorkerState::Stopped(since), WorkerStatus::Removed, false)
            }
            WorkerState::Stopped(_) => (WorkerState::Serving, WorkerStatus::Ready, true),
        };
        self.states.insert(worker, state);
        let latest = self.announcements.iter().map(|a| a.at).max().unwrap_or(0);
        let at = (self.now + self.below(MAX_LAG)).max(latest);
        self.announcements.push(Announcement {
            at,
            worker,
            status,
            restarted,
        });
    }

    /// Delivers all announcements, heartbeats and answers that are due.
    fn deliver(&mut self) {
        if self.discovery_up {
            let (due, later): (Vec<Announcement>, Vec<Announcement>) =
                self.announcements.iter().partition(|a| a.at <= self.now);
            self.announcements = later;
            for change in due {
                self.listed.insert(change.worker, change.status);
                self.tracker
                    .on_listed(change.worker, change.status, change.restarted);
                self.tracker.on_discovery(self.now, DiscoverySignal::Update);
            }
            if self.now >= self.next_heartbeat {
                self.next_heartbeat = self.now + SECOND;
                self.tracker
                    .on_discovery(self.now, DiscoverySignal::Heartbeat);
            }
        }
        let (due, later): (Vec<PendingAnswer>, Vec<PendingAnswer>) = self
            .pending
            .iter()
            .partition(|answer| answer.due <= self.now);
        self.pending = later;
        for answer in due {
            self.answer(answer);
        }
    }

    fn answer(&mut self, answer: PendingAnswer) {
        let PendingAnswer {
            worker, sent_at, ..
        } = answer;
        match (answer.state, answer.is_check) {
            (WorkerState::Serving, false) => self.tracker.on_served(self.now, worker, sent_at),
            (WorkerState::Draining(_), false) => {
                self.tracker
                    .on_rejected(self.now, worker, sent_at, ReportedCapacity::Free);
            }
            (WorkerState::Stopped(_), _) => {
                self.tracker.on_process_ended(self.now, worker);
                if answer.is_check {
                    self.end_check(worker, CheckResult::NoAnswer, sent_at);
                }
            }
            (WorkerState::Serving, true) => self.end_check(worker, CheckResult::Alive, sent_at),
            (WorkerState::Draining(_), true) => self.end_check(worker, CheckResult::Dead, sent_at),
        }
    }

    fn end_check(&mut self, worker: WorkerId, result: CheckResult, sent_at: Micros) {
        self.tracker
            .on_checked(self.now, worker, result, sent_at, None);
    }

    fn send(&mut self, worker: WorkerId, is_check: bool) {
        let due = self.now + self.below(200 * MS);
        let state = self.states[&worker];
        self.pending.push(PendingAnswer {
            due,
            worker,
            sent_at: self.now,
            is_check,
            state,
        });
    }

    /// Sends a call to a random worker if the tracker allows it, and asserts that the worker has
    /// not drained for too long.
    fn call(&mut self) {
        self.tracker.on_request(self.now);
        let worker = self.any_worker();
        let state = self.states[&worker];
        let is_listed = self.listed[&worker] == WorkerStatus::Ready;
        if !is_listed || !self.tracker.may_send(self.now, worker) {
            self.assert_used_while_confirmed(worker, is_listed);
            return;
        }
        if let WorkerState::Draining(since) | WorkerState::Stopped(since) = state {
            assert!(
                self.now <= since + LIST_MAX_AGE + DRAIN_GRACE,
                "seed {}: a call is sent to {worker:?} {} ms after its drain began",
                self.seed,
                (self.now - since) / MS
            );
        }
        self.sends += 1;
        self.tracker.on_sent(self.now, worker);
        self.send(worker, false);
    }

    /// Asserts that a listed worker is used once discovery has been reachable for 20 s without
    /// changes to announce while all workers serve.
    fn assert_used_while_confirmed(&self, worker: WorkerId, is_listed: bool) {
        let is_quiet = self.discovery_up
            && self.now > self.up_since + 20 * SECOND
            && self.announcements.is_empty()
            && self
                .states
                .values()
                .all(|state| *state == WorkerState::Serving);
        assert!(
            !(is_quiet && is_listed),
            "seed {}: {worker:?} is not used although it is listed",
            self.seed
        );
    }
}
