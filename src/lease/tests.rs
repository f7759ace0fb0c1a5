//! Duties one step at a time.

use std::collections::BTreeSet;

use super::fence::{Fence, FenceError};
use super::grantor::{self, GrantReason, LeaseGrantor};
use super::holder::{self, HolderState, Output};
use super::ledger::{Entry, LeaseTable};
use super::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings {
        duration: 3 * SECOND,
        drift_ppm: 1_000,
    }
}

fn duty(n: usize) -> LeaseName {
    format!("loads-{n}").into()
}

fn owner(n: usize) -> LeaseHolder {
    LeaseHolder {
        name: format!("n{n}").into(),
        incarnation: 7,
    }
}

/// A grantor and holders, with messages that come at once unless a test keeps them.
struct Rig {
    now: Micros,
    grantor: LeaseGrantor,
    holders: Vec<HolderState>,
    /// Holders that neither hear nor say anything.
    cut: BTreeSet<usize>,
    asks: usize,
    began: Vec<(usize, LeaseName, Term)>,
    ended: Vec<(usize, LeaseName, Term)>,
}

impl Rig {
    fn new(holders: usize, duties: usize) -> Rig {
        let mut grantor = LeaseGrantor::new(settings(), (0..duties).map(duty).collect());
        grantor.handle(0, grantor::Input::BecameLeader);
        let holders = (0..holders)
            .map(|n| HolderState::new(settings(), owner(n), 0))
            .collect();
        let (cut, asks, began, ended) = (BTreeSet::new(), 0, Vec::new(), Vec::new());
        let mut rig = Rig {
            now: 0,
            grantor,
            holders,
            cut,
            asks,
            began,
            ended,
        };
        // Offers are gathered first.
        rig.run(2 * SECOND);
        rig
    }

    fn applied(&mut self, entry: Entry) {
        self.grantor
            .handle(self.now, grantor::Input::Applied(entry.clone()));
        for n in 0..self.holders.len() {
            if !self.cut.contains(&n) {
                self.holders[n].handle(self.now, holder::Input::Applied(entry.clone()));
            }
        }
    }

