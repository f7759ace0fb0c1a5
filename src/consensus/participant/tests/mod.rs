//! Participants together: who holds a lease, how it moves, and how late effects are rejected.

mod simulation;

use std::sync::Arc;

use crate::consensus::bootstrap::{bootstrap, initial_state, new_replica};
use crate::consensus::participant::{DisabledGuards, HistoryEvent, Input, Output, Participant};
use crate::consensus::state::State;
use crate::consensus::wire::{Body, LeaseEffect};
use crate::lease::renewal::RenewRequest;
use crate::lease::LeaseHolder;
use simulation::{lease, name, Simulation, LEASE, MS};

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
    let back = RenewRequest {
        from: LeaseHolder {
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
    let state: State = postcard::from_bytes(&bootstrapped.metadata.snapshot.data).unwrap();
    let stands = state.leases.record(&lease());
    assert!(stands.holder.is_none() && stands.term > term + 1_000_000);
    assert!(
        bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).is_err(),
        "not twice of one generation"
    );
    assert!(bootstrap(1, "n9", &["n1".to_owned()], None).is_err());
    assert!(bootstrap(1, "n1", &["n1".to_owned(), "n1".to_owned()], None).is_err());
}
