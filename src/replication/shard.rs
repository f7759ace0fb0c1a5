//! One shard at one gateway: its replica set, the state of its log on the disk, and the replies to
//! the primary's messages.

use std::collections::VecDeque;
use std::sync::Arc;

use super::config::DisabledGuards;
use super::damage::Damage;
use super::error::Declined;
use super::primary::Primary;
use super::replica_sets::ReplicaSet;
use super::wire::{Message, RecordMessage, SnapshotPartMessage, MAX_SNAPSHOT_BYTES};
use super::{Epoch, LogPosition, Name, SequenceNumber, ShardId};
use crate::api::Micros;

/// A partially received snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IncomingSnapshot {
    epoch: Epoch,
    position: LogPosition,
    next_part: u32,
    bytes: Vec<u8>,
}

/// The kind of a write to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteKind {
    /// One record.
    Record,
    /// A snapshot, which replaces the content.
    Snapshot,
}

/// A write that has not reached the disk yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingWrite {
    /// The epoch under which it was accepted.
    pub epoch: Epoch,
    /// The primary that sent it; none if this process is the primary.
    pub from: Option<Name>,
    /// The position of the log after the write.
    pub position: LogPosition,
    /// The kind of the write.
    pub kind: WriteKind,
}

/// A replica's action on a message of its primary.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Send a message to the primary.
    Reply(Message),
    /// Write a record to the disk.
    StoreRecord(LogPosition, Arc<[u8]>),
    /// Replace the content of the disk by a snapshot.
    InstallSnapshot(LogPosition, Vec<u8>),
    /// Decline the message.
    Decline(Declined),
}

/// A write that has reached the disk, and the messages that report it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompletedWrite {
    /// The write; none if none was pending.
    pub write: Option<PendingWrite>,
    /// Messages with their recipients.
    pub messages: Vec<(Name, Message)>,
}

/// Whether the sender of a message is the primary of this shard's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    Primary,
    /// The sender's epoch is not known here yet. The sender repeats its messages until it is.
    Unknown,
}

/// One shard at this gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Shard {
    id: ShardId,
    /// This process.
    process: u64,
    /// The agreed replica set.
    pub set: ReplicaSet,
    /// The position of the last record, on the disk or in a pending write.
    pub position: LogPosition,
    /// Writes that have not reached the disk yet, in order.
    pub pending: VecDeque<PendingWrite>,
    /// The time since which no pending write has reached the disk; none if none is pending.
    pub pending_since: Option<Micros>,
    /// The damage of this replica, if any. A damaged replica does not count.
    pub damage: Option<Damage>,
    /// The state of the primary, while it is this process.
    pub primary: Option<Primary>,
    incoming: Option<IncomingSnapshot>,
    /// The primary that waits for this replica's position, and its epoch.
    position_query: Option<(Name, Epoch)>,
}

impl Shard {
    /// Creates a shard of which nothing is known yet.
    pub fn new(id: ShardId, process: u64) -> Shard {
        Shard {
            id,
            process,
            ..Shard::default()
        }
    }

    /// Returns the number of the last record on the disk; 0 while a snapshot replaces the content.
    pub fn stored(&self) -> SequenceNumber {
        match self.pending.front() {
            None => self.position.number,
            Some(write) => match write.kind {
                WriteKind::Record => write.position.number.saturating_sub(1),
                WriteKind::Snapshot => 0,
            },
        }
    }

    /// Adds a pending write.
    pub fn push_write(&mut self, now: Micros, write: PendingWrite) {
        self.pending_since.get_or_insert(now);
        self.pending.push_back(write);
    }

    /// Returns whether no write has reached the disk for a timeout.
    pub fn is_stuck(&self, now: Micros, timeout: Micros) -> bool {
        self.pending_since
            .is_some_and(|since| since + timeout <= now)
    }

    fn check_sender(
        &self,
        from: &Name,
        epoch: Epoch,
        disabled_guards: DisabledGuards,
    ) -> Result<Sender, Declined> {
        if disabled_guards.epoch_check {
            return Ok(Sender::Primary);
        }
        if epoch < self.set.epoch {
            return Err(Declined::Stale {
                shard: self.id,
                theirs: epoch,
                ours: self.set.epoch,
            });
        }
        if epoch == self.set.epoch && self.set.primary.as_ref() == Some(from) {
            Ok(Sender::Primary)
        } else {
            Ok(Sender::Unknown)
        }
    }

    fn position_message(&self, epoch: Epoch) -> Message {
        Message::Position {
            shard: self.id,
            epoch,
            position: self.position,
            process: self.process,
        }
    }

    /// Answers the primary's query for the position; only once all pending writes are on the disk.
    pub fn query_position(
        &mut self,
        from: &Name,
        epoch: Epoch,
        disabled_guards: DisabledGuards,
    ) -> Option<ReplicaAction> {
        match self.check_sender(from, epoch, disabled_guards) {
            Err(declined) => return Some(ReplicaAction::Decline(declined)),
            Ok(Sender::Unknown) => return None,
            Ok(Sender::Primary) => {}
        }
        if self.damage.is_some() {
            return Some(ReplicaAction::Reply(Message::Corrupt(self.id, epoch)));
        }
        if !self.pending.is_empty() {
            self.position_query = Some((from.clone(), epoch));
            return None;
        }
        Some(ReplicaAction::Reply(self.position_message(epoch)))
    }

