//! Limits on the local effect of other instances' observations.
//!
//! An observation by another instance never excludes a worker. Several together can demote a worker
//! in the order of candidates for a bounded time, or allow an early trial after a local failure.
//! Only a limited share of the ready workers is demoted at once. If the observations call too large
//! a share unhealthy, no worker is demoted: the fault, or a lie, is then likely on the reporting
//! side. Each origin has a weight: contradiction by local attempts lowers it, and it recovers
//! slowly.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::observations::{HealthVerdict, Observation, Observations};
use crate::api::{Micros, WorkerId};

const SECOND: Micros = 1_000_000;

/// Limits on the effect of other instances' observations.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum share of ready workers that are demoted at once.
    pub max_demoted_share: f64,
    /// Share of ready workers reported unhealthy above which no worker is demoted.
    pub panic_share: f64,
    /// Duration of a demotion.
    pub demotion_duration: Micros,
    /// Minimum net weight of origins for any advice.
    pub needed_weight: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            max_demoted_share: 0.25,
            panic_share: 0.5,
            demotion_duration: 3 * SECOND,
            needed_weight: 0.9,
        }
    }
}

/// Initial weight of an origin.
const INITIAL_WEIGHT: f64 = 0.5;
/// Maximum weight of an origin.
const MAX_WEIGHT: f64 = 1.0;
/// Minimum weight of an origin.
const MIN_WEIGHT: f64 = 0.02;
/// Factor applied to the weight for a contradicted claim.
const CONTRADICTION_FACTOR: f64 = 0.6;
/// Share of the distance to [`MAX_WEIGHT`] that a confirmed claim adds.
const CONFIRMATION_GAIN: f64 = 0.1;
/// Weight regained per second without contradiction, up to [`INITIAL_WEIGHT`].
const RECOVERY_PER_S: f64 = 0.002;
/// Minimum number of local attempts for checking claims against them.
const MIN_OWN_ATTEMPTS: u32 = 3;
/// Time for which a local observation is used.
const OWN_OBSERVATION_LIFETIME: Micros = 5 * SECOND;

/// Advice about a worker for the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthAdvice {
    /// Prefer other workers until this time.
    Demote(Micros),
    /// A trial after a local failure may start now.
    AllowTrial,
}

#[derive(Clone, Copy, Debug)]
struct Weight {
    value: f64,
    at: Micros,
}

/// Weights of the origins and the demotions in force.
#[derive(Clone, Debug)]
pub struct Reputation {
    bounds: Bounds,
    weights: BTreeMap<String, Weight>,
    own_observations: HashMap<WorkerId, Observation>,
    /// Time of the last claim checked against local attempts, by origin and worker; each claim
    /// counts once.
    evaluated_claims: BTreeMap<(String, WorkerId), Micros>,
    demoted: BTreeMap<WorkerId, Micros>,
    /// Number of times that demotions were suppressed because too many workers were reported
    /// unhealthy.
    pub panics: u64,
}

impl Reputation {
    /// Creates an empty state.
    pub fn new(bounds: Bounds) -> Reputation {
        Reputation {
            bounds,
            weights: BTreeMap::new(),
            own_observations: HashMap::new(),
            evaluated_claims: BTreeMap::new(),
            demoted: BTreeMap::new(),
            panics: 0,
        }
    }

    /// Returns an origin's current weight.
    pub fn weight(&self, now: Micros, origin: &str) -> f64 {
        let Some(w) = self.weights.get(origin) else {
            return INITIAL_WEIGHT;
        };
        let elapsed_s = now.saturating_sub(w.at) as f64 / 1e6;
        if w.value < INITIAL_WEIGHT {
            (w.value + RECOVERY_PER_S * elapsed_s).min(INITIAL_WEIGHT)
        } else {
            w.value
        }
    }

    /// Replaces the local observation of a worker with that of the last window.
    pub fn observe(&mut self, worker: WorkerId, o: Observation) {
        self.own_observations.insert(worker, o);
    }

    /// Removes an origin that is no longer a member.
    pub fn forget_origin(&mut self, origin: &str) {
        self.weights.remove(origin);
        self.evaluated_claims.retain(|(o, _), _| o != origin);
    }