    fn pump(&mut self) {
        loop {
            let mut quiet = true;
            while let Some(output) = self.grantor.output() {
                quiet = false;
                match output {
                    grantor::Output::Confirm(n) => {
                        self.grantor.handle(self.now, grantor::Input::Confirmed(n))
                    }
                    grantor::Output::Propose(entry) => self.applied(entry),
                    grantor::Output::Reply(answer) => {
                        let to = self
                            .holders
                            .iter()
                            .position(|h| *h.me() == answer.to)
                            .unwrap();
                        if !self.cut.contains(&to) {
                            self.holders[to].handle(self.now, holder::Input::Reply(answer));
                        }
                    }
                }
            }
            for n in 0..self.holders.len() {
                while let Some(output) = self.holders[n].output() {
                    quiet = false;
                    match output {
                        Output::Renew(ask) => {
                            self.asks += 1;
                            if !self.cut.contains(&n) {
                                self.grantor.handle(self.now, grantor::Input::Renew(ask));
                            }
                        }
                        Output::Began(d, t) => self.began.push((n, d, t)),
                        Output::Ended(d, t) => self.ended.push((n, d, t)),
                    }
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            for h in &mut self.holders {
                h.handle(self.now, holder::Input::Tick);
            }
            self.grantor.handle(self.now, grantor::Input::Tick);
            self.pump();
            let next = self
                .holders
                .iter()
                .map(HolderState::next_deadline)
                .chain(self.grantor.next_deadline(self.now));
            let next = next.filter(|t| *t > self.now).min().unwrap_or(end);
            if next >= end {
                self.now = end;
                return;
            }
            self.now = next;
        }
    }

    fn may(&self, n: usize, d: &LeaseName) -> Option<Term> {
        self.holders[n].held_term(self.now, d)
    }

    fn owner_of(&self, d: &LeaseName) -> Option<usize> {
        let may: Vec<usize> = (0..self.holders.len())
            .filter(|n| self.may(*n, d).is_some())
            .collect();
        assert!(may.len() <= 1, "{may:?} may all do {d}");
        may.first().copied()
    }
}

#[test]
fn duties_are_spread_evenly_and_stay_where_they_are() {
    let mut rig = Rig::new(5, 20);
    rig.run(5 * SECOND);
    let owners: Vec<_> = (0..20)
        .map(|d| rig.owner_of(&duty(d)).expect("an owner"))
        .collect();
    for n in 0..5 {
        assert_eq!(owners.iter().filter(|o| **o == n).count(), 4, "{owners:?}");
    }
    rig.run(60 * SECOND);
    assert!(
        (0..20).all(|d| rig.may(owners[d], &duty(d)) == Some(1)),
        "under their first terms"
    );
    assert!(rig.ended.is_empty());
}

#[test]
fn an_owner_that_is_cut_off_ends_before_the_next_begins() {
    let mut rig = Rig::new(3, 1);
    rig.run(SECOND);
    let old = rig.owner_of(&duty(0)).expect("an owner");
    rig.cut.insert(old);
    let cut_at = rig.now;
    for _ in 0..1_000 {
        rig.run(10_000);
        if rig.owner_of(&duty(0)).is_some_and(|n| n != old) {
            break;
        }
    }
    let next = rig.owner_of(&duty(0)).expect("another owner");
    assert_eq!(
        (rig.may(next, &duty(0)), rig.may(old, &duty(0))),
        (Some(2), None)
    );
    assert!(
        rig.now <= cut_at + settings().grant_delay() + 20_000,
        "not later than the old one is waited out"
    );
    // The old one still believes in its grant, asks under its old term, and gets nothing.
    rig.cut.clear();
    rig.run(5 * SECOND);
    assert_eq!(rig.may(old, &duty(0)), None);
}

#[test]
fn a_duty_given_back_is_handed_on_at_once() {
    let mut rig = Rig::new(3, 1);
    let (old, at) = (rig.owner_of(&duty(0)).unwrap(), rig.now);
    rig.holders[old].handle(at, holder::Input::SetEligible(false));
    assert_eq!(rig.may(old, &duty(0)), None, "it stops before it says so");
    rig.pump();
    let next = rig
        .owner_of(&duty(0))
        .expect("another owner without any wait");
    assert!(next != old && rig.now == at);
}

#[test]
fn a_new_leader_waits_for_what_the_last_one_may_have_answered() {
    let mut rig = Rig::new(2, 1);
    rig.run(SECOND);
    let old = rig.owner_of(&duty(0)).unwrap();
    rig.cut.insert(old);
    let mut next = LeaseGrantor::new(settings(), BTreeSet::from([duty(0)]));
    for (d, s) in rig.grantor.ledger().duties() {
        let (duty, owner) = (d.clone(), s.holder.clone().unwrap());
        next.handle(
            rig.now,
            grantor::Input::Applied(Entry::Grant {
                lease: duty,
                holder: owner,
                term: s.term,
            }),
        );
    }
    rig.run(2 * SECOND);
    next.handle(rig.now, grantor::Input::BecameLeader);
    rig.grantor = next;
    let elected = rig.now;
    rig.run(settings().grant_delay() - 1);
    assert_eq!(rig.owner_of(&duty(0)), None);
    rig.run(SECOND);
    assert!(
        rig.owner_of(&duty(0)).is_some_and(|n| n != old) && rig.now > elected + settings().duration
    );
}

#[test]
fn a_grant_heard_of_late_gives_no_right_to_act() {
    let mut holder = HolderState::new(settings(), owner(1), 0);
    let grant = Entry::Grant {
        lease: duty(0),
        holder: owner(1),
        term: 4,
    };
    holder.handle(90 * SECOND, holder::Input::Applied(grant));
    assert_eq!(holder.held_term(90 * SECOND, &duty(0)), None);
    let asked = std::iter::from_fn(|| holder.output()).find_map(|o| match o {
        Output::Renew(ask) if !ask.held.is_empty() => Some(ask),
        _ => None,
    });
    let ask = asked.expect("it asks at once");
    // The answer comes when the lease it gives has ended: counted from before the question, not from the answer.
    let (renewed, recalled) = (ask.held, Vec::new());
    let answer = holder::RenewReply {
        to: owner(1),
        stamp: ask.stamp,
        renewed,
        recalled,
    };
    holder.handle(94 * SECOND, holder::Input::Reply(answer));
    assert_eq!(holder.held_term(94 * SECOND, &duty(0)), None);
    assert!(!std::iter::from_fn(|| holder.output()).any(|o| matches!(o, Output::Began(..))));
}

#[test]
fn a_new_process_under_an_old_name_has_nothing() {
    let mut rig = Rig::new(1, 1);
    rig.run(SECOND);
    assert_eq!(rig.owner_of(&duty(0)), Some(0));
    let again = LeaseHolder {
        incarnation: 8,
        ..owner(0)
    };
    let mut holder = HolderState::new(settings(), again, rig.now);
    for (d, s) in rig.grantor.ledger().duties() {
        let (duty, owner) = (d.clone(), s.holder.clone().unwrap());
        holder.handle(
            rig.now,
            holder::Input::Applied(Entry::Grant {
                lease: duty,
                holder: owner,
                term: s.term,
            }),
        );
    }
    assert_eq!(
        (
            holder.held_term(rig.now, &duty(0)),
            holder.held_leases().count()
        ),
        (None, 0)
    );
}

#[test]
fn work_moves_to_newcomers_one_duty_at_a_time() {
    let mut rig = Rig::new(2, 8);
    rig.run(5 * SECOND);
    rig.holders
        .push(HolderState::new(settings(), owner(2), rig.now));
    for (d, s) in rig
        .grantor
        .ledger()
        .duties()
        .map(|(d, s)| (d.clone(), s.clone()))
        .collect::<Vec<_>>()
    {
        let entry = Entry::Grant {
            lease: d,
            holder: s.holder.unwrap(),
            term: s.term,
        };
        rig.holders[2].handle(rig.now, holder::Input::Applied(entry));
    }
    rig.run(30 * SECOND);
    let owners: Vec<_> = (0..8)
        .map(|d| rig.owner_of(&duty(d)).expect("an owner"))
        .collect();
    let loads: Vec<usize> = (0..3)
        .map(|n| owners.iter().filter(|o| **o == n).count())
        .collect();
    assert!(loads.iter().all(|l| (2..=3).contains(l)), "{loads:?}");
    assert_eq!(rig.ended.len(), 2, "no more moved than had to");
}

#[test]
fn entries_that_do_not_follow_have_no_effect() {
    let mut ledger = LeaseTable::default();
    let grant = |n, term| Entry::Grant {
        lease: duty(0),
        holder: owner(n),
        term,
    };
    let back = |term| Entry::Released {
        lease: duty(0),
        term,
    };
    assert!(
        ledger.apply(&grant(1, 1)) && !ledger.apply(&grant(2, 1)) && !ledger.apply(&grant(2, 3))
    );
    assert!(!ledger.apply(&back(2)) && ledger.apply(&back(1)) && !ledger.apply(&back(1)));
    assert!(ledger.apply(&grant(2, 2)) && !ledger.apply(&back(1)));
    assert_eq!(ledger.record(&duty(0)).holder, Some(owner(2)));
}

#[test]
fn a_receiver_refuses_old_terms_and_says_why() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit(&duty(0), 0), Err(FenceError::NoTerm));
    assert_eq!(
        (fence.admit(&duty(0), 2), fence.admit(&duty(0), 2)),
        (Ok(true), Ok(false))
    );
    assert_eq!(
        fence.admit(&duty(0), 1),
        Err(FenceError::Stale { term: 1, seen: 2 })
    );
    assert_eq!(
        (fence.admit(&duty(1), 1), fence.seen(&duty(1))),
        (Ok(true), 1)
    );
    for n in 0..2 * fence::MAX_FENCED_LEASES {
        let _ = fence.admit(&duty(n), 1);
    }
    assert_eq!(fence.admit(&"one more".into(), 1), Err(FenceError::TooMany));
}

