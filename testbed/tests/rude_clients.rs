//! Seeds of `soak rude-clients`: usual clients, memory, departures and identities beside clients
//! that flood, stall and leave.

use std::path::PathBuf;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::rude_clients::{play, Scenario, Verdict};

/// Seeds that draw each kind of rude client, with and without a restart.
const SEEDS: std::ops::Range<u64> = 1..17;
/// Seeds that are played at once, each on a core of its own.
const PARALLEL: usize = 2;

#[test]
fn usual_clients_are_served_beside_rude_ones() {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    let seeds: Vec<u64> = SEEDS.collect();
    let mut broken = Vec::new();
    for batch in seeds.chunks(PARALLEL) {
        let threads: Vec<_> = batch
            .iter()
            .enumerate()
            .map(|(place, seed)| {
                let scenario = Scenario::draw(*seed);
                std::thread::spawn(move || play(&scenario, place).expect("the run ends"))
            })
            .collect();
        for thread in threads {
            let verdict = thread.join().expect("a run");
            if !verdict.holds() {
                broken.push(verdict.to_string());
            }
        }
    }
    assert!(
        broken.is_empty(),
        "\n{}\n{}",
        Verdict::HEADING,
        broken.join("\n")
    );
}
