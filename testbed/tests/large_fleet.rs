//! Guards against answers that come late, or never, because a gateway's loop was held: by a list of
//! thousands of workers, or by anything else (`docs/incidents/2026-12-04-held-event-loop.md`).

use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::large_fleet::{play, Scenario, Verdict};

/// A gateway built without optimisation does about a tenth as much with a whole core as an
/// optimised one does, so it shares its core with nobody.
fn with_fitting_share(scenario: Scenario) -> Scenario {
    Scenario {
        busy_neighbours: if cfg!(debug_assertions) {
            0
        } else {
            scenario.busy_neighbours
        },
        ..scenario
    }
}

/// One fleet at a time: two would share cores.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    static FLEET: Mutex<()> = Mutex::new(());
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_holds(verdict: &Verdict) {
    assert!(verdict.holds(), "\n{}\n{verdict}", Verdict::HEADER);
}

#[test]
fn release_of_thousands_of_workers_loses_no_answer() {
    let _guard = one_at_a_time();
    let scenario = with_fitting_share(Scenario::reported(1));
    assert_holds(&play(&scenario).expect("the run ends"));
}

#[test]
fn requests_read_late_are_answered_by_their_clients_deadlines() {
    let _guard = one_at_a_time();
    assert_holds(&play(&Scenario::held_loop(1)).expect("the run ends"));
}

/// Fixed seeds of `soak large-fleet`: signals in series and a kill at once, stops, a crowd,
/// snapshots and deltas.
#[test]
fn drawn_fleets_answer_in_time_and_respect_drains() {
    let _guard = one_at_a_time();
    for seed in [9_004, 9_009, 9_016] {
        let scenario = with_fitting_share(Scenario::draw(seed));
        assert_holds(&play(&scenario).expect("the run ends"));
    }
}
