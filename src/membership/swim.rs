//! Who is there: SWIM (Das, Gupta and Motivala, 2002) with suspicion and refutation, and local health awareness as in
//! Lifeguard (Dadgar, Phillips and Currey, 2018): a slow instance asks more slowly and suspects more patiently, and
//! suspicion shortens as independent accusers confirm it.
//!
//! Beyond both: a member's state is a record that it sealed itself, so that nobody can bring a dead one back, move
//! another's address or raise its incarnation; an accusation holds for the incarnation that the accused itself sealed
//! last, and one accuser is one voice.
//!
//! Kept by name: members up to [`Settings::most`]; those dead or left until [`Settings::forget`] is over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::api::Micros;

const SECOND: Micros = 1_000_000;

/// How the group is watched.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Between probes, while healthy.
    pub interval: Micros,
    /// How long a direct probe may take before others are asked.
    pub timeout: Micros,
    /// Members asked to probe in one's place.
    pub indirect: usize,
    /// The least time of a suspicion, in probe intervals for each power of ten of members.
    pub min_suspicion: f64,
    /// The longest time, as a multiple of the least.
    pub max_suspicion_factor: f64,
    /// Between exchanges of all that is known with one member.
    pub sync: Micros,
    /// How long a member that is dead or has left is remembered.
    pub forget: Micros,
    /// Members at most.
    pub max_members: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: SECOND,
            timeout: SECOND / 2,
            indirect: 3,
            min_suspicion: 4.0,
            max_suspicion_factor: 6.0,
            sync: 30 * SECOND,
            forget: 300 * SECOND,
            max_members: 2048,
        }
    }
}

/// The worst local health; the interval and the time-out are multiplied by one more.
const MAX_HEALTH_SCORE: u32 = 8;
/// Accusers whose voices shorten a suspicion.
const CONFIRMATIONS: u32 = 3;
/// How often a piece of news is sent on, for each power of two of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// Accusations that were refuted within [`SILENCED`] after which an accuser has no voice for as long.
const MAX_REFUTED_ACCUSATIONS: u32 = 3;
const MUTE_DURATION: Micros = 60 * SECOND;
/// Pages that one who is new is sent at once.
const MAX_SYNC_PAGES: usize = 64;
/// Records in one exchange's page: they fit one datagram.
pub const MEMBERS_PER_MESSAGE: usize = 6;
/// Pieces of news that ride on one message at most.
pub const PIGGYBACKED_PER_MESSAGE: usize = 6;

/// A member's own word on itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Which of its words; only it raises this.
    pub incarnation: u64,
    /// Whether it leaves in order.
    pub leaving: bool,
    /// Its seal over all that; opaque here, checked before it comes in.
    pub seal: Vec<u8>,
}

/// A voice that says that a member does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Who is accused.
    pub accused: String,
    /// In which incarnation.
    pub incarnation: u64,
    /// By whom.
    pub by: String,
    /// The accuser's seal.
    pub seal: Vec<u8>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Say {
    /// Are you there? The name guards against an address that is another's by now.
    Ping(u64, String),
    /// I am.
    Ack(u64),
    /// Ask that one for me.
    PingFor(u64, String),
    /// It did not answer me either; shows that I do.
    Nack(u64),
    /// All that I know, a page; whether yours is wanted.
    Sync(bool),
}

/// A message with the news that rides on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it says.
    pub say: Say,
    /// Records.
    pub records: Vec<Record>,
    /// Accusations.
    pub accusations: Vec<Suspicion>,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not, and has time to refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It left in order.
    Left,
}

impl MemberState {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// What happens to the membership.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message came from a member; its seals hold.
    Message(String, SocketAddr, Message),
    /// Members known from the last run, or addresses to begin with.
    Known(Vec<Record>, Vec<SocketAddr>),
    /// A deadline fell due.
    Tick,
    /// Leave in order.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this there.
    Send(SocketAddr, Message),
    /// A member stands otherwise than before.
    Changed(String, MemberState),
    /// A member is forgotten.
    Forgotten(String),
    /// The list of members to begin with next time has changed.
    Keep,
    /// An accusation of one's own is to be sealed and handed back as news by [`Swim::accuse`].
    Accuse(String, u64),
    /// One's own record is to be sealed anew, with this incarnation, and handed to [`Swim::renew`].
    Renew(u64, bool),
}

