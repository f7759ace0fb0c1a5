//! Agreement of voters on one order of entries despite network faults.

use super::runs::run_with_faults;
use super::simulation::{name, Replica, Simulation, MS};
use crate::consensus::bootstrap::{initial_state, new_replica};
use crate::consensus::bootstrap_replica_id;
use crate::consensus::voter::{DisabledVoterGuards, Input, ENTRIES_PER_SNAPSHOT};
use std::collections::{BTreeMap, VecDeque};

#[test]
fn voters_agree_on_one_order_despite_faults() {
    let mut max_applied = 0;
    for seed in 0..40 {
        let (sim, agreement) = run_with_faults(
            seed,
            if seed % 2 == 0 { 3 } else { 5 },
            DisabledVoterGuards::default(),
        );
        assert_eq!(agreement, Ok(()), "seed {seed}");
        let retired: Vec<_> = sim
            .voters
            .iter()
            .filter_map(|v| v.retired.clone())
            .collect();
        assert_eq!(
            retired,
            Vec::<String>::new(),
            "seed {seed}: an intact replica was retired"
        );
        max_applied = max_applied.max(sim.max_applied());
    }
    assert!(max_applied > 20, "too few entries were committed");
}

#[test]
fn voters_all_killed_recover_committed_entries() {
    let mut sim = Simulation::new(5, 11, DisabledVoterGuards::default());
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let leader = sim.leader().unwrap();
    sim.propose(leader, 1);
    sim.run_until("agreement", |sim| {
        sim.voters.iter().filter(|v| v.applied.len() >= 2).count() >= 3
    });
    let committed = sim.max_applied();
    (0..5).for_each(|n| sim.kill(n));
    sim.packets.clear();
    (0..5).for_each(|n| sim.start(n));
    sim.run_until("a new leader", |sim| sim.leader().is_some());
    let state = sim.voters[sim.leader().unwrap()]
        .voter
        .as_ref()
        .unwrap()
        .state()
        .clone();
    assert!(state.applied >= committed && state.leases.record(&"d".into()).term == 1);
    assert_eq!(sim.check_agreement(), Ok(()));
}

#[test]
fn voters_commit_nothing_until_quorum_returns() {
    let mut sim = Simulation::new(5, 13, DisabledVoterGuards::default());
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let leader = sim.leader().unwrap();
    let killed: Vec<usize> = (0..5).filter(|n| *n != leader).take(3).collect();
    killed.iter().for_each(|n| sim.kill(*n));
    sim.propose(leader, 1);
    // The quorum check makes the leader step down.
    sim.run_until("the leader to step down", |sim| sim.leader().is_none());
    let before = sim.max_applied();
    sim.run(3_000 * MS);
    assert_eq!(sim.max_applied(), before);
    sim.start(killed[0]);
    sim.run_until("a leader of three", |sim| sim.leader().is_some());
}

#[test]
fn partitioned_voter_that_returns_does_not_depose_leader() {
    let term_changes = |disabled_guards: DisabledVoterGuards| {
        let mut sim = Simulation::new(5, 17, disabled_guards);
        sim.run_until("a leader", |sim| sim.leader().is_some());
        sim.run(500 * MS);
        let leader = sim.leader().unwrap();
        let term = sim.voters[leader].voter.as_ref().unwrap().term();
        let n = (leader + 1) % 5;
        // The voter receives nothing, but the others receive its messages, as over a flapping link: it would start election
        // after election and raise the term.
        sim.blocked.extend((0..5).map(|m| (m, n)));
        sim.run(3_000 * MS);
        sim.blocked.clear();
        sim.run(1_000 * MS);
        let now = sim
            .leader()
            .map(|l| sim.voters[l].voter.as_ref().unwrap().term());
        now != Some(term)
    };
    assert!(!term_changes(DisabledVoterGuards::default()));
    assert!(
        term_changes(DisabledVoterGuards {
            pre_vote: true,
            ..DisabledVoterGuards::default()
        }),
        "the leader stays without pre-vote too"
    );
}

#[test]
fn bounded_log_sends_snapshot_to_lagging_voter() {
    let mut sim = Simulation::new(3, 19, DisabledVoterGuards::default());
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let leader = sim.leader().unwrap();
    let n = (leader + 1) % 3;
    sim.kill(n);
    for incarnation in 1..=ENTRIES_PER_SNAPSHOT * 2 {
        sim.propose(leader, incarnation);
        if incarnation % 16 == 0 {
            let before = sim.max_applied();
            sim.run_until("agreement", |sim| sim.max_applied() > before);
        }
    }
    sim.run(500 * MS);
    let stored = sim.voters[leader].disk.1.len() as u64;
    assert!(
        stored <= ENTRIES_PER_SNAPSHOT + 64,
        "{stored} entries are stored"
    );
    sim.start(n);
    let leases = |sim: &Simulation, n: usize| {
        sim.voters[n]
            .voter
            .as_ref()
            .map(|voter| voter.state().leases.clone())
    };
    sim.run_until("the lagging voter to catch up", |sim| {
        leases(sim, n).is_some() && leases(sim, n) == leases(sim, leader)
    });
}

#[test]
fn voters_are_added_and_removed_one_at_a_time() {
    let mut sim = Simulation::new(3, 23, DisabledVoterGuards::default());
    // The fourth replica is not a voter yet.
    let metadata = initial_state(&new_replica(bootstrap_replica_id(1, &name(3)))).metadata;
    sim.voters.push(Replica {
        voter: None,
        disk: (Some(metadata), Vec::new()),
        pending_writes: VecDeque::new(),
        applied: BTreeMap::new(),
        retired: None,
    });
    sim.start(3);
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let leader = sim.leader().unwrap();
    let killed = (leader + 1) % 3;
    sim.kill(killed);
    let added = Some((bootstrap_replica_id(1, &name(3)), name(3)));
    sim.handle(
        leader,
        Input::ChangeVoters {
            added,
            removed: None,
        },
    );
    let voters = |sim: &Simulation, n: usize| {
        sim.voters[n]
            .voter
            .as_ref()
            .map_or(0, |voter| voter.state().voters.len())
    };
    sim.run_until("the fourth replica to apply the change", |sim| {
        voters(sim, 3) == 4
    });
    sim.handle(
        leader,
        Input::ChangeVoters {
            added: None,
            removed: Some(bootstrap_replica_id(1, &name(killed))),
        },
    );
    sim.run_until("the removal", |sim| {
        voters(sim, 3) == 3 && voters(sim, leader) == 3
    });
    assert_eq!(sim.check_agreement(), Ok(()));
    // The set of voters survives a restart.
    sim.run(200 * MS);
    sim.kill(3);
    sim.start(3);
    sim.run_until("the fourth voter to follow a leader", |sim| {
        sim.voters[3]
            .voter
            .as_ref()
            .is_some_and(|voter| voter.leader().is_some() && voter.state().voters.len() == 3)
    });
}
