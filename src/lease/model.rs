//! The duties' own values under a model checker: every order of messages lost, doubled and late, of stopped processes, of
//! leaders that do not know that they were voted out, at small bounds.
//!
//! Time is one number that all processes read when they do something; a stopped process is one that does nothing while it
//! grows. A question or an answer may come at any later time or never, and some of them twice. Play begins with a grant that
//! nobody but the leader has heard of yet.

use std::collections::BTreeSet;

use stateright::{Checker, HasDiscoveries, Model, Property};

use super::fence::Fence;
use super::grantor::{self, LeaseGrantor};
use super::holder::{self, HolderState, RenewReply, RenewRequest};
use super::ledger::Entry;
use super::*;

/// What is played, and which guard is taken out.
#[derive(Clone, Debug)]
struct Play {
    /// Times at most.
    times: Micros,
    /// Leaders voted in after the first.
    elections: u8,
    /// What an owner believes of its lease.
    owner: Settings,
    /// What a grantor waits for.
    grantor: Settings,
    /// Whether only a leader hears that it leads.
    confirms: bool,
    /// Whether who receives refuses old terms.
    fences: bool,
    /// Messages that come twice at most.
    doubles: u8,
    /// Whether an effect may be on its way for any time; else it is received as it is sent.
    late_effects: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    holders: Vec<(HolderState, usize)>,
    grantors: Vec<(LeaseGrantor, usize)>,
    log: Vec<Entry>,
    leader: usize,
    elected: u8,
    asks: BTreeSet<RenewRequest>,
    answers: BTreeSet<RenewReply>,
    /// Messages that may yet come twice.
    doubles: u8,
    /// Rounds that a majority has answered, by grantor and number.
    heard: BTreeSet<(usize, u64)>,
    effects: BTreeSet<Term>,
    fence: Fence,
    last: Term,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    Holder(usize),
    HolderHears(usize),
    GrantorHears(usize),
    /// To which grantor, and whether it stays on its way.
    Ask(usize, RenewRequest, bool),
    Answer(RenewReply, bool),
    Confirmed(usize, u64),
    Elect(usize),
    Effect(usize),
    Received(Term),
}

fn duty() -> LeaseName {
    "trials".into()
}

fn owner(i: usize) -> LeaseHolder {
    LeaseHolder {
        name: format!("n{i}").into(),
        incarnation: 1,
    }
}

impl Play {
    fn guarded(times: Micros, elections: u8, lease: Micros) -> Play {
        let settings = Settings {
            duration: lease,
            drift_ppm: 0,
        };
        let (owner, grantor) = (settings, settings);
        Play {
            times,
            elections,
            owner,
            grantor,
            confirms: true,
            fences: true,
            doubles: 0,
            late_effects: false,
        }
    }

    fn settle(&self, s: &mut State) {
        for i in 0..s.holders.len() {
            while let Some(output) = s.holders[i].0.output() {
                match output {
                    // That somebody would take a duty is known at once: nothing rests on it.
                    holder::Output::Renew(ask) if ask.held.is_empty() => {
                        s.grantors[s.leader]
                            .0
                            .handle(s.now, grantor::Input::Renew(ask));
                    }
                    // Of one's questions, and of the answers to them, one is on its way: the last.
                    holder::Output::Renew(ask) => {
                        s.asks.retain(|a| a.from != ask.from);
                        s.asks.insert(ask);
                    }
                    _ => {}
                }
            }
        }
        for g in 0..s.grantors.len() {
            while let Some(output) = s.grantors[g].0.output() {
                match output {
                    // A majority's word comes when it comes; one that is none's leader any more gets none.
                    grantor::Output::Confirm(n) if s.leader == g || !self.confirms => {
                        s.heard.insert((g, n));
                    }
                    grantor::Output::Confirm(_) => {}
                    grantor::Output::Reply(a) => {
                        s.answers.retain(|b| a.to != b.to);
                        s.answers.insert(a);
                    }
                    // Agreed at once, or lost with a leader that is none.
                    grantor::Output::Propose(e) if s.leader == g => s.log.push(e),
                    grantor::Output::Propose(_) => {}
                }
            }
        }
    }

    fn receive(&self, s: &mut State, term: Term) {
        if !self.fences || s.fence.admit(&duty(), term).is_ok() {
            s.broken |= term < s.last;
            s.last = s.last.max(term);
        }
    }
}

