//! One gateway's part in the council, as one value: voter or follower, grantor when it leads, holder of duties, and the fence
//! for what others' duties bring. The gateway's driver, the emulator and the tests drive the very same.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::learners::{CatchUp, Learner, LearnerProgress, MAX_CATCH_UP_ENTRIES};
use crate::consensus::peer_memory::KnownState;
use crate::consensus::persistent_state::{PersistentState, Record};
use crate::consensus::state::{Entry, State, SubsystemEntry};
use crate::consensus::voter::{self, DisabledVoterGuards, Voter};
use crate::consensus::wire::{Body, Forwarded, LeaseEffect, LeaseReport};
use crate::consensus::ReplicaId;
use crate::lease::fence::{Fence, FenceError};
use crate::lease::grantor::{self, GrantReason, LeaseGrantor};
use crate::lease::holder::{self, HolderState, RenewReply, RenewRequest};
use crate::lease::ledger;
use crate::lease::{LeaseHolder, LeaseName, Term};

/// Ways back to those who asked through another voter; the oldest are forgotten, and asked again.
const MOST_ROUTES: usize = 4096;

/// What a member is begun with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: Arc<str>,
    /// A number that no other process of this name has.
    pub process: u64,
    /// Those that are known to vote, or may come to: whom to ask.
    pub contacts: BTreeSet<Arc<str>>,
    /// The duties of the operator's list.
    pub leases: BTreeSet<LeaseName>,
    /// How long leases last.
    pub lease: crate::lease::Settings,
    /// How the voters keep time.
    pub voter: voter::Settings,
    /// Draws spans.
    pub seed: u64,
    /// Guards taken out, for tests.
    pub disabled_guards: DisabledGuards,
}

/// Guards that a test takes out, to see what they hold off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// The voters'.
    pub voter: DisabledVoterGuards,
    /// An effect's term is not looked at by who receives it.
    pub terms: bool,
    /// An owner does not look at its lease.
    pub lease: bool,
    /// An owner does not look at its lease again when an effect's bytes are queued to leave.
    pub queue: bool,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// Another gateway said something; its name was sealed.
    Frame(Arc<str>, Body),
    /// The connection to another has ended, or never came up.
    Disconnected(Arc<str>),
    /// All records up to this number are kept.
    Persisted(u64),
    /// Whether this gateway can do duties at all.
    SetEligible(bool),
    /// An effect of a duty of its own: dropped unless the lease runs.
    Act(LeaseName, Vec<u8>),
    /// Something for whoever owns a duty; it may get lost.
    Report(LeaseName, Vec<u8>),
    /// An entry of another subsystem is to be agreed; it may get lost.
    Submit(SubsystemEntry),
    /// An operator has one gateway vote, or another no more.
    Exchange {
        /// Who comes; it has a seat and follows here.
        joins: Option<Arc<str>>,
        /// Who goes.
        leaves: Option<Arc<str>>,
    },
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send to another gateway; it may get lost.
    Send(Arc<str>, Body),
    /// Send an effect of one's own, unless its lease has ended by the time its bytes are queued, or ends while they wait.
    SendOwn(Arc<str>, LeaseEffect),
    /// Keep this, and report its number.
    Persist(u64, Box<Record>),
    /// A duty may be done from now on.
    LeaseBegan(LeaseName, Term),
    /// It may not any more.
    LeaseEnded(LeaseName, Term),
    /// An effect of another is taken.
    EffectReceived(LeaseEffect),
    /// Another has something for this owner of a duty.
    ReportReceived(LeaseName, Arc<str>, Vec<u8>),
    /// What is agreed for other subsystems may have changed; also where a proposal had no effect.
    SubsystemChanged,
    /// Something to be recorded, in order.
    Record(HistoryEvent),
}

