//! The state on a voter's disk: the replica ID, the number of starts, the vote, the log and the last snapshot.
//!
//! The copy in memory includes the records that are still being written; it is the storage of the `raft` library.

use protobuf::Message as _;
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

use super::ReplicaId;

/// A change of the persistent state; written atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The new metadata, if changed.
    pub metadata: Option<Metadata>,
    /// New entries, in order. They replace all stored entries from the first new index on.
    pub entries: Vec<LogEntry>,
    /// Entries below this index are removed.
    pub compact_before: Option<u64>,
    /// Whether all stored entries are removed, because a snapshot replaces them.
    pub reset: bool,
}

impl Record {
    /// Returns whether the record changes nothing.
    pub fn is_empty(&self) -> bool {
        self.metadata.is_none()
            && self.entries.is_empty()
            && self.compact_before.is_none()
            && !self.reset
    }
}

/// The persistent state without the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// The replica ID, assigned when the disk was created.
    pub replica: ReplicaId,
    /// The number of process starts on this disk.
    pub boots: u64,
    /// The reason why this replica was retired and must not vote, if it was.
    pub retired: Option<String>,
    /// The state that Raft requires to be durable.
    pub hard_state: HardState,
    /// The voters.
    pub voters: Vec<ReplicaId>,
    /// The last snapshot.
    pub snapshot: Snapshot,
}

/// The state that Raft requires to be durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The replica that received this replica's vote in the term; 0 if none.
    pub vote: ReplicaId,
    /// The highest index known to be committed.
    pub commit: u64,
}

/// A snapshot of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The voters at that entry.
    pub voters: Vec<ReplicaId>,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// A stored log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The index.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Whether the entry changes the voters.
    pub is_conf_change: bool,
    /// The content.
    pub data: Vec<u8>,
    /// The encoded entry of a change of voters, whose `data` holds the library's own message.
    pub context: Vec<u8>,
}

/// The reason why a voter cannot use the content of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DamagedState {
    /// There is no metadata.
    #[error("the disk contains no replica")]
    Empty,
    /// The entry that should have this index is missing, or its predecessor is stored twice.
    #[error("log entry {0} is missing")]
    Gap(u64),
    /// Committed entries are missing at the end.
    #[error("the log ends at entry {last}, but entry {committed} is committed")]
    Truncated {
        /// The index of the last stored entry.
        last: u64,
        /// The index of the last committed entry.
        committed: u64,
    },
}

/// The metadata and the log of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The state without the log.
    pub metadata: Metadata,
    /// The entries after the snapshot, in order.
    log: Vec<LogEntry>,
}

impl PersistentState {
    /// Validates the content read from a disk.
    ///
    /// # Errors
    ///
    /// Returns a [`DamagedState`] if the disk is empty or entries are missing.
    pub fn from_disk(
        metadata: Option<Metadata>,
        log: Vec<LogEntry>,
    ) -> Result<PersistentState, DamagedState> {
        let metadata = metadata.ok_or(DamagedState::Empty)?;
        let mut next = metadata.snapshot.index + 1;
        for entry in &log {
            if entry.index != next {
                return Err(DamagedState::Gap(next));
            }
            next += 1;
        }
        let committed = metadata.hard_state.commit;
        if next <= committed {
            return Err(DamagedState::Truncated {
                last: next - 1,
                committed,
            });
        }
        Ok(PersistentState { metadata, log })
    }

    /// Returns the index of the last entry, or of the snapshot if the log is empty.
    pub fn last(&self) -> u64 {
        self.log
            .last()
            .map_or(self.metadata.snapshot.index, |entry| entry.index)
    }

    /// Returns the entries after the snapshot, in order.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Returns whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.log.is_empty()
    }

    /// Applies a record to the state in memory, with the same result as on the disk.
    pub fn apply(&mut self, record: &Record) {
        if record.reset {
            self.log.clear();
        }
        if let Some(first) = record.entries.first() {
            self.log.retain(|entry| entry.index < first.index);
            self.log.extend(record.entries.iter().cloned());
        }
        if let Some(first) = record.compact_before {
            self.log.retain(|entry| entry.index >= first);
        }
        if let Some(metadata) = &record.metadata {
            self.metadata.clone_from(metadata);
        }
    }

    fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.metadata.snapshot.index + 1)?;
        self.log.get(usize::try_from(offset).ok()?)
    }
}

impl From<&eraftpb::Entry> for LogEntry {
    fn from(entry: &eraftpb::Entry) -> LogEntry {
        LogEntry {
            index: entry.index,
            term: entry.term,
            is_conf_change: entry.get_entry_type() != eraftpb::EntryType::EntryNormal,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl From<&LogEntry> for eraftpb::Entry {
    fn from(stored: &LogEntry) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry {
            index: stored.index,
            term: stored.term,
            data: stored.data.clone().into(),
            context: stored.context.clone().into(),
            ..eraftpb::Entry::default()
        };
        if stored.is_conf_change {
            entry.set_entry_type(eraftpb::EntryType::EntryConfChange);
        }
        entry
    }
}

fn conf_state(voters: &[ReplicaId]) -> eraftpb::ConfState {
    let mut conf_state = eraftpb::ConfState::default();
    conf_state.set_voters(voters.to_vec());
    conf_state
}

impl Storage for PersistentState {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let stored = self.metadata.hard_state;
        let hard_state = eraftpb::HardState {
            term: stored.term,
            vote: stored.vote,
            commit: stored.commit.max(self.metadata.snapshot.index),
            ..eraftpb::HardState::default()
        };
        Ok(RaftState::new(
            hard_state,
            conf_state(&self.metadata.voters),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.metadata.snapshot.index {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let mut entries: Vec<eraftpb::Entry> = Vec::new();
        for stored in (low..high).filter_map(|index| self.entry(index)) {
            let entry = eraftpb::Entry::from(stored);
            bytes += u64::from(entry.compute_size());
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let snapshot = &self.metadata.snapshot;
        if index == snapshot.index {
            return Ok(snapshot.term);
        }
        if index < snapshot.index {
            return Err(StorageError::Compacted.into());
        }
        self.entry(index)
            .map(|entry| entry.term)
            .ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.metadata.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        let stored = &self.metadata.snapshot;
        if stored.index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        let mut snapshot = eraftpb::Snapshot {
            data: stored.data.clone().into(),
            ..eraftpb::Snapshot::default()
        };
        let metadata = snapshot.mut_metadata();
        metadata.index = stored.index;
        metadata.term = stored.term;
        metadata.set_conf_state(conf_state(&stored.voters));
        Ok(snapshot)
    }
}
