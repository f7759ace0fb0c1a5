//! A bounded store of accepted webhook identities, against replays. A full store rejects new
//! identities instead of forgetting valid ones.
//!
//! The identities may also be in a file, which outlives the process and which gateways may share:
//! see [`ReplayStore::open`].

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;

use sha2::{Digest, Sha256};

use crate::api::Micros;
use crate::store::records::IdentityDigest;

mod file;

use super::home::GroupPlace;
use file::{Line, Member, ReplayFile};

/// The file is rewritten once it has more lines than [`MIN_REWRITE_LINES`] and than this multiple
/// of the number of stored identities.
const REWRITE_FACTOR: usize = 2;
const MIN_REWRITE_LINES: usize = 4096;
/// Maximum number of gateways that the file names as its users.
const MAX_USERS: usize = 1024;

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
    /// The identity may have been recorded before and forgotten, as a clock was set back.
    Forgotten,
    /// The store is full.
    Full,
    /// The file cannot be read or written, or another process holds its lock.
    Unavailable,
}

/// Identities of accepted calls, kept as long as their time stamps are accepted.
#[derive(Debug)]
pub struct ReplayStore {
    capacity: usize,
    until: BTreeMap<IdentityDigest, Micros>,
    order: BTreeSet<(Micros, IdentityDigest)>,
    /// Identities valid until this time may have been dropped.
    forgotten_until: Micros,
    /// The gateways that have recorded all their identities in the file.
    users: BTreeSet<String>,
    /// The gateways that record all their identities in the file, by name: a gateway that gets
    /// another number has one place only.
    members: BTreeMap<String, GroupPlace>,
    file: Option<ReplayFile>,
    /// `None` if all processes that use the file go by one clock.
    foreign_validity: Option<ForeignValidity>,
}

/// How long an identity that a process with another clock recorded is kept after it is read.
#[derive(Clone, Copy, Debug)]
pub struct ForeignValidity {
    /// The shortest time.
    pub min: Micros,
    /// The longest time.
    pub max: Micros,
}

impl ReplayStore {
    /// Creates a store in memory for at most `capacity` identities.
    pub fn new(capacity: usize) -> ReplayStore {
        ReplayStore {
            capacity,
            until: BTreeMap::new(),
            order: BTreeSet::new(),
            forgotten_until: 0,
            users: BTreeSet::new(),
            members: BTreeMap::new(),
            file: None,
            foreign_validity: None,
        }
    }

    /// Opens a store in a file and loads the identities that are still valid. A line truncated by a
    /// kill is skipped: its call was never answered with 202. Other processes may use the file at
    /// the same time.
    pub fn open(path: &Path, capacity: usize, now: Micros) -> io::Result<ReplayStore> {
        ReplayStore::open_as(path, capacity, now, None)
    }

    /// Opens a store like [`ReplayStore::open`] that processes with different clocks use.
    pub fn open_between_clocks(
        path: &Path,
        capacity: usize,
        now: Micros,
        foreign_validity: ForeignValidity,
    ) -> io::Result<ReplayStore> {
        ReplayStore::open_as(path, capacity, now, Some(foreign_validity))
    }

    fn open_as(
        path: &Path,
        capacity: usize,
        now: Micros,
        foreign_validity: Option<ForeignValidity>,
    ) -> io::Result<ReplayStore> {
        let mut store = ReplayStore::new(capacity);
        store.file = Some(ReplayFile::open(path)?);
        store.foreign_validity = foreign_validity;
        store.locked(|store| {
            store.read_new(now)?;
            store.drop_expired(now);
            store.rewrite_if_long()
        })?;
        Ok(store)
    }

    /// Adds a gateway to the users of the file, from now on. Returns whether it was one before, so
    /// that the file has all identities that its earlier processes accepted.
    pub fn add_user(&mut self, name: &str) -> io::Result<bool> {
        if self.users.contains(name) {
            return Ok(true);
        }
        if self.users.len() < MAX_USERS && !name.contains('\n') {
            self.users.insert(name.to_owned());
            self.locked(|store| store.append(&Line::User(name.to_owned())))?;
        }
        Ok(false)
    }

