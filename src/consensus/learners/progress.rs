//! The voter's side: the polls of its learners and the effects to forward to them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::{MAX_FORWARDED_EFFECTS, MAX_LEARNERS, POLL_WAIT_TIMEOUT};
use crate::api::Micros;
use crate::consensus::state::State;
use crate::consensus::wire::{ForwardedEffects, LeaseEffect, Poll};
use crate::consensus::ReplicaId;

/// The polls held by a voter and the recent effects that it forwards to learners.
#[derive(Clone, Debug, Default)]
pub struct LearnerProgress {
    polls: BTreeMap<Arc<str>, WaitingPoll>,
    effects: VecDeque<LeaseEffect>,
    /// The number of effects forwarded so far.
    effect_count: u64,
    /// The replica IDs of the learners that have a replica and so can become voters, by name.
    replicas: BTreeMap<Arc<str>, ReplicaId>,
}

#[derive(Clone, Debug)]
struct WaitingPoll {
    poll: Poll,
    answer_deadline: Micros,
}

impl LearnerProgress {
    /// Adds an effect to forward to all learners.
    pub fn forward(&mut self, effect: LeaseEffect) {
        self.effects.push_back(effect);
        self.effect_count += 1;
        if self.effects.len() > MAX_FORWARDED_EFFECTS {
            self.effects.pop_front();
        }
    }

    /// Holds a learner's poll; it replaces the learner's previous poll.
    pub fn on_poll(&mut self, now: Micros, name: &str, poll: Poll) {
        let name: Arc<str> = name.into();
        match poll.replica {
            Some(replica) if self.replicas.len() < MAX_LEARNERS => {
                self.replicas.insert(name.clone(), replica);
            }
            _ => {
                self.replicas.remove(&name);
            }
        }
        let answer_deadline = if self.polls.len() < MAX_LEARNERS {
            now + POLL_WAIT_TIMEOUT
        } else {
            now
        };
        let held = WaitingPoll {
            poll,
            answer_deadline,
        };
        self.polls.insert(name, held);
    }

    /// Returns the replica ID of a learner, if it has one.
    pub fn replica(&self, name: &str) -> Option<ReplicaId> {
        self.replicas.get(name).copied()
    }

    /// Returns the replica IDs of all learners that have one, by name.
    pub fn replicas(&self) -> impl Iterator<Item = (&Arc<str>, ReplicaId)> {
        self.replicas.iter().map(|(name, replica)| (name, *replica))
    }

    /// Returns whether a poll of this learner is held.
    pub fn contains(&self, name: &str) -> bool {
        self.polls.contains_key(name)
    }

    /// Returns the number of held polls.
    pub fn len(&self) -> usize {
        self.polls.len()
    }

    /// Returns whether no poll is held.
    pub fn is_empty(&self) -> bool {
        self.polls.is_empty()
    }

    /// Returns the time at which the next answer is due even without news.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.polls.values().map(|held| held.answer_deadline).min()
    }

    /// Removes and returns the polls that are to be answered now.
    pub fn due(&mut self, now: Micros, process: u64, state: &State) -> Vec<(Arc<str>, Poll)> {
        let is_behind = |poll: &Poll| {
            poll.generation != state.generation
                || poll.applied != state.applied
                || poll.effects != (process, self.effect_count)
        };
        let due: Vec<Arc<str>> = self
            .polls
            .iter()
            .filter(|(_, held)| now >= held.answer_deadline || is_behind(&held.poll))
            .map(|(name, _)| name.clone())
            .collect();
        due.into_iter()
            .filter_map(|name| self.polls.remove(&name).map(|held| (name, held.poll)))
            .collect()
    }

    /// Returns the effects that the sender of a poll does not have yet.
    pub fn effects_since(&self, process: u64, poll: &Poll) -> ForwardedEffects {
        let (known_process, known_count) = poll.effects;
        let known = if known_process == process {
            known_count.min(self.effect_count)
        } else {
            0
        };
        let missing = (self.effect_count - known).min(self.effects.len() as u64) as usize;
        let first = self.effects.len() - missing;
        ForwardedEffects {
            process,
            count: self.effect_count,
            effects: self.effects.iter().skip(first).cloned().collect(),
        }
    }
}
