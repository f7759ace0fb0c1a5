//! Voters on a simulated network with faulty disks, one seed a run; the entries that they applied are compared at the end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::bootstrap::{bootstrap, initial_state};
use crate::consensus::peer_memory::KnownState;
use crate::consensus::persistent_state::{LogEntry, Metadata, PersistentState, Record};
use crate::consensus::state::{AppliedEntry, Entry};
use crate::consensus::voter::{
    DisabledVoterGuards, Identity, Input, Output, Settings, Voter, VoterError,
};
use crate::consensus::{bootstrap_voter, ReplicaId};
use crate::lease::table;
use crate::lease::LeaseHolder;

pub(super) const MS: Micros = 1_000;

pub(super) fn name(n: usize) -> Arc<str> {
    format!("n{n}").into()
}

/// The disk of a bootstrap voter.
pub(super) fn bootstrap_disk(n: usize, of: usize) -> PersistentState {
    let names: Vec<String> = (0..of).map(|n| name(n).to_string()).collect();
    initial_state(&bootstrap(1, &name(n), &names, None).unwrap())
}

pub(super) fn below(seed: &mut u64, n: u64) -> u64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % n
}

pub(super) struct Replica {
    pub(super) voter: Option<Voter>,
    /// What is durable on the disk.
    pub(super) disk: (Option<Metadata>, Vec<LogEntry>),
    /// Records on their way to the disk.
    pub(super) writes: VecDeque<(u64, Record)>,
    /// The entries that it applied, over all its processes.
    pub(super) applied: BTreeMap<u64, Entry>,
    pub(super) retired: Option<String>,
}

pub(super) enum Packet {
    Message(u64, u64, Vec<u8>),
    KnownStateRequest(KnownState),
    KnownStateReply(KnownState),
}

pub(super) struct Simulation {
    pub(super) now: Micros,
    pub(super) seed: u64,
    pub(super) process: u64,
    pub(super) voters: Vec<Replica>,
    /// Messages in flight by arrival time and number: receiver, sender, content.
    pub(super) in_flight: BTreeMap<(Micros, u64), (usize, usize, Packet)>,
    pub(super) number: u64,
    /// Pairs of sender and receiver between which messages are dropped.
    pub(super) blocked: BTreeSet<(usize, usize)>,
    pub(super) lost_percent: u64,
    pub(super) duplicated_percent: u64,
    /// A record is written every so many milliseconds on average.
    pub(super) write_interval_ms: u64,
    /// Voters whose disks are full.
    pub(super) full_disks: BTreeSet<usize>,
    /// Voters whose processes are stopped and keep their memory.
    pub(super) stopped: BTreeSet<usize>,
    pub(super) disabled_guards: DisabledVoterGuards,
    pub(super) leaders: BTreeMap<u64, usize>,
    pub(super) violation: Option<String>,
}

impl Simulation {
    pub(super) fn new(of: usize, seed: u64, disabled_guards: DisabledVoterGuards) -> Simulation {
        let voter = |n| {
            let persistent = bootstrap_disk(n, of);
            let disk = (Some(persistent.metadata), Vec::new());
            Replica {
                voter: None,
                disk,
                writes: VecDeque::new(),
                applied: BTreeMap::new(),
                retired: None,
            }
        };
        let mut sim = Simulation {
            now: 1,
            seed,
            process: 0,
            voters: (0..of).map(voter).collect(),
            in_flight: BTreeMap::new(),
            number: 0,
            blocked: BTreeSet::new(),
            lost_percent: 0,
            duplicated_percent: 0,
            write_interval_ms: 3,
            full_disks: BTreeSet::new(),
            stopped: BTreeSet::new(),
            disabled_guards,
            leaders: BTreeMap::new(),
            violation: None,
        };
        (0..of).for_each(|n| sim.start(n));
        sim
    }

    pub(super) fn start(&mut self, n: usize) {
        self.process += 1;
        let (metadata, log) = self.voters[n].disk.clone();
        let persistent = PersistentState::from_disk(metadata, log);
        let voter = persistent
            .map_err(VoterError::Damaged)
            .and_then(|persistent| {
                Voter::new(
                    Settings::default(),
                    persistent,
                    Identity {
                        process: self.process,
                        seed: self.seed,
                    },
                    self.now,
                    self.disabled_guards,
                )
            });
        match voter {
            Ok(voter) => self.voters[n].voter = Some(voter),
            Err(error) => self.voters[n].retired = Some(error.to_string()),
        }
    }

    pub(super) fn kill(&mut self, n: usize) {
        self.voters[n].voter = None;
        self.voters[n].writes.clear();
    }

    pub(super) fn write(&mut self, n: usize) {
        let replica = &mut self.voters[n];
        let Some((number, record)) = replica.writes.pop_front() else {
            return;
        };
        let mut persistent =
            PersistentState::from_disk(replica.disk.0.clone(), replica.disk.1.clone())
                .unwrap_or_default();
        persistent.apply(&record);
        replica.disk = (Some(persistent.metadata.clone()), log_of(&persistent));
        self.handle(n, Input::Persisted(number));
    }

    pub(super) fn handle(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(voter) = &mut self.voters[n].voter else {
            return;
        };
        voter.handle(now, input);
        self.drain(n);
    }