    /// Registers a gateway that records all its identities in the file from now on.
    pub fn add_member(&mut self, name: &str, place: GroupPlace) -> io::Result<()> {
        let Some(number) = place.number.filter(|_| !name.contains('\n')) else {
            return Ok(());
        };
        if self.file.is_none() || self.members.get(name) == Some(&place) {
            return Ok(());
        }
        let member = Member {
            name: name.to_owned(),
            number,
            group_size: place.size,
        };
        self.locked(|store| store.append(&Line::Member(member.clone())))?;
        self.insert_member(member);
        Ok(())
    }

    /// Takes a gateway off the file, which keeps its identities elsewhere from now on, and returns
    /// those of the file. A later start that uses the file again is a first start.
    pub fn leave(&mut self, name: &str) -> io::Result<Vec<(IdentityDigest, Micros)>> {
        if self.users.contains(name) || self.members.contains_key(name) {
            self.locked(|store| store.append(&Line::Left(name.to_owned())))?;
            self.users.remove(name);
            self.members.remove(name);
        }
        let identities = self.until.iter();
        Ok(identities
            .map(|(digest, until)| (*digest, *until))
            .collect())
    }

    /// The end of the validity of identities that may have been dropped.
    pub fn forgotten_until(&self) -> Micros {
        self.forgotten_until
    }

    /// Returns whether all gateways of a group of this size are registered in the file.
    pub fn has_all_members(&self, group_size: u32) -> bool {
        let is_registered = |number: u32| {
            let place = GroupPlace {
                number: Some(number),
                size: group_size,
            };
            self.members.values().any(|known| *known == place)
        };
        self.file.is_some() && (0..group_size).all(is_registered)
    }

    /// Reads what other processes have appended to the file.
    pub fn refresh(&mut self, now: Micros) -> io::Result<()> {
        self.locked(|store| store.read_new(now))
    }

    fn insert_member(&mut self, member: Member) {
        if self.members.len() < MAX_USERS || self.members.contains_key(&member.name) {
            let place = GroupPlace {
                number: Some(member.number),
                size: member.group_size,
            };
            self.members.insert(member.name, place);
        }
    }

    /// The number of identities.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Whether there are no identities.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Adds identities that were stored elsewhere.
    pub fn load(&mut self, kept: &[(IdentityDigest, Micros)]) {
        for (digest, until) in kept {
            self.insert(*until, *digest);
        }
    }

    /// Identities valid until `until` may have been forgotten elsewhere.
    pub fn set_forgotten_until(&mut self, until: Micros) {
        self.forgotten_until = self.forgotten_until.max(until);
    }

    /// Removes an identity whose call could not be stored.
    pub fn forget(&mut self, digest: &IdentityDigest) {
        self.remove(digest);
        // If this fails, the identity stays taken: its call is rejected rather than run twice.
        let released = Line::Released(*digest);
        if let Err(error) = self.locked(|store| store.append(&released)) {
            tracing::warn!(%error, "an unused identity stays in the file of identities");
        }
    }

    /// Records an identity of a tenant until `until`. A valid identity is never dropped for a newer
    /// one, so a flood of calls cannot make the store forget.
    pub fn take(&mut self, tenant: &str, id: &str, now: Micros, until: Micros) -> RecordResult {
        let digest = identity_digest(tenant, id);
        let taken = self.locked(|store| {
            store.read_new(now)?;
            store.drop_expired(now);
            store.record(digest, until)
        });
        taken.unwrap_or_else(|error| {
            tracing::warn!(%error, "the file of identities cannot be used: a call is rejected");
            RecordResult::Unavailable
        })
    }

