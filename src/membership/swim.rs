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
    pub suspicion: f64,
    /// The longest time, as a multiple of the least.
    pub suspicion_most: f64,
    /// Between exchanges of all that is known with one member.
    pub sync: Micros,
    /// How long a member that is dead or has left is remembered.
    pub forget: Micros,
    /// Members at most.
    pub most: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: SECOND,
            timeout: SECOND / 2,
            indirect: 3,
            suspicion: 4.0,
            suspicion_most: 6.0,
            sync: 30 * SECOND,
            forget: 300 * SECOND,
            most: 2048,
        }
    }
}

/// The worst local health; the interval and the time-out are multiplied by one more.
const MOST_UNWELL: u32 = 8;
/// Accusers whose voices shorten a suspicion.
const CONFIRMATIONS: u32 = 3;
/// How often a piece of news is sent on, for each power of two of members.
const RETRANSMIT: u32 = 3;
/// Accusations that were refuted within [`SILENCED`] after which an accuser has no voice for as long.
const FAULTS: u32 = 3;
const SILENCED: Micros = 60 * SECOND;
/// Pages that one who is new is sent at once.
const MOST_PAGES: usize = 64;
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
    voice: Option<Suspicion>,
    /// When its wish for an exchange was last met.
    synced: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Probe,
    Sync,
    /// A probe's direct time, and its end.
    Direct(u64),
    End(u64),
    /// Suspicions and memories.
    Sweep,
    /// A probe made for another ends.
    For(u64),
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
    round: VecDeque<String>,
    probes: BTreeMap<u64, Probe>,
    /// Probes made for others: our number, who asked, its number.
    favours: BTreeMap<u64, (SocketAddr, u64)>,
    due: BTreeSet<(Micros, Due)>,
    news: Vec<(u32, News)>,
    next: u64,
    unwell: u32,
    /// The incarnation that a renewal was asked for.
    renewing: Option<u64>,
    page: usize,
    /// Accusers whose accusations were refuted: how many, and when last.
    faults: BTreeMap<String, (u32, Micros)>,
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
        let due = BTreeSet::from([
            (first, Due::Probe),
            (now, Due::Sync),
            (now + SECOND, Due::Sweep),
        ]);
        let own_name = own.name.clone();
        let mut swim = Swim {
            settings,
            own,
            members: BTreeMap::new(),
            seeds: Vec::new(),
            round: VecDeque::new(),
            probes: BTreeMap::new(),
            favours: BTreeMap::new(),
            due,
            news: Vec::new(),
            next: 0,
            unwell: 0,
            renewing: None,
            page: 0,
            faults: BTreeMap::new(),
            random,
            outputs: VecDeque::new(),
            leaving: false,
        };
        swim.tell(News::Record(own_name));
        swim
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Tick`] is next to be given.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.due.first().map(|(t, _)| *t)
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
    pub fn unwell(&self) -> u32 {
        self.unwell
    }

    fn present(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.standing <= MemberState::Suspect)
            .count()
    }

    /// Takes what has happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Message(from, address, message) => self.message(now, &from, address, message),
            Input::Known(records, seeds) => {
                self.seeds = seeds;
                for record in records {
                    self.record(now, record);
                }
                self.due.insert((now, Due::Sync));
            }
            Input::Tick => {
                while let Some(&(at, due)) = self.due.first().filter(|(t, _)| *t <= now) {
                    self.due.remove(&(at, due));
                    self.fell_due(now, due);
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
        self.renewing = None;
        let leaving = record.leaving;
        self.own = record;
        let name = self.own.name.clone();
        self.news
            .retain(|(_, n)| !matches!(n, News::Record(r) if *r == name));
        self.tell(News::Record(name));
        if leaving {
            // Said at once to a few: there is no later.
            for address in self.pick(self.settings.indirect + 1, "") {
                self.next += 1;
                self.send(address, Say::Sync(false));
            }
        }
    }

    /// An accusation of one's own, sealed.
    pub fn accuse(&mut self, now: Micros, accusation: Suspicion) {
        self.accusation(now, accusation);
    }

    fn tell(&mut self, news: News) {
        self.news.push((0, news));
    }

    /// News for one message: what has gone out least comes first.
    fn riders(&mut self, most: usize) -> (Vec<Record>, Vec<Suspicion>) {
        let n = self.present() as u32 + 2;
        let times = RETRANSMIT * (32 - n.leading_zeros());
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
        let (records, mut accusations) = self.riders(PIGGYBACKED_PER_MESSAGE);
        // The buddy system: who is suspected or thought dead hears of it from whoever speaks with it.
        let voice = self
            .members
            .values()
            .find(|m| m.record.address == to)
            .and_then(|m| m.voice.clone());
        accusations.extend(voice);
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
    fn pick(&mut self, n: usize, but: &str) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(name, m)| m.standing == MemberState::Alive && *name != but)
            .map(|(_, m)| m.record.address)
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < n && !all.is_empty() {
            let at = (self.random.next_u64() % all.len() as u64) as usize;
            chosen.push(all.swap_remove(at));
        }
        chosen
    }

    fn set(&mut self, now: Micros, name: &str, standing: MemberState) {
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

    fn message(&mut self, now: Micros, from: &str, address: SocketAddr, message: Message) {
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
            self.record(now, record);
        }
        for a in accusations {
            self.accusation(now, a);
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
            Say::Ack(number) => self.acked(now, from, number),
            Say::Nack(number) => {
                if let Some(p) = self.probes.get_mut(&number) {
                    p.nacks += 1;
                }
            }
            Say::PingFor(number, name) => {
                let Some(to) = self.members.get(&name).map(|m| m.record.address) else {
                    return;
                };
                if self.favours.len() >= 64 {
                    return;
                }
                self.next += 1;
                let ours = self.next;
                self.favours.insert(ours, (address, number));
                self.due
                    .insert((now + self.settings.timeout, Due::For(ours)));
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
                    let pages = if new { self.pages().min(MOST_PAGES) } else { 1 };
                    (0..pages).for_each(|_| self.sync(address, false));
                }
            }
        }
    }

    /// Whether an accuser has lost its voice.
    fn silenced(&self, now: Micros, by: &str) -> bool {
        self.faults
            .get(by)
            .is_some_and(|(n, at)| *n >= FAULTS && now < at + SILENCED)
    }

    /// An accusation was refuted.
    fn fault(&mut self, now: Micros, by: &str) {
        if !self.members.contains_key(by) {
            return;
        }
        let fault = self.faults.entry(by.to_owned()).or_insert((0, now));
        *fault = if now < fault.1 + SILENCED {
            (fault.0.saturating_add(1), now)
        } else {
            (1, now)
        };
    }

    fn acked(&mut self, now: Micros, from: &str, number: u64) {
        if let Some((asker, theirs)) = self.favours.remove(&number) {
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
            self.unwell = self.unwell.saturating_sub(1);
            if let Some(m) = self.members.get_mut(&target) {
                m.heard = now;
            }
        }
    }

    /// A record that its member sealed.
    fn record(&mut self, now: Micros, record: Record) {
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
                m.voice = None;
                for by in std::mem::take(&mut m.accusers) {
                    self.fault(now, &by);
                }
            }
            None => {
                // One that has left is not news to who never knew it.
                if self.members.len() >= self.settings.most || record.leaving {
                    return;
                }
                let member = Member {
                    record,
                    standing: MemberState::Dead,
                    since: now,
                    heard: now,
                    accusers: BTreeSet::new(),
                    suspicion: None,
                    voice: None,
                    synced: 0,
                };
                self.members.insert(name.clone(), member);
                let at = self.random.next_u64() as usize % (self.round.len() + 1);
                self.round.insert(at, name.clone());
            }
        }
        self.news.retain(|(_, n)| match n {
            News::Record(r) => *r != name,
            News::Accusation(a) => a.accused != name,
        });
        self.tell(News::Record(name.clone()));
        let leaving = self.members.get(&name).is_some_and(|m| m.record.leaving);
        self.set(
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
        if self.renewing < Some(next) {
            self.renewing = Some(next);
            self.outputs.push_back(Output::Renew(next, self.leaving));
        }
    }

    /// A voice against a member.
    fn accusation(&mut self, now: Micros, a: Suspicion) {
        if a.accused == self.own.name {
            if a.incarnation == self.own.incarnation && !self.leaving {
                // To be suspected is a sign of being slow oneself, unless by one who suspects everybody.
                if !self.silenced(now, &a.by) {
                    self.unwell = (self.unwell + 1).min(MOST_UNWELL);
                }
                if self.renewing.is_none() {
                    self.fault(now, &a.by);
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
        if !known || self.silenced(now, &a.by) {
            return;
        }
        let n = self.present();
        let least = self.least_suspicion(n);
        let most = (least as f64 * self.settings.suspicion_most) as Micros;
        let Some(m) = self.members.get_mut(&a.accused) else {
            return;
        };
        // Of an incarnation that the accused never sealed, or has outdone: it says nothing.
        let counts = a.incarnation == m.record.incarnation && m.standing <= MemberState::Suspect;
        if !counts || m.accusers.contains(&a.by) || m.accusers.len() > CONFIRMATIONS as usize {
            return;
        }
        m.accusers.insert(a.by.clone());
        m.voice = Some(a.clone());
        let voices = (m.accusers.len() - 1) as f64;
        let shorter = (voices + 1.0).ln() / (f64::from(CONFIRMATIONS) + 1.0).ln();
        let span = most - ((most - least) as f64 * shorter.min(1.0)) as Micros;
        let began = m.suspicion.map_or(now, |(began, _)| began);
        m.suspicion = Some((began, began + span));
        self.tell(News::Accusation(a.clone()));
        self.set(now, &a.accused, MemberState::Suspect);
        self.due.insert((began + span, Due::Sweep));
    }

    fn least_suspicion(&self, n: usize) -> Micros {
        let digits = ((n.max(1) as f64).log10()).max(1.0);
        (self.settings.suspicion * digits * self.settings.interval as f64) as Micros
    }

    // ---- Time ----

    fn fell_due(&mut self, now: Micros, due: Due) {
        let pace = Micros::from(self.unwell + 1);
        match due {
            Due::Probe => {
                self.probe(now);
                self.due
                    .insert((now + self.settings.interval * pace, Due::Probe));
            }
            Due::Direct(number) => {
                let Some(p) = self.probes.get_mut(&number) else {
                    return;
                };
                p.indirect = true;
                let target = p.target.clone();
                let others = self.pick(self.settings.indirect, &target);
                if let Some(p) = self.probes.get_mut(&number) {
                    p.asked = others.len();
                }
                for to in others {
                    self.send(to, Say::PingFor(number, target.clone()));
                }
            }
            Due::End(number) => {
                let Some(p) = self.probes.remove(&number) else {
                    return;
                };
                // Those asked would have said so if only the target were silent: what is missing of that is a sign
                // against oneself.
                let missing = p.asked.saturating_sub(p.nacks) as u32;
                self.unwell = (self.unwell + missing.max(u32::from(p.asked == 0))).min(MOST_UNWELL);
                let incarnation = self
                    .members
                    .get(&p.target)
                    .filter(|m| m.standing <= MemberState::Suspect);
                if let Some(incarnation) = incarnation.map(|m| m.record.incarnation) {
                    self.outputs
                        .push_back(Output::Accuse(p.target, incarnation));
                }
            }
            Due::For(number) => {
                if let Some((asker, theirs)) = self.favours.remove(&number) {
                    self.send(asker, Say::Nack(theirs));
                }
            }
            Due::Sync => {
                let others = self.pick(1, "");
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
                self.due.retain(|(_, d)| *d != Due::Sync);
                self.due.insert((now + soon, Due::Sync));
            }
            Due::Sweep => self.sweep(now),
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
        for _ in 0..=self.round.len() {
            let Some(name) = self.round.pop_front() else {
                return;
            };
            let Some(m) = self.members.get(&name) else {
                continue;
            };
            let address = m.record.address;
            // Those thought dead are asked now and then, or two halves of a group would never find together again.
            let due = match m.standing {
                MemberState::Alive | MemberState::Suspect => true,
                MemberState::Dead => self.random.next_u64().is_multiple_of(4),
                MemberState::Left => false,
            };
            self.round.push_back(name.clone());
            if !due {
                continue;
            }
            if m.standing == MemberState::Dead {
                return self.sync(address, true);
            }
            self.next += 1;
            let number = self.next;
            let pace = Micros::from(self.unwell + 1);
            self.probes.insert(
                number,
                Probe {
                    target: name.clone(),
                    asked: 0,
                    nacks: 0,
                    indirect: false,
                },
            );
            self.due
                .insert((now + self.settings.timeout * pace, Due::Direct(number)));
            self.due
                .insert((now + self.settings.interval * pace, Due::End(number)));
            return self.send(address, Say::Ping(number, name));
        }
    }

    /// Pages that all that is known takes.
    fn pages(&self) -> usize {
        self.present().div_ceil(MEMBERS_PER_MESSAGE - 1).max(1)
    }

    /// A page of all that is known; with each exchange the next one.
    fn sync(&mut self, to: SocketAddr, wanted: bool) {
        let mut all: Vec<Record> = vec![self.own.clone()];
        self.page = (self.page + 1) % self.pages();
        let known = self
            .members
            .values()
            .filter(|m| m.standing <= MemberState::Suspect);
        all.extend(
            known
                .skip(self.page * (MEMBERS_PER_MESSAGE - 1))
                .take(MEMBERS_PER_MESSAGE - 1)
                .map(|m| m.record.clone()),
        );
        let voice = self
            .members
            .values()
            .find(|m| m.record.address == to)
            .and_then(|m| m.voice.clone());
        let accusations = voice.into_iter().collect();
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
            self.set(now, &name, MemberState::Dead);
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
            self.round.retain(|n| *n != name);
            self.faults.remove(&name);
            self.outputs.push_back(Output::Forgotten(name));
        }
        self.due.retain(|(_, d)| *d != Due::Sweep);
        let next = self
            .members
            .values()
            .filter_map(|m| m.suspicion.map(|(_, end)| end))
            .min();
        self.due.insert((
            next.unwrap_or(now + SECOND).min(now + SECOND).max(now + 1),
            Due::Sweep,
        ));
    }
}

#[cfg(test)]
#[path = "swim_tests.rs"]
mod tests;