    /// Removes the workers that are no longer ready.
    pub fn keep_workers(&mut self, ready: &BTreeSet<WorkerId>) {
        self.own_observations.retain(|w, _| ready.contains(w));
        self.demoted.retain(|w, _| ready.contains(w));
        self.evaluated_claims.retain(|(_, w), _| ready.contains(w));
    }

    /// Adjusts the weights by comparing claims with local observations. A claim from another time,
    /// or about a worker with too few local attempts, counts neither for nor against its origin.
    fn update_weights(&mut self, now: Micros, observations: &Observations) {
        let own: Vec<(WorkerId, Observation)> = self
            .own_observations
            .iter()
            .filter(|(_, o)| {
                o.at + OWN_OBSERVATION_LIFETIME > now && o.evidence() >= MIN_OWN_ATTEMPTS
            })
            .map(|(w, o)| (*w, *o))
            .collect();
        for (worker, own_observation) in own {
            let own_verdict = own_observation.verdict();
            if own_verdict == HealthVerdict::Inconclusive {
                continue;
            }
            let claims: Vec<(String, Observation)> = observations
                .for_worker(now, worker)
                .map(|(o, x)| (o.to_owned(), x))
                .collect();
            for (origin, claim) in claims {
                let concurrent =
                    claim.at.abs_diff(own_observation.at) <= OWN_OBSERVATION_LIFETIME / 2;
                let already_counted =
                    self.evaluated_claims.get(&(origin.clone(), worker)) == Some(&claim.at);
                if claim.verdict() == HealthVerdict::Inconclusive || !concurrent || already_counted
                {
                    continue;
                }
                let value = self.weight(now, &origin);
                let value = if claim.verdict() == own_verdict {
                    value + CONFIRMATION_GAIN * (MAX_WEIGHT - value)
                } else {
                    (value * CONTRADICTION_FACTOR).max(MIN_WEIGHT)
                };
                self.weights
                    .insert(origin.clone(), Weight { value, at: now });
                self.evaluated_claims.insert((origin, worker), claim.at);
            }
        }
    }

    /// Returns the new advice for the ready workers.
    pub fn advise(
        &mut self,
        now: Micros,
        observations: &Observations,
        ready: &BTreeSet<WorkerId>,
    ) -> Vec<(WorkerId, HealthAdvice)> {
        self.keep_workers(ready);
        self.update_weights(now, observations);
        self.demoted.retain(|_, until| *until > now);
        let (mut unhealthy, mut advice) = (Vec::new(), Vec::new());
        for worker in observations.workers().intersection(ready) {
            let (mut against, mut in_favor, mut origins) = (0.0, 0.0, 0);
            for (origin, o) in observations.for_worker(now, *worker) {
                let weight = self.weight(now, origin);
                match o.verdict() {
                    HealthVerdict::Unhealthy => {
                        against += weight;
                        origins += 1;
                    }
                    HealthVerdict::Healthy => in_favor += weight,
                    HealthVerdict::Inconclusive => {}
                }
            }
            let own = self
                .own_observations
                .get(worker)
                .filter(|o| o.at + OWN_OBSERVATION_LIFETIME > now);
            // Local observations take precedence: a worker that answers here is not demoted.
            let own_healthy = own.is_some_and(|o| o.verdict() == HealthVerdict::Healthy);
            if against - in_favor >= self.bounds.needed_weight && origins >= 2 && !own_healthy {
                unhealthy.push((against - in_favor, *worker));
            } else if in_favor - against >= self.bounds.needed_weight
                && own.is_some_and(|o| o.verdict() == HealthVerdict::Unhealthy)
            {
                advice.push((*worker, HealthAdvice::AllowTrial));
            }
        }
        if unhealthy.len() as f64 > self.bounds.panic_share * ready.len() as f64 {
            self.panics += 1;
            return advice;
        }
        unhealthy.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let max_demoted = (self.bounds.max_demoted_share * ready.len() as f64).floor() as usize;
        for (_, worker) in unhealthy {
            if self.demoted.contains_key(&worker) || self.demoted.len() >= max_demoted {
                continue;
            }
            let until = now + self.bounds.demotion_duration;
            self.demoted.insert(worker, until);
            advice.push((worker, HealthAdvice::Demote(until)));
        }
        advice
    }
}

#[cfg(test)]
mod tests;
