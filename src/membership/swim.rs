//! Group membership by SWIM (Das, Gupta and Motivala, 2002) with suspicion and refutation, and
//! local health awareness as in Lifeguard (Dadgar, Phillips and Currey, 2018): a slow instance
//! probes less often and with longer timeouts, and a suspicion shortens as independent accusers
//! confirm it.
//!
//! In addition, each member seals its own record, so no other member can revive a dead one, change
//! its address or raise its incarnation. An accusation is valid only for the incarnation that the
//! accused member sealed last, and each accuser counts once.
//!
//! Members are stored by name, at most [`Settings::max_members`]. Members that are dead or have
//! left are removed after [`Settings::forget`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::api::Micros;

const SECOND: Micros = 1_000_000;

/// Failure detection settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between probes at a local health score of 0.
    pub interval: Micros,
    /// Timeout of a direct probe, after which other members are asked to probe.
    pub timeout: Micros,
    /// Number of members asked for an indirect probe.
    pub indirect: usize,
    /// Minimum duration of a suspicion, in probe intervals per power of ten of members.
    pub min_suspicion: f64,
    /// Maximum duration of a suspicion, as a multiple of the minimum.
    pub max_suspicion_factor: f64,
    /// Interval between state exchanges with a random member.
    pub sync: Micros,
    /// Time after which a member that is dead or has left is removed.
    pub forget: Micros,
    /// Maximum number of members.
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

/// Maximum local health score. The probe interval and timeout are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u32 = 8;
/// Number of confirming accusers that shorten a suspicion to its minimum.
const CONFIRMATIONS: u32 = 3;
/// Number of times that an item is piggybacked, per power of two of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// Number of refuted accusations, each within [`MUTE_DURATION`] of the one before, after which an
/// accuser is ignored.
const MAX_REFUTED_ACCUSATIONS: u32 = 3;
/// Time for which an accuser is ignored after its last refuted accusation.
const MUTE_DURATION: Micros = 60 * SECOND;
/// Maximum number of pages sent at once to a new member.
const MAX_SYNC_PAGES: usize = 64;
/// Number of records in one page of a state exchange; a page fits one datagram.
pub const MEMBERS_PER_MESSAGE: usize = 6;
/// Maximum number of items piggybacked on one message.
pub const PIGGYBACKED_PER_MESSAGE: usize = 6;

/// A member's sealed description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member's name.
    pub name: String,
    /// Address at which the member listens.
    pub address: SocketAddr,
    /// Version of the record; only the member itself raises it.
    pub incarnation: u64,
    /// Whether the member is leaving gracefully.
    pub leaving: bool,
    /// Seal over the fields above, opaque to this module; callers verify it first.
    pub seal: Vec<u8>,
}

/// An accuser's claim that a member does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Name of the accused member.
    pub accused: String,
    /// Incarnation of the accused member.
    pub incarnation: u64,
    /// Name of the accuser.
    pub by: String,
    /// The accuser's seal.
    pub seal: Vec<u8>,
}

/// Kind of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Probe with a number and the name of its target. Another member that now has the address
    /// ignores the probe.
    Ping(u64, String),
    /// Answer to the probe with this number.
    Ack(u64),
    /// Request to probe the named member on behalf of the sender.
    PingRequest(u64, String),
    /// Report that an indirect probe got no answer; shows that the sender itself is responsive.
    Nack(u64),
    /// A page of the sender's members; `true` requests a page in return.
    Sync(bool),
}

/// A message with piggybacked records and accusations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Kind of the message.
    pub kind: MessageKind,
    /// Member records.
    pub records: Vec<Record>,
    /// Accusations of members.
    pub accusations: Vec<Suspicion>,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer and can still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member left gracefully.
    Left,
}

impl MemberState {
    /// Returns the name of the state.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// Events that the membership handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from a member, with its address; its seals are verified.
    Message(String, SocketAddr, Message),
    /// Members stored by the previous run, and seed addresses.
    KnownMembers(Vec<Record>, Vec<SocketAddr>),
    /// The deadline from [`Swim::next_deadline`] has passed.
    Tick,
    /// Announces a graceful departure.
    Leave,
}

