//! Members together: who owns a duty, how it moves, and what becomes of effects that come late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::config::{bootstrap, fresh, kept_of};
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

fn duty() -> LeaseName {
    "d".into()
}

struct Rig {
    now: Micros,
    process: u64,
    members: Vec<Option<Participant>>,
    disks: Vec<Option<PersistentState>>,
    writes: Vec<VecDeque<(u64, Record)>>,
    way: VecDeque<(Micros, usize, Arc<str>, Body)>,
    stopped: BTreeSet<usize>,
    /// Those from whom nothing leaves, and to whom nothing comes; what would have is held.
    cut: BTreeSet<(usize, usize)>,
    held: Vec<(usize, Arc<str>, Body)>,
    notes: Vec<(usize, HistoryEvent)>,
    taken: Vec<(usize, Term, u64)>,
    voters: usize,
    guards: DisabledGuards,
}

impl Rig {
    fn new(members: usize, voters: usize, guards: DisabledGuards) -> Rig {
        let names: Vec<String> = (0..voters).map(|n| name(n).to_string()).collect();
        let disk = |n: usize| {
            (n < voters).then(|| kept_of(&bootstrap(1, &names[n], &names, None).unwrap()))
        };
        let mut rig = Rig {
            now: 1_000 * MS,
            process: 0,
            members: (0..members).map(|_| None).collect(),
            disks: (0..members).map(disk).collect(),
            writes: (0..members).map(|_| VecDeque::new()).collect(),
            way: VecDeque::new(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            held: Vec::new(),
            notes: Vec::new(),
            taken: Vec::new(),
            voters,
            guards,
        };
        (0..members).for_each(|n| rig.start(n));
        rig
    }

    fn start(&mut self, n: usize) {
        self.process += 1;
        let settings = Settings {
            name: name(n),
            process: self.process,
            contacts: (0..self.voters + 1).map(name).collect(),
            leases: BTreeSet::from([duty()]),
            lease: crate::lease::Settings {
                duration: LEASE,
                drift_ppm: 1_000,
            },
            voter: voter::Settings { tick: 20 * MS },
            seed: n as u64 * 77 + 5,
            disabled_guards: self.guards,
        };
        self.members[n] = Some(Participant::new(settings, self.disks[n].clone(), self.now));
    }

    fn kill(&mut self, n: usize) {
        self.members[n] = None;
        self.writes[n].clear();
    }

    fn post(&mut self, from: usize, to: &Arc<str>, body: Body) {
        let Some(to) = (0..self.members.len()).find(|n| name(*n) == *to) else {
            return;
        };
        if self.cut.contains(&(from, to)) {
            return self.held.push((to, name(from), body));
        }
        self.way
            .push_back((self.now + 2 * MS, to, name(from), body));
    }

    fn drain(&mut self, n: usize) {
        while let Some(output) = self.members[n].as_mut().and_then(Participant::output) {
            match output {
                Output::Send(to, body) => self.post(n, &to, body),
                Output::SendOwn(to, effect) => {
                    if self.members[n].as_ref().unwrap().still_holds(
                        self.now,
                        &effect.lease,
                        effect.term,
                    ) {
                        self.post(n, &to, Body::Effect(effect));
                    }
                }
                Output::Persist(number, record) => self.writes[n].push_back((number, *record)),
                Output::EffectReceived(e) => self.taken.push((n, e.term, e.number)),
                Output::Record(note) => self.notes.push((n, note)),
                Output::ReportReceived(..)
                | Output::LeaseBegan(..)
                | Output::LeaseEnded(..)
                | Output::SubsystemChanged => {}
            }
        }
    }

    fn handle(&mut self, n: usize, input: Input) {
        let now = self.now;
        if let Some(m) = self.members[n].as_mut() {
            m.handle(now, input);
        }
        self.drain(n);
    }

    fn step(&mut self) {
        self.now += MS;
        while self.way.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, to, from, body)) = self.way.pop_front() else {
                break;
            };
            if !self.stopped.contains(&to) {
                self.handle(to, Input::Frame(from, body));
            }
        }
        for n in (0..self.members.len())
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
            if self.members[n]
                .as_ref()
                .is_some_and(|m| m.next_deadline(self.now) <= self.now)
            {
                self.handle(n, Input::Tick);
            }
        }
    }

    fn until(&mut self, what: &str, holds: impl Fn(&Rig) -> bool) {
        for _ in 0..30_000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!("{what} did not come: {:?}", self.members);
    }

    fn owner(&self) -> Option<(usize, Term)> {
        let of = |n: usize| {
            self.members[n]
                .as_ref()
                .and_then(|m| m.held_term(self.now, &duty()))
                .map(|t| (n, t))
        };
        (0..self.members.len())
            .filter(|n| !self.stopped.contains(n))
            .filter_map(of)
            .max_by_key(|(_, t)| *t)
    }

    fn owned_after(&mut self, term: Term) -> (usize, Term) {
        self.until("the next owner", |r| {
            r.owner().is_some_and(|(_, t)| t > term)
        });
        self.owner().unwrap()
    }

    fn act(&mut self, n: usize) {
        self.handle(n, Input::Act(duty(), vec![1]));
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// What was taken, by each: terms never go back.
    fn stale(&self) -> bool {
        let mut highest: BTreeMap<usize, Term> = BTreeMap::new();
        self.taken.iter().any(|(n, term, _)| {
            let h = highest.entry(*n).or_default();
            let stale = term < h;
            *h = (*h).max(*term);
            stale
        })
    }
}