/// What a member records of itself, for a checker apart from it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// An entry of duties took hold here.
    Agreed {
        /// Its place.
        index: u64,
        /// The duty.
        duty: LeaseName,
        /// The term.
        term: Term,
        /// Its owner; none if it was given back.
        owner: Option<LeaseHolder>,
    },
    /// The state was replaced up to a place.
    Restored {
        /// The place.
        index: u64,
    },
    /// This gateway may do a duty.
    Began {
        /// Which.
        duty: LeaseName,
        /// Under which term.
        term: Term,
    },
    /// It may not any more.
    Ended {
        /// Which.
        duty: LeaseName,
        /// Under which term.
        term: Term,
    },
    /// It decided on an effect.
    Acted {
        /// Under which duty.
        duty: LeaseName,
        /// Under which term.
        term: Term,
        /// Which of its effects.
        number: u64,
    },
    /// The bytes of an effect of its own were queued to leave.
    Sent {
        /// Under which duty.
        duty: LeaseName,
        /// Under which term.
        term: Term,
        /// Which of its effects.
        number: u64,
    },
    /// It took an effect of another.
    Accepted {
        /// Under which duty.
        duty: LeaseName,
        /// Under which term.
        term: Term,
        /// Whose.
        owner: Arc<str>,
        /// Which of its effects.
        number: u64,
    },
    /// It refused an effect of another.
    Refused {
        /// Under which duty.
        duty: LeaseName,
        /// Under which term.
        term: Term,
        /// Whose.
        owner: Arc<str>,
        /// Which of its effects.
        number: u64,
        /// Why.
        why: String,
    },
    /// It took back an effect of its own that had not left.
    TakenBack {
        /// Under which duty.
        duty: LeaseName,
        /// Under which term.
        term: Term,
        /// Which of its effects.
        number: u64,
    },
    /// It leads the council.
    Leads {
        /// In which term of the log.
        term: u64,
    },
    /// It leads no more.
    Follows,
    /// Its seat does not vote any more.
    Retired {
        /// Why.
        why: String,
    },
}

/// One gateway's part.
#[derive(Debug)]
pub struct Participant {
    settings: Settings,
    voter: Option<Voter>,
    voter_error: Option<String>,
    follower: Learner,
    followed: LearnerProgress,
    grantor: LeaseGrantor,
    holder: HolderState,
    fence: Fence,
    /// The last effect taken under the highest term of a duty.
    taken: BTreeMap<LeaseName, (Term, u64)>,
    /// How many effects were decided on under a term of one's own.
    acted: BTreeMap<LeaseName, (Term, u64)>,
    routes: BTreeMap<LeaseHolder, (u64, Option<Arc<str>>)>,
    /// Seats of others that spoke before this one had a word of who votes.
    heard: BTreeMap<ReplicaId, Arc<str>>,
    /// The generation of who makes it a voter, until it has a word of it.
    adopted: u32,
    asked: u64,
    voted: bool,
    outputs: VecDeque<Output>,
}

impl Participant {
    /// One that votes if its disk says so, and follows otherwise. What a disk holds that cannot be used is told by
    /// [`WorkerEntry::unfit`], and does not keep the gateway from following.
    pub fn new(settings: Settings, kept: Option<PersistentState>, now: Micros) -> Participant {
        let (mut council, mut unfit) = (None, None);
        if let Some(kept) = kept {
            let (c, process, seed) = (settings.voter, settings.process, settings.seed);
            match Voter::new(c, kept, process, seed, now, settings.disabled_guards.voter) {
                Ok(c) => council = Some(c),
                Err(e) => unfit = Some(e.to_string()),
            }
        }
        let owner = LeaseHolder {
            name: settings.name.clone(),
            incarnation: settings.process,
        };
        let voters: Vec<Arc<str>> = settings
            .contacts
            .iter()
            .filter(|c| **c != settings.name)
            .cloned()
            .collect();
        let seat = council.as_ref().map(Voter::seat);
        let grantor = LeaseGrantor::new(settings.lease, settings.leases.clone());
        let holder = HolderState::new(settings.lease, owner, now);
        let mut member = Participant {
            follower: Learner::new(voters, seat, settings.seed),
            followed: LearnerProgress::default(),
            grantor,
            holder,
            fence: Fence::default(),
            taken: BTreeMap::new(),
            acted: BTreeMap::new(),
            routes: BTreeMap::new(),
            heard: BTreeMap::new(),
            adopted: 0,
            asked: 0,
            voted: false,
            outputs: VecDeque::new(),
            settings,
            voter: council,
            voter_error: unfit,
        };
        if let Some(c) = &member.voter {
            // What the snapshot says is applied already; entries behind it come.
            member
                .grantor
                .handle(now, grantor::Input::Restored(c.state().leases.clone()));
        }
        if let Some(why) = member.voter_error.clone() {
            member.note(HistoryEvent::Retired { why });
        }
        member.settle(now);
        member
    }

