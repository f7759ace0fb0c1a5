//! Review of replica sets: creation, takeover, repair, and removal of lagging replicas.

use std::collections::BTreeSet;

use super::Replicator;
use crate::api::Micros;
use crate::replication::placement;
use crate::replication::primary::Primary;
use crate::replication::replica_sets::ReplicaSet;
use crate::replication::{Name, ShardId};

/// The number of acknowledgement timeouts after which a lagging replica is given up, although no
/// other has caught up.
const GIVE_UP_TIMEOUTS: Micros = 10;
/// The number of acknowledgement timeouts for which a removed member is not added again. For a
/// replica that was too slow to catch up it is the number of give-up timeouts.
const EXCLUSION_TIMEOUTS: Micros = 2;

/// Whether the repair of another shard may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepairSlot {
    Free,
    Taken,
}

/// The state of a shard's set, as its primary reviews it.
#[derive(Clone, Debug)]
struct SetReview {
    /// The current members.
    members: BTreeSet<Name>,
    /// Whether no recent proposal is pending.
    can_propose: bool,
    /// A lagging or unreachable member, and the time since which the set has had such a member.
    lagging: Option<(Name, Micros)>,
    /// A replica outside the set that has caught up.
    caught_up: Option<Name>,
    /// The replica outside the set that is being caught up.
    joining: Option<JoiningReplica>,
    /// Whether the set needs another member.
    needs_member: bool,
    /// The next replica to catch up, if none is being caught up and one is eligible.
    next: Option<Name>,
}

/// A replica outside the set that is being caught up.
#[derive(Clone, Debug)]
struct JoiningReplica {
    name: Name,
    /// Whether it lags or is not reachable.
    is_slow: bool,
    /// Whether a proposed change may already have added it.
    is_proposed: bool,
}

impl Replicator {
    /// Proposes the changes that the shards' sets need, starting with the sets with the fewest
    /// members.
    pub(super) fn review_sets(&mut self, now: Micros) {
        let mut repairs = self
            .shards
            .values()
            .filter_map(|shard| shard.primary.as_ref()?.joining())
            .count();
        let mut ids: Vec<ShardId> = self.shards.keys().copied().collect();
        ids.sort_by_key(|id| (self.shards[id].set.members.len(), *id));
        for id in ids {
            let set = self.shards[&id].set.clone();
            if self.is_primary(id) {
                self.open_if_ready(now, id);
                let slot = if repairs < self.settings.max_repairs {
                    RepairSlot::Free
                } else {
                    RepairSlot::Taken
                };
                repairs += usize::from(self.review_own_set(now, id, slot));
            } else if self.is_shutting_down {
                // Other gateways maintain the sets of their shards.
            } else if set.members.is_empty() {
                self.create_set(now, id, &set);
            } else if set.members.contains(&self.settings.name) {
                self.review_primary(now, id, &set);
            }
        }
    }

    /// Proposes this gateway as the only member of a shard without members, if it is a former
    /// member that was removed last and so has the committed records. If there are no former
    /// members, the first reachable gateway of the placement proposes itself; otherwise all other
    /// gateways wait for the former members.
    fn create_set(&mut self, now: Micros, id: ShardId, set: &ReplicaSet) {
        let me = &self.settings.name;
        let is_first = if set.former_members.is_empty() {
            let order = placement::replica_order(id, &self.settings.hosts);
            let first = order.iter().find(|name| self.is_reachable(now, name));
            first == Some(me)
        } else {
            set.successors().any(|name| name == me)
        };
        if is_first {
            let members = BTreeSet::from([me.clone()]);
            self.propose(now, id, set, members);
        }
    }

