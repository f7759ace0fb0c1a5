//! The whole of it as one value: datagrams and own outcomes in; datagrams, advice and changes out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use super::budget::Budget;
use super::keys::Keys;
use super::observations::{Observation, Observations, Says, OBSERVATION_LIFETIME};
use super::reputation::{Bounds, HealthAdvice, Reputation};
use super::swim::{self, MemberState, Message, Record, Swim};
use super::wire::{self, Opener, SealedObservation, MAX_OBSERVATIONS, MTU, SKEW};
use crate::api::{Micros, WorkerId};

const SECOND: Micros = 1_000_000;
/// How long own outcomes are gathered before they are told.
const WINDOW: Micros = SECOND;
/// How often a sighting is sent on by one who has it.
const SPREAD: u32 = 6;
/// Sightings held to be sent on.
const MOST_HELD: usize = 512;

/// How an own attempt at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// It answered, whatever.
    Answered,
    /// It failed fast.
    Failed,
    /// It did not answer by its time.
    Silent,
    /// Its connection was refused or never came up.
    Refused,
}

/// What a group is begun with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// One's own name.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Bytes and datagrams a second at most.
    pub bytes_per_s: u32,
    /// Datagrams a second at most.
    pub datagrams_per_s: u32,
    /// How the group is watched.
    pub swim: swim::Settings,
    /// What rumours may do.
    pub bounds: Bounds,
}

/// What happens to the group.
#[derive(Debug)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram(SocketAddr, &'a [u8]),
    /// An own attempt ended.
    Outcome(WorkerId, Observed),
    /// The workers that are ready.
    Ready(BTreeSet<WorkerId>),
    /// Members known from the last run, and addresses to begin with.
    Known(Vec<Record>, Vec<SocketAddr>),
    /// Other keys count from now on.
    Keys(Keys),
    /// A deadline fell due.
    Tick,
    /// Leave in order.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Tell the decision module.
    Advice(WorkerId, HealthAdvice),
    /// A member stands otherwise.
    Changed(String, MemberState),
    /// The list of members to begin with next time has changed.
    Keep,
}

/// What can be seen of the group.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PeerView {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// How it stands.
    pub standing: &'static str,
    /// Its incarnation.
    pub incarnation: u64,
    /// What its word weighs here.
    pub weight: f64,
    /// When it was last heard from, Unix microseconds.
    pub heard: Micros,
}

/// One instance's part in the group.
#[derive(Clone, Debug)]
pub struct Group {
    settings: Settings,
    keys: Keys,
    swim: Swim,
    rumours: Observations,
    trust: Reputation,
    opener: Opener,
    budget: Budget,
    number: u64,
    ready: BTreeSet<WorkerId>,
    window: BTreeMap<WorkerId, Observation>,
    window_ends: Micros,
    /// Workers of which the last own word was ill: that they are well again is worth telling.
    told_ill: BTreeSet<WorkerId>,
    /// Sightings to be sent on, by origin, and how often each was.
    held: BTreeMap<(String, Micros), (u32, SealedObservation)>,
    outputs: VecDeque<Output>,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams sent.
    pub sent_datagrams: u64,
}

