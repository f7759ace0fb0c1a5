//! The log: processing of the library's `Ready`, committed entries, and snapshots from other voters.

use std::collections::BTreeMap;
use std::sync::Arc;

use protobuf::Message as _;
use raft::eraftpb::{self, ConfChange, EntryType};
use raft::{GetEntriesContext, Ready, Storage as _};

use super::{Output, Voter, ENTRIES_PER_SNAPSHOT};
use crate::consensus::persistent_state::{HardState, LogEntry, Metadata, Record, Snapshot};
use crate::consensus::state::{AppliedEntry, Entry, State};
use crate::consensus::ReplicaId;

/// Decodes an entry of the library's log. For a change of voters, the context contains the encoded [`Entry`].
fn decode_entry(entry: &eraftpb::Entry) -> Entry {
    let bytes = match entry.get_entry_type() {
        EntryType::EntryNormal => &entry.data,
        _ => &entry.context,
    };
    postcard::from_bytes(bytes).unwrap_or(Entry::Noop)
}

impl Voter {
    /// Returns up to `max_entries` committed entries from an index on, or `None` if they are no longer stored.
    pub fn entries_from(&self, index: u64, max_entries: u64) -> Option<Vec<(u64, Entry)>> {
        let store = self.raw.as_ref()?.store();
        let end = self.state.applied + 1;
        if index <= store.metadata.snapshot.index || index > end {
            return None;
        }
        let high = end.min(index + max_entries);
        let context = GetEntriesContext::empty(false);
        let entries = store.entries(index, high, None, context).ok()?;
        let decoded = entries
            .iter()
            .map(|entry| (entry.index, decode_entry(entry)));
        Some(decoded.collect())
    }

    /// Processes a `Ready` of the library: messages, confirmed reads, and entries to store and to apply.
    pub(super) fn on_ready(&mut self, mut ready: Ready) {
        self.send(ready.take_messages());
        for read in ready.take_read_states() {
            if let Ok(number) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                let number = u64::from_le_bytes(number);
                self.outputs.push_back(Output::Confirmed(number));
            }
        }
        let Some(raw) = &self.raw else { return };
        let mut metadata = raw.store().metadata.clone();
        let mut record = Record::default();
        if !ready.snapshot().is_empty() {
            record.reset = true;
            self.install_snapshot(ready.snapshot(), &mut metadata);
        }
        record.entries = ready.entries().iter().map(LogEntry::from).collect();
        if let Some(hard_state) = ready.hs() {
            metadata.hard_state = HardState {
                term: hard_state.term,
                vote: hard_state.vote,
                commit: hard_state.commit,
            };
        }
        // A new commit index alone needs no write: the leader sends it again, and the next record includes it.
        let must_persist = ready.must_sync() || record.reset || !record.entries.is_empty();
        if must_persist {
            record.metadata = Some(metadata.clone());
        }
        if let Some(raw) = &mut self.raw {
            raw.mut_store().apply(&record);
            raw.mut_store().metadata = metadata;
        }
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        self.with_raft(|raw| raw.advance_append_async(ready));
        for entry in &committed {
            self.apply(entry);
        }
        self.advance_applied();
        let record = if must_persist {
            record
        } else {
            Record::default()
        };
        self.persist(record, messages);
        self.compact_if_due(&committed);
    }

    fn install_snapshot(&mut self, snapshot: &eraftpb::Snapshot, metadata: &mut Metadata) {
        let snapshot_metadata = snapshot.get_metadata();
        let voters = snapshot_metadata.get_conf_state().get_voters().to_vec();
        metadata.voters.clone_from(&voters);
        metadata.snapshot = Snapshot {
            index: snapshot_metadata.index,
            term: snapshot_metadata.term,
            voters,
            data: snapshot.data.to_vec(),
        };
        if let Ok(state) = State::decode(&snapshot.data) {
            self.state = state;
        }
        self.snapshot_index = snapshot_metadata.index;
        self.outputs.push_back(Output::Restored);
    }

    fn apply(&mut self, committed: &eraftpb::Entry) {
        if committed.get_entry_type() != EntryType::EntryNormal {
            let Ok(change) = ConfChange::parse_from_bytes(&committed.data) else {
                return;
            };
            self.apply_conf_change(&change);
        }
        let entry = decode_entry(committed);
        let took_effect = self.state.apply(committed.index, &entry);
        if matches!(entry, Entry::Voters(_)) {
            let voters: BTreeMap<ReplicaId, Arc<str>> = self.state.voters.clone();
            self.peer_memory
                .retain(|replica| voters.contains_key(replica));
        }
        let applied = AppliedEntry {
            index: committed.index,
            entry,
            took_effect,
        };
        self.outputs.push_back(Output::Applied(applied));
    }

    fn apply_conf_change(&mut self, change: &ConfChange) {
        let conf_state = self
            .with_raft(|raw| raw.apply_conf_change(change).ok())
            .flatten();
        if let (Some(conf_state), Some(raw)) = (conf_state, &mut self.raw) {
            raw.mut_store().metadata.voters = conf_state.get_voters().to_vec();
        }
    }

    /// Takes a snapshot after a change of voters, or after [`ENTRIES_PER_SNAPSHOT`] entries.
    ///
    /// After a restart, a voter must not return to an outdated set of voters: majorities of two sets that differ by one
    /// change overlap, but those of sets further apart may not. Also, a new voter accepts only a snapshot that lists it as a
    /// voter.
    fn compact_if_due(&mut self, committed: &[eraftpb::Entry]) {
        let voters_changed = committed
            .iter()
            .any(|entry| entry.get_entry_type() != EntryType::EntryNormal);
        let log_has_grown = self.state.applied >= self.snapshot_index + ENTRIES_PER_SNAPSHOT;
        if voters_changed || log_has_grown {
            self.compact();
        }
    }
}
