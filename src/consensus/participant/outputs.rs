//! The outputs of the voter, the grantor and the holder; requests for leases and the replies to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{HistoryEvent, Output, Participant};
use crate::api::Micros;
use crate::consensus::peer_memory::KnownState;
use crate::consensus::state::Entry;
use crate::consensus::voter;
use crate::consensus::wire::Body;
use crate::consensus::ReplicaId;
use crate::lease::renewal::{RenewReply, RenewRequest};
use crate::lease::{grantor, holder, LeaseHolder};

/// Maximum number of stored routes; a holder whose route was evicted sends its request again.
const MAX_REPLY_ROUTES: usize = 4096;

/// The routes by which replies reach the requesters of leases.
#[derive(Debug, Default)]
pub(super) struct ReplyRoutes {
    routes: BTreeMap<LeaseHolder, ReplyRoute>,
    request_count: u64,
}

#[derive(Debug)]
struct ReplyRoute {
    /// The number of the request; the route with the lowest number is evicted first.
    number: u64,
    /// The voter that forwarded the request; `None` if it came directly.
    via: Option<Arc<str>>,
}

impl ReplyRoutes {
    fn insert(&mut self, requester: LeaseHolder, via: Option<Arc<str>>) {
        self.request_count += 1;
        let number = self.request_count;
        self.routes.insert(requester, ReplyRoute { number, via });
        if self.routes.len() <= MAX_REPLY_ROUTES {
            return;
        }
        let oldest = self
            .routes
            .iter()
            .min_by_key(|(_, route)| route.number)
            .map(|(requester, _)| requester.clone());
        if let Some(oldest) = oldest {
            self.routes.remove(&oldest);
        }
    }

    /// Returns the gateway to which the reply for a requester is sent.
    fn next_hop(&self, requester: &LeaseHolder) -> Arc<str> {
        self.routes
            .get(requester)
            .and_then(|route| route.via.clone())
            .unwrap_or_else(|| requester.name.clone())
    }

    fn clear(&mut self) {
        self.routes.clear();
    }
}

impl Participant {
    /// Passes a request for leases to the grantor, or forwards it to the leader. Ignores a request that came neither from
    /// the requester nor from the voter named in it.
    pub(super) fn on_renew_request(
        &mut self,
        now: Micros,
        from: &Arc<str>,
        request: RenewRequest,
        via: Option<Arc<str>>,
    ) {
        let direct = via.is_none() && request.from.name == *from;
        let forwarded = via.as_ref() == Some(from) && self.is_voter(from);
        if !(direct || forwarded) {
            return;
        }
        if self.leads() {
            self.reply_routes.insert(request.from.clone(), via);
            self.grantor.handle(now, grantor::Input::Renew(request));
            return;
        }
        let other_leader = self.leader().filter(|leader| *leader != self.settings.name);
        if let Some(leader) = other_leader.filter(|_| direct) {
            let own_name = self.settings.name.to_string();
            self.send(leader, Body::RenewLeases(request, Some(own_name)));
        }
    }

    pub(super) fn on_renew_reply(&mut self, now: Micros, reply: RenewReply) {
        if reply.to.name == self.settings.name {
            self.holder.handle(now, holder::Input::Reply(reply));
        } else if self.is_voting {
            let to = reply.to.name.clone();
            self.send(to, Body::RenewReply(reply));
        }
    }

    pub(super) fn on_voter_output(&mut self, now: Micros, output: voter::Output) {
        match output {
            voter::Output::Send(to, message) => self.send_raft(to, message),
            voter::Output::RequestKnownState(own) => self.send_known_state_requests(own),
            voter::Output::SendKnownState(to, known) => self.send_known_state_reply(to, known),
            voter::Output::Persist(number, record) => {
                self.outputs.push_back(Output::Persist(number, record));
            }
            voter::Output::Applied(applied) => {
                self.on_voter_applied(now, applied.index, applied.entry, applied.took_effect);
            }
            voter::Output::Restored => self.on_voter_restored(now),
            voter::Output::BecameLeader => {
                let term = self.voter.as_ref().map_or(0, |voter| voter.term());
                self.record(HistoryEvent::BecameLeader { term });
                self.grantor.handle(now, grantor::Input::BecameLeader);
            }
            voter::Output::LostLeadership => {
                self.record(HistoryEvent::LostLeadership);
                self.grantor.handle(now, grantor::Input::LostLeadership);
                self.reply_routes.clear();
            }
            voter::Output::Confirmed(number) => {
                self.grantor.handle(now, grantor::Input::Confirmed(number));
            }
            voter::Output::Retired(reason) => self.record(HistoryEvent::Retired { reason }),
        }
    }

