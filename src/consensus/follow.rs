//! Members that do not vote follow by asking: what one of them costs does not depend on how many there are.
//!
//! A follower asks one voter what has been agreed since; the answer waits at the voter until there is something, or for a
//! while. A voter that does not answer is left for the next. Effects that voters took are passed on the same way.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::state::{Entry, State};
use super::wire::{Forwarded, LeaseEffect, Poll};
use super::ReplicaId;
use crate::api::Micros;

/// Followers at one voter whose questions wait; further ones are answered at once.
pub const MAX_LEARNERS: usize = 2048;
/// Effects that are kept to be passed on; a follower that was away for longer gets the latest.
pub const MAX_FORWARDED_EFFECTS: usize = 64;
/// Entries in one answer.
pub const MAX_CATCH_UP_ENTRIES: u64 = 128;
/// How long an answer waits for something to tell.
const WAITS: Micros = 500_000;
/// Without an answer for this long, another voter is asked.
const SILENT: Micros = 2_000_000;

/// At a voter: whose questions wait, and what is passed on.
#[derive(Clone, Debug, Default)]
pub struct LearnerProgress {
    waits: BTreeMap<Arc<str>, (Poll, Micros)>,
    passed: VecDeque<LeaseEffect>,
    /// The number behind the last effect passed on.
    number: u64,
    /// Seats of followers that have one, by name: who may be made a voter.
    seats: BTreeMap<Arc<str>, ReplicaId>,
}

impl LearnerProgress {
    /// An effect was taken here.
    pub fn pass(&mut self, effect: LeaseEffect) {
        self.passed.push_back(effect);
        self.number += 1;
        if self.passed.len() > MAX_FORWARDED_EFFECTS {
            self.passed.pop_front();
        }
    }

    /// A follower asks. Its older question is answered by the new one's answer.
    pub fn asked(&mut self, now: Micros, name: &str, poll: Poll) {
        let name: Arc<str> = name.into();
        match poll.seat {
            Some(seat) if self.seats.len() < MAX_LEARNERS => {
                self.seats.insert(name.clone(), seat);
            }
            _ => drop(self.seats.remove(&name)),
        }
        let until = if self.waits.len() < MAX_LEARNERS {
            now + WAITS
        } else {
            now
        };
        self.waits.insert(name, (poll, until));
    }

    /// The seat that a follower has told of.
    pub fn seat(&self, name: &str) -> Option<ReplicaId> {
        self.seats.get(name).copied()
    }

    /// All seats that followers have told of.
    pub fn seats(&self) -> impl Iterator<Item = (&Arc<str>, ReplicaId)> {
        self.seats.iter().map(|(n, s)| (n, *s))
    }

    /// Whether a follower's question waits here.
    pub fn knows(&self, name: &str) -> bool {
        self.waits.contains_key(name)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waits.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// When the next answer is due, whatever there is to tell.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waits.values().map(|(_, until)| *until).min()
    }

    /// Those to be answered now, with what they asked.
    pub fn due(&mut self, now: Micros, process: u64, state: &State) -> Vec<(Arc<str>, Poll)> {
        let news = |p: &Poll| {
            p.generation != state.generation
                || p.applied != state.applied
                || p.passed != (process, self.number)
        };
        let due: Vec<Arc<str>> = self
            .waits
            .iter()
            .filter(|(_, (p, until))| now >= *until || news(p))
            .map(|(n, _)| n.clone())
            .collect();
        due.into_iter()
            .filter_map(|n| self.waits.remove(&n).map(|(p, _)| (n, p)))
            .collect()
    }

    /// What is passed on to one who has so much.
    pub fn since(&self, process: u64, poll: &Poll) -> Forwarded {
        let has = if poll.passed.0 == process {
            poll.passed.1.min(self.number)
        } else {
            0
        };
        let news = (self.number - has).min(self.passed.len() as u64) as usize;
        (
            process,
            self.number,
            self.passed
                .iter()
                .skip(self.passed.len() - news)
                .cloned()
                .collect(),
        )
    }
}

/// At a follower.
#[derive(Clone, Debug)]
pub struct Learner {
    state: State,
    passed: (u64, u64),
    voters: Vec<Arc<str>>,
    at: usize,
    asked: Option<Micros>,
    seat: Option<ReplicaId>,
}

/// What a follower learns from an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatchUp {
    /// Entries that were applied, and whether they took hold.
    pub applied: Vec<(u64, Entry, bool)>,
    /// Whether the state was replaced.
    pub restored: bool,
    /// Effects passed on.
    pub effects: Vec<LeaseEffect>,
}

impl Learner {
    /// One that knows nothing but whom to ask.
    pub fn new(voters: Vec<Arc<str>>, seat: Option<ReplicaId>, seed: u64) -> Learner {
        let at = (seed as usize).checked_rem(voters.len()).unwrap_or(0);
        Learner {
            state: State::default(),
            passed: (0, 0),
            voters,
            at,
            asked: None,
            seat,
        }
    }

    /// The state as far as it has heard.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whom it asks.
    pub fn asks(&self) -> Option<&Arc<str>> {
        self.voters.get(self.at)
    }

