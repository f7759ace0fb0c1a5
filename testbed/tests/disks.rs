//! Disks that change what they hold, are full, or tell kept what they lose, between real processes that hold copies.

use std::path::PathBuf;
use std::sync::Mutex;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::fault_injection::copies::play;
use molelug_testbed::fault_injection::fleet::{Fleet, Shape};
use molelug_testbed::history::promises::Wrong;
use molelug_testbed::lease_trials::name;

/// One fleet at a time: more would only wait for the machine.
static PLACE: Mutex<()> = Mutex::new(());

fn alone() -> std::sync::MutexGuard<'static, ()> {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    PLACE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn number(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// An instance ends in order, one letter of each record on its disk changes, and it begins again: it finds that out, is sent
/// what others have, and only then counts. Then the others that held its shards are lost one after the other.
#[test]
fn a_disk_that_changed_what_it_holds_is_mended_before_it_counts() {
    let _place = alone();
    let mut fleet = Fleet::start(Shape::default(), 40).unwrap();
    fleet.whole().unwrap();
    fleet.call(4);
    fleet.promised_more(60).unwrap();
    let n = fleet.led()[&1].1;
    fleet.gateway(n).unwrap().end().unwrap();
    fleet.wait(n).unwrap();
    assert!(fleet.damage(n).unwrap() > 0);
    // Nobody else takes its place meanwhile: its name is heard of again before it is given up.
    fleet.run(n).unwrap();
    fleet
        .await_that("the damage to be found and mended", || {
            fleet.damages(n) > 0 && fleet.is_mended(n)
        })
        .unwrap();
    fleet.whole().unwrap();
    let others: Vec<usize> = (0..6).filter(|m| *m != n).take(2).collect();
    for other in others {
        fleet.lose(other).unwrap();
        fleet.whole().unwrap();
        fleet.promised_more(10).unwrap();
    }
    let (held, wrong) = fleet.judge().unwrap();
    assert_eq!(wrong, []);
    assert!(held.calls > 60, "{held:?}");
}

/// The disk of one that leads shards is full: it goes on being heard, and others lead them; it leaves every set, and comes
/// back once there is room.
#[test]
fn one_whose_disk_is_full_is_led_away_from() {
    let _place = alone();
    let probe = Fleet::start(Shape::default(), 41).unwrap();
    probe.whole().unwrap();
    let full = probe.led()[&1].1;
    drop(probe);
    let mut fleet = Fleet::start(
        Shape {
            full: Some((full, 2_048)),
            ..Shape::default()
        },
        41,
    )
    .unwrap();
    fleet.whole().unwrap();
    fleet.call(8);
    let led = |fleet: &Fleet| fleet.led().values().filter(|s| s.1 == full).count();
    let held = |fleet: &Fleet| {
        fleet
            .led()
            .values()
            .filter(|s| s.2.contains(&name(full)))
            .count()
    };
    fleet
        .await_that("it to lead nothing", || {
            led(&fleet) == 0 && held(&fleet) == 0
        })
        .unwrap();
    fleet.promised_more(50).unwrap();
    fleet.whole().unwrap();
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
    let _place = alone();
    play(&Shape::default(), 49_004, 2, None).unwrap_or_else(|error| panic!("{error}"));
}

/// Three copies. The disks of the primary's two copies lose what they told kept, each in turn, as the primary's machine is lost:
/// the one that has all is to lead, whoever takes over first.
#[test]
fn a_disk_that_lies_takes_no_promise_along_while_another_has_it() {
    let _place = alone();
    for (without, seed) in [(None, 42), (Some("ahead"), 43)] {
        let shape = Shape {
            copies: 3,
            without: without.map(Into::into),
            ..Shape::default()
        };
        let mut fleet = Fleet::start(shape, seed).unwrap();
        fleet.whole().unwrap();
        fleet.call(4);
        fleet.promised_more(20).unwrap();
        // Whoever is first to take a shard over is the first of its set that is not the primary.
        let led = fleet.led();
        let lead: Vec<(usize, usize)> = led
            .values()
            .map(|s| (s.1, number(s.2.iter().find(|m| number(m) != s.1).unwrap())))
            .collect();
        let (primary, liar) = lead[0];
        fleet.begin_to_lie(liar).unwrap();
        fleet.promised_more(60).unwrap();
        fleet.kill_liar(liar).unwrap();
        fleet.lose(primary).unwrap();
        fleet.run(liar).unwrap();
        fleet.whole().unwrap();
        fleet.promised_more(20).unwrap();
        fleet.hang_up().unwrap();
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
