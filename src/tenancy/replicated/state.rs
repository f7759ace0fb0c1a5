//! What the agreed changes come to.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::error::Refusal;
use super::{
    Origin, LONGEST_ANSWER, MAX_ANSWERS, MAX_RECENT_CHANGES, MAX_TENANT_BYTES, MAX_TENANT_RECORDS,
    MAX_TOTAL_BYTES,
};

/// What a change was made on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Follows {
    /// There was nothing agreed of the tenant, and so many had been removed by then: a change that
    /// comes again once its tenant was made and removed does not make it anew.
    Nothing(u64),
    /// What was agreed of it had this version.
    At(u64),
}

/// The answer to a request with a key, for whoever asks again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The digest of the caller and its key.
    pub key: [u8; 32],
    /// The digest of the request.
    pub request: [u8; 32],
    /// The answer.
    pub bytes: Vec<u8>,
}

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The tenant.
    pub tenant: String,
    /// What it was made on.
    pub follows: Follows,
    /// Whose word it is.
    pub by: Arc<str>,
    /// Which change.
    pub origin: Origin,
    /// The tenant from here on; none if it is removed.
    pub kept: Option<Vec<u8>>,
    /// Whether the operator's file names it: then it is remembered that it was removed.
    pub listed: bool,
    /// The answer to be given again, if the request had a key.
    pub answer: Option<Answer>,
}

/// What is agreed of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    /// Unlike that of any other change.
    pub version: u64,
    /// The tenant; none if it was removed.
    pub kept: Option<Vec<u8>>,
    /// Whether an operator's file names it.
    pub listed: bool,
}

/// The state at one place in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenants {
    /// How many changes took hold.
    pub changes: u64,
    /// How many of them removed a tenant.
    pub removals: u64,
    /// By name.
    pub lines: BTreeMap<String, Line>,
    /// The last changes, each with its version.
    pub recent: VecDeque<(Origin, u64)>,
    /// The last answers.
    pub answers: VecDeque<Answer>,
}

impl Tenants {
    /// What a change of a tenant follows now.
    pub fn follows(&self, tenant: &str) -> Follows {
        self.lines
            .get(tenant)
            .map_or(Follows::Nothing(self.removals), |l| Follows::At(l.version))
    }

    /// Bytes of all tenants.
    pub fn bytes(&self) -> usize {
        self.lines
            .iter()
            .map(|(name, l)| name.len() + l.kept.as_ref().map_or(0, Vec::len))
            .sum()
    }

    /// Whether there is room for a tenant as it would be.
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
        // A removal always has room: it makes some.
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

    /// The answer that was given to a request with this key.
    pub fn answer(&self, key: &[u8; 32]) -> Option<&Answer> {
        self.answers.iter().find(|a| a.key == *key)
    }

    /// The version that a change made, if it took hold, as far as is remembered.
    pub fn held(&self, origin: Origin) -> Option<u64> {
        self.recent
            .iter()
            .find(|(o, _)| *o == origin)
            .map(|(_, version)| *version)
    }

    /// Applies an entry; tells whether it took hold.
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
            .filter(|a| a.bytes.len() <= LONGEST_ANSWER)
        {
            push_bounded(&mut self.answers, answer.clone(), MAX_ANSWERS);
        }
        true
    }
}

fn push_bounded<T>(all: &mut VecDeque<T>, one: T, most: usize) {
    all.push_back(one);
    if all.len() > most {
        all.pop_front();
    }
}
