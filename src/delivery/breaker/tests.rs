//! Tests of `delivery::breaker`.

use super::*;

#[test]
fn a_failing_endpoint_gets_single_trials_ever_more_rarely_and_then_a_slow_start() {
    let (mut b, mut now) = (Breaker::default(), 1);
    for _ in 0..FAILURES {
        assert_eq!(b.room(now, 8), Ok(8));
        b.failed(now, None);
    }
    let mut pauses = Vec::new();
    for _ in 0..9 {
        let until = b.room(now, 8).unwrap_err();
        pauses.push((until - now) / SECOND);
        now = until;
        assert_eq!(b.room(now, 8), Ok(1));
        b.sent(now);
        assert_eq!(b.name(), "half_open");
        b.failed(now, None);
    }
    assert_eq!(pauses, [2, 4, 8, 16, 32, 64, 128, 256, 300]);
    assert_eq!(b.failing_since(), Some(1));
    b.succeeded(8);
    assert!(
        b.room(now, 8).is_err(),
        "the late answer to an old attempt closes nothing"
    );
    now = b.room(now, 8).unwrap_err();
    b.sent(now);
    b.succeeded(8);
    let mut rooms = vec![b.room(now, 8).unwrap()];
    for _ in 0..6 {
        b.succeeded(8);
        rooms.push(b.room(now, 8).unwrap());
    }
    assert_eq!((rooms, b.name()), (vec![2, 3, 4, 5, 6, 7, 8], "closed"));
}

#[test]
fn advice_holds_the_endpoint_back_within_bounds_and_a_void_trial_is_free_again() {
    let mut b = Breaker::default();
    b.failed(10, Some(30 * SECOND));
    assert_eq!(b.room(10, 4), Err(10 + 30 * SECOND));
    let mut b = Breaker::default();
    b.failed(10, Some(Micros::MAX));
    assert_eq!(b.room(10, 4), Err(10 + LONGEST_OPEN));
    b.sent(10 + LONGEST_OPEN);
    b.proved_nothing(10 + LONGEST_OPEN);
    assert_eq!(b.room(10 + LONGEST_OPEN, 4), Ok(1));
}

#[test]
fn no_more_than_burst_and_rate_pass() {
    let mut bucket = Bucket::new(10.0, 3.0, 0);
    let (mut now, mut passed) = (0, 0);
    while now < 10 * SECOND {
        match bucket.ready(now) {
            Ok(()) => {
                bucket.take();
                passed += 1;
            }
            Err(at) => {
                assert!(at > now);
                now = at;
            }
        }
    }
    assert!((100..=103).contains(&passed), "{passed}");
    bucket.change(1.0, 1.0);
    assert!(
        bucket.ready(now - 5).is_ok() || bucket.ready(now).is_err(),
        "a clock that steps back adds nothing"
    );
}
