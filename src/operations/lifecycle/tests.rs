//! Tests of `operations::lifecycle`.

use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

#[test]
fn draining_gateway_accepts_but_keeps_no_connection() {
    let mut l = Lifecycle::default();
    assert!(!l.is_ready() && !l.accepts(0), "not before it has started");
    l.start();
    assert!(
        l.is_ready()
            && l.accepts(0)
            && l.keeps_alive(0)
            && l.idle_close_deadline(0, 0, 1).is_none()
    );
    assert!(
        l.begin_draining(SECOND) && !l.begin_draining(2 * SECOND),
        "the second call changes nothing"
    );
    assert!(!l.is_ready() && l.accepts(SECOND) && !l.keeps_alive(SECOND));
    let ends: Vec<Micros> = (0..10)
        .filter_map(|n| l.idle_close_deadline(SECOND, n, 10))
        .collect();
    assert!(ends.windows(2).all(|w| w[0] < w[1]), "one after the other");
    assert!(
        ends[0] >= SECOND + DRAIN_CLOSE_FROM && ends[9] <= SECOND + DRAIN_CLOSE_UNTIL,
        "{ends:?}"
    );
    l.resume();
    assert!(
        l.is_ready()
            && l.keeps_alive(2 * SECOND)
            && l.idle_close_deadline(2 * SECOND, 0, 1).is_none()
    );
}

/// In a planned restart without a sibling process, connections of the first 0.6 s are accepted.
#[test]
fn shutdown_accepts_longer_unless_sibling_took_over() {
    for taken_over in [false, true] {
        let mut l = Lifecycle::default();
        l.start();
        assert!(l.begin_shutdown(SECOND, taken_over) && !l.begin_shutdown(SECOND, !taken_over));
        assert!(!l.is_ready());
        assert_eq!(l.accepts(SECOND + 600_000), !taken_over);
        assert_eq!(l.keeps_alive(SECOND + 600_000), !taken_over);
        assert_eq!(l.idle_close_deadline(SECOND, 0, 1).is_some(), taken_over);
        assert!(
            !l.accepts(SECOND + SHUTDOWN_ACCEPT_WINDOW)
                && !l.keeps_alive(SECOND + SHUTDOWN_ACCEPT_WINDOW)
        );
        assert!(
            l.idle_close_deadline(SECOND + SHUTDOWN_ACCEPT_WINDOW, 0, 1)
                .is_some(),
            "idle connections are closed after the accept window"
        );
    }
}

proptest! {
    /// The gateway is ready only if started and neither draining nor shutting down, whatever the
    /// order of calls; a shutdown is final.
    #[test]
    fn calls_in_any_order_keep_readiness_consistent(calls in proptest::collection::vec(0..5u8, 0..40)) {
        let mut l = Lifecycle::default();
        let (mut started, mut draining, mut shutting_down) = (false, false, false);
        for (n, call) in calls.into_iter().enumerate() {
            let now = n as Micros * 100_000;
            match call {
                0 => { l.start(); started = true }
                1 => { l.begin_draining(now); draining = true }
                2 => { l.resume(); draining = false }
                3 => { l.begin_shutdown(now, false); shutting_down = true }
                _ => {}
            }
            prop_assert_eq!(l.is_ready(), started && !draining && !shutting_down);
            prop_assert!(!l.is_ready() || l.accepts(now) && l.keeps_alive(now));
            prop_assert_eq!(l.is_shutting_down(), shutting_down);
            prop_assert!(started || !l.accepts(now));
            prop_assert!(!draining || !l.keeps_alive(now));
        }
    }
}
