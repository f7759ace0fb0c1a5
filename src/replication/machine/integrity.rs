//! Disks that do not hold what was written, or have nothing to say any more.
//!
//! A disk finds out by itself, by sums that are kept with what they are of. A copy says so to its primary, counts for nothing
//! and is sent a snapshot. A primary hands its shard to a member whose disk is whole, and is then a copy like any other. So
//! what is damaged is never handed on: each disk looks at a shard before it is read for another. Where no other disk has the
//! shard what is left of it counts, and it is told that something may be gone.

use super::*;

impl Replicator {
    /// Has the disk looked at, now and again.
    pub(super) fn look_at_soundness(&mut self, now: Micros) {
        if self.settings.verify_interval > 0 && self.verify.is_some_and(|t| t <= now) {
            self.verify = None;
            self.outputs.push_back(Output::VerifyDisk);
        }
        let said: Vec<(Name, Message)> = self
            .shards
            .iter()
            .filter(|(_, s)| s.unsound.is_some() && s.leading.is_none())
            .filter_map(|(id, s)| {
                let primary = s.set.primary.clone().filter(|p| *p != self.settings.name)?;
                Some((primary, Message::Corrupt(*id, s.set.epoch)))
            })
            .collect();
        said.into_iter().for_each(|(to, body)| self.say(to, body));
    }

    pub(super) fn verified(&mut self, now: Micros, found: Option<Vec<(ShardId, Vec<u8>)>>) {
        // One that cannot be read at all owes its word for all that is written to it, too.
        self.verify = Some(now + self.settings.verify_interval);
        for (shard, ranges) in found
            .into_iter()
            .flatten()
            .filter(|(_, ranges)| !ranges.is_empty())
        {
            self.unsound(shard, ranges);
        }
    }

    pub(super) fn unsound(&mut self, shard: ShardId, ranges: Vec<u8>) {
        let without = self.settings.disabled_guards.sound;
        let Some(s) = self.shards.get_mut(&shard) else {
            return;
        };
        // A snapshot that is on its way to the disk mends it, whatever was found before.
        let mends = s.pending.iter().any(|p| p.whole);
        if without || mends || s.unsound.is_some() {
            return;
        }
        s.unsound = Some(ranges.clone());
        self.note(HistoryEvent::Damaged { shard, ranges });
    }

    /// Whether this process should not lead a shard, if anybody else can.
    pub(super) fn is_unfit(&self, now: Micros, shard: ShardId) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|s| s.unsound.is_some() || s.is_stuck(now, 2 * self.settings.acknowledgement_timeout))
    }

    /// Hands a shard that is led here to another of its set; whether there is one, or one is waited for.
    pub(super) fn yield_lead(&mut self, now: Micros, shard: ShardId) -> bool {
        let (me, silent, stall) = (
            self.settings.name.clone(),
            self.settings.failure_timeout,
            self.settings.acknowledgement_timeout,
        );
        let Some(s) = self.shards.get(&shard) else {
            return false;
        };
        let (Some(l), damaged) = (s.leading.as_ref(), s.unsound.is_some()) else {
            return false;
        };
        let again = l.proposed.is_none_or(|t| t + stall / 2 <= now);
        match l.fittest(&me, |n| self.is_heard(now, n, silent)) {
            Some(to) => {
                if again {
                    self.give_to(now, shard, to);
                }
                true
            }
            None if damaged && l.set.len() == 1 => {
                if again {
                    if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
                        l.proposed = Some(now);
                    }
                    self.outputs.push_back(Output::AcceptDamage(shard));
                }
                true
            }
            None if damaged => {
                // Another has it whole, and may come back; this disk would take its place as it is.
                let Some(s) = self.shards.get_mut(&shard).filter(|s| !s.waiting) else {
                    return true;
                };
                s.waiting = true;
                let members = s.set.members.iter().cloned().collect();
                self.note(HistoryEvent::WaitingForReplica { shard, members });
                true
            }
            None => false,
        }
    }

    /// Another of the set is to lead.
    pub(super) fn give_to(&mut self, now: Micros, shard: ShardId, to: Name) {
        let Some(l) = self.shards.get(&shard).and_then(|s| s.leading.as_ref()) else {
            return;
        };
        let (epoch, members) = (l.epoch, l.set.clone());
        let set = ReplicaSet {
            epoch,
            primary: Some(self.settings.name.clone()),
            members: members.clone(),
            ..ReplicaSet::default()
        };
        self.hand_over(now, shard, &set, members, to);
    }

    pub(super) fn accepted(&mut self, shard: ShardId) {
        let Some(s) = self.shards.get_mut(&shard) else {
            return;
        };
        if s.unsound.take().is_none() {
            return;
        }
        s.waiting = false;
        let leads = s.leading.as_ref().map(|l| l.epoch);
        self.note(HistoryEvent::Repaired {
            shard,
            accepted: true,
        });
        if let Some(epoch) = leads {
            // What stands of it is read once more.
            self.outputs.push_back(Output::BecomePrimary(shard, epoch));
        }
    }
}