#[test]
fn who_asks_why_is_told() {
    let mut rig = Rig::new(1, 1);
    assert_eq!(rig.grantor.grant_reason(rig.now, &duty(0)), None);
    rig.cut.insert(0);
    rig.run(SECOND);
    assert_eq!(rig.grantor.grant_reason(rig.now, &duty(0)), None);
    rig.run(SECOND + 3_000);
    assert_eq!(
        rig.grantor.grant_reason(rig.now, &duty(0)),
        Some(GrantReason::WaitsOut)
    );
    rig.run(10 * SECOND);
    assert_eq!(
        rig.grantor.grant_reason(rig.now, &duty(0)),
        Some(GrantReason::NobodyOffers)
    );
}

/// Another may have led, and answered, between two words that this instance leads: its own count from before is worth nothing.
#[test]
fn a_leader_voted_out_and_in_again_unnoticed_waits_anew() {
    let mut rig = Rig::new(2, 1);
    let old = rig.owner_of(&duty(0)).unwrap();
    rig.cut.insert(old);
    // The other leader's answer, of which the first one knows nothing.
    rig.run(2 * SECOND);
    rig.holders[old].handle(rig.now, holder::Input::Tick);
    let ask = std::iter::from_fn(|| rig.holders[old].output()).find_map(|o| match o {
        Output::Renew(ask) => Some(ask),
        _ => None,
    });
    let ask = ask.expect("it goes on asking");
    let (renewed, recalled) = (vec![(duty(0), 1)], Vec::new());
    let answer = holder::RenewReply {
        to: owner(old),
        stamp: ask.stamp,
        renewed,
        recalled,
    };
    rig.holders[old].handle(rig.now, holder::Input::Reply(answer));
    assert_eq!(rig.may(old, &duty(0)), Some(1));
    rig.grantor.handle(rig.now, grantor::Input::BecameLeader);
    for _ in 0..80 {
        rig.run(SECOND / 10);
        // Asserts that no two may do it.
        rig.owner_of(&duty(0));
    }
    assert!(rig.owner_of(&duty(0)).is_some_and(|n| n != old));
}

