//! Persistence of records, and the messages that wait for it.

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::{SnapshotStatus, Storage as _};

use super::{Output, PendingRecord, Voter};
use crate::consensus::persistent_state::{Record, Snapshot};

impl Voter {
    /// Outputs a record. Its messages wait until this record and all earlier ones are persisted.
    pub(super) fn persist(&mut self, record: Record, messages: Vec<Message>) {
        if self.disabled_guards.persistence {
            self.send(messages);
        } else if !record.is_empty() {
            self.last_record_number += 1;
            let number = self.last_record_number;
            let pending = PendingRecord { number, messages };
            self.pending_records.push_back(pending);
        } else if let Some(last) = self.pending_records.back_mut() {
            last.messages.extend(messages);
        } else {
            self.send(messages);
        }
        if !record.is_empty() {
            let number = if self.disabled_guards.persistence {
                0
            } else {
                self.last_record_number
            };
            let persist = Output::Persist(number, Box::new(record));
            self.outputs.push_back(persist);
        }
        self.notify_if_all_persisted();
    }

    /// Sends the messages of the records up to this number, which are persisted.
    pub(super) fn on_persisted(&mut self, number: u64) {
        let is_persisted = |pending: &PendingRecord| pending.number <= number;
        while self.pending_records.front().is_some_and(is_persisted) {
            if let Some(pending) = self.pending_records.pop_front() {
                self.send(pending.messages);
            }
        }
        self.notify_if_all_persisted();
    }

    /// Notifies the library once no record is pending.
    fn notify_if_all_persisted(&mut self) {
        if self.pending_records.is_empty() {
            self.with_raft(|raw| raw.on_persist_ready(u64::MAX));
            self.advance_applied();
        }
    }

    /// Reports the applied index to the library; the entries of a snapshot count once the snapshot is persisted.
    pub(super) fn advance_applied(&mut self) {
        let applied = self.state.applied;
        self.with_raft(|raw| {
            let log = &raw.raft.raft_log;
            let index = applied.min(log.persisted).min(log.committed);
            if index > log.applied {
                raw.advance_apply_to(index);
            }
        });
    }

    pub(super) fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.outputs.push_back(Output::Send(message.to, bytes));
            }
            // The snapshot counts as sent: once the receiver answers, the leader sends it entries, or another snapshot.
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.with_raft(|raw| raw.report_snapshot(message.to, SnapshotStatus::Finish));
            }
        }
    }

    /// Takes a snapshot and removes the applied entries from the log.
    pub(super) fn compact(&mut self) {
        let index = self.state.applied;
        // The state includes exactly the entries up to the applied index, so the snapshot has this index.
        let Some(raw) = &mut self.raw else { return };
        let Ok(term) = raw.store().term(index) else {
            return;
        };
        let Ok(data) = postcard::to_stdvec(&self.state) else {
            return;
        };
        let mut metadata = raw.store().metadata.clone();
        metadata.snapshot = Snapshot {
            index,
            term,
            voters: metadata.voters.clone(),
            data,
        };
        let record = Record {
            metadata: Some(metadata),
            compact_before: Some(index + 1),
            ..Record::default()
        };
        raw.mut_store().apply(&record);
        self.snapshot_index = index;
        self.persist(record, Vec::new());
    }
}
