//! The fence at a receiver of effects: rejects terms below the highest one seen.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{LeaseName, Term};

/// The maximum number of leases whose terms are stored. Effects under further leases are rejected: the set of leases is
/// configured, so a larger number indicates a fault.
pub const MAX_FENCED_LEASES: usize = 1024;

/// Why an effect is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// An effect with a higher term was received earlier.
    #[error("term {term} has ended, {seen} was seen")]
    Stale {
        /// The term of the effect.
        term: Term,
        /// The highest term seen.
        seen: Term,
    },
    /// The effect has the term 0, which is never granted.
    #[error("no grant has the term 0")]
    NoTerm,
    /// The maximum number of leases is already stored.
    #[error("more than {MAX_FENCED_LEASES} duties")]
    TooMany,
}

/// The highest term seen of each lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    seen: BTreeMap<LeaseName, Term>,
}

impl Fence {
    /// Admits or rejects an effect; returns whether its term is higher than all earlier terms.
    ///
    /// If the result of an effect survives a restart of the receiver, the receiver has to persist
    /// the fence before it carries out the effect.
    ///
    /// # Errors
    ///
    /// [`FenceError`] if the effect is rejected.
    pub fn admit(&mut self, lease: &LeaseName, term: Term) -> Result<bool, FenceError> {
        let seen = self.seen(lease);
        if term == 0 {
            return Err(FenceError::NoTerm);
        }
        if term < seen {
            return Err(FenceError::Stale { term, seen });
        }
        if seen == 0 && self.seen.len() >= MAX_FENCED_LEASES {
            return Err(FenceError::TooMany);
        }
        let is_new = term > seen;
        if is_new {
            self.seen.insert(lease.clone(), term);
        }
        Ok(is_new)
    }

    /// The highest term seen of a lease; 0 if none was seen.
    pub fn seen(&self, lease: &LeaseName) -> Term {
        self.seen.get(lease).copied().unwrap_or(0)
    }
}
