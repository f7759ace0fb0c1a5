//! Lease placement: chooses the gateway for each lease, and the lease that moves to balance the number per gateway.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::LeaseGrantor;
use crate::api::Micros;
use crate::lease::table::Entry;
use crate::lease::{LeaseHolder, LeaseName};

/// The maximum number of leases that are recalled at the same time, to limit the rate at which work moves.
const MAX_RECALLED: usize = 1;
/// The minimum difference in the number of leases between two holders at which a lease moves.
const MIN_IMBALANCE: usize = 2;

/// The affinity of a lease to a holder. Every leader computes the same value, so that leases stay in place when the leader
/// changes.
fn affinity(lease: &LeaseName, holder: &LeaseHolder) -> u64 {
    // FNV-1a over both names, followed by a bit mixer.
    let bytes = lease.bytes().chain([0]).chain(holder.name.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 29)
}

impl LeaseGrantor {
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.candidates.retain(|_, expires_at| now < *expires_at);
        self.ineligible
            .retain(|_, ineligible| now < ineligible.expires_at);
    }

    /// Grants the leases without a holder, and recalls a lease if the holders are out of balance.
    pub(super) fn place_leases(&mut self, now: Micros) {
        if now < self.first_grants_at {
            return;
        }
        for grant in self.choose_grants(now) {
            self.propose(now, grant);
        }
        self.balance();
    }

    /// Assigns each lease without a holder to the candidate with the fewest leases.
    fn choose_grants(&self, now: Micros) -> Vec<Entry> {
        let mut loads = self.lease_counts();
        let mut grants = Vec::new();
        for lease in &self.configured {
            let record = self.table.record(lease);
            let is_held = record.holder.is_some() && self.may_be_valid(now, lease);
            if is_held || self.is_proposed(now, lease) {
                continue;
            }
            let best = loads
                .iter_mut()
                .min_by_key(|(holder, load)| (**load, Reverse(affinity(lease, holder))));
            let Some((holder, load)) = best else {
                continue;
            };
            *load += 1;
            grants.push(Entry::Grant {
                lease: lease.clone(),
                holder: holder.clone(),
                term: record.term + 1,
            });
        }
        grants
    }

    /// The number of leases that each candidate holds.
    fn lease_counts(&self) -> BTreeMap<LeaseHolder, usize> {
        let mut loads: BTreeMap<LeaseHolder, usize> = self
            .candidates
            .keys()
            .map(|candidate| (candidate.clone(), 0))
            .collect();
        for (_, record) in self.table.iter() {
            let holder = record.holder.as_ref();
            if let Some(load) = holder.and_then(|holder| loads.get_mut(holder)) {
                *load += 1;
            }
        }
        loads
    }

    /// Recalls a lease from the busiest holder if it has at least [`MIN_IMBALANCE`] more leases than another candidate.
    fn balance(&mut self) {
        if self.recalled.len() >= MAX_RECALLED || !self.proposals.is_empty() {
            return;
        }
        let load = |holder: &LeaseHolder| self.table.count_of(holder);
        let Some(min_load) = self.candidates.keys().map(load).min() else {
            return;
        };
        let busiest = self
            .candidates
            .keys()
            .filter(|candidate| load(candidate) >= min_load + MIN_IMBALANCE)
            .max_by_key(|candidate| load(candidate));
        let Some(holder) = busiest else { return };
        let recalled = self
            .table
            .iter()
            .filter(|(lease, record)| {
                self.configured.contains(*lease) && record.holder.as_ref() == Some(holder)
            })
            .min_by_key(|(lease, _)| affinity(lease, holder))
            .map(|(lease, record)| (lease.clone(), record.term));
        self.recalled.extend(recalled);
    }
}
