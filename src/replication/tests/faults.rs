//! Primaries that were stopped, lost machines, lost quorum, and graceful shutdown.

use super::simulation::{gateway_name, Simulation, MS, SHARDS};
use crate::replication::config::DisabledGuards;
use crate::replication::error::ReplicationError;
use crate::replication::history::HistoryEvent;
use crate::replication::replicator::Input;

#[test]
fn stale_primary_commits_nothing() {
    let mut simulation = Simulation::new(4, 2, 1, DisabledGuards::default());
    simulation.run(3_000 * MS);
    let stale = simulation.agreed_primary(1);
    simulation.gateways[stale].stopped = true;
    simulation.run(3_000 * MS);
    let primary = simulation.replica_set(1).primary;
    assert_ne!(primary, Some(gateway_name(stale)));

    // The stale primary has not received anything yet, and accepts a record.
    simulation.gateways[stale].stopped = false;
    let waiter = simulation.append_at(stale, 1, Some(vec![1]), 0);
    simulation.run(2_000 * MS);
    assert!(!simulation.committed.contains(&waiter));
    let is_superseded =
        |error: &ReplicationError| matches!(error, ReplicationError::Superseded { shard: 1, .. });
    assert!(
        simulation.rejections.iter().any(is_superseded),
        "{:?}",
        simulation.rejections
    );
    let is_declined =
        |event: &HistoryEvent| matches!(event, HistoryEvent::Declined { shard: 1, .. });
    assert!(simulation.count_events(is_declined) > 0);
    simulation.verify().unwrap();
}

#[test]
fn records_that_need_lost_replicas_are_rejected() {
    let mut simulation = Simulation::new(3, 3, 2, DisabledGuards::default());
    simulation.run(4_000 * MS);
    simulation.append(3);
    simulation.run(200 * MS);
    assert_eq!(simulation.committed.len(), 1, "{:?}", simulation.rejections);

    simulation.lose(0);
    simulation.run(3_000 * MS);
    for _ in 0..20 {
        simulation.append(3);
    }
    simulation.run(500 * MS);
    assert_eq!(simulation.committed.len(), 1);
    let is_too_few = |error: &ReplicationError| {
        matches!(
            error,
            ReplicationError::TooFewReplicas {
                have: 2,
                want: 3,
                ..
            }
        )
    };
    assert!(
        simulation.rejections.iter().all(is_too_few),
        "{:?}",
        simulation.rejections
    );

    for _ in 0..20 {
        simulation.append(0);
    }
    simulation.run(500 * MS);
    assert!(simulation.committed.len() > 10);
    simulation.verify().unwrap();
}

#[test]
fn only_complete_sets_commit_during_quorum_loss() {
    let mut simulation = Simulation::new(4, 2, 3, DisabledGuards::default());
    simulation.run(4_000 * MS);
    simulation.has_quorum = false;
    simulation.run(1_000 * MS);
    simulation.run_traffic(500 * MS);
    assert!(simulation.committed.len() > 20);

    for index in 0..3 {
        simulation.kill(index);
    }
    simulation.run(2_000 * MS);
    let before = simulation.committed.len();
    simulation.run_traffic(1_000 * MS);
    assert_eq!(
        simulation.committed.len(),
        before,
        "the last member of a set committed alone"
    );
    simulation.verify().unwrap();
}

#[test]
fn graceful_shutdown_hands_shards_over_first() {
    let mut simulation = Simulation::new(4, 2, 8, DisabledGuards::default());
    simulation.run(3_000 * MS);
    simulation.run_traffic(300 * MS);
    let leaving = (0..4)
        .find(|index| simulation.primary_count(*index) > 0)
        .unwrap();
    let epochs: Vec<u64> = (1..=SHARDS)
        .map(|shard| simulation.replica_set(shard).epoch)
        .collect();
    simulation.handle(leaving, Input::GracefulShutdown);
    // Well within the failure timeout, after which others would take over by themselves.
    simulation.run(250 * MS);
    assert_eq!(simulation.primary_count(leaving), 0, "{epochs:?}");
    let primaries: usize = (0..4).map(|index| simulation.primary_count(index)).sum();
    assert_eq!(primaries, usize::from(SHARDS));
    simulation.kill(leaving);
    simulation.run_traffic(1_000 * MS);
    simulation.verify().unwrap();
}
