//! Damaged and stuck disks.
//!
//! Each gateway detects damage of its own disk by checksums. A damaged replica reports to its
//! primary, does not count, and is sent a snapshot. A damaged primary hands its shard over to an
//! intact member, and is then repaired like any other replica. Damage is never passed on, because a
//! shard is verified before it is read for another gateway. If no other disk has the shard, the
//! disk is read a second time; if the damage is found again, the readable rows are accepted, and
//! the possible loss of committed data is reported.

use super::{Output, Replicator};
use crate::api::Micros;
use crate::replication::damage::{Damage, DamageEvidence};
use crate::replication::history::HistoryEvent;
use crate::replication::shard::WriteKind;
use crate::replication::wire::Message;
use crate::replication::{Name, ShardId};

impl Replicator {
    /// Starts a verification of the disk if one is due or damage is suspected, and reports damaged
    /// replicas to their primaries.
    pub(super) fn check_integrity(&mut self, now: Micros) {
        let is_due = self.verify_at.is_some_and(|at| at <= now);
        let is_periodic = self.settings.verify_interval > 0 && is_due;
        if self.verify_at.is_some() && (is_periodic || self.is_damage_suspected()) {
            self.start_verification();
        }
        let me = &self.settings.name;
        let reports: Vec<(Name, Message)> = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.damage.is_some() && shard.primary.is_none())
            .filter_map(|(id, shard)| {
                let primary = shard.set.primary.clone().filter(|name| name != me)?;
                Some((primary, Message::Corrupt(*id, shard.set.epoch)))
            })
            .collect();
        self.send_all(reports);
    }

    fn is_damage_suspected(&self) -> bool {
        let is_suspected = |damage: &Damage| damage.evidence == DamageEvidence::Suspected;
        let mut damages = self
            .shards
            .values()
            .filter_map(|shard| shard.damage.as_ref());
        damages.any(is_suspected)
    }

    /// Starts to read all shards on the disk; for shards with suspected damage this is the second
    /// read.
    fn start_verification(&mut self) {
        self.verify_at = None;
        self.replace_evidence(DamageEvidence::Suspected, DamageEvidence::BeingVerified);
        self.outputs.push_back(Output::VerifyDisk);
    }

    fn replace_evidence(&mut self, from: DamageEvidence, to: DamageEvidence) {
        let damages = self
            .shards
            .values_mut()
            .filter_map(|shard| shard.damage.as_mut());
        for damage in damages.filter(|damage| damage.evidence == from) {
            damage.evidence = to;
        }
    }

    /// Handles the result of a verification. A disk that cannot be read at all does not complete
    /// its writes either, so it is detected as stuck.
    pub(super) fn disk_verified(&mut self, now: Micros, verified: Option<Vec<(ShardId, Vec<u8>)>>) {
        self.verify_at = Some(now + self.settings.verify_interval);
        let Some(verified) = verified else {
            return self.replace_evidence(DamageEvidence::BeingVerified, DamageEvidence::Suspected);
        };
        for (shard, ranges) in verified {
            if !ranges.is_empty() {
                self.damage_verified(shard, ranges);
            } else if self.is_being_verified(shard) {
                self.damage_refuted(shard);
            }
        }
        // These shards are missing in the result: the disk no longer knows them, although it has
        // rows of them.
        self.replace_evidence(DamageEvidence::BeingVerified, DamageEvidence::Confirmed);
    }

    fn is_being_verified(&self, shard: ShardId) -> bool {
        let damage = self
            .shards
            .get(&shard)
            .and_then(|replica| replica.damage.as_ref());
        damage.is_some_and(|damage| damage.evidence == DamageEvidence::BeingVerified)
    }

    /// Handles damage that a verification has found, for the first or the second time.
    fn damage_verified(&mut self, shard: ShardId, ranges: Vec<u8>) {
        if !self.is_being_verified(shard) {
            return self.set_corrupt(shard, ranges);
        }
        let replica = self.shards.get_mut(&shard);
        if let Some(damage) = replica.and_then(|replica| replica.damage.as_mut()) {
            damage.ranges = ranges;
            damage.evidence = DamageEvidence::Confirmed;
        }
    }

    /// Continues with a shard that a second read has found to be intact.
    fn damage_refuted(&mut self, shard: ShardId) {
        if let Some(replica) = self.shards.get_mut(&shard) {
            replica.damage = None;
        }
        self.record_event(HistoryEvent::DamageRefuted { shard });
        self.request_state(shard);
    }

    /// Marks a shard as damaged, unless the pending write of a snapshot repairs it.
    pub(super) fn set_corrupt(&mut self, shard: ShardId, ranges: Vec<u8>) {
        let is_check_disabled = self.settings.disabled_guards.integrity_check;
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        let is_repaired_soon = replica
            .pending
            .iter()
            .any(|write| write.kind == WriteKind::Snapshot);
        if is_check_disabled || is_repaired_soon || replica.damage.is_some() {
            return;
        }
        replica.damage = Some(Damage::suspected(ranges.clone()));
        self.record_event(HistoryEvent::Damaged { shard, ranges });
    }

    /// Returns whether a shard on this disk is damaged or stuck, so that another member should be
    /// its primary.
    pub(super) fn is_unsuitable_primary(&self, now: Micros, shard: ShardId) -> bool {
        let timeout = 2 * self.settings.acknowledgement_timeout;
        self.shards
            .get(&shard)
            .is_some_and(|replica| replica.damage.is_some() || replica.is_stuck(now, timeout))
    }

    /// Hands a damaged or stuck shard over to a reachable member that has all committed records. If
    /// there is none, waits until the damage is confirmed; then accepts it if this is the only
    /// member, and otherwise waits for another member. Returns `false` if the set can be reviewed
    /// as usual.
    pub(super) fn handle_unsuitable_primary(&mut self, now: Micros, shard: ShardId) -> bool {
        let Some(replica) = self.shards.get(&shard) else {
            return false;
        };
        let Some(primary) = replica.primary.as_ref() else {
            return false;
        };
        let is_confirmed = replica.damage.as_ref().map(Damage::is_confirmed);
        let is_only_member = primary.members.len() == 1;
        let can_propose = self.can_propose(now, shard);
        let successor =
            primary.most_advanced(&self.settings.name, |name| self.is_reachable(now, name));
        if let Some(successor) = successor {
            if can_propose {
                self.hand_over_to(now, shard, successor);
            }
            return true;
        }
        let Some(is_confirmed) = is_confirmed else {
            return false;
        };
        if !is_confirmed {
            return true;
        }
        if is_only_member {
            if can_propose {
                self.record_proposal(now, shard);
                self.outputs.push_back(Output::AcceptDamage(shard));
            }
        } else {
            self.report_waiting(shard);
        }
        true
    }

    /// Reports once that a damaged disk waits for another member, which has the whole shard and may
    /// come back.
    fn report_waiting(&mut self, shard: ShardId) {
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        let Some(damage) = replica.damage.as_mut() else {
            return;
        };
        if std::mem::replace(&mut damage.wait_reported, true) {
            return;
        }
        let members = replica.set.members.iter().cloned().collect();
        self.record_event(HistoryEvent::WaitingForReplica { shard, members });
    }

    /// Continues with the readable rows of a damaged shard.
    pub(super) fn damage_accepted(&mut self, shard: ShardId) {
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        if replica.damage.take().is_none() {
            return;
        }
        self.record_event(HistoryEvent::Repaired {
            shard,
            accepted: true,
        });
        self.request_state(shard);
    }
}
