//! At whoever receives an effect: terms below the highest seen are refused.

use std::collections::BTreeMap;
use std::fmt;

use super::{Duty, Term};

/// Duties whose terms are kept; effects of further ones are refused. They come from the operator's list, so that more of
/// them are a fault.
pub const MOST_FENCED: usize = 1024;

/// Why an effect is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
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

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Stale { term, seen } => write!(f, "term {term} has ended, {seen} was seen"),
            Refused::NoTerm => f.write_str("no grant has the term 0"),
            Refused::TooMany => write!(f, "more than {MOST_FENCED} duties"),
        }
    }
}

impl std::error::Error for Refused {}

/// The highest terms seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Fence {
    seen: BTreeMap<Duty, Term>,
}

impl Fence {
    /// Admits an effect or refuses it. `true` if its term is a new one: where the effect lasts over a restart, so must what
    /// is kept here, and the effect waits until it does.
    pub fn admit(&mut self, duty: &Duty, term: Term) -> Result<bool, Refused> {
        let seen = self.seen.get(duty).copied().unwrap_or(0);
        if term == 0 {
            return Err(Refused::NoTerm);
        }
        if term < seen {
            return Err(Refused::Stale { term, seen });
        }
        if seen == 0 && self.seen.len() >= MOST_FENCED {
            return Err(Refused::TooMany);
        }
        if term > seen {
            self.seen.insert(duty.clone(), term);
        }
        Ok(term > seen)
    }

    /// The highest term seen of a duty; 0 if none was.
    pub fn seen(&self, duty: &Duty) -> Term {
        self.seen.get(duty).copied().unwrap_or(0)
    }
}