    /// The disk of its seat has become free, as the process before this one has ended.
    pub fn begin_voting(&mut self, now: Micros, kept: PersistentState) {
        let (c, process, seed) = (
            self.settings.voter,
            self.settings.process,
            self.settings.seed,
        );
        match Voter::new(
            c,
            kept,
            process,
            seed,
            now,
            self.settings.disabled_guards.voter,
        ) {
            Ok(c) => {
                self.grantor
                    .handle(now, grantor::Input::Restored(c.state().leases.clone()));
                self.voter = Some(c);
            }
            Err(e) => {
                let why = e.to_string();
                self.voter_error = Some(why.clone());
                self.note(HistoryEvent::Retired { why });
            }
        }
        self.settle(now);
    }

    /// Whether the second look at a lease is taken out, for a test.
    pub fn queue_guard_disabled(&self) -> bool {
        self.settings.disabled_guards.queue
    }

    /// Its name.
    pub fn name(&self) -> &Arc<str> {
        &self.settings.name
    }

    /// Why its disk does not make it a voter, if it does not.
    pub fn voter_error(&self) -> Option<&str> {
        self.voter_error
            .as_deref()
            .or_else(|| self.voter.as_ref().and_then(Voter::retired))
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|c| c.votes() && c.state().voters.contains_key(&c.seat()))
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// The voter's machine, if it has one.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The state as far as it knows.
    pub fn state(&self) -> &State {
        match &self.voter {
            Some(c) if self.voted => c.state(),
            _ => self.follower.state(),
        }
    }

    /// Whether it has heard of what is agreed since it began, and does not go by its disk alone.
    pub fn is_caught_up(&self) -> bool {
        match &self.voter {
            Some(c) if self.voted => c.is_current(),
            _ => !self.follower.state().voters.is_empty(),
        }
    }

    /// The name of who leads, as far as it knows.
    pub fn leader(&self) -> Option<Arc<str>> {
        let c = self.voter.as_ref().filter(|_| self.voted)?;
        self.name_of(c.leader()?)
    }

    /// Which voter it asks, while it follows.
    pub fn catch_up_source(&self) -> Option<&Arc<str>> {
        self.follower.asks().filter(|_| !self.voted)
    }

    /// Followers whose questions wait here.
    pub fn learners(&self) -> usize {
        self.followed.len()
    }

    /// Seats of followers that could be made voters, by their names.
    pub fn replicas(&self) -> BTreeMap<Arc<str>, String> {
        self.followed
            .seats()
            .map(|(n, s)| (n.clone(), format!("{s:016x}")))
            .collect()
    }

    /// The term under which a duty may be done now, if it may.
    pub fn held_term(&self, now: Micros, duty: &LeaseName) -> Option<Term> {
        if self.settings.disabled_guards.lease {
            return self
                .holder
                .held_leases()
                .find(|(d, ..)| *d == duty)
                .map(|(_, term, _)| term);
        }
        self.holder.held_term(now, duty)
    }

    /// Whether an effect of one's own may still leave: asked when its bytes are queued.
    pub fn still_holds(&self, now: Micros, duty: &LeaseName, term: Term) -> bool {
        self.settings.disabled_guards.queue
            || self.settings.disabled_guards.lease
            || self.holder.still_holds(now, duty, term)
    }

