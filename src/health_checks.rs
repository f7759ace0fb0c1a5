//! The duty `trials`: one gateway tries a worker that does not answer, for all of them.
//!
//! Each gateway notes how its own calls end. One to which a worker gave no answer tells the owner; the owner tries the worker
//! by itself, and if that fails too tells all that it is ill, tries on ever more seldom, and tells all when it answers. What the others are
//! told goes to the decision module as rumours do: an ill worker comes last in the walk for a while, a well one may be tried
//! at once. When nobody owns the duty, or the owner cannot be reached, nothing is told, what was told ends by itself, and each
//! gateway goes by what it sees, as it does without.
//!
//! It does no harm late or twice: a trial is a ping, and a verdict only moves a worker in the walk for [`VALID`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{Micros, WorkerId};
use crate::membership::group::Observed;

/// The duty's name.
pub const NAME: &str = "trials";
/// Answers that failed to come in a row before the owner is told. One: in a large fleet each gateway meets a silent worker
/// once, and the owner's ping tells whether there is anything to it.
const STRIKES: u32 = 1;
/// The same before an owner takes a worker for ill by its own calls, when it asks whether it is itself that is cut off.
const SURELY: u32 = 2;
/// The time before the first trial, and after each that fails: it doubles up to 16 times this. The module's bench is the same.
const FIRST: Micros = 250_000;
const MOST_DOUBLED: u32 = 4;
/// A trial without an answer by then has failed.
const ANSWERS: Micros = 500_000;
/// How often the owner says again which workers are ill: a gateway that has just begun hears of them, too.
const TELLS: Micros = 1_000_000;
/// How long a verdict counts after it was heard: three may get lost.
pub const VALID: Micros = 4_000_000;
/// How often the owner is told of the same worker.
const TOLD: Micros = 1_000_000;
/// Workers that are kept as ill; further ones are left to each gateway's own way.
const MOST_ILL: usize = 256;
/// From how many workers on an owner that finds more than half of them ill holds itself for the one that is.
const FEW: usize = 4;

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An own attempt ended.
    Outcome(WorkerId, Observed),
    /// The workers that are ready.
    Ready(BTreeSet<WorkerId>),
    /// Whether this gateway owns the duty.
    Owns(bool),
    /// Another gateway, by this name, got no answer from a worker.
    Heard(WorkerId),
    /// The owner says of workers whether they are ill.
    Verdicts(Vec<(WorkerId, bool)>),
    /// An own trial has ended: whether it was answered.
    Tried(WorkerId, bool),
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tell the owner.
    Report(WorkerId),
    /// Try a worker.
    Try(WorkerId),
    /// Tell all which are ill, and which are well again.
    Tell(Vec<(WorkerId, bool)>),
    /// Tell the decision module: ill until then, or well.
    Advise(WorkerId, Option<Micros>),
    /// Whether this gateway can do the duty.
    Able(bool),
}

#[derive(Clone, Debug)]
struct Ill {
    next: Micros,
    failed: u32,
    trying: Option<Micros>,
}

/// One gateway's part.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    owns: bool,
    ready: BTreeSet<WorkerId>,
    /// Own attempts without an answer in a row, and when the owner was told of it last.
    bad: BTreeMap<WorkerId, (u32, Micros)>,
    ill: BTreeMap<WorkerId, Ill>,
    /// What the owner said last, and until when it counts.
    told: BTreeMap<WorkerId, Micros>,
    able: Option<bool>,
    /// When the owner says again which are ill.
    tells: Option<Micros>,
    /// Trials made.
    pub trials: u64,
    outputs: VecDeque<Output>,
}

