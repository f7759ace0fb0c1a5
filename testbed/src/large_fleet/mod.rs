//! Runs real gateways with thousands of workers and a small share of a core, through releases of
//! the workers, restarts, outages of discovery and stopped processes. Clients and workers record
//! what they send and receive, and the records are judged.

mod clients;
mod judge;
pub(crate) mod neighbours;
mod run;
mod scenario;
mod worker_groups;

use std::io::Result;

pub use judge::Verdict;
pub use run::play;
pub use scenario::{Kill, NewNames, Release, Scenario, Stop, UpdateKind};

/// Plays a release with whole snapshots in fleets of growing size, with a whole core, and prints
/// what a gateway's event loop spent on each activity.
///
/// # Errors
///
/// A process or fake cannot be started, or a gateway has exited by itself.
pub fn measure_costs() -> Result<()> {
    println!("workers activity: passes, total ms, longest ms");
    for workers in [200, 800, 3_200, 12_800] {
        let verdict = play(&Scenario::cost(workers))?;
        for (activity, figures) in verdict.activities() {
            println!("{workers:7} {activity:14} {figures}");
        }
        println!("{verdict}");
    }
    Ok(())
}

/// Plays the reported release in a fleet of 200 workers and in one of 3,200, and prints what a
/// gateway needed in each.
///
/// # Errors
///
/// A process or fake cannot be started, or a gateway has exited by itself.
pub fn compare_growth() -> Result<()> {
    println!("{}", Verdict::HEADER);
    for workers in [200, 3_200] {
        let scenario = Scenario {
            workers,
            busy_neighbours: 0,
            kill: None,
            ..Scenario::reported(1)
        };
        println!("{}", play(&scenario)?);
    }
    Ok(())
}

/// Plays the scenarios of consecutive seeds one after the other and prints a line for each. Returns
/// whether all hold.
///
/// # Errors
///
/// A process or fake cannot be started, or a gateway has exited by itself.
pub fn soak(seeds: u64, first_seed: u64, draw: fn(u64) -> Scenario) -> Result<bool> {
    println!("{}", Verdict::HEADER);
    let mut all_hold = true;
    for seed in first_seed..first_seed + seeds {
        let verdict = play(&draw(seed))?;
        println!("{verdict}");
        all_hold &= verdict.holds();
    }
    Ok(all_hold)
}
