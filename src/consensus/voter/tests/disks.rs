//! Voters whose disks are outdated, copied, damaged or full.

use super::runs::{run_with_faults, run_with_old_disks};
use super::simulation::{bootstrap_disk, name, Simulation, MS};
use crate::consensus::bootstrap_replica_id;
use crate::consensus::peer_memory::{compare, KnownState};
use crate::consensus::persistent_state::{
    DamagedState, HardState, LogEntry, Metadata, PersistentState,
};
use crate::consensus::voter::{DisabledVoterGuards, Input};

#[test]
fn sending_before_persisting_violates_entry_order() {
    let disabled_guards = DisabledVoterGuards {
        persistence: true,
        ..DisabledVoterGuards::default()
    };
    // Lost state shows as a violation of the order, or earlier as the retirement of a replica.
    let violated = |(sim, agreement): (Simulation, Result<(), String>)| {
        agreement.is_err() || sim.voters.iter().any(|v| v.retired.is_some())
    };
    assert!(
        (0..200).any(|seed| violated(run_with_faults(seed, 3, disabled_guards))),
        "the order holds without the guard too"
    );
    let both = DisabledVoterGuards {
        state_check: true,
        ..disabled_guards
    };
    assert!(
        (0..200).any(|seed| run_with_faults(seed, 3, both).1.is_err()),
        "the order holds without both guards too"
    );
}

#[test]
fn outdated_disk_is_retired_and_needs_state_check_for_that() {
    let mut retired = 0;
    for seed in 0..40 {
        let (sim, agreement) = run_with_old_disks(seed, DisabledVoterGuards::default());
        assert_eq!(agreement, Ok(()), "seed {seed}");
        retired += sim.voters.iter().filter(|v| v.retired.is_some()).count();
    }
    assert!(
        retired > 5,
        "too few replicas with an old disk were retired"
    );
    let disabled_guards = DisabledVoterGuards {
        state_check: true,
        ..DisabledVoterGuards::default()
    };
    let violated = (0..200).any(|seed| run_with_old_disks(seed, disabled_guards).1.is_err());
    assert!(violated, "the order holds without the guard too");
}

#[test]
fn disk_bootstrapped_twice_is_retired() {
    let mut sim = Simulation::new(3, 7, DisabledVoterGuards::default());
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let leader = sim.leader().unwrap();
    sim.propose(leader, 1);
    sim.run_until("agreement", |sim| {
        sim.voters.iter().all(|v| v.applied.len() >= 2)
    });
    let n = (leader + 1) % 3;
    sim.kill(n);
    sim.voters[n].disk = (Some(bootstrap_disk(n, 3).metadata), Vec::new());
    sim.start(n);
    sim.run_until("the retirement", |sim| sim.voters[n].retired.is_some());
    // The retirement is persisted: the next process does not vote either.
    sim.run(100 * MS);
    sim.kill(n);
    sim.voters[n].retired = None;
    sim.start(n);
    assert!(
        sim.voters[n].voter.is_none()
            && sim.voters[n]
                .retired
                .as_ref()
                .is_some_and(|reason| reason.contains("its seat"))
    );
    // The other two continue.
    let before = sim.max_applied();
    let leader = sim.leader().unwrap_or(leader);
    sim.propose(leader, 2);
    sim.run_until("a commit by two voters", |sim| sim.max_applied() > before);
}

#[test]
fn processes_on_copies_of_one_disk_are_distinguished() {
    let own = |boots, process| KnownState {
        boots,
        process,
        term: 3,
        acknowledged: (3, 9),
    };
    assert!(compare(own(4, 1), own(3, 9)).is_ok());
    assert!(compare(own(4, 1), own(4, 1)).is_ok());
    assert!(compare(own(4, 1), own(4, 2)).is_err());
    assert!(compare(own(4, 1), own(5, 2)).is_err());
    // Entries acknowledged in an older term may have been overwritten since.
    let later = KnownState {
        term: 5,
        acknowledged: (5, 8),
        ..own(4, 1)
    };
    assert!(compare(later, own(3, 9)).is_ok());
    assert!(compare(
        KnownState {
            acknowledged: (3, 8),
            ..own(4, 1)
        },
        own(3, 9)
    )
    .is_err());
}

#[test]
fn damaged_log_and_malformed_messages_are_rejected() {
    let entry = |index| LogEntry {
        index,
        term: 1,
        is_conf_change: false,
        data: Vec::new(),
        context: Vec::new(),
    };
    let metadata = |commit| {
        Some(Metadata {
            hard_state: HardState {
                term: 1,
                vote: 0,
                commit,
            },
            ..Metadata::default()
        })
    };
    assert!(PersistentState::from_disk(metadata(2), vec![entry(1), entry(2)]).is_ok());
    assert_eq!(
        PersistentState::from_disk(None, Vec::new()),
        Err(DamagedState::Empty)
    );
    assert_eq!(
        PersistentState::from_disk(metadata(3), vec![entry(1), entry(3)]),
        Err(DamagedState::Gap(2))
    );
    assert_eq!(
        PersistentState::from_disk(metadata(3), vec![entry(1), entry(2)]),
        Err(DamagedState::Truncated {
            last: 2,
            committed: 3
        })
    );
    // Malformed messages from a voter change nothing.
    let mut sim = Simulation::new(3, 29, DisabledVoterGuards::default());
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let (leader, from) = (
        sim.leader().unwrap(),
        bootstrap_replica_id(1, &name((sim.leader().unwrap() + 1) % 3)),
    );
    for bytes in [&b""[..], b"\xff\xff\xff", &[8; 4000]] {
        sim.handle(
            leader,
            Input::Message {
                from,
                boots: 1,
                process: 1,
                bytes,
            },
        );
    }
    assert_eq!(sim.leader(), Some(leader));
}

#[test]
fn voter_with_full_disk_buffers_little_and_catches_up() {
    let mut sim = Simulation::new(3, 31, DisabledVoterGuards::default());
    sim.run_until("a leader", |sim| sim.leader().is_some());
    let leader = sim.leader().unwrap();
    let n = (leader + 1) % 3;
    sim.full_disks.insert(n);
    let mut incarnation = 0;
    for _ in 0..400 {
        incarnation += 1;
        if let Some(leader) = sim.leader() {
            sim.propose(leader, incarnation);
        }
        sim.run(20 * MS);
    }
    assert!(
        sim.voters[n].pending_writes.len() <= 140,
        "{} records are pending",
        sim.voters[n].pending_writes.len()
    );
    assert!(
        sim.max_applied() > 300,
        "the other two voters make no progress"
    );
    sim.full_disks.clear();
    let all_leases = |sim: &Simulation| {
        sim.voters
            .iter()
            .map(|v| v.voter.as_ref().map(|voter| voter.state().leases.clone()))
            .collect::<Vec<_>>()
    };
    sim.run_until("the voter to catch up", |sim| {
        all_leases(sim).windows(2).all(|w| w[0] == w[1])
    });
    assert_eq!(sim.check_agreement(), Ok(()));
}
