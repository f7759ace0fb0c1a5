//! Entries of long endpoint lists that wait to be applied in pieces.
//!
//! Only entries of ready workers wait: that a worker drains or is removed is applied at once, and
//! withdraws an entry that says otherwise. So nothing is ever sent on the word of an older list.

use std::collections::{BTreeMap, HashMap};

use super::watch_event::Endpoint;

/// The entries in the order in which they came, one for each name.
#[derive(Debug, Default)]
pub struct StagedEndpoints {
    by_number: BTreeMap<u64, Endpoint>,
    numbers: HashMap<String, u64>,
    last_number: u64,
}

impl StagedEndpoints {
    /// Adds an entry in place of an earlier one of the same name.
    pub fn stage(&mut self, endpoint: Endpoint) {
        self.withdraw(&endpoint.name);
        self.last_number += 1;
        self.numbers.insert(endpoint.name.clone(), self.last_number);
        self.by_number.insert(self.last_number, endpoint);
    }

    /// Whether an entry of this name waits.
    pub fn contains(&self, name: &str) -> bool {
        self.numbers.contains_key(name)
    }

    /// Removes the entry of a name, if there is one.
    pub fn withdraw(&mut self, name: &str) {
        if let Some(number) = self.numbers.remove(name) {
            self.by_number.remove(&number);
        }
    }

    /// Removes and returns the oldest entries, up to `count`.
    pub fn take(&mut self, count: usize) -> Vec<Endpoint> {
        let mut taken = Vec::new();
        while taken.len() < count {
            let Some((_, endpoint)) = self.by_number.pop_first() else {
                break;
            };
            self.numbers.remove(&endpoint.name);
            taken.push(endpoint);
        }
        taken
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }
}
