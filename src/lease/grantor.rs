//! At whoever leads the agreed log: who is to have each duty, and for how long.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::holder::{RenewReply, RenewRequest};
use super::ledger::{Entry, LeaseTable};
use super::{LeaseHolder, LeaseName, Settings, Term};
use crate::api::Micros;

/// Instances whose offers are kept; those that offered last stay.
const MOST_OFFERS: usize = 4096;
/// Questions that wait for a majority's word; the oldest are dropped, and asked again.
const MOST_WAITING: usize = 1024;
/// Duties recalled at once to be spread evenly.
const MOST_RECALLED: usize = 1;

/// What happens to a grantor.
#[derive(Clone, Debug)]
pub enum Input {
    /// This instance leads the log, and has applied all that was agreed before.
    BecameLeader,
    /// Another does, or nobody.
    LostLeadership,
    /// A question came.
    Renew(RenewRequest),
    /// A majority has said, in a round begun after the question of this number came, that this instance still leads.
    Confirmed(u64),
    /// An entry of the agreed log took hold.
    Applied(Entry),
    /// The state of all duties, in place of entries that were never seen here.
    Restored(LeaseTable),
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Ask the majority whether this instance still leads; answered by [`Input::Confirmed`].
    Confirm(u64),
    /// Propose an entry of the agreed log.
    Propose(Entry),
    /// Answer a question.
    Reply(RenewReply),
}

/// Why a duty has no owner who acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum GrantReason {
    /// Its owner's last lease may still run.
    WaitsOut,
    /// Nobody has offered to do it.
    NobodyOffers,
    /// A grant is proposed and not agreed yet.
    Proposed,
}

/// Decides on grants while it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    settings: Settings,
    duties: BTreeSet<LeaseName>,
    leases: LeaseTable,
    leads: bool,
    /// Until when offers are gathered before the first grants, so that they are spread over all who are there.
    gathers: Micros,
    /// Until when the last lease of a duty may run, as counted here. Only what this leader answered is in it, and all that
    /// a leader before it can have answered.
    until: BTreeMap<LeaseName, Micros>,
    /// Who would take duties, and until when that is believed.
    offers: BTreeMap<LeaseHolder, Micros>,
    /// Who would take none, by which question, and until when an older one of theirs may still come.
    declined: BTreeMap<LeaseHolder, (u64, Micros)>,
    /// Entries under way, and when they are proposed again.
    proposed: BTreeMap<LeaseName, (Term, Micros)>,
    recalled: BTreeMap<LeaseName, Term>,
    waiting: VecDeque<(u64, RenewRequest)>,
    number: u64,
    outputs: VecDeque<Output>,
}

/// A duty's wish for an owner: the same at whoever leads, so that duties stay where they are when leaders change.
fn wish(duty: &LeaseName, owner: &LeaseHolder) -> u64 {
    // FNV-1a over both names, then mixed.
    let bytes = duty.bytes().chain([0]).chain(owner.name.bytes());
    let h = bytes.fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    let h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 29)
}

impl LeaseGrantor {
    /// One that does not lead, for the duties of the operator's list.
    pub fn new(settings: Settings, duties: BTreeSet<LeaseName>) -> LeaseGrantor {
        LeaseGrantor {
            settings,
            duties,
            leases: LeaseTable::default(),
            leads: false,
            gathers: 0,
            until: BTreeMap::new(),
            offers: BTreeMap::new(),
            declined: BTreeMap::new(),
            proposed: BTreeMap::new(),
            recalled: BTreeMap::new(),
            waiting: VecDeque::new(),
            number: 0,
            outputs: VecDeque::new(),
        }
    }

    /// What the log says.
    pub fn ledger(&self) -> &LeaseTable {
        &self.leases
    }

