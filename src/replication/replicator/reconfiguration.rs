//! Application of the agreed replica sets: this process is registered on its disk, becomes the
//! primary of shards, and steps down.

use super::{Output, Replicator};
use crate::api::Micros;
use crate::replication::error::ReplicationError;
use crate::replication::history::{short_digest, HistoryEvent};
use crate::replication::primary::{LocalProgress, Primary, PrimaryTerm, StateRead};
use crate::replication::replica_sets::{Entry, ReplicaSet};
use crate::replication::{Epoch, LogPosition, Name, ShardId};

impl Replicator {
    /// Proposes this process as the user of its disk, again and again until the proposal is agreed
    /// on. Before that, the process accepts no records and becomes no primary.
    pub(super) fn check_registration(&mut self, now: Micros) {
        let Some(disk) = self.disk else {
            return;
        };
        let agreed = self.sets.disks.get(&self.settings.name).copied();
        if agreed == Some(disk) {
            self.is_registered = true;
            return;
        }
        self.is_registered = false;
        let is_outdated = agreed
            .is_some_and(|agreed| agreed.id == disk.id && agreed.incarnation >= disk.incarnation);
        if is_outdated {
            return self.reject_disk();
        }
        let interval = self.settings.acknowledgement_timeout / 2;
        if self.disk_proposed_at == 0 || now >= self.disk_proposed_at + interval {
            self.disk_proposed_at = now.max(1);
            let name = self.settings.name.clone();
            let entry = Entry::RegisterDisk { name, disk };
            self.outputs.push_back(Output::Propose(entry));
        }
    }

    /// Rejects the disk: another process has started on it since, so it is an old copy or in use by
    /// that process.
    fn reject_disk(&mut self) {
        self.disk = None;
        for shard in self.shards.values_mut() {
            shard.position = LogPosition::default();
        }
        self.outputs.push_back(Output::DiskRejected);
    }

    /// Applies the agreed sets to all shards.
    pub(super) fn apply_sets(&mut self, now: Micros) {
        self.update_processes();
        for id in 1..=self.settings.shards {
            self.apply_set(now, id);
            self.open_if_ready(now, id);
        }
    }

    /// Updates the agreed processes. Reports of earlier processes of the same gateways no longer
    /// count.
    fn update_processes(&mut self) {
        let started: Vec<(Name, u64)> = self
            .sets
            .disks
            .iter()
            .filter(|(name, disk)| self.processes.get(*name) != Some(&disk.process))
            .map(|(name, disk)| (name.clone(), disk.process))
            .collect();
        for (name, process) in started {
            for primary in self.primaries_mut() {
                primary.process_restarted(&name);
            }
            self.processes.insert(name, process);
        }
    }

    fn apply_set(&mut self, now: Micros, id: ShardId) {
        let set = self.sets.replica_set(id);
        let is_own = self.is_own_set(&set);
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut shard.set, set);
        let term = PrimaryTerm {
            epoch: shard.set.epoch,
            members: shard.set.members.clone(),
        };
        match (&mut shard.primary, is_own) {
            (Some(primary), true) if primary.epoch != term.epoch => {
                primary.reconfigure(term);
                if primary.is_open {
                    let event = became_primary(id, primary);
                    self.record_event(event);
                }
            }
            (Some(_), false) => self.step_down(id),
            (None, true) => {
                let progress = LocalProgress {
                    head: shard.position,
                    stored: shard.stored(),
                };
                let me = &self.settings.name;
                shard.primary = Some(Primary::new(now, me, id, term, progress));
                self.report_lost_members(id, &previous);
            }
            _ => {}
        }
    }

    /// Returns whether this process is the primary of an agreed set.
    fn is_own_set(&self, set: &ReplicaSet) -> bool {
        let is_own_process =
            set.process == self.settings.process || self.settings.disabled_guards.process_check;
        self.is_registered && set.primary.as_ref() == Some(&self.settings.name) && is_own_process
    }

    /// Ends this process's role as the primary of a shard. Uncommitted records are rejected.
    fn step_down(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(primary) = shard.primary.take().filter(|primary| primary.is_open) else {
            return;
        };
        let (ours, theirs) = (primary.epoch, shard.set.epoch);
        for waiter in primary.uncommitted_waiters() {
            let error = ReplicationError::Superseded {
                shard: id,
                ours,
                theirs,
            };
            self.outputs.push_back(Output::Rejected(waiter, error));
        }
        self.record_event(HistoryEvent::SteppedDown {
            shard: id,
            epoch: ours,
        });
        self.outputs.push_back(Output::StepDown(id));
    }

    /// Reports the loss of the disks of all members of a shard's previous set, if they were lost.
    fn report_lost_members(&mut self, id: ShardId, previous: &ReplicaSet) {
        if previous.epoch == 0 || !previous.members.is_empty() {
            return;
        }
        let was_member = previous.former_members.contains_key(&self.settings.name);
        self.record_event(if was_member {
            HistoryEvent::RecoveredFromFormer { shard: id }
        } else {
            HistoryEvent::DataLost { shard: id }
        });
    }

    /// Starts to accept records once the other members have reported their positions. A member with
    /// more records has to become the primary itself; records accepted here before that would
    /// overwrite its records.
    pub(super) fn open_if_ready(&mut self, now: Micros, id: ShardId) {
        let timeout = 2 * self.settings.acknowledgement_timeout;
        let is_ready = self.primary(id).is_some_and(|primary| {
            primary.can_open(now, timeout, |name| self.is_reachable(now, name))
        });
        if !is_ready {
            return;
        }
        if let Some(primary) = self.primary_mut(id) {
            primary.is_open = true;
            let event = became_primary(id, primary);
            self.record_event(event);
            self.request_state(id);
        }
    }

    /// Requests a read of the state of an open shard, unless it was read. While this process is the
    /// primary, it knows its own work in progress; a second read would mistake this work for that
    /// of another process.
    pub(super) fn request_state(&mut self, id: ShardId) {
        let Some(primary) = self.primary_mut(id) else {
            return;
        };
        if !primary.is_open || primary.state_read == StateRead::Complete {
            return;
        }
        let epoch = primary.epoch;
        primary.state_read = StateRead::Requested(epoch);
        self.outputs.push_back(Output::BecomePrimary(id, epoch));
    }

    /// Returns whether a state that was requested under an epoch is still awaited.
    pub fn awaits_state(&self, id: ShardId, epoch: Epoch) -> bool {
        self.primary(id)
            .is_some_and(|primary| primary.state_read == StateRead::Requested(epoch))
    }

    /// Notes that the state of a shard was read.
    pub(super) fn state_loaded(&mut self, id: ShardId) {
        if let Some(primary) = self.primary_mut(id) {
            primary.state_read = StateRead::Complete;
        }
    }
}

fn became_primary(shard: ShardId, primary: &Primary) -> HistoryEvent {
    HistoryEvent::BecamePrimary {
        shard,
        epoch: primary.epoch,
        number: primary.head.number,
        chain: short_digest(&primary.head.chain),
        members: primary.members.iter().cloned().collect(),
    }
}
