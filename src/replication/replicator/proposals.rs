//! Proposals to change the replica sets of shards.

use std::collections::BTreeSet;

use super::{Output, Replicator};
use crate::api::Micros;
use crate::replication::replica_sets::{Entry, MembershipChange, ReplicaSet};
use crate::replication::{Name, ShardId};

impl Replicator {
    /// Returns whether this process is the primary of a shard and no recent proposal is pending.
    pub(super) fn can_propose(&self, now: Micros, id: ShardId) -> bool {
        let interval = self.settings.acknowledgement_timeout / 2;
        self.primary(id).is_some_and(|primary| {
            primary
                .proposed_at
                .is_none_or(|proposed_at| proposed_at + interval <= now)
        })
    }

    /// Notes the time of a proposal.
    pub(super) fn record_proposal(&mut self, now: Micros, id: ShardId) {
        if let Some(primary) = self.primary_mut(id) {
            primary.proposed_at = Some(now);
        }
    }

    /// Returns the set of a shard of which this process is the primary.
    pub(super) fn own_set(&self, id: ShardId) -> ReplicaSet {
        self.primary(id)
            .map_or_else(ReplicaSet::default, |primary| ReplicaSet {
                epoch: primary.epoch,
                primary: Some(self.settings.name.clone()),
                members: primary.members.clone(),
                ..ReplicaSet::default()
            })
    }

    /// Hands a shard over to a reachable member that has the whole log, if there is one.
    pub(super) fn hand_over_to_successor(&mut self, now: Micros, id: ShardId) {
        let Some(primary) = self.primary(id) else {
            return;
        };
        let successor = primary
            .successor(&self.settings.name)
            .filter(|name| self.is_reachable(now, name));
        if let Some(successor) = successor.filter(|_| self.can_propose(now, id)) {
            self.hand_over_to(now, id, successor);
        }
    }

    /// Proposes another member as the primary. The process of that member is not known here, so the
    /// member then proposes another epoch with its process.
    pub(super) fn hand_over_to(&mut self, now: Micros, shard: ShardId, successor: Name) {
        let Some(primary) = self.primary_mut(shard) else {
            return;
        };
        primary.proposed_at = Some(now);
        let change = MembershipChange {
            shard,
            previous_epoch: primary.epoch,
            members: primary.members.clone(),
            proposer: self.settings.name.clone(),
            primary: successor,
            process: 0,
            joining: None,
        };
        self.outputs
            .push_back(Output::Propose(Entry::ChangeMembers(change)));
    }

    /// Proposes this process as the primary of a shard with the given members.
    pub(super) fn propose(
        &mut self,
        now: Micros,
        shard: ShardId,
        current: &ReplicaSet,
        members: BTreeSet<Name>,
    ) {
        self.record_proposal(now, shard);
        let me = self.settings.name.clone();
        // The change names the disk that has caught up, because the disk may be lost before the
        // change is agreed on.
        let added = members
            .difference(&current.members)
            .find(|name| **name != me);
        let joining = added.and_then(|name| {
            let disk = self.sets.disks.get(name)?;
            Some((name.clone(), disk.id))
        });
        let change = MembershipChange {
            shard,
            previous_epoch: current.epoch,
            proposer: me.clone(),
            primary: me,
            process: self.settings.process,
            members,
            joining,
        };
        self.outputs
            .push_back(Output::Propose(Entry::ChangeMembers(change)));
    }
}