#[derive(Clone, Debug)]
struct Member {
    record: Record,
    standing: MemberState,
    since: Micros,
    heard: Micros,
    /// Who accuses it, in its present incarnation.
    accusers: BTreeSet<String>,
    /// When the suspicion began, and when it ends.
    suspicion: Option<(Micros, Micros)>,
    /// The last voice against it, which it is told of when it is heard from.
    last_suspicion: Option<Suspicion>,
    /// When its wish for an exchange was last met.
    synced: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Probe,
    Sync,
    /// A probe's direct time, and its end.
    DirectTimeout(u64),
    ProbeEnd(u64),
    /// Suspicions and memories.
    Sweep,
    /// A probe made for another ends.
    IndirectTimeout(u64),
}

#[derive(Clone, Debug)]
struct Probe {
    target: String,
    asked: usize,
    nacks: usize,
    indirect: bool,
}

/// One news item and how often it has gone out.
#[derive(Clone, Debug)]
enum News {
    Record(String),
    Accusation(Suspicion),
}

/// What can be seen of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Its record.
    pub record: Record,
    /// How it stands.
    pub standing: MemberState,
    /// Since when.
    pub since: Micros,
    /// When it was last heard from.
    pub heard: Micros,
}

/// The members as one of them knows them.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: Settings,
    own: Record,
    members: BTreeMap<String, Member>,
    seeds: Vec<SocketAddr>,
    /// Names in the order in which they are probed next.
    probe_order: VecDeque<String>,
    probes: BTreeMap<u64, Probe>,
    /// Probes made for others: our number, who asked, its number.
    indirect_requests: BTreeMap<u64, (SocketAddr, u64)>,
    timers: BTreeSet<(Micros, Timer)>,
    news: Vec<(u32, News)>,
    next_number: u64,
    health_score: u32,
    /// The incarnation that a renewal was asked for.
    pending_incarnation: Option<u64>,
    sync_page: usize,
    /// Accusers whose accusations were refuted: how many, and when last.
    refuted_accusations: BTreeMap<String, (u32, Micros)>,
    random: ChaCha8Rng,
    outputs: VecDeque<Output>,
    leaving: bool,
}