impl Model for Play {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let new = |i| HolderState::new(self.owner, owner(i), 0);
        let grant = Entry::Grant {
            lease: duty(),
            holder: owner(0),
            term: 1,
        };
        let mut first = LeaseGrantor::new(self.grantor, BTreeSet::from([duty()]));
        first.handle(0, grantor::Input::Applied(grant.clone()));
        let second = first.clone();
        first.handle(0, grantor::Input::BecameLeader);
        vec![State {
            now: 0,
            holders: (0..2).map(|i| (new(i), 0)).collect(),
            grantors: vec![(first, 1), (second, 1)],
            log: vec![grant],
            leader: 0,
            elected: 0,
            asks: BTreeSet::new(),
            answers: BTreeSet::new(),
            doubles: self.doubles,
            heard: BTreeSet::new(),
            effects: BTreeSet::new(),
            fence: Fence::default(),
            last: 0,
            broken: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        if s.now < self.times {
            out.push(Step::Time);
        }
        for (i, (h, heard)) in s.holders.iter().enumerate() {
            if h.next_deadline() <= s.now && h.held_leases().next().is_some() {
                out.push(Step::Holder(i));
            }
            if *heard < s.log.len() {
                out.push(Step::HolderHears(i));
            }
            if h.held_term(s.now, &duty())
                .is_some_and(|t| !s.effects.contains(&t))
            {
                out.push(Step::Effect(i));
            }
        }
        for (g, (_, heard)) in s.grantors.iter().enumerate() {
            if *heard < s.log.len() {
                out.push(Step::GrantorHears(g));
            }
            if g != s.leader && s.elected < self.elections {
                out.push(Step::Elect(g));
            }
            for stays in [false, true]
                .into_iter()
                .take(1 + usize::from(s.doubles > 0))
            {
                out.extend(s.asks.iter().map(|a| Step::Ask(g, a.clone(), stays)));
            }
        }
        for stays in [false, true]
            .into_iter()
            .take(1 + usize::from(s.doubles > 0))
        {
            out.extend(s.answers.iter().map(|a| Step::Answer(a.clone(), stays)));
        }
        out.extend(s.heard.iter().map(|(g, n)| Step::Confirmed(*g, *n)));
        if self.late_effects {
            out.extend(s.effects.iter().map(|t| Step::Received(*t)));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        let now = s.now;
        match step {
            Step::Time => {
                s.now += 1;
                // Late or not, these change nothing that a guard rests on: who has nothing offers, and who leads decides.
                for (h, _) in s
                    .holders
                    .iter_mut()
                    .filter(|(h, _)| h.held_leases().next().is_none())
                {
                    h.handle(s.now, holder::Input::Tick);
                }
                s.grantors[s.leader].0.handle(s.now, grantor::Input::Tick);
            }
            Step::Holder(i) => s.holders[i].0.handle(now, holder::Input::Tick),
            Step::HolderHears(i) => {
                let entry = s.log[s.holders[i].1].clone();
                s.holders[i].1 += 1;
                s.holders[i].0.handle(now, holder::Input::Applied(entry));
            }
            Step::GrantorHears(g) => {
                let entry = s.log[s.grantors[g].1].clone();
                s.grantors[g].1 += 1;
                s.grantors[g].0.handle(now, grantor::Input::Applied(entry));
            }
            Step::Ask(g, ask, stays) => {
                if stays {
                    s.doubles -= 1;
                } else {
                    s.asks.remove(&ask);
                }
                s.grantors[g].0.handle(now, grantor::Input::Renew(ask));
            }
            Step::Answer(answer, stays) => {
                if stays {
                    s.doubles -= 1;
                } else {
                    s.answers.remove(&answer);
                }
                let i = s.holders.iter().position(|(h, _)| *h.me() == answer.to)?;
                s.holders[i].0.handle(now, holder::Input::Reply(answer));
            }
            Step::Confirmed(g, n) => {
                s.heard.remove(&(g, n));
                s.grantors[g].0.handle(now, grantor::Input::Confirmed(n));
            }
            Step::Elect(g) => {
                (s.leader, s.elected) = (g, s.elected + 1);
                while s.grantors[g].1 < s.log.len() {
                    let entry = s.log[s.grantors[g].1].clone();
                    s.grantors[g].1 += 1;
                    s.grantors[g].0.handle(now, grantor::Input::Applied(entry));
                }
                s.grantors[g].0.handle(now, grantor::Input::BecameLeader);
            }
            Step::Effect(i) => {
                let term = s.holders[i].0.held_term(now, &duty())?;
                s.effects.insert(term);
                if !self.late_effects {
                    self.receive(&mut s, term);
                }
            }
            Step::Received(term) => self.receive(&mut s, term),
        }
        self.settle(&mut s);
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one at a time", |_, s: &State| {
                s.holders
                    .iter()
                    .filter(|(h, _)| h.held_term(s.now, &duty()).is_some())
                    .count()
                    <= 1
            }),
            Property::always("terms in order", |_, s: &State| !s.broken),
            Property::sometimes("handed on", |_, s: &State| s.last >= 2),
        ]
    }
}

/// More states than any play here has.
const MOST_STATES: usize = 4_000_000;

/// Plays it through; the names of the properties that do not hold, and how many states there are.
fn violated(play: Play) -> (Vec<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let checker = play
        .checker()
        .threads(threads)
        .target_state_count(MOST_STATES);
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

fn holds(play: Play) {
    let (violated, states) = violated(play.clone());
    println!("{states} states: {play:?}");
    assert_eq!(violated, Vec::<&str>::new());
    assert!(states < MOST_STATES, "not played through");
}

#[test]
fn no_two_owners_whatever_is_late_or_lost() {
    holds(Play::guarded(2, 1, 1));
}

#[test]
fn no_two_owners_whatever_comes_twice() {
    holds(Play {
        doubles: 1,
        ..Play::guarded(2, 0, 1)
    });
}

#[test]
fn an_effect_on_its_way_for_any_time_is_refused() {
    holds(Play {
        late_effects: true,
        ..Play::guarded(3, 0, 2)
    });
}

/// Each guard taken out: the checker must find what it guards against.
#[test]
fn each_guard_taken_out_is_found() {
    let guarded = Play::guarded(3, 0, 2);
    let (found, _) = violated(Play {
        fences: false,
        late_effects: true,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"terms in order"),
        "without terms at the receiver: {found:?}"
    );
    let long = Settings {
        duration: 4,
        drift_ppm: 0,
    };
    let (found, _) = violated(Play {
        owner: long,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"one at a time"),
        "without the grantor's margin: {found:?}"
    );
    let (found, _) = violated(Play {
        confirms: false,
        ..Play::guarded(2, 1, 1)
    });
    assert!(
        found.contains(&"one at a time"),
        "without a majority's word: {found:?}"
    );
}
