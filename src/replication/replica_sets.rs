//! The agreed replica sets of shards, and the disks that hold them. The state is the same at every
//! gateway.
//!
//! A change names the epoch that it follows, and has no effect if the current epoch differs, so
//! only one of two concurrent changes takes effect. A disk is identified by a number chosen when it
//! was created and by the number of process starts on it. A gateway that starts again on another
//! disk has lost the previous one and leaves every set. A gateway that starts again on an old copy
//! of its disk is detected by the number of starts, and does not use the copy.
//!
//! Postcard encodes entries and state, so the order of variants and fields is part of the format.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Epoch, Name, ShardId, MAX_REPLICAS, MAX_SHARDS};

#[cfg(test)]
mod tests;

/// The maximum number of gateways with disks.
pub const MAX_DISKS: usize = 1024;

/// A disk, and the process that uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Disk {
    /// The identifier, chosen when the disk was created.
    pub id: u64,
    /// The number of process starts on the disk.
    pub incarnation: u64,
    /// The process that uses it now.
    pub process: u64,
}

/// The replica set of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The number of changes so far.
    pub epoch: Epoch,
    /// The primary; none if it lost its disk.
    pub primary: Option<Name>,
    /// The process that is the primary. Another process of the same gateway needs a new epoch.
    pub process: u64,
    /// The gateways whose disks have all committed records, including the primary.
    pub members: BTreeSet<Name>,
    /// Members that were removed without a replacement, with the epoch of the removal. Their disks
    /// have all records that were committed before it, in case the members' disks are lost.
    pub former_members: BTreeMap<Name, Epoch>,
    /// The size of the set before members were removed; 0 if it is complete.
    pub full_size: usize,
}

impl ReplicaSet {
    /// Returns the former members that may become the primary after all members were lost: those
    /// that were removed last.
    pub fn successors(&self) -> impl Iterator<Item = &Name> {
        let last = self.former_members.values().max().copied();
        self.former_members
            .iter()
            .filter(move |(_, epoch)| Some(**epoch) == last)
            .map(|(name, _)| name)
    }

    /// Updates the former members for a change of the members at an epoch.
    fn update_former_members(&mut self, epoch: Epoch, previous: &BTreeSet<Name>) {
        if self.members.len() < previous.len() {
            self.full_size = self.full_size.max(previous.len());
            let removed = previous.difference(&self.members);
            self.former_members
                .extend(removed.map(|name| (name.clone(), epoch)));
        }
        if self.members.len() >= self.full_size {
            self.former_members.clear();
            self.full_size = 0;
        }
        let members = &self.members;
        self.former_members
            .retain(|name, _| !members.contains(name));
    }
}

/// The state as earlier versions wrote it, without former members.
#[derive(Deserialize)]
pub struct LegacyReplicaSets {
    disks: BTreeMap<Name, Disk>,
    shards: BTreeMap<ShardId, LegacyReplicaSet>,
}

#[derive(Deserialize)]
struct LegacyReplicaSet {
    epoch: Epoch,
    primary: Option<Name>,
    process: u64,
    members: BTreeSet<Name>,
}

impl From<LegacyReplicaSet> for ReplicaSet {
    fn from(legacy: LegacyReplicaSet) -> ReplicaSet {
        ReplicaSet {
            epoch: legacy.epoch,
            primary: legacy.primary,
            process: legacy.process,
            members: legacy.members,
            ..ReplicaSet::default()
        }
    }
}

impl From<LegacyReplicaSets> for ReplicaSets {
    fn from(legacy: LegacyReplicaSets) -> ReplicaSets {
        let shards = legacy.shards.into_iter();
        ReplicaSets {
            disks: legacy.disks,
            shards: shards.map(|(shard, set)| (shard, set.into())).collect(),
        }
    }
}

/// An entry of the consensus log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A process has started on a disk.
    RegisterDisk {
        /// The gateway.
        name: Name,
        /// The disk.
        disk: Disk,
    },
    /// A change of a shard's set, as earlier versions proposed it. It is applied by the rules of
    /// those versions, so that all gateways derive the same state from the same log.
    LegacyChange {
        /// The shard.
        shard: ShardId,
        /// The epoch that the change follows.
        previous_epoch: Epoch,
        /// The gateway that proposes the change.
        proposer: Name,
        /// The new primary.
        primary: Name,
        /// Its process; 0 if the proposer does not know it.
        process: u64,
        /// The new members.
        members: BTreeSet<Name>,
    },
    /// A change of a shard's set.
    ChangeMembers(MembershipChange),
}

/// A change of a shard's set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MembershipChange {
    /// The shard.
    pub shard: ShardId,
    /// The epoch that the change follows.
    pub previous_epoch: Epoch,
    /// The gateway that proposes the change.
    pub proposer: Name,
    /// The new primary.
    pub primary: Name,
    /// Its process; 0 if the proposer does not know it.
    pub process: u64,
    /// The new members.
    pub members: BTreeSet<Name>,
    /// The gateway that joins, and the identifier of its disk that has caught up. The disk may have
    /// been lost since.
    pub joining: Option<(Name, u64)>,
}

