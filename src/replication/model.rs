//! The machine itself under a model checker: one shard at three gateways, every order of frames lost, late and doubled, of
//! entries agreed late, of writes that a kill cuts off, of disks lost, and of gateways that hear nothing for a while.
//!
//! Each gateway has a clock of its own, which moves only where it hears nothing for so long that it suspects all others; a
//! stopped process is one that does nothing meanwhile. Play begins with a set of two that has opened its shard.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use stateright::{Checker, HasDiscoveries, Model, Property};

use super::config::{DisabledGuards, Settings};
use super::machine::{Input, Output, Replicator};
use super::placement::Host;
use super::sets::{Disk, Entry, ReplicaSets};
use super::wire::Message;
use super::{LogPosition, Name};
use crate::api::Micros;

const SILENT: Micros = 400;

/// What is played.
#[derive(Clone, Debug)]
struct Play {
    /// Records that are asked for.
    appends: u8,
    /// How often somebody hears nothing for long.
    silences: u8,
    /// Processes killed and begun again.
    kills: u8,
    /// Machines lost with their disks, and begun again on empty ones.
    losses: u8,
    /// Frames that come twice.
    doubles: u8,
    without: DisabledGuards,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    machine: Replicator,
    now: Micros,
    begun: u64,
    id: u64,
    boot: u64,
    disk: Vec<Vec<u8>>,
    writes: VecDeque<Write>,
    heard: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Write {
    One(Vec<u8>),
    All(Vec<Vec<u8>>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    gateways: Vec<Gateway>,
    log: Vec<Arc<ReplicaSets>>,
    proposed: BTreeSet<Entry>,
    frames: BTreeSet<(usize, usize, Message)>,
    asked: u8,
    silences: u8,
    kills: u8,
    losses: u8,
    doubles: u8,
    /// What was promised.
    promised: BTreeSet<u8>,
    /// Promised under a later epoch than the first.
    later: bool,
    first: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Append(usize),
    /// Whether it stays on its way.
    Frame((usize, usize, Message), bool),
    Agree(Entry),
    Hear(usize),
    Write(usize),
    /// All others are silent to one.
    Silence(usize),
    /// Whether what was on its way to the disk is there.
    Kill(usize, bool),
    Lose(usize),
}

fn name(i: usize) -> Name {
    format!("g{i}").into()
}

fn place(records: &[Vec<u8>]) -> LogPosition {
    records
        .iter()
        .fold(LogPosition::default(), |p, r| p.advance(r))
}

impl Play {
    fn machine(&self, i: usize, begun: u64, now: Micros) -> Replicator {
        let settings = Settings {
            name: name(i),
            process: 100 * (i as u64 + 1) + begun,
            copies: 2,
            shards: 1,
            failure_timeout: SILENT,
            acknowledgement_timeout: SILENT / 2,
            request_timeout: SILENT,
            max_repairs: 1,
            verify_interval: 0,
            hosts: (0..3)
                .map(|n| Host {
                    name: name(n),
                    hall: None,
                })
                .collect(),
            disabled_guards: self.without,
        };
        Replicator::new(settings, now)
    }

    fn give(&self, s: &mut State, i: usize, input: Input) {
        let now = s.gateways[i].now;
        s.gateways[i].machine.handle(now, input);
        while let Some(output) = s.gateways[i].machine.next_output() {
            match output {
                // Who is heard is played by silences.
                Output::Send(_, Message::Heartbeat | Message::Declined(..)) => {}
                Output::Send(to, body) => {
                    let to = to[1..].parse().unwrap();
                    s.frames.insert((i, to, body));
                }
                Output::Propose(e) => {
                    s.proposed.insert(e);
                }
                Output::StoreRecord(_, _, bytes, _) => {
                    s.gateways[i].writes.push_back(Write::One(bytes.to_vec()))
                }
                Output::InstallSnapshot(_, _, bytes) => {
                    let all = postcard::from_bytes(&bytes).unwrap();
                    s.gateways[i].writes.push_back(Write::All(all));
                }
                Output::ReadSnapshot(shard, to) => {
                    let g = &s.gateways[i];
                    let mut all = g.disk.clone();
                    for w in &g.writes {
                        match w {
                            Write::One(r) => all.push(r.clone()),
                            Write::All(a) => all.clone_from(a),
                        }
                    }
                    let bytes = postcard::to_stdvec(&all).unwrap();
                    self.give(s, i, Input::SnapshotRead(shard, to, place(&all), bytes));
                }
                Output::Committed(ticket, _) => {
                    s.promised.insert(ticket as u8);
                    s.later |= s.gateways[i].machine.shards()[&1].set.epoch > s.first;
                }
                Output::DiskRejected => {
                    let g = &mut s.gateways[i];
                    (g.id, g.boot) = (g.id + 10, 1);
                    g.disk.clear();
                    g.writes.clear();
                    let (id, boot) = (g.id, g.boot);
                    self.give(
                        s,
                        i,
                        Input::Disk {
                            id,
                            incarnation: boot,
                            positions: BTreeMap::new(),
                        },
                    );
                }
                _ => {}
            }
        }
    }

    fn write(&self, s: &mut State, i: usize) -> bool {
        let Some(w) = s.gateways[i].writes.pop_front() else {
            return false;
        };
        match w {
            Write::One(r) => s.gateways[i].disk.push(r),
            Write::All(all) => s.gateways[i].disk = all,
        }
        true
    }

    fn begin(&self, s: &mut State, i: usize) {
        let g = &mut s.gateways[i];
        g.begun += 1;
        g.boot += 1;
        g.writes.clear();
        g.machine = self.machine(i, g.begun, g.now);
        let places = [(1, place(&g.disk))].into();
        let (id, boot) = (g.id, g.boot);
        g.heard = s.log.len() - 1;
        let sets = s.log[g.heard].clone();
        // What was on its way to and from the process before is gone with its connections.
        s.frames.retain(|(from, to, _)| *from != i && *to != i);
        self.give(s, i, Input::Disk { id, incarnation: boot, positions: places });
        self.give(s, i, Input::SetsChanged(sets));
        for other in (0..3).filter(|o| *o != i) {
            self.give(s, other, Input::Disconnected(name(i)));
        }
    }

    fn agree(&self, s: &mut State, e: &Entry) -> bool {
        let mut sets = (**s.log.last().unwrap()).clone();
        let held = sets.apply(e);
        if held {
            s.log.push(Arc::new(sets));
        }
        held
    }

    fn hear(&self, s: &mut State, i: usize) {
        s.gateways[i].heard = s.log.len() - 1;
        let sets = s.log.last().unwrap().clone();
        self.give(s, i, Input::SetsChanged(sets));
    }

    fn silence(&self, s: &mut State, i: usize) {
        for _ in 0..6 {
            s.gateways[i].now += SILENT / 4;
            self.give(s, i, Input::Tick);
        }
    }

    /// Everything that can be done without a fault is, so that a set of two has opened the shard.
    fn first(&self) -> State {
        let gateway = |i: usize| Gateway {
            machine: self.machine(i, 0, 1_000),
            now: 1_000,
            begun: 0,
            id: i as u64 + 1,
            boot: 0,
            disk: Vec::new(),
            writes: VecDeque::new(),
            heard: 0,
        };
        let mut s = State {
            gateways: (0..3).map(gateway).collect(),
            log: vec![Arc::default()],
            proposed: BTreeSet::new(),
            frames: BTreeSet::new(),
            asked: 0,
            silences: self.silences,
            kills: self.kills,
            losses: self.losses,
            doubles: self.doubles,
            promised: BTreeSet::new(),
            later: false,
            first: 0,
        };
        (0..3).for_each(|i| self.begin(&mut s, i));
        for _ in 0..60 {
            for i in 0..3 {
                s.gateways[i].now += SILENT / 4;
                for other in (0..3).filter(|o| *o != i) {
                    self.give(&mut s, i, Input::Received(name(other), Message::Heartbeat));
                }
                self.give(&mut s, i, Input::Tick);
                while self.write(&mut s, i) {
                    self.give(&mut s, i, Input::Persisted(1));
                }
            }
            for (from, to, body) in std::mem::take(&mut s.frames) {
                self.give(&mut s, to, Input::Received(name(from), body));
            }
            for e in std::mem::take(&mut s.proposed) {
                self.agree(&mut s, &e);
            }
            (0..3).for_each(|i| self.hear(&mut s, i));
        }
        let set = s.log.last().unwrap().replica_set(1);
        assert!(
            set.members.len() == 2 && s.gateways.iter().any(|g| g.machine.is_primary(1)),
            "{set:?}"
        );
        s.first = set.epoch;
        let last = s.log.pop().unwrap();
        s.log = vec![last];
        s.gateways.iter_mut().for_each(|g| g.heard = 0);
        (s.frames, s.proposed) = Default::default();
        s
    }
}

impl Model for Play {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.first()]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        for (i, g) in s.gateways.iter().enumerate() {
            if s.asked < self.appends && g.machine.is_primary(1) {
                out.push(Step::Append(i));
            }
            if g.heard + 1 < s.log.len() {
                out.push(Step::Hear(i));
            }
            if !g.writes.is_empty() {
                out.push(Step::Write(i));
            }
            if s.silences > 0 {
                out.push(Step::Silence(i));
            }
            if s.kills > 0 {
                out.push(Step::Kill(i, false));
                if !g.writes.is_empty() {
                    out.push(Step::Kill(i, true));
                }
            }
            if s.losses > 0 {
                out.push(Step::Lose(i));
            }
        }
        for stays in [false, true]
            .into_iter()
            .take(1 + usize::from(s.doubles > 0))
        {
            out.extend(s.frames.iter().map(|f| Step::Frame(f.clone(), stays)));
        }
        out.extend(s.proposed.iter().cloned().map(Step::Agree));
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Append(i) => {
                s.asked += 1;
                let (ticket, bytes) = (u64::from(s.asked), vec![s.asked]);
                self.give(
                    &mut s,
                    i,
                    Input::Append {
                        shard: 1,
                        waiter: ticket,
                        record: bytes,
                        min_replicas: 2,
                    },
                );
            }
            Step::Frame(f, stays) => {
                if stays {
                    s.doubles -= 1;
                } else {
                    s.frames.remove(&f);
                }
                self.give(&mut s, f.1, Input::Received(name(f.0), f.2));
            }
            Step::Agree(e) => {
                s.proposed.remove(&e);
                self.agree(&mut s, &e);
            }
            Step::Hear(i) => self.hear(&mut s, i),
            Step::Write(i) => {
                self.write(&mut s, i);
                self.give(&mut s, i, Input::Persisted(1));
            }
            Step::Silence(i) => {
                s.silences -= 1;
                self.silence(&mut s, i);
            }
            Step::Kill(i, kept) => {
                s.kills -= 1;
                while kept && self.write(&mut s, i) {}
                self.begin(&mut s, i);
            }
            Step::Lose(i) => {
                s.losses -= 1;
                let g = &mut s.gateways[i];
                (g.id, g.boot) = (g.id + 10, 0);
                g.disk.clear();
                self.begin(&mut s, i);
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // Whoever may take the shard over has all that was promised, unless its machine was lost and the log has not heard.
            Property::always("promises stand at all of the set", |_, s: &State| {
                let sets = s.log.last().unwrap();
                s.gateways.iter().enumerate().all(|(i, g)| {
                    let known = sets
                        .disks
                        .get(&name(i))
                        .is_some_and(|d: &Disk| d.id == g.id);
                    let member = sets.replica_set(1).members.contains(&name(i));
                    !known || !member || s.promised.iter().all(|p| g.disk.contains(&vec![*p]))
                })
            }),
            Property::always("a promise outlives one loss", |_, s: &State| {
                s.promised
                    .iter()
                    .all(|p| s.gateways.iter().any(|g| g.disk.contains(&vec![*p])))
            }),
            Property::sometimes("promised after a change", |_, s: &State| s.later),
        ]
    }
}

