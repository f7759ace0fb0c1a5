//! What the log says, and what each shard's set lacks.

use super::*;

impl Replicator {
    /// The log is told which process has which disk; only then does it count for anything.
    pub(super) fn look_at_disk(&mut self, now: Micros) {
        let Some(disk) = self.disk else { return };
        match self.sets.disks.get(&self.settings.name) {
            Some(k) if *k == disk => self.known = true,
            Some(k) if k.id == disk.id && k.incarnation >= disk.incarnation => {
                // Another process has begun on this disk since: it is yesterday's copy, or it was taken away.
                (self.known, self.disk) = (false, None);
                for s in self.shards.values_mut() {
                    s.place = LogPosition::default();
                }
                self.outputs.push_back(Output::DiskRejected);
            }
            _ => {
                self.known = false;
                if now >= self.proposed + self.settings.acknowledgement_timeout / 2 || self.proposed == 0 {
                    self.proposed = now.max(1);
                    let name = self.settings.name.clone();
                    self.outputs
                        .push_back(Output::Propose(Entry::RegisterDisk { name, disk }));
                }
            }
        }
    }

    /// Takes up what the log says of each shard.
    pub(super) fn take_up(&mut self, now: Micros) {
        self.look_at_processes();
        let me = self.settings.name.clone();
        for id in 1..=self.settings.shards {
            let set = self.sets.replica_set(id);
            let Some(s) = self.shards.get_mut(&id) else {
                continue;
            };
            let older = std::mem::replace(&mut s.set, set);
            let process = s.set.process == self.settings.process || self.settings.disabled_guards.process;
            let mine = self.known && s.set.primary.as_ref() == Some(&me) && process;
            let (epoch, members) = (s.set.epoch, s.set.members.clone());
            let mut events = Vec::new();
            match (&mut s.leading, mine) {
                (Some(l), true) if l.epoch != epoch => {
                    l.changed(epoch, members.clone());
                    if l.open {
                        events.push(led(id, epoch, l.head, &members));
                    }
                }
                (Some(l), false) if !l.open => s.leading = None,
                (Some(l), false) => {
                    let ours = l.epoch;
                    for ticket in l.unpromised() {
                        let why = ReplicationError::Superseded {
                            shard: id,
                            ours,
                            theirs: epoch,
                        };
                        events.push(Output::Rejected(ticket, why));
                    }
                    events.push(Output::RecordEvent(HistoryEvent::SteppedDown {
                        shard: id,
                        epoch: ours,
                    }));
                    events.push(Output::StepDown(id));
                    s.leading = None;
                }
                (None, true) => {
                    let come = (s.place, s.stored());
                    s.leading = Some(Primary::new(now, &me, id, (epoch, members), come));
                    if older.epoch > 0 && older.members.is_empty() {
                        events.push(Output::RecordEvent(match older.former_members.contains_key(&me) {
                            true => HistoryEvent::RecoveredFromFormer { shard: id },
                            false => HistoryEvent::DataLost { shard: id },
                        }));
                    }
                }
                _ => {}
            }
            self.outputs.extend(events);
            self.open(now, id);
        }
    }

    /// What processes told that are there no more counts for nothing: those of the same names are asked anew.
    fn look_at_processes(&mut self) {
        let news: Vec<Name> = self
            .sets
            .disks
            .iter()
            .filter(|(name, disk)| self.processes.get(*name) != Some(&disk.process))
            .map(|(name, _)| name.clone())
            .collect();
        for name in news {
            if let Some(disk) = self.sets.disks.get(&name) {
                self.processes.insert(name.clone(), disk.process);
            }
            for l in self.shards.values_mut().filter_map(|s| s.leading.as_mut()) {
                l.renewed(&name);
            }
        }
    }

    /// A shard that is led here is opened once those who hold it have told how far they have come: one that has more is to lead
    /// itself, and would be overwritten by what is taken here before.
    pub(super) fn open(&mut self, now: Micros, id: ShardId) {
        let (stall, silent) = (2 * self.settings.acknowledgement_timeout, self.settings.failure_timeout);
        let Some(l) = self.shards.get(&id).and_then(|s| s.leading.as_ref()) else {
            return;
        };
        if !l.may_open(now, stall, |n| self.is_heard(now, n, silent)) {
            return;
        }
        if let Some(l) = self.shards.get_mut(&id).and_then(|s| s.leading.as_mut()) {
            l.open = true;
            let (epoch, event) = (l.epoch, led(id, l.epoch, l.head, &l.set));
            self.outputs.push_back(event);
            self.outputs.push_back(Output::BecomePrimary(id, epoch));
        }
    }

