//! Dispatch of frames from other gateways, and the check that a sender may use a frame's replica ID.

use std::sync::Arc;

use super::Participant;
use crate::api::Micros;
use crate::consensus::voter::{self, Voter};
use crate::consensus::wire::{Body, LeaseEffect};
use crate::consensus::{bootstrap_replica_id, ReplicaId, MAX_VOTERS};

impl Participant {
    pub(super) fn on_frame(&mut self, now: Micros, from: &Arc<str>, body: Body) {
        match body {
            Body::Raft { .. } | Body::KnownStateRequest { .. } | Body::KnownStateReply { .. } => {
                self.on_voter_frame(now, from, body);
            }
            Body::RenewLeases(request, via) => {
                self.on_renew_request(now, from, request, via.map(Into::into));
            }
            Body::RenewReply(reply) => {
                // Only a voter grants leases or forwards replies.
                if self.is_voter(from) || self.settings.contacts.contains(from) {
                    self.on_renew_reply(now, reply);
                }
            }
            Body::Poll(poll) => {
                if self.is_voting {
                    self.learner_progress.on_poll(now, from, poll);
                }
            }
            Body::Entries {
                generation,
                entries,
                effects,
            } => {
                if self.catch_up_source() == Some(from) {
                    let catch_up = self.learner.on_entries(generation, entries, effects);
                    self.on_catch_up(now, catch_up);
                }
            }
            Body::State(state, effects) => {
                if self.catch_up_source() == Some(from) {
                    let catch_up = self.learner.on_state(*state, effects);
                    self.on_catch_up(now, catch_up);
                }
            }
            Body::Report(report, forwarded) => {
                if report.from == *from || forwarded && self.is_voter(from) {
                    self.route_report(report, forwarded);
                }
            }
            Body::Submit(entry, forwarded) => {
                if entry.proposer() == from || forwarded && self.is_voter(from) {
                    self.submit(entry, forwarded);
                }
            }
            // The driver passes these frames to replication.
            Body::Replication(_) => {}
            Body::Effect(effect) => self.on_effect_frame(from, effect),
        }
    }

    fn on_voter_frame(&mut self, now: Micros, from: &Arc<str>, body: Body) {
        match body {
            Body::Raft {
                generation,
                from: replica,
                boots,
                process,
                message,
            } => {
                if self.settings.contacts.contains(from) {
                    self.adopted_generation = self.adopted_generation.max(generation);
                }
                if generation == self.generation() && self.is_replica_of(replica, from) {
                    let message = voter::Input::Message {
                        from: replica,
                        boots,
                        process,
                        bytes: &message,
                    };
                    self.handle_voter(now, message);
                }
            }
            Body::KnownStateRequest {
                generation,
                from: replica,
                own,
            } => {
                let request = voter::Input::KnownStateRequest { from: replica, own };
                if generation == self.generation() && self.is_replica_of(replica, from) {
                    self.handle_voter(now, request);
                }
            }
            Body::KnownStateReply {
                generation,
                about,
                known,
                from: replica,
            } => {
                let own = self.voter.as_ref().map(Voter::replica) == Some(about);
                if generation == self.generation() && own && self.is_replica_of(replica, from) {
                    let reply = voter::Input::KnownStateReply {
                        from: replica,
                        known,
                    };
                    self.handle_voter(now, reply);
                }
            }
            _ => {}
        }
    }

    /// Handles an effect that comes from its holder or from a voter, which may forward it; ignores any other.
    fn on_effect_frame(&mut self, from: &Arc<str>, effect: LeaseEffect) {
        let from_voter = self.is_voter(from);
        if effect.holder == *from || from_voter {
            self.receive_effect(effect, !from_voter);
        }
    }

    /// Returns the name of the gateway that a replica belongs to, if known.
    pub(super) fn name_of(&self, replica: ReplicaId) -> Option<Arc<str>> {
        let state = self.voter.as_ref()?.state();
        if let Some(name) = state.voters.get(&replica) {
            return Some(name.clone());
        }
        // A replica that was just added as a voter does not know the other voters yet. The IDs of bootstrap replicas can be
        // computed from the names.
        let bootstrap = self
            .settings
            .contacts
            .iter()
            .find(|name| bootstrap_replica_id(state.generation, name) == replica);
        bootstrap
            .or_else(|| self.unconfirmed_peers.get(&replica))
            .cloned()
    }

    /// Returns whether frames of a replica may come from the gateway with this name.
    fn is_replica_of(&mut self, replica: ReplicaId, name: &Arc<str>) -> bool {
        if let Some(known) = self.name_of(replica) {
            return known == *name;
        }
        // An unknown replica is accepted only while the voters are unknown here, because the leader that adds this replica
        // as a voter sends the first frame.
        let voters_unknown = self
            .voter
            .as_ref()
            .is_some_and(|voter| voter.state().voters.is_empty());
        let has_room = self.unconfirmed_peers.len() < MAX_VOTERS;
        if voters_unknown && has_room && self.settings.contacts.contains(name) {
            self.unconfirmed_peers.insert(replica, name.clone());
        }
        voters_unknown
    }
}
