//! Voters over a network and disks that fail, one seed a run: what each applied is compared at the end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::peer_memory::KnownState;
use crate::consensus::persistent_state::{DamagedState, Head, LogLine, PersistentState, Record};
use crate::consensus::state::Entry;
use crate::consensus::voter::{
    DisabledVoterGuards, Input, Output, Settings, Voter, VoterError, ENTRIES_PER_SNAPSHOT,
};
use crate::consensus::{bootstrap_voter, config, ReplicaId};
use crate::lease::ledger;
use crate::lease::LeaseHolder;

const MS: Micros = 1_000;

fn name(n: usize) -> Arc<str> {
    format!("n{n}").into()
}

/// A disk as founding makes it.
fn founded(n: usize, of: usize) -> PersistentState {
    let names: Vec<String> = (0..of).map(|n| name(n).to_string()).collect();
    config::kept_of(&config::bootstrap(1, &name(n), &names, None).unwrap())
}

fn below(seed: &mut u64, n: u64) -> u64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) % n
}

struct Replica {
    council: Option<Voter>,
    /// What the disk holds whatever happens.
    disk: (Option<Head>, Vec<LogLine>),
    /// Records on their way to it.
    writes: VecDeque<(u64, Record)>,
    /// What it applied, in order, over all its lives.
    applied: BTreeMap<u64, Entry>,
    retired: Option<String>,
}

enum What {
    Message(u64, u64, Vec<u8>),
    Recall(KnownState),
    Recalled(KnownState),
}

struct Rig {
    now: Micros,
    seed: u64,
    process: u64,
    voters: Vec<Replica>,
    /// Messages on their way: when they come, to whom, from whom.
    way: BTreeMap<(Micros, u64), (usize, usize, What)>,
    number: u64,
    /// Ordered pairs between which nothing passes.
    cut: BTreeSet<(usize, usize)>,
    /// Of a hundred messages: lost, doubled.
    lost: u64,
    doubled: u64,
    /// One in so many milliseconds brings a record to a disk.
    slow: u64,
    /// Voters whose disks take nothing.
    full: BTreeSet<usize>,
    /// Voters that are stopped, and forget nothing.
    stopped: BTreeSet<usize>,
    without: DisabledVoterGuards,
    leads: BTreeMap<u64, usize>,
    broken: Option<String>,
}

impl Rig {
    fn new(of: usize, seed: u64, without: DisabledVoterGuards) -> Rig {
        let voter = |n| {
            let kept = founded(n, of);
            let disk = (Some(kept.head), Vec::new());
            Replica {
                council: None,
                disk,
                writes: VecDeque::new(),
                applied: BTreeMap::new(),
                retired: None,
            }
        };
        let mut rig = Rig {
            now: 1,
            seed,
            process: 0,
            voters: (0..of).map(voter).collect(),
            way: BTreeMap::new(),
            number: 0,
            cut: BTreeSet::new(),
            lost: 0,
            doubled: 0,
            slow: 3,
            full: BTreeSet::new(),
            stopped: BTreeSet::new(),
            without,
            leads: BTreeMap::new(),
            broken: None,
        };
        (0..of).for_each(|n| rig.start(n));
        rig
    }

    fn start(&mut self, n: usize) {
        self.process += 1;
        let (head, lines) = self.voters[n].disk.clone();
        let kept = PersistentState::found(head, lines);
        let council = kept.map_err(VoterError::Damaged).and_then(|kept| {
            Voter::new(
                Settings::default(),
                kept,
                self.process,
                self.seed,
                self.now,
                self.without,
            )
        });
        match council {
            Ok(council) => self.voters[n].council = Some(council),
            Err(e) => self.voters[n].retired = Some(e.to_string()),
        }
    }

    fn kill(&mut self, n: usize) {
        self.voters[n].council = None;
        self.voters[n].writes.clear();
    }

    fn write(&mut self, n: usize) {
        let v = &mut self.voters[n];
        let Some((number, record)) = v.writes.pop_front() else {
            return;
        };
        let mut kept =
            PersistentState::found(v.disk.0.clone(), v.disk.1.clone()).unwrap_or_default();
        kept.apply(&record);
        v.disk = (Some(kept.head.clone()), lines(&kept));
        self.handle(n, Input::Persisted(number));
    }

