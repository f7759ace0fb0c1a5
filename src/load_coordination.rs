//! The duties `loads-0`, `loads-1`, ...: which gateway orders a copy that several would order.
//!
//! Functions are in shards, and the owner of a shard says who orders. A gateway whose decision module orders a copy at a worker
//! asks first; the owner lets the first who asks order it, and tells all once the copy stands, so that the others need no order
//! of their own. Each order is still one of the gateway that gives it, within its own allowance, to a worker that its own module
//! chose under the rules for cold and drained workers. Who gets no answer within [`WAITS`] orders by itself, as without.
//!
//! It does no harm late or twice: an order for a copy that stands or loads already counts for nothing at the worker.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::{FunctionId, Micros, WorkerId};
use crate::lease::LeaseName;

/// What the duties' names begin with; a number follows.
pub const PREFIX: &str = "loads-";
/// How long an order waits for the owner's word at most.
pub const WAITS: Micros = 60_000;
/// How long it waits for a copy that another orders, once the owner has said so: no longer than a call can.
const LOADS: Micros = 600_000;
/// The longest that an order leaves after it was decided on.
pub const LONGEST: Micros = WAITS + LOADS;
/// How long an owner that said nothing is not asked again, unless it is heard of.
const QUIET: Micros = 5_000_000;
/// How long a copy is taken for standing after that was told: less than workers keep an idle one.
const STANDS: Micros = 4_000_000;
/// Copies that are remembered, and orders that wait; further ones are ordered as without.
const MOST: usize = 4096;

/// A worker and a function.
pub type CopyKey = (WorkerId, FunctionId);

/// What is said between a gateway and a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Word {
    /// To the owner: this gateway would order a copy there.
    Wants(u32, u64),
    /// To the owner: its order has ended, with so many copies.
    Ended(u32, u64, u32),
    /// To all: this gateway orders it.
    Orders(u32, u64, Arc<str>),
    /// To all: so many copies stand.
    Stands(u32, u64, u32),
}

impl Word {
    fn home(&self) -> CopyKey {
        let (Word::Wants(w, f)
        | Word::Ended(w, f, _)
        | Word::Orders(w, f, _)
        | Word::Stands(w, f, _)) = self;
        (WorkerId(*w), FunctionId(*f))
    }
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The module orders a copy; its number.
    Order(u64, CopyKey),
    /// The module needs that order no more.
    Forget(u64),
    /// An order that was given has ended, with so many copies.
    Ended(u64, u32),
    /// Whether this gateway owns a shard.
    Owns(LeaseName, bool),
    /// Whether anybody does, as far as is known.
    Owned(LeaseName, bool),
    /// Another gateway's word to the owner.
    Heard(Arc<str>, Word),
    /// The owner's word to all.
    Told(Word),
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Give the order.
    Give(u64),
    /// The order need not be given: so many copies stand.
    Stands(u64, u32),
    /// Tell a shard's owner.
    Report(LeaseName, Word),
    /// Tell all, as a shard's owner.
    Tell(LeaseName, Word),
}

#[derive(Clone, Debug)]
struct Waits {
    numbers: BTreeSet<u64>,
    until: Micros,
    /// Whether the owner has said nothing yet.
    asked: bool,
}

/// One gateway's part.
#[derive(Clone, Debug)]
pub struct Loads {
    me: Arc<str>,
    shards: Vec<LeaseName>,
    owns: BTreeSet<LeaseName>,
    owned: BTreeSet<LeaseName>,
    /// Orders that wait, by what they are for.
    waits: BTreeMap<CopyKey, Waits>,
    /// Shards whose owner said nothing when it was asked, and until when it is not asked again.
    quiet: BTreeMap<LeaseName, Micros>,
    /// Orders given with the owner's leave.
    given: BTreeMap<u64, CopyKey>,
    /// Who orders, as the owner said, and until when that is believed.
    ordered: BTreeMap<CopyKey, (Arc<str>, Micros)>,
    /// Copies that stand, as the owner said, and until when that is believed.
    stands: BTreeMap<CopyKey, (u32, Micros)>,
    /// Orders that were not given, as another's copy stood.
    pub spared: u64,
    outputs: VecDeque<Output>,
}

