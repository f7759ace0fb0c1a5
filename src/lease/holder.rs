//! At each instance: which duties it may do now.

use std::collections::{BTreeMap, VecDeque};

use super::ledger::{Entry, LeaseTable};
use super::{LeaseHolder, LeaseName, Settings, Term};
use crate::api::Micros;

/// Questions whose answers still count; older ones are forgotten.
const MOST_ASKED: usize = 8;

/// What happens to a holder.
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry of the agreed log took hold.
    Applied(Entry),
    /// The state of all duties, in place of entries that were never seen here.
    Restored(LeaseTable),
    /// A grantor's answer.
    Reply(RenewReply),
    /// Whether the instance can do duties at all: not while it is cut off from its own zone, has no descriptors, drains.
    SetEligible(bool),
    /// A duty is to be given back: its own owner cannot do it, or it is to move.
    Release(LeaseName),
    /// A deadline fell due.
    Tick,
}

/// A question to whoever leads the log.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RenewRequest {
    /// Who asks.
    pub from: LeaseHolder,
    /// Which question; it means something to its asker alone.
    pub stamp: u64,
    /// Whether it would take duties.
    pub eligible: bool,
    /// The duties and terms for which it asks a lease.
    pub held: Vec<(LeaseName, Term)>,
    /// Those that it does not do any more.
    pub released: Vec<(LeaseName, Term)>,
}

/// The answer to a question.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RenewReply {
    /// Whom it is for.
    pub to: LeaseHolder,
    /// Which question it answers.
    pub stamp: u64,
    /// Of what was asked for, that of which the lease runs on.
    pub renewed: Vec<(LeaseName, Term)>,
    /// Those that are to be given back, as they are to move.
    pub recalled: Vec<(LeaseName, Term)>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// To whoever leads the log.
    Renew(RenewRequest),
    /// From now on the instance may act under this term.
    Began(LeaseName, Term),
    /// It may not any more; what is queued under it is taken back.
    Ended(LeaseName, Term),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    term: Term,
    /// Until when it may act; none before the first answer.
    until: Option<Micros>,
    /// Whether `Began` was told and `Ended` was not.
    acts: bool,
}

/// One instance's duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderState {
    settings: Settings,
    me: LeaseHolder,
    able: bool,
    held: BTreeMap<LeaseName, Held>,
    /// Given back, until the log says so.
    back: BTreeMap<LeaseName, Term>,
    /// When each question was asked, before it left.
    asked: VecDeque<(u64, Micros)>,
    stamp: u64,
    next: Micros,
    outputs: VecDeque<Output>,
}

impl HolderState {
    /// One that has nothing.
    pub fn new(settings: Settings, me: LeaseHolder, now: Micros) -> HolderState {
        HolderState {
            settings,
            me,
            able: true,
            held: BTreeMap::new(),
            back: BTreeMap::new(),
            asked: VecDeque::new(),
            stamp: 0,
            next: now,
            outputs: VecDeque::new(),
        }
    }

    /// Whose it is.
    pub fn me(&self) -> &LeaseHolder {
        &self.me
    }

    /// The term under which a duty may be done now, if it may. To be asked when an effect is decided on and again when its
    /// bytes are queued to leave: it looks at the clock and at nothing that a stopped process could have missed.
    pub fn held_term(&self, now: Micros, duty: &LeaseName) -> Option<Term> {
        let held = self.held.get(duty)?;
        held.until.filter(|until| now < *until).map(|_| held.term)
    }

    /// Whether an effect of this term may still leave.
    pub fn still_holds(&self, now: Micros, duty: &LeaseName, term: Term) -> bool {
        self.held_term(now, duty) == Some(term)
    }

    /// What it holds: the duty, its term, and until when it may act.
    pub fn held_leases(&self) -> impl Iterator<Item = (&LeaseName, Term, Option<Micros>)> {
        self.held.iter().map(|(d, h)| (d, h.term, h.until))
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Micros {
        let ends = self
            .held
            .values()
            .filter(|h| h.acts)
            .filter_map(|h| h.until)
            .min();
        ends.map_or(self.next, |e| e.min(self.next))
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Applied(Entry::Grant {
                lease: duty,
                holder: owner,
                term,
            }) => {
                self.back.remove(&duty);
                self.drop_held(&duty, |held| held < term);
                if owner == self.me {
                    // No lease runs yet: this may be heard of long after it was granted.
                    self.held.insert(
                        duty.clone(),
                        Held {
                            term,
                            until: None,
                            acts: false,
                        },
                    );
                    self.next = now;
                    // Granted on an older word of its.
                    if !self.able {
                        self.give_back(now, &duty);
                    }
                }
            }
            Input::Applied(Entry::Released { lease: duty, term }) => {
                self.back.remove(&duty);
                self.drop_held(&duty, |held| held <= term);
            }
            Input::Restored(ledger) => self.restored(now, &ledger),
            Input::Reply(answer) => self.answered(now, answer),
            Input::SetEligible(able) => {
                if std::mem::replace(&mut self.able, able) != able {
                    self.next = now;
                }
                if !able {
                    let all: Vec<LeaseName> = self.held.keys().cloned().collect();
                    all.into_iter().for_each(|d| self.give_back(now, &d));
                }
            }
            Input::Release(duty) => self.give_back(now, &duty),
            Input::Tick => {}
        }
        self.tick(now);
    }

