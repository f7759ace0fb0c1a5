//! Leases under a model checker. Within small bounds, it explores every order of lost, duplicated and late messages, of paused
//! processes, and of leaders that do not know that they lost leadership.
//!
//! All processes share one clock and read it when they take a step; a paused process takes no step while time advances. A
//! request or reply may arrive at any later time or never, and a bounded number of them twice. A run starts with a grant that
//! only the grantors have applied.

mod scenario;

use stateright::{Checker, HasDiscoveries, Model};

use crate::lease::Settings;
use scenario::Scenario;

/// The limit of explored states, above the number of any scenario in this file.
const MAX_STATES: usize = 4_000_000;

/// Explores all states. Returns the names of the properties that do not hold, and the number of states.
fn violated_properties(scenario: Scenario) -> (Vec<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let checker = scenario
        .checker()
        .threads(threads)
        .target_state_count(MAX_STATES);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let properties = checker.model().properties();
    let violated = properties.iter().filter(|property| {
        let is_found = checker.discovery(property.name).is_some();
        is_found != matches!(property.expectation, stateright::Expectation::Sometimes)
    });
    (
        violated.map(|property| property.name).collect(),
        checker.unique_state_count(),
    )
}

fn assert_properties_hold(scenario: Scenario) {
    let (violated, states) = violated_properties(scenario.clone());
    println!("{states} states: {scenario:?}");
    assert_eq!(violated, Vec::<&str>::new());
    assert!(
        states < MAX_STATES,
        "the state limit was reached before all states were explored"
    );
}

#[test]
fn single_holder_despite_late_or_lost_messages() {
    assert_properties_hold(Scenario::guarded(2, 1, 1));
}

#[test]
fn single_holder_despite_duplicated_messages() {
    assert_properties_hold(Scenario {
        duplicates: 1,
        ..Scenario::guarded(2, 0, 1)
    });
}

#[test]
fn effect_delayed_for_any_time_is_rejected() {
    assert_properties_hold(Scenario {
        late_effects: true,
        ..Scenario::guarded(3, 0, 2)
    });
}

/// With a guard disabled, the checker must find the violation that the guard prevents.
#[test]
fn each_disabled_guard_is_detected() {
    let guarded = Scenario::guarded(3, 0, 2);
    let (found, _) = violated_properties(Scenario {
        fences: false,
        late_effects: true,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"effects in term order"),
        "without fences at the receivers: {found:?}"
    );
    let long_lease = Settings {
        duration: 4,
        drift_ppm: 0,
    };
    let (found, _) = violated_properties(Scenario {
        holder: long_lease,
        ..guarded.clone()
    });
    assert!(
        found.contains(&"at most one holder"),
        "without the grantor's margin: {found:?}"
    );
    let (found, _) = violated_properties(Scenario {
        requires_leadership: false,
        ..Scenario::guarded(2, 1, 1)
    });
    assert!(
        found.contains(&"at most one holder"),
        "without a majority's confirmation: {found:?}"
    );
}
