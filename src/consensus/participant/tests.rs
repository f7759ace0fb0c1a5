//! Participants together: who holds a lease, how it moves, and how late effects are rejected.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::bootstrap::{bootstrap, initial_state, new_replica};
use crate::consensus::participant::{
    DisabledGuards, HistoryEvent, Input, Output, Participant, Settings,
};
use crate::consensus::persistent_state::{PersistentState, Record};
use crate::consensus::voter;
use crate::consensus::wire::{Body, LeaseEffect};
use crate::lease::{LeaseName, Term};

const MS: Micros = 1_000;
const LEASE: Micros = 600 * MS;

fn name(n: usize) -> Arc<str> {
    format!("n{n}").into()
}

fn lease() -> LeaseName {
    "d".into()
}

struct Simulation {
    now: Micros,
    process: u64,
    participants: Vec<Option<Participant>>,
    disks: Vec<Option<PersistentState>>,
    writes: Vec<VecDeque<(u64, Record)>>,
    in_flight: VecDeque<(Micros, usize, Arc<str>, Body)>,
    stopped: BTreeSet<usize>,
    /// Pairs of sender and receiver between which frames are delayed.
    blocked: BTreeSet<(usize, usize)>,
    delayed: Vec<(usize, Arc<str>, Body)>,
    events: Vec<(usize, HistoryEvent)>,
    accepted: Vec<(usize, Term, u64)>,
    voters: usize,
    guards: DisabledGuards,
}

impl Simulation {
    fn new(participants: usize, voters: usize, guards: DisabledGuards) -> Simulation {
        let names: Vec<String> = (0..voters).map(|n| name(n).to_string()).collect();
        let disk = |n: usize| {
            (n < voters).then(|| initial_state(&bootstrap(1, &names[n], &names, None).unwrap()))
        };
        let mut sim = Simulation {
            now: 1_000 * MS,
            process: 0,
            participants: (0..participants).map(|_| None).collect(),
            disks: (0..participants).map(disk).collect(),
            writes: (0..participants).map(|_| VecDeque::new()).collect(),
            in_flight: VecDeque::new(),
            stopped: BTreeSet::new(),
            blocked: BTreeSet::new(),
            delayed: Vec::new(),
            events: Vec::new(),
            accepted: Vec::new(),
            voters,
            guards,
        };
        (0..participants).for_each(|n| sim.start(n));
        sim
    }

    fn start(&mut self, n: usize) {
        self.process += 1;
        let settings = Settings {
            name: name(n),
            process: self.process,
            contacts: (0..self.voters + 1).map(name).collect(),
            leases: BTreeSet::from([lease()]),
            lease: crate::lease::Settings {
                duration: LEASE,
                drift_ppm: 1_000,
            },
            voter: voter::Settings { tick: 20 * MS },
            seed: n as u64 * 77 + 5,
            disabled_guards: self.guards,
        };
        self.participants[n] = Some(Participant::new(settings, self.disks[n].clone(), self.now));
    }

    fn kill(&mut self, n: usize) {
        self.participants[n] = None;
        self.writes[n].clear();
    }

    fn post(&mut self, from: usize, to: &Arc<str>, body: Body) {
        let Some(to) = (0..self.participants.len()).find(|n| name(*n) == *to) else {
            return;
        };
        if self.blocked.contains(&(from, to)) {
            return self.delayed.push((to, name(from), body));
        }
        self.in_flight
            .push_back((self.now + 2 * MS, to, name(from), body));
    }

    fn drain(&mut self, n: usize) {
        while let Some(output) = self.participants[n].as_mut().and_then(Participant::output) {
            match output {
                Output::Send(to, body) => self.post(n, &to, body),
                Output::SendOwn(to, effect) => {
                    if self.participants[n].as_ref().unwrap().still_holds(
                        self.now,
                        &effect.lease,
                        effect.term,
                    ) {
                        self.post(n, &to, Body::Effect(effect));
                    }
                }
                Output::Persist(number, record) => self.writes[n].push_back((number, *record)),
                Output::EffectReceived(e) => self.accepted.push((n, e.term, e.number)),
                Output::Record(event) => self.events.push((n, event)),
                Output::ReportReceived(..)
                | Output::LeaseAcquired(..)
                | Output::LeaseLost(..)
                | Output::SubsystemChanged => {}
            }
        }
    }

