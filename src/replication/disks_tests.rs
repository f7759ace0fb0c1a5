//! Disks that are full, that lie, or that change what they hold, on the virtual clock of [`super::tests`].

use super::config::DisabledGuards;
use super::history::HistoryEvent;
use super::tests::{leader, name, World, MS};
use super::Name;

fn notes(w: &World, is: impl Fn(&HistoryEvent) -> bool) -> usize {
    w.notes.iter().filter(|(_, n)| is(n)).count()
}

/// A copy's disk changes what it holds: it says so, counts for nothing, and is mended by a snapshot.
#[test]
fn a_damaged_copy_is_mended_from_the_primary() {
    for sound in [false, true] {
        let mut w = World::new(
            4,
            2,
            21,
            DisabledGuards {
                sound,
                ..DisabledGuards::default()
            },
        );
        w.run(3_000 * MS);
        w.traffic(500 * MS);
        w.run(300 * MS);
        let primary = leader(&w, 1);
        let copy = (0..4)
            .find(|i| *i != primary && w.members(1).contains(&name(*i)))
            .unwrap();
        assert!(w.gateways[copy].disk.damage(1));
        w.traffic(1_500 * MS);
        assert_eq!(w.judge().is_err(), sound, "the guard is what has it mended");
        let mended = notes(&w, |n| {
            matches!(
                n,
                HistoryEvent::Repaired {
                    shard: 1,
                    accepted: false
                }
            )
        });
        assert_eq!(mended > 0, !sound);
        assert!(
            sound || leader(&w, 1) == primary,
            "a copy's damage moves no lead"
        );
    }
}

/// A primary's disk changes what it holds: another leads, and the damage is handed on to nobody.
#[test]
fn a_damaged_primary_hands_its_shard_on_and_is_mended_from_a_copy() {
    let mut w = World::new(4, 2, 22, DisabledGuards::default());
    w.run(3_000 * MS);
    w.traffic(500 * MS);
    w.run(300 * MS);
    let primary = leader(&w, 1);
    assert!(w.gateways[primary].disk.damage(1));
    w.traffic(2_000 * MS);
    assert_ne!(leader(&w, 1), primary);
    w.judge().unwrap();
    assert!(notes(&w, |n| matches!(n, HistoryEvent::Damaged { shard: 1, .. })) > 0);
}

/// The only disk of a shard changes what it holds: there is nothing to mend it from, so what is left counts, and that is told.
#[test]
fn the_only_disk_goes_on_with_what_is_left_and_says_so() {
    let mut w = World::new(1, 1, 23, DisabledGuards::default());
    w.run(2_000 * MS);
    w.traffic(500 * MS);
    assert!(w.gateways[0].disk.damage(1));
    w.run(2_000 * MS);
    assert_eq!(
        notes(&w, |n| matches!(
            n,
            HistoryEvent::Repaired {
                shard: 1,
                accepted: true
            }
        )),
        1
    );
    let before = w.promised.len();
    w.traffic(500 * MS);
    assert!(w.promised.len() > before);
}

/// The other disk of the set is away: a damaged primary waits for it, as it has all that was promised, and accepts nothing.
#[test]
fn a_damaged_disk_waits_for_the_one_that_has_all() {
    let mut w = World::new(2, 2, 24, DisabledGuards::default());
    w.run(3_000 * MS);
    w.traffic(500 * MS);
    w.run(300 * MS);
    let primary = leader(&w, 1);
    w.kill(1 - primary);
    assert!(w.gateways[primary].disk.damage(1));
    w.run(6_000 * MS);
    assert_eq!(
        notes(&w, |n| matches!(n, HistoryEvent::Repaired { shard: 1, .. })),
        0
    );
    assert_eq!(
        notes(&w, |n| matches!(n, HistoryEvent::WaitingForReplica { shard: 1, .. })),
        1,
        "it is told once"
    );
    w.start(1 - primary);
    w.run(4_000 * MS);
    w.judge().unwrap();
    assert_eq!(
        notes(&w, |n| matches!(
            n,
            HistoryEvent::Repaired {
                shard: 1,
                accepted: false
            }
        )),
        1
    );
}

/// A disk is full: a primary that can keep nothing is led away from, and a copy is exchanged.
#[test]
fn one_whose_disk_is_full_leads_nothing_and_holds_nothing_up() {
    for copy in [false, true] {
        let mut w = World::new(4, 2, 25, DisabledGuards::default());
        w.run(3_000 * MS);
        w.traffic(300 * MS);
        let primary = leader(&w, 1);
        let members: Vec<Name> = w.members(1).into_iter().collect();
        let full = (0..4)
            .find(|i| members.contains(&name(*i)) && (*i != primary) == copy)
            .unwrap();
        w.gateways[full].full = true;
        w.traffic(5_000 * MS);
        let leads = w.gateways[full]
            .machine
            .as_ref()
            .map_or(0, |m| (1..=4).filter(|s| m.is_primary(*s)).count());
        assert_eq!(leads, 0, "copy {copy}");
        let before = w.promised.len();
        w.traffic(1_000 * MS);
        assert!(
            w.promised.len() > before + 20,
            "copy {copy}: {} after {before}",
            w.promised.len()
        );
        w.judge().unwrap();
    }
}

/// A disk tells records kept and has lost them when its process begins again; before they are sent to it anew the primary's
/// machine is lost. The third has them: it is to lead, and not to be overwritten.
#[test]
fn a_disk_that_lied_is_not_what_the_others_are_brought_to() {
    for ahead in [false, true] {
        let mut lost = 0;
        for seed in 30..42 {
            let mut w = World::new(
                3,
                3,
                seed,
                DisabledGuards {
                    ahead,
                    ..DisabledGuards::default()
                },
            );
            w.run(4_000 * MS);
            w.traffic(600 * MS);
            w.run(300 * MS);
            let primary = leader(&w, 1);
            let liar = (primary + 1 + (seed as usize) % 2) % 3;
            w.gateways[liar].lies = 5;
            // Cut off from the primary, so that it is not sent again what it lost.
            w.cut.insert((primary, liar));
            w.cut.insert((liar, primary));
            w.kill(liar);
            w.start(liar);
            w.run(20 * MS);
            w.lose(primary);
            w.run(3_000 * MS);
            w.start(primary);
            w.cut.clear();
            w.run(3_000 * MS);
            lost += usize::from(w.judge().is_err());
        }
        assert_eq!(lost > 0, ahead, "{lost} of 12 lost something");
    }
}
