//! The replicated state of all leases. Every gateway applies the entries in log order and reaches the same state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{LeaseHolder, LeaseName, Term};

/// The maximum number of leases; a grant of a further lease has no effect.
pub const MAX_LEASES: usize = 1024;

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A lease gets a new holder.
    Grant {
        /// The lease.
        lease: LeaseName,
        /// The new holder.
        holder: LeaseHolder,
        /// The new term, one above the previous one.
        term: Term,
    },
    /// The holder no longer acts under this term.
    Released {
        /// The lease.
        lease: LeaseName,
        /// The released term.
        term: Term,
    },
}

/// The state of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The last granted term; 0 before the first grant.
    pub term: Term,
    /// The holder; `None` before the first grant and after a release.
    pub holder: Option<LeaseHolder>,
}

/// The state of all leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseName, LeaseRecord>,
}

impl LeaseTable {
    /// Applies an entry and returns whether it took effect.
    ///
    /// An entry that is not valid in the current state has no effect: two leaders may both propose an entry for the same
    /// term.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::Grant {
                lease,
                holder,
                term,
            } => self.grant(lease, holder, *term),
            Entry::Released { lease, term } => self.release(lease, *term),
        }
    }

    fn grant(&mut self, lease: &LeaseName, holder: &LeaseHolder, term: Term) -> bool {
        if self.leases.len() >= MAX_LEASES && !self.leases.contains_key(lease) {
            return false;
        }
        let record = self.leases.entry(lease.clone()).or_default();
        if term != record.term + 1 {
            return false;
        }
        record.term = term;
        record.holder = Some(holder.clone());
        true
    }

    fn release(&mut self, lease: &LeaseName, term: Term) -> bool {
        match self.leases.get_mut(lease) {
            Some(record) if record.term == term => record.holder.take().is_some(),
            _ => false,
        }
    }

    /// Returns the initial state of a later generation. No lease has a holder, and all terms are above those that the previous
    /// generation can have granted, so that its late effects are rejected.
    pub fn for_generation(&self, generation: u32) -> LeaseTable {
        let first_term = Term::from(generation) << 32;
        let restarted = |record: &LeaseRecord| LeaseRecord {
            term: record.term.max(first_term),
            holder: None,
        };
        let leases = self
            .leases
            .iter()
            .map(|(lease, record)| (lease.clone(), restarted(record)))
            .collect();
        LeaseTable { leases }
    }

    /// The state of one lease.
    pub fn record(&self, lease: &LeaseName) -> LeaseRecord {
        self.leases.get(lease).cloned().unwrap_or_default()
    }

    /// All leases that have been granted at least once.
    pub fn iter(&self) -> impl Iterator<Item = (&LeaseName, &LeaseRecord)> {
        self.leases.iter()
    }

    /// The number of leases that a gateway holds.
    pub fn count_of(&self, holder: &LeaseHolder) -> usize {
        self.leases
            .values()
            .filter(|record| record.holder.as_ref() == Some(holder))
            .count()
    }
}