impl Entry {
    /// Returns the gateway that proposes the entry.
    pub fn proposer(&self) -> &Name {
        match self {
            Entry::RegisterDisk { name, .. } => name,
            Entry::LegacyChange { proposer, .. } => proposer,
            Entry::ChangeMembers(change) => &change.proposer,
        }
    }
}

/// The replica sets of all shards, and the disks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaSets {
    /// The disks of gateways.
    pub disks: BTreeMap<Name, Disk>,
    /// The sets of the shards that were created.
    pub shards: BTreeMap<ShardId, ReplicaSet>,
}

impl ReplicaSets {
    /// Returns a shard's set; an empty one of epoch 0 if the shard was never created.
    pub fn replica_set(&self, shard: ShardId) -> ReplicaSet {
        self.shards.get(&shard).cloned().unwrap_or_default()
    }

    /// Applies an entry, and returns whether it took effect.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::RegisterDisk { name, disk } => self.register_disk(name, *disk),
            Entry::LegacyChange {
                shard,
                previous_epoch,
                proposer,
                primary,
                process,
                members,
            } => {
                let change = MembershipChange {
                    shard: *shard,
                    previous_epoch: *previous_epoch,
                    proposer: proposer.clone(),
                    primary: primary.clone(),
                    process: *process,
                    members: members.clone(),
                    joining: None,
                };
                let changed = self.changed_set(&change);
                self.replace_set(*shard, changed)
            }
            Entry::ChangeMembers(change) => {
                let changed = self.checked_change(change);
                self.replace_set(change.shard, changed)
            }
        }
    }

    fn replace_set(&mut self, shard: ShardId, changed: Option<ReplicaSet>) -> bool {
        let Some(set) = changed else {
            return false;
        };
        self.shards.insert(shard, set);
        true
    }

    fn register_disk(&mut self, name: &Name, disk: Disk) -> bool {
        let known = self.disks.get(name).copied();
        match known {
            Some(known) if known.id == disk.id && disk.incarnation <= known.incarnation => {
                return false;
            }
            None if self.disks.len() >= MAX_DISKS => return false,
            _ => {}
        }
        self.disks.insert(name.clone(), disk);
        if known.is_some_and(|known| known.id != disk.id) {
            self.remove_lost_disk(name);
        }
        true
    }

    /// Removes a gateway whose disk was lost from all sets.
    fn remove_lost_disk(&mut self, name: &Name) {
        for set in self.shards.values_mut() {
            set.former_members.remove(name);
            if !set.members.remove(name) {
                continue;
            }
            set.epoch += 1;
            if set.primary.as_ref() == Some(name) {
                set.primary = None;
                set.process = 0;
            }
        }
    }

    /// Returns the set after a change, if the change is valid and the joining disk was not lost.
    fn checked_change(&self, change: &MembershipChange) -> Option<ReplicaSet> {
        let current = self.replica_set(change.shard);
        let mut changed = self.changed_set(change)?;
        if !self.is_valid_join(&current, change) {
            return None;
        }
        changed.update_former_members(change.previous_epoch + 1, &current.members);
        Some(changed)
    }

    fn is_valid_join(&self, current: &ReplicaSet, change: &MembershipChange) -> bool {
        let added: Vec<&Name> = change.members.difference(&current.members).collect();
        match (
            current.members.is_empty(),
            added.as_slice(),
            &change.joining,
        ) {
            // A former member takes precedence, because it has the records committed before its
            // removal.
            (true, _, None) => {
                let successors: Vec<&Name> = current.successors().collect();
                successors.is_empty() || successors.contains(&&change.proposer)
            }
            (false, [], None) => true,
            (false, [added], Some((name, disk_id))) => {
                let disk = self.disks.get(name);
                *added == name && disk.is_some_and(|disk| disk.id == *disk_id)
            }
            _ => false,
        }
    }

    /// Returns the set after a change, if the proposer is allowed to make it.
    fn changed_set(&self, change: &MembershipChange) -> Option<ReplicaSet> {
        let current = self.replica_set(change.shard);
        let members = &change.members;
        let is_well_formed = (1..=MAX_SHARDS).contains(&change.shard)
            && current.epoch == change.previous_epoch
            && members.contains(&change.primary)
            && members.len() <= MAX_REPLICAS
            && members.iter().all(|name| self.disks.contains_key(name));
        if !is_well_formed || !is_allowed(&current, change) {
            return None;
        }
        Some(ReplicaSet {
            epoch: change.previous_epoch + 1,
            primary: Some(change.primary.clone()),
            process: change.process,
            members: members.clone(),
            ..current
        })
    }
}

/// Returns whether the proposer is allowed to make a change.
fn is_allowed(current: &ReplicaSet, change: &MembershipChange) -> bool {
    let proposer = &change.proposer;
    if current.members.is_empty() {
        // The shard is created, or created again after all members were lost.
        return *proposer == change.primary && change.members.len() == 1;
    }
    if current.primary.as_ref() == Some(proposer) {
        // The primary adds and removes members, and hands over to a member, which has all committed
        // records.
        return current.members.contains(&change.primary);
    }
    // A member takes over, because it has all committed records. It adds no member by the same
    // change.
    current.members.contains(proposer)
        && *proposer == change.primary
        && change.members.is_subset(&current.members)
}
