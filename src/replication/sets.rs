//! What the agreed log says of shards and of the disks that hold them; the same at every gateway.
//!
//! A change names the epoch that it follows; one that follows another has no effect. So of two that are proposed at once one
//! takes hold. A disk is told by a number drawn when it was made and by how often it was begun: a lost disk, and yesterday's
//! copy of one, are in no set any more from the moment at which their name begins anew.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Epoch, Name, ShardId, MAX_REPLICAS, MAX_SHARDS};

/// Gateways with disks at most.
pub const MAX_DISKS: usize = 1024;

/// A disk, and the process that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Disk {
    /// Drawn when it was made.
    pub id: u64,
    /// How often it was begun.
    pub incarnation: u64,
    /// The process that has it now.
    pub process: u64,
}

/// A shard's gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// Counts the changes.
    pub epoch: Epoch,
    /// Who gives records their numbers; none if it lost its disk.
    pub primary: Option<Name>,
    /// The process that has the right to: another one of the same name has to ask for an epoch of its own.
    pub process: u64,
    /// All whose disks hold what was promised, the primary among them.
    pub members: BTreeSet<Name>,
    /// Those that were left out where nobody came in their place, and the epoch at which they were: their disks have all that was
    /// promised until then, should those of the members be lost.
    pub former_members: BTreeMap<Name, Epoch>,
    /// How many members there were before.
    pub full_size: usize,
}

impl ReplicaSet {
    /// Those of whom one may lead after all members were lost: who was left out last has the most.
    pub fn successors(&self) -> impl Iterator<Item = &Name> {
        let last = self.former_members.values().max().copied();
        self.former_members
            .iter()
            .filter(move |(_, e)| Some(**e) == last)
            .map(|(n, _)| n)
    }

    fn left(mut self, epoch: Epoch, members: &BTreeSet<Name>) -> (BTreeMap<Name, Epoch>, usize) {
        if members.len() < self.members.len() {
            self.full_size = self.full_size.max(self.members.len());
            self.former_members
                .extend(self.members.difference(members).map(|n| (n.clone(), epoch)));
        }
        if members.len() >= self.full_size {
            // As many disks as before have all again.
            (self.former_members, self.full_size) = (BTreeMap::new(), 0);
        }
        self.former_members.retain(|n, _| !members.contains(n));
        (self.former_members, self.full_size)
    }
}

/// Sets as they were written before it was remembered who was left out.
#[derive(Deserialize)]
pub struct LegacyReplicaSets {
    disks: BTreeMap<Name, Disk>,
    shards: BTreeMap<ShardId, (Epoch, Option<Name>, u64, BTreeSet<Name>)>,
}

impl From<LegacyReplicaSets> for ReplicaSets {
    fn from(e: LegacyReplicaSets) -> ReplicaSets {
        let set = |(shard, (epoch, primary, process, members))| {
            (
                shard,
                ReplicaSet {
                    epoch,
                    primary,
                    process,
                    members,
                    ..ReplicaSet::default()
                },
            )
        };
        ReplicaSets {
            disks: e.disks,
            shards: e.shards.into_iter().map(set).collect(),
        }
    }
}

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A process has begun on a disk.
    RegisterDisk {
        /// Its name.
        name: Name,
        /// The disk.
        disk: Disk,
    },
    /// A shard's set is to change, as versions before this one proposed it. It is applied as it was then, so that all come to
    /// the same from the same log.
    LegacyChange {
        /// Which shard.
        shard: ShardId,
        /// The epoch that it follows.
        was: Epoch,
        /// Who asks.
        by: Name,
        /// The primary from here on.
        primary: Name,
        /// Its process; 0 if whoever asks does not know it.
        process: u64,
        /// The set from here on.
        members: BTreeSet<Name>,
    },
    /// A shard's set is to change.
    ChangeMembers(MembershipChange),
}

/// A change of a shard's set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MembershipChange {
    /// Which shard.
    pub shard: ShardId,
    /// The epoch that it follows.
    pub previous_epoch: Epoch,
    /// Who asks.
    pub proposer: Name,
    /// The primary from here on.
    pub primary: Name,
    /// Its process; 0 if whoever asks does not know it.
    pub process: u64,
    /// The set from here on.
    pub members: BTreeSet<Name>,
    /// Who comes, and the number of the disk that has all: it may have been lost since.
    pub joining: Option<(Name, u64)>,
}

impl Entry {
    /// Whose word it is.
    pub fn proposer(&self) -> &Name {
        match self {
            Entry::RegisterDisk { name, .. } => name,
            Entry::LegacyChange { by, .. } => by,
            Entry::ChangeMembers(m) => &m.proposer,
        }
    }
}

/// The state at one place in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaSets {
    /// Whose disks are known.
    pub disks: BTreeMap<Name, Disk>,
    /// The shards that were founded.
    pub shards: BTreeMap<ShardId, ReplicaSet>,
}

impl ReplicaSets {
    /// A shard's set; epoch 0 and nobody if it was never founded.
    pub fn replica_set(&self, shard: ShardId) -> ReplicaSet {
        self.shards.get(&shard).cloned().unwrap_or_default()
    }

