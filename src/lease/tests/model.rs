//! Leases under a model checker: every order of lost, duplicated and late messages, of stopped processes, and of leaders that
//! do not know that they lost leadership, at small bounds.
//!
//! Time is one number that all processes read when they do something; a stopped process is one that does nothing while it
//! grows. A request or a reply may arrive at any later time or never, and some of them twice. A run starts with a grant that
//! only the leader knows of.

use std::collections::BTreeSet;

use stateright::{Checker, HasDiscoveries, Model, Property};

use crate::api::Micros;
use crate::lease::fence::Fence;
use crate::lease::grantor::{self, LeaseGrantor};
use crate::lease::holder::{self, HolderState};
use crate::lease::renewal::{RenewReply, RenewRequest};
use crate::lease::table::Entry;
use crate::lease::{LeaseHolder, LeaseName, Settings, Term};

/// What is explored, and which guard is switched off.
#[derive(Clone, Debug)]
struct Scenario {
    /// The number of instants.
    times: Micros,
    /// Elections after the first leader.
    elections: u8,
    /// The settings of the holders.
    holder: Settings,
    /// The settings of the grantors.
    grantor: Settings,
    /// Whether only the leader is confirmed.
    confirms: bool,
    /// Whether receivers reject old terms.
    fences: bool,
    /// The number of messages that may arrive twice.
    duplicates: u8,
    /// Whether an effect may arrive at any later time; else it arrives at once.
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
    requests: BTreeSet<RenewRequest>,
    replies: BTreeSet<RenewReply>,
    /// Messages that may still arrive twice.
    duplicates: u8,
    /// Confirmed rounds, by grantor and number.
    confirmed: BTreeSet<(usize, u64)>,
    effects: BTreeSet<Term>,
    fence: Fence,
    last: Term,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    Holder(usize),
    HolderApplies(usize),
    GrantorApplies(usize),
    /// The grantor, the request, and whether it may arrive once more.
    Request(usize, RenewRequest, bool),
    Reply(RenewReply, bool),
    Confirmed(usize, u64),
    Elect(usize),
    Effect(usize),
    Received(Term),
}

fn lease() -> LeaseName {
    "trials".into()
}

fn gateway(i: usize) -> LeaseHolder {
    LeaseHolder {
        name: format!("n{i}").into(),
        incarnation: 1,
    }
}

impl Scenario {
    fn guarded(times: Micros, elections: u8, lease: Micros) -> Scenario {
        let settings = Settings {
            duration: lease,
            drift_ppm: 0,
        };

        Scenario {
            times,
            elections,
            holder: settings,
            grantor: settings,
            confirms: true,
            fences: true,
            duplicates: 0,
            late_effects: false,
        }
    }

    fn settle(&self, s: &mut State) {
        for i in 0..s.holders.len() {
            while let Some(output) = s.holders[i].0.output() {
                match output {
                    // Eligibility is known at once: nothing depends on it.
                    holder::Output::Renew(ask) if ask.held.is_empty() => {
                        s.grantors[s.leader]
                            .0
                            .handle(s.now, grantor::Input::Renew(ask));
                    }
                    // Of a holder's requests, and of the replies to them, the last one is in flight.
                    holder::Output::Renew(ask) => {
                        s.requests.retain(|a| a.from != ask.from);
                        s.requests.insert(ask);
                    }
                    _ => {}
                }
            }
        }
        for g in 0..s.grantors.len() {
            while let Some(output) = s.grantors[g].0.output() {
                match output {
                    // A confirmation may come at any time; a former leader gets none.
                    grantor::Output::Confirm(n) if s.leader == g || !self.confirms => {
                        s.confirmed.insert((g, n));
                    }
                    grantor::Output::Confirm(_) => {}
                    grantor::Output::Reply(a) => {
                        s.replies.retain(|b| a.to != b.to);
                        s.replies.insert(a);
                    }
                    // Committed at once, or lost with a former leader.
                    grantor::Output::Propose(e) if s.leader == g => s.log.push(e),
                    grantor::Output::Propose(_) => {}
                }
            }
        }
    }

    fn receive(&self, s: &mut State, term: Term) {
        if !self.fences || s.fence.admit(&lease(), term).is_ok() {
            s.broken |= term < s.last;
            s.last = s.last.max(term);
        }
    }
}

