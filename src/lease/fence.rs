//! The fence of a receiver of effects: it rejects terms below the highest seen.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{LeaseName, Term};

/// Leases whose terms are stored; effects under further ones are rejected. Leases are configured, so more of them are a
/// fault.
pub const MAX_FENCED_LEASES: usize = 1024;

/// Why an effect is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// An effect of a later holder was seen.
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
    /// There are more leases than are stored.
    #[error("more than {MAX_FENCED_LEASES} duties")]
    TooMany,
}

/// The highest terms seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    seen: BTreeMap<LeaseName, Term>,
}

impl Fence {
    /// Admits or rejects an effect; `true` if its term is new.
    ///
    /// Where an effect outlives a restart, the fence has to as well, and the effect waits until the fence is persisted.
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

    /// The highest term seen of a lease; 0 if there was none.
    pub fn seen(&self, lease: &LeaseName) -> Term {
        self.seen.get(lease).copied().unwrap_or(0)
    }
}
