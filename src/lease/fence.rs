//! At whoever receives an effect: terms below the highest seen are refused.

use std::collections::BTreeMap;
use std::fmt;

use super::{LeaseName, Term};

/// Duties whose terms are kept; effects of further ones are refused. They come from the operator's list, so that more of
/// them are a fault.
pub const MAX_FENCED_LEASES: usize = 1024;

/// Why an effect is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceError {
    /// A later owner's effect has been seen.
    Stale {
        /// The term that it came under.
        term: Term,
        /// The highest seen.
        seen: Term,
    },
    /// No grant has the term 0.
    NoTerm,
    /// More duties than are kept.
    TooMany,
}

impl fmt::Display for FenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FenceError::Stale { term, seen } => write!(f, "term {term} has ended, {seen} was seen"),
            FenceError::NoTerm => f.write_str("no grant has the term 0"),
            FenceError::TooMany => write!(f, "more than {MAX_FENCED_LEASES} duties"),
        }
    }
}

impl std::error::Error for FenceError {}

/// The highest terms seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Fence {
    seen: BTreeMap<LeaseName, Term>,
}

impl Fence {
    /// Admits an effect or refuses it. `true` if its term is a new one: where the effect lasts over a restart, so must what
    /// is kept here, and the effect waits until it does.
    pub fn admit(&mut self, duty: &LeaseName, term: Term) -> Result<bool, FenceError> {
        let seen = self.seen.get(duty).copied().unwrap_or(0);
        if term == 0 {
            return Err(FenceError::NoTerm);
        }
        if term < seen {
            return Err(FenceError::Stale { term, seen });
        }
        if seen == 0 && self.seen.len() >= MAX_FENCED_LEASES {
            return Err(FenceError::TooMany);
        }
        if term > seen {
            self.seen.insert(duty.clone(), term);
        }
        Ok(term > seen)
    }

    /// The highest term seen of a duty; 0 if none was.
    pub fn seen(&self, duty: &LeaseName) -> Term {
        self.seen.get(duty).copied().unwrap_or(0)
    }
}