    fn send_raft(&mut self, to: ReplicaId, message: Vec<u8>) {
        let (Some(voter), Some(name)) = (&self.voter, self.name_of(to)) else {
            return;
        };
        let body = Body::Raft {
            generation: self.generation(),
            from: voter.replica(),
            boots: voter.boots(),
            process: voter.process(),
            message,
        };
        self.send(name, body);
    }

    fn send_known_state_requests(&mut self, own: KnownState) {
        let Some(from) = self.voter.as_ref().map(voter::Voter::replica) else {
            return;
        };
        let generation = self.generation();
        for peer in self.peers() {
            let body = Body::KnownStateRequest {
                generation,
                from,
                own,
            };
            self.send(peer, body);
        }
    }

    fn send_known_state_reply(&mut self, about: ReplicaId, known: KnownState) {
        let (Some(voter), Some(name)) = (&self.voter, self.name_of(about)) else {
            return;
        };
        let body = Body::KnownStateReply {
            generation: self.generation(),
            about,
            known,
            from: voter.replica(),
        };
        self.send(name, body);
    }

    fn on_voter_applied(&mut self, now: Micros, index: u64, entry: Entry, took_effect: bool) {
        match entry {
            Entry::ReplicaSets(_) | Entry::Tenants(_) if self.is_voting => {
                self.outputs.push_back(Output::SubsystemChanged);
            }
            Entry::Lease(entry) if took_effect => {
                let applied = grantor::Input::Applied(entry.clone());
                self.grantor.handle(now, applied);
                if self.is_voting {
                    self.on_lease_entry(now, index, entry);
                }
            }
            _ => {}
        }
    }

    fn on_voter_restored(&mut self, now: Micros) {
        let Some(state) = self.voter.as_ref().map(voter::Voter::state) else {
            return;
        };
        let (index, leases) = (state.applied, state.leases.clone());
        let restored = grantor::Input::Restored(leases.clone());
        self.grantor.handle(now, restored);
        if self.is_voting {
            self.record(HistoryEvent::Restored { index });
            self.holder.handle(now, holder::Input::Restored(leases));
            self.outputs.push_back(Output::SubsystemChanged);
        }
    }

    pub(super) fn on_grantor_output(&mut self, now: Micros, output: grantor::Output) {
        match output {
            grantor::Output::Confirm(number) => {
                self.handle_voter(now, voter::Input::Confirm(number));
            }
            grantor::Output::Propose(entry) => {
                self.handle_voter(now, voter::Input::Propose(Entry::Lease(entry)));
            }
            grantor::Output::Reply(reply) => {
                let to = self.reply_routes.next_hop(&reply.to);
                if to == self.settings.name {
                    self.on_renew_reply(now, reply);
                } else {
                    self.send(to, Body::RenewReply(reply));
                }
            }
        }
    }

    pub(super) fn on_holder_output(&mut self, now: Micros, output: holder::Output) {
        match output {
            holder::Output::Renew(request) => self.request_leases(now, request),
            holder::Output::Acquired(lease, term) => {
                self.record(HistoryEvent::LeaseAcquired {
                    lease: lease.clone(),
                    term,
                });
                self.outputs.push_back(Output::LeaseAcquired(lease, term));
            }
            holder::Output::Lost(lease, term) => {
                self.record(HistoryEvent::LeaseLost {
                    lease: lease.clone(),
                    term,
                });
                self.outputs.push_back(Output::LeaseLost(lease, term));
            }
        }
    }

    fn request_leases(&mut self, now: Micros, request: RenewRequest) {
        if self.leads() {
            let own_name = self.settings.name.clone();
            self.on_renew_request(now, &own_name, request, None);
            return;
        }
        let to = self.leader().or_else(|| self.catch_up_source().cloned());
        if let Some(to) = to {
            self.send(to, Body::RenewLeases(request, None));
        }
    }
}
