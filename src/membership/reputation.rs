//! What rumours may do here.
//!
//! A rumour never excludes a worker. Together they may move one down the walk for a bounded time, or shorten the
//! benching after an own failure; never more than a stated share of the ready workers at once, and none at all when
//! they speak ill of more: then the fault, or the lie, is with those who speak. Each origin counts by its record: what
//! own attempts contradict costs it weight, which it regains slowly.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::observations::{Observation, Observations, Says};
use crate::api::{Micros, WorkerId};

const SECOND: Micros = 1_000_000;

/// Bounds of what rumours may do.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The share of ready workers that may be moved down at once.
    pub share: f64,
    /// Ill spoken of more than this share of them: nothing is done.
    pub panic: f64,
    /// How long one advice holds.
    pub hold: Micros,
    /// The weight of origins that it takes.
    pub needed: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            share: 0.25,
            panic: 0.5,
            hold: 3 * SECOND,
            needed: 0.9,
        }
    }
}

/// An origin's weight at first, at most, and at least.
const FIRST: f64 = 0.5;
const MOST: f64 = 1.0;
const LEAST: f64 = 0.02;
/// What a contradicted claim leaves of it, and what a confirmed one adds of what is missing.
const CONTRADICTED: f64 = 0.6;
const CONFIRMED: f64 = 0.1;
/// What it regains a second without contradiction, up to the first weight.
const REGAINED: f64 = 0.002;
/// Own attempts that bear a judgement, and for how long they do.
const OWN_EVIDENCE: u32 = 3;
const OWN_LIFE: Micros = 5 * SECOND;

/// What the decision module is told of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthAdvice {
    /// Walk to others first, until then.
    Down(Micros),
    /// A trial after an own failure may come now.
    Well,
}

#[derive(Clone, Copy, Debug)]
struct Weight {
    value: f64,
    at: Micros,
}

/// Origins' weights and what is advised now.
#[derive(Clone, Debug)]
pub struct Reputation {
    bounds: Bounds,
    weights: BTreeMap<String, Weight>,
    own: HashMap<WorkerId, Observation>,
    /// Claims already held against own evidence, by origin and worker: each counts once.
    judged: BTreeMap<(String, WorkerId), Micros>,
    down: BTreeMap<WorkerId, Micros>,
    /// Times at which rumours spoke ill of too many to be heeded.
    pub panics: u64,
}

impl Reputation {
    /// Nothing known of anybody.
    pub fn new(bounds: Bounds) -> Reputation {
        Reputation {
            bounds,
            weights: BTreeMap::new(),
            own: HashMap::new(),
            judged: BTreeMap::new(),
            down: BTreeMap::new(),
            panics: 0,
        }
    }

    /// An origin's weight.
    pub fn weight(&self, now: Micros, origin: &str) -> f64 {
        let Some(w) = self.weights.get(origin) else {
            return FIRST;
        };
        let passed = now.saturating_sub(w.at) as f64 / 1e6;
        if w.value < FIRST {
            (w.value + REGAINED * passed).min(FIRST)
        } else {
            w.value
        }
    }

    /// What own attempts at a worker came to over the last window; it replaces the one before.
    pub fn observe(&mut self, worker: WorkerId, o: Observation) {
        self.own.insert(worker, o);
    }

    /// Lets go of an origin or workers that are there no more.
    pub fn forget_origin(&mut self, origin: &str) {
        self.weights.remove(origin);
        self.judged.retain(|(o, _), _| o != origin);
    }

    /// Lets go of workers that are not ready any more.
    pub fn keep_workers(&mut self, ready: &BTreeSet<WorkerId>) {
        self.own.retain(|w, _| ready.contains(w));
        self.down.retain(|w, _| ready.contains(w));
        self.judged.retain(|(_, w), _| ready.contains(w));
    }

    /// Holds claims against own evidence. Own attempts prove only what they saw: a claim from before them, or about
    /// what they did not try enough, is neither right nor wrong.
    fn judge(&mut self, now: Micros, rumours: &Observations) {
        let own: Vec<(WorkerId, Observation)> = self
            .own
            .iter()
            .filter(|(_, o)| o.at + OWN_LIFE > now && o.evidence() >= OWN_EVIDENCE)
            .map(|(w, o)| (*w, *o))
            .collect();
        for (worker, mine) in own {
            let said = mine.says();
            if said == Says::Nothing {
                continue;
            }
            let claims: Vec<(String, Observation)> = rumours
                .about(now, worker)
                .map(|(o, x)| (o.to_owned(), x))
                .collect();
            for (origin, claim) in claims {
                let close = claim.at.abs_diff(mine.at) <= OWN_LIFE / 2;
                let known = self.judged.get(&(origin.clone(), worker)) == Some(&claim.at);
                if claim.says() == Says::Nothing || !close || known {
                    continue;
                }
                let value = self.weight(now, &origin);
                let value = if claim.says() == said {
                    value + CONFIRMED * (MOST - value)
                } else {
                    (value * CONTRADICTED).max(LEAST)
                };
                self.weights
                    .insert(origin.clone(), Weight { value, at: now });
                self.judged.insert((origin, worker), claim.at);
            }
        }
    }

    /// What is advised now, given the workers that are ready; only what is new.
    pub fn advise(
        &mut self,
        now: Micros,
        rumours: &Observations,
        ready: &BTreeSet<WorkerId>,
    ) -> Vec<(WorkerId, HealthAdvice)> {
        self.keep_workers(ready);
        self.judge(now, rumours);
        self.down.retain(|_, until| *until > now);
        let (mut ill, mut advice) = (Vec::new(), Vec::new());
        for worker in rumours.workers().intersection(ready) {
            let (mut against, mut for_it, mut origins) = (0.0, 0.0, 0);
            for (origin, o) in rumours.about(now, *worker) {
                let weight = self.weight(now, origin);
                match o.says() {
                    Says::Ill => {
                        against += weight;
                        origins += 1;
                    }
                    Says::Well => for_it += weight,
                    Says::Nothing => {}
                }
            }
            let own = self.own.get(worker).filter(|o| o.at + OWN_LIFE > now);
            // Own eyes first: a worker that answers here is not moved for what others say.
            let seen_well = own.is_some_and(|o| o.says() == Says::Well);
            if against - for_it >= self.bounds.needed && origins >= 2 && !seen_well {
                ill.push((against - for_it, *worker));
            } else if for_it - against >= self.bounds.needed
                && own.is_some_and(|o| o.says() == Says::Ill)
            {
                advice.push((*worker, HealthAdvice::Well));
            }
        }
        if ill.len() as f64 > self.bounds.panic * ready.len() as f64 {
            self.panics += 1;
            return advice;
        }
        ill.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let most = (self.bounds.share * ready.len() as f64).floor() as usize;
        for (_, worker) in ill {
            if self.down.contains_key(&worker) || self.down.len() >= most {
                continue;
            }
            let until = now + self.bounds.hold;
            self.down.insert(worker, until);
            advice.push((worker, HealthAdvice::Down(until)));
        }
        advice
    }
}

#[cfg(test)]
mod tests;