    fn record(&mut self, digest: IdentityDigest, until: Micros) -> io::Result<RecordResult> {
        if until <= self.forgotten_until {
            return Ok(RecordResult::Forgotten);
        }
        if self.until.contains_key(&digest) {
            return Ok(RecordResult::Before);
        }
        if self.until.len() >= self.capacity {
            return Ok(RecordResult::Full);
        }
        self.append(&Line::Taken(until, digest))?;
        self.insert(until, digest);
        if let Err(error) = self.rewrite_if_long() {
            tracing::warn!(%error, "the file of identities cannot be shortened");
        }
        Ok(RecordResult::New)
    }

    /// Runs `action` while no other process changes the file. Without a file it just runs.
    fn locked<T>(
        &mut self,
        action: impl FnOnce(&mut ReplayStore) -> io::Result<T>,
    ) -> io::Result<T> {
        if let Some(file) = &mut self.file {
            file.lock()?;
        }
        let result = action(self);
        if let Some(file) = &self.file {
            file.unlock();
        }
        result
    }

    /// Applies the lines that this and other processes have appended.
    fn read_new(&mut self, now: Micros) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let lines = file.read_new()?;
        let was_removed = lines.is_empty() && file.lines() == 0 && !self.until.is_empty();
        for line in lines {
            match line {
                Line::Taken(until, digest) => self.insert(self.valid_until(now, until), digest),
                Line::Released(digest) => self.remove(&digest),
                // Times of other clocks say nothing about new identities.
                Line::ForgottenUntil(_) if self.foreign_validity.is_some() => {}
                Line::ForgottenUntil(until) => self.set_forgotten_until(until),
                Line::User(name) if self.users.len() < MAX_USERS => {
                    self.users.insert(name);
                }
                Line::User(_) => {}
                Line::Member(member) => self.insert_member(member),
                Line::Left(name) => {
                    self.users.remove(&name);
                    self.members.remove(&name);
                }
            }
        }
        if was_removed {
            self.rewrite()?;
        }
        Ok(())
    }

    /// Returns how long an identity is kept that another process recorded until `until`.
    fn valid_until(&self, now: Micros, until: Micros) -> Micros {
        let Some(ForeignValidity { min, max }) = self.foreign_validity else {
            return until;
        };
        until.clamp(now.saturating_add(min), now.saturating_add(max))
    }

    fn append(&mut self, line: &Line) -> io::Result<()> {
        match &mut self.file {
            Some(file) => file.append(line),
            None => Ok(()),
        }
    }

    /// Shortens the file if most of its lines are no longer needed. Otherwise it stays in place, as
    /// a process of an earlier version may append to it.
    fn rewrite_if_long(&mut self) -> io::Result<()> {
        let max_lines = MIN_REWRITE_LINES.max(REWRITE_FACTOR * self.until.len());
        if self
            .file
            .as_ref()
            .is_some_and(|file| file.lines() >= max_lines)
        {
            self.rewrite()?;
        }
        Ok(())
    }

    fn rewrite(&mut self) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let mut lines: Vec<Line> = self.users.iter().cloned().map(Line::User).collect();
        let members = self.members.iter();
        lines.extend(members.filter_map(|(name, place)| {
            Some(Line::Member(Member {
                name: name.clone(),
                number: place.number?,
                group_size: place.size,
            }))
        }));
        if self.forgotten_until > 0 {
            lines.push(Line::ForgottenUntil(self.forgotten_until));
        }
        let taken = self.order.iter();
        lines.extend(taken.map(|(until, digest)| Line::Taken(*until, *digest)));
        file.replace(&lines)
    }

    fn drop_expired(&mut self, now: Micros) {
        while let Some(&(until, digest)) = self.order.first().filter(|(until, _)| *until < now) {
            self.remove(&digest);
            self.set_forgotten_until(until);
        }
    }

    fn insert(&mut self, until: Micros, digest: IdentityDigest) {
        if let Some(earlier) = self.until.insert(digest, until) {
            self.order.remove(&(earlier, digest));
        }
        self.order.insert((until, digest));
    }

    fn remove(&mut self, digest: &IdentityDigest) {
        if let Some(until) = self.until.remove(digest) {
            self.order.remove(&(until, *digest));
        }
    }
}

#[cfg(test)]
mod tests;
