//! Tests of `delivery::breaker`.

use super::*;

#[test]
fn failing_endpoint_gets_rare_trials_then_slow_start() {
    let (mut b, mut now) = (CircuitBreaker::default(), 1);
    for _ in 0..FAILURES_TO_OPEN {
        assert_eq!(b.attempts_allowed(now, 8), Ok(8));
        b.failed(now, None);
    }
    let mut pauses = Vec::new();
    for _ in 0..9 {
        let until = b.attempts_allowed(now, 8).unwrap_err();
        pauses.push((until - now) / SECOND);
        now = until;
        assert_eq!(b.attempts_allowed(now, 8), Ok(1));
        b.sent(now);
        assert_eq!(b.name(), "half_open");
        b.failed(now, None);
    }
    assert_eq!(pauses, [2, 4, 8, 16, 32, 64, 128, 256, 300]);
    assert_eq!(b.failing_since(), Some(1));
    b.succeeded(8);
    assert!(
        b.attempts_allowed(now, 8).is_err(),
        "a late answer to an old attempt does not close the breaker"
    );
    now = b.attempts_allowed(now, 8).unwrap_err();
    b.sent(now);
    b.succeeded(8);
    let mut allowed = vec![b.attempts_allowed(now, 8).unwrap()];
    for _ in 0..6 {
        b.succeeded(8);
        allowed.push(b.attempts_allowed(now, 8).unwrap());
    }
    assert_eq!((allowed, b.name()), (vec![2, 3, 4, 5, 6, 7, 8], "closed"));
}

#[test]
fn retry_after_is_bounded_and_void_trial_is_repeated() {
    let mut b = CircuitBreaker::default();
    b.failed(10, Some(30 * SECOND));
    assert_eq!(b.attempts_allowed(10, 4), Err(10 + 30 * SECOND));
    let mut b = CircuitBreaker::default();
    b.failed(10, Some(Micros::MAX));
    assert_eq!(b.attempts_allowed(10, 4), Err(10 + MAX_OPEN_TIME));
    b.sent(10 + MAX_OPEN_TIME);
    b.attempt_void(10 + MAX_OPEN_TIME);
    assert_eq!(b.attempts_allowed(10 + MAX_OPEN_TIME, 4), Ok(1));
}

#[test]
fn no_more_than_burst_and_rate_pass() {
    let mut bucket = TokenBucket::new(10.0, 3.0, 0);
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
