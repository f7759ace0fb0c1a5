//! Combines the endpoint list with the operators' exclusions of workers.
//!
//! Only known workers can be excluded: those on the list, and up to [`MAX_WORKERS_SEEN`] names that
//! were on it. Thus memory is bounded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{Micros, WorkerEntry, WorkerStatus};

/// Number of names remembered after they have left the list. The oldest is forgotten first.
pub const MAX_WORKERS_SEEN: usize = 1024;
/// The longest name that is remembered, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a worker cannot be excluded or included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The worker was never listed. The operator checks the name against the endpoint list.
    #[error("no worker of that name was ever listed")]
    NeverListed,
    /// [`MAX_WORKERS_SEEN`] workers are excluded already. The operator includes others first.
    #[error("too many workers are out")]
    TooMany,
}

/// The endpoint list's entries and the operators' exclusions.
#[derive(Debug, Default)]
pub struct WorkerOverrides {
    /// The latest entry of each worker on the list.
    listed: BTreeMap<String, WorkerEntry>,
    /// The operators' latest change of each worker (true: excluded) and its time. An inclusion is
    /// kept so that sibling processes learn of it.
    exclusions: BTreeMap<String, (bool, Micros)>,
    known_workers: BTreeSet<String>,
    /// The known names, in the order in which they were first listed.
    known_in_order: VecDeque<String>,
}

impl WorkerOverrides {
    /// Applies an update of the endpoint list; returns the entries that the module is notified of.
    pub fn apply_list<'a>(
        &mut self,
        is_snapshot: bool,
        entries: impl IntoIterator<Item = (&'a str, WorkerEntry)>,
    ) -> Vec<WorkerEntry> {
        if is_snapshot {
            self.listed.clear();
        }
        let mut effective = Vec::new();
        for (name, entry) in entries {
            self.remember(name);
            effective.push(self.with_exclusion(name, entry.clone()));
            if entry.status == WorkerStatus::Removed {
                self.listed.remove(name);
            } else {
                self.listed.insert(name.to_owned(), entry);
            }
        }
        effective
    }

    /// Remembers that a worker was listed.
    pub fn remember(&mut self, name: &str) {
        if name.len() > MAX_NAME_BYTES || !self.known_workers.insert(name.to_owned()) {
            return;
        }
        self.known_in_order.push_back(name.to_owned());
        // An excluded or listed worker is not forgotten and moves to the end of the order.
        for _ in 0..self.known_in_order.len() {
            if self.known_in_order.len() <= MAX_WORKERS_SEEN {
                return;
            }
            let Some(oldest) = self.known_in_order.pop_front() else {
                return;
            };
            if self.is_excluded(&oldest) || self.listed.contains_key(&oldest) {
                self.known_in_order.push_back(oldest);
            } else {
                self.known_workers.remove(&oldest);
                self.exclusions.remove(&oldest);
            }
        }
    }

    fn with_exclusion(&self, name: &str, mut entry: WorkerEntry) -> WorkerEntry {
        if entry.status == WorkerStatus::Ready && self.is_excluded(name) {
            entry.status = WorkerStatus::Draining;
        }
        entry
    }

    /// Returns true if this name was listed and is still remembered.
    pub fn is_known(&self, name: &str) -> bool {
        self.known_workers.contains(name)
    }

    /// Excludes a worker; returns the entry that the module is notified of, if it changes.
    pub fn exclude(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        self.set_exclusion(name, true, now)
    }

    /// Includes a worker again, however often it was excluded.
    pub fn include(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        self.set_exclusion(name, false, now)
    }

    fn set_exclusion(
        &mut self,
        name: &str,
        excluded: bool,
        now: Micros,
    ) -> Result<Option<WorkerEntry>, OverrideError> {
        if !self.is_known(name) {
            return Err(OverrideError::NeverListed);
        }
        if excluded
            && !self.is_excluded(name)
            && self
                .exclusions
                .values()
                .filter(|(is_excluded, _)| *is_excluded)
                .count()
                >= MAX_WORKERS_SEEN
        {
            return Err(OverrideError::TooMany);
        }
        // Later than every earlier change, whatever a sibling process's clock shows.
        let at = self
            .exclusions
            .get(name)
            .map_or(now, |(_, at)| now.max(at + 1));
        Ok(self.merge(name, excluded, at, now))
    }

    /// Merges an operator's change, made here or at a sibling process: the latest counts, and of
    /// two at the same instant the exclusion. The order of merging does not matter. Returns the
    /// entry that the module is notified of, if it changes.
    pub fn merge(
        &mut self,
        name: &str,
        excluded: bool,
        at: Micros,
        now: Micros,
    ) -> Option<WorkerEntry> {
        self.remember(name);
        if !self.is_known(name)
            || self
                .exclusions
                .get(name)
                .is_some_and(|(was_excluded, changed_at)| {
                    (*changed_at, *was_excluded) >= (at, excluded)
                })
        {
            return None;
        }
        let before = self.is_excluded(name);
        self.exclusions.insert(name.to_owned(), (excluded, at));
        if before == excluded {
            return None;
        }
        let entry = self.listed.get_mut(name)?;
        if !excluded {
            // The worker was probably restarted meanwhile, at the latest now: slow start keeps it
            // from being overloaded.
            entry.started_at = Some(entry.started_at.unwrap_or(0).max(now));
        }
        let entry = entry.clone();
        Some(self.with_exclusion(name, entry))
    }

    /// Returns true if this worker is excluded.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.exclusions
            .get(name)
            .is_some_and(|(is_excluded, _)| *is_excluded)
    }

    /// The operators' latest change of each worker (true: excluded) and its time.
    pub fn bans(&self) -> &BTreeMap<String, (bool, Micros)> {
        &self.exclusions
    }

    /// The remembered names, oldest first.
    pub fn seen(&self) -> impl Iterator<Item = &str> {
        self.known_in_order.iter().map(String::as_str)
    }

    /// The number of workers on the list.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }
}

#[cfg(test)]
mod tests;
