//! What instances saw of workers, each origin's own word, merged as a state-based CRDT.
//!
//! An observation is replaced only by a newer one of the same origin about the same worker: the merge is commutative,
//! idempotent and monotone while an observation lives, and each ends by itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Micros, WorkerId};

/// How long an observation lives after the end of its window.
pub const OBSERVATION_LIFETIME: Micros = 10_000_000;
/// Observations of one origin kept at most, and origins.
pub const MAX_OBSERVATIONS_PER_ORIGIN: usize = 1024;
const MOST_ORIGINS: usize = 2048;

/// Outcomes of one origin's attempts at one worker over a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Observation {
    /// The end of the window, Unix microseconds of the origin; also which of its observations is newer.
    pub at: Micros,
    /// Answered.
    pub answered: u32,
    /// Failed fast.
    pub failed: u32,
    /// Not answered by their time.
    pub silent: u32,
    /// Connections refused or never up.
    pub refused: u32,
}

/// What an observation says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    /// Most attempts went wrong.
    Ill,
    /// Almost all went well.
    Well,
    /// Too little was seen, or some of both.
    Nothing,
}

impl Observation {
    /// Attempts that it rests on.
    pub fn evidence(&self) -> u32 {
        self.answered.saturating_add(self.wrong())
    }

    fn wrong(&self) -> u32 {
        self.failed
            .saturating_add(self.silent)
            .saturating_add(self.refused)
    }

    /// What it says. A refused connection needs no more to be told; all else needs three attempts.
    pub fn says(&self) -> Says {
        let (all, wrong) = (u64::from(self.evidence()), u64::from(self.wrong()));
        match () {
            () if self.refused > 0 && self.answered == 0 => Says::Ill,
            () if all >= 3 && 2 * wrong >= all => Says::Ill,
            () if all >= 3 && 10 * wrong <= all => Says::Well,
            () => Says::Nothing,
        }
    }

    /// Whether it still lives.
    pub fn lives(&self, now: Micros) -> bool {
        now < self.at.saturating_add(OBSERVATION_LIFETIME)
    }
}

/// What all origins have seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observations {
    by_origin: BTreeMap<String, BTreeMap<WorkerId, Observation>>,
}

impl Observations {
    /// Takes an observation in; `true` if it was news. One from further ahead than `skew` is not: it would live too
    /// long.
    pub fn merge(
        &mut self,
        now: Micros,
        skew: Micros,
        origin: &str,
        worker: WorkerId,
        o: Observation,
    ) -> bool {
        if !o.lives(now) || o.at > now.saturating_add(skew) {
            return false;
        }
        if !self.by_origin.contains_key(origin) && self.by_origin.len() >= MOST_ORIGINS {
            return false;
        }
        let of = self.by_origin.entry(origin.to_owned()).or_default();
        if !of.contains_key(&worker) && of.len() >= MAX_OBSERVATIONS_PER_ORIGIN {
            return false;
        }
        let held = of.entry(worker).or_default();
        // Of two with the same time the greater one counts, so that the order in which they come does not.
        let news = o > *held;
        *held = (*held).max(o);
        news
    }

    /// Takes all that another knows in.
    pub fn merge_all(&mut self, now: Micros, skew: Micros, other: &Observations) {
        for (origin, of) in &other.by_origin {
            for (worker, o) in of {
                self.merge(now, skew, origin, *worker, *o);
            }
        }
    }

    /// Lets go of what has ended.
    pub fn expire(&mut self, now: Micros) {
        self.by_origin.retain(|_, of| {
            of.retain(|_, o| o.lives(now));
            !of.is_empty()
        });
    }

    /// Lets go of an origin that is a member no more.
    pub fn forget(&mut self, origin: &str) {
        self.by_origin.remove(origin);
    }

    /// What is said of a worker, by origin, while it lives.
    pub fn about(
        &self,
        now: Micros,
        worker: WorkerId,
    ) -> impl Iterator<Item = (&str, Observation)> {
        self.by_origin.iter().filter_map(move |(origin, of)| {
            let o = of.get(&worker).filter(|o| o.lives(now))?;
            Some((origin.as_str(), *o))
        })
    }

    /// All workers of which anything is said.
    pub fn workers(&self) -> BTreeSet<WorkerId> {
        self.by_origin
            .values()
            .flat_map(|of| of.keys().copied())
            .collect()
    }

    /// Observations held.
    pub fn len(&self) -> usize {
        self.by_origin.values().map(BTreeMap::len).sum()
    }

    /// Whether nothing is said.
    pub fn is_empty(&self) -> bool {
        self.by_origin.is_empty()
    }
}

#[cfg(test)]
mod tests;