/// States that one play is given at most.
const MOST_STATES: usize = 2_000_000;

/// Plays it through, or as far as states go; the names of what does not hold, and how many states there are.
fn violated(play: Play, states: usize) -> (Vec<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let checker = play.checker().threads(threads).target_state_count(states);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let all = checker.model().properties();
    let missed = all.iter().filter(|p| {
        let found = checker.discovery(p.name).is_some();
        found != matches!(p.expectation, stateright::Expectation::Sometimes)
    });
    (
        missed.map(|p| p.name).collect(),
        checker.unique_state_count(),
    )
}

fn play(appends: u8, silences: u8, kills: u8, losses: u8, doubles: u8) -> Play {
    Play {
        appends,
        silences,
        kills,
        losses,
        doubles,
        without: DisabledGuards::default(),
    }
}

fn holds(p: Play, states: usize) {
    let (found, n) = violated(p.clone(), states);
    println!("{n} states: {p:?}");
    assert_eq!(found, Vec::<&str>::new());
}

#[test]
fn promises_stand_whatever_is_late_lost_or_doubled() {
    holds(play(1, 1, 0, 0, 1), MOST_STATES);
    holds(play(1, 1, 0, 1, 0), MOST_STATES);
}

/// The same with more of everything, as far as states go.
#[test]
#[ignore = "takes minutes; cargo test --release --lib replication::model -- --ignored"]
fn promises_stand_at_wider_bounds() {
    let plays = [
        play(1, 2, 0, 1, 0),
        play(1, 1, 1, 1, 0),
        play(2, 1, 1, 0, 0),
        play(1, 2, 1, 0, 0),
        play(1, 1, 1, 0, 1),
    ];
    plays.into_iter().for_each(|p| holds(p, 2 * MOST_STATES));
}

/// Each guard taken out: the checker must find what it guards against.
#[test]
fn each_guard_taken_out_is_found() {
    let g = DisabledGuards::default();
    let all = Play {
        without: DisabledGuards { all: true, ..g },
        ..play(1, 1, 0, 0, 0)
    };
    assert!(violated(all, MOST_STATES)
        .0
        .contains(&"promises stand at all of the set"));
    let want = Play {
        without: DisabledGuards { want: true, ..g },
        ..play(1, 1, 0, 1, 0)
    };
    assert!(violated(want, MOST_STATES)
        .0
        .contains(&"a promise outlives one loss"));
}
