//! Workers that staff have taken out: the list's word and the operator's of each worker, told as one.
//!
//! Bounds: what is listed, and [`MAX_WORKERS_SEEN`] names that were; bans can only be on those.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::api::{Micros, WorkerEntry, WorkerStatus};

/// Names that are remembered after they have left the list, the oldest forgotten first.
pub const MAX_WORKERS_SEEN: usize = 1024;
/// Bytes that a name may have to be remembered.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a worker cannot be taken out or put back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideError {
    /// It was never listed.
    NeverListed,
    /// As many as are remembered are out already.
    TooMany,
}

impl fmt::Display for OverrideError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OverrideError::NeverListed => "no worker of that name was ever listed",
            OverrideError::TooMany => "too many workers are out",
        })
    }
}

impl std::error::Error for OverrideError {}

/// What the list and the operator say of the workers.
#[derive(Debug, Default)]
pub struct WorkerOverrides {
    /// The list's last word.
    listed: BTreeMap<String, WorkerEntry>,
    /// The operator's last word, and when it was given. One that ended a ban stays for other processes to hear.
    bans: BTreeMap<String, (bool, Micros)>,
    seen: BTreeSet<String>,
    /// The names seen, in the order in which they came.
    order: VecDeque<String>,
}

impl WorkerOverrides {
    /// Takes a notice's lines over; returns what the module is to be told of them.
    pub fn list<'a>(
        &mut self,
        whole: bool,
        lines: impl IntoIterator<Item = (&'a str, WorkerEntry)>,
    ) -> Vec<WorkerEntry> {
        if whole {
            self.listed.clear();
        }
        let mut told = Vec::new();
        for (name, member) in lines {
            self.see(name);
            told.push(self.overlay(name, member.clone()));
            if member.status == WorkerStatus::Removed {
                self.listed.remove(name);
            } else {
                self.listed.insert(name.to_owned(), member);
            }
        }
        told
    }

    /// Remembers a name as listed once.
    pub fn see(&mut self, name: &str) {
        if name.len() > MAX_NAME_BYTES || !self.seen.insert(name.to_owned()) {
            return;
        }
        self.order.push_back(name.to_owned());
        // What is banned or listed is not forgotten, and comes to the end of the row again.
        for _ in 0..self.order.len() {
            if self.order.len() <= MAX_WORKERS_SEEN {
                return;
            }
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if self.is_banned(&oldest) || self.listed.contains_key(&oldest) {
                self.order.push_back(oldest);
            } else {
                self.seen.remove(&oldest);
                self.bans.remove(&oldest);
            }
        }
    }

    fn overlay(&self, name: &str, mut member: WorkerEntry) -> WorkerEntry {
        if member.status == WorkerStatus::Ready && self.is_banned(name) {
            member.status = WorkerStatus::Draining;
        }
        member
    }

    /// Whether this name was listed at any time that is still remembered.
    pub fn knows(&self, name: &str) -> bool {
        self.seen.contains(name)
    }

    /// Takes a worker out; returns what the module is to be told, if anything changes for it.
    pub fn exclude(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        self.call(name, true, now)
    }

    /// Puts a worker back, however often it was taken out.
    pub fn include(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        self.call(name, false, now)
    }

    fn call(
        &mut self,
        name: &str,
        ban: bool,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        if !self.knows(name) {
            return Err(OverrideError::NeverListed);
        }
        if ban
            && !self.is_banned(name)
            && self.bans.values().filter(|(b, _)| *b).count() >= MAX_WORKERS_SEEN
        {
            return Err(OverrideError::TooMany);
        }
        // Later than all that was said before, whatever another process's clock shows.
        let at = self.bans.get(name).map_or(now, |(_, at)| now.max(at + 1));
        Ok(self.merge(name, ban, at, now))
    }

    /// Takes over what was said of a worker at a time, here or by another process: the last word counts, of two at
    /// the same time the ban. Any order of merging leads to the same. Returns what the module is to be told.
    pub fn merge(&mut self, name: &str, ban: bool, at: Micros, now: Micros) -> Option<WorkerEntry> {
        self.see(name);
        if !self.knows(name)
            || self
                .bans
                .get(name)
                .is_some_and(|(b, t)| (*t, *b) >= (at, ban))
        {
            return None;
        }
        let before = self.is_banned(name);
        self.bans.insert(name.to_owned(), (ban, at));
        if before == ban {
            return None;
        }
        let member = self.listed.get_mut(name)?;
        if !ban {
            // Meanwhile it was restarted, this instant at the latest: told as started now, it is not pushed over.
            member.started_at = Some(member.started_at.unwrap_or(0).max(now));
        }
        let member = member.clone();
        Some(self.overlay(name, member))
    }

    /// Whether this worker is taken out.
    pub fn is_banned(&self, name: &str) -> bool {
        self.bans.get(name).is_some_and(|(banned, _)| *banned)
    }

    /// The operator's last word on each worker, and when it was given.
    pub fn bans(&self) -> &BTreeMap<String, (bool, Micros)> {
        &self.bans
    }

    /// The names remembered, oldest first.
    pub fn seen(&self) -> impl Iterator<Item = &str> {
        self.order.iter().map(String::as_str)
    }

    /// Workers in the list.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }
}

#[cfg(test)]
mod tests;