impl Loads {
    /// One for the shards of the operator's list; none if there are none.
    pub fn new(me: Arc<str>, duties: &BTreeSet<LeaseName>) -> Option<Loads> {
        let shards: Vec<LeaseName> = duties
            .iter()
            .filter(|d| d.starts_with(PREFIX))
            .cloned()
            .collect();
        (!shards.is_empty()).then(|| Loads {
            me,
            shards,
            owns: BTreeSet::new(),
            owned: BTreeSet::new(),
            waits: BTreeMap::new(),
            quiet: BTreeMap::new(),
            given: BTreeMap::new(),
            ordered: BTreeMap::new(),
            stands: BTreeMap::new(),
            spared: 0,
            outputs: VecDeque::new(),
        })
    }

    /// The shard of a function: the same at every gateway with the same list.
    pub fn shard(&self, function: FunctionId) -> &LeaseName {
        let mixed = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        &self.shards[(mixed % self.shards.len() as u64) as usize]
    }

    /// When `Tick` is due, if ever.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waits.values().map(|w| w.until).min()
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Order(number, home) => self.order(now, number, home),
            Input::Forget(number) => {
                self.waits.retain(|_, w| {
                    w.numbers.remove(&number);
                    !w.numbers.is_empty()
                });
                self.given.remove(&number);
            }
            Input::Ended(number, copies) => {
                if let Some(home) = self.given.remove(&number) {
                    let word = Word::Ended(home.0 .0, home.1 .0, copies);
                    self.tell_owner(now, home, word);
                }
            }
            Input::Owns(duty, owns) => {
                if owns {
                    self.owns.insert(duty);
                } else {
                    self.owns.remove(&duty);
                }
            }
            Input::Owned(duty, owned) => {
                if owned {
                    self.owned.insert(duty);
                } else {
                    self.owned.remove(&duty);
                }
            }
            Input::Heard(from, word) => {
                if self.owns.contains(self.shard(word.home().1)) {
                    self.heard(now, &from, word);
                }
            }
            Input::Told(word) => self.told(now, word),
            Input::Tick => {}
        }
        let late: Vec<CopyKey> = self
            .waits
            .iter()
            .filter(|(_, w)| now >= w.until)
            .map(|(h, _)| *h)
            .collect();
        for home in late {
            if self.waits.get(&home).is_some_and(|w| w.asked) {
                // Without a majority, or with the owner cut off, orders go on as without it.
                let shard = self.shard(home.1).clone();
                self.quiet.insert(shard, now + QUIET);
            }
            self.give(home, false);
        }
    }

    fn order(&mut self, now: Micros, number: u64, home: CopyKey) {
        let shard = self.shard(home.1).clone();
        self.ordered.retain(|_, (_, until)| now < *until);
        self.stands.retain(|_, (_, until)| now < *until);
        let quiet = self.quiet.get(&shard).is_some_and(|until| now < *until);
        if !self.owned.contains(&shard) || quiet || self.waits.len() >= MOST {
            return self.outputs.push_back(Output::Give(number));
        }
        if let Some((copies, _)) = self.stands.get(&home) {
            self.spared += 1;
            return self.outputs.push_back(Output::Stands(number, *copies));
        }
        let known = self
            .ordered
            .get(&home)
            .filter(|(who, _)| *who != self.me)
            .map(|(_, until)| *until);
        let first = !self.waits.contains_key(&home);
        let until = known.unwrap_or(now + WAITS);
        let asked = known.is_none();
        self.waits
            .entry(home)
            .or_insert(Waits {
                numbers: BTreeSet::new(),
                until,
                asked,
            })
            .numbers
            .insert(number);
        if first && known.is_none() {
            self.tell_owner(now, home, Word::Wants(home.0 .0, home.1 .0));
        }
    }

    fn tell_owner(&mut self, now: Micros, home: CopyKey, word: Word) {
        let shard = self.shard(home.1).clone();
        if self.owns.contains(&shard) {
            let me = self.me.clone();
            self.heard(now, &me, word);
        } else {
            self.outputs.push_back(Output::Report(shard, word));
        }
    }

    /// As the owner.
    fn heard(&mut self, now: Micros, from: &Arc<str>, word: Word) {
        let home = word.home();
        let (w, f) = (home.0 .0, home.1 .0);
        let ordered = self.ordered.get(&home).filter(|(_, until)| now < *until);
        match word {
            Word::Wants(..) => match self.stands.get(&home).filter(|(_, until)| now < *until) {
                Some((copies, _)) => self.tell(now, Word::Stands(w, f, *copies)),
                // Who asks now has not heard yet that somebody does; from who does it is a second order.
                None => {
                    let who = ordered.map_or(from, |(who, _)| who).clone();
                    self.tell(now, Word::Orders(w, f, who));
                }
            },
            // Without a copy nobody waits any longer either: each goes on by itself.
            Word::Ended(_, _, copies) => self.tell(now, Word::Stands(w, f, copies)),
            // Said by owners alone.
            Word::Orders(..) | Word::Stands(..) => {}
        }
    }

    fn tell(&mut self, now: Micros, word: Word) {
        let shard = self.shard(word.home().1).clone();
        self.outputs.push_back(Output::Tell(shard, word.clone()));
        self.told(now, word);
    }

    fn told(&mut self, now: Micros, word: Word) {
        let home = word.home();
        let shard = self.shard(home.1).clone();
        self.quiet.remove(&shard);
        match word {
            Word::Orders(_, _, who) => {
                let until = self
                    .ordered
                    .get(&home)
                    .filter(|(w, _)| *w == who)
                    .map_or(now + LOADS, |(_, t)| *t);
                if self.ordered.len() < MOST {
                    self.ordered.insert(home, (who.clone(), until));
                }
                if who == self.me {
                    self.give(home, true);
                } else if let Some(w) = self.waits.get_mut(&home) {
                    (w.until, w.asked) = (until, false);
                }
            }
            Word::Stands(_, _, copies) => {
                self.ordered.remove(&home);
                if copies == 0 {
                    return self.give(home, false);
                }
                if self.stands.len() < MOST {
                    self.stands.insert(home, (copies, now + STANDS));
                }
                for number in self.waits.remove(&home).into_iter().flat_map(|w| w.numbers) {
                    self.spared += 1;
                    self.outputs.push_back(Output::Stands(number, copies));
                }
            }
            Word::Wants(..) | Word::Ended(..) => {}
        }
    }

    /// What waits there is ordered; with the owner's leave, so that it is told of the end.
    fn give(&mut self, home: CopyKey, leave: bool) {
        for number in self.waits.remove(&home).into_iter().flat_map(|w| w.numbers) {
            if leave && self.given.len() < MOST {
                self.given.insert(number, home);
            }
            self.outputs.push_back(Output::Give(number));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOME: CopyKey = (WorkerId(3), FunctionId(70));

    fn shards(n: usize) -> BTreeSet<LeaseName> {
        (0..n)
            .map(|i| format!("{PREFIX}{i}").into())
            .chain(["trials".into()])
            .collect()
    }

    fn drained(l: &mut Loads) -> Vec<Output> {
        std::iter::from_fn(|| l.output()).collect()
    }

    fn begun(name: &str, owns: bool) -> Loads {
        let mut l = Loads::new(name.into(), &shards(4)).unwrap();
        for shard in l.shards.clone() {
            l.handle(0, Input::Owned(shard.clone(), true));
            l.handle(0, Input::Owns(shard, owns));
        }
        l
    }

    /// Carries what one says to the owner and what the owner says to all, until nothing is left.
    fn talk(all: &mut [Loads], owner: usize, now: Micros) -> Vec<(usize, Output)> {
        let mut rest = Vec::new();
        loop {
            let Some((n, output)) = (0..all.len()).find_map(|n| all[n].output().map(|o| (n, o)))
            else {
                return rest;
            };
            match output {
                Output::Report(_, word) => {
                    let from = all[n].me.clone();
                    all[owner].handle(now, Input::Heard(from, word));
                }
                Output::Tell(_, word) => {
                    for other in (0..all.len()).filter(|o| *o != n).collect::<Vec<_>>() {
                        all[other].handle(now, Input::Told(word.clone()));
                    }
                }
                other => rest.push((n, other)),
            }
        }
    }

    #[test]
    fn of_many_that_want_a_copy_one_orders_it_and_the_others_hear_that_it_stands() {
        let mut all: Vec<Loads> = (0..20).map(|n| begun(&format!("n{n}"), n == 4)).collect();
        for (n, l) in all.iter_mut().enumerate() {
            l.handle(10, Input::Order(n as u64, HOME));
        }
        let mut given = talk(&mut all, 4, 11);
        assert_eq!(given.len(), 1, "{given:?}");
        let Some((who, Output::Give(number))) = given.pop() else {
            panic!("no order")
        };
        all[who].handle(300_000, Input::Ended(number, 1));
        let told = talk(&mut all, 4, 300_001);
        assert!(
            told.len() == 19 && told.iter().all(|(_, o)| matches!(o, Output::Stands(_, 1))),
            "{told:?}"
        );
        assert_eq!(all.iter().map(|l| l.spared).sum::<u64>(), 19);
        // One that wants it a little later needs no order either; much later it does.
        all[0].handle(400_000, Input::Order(77, HOME));
        assert_eq!(talk(&mut all, 4, 400_000), [(0, Output::Stands(77, 1))]);
        all[0].handle(400_000 + STANDS, Input::Order(78, HOME));
        assert_eq!(talk(&mut all, 4, 400_000 + STANDS), [(0, Output::Give(78))]);
    }

    #[test]
    fn without_an_owner_or_its_word_each_orders_by_itself() {
        let mut l = begun("a", false);
        l.handle(0, Input::Order(1, HOME));
        assert!(matches!(
            drained(&mut l)[..],
            [Output::Report(_, Word::Wants(3, 70))]
        ));
        assert_eq!(l.next_deadline(), Some(WAITS));
        l.handle(WAITS, Input::Tick);
        assert_eq!(drained(&mut l), [Output::Give(1)]);
        // It is not asked again at once, but once it is heard of.
        l.handle(WAITS + 1, Input::Order(8, HOME));
        assert_eq!(drained(&mut l), [Output::Give(8)]);
        l.handle(WAITS + 2, Input::Told(Word::Stands(9, 70, 1)));
        l.handle(WAITS + 3, Input::Order(9, HOME));
        assert!(matches!(drained(&mut l)[..], [Output::Report(..)]));
        l.handle(WAITS + 4, Input::Forget(9));
        let shard = l.shard(HOME.1).clone();
        l.handle(0, Input::Owned(shard, false));
        l.handle(0, Input::Order(2, HOME));
        assert_eq!(drained(&mut l), [Output::Give(2)]);
        assert!(Loads::new("a".into(), &BTreeSet::from(["trials".into()])).is_none());
    }

    #[test]
    fn one_whose_copy_does_not_come_holds_nobody_longer_than_stated() {
        let mut all: Vec<Loads> = (0..3).map(|n| begun(&format!("n{n}"), n == 0)).collect();
        all[1].handle(0, Input::Order(1, HOME));
        assert_eq!(talk(&mut all, 0, 0), [(1, Output::Give(1))]);
        all[2].handle(10, Input::Order(2, HOME));
        assert_eq!(talk(&mut all, 0, 10), []);
        all[2].handle(10 + LOADS, Input::Tick);
        assert_eq!(drained(&mut all[2]), [Output::Give(2)]);
        // Or it ends without a copy.
        all[2].handle(20 + LOADS, Input::Order(3, HOME));
        let given = talk(&mut all, 0, 20 + LOADS);
        assert_eq!(given, [(2, Output::Give(3))]);
        all[1].handle(30 + LOADS, Input::Order(4, HOME));
        assert_eq!(talk(&mut all, 0, 30 + LOADS), []);
        all[2].handle(40 + LOADS, Input::Ended(3, 0));
        assert_eq!(talk(&mut all, 0, 40 + LOADS), [(1, Output::Give(4))]);
        // One that knows that another orders it does not ask again.
        all[2].handle(50 + LOADS, Input::Order(5, HOME));
        assert_eq!(talk(&mut all, 0, 50 + LOADS), [(2, Output::Give(5))]);
        all[1].handle(60 + LOADS, Input::Order(6, HOME));
        assert_eq!(drained(&mut all[1]), []);
    }

    #[test]
    fn an_owner_that_was_says_nothing_and_a_call_that_left_needs_no_copy() {
        let mut l = begun("a", true);
        let shard = l.shard(HOME.1).clone();
        l.handle(0, Input::Owns(shard, false));
        l.handle(1, Input::Heard("b".into(), Word::Wants(3, 70)));
        assert_eq!(drained(&mut l), []);
        l.handle(2, Input::Order(5, HOME));
        drained(&mut l);
        l.handle(3, Input::Forget(5));
        l.handle(4 + WAITS, Input::Tick);
        assert_eq!((drained(&mut l), l.next_deadline()), (vec![], None));
    }

    #[test]
    fn shards_are_spread_and_the_same_everywhere() {
        let (a, b) = (begun("a", false), begun("b", true));
        let mut count: BTreeMap<LeaseName, usize> = BTreeMap::new();
        for f in 0..4_000 {
            assert_eq!(a.shard(FunctionId(f)), b.shard(FunctionId(f)));
            *count.entry(a.shard(FunctionId(f)).clone()).or_default() += 1;
        }
        assert!(
            count.len() == 4 && count.values().all(|n| (700..1_300).contains(n)),
            "{count:?}"
        );
    }
}
