//! The decision module under long streams of events: its actions must stay identical to the
//! recorded ones.
//!
//! Each combination of settings and seed drives one module with pseudo-random events. Every attempt
//! and load order ends as a simulated fleet determines. Each action and its time make one line of
//! text. The keywords of a line are defined here and don't follow the module's names, so that a
//! rename keeps the text and every changed decision alters it. The text's BLAKE3 hash is compared
//! with `tests/fixtures/decisions.txt`. After an intended change of decisions
//! `UPDATE_FIXTURES=1 cargo test --test decisions` rewrites the file. `DECISIONS_TEXT=<folder>` also
//! writes the texts, for a comparison with another build.

#[path = "decisions/combinations.rs"]
mod combinations;
#[path = "decisions/driver.rs"]
mod driver;
#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "decisions/fleet.rs"]
mod fleet;
#[path = "decisions/random.rs"]
mod random;
#[path = "decisions/record.rs"]
mod record;

use std::collections::BTreeMap;
use std::sync::OnceLock;

use combinations::{combinations, Combination};
use driver::Driver;
use record::Record;

/// The seeds with which each combination runs.
const SEEDS: [u64; 2] = [1, 0x5eed_0000_0002];
/// The number of events in a run.
const EVENTS: u64 = 5_200;
/// The number of threads that execute runs in parallel.
const THREADS: usize = 3;
/// The environment variable that names the folder for the texts.
const TEXT_VARIABLE: &str = "DECISIONS_TEXT";

/// The result of one combination with one seed.
struct Run {
    name: String,
    record: Record,
}

fn run(combination: &Combination, seed: u64) -> Run {
    let name = format!("{} seed={seed}", combination.name);
    let record = Driver::new(combination, seed).run(EVENTS);
    if let Some(folder) = std::env::var_os(TEXT_VARIABLE) {
        let path = std::path::Path::new(&folder).join(format!("{}-{seed}.txt", combination.name));
        std::fs::write(path, record.text()).expect("the text can be written");
    }
    Run { name, record }
}

/// Returns all runs, which are executed once for all tests.
fn runs() -> &'static [Run] {
    static RUNS: OnceLock<Vec<Run>> = OnceLock::new();
    RUNS.get_or_init(|| {
        let combinations = combinations();
        let pairs: Vec<_> = combinations
            .iter()
            .flat_map(|c| SEEDS.map(|seed| (c, seed)))
            .collect();
        let run_share = &|first: usize| -> Vec<(usize, Run)> {
            let share = pairs.iter().enumerate().skip(first).step_by(THREADS);
            share
                .map(|(place, (combination, seed))| (place, run(combination, *seed)))
                .collect()
        };
        let mut runs: Vec<(usize, Run)> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..THREADS)
                .map(|first| scope.spawn(move || run_share(first)))
                .collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().expect("a run does not panic"))
                .collect()
        });
        runs.sort_by_key(|(place, _)| *place);
        runs.into_iter().map(|(_, run)| run).collect()
    })
}

/// Sums the counts of each kind over all runs.
fn totals(counts: impl Fn(&Record) -> &BTreeMap<&'static str, u64>) -> BTreeMap<&'static str, u64> {
    let mut totals = BTreeMap::new();
    for run in runs() {
        for (kind, count) in counts(&run.record) {
            *totals.entry(*kind).or_default() += count;
        }
    }
    totals
}

fn assert_seen(totals: &BTreeMap<&'static str, u64>, kinds: &[&str]) {
    for kind in kinds {
        assert!(
            totals.get(kind).is_some_and(|count| *count > 0),
            "no {kind} among {totals:?}"
        );
    }
}

#[test]
fn decisions_match_their_recorded_hashes() {
    let lines: Vec<String> = runs()
        .iter()
        .map(|run| run.record.line(&run.name))
        .collect();
    fixtures::check_lines("decisions.txt", &lines);
}

#[test]
fn recorded_streams_contain_every_action() {
    let totals = totals(|record| &record.actions);
    assert_seen(
        &totals,
        &[
            "send",
            "cancel",
            "refuse",
            "fail",
            "order",
            "ask",
            "wake",
            "subscribe",
        ],
    );
    // The interface defines these actions, but the current rules never produce them.
    for kind in ["unload", "probe"] {
        assert_eq!(
            totals.get(kind),
            None,
            "{kind} is now produced: have the driver answer it and list it above"
        );
    }
}

#[test]
fn recorded_streams_contain_every_event() {
    let kinds = [
        "members",
        "request",
        "ended",
        "streaming",
        "gone",
        "loaded",
        "probed",
        "rumour",
        "share",
        "limits",
        "wake",
    ];
    assert_seen(&totals(|record| &record.events), &kinds);
}

#[test]
fn recorded_streams_contain_every_outcome_and_copy_start() {
    let outcomes = [
        "ok",
        "error",
        "full",
        "timeout",
        "connect-failed",
        "reset",
        "cancelled",
        "moot",
        "miss",
    ];
    assert_seen(&totals(|record| &record.outcomes), &outcomes);
    assert_seen(
        &totals(|record| &record.copy_starts),
        &["stood", "began", "waited", "load-failed"],
    );
}
