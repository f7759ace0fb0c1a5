//! Changes of replica sets: who may make them, and lost disks.

use std::collections::BTreeMap;

use super::{Disk, Entry, MembershipChange, ReplicaSets};
use crate::replication::{Epoch, Name};

fn name_of(name: &str) -> Name {
    name.into()
}

fn legacy_change(previous_epoch: Epoch, proposer: &str, primary: &str, members: &[&str]) -> Entry {
    let members = members.iter().map(|member| name_of(member)).collect();
    Entry::LegacyChange {
        shard: 1,
        previous_epoch,
        proposer: name_of(proposer),
        primary: name_of(primary),
        process: 9,
        members,
    }
}

fn change(
    previous_epoch: Epoch,
    proposer: &str,
    members: &[&str],
    joining: Option<(&str, u64)>,
) -> Entry {
    let members = members.iter().map(|member| name_of(member)).collect();
    let joining = joining.map(|(name, disk)| (name_of(name), disk));
    Entry::ChangeMembers(MembershipChange {
        shard: 1,
        previous_epoch,
        proposer: name_of(proposer),
        primary: name_of(proposer),
        process: 9,
        members,
        joining,
    })
}

/// Guards against a change that is agreed on late: the joining machine was lost since, and has
/// started on an empty disk.
#[test]
fn replica_that_lost_its_disk_cannot_join() {
    let mut sets = three_disks();
    assert!(sets.apply(&change(0, "a", &["a"], None)));
    assert!(
        !sets.clone().apply(&change(1, "a", &["a", "b"], None)),
        "the change names no disk"
    );
    assert!(sets
        .clone()
        .apply(&change(1, "a", &["a", "b"], Some(("b", 2)))));
    assert!(sets.apply(&register("b", 77, 1)));
    assert!(!sets.apply(&change(1, "a", &["a", "b"], Some(("b", 2)))));
    assert!(sets.apply(&change(1, "a", &["a", "b"], Some(("b", 77)))));
}

fn register(name: &str, id: u64, incarnation: u64) -> Entry {
    Entry::RegisterDisk {
        name: name_of(name),
        disk: Disk {
            id,
            incarnation,
            process: id * 100 + incarnation,
        },
    }
}

fn three_disks() -> ReplicaSets {
    let mut sets = ReplicaSets::default();
    for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
        assert!(sets.apply(&register(name, index as u64 + 1, 1)));
    }
    sets
}

#[test]
fn only_members_take_over_once_per_epoch() {
    let mut sets = three_disks();
    assert!(
        !sets.apply(&legacy_change(0, "a", "a", &["a", "b"])),
        "a new shard has one member"
    );
    assert!(sets.apply(&legacy_change(0, "a", "a", &["a"])));
    assert!(
        !sets.apply(&legacy_change(0, "b", "b", &["b"])),
        "the shard exists"
    );
    assert!(
        !sets.apply(&legacy_change(1, "b", "b", &["b"])),
        "b is no member"
    );
    assert!(
        !sets.apply(&legacy_change(1, "b", "a", &["a", "b"])),
        "only the primary adds members"
    );
    assert!(sets.apply(&legacy_change(1, "a", "a", &["a", "b"])));
    assert!(
        !sets.apply(&legacy_change(2, "b", "b", &["b", "c"])),
        "a takeover adds nobody"
    );
    assert!(sets.clone().apply(&legacy_change(2, "b", "b", &["b", "a"])));
    assert!(
        !sets.apply(&legacy_change(2, "a", "a", &["a", "d"])),
        "d has no disk"
    );
    assert!(
        sets.clone().apply(&legacy_change(2, "a", "b", &["a", "b"])),
        "a handover"
    );
    assert!(sets.apply(&legacy_change(2, "b", "b", &["b"])));
    assert!(!sets.apply(&legacy_change(2, "a", "a", &["a"])), "too late");
    assert_eq!(
        (sets.replica_set(1).epoch, sets.replica_set(1).primary),
        (3, Some(name_of("b")))
    );
}

/// The set shrinks, and then its last disk is lost: the member that was removed last has the
/// committed records.
#[test]
fn last_removed_member_succeeds_lost_members() {
    let mut sets = three_disks();
    let b = Some(("b", 2));
    let c = Some(("c", 3));
    for (previous_epoch, members, joining) in [
        (0, &["a"][..], None),
        (1, &["a", "b"], b),
        (2, &["a", "b", "c"], c),
        (3, &["a", "b"], None),
        (4, &["a"], None),
    ] {
        assert!(
            sets.apply(&change(previous_epoch, "a", members, joining)),
            "{previous_epoch}"
        );
    }
    assert!(sets.apply(&register("a", 70, 1)), "the disk of a is lost");
    assert_eq!(
        (sets.replica_set(1).epoch, sets.replica_set(1).members.len()),
        (6, 0)
    );
    assert!(
        !sets.clone().apply(&change(6, "a", &["a"], None)),
        "the new disk is empty"
    );
    assert!(
        !sets.clone().apply(&change(6, "c", &["c"], None)),
        "b was removed after c"
    );
    assert!(sets.clone().apply(&change(6, "b", &["b"], None)));
    assert!(sets.apply(&register("b", 71, 1)), "the disk of b is lost");
    assert!(sets.apply(&change(6, "c", &["c"], None)));
    assert_eq!(sets.replica_set(1).former_members, BTreeMap::new());
    // A complete set has no former members.
    let (a, b) = (Some(("a", 70)), Some(("b", 71)));
    for (previous_epoch, members, joining) in [
        (7, &["c", "a"][..], a),
        (8, &["c"], None),
        (9, &["c", "b"], b),
        (10, &["c", "b", "a"], a),
    ] {
        assert!(
            sets.apply(&change(previous_epoch, "c", members, joining)),
            "{previous_epoch}"
        );
    }
    assert_eq!(
        (
            sets.replica_set(1).former_members.len(),
            sets.replica_set(1).full_size
        ),
        (0, 0)
    );
}

#[test]
fn lost_and_outdated_disks_leave_all_sets() {
    let mut sets = three_disks();
    sets.apply(&legacy_change(0, "a", "a", &["a"]));
    sets.apply(&legacy_change(1, "a", "a", &["a", "b"]));
    assert!(sets.apply(&register("b", 2, 2)), "a restart");
    assert_eq!(sets.replica_set(1).members.len(), 2);
    assert!(!sets.apply(&register("b", 2, 2)), "an old copy of the disk");
    assert!(!sets.apply(&register("b", 2, 1)));
    assert!(sets.apply(&register("b", 77, 1)), "an empty disk");
    assert_eq!(
        (sets.replica_set(1).epoch, sets.replica_set(1).members.len()),
        (3, 1)
    );
    assert!(
        sets.apply(&register("b", 2, 3)),
        "the old disk counts as another one"
    );
    assert!(!sets.replica_set(1).members.contains("b"));
    assert!(sets.apply(&register("a", 78, 1)));
    assert_eq!(
        (
            sets.replica_set(1).primary,
            sets.replica_set(1).members.len()
        ),
        (None, 0)
    );
    assert!(
        sets.apply(&legacy_change(4, "c", "c", &["c"])),
        "the shard is created anew"
    );
}