impl Group {
    /// A group of one. The incarnation begins with the clock, and so above those of starts before.
    pub fn new(settings: Settings, keys: Keys, seed: u64, now: Micros) -> Group {
        let own = wire::seal_record(&keys, &settings.name, settings.address, now, false);
        Group {
            swim: Swim::new(settings.swim, own, seed, now),
            rumours: Observations::default(),
            trust: Reputation::new(settings.bounds),
            opener: Opener::default(),
            budget: Budget::new(settings.bytes_per_s, settings.datagrams_per_s, now),
            number: now,
            ready: BTreeSet::new(),
            window: BTreeMap::new(),
            window_ends: now + WINDOW,
            told_ill: BTreeSet::new(),
            held: BTreeMap::new(),
            outputs: VecDeque::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
            settings,
            keys,
        }
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Tick`] is next to be given.
    pub fn next_deadline(&self) -> Option<Micros> {
        let swim = self.swim.next_deadline();
        Some(swim.map_or(self.window_ends, |t| t.min(self.window_ends)))
    }

    /// Members to begin with next time.
    pub fn keep(&self) -> Vec<Record> {
        self.swim
            .members()
            .filter(|m| m.standing <= MemberState::Suspect)
            .map(|m| m.record)
            .collect()
    }

    /// All members, without oneself.
    pub fn peers(&self, now: Micros) -> Vec<PeerView> {
        let view = |m: swim::View| PeerView {
            weight: self.trust.weight(now, &m.record.name),
            name: m.record.name,
            address: m.record.address,
            standing: m.standing.name(),
            incarnation: m.record.incarnation,
            heard: m.heard,
        };
        self.swim.members().map(view).collect()
    }

    /// Members held for alive.
    pub fn alive(&self) -> usize {
        self.swim
            .members()
            .filter(|m| m.standing == MemberState::Alive)
            .count()
    }

    /// How a member stands.
    pub fn standing(&self, name: &str) -> Option<MemberState> {
        self.swim.standing(name)
    }

    /// Datagrams that were refused, by why, and those withheld by the ceiling.
    pub fn refused(&self) -> (&BTreeMap<&'static str, u64>, u64) {
        (&self.opener.refused, self.budget.withheld)
    }

    /// What is held in all: rumours, sightings to send on.
    pub fn sizes(&self) -> (usize, usize) {
        (self.rumours.len(), self.held.len())
    }

    /// Takes what has happened.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        match input {
            Input::Datagram(source, bytes) => self.datagram(now, source, bytes),
            Input::Outcome(worker, seen) => {
                let o = self.window.entry(worker).or_default();
                let count = match seen {
                    Observed::Answered => &mut o.answered,
                    Observed::Failed => &mut o.failed,
                    Observed::Silent => &mut o.silent,
                    Observed::Refused => &mut o.refused,
                };
                *count = count.saturating_add(1);
            }
            Input::Ready(ready) => {
                self.window.retain(|w, _| ready.contains(w));
                self.told_ill.retain(|w| ready.contains(w));
                self.ready = ready;
            }
            Input::Known(records, seeds) => {
                let good = records
                    .into_iter()
                    .filter(|r| wire::check_record(&self.keys, r))
                    .collect();
                self.swim.handle(now, swim::Input::Known(good, seeds));
            }
            Input::Keys(keys) => {
                self.keys = keys;
                // Sealed anew, so that members who let go of the old key still know it.
                let own = self.swim.own();
                let (incarnation, leaving) = (own.incarnation + 1, own.leaving);
                self.renew(incarnation, leaving);
            }
            Input::Tick => {
                self.swim.handle(now, swim::Input::Tick);
                if now >= self.window_ends {
                    self.end_window(now);
                }
            }
            Input::Leave => self.swim.handle(now, swim::Input::Leave),
        }
        self.settle(now);
    }

    fn renew(&mut self, incarnation: u64, leaving: bool) {
        let own = wire::seal_record(
            &self.keys,
            &self.settings.name,
            self.settings.address,
            incarnation,
            leaving,
        );
        self.swim.renew(own);
    }

    fn datagram(&mut self, now: Micros, source: SocketAddr, bytes: &[u8]) {
        let swim = &self.swim;
        let known = |r: &Record| swim.members().any(|m| m.record == *r);
        let Ok(opened) = self.opener.open(&self.keys, now, bytes, known) else {
            return;
        };
        if opened.from == self.settings.name {
            return;
        }
        for s in opened.sightings {
            self.sighting(now, s);
        }
        // Answers go where the sender's own sealed word says: a datagram sent on by another from elsewhere draws
        // none to it.
        let sealed = opened
            .message
            .records
            .iter()
            .find(|r| r.name == opened.from)
            .map(|r| r.address);
        let known = self
            .swim
            .members()
            .find(|m| m.record.name == opened.from)
            .map(|m| m.record.address);
        let address = sealed.or(known).unwrap_or(source);
        self.swim.handle(
            now,
            swim::Input::Message(opened.from, address, opened.message),
        );
    }

    fn sighting(&mut self, now: Micros, s: SealedObservation) {
        let member = self
            .swim
            .standing(&s.origin)
            .is_some_and(|t| t <= MemberState::Suspect);
        if s.origin == self.settings.name || !member {
            return;
        }
        let mut news = false;
        for (worker, o) in &s.seen {
            // What is said of workers that are not ready here has nothing to act on.
            if self.ready.contains(worker) {
                news |= self.rumours.merge(now, SKEW, &s.origin, *worker, *o);
            }
        }
        if news {
            self.hold(s);
        }
    }

    fn hold(&mut self, s: SealedObservation) {
        if self.held.len() >= MOST_HELD {
            // The one that has gone out most often gives way.
            let most = self
                .held
                .iter()
                .max_by_key(|(_, (sent, _))| *sent)
                .map(|(k, _)| k.clone());
            most.and_then(|k| self.held.remove(&k));
        }
        self.held.insert((s.origin.clone(), s.at), (0, s));
    }

    /// Own outcomes are told, and what others say is weighed.
    fn end_window(&mut self, now: Micros) {
        self.window_ends = now + WINDOW;
        let mut seen = Vec::new();
        for (worker, o) in std::mem::take(&mut self.window) {
            let o = Observation { at: now, ..o };
            self.trust.observe(worker, o);
            let useful = match o.says() {
                Says::Ill => {
                    self.told_ill.insert(worker);
                    true
                }
                // Well is worth telling where it was told otherwise, by oneself or by others.
                Says::Well => {
                    let ill = self
                        .rumours
                        .about(now, worker)
                        .any(|(_, x)| x.says() == Says::Ill);
                    self.told_ill.remove(&worker) || ill
                }
                Says::Nothing => false,
            };
            if useful {
                seen.push((worker, o));
            }
        }
        // Those ill first: they are fewer, and matter more.
        seen.sort_by_key(|(w, o)| (o.says() != Says::Ill, *w));
        for part in seen.chunks(MAX_OBSERVATIONS).take(4) {
            let at = now
                + self
                    .held
                    .keys()
                    .filter(|(o, t)| *o == self.settings.name && *t >= now)
                    .count() as Micros;
            let part = part
                .iter()
                .map(|(w, o)| (*w, Observation { at, ..*o }))
                .collect();
            let sighting = wire::seal_sighting(&self.keys, &self.settings.name, at, part);
            self.hold(sighting);
        }
        self.rumours.expire(now);
        self.held
            .retain(|(_, at), (sent, _)| *sent < SPREAD && now < at + OBSERVATION_LIFETIME);
        for (worker, advice) in self.trust.advise(now, &self.rumours, &self.ready) {
            self.outputs.push_back(Output::Advice(worker, advice));
        }
    }

    fn settle(&mut self, now: Micros) {
        while let Some(output) = self.swim.output() {
            match output {
                swim::Output::Send(to, message) => self.send(now, to, &message),
                swim::Output::Changed(name, standing) => {
                    self.outputs.push_back(Output::Changed(name, standing))
                }
                swim::Output::Forgotten(name) => {
                    self.rumours.forget(&name);
                    self.trust.forget_origin(&name);
                    self.held.retain(|(origin, _), _| *origin != name);
                }
                swim::Output::Keep => {
                    if self.outputs.back() != Some(&Output::Keep) {
                        self.outputs.push_back(Output::Keep);
                    }
                }
                swim::Output::Accuse(accused, incarnation) => {
                    let a = wire::seal_accusation(
                        &self.keys,
                        &accused,
                        incarnation,
                        &self.settings.name,
                    );
                    self.swim.accuse(now, a);
                }
                swim::Output::Renew(incarnation, leaving) => self.renew(incarnation, leaving),
            }
        }
    }

    fn send(&mut self, now: Micros, to: SocketAddr, message: &Message) {
        let most = self.budget.room(now, MTU);
        self.number += 1;
        // The most useful first: what has gone out least, and of that what is newest.
        let mut order: Vec<((String, Micros), u32, usize)> = self
            .held
            .iter()
            .map(|(k, (sent, s))| {
                (
                    k.clone(),
                    *sent,
                    wire::sighting_size(&s.origin, s.seen.len()),
                )
            })
            .collect();
        order.sort_by(|a, b| a.1.cmp(&b.1).then(b.0 .1.cmp(&a.0 .1)).then(a.0.cmp(&b.0)));
        let mut order = order.into_iter();
        let held = &mut self.held;
        let bytes = wire::pack(
            &self.keys,
            &self.settings.name,
            self.number,
            now,
            message,
            most,
            |left| {
                let (key, ..) = order.by_ref().find(|(_, _, size)| *size <= left)?;
                let (sent, s) = held.get_mut(&key)?;
                *sent += 1;
                Some(s.clone())
            },
        );
        let size = bytes.as_ref().map_or(usize::MAX, Vec::len);
        if !self.budget.take(now, size) {
            return;
        }
        if let Some(bytes) = bytes {
            self.sent_bytes += size as u64;
            self.sent_datagrams += 1;
            self.outputs.push_back(Output::Datagram(to, bytes));
        }
    }
}

#[cfg(test)]
#[path = "group_tests.rs"]
mod tests;
