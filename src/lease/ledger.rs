//! What the agreed log says of duties. Applied in the log's order it is the same at every instance.

use std::collections::BTreeMap;

use super::{Duty, Owner, Term};

/// Duties that are kept; a grant of a further one has no effect. Removed with their operator's line.
pub const MOST_DUTIES: usize = 1024;

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum Entry {
    /// A duty is its owner's from here on.
    Grant {
        /// Which.
        duty: Duty,
        /// Whose.
        owner: Owner,
        /// One above the term before.
        term: Term,
    },
    /// Its owner will not act under this term any more.
    GivenBack {
        /// Which.
        duty: Duty,
        /// The term that has ended.
        term: Term,
    },
}

/// One duty as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Standing {
    /// The last term granted; 0 before the first.
    pub term: Term,
    /// Its owner; none before the first and once it was given back.
    pub owner: Option<Owner>,
}

/// All duties as they stand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Ledger {
    duties: BTreeMap<Duty, Standing>,
}

impl Ledger {
    /// Applies an entry and tells whether it took hold. One that does not follow from what stands has no effect: two leaders
    /// may both have proposed what only one of them was to decide.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::Grant { duty, owner, term } => {
                if self.duties.len() >= MOST_DUTIES && !self.duties.contains_key(duty) {
                    return false;
                }
                let stands = self.duties.entry(duty.clone()).or_default();
                if *term != stands.term + 1 {
                    return false;
                }
                *stands = Standing { term: *term, owner: Some(owner.clone()) };
                true
            }
            Entry::GivenBack { duty, term } => {
                let stands = self.duties.get_mut(duty).filter(|s| s.term == *term && s.owner.is_some());
                stands.map(|s| s.owner = None).is_some()
            }
        }
    }

    /// All duties as they begin in a later generation of the council: without owners, and with terms above any that the one
    /// before it can have granted, so that whoever of it wakes up late is refused.
    pub fn founded_anew(&self, generation: u32) -> Ledger {
        let first = Term::from(generation) << 32;
        let anew = |s: &Standing| Standing { term: s.term.max(first), owner: None };
        Ledger { duties: self.duties.iter().map(|(d, s)| (d.clone(), anew(s))).collect() }
    }

    /// One duty as it stands.
    pub fn standing(&self, duty: &Duty) -> Standing {
        self.duties.get(duty).cloned().unwrap_or_default()
    }

    /// All duties ever granted.
    pub fn duties(&self) -> impl Iterator<Item = (&Duty, &Standing)> {
        self.duties.iter()
    }

    /// How many duties an owner has.
    pub fn load(&self, owner: &Owner) -> usize {
        self.duties.values().filter(|s| s.owner.as_ref() == Some(owner)).count()
    }
}
