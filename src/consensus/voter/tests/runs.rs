//! Runs with random faults.

use super::simulation::{below, Simulation, MS};
use crate::consensus::voter::{DisabledVoterGuards, Voter};

pub(super) fn propose_all(sim: &mut Simulation, incarnation: &mut u64) {
    for n in 0..sim.voters.len() {
        if sim.voters[n].voter.as_ref().is_some_and(Voter::leads) {
            *incarnation += 1;
            sim.propose(n, *incarnation);
        }
    }
}

/// One run with faults drawn from the seed: lost and duplicated messages, blocked links, restarts, slow disks.
pub(super) fn run_with_faults(
    seed: u64,
    of: usize,
    disabled_guards: DisabledVoterGuards,
) -> (Simulation, Result<(), String>) {
    let mut sim = Simulation::new(of, seed, disabled_guards);
    (sim.lost_percent, sim.duplicated_percent) =
        (below(&mut sim.seed, 30), below(&mut sim.seed, 10));
    sim.write_interval_ms = 1 + below(&mut sim.seed, 40);
    let mut incarnation = 0;
    for _ in 0..60 {
        let span = 20 * MS + below(&mut sim.seed, 400 * MS);
        sim.run(span);
        propose_all(&mut sim, &mut incarnation);
        let n = below(&mut sim.seed, of as u64) as usize;
        match below(&mut sim.seed, 10) {
            0..=2 => sim.kill(n),
            3..=5 if sim.voters[n].voter.is_none() => sim.start(n),
            6 => sim
                .blocked
                .extend([(n, below(&mut sim.seed, of as u64) as usize)]),
            7 => sim.blocked.clear(),
            _ => {}
        }
    }
    let judged = sim.check_agreement();
    (sim, judged)
}

/// One run in which the first voter repeatedly restarts with an outdated disk, while others are stopped at times.
pub(super) fn run_with_old_disks(
    seed: u64,
    disabled_guards: DisabledVoterGuards,
) -> (Simulation, Result<(), String>) {
    let mut sim = Simulation::new(3, seed, disabled_guards);
    sim.lost_percent = below(&mut sim.seed, 30);
    let mut incarnation = 0;
    for _ in 0..12 {
        let old = sim.voters[0].disk.clone();
        for _ in 0..4 {
            let span = 20 * MS + below(&mut sim.seed, 600 * MS);
            sim.run(span);
            propose_all(&mut sim, &mut incarnation);
            sim.stopped.clear();
            sim.stopped.extend([below(&mut sim.seed, 3) as usize]);
        }
        sim.kill(0);
        sim.voters[0].disk = old;
        // The voters that know of the newer state are reachable; later state is unknown to them.
        sim.stopped.clear();
        sim.start(0);
        let span = 20 * MS + below(&mut sim.seed, 200 * MS);
        sim.run(span);
        if sim.voters[0].retired.is_some() {
            break;
        }
        sim.stopped.extend([1 + below(&mut sim.seed, 2) as usize]);
    }
    let judged = sim.check_agreement();
    (sim, judged)
}
