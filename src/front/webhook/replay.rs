//! The store of identities seen: bounded, and closed rather than forgetful when it is full.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

use crate::api::Micros;
use crate::store::records::IdentityDigest;

/// A file is written anew once it holds so many times more lines than the store holds marks, and no fewer.
const SLACK: usize = 2;
const FEWEST: usize = 4096;

/// Where the store is kept: a line for each identity, `UNTIL MARK`. It survives the process.
#[derive(Debug)]
struct Kept {
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

/// The digest of a tenant's identity.
pub fn mark(tenant: &str, id: &str) -> IdentityDigest {
    let mut hash = Sha256::new();
    hash.update((tenant.len() as u64).to_le_bytes());
    hash.update(tenant);
    hash.update(id);
    hash.finalize().into()
}

/// What an identity is to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It is new, and now taken.
    New,
    /// It was taken before.
    Before,
    /// There is no room to remember it, or it could not be written.
    Full,
}

/// Identities of calls taken, for as long as their time stamps would be accepted.
#[derive(Debug)]
pub struct Replays {
    most: usize,
    until: BTreeMap<IdentityDigest, Micros>,
    order: BTreeSet<(Micros, IdentityDigest)>,
    kept: Option<Kept>,
}

impl Replays {
    /// A store for so many.
    pub fn new(most: usize) -> Replays {
        Replays {
            most,
            until: BTreeMap::new(),
            order: BTreeSet::new(),
            kept: None,
        }
    }

    /// A store kept in a file, with what it holds that is still valid. A line cut off by a kill is passed over:
    /// its call was never answered with 202.
    pub fn open(path: &Path, most: usize, now: Micros) -> io::Result<Replays> {
        let mut store = Replays::new(most);
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

    /// Takes identities in that were kept elsewhere.
    pub fn load(&mut self, kept: &[(IdentityDigest, Micros)]) {
        for (mark, until) in kept {
            if self.until.insert(*mark, *until).is_none() {
                self.order.insert((*until, *mark));
            }
        }
    }

    /// Forgets an identity whose call could not be kept.
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
        self.kept = Some(Kept {
            path: path.to_owned(),
            file,
            lines: self.order.len(),
        });
        Ok(())
    }

    fn keep(&mut self, until: Micros, mark: &IdentityDigest) -> io::Result<()> {
        let Some(kept) = &mut self.kept else {
            return Ok(());
        };
        kept.file.write_all(line(until, mark).as_bytes())?;
        kept.lines += 1;
        if kept.lines > FEWEST.max(SLACK * self.until.len()) {
            let path = kept.path.clone();
            self.rewrite(&path)?;
        }
        Ok(())
    }

    /// Takes an identity of a tenant, to be remembered until `until`. Guards against forgetting under a flood:
    /// what is still valid is never dropped for something newer.
    pub fn take(&mut self, tenant: &str, id: &str, now: Micros, until: Micros) -> Seen {
        while let Some(&(t, mark)) = self.order.first().filter(|(t, _)| *t < now) {
            self.order.remove(&(t, mark));
            self.until.remove(&mark);
        }
        let mark = mark(tenant, id);
        if self.until.contains_key(&mark) {
            return Seen::Before;
        }
        if self.until.len() >= self.most {
            return Seen::Full;
        }
        // Held first: a file written anew at this moment must have it too.
        self.until.insert(mark, until);
        self.order.insert((until, mark));
        if self.keep(until, &mark).is_err() {
            self.until.remove(&mark);
            self.order.remove(&(until, mark));
            return Seen::Full;
        }
        Seen::New
    }
}

#[cfg(test)]
mod tests;