/// Actions for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to this address.
    Send(SocketAddr, Message),
    /// A member's state changed.
    Changed(String, MemberState),
    /// A member was removed.
    Forgotten(String),
    /// The list of members to store for the next start changed.
    StoreMembers,
    /// Seal an accusation of this member in this incarnation and pass it to [`Swim::accuse`].
    Accuse(String, u64),
    /// Seal the own record with this incarnation and leaving flag, and pass it to [`Swim::renew`].
    Renew(u64, bool),
}

#[derive(Clone, Debug)]
struct Member {
    record: Record,
    standing: MemberState,
    since: Micros,
    heard: Micros,
    /// Accusers of the member's current incarnation.
    accusers: BTreeSet<String>,
    /// Start and end of the suspicion.
    suspicion: Option<(Micros, Micros)>,
    /// Latest accusation, sent along with every message to the member.
    last_suspicion: Option<Suspicion>,
    /// Time of the last state exchange requested by the member.
    synced: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Probe,
    Sync,
    /// The direct probe with this number times out.
    DirectTimeout(u64),
    /// The probe with this number ends.
    ProbeEnd(u64),
    /// Ends expired suspicions and removes members.
    Sweep,
    /// The probe with this number, made for another member, times out.
    IndirectTimeout(u64),
}

#[derive(Clone, Debug)]
struct Probe {
    target: String,
    asked: usize,
    nacks: usize,
    indirect: bool,
}

/// An item to piggyback on messages.
#[derive(Clone, Debug)]
enum News {
    Record(String),
    Accusation(Suspicion),
}

/// Snapshot of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The member's record.
    pub record: Record,
    /// The member's state.
    pub state: MemberState,
    /// Time of the last state change.
    pub since: Micros,
    /// Time of the last message from the member.
    pub heard: Micros,
}

/// One instance's view of the members.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: Settings,
    own: Record,
    members: BTreeMap<String, Member>,
    seeds: Vec<SocketAddr>,
    /// Member names in the order of their next probes.
    probe_order: VecDeque<String>,
    probes: BTreeMap<u64, Probe>,
    /// Probes made for other members: own number to the requester's address and number.
    indirect_requests: BTreeMap<u64, (SocketAddr, u64)>,
    timers: BTreeSet<(Micros, Timer)>,
    news: Vec<(u32, News)>,
    next_number: u64,
    health_score: u32,
    /// Incarnation of the requested renewal.
    pending_incarnation: Option<u64>,
    sync_page: usize,
    /// Number of refuted accusations and time of the last one, by accuser.
    refuted_accusations: BTreeMap<String, (u32, Micros)>,
    random: ChaCha8Rng,
    outputs: VecDeque<Output>,
    leaving: bool,
}

impl Swim {
    /// Creates a membership of one. `own` carries the first incarnation; an incarnation from the
    /// clock exceeds those of earlier runs.
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

    /// Returns the next pending action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time of the next [`Input::Tick`].
    pub fn next_deadline(&self) -> Option<Micros> {
        self.timers.first().map(|(t, _)| *t)
    }