/// Seed 1006 of `owners`: a process that was to end was granted its duty anew three milliseconds after it had given it back,
/// and ended with it.
#[test]
fn one_that_declines_gets_nothing_on_an_older_word_of_its() {
    let ask = |stamp, able, back: Vec<(LeaseName, Term)>| holder::RenewRequest {
        from: owner(0),
        stamp,
        eligible: able,
        held: vec![],
        released: back,
    };
    let mut grantor = LeaseGrantor::new(settings(), [duty(0)].into());
    grantor.handle(0, grantor::Input::BecameLeader);
    grantor.handle(0, grantor::Input::Renew(ask(1, true, vec![])));
    grantor.handle(2 * SECOND, grantor::Input::Renew(ask(2, true, vec![])));
    let grant = Entry::Grant {
        lease: duty(0),
        holder: owner(0),
        term: 1,
    };
    assert_eq!(
        grantor.output(),
        Some(grantor::Output::Propose(grant.clone()))
    );
    grantor.handle(2 * SECOND, grantor::Input::Applied(grant.clone()));
    grantor.handle(
        2 * SECOND + 1,
        grantor::Input::Renew(ask(4, false, vec![(duty(0), 1)])),
    );
    grantor.handle(2 * SECOND + 2, grantor::Input::Renew(ask(3, true, vec![])));
    let back = Entry::Released {
        lease: duty(0),
        term: 1,
    };
    assert_eq!(
        grantor.output(),
        Some(grantor::Output::Propose(back.clone()))
    );
    grantor.handle(2 * SECOND + 3, grantor::Input::Applied(back));
    assert_eq!(grantor.output(), None, "granted on a word that came late");
    // And the holder gives back what it is granted all the same.
    let mut holder = HolderState::new(settings(), owner(0), 0);
    holder.handle(0, holder::Input::SetEligible(false));
    while holder.output().is_some() {}
    holder.handle(SECOND, holder::Input::Applied(grant));
    let Some(Output::Renew(ask)) = holder.output() else {
        panic!("no word of it")
    };
    assert_eq!((ask.held, ask.released), (vec![], vec![(duty(0), 1)]));
}
