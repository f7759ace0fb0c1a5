//! Simulation runs with random faults.

use super::simulation::{random_below, Simulation, MS};
use crate::consensus::voter::{DisabledVoterGuards, Voter};

pub(super) fn propose_at_leaders(sim: &mut Simulation, incarnation: &mut u64) {
    for n in 0..sim.voters.len() {
        if sim.voters[n].voter.as_ref().is_some_and(Voter::leads) {
            *incarnation += 1;
            sim.propose(n, *incarnation);
        }
    }
}

/// Runs a simulation with faults drawn from the seed: lost and duplicated messages, blocked links, restarts, slow disks.
/// Returns it with the result of its agreement check.
pub(super) fn run_with_faults(
    seed: u64,
    voter_count: usize,
    disabled_guards: DisabledVoterGuards,
) -> (Simulation, Result<(), String>) {
    let mut sim = Simulation::new(voter_count, seed, disabled_guards);
    (sim.loss_percent, sim.duplication_percent) = (
        random_below(&mut sim.seed, 30),
        random_below(&mut sim.seed, 10),
    );
    sim.write_interval_ms = 1 + random_below(&mut sim.seed, 40);
    let mut incarnation = 0;
    for _ in 0..60 {
        let span = 20 * MS + random_below(&mut sim.seed, 400 * MS);
        sim.run(span);
        propose_at_leaders(&mut sim, &mut incarnation);
        let n = random_below(&mut sim.seed, voter_count as u64) as usize;
        match random_below(&mut sim.seed, 10) {
            0..=2 => sim.kill(n),
            3..=5 if sim.voters[n].voter.is_none() => sim.start(n),
            6 => sim
                .blocked
                .extend([(n, random_below(&mut sim.seed, voter_count as u64) as usize)]),
            7 => sim.blocked.clear(),
            _ => {}
        }
    }
    let agreement = sim.check_agreement();
    (sim, agreement)
}

/// Runs a simulation in which the first voter repeatedly restarts with an outdated disk while other voters pause at times.
/// Returns it with the result of its agreement check.
pub(super) fn run_with_old_disks(
    seed: u64,
    disabled_guards: DisabledVoterGuards,
) -> (Simulation, Result<(), String>) {
    let mut sim = Simulation::new(3, seed, disabled_guards);
    sim.loss_percent = random_below(&mut sim.seed, 30);
    let mut incarnation = 0;
    for _ in 0..12 {
        let old_disk = sim.voters[0].disk.clone();
        for _ in 0..4 {
            let span = 20 * MS + random_below(&mut sim.seed, 600 * MS);
            sim.run(span);
            propose_at_leaders(&mut sim, &mut incarnation);
            sim.stopped.clear();
            sim.stopped
                .extend([random_below(&mut sim.seed, 3) as usize]);
        }
        sim.kill(0);
        sim.voters[0].disk = old_disk;
        // During the restart, the voters that observed the newer state are reachable.
        sim.stopped.clear();
        sim.start(0);
        let span = 20 * MS + random_below(&mut sim.seed, 200 * MS);
        sim.run(span);
        if sim.voters[0].retired.is_some() {
            break;
        }
        sim.stopped
            .extend([1 + random_below(&mut sim.seed, 2) as usize]);
    }
    let agreement = sim.check_agreement();
    (sim, agreement)
}
