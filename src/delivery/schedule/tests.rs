//! Tests of `delivery::schedule`.

use super::*;

#[test]
fn schedule_has_jitter_obeys_retry_after_and_ends() {
    let s = Schedule::default();
    assert_eq!(
        s.seconds(),
        [5.0, 300.0, 1800.0, 7200.0, 18e3, 36e3, 50_400.0, 72e3, 86_400.0]
    );
    for jitter_seed in 0..200 {
        let p = s.pause(1, jitter_seed, None).unwrap();
        assert!(
            (4 * MICROS_PER_SECOND..=6 * MICROS_PER_SECOND).contains(&p),
            "{p}"
        );
        assert_eq!(s.pause(1, jitter_seed, None), Some(p));
    }
    assert!(
        (0..20)
            .map(|n| s.pause(1, n, None))
            .collect::<std::collections::BTreeSet<_>>()
            .len()
            > 10
    );
    assert_eq!(
        s.pause(1, 3, Some(60 * MICROS_PER_SECOND)),
        Some(60 * MICROS_PER_SECOND)
    );
    assert_eq!(
        s.pause(1, 3, Some(Micros::MAX)),
        Some(MAX_RETRY_AFTER),
        "a longer Retry-After is limited to a day"
    );
    assert!(
        s.pause(1, 3, Some(1)) > Some(MICROS_PER_SECOND),
        "a Retry-After does not shorten a pause"
    );
    assert_eq!((s.pause(10, 3, None), s.pause(0, 3, None)), (None, None));
    for invalid in [&[][..], &[0.0], &[f64::NAN], &[-1.0], &[1e9], &[1.0; 65]] {
        assert_eq!(
            Schedule::from_seconds(invalid),
            Err(ScheduleError::OutOfRange)
        );
    }
    let short = Schedule::short(60 * MICROS_PER_SECOND);
    assert!(
        short.total() < 60 * MICROS_PER_SECOND && short.total() > 50 * MICROS_PER_SECOND,
        "{short:?}"
    );
}

#[test]
fn retry_after_is_seconds_or_date_otherwise_none() {
    let now = 784_111_700 * MICROS_PER_SECOND;
    assert_eq!(retry_after("120", now), Some(120 * MICROS_PER_SECOND));
    assert_eq!(
        retry_after("Sun, 06 Nov 1994 08:49:37 GMT", now),
        Some(77 * MICROS_PER_SECOND)
    );
    assert_eq!(
        retry_after(
            "Sun, 06 Nov 1994 08:49:37 GMT",
            now + 100 * MICROS_PER_SECOND
        ),
        Some(0),
        "past"
    );
    assert_eq!(
        retry_after("99999999999999999999999", now),
        Some(Micros::MAX)
    );
    for invalid in ["", "soon", "-5", "1.5", "Sun, 99 Nov"] {
        assert_eq!(retry_after(invalid, now), None, "{invalid}");
    }
}