impl Trials {
    /// Workers held for ill: by its own trials as the owner, or as it was told.
    pub fn ill(&self) -> impl Iterator<Item = WorkerId> + '_ {
        let told = self.told.keys().filter(|w| !self.ill.contains_key(w));
        self.ill.keys().chain(told).copied()
    }

    /// When `Tick` is due, if ever.
    pub fn next_deadline(&self) -> Option<Micros> {
        let tries = self
            .ill
            .values()
            .map(|i| i.trying.map_or(i.next, |t| t + ANSWERS));
        tries
            .chain(self.told.values().copied())
            .chain(self.tells)
            .min()
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Outcome(worker, Observed::Answered) => {
                self.bad.remove(&worker);
                if self.ill.contains_key(&worker) {
                    self.well(worker);
                }
                // What one has seen oneself counts more than what one was told.
                if self.told.remove(&worker).is_some() {
                    self.outputs.push_back(Output::Advise(worker, None));
                }
            }
            Input::Outcome(worker, _) => self.failed(now, worker),
            Input::Ready(ready) => {
                self.bad.retain(|w, _| ready.contains(w));
                self.ill.retain(|w, _| ready.contains(w));
                self.told.retain(|w, _| ready.contains(w));
                self.ready = ready;
            }
            Input::Owns(owns) => {
                self.owns = owns;
                // Nothing is left that could be told late; who owns it next goes on with what all were told.
                self.ill.clear();
                let told: Vec<WorkerId> = self.told.keys().copied().filter(|_| owns).collect();
                told.into_iter().for_each(|w| self.falls_ill(now, w));
            }
            Input::Heard(worker) => {
                if self.owns {
                    self.falls_ill(now, worker);
                }
            }
            Input::Verdicts(verdicts) => {
                for (worker, ill) in verdicts.into_iter().filter(|(w, _)| self.ready.contains(w)) {
                    let until = now + VALID;
                    match ill {
                        true => drop(self.told.insert(worker, until)),
                        false => drop(self.told.remove(&worker)),
                    }
                    self.bad.remove(&worker);
                    self.outputs
                        .push_back(Output::Advise(worker, ill.then_some(until)));
                }
            }
            Input::Tried(worker, answered) => {
                if self.ill.get(&worker).is_some_and(|i| i.trying.is_some()) {
                    self.tried(now, worker, answered);
                }
            }
            Input::Tick => {}
        }
        self.tick(now);
        self.look_at_self();
    }

    fn failed(&mut self, now: Micros, worker: WorkerId) {
        if !self.ready.contains(&worker) {
            return;
        }
        let (count, told) = self.bad.entry(worker).or_default();
        *count = count.saturating_add(1);
        if *count < STRIKES || *told > 0 && now < *told + TOLD {
            return;
        }
        *told = now.max(1);
        if self.owns {
            self.falls_ill(now, worker);
        } else {
            self.outputs.push_back(Output::Report(worker));
        }
    }

    fn falls_ill(&mut self, now: Micros, worker: WorkerId) {
        if !self.ready.contains(&worker)
            || self.ill.contains_key(&worker)
            || self.ill.len() >= MOST_ILL
        {
            return;
        }
        // Not told before it was tried: another's word alone may be a fault of its own.
        self.ill.insert(
            worker,
            Ill {
                next: now,
                failed: 0,
                trying: None,
            },
        );
    }

    fn well(&mut self, worker: WorkerId) {
        if self.ill.remove(&worker).is_some_and(|i| i.failed > 0) {
            self.outputs.push_back(Output::Tell(vec![(worker, false)]));
            self.outputs.push_back(Output::Advise(worker, None));
        }
    }

    fn tried(&mut self, now: Micros, worker: WorkerId, answered: bool) {
        if answered {
            return self.well(worker);
        }
        let Some(ill) = self.ill.get_mut(&worker) else {
            return;
        };
        ill.next = now + (FIRST << ill.failed.min(MOST_DOUBLED));
        ill.failed = ill.failed.saturating_add(1);
        ill.trying = None;
        if ill.failed == 1 {
            self.outputs.push_back(Output::Tell(vec![(worker, true)]));
        }
        self.outputs.push_back(Output::Advise(
            worker,
            Some(now + VALID + (FIRST << MOST_DOUBLED)),
        ));
    }

    fn tick(&mut self, now: Micros) {
        let late: Vec<WorkerId> = self
            .ill
            .iter()
            .filter(|(_, i)| i.trying.is_some_and(|t| now >= t + ANSWERS))
            .map(|(w, _)| *w)
            .collect();
        late.into_iter().for_each(|w| self.tried(now, w, false));
        for (worker, ill) in &mut self.ill {
            if ill.trying.is_none() && now >= ill.next {
                ill.trying = Some(now);
                self.trials += 1;
                self.outputs.push_back(Output::Try(*worker));
            }
        }
        self.told.retain(|_, until| now < *until);
        let ill: Vec<(WorkerId, bool)> = self
            .ill
            .iter()
            .filter(|(_, i)| i.failed > 0)
            .map(|(w, _)| (*w, true))
            .collect();
        if ill.is_empty() {
            self.tells = None;
        } else if now >= *self.tells.get_or_insert(now + TELLS) {
            self.tells = Some(now + TELLS);
            self.outputs.push_back(Output::Tell(ill));
        }
    }

    /// One that finds more than half of all workers ill is likelier to be cut off itself.
    fn look_at_self(&mut self) {
        let bad = |w: &&WorkerId| {
            self.bad.get(w).is_some_and(|(n, _)| *n >= SURELY)
                || self.ill.get(w).is_some_and(|i| i.failed > 0)
        };
        let able =
            self.ready.len() < FEW || 2 * self.ready.iter().filter(bad).count() <= self.ready.len();
        if self.able.replace(able) != Some(able) {
            self.outputs.push_back(Output::Able(able));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    fn drained(t: &mut Trials) -> Vec<Output> {
        std::iter::from_fn(|| t.output())
            .filter(|o| !matches!(o, Output::Able(true)))
            .collect()
    }

    fn begun(owns: bool, workers: u32) -> Trials {
        let mut t = Trials::default();
        t.handle(0, Input::Ready((0..workers).map(WorkerId).collect()));
        t.handle(0, Input::Owns(owns));
        drained(&mut t);
        t
    }

    #[test]
    fn one_without_an_answer_is_told_to_the_owner_and_not_again_at_once() {
        let (mut t, w) = (begun(false, 3), WorkerId(1));
        t.handle(1, Input::Outcome(w, Observed::Answered));
        assert_eq!(drained(&mut t), []);
        t.handle(5, Input::Outcome(w, Observed::Refused));
        assert_eq!(drained(&mut t), [Output::Report(w)]);
        t.handle(5 + TOLD, Input::Outcome(w, Observed::Refused));
        assert_eq!(drained(&mut t), [Output::Report(w)]);
    }

    #[test]
    fn the_owner_tries_before_it_tells_and_ever_more_seldom() {
        let (mut t, w) = (begun(true, 3), WorkerId(1));
        t.handle(0, Input::Heard(w));
        t.handle(0, Input::Heard(w));
        assert_eq!(drained(&mut t), [Output::Try(w)]);
        t.handle(10 * MS, Input::Tried(w, true));
        assert_eq!(
            drained(&mut t),
            [],
            "it answered: another's word was its own fault"
        );
        let mut tries = Vec::new();
        t.handle(20 * MS, Input::Heard(w));
        for now in (20..20_000).map(|n| n * MS) {
            t.handle(now, Input::Tick);
            tries.extend(drained(&mut t).contains(&Output::Try(w)).then_some(now));
        }
        let pauses: Vec<Micros> = tries.windows(2).map(|t| t[1] - t[0] - ANSWERS).collect();
        assert_eq!(
            pauses[..5],
            [250, 500, 1_000, 2_000, 4_000].map(|ms| ms * MS)
        );
        t.handle(30_000 * MS, Input::Outcome(w, Observed::Answered));
        assert_eq!(
            drained(&mut t),
            [Output::Tell(vec![(w, false)]), Output::Advise(w, None)]
        );
    }

    #[test]
    fn the_owner_says_again_which_are_ill_until_they_are_well() {
        let (mut t, w) = (begun(true, 3), WorkerId(1));
        t.handle(0, Input::Heard(w));
        let (mut now, mut told) = (0, Vec::new());
        while now < 10_000 * MS {
            now += 10 * MS;
            t.handle(now, Input::Tick);
            told.extend(
                drained(&mut t)
                    .into_iter()
                    .filter(|o| matches!(o, Output::Tell(_)))
                    .map(|o| (now, o)),
            );
        }
        assert!(told
            .iter()
            .all(|(_, o)| *o == Output::Tell(vec![(w, true)])));
        assert!(
            told.windows(2).all(|t| t[1].0 - t[0].0 <= TELLS) && told.len() >= 9,
            "{told:?}"
        );
        const { assert!(3 * TELLS < VALID) };
        t.handle(now, Input::Outcome(w, Observed::Answered));
        drained(&mut t);
        now += 10_000 * MS;
        t.handle(now, Input::Tick);
        let said = drained(&mut t);
        assert!(!said.contains(&Output::Tell(vec![(w, true)])), "{said:?}");
    }

    #[test]
    fn what_was_told_ends_by_itself_and_gives_way_to_what_one_sees() {
        let (mut t, w) = (begun(false, 3), WorkerId(1));
        t.handle(0, Input::Verdicts(vec![(w, true), (WorkerId(99), true)]));
        assert_eq!(
            drained(&mut t),
            [Output::Advise(w, Some(VALID))],
            "a worker that is not listed is passed over"
        );
        assert_eq!(t.ill().collect::<Vec<_>>(), [w]);
        t.handle(VALID, Input::Tick);
        assert_eq!(t.ill().count(), 0);
        t.handle(VALID, Input::Verdicts(vec![(w, true)]));
        drained(&mut t);
        t.handle(VALID + 1, Input::Outcome(w, Observed::Answered));
        assert_eq!(drained(&mut t), [Output::Advise(w, None)]);
    }

    #[test]
    fn one_that_finds_most_workers_ill_gives_the_duty_up() {
        let mut t = begun(true, 6);
        for n in 0..4 {
            t.handle(n, Input::Heard(WorkerId(n as u32)));
            t.handle(n, Input::Tried(WorkerId(n as u32), false));
        }
        assert!(drained(&mut t).contains(&Output::Able(false)));
        t.handle(9, Input::Outcome(WorkerId(0), Observed::Answered));
        let told: Vec<Output> = std::iter::from_fn(|| t.output()).collect();
        assert!(told.contains(&Output::Able(true)));
    }

    #[test]
    fn the_next_owner_goes_on_with_what_all_were_told() {
        let (mut t, w) = (begun(false, 3), WorkerId(1));
        t.handle(0, Input::Verdicts(vec![(w, true)]));
        t.handle(MS, Input::Owns(true));
        assert!(drained(&mut t).contains(&Output::Try(w)));
        t.handle(2 * MS, Input::Tried(w, false));
        assert!(drained(&mut t).contains(&Output::Tell(vec![(w, true)])));
    }

    #[test]
    fn an_owner_that_was_forgets_what_it_would_have_told() {
        let mut t = begun(true, 3);
        t.handle(0, Input::Heard(WorkerId(1)));
        drained(&mut t);
        t.handle(1, Input::Owns(false));
        t.handle(10_000 * MS, Input::Tried(WorkerId(1), false));
        t.handle(20_000 * MS, Input::Tick);
        assert_eq!(drained(&mut t), []);
    }
}
