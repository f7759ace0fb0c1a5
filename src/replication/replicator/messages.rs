//! Handling of messages of other gateways.

use super::{Output, Replicator};
use crate::api::Micros;
use crate::replication::error::Declined;
use crate::replication::history::HistoryEvent;
use crate::replication::shard::ReplicaAction;
use crate::replication::wire::{Message, RecordMessage, SnapshotPartMessage};
use crate::replication::{Epoch, LogPosition, Name, ShardId};

impl Replicator {
    pub(super) fn receive(&mut self, now: Micros, from: Name, message: Message) {
        self.received_at.insert(from.clone(), now);
        match message {
            Message::Heartbeat => {}
            Message::QueryPosition(shard, epoch) => self.position_queried(&from, shard, epoch),
            Message::Record(record) => self.record_received(now, &from, record),
            Message::SnapshotPart(part) => self.snapshot_part_received(now, &from, &part),
            Message::Position {
                shard,
                epoch,
                position,
                process,
            } => {
                if self.is_current_process(&from, process) {
                    self.position_received(now, from, shard, epoch, position);
                }
            }
            Message::Acknowledge {
                shard,
                epoch,
                number,
                process,
            } => {
                if self.is_current_process(&from, process) {
                    if let Some(primary) = self.primary_of_epoch(shard, epoch) {
                        primary.acknowledged(now, &from, number);
                    }
                    self.commit(shard);
                }
            }
            Message::SnapshotPartReceived { shard, epoch, part } => {
                if let Some(primary) = self.primary_of_epoch(shard, epoch) {
                    primary.snapshot_part_received(now, &from, part);
                }
            }
            Message::Declined(shard, declined) => tracing::debug!(
                shard,
                peer = &*from,
                error = %declined,
                remedy = declined.remedy(),
                "a replica declined a message"
            ),
            Message::Request {
                shard,
                number,
                request,
            } => self.request_received(from, shard, number, request),
            Message::Reply(number, outcome) => self.response_received(number, outcome),
            Message::Corrupt(shard, epoch) => self.replica_corrupt(now, from, shard, epoch),
        }
    }

    /// Returns whether a process is the agreed process of a gateway. Positions and acknowledgements
    /// of other processes do not count.
    fn is_current_process(&self, name: &Name, process: u64) -> bool {
        self.processes.get(name) == Some(&process)
    }

    fn position_queried(&mut self, from: &Name, shard: ShardId, epoch: Epoch) {
        let guards = self.settings.disabled_guards;
        let replica = self.shards.get_mut(&shard);
        let action = replica.and_then(|replica| replica.query_position(from, epoch, guards));
        self.perform(shard, from, action);
    }

    fn record_received(&mut self, now: Micros, from: &Name, record: RecordMessage) {
        if !self.is_registered {
            return;
        }
        let guards = self.settings.disabled_guards;
        let shard = record.shard;
        let replica = self.shards.get_mut(&shard);
        let action = replica.and_then(|replica| replica.receive_record(now, from, record, guards));
        self.perform(shard, from, action);
    }

    fn snapshot_part_received(&mut self, now: Micros, from: &Name, part: &SnapshotPartMessage) {
        if !self.is_registered {
            return;
        }
        let guards = self.settings.disabled_guards;
        let Some(replica) = self.shards.get_mut(&part.shard) else {
            return;
        };
        let actions = replica.receive_snapshot_part(now, from, part, guards);
        self.perform(part.shard, from, actions);
    }

    /// Performs a replica's actions on a message of its primary.
    fn perform(
        &mut self,
        shard: ShardId,
        primary: &Name,
        actions: impl IntoIterator<Item = ReplicaAction>,
    ) {
        for action in actions {
            match action {
                ReplicaAction::Reply(message) => self.send(primary.clone(), message),
                ReplicaAction::StoreRecord(position, record) => {
                    self.outputs.push_back(Output::StoreRecord {
                        shard,
                        position,
                        record,
                        waiter: None,
                    });
                }
                ReplicaAction::InstallSnapshot(position, content) => {
                    self.outputs.push_back(Output::InstallSnapshot {
                        shard,
                        position,
                        content,
                    });
                }
                ReplicaAction::Decline(declined) => {
                    if let Declined::Stale { theirs, ours, .. } = declined {
                        self.record_event(HistoryEvent::Declined {
                            shard,
                            theirs,
                            ours,
                        });
                    }
                    self.send(primary.clone(), Message::Declined(shard, declined));
                }
            }
        }
    }

    fn position_received(
        &mut self,
        now: Micros,
        from: Name,
        shard: ShardId,
        epoch: Epoch,
        position: LogPosition,
    ) {
        let guards = self.settings.disabled_guards;
        let primary = self.primary_of_epoch(shard, epoch);
        let is_ahead = primary.is_some_and(|primary| primary.is_ahead(&from, position));
        if is_ahead && !guards.ahead_check {
            // This gateway's disk has lost records that the member still has, so the member has to
            // become the primary.
            return self.hand_over_to(now, shard, from);
        }
        if let Some(primary) = self.primary_of_epoch(shard, epoch) {
            primary.position_received(&from);
            if primary.update_position(now, &from, position, guards) {
                self.outputs.push_back(Output::ReadSnapshot(shard, from));
            }
        }
        self.open_if_ready(now, shard);
    }

    fn replica_corrupt(&mut self, now: Micros, from: Name, shard: ShardId, epoch: Epoch) {
        let primary = self.primary_of_epoch(shard, epoch);
        if primary.is_some_and(|primary| primary.replica_corrupt(now, &from)) {
            self.outputs.push_back(Output::ReadSnapshot(shard, from));
        }
        self.open_if_ready(now, shard);
    }
}
