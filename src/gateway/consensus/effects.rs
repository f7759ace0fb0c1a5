//! Effects under this gateway's leases: sent while the lease is valid, and withdrawn if it ends
//! before their bytes are written.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::uptime;
use crate::consensus::participant::HistoryEvent;
use crate::consensus::wire::{Body, LeaseEffect};
use crate::gateway::{ConnKey, Gateway, Role};
use crate::lease::{LeaseName, Term};

/// Maximum number of remembered effects; beyond it all are forgotten, as most have been sent.
const MAX_QUEUED_EFFECTS: usize = 1024;

/// Effects of this gateway whose bytes may still be queued, by the tag of their frames.
#[derive(Debug, Default)]
pub(super) struct OwnEffects {
    queued: HashMap<u64, LeaseEffect>,
    last_tag: u64,
}

impl OwnEffects {
    /// Remembers an effect; returns the tag for its frame.
    fn insert(&mut self, effect: LeaseEffect) -> u64 {
        self.last_tag += 1;
        if self.queued.len() > MAX_QUEUED_EFFECTS {
            self.queued.clear();
        }
        self.queued.insert(self.last_tag, effect);
        self.last_tag
    }

    fn tags_of(&self, lease: &LeaseName, term: Term) -> Vec<u64> {
        self.queued
            .iter()
            .filter(|(_, effect)| effect.lease == *lease && effect.term == term)
            .map(|(tag, _)| *tag)
            .collect()
    }
}

fn withdrawn(effect: LeaseEffect) -> HistoryEvent {
    HistoryEvent::Withdrawn {
        lease: effect.lease,
        term: effect.term,
        number: effect.number,
    }
}

impl Gateway {
    /// Sends an effect of this gateway. The lease is checked once more before the bytes are queued.
    /// If no connection is open, the effect is dropped.
    pub(super) fn send_own_effect(&mut self, to: &Arc<str>, effect: LeaseEffect) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let holds = driver
            .participant
            .still_holds(uptime(), &effect.lease, effect.term);
        if !holds {
            return driver.record(&withdrawn(effect));
        }
        let key = driver.peers.connection(to);
        let Some(key) = key.filter(|key| self.is_open_peer(*key)) else {
            return;
        };
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let tag = driver.own_effects.insert(effect.clone());
        driver.record(&HistoryEvent::Sent {
            lease: effect.lease.clone(),
            term: effect.term,
            number: effect.number,
        });
        self.push_frame(key, &Body::Effect(effect), tag);
    }

    /// Withdraws the effects of an ended lease whose bytes are still queued.
    pub(super) fn withdraw_effects(&mut self, lease: &LeaseName, term: Term) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        for tag in driver.own_effects.tags_of(lease, term) {
            let was_queued = self
                .connections
                .values_mut()
                .any(|(conn, role)| matches!(role, Role::Peer(_)) && conn.outbox.withdraw(tag));
            let Some(effect) = driver.own_effects.queued.remove(&tag) else {
                continue;
            };
            if was_queued && !driver.participant.queue_guard_disabled() {
                driver.record(&withdrawn(effect));
            }
        }
    }

    /// Withdraws the effects of ended leases before the bytes of a connection between gateways are
    /// written: the process may have been stopped since they were queued.
    pub(in crate::gateway) fn withdraw_expired_effects(&mut self, key: ConnKey) {
        let has_output = matches!(
            self.connections.get(key),
            Some((conn, Role::Peer(_))) if !conn.outbox.is_empty()
        );
        if !has_output {
            return;
        }
        let Some(driver) = &self.cluster.consensus else {
            return;
        };
        if driver.own_effects.queued.is_empty() {
            return;
        }
        let now = uptime();
        let expired: BTreeSet<(LeaseName, Term)> = driver
            .own_effects
            .queued
            .values()
            .filter(|effect| {
                !driver
                    .participant
                    .still_holds(now, &effect.lease, effect.term)
            })
            .map(|effect| (effect.lease.clone(), effect.term))
            .collect();
        for (lease, term) in expired {
            self.withdraw_effects(&lease, term);
        }
    }
}
