//! Tests of leases: one step at a time, and under a model checker.

mod model;
mod simulation;

use std::collections::BTreeSet;

use super::fence::{Fence, FenceError, MAX_FENCED_LEASES};
use super::grantor::{self, GrantReason, LeaseGrantor};
use super::holder::{self, HolderState, Output};
use super::renewal::{RenewReply, RenewRequest};
use super::table::{Entry, LeaseTable};
use super::{LeaseHolder, LeaseName, Term};
use simulation::{gateway, lease, settings, Simulation, ONE_SECOND};

#[test]
fn leases_are_spread_evenly_and_stay_in_place() {
    let mut sim = Simulation::new(5, 20);
    sim.run(5 * ONE_SECOND);
    let holders: Vec<_> = (0..20)
        .map(|d| sim.holder_of(&lease(d)).expect("a holder"))
        .collect();
    for n in 0..5 {
        assert_eq!(
            holders.iter().filter(|holder| **holder == n).count(),
            4,
            "{holders:?}"
        );
    }
    sim.run(60 * ONE_SECOND);
    assert!(
        (0..20).all(|d| sim.held_term(holders[d], &lease(d)) == Some(1)),
        "under their first terms"
    );
    assert!(sim.lost.is_empty());
}

#[test]
fn unreachable_holder_ends_before_next_one_starts() {
    let mut sim = Simulation::new(3, 1);
    sim.run(ONE_SECOND);
    let old = sim.holder_of(&lease(0)).expect("a holder");
    sim.unreachable.insert(old);
    let unreachable_at = sim.now;
    for _ in 0..1_000 {
        sim.run(10_000);
        if sim.holder_of(&lease(0)).is_some_and(|n| n != old) {
            break;
        }
    }
    let next = sim.holder_of(&lease(0)).expect("another holder");
    assert_eq!(
        (
            sim.held_term(next, &lease(0)),
            sim.held_term(old, &lease(0))
        ),
        (Some(2), None)
    );
    assert!(
        sim.now <= unreachable_at + settings().grant_delay() + 20_000,
        "not later than the old one is waited out"
    );
    // The old one still believes in its grant, requests under its old term, and gets nothing.
    sim.unreachable.clear();
    sim.run(5 * ONE_SECOND);
    assert_eq!(sim.held_term(old, &lease(0)), None);
}

#[test]
fn released_lease_is_granted_again_at_once() {
    let mut sim = Simulation::new(3, 1);
    let (old, at) = (sim.holder_of(&lease(0)).unwrap(), sim.now);
    sim.holders[old].handle(at, holder::Input::SetEligible(false));
    assert_eq!(
        sim.held_term(old, &lease(0)),
        None,
        "it stops before it says so"
    );
    sim.pump();
    let next = sim
        .holder_of(&lease(0))
        .expect("another holder without any wait");
    assert!(next != old && sim.now == at);
}

#[test]
fn new_leader_waits_out_previous_leaders_replies() {
    let mut sim = Simulation::new(2, 1);
    sim.run(ONE_SECOND);
    let old = sim.holder_of(&lease(0)).unwrap();
    sim.unreachable.insert(old);
    let mut next = LeaseGrantor::new(settings(), BTreeSet::from([lease(0)]));
    for (name, record) in sim.grantor.table().iter() {
        let (lease, holder) = (name.clone(), record.holder.clone().unwrap());
        next.handle(
            sim.now,
            grantor::Input::Applied(Entry::Grant {
                lease,
                holder,
                term: record.term,
            }),
        );
    }
    sim.run(2 * ONE_SECOND);
    next.handle(sim.now, grantor::Input::BecameLeader);
    sim.grantor = next;
    let elected = sim.now;
    sim.run(settings().grant_delay() - 1);
    assert_eq!(sim.holder_of(&lease(0)), None);
    sim.run(ONE_SECOND);
    assert!(
        sim.holder_of(&lease(0)).is_some_and(|n| n != old)
            && sim.now > elected + settings().duration
    );
}

