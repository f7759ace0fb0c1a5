//! Observations of workers by instances, merged as a state-based CRDT.
//!
//! Only a newer observation by the same origin of the same worker replaces an observation, so the
//! merge is commutative, idempotent and monotone until the observation expires.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Micros, WorkerId};

/// Lifetime of an observation after the end of its window.
pub const OBSERVATION_LIFETIME: Micros = 10_000_000;
/// Maximum number of stored observations per origin.
pub const MAX_OBSERVATIONS_PER_ORIGIN: usize = 1024;
/// Maximum number of origins with stored observations.
const MAX_ORIGINS: usize = 2048;

/// Outcomes of one origin's attempts at one worker over a time window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Observation {
    /// End of the window in Unix microseconds by the origin's clock; orders the origin's
    /// observations.
    pub at: Micros,
    /// Number of answered attempts.
    pub answered: u32,
    /// Number of attempts that failed before their timeout.
    pub failed: u32,
    /// Number of attempts without an answer before their timeout.
    pub silent: u32,
    /// Number of connections refused or not established.
    pub refused: u32,
}

/// Conclusion from an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthVerdict {
    /// At least half of the attempts failed, or a connection was refused and no attempt was
    /// answered.
    Unhealthy,
    /// At most a tenth of the attempts failed.
    Healthy,
    /// There were too few attempts, or the results were mixed.
    Inconclusive,
}

impl Observation {
    /// Returns the number of attempts in the observation.
    pub fn evidence(&self) -> u32 {
        self.answered.saturating_add(self.failures())
    }

    fn failures(&self) -> u32 {
        self.failed
            .saturating_add(self.silent)
            .saturating_add(self.refused)
    }

    /// Returns the conclusion. A refused connection without any answer suffices for
    /// [`HealthVerdict::Unhealthy`]; any other conclusion needs three attempts.
    pub fn verdict(&self) -> HealthVerdict {
        let (all, failures) = (u64::from(self.evidence()), u64::from(self.failures()));
        match () {
            () if self.refused > 0 && self.answered == 0 => HealthVerdict::Unhealthy,
            () if all >= 3 && 2 * failures >= all => HealthVerdict::Unhealthy,
            () if all >= 3 && 10 * failures <= all => HealthVerdict::Healthy,
            () => HealthVerdict::Inconclusive,
        }
    }

    /// Returns whether the observation has not expired.
    pub fn is_live(&self, now: Micros) -> bool {
        now < self.at.saturating_add(OBSERVATION_LIFETIME)
    }
}

/// Observations by all origins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observations {
    by_origin: BTreeMap<String, BTreeMap<WorkerId, Observation>>,
}

impl Observations {
    /// Merges an observation and returns whether it is new. An observation dated more than `skew`
    /// ahead is rejected, because it would outlive its intended lifetime.
    pub fn merge(
        &mut self,
        now: Micros,
        skew: Micros,
        origin: &str,
        worker: WorkerId,
        o: Observation,
    ) -> bool {
        if !o.is_live(now) || o.at > now.saturating_add(skew) {
            return false;
        }
        if !self.by_origin.contains_key(origin) && self.by_origin.len() >= MAX_ORIGINS {
            return false;
        }
        let by_worker = self.by_origin.entry(origin.to_owned()).or_default();
        if !by_worker.contains_key(&worker) && by_worker.len() >= MAX_OBSERVATIONS_PER_ORIGIN {
            return false;
        }
        let held = by_worker.entry(worker).or_default();
        // The greater of two observations with the same time wins, so the arrival order is
        // irrelevant.
        let is_new = o > *held;
        *held = (*held).max(o);
        is_new
    }

    /// Merges all observations of `other`.
    pub fn merge_all(&mut self, now: Micros, skew: Micros, other: &Observations) {
        for (origin, by_worker) in &other.by_origin {
            for (worker, o) in by_worker {
                self.merge(now, skew, origin, *worker, *o);
            }
        }
    }

    /// Removes expired observations.
    pub fn expire(&mut self, now: Micros) {
        self.by_origin.retain(|_, by_worker| {
            by_worker.retain(|_, o| o.is_live(now));
            !by_worker.is_empty()
        });
    }

    /// Removes the observations by an origin that is no longer a member.
    pub fn forget(&mut self, origin: &str) {
        self.by_origin.remove(origin);
    }

    /// Returns the unexpired observations of a worker, by origin.
    pub fn for_worker(
        &self,
        now: Micros,
        worker: WorkerId,
    ) -> impl Iterator<Item = (&str, Observation)> {
        self.by_origin
            .iter()
            .filter_map(move |(origin, by_worker)| {
                let o = by_worker.get(&worker).filter(|o| o.is_live(now))?;
                Some((origin.as_str(), *o))
            })
    }

    /// Returns all observed workers.
    pub fn workers(&self) -> BTreeSet<WorkerId> {
        self.by_origin
            .values()
            .flat_map(|by_worker| by_worker.keys().copied())
            .collect()
    }

    /// Returns the number of stored observations.
    pub fn len(&self) -> usize {
        self.by_origin.values().map(BTreeMap::len).sum()
    }

    /// Returns whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.by_origin.is_empty()
    }
}

#[cfg(test)]
mod tests;
