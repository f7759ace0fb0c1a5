//! The grantor at the leader of the agreed log: decides which gateway holds each lease, and for how long.

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
    /// This gateway is the leader of the log, and has applied all entries of earlier terms.
    BecameLeader,
    /// This gateway no longer leads.
    LostLeadership,
    /// A renewal request arrived.
    Renew(RenewRequest),
    /// A majority confirmed that this gateway still led after it sent the [`Output::Confirm`] with this number.
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
    /// Send a reply to a renewal request.
    Reply(RenewReply),
}

/// Why no gateway can act under a lease. The serialized names are part of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum VacancyReason {
    /// The lease of the last holder may still be valid.
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
    /// When the entry may be proposed again, because a proposal may be lost with its leader.
    retry_at: Micros,
}

/// A gateway that has reported that it is not eligible.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ineligible {
    /// The sequence number of the request in which the gateway reported that.
    sequence: u64,
    /// Until when an older request of the gateway may still arrive.
    expires_at: Micros,
}

/// A request that waits for the confirmation that this gateway leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingRequest {
    number: u64,
    request: RenewRequest,
}

/// Grants leases while its gateway is the leader of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    settings: Settings,
    /// The configured leases.
    configured: BTreeSet<LeaseName>,
    table: LeaseTable,
    leads: bool,
    /// The time of the first grants. Candidates are collected before it, so that leases are spread over all of them.
    first_grants_at: Micros,
    /// The time after which no renewal of a lease is valid, whether this leader or a previous one sent it.
    expires_at: BTreeMap<LeaseName, Micros>,
    /// The eligible gateways, and when each expires without a further request.
    candidates: BTreeMap<LeaseHolder, Micros>,
    ineligible: BTreeMap<LeaseHolder, Ineligible>,
    proposals: BTreeMap<LeaseName, Proposal>,
    recalled: BTreeMap<LeaseName, Term>,
    waiting: VecDeque<WaitingRequest>,
    last_number: u64,
    outputs: VecDeque<Output>,
}

impl LeaseGrantor {
    /// Creates a grantor for the configured leases. Its gateway is not the leader yet.
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

    /// The replicated state of all leases.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Why no gateway can act under a lease now; `None` while its holder can.
    pub fn vacancy_reason(&self, now: Micros, lease: &LeaseName) -> Option<VacancyReason> {
        if self.is_proposed(now, lease) {
            return Some(VacancyReason::Proposed);
        }
        let holder = self.table.record(lease).holder;
        match holder.filter(|_| self.may_be_valid(now, lease)) {
            Some(holder) if self.candidates.contains_key(&holder) => None,
            Some(_) => Some(VacancyReason::AwaitingExpiry),
            None => Some(VacancyReason::NoCandidate),
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
            // A state is only sent to gateways that do not lead.
            Input::Restored(table) => self.table = table,
            Input::Tick => {}
        }
        if self.leads {
            self.remove_expired(now);
            self.place_leases(now);
        }
    }

    /// Starts a new leadership, even if this gateway led before: it may have lost and regained leadership without noticing,
    /// and another leader may have sent replies in between.
    fn on_became_leader(&mut self, now: Micros) {
        self.leads = true;
        self.reset();
        self.candidates.clear();
        self.first_grants_at = now + self.settings.renew_interval();
        // A previous leader may have sent replies until it lost leadership.
        let expires_at = now + self.settings.grant_delay();
        self.expires_at = self
            .table
            .iter()
            .filter(|(_, record)| record.holder.is_some())
            .map(|(lease, _)| (lease.clone(), expires_at))
            .collect();
    }

    /// Drops the requests, proposals and recalls of the previous leadership.
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
                // Leaves the holder time for its first request.
                let expires_at = now + self.settings.grant_delay();
                self.expires_at.insert(lease.clone(), expires_at);
            }
            Entry::Released { .. } => {
                self.expires_at.remove(lease);
            }
        }
    }

    /// Whether a proposal for a lease is in progress and its retry is not due yet.
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
