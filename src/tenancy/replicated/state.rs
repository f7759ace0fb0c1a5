//! State that results from the agreed changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::error::Refusal;
use super::{
    Origin, MAX_ANSWERS, MAX_ANSWER_BYTES, MAX_RECENT_CHANGES, MAX_TENANT_BYTES,
    MAX_TENANT_RECORDS, MAX_TOTAL_BYTES,
};

/// The state that a change is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Follows {
    /// The tenant did not exist, and this many tenants had been removed. The count keeps a repeated
    /// entry from recreating a tenant that was created and removed since.
    Nothing(u64),
    /// The agreed record of the tenant had this version.
    At(u64),
}

/// The answer to a request with an idempotency key, for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// Digest of the caller and the key.
    pub key: [u8; 32],
    /// Digest of the request.
    pub request: [u8; 32],
    /// Serialized answer.
    pub bytes: Vec<u8>,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the tenant.
    pub tenant: String,
    /// State that the change is based on.
    pub follows: Follows,
    /// Name of the proposing gateway.
    pub by: Arc<str>,
    /// Identifier of the change.
    pub origin: Origin,
    /// The new contents of the tenant; `None` for a removal.
    pub kept: Option<Vec<u8>>,
    /// Whether the operator's file lists the tenant; if so, its removal stays recorded.
    pub listed: bool,
    /// Answer for repeated requests, if the request had an idempotency key.
    pub answer: Option<Answer>,
}

/// Agreed record of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    /// Version, unique among all changes.
    pub version: u64,
    /// Contents of the tenant; `None` after a removal.
    pub kept: Option<Vec<u8>>,
    /// Whether an operator's file lists the tenant.
    pub listed: bool,
}

/// The state at one position in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenants {
    /// Number of changes that took effect.
    pub changes: u64,
    /// Number of these changes that removed a tenant.
    pub removals: u64,
    /// Records by tenant name.
    pub lines: BTreeMap<String, Line>,
    /// The most recent changes with their versions.
    pub recent: VecDeque<(Origin, u64)>,
    /// The most recent answers.
    pub answers: VecDeque<Answer>,
}

impl Tenants {
    /// Returns the base for a new change of a tenant.
    pub fn follows(&self, tenant: &str) -> Follows {
        self.lines
            .get(tenant)
            .map_or(Follows::Nothing(self.removals), |l| Follows::At(l.version))
    }

    /// Returns the size of all tenants, in bytes.
    pub fn bytes(&self) -> usize {
        self.lines
            .iter()
            .map(|(name, l)| name.len() + l.kept.as_ref().map_or(0, Vec::len))
            .sum()
    }

    /// Checks that the new contents of a tenant fit the limits.
    pub fn room(&self, tenant: &str, kept: Option<&[u8]>) -> Result<(), Refusal> {
        let own = kept.map_or(0, <[u8]>::len);
        if own > MAX_TENANT_BYTES {
            return Err(Refusal::TooLong {
                tenant: tenant.to_owned(),
                bytes: own,
            });
        }
        let known = self.lines.get(tenant);
        let old = known.map_or(0, |l| tenant.len() + l.kept.as_ref().map_or(0, Vec::len));
        let bytes = self.bytes() - old + tenant.len() + own;
        // A removal frees space, so it is exempt from the total.
        if kept.is_some() && bytes > MAX_TOTAL_BYTES {
            return Err(Refusal::TooMuch { bytes });
        }
        if known.is_none() && self.lines.len() >= MAX_TENANT_RECORDS {
            return Err(Refusal::TooMany {
                lines: self.lines.len(),
            });
        }
        Ok(())
    }

    /// Returns the stored answer to a request with this key.
    pub fn answer(&self, key: &[u8; 32]) -> Option<&Answer> {
        self.answers.iter().find(|a| a.key == *key)
    }

    /// Returns the version that a change created, if it took effect and is among the recent
    /// changes.
    pub fn held(&self, origin: Origin) -> Option<u64> {
        self.recent
            .iter()
            .find(|(o, _)| *o == origin)
            .map(|(_, version)| *version)
    }

    /// Applies an entry and returns whether it took effect.
    pub fn apply(&mut self, e: &Entry) -> bool {
        let known = self.lines.get(&e.tenant);
        let removes_nothing = known.is_none() && e.kept.is_none() && !e.listed;
        let named = !e.tenant.is_empty() && e.tenant.len() <= 64;
        if e.follows != self.follows(&e.tenant)
            || removes_nothing
            || !named
            || self.room(&e.tenant, e.kept.as_deref()).is_err()
        {
            return false;
        }
        let listed = e.listed || known.is_some_and(|l| l.listed);
        self.changes += 1;
        if e.kept.is_none() {
            self.removals += 1;
        }
        if e.kept.is_none() && !listed {
            self.lines.remove(&e.tenant);
        } else {
            let line = Line {
                version: self.changes,
                kept: e.kept.clone(),
                listed,
            };
            self.lines.insert(e.tenant.clone(), line);
        }
        push_bounded(
            &mut self.recent,
            (e.origin, self.changes),
            MAX_RECENT_CHANGES,
        );
        if let Some(answer) = e
            .answer
            .as_ref()
            .filter(|a| a.bytes.len() <= MAX_ANSWER_BYTES)
        {
            push_bounded(&mut self.answers, answer.clone(), MAX_ANSWERS);
        }
        true
    }
}

fn push_bounded<T>(all: &mut VecDeque<T>, item: T, capacity: usize) {
    all.push_back(item);
    if all.len() > capacity {
        all.pop_front();
    }
}
