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

struct Scratch(std::path::PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let name = format!("molelug-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Scratch(folder)
    }

    fn file(&self) -> std::path::PathBuf {
        self.0.join("seen")
    }

    fn open(&self, now: Micros) -> ReplayStore {
        ReplayStore::open(&self.file(), 10_000, now).unwrap()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against replays at another process: two that share a file, also while one shortens or an
/// operator removes it.
#[test]
fn identity_taken_by_one_process_is_known_to_the_other() {
    let scratch = Scratch::new("shared-replays");
    let (mut a, mut b) = (scratch.open(0), scratch.open(0));
    assert_eq!(a.take("t", "1", 0, 900_000), RecordResult::New);
    assert_eq!(b.take("t", "1", 0, 900_000), RecordResult::Before);
    assert_eq!(b.take("t", "2", 0, 900_000), RecordResult::New);
    assert_eq!(a.take("t", "2", 0, 900_000), RecordResult::Before);
    // Enough short-lived identities that one process replaces the file.
    for i in 1..2 * MIN_REWRITE_LINES as u64 {
        assert_eq!(a.take("t", &format!("c{i}"), i, i), RecordResult::New);
    }
    assert_eq!(b.take("t", "3", 10_000, 900_000), RecordResult::New);
    for id in ["1", "2", "3"] {
        assert_eq!(a.take("t", id, 10_000, 900_000), RecordResult::Before);
    }
    std::fs::remove_file(scratch.file()).unwrap();
    assert_eq!(b.take("t", "4", 10_000, 900_000), RecordResult::New);
    let mut c = scratch.open(10_000);
    for id in ["1", "2", "3", "4"] {
        assert_eq!(c.take("t", id, 10_000, 900_000), RecordResult::Before);
    }
}

/// Guards against calls that are lost: a call that could not be stored may come again, everywhere.
#[test]
fn released_identity_may_be_taken_again() {
    let scratch = Scratch::new("released-replays");
    let (mut a, mut b) = (scratch.open(0), scratch.open(0));
    assert_eq!(a.take("t", "1", 0, 9), RecordResult::New);
    assert_eq!(b.take("t", "1", 0, 9), RecordResult::Before);
    a.forget(&identity_digest("t", "1"));
    assert_eq!(b.take("t", "1", 0, 9), RecordResult::New);
    assert_eq!(scratch.open(0).take("t", "1", 0, 9), RecordResult::Before);
}

/// Guards against replays after the clock was ahead: identities that seemed expired are dropped,
/// and their time stamps are fresh again once the clock is set back.
#[test]
fn identity_dropped_while_clock_was_ahead_is_refused() {
    let scratch = Scratch::new("stepped-replays");
    let hour = 3_600_000_000;
    assert_eq!(scratch.open(10).take("t", "1", 10, 20), RecordResult::New);
    let mut ahead = scratch.open(hour);
    assert_eq!(ahead.take("t", "2", hour, hour + 10), RecordResult::New);
    assert_eq!(ahead.take("t", "3", 2 * hour, 2 * hour), RecordResult::New);
    let mut back = scratch.open(11);
    for id in ["1", "2"] {
        let result = back.take("t", id, 11, 20);
        assert!(
            matches!(result, RecordResult::Forgotten | RecordResult::Before),
            "{id}: {result:?}"
        );
    }
    let mut memory = ReplayStore::new(10);
    assert_eq!(memory.take("t", "1", 10, 20), RecordResult::New);
    assert_eq!(memory.take("t", "2", 30, 40), RecordResult::New);
    assert_eq!(memory.take("t", "1", 11, 20), RecordResult::Forgotten);
}

#[test]
fn gateway_is_known_as_user_after_its_first_start() {
    let scratch = Scratch::new("replay-users");
    assert!(!scratch.open(0).add_user("g1").unwrap());
    let mut again = scratch.open(0);
    assert!(again.add_user("g1").unwrap());
    assert!(!again.add_user("g2").unwrap(), "another gateway");
    again.locked(ReplayStore::rewrite).unwrap();
    assert!(scratch.open(0).add_user("g2").unwrap());
}

/// Another process that is stopped while it holds the lock delays no event loop.
#[test]
fn call_is_rejected_while_another_process_holds_the_lock() {
    let scratch = Scratch::new("locked-replays");
    let mut store = scratch.open(0);
    let other = std::fs::File::open(scratch.file()).unwrap();
    other.lock().unwrap();
    assert_eq!(store.take("t", "1", 0, 9), RecordResult::Unavailable);
    other.unlock().unwrap();
    assert_eq!(store.take("t", "1", 0, 9), RecordResult::New);
}

#[test]
fn line_cut_by_a_kill_takes_no_later_line_along() {
    let scratch = Scratch::new("cut-replays");
    let mut store = scratch.open(0);
    assert_eq!(store.take("t", "1", 0, 9), RecordResult::New);
    let mut text = std::fs::read_to_string(scratch.file()).unwrap();
    text.push_str("9 0011");
    std::fs::write(scratch.file(), text).unwrap();
    assert_eq!(store.take("t", "2", 0, 9), RecordResult::New);
    let mut other = scratch.open(0);
    for id in ["1", "2"] {
        assert_eq!(other.take("t", id, 0, 9), RecordResult::Before, "{id}");
    }
}

fn place(number: u32, size: u32) -> GroupPlace {
    GroupPlace {
        number: Some(number),
        size,
    }
}

#[test]
fn group_is_complete_once_each_number_is_registered() {
    let scratch = Scratch::new("members");
    let path = scratch.0.join("seen");
    let mut first = ReplayStore::open(&path, 3, 0).unwrap();
    let mut second = ReplayStore::open(&path, 3, 0).unwrap();
    first.add_member("a", place(0, 2)).unwrap();
    assert!(!first.has_all_members(2));
    // A gateway that is renumbered leaves its former place.
    second.add_member("b", place(0, 2)).unwrap();
    second.add_member("b", place(1, 2)).unwrap();
    first.refresh(1).unwrap();
    second.refresh(1).unwrap();
    assert!(first.has_all_members(2) && second.has_all_members(2));
    assert!(!first.has_all_members(3), "a group that grows");
    for i in 0..2 * MIN_REWRITE_LINES as u64 {
        first.take("t", &format!("c{i}"), 100 + i, 100 + i);
    }
    let third = ReplayStore::open(&path, 3, 0).unwrap();
    assert!(third.has_all_members(2), "the file was rewritten");
    first.add_member("a", place(1, 2)).unwrap();
    assert!(!first.has_all_members(2));
    assert!(!ReplayStore::new(3).has_all_members(0), "in memory");
    first.add_member("a", place(0, 2)).unwrap();
    let mut leaving = ReplayStore::open(&path, 3, 0).unwrap();
    leaving.leave("b").unwrap();
    first.refresh(1).unwrap();
    assert!(
        !first.has_all_members(2),
        "one keeps its identities elsewhere"
    );
}
