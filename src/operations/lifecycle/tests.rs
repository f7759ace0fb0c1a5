//! What the gateway does with those who connect, in any order of calls.

use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

#[test]
fn emptied_it_says_no_takes_who_comes_and_keeps_nobody() {
    let mut l = Lifecycle::default();
    assert!(!l.is_ready() && !l.accepts(0), "not before it has started");
    l.start();
    assert!(l.is_ready() && l.accepts(0) && l.keeps(0) && l.idle_until(0, 0, 1).is_none());
    assert!(
        l.evacuate(SECOND) && !l.evacuate(2 * SECOND),
        "the second call changes nothing"
    );
    assert!(!l.is_ready() && l.accepts(SECOND) && !l.keeps(SECOND));
    let ends: Vec<Micros> = (0..10)
        .filter_map(|n| l.idle_until(SECOND, n, 10))
        .collect();
    assert!(ends.windows(2).all(|w| w[0] < w[1]), "one after the other");
    assert!(
        ends[0] >= SECOND + EMPTY_FROM && ends[9] <= SECOND + EMPTY_BY,
        "{ends:?}"
    );
    l.activate();
    assert!(l.is_ready() && l.keeps(2 * SECOND) && l.idle_until(2 * SECOND, 0, 1).is_none());
}

/// Guards a planned restart without another process: what comes in its first 0.6 s is taken.
#[test]
fn at_its_end_it_accepts_a_little_longer_unless_another_process_does() {
    for taken_over in [false, true] {
        let mut l = Lifecycle::default();
        l.start();
        assert!(l.end(SECOND, taken_over) && !l.end(SECOND, !taken_over));
        assert!(!l.is_ready());
        assert_eq!(l.accepts(SECOND + 600_000), !taken_over);
        assert_eq!(l.keeps(SECOND + 600_000), !taken_over);
        assert_eq!(l.idle_until(SECOND, 0, 1).is_some(), taken_over);
        assert!(!l.accepts(SECOND + LAST_ACCEPT) && !l.keeps(SECOND + LAST_ACCEPT));
        assert!(
            l.idle_until(SECOND + LAST_ACCEPT, 0, 1).is_some(),
            "then no idle one stays"
        );
    }
}

proptest! {
    /// Calls in any order: ready only if started and neither emptied nor ending; the end is final.
    #[test]
    fn any_order_of_calls(calls in proptest::collection::vec(0..5u8, 0..40)) {
        let mut l = Lifecycle::default();
        let (mut started, mut emptied, mut ending) = (false, false, false);
        for (n, call) in calls.into_iter().enumerate() {
            let now = n as Micros * 100_000;
            match call {
                0 => { l.start(); started = true }
                1 => { l.evacuate(now); emptied = true }
                2 => { l.activate(); emptied = false }
                3 => { l.end(now, false); ending = true }
                _ => {}
            }
            prop_assert_eq!(l.is_ready(), started && !emptied && !ending);
            prop_assert!(!l.is_ready() || l.accepts(now) && l.keeps(now));
            prop_assert_eq!(l.is_ending(), ending);
            prop_assert!(started || !l.accepts(now));
            prop_assert!(!emptied || !l.keeps(now));
        }
    }
}