    /// Accepts a record of the primary, if it follows the last one; otherwise reports the position.
    pub fn receive_record(
        &mut self,
        now: Micros,
        from: &Name,
        record: RecordMessage,
        disabled_guards: DisabledGuards,
    ) -> Option<ReplicaAction> {
        let RecordMessage { epoch, before, .. } = record;
        match self.check_sender(from, epoch, disabled_guards) {
            Err(declined) => return Some(ReplicaAction::Decline(declined)),
            Ok(Sender::Unknown) => return None,
            Ok(Sender::Primary) => {}
        }
        let is_next = before == self.position
            || disabled_guards.chain_check && before.number == self.position.number;
        if self.primary.is_some() || !is_next {
            return self
                .query_position(from, epoch, disabled_guards)
                .filter(|_| self.primary.is_none());
        }
        self.incoming = None;
        self.position = before.advance(&record.bytes);
        let write = PendingWrite {
            epoch,
            from: Some(from.clone()),
            position: self.position,
            kind: WriteKind::Record,
        };
        self.push_write(now, write);
        Some(ReplicaAction::StoreRecord(
            self.position,
            record.bytes.into(),
        ))
    }

    /// Accepts a part of a snapshot of the primary.
    pub fn receive_snapshot_part(
        &mut self,
        now: Micros,
        from: &Name,
        message: &SnapshotPartMessage,
        disabled_guards: DisabledGuards,
    ) -> Vec<ReplicaAction> {
        match self.check_sender(from, message.epoch, disabled_guards) {
            Err(declined) => return vec![ReplicaAction::Decline(declined)],
            Ok(Sender::Primary) if self.primary.is_none() => {}
            Ok(_) => return Vec::new(),
        }
        if message.part == 0 {
            self.incoming = Some(IncomingSnapshot {
                epoch: message.epoch,
                position: message.position,
                next_part: 0,
                bytes: Vec::new(),
            });
        }
        let incoming = self.incoming.as_mut().filter(|incoming| {
            incoming.epoch == message.epoch && incoming.position == message.position
        });
        let Some(incoming) = incoming.filter(|incoming| message.part <= incoming.next_part) else {
            return Vec::new();
        };
        let received = ReplicaAction::Reply(Message::SnapshotPartReceived {
            shard: self.id,
            epoch: message.epoch,
            part: message.part,
        });
        if message.part < incoming.next_part {
            return vec![received];
        }
        if incoming.bytes.len() + message.bytes.len() > MAX_SNAPSHOT_BYTES {
            self.incoming = None;
            return vec![ReplicaAction::Decline(Declined::TooLong {
                shard: self.id,
                max: MAX_SNAPSHOT_BYTES,
            })];
        }
        incoming.bytes.extend(&message.bytes);
        incoming.next_part += 1;
        if !message.is_last {
            return vec![received];
        }
        vec![received, self.install_incoming(now, from, message)]
    }

    fn install_incoming(
        &mut self,
        now: Micros,
        from: &Name,
        last_part: &SnapshotPartMessage,
    ) -> ReplicaAction {
        let snapshot = self.incoming.take();
        let bytes = snapshot.map_or_else(Vec::new, |snapshot| snapshot.bytes);
        self.position = last_part.position;
        let write = PendingWrite {
            epoch: last_part.epoch,
            from: Some(from.clone()),
            position: last_part.position,
            kind: WriteKind::Snapshot,
        };
        self.push_write(now, write);
        ReplicaAction::InstallSnapshot(last_part.position, bytes)
    }

    /// Completes the oldest pending write, which has reached the disk.
    pub fn write_persisted(
        &mut self,
        now: Micros,
        disabled_guards: DisabledGuards,
    ) -> CompletedWrite {
        let Some(write) = self.pending.pop_front() else {
            return CompletedWrite::default();
        };
        self.pending_since = (!self.pending.is_empty()).then_some(now);
        if write.kind == WriteKind::Snapshot {
            // The snapshot has replaced all rows.
            self.damage = None;
        }
        let mut messages = Vec::new();
        // A write of an older epoch is not acknowledged, but only reported by the position, which
        // the current primary compares.
        let is_current = disabled_guards.epoch_check || write.epoch == self.set.epoch;
        if let Some(from) = write
            .from
            .clone()
            .filter(|_| is_current && self.can_acknowledge())
        {
            let acknowledge = Message::Acknowledge {
                shard: self.id,
                epoch: write.epoch,
                number: write.position.number,
                process: self.process,
            };
            messages.push((from, acknowledge));
        }
        messages.extend(self.deferred_position());
        CompletedWrite {
            write: Some(write),
            messages,
        }
    }

    /// Returns the position for a query that had to wait for pending writes.
    fn deferred_position(&mut self) -> Option<(Name, Message)> {
        if !self.pending.is_empty() {
            return None;
        }
        let (primary, epoch) = self.position_query.take()?;
        let is_current = epoch == self.set.epoch;
        (is_current && self.can_acknowledge()).then(|| (primary, self.position_message(epoch)))
    }

    /// Returns whether this replica may acknowledge records and report its position: it is neither
    /// the primary nor damaged.
    fn can_acknowledge(&self) -> bool {
        self.primary.is_none() && self.damage.is_none()
    }
}