impl Swim {
    /// A membership of one. `own` carries the incarnation that this start begins with; one from the clock is above
    /// those of starts before.
    pub fn new(settings: Settings, own: Record, seed: u64, now: Micros) -> Swim {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let first = now + random.next_u64() % settings.interval.max(1);
        let timers = BTreeSet::from([
            (first, Timer::Probe),
            (now, Timer::Sync),
            (now + SECOND, Timer::Sweep),
        ]);
        let own_name = own.name.clone();
        let mut swim = Swim {
            settings,
            own,
            members: BTreeMap::new(),
            seeds: Vec::new(),
            probe_order: VecDeque::new(),
            probes: BTreeMap::new(),
            indirect_requests: BTreeMap::new(),
            timers,
            news: Vec::new(),
            next_number: 0,
            health_score: 0,
            pending_incarnation: None,
            sync_page: 0,
            refuted_accusations: BTreeMap::new(),
            random,
            outputs: VecDeque::new(),
            leaving: false,
        };
        swim.queue_news(News::Record(own_name));
        swim
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Tick`] is next to be given.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.first().map(|(t, _)| *t)
    }

    /// The members, without oneself.
    pub fn members(&self) -> impl Iterator<Item = View> + '_ {
        self.members.values().map(|m| View {
            record: m.record.clone(),
            standing: m.standing,
            since: m.since,
            heard: m.heard,
        })
    }

    /// How a member stands.
    pub fn standing(&self, name: &str) -> Option<MemberState> {
        self.members.get(name).map(|m| m.standing)
    }

    /// One's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// How unwell this instance itself seems to be: 0 for well, 8 at most.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    fn live_members(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.standing <= MemberState::Suspect)
            .count()
    }

    /// Takes what has happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Message(from, address, message) => {
                self.handle_message(now, &from, address, message)
            }
            Input::Known(records, seeds) => {
                self.seeds = seeds;
                for record in records {
                    self.apply_record(now, record);
                }
                self.timers.insert((now, Timer::Sync));
            }
            Input::Tick => {
                while let Some(&(at, timer)) = self.timers.first().filter(|(t, _)| *t <= now) {
                    self.timers.remove(&(at, timer));
                    self.run_timer(now, timer);
                }
            }
            Input::Leave => {
                self.leaving = true;
                self.outputs
                    .push_back(Output::Renew(self.own.incarnation + 1, true));
            }
        }
    }

    /// One's own record, sealed anew.
    pub fn renew(&mut self, record: Record) {
        self.pending_incarnation = None;
        let leaving = record.leaving;
        self.own = record;
        let name = self.own.name.clone();
        self.news
            .retain(|(_, n)| !matches!(n, News::Record(r) if *r == name));
        self.queue_news(News::Record(name));
        if leaving {
            // Said at once to a few: there is no later.
            for address in self.pick_members(self.settings.indirect + 1, "") {
                self.next_number += 1;
                self.send(address, Say::Sync(false));
            }
        }
    }

    /// An accusation of one's own, sealed.
    pub fn accuse(&mut self, now: Micros, accusation: Suspicion) {
        self.apply_accusation(now, accusation);
    }

    fn queue_news(&mut self, news: News) {
        self.news.push((0, news));
    }

    /// News for one message: what has gone out least comes first.
    fn take_news(&mut self, most: usize) -> (Vec<Record>, Vec<Suspicion>) {
        let n = self.live_members() as u32 + 2;
        let times = RETRANSMIT_FACTOR * (32 - n.leading_zeros());
        // A refutation goes before what it refutes.
        self.news
            .sort_by_key(|(sent, n)| (*sent, matches!(n, News::Accusation(_))));
        let (mut records, mut accusations) = (Vec::new(), Vec::new());
        for (sent, news) in self.news.iter_mut().take(most) {
            *sent += 1;
            match news {
                News::Record(name) if *name == self.own.name => records.push(self.own.clone()),
                News::Record(name) => {
                    records.extend(self.members.get(name).map(|m| m.record.clone()))
                }
                News::Accusation(a) => accusations.push(a.clone()),
            }
        }
        self.news.retain(|(sent, _)| *sent < times);
        (records, accusations)
    }

    fn send(&mut self, to: SocketAddr, say: Say) {
        let (records, mut accusations) = self.take_news(PIGGYBACKED_PER_MESSAGE);
        // The buddy system: who is suspected or thought dead hears of it from whoever speaks with it.
        let last_suspicion = self
            .members
            .values()
            .find(|m| m.record.address == to)
            .and_then(|m| m.last_suspicion.clone());
        accusations.extend(last_suspicion);
        self.outputs.push_back(Output::Send(
            to,
            Message {
                say,
                records,
                accusations,
            },
        ));
    }

    /// A few members that are there, at random, but for one.
    fn pick_members(&mut self, n: usize, except: &str) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(name, m)| m.standing == MemberState::Alive && *name != except)
            .map(|(_, m)| m.record.address)
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < n && !all.is_empty() {
            let at = (self.random.next_u64() % all.len() as u64) as usize;
            chosen.push(all.swap_remove(at));
        }
        chosen
    }

    fn set_state(&mut self, now: Micros, name: &str, standing: MemberState) {
        let Some(m) = self
            .members
            .get_mut(name)
            .filter(|m| m.standing != standing)
        else {
            return;
        };
        (m.standing, m.since) = (standing, now);
        if standing != MemberState::Suspect {
            m.suspicion = None;
        }
        self.outputs
            .push_back(Output::Changed(name.to_owned(), standing));
        self.outputs.push_back(Output::Keep);
    }

    // ---- What others say ----

    fn handle_message(&mut self, now: Micros, from: &str, address: SocketAddr, message: Message) {
        let Message {
            say,
            records,
            accusations,
        } = message;
        let new = self
            .members
            .get(from)
            .is_none_or(|m| m.standing != MemberState::Alive);
        for record in records {
            self.apply_record(now, record);
        }
        for a in accusations {
            self.apply_accusation(now, a);
        }
        if let Some(m) = self.members.get_mut(from) {
            m.heard = now;
        }
        match say {
            Say::Ping(number, name) if name == self.own.name => {
                self.send(address, Say::Ack(number));
            }
            // Another had this address before.
            Say::Ping(..) => {}
            Say::Ack(number) => self.handle_ack(now, from, number),
            Say::Nack(number) => {
                if let Some(p) = self.probes.get_mut(&number) {
                    p.nacks += 1;
                }
            }
            Say::PingFor(number, name) => {
                let Some(to) = self.members.get(&name).map(|m| m.record.address) else {
                    return;
                };
                if self.indirect_requests.len() >= 64 {
                    return;
                }
                self.next_number += 1;
                let ours = self.next_number;
                self.indirect_requests.insert(ours, (address, number));
                self.timers
                    .insert((now + self.settings.timeout, Timer::IndirectTimeout(ours)));
                self.send(to, Say::Ping(ours, name));
            }
            Say::Sync(wanted) => {
                // Once a second each: who asks more often costs no more than that.
                let often = self
                    .members
                    .get(from)
                    .is_some_and(|m| now < m.synced + SECOND);
                if wanted && !often {
                    if let Some(m) = self.members.get_mut(from) {
                        m.synced = now;
                    }
                    // One that is new is told all at once.
                    let pages = if new {
                        self.pages().min(MAX_SYNC_PAGES)
                    } else {
                        1
                    };
                    (0..pages).for_each(|_| self.sync(address, false));
                }
            }
        }
    }

    /// Whether an accuser has lost its voice.
    fn is_muted(&self, now: Micros, by: &str) -> bool {
        self.refuted_accusations
            .get(by)
            .is_some_and(|(n, at)| *n >= MAX_REFUTED_ACCUSATIONS && now < at + MUTE_DURATION)
    }

    /// An accusation was refuted.
    fn count_refuted_accusation(&mut self, now: Micros, by: &str) {
        if !self.members.contains_key(by) {
            return;
        }
        let fault = self
            .refuted_accusations
            .entry(by.to_owned())
            .or_insert((0, now));
        *fault = if now < fault.1 + MUTE_DURATION {
            (fault.0.saturating_add(1), now)
        } else {
            (1, now)
        };
    }

    fn handle_ack(&mut self, now: Micros, from: &str, number: u64) {
        if let Some((asker, theirs)) = self.indirect_requests.remove(&number) {
            return self.send(asker, Say::Ack(theirs));
        }
        let Some(p) = self.probes.get(&number) else {
            return;
        };
        // An ack of another, relayed, counts for the target: it carries the relay's name.
        let direct = p.target == from;
        if direct || p.indirect {
            let target = p.target.clone();
            self.probes.remove(&number);
            self.health_score = self.health_score.saturating_sub(1);
            if let Some(m) = self.members.get_mut(&target) {
                m.heard = now;
            }
        }
    }

    /// A record that its member sealed.
    fn apply_record(&mut self, now: Micros, record: Record) {
        let name = record.name.clone();
        if name == self.own.name {
            // One's own, from another life or from a clock that was ahead: outdone, so that it is not believed.
            if record.incarnation > self.own.incarnation
                || (record.incarnation == self.own.incarnation && record != self.own)
            {
                self.refute(record.incarnation);
            }
            return;
        }
        match self.members.get_mut(&name) {
            Some(m) if record.incarnation <= m.record.incarnation => return,
            Some(m) => {
                m.record = record;
                m.last_suspicion = None;
                for by in std::mem::take(&mut m.accusers) {
                    self.count_refuted_accusation(now, &by);
                }
            }
            None => {
                // One that has left is not news to who never knew it.
                if self.members.len() >= self.settings.max_members || record.leaving {
                    return;
                }
                let member = Member {
                    record,
                    standing: MemberState::Dead,
                    since: now,
                    heard: now,
                    accusers: BTreeSet::new(),
                    suspicion: None,
                    last_suspicion: None,
                    synced: 0,
                };
                self.members.insert(name.clone(), member);
                let at = self.random.next_u64() as usize % (self.probe_order.len() + 1);
                self.probe_order.insert(at, name.clone());
            }
        }
        self.news.retain(|(_, n)| match n {
            News::Record(r) => *r != name,
            News::Accusation(a) => a.accused != name,
        });
        self.queue_news(News::Record(name.clone()));
        let leaving = self.members.get(&name).is_some_and(|m| m.record.leaving);
        self.set_state(
            now,
            &name,
            if leaving {
                MemberState::Left
            } else {
                MemberState::Alive
            },
        );
    }

    fn refute(&mut self, incarnation: u64) {
        let next = incarnation.max(self.own.incarnation).saturating_add(1);
        if self.pending_incarnation < Some(next) {
            self.pending_incarnation = Some(next);
            self.outputs.push_back(Output::Renew(next, self.leaving));
        }
    }

    /// A voice against a member.
    fn apply_accusation(&mut self, now: Micros, a: Suspicion) {
        if a.accused == self.own.name {
            if a.incarnation == self.own.incarnation && !self.leaving {
                // To be suspected is a sign of being slow oneself, unless by one who suspects everybody.
                if !self.is_muted(now, &a.by) {
                    self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
                }
                if self.pending_incarnation.is_none() {
                    self.count_refuted_accusation(now, &a.by);
                }
                self.refute(a.incarnation);
            }
            return;
        }
        // Only members have a voice, and only while most of what they say holds.
        let known = a.by == self.own.name
            || self
                .members
                .get(&a.by)
                .is_some_and(|m| m.standing != MemberState::Left);
        if !known || self.is_muted(now, &a.by) {
            return;
        }
        let n = self.live_members();
        let least = self.least_suspicion(n);
        let most = (least as f64 * self.settings.max_suspicion_factor) as Micros;
        let Some(m) = self.members.get_mut(&a.accused) else {
            return;
        };
        // Of an incarnation that the accused never sealed, or has outdone: it says nothing.
        let counts = a.incarnation == m.record.incarnation && m.standing <= MemberState::Suspect;
        if !counts || m.accusers.contains(&a.by) || m.accusers.len() > CONFIRMATIONS as usize {
            return;
        }
        m.accusers.insert(a.by.clone());
        m.last_suspicion = Some(a.clone());
        let confirmations = (m.accusers.len() - 1) as f64;
        let shorter = (confirmations + 1.0).ln() / (f64::from(CONFIRMATIONS) + 1.0).ln();
        let span = most - ((most - least) as f64 * shorter.min(1.0)) as Micros;
        let began = m.suspicion.map_or(now, |(began, _)| began);
        m.suspicion = Some((began, began + span));
        self.queue_news(News::Accusation(a.clone()));
        self.set_state(now, &a.accused, MemberState::Suspect);
        self.timers.insert((began + span, Timer::Sweep));
    }

    fn least_suspicion(&self, n: usize) -> Micros {
        let digits = ((n.max(1) as f64).log10()).max(1.0);
        (self.settings.min_suspicion * digits * self.settings.interval as f64) as Micros
    }

    // ---- Time ----

    fn run_timer(&mut self, now: Micros, timer: Timer) {
        let pace = Micros::from(self.health_score + 1);
        match timer {
            Timer::Probe => {
                self.probe(now);
                self.timers
                    .insert((now + self.settings.interval * pace, Timer::Probe));
            }
            Timer::DirectTimeout(number) => {
                let Some(p) = self.probes.get_mut(&number) else {
                    return;
                };
                p.indirect = true;
                let target = p.target.clone();
                let others = self.pick_members(self.settings.indirect, &target);
                if let Some(p) = self.probes.get_mut(&number) {
                    p.asked = others.len();
                }
                for to in others {
                    self.send(to, Say::PingFor(number, target.clone()));
                }
            }
            Timer::ProbeEnd(number) => {
                let Some(p) = self.probes.remove(&number) else {
                    return;
                };
                // Those asked would have said so if only the target were silent: what is missing of that is a sign
                // against oneself.
                let missing = p.asked.saturating_sub(p.nacks) as u32;
                self.health_score = (self.health_score + missing.max(u32::from(p.asked == 0)))
                    .min(MAX_HEALTH_SCORE);
                let incarnation = self
                    .members
                    .get(&p.target)
                    .filter(|m| m.standing <= MemberState::Suspect);
                if let Some(incarnation) = incarnation.map(|m| m.record.incarnation) {
                    self.outputs
                        .push_back(Output::Accuse(p.target, incarnation));
                }
            }
            Timer::IndirectTimeout(number) => {
                if let Some((asker, theirs)) = self.indirect_requests.remove(&number) {
                    self.send(asker, Say::Nack(theirs));
                }
            }
            Timer::Sync => {
                let others = self.pick_members(1, "");
                let to = match others.first() {
                    Some(to) => Some(*to),
                    // Alone: the seeds, and those who were there before.
                    None => self.any_address(),
                };
                let soon = if others.is_empty() {
                    self.settings.interval
                } else {
                    self.settings.sync
                };
                if let Some(to) = to {
                    self.sync(to, true);
                }
                self.timers.retain(|(_, d)| *d != Timer::Sync);
                self.timers.insert((now + soon, Timer::Sync));
            }
            Timer::Sweep => self.sweep(now),
        }
    }

    fn any_address(&mut self) -> Option<SocketAddr> {
        let mut all: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|a| *a != self.own.address)
            .collect();
        all.extend(
            self.members
                .values()
                .filter(|m| m.standing != MemberState::Left)
                .map(|m| m.record.address),
        );
        let n = all.len() as u64;
        (n > 0).then(|| all[(self.random.next_u64() % n) as usize])
    }

    fn probe(&mut self, now: Micros) {
        for _ in 0..=self.probe_order.len() {
            let Some(name) = self.probe_order.pop_front() else {
                return;
            };
            let Some(m) = self.members.get(&name) else {
                continue;
            };
            let address = m.record.address;
            // Those thought dead are asked now and then, or two halves of a group would never find together again.
            let selected = match m.standing {
                MemberState::Alive | MemberState::Suspect => true,
                MemberState::Dead => self.random.next_u64().is_multiple_of(4),
                MemberState::Left => false,
            };
            self.probe_order.push_back(name.clone());
            if !selected {
                continue;
            }
            if m.standing == MemberState::Dead {
                return self.sync(address, true);
            }
            self.next_number += 1;
            let number = self.next_number;
            let pace = Micros::from(self.health_score + 1);
            self.probes.insert(
                number,
                Probe {
                    target: name.clone(),
                    asked: 0,
                    nacks: 0,
                    indirect: false,
                },
            );
            self.timers.insert((
                now + self.settings.timeout * pace,
                Timer::DirectTimeout(number),
            ));
            self.timers
                .insert((now + self.settings.interval * pace, Timer::ProbeEnd(number)));
            return self.send(address, Say::Ping(number, name));
        }
    }

    /// Pages that all that is known takes.
    fn pages(&self) -> usize {
        self.live_members().div_ceil(MEMBERS_PER_MESSAGE - 1).max(1)
    }

    /// A page of all that is known; with each exchange the next one.
    fn sync(&mut self, to: SocketAddr, wanted: bool) {
        let mut all: Vec<Record> = vec![self.own.clone()];
        self.sync_page = (self.sync_page + 1) % self.pages();
        let known = self
            .members
            .values()
            .filter(|m| m.standing <= MemberState::Suspect);
        all.extend(
            known
                .skip(self.sync_page * (MEMBERS_PER_MESSAGE - 1))
                .take(MEMBERS_PER_MESSAGE - 1)
                .map(|m| m.record.clone()),
        );
        let last_suspicion = self
            .members
            .values()
            .find(|m| m.record.address == to)
            .and_then(|m| m.last_suspicion.clone());
        let accusations = last_suspicion.into_iter().collect();
        let message = Message {
            say: Say::Sync(wanted),
            records: all,
            accusations,
        };
        self.outputs.push_back(Output::Send(to, message));
    }

    fn sweep(&mut self, now: Micros) {
        let over = |m: &&Member| m.suspicion.is_some_and(|(_, end)| end <= now);
        let dead: Vec<String> = self
            .members
            .values()
            .filter(over)
            .map(|m| m.record.name.clone())
            .collect();
        for name in dead {
            self.news
                .retain(|(_, n)| !matches!(n, News::Accusation(a) if a.accused == name));
            self.set_state(now, &name, MemberState::Dead);
        }
        let forget = self.settings.forget;
        let gone = |m: &&Member| m.standing >= MemberState::Dead && now >= m.since + forget;
        let gone: Vec<String> = self
            .members
            .values()
            .filter(gone)
            .map(|m| m.record.name.clone())
            .collect();
        for name in gone {
            self.members.remove(&name);
            self.probe_order.retain(|n| *n != name);
            self.refuted_accusations.remove(&name);
            self.outputs.push_back(Output::Forgotten(name));
        }
        self.timers.retain(|(_, d)| *d != Timer::Sweep);
        let next = self
            .members
            .values()
            .filter_map(|m| m.suspicion.map(|(_, end)| end))
            .min();
        self.timers.insert((
            next.unwrap_or(now + SECOND).min(now + SECOND).max(now + 1),
            Timer::Sweep,
        ));
    }
}

#[cfg(test)]
#[path = "swim_tests.rs"]
mod tests;
