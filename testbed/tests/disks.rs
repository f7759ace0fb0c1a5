//! Replicated stores of real processes on disks that corrupt data, are full, or lose acknowledged
//! writes.

use std::path::PathBuf;
use std::sync::Mutex;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::fault_injection::copies::run_round;
use molelug_testbed::fault_injection::fleet::{Fleet, FleetConfig};
use molelug_testbed::history::promises::Violation;
use molelug_testbed::lease_trials::instance_name;

/// Limits the tests to one fleet at a time: with more, the fleets would only wait for the machine.
static SLOT: Mutex<()> = Mutex::new(());

fn acquire_slot() -> std::sync::MutexGuard<'static, ()> {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    SLOT.lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns the number at the end of an instance's name.
fn instance_number(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// An instance shuts down in order, one letter of each record on its disk changes, and the instance
/// restarts: it detects the damage, repairs it from other instances, and only then counts as a
/// copy. Then two other machines are lost one after the other.
#[test]
fn corrupted_disk_is_repaired_before_it_counts() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(FleetConfig::default(), 40).unwrap();
    fleet.wait_for_full_sets().unwrap();
    fleet.start_callers(4);
    fleet.wait_for_promises(60).unwrap();
    let n = fleet.shard_leaders()[&1].1;
    fleet.gateway(n).unwrap().terminate().unwrap();
    fleet.wait_for_exit(n).unwrap();
    assert!(fleet.corrupt_store(n).unwrap() > 0);
    // No other instance replaces it: it is reachable again before its timeout as a member ends.
    fleet.start_instance(n).unwrap();
    fleet
        .wait_until("the damage to be found and mended", || {
            fleet.detected_damages(n) > 0 && fleet.is_repaired(n)
        })
        .unwrap();
    fleet.wait_for_full_sets().unwrap();
    let others: Vec<usize> = (0..6).filter(|m| *m != n).take(2).collect();
    for other in others {
        fleet.lose_machine(other).unwrap();
        fleet.wait_for_full_sets().unwrap();
        fleet.wait_for_promises(10).unwrap();
    }
    let (counts, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
    assert!(counts.calls > 60, "{counts:?}");
}

/// The disk of a primary is full: its process stays reachable, other instances lead its shards, and
/// it leaves every set.
#[test]
fn instance_with_full_disk_loses_its_shards() {
    let _slot = acquire_slot();
    let probe = Fleet::start(FleetConfig::default(), 41).unwrap();
    probe.wait_for_full_sets().unwrap();
    let full = probe.shard_leaders()[&1].1;
    drop(probe);
    let mut fleet = Fleet::start(
        FleetConfig {
            file_size_limit: Some((full, 2_048)),
            ..FleetConfig::default()
        },
        41,
    )
    .unwrap();
    fleet.wait_for_full_sets().unwrap();
    fleet.start_callers(8);
    let led = |fleet: &Fleet| {
        fleet
            .shard_leaders()
            .values()
            .filter(|s| s.1 == full)
            .count()
    };
    let held = |fleet: &Fleet| {
        fleet
            .shard_leaders()
            .values()
            .filter(|s| s.2.contains(&instance_name(full)))
            .count()
    };
    fleet
        .wait_until("the full instance to leave all sets", || {
            led(&fleet) == 0 && held(&fleet) == 0
        })
        .unwrap();
    fleet.wait_for_promises(50).unwrap();
    fleet.wait_for_full_sets().unwrap();
    assert!(
        !fleet.gateways[full].as_mut().unwrap().has_exited().unwrap(),
        "a full disk ended the process"
    );
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// Guards against an instance with a full disk that stays in one set under load, while all other
/// sets have dropped it. Repeats the round of `rounds copies --copies 2 --seed 49004 --faults 2`.
#[test]
fn full_disk_leaves_every_set_also_beside_load() {
    let _slot = acquire_slot();
    run_round(&FleetConfig::default(), 49_004, 2, None).unwrap_or_else(|error| panic!("{error}"));
}

/// With three copies, the disk of the first successor loses acknowledged writes as the primary's
/// machine is lost: the member with all records must lead. With the guard `ahead` disabled, the
/// checker finds lost promises.
#[test]
fn disk_losing_acknowledged_writes_loses_no_promise() {
    let _slot = acquire_slot();
    for (without, seed) in [(None, 42), (Some("ahead"), 43)] {
        let config = FleetConfig {
            copies: 3,
            disabled_guard: without.map(Into::into),
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::start(config, seed).unwrap();
        fleet.wait_for_full_sets().unwrap();
        fleet.start_callers(4);
        fleet.wait_for_promises(20).unwrap();
        // The first to take over a shard is the first member that is not the primary.
        let led = fleet.shard_leaders();
        let lead: Vec<(usize, usize)> = led
            .values()
            .map(|s| {
                (
                    s.1,
                    instance_number(s.2.iter().find(|m| instance_number(m) != s.1).unwrap()),
                )
            })
            .collect();
        let (primary, lossy) = lead[0];
        fleet.save_store(lossy).unwrap();
        fleet.wait_for_promises(60).unwrap();
        fleet.kill_and_restore_store(lossy).unwrap();
        fleet.lose_machine(primary).unwrap();
        fleet.start_instance(lossy).unwrap();
        fleet.wait_for_full_sets().unwrap();
        fleet.wait_for_promises(20).unwrap();
        fleet.stop_callers().unwrap();
        let (_, wrong) = molelug_testbed::history::promises::check(
            &fleet.notes(),
            &Default::default(),
            &Default::default(),
            &Default::default(),
            &[],
        );
        let lost = wrong
            .iter()
            .any(|w| matches!(w, Violation::Gone { .. } | Violation::TwoPromised { .. }));
        match without {
            None => {
                let (_, wrong) = fleet.judge().unwrap();
                assert_eq!(wrong, []);
            }
            Some(_) => assert!(lost, "the checker found no loss with the guard disabled"),
        }
    }
}
