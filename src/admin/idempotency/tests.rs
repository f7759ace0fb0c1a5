//! Tests of `admin::idempotency`.

use super::*;

#[test]
fn key_repeats_answer_to_same_request_and_caller() {
    let mut keys = Keys::default();
    assert_eq!(keys.begin("a", "k", b"r", 0), KeyState::New);
    assert_eq!(
        keys.begin("a", "k", b"r", 1),
        KeyState::Conflict,
        "the first is pending"
    );
    keys.end("a", "k", Some(b"done"));
    assert_eq!(
        keys.begin("a", "k", b"r", 2),
        KeyState::Answered(b"done".to_vec())
    );
    assert_eq!(keys.begin("a", "k", b"other", 2), KeyState::Conflict);
    assert_eq!(keys.begin("b", "k", b"r", 2), KeyState::New);
    keys.end("b", "k", None);
    assert_eq!(
        keys.begin("b", "k", b"r", 3),
        KeyState::New,
        "a failed request may be retried"
    );
    assert_eq!(
        keys.begin("a", "k", b"r", KEY_LIFETIME + 1),
        KeyState::New,
        "the key has expired"
    );
    for n in 0..3 * MAX_KEYS {
        keys.begin("c", &n.to_string(), b"r", KEY_LIFETIME + 2);
    }
    assert!(keys.entries.len() <= MAX_KEYS && keys.order.len() == keys.entries.len());
}