    fn handle(&mut self, n: usize, input: Input<'_>) {
        let now = self.now;
        let Some(council) = &mut self.voters[n].council else {
            return;
        };
        council.handle(now, input);
        self.drain(n);
    }

    fn drain(&mut self, n: usize) {
        while let Some(output) = self.voters[n].council.as_mut().and_then(Voter::output) {
            let (boots, process) = self.voters[n]
                .council
                .as_ref()
                .map_or((0, 0), |c| (c.boots(), c.process()));
            match output {
                Output::Send(to, bytes) => {
                    self.post(n, to, || What::Message(boots, process, bytes.clone()))
                }
                Output::Recall(own) => {
                    for to in 0..self.voters.len() {
                        if to != n {
                            self.post(n, bootstrap_voter(1, &name(to)), || What::Recall(own));
                        }
                    }
                }
                Output::Recalled(to, known) => self.post(n, to, || What::Recalled(known)),
                Output::Persist(number, record) => {
                    self.voters[n].writes.push_back((number, *record))
                }
                Output::Applied(index, entry, _) => {
                    let before = self.voters[n].applied.insert(index, entry.clone());
                    if before.is_some_and(|b| b != entry) {
                        self.broken = Some(format!("entry {index} changed at {n}"));
                    }
                }
                Output::BecameLeader => {
                    let term = self.voters[n].council.as_ref().map_or(0, Voter::term);
                    if self.leads.insert(term, n).is_some_and(|other| other != n) {
                        self.broken = Some(format!("two lead in term {term}"));
                    }
                }
                Output::Retired(why) => self.voters[n].retired = Some(why),
                Output::Restored | Output::LostLeadership | Output::Confirmed(_) => {}
            }
        }
    }

    fn post(&mut self, from: usize, to: ReplicaId, what: impl Fn() -> What) {
        let Some(to) = (0..self.voters.len()).find(|n| bootstrap_voter(1, &name(*n)) == to) else {
            return;
        };
        if self.cut.contains(&(from, to)) || below(&mut self.seed, 100) < self.lost {
            return;
        }
        let times = 1 + u64::from(below(&mut self.seed, 100) < self.doubled);
        for _ in 0..times {
            self.number += 1;
            let at = self.now + MS + below(&mut self.seed, 30 * MS);
            self.way.insert((at, self.number), (to, from, what()));
        }
    }

