//! Names of workers that have left the endpoint list, in the order in which they left.

use std::collections::{BTreeMap, HashMap};

use super::MAX_WORKERS_SEEN;

/// Up to [`MAX_WORKERS_SEEN`] names; the oldest is forgotten first. Each operation costs the same
/// for any number of listed workers.
#[derive(Debug, Default)]
pub(super) struct DepartedNames {
    by_number: BTreeMap<u64, String>,
    numbers: HashMap<String, u64>,
    last_number: u64,
}

impl DepartedNames {
    /// Adds a name as the newest. Returns the name that is forgotten for it.
    pub(super) fn add(&mut self, name: &str) -> Option<String> {
        self.remove(name);
        self.last_number += 1;
        self.by_number.insert(self.last_number, name.to_owned());
        self.numbers.insert(name.to_owned(), self.last_number);
        if self.by_number.len() <= MAX_WORKERS_SEEN {
            return None;
        }
        let (_, forgotten) = self.by_number.pop_first()?;
        self.numbers.remove(&forgotten);
        Some(forgotten)
    }

    /// Removes a name, if it is among them.
    pub(super) fn remove(&mut self, name: &str) {
        if let Some(number) = self.numbers.remove(name) {
            self.by_number.remove(&number);
        }
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.numbers.contains_key(name)
    }

    /// The names, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &str> {
        self.by_number.values().map(String::as_str)
    }

    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }
}
