//! Voters agree on one order of entries, whatever the network does.

use super::runs::run_with_faults;
use super::simulation::{name, Replica, Simulation, MS};
use crate::consensus::bootstrap::{initial_state, new_replica};
use crate::consensus::bootstrap_voter;
use crate::consensus::voter::{DisabledVoterGuards, Input, ENTRIES_PER_SNAPSHOT};
use std::collections::{BTreeMap, VecDeque};

#[test]
fn voters_agree_on_one_order_despite_faults() {
    let mut max_applied = 0;
    for seed in 0..40 {
        let (sim, judged) = run_with_faults(
            seed,
            if seed % 2 == 0 { 3 } else { 5 },
            DisabledVoterGuards::default(),
        );
        assert_eq!(judged, Ok(()), "seed {seed}");
        let retired: Vec<_> = sim
            .voters
            .iter()
            .filter_map(|v| v.retired.clone())
            .collect();
        assert_eq!(
            retired,
            Vec::<String>::new(),
            "seed {seed}: an honest disk was refused"
        );
        max_applied = max_applied.max(sim.max_applied());
    }
    assert!(max_applied > 20, "hardly anything was agreed");
}

#[test]
fn voters_all_killed_recover_committed_entries() {
    let mut sim = Simulation::new(5, 11, DisabledVoterGuards::default());
    sim.until("a leader", |r| r.leader().is_some());
    let leader = sim.leader().unwrap();
    sim.propose(leader, 1);
    sim.until("agreement", |r| {
        r.voters.iter().filter(|v| v.applied.len() >= 2).count() >= 3
    });
    let agreed = sim.max_applied();
    (0..5).for_each(|n| sim.kill(n));
    sim.in_flight.clear();
    (0..5).for_each(|n| sim.start(n));
    sim.until("a leader again", |r| r.leader().is_some());
    let state = sim.voters[sim.leader().unwrap()]
        .voter
        .as_ref()
        .unwrap()
        .state()
        .clone();
    assert!(state.applied >= agreed && state.leases.record(&"d".into()).term == 1);
    assert_eq!(sim.check_agreement(), Ok(()));
}

#[test]
fn voters_commit_nothing_until_quorum_returns() {
    let mut sim = Simulation::new(5, 13, DisabledVoterGuards::default());
    sim.until("a leader", |r| r.leader().is_some());
    let leader = sim.leader().unwrap();
    let gone: Vec<usize> = (0..5).filter(|n| *n != leader).take(3).collect();
    gone.iter().for_each(|n| sim.kill(*n));
    sim.propose(leader, 1);
    // Quorum check: it steps down by itself.
    sim.until("the leader gives up", |r| r.leader().is_none());
    let before = sim.max_applied();
    sim.run(3_000 * MS);
    assert_eq!(sim.max_applied(), before);
    sim.start(gone[0]);
    sim.until("a leader of three", |r| r.leader().is_some());
}

#[test]
fn partitioned_voter_that_returns_does_not_depose_leader() {
    let deposes = |disabled_guards: DisabledVoterGuards| {
        let mut sim = Simulation::new(5, 17, disabled_guards);
        sim.until("a leader", |r| r.leader().is_some());
        sim.run(500 * MS);
        let leader = sim.leader().unwrap();
        let term = sim.voters[leader].voter.as_ref().unwrap().term();
        let n = (leader + 1) % 5;
        // It hears nobody, and all hear it: a flapping link between it and the leader's heartbeats.
        sim.blocked.extend((0..5).map(|m| (m, n)));
        sim.run(3_000 * MS);
        sim.blocked.clear();
        sim.run(1_000 * MS);
        let now = sim
            .leader()
            .map(|l| sim.voters[l].voter.as_ref().unwrap().term());
        now != Some(term)
    };
    assert!(!deposes(DisabledVoterGuards::default()));
    assert!(
        deposes(DisabledVoterGuards {
            pre_vote: true,
            ..DisabledVoterGuards::default()
        }),
        "the run does not need pre-vote"
    );
}

#[test]
fn bounded_log_sends_snapshot_to_lagging_voter() {
    let mut sim = Simulation::new(3, 19, DisabledVoterGuards::default());
    sim.until("a leader", |r| r.leader().is_some());
    let leader = sim.leader().unwrap();
    let n = (leader + 1) % 3;
    sim.kill(n);
    for incarnation in 1..=ENTRIES_PER_SNAPSHOT * 2 {
        sim.propose(leader, incarnation);
        if incarnation % 16 == 0 {
            let before = sim.max_applied();
            sim.until("agreement", |r| r.max_applied() > before);
        }
    }
    sim.run(500 * MS);
    let stored = sim.voters[leader].disk.1.len() as u64;
    assert!(
        stored <= ENTRIES_PER_SNAPSHOT + 64,
        "{stored} entries are stored"
    );
    sim.start(n);
    let leases =
        |r: &Simulation, n: usize| r.voters[n].voter.as_ref().map(|c| c.state().leases.clone());
    sim.until("the state", |r| {
        leases(r, n).is_some() && leases(r, n) == leases(r, leader)
    });
}

#[test]
fn voters_are_exchanged_one_at_a_time() {
    let mut sim = Simulation::new(3, 23, DisabledVoterGuards::default());
    // A fourth with a replica of its own that is not a voter yet.
    let metadata = initial_state(&new_replica(bootstrap_voter(1, &name(3)))).metadata;
    sim.voters.push(Replica {
        voter: None,
        disk: (Some(metadata), Vec::new()),
        writes: VecDeque::new(),
        applied: BTreeMap::new(),
        retired: None,
    });
    sim.start(3);
    sim.until("a leader", |r| r.leader().is_some());
    let leader = sim.leader().unwrap();
    let gone = (leader + 1) % 3;
    sim.kill(gone);
    let added = Some((bootstrap_voter(1, &name(3)), name(3)));
    sim.handle(
        leader,
        Input::ChangeVoters {
            added,
            removed: None,
        },
    );
    let voters = |r: &Simulation, n: usize| {
        r.voters[n]
            .voter
            .as_ref()
            .map_or(0, |c| c.state().voters.len())
    };
    sim.until("the fourth to know", |r| voters(r, 3) == 4);
    sim.handle(
        leader,
        Input::ChangeVoters {
            added: None,
            removed: Some(bootstrap_voter(1, &name(gone))),
        },
    );
    sim.until("three again", |r| {
        voters(r, 3) == 3 && voters(r, leader) == 3
    });
    assert_eq!(sim.check_agreement(), Ok(()));
    // The voters outlive a restart.
    sim.run(200 * MS);
    sim.kill(3);
    sim.start(3);
    sim.until("the fourth to follow again", |r| {
        r.voters[3]
            .voter
            .as_ref()
            .is_some_and(|c| c.leader().is_some() && c.state().voters.len() == 3)
    });
}
