//! Replays of signed calls across the ends and starts of gateways that have neither a store nor a
//! configured file of identities.

mod common;

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::signed::*;
use common::*;

const CLASS: &str = "confirmar-traslado";
/// How far time stamps may lie ahead by default, in seconds.
const TOLERANCE_S: u64 = 300;

/// How a process ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Kill,
    Stop,
}

/// The gateway that gets the replay.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// The one that took the call.
    Restarted,
    /// Another one that has run all the time.
    Running,
    /// Another one that starts after the call.
    Started,
}

/// Gateways whose operator's files are in one folder.
struct Fleet {
    folder: PathBuf,
    operator: String,
    portal: Portal,
}

impl Fleet {
    fn new(webhook_settings: &str) -> Fleet {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("replays-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let portal = Portal::start(WEBHOOK_KEY);
        let operator = operator_file_with(portal.address, webhook_settings);
        Fleet {
            folder,
            operator,
            portal,
        }
    }

    fn start(&self, name: &str, worker: &Worker) -> Gateway {
        let workers = [endpoint("s-00000001", worker.address, "SERVING")];
        Gateway::start_named(
            name,
            &self.folder,
            &settings(900.0),
            &workers,
            &self.operator,
        )
    }

    fn remove(self) {
        std::fs::remove_dir_all(&self.folder).expect("the folder");
    }
}

fn check_replay_is_refused(ahead_s: u64, end: End, target: Target) {
    let case = format!("{ahead_s} s ahead, {end:?}, {target:?}");
    let fleet = Fleet::new("");
    let worker = Worker::start();
    let first = fleet.start("g1", &worker);
    let other = fleet.start("g2", &worker);
    wait_for_next_second();
    let call = SignedCall::new("call-1", CLASS).at(now_s() + ahead_s);
    assert_eq!(call.send(&first), 202, "{case}");
    until("the callback is delivered", || fleet.portal.count() == 1);
    match end {
        End::Kill => first.kill(),
        End::Stop => drop(first.stop()),
    }
    let restarted = fleet.start("g1", &worker);
    let asked = match target {
        Target::Restarted => restarted,
        Target::Running => other,
        Target::Started => fleet.start("g3", &worker),
    };
    let status = call.send(&asked);
    assert!(
        [401, 409, 503].contains(&status),
        "{case}: the replay got {status}"
    );
    wait_for_next_second();
    let sound = SignedCall::new("call-2", CLASS);
    assert_eq!(sound.send(&asked), 202, "{case}: a sound call soon after");
    until("its callback is delivered", || fleet.portal.count() == 2);
    assert_eq!(worker.gos.lock().unwrap().len(), 2, "{case}: runs");
    drop(asked);
    fleet.remove();
}

/// Guards against replays that run twice: the identities were lost with the process, and a time
/// stamp ahead of the clock lies behind the next start.
#[test]
fn replay_after_restart_is_refused_by_the_same_gateway() {
    for ahead_s in [0, 5, 30, TOLERANCE_S - 1] {
        for end in [End::Kill, End::Stop] {
            check_replay_is_refused(ahead_s, end, Target::Restarted);
        }
    }
}

/// Guards against replays that run twice: another gateway does not know the call.
#[test]
fn replay_is_refused_by_other_gateways_of_the_folder() {
    for ahead_s in [0, 30] {
        check_replay_is_refused(ahead_s, End::Kill, Target::Running);
        check_replay_is_refused(ahead_s, End::Kill, Target::Started);
    }
}

#[test]
fn full_list_of_identities_refuses_replay_and_new_calls() {
    let fleet = Fleet::new("replay_entries = 1");
    let worker = Worker::start();
    let first = fleet.start("g1", &worker);
    wait_for_next_second();
    let call = SignedCall::new("call-1", CLASS).at(now_s() + 30);
    assert_eq!(call.send(&first), 202);
    first.kill();
    let second = fleet.start("g1", &worker);
    assert_eq!(SignedCall::new("call-2", CLASS).send(&second), 503);
    assert_eq!(call.send(&second), 409);
    drop(second);
    fleet.remove();
}

/// Without any file, what an earlier process may have accepted is refused, and nothing else.
#[test]
fn start_without_usable_file_refuses_stamps_of_earlier_processes() {
    let fleet = Fleet::new("");
    std::fs::create_dir(fleet.folder.join("replays")).expect("a folder in place of the file");
    let worker = Worker::start();
    let g = fleet.start("g1", &worker);
    let started_s = now_s();
    let call = |id: &str, stamp: u64| SignedCall::new(id, CLASS).at(stamp).send(&g);
    assert_eq!(call("before", started_s - 1), 401);
    assert_eq!(
        call("now", now_s()),
        503,
        "maybe accepted by the former process"
    );
    assert_eq!(call("ahead", now_s() + 5), 503, "maybe accepted as well");
    assert_eq!(call("far", now_s() + 30), 401, "no process accepts it");
    until("the stamps in doubt are past", || now_s() > started_s + 6);
    assert_eq!(call("sound", now_s()), 202);
    let ahead = SignedCall::new("call-1", CLASS).at(now_s() + 5);
    assert_eq!(ahead.send(&g), 202);
    g.kill();
    let g = fleet.start("g1", &worker);
    assert_eq!(ahead.send(&g), 503);
    drop(g);
    fleet.remove();
}

/// Guards against replays that run twice: the identities of the time without a store were not read
/// by a process with one, nor those of the store by a process without one.
#[test]
fn replay_is_refused_after_store_is_given_and_taken_away() {
    for end in [End::Kill, End::Stop] {
        let mut fleet = Fleet::new("");
        let worker = Worker::start();
        let without_store = fleet.operator.clone();
        let with_store = operator_file_with(fleet.portal.address, "store = \"store\"");
        let mut g = fleet.start("g1", &worker);
        wait_for_next_second();
        let mut taken = Vec::new();
        let operators = [&with_store, &without_store, &with_store];
        for (number, next_operator) in operators.into_iter().enumerate() {
            let call = SignedCall::new(&format!("call-{number}"), CLASS);
            assert_eq!(call.send(&g), 202, "{end:?}, {number}");
            taken.push(call);
            until("the callback is delivered", || {
                fleet.portal.count() == taken.len()
            });
            match end {
                End::Kill => g.kill(),
                End::Stop => drop(g.stop()),
            }
            wait_for_next_second();
            fleet.operator.clone_from(next_operator);
            g = fleet.start("g1", &worker);
            for call in &taken {
                let status = call.send(&g);
                assert!([401, 409].contains(&status), "{end:?}, {number}: {status}");
            }
            wait_for_next_second();
        }
        assert_eq!(worker.gos.lock().unwrap().len(), taken.len(), "{end:?}");
        drop(g);
        fleet.remove();
    }
}
