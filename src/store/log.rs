//! A voter's log in the tables: entries by their index, and all else of it under one name.

use super::keyspace::{Space, Table};
use super::records::StoreError;
use super::tables::{key, number, pack, unpack, TOP};
use crate::consensus::persistent_state::{LogEntry, Metadata, Record};

const SEAT: &[u8] = b"seat";

/// Keeps a change, as [`crate::consensus::persistent_state::PersistentState::apply`] makes it in memory.
pub fn keep(space: &mut dyn Space, record: &Record) -> Result<(), StoreError> {
    if record.reset {
        drop_range(space, &[], &TOP)?;
    }
    if let Some(first) = record.entries.first() {
        drop_range(space, &key(&[first.index]), &TOP)?;
    }
    for line in &record.entries {
        space.put(Table::Log, &key(&[line.index]), &pack(line)?)?;
    }
    if let Some(from) = record.compact_before {
        drop_range(space, &[], &key(&[from]))?;
    }
    if let Some(metadata) = &record.metadata {
        space.put(Table::Meta, SEAT, &pack(metadata)?)?;
    }
    Ok(())
}

fn drop_range(space: &mut dyn Space, from: &[u8], to: &[u8]) -> Result<(), StoreError> {
    for (k, _) in space.scan(Table::Log, from, to, usize::MAX, false)? {
        space.remove(Table::Log, &k)?;
    }
    Ok(())
}

/// What is kept. An entry under another's index cannot be read.
pub fn read(space: &dyn Space) -> Result<(Option<Metadata>, Vec<LogEntry>), StoreError> {
    let head = space
        .get(Table::Meta, SEAT)?
        .map(|b| unpack(&b, "a seat"))
        .transpose()?;
    let mut lines = Vec::new();
    for (k, v) in space.scan(Table::Log, &[], &TOP, usize::MAX, false)? {
        let line: LogEntry = unpack(&v, "an entry of the log")?;
        if line.index != number(&k, 0) {
            return Err(StoreError::Damaged("an entry of the log"));
        }
        lines.push(line);
    }
    Ok((head, lines))
}
