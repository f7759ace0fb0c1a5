//! Disks that change what they hold, are full, or tell kept what they lose, between real processes that hold copies.

use std::path::PathBuf;
use std::sync::Mutex;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::fault_injection::copies::run_round;
use molelug_testbed::fault_injection::fleet::{Fleet, FleetConfig};
use molelug_testbed::history::promises::Wrong;
use molelug_testbed::lease_trials::instance_name;

/// One fleet at a time: more would only wait for the machine.
static SLOT: Mutex<()> = Mutex::new(());

fn acquire_slot() -> std::sync::MutexGuard<'static, ()> {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    SLOT.lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn number(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// An instance ends in order, one letter of each record on its disk changes, and it begins again: it finds that out, is sent
/// what others have, and only then counts. Then the others that held its shards are lost one after the other.
#[test]
fn a_disk_that_changed_what_it_holds_is_mended_before_it_counts() {
    let _slot = acquire_slot();
    let mut fleet = Fleet::start(FleetConfig::default(), 40).unwrap();
    fleet.wait_for_full_sets().unwrap();
    fleet.start_callers(4);
    fleet.wait_for_promises(60).unwrap();
    let n = fleet.shard_leaders()[&1].1;
    fleet.gateway(n).unwrap().end().unwrap();
    fleet.wait_for_exit(n).unwrap();
    assert!(fleet.corrupt_store(n).unwrap() > 0);
    // Nobody else takes its place meanwhile: its name is heard of again before it is given up.
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

/// The disk of one that leads shards is full: it goes on being heard, and others lead them; it leaves every set, and comes
/// back once there is room.
#[test]
fn one_whose_disk_is_full_is_led_away_from() {
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
        .wait_until("it to lead nothing", || {
            led(&fleet) == 0 && held(&fleet) == 0
        })
        .unwrap();
    fleet.wait_for_promises(50).unwrap();
    fleet.wait_for_full_sets().unwrap();
    assert!(
        !fleet.gateways[full].as_mut().unwrap().has_ended().unwrap(),
        "a full disk ended the process"
    );
    let (_, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
}

/// Guards against a full disk that stays in one set while all others have left it out, beside load. The round of `rounds
/// copies --copies 2 --seed 49004 --faults 2`.
#[test]
fn full_disk_leaves_every_set_also_beside_load() {
    let _slot = acquire_slot();
    run_round(&FleetConfig::default(), 49_004, 2, None).unwrap_or_else(|error| panic!("{error}"));
}

/// Three copies. The disks of the primary's two copies lose what they told kept, each in turn, as the primary's machine is lost:
/// the one that has all is to lead, whoever takes over first.
#[test]
fn a_disk_that_lies_takes_no_promise_along_while_another_has_it() {
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
        // Whoever is first to take a shard over is the first of its set that is not the primary.
        let led = fleet.shard_leaders();
        let lead: Vec<(usize, usize)> = led
            .values()
            .map(|s| (s.1, number(s.2.iter().find(|m| number(m) != s.1).unwrap())))
            .collect();
        let (primary, liar) = lead[0];
        fleet.save_store(liar).unwrap();
        fleet.wait_for_promises(60).unwrap();
        fleet.kill_and_restore_store(liar).unwrap();
        fleet.lose_machine(primary).unwrap();
        fleet.start_instance(liar).unwrap();
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
            .any(|w| matches!(w, Wrong::Gone { .. } | Wrong::TwoPromised { .. }));
        match without {
            None => {
                let (_, wrong) = fleet.judge().unwrap();
                assert_eq!(wrong, []);
            }
            Some(_) => assert!(lost, "with the guard taken out nothing was found"),
        }
    }
}
