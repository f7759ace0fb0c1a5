//! The decision module under long recorded streams of events: its actions must stay the same to the last bit.
//!
//! Each combination of settings and seed drives one module with pseudo-random events in which what the module sent,
//! ordered and cancelled really ends. Every action is written with its time as a line of text in words of this test's own,
//! and the text's BLAKE3 hash is compared with `tests/fixtures/decisions.txt`, so that a renaming or a reshaping that
//! changes any decision shows. Where decisions are changed on purpose, `UPDATE_FIXTURES=1 cargo test --test decisions`
//! writes the file anew. `DECISIONS_TEXT=<folder>` also writes the texts, to be compared with those of another build.

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

/// Each combination runs once with each.
const SEEDS: [u64; 2] = [1, 0x5eed_0000_0002];
/// Events of one run.
const EVENTS: u64 = 5_200;
/// Runs made at once.
const THREADS: usize = 3;
/// Names a folder into which the texts are written.
const TEXT_VARIABLE: &str = "DECISIONS_TEXT";

/// One combination driven with one seed.
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

/// All runs; made once for all tests.
fn runs() -> &'static [Run] {
    static RUNS: OnceLock<Vec<Run>> = OnceLock::new();
    RUNS.get_or_init(|| {
        let combinations = combinations();
        let pairs: Vec<_> = combinations
            .iter()
            .flat_map(|c| SEEDS.map(|seed| (c, seed)))
            .collect();
        let share_of = &|first: usize| -> Vec<(usize, Run)> {
            let share = pairs.iter().enumerate().skip(first).step_by(THREADS);
            share
                .map(|(place, (combination, seed))| (place, run(combination, *seed)))
                .collect()
        };
        let mut runs: Vec<(usize, Run)> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..THREADS)
                .map(|first| scope.spawn(move || share_of(first)))
                .collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().expect("a run ends"))
                .collect()
        });
        runs.sort_by_key(|(place, _)| *place);
        runs.into_iter().map(|(_, run)| run).collect()
    })
}

/// How often each kind was seen over all runs.
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
fn recorded_streams_hold_every_action() {
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
    // The interface has them, but today's rules never give them.
    for kind in ["unload", "probe"] {
        assert_eq!(
            totals.get(kind),
            None,
            "{kind} is given now: have the stream answer it and list it above"
        );
    }
}

#[test]
fn recorded_streams_hold_every_event() {
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
fn recorded_streams_hold_every_outcome() {
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
        &totals(|record| &record.warmths),
        &["stood", "began", "waited", "load-failed"],
    );
}
