//! A simulation of participants on a network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::bootstrap::{bootstrap, initial_state};
use crate::consensus::participant::{
    DisabledGuards, HistoryEvent, Input, Output, Participant, Settings,
};
use crate::consensus::persistent_state::{PersistentState, Record};
use crate::consensus::voter;
use crate::consensus::wire::Body;
use crate::lease::{LeaseName, Term};

pub(super) const MS: Micros = 1_000;
pub(super) const LEASE_DURATION: Micros = 600 * MS;

pub(super) fn name(n: usize) -> Arc<str> {
    format!("n{n}").into()
}

pub(super) fn lease() -> LeaseName {
    "d".into()
}

pub(super) struct Simulation {
    pub(super) now: Micros,
    pub(super) process: u64,
    pub(super) participants: Vec<Option<Participant>>,
    pub(super) disks: Vec<Option<PersistentState>>,
    pub(super) pending_writes: Vec<VecDeque<(u64, Record)>>,
    pub(super) in_flight: VecDeque<(Micros, usize, Arc<str>, Body)>,
    pub(super) stopped: BTreeSet<usize>,
    /// Pairs of sender and receiver whose frames are put into `delayed`.
    pub(super) blocked: BTreeSet<(usize, usize)>,
    pub(super) delayed: Vec<(usize, Arc<str>, Body)>,
    pub(super) events: Vec<(usize, HistoryEvent)>,
    pub(super) accepted: Vec<(usize, Term, u64)>,
    pub(super) voter_count: usize,
    pub(super) guards: DisabledGuards,
}

impl Simulation {
    pub(super) fn new(
        participant_count: usize,
        voter_count: usize,
        guards: DisabledGuards,
    ) -> Simulation {
        let names: Vec<String> = (0..voter_count).map(|n| name(n).to_string()).collect();
        let disk = |n: usize| {
            (n < voter_count)
                .then(|| initial_state(&bootstrap(1, &names[n], &names, None).unwrap()))
        };
        let mut sim = Simulation {
            now: 1_000 * MS,
            process: 0,
            participants: (0..participant_count).map(|_| None).collect(),
            disks: (0..participant_count).map(disk).collect(),
            pending_writes: (0..participant_count).map(|_| VecDeque::new()).collect(),
            in_flight: VecDeque::new(),
            stopped: BTreeSet::new(),
            blocked: BTreeSet::new(),
            delayed: Vec::new(),
            events: Vec::new(),
            accepted: Vec::new(),
            voter_count,
            guards,
        };
        (0..participant_count).for_each(|n| sim.start(n));
        sim
    }

    pub(super) fn start(&mut self, n: usize) {
        self.process += 1;
        let settings = Settings {
            name: name(n),
            process: self.process,
            contacts: (0..self.voter_count + 1).map(name).collect(),
            leases: BTreeSet::from([lease()]),
            lease: crate::lease::Settings {
                duration: LEASE_DURATION,
                drift_ppm: 1_000,
            },
            voter: voter::Settings { tick: 20 * MS },
            seed: n as u64 * 77 + 5,
            disabled_guards: self.guards,
        };
        self.participants[n] = Some(Participant::new(settings, self.disks[n].clone(), self.now));
    }

    pub(super) fn kill(&mut self, n: usize) {
        self.participants[n] = None;
        self.pending_writes[n].clear();
    }

    pub(super) fn send_frame(&mut self, from: usize, to: &Arc<str>, body: Body) {
        let Some(to) = (0..self.participants.len()).find(|n| name(*n) == *to) else {
            return;
        };
        if self.blocked.contains(&(from, to)) {
            return self.delayed.push((to, name(from), body));
        }
        self.in_flight
            .push_back((self.now + 2 * MS, to, name(from), body));
    }

    pub(super) fn process_outputs(&mut self, n: usize) {
        while let Some(output) = self.participants[n].as_mut().and_then(Participant::output) {
            match output {
                Output::Send(to, body) => self.send_frame(n, &to, body),
                Output::SendEffect(to, effect) => {
                    if self.participants[n].as_ref().unwrap().still_holds(
                        self.now,
                        &effect.lease,
                        effect.term,
                    ) {
                        self.send_frame(n, &to, Body::Effect(effect));
                    }
                }
                Output::Persist(number, record) => {
                    self.pending_writes[n].push_back((number, *record))
                }
                Output::EffectReceived(e) => self.accepted.push((n, e.term, e.number)),
                Output::Record(event) => self.events.push((n, event)),
                Output::ReportReceived(..)
                | Output::LeaseAcquired(..)
                | Output::LeaseLost(..)
                | Output::SubsystemChanged => {}
            }
        }
    }

    pub(super) fn handle(&mut self, n: usize, input: Input) {
        let now = self.now;
        if let Some(participant) = self.participants[n].as_mut() {
            participant.handle(now, input);
        }
        self.process_outputs(n);
    }

    pub(super) fn step(&mut self) {
        self.now += MS;
        while self
            .in_flight
            .front()
            .is_some_and(|(at, ..)| *at <= self.now)
        {
            let Some((_, to, from, body)) = self.in_flight.pop_front() else {
                break;
            };
            if !self.stopped.contains(&to) {
                self.handle(to, Input::Frame(from, body));
            }
        }
        for n in (0..self.participants.len())
            .filter(|n| !self.stopped.contains(n))
            .collect::<Vec<_>>()
        {
            self.process_outputs(n);
            if let Some((number, record)) = self.pending_writes[n].pop_front() {
                if let Some(disk) = &mut self.disks[n] {
                    disk.apply(&record);
                }
                self.handle(n, Input::Persisted(number));
            }
            if self.participants[n]
                .as_ref()
                .is_some_and(|participant| participant.next_deadline(self.now) <= self.now)
            {
                self.handle(n, Input::Tick);
            }
        }
    }

    pub(super) fn run_until(&mut self, event: &str, condition: impl Fn(&Simulation) -> bool) {
        for _ in 0..30_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("timed out waiting for {event}: {:?}", self.participants);
    }

    pub(super) fn lease_holder(&self) -> Option<(usize, Term)> {
        let held_by = |n: usize| {
            self.participants[n]
                .as_ref()
                .and_then(|participant| participant.held_term(self.now, &lease()))
                .map(|t| (n, t))
        };
        (0..self.participants.len())
            .filter(|n| !self.stopped.contains(n))
            .filter_map(held_by)
            .max_by_key(|(_, t)| *t)
    }

    pub(super) fn wait_for_holder_after(&mut self, term: Term) -> (usize, Term) {
        self.run_until("the next holder", |sim| {
            sim.lease_holder().is_some_and(|(_, t)| t > term)
        });
        self.lease_holder().unwrap()
    }

    pub(super) fn send_effect(&mut self, n: usize) {
        self.handle(n, Input::SendEffect(lease(), vec![1]));
    }

    pub(super) fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Returns whether a participant accepted an effect of an older term after one of a newer term.
    pub(super) fn accepted_stale_effect(&self) -> bool {
        let mut highest: BTreeMap<usize, Term> = BTreeMap::new();
        self.accepted.iter().any(|(n, term, _)| {
            let highest_term = highest.entry(*n).or_default();
            let stale = term < highest_term;
            *highest_term = (*highest_term).max(*term);
            stale
        })
    }
}