    /// What it holds: the duty, its term, and until when it may act.
    pub fn held_leases(&self) -> impl Iterator<Item = (&LeaseName, Term, Option<Micros>)> {
        self.holder.held_leases()
    }

    /// Why a duty has no owner who acts, as far as a leader can tell.
    pub fn grant_reason(&self, now: Micros, duty: &LeaseName) -> Option<GrantReason> {
        self.grantor.grant_reason(now, duty)
    }

    /// Those with whom it keeps a connection: the other voters while it votes, else the one that it asks.
    pub fn peers(&self) -> BTreeSet<Arc<str>> {
        let others = |names: &mut dyn Iterator<Item = Arc<str>>| {
            names.filter(|n| *n != self.settings.name).collect()
        };
        match &self.voter {
            Some(c) if c.retired().is_none() && !c.state().voters.is_empty() => {
                let voters = c
                    .state()
                    .voters
                    .values()
                    .chain(&self.settings.contacts)
                    .cloned();
                others(&mut voters.into_iter())
            }
            _ => others(&mut self.follower.asks().cloned().into_iter()),
        }
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let mut next = self.holder.next_deadline();
        let council = self.voter.as_ref().and_then(Voter::next_deadline);
        let follower = (!self.voted).then(|| self.follower.next_deadline(now));
        for t in [
            council,
            follower,
            self.grantor.next_deadline(now),
            self.followed.next_deadline(),
        ] {
            next = t.map_or(next, |t| t.min(next));
        }
        next
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Frame(from, body) => self.frame(now, &from, body),
            Input::Disconnected(name) => {
                if self.catch_up_source() == Some(&name) {
                    self.follower.lost(now);
                }
            }
            Input::Persisted(number) => self.council_handle(now, voter::Input::Persisted(number)),
            Input::SetEligible(able) => self.holder.handle(now, holder::Input::SetEligible(able)),
            Input::Act(duty, content) => self.act(now, duty, content),
            Input::Report(duty, content) => {
                let from = self.settings.name.clone();
                self.report(
                    LeaseReport {
                        lease: duty,
                        from,
                        content,
                    },
                    false,
                );
            }
            Input::Submit(entry) => self.bring(entry, false),
            Input::Exchange { joins, leaves } => {
                let joins = joins.and_then(|n| Some((self.followed.seat(&n)?, n)));
                // A name may have an old seat that votes and a new one that does not yet.
                let new = joins.as_ref().map(|(s, _)| *s);
                let voters = &self.state().voters;
                let old = |n: Arc<str>| {
                    voters
                        .iter()
                        .find(|(s, v)| **v == n && Some(**s) != new)
                        .map(|(s, _)| *s)
                };
                let leaves = leaves.and_then(old);
                self.council_handle(now, voter::Input::Exchange { joins, leaves });
            }
            Input::Tick => {}
        }
        self.council_handle(now, voter::Input::Tick);
        self.grantor.handle(now, grantor::Input::Tick);
        self.holder.handle(now, holder::Input::Tick);
        self.settle(now);
    }

    fn council_handle(&mut self, now: Micros, input: voter::Input<'_>) {
        if let Some(c) = &mut self.voter {
            c.handle(now, input);
        }
    }

    fn note(&mut self, note: HistoryEvent) {
        self.outputs.push_back(Output::Record(note));
    }

    fn say(&mut self, to: Arc<str>, body: Body) {
        self.outputs.push_back(Output::Send(to, body));
    }

    fn name_of(&self, seat: ReplicaId) -> Option<Arc<str>> {
        let c = self.voter.as_ref()?;
        // One that has just been made a voter does not know the others yet; founders' seats follow from their names.
        let known = c.state().voters.get(&seat).cloned();
        let generation = c.state().generation;
        known
            .or_else(|| {
                self.settings
                    .contacts
                    .iter()
                    .find(|n| crate::consensus::bootstrap_voter(generation, n) == seat)
                    .cloned()
            })
            .or_else(|| self.heard.get(&seat).cloned())
    }

    /// Whether a seat may speak by this name.
    fn is_seat_of(&mut self, seat: ReplicaId, name: &Arc<str>) -> bool {
        if let Some(its) = self.name_of(seat) {
            return its == *name;
        }
        // Only while it has no word of who votes: who makes it a voter speaks first.
        let new = self
            .voter
            .as_ref()
            .is_some_and(|c| c.state().voters.is_empty());
        if new
            && self.heard.len() < crate::consensus::MAX_VOTERS
            && self.settings.contacts.contains(name)
        {
            self.heard.insert(seat, name.clone());
        }
        new
    }

    fn is_voter(&self, name: &Arc<str>) -> bool {
        self.state().voters.values().any(|v| v == name)
    }

    fn generation(&self) -> u32 {
        match &self.voter {
            Some(c) if c.state().voters.is_empty() => self.adopted,
            Some(c) => c.state().generation,
            None => self.follower.state().generation,
        }
    }

    fn frame(&mut self, now: Micros, from: &Arc<str>, body: Body) {
        match body {
            Body::Raft(generation, seat, boots, process, bytes) => {
                if self.settings.contacts.contains(from) {
                    self.adopted = self.adopted.max(generation);
                }
                if generation == self.generation() && self.is_seat_of(seat, from) {
                    self.council_handle(
                        now,
                        voter::Input::Message {
                            from: seat,
                            boots,
                            process,
                            bytes: &bytes,
                        },
                    );
                }
            }
            Body::RecallRequest(generation, seat, own) => {
                if generation == self.generation() && self.is_seat_of(seat, from) {
                    self.council_handle(now, voter::Input::RecallRequest { from: seat, own });
                }
            }
            Body::RecallReply(generation, seat, known, by) => {
                let own = self.voter.as_ref().map(Voter::seat) == Some(seat);
                if generation == self.generation() && own && self.is_seat_of(by, from) {
                    self.council_handle(now, voter::Input::RecallReply { from: by, known });
                }
            }
            Body::RenewLeases(ask, via) => self.asked(now, from, ask, via.map(Into::into)),
            Body::RenewReply(answer) => {
                // Only a voter grants leases or passes them on.
                if self.is_voter(from) || self.settings.contacts.contains(from) {
                    self.answer(now, answer);
                }
            }
            Body::Poll(poll) => {
                if self.voted {
                    self.followed.asked(now, from, poll);
                }
            }
            Body::Entries(generation, entries, passed) if self.catch_up_source() == Some(from) => {
                let news = self.follower.entries(generation, entries, passed);
                self.news(now, news);
            }
            Body::State(state, passed) if self.catch_up_source() == Some(from) => {
                let news = self.follower.restored(*state, passed);
                self.news(now, news);
            }
            Body::Entries(..) | Body::State(..) => {}
            Body::Report(report, passed) => {
                if report.from == *from || passed && self.is_voter(from) {
                    self.report(report, passed);
                }
            }
            Body::Submit(entry, passed) => {
                if entry.by() == from || passed && self.is_voter(from) {
                    self.bring(entry, passed);
                }
            }
            // The driver has given it to whom it is for.
            Body::Replication(_) => {}
            Body::Effect(effect) => {
                // Its owner itself, or a voter that passes it on.
                let straight = effect.holder == *from;
                if straight || self.is_voter(from) {
                    let own = !self.is_voter(from);
                    self.effect(now, effect, own);
                }
            }
        }
    }

    fn asked(&mut self, now: Micros, from: &Arc<str>, ask: RenewRequest, via: Option<Arc<str>>) {
        let straight = via.is_none() && ask.from.name == *from;
        let passed = via.as_ref() == Some(from) && self.is_voter(from);
        if !(straight || passed) {
            return;
        }
        if self.leads() {
            self.asked += 1;
            self.routes.insert(ask.from.clone(), (self.asked, via));
            if self.routes.len() > MOST_ROUTES {
                let oldest = self
                    .routes
                    .iter()
                    .min_by_key(|(_, (n, _))| *n)
                    .map(|(o, _)| o.clone());
                oldest.map(|o| self.routes.remove(&o));
            }
            self.grantor.handle(now, grantor::Input::Renew(ask));
        } else if let Some(leader) = self
            .leader()
            .filter(|l| straight && l != &self.settings.name)
        {
            let me = self.settings.name.to_string();
            self.say(leader, Body::RenewLeases(ask, Some(me)));
        }
    }

    fn answer(&mut self, now: Micros, answer: RenewReply) {
        if answer.to.name == self.settings.name {
            self.holder.handle(now, holder::Input::Reply(answer));
        } else if self.voted {
            let to = answer.to.name.clone();
            self.say(to, Body::RenewReply(answer));
        }
    }

    fn news(&mut self, now: Micros, news: CatchUp) {
        if self.voted {
            return;
        }
        if news.restored {
            let (index, ledger) = (
                self.follower.state().applied,
                self.follower.state().leases.clone(),
            );
            self.note(HistoryEvent::Restored { index });
            self.holder.handle(now, holder::Input::Restored(ledger));
            self.outputs.push_back(Output::SubsystemChanged);
        }
        for (index, entry, held) in news.applied {
            match entry {
                Entry::Lease(entry) if held => self.agreed(now, index, entry),
                // Also one without effect: whoever proposed it learns what stands.
                Entry::ReplicaSets(_) | Entry::Tenants(_) => {
                    self.outputs.push_back(Output::SubsystemChanged)
                }
                _ => {}
            }
        }
        for effect in news.effects {
            self.effect(now, effect, false);
        }
    }

    /// An entry of duties took hold where this member takes its word from.
    fn agreed(&mut self, now: Micros, index: u64, entry: ledger::Entry) {
        let (duty, term, owner) = match &entry {
            ledger::Entry::Grant {
                lease: duty,
                holder: owner,
                term,
            } => (duty.clone(), *term, Some(owner.clone())),
            ledger::Entry::Released { lease: duty, term } => (duty.clone(), *term, None),
        };
        self.note(HistoryEvent::Agreed {
            index,
            duty,
            term,
            owner,
        });
        self.holder.handle(now, holder::Input::Applied(entry));
    }

    fn act(&mut self, now: Micros, duty: LeaseName, content: Vec<u8>) {
        // The first look at the lease; the second comes when the bytes are queued.
        let Some(term) = self.held_term(now, &duty) else {
            return;
        };
        let count = self.acted.entry(duty.clone()).or_default();
        if count.0 != term {
            *count = (term, 0);
        }
        count.1 += 1;
        let effect = LeaseEffect {
            lease: duty,
            term,
            holder: self.settings.name.clone(),
            number: count.1,
            content,
        };
        self.note(HistoryEvent::Acted {
            duty: effect.lease.clone(),
            term,
            number: effect.number,
        });
        // What it does it knows itself; its own fence learns of the term.
        let _ = self.fence.admit(&effect.lease, term);
        let to: Vec<Arc<str>> = match self.voted {
            true => {
                self.followed.pass(effect.clone());
                self.other_voters()
            }
            false => self.follower.asks().cloned().into_iter().collect(),
        };
        for to in to {
            self.outputs.push_back(Output::SendOwn(to, effect.clone()));
        }
    }

    /// To the duty's owner, by the shortest way that there may be.
    fn report(&mut self, report: LeaseReport, passed: bool) {
        let Some(owner) = self
            .state()
            .leases
            .record(&report.lease)
            .holder
            .map(|o| o.name)
        else {
            return;
        };
        if owner == self.settings.name {
            if report.from != owner {
                self.outputs.push_back(Output::ReportReceived(
                    report.lease,
                    report.from,
                    report.content,
                ));
            }
        } else if !self.voted {
            self.follower
                .asks()
                .cloned()
                .into_iter()
                .for_each(|to| self.say(to, Body::Report(report.clone(), false)));
        } else if self.is_voter(&owner) || self.followed.knows(&owner) {
            self.say(owner, Body::Report(report, true));
        } else if !passed {
            // It follows at another voter.
            for to in self.other_voters() {
                self.say(to, Body::Report(report.clone(), true));
            }
        }
    }

    /// To whoever leads, by the shortest way that there may be; it is proposed again by whoever wants it.
    fn bring(&mut self, entry: SubsystemEntry, passed: bool) {
        if self.leads() {
            if let Some(c) = &mut self.voter {
                c.propose(&entry.entry());
            }
        } else if let Some(leader) = self
            .leader()
            .filter(|l| !passed && *l != self.settings.name)
        {
            self.say(leader, Body::Submit(entry, true));
        } else if let Some(to) = self.catch_up_source().cloned().filter(|_| !passed) {
            self.say(to, Body::Submit(entry, false));
        }
    }

    fn other_voters(&self) -> Vec<Arc<str>> {
        self.state()
            .voters
            .values()
            .filter(|n| **n != self.settings.name)
            .cloned()
            .collect()
    }

    /// An effect of another came; `first` if this voter is the first that it came to.
    fn effect(&mut self, _: Micros, effect: LeaseEffect, first: bool) {
        if effect.holder == self.settings.name {
            return;
        }
        let LeaseEffect {
            lease: duty,
            term,
            holder: owner,
            number,
            ..
        } = effect.clone();
        let admitted = match self.fence.admit(&duty, term) {
            Err(FenceError::Stale { .. }) if self.settings.disabled_guards.terms => Ok(false),
            other => other,
        };
        if let Err(why) = admitted {
            return self.note(HistoryEvent::Refused {
                duty,
                term,
                owner,
                number,
                why: why.to_string(),
            });
        }
        // It may come by two ways.
        let last = self.taken.entry(duty.clone()).or_default();
        if !self.settings.disabled_guards.terms && (term, number) <= *last {
            return;
        }
        *last = (term, number);
        self.note(HistoryEvent::Accepted {
            duty,
            term,
            owner,
            number,
        });
        if self.voted {
            self.followed.pass(effect.clone());
            if first {
                for to in self.other_voters() {
                    self.say(to, Body::Effect(effect.clone()));
                }
            }
        }
        self.outputs.push_back(Output::EffectReceived(effect));
    }

    /// Carries what each part has to say to the others, until there is nothing left.
    fn settle(&mut self, now: Micros) {
        loop {
            if let Some(output) = self.voter.as_mut().and_then(Voter::output) {
                self.of_council(now, output);
            } else if let Some(output) = self.grantor.output() {
                self.of_grantor(now, output);
            } else if let Some(output) = self.holder.output() {
                self.of_holder(now, output);
            } else {
                break;
            }
            self.look_at_vote(now);
        }
        self.look_at_vote(now);
        if self.voted {
            self.answer_followers(now);
        } else if let Some((poll, _)) = self.follower.poll(now) {
            if let Some(to) = self.follower.asks().cloned() {
                self.say(to, Body::Poll(poll));
            }
        }
    }

    /// Its word comes from the log while it votes, and from a voter while it does not.
    fn look_at_vote(&mut self, now: Micros) {
        let votes = self.votes();
        if std::mem::replace(&mut self.voted, votes) != votes {
            let ledger = self.state().leases.clone();
            self.holder.handle(now, holder::Input::Restored(ledger));
            self.outputs.push_back(Output::SubsystemChanged);
            if !votes {
                self.followed = LearnerProgress::default();
            }
        }
    }

    fn of_council(&mut self, now: Micros, output: voter::Output) {
        let Some(c) = &self.voter else { return };
        let (generation, seat) = (self.generation(), c.seat());
        match output {
            voter::Output::Send(to, bytes) => {
                let (boots, process) = (c.boots(), c.process());
                if let Some(to) = self.name_of(to) {
                    self.say(to, Body::Raft(generation, seat, boots, process, bytes));
                }
            }
            voter::Output::Recall(own) => {
                for to in self.peers() {
                    self.say(to, Body::RecallRequest(generation, seat, own));
                }
            }
            voter::Output::Recalled(to, known) => {
                let known: KnownState = known;
                if let Some(name) = self.name_of(to) {
                    self.say(name, Body::RecallReply(generation, to, known, seat));
                }
            }
            voter::Output::Persist(number, record) => {
                self.outputs.push_back(Output::Persist(number, record))
            }
            voter::Output::Applied(_, Entry::ReplicaSets(_) | Entry::Tenants(_), _)
                if self.voted =>
            {
                self.outputs.push_back(Output::SubsystemChanged)
            }
            voter::Output::Applied(index, entry, held) => {
                if let (Entry::Lease(entry), true) = (entry, held) {
                    self.grantor
                        .handle(now, grantor::Input::Applied(entry.clone()));
                    if self.voted {
                        self.agreed(now, index, entry);
                    }
                }
            }
            voter::Output::Restored => {
                let (index, ledger) = (c.state().applied, c.state().leases.clone());
                self.grantor
                    .handle(now, grantor::Input::Restored(ledger.clone()));
                if self.voted {
                    self.note(HistoryEvent::Restored { index });
                    self.holder.handle(now, holder::Input::Restored(ledger));
                    self.outputs.push_back(Output::SubsystemChanged);
                }
            }
            voter::Output::BecameLeader => {
                let term = c.term();
                self.note(HistoryEvent::Leads { term });
                self.grantor.handle(now, grantor::Input::BecameLeader);
            }
            voter::Output::LostLeadership => {
                self.note(HistoryEvent::Follows);
                self.grantor.handle(now, grantor::Input::LostLeadership);
                self.routes.clear();
            }
            voter::Output::Confirmed(number) => {
                self.grantor.handle(now, grantor::Input::Confirmed(number))
            }
            voter::Output::Retired(why) => self.note(HistoryEvent::Retired { why }),
        }
    }

    fn of_grantor(&mut self, now: Micros, output: grantor::Output) {
        match output {
            grantor::Output::Confirm(number) => {
                self.council_handle(now, voter::Input::Confirm(number))
            }
            grantor::Output::Propose(entry) => {
                self.council_handle(now, voter::Input::Propose(Entry::Lease(entry)))
            }
            grantor::Output::Reply(answer) => {
                let via = self.routes.get(&answer.to).and_then(|(_, via)| via.clone());
                let to = via.unwrap_or_else(|| answer.to.name.clone());
                if to == self.settings.name {
                    self.answer(now, answer);
                } else {
                    self.say(to, Body::RenewReply(answer));
                }
            }
        }
    }

    fn of_holder(&mut self, now: Micros, output: holder::Output) {
        match output {
            holder::Output::Renew(ask) => {
                if self.leads() {
                    let me = self.settings.name.clone();
                    self.asked(now, &me, ask, None);
                } else if let Some(to) = self.leader().or_else(|| self.catch_up_source().cloned()) {
                    self.say(to, Body::RenewLeases(ask, None));
                }
            }
            holder::Output::Began(duty, term) => {
                self.note(HistoryEvent::Began {
                    duty: duty.clone(),
                    term,
                });
                self.outputs.push_back(Output::LeaseBegan(duty, term));
            }
            holder::Output::Ended(duty, term) => {
                self.note(HistoryEvent::Ended {
                    duty: duty.clone(),
                    term,
                });
                self.outputs.push_back(Output::LeaseEnded(duty, term));
            }
        }
    }

    fn answer_followers(&mut self, now: Micros) {
        let (process, Some(c)) = (self.settings.process, &self.voter) else {
            return;
        };
        let state = c.state();
        for (name, poll) in self.followed.due(now, process, state) {
            let passed: Forwarded = self.followed.since(process, &poll);
            let same = poll.generation == state.generation;
            let body = match c
                .since(poll.applied + 1, MAX_CATCH_UP_ENTRIES)
                .filter(|_| same)
            {
                Some(entries) => Body::Entries(state.generation, entries, passed),
                None => Body::State(Box::new(state.clone()), passed),
            };
            self.outputs.push_back(Output::Send(name, body));
        }
    }
}

#[cfg(test)]
mod tests;