#[test]
fn one_owns_the_duty_and_all_take_what_it_does() {
    let mut rig = Rig::new(9, 5, DisabledGuards::default());
    let (owner, term) = rig.owned_after(0);
    rig.act(owner);
    rig.until("its effect everywhere", |r| r.taken.len() == 8);
    assert!(rig
        .taken
        .iter()
        .all(|(n, t, number)| *n != owner && *t == term && *number == 1));
    // It stays where it is, and nothing is written meanwhile.
    let writes = |r: &Rig| {
        r.disks
            .iter()
            .flatten()
            .map(|d| d.last())
            .collect::<Vec<_>>()
    };
    let before = writes(&rig);
    rig.run(5 * LEASE);
    assert_eq!((rig.owner(), writes(&rig)), (Some((owner, term)), before));
}

#[test]
fn an_owner_stopped_past_its_lease_does_nothing_when_it_wakes() {
    for without in [false, true] {
        let mut rig = Rig::new(
            5,
            5,
            DisabledGuards {
                lease: without,
                ..DisabledGuards::default()
            },
        );
        let (owner, term) = rig.owned_after(0);
        rig.stopped.insert(owner);
        let (next, later) = rig.owned_after(term);
        assert_ne!(next, owner);
        rig.act(next);
        rig.run(20 * MS);
        rig.stopped.clear();
        // It has not heard anything yet, and is asked to act at once.
        rig.handle(owner, Input::Act(duty(), vec![2]));
        let acted = rig
            .notes
            .iter()
            .any(|(n, note)| *n == owner && matches!(note, HistoryEvent::Acted { .. }));
        assert_eq!(
            acted, without,
            "the look at the lease is what holds it back"
        );
        rig.run(LEASE);
        // And whatever it did, nobody took it.
        assert!(!rig.stale() && rig.owner().is_some_and(|(_, t)| t >= later));
    }
}

#[test]
fn what_was_held_on_its_way_is_refused_behind_the_next_owners_first() {
    for without in [false, true] {
        let mut rig = Rig::new(
            5,
            5,
            DisabledGuards {
                terms: without,
                ..DisabledGuards::default()
            },
        );
        let (owner, term) = rig.owned_after(0);
        rig.cut.extend((0..5).map(|to| (owner, to)));
        rig.act(owner);
        let (next, _) = rig.owned_after(term);
        rig.act(next);
        rig.run(20 * MS);
        rig.cut.clear();
        for (to, from, body) in std::mem::take(&mut rig.held) {
            if matches!(body, Body::Effect(_)) {
                rig.handle(to, Input::Frame(from, body));
            }
        }
        assert_eq!(rig.stale(), without, "the terms are what refuses it");
        let refused = rig
            .notes
            .iter()
            .filter(|(_, n)| matches!(n, HistoryEvent::Refused { .. }))
            .count();
        assert_eq!(refused > 0, !without);
    }
}

#[test]
fn an_effect_whose_lease_ends_before_its_bytes_are_queued_does_not_leave() {
    for without in [false, true] {
        let rig = &mut Rig::new(
            5,
            5,
            DisabledGuards {
                queue: without,
                ..DisabledGuards::default()
            },
        );
        let (owner, _) = rig.owned_after(0);
        let now = rig.now;
        let m = rig.members[owner].as_mut().unwrap();
        m.handle(now, Input::Act(duty(), vec![1]));
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
        assert_eq!(leaves, without, "the second look is what holds it back");
    }
}

#[test]
fn a_duty_given_back_is_owned_again_within_a_few_round_trips() {
    let mut rig = Rig::new(5, 5, DisabledGuards::default());
    let (owner, term) = rig.owned_after(0);
    let begun = rig.now;
    rig.handle(owner, Input::SetEligible(false));
    assert!(
        rig.members[owner]
            .as_ref()
            .unwrap()
            .held_term(rig.now, &duty())
            .is_none(),
        "it stops first"
    );
    let (next, _) = rig.owned_after(term);
    assert!(
        next != owner && rig.now - begun < LEASE / 4,
        "{} us",
        rig.now - begun
    );
}

