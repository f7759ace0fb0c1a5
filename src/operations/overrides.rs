//! Combines the endpoint list with the operators' exclusions of workers.
//!
//! Only known workers can be excluded: those on the list, those that are excluded, and up to
//! [`MAX_WORKERS_SEEN`] names that were on the list. Thus memory is bounded.

use std::collections::BTreeMap;

use crate::api::{Micros, WorkerEntry, WorkerStatus};

mod departed;

use departed::DepartedNames;

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
    /// Names that left the list and are not excluded.
    departed: DepartedNames,
    /// Increases with each change of the known names and the exclusions.
    version: u64,
}

impl WorkerOverrides {
    /// Applies an update of the endpoint list; returns the entries that the module is notified of.
    pub fn apply_list<'a>(
        &mut self,
        is_snapshot: bool,
        entries: impl IntoIterator<Item = (&'a str, WorkerEntry)>,
    ) -> Vec<WorkerEntry> {
        let unlisted = if is_snapshot {
            std::mem::take(&mut self.listed)
        } else {
            BTreeMap::new()
        };
        let mut effective = Vec::new();
        for (name, entry) in entries {
            effective.push(self.with_exclusion(name, entry.clone()));
            if entry.status == WorkerStatus::Removed {
                self.listed.remove(name);
                self.remember(name);
            } else {
                self.departed.remove(name);
                if self.listed.insert(name.to_owned(), entry).is_none() {
                    self.version += 1;
                }
            }
        }
        for name in unlisted.into_keys() {
            self.remember(&name);
        }
        effective
    }

    /// Remembers that a worker was listed.
    pub fn remember(&mut self, name: &str) {
        let is_kept = self.listed.contains_key(name) || self.is_excluded(name);
        if is_kept || name.len() > MAX_NAME_BYTES || self.departed.contains(name) {
            return;
        }
        self.version += 1;
        if let Some(forgotten) = self.departed.add(name) {
            self.exclusions.remove(&forgotten);
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
        name.len() <= MAX_NAME_BYTES
            && (self.listed.contains_key(name)
                || self.departed.contains(name)
                || self.is_excluded(name))
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
        self.version += 1;
        self.exclusions.insert(name.to_owned(), (excluded, at));
        if before == excluded {
            return None;
        }
        if excluded {
            self.departed.remove(name);
        } else {
            self.remember(name);
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

    /// Up to [`MAX_WORKERS_SEEN`] known names for other processes, which know the listed ones from
    /// discovery: first those that left the list, oldest first.
    pub fn seen(&self) -> impl Iterator<Item = &str> {
        let listed = self.listed.keys().map(String::as_str);
        let room = MAX_WORKERS_SEEN - self.departed.len();
        self.departed.iter().chain(listed.take(room))
    }

    /// A number that changes whenever the known names or the exclusions change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The latest entry of a worker on the list.
    pub fn listed_entry(&self, name: &str) -> Option<&WorkerEntry> {
        self.listed.get(name)
    }

    /// The workers on the list, by name.
    pub fn listed(&self) -> impl Iterator<Item = (&str, &WorkerEntry)> {
        self.listed
            .iter()
            .map(|(name, entry)| (name.as_str(), entry))
    }

    /// The number of workers on the list.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }
}

#[cfg(test)]
mod tests;