    pub(super) fn drain(&mut self, n: usize) {
        while let Some(output) = self.voters[n].voter.as_mut().and_then(Voter::output) {
            let (boots, process) = self.voters[n]
                .voter
                .as_ref()
                .map_or((0, 0), |c| (c.boots(), c.process()));
            match output {
                Output::Send(to, bytes) => {
                    self.post(n, to, || Packet::Message(boots, process, bytes.clone()))
                }
                Output::RequestKnownState(own) => {
                    for to in 0..self.voters.len() {
                        if to != n {
                            self.post(n, bootstrap_voter(1, &name(to)), || {
                                Packet::KnownStateRequest(own)
                            });
                        }
                    }
                }
                Output::SendKnownState(to, known) => {
                    self.post(n, to, || Packet::KnownStateReply(known))
                }
                Output::Persist(number, record) => {
                    self.voters[n].writes.push_back((number, *record))
                }
                Output::Applied(AppliedEntry { index, entry, .. }) => {
                    let before = self.voters[n].applied.insert(index, entry.clone());
                    if before.is_some_and(|b| b != entry) {
                        self.violation = Some(format!("entry {index} changed at {n}"));
                    }
                }
                Output::BecameLeader => {
                    let term = self.voters[n].voter.as_ref().map_or(0, Voter::term);
                    if self.leaders.insert(term, n).is_some_and(|other| other != n) {
                        self.violation = Some(format!("two lead in term {term}"));
                    }
                }
                Output::Retired(why) => self.voters[n].retired = Some(why),
                Output::Restored | Output::LostLeadership | Output::Confirmed(_) => {}
            }
        }
    }

    pub(super) fn post(&mut self, from: usize, to: ReplicaId, packet: impl Fn() -> Packet) {
        let Some(to) = (0..self.voters.len()).find(|n| bootstrap_voter(1, &name(*n)) == to) else {
            return;
        };
        if self.blocked.contains(&(from, to)) || below(&mut self.seed, 100) < self.lost_percent {
            return;
        }
        let times = 1 + u64::from(below(&mut self.seed, 100) < self.duplicated_percent);
        for _ in 0..times {
            self.number += 1;
            let at = self.now + MS + below(&mut self.seed, 30 * MS);
            self.in_flight
                .insert((at, self.number), (to, from, packet()));
        }
    }

    /// Advances one millisecond: delivers messages, writes records and ticks voters.
    pub(super) fn step(&mut self) {
        self.now += MS;
        while let Some(entry) = self
            .in_flight
            .first_entry()
            .filter(|e| e.key().0 <= self.now)
        {
            let (to, from, packet) = entry.remove();
            let from = bootstrap_voter(1, &name(from));
            if self.stopped.contains(&to) {
                continue;
            }
            match packet {
                Packet::Message(boots, process, bytes) => self.handle(
                    to,
                    Input::Message {
                        from,
                        boots,
                        process,
                        bytes: &bytes,
                    },
                ),
                Packet::KnownStateRequest(own) => {
                    self.handle(to, Input::KnownStateRequest { from, own })
                }
                Packet::KnownStateReply(known) => {
                    self.handle(to, Input::KnownStateReply { from, known })
                }
            }
        }
        for n in 0..self.voters.len() {
            self.drain(n);
            if self.stopped.contains(&n) {
                continue;
            }
            if below(&mut self.seed, self.write_interval_ms) == 0 && !self.full_disks.contains(&n) {
                self.write(n);
            }
            let due = self.voters[n].voter.as_ref().and_then(Voter::next_deadline);
            if due.is_some_and(|t| t <= self.now) {
                self.handle(n, Input::Tick);
            }
        }
    }

    pub(super) fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until a condition holds; the number of steps is bounded for the test alone.
    pub(super) fn until(&mut self, event: &str, holds: impl Fn(&Simulation) -> bool) {
        for _ in 0..60_000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        let of = |v: &Replica| format!("{:?} {:?}", v.voter, v.retired);
        panic!(
            "{event} did not come: {:?}",
            self.voters.iter().map(of).collect::<Vec<_>>()
        );
    }

    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.voters.len()).rfind(|n| self.voters[*n].voter.as_ref().is_some_and(Voter::leads))
    }

    pub(super) fn propose(&mut self, n: usize, incarnation: u64) {
        let entry = table::Entry::Grant {
            lease: "d".into(),
            holder: LeaseHolder {
                name: "x".into(),
                incarnation,
            },
            term: incarnation,
        };
        self.handle(n, Input::Propose(Entry::Lease(entry)));
    }

    /// Checks that all voters applied the same entry at each index.
    pub(super) fn check_agreement(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let mut all: BTreeMap<u64, &Entry> = BTreeMap::new();
        for v in &self.voters {
            for (index, entry) in &v.applied {
                if *all.entry(*index).or_insert(entry) != entry {
                    return Err(format!("two entries at {index}"));
                }
            }
        }
        Ok(())
    }

    pub(super) fn max_applied(&self) -> u64 {
        self.voters
            .iter()
            .filter_map(|v| v.applied.keys().next_back())
            .max()
            .copied()
            .unwrap_or(0)
    }
}

pub(super) fn log_of(state: &PersistentState) -> Vec<LogEntry> {
    state.log().to_vec()
}