    /// Why nobody is granted a duty now; none while its owner's lease runs.
    pub fn grant_reason(&self, now: Micros, duty: &LeaseName) -> Option<GrantReason> {
        if self
            .proposed
            .get(duty)
            .is_some_and(|(_, again)| now < *again)
        {
            return Some(GrantReason::Proposed);
        }
        let stands = self.leases.record(duty);
        let runs = stands.holder.is_some() && self.until.get(duty).is_some_and(|u| now < *u);
        match stands.holder {
            Some(owner) if runs && self.offers.contains_key(&owner) => None,
            Some(_) if runs => Some(GrantReason::WaitsOut),
            _ => Some(GrantReason::NobodyOffers),
        }
    }

    /// When `Tick` is due, if ever.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let due = self
            .until
            .values()
            .chain(self.proposed.values().map(|(_, t)| t));
        due.chain(self.offers.values())
            .chain([&self.gathers])
            .copied()
            .filter(|t| self.leads && *t > now)
            .min()
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            // Also if it led before: it may have been voted out and in again unnoticed, and another have answered between.
            Input::BecameLeader => {
                self.leads = true;
                self.forget();
                self.offers.clear();
                self.gathers = now + self.settings.renew_interval();
                // A leader before this one may have answered until the very moment at which it was voted out.
                let owned = self.leases.duties().filter(|(_, s)| s.holder.is_some());
                let until = now + self.settings.grant_delay();
                self.until = owned.map(|(d, _)| (d.clone(), until)).collect();
            }
            Input::LostLeadership => {
                self.leads = false;
                self.forget();
            }
            Input::Renew(ask) if self.leads => self.asked(now, ask),
            Input::Renew(_) => {}
            Input::Confirmed(number) if self.leads => {
                while self.waiting.front().is_some_and(|(n, _)| *n <= number) {
                    if let Some((_, ask)) = self.waiting.pop_front() {
                        self.answer(now, ask);
                    }
                }
            }
            Input::Confirmed(_) => {}
            Input::Applied(entry) => {
                if self.leases.apply(&entry) {
                    let (Entry::Grant { lease: duty, .. } | Entry::Released { lease: duty, .. }) =
                        &entry;
                    self.proposed.remove(duty);
                    self.recalled.remove(duty);
                    if matches!(entry, Entry::Grant { .. }) {
                        // Time for its first question.
                        self.until
                            .insert(duty.clone(), now + self.settings.grant_delay());
                    } else {
                        self.until.remove(duty);
                    }
                }
            }
            // Whoever is sent a state does not lead.
            Input::Restored(ledger) => self.leases = ledger,
            Input::Tick => {}
        }
        if self.leads {
            self.decide(now);
        }
    }

    /// What was under way in a leadership that has ended.
    fn forget(&mut self) {
        self.waiting.clear();
        self.proposed.clear();
        self.recalled.clear();
        self.outputs.clear();
    }

    fn asked(&mut self, now: Micros, ask: RenewRequest) {
        let late = self
            .declined
            .get(&ask.from)
            .is_some_and(|(stamp, _)| *stamp > ask.stamp);
        if ask.eligible && !late {
            self.offers
                .insert(ask.from.clone(), now + self.settings.duration);
            if self.offers.len() > MOST_OFFERS {
                let oldest = self
                    .offers
                    .iter()
                    .min_by_key(|(_, t)| **t)
                    .map(|(o, _)| o.clone());
                oldest.map(|o| self.offers.remove(&o));
            }
        } else {
            self.offers.remove(&ask.from);
            if !late && self.declined.len() < MOST_OFFERS {
                self.declined
                    .insert(ask.from.clone(), (ask.stamp, now + self.settings.duration));
            }
        }
        for (duty, term) in &ask.released {
            let stands = self.leases.record(duty);
            let its = stands.term == *term && stands.holder.as_ref() == Some(&ask.from);
            if its
                && self
                    .proposed
                    .get(duty)
                    .is_none_or(|(_, again)| now >= *again)
            {
                self.proposed
                    .insert(duty.clone(), (*term, now + self.settings.renew_interval()));
                let entry = Entry::Released {
                    lease: duty.clone(),
                    term: *term,
                };
                self.outputs.push_back(Output::Propose(entry));
            }
        }
        if ask.held.is_empty() {
            return;
        }
        self.number += 1;
        self.waiting.push_back((self.number, ask));
        if self.waiting.len() > MOST_WAITING {
            self.waiting.pop_front();
        }
        self.outputs.push_back(Output::Confirm(self.number));
    }

    fn answer(&mut self, now: Micros, ask: RenewRequest) {
        let (mut renewed, mut recalled) = (Vec::new(), Vec::new());
        for (duty, term) in ask.held {
            let stands = self.leases.record(&duty);
            if stands.term != term || stands.holder.as_ref() != Some(&ask.from) {
                continue;
            }
            // A grant to another is under way: no lease may run into it.
            if self.proposed.contains_key(&duty) {
                continue;
            }
            if self.recalled.get(&duty) == Some(&term) {
                recalled.push((duty, term));
                continue;
            }
            self.until
                .insert(duty.clone(), now + self.settings.grant_delay());
            renewed.push((duty, term));
        }
        let (to, stamp) = (ask.from, ask.stamp);
        self.outputs.push_back(Output::Reply(RenewReply {
            to,
            stamp,
            renewed,
            recalled,
        }));
    }

    /// Grants what nobody holds, and recalls what is to move.
    fn decide(&mut self, now: Micros) {
        self.offers.retain(|_, until| now < *until);
        self.declined.retain(|_, (_, until)| now < *until);
        if now < self.gathers {
            return;
        }
        let mut loads: BTreeMap<LeaseHolder, usize> =
            self.offers.keys().map(|o| (o.clone(), 0)).collect();
        for (_, s) in self.leases.duties() {
            if let Some(load) = s.holder.as_ref().and_then(|o| loads.get_mut(o)) {
                *load += 1;
            }
        }
        for duty in &self.duties {
            let stands = self.leases.record(duty);
            let runs = self.until.get(duty).is_some_and(|u| now < *u);
            if stands.holder.is_some() && runs {
                continue;
            }
            // Proposed, and not yet agreed: again after a while, as a proposal may be lost with its leader.
            if self
                .proposed
                .get(duty)
                .is_some_and(|(_, again)| now < *again)
            {
                continue;
            }
            let best = loads
                .iter()
                .min_by_key(|(o, load)| (**load, std::cmp::Reverse(wish(duty, o))));
            let Some(owner) = best.map(|(o, _)| o.clone()) else {
                continue;
            };
            loads.entry(owner.clone()).and_modify(|l| *l += 1);
            let term = stands.term + 1;
            self.proposed
                .insert(duty.clone(), (term, now + self.settings.renew_interval()));
            self.outputs.push_back(Output::Propose(Entry::Grant {
                lease: duty.clone(),
                holder: owner,
                term,
            }));
        }
        self.spread();
    }

    /// Recalls a duty of whoever has two more than another who offers; one at a time, so that work moves at a bounded pace.
    fn spread(&mut self) {
        if self.recalled.len() >= MOST_RECALLED || !self.proposed.is_empty() {
            return;
        }
        let load = |o: &LeaseHolder| self.leases.held_by(o);
        let Some(least) = self.offers.keys().map(load).min() else {
            return;
        };
        let most = self
            .offers
            .keys()
            .filter(|o| load(o) >= least + 2)
            .max_by_key(|o| load(o));
        let Some(owner) = most else { return };
        let theirs = self
            .leases
            .duties()
            .filter(|(d, s)| self.duties.contains(*d) && s.holder.as_ref() == Some(owner));
        let moved = theirs
            .min_by_key(|(d, _)| wish(d, owner))
            .map(|(d, s)| (d.clone(), s.term));
        self.recalled.extend(moved);
    }
}
