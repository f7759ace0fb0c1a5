//! A simulation of a grantor and holders without a network.

use std::collections::BTreeSet;

use crate::api::Micros;
use crate::lease::grantor::{self, LeaseGrantor};
use crate::lease::holder::{self, HolderState, Output};
use crate::lease::table::Entry;
use crate::lease::{LeaseHolder, LeaseName, Settings, Term};

pub(super) const ONE_SECOND: Micros = 1_000_000;

pub(super) fn settings() -> Settings {
    Settings {
        duration: 3 * ONE_SECOND,
        drift_ppm: 1_000,
    }
}

pub(super) fn lease(n: usize) -> LeaseName {
    format!("loads-{n}").into()
}

pub(super) fn gateway(n: usize) -> LeaseHolder {
    LeaseHolder {
        name: format!("n{n}").into(),
        incarnation: 7,
    }
}

/// A grantor and holders. Messages arrive without delay unless a test drops them.
pub(super) struct Simulation {
    pub(super) now: Micros,
    pub(super) grantor: LeaseGrantor,
    pub(super) holders: Vec<HolderState>,
    /// Holders whose messages are dropped in both directions.
    pub(super) unreachable: BTreeSet<usize>,
    pub(super) requests: usize,
    pub(super) acquired: Vec<(usize, LeaseName, Term)>,
    pub(super) lost: Vec<(usize, LeaseName, Term)>,
}

impl Simulation {
    pub(super) fn new(holders: usize, leases: usize) -> Simulation {
        let mut grantor = LeaseGrantor::new(settings(), (0..leases).map(lease).collect());
        grantor.handle(0, grantor::Input::BecameLeader);
        let holders = (0..holders)
            .map(|n| HolderState::new(settings(), gateway(n), 0))
            .collect();
        let mut sim = Simulation {
            now: 0,
            grantor,
            holders,
            unreachable: BTreeSet::new(),
            requests: 0,
            acquired: Vec::new(),
            lost: Vec::new(),
        };
        // The grantor collects candidates before its first grants.
        sim.run(2 * ONE_SECOND);
        sim
    }

    pub(super) fn apply(&mut self, entry: Entry) {
        self.grantor
            .handle(self.now, grantor::Input::Applied(entry.clone()));
        for n in 0..self.holders.len() {
            if !self.unreachable.contains(&n) {
                self.holders[n].handle(self.now, holder::Input::Applied(entry.clone()));
            }
        }
    }

    pub(super) fn deliver_messages(&mut self) {
        loop {
            let mut is_idle = true;
            while let Some(output) = self.grantor.output() {
                is_idle = false;
                match output {
                    grantor::Output::Confirm(n) => {
                        self.grantor.handle(self.now, grantor::Input::Confirmed(n))
                    }
                    grantor::Output::Propose(entry) => self.apply(entry),
                    grantor::Output::Reply(reply) => {
                        let to = self
                            .holders
                            .iter()
                            .position(|holder| *holder.own() == reply.to)
                            .unwrap();
                        if !self.unreachable.contains(&to) {
                            self.holders[to].handle(self.now, holder::Input::Reply(reply));
                        }
                    }
                }
            }
            for n in 0..self.holders.len() {
                while let Some(output) = self.holders[n].output() {
                    is_idle = false;
                    match output {
                        Output::Renew(request) => {
                            self.requests += 1;
                            if !self.unreachable.contains(&n) {
                                self.grantor
                                    .handle(self.now, grantor::Input::Renew(request));
                            }
                        }
                        Output::Acquired(name, term) => self.acquired.push((n, name, term)),
                        Output::Lost(name, term) => self.lost.push((n, name, term)),
                    }
                }
            }
            if is_idle {
                return;
            }
        }
    }

    pub(super) fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            for holder in &mut self.holders {
                holder.handle(self.now, holder::Input::Tick);
            }
            self.grantor.handle(self.now, grantor::Input::Tick);
            self.deliver_messages();
            let next = self
                .holders
                .iter()
                .map(HolderState::next_deadline)
                .chain(self.grantor.next_deadline(self.now));
            let next = next.filter(|at| *at > self.now).min().unwrap_or(end);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
        }
    }

    pub(super) fn held_term(&self, n: usize, name: &LeaseName) -> Option<Term> {
        self.holders[n].held_term(self.now, name)
    }

    pub(super) fn holder_of(&self, name: &LeaseName) -> Option<usize> {
        let holders: Vec<usize> = (0..self.holders.len())
            .filter(|n| self.held_term(*n, name).is_some())
            .collect();
        assert!(
            holders.len() <= 1,
            "{name} has several holders: {holders:?}"
        );
        holders.first().copied()
    }
}