    fn handle(&mut self, n: usize, input: Input) {
        let now = self.now;
        if let Some(m) = self.participants[n].as_mut() {
            m.handle(now, input);
        }
        self.drain(n);
    }

    fn step(&mut self) {
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
            self.drain(n);
            if let Some((number, record)) = self.writes[n].pop_front() {
                if let Some(disk) = &mut self.disks[n] {
                    disk.apply(&record);
                }
                self.handle(n, Input::Persisted(number));
            }
            if self.participants[n]
                .as_ref()
                .is_some_and(|m| m.next_deadline(self.now) <= self.now)
            {
                self.handle(n, Input::Tick);
            }
        }
    }

    fn until(&mut self, event: &str, holds: impl Fn(&Simulation) -> bool) {
        for _ in 0..30_000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!("{event} did not come: {:?}", self.participants);
    }

    fn lease_holder(&self) -> Option<(usize, Term)> {
        let of = |n: usize| {
            self.participants[n]
                .as_ref()
                .and_then(|m| m.held_term(self.now, &lease()))
                .map(|t| (n, t))
        };
        (0..self.participants.len())
            .filter(|n| !self.stopped.contains(n))
            .filter_map(of)
            .max_by_key(|(_, t)| *t)
    }

    fn held_after(&mut self, term: Term) -> (usize, Term) {
        self.until("the next holder", |r| {
            r.lease_holder().is_some_and(|(_, t)| t > term)
        });
        self.lease_holder().unwrap()
    }

    fn act(&mut self, n: usize) {
        self.handle(n, Input::Act(lease(), vec![1]));
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Whether a participant accepted an effect of an older term than before.
    fn accepted_stale_effect(&self) -> bool {
        let mut highest: BTreeMap<usize, Term> = BTreeMap::new();
        self.accepted.iter().any(|(n, term, _)| {
            let h = highest.entry(*n).or_default();
            let stale = term < h;
            *h = (*h).max(*term);
            stale
        })
    }
}

#[test]
fn single_holder_acts_and_all_accept_its_effects() {
    let mut sim = Simulation::new(9, 5, DisabledGuards::default());
    let (holder, term) = sim.held_after(0);
    sim.act(holder);
    sim.until("its effect everywhere", |r| r.accepted.len() == 8);
    assert!(sim
        .accepted
        .iter()
        .all(|(n, t, number)| *n != holder && *t == term && *number == 1));
    // It stays where it is, and nothing is written meanwhile.
    let writes = |r: &Simulation| {
        r.disks
            .iter()
            .flatten()
            .map(|d| d.last())
            .collect::<Vec<_>>()
    };
    let before = writes(&sim);
    sim.run(5 * LEASE);
    assert_eq!(
        (sim.lease_holder(), writes(&sim)),
        (Some((holder, term)), before)
    );
}

#[test]
fn holder_stopped_past_its_lease_does_not_act() {
    for guard_disabled in [false, true] {
        let mut sim = Simulation::new(
            5,
            5,
            DisabledGuards {
                lease: guard_disabled,
                ..DisabledGuards::default()
            },
        );
        let (holder, term) = sim.held_after(0);
        sim.stopped.insert(holder);
        let (next, later) = sim.held_after(term);
        assert_ne!(next, holder);
        sim.act(next);
        sim.run(20 * MS);
        sim.stopped.clear();
        // It has not heard anything yet, and is asked to act at once.
        sim.handle(holder, Input::Act(lease(), vec![2]));
        let acted = sim
            .events
            .iter()
            .any(|(n, event)| *n == holder && matches!(event, HistoryEvent::Acted { .. }));
        assert_eq!(
            acted, guard_disabled,
            "the look at the lease is what holds it back"
        );
        sim.run(LEASE);
        // And whatever it did, nobody took it.
        assert!(
            !sim.accepted_stale_effect() && sim.lease_holder().is_some_and(|(_, t)| t >= later)
        );
    }
}

