//! Tests of participants together: grants and transfers of a lease, and the rejection of late effects.

mod simulation;

use std::sync::Arc;

use crate::consensus::bootstrap::{bootstrap, initial_state, new_replica};
use crate::consensus::participant::{DisabledGuards, HistoryEvent, Input, Output, Participant};
use crate::consensus::state::State;
use crate::consensus::wire::{Body, LeaseEffect};
use crate::lease::renewal::RenewRequest;
use crate::lease::LeaseHolder;
use simulation::{lease, name, Simulation, LEASE_DURATION, MS};

#[test]
fn single_holder_acts_and_all_accept_its_effects() {
    let mut sim = Simulation::new(9, 5, DisabledGuards::default());
    let (holder, term) = sim.wait_for_holder_after(0);
    sim.send_effect(holder);
    sim.run_until("all others to accept the effect", |sim| {
        sim.accepted.len() == 8
    });
    assert!(sim
        .accepted
        .iter()
        .all(|(n, t, number)| *n != holder && *t == term && *number == 1));
    // The lease keeps its holder, and renewals write nothing to the log.
    let last_indexes = |sim: &Simulation| {
        sim.disks
            .iter()
            .flatten()
            .map(|d| d.last())
            .collect::<Vec<_>>()
    };
    let before = last_indexes(&sim);
    sim.run(5 * LEASE_DURATION);
    assert_eq!(
        (sim.lease_holder(), last_indexes(&sim)),
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
                lease_check: guard_disabled,
                ..DisabledGuards::default()
            },
        );
        let (holder, term) = sim.wait_for_holder_after(0);
        sim.stopped.insert(holder);
        let (next, next_term) = sim.wait_for_holder_after(term);
        assert_ne!(next, holder);
        sim.send_effect(next);
        sim.run(20 * MS);
        sim.stopped.clear();
        // The former holder is asked to act before it receives any message.
        sim.handle(holder, Input::SendEffect(lease(), vec![2]));
        let acted = sim
            .events
            .iter()
            .any(|(n, event)| *n == holder && matches!(event, HistoryEvent::EffectCreated { .. }));
        assert_eq!(
            acted, guard_disabled,
            "only the check of the lease prevents the effect"
        );
        sim.run(LEASE_DURATION);
        // No participant accepts an outdated effect of the former holder.
        assert!(
            !sim.accepted_stale_effect() && sim.lease_holder().is_some_and(|(_, t)| t >= next_term)
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
                term_check: guard_disabled,
                ..DisabledGuards::default()
            },
        );
        let (holder, term) = sim.wait_for_holder_after(0);
        sim.blocked.extend((0..5).map(|to| (holder, to)));
        sim.send_effect(holder);
        let (next, _) = sim.wait_for_holder_after(term);
        sim.send_effect(next);
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
            "only the check of the term rejects the effect"
        );
        let rejected = sim
            .events
            .iter()
            .filter(|(_, event)| matches!(event, HistoryEvent::Rejected { .. }))
            .count();
        assert_eq!(rejected > 0, !guard_disabled);
    }
}