    /// Returns all members except this instance.
    pub fn members(&self) -> impl Iterator<Item = View> + '_ {
        self.members.values().map(|m| View {
            record: m.record.clone(),
            state: m.standing,
            since: m.since,
            heard: m.heard,
        })
    }

    /// Returns a member's state.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        self.members.get(name).map(|m| m.standing)
    }

    /// Returns the own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the local health score: 0 for healthy, 8 at most.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    fn live_members(&self) -> usize {
        self.members
            .values()
            .filter(|m| m.standing <= MemberState::Suspect)
            .count()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Message(from, address, message) => {
                self.handle_message(now, &from, address, message)
            }
            Input::KnownMembers(records, seeds) => {
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

    /// Replaces the own record with a newly sealed one.
    pub fn renew(&mut self, record: Record) {
        self.pending_incarnation = None;
        let leaving = record.leaving;
        self.own = record;
        let name = self.own.name.clone();
        self.news
            .retain(|(_, n)| !matches!(n, News::Record(r) if *r == name));
        self.queue_news(News::Record(name));
        if leaving {
            // Notifies a few members at once, because this instance sends nothing later.
            for address in self.pick_members(self.settings.indirect + 1, "") {
                self.next_number += 1;
                self.send(address, MessageKind::Sync(false));
            }
        }
    }

    /// Applies a sealed accusation by this instance.
    pub fn accuse(&mut self, now: Micros, accusation: Suspicion) {
        self.apply_accusation(now, accusation);
    }

    fn queue_news(&mut self, news: News) {
        self.news.push((0, news));
    }

    /// Returns up to `max_items` items to piggyback, those with the fewest sends first.
    fn take_news(&mut self, max_items: usize) -> (Vec<Record>, Vec<Suspicion>) {
        let n = self.live_members() as u32 + 2;
        let times = RETRANSMIT_FACTOR * (32 - n.leading_zeros());
        // A refutation precedes the accusation that it refutes.
        self.news
            .sort_by_key(|(sent, n)| (*sent, matches!(n, News::Accusation(_))));
        let (mut records, mut accusations) = (Vec::new(), Vec::new());
        for (sent, news) in self.news.iter_mut().take(max_items) {
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

    fn send(&mut self, to: SocketAddr, say: MessageKind) {
        let (records, mut accusations) = self.take_news(PIGGYBACKED_PER_MESSAGE);
        // Lifeguard's buddy system: every message to a suspected or dead member carries the
        // accusation.
        let last_suspicion = self
            .members
            .values()
            .find(|m| m.record.address == to)
            .and_then(|m| m.last_suspicion.clone());
        accusations.extend(last_suspicion);
        self.outputs.push_back(Output::Send(
            to,
            Message {
                kind: say,
                records,
                accusations,
            },
        ));
    }

    /// Returns the addresses of up to `n` random alive members other than `except`.
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
        self.outputs.push_back(Output::StoreMembers);
    }

    // ---- Received messages ----

    fn handle_message(&mut self, now: Micros, from: &str, address: SocketAddr, message: Message) {
        let Message {
            kind: say,
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
            MessageKind::Ping(number, name) if name == self.own.name => {
                self.send(address, MessageKind::Ack(number));
            }
            // The probe is for a member that had this address before.
            MessageKind::Ping(..) => {}
            MessageKind::Ack(number) => self.handle_ack(now, from, number),
            MessageKind::Nack(number) => {
                if let Some(p) = self.probes.get_mut(&number) {
                    p.nacks += 1;
                }
            }
            MessageKind::PingRequest(number, name) => {
                let Some(to) = self.members.get(&name).map(|m| m.record.address) else {
                    return;
                };
                if self.indirect_requests.len() >= 64 {
                    return;
                }
                self.next_number += 1;
                let own_number = self.next_number;
                self.indirect_requests.insert(own_number, (address, number));
                self.timers.insert((
                    now + self.settings.timeout,
                    Timer::IndirectTimeout(own_number),
                ));
                self.send(to, MessageKind::Ping(own_number, name));
            }
            MessageKind::Sync(wants_reply) => {
                // Answers each member at most once per second, so that more requests cost no more
                // traffic.
                let answered_recently = self
                    .members
                    .get(from)
                    .is_some_and(|m| now < m.synced + SECOND);
                if wants_reply && !answered_recently {
                    if let Some(m) = self.members.get_mut(from) {
                        m.synced = now;
                    }
                    // A new member receives all pages of the member list at once, up to a limit.
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

    /// Returns whether accusations by this member are ignored.
    fn is_muted(&self, now: Micros, by: &str) -> bool {
        self.refuted_accusations
            .get(by)
            .is_some_and(|(n, at)| *n >= MAX_REFUTED_ACCUSATIONS && now < at + MUTE_DURATION)
    }

    /// Counts a refuted accusation against its accuser.
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
        if let Some((requester, requester_number)) = self.indirect_requests.remove(&number) {
            return self.send(requester, MessageKind::Ack(requester_number));
        }
        let Some(p) = self.probes.get(&number) else {
            return;
        };
        // A relayed ack carries the relay's name, so it counts once indirect probes were requested.
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

    /// Applies a record sealed by its member.
    fn apply_record(&mut self, now: Micros, record: Record) {
        let name = record.name.clone();
        if name == self.own.name {
            // An own record from an earlier run or from a clock that was ahead: a higher
            // incarnation supersedes it.
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
                // A departed member is irrelevant to an instance that did not know it.
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

    /// Applies an accusation of a member.
    fn apply_accusation(&mut self, now: Micros, a: Suspicion) {
        if a.accused == self.own.name {
            if a.incarnation == self.own.incarnation && !self.leaving {
                // An accusation indicates that this instance is slow, unless the accuser is muted.
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
        // Only members may accuse, and only while they are not muted.
        let known = a.by == self.own.name
            || self
                .members
                .get(&a.by)
                .is_some_and(|m| m.standing != MemberState::Left);
        if !known || self.is_muted(now, &a.by) {
            return;
        }
        let n = self.live_members();
        let min_duration = self.min_suspicion_duration(n);
        let max_duration = (min_duration as f64 * self.settings.max_suspicion_factor) as Micros;
        let Some(m) = self.members.get_mut(&a.accused) else {
            return;
        };
        // Ignores accusations of an incarnation that the accused never sealed or has superseded.
        let counts = a.incarnation == m.record.incarnation && m.standing <= MemberState::Suspect;
        if !counts || m.accusers.contains(&a.by) || m.accusers.len() > CONFIRMATIONS as usize {
            return;
        }
        m.accusers.insert(a.by.clone());
        m.last_suspicion = Some(a.clone());
        let confirmations = (m.accusers.len() - 1) as f64;
        let reduction = (confirmations + 1.0).ln() / (f64::from(CONFIRMATIONS) + 1.0).ln();
        let duration =
            max_duration - ((max_duration - min_duration) as f64 * reduction.min(1.0)) as Micros;
        let started = m.suspicion.map_or(now, |(started, _)| started);
        m.suspicion = Some((started, started + duration));
        self.queue_news(News::Accusation(a.clone()));
        self.set_state(now, &a.accused, MemberState::Suspect);
        self.timers.insert((started + duration, Timer::Sweep));
    }

    fn min_suspicion_duration(&self, n: usize) -> Micros {
        let digits = ((n.max(1) as f64).log10()).max(1.0);
        (self.settings.min_suspicion * digits * self.settings.interval as f64) as Micros
    }

    // ---- Timers ----

    fn run_timer(&mut self, now: Micros, timer: Timer) {
        let slowdown = Micros::from(self.health_score + 1);
        match timer {
            Timer::Probe => {
                self.probe(now);
                self.timers
                    .insert((now + self.settings.interval * slowdown, Timer::Probe));
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
                    self.send(to, MessageKind::PingRequest(number, target.clone()));
                }
            }
            Timer::ProbeEnd(number) => {
                let Some(p) = self.probes.remove(&number) else {
                    return;
                };
                // The members asked send a nack if only the target is silent, so missing nacks
                // indicate a problem of this instance.
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
                if let Some((requester, requester_number)) = self.indirect_requests.remove(&number)
                {
                    self.send(requester, MessageKind::Nack(requester_number));
                }
            }
            Timer::Sync => {
                let others = self.pick_members(1, "");
                let to = match others.first() {
                    Some(to) => Some(*to),
                    // No live members: tries the seeds and the earlier members.
                    None => self.any_address(),
                };
                let sync_delay = if others.is_empty() {
                    self.settings.interval
                } else {
                    self.settings.sync
                };
                if let Some(to) = to {
                    self.sync(to, true);
                }
                self.timers.retain(|(_, d)| *d != Timer::Sync);
                self.timers.insert((now + sync_delay, Timer::Sync));
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
            // Dead members are contacted occasionally; otherwise the halves of a partitioned group
            // would never merge again.
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
            let slowdown = Micros::from(self.health_score + 1);
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
                now + self.settings.timeout * slowdown,
                Timer::DirectTimeout(number),
            ));
            self.timers.insert((
                now + self.settings.interval * slowdown,
                Timer::ProbeEnd(number),
            ));
            return self.send(address, MessageKind::Ping(number, name));
        }
    }

    /// Returns the number of pages of a full state exchange.
    fn pages(&self) -> usize {
        self.live_members().div_ceil(MEMBERS_PER_MESSAGE - 1).max(1)
    }

    /// Sends the next page of the known members.
    fn sync(&mut self, to: SocketAddr, wants_reply: bool) {
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
            kind: MessageKind::Sync(wants_reply),
            records: all,
            accusations,
        };
        self.outputs.push_back(Output::Send(to, message));
    }

    fn sweep(&mut self, now: Micros) {
        let expired = |m: &&Member| m.suspicion.is_some_and(|(_, end)| end <= now);
        let dead: Vec<String> = self
            .members
            .values()
            .filter(expired)
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
