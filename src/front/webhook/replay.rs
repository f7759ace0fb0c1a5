//! A bounded store of accepted webhook identities, against replays. A full store rejects new
//! identities instead of forgetting valid ones.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

use crate::api::Micros;
use crate::store::records::IdentityDigest;

/// The file is rewritten once it has more lines than [`MIN_REWRITE_LINES`] and than this multiple
/// of the number of stored identities.
const REWRITE_FACTOR: usize = 2;
const MIN_REWRITE_LINES: usize = 4096;

/// The store's file, with one line `UNTIL DIGEST` per identity. The file outlives the process.
#[derive(Debug)]
struct ReplayFile {
    path: PathBuf,
    file: File,
    lines: usize,
}

fn line(until: Micros, mark: &IdentityDigest) -> String {
    let hex: String = mark.iter().map(|b| format!("{b:02x}")).collect();
    format!("{until} {hex}\n")
}

fn parse(line: &str) -> Option<(Micros, IdentityDigest)> {
    let (until, hex) = line
        .split_once(' ')
        .filter(|(_, h)| h.len() == 64 && h.is_ascii())?;
    let mut mark = IdentityDigest::default();
    for (i, byte) in mark.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some((until.parse().ok()?, mark))
}

/// The digest of a tenant's `webhook-id`.
pub fn identity_digest(tenant: &str, id: &str) -> IdentityDigest {
    let mut hash = Sha256::new();
    hash.update((tenant.len() as u64).to_le_bytes());
    hash.update(tenant);
    hash.update(id);
    hash.finalize().into()
}

/// The result of recording an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// The identity is new and now recorded.
    New,
    /// The identity was recorded before.
    Before,
    /// The store is full, or the file could not be written.
    Full,
}

/// Identities of accepted calls, kept as long as their time stamps are accepted.
#[derive(Debug)]
pub struct ReplayStore {
    capacity: usize,
    until: BTreeMap<IdentityDigest, Micros>,
    order: BTreeSet<(Micros, IdentityDigest)>,
    kept: Option<ReplayFile>,
}

impl ReplayStore {
    /// Creates a store in memory for at most `capacity` identities.
    pub fn new(capacity: usize) -> ReplayStore {
        ReplayStore {
            capacity,
            until: BTreeMap::new(),
            order: BTreeSet::new(),
            kept: None,
        }
    }

    /// Opens a store in a file and loads the identities that are still valid. A line truncated by a
    /// kill is skipped: its call was never answered with 202.
    pub fn open(path: &Path, capacity: usize, now: Micros) -> io::Result<ReplayStore> {
        let mut store = ReplayStore::new(capacity);
        let text = match std::fs::read_to_string(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            text => text?,
        };
        for (until, mark) in text
            .lines()
            .filter_map(parse)
            .filter(|(until, _)| *until >= now)
        {
            store.until.insert(mark, until);
            store.order.insert((until, mark));
        }
        store.rewrite(path)?;
        Ok(store)
    }

    /// Adds identities that were stored elsewhere.
    pub fn load(&mut self, kept: &[(IdentityDigest, Micros)]) {
        for (mark, until) in kept {
            if self.until.insert(*mark, *until).is_none() {
                self.order.insert((*until, *mark));
            }
        }
    }

    /// Removes an identity whose call could not be stored.
    pub fn forget(&mut self, mark: &IdentityDigest) {
        if let Some(until) = self.until.remove(mark) {
            self.order.remove(&(until, *mark));
        }
    }

    fn rewrite(&mut self, path: &Path) -> io::Result<()> {
        let fresh = path.with_extension("new");
        let text: String = self
            .order
            .iter()
            .map(|(until, mark)| line(*until, mark))
            .collect();
        std::fs::write(&fresh, text)?;
        std::fs::rename(&fresh, path)?;
        let file = OpenOptions::new().append(true).open(path)?;
        self.kept = Some(ReplayFile {
            path: path.to_owned(),
            file,
            lines: self.order.len(),
        });
        Ok(())
    }

    fn append(&mut self, until: Micros, mark: &IdentityDigest) -> io::Result<()> {
        let Some(kept) = &mut self.kept else {
            return Ok(());
        };
        kept.file.write_all(line(until, mark).as_bytes())?;
        kept.lines += 1;
        if kept.lines > MIN_REWRITE_LINES.max(REWRITE_FACTOR * self.until.len()) {
            let path = kept.path.clone();
            self.rewrite(&path)?;
        }
        Ok(())
    }

    /// Records an identity of a tenant until `until`. A valid identity is never dropped for a newer
    /// one, so a flood of calls cannot make the store forget.
    pub fn take(&mut self, tenant: &str, id: &str, now: Micros, until: Micros) -> RecordResult {
        while let Some(&(t, mark)) = self.order.first().filter(|(t, _)| *t < now) {
            self.order.remove(&(t, mark));
            self.until.remove(&mark);
        }
        let mark = identity_digest(tenant, id);
        if self.until.contains_key(&mark) {
            return RecordResult::Before;
        }
        if self.until.len() >= self.capacity {
            return RecordResult::Full;
        }
        // Inserted before the write, as `append` may rewrite the file from the maps.
        self.until.insert(mark, until);
        self.order.insert((until, mark));
        if self.append(until, &mark).is_err() {
            self.until.remove(&mark);
            self.order.remove(&(until, mark));
            return RecordResult::Full;
        }
        RecordResult::New
    }
}

#[cfg(test)]
mod tests;
