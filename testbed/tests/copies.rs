//! Replicated stores of real gateway processes: machines are lost with their disks, and links fail.

use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, TryLockError};
use std::time::Duration;

use molelug_testbed::fakes::gateway::{NON_IDEMPOTENT_CLASS, PROGRAM, READ_CLASS};
use molelug_testbed::fault_injection::copies::run_round;
use molelug_testbed::fault_injection::fleet::{Fleet, FleetConfig};
use molelug_testbed::fault_proxy::Faults;
use molelug_testbed::history::promises::{check, CopyNote, Violation};

/// Limits the tests to two fleets at a time: with more, the machine is too slow for the fleets'
/// timeouts.
static SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

fn acquire_slot() -> MutexGuard<'static, ()> {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    loop {
        for slot in &SLOTS {
            match slot.try_lock() {
                Ok(guard) => return guard,
                Err(TryLockError::Poisoned(guard)) => return guard.into_inner(),
                Err(TryLockError::WouldBlock) => {}
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the primary of a shard.
fn primary_of(fleet: &Fleet, shard: u16) -> usize {
    fleet.shard_leaders()[&shard].1
}

/// Guards against promises lost with a primary's machine and disk, or with two machines one after
/// the other, while calls are in progress: each call that got a 202 has an outcome, and no call
/// that must not run twice did.
#[test]
fn lost_machines_and_disks_lose_no_promise() {
    let _slot = acquire_slot();
    for (what, seed) in [
        ("a primary's machine lost", 1),
        ("two machines lost one after the other", 2),
    ] {
        let round = run_round(&FleetConfig::default(), seed, 1, Some(what))
            .unwrap_or_else(|e| panic!("{what}: {e}"));
        assert!(
            round.counts.calls > 20 && round.counts.epochs > 16,
            "{round:?}"
        );
    }
}

/// A primary's process is stopped until another instance leads, and then continued: other instances
/// refuse its messages by their epoch.
#[test]
fn stopped_and_continued_primary_is_refused_by_epoch() {
    let _slot = acquire_slot();
    let config = FleetConfig::default();
    let round = run_round(&config, 3, 1, Some("a process stopped and woken"))
        .unwrap_or_else(|e| panic!("{e}"));
    assert!(round.counts.declined > 0, "{round:?}");
}

/// With three copies, two members of one shard are lost at once, and no promise is.
#[test]
fn three_copies_survive_two_machines_lost_at_once() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            copies: 3,
            ..FleetConfig::default()
        },
        4,
    )
    .unwrap();
    fleet.wait_for_full_sets().unwrap();
    fleet.start_callers(4);
    fleet.wait_for_promises(20).unwrap();
    let members: Vec<usize> = fleet.shard_leaders()[&1]
        .2
        .iter()
        .map(|m| m.rsplit('-').next().unwrap().parse().unwrap())
        .collect();
    for n in &members[..2] {
        fleet.lose_machine(*n).unwrap();
    }
    fleet.wait_for_full_sets().unwrap();
    fleet.wait_for_promises(10).unwrap();
    let (counts, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
    assert!(counts.installed > 0, "{counts:?}");
}

/// The same call id is sent to three gateways at once, and again after the loss of a primary's
/// machine: the id is accepted once.
#[test]
fn duplicate_call_ids_are_accepted_once_across_gateways() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            worker_latency: Duration::from_millis(300),
            ..FleetConfig::default()
        },
        5,
    )
    .unwrap();
    fleet.wait_for_full_sets().unwrap();
    for n in 0..12 {
        let id = format!("once-{n}");
        let sender = fleet.call_sender();
        let statuses: Vec<u16> = std::thread::scope(|s| {
            let (sender, id) = (&sender, &id);
            let all: Vec<_> = (0..3)
                .map(|at| s.spawn(move || sender.send(at, id, NON_IDEMPOTENT_CLASS)))
                .collect();
            all.into_iter().map(|t| t.join().unwrap()).collect()
        });
        assert_eq!(
            statuses.iter().filter(|s| **s == 202).count(),
            1,
            "{statuses:?}"
        );
        assert_eq!(
            statuses.iter().filter(|s| **s == 409).count(),
            2,
            "{statuses:?}"
        );
    }
    // The primary of shard 1 loses its machine with calls in progress; the other gateways then
    // receive the same call ids again.
    let primary = primary_of(&fleet, 1);
    fleet.lose_machine(primary).unwrap();
    fleet.wait_for_full_sets().unwrap();
    for n in 0..12 {
        for at in (0..6).filter(|at| *at != primary) {
            assert_eq!(
                fleet.send(at, &format!("once-{n}"), NON_IDEMPOTENT_CLASS),
                409,
                "once-{n} at {at}"
            );
        }
    }
    let (counts, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
    assert_eq!(counts.calls, 12);
}