    /// When it has to be looked at again.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        self.asked.map_or(now, |t| t + SILENT)
    }

    /// The question to ask now, if one is due; and whether the voter asked before was silent.
    pub fn poll(&mut self, now: Micros) -> Option<(Poll, bool)> {
        let silent = self.asked.is_some_and(|t| now >= t + SILENT);
        if self.asked.is_some() && !silent {
            return None;
        }
        if silent {
            self.next_voter();
        }
        self.asked = Some(now);
        let (generation, applied) = (self.state.generation, self.state.applied);
        Some((
            Poll {
                generation,
                applied,
                passed: self.passed,
                seat: self.seat,
            },
            silent,
        ))
    }

    /// The connection to the voter that was asked has ended.
    pub fn lost(&mut self, now: Micros) {
        self.next_voter();
        // Not at once: all voters may be away, and refuse in turn.
        self.asked = Some(now.saturating_sub(SILENT * 9 / 10));
    }

    fn next_voter(&mut self) {
        self.at = (self.at + 1).checked_rem(self.voters.len()).unwrap_or(0);
    }

    /// An answer came with entries.
    pub fn entries(
        &mut self,
        generation: u32,
        entries: Vec<(u64, Entry)>,
        passed: Forwarded,
    ) -> CatchUp {
        self.asked = None;
        let mut news = CatchUp::default();
        if generation == self.state.generation {
            for (index, entry) in entries {
                // One asked for twice comes twice.
                if index == self.state.applied + 1 {
                    let held = self.state.apply(index, &entry);
                    news.applied.push((index, entry, held));
                }
            }
        }
        self.passed_on(passed, &mut news);
        news
    }

    /// An answer came with a state.
    pub fn restored(&mut self, state: State, passed: Forwarded) -> CatchUp {
        self.asked = None;
        let mut news = CatchUp::default();
        let newer = (state.generation, state.applied) > (self.state.generation, self.state.applied);
        if newer {
            self.state = state;
            news.restored = true;
        }
        self.passed_on(passed, &mut news);
        news
    }

    fn passed_on(&mut self, (process, number, effects): Forwarded, news: &mut CatchUp) {
        self.passed = (process, number);
        news.effects = effects;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::lease::ledger;

    const SECOND: Micros = 1_000_000;

    fn entry(term: u64) -> Entry {
        Entry::Lease(ledger::Entry::Grant {
            lease: "d".into(),
            holder: crate::lease::LeaseHolder {
                name: "a".into(),
                incarnation: 1,
            },
            term,
        })
    }

    fn effect(number: u64) -> LeaseEffect {
        LeaseEffect {
            lease: "d".into(),
            term: 1,
            holder: "a".into(),
            number,
            content: Vec::new(),
        }
    }

    #[test]
    fn a_silent_voter_is_left_for_the_next_and_one_question_is_out_at_a_time() {
        let mut f = Learner::new(vec!["a".into(), "b".into()], None, 0);
        assert!(f.poll(0).is_some() && f.poll(1).is_none());
        assert_eq!(&**f.asks().unwrap(), "a");
        assert!(f.poll(SILENT).is_some_and(|(_, silent)| silent));
        assert_eq!(&**f.asks().unwrap(), "b");
        f.entries(0, Vec::new(), (1, 0, Vec::new()));
        assert!(f.poll(SILENT + 1).is_some_and(|(_, silent)| !silent));
        f.lost(SILENT + 2);
        assert_eq!(&**f.asks().unwrap(), "a");
        assert!(f.poll(SILENT + 3).is_none(), "not at once: all may be away");
        assert!(f.poll(SILENT + SECOND).is_some());
    }

    #[test]
    fn entries_are_applied_once_and_in_order() {
        let mut f = Learner::new(vec!["a".into()], None, 0);
        let state = State {
            generation: 1,
            applied: 4,
            ..State::default()
        };
        assert!(f.restored(state.clone(), (1, 0, Vec::new())).restored);
        assert!(
            !f.restored(state, (1, 0, Vec::new())).restored,
            "the same again is no news"
        );
        let news = f.entries(
            1,
            vec![(4, entry(9)), (5, entry(1)), (7, entry(3))],
            (1, 0, Vec::new()),
        );
        assert_eq!(news.applied, [(5, entry(1), true)]);
        assert_eq!(
            f.entries(2, vec![(6, entry(2))], (1, 0, Vec::new()))
                .applied,
            [],
            "of another generation"
        );
        let older = State {
            generation: 1,
            applied: 3,
            ..State::default()
        };
        assert!(!f.restored(older, (1, 0, Vec::new())).restored);
    }

    #[test]
    fn an_answer_waits_for_news_and_no_longer_than_it_may() {
        let (mut v, state) = (
            LearnerProgress::default(),
            State {
                applied: 5,
                ..State::default()
            },
        );
        let poll = Poll {
            generation: 0,
            applied: 5,
            passed: (9, 0),
            seat: None,
        };
        v.asked(0, "f", poll.clone());
        assert!(v.due(1, 9, &state).is_empty());
        assert_eq!(v.next_deadline(), Some(WAITS));
        assert_eq!(v.due(WAITS, 9, &state).len(), 1);
        v.asked(0, "f", poll.clone());
        v.pass(effect(1));
        let due = v.due(1, 9, &state);
        assert_eq!(due.len(), 1);
        assert_eq!(v.since(9, &due[0].1), (9, 1, vec![effect(1)]));
        // One that has it, one of another process, and one that was away for long.
        assert_eq!(
            v.since(
                9,
                &Poll {
                    passed: (9, 1),
                    ..poll.clone()
                }
            )
            .2,
            []
        );
        assert_eq!(
            v.since(
                9,
                &Poll {
                    passed: (8, 70),
                    ..poll.clone()
                }
            )
            .2
            .len(),
            1
        );
        (2..200).for_each(|n| v.pass(effect(n)));
        let (_, number, passed) = v.since(9, &poll);
        assert_eq!(
            (number, passed.len(), passed[0].number),
            (199, MAX_FORWARDED_EFFECTS, 136)
        );
    }
}