    pub(super) fn tick(&mut self, now: Micros) {
        // Nothing can be said of others' silence by one that was stopped itself.
        if now > self.ticked + self.settings.failure_timeout / 2 {
            self.heard.values_mut().for_each(|t| *t = now);
        }
        self.ticked = now;
        let over: Vec<u64> = self
            .asked
            .iter()
            .filter(|(_, q)| q.until <= now)
            .map(|(n, _)| *n)
            .collect();
        for number in over {
            if let Some(q) = self.asked.remove(&number) {
                let why = ReplicationError::PrimaryUnreachable { shard: q.shard };
                self.outputs
                    .push_back(Output::Response(q.ticket, RequestOutcome::Rejected(why)));
            }
        }
        if now >= self.beat + self.settings.failure_timeout / 5 {
            self.beat = now;
            let to: Vec<Name> = self.peers().cloned().collect();
            to.into_iter().for_each(|to| self.say(to, Message::Heartbeat));
        }
        self.look_at_disk(now);
        if self.known {
            self.look_at_soundness(now);
            self.look_at_sets(now);
        }
    }

    pub(super) fn is_heard(&self, now: Micros, name: &Name, silent: Micros) -> bool {
        *name == self.settings.name || self.heard.get(name).is_some_and(|t| now < t + silent)
    }

    /// Proposes what each shard's set lacks.
    pub(super) fn look_at_sets(&mut self, now: Micros) {
        let me = self.settings.name.clone();
        let mut joining = self
            .shards
            .values()
            .filter_map(|s| s.leading.as_ref()?.joining())
            .count();
        // What has the fewest copies comes first.
        let mut all: Vec<ShardId> = self.shards.keys().copied().collect();
        all.sort_by_key(|id| (self.shards[id].set.members.len(), *id));
        for id in all {
            let set = self.shards[&id].set.clone();
            if self.shards[&id].leading.is_some() {
                self.open(now, id);
                joining += usize::from(self.lead(now, id, joining < self.settings.max_repairs));
            } else if self.leaving {
                // What others lead is theirs.
            } else if set.members.is_empty() && !set.former_members.is_empty() {
                // Who was left out last has what was promised until then; it is waited for.
                if set.successors().any(|n| *n == me) {
                    self.propose(now, id, &set, [me.clone()].into());
                }
            } else if set.members.is_empty() {
                let order = placement::replica_order(id, &self.settings.hosts);
                let first = order
                    .iter()
                    .find(|n| self.is_heard(now, n, self.settings.failure_timeout));
                if first == Some(&me) {
                    self.propose(now, id, &set, [me.clone()].into());
                }
            } else if set.members.contains(&me) {
                let members = set.members.clone();
                // One whose disk is damaged or stuck leaves it to the others, as long as one of them can be heard.
                let others = members
                    .iter()
                    .any(|m| *m != me && self.is_heard(now, m, self.settings.failure_timeout));
                if others && self.is_unfit(now, id) {
                    continue;
                }
                match &set.primary {
                    // Of one's own name, and another process: a new epoch for this one.
                    Some(p) if *p == me => self.propose(now, id, &set, members),
                    primary => {
                        // The others one after the other, so that the first is done before the second begins.
                        let turn = members
                            .iter()
                            .filter(|m| primary.as_ref() != Some(m))
                            .position(|m| *m == me);
                        let waits = self.settings.failure_timeout
                            + self.settings.failure_timeout / 2 * turn.unwrap_or(0) as Micros;
                        // The one before stays in the set until another has come: it has all that was promised.
                        if primary
                            .as_ref()
                            .is_none_or(|p| !self.is_heard(now, p, waits))
                        {
                            self.propose(now, id, &set, members);
                        }
                    }
                }
            }
        }
    }

