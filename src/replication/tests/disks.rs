//! Disks that are damaged, are full, or lose what they reported as written.

use super::simulation::{gateway_name, Simulation, MS};
use crate::replication::config::DisabledGuards;
use crate::replication::history::HistoryEvent;

fn is_repair(event: &HistoryEvent) -> bool {
    matches!(
        event,
        HistoryEvent::Repaired {
            shard: 1,
            accepted: false
        }
    )
}

fn is_accepted_damage(event: &HistoryEvent) -> bool {
    matches!(
        event,
        HistoryEvent::Repaired {
            shard: 1,
            accepted: true
        }
    )
}

/// Runs a simulation until shards have primaries and records.
fn start(gateways: usize, seed: u64, disabled_guards: DisabledGuards) -> Simulation {
    let mut simulation = Simulation::new(gateways, 2, seed, disabled_guards);
    simulation.run(3_000 * MS);
    simulation.run_traffic(500 * MS);
    simulation.run(300 * MS);
    simulation
}

#[test]
fn damaged_replica_is_repaired_from_primary() {
    for integrity_check in [false, true] {
        let disabled_guards = DisabledGuards {
            integrity_check,
            ..DisabledGuards::default()
        };
        let mut simulation = start(4, 21, disabled_guards);
        let primary = simulation.agreed_primary(1);
        let members = simulation.members(1);
        let replica = (0..4)
            .find(|index| *index != primary && members.contains(&gateway_name(*index)))
            .unwrap();
        assert!(simulation.gateways[replica].disk.damage(1));
        simulation.run_traffic(1_500 * MS);
        assert_eq!(
            simulation.verify().is_err(),
            integrity_check,
            "the guard has it repaired"
        );
        assert_eq!(simulation.count_events(is_repair) > 0, !integrity_check);
        assert!(
            integrity_check || simulation.agreed_primary(1) == primary,
            "damage of a replica changes no primary"
        );
    }
}

#[test]
fn damaged_primary_hands_over_and_is_repaired() {
    let mut simulation = start(4, 22, DisabledGuards::default());
    let primary = simulation.agreed_primary(1);
    assert!(simulation.gateways[primary].disk.damage(1));
    simulation.run_traffic(2_000 * MS);
    assert_ne!(simulation.agreed_primary(1), primary);
    simulation.verify().unwrap();
    let is_damage = |event: &HistoryEvent| matches!(event, HistoryEvent::Damaged { shard: 1, .. });
    assert!(simulation.count_events(is_damage) > 0);
}

#[test]
fn only_disk_accepts_damage_and_reports_it() {
    let mut simulation = Simulation::new(1, 1, 23, DisabledGuards::default());
    simulation.run(2_000 * MS);
    simulation.run_traffic(500 * MS);
    assert!(simulation.gateways[0].disk.damage(1));
    simulation.run(2_000 * MS);
    assert_eq!(simulation.count_events(is_accepted_damage), 1);
    let before = simulation.committed.len();
    simulation.run_traffic(500 * MS);
    assert!(simulation.committed.len() > before);
}

/// Guards against calls that run twice because a primary reads its own shard's state a second time,
/// and takes its own work in progress for that of another process.
#[test]
fn open_shard_is_not_read_again_after_accepted_damage() {
    let mut simulation = Simulation::new(1, 1, 27, DisabledGuards::default());
    simulation.run(2_000 * MS);
    simulation.run_traffic(500 * MS);
    assert!(simulation.gateways[0].disk.damage(1));
    simulation.run_traffic(2_000 * MS);
    assert_eq!(simulation.count_events(is_accepted_damage), 1);
    let reads = simulation.state_reads.iter();
    assert_eq!(reads.filter(|(_, shard)| *shard == 1).count(), 1);
}

/// A primary whose first read of the state fails reads it after the damage was accepted.
#[test]
fn damaged_shard_is_read_after_accepted_damage() {
    let mut simulation = Simulation::new(1, 1, 28, DisabledGuards::default());
    simulation.run(2_000 * MS);
    simulation.run_traffic(500 * MS);
    simulation.kill(0);
    assert!(simulation.gateways[0].disk.damage(1));
    simulation.state_reads.clear();
    simulation.start(0);
    simulation.run(2_000 * MS);
    assert_eq!(simulation.count_events(is_accepted_damage), 1);
    let reads = simulation.state_reads.iter();
    assert_eq!(reads.filter(|(_, shard)| *shard == 1).count(), 1);
}

