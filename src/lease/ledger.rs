//! What the agreed log says of duties. Applied in the log's order it is the same at every instance.

use std::collections::BTreeMap;

use super::{LeaseHolder, LeaseName, Term};

/// Duties that are kept; a grant of a further one has no effect. Removed with their operator's line.
pub const MAX_LEASES: usize = 1024;

/// An entry of the agreed log.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Entry {
    /// A duty is its owner's from here on.
    Grant {
        /// Which.
        lease: LeaseName,
        /// Whose.
        holder: LeaseHolder,
        /// One above the term before.
        term: Term,
    },
    /// Its owner will not act under this term any more.
    Released {
        /// Which.
        lease: LeaseName,
        /// The term that has ended.
        term: Term,
    },
}

/// One duty as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LeaseRecord {
    /// The last term granted; 0 before the first.
    pub term: Term,
    /// Its owner; none before the first and once it was given back.
    pub holder: Option<LeaseHolder>,
}

/// All duties as they stand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseName, LeaseRecord>,
}

impl LeaseTable {
    /// Applies an entry and tells whether it took hold. One that does not follow from what stands has no effect: two leaders
    /// may both have proposed what only one of them was to decide.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::Grant {
                lease: duty,
                holder: owner,
                term,
            } => {
                if self.leases.len() >= MAX_LEASES && !self.leases.contains_key(duty) {
                    return false;
                }
                let stands = self.leases.entry(duty.clone()).or_default();
                if *term != stands.term + 1 {
                    return false;
                }
                *stands = LeaseRecord {
                    term: *term,
                    holder: Some(owner.clone()),
                };
                true
            }
            Entry::Released { lease: duty, term } => {
                let stands = self
                    .leases
                    .get_mut(duty)
                    .filter(|s| s.term == *term && s.holder.is_some());
                stands.map(|s| s.holder = None).is_some()
            }
        }
    }

    /// All duties as they begin in a later generation of the council: without owners, and with terms above any that the one
    /// before it can have granted, so that whoever of it wakes up late is refused.
    pub fn rebootstrapped(&self, generation: u32) -> LeaseTable {
        let first = Term::from(generation) << 32;
        let anew = |s: &LeaseRecord| LeaseRecord {
            term: s.term.max(first),
            holder: None,
        };
        LeaseTable {
            leases: self
                .leases
                .iter()
                .map(|(d, s)| (d.clone(), anew(s)))
                .collect(),
        }
    }

    /// One duty as it stands.
    pub fn record(&self, duty: &LeaseName) -> LeaseRecord {
        self.leases.get(duty).cloned().unwrap_or_default()
    }

    /// All duties ever granted.
    pub fn duties(&self) -> impl Iterator<Item = (&LeaseName, &LeaseRecord)> {
        self.leases.iter()
    }

    /// How many duties an owner has.
    pub fn held_by(&self, owner: &LeaseHolder) -> usize {
        self.leases
            .values()
            .filter(|s| s.holder.as_ref() == Some(owner))
            .count()
    }
}
