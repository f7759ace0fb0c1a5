//! Tests of `admin::idempotency`.

use super::*;

#[test]
fn a_key_gives_its_answer_again_to_the_same_request_of_the_same_caller() {
    let mut keys = Keys::default();
    assert_eq!(keys.begin("a", "k", b"r", 0), Known::New);
    assert_eq!(keys.begin("a", "k", b"r", 1), Known::Conflict, "under way");
    keys.end("a", "k", Some(b"done"));
    assert_eq!(
        keys.begin("a", "k", b"r", 2),
        Known::Answered(b"done".to_vec())
    );
    assert_eq!(keys.begin("a", "k", b"other", 2), Known::Conflict);
    assert_eq!(keys.begin("b", "k", b"r", 2), Known::New);
    keys.end("b", "k", None);
    assert_eq!(
        keys.begin("b", "k", b"r", 3),
        Known::New,
        "it failed, and may be tried again"
    );
    assert_eq!(
        keys.begin("a", "k", b"r", KEPT + 1),
        Known::New,
        "a day is over"
    );
    for n in 0..3 * MOST {
        keys.begin("c", &n.to_string(), b"r", KEPT + 2);
    }
    assert!(keys.entries.len() <= MOST && keys.order.len() == keys.entries.len());
}
