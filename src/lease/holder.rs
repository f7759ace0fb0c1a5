//! The holder side of leases: tracks the leases under which a gateway may act now.

use std::collections::{BTreeMap, VecDeque};

use super::renewal::{RenewReply, RenewRequest};
use super::table::{Entry, LeaseTable};
use super::{LeaseHolder, LeaseName, Settings, Term};
use crate::api::Micros;

/// The maximum number of renewal requests whose replies are accepted; older requests are forgotten.
const MAX_OUTSTANDING_REQUESTS: usize = 8;

/// An event for a holder.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry of the agreed log took effect.
    Applied(Entry),
    /// The state of all leases was replaced.
    Restored(LeaseTable),
    /// A reply of the grantor arrived.
    Reply(RenewReply),
    /// Whether the gateway can hold leases. It cannot while it is cut off from its zone, short of file descriptors, or
    /// draining.
    SetEligible(bool),
    /// Release a lease, because this gateway cannot do the work or the lease has to move.
    Release(LeaseName),
    /// A deadline has passed.
    Tick,
}

/// An action that a holder asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a renewal request to the leader of the log.
    Renew(RenewRequest),
    /// The gateway may act under this term from now on.
    Acquired(LeaseName, Term),
    /// The gateway may no longer act under this term; effects that are still queued have to be withdrawn.
    Lost(LeaseName, Term),
}

/// A lease that this gateway holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OwnLease {
    term: Term,
    /// When the right to act ends; `None` before the first reply.
    expires_at: Option<Micros>,
    /// Whether [`Output::Acquired`] was emitted, and [`Output::Lost`] not yet.
    active: bool,
}

impl OwnLease {
    /// Creates a lease without the right to act. The grant may be applied late, so the right starts with the first reply.
    fn granted(term: Term) -> OwnLease {
        OwnLease {
            term,
            expires_at: None,
            active: false,
        }
    }
}

/// The leases of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderState {
    settings: Settings,
    own: LeaseHolder,
    eligible: bool,
    leases: BTreeMap<LeaseName, OwnLease>,
    /// Leases that this gateway has released, until the release is applied from the log.
    released: BTreeMap<LeaseName, Term>,
    /// The sequence numbers of outstanding requests, and when each was sent.
    requests: VecDeque<(u64, Micros)>,
    last_sequence: u64,
    next_request_at: Micros,
    outputs: VecDeque<Output>,
}

impl HolderState {
    /// Creates a holder without leases.
    pub fn new(settings: Settings, own: LeaseHolder, now: Micros) -> HolderState {
        HolderState {
            settings,
            own,
            eligible: true,
            leases: BTreeMap::new(),
            released: BTreeMap::new(),
            requests: VecDeque::new(),
            last_sequence: 0,
            next_request_at: now,
            outputs: VecDeque::new(),
        }
    }

    /// The identity of this gateway's process.
    pub fn own(&self) -> &LeaseHolder {
        &self.own
    }

    /// The term under which the gateway may act now, if any.
    ///
    /// Callers check it when they decide on an effect, and again when they queue the effect's bytes. The result depends on the
    /// current time, so it is correct even if the process was paused and has missed events.
    pub fn held_term(&self, now: Micros, lease: &LeaseName) -> Option<Term> {
        let own_lease = self.leases.get(lease)?;
        let valid = own_lease.expires_at.is_some_and(|at| now < at);
        valid.then_some(own_lease.term)
    }

    /// Whether an effect of this term may still be sent.
    pub fn still_holds(&self, now: Micros, lease: &LeaseName, term: Term) -> bool {
        self.held_term(now, lease) == Some(term)
    }

    /// The leases that this gateway holds: name, term, and when the right to act ends.
    pub fn held_leases(&self) -> impl Iterator<Item = (&LeaseName, Term, Option<Micros>)> {
        self.leases
            .iter()
            .map(|(name, lease)| (name, lease.term, lease.expires_at))
    }