    /// Proposes to take over a shard, as one of its members, if its primary is lost, not reachable,
    /// or an earlier process of this gateway.
    fn review_primary(&mut self, now: Micros, id: ShardId, set: &ReplicaSet) {
        let me = &self.settings.name;
        let is_other_reachable = set
            .members
            .iter()
            .any(|name| name != me && self.is_reachable(now, name));
        if is_other_reachable && self.is_unsuitable_primary(now, id) {
            return;
        }
        let is_needed = match &set.primary {
            // An earlier process of this gateway was the primary: this process needs a new epoch.
            Some(primary) if primary == me => true,
            Some(primary) => {
                let timeout = self.takeover_timeout(set);
                !self.is_reachable_within(now, primary, timeout)
            }
            None => true,
        };
        if is_needed {
            // The former primary has all committed records, so it stays a member until another
            // gateway has caught up.
            self.propose(now, id, set, set.members.clone());
        }
    }

    /// Returns the time without a message from the primary after which this process takes over. It
    /// differs among the members, so that one takeover is complete before the next begins.
    fn takeover_timeout(&self, set: &ReplicaSet) -> Micros {
        let rank = set
            .members
            .iter()
            .filter(|name| set.primary.as_ref() != Some(name))
            .position(|name| *name == self.settings.name);
        let failure_timeout = self.settings.failure_timeout;
        failure_timeout + failure_timeout / 2 * rank.unwrap_or(0) as Micros
    }

    /// Maintains the set of a shard of which this process is the primary. Returns whether it starts
    /// to catch another replica up.
    ///
    /// A lagging member is replaced by a single change, because it counts as a member until then:
    /// it has all records committed so far. The set shrinks only if no other replica catches up.
    fn review_own_set(&mut self, now: Micros, id: ShardId, slot: RepairSlot) -> bool {
        if self.is_shutting_down {
            self.hand_over_to_successor(now, id);
            return false;
        }
        // Determined before a handover, which may change the time of the last proposal.
        let Some(lagging) = self.primary(id).map(|primary| self.lagging(now, primary)) else {
            return false;
        };
        if self.is_unsuitable_primary(now, id) && self.handle_unsuitable_primary(now, id) {
            return false;
        }
        let Some(primary) = self.primary(id) else {
            return false;
        };
        let review = self.review(now, id, primary, lagging);
        if let Some(primary) = self.primary_mut(id) {
            primary.lagging_since = review.lagging.as_ref().map(|(_, since)| *since);
        }
        self.act_on_review(now, id, slot, review)
    }

    /// Returns a lagging or unreachable member, and the time since which the set has had such a
    /// member.
    fn lagging(&self, now: Micros, primary: &Primary) -> Option<(Name, Micros)> {
        let timeout = self.settings.acknowledgement_timeout;
        let unreachable = || {
            primary
                .members
                .iter()
                .find(|name| !self.is_reachable(now, name))
                .cloned()
        };
        let name = primary
            .lagging_member(now, &self.settings.name, timeout)
            .or_else(unreachable)?;
        Some((name, primary.lagging_since.unwrap_or(now)))
    }

    fn review(
        &self,
        now: Micros,
        id: ShardId,
        primary: &Primary,
        lagging: Option<(Name, Micros)>,
    ) -> SetReview {
        let members = primary.members.clone();
        let joining = primary.joining().map(|name| JoiningReplica {
            name: name.clone(),
            is_slow: !self.is_reachable(now, name)
                || primary.is_lagging(now, name, self.give_up_timeout()),
            is_proposed: primary.proposed_members.contains(name),
        });
        let next = match joining {
            Some(_) => None,
            None => self.next_replica(now, id, &members),
        };
        SetReview {
            can_propose: self.can_propose(now, id),
            caught_up: primary.caught_up_candidate(),
            needs_member: lagging.is_some() || members.len() < self.settings.replicas,
            members,
            lagging,
            joining,
            next,
        }
    }

    fn give_up_timeout(&self) -> Micros {
        GIVE_UP_TIMEOUTS * self.settings.acknowledgement_timeout
    }

