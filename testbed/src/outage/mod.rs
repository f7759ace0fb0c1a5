//! Runs real gateways through outages of service discovery while workers drain, exit and return.
//! Discovery, workers and clients are fakes. Workers record every call and load order they receive,
//! and the records are checked against the time from which gateways must treat a drain as known.

mod clients;
mod discovery;
mod judge;
mod run;
mod scenario;
mod toggled_listener;
mod worker;

use std::io::Result;

pub(crate) use discovery::Discovery;
pub use judge::Verdict;
pub use run::play;
pub(crate) use run::unix_ms;
pub use scenario::{OutageKind, Restarts, Scenario};
pub(crate) use worker::{CommandKind, DrainableWorker, ProcessState, Received};

/// Runs the scenarios that `draw` returns for consecutive seeds, `parallel` at a time, and prints a
/// line for each. Returns whether all passed.
pub fn soak(
    seeds: u64,
    first_seed: u64,
    parallel: usize,
    draw: fn(u64) -> Scenario,
) -> Result<bool> {
    let mut all_passed = true;
    let mut next = first_seed;
    let end = first_seed + seeds;
    println!("{}", Verdict::HEADER);
    while next < end {
        let batch: Vec<u64> = (next..end).take(parallel.max(1)).collect();
        next += batch.len() as u64;
        let threads: Vec<_> = batch
            .into_iter()
            .map(|seed| std::thread::spawn(move || play(&draw(seed))))
            .collect();
        for thread in threads {
            let verdict = thread
                .join()
                .map_err(|_| std::io::Error::other("the thread of a scenario panicked"))??;
            println!("{verdict}");
            all_passed &= verdict.holds();
        }
    }
    Ok(all_passed)
}