    /// What the primary of a shard does for its set; whether somebody new begins to be brought along.
    ///
    /// One that owes its word leaves the set by the same change by which another comes: until then it counts, as it has all
    /// that was promised before. Only where nobody else comes is the set left smaller.
    pub(super) fn lead(&mut self, now: Micros, id: ShardId, room: bool) -> bool {
        let (me, stall, silent) = (
            self.settings.name.clone(),
            self.settings.acknowledgement_timeout,
            self.settings.failure_timeout,
        );
        let Some(l) = self.shards.get(&id).and_then(|s| s.leading.as_ref()) else {
            return false;
        };
        let (mut members, again) = (
            l.set.clone(),
            l.proposed.is_none_or(|t| t + stall / 2 <= now),
        );
        let set = ReplicaSet {
            epoch: l.epoch,
            primary: Some(me.clone()),
            members: members.clone(),
            ..ReplicaSet::default()
        };
        let unheard = || {
            l.set
                .iter()
                .find(|n| !self.is_heard(now, n, silent))
                .cloned()
        };
        let late = l.stalled(now, &me, stall).or_else(unheard);
        let since = late.is_some().then(|| l.late.unwrap_or(now));
        if self.leaving {
            let to = l.heir(&me).filter(|n| self.is_heard(now, n, silent));
            if let (Some(to), true) = (to, again) {
                self.hand_over(now, id, &set, members, to);
            }
            return false;
        }
        if self.is_unfit(now, id) && self.yield_lead(now, id) {
            return false;
        }
        let Some(l) = self.shards.get(&id).and_then(|s| s.leading.as_ref()) else {
            return false;
        };
        let (arrived, joining) = (l.arrived(), l.joining().cloned());
        let slow = |n: &Name| !self.is_heard(now, n, silent) || l.is_slow(now, n, GIVES_UP * stall);
        let gone = joining
            .as_ref()
            .is_some_and(|n| slow(n) && !l.maybe.contains(n));
        let unsettled = joining
            .as_ref()
            .is_some_and(|n| slow(n) && l.maybe.contains(n));
        let wanted = late.is_some() || members.len() < self.settings.copies;
        let given_up = since.is_some_and(|t| t + GIVES_UP * stall <= now);
        let next = joining
            .is_none()
            .then(|| self.next_for(now, id, &members))
            .flatten();
        let Some(l) = self.shards.get_mut(&id).and_then(|s| s.leading.as_mut()) else {
            return false;
        };
        l.late = since;
        if unsettled {
            // It may have been let in and is not there: the next epoch tells, with or without it.
            if again {
                self.propose(now, id, &set, members);
            }
            return false;
        }
        if let (Some(comes), true) = (&arrived, wanted) {
            if again {
                l.maybe.insert(comes.clone());
                members.insert(comes.clone());
                self.leaves(now, late, &mut members);
                self.propose(now, id, &set, members);
            }
            return false;
        }
        if let Some(name) = joining.filter(|n| gone || !wanted && !l.maybe.contains(n)) {
            l.peers.remove(&name);
            if gone {
                // Not at once again: its disk may be full.
                self.calm.insert(name, now + 2 * GIVES_UP * stall);
            }
            return false;
        }
        match next.filter(|_| wanted) {
            Some(next) if room => {
                l.meet(&next);
                return true;
            }
            Some(_) => {}
            // Nobody is there to come, or none has come for long.
            None if late.is_some() && again && (l.joining().is_none() || given_up) => {
                self.leaves(now, late, &mut members);
                self.propose(now, id, &set, members);
            }
            None => {}
        }
        false
    }

    /// One that owes its word leaves. Not at once again, so that one that comes and goes costs no change each time.
    pub(super) fn leaves(&mut self, now: Micros, late: Option<Name>, members: &mut BTreeSet<Name>) {
        if let Some(late) = late {
            members.remove(&late);
            self.calm.insert(late, now + 2 * self.settings.acknowledgement_timeout);
        }
    }

    /// Who is to be brought along next, if anybody can be.
    pub(super) fn next_for(
        &self,
        now: Micros,
        id: ShardId,
        members: &BTreeSet<Name>,
    ) -> Option<Name> {
        let may = |n: &Name| {
            *n != self.settings.name
                && self.sets.disks.contains_key(n)
                && self.is_heard(now, n, self.settings.failure_timeout)
                && self.calm.get(n).is_none_or(|t| *t <= now)
        };
        placement::next_replica(id, &self.settings.hosts, members, may)
    }

    /// Another member, which has all, is to lead; it asks for an epoch of its own once it hears.
    pub(super) fn hand_over(
        &mut self,
        now: Micros,
        shard: ShardId,
        set: &ReplicaSet,
        members: BTreeSet<Name>,
        to: Name,
    ) {
        if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
            l.proposed = Some(now);
        }
        let (was, by) = (set.epoch, self.settings.name.clone());
        let entry = MembershipChange {
            shard,
            previous_epoch: was,
            proposer: by,
            primary: to,
            process: 0,
            members,
            joining: None,
        };
        self.outputs.push_back(Output::Propose(Entry::ChangeMembers(entry)));
    }

    pub(super) fn propose(
        &mut self,
        now: Micros,
        shard: ShardId,
        set: &ReplicaSet,
        members: BTreeSet<Name>,
    ) {
        if let Some(l) = self.shards.get_mut(&shard).and_then(|s| s.leading.as_mut()) {
            l.proposed = Some(now);
        }
        let (me, process) = (self.settings.name.clone(), self.settings.process);
        // Of one that comes, the disk that told that it has all; it may be lost before this is agreed on.
        let comes = members
            .difference(&set.members)
            .find(|n| **n != me)
            .cloned();
        let joins = comes.and_then(|n| Some((n.clone(), self.sets.disks.get(&n)?.id)));
        let (was, by) = (set.epoch, me.clone());
        let entry = MembershipChange {
            shard,
            previous_epoch: was,
            proposer: by,
            primary: me,
            process,
            members,
            joining: joins,
        };
        self.outputs.push_back(Output::Propose(Entry::ChangeMembers(entry)));
    }
}
