//! Random faults. The number of machines lost at once never exceeds what the replicas tolerate.

use super::simulation::{Simulation, MS, SHARDS};
use crate::replication::config::DisabledGuards;

const GATEWAYS: usize = 6;
const FAULTS: usize = 6;

/// Runs traffic with faults drawn by the seed, and returns the number of records that were
/// committed.
fn run_trial(seed: u64, replicas: usize, disabled_guards: DisabledGuards) -> Result<usize, String> {
    let mut simulation = Simulation::new(GATEWAYS, replicas, seed, disabled_guards);
    simulation.run(3_000 * MS);
    for _ in 0..FAULTS {
        simulation.run_traffic(300 * MS);
        let victim = simulation.random_below(GATEWAYS as u64) as usize;
        match simulation.random_below(10) {
            0 => lose_machines(&mut simulation, victim, replicas),
            1 => restart(&mut simulation, victim),
            2 => stop_process(&mut simulation, victim),
            3 => isolate(&mut simulation, victim, seed.is_multiple_of(2)),
            4 => lose_messages(&mut simulation),
            5 => lose_quorum(&mut simulation),
            6 => restart_all(&mut simulation),
            7 => fill_disk(&mut simulation, victim),
            8 => damage_disk(&mut simulation, victim),
            _ => restore_old_disk(&mut simulation, victim),
        }
    }
    simulation.verify().map(|()| simulation.committed.len())
}

/// Loses machines with their disks, and waits for the repair before the next fault.
fn lose_machines(simulation: &mut Simulation, first: usize, replicas: usize) {
    let count = 1 + simulation.random_below(replicas as u64 - 1) as usize;
    let lost: Vec<usize> = (0..count)
        .map(|offset| (first + offset) % GATEWAYS)
        .collect();
    for index in &lost {
        simulation.lose(*index);
    }
    simulation.run_traffic(1_500 * MS);
    for index in &lost {
        simulation.start(*index);
    }
    simulation.run_traffic(3_000 * MS);
}

fn restart(simulation: &mut Simulation, index: usize) {
    simulation.kill(index);
    let span = simulation.random_below(1_500);
    simulation.run_traffic(span * MS);
    simulation.start(index);
}

fn stop_process(simulation: &mut Simulation, index: usize) {
    simulation.gateways[index].stopped = true;
    simulation.run_traffic(1_500 * MS);
    simulation.gateways[index].stopped = false;
}

fn isolate(simulation: &mut Simulation, index: usize, both_ways: bool) {
    for other in 0..GATEWAYS {
        simulation.partitions.insert((index, other));
        if both_ways {
            simulation.partitions.insert((other, index));
        }
    }
    simulation.run_traffic(1_500 * MS);
    simulation.partitions.clear();
}

fn lose_messages(simulation: &mut Simulation) {
    simulation.loss_percent = 30;
    simulation.run_traffic(1_500 * MS);
    simulation.loss_percent = 0;
}

fn lose_quorum(simulation: &mut Simulation) {
    simulation.has_quorum = false;
    simulation.run_traffic(1_000 * MS);
    simulation.has_quorum = true;
}

/// Restarts all processes at once, as after a power failure.
fn restart_all(simulation: &mut Simulation) {
    for index in 0..GATEWAYS {
        simulation.kill(index);
    }
    for index in 0..GATEWAYS {
        simulation.start(index);
    }
    simulation.run_traffic(1_000 * MS);
}

fn fill_disk(simulation: &mut Simulation, index: usize) {
    simulation.gateways[index].disk_full = true;
    simulation.run_traffic(2_500 * MS);
    simulation.gateways[index].disk_full = false;
    simulation.run_traffic(500 * MS);
}

/// Damages a single disk, and not during the repair of another one, because records that are
/// damaged on all disks of a set are lost.
fn damage_disk(simulation: &mut Simulation, index: usize) {
    simulation.run(2_000 * MS);
    for shard in 1..=SHARDS {
        simulation.gateways[index].disk.damage(shard);
    }
    simulation.run_traffic(3_000 * MS);
}

/// Replaces a disk by an old copy of it.
fn restore_old_disk(simulation: &mut Simulation, index: usize) {
    let old = simulation.gateways[index].disk.clone();
    simulation.kill(index);
    simulation.start(index);
    simulation.run_traffic(1_000 * MS);
    simulation.kill(index);
    simulation.run_traffic(500 * MS);
    simulation.gateways[index].disk = old;
    simulation.start(index);
    simulation.run_traffic(3_000 * MS);
}

#[test]
fn committed_records_survive_random_faults() {
    for seed in 0..14 {
        for replicas in [2, 3] {
            let committed = run_trial(seed, replicas, DisabledGuards::default());
            let committed = committed
                .unwrap_or_else(|error| panic!("seed {seed}, {replicas} replicas: {error}"));
            assert!(committed > 50, "seed {seed}: only {committed} committed");
        }
    }
}

#[test]
fn disabled_guards_are_detected_by_random_faults() {
    let guards = [
        (
            "full_acknowledgement",
            DisabledGuards {
                full_acknowledgement: true,
                ..DisabledGuards::default()
            },
        ),
        (
            "chain_check",
            DisabledGuards {
                chain_check: true,
                ..DisabledGuards::default()
            },
        ),
    ];
    for (name, disabled_guards) in guards {
        let is_detected = (0..120).any(|seed| {
            let result = std::panic::catch_unwind(|| run_trial(seed, 2, disabled_guards));
            !matches!(result, Ok(Ok(_)))
        });
        assert!(is_detected, "nothing was detected without {name}");
    }
}
