//! Tests of `front::webhook::replay`.

use super::*;

#[test]
fn full_store_rejects_until_an_identity_expires() {
    let mut r = ReplayStore::new(2);
    assert_eq!(r.take("t", "a", 0, 10), RecordResult::New);
    assert_eq!(
        r.take("t", "a", 10, 20),
        RecordResult::Before,
        "still valid at its last instant"
    );
    assert_eq!(
        r.take("u", "a", 1, 20),
        RecordResult::New,
        "another tenant's"
    );
    assert_eq!(r.take("t", "b", 2, 20), RecordResult::Full);
    assert_eq!(r.take("t", "b", 11, 20), RecordResult::New);
    assert_eq!(
        r.take("ta", "", 12, 20),
        RecordResult::Full,
        "and not taken for tenant t's a"
    );
}

#[test]
fn file_survives_restart_and_truncated_line() {
    let folder = std::env::temp_dir().join(format!("molelug-replays-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("seen");
    let mut r = ReplayStore::open(&path, 3, 0).unwrap();
    assert_eq!(
        (r.take("t", "a", 0, 10), r.take("t", "b", 0, 20)),
        (RecordResult::New, RecordResult::New)
    );
    drop(r);
    let mut text = std::fs::read_to_string(&path).unwrap();
    text.push_str("30 0011");
    std::fs::write(&path, text).unwrap();
    let mut r = ReplayStore::open(&path, 3, 15).unwrap();
    assert_eq!(
        (r.take("t", "a", 15, 30), r.take("t", "b", 15, 30)),
        (RecordResult::New, RecordResult::Before)
    );
    // The file is rewritten before it grows without bound, and no valid identity is lost.
    for i in 0..2 * MIN_REWRITE_LINES as u64 {
        assert_eq!(
            r.take("t", &format!("c{i}"), 100 + i, 100 + i),
            RecordResult::New
        );
    }
    assert!(std::fs::read_to_string(&path).unwrap().lines().count() <= MIN_REWRITE_LINES + 1);
    let last = format!("c{}", 2 * MIN_REWRITE_LINES - 1);
    let now = 99 + 2 * MIN_REWRITE_LINES as u64;
    assert_eq!(
        ReplayStore::open(&path, 3, now)
            .unwrap()
            .take("t", &last, now, now),
        RecordResult::Before
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