    /// What it holds by the same term runs on; all else ends, or begins without a lease.
    fn restored(&mut self, now: Micros, ledger: &LeaseTable) {
        let mine = |d: &LeaseName| {
            Some(ledger.record(d))
                .filter(|s| s.holder.as_ref() == Some(&self.me))
                .map(|s| s.term)
        };
        let gone: Vec<LeaseName> = self
            .held
            .iter()
            .filter(|(d, h)| mine(d) != Some(h.term))
            .map(|(d, _)| d.clone())
            .collect();
        gone.iter().for_each(|d| self.drop_held(d, |_| true));
        self.back.retain(|d, t| {
            ledger.record(d).term == *t && ledger.record(d).holder.as_ref() == Some(&self.me)
        });
        for (duty, stands) in ledger.duties() {
            let back = self.back.contains_key(duty);
            if stands.holder.as_ref() == Some(&self.me) && !self.held.contains_key(duty) && !back {
                self.held.insert(
                    duty.clone(),
                    Held {
                        term: stands.term,
                        until: None,
                        acts: false,
                    },
                );
                self.next = now;
            }
        }
    }

    fn answered(&mut self, now: Micros, answer: RenewReply) {
        let Some(at) = self.asked.iter().position(|(s, _)| *s == answer.stamp) else {
            return;
        };
        if answer.to != self.me {
            return;
        }
        // What was asked before is answered by this one, or lost.
        let Some((_, asked)) = self.asked.drain(..=at).next_back() else {
            return;
        };
        for (duty, term) in answer.renewed {
            let Some(held) = self.held.get_mut(&duty).filter(|h| h.term == term) else {
                continue;
            };
            // From before the question left. An answer that comes late gives what is left of it, or nothing.
            let until = asked + self.settings.duration;
            held.until = Some(held.until.map_or(until, |u| u.max(until)));
            if now < until && !std::mem::replace(&mut held.acts, true) {
                self.outputs.push_back(Output::Began(duty, term));
            }
        }
        for (duty, term) in answer.recalled {
            if self.held.get(&duty).is_some_and(|h| h.term == term) {
                self.give_back(now, &duty);
            }
        }
    }

    /// Stops acting first, and then says so.
    fn give_back(&mut self, now: Micros, duty: &LeaseName) {
        let Some(term) = self.held.get(duty).map(|h| h.term) else {
            return;
        };
        self.drop_held(duty, |_| true);
        self.back.insert(duty.clone(), term);
        self.next = now;
    }

    fn drop_held(&mut self, duty: &LeaseName, ends: impl Fn(Term) -> bool) {
        if self.held.get(duty).is_some_and(|h| ends(h.term)) {
            if let Some(h) = self.held.remove(duty).filter(|h| h.acts) {
                self.outputs.push_back(Output::Ended(duty.clone(), h.term));
            }
        }
    }

    fn tick(&mut self, now: Micros) {
        for (duty, held) in &mut self.held {
            if held.acts && held.until.is_none_or(|u| now >= u) {
                held.acts = false;
                self.outputs
                    .push_back(Output::Ended(duty.clone(), held.term));
            }
        }
        if now < self.next {
            return;
        }
        self.next = now + self.settings.renew_interval();
        self.stamp += 1;
        self.asked.push_back((self.stamp, now));
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_front();
        }
        let holds = self.held.iter().map(|(d, h)| (d.clone(), h.term)).collect();
        let back = self.back.iter().map(|(d, t)| (d.clone(), *t)).collect();
        let (from, stamp, able) = (self.me.clone(), self.stamp, self.able);
        self.outputs.push_back(Output::Renew(RenewRequest {
            from,
            stamp,
            eligible: able,
            held: holds,
            released: back,
        }));
    }
}
