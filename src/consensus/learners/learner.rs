//! The learner's side: the choice of the polled voter and the learned state.

use std::sync::Arc;

use super::ANSWER_TIMEOUT;
use crate::api::Micros;
use crate::consensus::state::{AppliedEntry, Entry, State};
use crate::consensus::wire::{ForwardedEffects, LeaseEffect, Poll};
use crate::consensus::ReplicaId;

/// The state of a gateway that follows the agreed log without a vote.
#[derive(Clone, Debug)]
pub struct Learner {
    state: State,
    /// The ID of the voter process that last forwarded effects, and the number of effects it had forwarded by then.
    effects: (u64, u64),
    voters: Vec<Arc<str>>,
    /// The index of the voter to poll.
    polled_voter_index: usize,
    /// The time at which the outstanding poll was sent.
    polled_at: Option<Micros>,
    replica: Option<ReplicaId>,
}

/// The result of processing one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatchUp {
    /// The entries that were applied.
    pub applied: Vec<AppliedEntry>,
    /// Whether the answer replaced the state.
    pub restored: bool,
    /// The effects forwarded by the voter.
    pub effects: Vec<LeaseEffect>,
}

impl Learner {
    /// Creates a learner with an empty state. The seed determines the first voter to poll.
    pub fn new(voters: Vec<Arc<str>>, replica: Option<ReplicaId>, seed: u64) -> Learner {
        let source = (seed as usize).checked_rem(voters.len()).unwrap_or(0);
        Learner {
            state: State::default(),
            effects: (0, 0),
            voters,
            polled_voter_index: source,
            polled_at: None,
            replica,
        }
    }

    /// Returns the learned state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the voter that this learner polls.
    pub fn source(&self) -> Option<&Arc<str>> {
        self.voters.get(self.polled_voter_index)
    }

    /// Returns the time at which [`Learner::poll`] is due.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        self.polled_at.map_or(now, |at| at + ANSWER_TIMEOUT)
    }

    /// Returns the poll to send now, if one is due, and whether the previous poll timed out.
    pub fn poll(&mut self, now: Micros) -> Option<(Poll, bool)> {
        let timed_out = self.polled_at.is_some_and(|at| now >= at + ANSWER_TIMEOUT);
        if self.polled_at.is_some() && !timed_out {
            return None;
        }
        if timed_out {
            self.advance_source();
        }
        self.polled_at = Some(now);
        let poll = Poll {
            generation: self.state.generation,
            applied: self.state.applied,
            effects: self.effects,
            replica: self.replica,
        };
        Some((poll, timed_out))
    }

    /// Handles the loss of the connection to the polled voter. The next poll follows after a pause.
    pub fn on_disconnected(&mut self, now: Micros) {
        self.advance_source();
        // If all voters are down, each refuses the connection at once; the pause limits the rate of attempts.
        self.polled_at = Some(now.saturating_sub(ANSWER_TIMEOUT * 9 / 10));
    }

    fn advance_source(&mut self) {
        self.polled_voter_index = (self.polled_voter_index + 1)
            .checked_rem(self.voters.len())
            .unwrap_or(0);
    }

    /// Applies an answer with entries.
    pub fn on_entries(
        &mut self,
        generation: u32,
        entries: Vec<(u64, Entry)>,
        effects: ForwardedEffects,
    ) -> CatchUp {
        self.polled_at = None;
        let mut catch_up = CatchUp::default();
        if generation == self.state.generation {
            for (index, entry) in entries {
                // An entry may arrive twice if it was requested twice.
                if index == self.state.applied + 1 {
                    let took_effect = self.state.apply(index, &entry);
                    let applied = AppliedEntry {
                        index,
                        entry,
                        took_effect,
                    };
                    catch_up.applied.push(applied);
                }
            }
        }
        self.record_effects(effects, &mut catch_up);
        catch_up
    }

    /// Applies an answer with a state.
    pub fn on_state(&mut self, state: State, effects: ForwardedEffects) -> CatchUp {
        self.polled_at = None;
        let mut catch_up = CatchUp::default();
        let known = (self.state.generation, self.state.applied);
        if (state.generation, state.applied) > known {
            self.state = state;
            catch_up.restored = true;
        }
        self.record_effects(effects, &mut catch_up);
        catch_up
    }

    fn record_effects(&mut self, forwarded: ForwardedEffects, catch_up: &mut CatchUp) {
        self.effects = (forwarded.process, forwarded.count);
        catch_up.effects = forwarded.effects;
    }
}
