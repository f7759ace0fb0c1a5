//! Plays a real gateway against clients that flood, stall, hold memory or disconnect, beside usual
//! clients that must not notice. The seed draws kinds, numbers, limits, the share of a core, and a
//! restart: signals in series, then a kill at the earliest that the platform allows.

mod crowd;
mod judge;
mod records;
mod run;
mod scenario;
mod usual;
mod worker;

pub use judge::Verdict;
pub use run::play;
pub use scenario::Scenario;

/// Plays consecutive seeds, `parallel` at a time, and prints a line for each. Returns whether all
/// verdicts are good.
///
/// # Errors
///
/// A process or fake cannot be started, or a gateway has exited by itself.
pub fn soak(seeds: u64, first_seed: u64, parallel: usize) -> std::io::Result<bool> {
    let mut all_hold = true;
    let all: Vec<u64> = (first_seed..first_seed + seeds).collect();
    println!("{}", Verdict::HEADING);
    for batch in all.chunks(parallel.max(1)) {
        let threads: Vec<_> = batch
            .iter()
            .enumerate()
            .map(|(place, seed)| {
                let scenario = Scenario::draw(*seed);
                std::thread::spawn(move || play(&scenario, place))
            })
            .collect();
        for thread in threads {
            let verdict = thread
                .join()
                .map_err(|_| std::io::Error::other("the thread of a seed panicked"))??;
            println!("{verdict}");
            all_hold &= verdict.holds();
        }
    }
    Ok(all_hold)
}