/// Guards against the loss of committed data because a single read reports damage of an intact
/// disk.
#[test]
fn damage_read_only_once_is_not_accepted() {
    let mut simulation = Simulation::new(1, 1, 26, DisabledGuards::default());
    simulation.run(2_000 * MS);
    simulation.run_traffic(500 * MS);
    simulation.kill(0);
    simulation.gateways[0].false_alarms = 1;
    simulation.start(0);
    simulation.run(2_000 * MS);
    assert_eq!(simulation.gateways[0].false_alarms, 0);
    let is_any_repair = |event: &HistoryEvent| matches!(event, HistoryEvent::Repaired { .. });
    assert_eq!(simulation.count_events(is_any_repair), 0);
    let is_refuted = |event: &HistoryEvent| matches!(event, HistoryEvent::DamageRefuted { .. });
    assert_eq!(simulation.count_events(is_refuted), 1);
    let before = simulation.committed.len();
    simulation.run_traffic(500 * MS);
    assert!(simulation.committed.len() > before);
    simulation.verify().unwrap();
}

/// The other member has all committed records, so the damaged primary accepts no damage meanwhile.
#[test]
fn damaged_primary_waits_for_intact_member() {
    let mut simulation = start(2, 24, DisabledGuards::default());
    let primary = simulation.agreed_primary(1);
    simulation.kill(1 - primary);
    assert!(simulation.gateways[primary].disk.damage(1));
    simulation.run(6_000 * MS);
    let is_any_repair =
        |event: &HistoryEvent| matches!(event, HistoryEvent::Repaired { shard: 1, .. });
    assert_eq!(simulation.count_events(is_any_repair), 0);
    let is_wait =
        |event: &HistoryEvent| matches!(event, HistoryEvent::WaitingForReplica { shard: 1, .. });
    assert_eq!(simulation.count_events(is_wait), 1, "it is reported once");
    simulation.start(1 - primary);
    simulation.run(4_000 * MS);
    simulation.verify().unwrap();
    assert_eq!(simulation.count_events(is_repair), 1);
}

/// A primary whose disk is full is replaced by another member, and a replica by another gateway.
#[test]
fn gateway_with_full_disk_is_replaced() {
    for is_replica in [false, true] {
        let mut simulation = Simulation::new(4, 2, 25, DisabledGuards::default());
        simulation.run(3_000 * MS);
        simulation.run_traffic(300 * MS);
        let primary = simulation.agreed_primary(1);
        let members = simulation.members(1);
        let full = (0..4)
            .find(|index| {
                members.contains(&gateway_name(*index)) && (*index != primary) == is_replica
            })
            .unwrap();
        simulation.gateways[full].disk_full = true;
        simulation.run_traffic(5_000 * MS);
        assert_eq!(simulation.primary_count(full), 0, "replica {is_replica}");
        let before = simulation.committed.len();
        simulation.run_traffic(1_000 * MS);
        assert!(
            simulation.committed.len() > before + 20,
            "replica {is_replica}: {} after {before}",
            simulation.committed.len()
        );
        simulation.verify().unwrap();
    }
}

/// A disk loses records that it reported as written when its process restarts, and the primary's
/// machine is lost before it sends them again. The third member has the records: it has to become
/// the primary instead of being overwritten.
#[test]
fn member_with_more_records_becomes_primary() {
    for ahead_check in [false, true] {
        let mut failures = 0;
        for seed in 30..42 {
            let disabled_guards = DisabledGuards {
                ahead_check,
                ..DisabledGuards::default()
            };
            let mut simulation = Simulation::new(3, 3, seed, disabled_guards);
            simulation.run(4_000 * MS);
            simulation.run_traffic(600 * MS);
            simulation.run(300 * MS);
            let primary = simulation.agreed_primary(1);
            let faulty = (primary + 1 + (seed as usize) % 2) % 3;
            simulation.gateways[faulty].lost_records = 5;
            // The connection to the primary is cut, so that the lost records are not sent again.
            simulation.partitions.insert((primary, faulty));
            simulation.partitions.insert((faulty, primary));
            simulation.kill(faulty);
            simulation.start(faulty);
            simulation.run(20 * MS);
            simulation.lose(primary);
            simulation.run(3_000 * MS);
            simulation.start(primary);
            simulation.partitions.clear();
            simulation.run(3_000 * MS);
            failures += usize::from(simulation.verify().is_err());
        }
        assert_eq!(failures > 0, ahead_check, "{failures} of 12 lost something");
    }
}