/// A primary is cut off one way, its replies are two seconds late, or a third of all frames is
/// lost.
#[test]
fn failing_links_lose_no_promise() {
    let _slot = acquire_slot();
    for (what, seed) in [
        ("cut off one way", 6),
        ("replies two seconds slow", 7),
        ("a third of all frames lost", 8),
    ] {
        run_round(&FleetConfig::default(), seed, 1, Some(what))
            .unwrap_or_else(|e| panic!("{what}: {e}"));
    }
}

/// All processes are killed at once, or a gateway starts with an outdated copy of its disk, which
/// must not count as a copy.
#[test]
fn restart_of_all_and_outdated_disk_lose_nothing() {
    let _slot = acquire_slot();
    for (what, seed) in [("all killed at once", 9), ("yesterday's disk", 10)] {
        run_round(&FleetConfig::default(), seed, 1, Some(what))
            .unwrap_or_else(|e| panic!("{what}: {e}"));
    }
}

/// With five copies configured and four machines left, a class that requires all copies is refused,
/// and a class that allows fewer is accepted.
#[test]
fn classes_follow_their_setting_with_fewer_machines() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(
        FleetConfig {
            copies: 5,
            accept_with_fewer: true,
            ..FleetConfig::default()
        },
        13,
    )
    .unwrap();
    fleet.wait_for_full_sets().unwrap();
    assert_eq!(
        (
            fleet.send(0, "all-1", READ_CLASS),
            fleet.send(0, "all-2", NON_IDEMPOTENT_CLASS)
        ),
        (202, 202)
    );
    fleet.lose_machine(4).unwrap();
    fleet.lose_machine(5).unwrap();
    let left = |fleet: &Fleet| {
        fleet
            .shard_leaders()
            .values()
            .all(|s| s.1 < 4 && s.2.len() == 4 && s.2.iter().all(|m| m != "gw-4" && m != "gw-5"))
    };
    fleet.wait_until("sets of four", || left(&fleet)).unwrap();
    for n in 0..8 {
        assert_eq!(fleet.send(n % 4, &format!("safe-{n}"), READ_CLASS), 202);
        assert_eq!(
            fleet.send(n % 4, &format!("unsafe-{n}"), NON_IDEMPOTENT_CLASS),
            503
        );
    }
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// After SIGTERM an instance hands the shards that it leads to others before its process ends.
#[test]
fn instance_hands_over_shards_before_shutdown() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(FleetConfig::default(), 14).unwrap();
    fleet.wait_for_full_sets().unwrap();
    fleet.start_callers(3);
    fleet.wait_for_promises(20).unwrap();
    let leaves = primary_of(&fleet, 1);
    fleet.gateway(leaves).unwrap().terminate().unwrap();
    fleet.gateways[leaves].as_mut().unwrap().wait().unwrap();
    let rested = |n: &CopyNote| matches!(n, CopyNote::Rested { .. });
    let led = |n: &CopyNote| matches!(n, CopyNote::Led { .. });
    let name = molelug_testbed::lease_trials::instance_name(leaves);
    let notes = fleet.notes();
    let of = |is: &dyn Fn(&CopyNote) -> bool| {
        notes
            .iter()
            .filter(|(who, _, n)| *who == name && is(n))
            .count()
    };
    assert!(
        of(&led) > 0 && of(&rested) > 0,
        "the instance handed over no shard"
    );
    fleet
        .wait_until("new primaries", || {
            fleet.shard_leaders().values().all(|s| s.1 != leaves)
        })
        .unwrap();
    fleet.kill(leaves).unwrap();
    fleet.wait_for_promises(20).unwrap();
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// Without a majority of voters, shards with complete sets continue; a shard that lacks a member
/// promises nothing and refuses calls with 503.
#[test]
fn complete_sets_continue_without_a_majority() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(FleetConfig::default(), 11).unwrap();
    fleet.wait_for_full_sets().unwrap();
    let led = fleet.shard_leaders();
    // Stops three of the five voters, so that nothing more is agreed. Cutting their consensus links
    // instead would also cut the replication that shares these links.
    let gone = [0, 1, 2];
    for n in gone {
        fleet.gateway(n).unwrap().suspend().unwrap();
    }
    let names: Vec<String> = gone
        .iter()
        .map(|n| molelug_testbed::lease_trials::instance_name(*n))
        .collect();
    let whole = led
        .values()
        .filter(|s| s.2.iter().all(|m| !names.contains(m)))
        .count();
    let statuses: Vec<u16> = (0..24)
        .map(|n| fleet.send(5, &format!("alone-{n}"), READ_CLASS))
        .collect();
    let taken = statuses.iter().filter(|s| **s == 202).count();
    assert!(
        statuses.iter().all(|s| [202, 503].contains(s)),
        "{statuses:?}"
    );
    assert_eq!(taken > 0, whole > 0, "{statuses:?} {led:?}");
    for n in gone {
        fleet.gateway(n).unwrap().resume().unwrap();
    }
    fleet.start_callers(2);
    fleet.wait_for_promises(20).unwrap();
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// Control: with the guard disabled that makes a promise wait for all members, a lost machine loses
/// promises, and the checker finds them.
#[test]
fn promises_that_do_not_wait_for_all_are_found() {
    let _slot = acquire_slot();
    let config = FleetConfig {
        disabled_guard: Some("all".into()),
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config, 12).unwrap();
    fleet.wait_for_full_sets().unwrap();
    let (primary, shard) = (primary_of(&fleet, 1), 1);
    fleet.start_callers(4);
    fleet.wait_for_promises(20).unwrap();
    // The links hold back the primary's messages to the other members; the primary promises anyway.
    fleet.set_instance_faults(
        primary,
        Faults {
            cut: true,
            ..Faults::default()
        },
        Faults::default(),
    );
    let promised = |fleet: &Fleet| {
        let of = |n: &CopyNote| matches!(n, CopyNote::Promised { shard: s, .. } if *s == shard);
        fleet
            .notes()
            .iter()
            .filter(|(who, _, n)| {
                *who == molelug_testbed::lease_trials::instance_name(primary) && of(n)
            })
            .count()
    };
    let before = promised(&fleet);
    for n in 0..40 {
        fleet.send(primary, &format!("held-{n}"), READ_CLASS);
    }
    assert!(promised(&fleet) > before);
    fleet.lose_machine(primary).unwrap();
    fleet.set_instance_faults(primary, Faults::default(), Faults::default());
    fleet.wait_for_full_sets().unwrap();
    let (_, wrong) = check(
        &fleet.notes(),
        &Default::default(),
        &Default::default(),
        &Default::default(),
        &[],
    );
    assert!(
        wrong
            .iter()
            .any(|w| matches!(w, Violation::Gone { .. } | Violation::TwoPromised { .. })),
        "{wrong:?}"
    );
}

