//! The grantor at the leader of the agreed log: who holds each lease, and for how long.

mod placement;
mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use super::renewal::{RenewReply, RenewRequest};
use super::table::{Entry, LeaseTable};
use super::{LeaseHolder, LeaseName, Settings, Term};
use crate::api::Micros;

/// An event for a grantor.
#[derive(Clone, Debug)]
pub enum Input {
    /// This gateway leads, and has applied all entries of earlier terms.
    BecameLeader,
    /// This gateway no longer leads.
    LostLeadership,
    /// A request of a holder.
    Renew(RenewRequest),
    /// A majority confirmed that this gateway leads, after the request with this number came.
    Confirmed(u64),
    /// An entry of the agreed log took effect.
    Applied(Entry),
    /// The state of all leases was replaced.
    Restored(LeaseTable),
    /// A deadline has passed.
    Tick,
}

/// An action that a grantor asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Ask a majority whether this gateway still leads; answered by [`Input::Confirmed`].
    Confirm(u64),
    /// Propose an entry of the agreed log.
    Propose(Entry),
    /// Reply to a request.
    Reply(RenewReply),
}

/// Why nobody acts under a lease. The serialized names are part of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum GrantReason {
    /// The last holder's lease may still be valid.
    #[serde(rename = "WaitsOut")]
    AwaitingExpiry,
    /// No eligible gateway has sent a request.
    #[serde(rename = "NobodyOffers")]
    NoCandidate,
    /// A grant is proposed and not committed yet.
    Proposed,
}

/// A proposed entry that is not committed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    term: Term,
    /// When it may be proposed again, as a proposal may be lost with its leader.
    retry_at: Micros,
}

/// A gateway that is not eligible.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ineligible {
    /// The request that said so.
    stamp: u64,
    /// Until when an older request of the gateway may still arrive.
    expires_at: Micros,
}

/// A request that waits for the confirmation that this gateway leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingRequest {
    number: u64,
    request: RenewRequest,
}

/// Grants leases while its gateway leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    settings: Settings,
    /// The configured leases.
    configured: BTreeSet<LeaseName>,
    table: LeaseTable,
    leads: bool,
    /// When the first grants may be made: before, candidates are collected, so that leases are spread over all of them.
    first_grants_at: Micros,
    /// When the last renewal of each lease has certainly ended: of this leader's replies, and of any that a previous leader
    /// can have sent.
    expires_at: BTreeMap<LeaseName, Micros>,
    /// The eligible gateways, and until when that is believed.
    candidates: BTreeMap<LeaseHolder, Micros>,
    ineligible: BTreeMap<LeaseHolder, Ineligible>,
    proposals: BTreeMap<LeaseName, Proposal>,
    recalled: BTreeMap<LeaseName, Term>,
    waiting: VecDeque<WaitingRequest>,
    last_number: u64,
    outputs: VecDeque<Output>,
}

impl LeaseGrantor {
    /// A grantor of the configured leases whose gateway does not lead.
    pub fn new(settings: Settings, configured: BTreeSet<LeaseName>) -> LeaseGrantor {
        LeaseGrantor {
            settings,
            configured,
            table: LeaseTable::default(),
            leads: false,
            first_grants_at: 0,
            expires_at: BTreeMap::new(),
            candidates: BTreeMap::new(),
            ineligible: BTreeMap::new(),
            proposals: BTreeMap::new(),
            recalled: BTreeMap::new(),
            waiting: VecDeque::new(),
            last_number: 0,
            outputs: VecDeque::new(),
        }
    }

    /// The agreed state of leases.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Why nobody acts under a lease now; `None` while its holder can.
    pub fn grant_reason(&self, now: Micros, lease: &LeaseName) -> Option<GrantReason> {
        if self.is_proposed(now, lease) {
            return Some(GrantReason::Proposed);
        }
        let holder = self.table.record(lease).holder;
        match holder.filter(|_| self.may_be_valid(now, lease)) {
            Some(holder) if self.candidates.contains_key(&holder) => None,
            Some(_) => Some(GrantReason::AwaitingExpiry),
            None => Some(GrantReason::NoCandidate),
        }
    }

    /// When [`Input::Tick`] is due, if ever.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        if !self.leads {
            return None;
        }
        let retries = self.proposals.values().map(|proposal| &proposal.retry_at);
        self.expires_at
            .values()
            .chain(retries)
            .chain(self.candidates.values())
            .chain([&self.first_grants_at])
            .copied()
            .filter(|at| *at > now)
            .min()
    }

    /// The next action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::BecameLeader => self.on_became_leader(now),
            Input::LostLeadership => {
                self.leads = false;
                self.reset();
            }
            Input::Renew(request) => {
                if self.leads {
                    self.on_request(now, request);
                }
            }
            Input::Confirmed(number) => {
                if self.leads {
                    self.on_confirmed(now, number);
                }
            }
            Input::Applied(entry) => self.on_applied(now, &entry),
            // A gateway that is sent a state does not lead.
            Input::Restored(table) => self.table = table,
            Input::Tick => {}
        }
        if self.leads {
            self.remove_expired(now);
            self.place_leases(now);
        }
    }

    /// Also if it led before: it may have lost and regained leadership unnoticed while another leader replied.
    fn on_became_leader(&mut self, now: Micros) {
        self.leads = true;
        self.reset();
        self.candidates.clear();
        self.first_grants_at = now + self.settings.renew_interval();
        // A previous leader may have replied until the moment at which it lost leadership.
        let expires_at = now + self.settings.grant_delay();
        self.expires_at = self
            .table
            .iter()
            .filter(|(_, record)| record.holder.is_some())
            .map(|(lease, _)| (lease.clone(), expires_at))
            .collect();
    }

    /// Drops what was in progress in a leadership that has ended.
    fn reset(&mut self) {
        self.waiting.clear();
        self.proposals.clear();
        self.recalled.clear();
        self.outputs.clear();
    }

    fn on_applied(&mut self, now: Micros, entry: &Entry) {
        if !self.table.apply(entry) {
            return;
        }
        let (Entry::Grant { lease, .. } | Entry::Released { lease, .. }) = entry;
        self.proposals.remove(lease);
        self.recalled.remove(lease);
        match entry {
            Entry::Grant { .. } => {
                // Time for the holder's first request.
                let expires_at = now + self.settings.grant_delay();
                self.expires_at.insert(lease.clone(), expires_at);
            }
            Entry::Released { .. } => {
                self.expires_at.remove(lease);
            }
        }
    }

    /// Whether a proposal for a lease is in progress and not due to be repeated.
    fn is_proposed(&self, now: Micros, lease: &LeaseName) -> bool {
        self.proposals
            .get(lease)
            .is_some_and(|proposal| now < proposal.retry_at)
    }

    /// Whether the last renewal of a lease may still be valid.
    fn may_be_valid(&self, now: Micros, lease: &LeaseName) -> bool {
        self.expires_at.get(lease).is_some_and(|at| now < *at)
    }

    fn propose(&mut self, now: Micros, entry: Entry) {
        let (Entry::Grant { lease, term, .. } | Entry::Released { lease, term }) = &entry;
        let proposal = Proposal {
            term: *term,
            retry_at: now + self.settings.renew_interval(),
        };
        self.proposals.insert(lease.clone(), proposal);
        self.outputs.push_back(Output::Propose(entry));
    }
}