#[test]
fn grant_learned_late_gives_no_right_to_act() {
    let mut holder = HolderState::new(settings(), gateway(1), 0);
    let grant = Entry::Grant {
        lease: lease(0),
        holder: gateway(1),
        term: 4,
    };
    holder.handle(90 * ONE_SECOND, holder::Input::Applied(grant));
    assert_eq!(holder.held_term(90 * ONE_SECOND, &lease(0)), None);
    let asked = std::iter::from_fn(|| holder.output()).find_map(|o| match o {
        Output::Renew(ask) if !ask.held.is_empty() => Some(ask),
        _ => None,
    });
    let ask = asked.expect("it asks at once");
    // The answer comes when the lease it gives has lost: counted from before the question, not from the answer.
    let (renewed, recalled) = (ask.held, Vec::new());
    let answer = RenewReply {
        to: gateway(1),
        stamp: ask.stamp,
        renewed,
        recalled,
    };
    holder.handle(94 * ONE_SECOND, holder::Input::Reply(answer));
    assert_eq!(holder.held_term(94 * ONE_SECOND, &lease(0)), None);
    assert!(!std::iter::from_fn(|| holder.output()).any(|o| matches!(o, Output::Acquired(..))));
}

#[test]
fn new_process_of_same_name_holds_nothing() {
    let mut sim = Simulation::new(1, 1);
    sim.run(ONE_SECOND);
    assert_eq!(sim.holder_of(&lease(0)), Some(0));
    let again = LeaseHolder {
        incarnation: 8,
        ..gateway(0)
    };
    let mut holder = HolderState::new(settings(), again, sim.now);
    for (name, record) in sim.grantor.table().iter() {
        let (lease, granted_to) = (name.clone(), record.holder.clone().unwrap());
        holder.handle(
            sim.now,
            holder::Input::Applied(Entry::Grant {
                lease,
                holder: granted_to,
                term: record.term,
            }),
        );
    }
    assert_eq!(
        (
            holder.held_term(sim.now, &lease(0)),
            holder.held_leases().count()
        ),
        (None, 0)
    );
}

#[test]
fn leases_move_to_new_gateway_one_at_a_time() {
    let mut sim = Simulation::new(2, 8);
    sim.run(5 * ONE_SECOND);
    sim.holders
        .push(HolderState::new(settings(), gateway(2), sim.now));
    for (lease, record) in sim
        .grantor
        .table()
        .iter()
        .map(|(name, record)| (name.clone(), record.clone()))
        .collect::<Vec<_>>()
    {
        let entry = Entry::Grant {
            lease,
            holder: record.holder.unwrap(),
            term: record.term,
        };
        sim.holders[2].handle(sim.now, holder::Input::Applied(entry));
    }
    sim.run(30 * ONE_SECOND);
    let holders: Vec<_> = (0..8)
        .map(|d| sim.holder_of(&lease(d)).expect("a holder"))
        .collect();
    let loads: Vec<usize> = (0..3)
        .map(|n| holders.iter().filter(|holder| **holder == n).count())
        .collect();
    assert!(loads.iter().all(|l| (2..=3).contains(l)), "{loads:?}");
    assert_eq!(sim.lost.len(), 2, "no more moved than had to");
}

#[test]
fn entries_that_do_not_follow_have_no_effect() {
    let mut table = LeaseTable::default();
    let grant = |n, term| Entry::Grant {
        lease: lease(0),
        holder: gateway(n),
        term,
    };
    let release = |term| Entry::Released {
        lease: lease(0),
        term,
    };
    assert!(table.apply(&grant(1, 1)) && !table.apply(&grant(2, 1)) && !table.apply(&grant(2, 3)));
    assert!(!table.apply(&release(2)) && table.apply(&release(1)) && !table.apply(&release(1)));
    assert!(table.apply(&grant(2, 2)) && !table.apply(&release(1)));
    assert_eq!(table.record(&lease(0)).holder, Some(gateway(2)));
}

#[test]
fn fence_rejects_old_terms_with_the_reason() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit(&lease(0), 0), Err(FenceError::NoTerm));
    assert_eq!(
        (fence.admit(&lease(0), 2), fence.admit(&lease(0), 2)),
        (Ok(true), Ok(false))
    );
    assert_eq!(
        fence.admit(&lease(0), 1),
        Err(FenceError::Stale { term: 1, seen: 2 })
    );
    assert_eq!(
        (fence.admit(&lease(1), 1), fence.seen(&lease(1))),
        (Ok(true), 1)
    );
    for n in 0..2 * MAX_FENCED_LEASES {
        let _ = fence.admit(&lease(n), 1);
    }
    assert_eq!(fence.admit(&"one more".into(), 1), Err(FenceError::TooMany));
}

