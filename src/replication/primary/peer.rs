//! The primary's view of one replica: its progress, and the state of catching it up.

use std::collections::VecDeque;
use std::sync::Arc;

use super::CommitWaiter;
use crate::api::Micros;
use crate::replication::wire::{Message, RecordMessage, SnapshotPartMessage, SNAPSHOT_PART_BYTES};
use crate::replication::{Epoch, LogPosition, SequenceNumber, ShardId};

/// The maximum number of records in flight to one replica.
const MAX_RECORDS_IN_FLIGHT: SequenceNumber = 256;
/// The maximum number of snapshot parts in flight to one replica.
const MAX_PARTS_IN_FLIGHT: u32 = 3;
/// The number of retry intervals after which snapshot parts are sent again.
const SNAPSHOT_RETRY_INTERVALS: Micros = 4;

/// A record of the primary's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Record {
    /// The position before the record.
    pub(super) before: LogPosition,
    pub(super) bytes: Arc<[u8]>,
    /// The number under which the commit is reported; none once it was reported.
    pub(super) waiter: Option<CommitWaiter>,
    /// The number of replicas that the record needs.
    pub(super) min_replicas: usize,
}

/// The tail of a primary's log, for messages to replicas.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogTail<'a> {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    /// The number of the last record.
    pub(super) last: SequenceNumber,
    pub(super) records: &'a VecDeque<Record>,
}

impl LogTail<'_> {
    /// Returns the record after a number; none if it is no longer in the tail.
    fn record_after(&self, number: SequenceNumber) -> Option<&Record> {
        let first = self
            .records
            .front()
            .map_or(self.last, |record| record.before.number);
        let index = usize::try_from(number.checked_sub(first)?).ok()?;
        self.records.get(index)
    }

    fn query_position(&self) -> Message {
        Message::QueryPosition(self.shard, self.epoch)
    }

    fn record_message(&self, record: &Record) -> Message {
        Message::Record(RecordMessage {
            shard: self.shard,
            epoch: self.epoch,
            before: record.before,
            bytes: record.bytes.to_vec(),
        })
    }
}

/// A snapshot that is being sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SnapshotTransfer {
    /// The position of the snapshot.
    pub position: LogPosition,
    /// The content.
    pub content: Arc<[u8]>,
    /// The index of the next part to send.
    pub next_part: u32,
    /// The number of parts that the replica has acknowledged.
    pub acknowledged_parts: u32,
}

/// The state of catching a replica up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PeerState {
    /// The position of the replica is unknown and is being queried.
    QueryingPosition,
    /// Records are sent from the tail; the number is that of the last record sent.
    Tailing(SequenceNumber),
    /// A snapshot is being read from this gateway's disk.
    ReadingSnapshot,
    /// A snapshot is being sent.
    SendingSnapshot(SnapshotTransfer),
}

/// A replica, as its primary tracks it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The state of catching the replica up.
    pub state: PeerState,
    /// The number of the last record of this primary's log on the replica's disk.
    pub acknowledged: SequenceNumber,
    /// The time since which an acknowledgement is outstanding; none if none is.
    pub outstanding_since: Option<Micros>,
    /// The time of the last message to or from the replica; 0 to send at once.
    pub active_at: Micros,
}

impl Peer {
    /// Creates a replica whose position is unknown.
    pub(super) fn new() -> Peer {
        Peer {
            state: PeerState::QueryingPosition,
            acknowledged: 0,
            outstanding_since: None,
            active_at: 0,
        }
    }

    /// Queries the position again, at once.
    pub(super) fn restart(&mut self) {
        self.state = PeerState::QueryingPosition;
        self.active_at = 0;
    }

    /// Returns whether a snapshot is being read or sent.
    pub(super) fn is_in_snapshot(&self) -> bool {
        matches!(
            self.state,
            PeerState::ReadingSnapshot | PeerState::SendingSnapshot(_)
        )
    }

    /// Returns whether an acknowledgement has been outstanding for a timeout.
    pub(super) fn is_overdue(&self, now: Micros, timeout: Micros) -> bool {
        self.outstanding_since
            .is_some_and(|since| since + timeout <= now)
    }

    /// Returns the messages that are due.
    pub(super) fn next_messages(
        &mut self,
        log: LogTail<'_>,
        now: Micros,
        retry_interval: Micros,
    ) -> Vec<Message> {
        if self.acknowledged < log.last && self.outstanding_since.is_none() {
            self.outstanding_since = Some(now);
        }
        let is_retry_due = self.active_at + retry_interval <= now || self.active_at == 0;
        match self.state {
            PeerState::QueryingPosition if is_retry_due => {
                self.active_at = now.max(1);
                self.outstanding_since.get_or_insert(now);
                vec![log.query_position()]
            }
            PeerState::QueryingPosition | PeerState::ReadingSnapshot => Vec::new(),
            // Records may have been lost in transit, so the position is queried again.
            PeerState::Tailing(sent) if is_retry_due && self.acknowledged < sent => {
                self.state = PeerState::QueryingPosition;
                self.active_at = now;
                vec![log.query_position()]
            }
            PeerState::Tailing(sent) => self.send_records(log, now, sent),
            PeerState::SendingSnapshot(_) => self.send_snapshot_parts(log, now, retry_interval),
        }
    }

    fn send_records(
        &mut self,
        log: LogTail<'_>,
        now: Micros,
        mut sent: SequenceNumber,
    ) -> Vec<Message> {
        let mut messages = Vec::new();
        while sent < log.last && sent < self.acknowledged + MAX_RECORDS_IN_FLIGHT {
            let Some(record) = log.record_after(sent) else {
                self.restart();
                return messages;
            };
            messages.push(log.record_message(record));
            sent += 1;
            self.active_at = now;
        }
        self.state = PeerState::Tailing(sent);
        messages
    }

    fn send_snapshot_parts(
        &mut self,
        log: LogTail<'_>,
        now: Micros,
        retry_interval: Micros,
    ) -> Vec<Message> {
        let PeerState::SendingSnapshot(transfer) = &mut self.state else {
            return Vec::new();
        };
        if self.active_at + SNAPSHOT_RETRY_INTERVALS * retry_interval <= now {
            transfer.next_part = transfer.acknowledged_parts;
            self.active_at = now;
        }
        let content = &transfer.content;
        let parts = content.len().div_ceil(SNAPSHOT_PART_BYTES).max(1) as u32;
        let window_end = transfer.acknowledged_parts + MAX_PARTS_IN_FLIGHT;
        let mut messages = Vec::new();
        while transfer.next_part < parts && transfer.next_part < window_end {
            let start = transfer.next_part as usize * SNAPSHOT_PART_BYTES;
            let end = content.len().min(start + SNAPSHOT_PART_BYTES);
            messages.push(Message::SnapshotPart(SnapshotPartMessage {
                shard: log.shard,
                epoch: log.epoch,
                position: transfer.position,
                part: transfer.next_part,
                is_last: transfer.next_part + 1 == parts,
                bytes: content[start..end].to_vec(),
            }));
            transfer.next_part += 1;
        }
        messages
    }
}
