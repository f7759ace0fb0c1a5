//! The store of identities seen: bounded, and closed rather than forgetful when it is full.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use crate::api::Micros;

type Mark = [u8; 32];

/// What an identity is to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It is new, and now taken.
    New,
    /// It was taken before.
    Before,
    /// There is no room to remember it.
    Full,
}

/// Identities of calls taken, for as long as their time stamps would be accepted.
#[derive(Debug)]
pub struct Replays {
    most: usize,
    until: BTreeMap<Mark, Micros>,
    order: BTreeSet<(Micros, Mark)>,
}

impl Replays {
    /// A store for so many.
    pub fn new(most: usize) -> Replays {
        Replays { most, until: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// Takes an identity of a tenant, to be remembered until `until`. Guards against forgetting under a flood:
    /// what is still valid is never dropped for something newer.
    pub fn take(&mut self, tenant: &str, id: &str, now: Micros, until: Micros) -> Seen {
        while let Some(&(t, mark)) = self.order.first().filter(|(t, _)| *t < now) {
            self.order.remove(&(t, mark));
            self.until.remove(&mark);
        }
        let mut hash = Sha256::new();
        hash.update((tenant.len() as u64).to_le_bytes());
        hash.update(tenant);
        hash.update(id);
        let mark: Mark = hash.finalize().into();
        if self.until.contains_key(&mark) {
            return Seen::Before;
        }
        if self.until.len() >= self.most {
            return Seen::Full;
        }
        self.until.insert(mark, until);
        self.order.insert((until, mark));
        Seen::New
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_full_store_takes_nothing_until_something_has_run_out() {
        let mut r = Replays::new(2);
        assert_eq!(r.take("t", "a", 0, 10), Seen::New);
        assert_eq!(r.take("t", "a", 10, 20), Seen::Before, "still valid at its last instant");
        assert_eq!(r.take("u", "a", 1, 20), Seen::New, "another tenant's");
        assert_eq!(r.take("t", "b", 2, 20), Seen::Full);
        assert_eq!(r.take("t", "b", 11, 20), Seen::New);
        assert_eq!(r.take("ta", "", 12, 20), Seen::Full, "and not taken for tenant t's a");
    }
}
