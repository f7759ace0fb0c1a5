//! Renewal requests of holders, and the replies to them.

use super::{Ineligible, LeaseGrantor, Output, WaitingRequest};
use crate::api::Micros;
use crate::lease::renewal::{RenewReply, RenewRequest};
use crate::lease::table::Entry;
use crate::lease::{LeaseHolder, LeaseName, Term};

/// The maximum number of candidates. Above it, the candidate whose last request is the oldest is dropped.
const MAX_CANDIDATES: usize = 4096;
/// The maximum number of requests that wait for a confirmation. Above it, the oldest request is dropped; its holder sends
/// another one.
const MAX_WAITING_REQUESTS: usize = 1024;

impl LeaseGrantor {
    pub(super) fn on_request(&mut self, now: Micros, request: RenewRequest) {
        self.update_candidate(now, &request);
        for (lease, term) in &request.released {
            self.propose_release(now, &request.from, lease, *term);
        }
        if request.held.is_empty() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let waiting = WaitingRequest { number, request };
        self.waiting.push_back(waiting);
        if self.waiting.len() > MAX_WAITING_REQUESTS {
            self.waiting.pop_front();
        }
        self.outputs.push_back(Output::Confirm(number));
    }

    /// Records whether the sender is eligible. An older request that arrives late does not make it eligible again.
    fn update_candidate(&mut self, now: Micros, request: &RenewRequest) {
        let expires_at = now + self.settings.duration;
        let outdated = self
            .ineligible
            .get(&request.from)
            .is_some_and(|ineligible| ineligible.sequence > request.sequence);
        if request.eligible && !outdated {
            self.candidates.insert(request.from.clone(), expires_at);
            self.limit_candidates();
            return;
        }
        self.candidates.remove(&request.from);
        if !outdated && self.ineligible.len() < MAX_CANDIDATES {
            let ineligible = Ineligible {
                sequence: request.sequence,
                expires_at,
            };
            self.ineligible.insert(request.from.clone(), ineligible);
        }
    }

    fn limit_candidates(&mut self) {
        if self.candidates.len() <= MAX_CANDIDATES {
            return;
        }
        let oldest = self
            .candidates
            .iter()
            .min_by_key(|(_, expires_at)| **expires_at)
            .map(|(holder, _)| holder.clone());
        if let Some(oldest) = oldest {
            self.candidates.remove(&oldest);
        }
    }

    fn propose_release(&mut self, now: Micros, from: &LeaseHolder, lease: &LeaseName, term: Term) {
        let record = self.table.record(lease);
        let is_holder = record.term == term && record.holder.as_ref() == Some(from);
        if is_holder && !self.is_proposed(now, lease) {
            let lease = lease.clone();
            self.propose(now, Entry::Released { lease, term });
        }
    }

    /// Replies to the requests that arrived before the confirmed round started.
    pub(super) fn on_confirmed(&mut self, now: Micros, number: u64) {
        let is_confirmed = |waiting: &WaitingRequest| waiting.number <= number;
        while self.waiting.front().is_some_and(is_confirmed) {
            if let Some(waiting) = self.waiting.pop_front() {
                self.reply(now, waiting.request);
            }
        }
    }

    fn reply(&mut self, now: Micros, request: RenewRequest) {
        let mut renewed = Vec::new();
        let mut recalled = Vec::new();
        for (lease, term) in request.held {
            let record = self.table.record(&lease);
            let is_holder = record.term == term && record.holder.as_ref() == Some(&request.from);
            // A renewal must not overlap a proposed grant to another gateway.
            if !is_holder || self.proposals.contains_key(&lease) {
                continue;
            }
            if self.recalled.get(&lease) == Some(&term) {
                recalled.push((lease, term));
                continue;
            }
            let expires_at = now + self.settings.grant_delay();
            self.expires_at.insert(lease.clone(), expires_at);
            renewed.push((lease, term));
        }
        self.outputs.push_back(Output::Reply(RenewReply {
            to: request.from,
            sequence: request.sequence,
            renewed,
            recalled,
        }));
    }
}
