//! Effects sent under a lease, reports to lease holders, and proposals of other subsystems.

use std::sync::Arc;

use super::{HistoryEvent, Output, Participant};
use crate::api::Micros;
use crate::consensus::state::SubsystemEntry;
use crate::consensus::wire::{Body, LeaseEffect, LeaseReport};
use crate::lease::fence::FenceError;
use crate::lease::{LeaseName, Term};

impl Participant {
    /// Sends an effect under a lease held by this gateway. Ignored unless the lease is valid.
    pub(super) fn send_effect(&mut self, now: Micros, lease: LeaseName, content: Vec<u8>) {
        // The driver checks the lease again when it queues the bytes.
        let Some(term) = self.held_term(now, &lease) else {
            return;
        };
        let effect = LeaseEffect {
            number: self.next_effect_number(&lease, term),
            lease,
            term,
            holder: self.settings.name.clone(),
            content,
        };
        self.record(HistoryEvent::EffectCreated {
            lease: effect.lease.clone(),
            term,
            number: effect.number,
        });
        // The holder applies its own effect elsewhere; here, only the fence has to record the term.
        let _ = self.fence.admit(&effect.lease, term);
        let receivers: Vec<Arc<str>> = if self.is_voting {
            self.learner_progress.forward(effect.clone());
            self.other_voters()
        } else {
            self.learner.source().cloned().into_iter().collect()
        };
        for receiver in receivers {
            let output = Output::SendEffect(receiver, effect.clone());
            self.outputs.push_back(output);
        }
    }

    fn next_effect_number(&mut self, lease: &LeaseName, term: Term) -> u64 {
        let last = self.last_sent_effects.entry(lease.clone()).or_default();
        if last.0 != term {
            *last = (term, 0);
        }
        last.1 += 1;
        last.1
    }

    /// Sends a report of this gateway to the holder of a lease.
    pub(super) fn send_report(&mut self, lease: LeaseName, content: Vec<u8>) {
        let report = LeaseReport {
            lease,
            from: self.settings.name.clone(),
            content,
        };
        self.route_report(report, false);
    }

    /// Delivers a report if this gateway holds the lease, or forwards it towards the holder.
    pub(super) fn route_report(&mut self, report: LeaseReport, forwarded: bool) {
        let record = self.state().leases.record(&report.lease);
        let Some(holder) = record.holder.map(|holder| holder.name) else {
            return;
        };
        if holder == self.settings.name {
            self.receive_report(report);
        } else if !self.is_voting {
            if let Some(to) = self.learner.source().cloned() {
                self.send(to, Body::Report(report, false));
            }
        } else if self.is_voter(&holder) || self.learner_progress.contains(&holder) {
            self.send(holder, Body::Report(report, true));
        } else if !forwarded {
            // The holder is a learner that polls another voter.
            for voter in self.other_voters() {
                self.send(voter, Body::Report(report.clone(), true));
            }
        }
    }

    fn receive_report(&mut self, report: LeaseReport) {
        if report.from == self.settings.name {
            return;
        }
        let received = Output::ReportReceived(report.lease, report.from, report.content);
        self.outputs.push_back(received);
    }

    /// Proposes an entry if this gateway leads, otherwise forwards it towards the leader. The proposer repeats lost entries.
    pub(super) fn submit(&mut self, entry: SubsystemEntry, forwarded: bool) {
        if self.leads() {
            if let Some(voter) = &mut self.voter {
                voter.propose(&entry.into_entry());
            }
            return;
        }
        if forwarded {
            return;
        }
        let other_leader = self.leader().filter(|leader| *leader != self.settings.name);
        if let Some(leader) = other_leader {
            self.send(leader, Body::Submit(entry, true));
        } else if let Some(source) = self.catch_up_source().cloned() {
            self.send(source, Body::Submit(entry, false));
        }
    }

    /// Accepts or rejects an effect of another holder.
    ///
    /// If `first_hop` is set, the effect came directly from a holder that is not a voter, and this voter forwards it to the
    /// other voters.
    pub(super) fn receive_effect(&mut self, effect: LeaseEffect, first_hop: bool) {
        if effect.holder == self.settings.name {
            return;
        }
        if let Err(error) = self.check_fence(&effect) {
            return self.record(HistoryEvent::Rejected {
                lease: effect.lease,
                term: effect.term,
                holder: effect.holder,
                number: effect.number,
                reason: error.to_string(),
            });
        }
        // The same effect may arrive through two voters.
        let position = (effect.term, effect.number);
        let last = self.last_accepted.entry(effect.lease.clone()).or_default();
        if !self.settings.disabled_guards.term_check && position <= *last {
            return;
        }
        *last = position;
        self.record(HistoryEvent::Accepted {
            lease: effect.lease.clone(),
            term: effect.term,
            holder: effect.holder.clone(),
            number: effect.number,
        });
        if self.is_voting {
            self.learner_progress.forward(effect.clone());
        }
        if self.is_voting && first_hop {
            for voter in self.other_voters() {
                self.send(voter, Body::Effect(effect.clone()));
            }
        }
        self.outputs.push_back(Output::EffectReceived(effect));
    }

    fn check_fence(&mut self, effect: &LeaseEffect) -> Result<(), FenceError> {
        match self.fence.admit(&effect.lease, effect.term) {
            Err(FenceError::Stale { .. }) if self.settings.disabled_guards.term_check => Ok(()),
            other => other.map(|_| ()),
        }
    }
}