#[test]
fn grant_reason_follows_the_lease_state() {
    let mut sim = Simulation::new(1, 1);
    assert_eq!(sim.grantor.grant_reason(sim.now, &lease(0)), None);
    sim.unreachable.insert(0);
    sim.run(ONE_SECOND);
    assert_eq!(sim.grantor.grant_reason(sim.now, &lease(0)), None);
    sim.run(ONE_SECOND + 3_000);
    assert_eq!(
        sim.grantor.grant_reason(sim.now, &lease(0)),
        Some(GrantReason::AwaitingExpiry)
    );
    sim.run(10 * ONE_SECOND);
    assert_eq!(
        sim.grantor.grant_reason(sim.now, &lease(0)),
        Some(GrantReason::NoCandidate)
    );
}

/// Another gateway may have led and replied in between: the expiry times from before do not count.
#[test]
fn leader_reelected_unnoticed_waits_again() {
    let mut sim = Simulation::new(2, 1);
    let old = sim.holder_of(&lease(0)).unwrap();
    sim.unreachable.insert(old);
    // The other leader's reply, which the first one does not know of.
    sim.run(2 * ONE_SECOND);
    sim.holders[old].handle(sim.now, holder::Input::Tick);
    let ask = std::iter::from_fn(|| sim.holders[old].output()).find_map(|o| match o {
        Output::Renew(ask) => Some(ask),
        _ => None,
    });
    let ask = ask.expect("it goes on asking");
    let (renewed, recalled) = (vec![(lease(0), 1)], Vec::new());
    let answer = RenewReply {
        to: gateway(old),
        stamp: ask.stamp,
        renewed,
        recalled,
    };
    sim.holders[old].handle(sim.now, holder::Input::Reply(answer));
    assert_eq!(sim.held_term(old, &lease(0)), Some(1));
    sim.grantor.handle(sim.now, grantor::Input::BecameLeader);
    for _ in 0..80 {
        sim.run(ONE_SECOND / 10);
        // Asserts that no two hold it.
        sim.holder_of(&lease(0));
    }
    assert!(sim.holder_of(&lease(0)).is_some_and(|n| n != old));
}

/// Seed 1006 of `owners`: a draining process was granted its lease again three milliseconds after it had released it, and
/// ended while it held it.
#[test]
fn ineligible_gateway_gets_nothing_on_older_request() {
    let ask = |stamp, able, back: Vec<(LeaseName, Term)>| RenewRequest {
        from: gateway(0),
        stamp,
        eligible: able,
        held: vec![],
        released: back,
    };
    let mut grantor = LeaseGrantor::new(settings(), [lease(0)].into());
    grantor.handle(0, grantor::Input::BecameLeader);
    grantor.handle(0, grantor::Input::Renew(ask(1, true, vec![])));
    grantor.handle(2 * ONE_SECOND, grantor::Input::Renew(ask(2, true, vec![])));
    let grant = Entry::Grant {
        lease: lease(0),
        holder: gateway(0),
        term: 1,
    };
    assert_eq!(
        grantor.output(),
        Some(grantor::Output::Propose(grant.clone()))
    );
    grantor.handle(2 * ONE_SECOND, grantor::Input::Applied(grant.clone()));
    grantor.handle(
        2 * ONE_SECOND + 1,
        grantor::Input::Renew(ask(4, false, vec![(lease(0), 1)])),
    );
    grantor.handle(
        2 * ONE_SECOND + 2,
        grantor::Input::Renew(ask(3, true, vec![])),
    );
    let release = Entry::Released {
        lease: lease(0),
        term: 1,
    };
    assert_eq!(
        grantor.output(),
        Some(grantor::Output::Propose(release.clone()))
    );
    grantor.handle(2 * ONE_SECOND + 3, grantor::Input::Applied(release));
    assert_eq!(grantor.output(), None, "granted on a word that came late");
    // And the holder releases what it is granted all the same.
    let mut holder = HolderState::new(settings(), gateway(0), 0);
    holder.handle(0, holder::Input::SetEligible(false));
    while holder.output().is_some() {}
    holder.handle(ONE_SECOND, holder::Input::Applied(grant));
    let Some(Output::Renew(ask)) = holder.output() else {
        panic!("no word of it")
    };
    assert_eq!((ask.held, ask.released), (vec![], vec![(lease(0), 1)]));
}