#[test]
fn effect_is_not_sent_if_lease_ends_before_queueing() {
    for guard_disabled in [false, true] {
        let sim = &mut Simulation::new(
            5,
            5,
            DisabledGuards {
                queue_check: guard_disabled,
                ..DisabledGuards::default()
            },
        );
        let (holder, _) = sim.wait_for_holder_after(0);
        let now = sim.now;
        let participant = sim.participants[holder].as_mut().unwrap();
        participant.handle(now, Input::SendEffect(lease(), vec![1]));
        let outputs: Vec<Output> = std::iter::from_fn(|| participant.output()).collect();
        let effects: Vec<LeaseEffect> = outputs
            .into_iter()
            .filter_map(|output| {
                if let Output::SendEffect(_, effect) = output {
                    Some(effect)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(effects.len(), 4);
        assert!(effects
            .iter()
            .all(|e| participant.still_holds(now, &e.lease, e.term)));
        // The process pauses here, after it created the effect and before the bytes are queued.
        let still_sent = effects
            .iter()
            .any(|e| participant.still_holds(now + 2 * LEASE_DURATION, &e.lease, e.term));
        assert_eq!(
            still_sent, guard_disabled,
            "only the second check of the lease prevents sending"
        );
    }
}

#[test]
fn released_lease_is_granted_again_within_round_trips() {
    let mut sim = Simulation::new(5, 5, DisabledGuards::default());
    let (holder, term) = sim.wait_for_holder_after(0);
    let released_at = sim.now;
    sim.handle(holder, Input::SetEligible(false));
    assert!(
        sim.participants[holder]
            .as_ref()
            .unwrap()
            .held_term(sim.now, &lease())
            .is_none(),
        "the holder stops acting before the release"
    );
    let (next, _) = sim.wait_for_holder_after(term);
    assert!(
        next != holder && sim.now - released_at < LEASE_DURATION / 4,
        "the release took {} us",
        sim.now - released_at
    );
}

#[test]
fn new_process_of_same_name_waits_out_old_lease() {
    let mut sim = Simulation::new(5, 5, DisabledGuards::default());
    let (holder, term) = sim.wait_for_holder_after(0);
    sim.kill(holder);
    sim.start(holder);
    let at = sim.now;
    let (_, next_term) = sim.wait_for_holder_after(term);
    assert!(
        next_term > term && sim.now - at >= LEASE_DURATION / 2,
        "the lease was granted before the old process's lease expired"
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
    let (holder, term) = sim.wait_for_holder_after(0);
    let (other, outsider) = ((holder + 1) % 5, name(5));
    let effect = |from: &Arc<str>| LeaseEffect {
        lease: lease(),
        term: term + 5,
        holder: from.clone(),
        number: 1,
        content: vec![],
    };
    // A gateway that does not vote sends a forged effect that names another gateway as its holder.
    sim.handle(
        other,
        Input::Frame(outsider.clone(), Body::Effect(effect(&name(holder)))),
    );
    let forged_release = RenewRequest {
        from: LeaseHolder {
            name: name(holder),
            incarnation: 1,
        },
        sequence: 1,
        eligible: false,
        held: vec![],
        released: vec![(lease(), term)],
    };
    for n in 0..5 {
        sim.handle(
            n,
            Input::Frame(
                outsider.clone(),
                Body::RenewLeases(forged_release.clone(), None),
            ),
        );
        sim.handle(
            n,
            Input::Frame(
                outsider.clone(),
                Body::RenewLeases(forged_release.clone(), Some(name(0).to_string())),
            ),
        );
        sim.handle(
            n,
            Input::Frame(outsider.clone(), forged_raft(1, vec![8, 1])),
        );
        sim.handle(n, Input::Frame(outsider.clone(), forged_raft(7, vec![])));
    }
    sim.run(2 * LEASE_DURATION);
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
    let (_, term) = sim.wait_for_holder_after(0);
    sim.run_until("a leader", |sim| {
        sim.participants.iter().flatten().any(Participant::leads)
    });
    let leader = |sim: &Simulation| {
        (0..4).find(|n| {
            sim.participants[*n]
                .as_ref()
                .is_some_and(Participant::leads)
        })
    };
    let joins = Input::ChangeVoters {
        added: Some(name(3)),
        removed: None,
    };
    sim.run(2 * LEASE_DURATION);
    // The new replica polls one voter, which then knows its ID. The exchange succeeds only at the leader, so the test
    // repeats it until the polled voter is the leader.
    for _ in 0..20 {
        if let Some(l) = leader(&sim) {
            sim.handle(l, joins.clone());
        }
        sim.run(LEASE_DURATION);
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
    // Only one of the first three voters is killed: the other two and the added one are a majority of four, which two voters
    // would not be.
    let killed = leader(&sim).filter(|l| *l != 3).unwrap_or(0);
    sim.kill(killed);
    sim.wait_for_holder_after(term);
}

#[test]
fn new_generation_starts_above_all_granted_terms() {
    let mut sim = Simulation::new(3, 3, DisabledGuards::default());
    let (holder, term) = sim.wait_for_holder_after(0);
    let state = sim.participants[holder].as_ref().unwrap().state().clone();
    let disk_record = bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).unwrap();
    let bootstrapped = initial_state(&disk_record);
    let state: State = postcard::from_bytes(&bootstrapped.metadata.snapshot.data).unwrap();
    let lease_record = state.leases.record(&lease());
    assert!(lease_record.holder.is_none() && lease_record.term > term + 1_000_000);
    assert!(
        bootstrap(2, "n1", &["n1".to_owned()], Some(&state)).is_err(),
        "a generation is bootstrapped only once"
    );
    assert!(bootstrap(1, "n9", &["n1".to_owned()], None).is_err());
    assert!(bootstrap(1, "n1", &["n1".to_owned(), "n1".to_owned()], None).is_err());
}
