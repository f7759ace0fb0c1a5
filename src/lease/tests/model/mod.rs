//! Leases under a model checker: every order of lost, duplicated and late messages, of stopped processes, and of leaders that
//! do not know that they lost leadership, at small bounds.
//!
//! Time is one number that all processes read when they do something; a stopped process is one that does nothing while it
//! grows. A request or a reply may arrive at any later time or never, and some of them twice. A run starts with a grant that
//! only the leader knows of.

mod scenario;

use stateright::{Checker, HasDiscoveries, Model};

use crate::lease::Settings;
use scenario::Scenario;

/// More states than any scenario here has.
const MAX_STATES: usize = 4_000_000;

/// Explores all states; returns the names of the properties that do not hold, and the number of states.
fn violated(scenario: Scenario) -> (Vec<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let checker = scenario
        .checker()
        .threads(threads)
        .target_state_count(MAX_STATES);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let all = checker.model().properties();
    let missed = all.iter().filter(|p| {
        let found = checker.discovery(p.name).is_some();
        found != matches!(p.expectation, stateright::Expectation::Sometimes)
    });
    (
        missed.map(|p| p.name).collect(),
        checker.unique_state_count(),
    )
}

fn holds(scenario: Scenario) {
    let (violated, states) = violated(scenario.clone());
    println!("{states} states: {scenario:?}");
    assert_eq!(violated, Vec::<&str>::new());
    assert!(states < MAX_STATES, "not played through");
}

#[test]
fn single_holder_despite_late_or_lost_messages() {
    holds(Scenario::guarded(2, 1, 1));
}

#[test]
fn single_holder_despite_duplicated_messages() {
    holds(Scenario {
        duplicates: 1,
        ..Scenario::guarded(2, 0, 1)
    });
}

#[test]
fn effect_delayed_for_any_time_is_rejected() {
    holds(Scenario {
        late_effects: true,
        ..Scenario::guarded(3, 0, 2)
    });
}

/// With each guard switched off, the checker must find what it prevents.
#[test]
fn each_disabled_guard_is_detected() {
    let guarded = Scenario::guarded(3, 0, 2);
    let (found, _) = violated(Scenario {
        fences: false,
        late_effects: true,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"terms in order"),
        "without terms at the receiver: {found:?}"
    );
    let long = Settings {
        duration: 4,
        drift_ppm: 0,
    };
    let (found, _) = violated(Scenario {
        holder: long,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"one at a time"),
        "without the grantor's margin: {found:?}"
    );
    let (found, _) = violated(Scenario {
        confirms: false,
        ..Scenario::guarded(2, 1, 1)
    });
    assert!(
        found.contains(&"one at a time"),
        "without a majority's word: {found:?}"
    );
}