    /// When [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        self.leases
            .values()
            .filter(|lease| lease.active)
            .filter_map(|lease| lease.expires_at)
            .fold(self.next_request_at, Micros::min)
    }

    /// The next action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Applied(Entry::Grant {
                lease,
                holder,
                term,
            }) => self.on_grant(now, lease, &holder, term),
            Input::Applied(Entry::Released { lease, term }) => {
                self.released.remove(&lease);
                self.end_if_term(&lease, |held| held <= term);
            }
            Input::Restored(table) => self.on_restored(now, &table),
            Input::Reply(reply) => self.on_reply(now, reply),
            Input::SetEligible(eligible) => self.set_eligible(now, eligible),
            Input::Release(lease) => self.release(now, &lease),
            Input::Tick => {}
        }
        self.end_expired(now);
        if now >= self.next_request_at {
            self.request_renewal(now);
        }
    }

    fn on_grant(&mut self, now: Micros, lease: LeaseName, holder: &LeaseHolder, term: Term) {
        self.released.remove(&lease);
        self.end_if_term(&lease, |held| held < term);
        if *holder != self.own {
            return;
        }
        self.leases.insert(lease.clone(), OwnLease::granted(term));
        self.next_request_at = now;
        // The grantor decided on an older request, sent while the gateway was eligible.
        if !self.eligible {
            self.release(now, &lease);
        }
    }

    fn set_eligible(&mut self, now: Micros, eligible: bool) {
        if std::mem::replace(&mut self.eligible, eligible) != eligible {
            self.next_request_at = now;
        }
        if eligible {
            return;
        }
        let leases: Vec<LeaseName> = self.leases.keys().cloned().collect();
        for lease in leases {
            self.release(now, &lease);
        }
    }

    /// Keeps the leases that have the same term in the new state. All others end, and leases that are new to this gateway start
    /// without the right to act.
    fn on_restored(&mut self, now: Micros, table: &LeaseTable) {
        let own_term = |lease: &LeaseName| {
            let record = table.record(lease);
            let is_own = record.holder.as_ref() == Some(&self.own);
            is_own.then_some(record.term)
        };
        let ended: Vec<LeaseName> = self
            .leases
            .iter()
            .filter(|(name, lease)| own_term(name) != Some(lease.term))
            .map(|(name, _)| name.clone())
            .collect();
        self.released
            .retain(|lease, term| own_term(lease) == Some(*term));
        for lease in ended {
            self.end_if_term(&lease, |_| true);
        }
        for (lease, record) in table.iter() {
            let is_own = record.holder.as_ref() == Some(&self.own);
            let is_known = self.leases.contains_key(lease) || self.released.contains_key(lease);
            if is_own && !is_known {
                let granted = OwnLease::granted(record.term);
                self.leases.insert(lease.clone(), granted);
                self.next_request_at = now;
            }
        }
    }

    fn on_reply(&mut self, now: Micros, reply: RenewReply) {
        let is_request = |(sequence, _): &(u64, Micros)| *sequence == reply.sequence;
        let Some(position) = self.requests.iter().position(is_request) else {
            return;
        };
        if reply.to != self.own {
            return;
        }
        // This reply supersedes the replies to earlier requests.
        let Some((_, requested_at)) = self.requests.drain(..=position).next_back() else {
            return;
        };
        // The lease duration starts when the request is sent, so a late reply leaves only the rest
        // of it, or nothing.
        let expires_at = requested_at + self.settings.duration;
        for (name, term) in reply.renewed {
            self.renew(now, name, term, expires_at);
        }
        for (name, term) in reply.recalled {
            if self
                .leases
                .get(&name)
                .is_some_and(|lease| lease.term == term)
            {
                self.release(now, &name);
            }
        }
    }

    fn renew(&mut self, now: Micros, name: LeaseName, term: Term, expires_at: Micros) {
        let Some(lease) = self.leases.get_mut(&name) else {
            return;
        };
        if lease.term != term {
            return;
        }
        lease.expires_at = lease.expires_at.max(Some(expires_at));
        if now < expires_at && !lease.active {
            lease.active = true;
            self.outputs.push_back(Output::Acquired(name, term));
        }
    }

    /// Stops acting, and then requests the release.
    fn release(&mut self, now: Micros, lease: &LeaseName) {
        let Some(term) = self.leases.get(lease).map(|own_lease| own_lease.term) else {
            return;
        };
        self.end_if_term(lease, |_| true);
        self.released.insert(lease.clone(), term);
        self.next_request_at = now;
    }

    /// Ends a lease if `matches` accepts its term.
    fn end_if_term(&mut self, name: &LeaseName, matches: impl Fn(Term) -> bool) {
        if !self
            .leases
            .get(name)
            .is_some_and(|lease| matches(lease.term))
        {
            return;
        }
        if let Some(lease) = self.leases.remove(name).filter(|lease| lease.active) {
            let lost = Output::Lost(name.clone(), lease.term);
            self.outputs.push_back(lost);
        }
    }

    fn end_expired(&mut self, now: Micros) {
        for (name, lease) in &mut self.leases {
            let expired = lease.expires_at.is_none_or(|at| now >= at);
            if lease.active && expired {
                lease.active = false;
                let lost = Output::Lost(name.clone(), lease.term);
                self.outputs.push_back(lost);
            }
        }
    }

    fn request_renewal(&mut self, now: Micros) {
        self.next_request_at = now + self.settings.renew_interval();
        self.last_sequence += 1;
        self.requests.push_back((self.last_sequence, now));
        while self.requests.len() > MAX_OUTSTANDING_REQUESTS {
            self.requests.pop_front();
        }
        let held = self
            .leases
            .iter()
            .map(|(name, lease)| (name.clone(), lease.term))
            .collect();
        let released = self
            .released
            .iter()
            .map(|(name, term)| (name.clone(), *term))
            .collect();
        self.outputs.push_back(Output::Renew(RenewRequest {
            from: self.own.clone(),
            sequence: self.last_sequence,
            eligible: self.eligible,
            held,
            released,
        }));
    }
}
