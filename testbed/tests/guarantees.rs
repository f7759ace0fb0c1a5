//! Seeds of `soak guarantees`: what callers were guaranteed is kept while gateways end, tenants
//! change and connections are reset.

use std::path::PathBuf;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::guarantees::play;

/// Consecutive seeds, which cover replays, changes of tenants and keys.
const SEEDS: std::ops::Range<u64> = 1..25;
/// Seeds that are played at once.
const PARALLEL: usize = 4;

/// Guards against replays that are taken, accepted calls that are never answered, and keyed calls
/// that are applied twice.
#[test]
fn guarantees_are_kept_in_drawn_scenarios() {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    let seeds: Vec<u64> = SEEDS.collect();
    let mut broken = Vec::new();
    for batch in seeds.chunks(PARALLEL) {
        let threads: Vec<_> = batch
            .iter()
            .map(|seed| {
                let seed = *seed;
                std::thread::spawn(move || play(seed).expect("the run ends"))
            })
            .collect();
        for thread in threads {
            let verdict = thread.join().expect("a run");
            if !verdict.violations.is_empty() {
                broken.push(verdict.to_string());
            }
        }
    }
    assert!(broken.is_empty(), "\n{}", broken.join("\n"));
}
