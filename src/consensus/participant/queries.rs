//! Queries of a participant: its role, the agreed state, and its leases.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Participant;
use crate::api::Micros;
use crate::consensus::state::State;
use crate::consensus::voter::Voter;
use crate::lease::grantor::VacancyReason;
use crate::lease::{LeaseName, Term};

impl Participant {
    /// Returns whether a test has disabled the second check of the lease, when an effect's bytes are queued.
    pub fn queue_guard_disabled(&self) -> bool {
        self.settings.disabled_guards.queue_check
    }

    /// Returns the gateway's name.
    pub fn name(&self) -> &Arc<str> {
        &self.settings.name
    }

    /// Returns the reason why the disk cannot be used for voting, if there is one.
    pub fn voter_error(&self) -> Option<&str> {
        self.voter_error
            .as_deref()
            .or_else(|| self.voter.as_ref().and_then(Voter::retirement_reason))
    }

    /// Returns whether this gateway is an active voter.
    pub fn votes(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| {
            voter.votes() && voter.state().voters.contains_key(&voter.replica())
        })
    }

    /// Returns whether this gateway is the leader.
    pub fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// Returns the voter, if there is a usable disk.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Returns the agreed state as far as this gateway knows it.
    pub fn state(&self) -> &State {
        match &self.voter {
            Some(voter) if self.is_voting => voter.state(),
            _ => self.learner.state(),
        }
    }

    /// Returns whether this gateway has received agreed state since its start, so that it does not rely on its disk alone.
    pub fn is_caught_up(&self) -> bool {
        match &self.voter {
            Some(voter) if self.is_voting => voter.is_current(),
            _ => !self.learner.state().voters.is_empty(),
        }
    }

    /// Returns the name of the leader, if this gateway votes and knows it.
    pub fn leader(&self) -> Option<Arc<str>> {
        let voter = self.voter.as_ref().filter(|_| self.is_voting)?;
        self.name_of(voter.leader()?)
    }

    /// Returns the voter that this gateway polls while it is a learner.
    pub fn catch_up_source(&self) -> Option<&Arc<str>> {
        self.learner.source().filter(|_| !self.is_voting)
    }

    /// Returns the number of learners whose polls this gateway holds.
    pub fn learners(&self) -> usize {
        self.learner_progress.len()
    }

    /// Returns the replica IDs, in hexadecimal, of the learners that can become voters, by name.
    pub fn replicas(&self) -> BTreeMap<Arc<str>, String> {
        self.learner_progress
            .replicas()
            .map(|(name, replica)| (name.clone(), format!("{replica:016x}")))
            .collect()
    }

    /// Returns the term under which this gateway may act for a lease now, if it may.
    pub fn held_term(&self, now: Micros, lease: &LeaseName) -> Option<Term> {
        if self.settings.disabled_guards.lease_check {
            return self
                .holder
                .held_leases()
                .find(|(name, ..)| *name == lease)
                .map(|(_, term, _)| term);
        }
        self.holder.held_term(now, lease)
    }

    /// Returns whether an effect under a lease may still be sent. The driver checks this when it
    /// queues the effect's bytes.
    pub fn still_holds(&self, now: Micros, lease: &LeaseName, term: Term) -> bool {
        self.settings.disabled_guards.queue_check
            || self.settings.disabled_guards.lease_check
            || self.holder.still_holds(now, lease, term)
    }

    /// Returns the held leases: name, term, and the time until which this gateway may act.
    pub fn held_leases(&self) -> impl Iterator<Item = (&LeaseName, Term, Option<Micros>)> {
        self.holder.held_leases()
    }

    /// Returns the reason why no gateway may act under a lease, as far as a leader knows it.
    pub fn vacancy_reason(&self, now: Micros, lease: &LeaseName) -> Option<VacancyReason> {
        self.grantor.vacancy_reason(now, lease)
    }

    /// Returns the gateways to stay connected to: the other voters for a voter, the polled voter for a learner.
    pub fn peers(&self) -> BTreeSet<Arc<str>> {
        let mut peers: BTreeSet<Arc<str>> = match &self.voter {
            Some(voter)
                if voter.retirement_reason().is_none() && !voter.state().voters.is_empty() =>
            {
                voter
                    .state()
                    .voters
                    .values()
                    .chain(&self.settings.contacts)
                    .cloned()
                    .collect()
            }
            _ => self.learner.source().cloned().into_iter().collect(),
        };
        peers.remove(&self.settings.name);
        peers
    }

    /// Returns the names of the other voters.
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
