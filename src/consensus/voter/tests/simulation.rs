//! A simulation of voters on a network with faults and with faulty disks, driven by a seed. Each run ends with a comparison
//! of the applied entries.

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
use crate::consensus::{bootstrap_replica_id, ReplicaId};
use crate::lease::table;
use crate::lease::LeaseHolder;

pub(super) const MS: Micros = 1_000;

pub(super) fn name(n: usize) -> Arc<str> {
    format!("n{n}").into()
}

/// Returns the disk of a bootstrap voter.
pub(super) fn bootstrap_disk(n: usize, voter_count: usize) -> PersistentState {
    let names: Vec<String> = (0..voter_count).map(|n| name(n).to_string()).collect();
    initial_state(&bootstrap(1, &name(n), &names, None).unwrap())
}

pub(super) fn random_below(seed: &mut u64, n: u64) -> u64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % n
}

pub(super) struct Replica {
    pub(super) voter: Option<Voter>,
    /// The durable content of the disk.
    pub(super) disk: (Option<Metadata>, Vec<LogEntry>),
    /// Records that are not durable yet.
    pub(super) pending_writes: VecDeque<(u64, Record)>,
    /// The entries applied by all processes of the replica so far, by index.
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
    /// Packets in flight, by arrival time and number: receiver, sender and content.
    pub(super) packets: BTreeMap<(Micros, u64), (usize, usize, Packet)>,
    pub(super) packet_number: u64,
    /// Pairs of sender and receiver whose packets are dropped.
    pub(super) blocked: BTreeSet<(usize, usize)>,
    pub(super) loss_percent: u64,
    pub(super) duplication_percent: u64,
    /// The mean time between two writes of a voter's disk.
    pub(super) write_interval_ms: u64,
    /// Voters whose disks are full.
    pub(super) full_disks: BTreeSet<usize>,
    /// Voters whose processes are paused and keep their memory.
    pub(super) stopped: BTreeSet<usize>,
    pub(super) disabled_guards: DisabledVoterGuards,
    pub(super) leaders: BTreeMap<u64, usize>,
    pub(super) violation: Option<String>,
}

impl Simulation {
    pub(super) fn new(
        voter_count: usize,
        seed: u64,
        disabled_guards: DisabledVoterGuards,
    ) -> Simulation {
        let voter = |n| {
            let persistent = bootstrap_disk(n, voter_count);
            let disk = (Some(persistent.metadata), Vec::new());
            Replica {
                voter: None,
                disk,
                pending_writes: VecDeque::new(),
                applied: BTreeMap::new(),
                retired: None,
            }
        };
        let mut sim = Simulation {
            now: 1,
            seed,
            process: 0,
            voters: (0..voter_count).map(voter).collect(),
            packets: BTreeMap::new(),
            packet_number: 0,
            blocked: BTreeSet::new(),
            loss_percent: 0,
            duplication_percent: 0,
            write_interval_ms: 3,
            full_disks: BTreeSet::new(),
            stopped: BTreeSet::new(),
            disabled_guards,
            leaders: BTreeMap::new(),
            violation: None,
        };
        (0..voter_count).for_each(|n| sim.start(n));
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
        self.voters[n].pending_writes.clear();
    }

    pub(super) fn write_record(&mut self, n: usize) {
        let replica = &mut self.voters[n];
        let Some((number, record)) = replica.pending_writes.pop_front() else {
            return;
        };
        let mut persistent =
            PersistentState::from_disk(replica.disk.0.clone(), replica.disk.1.clone())
                .unwrap_or_default();
        persistent.apply(&record);
        replica.disk = (Some(persistent.metadata.clone()), stored_log(&persistent));
        self.handle(n, Input::Persisted(number));
    }

    pub(super) fn handle(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(voter) = &mut self.voters[n].voter else {
            return;
        };
        voter.handle(now, input);
        self.process_outputs(n);
    }

    pub(super) fn process_outputs(&mut self, n: usize) {
        while let Some(output) = self.voters[n].voter.as_mut().and_then(Voter::output) {
            let (boots, process) = self.voters[n]
                .voter
                .as_ref()
                .map_or((0, 0), |voter| (voter.boots(), voter.process()));
            match output {
                Output::Send(to, bytes) => {
                    self.send_packet(n, to, || Packet::Message(boots, process, bytes.clone()))
                }
                Output::RequestKnownState(own) => {
                    for to in 0..self.voters.len() {
                        if to != n {
                            self.send_packet(n, bootstrap_replica_id(1, &name(to)), || {
                                Packet::KnownStateRequest(own)
                            });
                        }
                    }
                }
                Output::SendKnownState(to, known) => {
                    self.send_packet(n, to, || Packet::KnownStateReply(known))
                }
                Output::Persist(number, record) => {
                    self.voters[n].pending_writes.push_back((number, *record))
                }
                Output::Applied(AppliedEntry { index, entry, .. }) => {
                    let before = self.voters[n].applied.insert(index, entry.clone());
                    if before.is_some_and(|b| b != entry) {
                        self.violation = Some(format!(
                            "voter {n} applied two different entries at index {index}"
                        ));
                    }
                }
                Output::BecameLeader => {
                    let term = self.voters[n].voter.as_ref().map_or(0, Voter::term);
                    if self.leaders.insert(term, n).is_some_and(|other| other != n) {
                        self.violation = Some(format!("two leaders in term {term}"));
                    }
                }
                Output::Retired(reason) => self.voters[n].retired = Some(reason),
                Output::Restored | Output::LostLeadership | Output::Confirmed(_) => {}
            }
        }
    }

    pub(super) fn send_packet(&mut self, from: usize, to: ReplicaId, packet: impl Fn() -> Packet) {
        let Some(to) = (0..self.voters.len()).find(|n| bootstrap_replica_id(1, &name(*n)) == to)
        else {
            return;
        };
        if self.blocked.contains(&(from, to))
            || random_below(&mut self.seed, 100) < self.loss_percent
        {
            return;
        }
        let times = 1 + u64::from(random_below(&mut self.seed, 100) < self.duplication_percent);
        for _ in 0..times {
            self.packet_number += 1;
            let at = self.now + MS + random_below(&mut self.seed, 30 * MS);
            self.packets
                .insert((at, self.packet_number), (to, from, packet()));
        }
    }

    /// Advances by one millisecond: delivers packets, writes records and ticks voters.
    pub(super) fn step(&mut self) {
        self.now += MS;
        while let Some(entry) = self.packets.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, from, packet) = entry.remove();
            let from = bootstrap_replica_id(1, &name(from));
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
            self.process_outputs(n);
            if self.stopped.contains(&n) {
                continue;
            }
            if random_below(&mut self.seed, self.write_interval_ms) == 0
                && !self.full_disks.contains(&n)
            {
                self.write_record(n);
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

    /// Runs until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold after 60,000 steps (one minute of simulated time).
    pub(super) fn run_until(&mut self, event: &str, condition: impl Fn(&Simulation) -> bool) {
        for _ in 0..60_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        let describe = |v: &Replica| format!("{:?} {:?}", v.voter, v.retired);
        panic!(
            "timed out waiting for {event}: {:?}",
            self.voters.iter().map(describe).collect::<Vec<_>>()
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
                    return Err(format!("voters applied different entries at index {index}"));
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

pub(super) fn stored_log(state: &PersistentState) -> Vec<LogEntry> {
    state.log().to_vec()
}