impl Model for Scenario {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let new = |i| HolderState::new(self.holder, gateway(i), 0);
        let grant = Entry::Grant {
            lease: lease(),
            holder: gateway(0),
            term: 1,
        };
        let mut first = LeaseGrantor::new(self.grantor, BTreeSet::from([lease()]));
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
            requests: BTreeSet::new(),
            replies: BTreeSet::new(),
            duplicates: self.duplicates,
            confirmed: BTreeSet::new(),
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
                out.push(Step::HolderApplies(i));
            }
            if h.held_term(s.now, &lease())
                .is_some_and(|t| !s.effects.contains(&t))
            {
                out.push(Step::Effect(i));
            }
        }
        for (g, (_, heard)) in s.grantors.iter().enumerate() {
            if *heard < s.log.len() {
                out.push(Step::GrantorApplies(g));
            }
            if g != s.leader && s.elected < self.elections {
                out.push(Step::Elect(g));
            }
            for stays in [false, true]
                .into_iter()
                .take(1 + usize::from(s.duplicates > 0))
            {
                out.extend(
                    s.requests
                        .iter()
                        .map(|a| Step::Request(g, a.clone(), stays)),
                );
            }
        }
        for stays in [false, true]
            .into_iter()
            .take(1 + usize::from(s.duplicates > 0))
        {
            out.extend(s.replies.iter().map(|a| Step::Reply(a.clone(), stays)));
        }
        out.extend(s.confirmed.iter().map(|(g, n)| Step::Confirmed(*g, *n)));
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
                // These change nothing that a guard depends on: idle holders stay candidates, and the leader places leases.
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
            Step::HolderApplies(i) => {
                let entry = s.log[s.holders[i].1].clone();
                s.holders[i].1 += 1;
                s.holders[i].0.handle(now, holder::Input::Applied(entry));
            }
            Step::GrantorApplies(g) => {
                let entry = s.log[s.grantors[g].1].clone();
                s.grantors[g].1 += 1;
                s.grantors[g].0.handle(now, grantor::Input::Applied(entry));
            }
            Step::Request(g, ask, stays) => {
                if stays {
                    s.duplicates -= 1;
                } else {
                    s.requests.remove(&ask);
                }
                s.grantors[g].0.handle(now, grantor::Input::Renew(ask));
            }
            Step::Reply(answer, stays) => {
                if stays {
                    s.duplicates -= 1;
                } else {
                    s.replies.remove(&answer);
                }
                let i = s.holders.iter().position(|(h, _)| *h.own() == answer.to)?;
                s.holders[i].0.handle(now, holder::Input::Reply(answer));
            }
            Step::Confirmed(g, n) => {
                s.confirmed.remove(&(g, n));
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
                let term = s.holders[i].0.held_term(now, &lease())?;
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
                    .filter(|(h, _)| h.held_term(s.now, &lease()).is_some())
                    .count()
                    <= 1
            }),
            Property::always("terms in order", |_, s: &State| !s.broken),
            Property::sometimes("handed on", |_, s: &State| s.last >= 2),
        ]
    }
}

/// More states than any scenario here has.
const MAX_STATES: usize = 4_000_000;

/// Explores all states; returns the names of the properties that do not hold, and the number of states.
fn violated(scenario: Scenario) -> (Vec<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let checker = scenario
        .checker()
        .threads(threads)
        .target_state_count(MAX_STATES);
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

fn holds(scenario: Scenario) {
    let (violated, states) = violated(scenario.clone());
    println!("{states} states: {scenario:?}");
    assert_eq!(violated, Vec::<&str>::new());
    assert!(states < MAX_STATES, "not played through");
}

#[test]
fn single_holder_despite_late_or_lost_messages() {
    holds(Scenario::guarded(2, 1, 1));
}

#[test]
fn single_holder_despite_duplicated_messages() {
    holds(Scenario {
        duplicates: 1,
        ..Scenario::guarded(2, 0, 1)
    });
}

#[test]
fn effect_delayed_for_any_time_is_rejected() {
    holds(Scenario {
        late_effects: true,
        ..Scenario::guarded(3, 0, 2)
    });
}

/// With each guard switched off, the checker must find what it prevents.
#[test]
fn each_disabled_guard_is_detected() {
    let guarded = Scenario::guarded(3, 0, 2);
    let (found, _) = violated(Scenario {
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
    let (found, _) = violated(Scenario {
        holder: long,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"one at a time"),
        "without the grantor's margin: {found:?}"
    );
    let (found, _) = violated(Scenario {
        confirms: false,
        ..Scenario::guarded(2, 1, 1)
    });
    assert!(
        found.contains(&"one at a time"),
        "without a majority's word: {found:?}"
    );
}