    /// Applies an entry; tells whether it took hold.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::RegisterDisk { name, disk } => self.begun(name, *disk),
            Entry::LegacyChange {
                shard,
                was,
                by,
                primary,
                process,
                members,
            } => {
                let Some(set) = self.after(*shard, *was, by, primary, *process, members) else {
                    return false;
                };
                self.shards.insert(*shard, set);
                true
            }
            Entry::ChangeMembers(m) => {
                let Some(set) = self.moved(m) else {
                    return false;
                };
                self.shards.insert(m.shard, set);
                true
            }
        }
    }

    /// The set that a move leads to, if it may take hold.
    fn moved(&self, m: &MembershipChange) -> Option<ReplicaSet> {
        let now = self.replica_set(m.shard);
        let mut after = self.after(m.shard, m.previous_epoch, &m.proposer, &m.primary, m.process, &m.members)?;
        let comes: Vec<&Name> = m.members.difference(&now.members).collect();
        // Founded anew, it is by one that has what was promised until it was left out, if there is one.
        let heirs: Vec<&Name> = now.successors().collect();
        let may = match (now.members.is_empty(), comes.as_slice(), &m.joining) {
            (true, _, None) => heirs.is_empty() || heirs.contains(&&m.proposer),
            (false, [], None) => true,
            (false, [one], Some((name, disk))) => {
                *one == name && self.disks.get(name).is_some_and(|d| d.id == *disk)
            }
            _ => false,
        };
        (after.former_members, after.full_size) = now.left(m.previous_epoch + 1, &m.members);
        may.then_some(after)
    }

    fn begun(&mut self, name: &Name, disk: Disk) -> bool {
        let known = self.disks.get(name).copied();
        match known {
            Some(k) if k.id == disk.id && disk.incarnation <= k.incarnation => return false,
            None if self.disks.len() >= MAX_DISKS => return false,
            _ => {}
        }
        self.disks.insert(name.clone(), disk);
        if known.is_some_and(|k| k.id != disk.id) {
            // What it held is gone with the old disk.
            for set in self.shards.values_mut() {
                set.former_members.remove(name);
            }
            for set in self
                .shards
                .values_mut()
                .filter(|s| s.members.contains(name))
            {
                set.epoch += 1;
                set.members.remove(name);
                if set.primary.as_ref() == Some(name) {
                    (set.primary, set.process) = (None, 0);
                }
            }
        }
        true
    }

    /// The set that a change leads to, if it may take hold.
    fn after(
        &self,
        shard: ShardId,
        was: Epoch,
        by: &Name,
        primary: &Name,
        process: u64,
        members: &BTreeSet<Name>,
    ) -> Option<ReplicaSet> {
        let now = self.replica_set(shard);
        let sound = (1..=MAX_SHARDS).contains(&shard)
            && now.epoch == was
            && members.contains(primary)
            && members.len() <= MAX_REPLICAS
            && members.iter().all(|m| self.disks.contains_key(m));
        let may = if now.members.is_empty() {
            // Founded, or founded anew after all that held it were lost.
            by == primary && members.len() == 1
        } else if now.primary.as_ref() == Some(by) {
            // The primary lets others in and out, and hands over to one that has all.
            now.members.contains(primary)
        } else {
            // One that has all takes over, and lets nobody in by the same word.
            now.members.contains(by) && by == primary && members.is_subset(&now.members)
        };
        if !(sound && may) {
            return None;
        }
        let (primary, members) = (Some(primary.clone()), members.clone());
        Some(ReplicaSet {
            epoch: was + 1,
            primary,
            process,
            members,
            ..now
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn n(name: &str) -> Name {
        name.into()
    }

    fn change(was: Epoch, by: &str, primary: &str, members: &[&str]) -> Entry {
        let members = members.iter().map(|m| n(m)).collect();
        Entry::LegacyChange {
            shard: 1,
            was,
            by: n(by),
            primary: n(primary),
            process: 9,
            members,
        }
    }

    fn step(was: Epoch, by: &str, members: &[&str], joins: Option<(&str, u64)>) -> Entry {
        let members = members.iter().map(|m| n(m)).collect();
        let joins = joins.map(|(name, disk)| (n(name), disk));
        Entry::ChangeMembers(MembershipChange {
            shard: 1,
            previous_epoch: was,
            proposer: n(by),
            primary: n(by),
            process: 9,
            members,
            joining: joins,
        })
    }

    /// The word by which somebody is let in comes late; its machine was lost since, and it has begun on an empty disk.
    #[test]
    fn one_that_lost_its_disk_before_it_was_let_in_is_not() {
        let mut s = three();
        assert!(s.apply(&step(0, "a", &["a"], None)));
        assert!(
            !s.clone().apply(&step(1, "a", &["a", "b"], None)),
            "nobody says which disk has all"
        );
        assert!(s.clone().apply(&step(1, "a", &["a", "b"], Some(("b", 2)))));
        assert!(s.apply(&begun("b", 77, 1)));
        assert!(!s.apply(&step(1, "a", &["a", "b"], Some(("b", 2)))));
        assert!(s.apply(&step(1, "a", &["a", "b"], Some(("b", 77)))));
    }

    fn begun(name: &str, id: u64, boot: u64) -> Entry {
        Entry::RegisterDisk {
            name: n(name),
            disk: Disk {
                id,
                incarnation: boot,
                process: id * 100 + boot,
            },
        }
    }

    fn three() -> ReplicaSets {
        let mut s = ReplicaSets::default();
        for (i, name) in ["a", "b", "c"].into_iter().enumerate() {
            assert!(s.apply(&begun(name, i as u64 + 1, 1)));
        }
        s
    }

    #[test]
    fn only_one_that_has_all_takes_over_and_one_change_follows_an_epoch() {
        let mut s = three();
        assert!(
            !s.apply(&change(0, "a", "a", &["a", "b"])),
            "nobody has anything to begin with"
        );
        assert!(s.apply(&change(0, "a", "a", &["a"])));
        assert!(!s.apply(&change(0, "b", "b", &["b"])), "founded already");
        assert!(!s.apply(&change(1, "b", "b", &["b"])), "b has nothing");
        assert!(
            !s.apply(&change(1, "b", "a", &["a", "b"])),
            "only the primary lets in"
        );
        assert!(s.apply(&change(1, "a", "a", &["a", "b"])));
        assert!(
            !s.apply(&change(2, "b", "b", &["b", "c"])),
            "who takes over lets nobody in"
        );
        assert!(s.clone().apply(&change(2, "b", "b", &["b", "a"])));
        assert!(!s.apply(&change(2, "a", "a", &["a", "d"])), "d has no disk");
        assert!(
            s.clone().apply(&change(2, "a", "b", &["a", "b"])),
            "handed over"
        );
        assert!(s.apply(&change(2, "b", "b", &["b"])));
        assert!(!s.apply(&change(2, "a", "a", &["a"])), "too late");
        assert_eq!((s.replica_set(1).epoch, s.replica_set(1).primary), (3, Some(n("b"))));
    }

    /// A set is left smaller, and then its last disk is lost: only who was left out may lead, as it has what was promised.
    #[test]
    fn who_was_left_out_is_asked_before_a_shard_is_founded_anew() {
        let mut s = three();
        let b = Some(("b", 2));
        let c = Some(("c", 3));
        for (was, members, joins) in [
            (0, &["a"][..], None),
            (1, &["a", "b"], b),
            (2, &["a", "b", "c"], c),
            (3, &["a", "b"], None),
            (4, &["a"], None),
        ] {
            assert!(s.apply(&step(was, "a", members, joins)), "{was}");
        }
        assert!(s.apply(&begun("a", 70, 1)), "its disk is lost");
        assert_eq!((s.replica_set(1).epoch, s.replica_set(1).members.len()), (6, 0));
        assert!(
            !s.clone().apply(&step(6, "a", &["a"], None)),
            "it has nothing"
        );
        assert!(
            !s.clone().apply(&step(6, "c", &["c"], None)),
            "b was left out after c"
        );
        assert!(s.clone().apply(&step(6, "b", &["b"], None)));
        assert!(s.apply(&begun("b", 71, 1)), "that disk is lost, too");
        assert!(s.apply(&step(6, "c", &["c"], None)));
        assert_eq!(s.replica_set(1).former_members, BTreeMap::new());
        // A set that is whole again needs nobody who was left out.
        let (a, b) = (Some(("a", 70)), Some(("b", 71)));
        for (was, members, joins) in [
            (7, &["c", "a"][..], a),
            (8, &["c"], None),
            (9, &["c", "b"], b),
            (10, &["c", "b", "a"], a),
        ] {
            assert!(s.apply(&step(was, "c", members, joins)), "{was}");
        }
        assert_eq!((s.replica_set(1).former_members.len(), s.replica_set(1).full_size), (0, 0));
    }

    #[test]
    fn a_lost_disk_and_yesterdays_leave_every_set() {
        let mut s = three();
        s.apply(&change(0, "a", "a", &["a"]));
        s.apply(&change(1, "a", "a", &["a", "b"]));
        assert!(s.apply(&begun("b", 2, 2)), "begun again");
        assert_eq!(s.replica_set(1).members.len(), 2);
        assert!(!s.apply(&begun("b", 2, 2)), "yesterday's copy of it");
        assert!(!s.apply(&begun("b", 2, 1)));
        assert!(s.apply(&begun("b", 77, 1)), "an empty disk");
        assert_eq!((s.replica_set(1).epoch, s.replica_set(1).members.len()), (3, 1));
        assert!(
            s.apply(&begun("b", 2, 3)),
            "the old disk again counts as another"
        );
        assert!(!s.replica_set(1).members.contains("b"));
        assert!(s.apply(&begun("a", 78, 1)));
        assert_eq!((s.replica_set(1).primary, s.replica_set(1).members.len()), (None, 0));
        assert!(s.apply(&change(4, "c", "c", &["c"])), "founded anew");
    }
}