/// The primary's process exits at each step of a call's processing, and its machine is lost with
/// the disk.
#[test]
fn machine_lost_at_each_call_step_loses_nothing() {
    let _slot = acquire_slot();
    let steps = [
        "call recorded here",
        "call promised",
        "intent recorded here",
        "intent promised",
        "attempt answered",
        "answer recorded here",
        "callback's intent recorded here",
        "callback's intent promised",
        "callback answered",
    ];
    for (seed, step) in steps.into_iter().enumerate() {
        let config = FleetConfig {
            exit_step: Some(step),
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::start(config, 20 + seed as u64).unwrap();
        fleet.wait_for_full_sets().unwrap();
        let primary = primary_of(&fleet, 1);
        fleet.start_callers(4);
        fleet.wait_for_promises(10).unwrap();
        fleet
            .wait_for_exit_at_step(primary)
            .unwrap_or_else(|e| panic!("{step}: {e}"));
        fleet.lose_machine(primary).unwrap();
        fleet
            .wait_for_full_sets()
            .unwrap_or_else(|e| panic!("{step}: {e}"));
        fleet
            .wait_for_promises(20)
            .unwrap_or_else(|e| panic!("{step}: {e}"));
        let (counts, wrong) = fleet.judge().unwrap();
        assert_eq!(wrong, [], "{step}");
        assert!(counts.calls > 20, "{step}");
    }
}