#[test]
fn a_new_process_under_an_old_name_has_nothing_of_the_old_ones() {
    let mut rig = Rig::new(5, 5, DisabledGuards::default());
    let (owner, term) = rig.owned_after(0);
    rig.kill(owner);
    rig.start(owner);
    let at = rig.now;
    let (_, later) = rig.owned_after(term);
    assert!(
        later > term && rig.now - at >= LEASE / 2,
        "the old process's lease was not waited out"
    );
}

#[test]
fn forged_questions_answers_and_effects_change_nothing() {
    let mut rig = Rig::new(6, 5, DisabledGuards::default());
    let (owner, term) = rig.owned_after(0);
    let (other, outsider) = ((owner + 1) % 5, name(5));
    let effect = |from: &Arc<str>| LeaseEffect {
        lease: duty(),
        term: term + 5,
        holder: from.clone(),
        number: 1,
        content: vec![],
    };
    // One that does not vote speaks for the owner.
    rig.handle(
        other,
        Input::Frame(outsider.clone(), Body::Effect(effect(&name(owner)))),
    );
    let back = crate::lease::holder::RenewRequest {
        from: crate::lease::LeaseHolder {
            name: name(owner),
            incarnation: 1,
        },
        stamp: 1,
        eligible: false,
        held: vec![],
        released: vec![(duty(), term)],
    };
    for n in 0..5 {
        rig.handle(
            n,
            Input::Frame(outsider.clone(), Body::RenewLeases(back.clone(), None)),
        );
        rig.handle(
            n,
            Input::Frame(
                outsider.clone(),
                Body::RenewLeases(back.clone(), Some(name(0).to_string())),
            ),
        );
        rig.handle(
            n,
            Input::Frame(outsider.clone(), Body::Raft(1, 99, 1, 1, vec![8, 1])),
        );
        rig.handle(
            n,
            Input::Frame(outsider.clone(), Body::Raft(7, 99, 1, 1, vec![])),
        );
    }
    rig.run(2 * LEASE);
    assert_eq!((rig.owner(), rig.taken.len()), (Some((owner, term)), 0));
}

#[test]
fn a_seat_made_later_votes_once_it_is_made_a_voter_and_outlives_its_maker() {
    let mut rig = Rig::new(4, 3, DisabledGuards::default());
    rig.disks[3] = Some(kept_of(&fresh(4711)));
    rig.kill(3);
    rig.start(3);
    let (_, term) = rig.owned_after(0);
    rig.until("a leader", |r| {
        r.members.iter().flatten().any(Participant::leads)
    });
    let leader = |r: &Rig| (0..4).find(|n| r.members[*n].as_ref().is_some_and(Participant::leads));
    let joins = Input::Exchange {
        joins: Some(name(3)),
        leaves: None,
    };
    rig.run(2 * LEASE);
    // It follows at some voter: that one knows its seat, and so the leader once it asks there.
    for _ in 0..20 {
        if let Some(l) = leader(&rig) {
            rig.handle(l, joins.clone());
        }
        rig.run(LEASE);
        if rig.members[3].as_ref().is_some_and(Participant::votes) {
            break;
        }
        rig.handle(
            3,
            Input::Disconnected(
                rig.members[3]
                    .as_ref()
                    .unwrap()
                    .catch_up_source()
                    .cloned()
                    .unwrap_or(name(0)),
            ),
        );
    }
    assert!(rig.members[3].as_ref().unwrap().votes());
    assert_eq!(rig.members[3].as_ref().unwrap().state().generation, 1);
    // Two of the first three go: with the fourth and one left there is no majority of four; with two left there is.
    let gone = leader(&rig).filter(|l| *l != 3).unwrap_or(0);
    rig.kill(gone);
    rig.owned_after(term);
}

#[test]
fn a_council_founded_anew_refuses_all_that_the_old_one_granted() {
    let mut rig = Rig::new(3, 3, DisabledGuards::default());
    let (owner, term) = rig.owned_after(0);
    let state = rig.members[owner].as_ref().unwrap().state().clone();
    let record = bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).unwrap();
    let anew = kept_of(&record);
    let state: crate::consensus::state::State =
        postcard::from_bytes(&anew.head.snapshot.3).unwrap();
    let stands = state.leases.record(&duty());
    assert!(stands.holder.is_none() && stands.term > term + 1_000_000);
    assert!(
        bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).is_err(),
        "not twice of one generation"
    );
    assert!(bootstrap(1, "n9", &["n1".to_owned()], None).is_err());
    assert!(bootstrap(1, "n1", &["n1".to_owned(), "n1".to_owned()], None).is_err());
}