#[test]
fn delayed_effect_is_rejected_after_next_holders_first() {
    for guard_disabled in [false, true] {
        let mut sim = Simulation::new(
            5,
            5,
            DisabledGuards {
                terms: guard_disabled,
                ..DisabledGuards::default()
            },
        );
        let (holder, term) = sim.held_after(0);
        sim.blocked.extend((0..5).map(|to| (holder, to)));
        sim.act(holder);
        let (next, _) = sim.held_after(term);
        sim.act(next);
        sim.run(20 * MS);
        sim.blocked.clear();
        for (to, from, body) in std::mem::take(&mut sim.delayed) {
            if matches!(body, Body::Effect(_)) {
                sim.handle(to, Input::Frame(from, body));
            }
        }
        assert_eq!(
            sim.accepted_stale_effect(),
            guard_disabled,
            "the terms are what refuses it"
        );
        let refused = sim
            .events
            .iter()
            .filter(|(_, n)| matches!(n, HistoryEvent::Rejected { .. }))
            .count();
        assert_eq!(refused > 0, !guard_disabled);
    }
}

#[test]
fn effect_is_not_sent_if_lease_ends_before_queueing() {
    for guard_disabled in [false, true] {
        let sim = &mut Simulation::new(
            5,
            5,
            DisabledGuards {
                queue: guard_disabled,
                ..DisabledGuards::default()
            },
        );
        let (holder, _) = sim.held_after(0);
        let now = sim.now;
        let m = sim.participants[holder].as_mut().unwrap();
        m.handle(now, Input::Act(lease(), vec![1]));
        let outputs: Vec<Output> = std::iter::from_fn(|| m.output()).collect();
        let own: Vec<LeaseEffect> = outputs
            .into_iter()
            .filter_map(|o| {
                if let Output::SendOwn(_, e) = o {
                    Some(e)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(own.len(), 4);
        assert!(own.iter().all(|e| m.still_holds(now, &e.lease, e.term)));
        // The process is stopped here, between its decision and the queue.
        let leaves = own
            .iter()
            .any(|e| m.still_holds(now + 2 * LEASE, &e.lease, e.term));
        assert_eq!(
            leaves, guard_disabled,
            "the second look is what holds it back"
        );
    }
}

#[test]
fn released_lease_is_granted_again_within_round_trips() {
    let mut sim = Simulation::new(5, 5, DisabledGuards::default());
    let (holder, term) = sim.held_after(0);
    let released_at = sim.now;
    sim.handle(holder, Input::SetEligible(false));
    assert!(
        sim.participants[holder]
            .as_ref()
            .unwrap()
            .held_term(sim.now, &lease())
            .is_none(),
        "it stops first"
    );
    let (next, _) = sim.held_after(term);
    assert!(
        next != holder && sim.now - released_at < LEASE / 4,
        "{} us",
        sim.now - released_at
    );
}

#[test]
fn new_process_of_same_name_waits_out_old_lease() {
    let mut sim = Simulation::new(5, 5, DisabledGuards::default());
    let (holder, term) = sim.held_after(0);
    sim.kill(holder);
    sim.start(holder);
    let at = sim.now;
    let (_, later) = sim.held_after(term);
    assert!(
        later > term && sim.now - at >= LEASE / 2,
        "the old process's lease was not waited out"
    );
}

fn forged_raft(generation: u32, message: Vec<u8>) -> Body {
    Body::Raft {
        generation,
        from: 99,
        boots: 1,
        process: 1,
        message,
    }
}

#[test]
fn forged_requests_replies_and_effects_change_nothing() {
    let mut sim = Simulation::new(6, 5, DisabledGuards::default());
    let (holder, term) = sim.held_after(0);
    let (other, outsider) = ((holder + 1) % 5, name(5));
    let effect = |from: &Arc<str>| LeaseEffect {
        lease: lease(),
        term: term + 5,
        holder: from.clone(),
        number: 1,
        content: vec![],
    };
    // One that does not vote speaks for the holder.
    sim.handle(
        other,
        Input::Frame(outsider.clone(), Body::Effect(effect(&name(holder)))),
    );
    let back = crate::lease::holder::RenewRequest {
        from: crate::lease::LeaseHolder {
            name: name(holder),
            incarnation: 1,
        },
        stamp: 1,
        eligible: false,
        held: vec![],
        released: vec![(lease(), term)],
    };
    for n in 0..5 {
        sim.handle(
            n,
            Input::Frame(outsider.clone(), Body::RenewLeases(back.clone(), None)),
        );
        sim.handle(
            n,
            Input::Frame(
                outsider.clone(),
                Body::RenewLeases(back.clone(), Some(name(0).to_string())),
            ),
        );
        sim.handle(
            n,
            Input::Frame(outsider.clone(), forged_raft(1, vec![8, 1])),
        );
        sim.handle(n, Input::Frame(outsider.clone(), forged_raft(7, vec![])));
    }
    sim.run(2 * LEASE);
    assert_eq!(
        (sim.lease_holder(), sim.accepted.len()),
        (Some((holder, term)), 0)
    );
}

#[test]
fn replica_added_later_votes_and_outlives_its_leader() {
    let mut sim = Simulation::new(4, 3, DisabledGuards::default());
    sim.disks[3] = Some(initial_state(&new_replica(4711)));
    sim.kill(3);
    sim.start(3);
    let (_, term) = sim.held_after(0);
    sim.until("a leader", |r| {
        r.participants.iter().flatten().any(Participant::leads)
    });
    let leader = |r: &Simulation| {
        (0..4).find(|n| r.participants[*n].as_ref().is_some_and(Participant::leads))
    };
    let joins = Input::Exchange {
        joins: Some(name(3)),
        leaves: None,
    };
    sim.run(2 * LEASE);
    // It polls some voter, which then knows its replica; the leader has to be that voter.
    for _ in 0..20 {
        if let Some(l) = leader(&sim) {
            sim.handle(l, joins.clone());
        }
        sim.run(LEASE);
        if sim.participants[3].as_ref().is_some_and(Participant::votes) {
            break;
        }
        sim.handle(
            3,
            Input::Disconnected(
                sim.participants[3]
                    .as_ref()
                    .unwrap()
                    .catch_up_source()
                    .cloned()
                    .unwrap_or(name(0)),
            ),
        );
    }
    assert!(sim.participants[3].as_ref().unwrap().votes());
    assert_eq!(sim.participants[3].as_ref().unwrap().state().generation, 1);
    // Two of the first three go: with the fourth and one left there is no majority of four; with two left there is.
    let gone = leader(&sim).filter(|l| *l != 3).unwrap_or(0);
    sim.kill(gone);
    sim.held_after(term);
}

#[test]
fn new_generation_starts_above_all_granted_terms() {
    let mut sim = Simulation::new(3, 3, DisabledGuards::default());
    let (holder, term) = sim.held_after(0);
    let state = sim.participants[holder].as_ref().unwrap().state().clone();
    let record = bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).unwrap();
    let bootstrapped = initial_state(&record);
    let state: crate::consensus::state::State =
        postcard::from_bytes(&bootstrapped.metadata.snapshot.data).unwrap();
    let stands = state.leases.record(&lease());
    assert!(stands.holder.is_none() && stands.term > term + 1_000_000);
    assert!(
        bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).is_err(),
        "not twice of one generation"
    );
    assert!(bootstrap(1, "n9", &["n1".to_owned()], None).is_err());
    assert!(bootstrap(1, "n1", &["n1".to_owned(), "n1".to_owned()], None).is_err());
}
