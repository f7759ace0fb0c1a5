//! Records on their way to the disk, and the messages that wait for them.

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::{SnapshotStatus, Storage as _};

use super::{Output, PendingRecord, Voter};
use crate::consensus::persistent_state::{Record, Snapshot};

impl Voter {
    /// Puts a record out; its messages wait until it and the records before it are persisted.
    pub(super) fn persist(&mut self, record: Record, messages: Vec<Message>) {
        if self.disabled_guards.persistence {
            self.send(messages);
        } else if !record.is_empty() {
            self.last_record += 1;
            let number = self.last_record;
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
                self.last_record
            };
            let persist = Output::Persist(number, Box::new(record));
            self.outputs.push_back(persist);
        }
        self.on_all_persisted();
    }

    /// Sends the messages of the records that are persisted.
    pub(super) fn on_persisted(&mut self, number: u64) {
        let is_persisted = |pending: &PendingRecord| pending.number <= number;
        while self.pending_records.front().is_some_and(is_persisted) {
            if let Some(pending) = self.pending_records.pop_front() {
                self.send(pending.messages);
            }
        }
        self.on_all_persisted();
    }

    /// Tells the library that all records are persisted, if they are.
    fn on_all_persisted(&mut self) {
        if self.pending_records.is_empty() {
            self.with_raft(|raw| raw.on_persist_ready(u64::MAX));
            self.advance_applied();
        }
    }

    /// Tells the library how far the state is; entries of a snapshot count once it is persisted.
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
            // The receiver of a snapshot is sent entries again once it answers, or another snapshot.
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.with_raft(|raw| raw.report_snapshot(message.to, SnapshotStatus::Finish));
            }
        }
    }

    /// Replaces the applied entries by a snapshot.
    pub(super) fn compact(&mut self) {
        let index = self.state.applied;
        // The state is that of the last applied entry, so the snapshot has to be made there.
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
