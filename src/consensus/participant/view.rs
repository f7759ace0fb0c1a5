//! What a participant knows: its role, the agreed state, and the leases that it holds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Participant;
use crate::api::Micros;
use crate::consensus::state::State;
use crate::consensus::voter::Voter;
use crate::lease::grantor::GrantReason;
use crate::lease::{LeaseName, Term};

impl Participant {
    /// Whether a test has switched off the second check of a lease, when an effect's bytes are queued.
    pub fn queue_guard_disabled(&self) -> bool {
        self.settings.disabled_guards.queue
    }

    /// The gateway's name.
    pub fn name(&self) -> &Arc<str> {
        &self.settings.name
    }

    /// Why its disk does not make it a voter, if it does not.
    pub fn voter_error(&self) -> Option<&str> {
        self.voter_error
            .as_deref()
            .or_else(|| self.voter.as_ref().and_then(Voter::retired))
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| {
            voter.votes() && voter.state().voters.contains_key(&voter.replica())
        })
    }

    /// Whether it is the leader.
    pub fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// Its voter, if it has a usable disk.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The agreed state as far as it is known here.
    pub fn state(&self) -> &State {
        match &self.voter {
            Some(voter) if self.voted => voter.state(),
            _ => self.learner.state(),
        }
    }

    /// Whether it has learned of agreed entries since it started, and does not rely on its disk alone.
    pub fn is_caught_up(&self) -> bool {
        match &self.voter {
            Some(voter) if self.voted => voter.is_current(),
            _ => !self.learner.state().voters.is_empty(),
        }
    }

    /// The name of the leader, if known.
    pub fn leader(&self) -> Option<Arc<str>> {
        let voter = self.voter.as_ref().filter(|_| self.voted)?;
        self.name_of(voter.leader()?)
    }

    /// The voter that it polls, while it does not vote.
    pub fn catch_up_source(&self) -> Option<&Arc<str>> {
        self.learner.source().filter(|_| !self.voted)
    }

    /// The number of learners whose polls wait here.
    pub fn learners(&self) -> usize {
        self.learner_progress.len()
    }

    /// The replicas of learners that could become voters, by name.
    pub fn replicas(&self) -> BTreeMap<Arc<str>, String> {
        self.learner_progress
            .replicas()
            .map(|(name, replica)| (name.clone(), format!("{replica:016x}")))
            .collect()
    }

    /// The term under which it may act now for a lease, if it may.
    pub fn held_term(&self, now: Micros, lease: &LeaseName) -> Option<Term> {
        if self.settings.disabled_guards.lease {
            return self
                .holder
                .held_leases()
                .find(|(name, ..)| *name == lease)
                .map(|(_, term, _)| term);
        }
        self.holder.held_term(now, lease)
    }

    /// Whether an effect under a lease may still leave; checked when its bytes are queued.
    pub fn still_holds(&self, now: Micros, lease: &LeaseName, term: Term) -> bool {
        self.settings.disabled_guards.queue
            || self.settings.disabled_guards.lease
            || self.holder.still_holds(now, lease, term)
    }

    /// The leases that it holds: name, term, and until when it may act.
    pub fn held_leases(&self) -> impl Iterator<Item = (&LeaseName, Term, Option<Micros>)> {
        self.holder.held_leases()
    }

    /// Why no gateway acts under a lease, as far as a leader can tell.
    pub fn grant_reason(&self, now: Micros, lease: &LeaseName) -> Option<GrantReason> {
        self.grantor.grant_reason(now, lease)
    }

    /// The gateways to keep connected: the other voters while it votes, else the voter that it polls.
    pub fn peers(&self) -> BTreeSet<Arc<str>> {
        let mut peers: BTreeSet<Arc<str>> = match &self.voter {
            Some(voter) if voter.retired().is_none() && !voter.state().voters.is_empty() => voter
                .state()
                .voters
                .values()
                .chain(&self.settings.contacts)
                .cloned()
                .collect(),
            _ => self.learner.source().cloned().into_iter().collect(),
        };
        peers.remove(&self.settings.name);
        peers
    }

    /// The names of the other voters.
    pub(super) fn other_voters(&self) -> Vec<Arc<str>> {
        self.state()
            .voters
            .values()
            .filter(|name| **name != self.settings.name)
            .cloned()
            .collect()
    }

    pub(super) fn is_voter(&self, name: &Arc<str>) -> bool {
        self.state().voters.values().any(|voter| voter == name)
    }

    pub(super) fn generation(&self) -> u32 {
        match &self.voter {
            Some(voter) if voter.state().voters.is_empty() => self.adopted_generation,
            Some(voter) => voter.state().generation,
            None => self.learner.state().generation,
        }
    }
}