    /// Acts on a review. Returns whether it starts to catch another replica up.
    fn act_on_review(
        &mut self,
        now: Micros,
        id: ShardId,
        slot: RepairSlot,
        review: SetReview,
    ) -> bool {
        let current = self.own_set(id);
        if let Some(joining) = &review.joining {
            if joining.is_slow && joining.is_proposed {
                // The replica is slow, but the proposed change may have added it. Another proposal
                // without it brings the next epoch, which shows whether it is a member.
                if review.can_propose {
                    self.propose(now, id, &current, review.members);
                }
                return false;
            }
        }
        if review.needs_member {
            if let Some(name) = review.caught_up.clone() {
                if review.can_propose {
                    self.add_member(now, id, &current, name, review);
                }
                return false;
            }
        }
        if let Some(joining) = &review.joining {
            if !joining.is_proposed && (joining.is_slow || !review.needs_member) {
                self.stop_catching_up(now, id, joining);
                return false;
            }
        }
        if !review.needs_member {
            return false;
        }
        let Some(next) = &review.next else {
            self.remove_lagging(now, id, &current, review);
            return false;
        };
        if slot == RepairSlot::Taken {
            return false;
        }
        if let Some(primary) = self.primary_mut(id) {
            primary.add_peer(next);
        }
        true
    }

    /// Proposes to add a replica that has caught up, in place of the lagging one, if there is one.
    fn add_member(
        &mut self,
        now: Micros,
        id: ShardId,
        current: &ReplicaSet,
        name: Name,
        review: SetReview,
    ) {
        if let Some(primary) = self.primary_mut(id) {
            primary.proposed_members.insert(name.clone());
        }
        let mut members = review.members;
        members.insert(name);
        if let Some((lagging, _)) = review.lagging {
            self.exclude(now, lagging, &mut members);
        }
        self.propose(now, id, current, members);
    }

    /// Proposes to remove the lagging member, if no replica is being caught up or none has caught
    /// up within the give-up timeout.
    fn remove_lagging(
        &mut self,
        now: Micros,
        id: ShardId,
        current: &ReplicaSet,
        review: SetReview,
    ) {
        let Some((lagging, since)) = review.lagging else {
            return;
        };
        let is_given_up = since + self.give_up_timeout() <= now;
        if review.can_propose && (review.joining.is_none() || is_given_up) {
            let mut members = review.members;
            self.exclude(now, lagging, &mut members);
            self.propose(now, id, current, members);
        }
    }

    /// Stops catching a replica up. A replica that was too slow is not chosen again at once,
    /// because its disk may be full.
    fn stop_catching_up(&mut self, now: Micros, id: ShardId, joining: &JoiningReplica) {
        if let Some(primary) = self.primary_mut(id) {
            primary.peers.remove(&joining.name);
        }
        if joining.is_slow {
            let until = now + EXCLUSION_TIMEOUTS * self.give_up_timeout();
            self.excluded_until.insert(joining.name.clone(), until);
        }
    }

    /// Removes a lagging member. It is not added again at once, so that an unstable gateway does
    /// not cause a change each time.
    fn exclude(&mut self, now: Micros, lagging: Name, members: &mut BTreeSet<Name>) {
        members.remove(&lagging);
        let until = now + EXCLUSION_TIMEOUTS * self.settings.acknowledgement_timeout;
        self.excluded_until.insert(lagging, until);
    }

    /// Returns the next gateway to catch up, if one is eligible.
    fn next_replica(&self, now: Micros, id: ShardId, members: &BTreeSet<Name>) -> Option<Name> {
        let is_eligible = |name: &Name| {
            let excluded_until = self.excluded_until.get(name);
            *name != self.settings.name
                && self.sets.disks.contains_key(name)
                && self.is_reachable(now, name)
                && excluded_until.is_none_or(|until| *until <= now)
        };
        placement::next_replica(id, &self.settings.hosts, members, is_eligible)
    }
}
