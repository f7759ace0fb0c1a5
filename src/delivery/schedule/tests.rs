//! Tests of `delivery::schedule`.

use super::*;

#[test]
fn a_schedule_is_jittered_obeys_advice_and_ends() {
    let s = Schedule::default();
    assert_eq!(
        s.seconds(),
        [5.0, 300.0, 1800.0, 7200.0, 18e3, 36e3, 50_400.0, 72e3, 86_400.0]
    );
    for salt in 0..200 {
        let p = s.pause(1, salt, None).unwrap();
        assert!((4 * SECOND..=6 * SECOND).contains(&p), "{p}");
        assert_eq!(s.pause(1, salt, None), Some(p));
    }
    assert!(
        (0..20)
            .map(|n| s.pause(1, n, None))
            .collect::<std::collections::BTreeSet<_>>()
            .len()
            > 10
    );
    assert_eq!(s.pause(1, 3, Some(60 * SECOND)), Some(60 * SECOND));
    assert_eq!(
        s.pause(1, 3, Some(Micros::MAX)),
        Some(LONGEST_ADVICE),
        "a year is a day"
    );
    assert!(
        s.pause(1, 3, Some(1)) > Some(SECOND),
        "advice makes nothing shorter"
    );
    assert_eq!((s.pause(10, 3, None), s.pause(0, 3, None)), (None, None));
    for bad in [&[][..], &[0.0], &[f64::NAN], &[-1.0], &[1e9], &[1.0; 65]] {
        assert_eq!(Schedule::from_seconds(bad), Err(BadSchedule));
    }
    let short = Schedule::short(60 * SECOND);
    assert!(
        short.whole() < 60 * SECOND && short.whole() > 50 * SECOND,
        "{short:?}"
    );
}

#[test]
fn advice_is_seconds_or_a_date_and_junk_is_none() {
    let now = 784_111_700 * SECOND;
    assert_eq!(retry_after("120", now), Some(120 * SECOND));
    assert_eq!(
        retry_after("Sun, 06 Nov 1994 08:49:37 GMT", now),
        Some(77 * SECOND)
    );
    assert_eq!(
        retry_after("Sun, 06 Nov 1994 08:49:37 GMT", now + 100 * SECOND),
        Some(0),
        "past"
    );
    assert_eq!(
        retry_after("99999999999999999999999", now),
        Some(Micros::MAX)
    );
    for junk in ["", "soon", "-5", "1.5", "Sun, 99 Nov"] {
        assert_eq!(retry_after(junk, now), None, "{junk}");
    }
}