    /// The next thing that happens: a message, a write or a tick.
    fn step(&mut self) {
        self.now += MS;
        while let Some(entry) = self.way.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, from, what) = entry.remove();
            let from = bootstrap_voter(1, &name(from));
            if self.stopped.contains(&to) {
                continue;
            }
            match what {
                What::Message(boots, process, bytes) => self.handle(
                    to,
                    Input::Message {
                        from,
                        boots,
                        process,
                        bytes: &bytes,
                    },
                ),
                What::Recall(own) => self.handle(to, Input::RecallRequest { from, own }),
                What::Recalled(known) => self.handle(to, Input::RecallReply { from, known }),
            }
        }
        for n in 0..self.voters.len() {
            self.drain(n);
            if self.stopped.contains(&n) {
                continue;
            }
            if below(&mut self.seed, self.slow) == 0 && !self.full.contains(&n) {
                self.write(n);
            }
            let due = self.voters[n]
                .council
                .as_ref()
                .and_then(Voter::next_deadline);
            if due.is_some_and(|t| t <= self.now) {
                self.handle(n, Input::Tick);
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until something holds; the longest wait is a bound on the test alone.
    fn until(&mut self, what: &str, holds: impl Fn(&Rig) -> bool) {
        for _ in 0..60_000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        let of = |v: &Replica| format!("{:?} {:?}", v.council, v.retired);
        panic!(
            "{what} did not come: {:?}",
            self.voters.iter().map(of).collect::<Vec<_>>()
        );
    }

    fn leader(&self) -> Option<usize> {
        (0..self.voters.len()).rfind(|n| self.voters[*n].council.as_ref().is_some_and(Voter::leads))
    }

    fn propose(&mut self, n: usize, owner: u64) {
        let entry = ledger::Entry::Grant {
            lease: "d".into(),
            holder: LeaseHolder {
                name: "x".into(),
                incarnation: owner,
            },
            term: owner,
        };
        self.handle(n, Input::Propose(Entry::Lease(entry)));
    }

    /// All that was applied agrees, place for place.
    fn judge(&self) -> Result<(), String> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
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

    fn most_applied(&self) -> u64 {
        self.voters
            .iter()
            .filter_map(|v| v.applied.keys().next_back())
            .max()
            .copied()
            .unwrap_or(0)
    }
}

fn lines(kept: &PersistentState) -> Vec<LogLine> {
    kept.lines().to_vec()
}

fn propose_all(rig: &mut Rig, owner: &mut u64) {
    for n in 0..rig.voters.len() {
        if rig.voters[n].council.as_ref().is_some_and(Voter::leads) {
            *owner += 1;
            rig.propose(n, *owner);
        }
    }
}

/// One run with faults drawn from the seed: messages lost and doubled, cuts one way, kills and restarts, slow disks.
fn play(seed: u64, of: usize, without: DisabledVoterGuards) -> (Rig, Result<(), String>) {
    let mut rig = Rig::new(of, seed, without);
    (rig.lost, rig.doubled) = (below(&mut rig.seed, 30), below(&mut rig.seed, 10));
    rig.slow = 1 + below(&mut rig.seed, 40);
    let mut owner = 0;
    for _ in 0..60 {
        let span = 20 * MS + below(&mut rig.seed, 400 * MS);
        rig.run(span);
        propose_all(&mut rig, &mut owner);
        let n = below(&mut rig.seed, of as u64) as usize;
        match below(&mut rig.seed, 10) {
            0..=2 => rig.kill(n),
            3..=5 if rig.voters[n].council.is_none() => rig.start(n),
            6 => rig
                .cut
                .extend([(n, below(&mut rig.seed, of as u64) as usize)]),
            7 => rig.cut.clear(),
            _ => {}
        }
    }
    let judged = rig.judge();
    (rig, judged)
}

/// One run in which the first voter comes back with an older disk, again and again, while others are stopped at times.
fn forget(seed: u64, without: DisabledVoterGuards) -> (Rig, Result<(), String>) {
    let mut rig = Rig::new(3, seed, without);
    rig.lost = below(&mut rig.seed, 30);
    let mut owner = 0;
    for _ in 0..12 {
        let old = rig.voters[0].disk.clone();
        for _ in 0..4 {
            let span = 20 * MS + below(&mut rig.seed, 600 * MS);
            rig.run(span);
            propose_all(&mut rig, &mut owner);
            rig.stopped.clear();
            rig.stopped.extend([below(&mut rig.seed, 3) as usize]);
        }
        rig.kill(0);
        rig.voters[0].disk = old;
        // Those who could tell are there; what comes after is not theirs to tell.
        rig.stopped.clear();
        rig.start(0);
        let span = 20 * MS + below(&mut rig.seed, 200 * MS);
        rig.run(span);
        if rig.voters[0].retired.is_some() {
            break;
        }
        rig.stopped.extend([1 + below(&mut rig.seed, 2) as usize]);
    }
    let judged = rig.judge();
    (rig, judged)
}

#[test]
fn voters_agree_on_one_order_whatever_is_lost_doubled_or_killed() {
    let mut most = 0;
    for seed in 0..40 {
        let (rig, judged) = play(
            seed,
            if seed % 2 == 0 { 3 } else { 5 },
            DisabledVoterGuards::default(),
        );
        assert_eq!(judged, Ok(()), "seed {seed}");
        let gone: Vec<_> = rig
            .voters
            .iter()
            .filter_map(|v| v.retired.clone())
            .collect();
        assert_eq!(
            gone,
            Vec::<String>::new(),
            "seed {seed}: an honest disk was refused"
        );
        most = most.max(rig.most_applied());
    }
    assert!(most > 20, "hardly anything was agreed");
}

#[test]
fn what_is_said_before_it_is_kept_breaks_the_order() {
    let without = DisabledVoterGuards {
        kept: true,
        ..DisabledVoterGuards::default()
    };
    // What was said and forgotten shows as an order that breaks, or before that as a disk that others know more of.
    let broken = |(rig, judged): (Rig, Result<(), String>)| {
        judged.is_err() || rig.voters.iter().any(|v| v.retired.is_some())
    };
    assert!(
        (0..200).any(|seed| broken(play(seed, 3, without))),
        "the run does not need the guard that it tests"
    );
    let both = DisabledVoterGuards {
        probation: true,
        ..without
    };
    assert!(
        (0..200).any(|seed| play(seed, 3, both).1.is_err()),
        "the order does not need the two guards"
    );
}

#[test]
fn yesterdays_disk_does_not_vote_and_without_the_question_breaks_the_order() {
    let mut found = 0;
    for seed in 0..40 {
        let (rig, judged) = forget(seed, DisabledVoterGuards::default());
        assert_eq!(judged, Ok(()), "seed {seed}");
        found += rig.voters.iter().filter(|v| v.retired.is_some()).count();
    }
    assert!(found > 5, "no old disk came back");
    let without = DisabledVoterGuards {
        probation: true,
        ..DisabledVoterGuards::default()
    };
    let broken = (0..200).any(|seed| forget(seed, without).1.is_err());
    assert!(broken, "the run does not need the guard that it tests");
}

#[test]
fn an_empty_disk_founded_again_does_not_vote_as_who_it_was() {
    let mut rig = Rig::new(3, 7, DisabledVoterGuards::default());
    rig.until("a leader", |r| r.leader().is_some());
    let leader = rig.leader().unwrap();
    rig.propose(leader, 1);
    rig.until("agreement", |r| {
        r.voters.iter().all(|v| v.applied.len() >= 2)
    });
    let n = (leader + 1) % 3;
    rig.kill(n);
    rig.voters[n].disk = (Some(founded(n, 3).head), Vec::new());
    rig.start(n);
    rig.until("its refusal", |r| r.voters[n].retired.is_some());
    // The mark is on its disk: also the next process does not vote.
    rig.run(100 * MS);
    rig.kill(n);
    rig.voters[n].retired = None;
    rig.start(n);
    assert!(
        rig.voters[n].council.is_none()
            && rig.voters[n]
                .retired
                .as_ref()
                .is_some_and(|w| w.contains("its seat"))
    );
    // The other two go on.
    let before = rig.most_applied();
    let leader = rig.leader().unwrap_or(leader);
    rig.propose(leader, 2);
    rig.until("agreement of two", |r| r.most_applied() > before);
}

#[test]
fn two_processes_on_copies_of_one_disk_are_told_apart() {
    let own = |boots, process| KnownState {
        boots,
        process,
        term: 3,
        kept: (3, 9),
    };
    assert!(crate::consensus::peer_memory::compare(own(4, 1), own(3, 9)).is_ok());
    assert!(crate::consensus::peer_memory::compare(own(4, 1), own(4, 1)).is_ok());
    assert!(crate::consensus::peer_memory::compare(own(4, 1), own(4, 2)).is_err());
    assert!(crate::consensus::peer_memory::compare(own(4, 1), own(5, 2)).is_err());
    // Written over since: entries kept in an older term need not be there any more.
    let later = KnownState {
        term: 5,
        kept: (5, 8),
        ..own(4, 1)
    };
    assert!(crate::consensus::peer_memory::compare(later, own(3, 9)).is_ok());
    assert!(crate::consensus::peer_memory::compare(
        KnownState {
            kept: (3, 8),
            ..own(4, 1)
        },
        own(3, 9)
    )
    .is_err());
}

#[test]
fn all_killed_at_once_come_back_to_what_was_agreed() {
    let mut rig = Rig::new(5, 11, DisabledVoterGuards::default());
    rig.until("a leader", |r| r.leader().is_some());
    let leader = rig.leader().unwrap();
    rig.propose(leader, 1);
    rig.until("agreement", |r| {
        r.voters.iter().filter(|v| v.applied.len() >= 2).count() >= 3
    });
    let agreed = rig.most_applied();
    (0..5).for_each(|n| rig.kill(n));
    rig.way.clear();
    (0..5).for_each(|n| rig.start(n));
    rig.until("a leader again", |r| r.leader().is_some());
    let state = rig.voters[rig.leader().unwrap()]
        .council
        .as_ref()
        .unwrap()
        .state()
        .clone();
    assert!(state.applied >= agreed && state.leases.record(&"d".into()).term == 1);
    assert_eq!(rig.judge(), Ok(()));
}

#[test]
fn without_a_majority_nothing_is_agreed_and_with_it_again_all_goes_on() {
    let mut rig = Rig::new(5, 13, DisabledVoterGuards::default());
    rig.until("a leader", |r| r.leader().is_some());
    let leader = rig.leader().unwrap();
    let gone: Vec<usize> = (0..5).filter(|n| *n != leader).take(3).collect();
    gone.iter().for_each(|n| rig.kill(*n));
    rig.propose(leader, 1);
    // Quorum check: it steps down by itself.
    rig.until("the leader gives up", |r| r.leader().is_none());
    let before = rig.most_applied();
    rig.run(3_000 * MS);
    assert_eq!(rig.most_applied(), before);
    rig.start(gone[0]);
    rig.until("a leader of three", |r| r.leader().is_some());
}

#[test]
fn one_cut_off_and_back_does_not_unseat_the_leader() {
    let unseats = |without: DisabledVoterGuards| {
        let mut rig = Rig::new(5, 17, without);
        rig.until("a leader", |r| r.leader().is_some());
        rig.run(500 * MS);
        let leader = rig.leader().unwrap();
        let term = rig.voters[leader].council.as_ref().unwrap().term();
        let n = (leader + 1) % 5;
        // It hears nobody, and all hear it: a flapping link between it and the leader's heartbeats.
        rig.cut.extend((0..5).map(|m| (m, n)));
        rig.run(3_000 * MS);
        rig.cut.clear();
        rig.run(1_000 * MS);
        let now = rig
            .leader()
            .map(|l| rig.voters[l].council.as_ref().unwrap().term());
        now != Some(term)
    };
    assert!(!unseats(DisabledVoterGuards::default()));
    assert!(
        unseats(DisabledVoterGuards {
            pre_vote: true,
            ..DisabledVoterGuards::default()
        }),
        "the run does not need pre-vote"
    );
}

#[test]
fn the_log_is_bounded_and_one_far_behind_gets_a_snapshot() {
    let mut rig = Rig::new(3, 19, DisabledVoterGuards::default());
    rig.until("a leader", |r| r.leader().is_some());
    let leader = rig.leader().unwrap();
    let n = (leader + 1) % 3;
    rig.kill(n);
    for owner in 1..=ENTRIES_PER_SNAPSHOT * 2 {
        rig.propose(leader, owner);
        if owner % 16 == 0 {
            let before = rig.most_applied();
            rig.until("agreement", |r| r.most_applied() > before);
        }
    }
    rig.run(500 * MS);
    let kept = rig.voters[leader].disk.1.len() as u64;
    assert!(kept <= ENTRIES_PER_SNAPSHOT + 64, "{kept} entries are kept");
    rig.start(n);
    let ledger = |r: &Rig, n: usize| {
        r.voters[n]
            .council
            .as_ref()
            .map(|c| c.state().leases.clone())
    };
    rig.until("the state", |r| {
        ledger(r, n).is_some() && ledger(r, n) == ledger(r, leader)
    });
}

#[test]
fn voters_are_exchanged_one_at_a_time() {
    let mut rig = Rig::new(3, 23, DisabledVoterGuards::default());
    // A fourth with a seat of its own, which nobody has made a voter yet.
    let head = config::kept_of(&config::fresh(bootstrap_voter(1, &name(3)))).head;
    rig.voters.push(Replica {
        council: None,
        disk: (Some(head), Vec::new()),
        writes: VecDeque::new(),
        applied: BTreeMap::new(),
        retired: None,
    });
    rig.start(3);
    rig.until("a leader", |r| r.leader().is_some());
    let leader = rig.leader().unwrap();
    let gone = (leader + 1) % 3;
    rig.kill(gone);
    let joins = Some((bootstrap_voter(1, &name(3)), name(3)));
    rig.handle(
        leader,
        Input::Exchange {
            joins,
            leaves: None,
        },
    );
    let voters = |r: &Rig, n: usize| {
        r.voters[n]
            .council
            .as_ref()
            .map_or(0, |c| c.state().voters.len())
    };
    rig.until("the fourth to know", |r| voters(r, 3) == 4);
    rig.handle(
        leader,
        Input::Exchange {
            joins: None,
            leaves: Some(bootstrap_voter(1, &name(gone))),
        },
    );
    rig.until("three again", |r| {
        voters(r, 3) == 3 && voters(r, leader) == 3
    });
    assert_eq!(rig.judge(), Ok(()));
    // The voters outlive a restart.
    rig.run(200 * MS);
    rig.kill(3);
    rig.start(3);
    rig.until("the fourth to follow again", |r| {
        r.voters[3]
            .council
            .as_ref()
            .is_some_and(|c| c.leader().is_some() && c.state().voters.len() == 3)
    });
}

#[test]
fn a_damaged_log_is_told_and_does_not_vote() {
    let line = |index| LogLine {
        index,
        term: 1,
        voters: false,
        data: Vec::new(),
        context: Vec::new(),
    };
    let head = |agreed| {
        Some(Head {
            hard: (1, 0, agreed),
            ..Head::default()
        })
    };
    assert!(PersistentState::found(head(2), vec![line(1), line(2)]).is_ok());
    assert_eq!(
        PersistentState::found(None, Vec::new()),
        Err(DamagedState::Empty)
    );
    assert_eq!(
        PersistentState::found(head(3), vec![line(1), line(3)]),
        Err(DamagedState::Gap(2))
    );
    assert_eq!(
        PersistentState::found(head(3), vec![line(1), line(2)]),
        Err(DamagedState::Cut { last: 2, agreed: 3 })
    );
    // Garbage from a voter changes nothing.
    let mut rig = Rig::new(3, 29, DisabledVoterGuards::default());
    rig.until("a leader", |r| r.leader().is_some());
    let (leader, from) = (
        rig.leader().unwrap(),
        bootstrap_voter(1, &name((rig.leader().unwrap() + 1) % 3)),
    );
    for bytes in [&b""[..], b"\xff\xff\xff", &[8; 4000]] {
        rig.handle(
            leader,
            Input::Message {
                from,
                boots: 1,
                process: 1,
                bytes,
            },
        );
    }
    assert_eq!(rig.leader(), Some(leader));
}

#[test]
fn a_voter_whose_disk_is_full_holds_little_and_catches_up_once_there_is_room() {
    let mut rig = Rig::new(3, 31, DisabledVoterGuards::default());
    rig.until("a leader", |r| r.leader().is_some());
    let leader = rig.leader().unwrap();
    let n = (leader + 1) % 3;
    rig.full.insert(n);
    let mut owner = 0;
    for _ in 0..400 {
        owner += 1;
        if let Some(leader) = rig.leader() {
            rig.propose(leader, owner);
        }
        rig.run(20 * MS);
    }
    assert!(
        rig.voters[n].writes.len() <= 140,
        "{} records wait for its disk",
        rig.voters[n].writes.len()
    );
    assert!(rig.most_applied() > 300, "the other two go on");
    rig.full.clear();
    let all = |r: &Rig| {
        r.voters
            .iter()
            .map(|v| v.council.as_ref().map(|c| c.state().leases.clone()))
            .collect::<Vec<_>>()
    };
    rig.until("it to catch up", |r| {
        all(r).windows(2).all(|w| w[0] == w[1])
    });
    assert_eq!(rig.judge(), Ok(()));
}
