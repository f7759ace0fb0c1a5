//! What a voter's disk holds: its seat, how often it was started, its vote, the entries and the last snapshot.
//!
//! In memory it is the same value with the changes applied that are on their way to the disk; `raft` reads it as its storage.

use std::fmt;

use protobuf::Message as _;
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

use super::ReplicaId;

/// One change of what is kept. All of it is kept at once or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What is kept but for entries, if it changed.
    pub head: Option<Head>,
    /// Entries, in order; those at and behind their first index that were there are dropped.
    pub entries: Vec<LogLine>,
    /// Entries below this are dropped.
    pub from: Option<u64>,
    /// All entries that were there are dropped, as a snapshot stands in their place.
    pub anew: bool,
}

impl Record {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.head.is_none() && self.entries.is_empty() && self.from.is_none() && !self.anew
    }
}

/// All but entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Drawn when the disk was made.
    pub seat: ReplicaId,
    /// How often a process has begun on this disk.
    pub boots: u64,
    /// Why this seat must not vote any more, once that was found out.
    pub retired: Option<String>,
    /// The term it knows of, whom it voted for in it, and what it knows to be agreed.
    pub hard: (u64, ReplicaId, u64),
    /// Who votes.
    pub voters: Vec<ReplicaId>,
    /// The snapshot: its index, its term, its voters and the state there.
    pub snapshot: (u64, u64, Vec<ReplicaId>, Vec<u8>),
}

/// An entry as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// Its place.
    pub index: u64,
    /// Whose term it was written in.
    pub term: u64,
    /// Whether it changes who votes.
    pub voters: bool,
    /// Its content.
    pub data: Vec<u8>,
    /// What a change of voters carries besides.
    pub context: Vec<u8>,
}

/// Why what a disk holds cannot be a voter's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamagedState {
    /// It has no head.
    Empty,
    /// An entry is missing among the others, or is there twice.
    Gap(u64),
    /// Entries that it had told to be agreed are missing at the end.
    Cut {
        /// The last that is there.
        last: u64,
        /// The last that was agreed.
        agreed: u64,
    },
}

impl fmt::Display for DamagedState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DamagedState::Empty => f.write_str("no seat was founded on this disk"),
            DamagedState::Gap(at) => write!(f, "entry {at} of the log is missing"),
            DamagedState::Cut { last, agreed } => {
                write!(f, "the log ends at {last}, and {agreed} was agreed")
            }
        }
    }
}

impl std::error::Error for DamagedState {}

/// What is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// All but entries.
    pub head: Head,
    /// Entries behind the snapshot, in order.
    lines: Vec<LogLine>,
}

impl PersistentState {
    /// What a disk was found to hold.
    pub fn found(head: Option<Head>, lines: Vec<LogLine>) -> Result<PersistentState, DamagedState> {
        let head = head.ok_or(DamagedState::Empty)?;
        let mut next = head.snapshot.0 + 1;
        for line in &lines {
            if line.index != next {
                return Err(DamagedState::Gap(next));
            }
            next += 1;
        }
        if next <= head.hard.2 {
            return Err(DamagedState::Cut {
                last: next - 1,
                agreed: head.hard.2,
            });
        }
        Ok(PersistentState { head, lines })
    }

    /// The last entry's place.
    pub fn last(&self) -> u64 {
        self.lines.last().map_or(self.head.snapshot.0, |l| l.index)
    }

    /// The entries behind the snapshot, in order.
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// How many entries are kept.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no entry is kept.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Changes it in memory as [`Record`] will on the disk.
    pub fn apply(&mut self, record: &Record) {
        if record.anew {
            self.lines.clear();
        }
        if let Some(first) = record.entries.first() {
            self.lines.retain(|l| l.index < first.index);
            self.lines.extend(record.entries.iter().cloned());
        }
        if let Some(from) = record.from {
            self.lines.retain(|l| l.index >= from);
        }
        if let Some(head) = &record.head {
            self.head.clone_from(head);
        }
    }

    fn line(&self, index: u64) -> Option<&LogLine> {
        let at = index.checked_sub(self.head.snapshot.0 + 1)?;
        self.lines.get(usize::try_from(at).ok()?)
    }
}

impl LogLine {
    /// From what `raft` hands out.
    pub fn of(e: &eraftpb::Entry) -> LogLine {
        LogLine {
            index: e.index,
            term: e.term,
            voters: e.get_entry_type() != eraftpb::EntryType::EntryNormal,
            data: e.data.to_vec(),
            context: e.context.to_vec(),
        }
    }

    fn entry(&self) -> eraftpb::Entry {
        let mut e = eraftpb::Entry::default();
        (e.index, e.term) = (self.index, self.term);
        if self.voters {
            e.set_entry_type(eraftpb::EntryType::EntryConfChange);
        }
        e.data = self.data.clone().into();
        e.context = self.context.clone().into();
        e
    }
}

fn conf(voters: &[ReplicaId]) -> eraftpb::ConfState {
    let mut conf = eraftpb::ConfState::default();
    conf.set_voters(voters.to_vec());
    conf
}

impl Storage for PersistentState {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let (term, vote, commit) = self.head.hard;
        let mut hard = eraftpb::HardState::default();
        (hard.term, hard.vote, hard.commit) = (term, vote, commit.max(self.head.snapshot.0));
        Ok(RaftState::new(hard, conf(&self.head.voters)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.head.snapshot.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let all = (low..high).filter_map(|i| self.line(i)).map(LogLine::entry);
        let (most, mut size) = (max_size.into().unwrap_or(u64::MAX), 0);
        let mut found: Vec<eraftpb::Entry> = Vec::new();
        for e in all {
            size += u64::from(e.compute_size());
            if size > most && !found.is_empty() {
                break;
            }
            found.push(e);
        }
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let (at, term, ..) = self.head.snapshot;
        if index == at {
            return Ok(term);
        }
        if index < at {
            return Err(StorageError::Compacted.into());
        }
        self.line(index)
            .map(|l| l.term)
            .ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.head.snapshot.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        let (index, term, voters, data) = &self.head.snapshot;
        if *index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        let mut snapshot = eraftpb::Snapshot {
            data: data.clone().into(),
            ..eraftpb::Snapshot::default()
        };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (*index, *term);
        meta.set_conf_state(conf(voters));
        Ok(snapshot)
    }
}
