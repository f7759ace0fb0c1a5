//! Storage of the consensus log: the entries by index, and the voter's metadata.

use super::error::StoreError;
use super::keys::{decode, encode, key, key_part, KEY_END};
use super::keyspace::{Keyspace, KeyspaceReader, Table};
use crate::consensus::persistent_state::{LogEntry, Metadata, Record};

/// The key of the voter's metadata in [`Table::Meta`].
const VOTER_KEY: &[u8] = b"seat";
const LOG_ENTRY: &str = "an entry of the log";

/// A voter's metadata, if stored, and its log entries.
pub type VoterState = (Option<Metadata>, Vec<LogEntry>);

/// Persists a change to the log or metadata. The change in memory is made by
/// [`crate::consensus::persistent_state::PersistentState::apply`].
pub(super) fn append(keyspace: &mut dyn Keyspace, record: &Record) -> Result<(), StoreError> {
    if record.reset {
        remove_range(keyspace, &[], &KEY_END)?;
    }
    if let Some(first) = record.entries.first() {
        remove_range(keyspace, &key(&[first.index]), &KEY_END)?;
    }
    for entry in &record.entries {
        keyspace.put(Table::Log, &key(&[entry.index]), &encode(entry)?)?;
    }
    if let Some(first_index) = record.compact_before {
        remove_range(keyspace, &[], &key(&[first_index]))?;
    }
    if let Some(metadata) = &record.metadata {
        keyspace.put(Table::Meta, VOTER_KEY, &encode(metadata)?)?;
    }
    Ok(())
}

fn remove_range(keyspace: &mut dyn Keyspace, from: &[u8], to: &[u8]) -> Result<(), StoreError> {
    for (entry_key, _) in keyspace.scan_all(Table::Log, from, to)? {
        keyspace.remove(Table::Log, &entry_key)?;
    }
    Ok(())
}

/// Reads the voter's metadata and log. An entry whose index differs from its key is an error.
pub(super) fn read(reader: &dyn KeyspaceReader) -> Result<VoterState, StoreError> {
    let metadata = reader
        .get(Table::Meta, VOTER_KEY)?
        .map(|bytes| decode(&bytes, "a seat"))
        .transpose()?;
    let mut entries = Vec::new();
    for (entry_key, value) in reader.scan_all(Table::Log, &[], &KEY_END)? {
        let entry: LogEntry = decode(&value, LOG_ENTRY)?;
        if entry.index != key_part(&entry_key, 0) {
            return Err(StoreError::Unreadable(LOG_ENTRY));
        }
        entries.push(entry);
    }
    Ok((metadata, entries))
}
