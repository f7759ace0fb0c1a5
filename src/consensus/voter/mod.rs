//! The value that a voter drives.
//!
//! Around `raft`'s `RawNode`, which is a machine without I/O: its records are numbered and handed out, and what it says on
//! their ground waits until the driver reports them kept; its random spans are replaced by spans that follow from the seed
//! and the term, so that the emulator replays exactly; a new process says nothing before [`crate::consensus::peer_memory`] has cleared it; and
//! a panic of `raft`'s own, which a damaged disk can cause, ends the voting and not the gateway.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, EntryType, Message, MessageType};
use raft::{Config, RawNode, StateRole, Storage};

use crate::api::Micros;
use crate::consensus::peer_memory::{compare, KnownState, PeerMemory, Probation, StateLoss};
use crate::consensus::persistent_state::{DamagedState, Head, LogLine, PersistentState, Record};
use crate::consensus::state::{Entry, State};
use crate::consensus::{ReplicaId, MAX_VOTERS};

/// Ticks without a leader's word after which a voter asks for votes, at least; at most twice as many.
const ELECTION: usize = 10;
/// Ticks between a leader's words.
const HEARTBEAT: usize = 2;
/// Entries kept behind a snapshot before the next is made.
pub const ENTRIES_PER_SNAPSHOT: u64 = 256;
/// Bytes of entries in one message, so that no frame grows beyond what is taken.
const MOST_BYTES: u64 = 64 << 10;
/// Records on their way to the disk beyond which a voter neither hears nor ticks: its disk has failed or is full.
const MOST_RECORDS: usize = 128;
/// Bytes of entries that may wait to be agreed.
const MOST_WAITING: u64 = 256 << 10;

/// How a council keeps time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// One tick, microseconds. A leader speaks every 2, and is given up after 10 to 20.
    pub tick: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { tick: 50_000 }
    }
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A voter's message came: its seat, which start of its disk and which process that is, and the message.
    Message {
        /// Whose.
        from: ReplicaId,
        /// Which start of its disk.
        boots: u64,
        /// Which process.
        process: u64,
        /// `raft`'s message.
        bytes: &'a [u8],
    },
    /// Another asks what is known of its seat.
    RecallRequest {
        /// Whose.
        from: ReplicaId,
        /// What its disk says.
        own: KnownState,
    },
    /// Another tells what it knows of this seat.
    RecallReply {
        /// Who.
        from: ReplicaId,
        /// What it knows.
        known: KnownState,
    },
    /// All records up to this number are kept.
    Persisted(u64),
    /// An entry is to be agreed; dropped unless this voter leads.
    Propose(Entry),
    /// Does a majority still take this voter for its leader? Answered by [`Output::Confirmed`] or not at all.
    Confirm(u64),
    /// One seat is to vote instead of another; each may be absent.
    Exchange {
        /// Who comes.
        joins: Option<(ReplicaId, Arc<str>)>,
        /// Who goes.
        leaves: Option<ReplicaId>,
    },
    /// A deadline fell due.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send to a voter; one that gets lost is said again.
    Send(ReplicaId, Vec<u8>),
    /// Ask all other voters what they know of this seat.
    Recall(KnownState),
    /// Tell a voter what is known of its seat.
    Recalled(ReplicaId, KnownState),
    /// Keep this, and report its number.
    Persist(u64, Box<Record>),
    /// An entry is agreed; whether it took hold.
    Applied(u64, Entry, bool),
    /// A snapshot stands in the place of entries that were never seen here.
    Restored,
    /// This voter leads, and has applied all that was agreed before.
    BecameLeader,
    /// It leads no more.
    LostLeadership,
    /// A majority has confirmed, in a round begun after the question of this number came, that it leads.
    Confirmed(u64),
    /// This seat must not vote any more.
    Retired(String),
}

/// Why a voter cannot begin.
#[derive(Debug)]
pub enum VoterError {
    /// What its disk holds cannot be a voter's.
    Damaged(DamagedState),
    /// Its seat was retired.
    Retired(String),
    /// What its disk holds cannot be understood.
    Raft(String),
}

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VoterError::Damaged(e) => write!(f, "{e}"),
            VoterError::Retired(why) => write!(f, "its seat does not vote any more: {why}"),
            VoterError::Raft(e) => write!(f, "its log cannot be used: {e}"),
        }
    }
}

impl std::error::Error for VoterError {}

/// Guards that a test takes out, to see what they hold off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledVoterGuards {
    /// Pre-vote and quorum check.
    pub pre_vote: bool,
    /// The questions that a new process asks before its first word.
    pub probation: bool,
    /// That nothing is said before what it rests on is kept.
    pub kept: bool,
}

/// One voter.
pub struct Voter {
    raw: Option<RawNode<PersistentState>>,
    settings: Settings,
    seed: u64,
    process: u64,
    state: State,
    memory: PeerMemory,
    probation: Option<Probation>,
    retired: Option<String>,
    /// Records on their way to the disk, in order, with what waits for them.
    waits: VecDeque<(u64, Vec<Message>)>,
    number: u64,
    /// In which term `Leads` was told and `Follows` not.
    leads: Option<u64>,
    next: Micros,
    snapshot: u64,
    /// The last entry on its disk when it began.
    found: u64,
    outputs: VecDeque<Output>,
    without: DisabledVoterGuards,
}

impl fmt::Debug for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Council")
            .field("state", &self.state)
            .field("leads", &self.leads)
            .finish_non_exhaustive()
    }
}

fn mixed(seed: u64, term: u64) -> u64 {
    let mut x = seed ^ term.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// What `raft` may not be given: it would end the process over it.
fn bears(kept: &PersistentState, m: &Message) -> bool {
    let commits = matches!(m.get_msg_type(), MessageType::MsgHeartbeat);
    !commits || m.commit <= kept.last()
}

impl Voter {
    /// A voter on what its disk holds, begun by a process that is like no other. It asks before it speaks.
    pub fn new(
        settings: Settings,
        mut kept: PersistentState,
        process: u64,
        seed: u64,
        now: Micros,
        without: DisabledVoterGuards,
    ) -> Result<Voter, VoterError> {
        if let Some(why) = &kept.head.retired {
            return Err(VoterError::Retired(why.clone()));
        }
        kept.head.boots += 1;
        let (index, _, _, data) = &kept.head.snapshot;
        let state = State::read(data).map_err(|e| VoterError::Raft(e.to_string()))?;
        let (seat, snapshot, head, found) =
            (kept.head.seat, *index, kept.head.clone(), kept.last());
        let config = Config {
            id: seat,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: snapshot,
            max_size_per_msg: MOST_BYTES,
            max_inflight_msgs: 16,
            check_quorum: !without.pre_vote,
            pre_vote: !without.pre_vote,
            max_uncommitted_size: MOST_WAITING,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = catch_unwind(|| RawNode::new(&config, kept, &logger));
        let raw = raw.map_err(|_| VoterError::Raft("it contradicts itself".into()))?;
        let raw = raw.map_err(|e| VoterError::Raft(e.to_string()))?;
        let mut council = Voter {
            raw: Some(raw),
            settings,
            seed: seed ^ seat,
            process,
            state,
            memory: PeerMemory::default(),
            probation: (!without.probation).then(Probation::default),
            retired: None,
            waits: VecDeque::new(),
            number: 0,
            leads: None,
            next: now,
            snapshot,
            found,
            outputs: VecDeque::new(),
            without,
        };
        // That the disk was started once more is kept before a word leaves.
        council.keep(
            Record {
                head: Some(head),
                ..Record::default()
            },
            Vec::new(),
        );
        council.settle();
        Ok(council)
    }

    /// This seat.
    pub fn seat(&self) -> ReplicaId {
        self.raw.as_ref().map_or(0, |r| r.raft.id)
    }

    /// Which process it was begun by.
    pub fn process(&self) -> u64 {
        self.process
    }

    /// Which start of its disk this is.
    pub fn boots(&self) -> u64 {
        self.raw.as_ref().map_or(0, |r| r.store().head.boots)
    }

    /// The state as far as it was agreed and applied.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whose lead it follows, if anybody's; itself if it leads.
    pub fn leader(&self) -> Option<ReplicaId> {
        let raw = self.raw.as_ref().filter(|_| self.probation.is_none())?;
        Some(raw.raft.leader_id).filter(|l| *l != 0)
    }

    /// Whether somebody leads, and all that its disk held at the start is applied, or was replaced by what was agreed instead.
    pub fn is_current(&self) -> bool {
        let last = self.raw.as_ref().map_or(0, |raw| raw.store().last());
        self.leader().is_some() && self.state.applied >= self.found.min(last)
    }

    /// Whether it leads and has applied all that was agreed before.
    pub fn leads(&self) -> bool {
        self.leads.is_some()
    }

    /// The term it is in.
    pub fn term(&self) -> u64 {
        self.raw.as_ref().map_or(0, |r| r.raft.term)
    }

    /// Whether it has been cleared to vote.
    pub fn votes(&self) -> bool {
        self.raw.is_some() && self.probation.is_none() && self.retired.is_none()
    }

    /// Why it does not vote, if it must not.
    pub fn retired(&self) -> Option<&str> {
        self.retired.as_deref()
    }

    /// Entries kept behind the snapshot.
    pub fn entries(&self) -> usize {
        self.raw.as_ref().map_or(0, |r| r.store().len())
    }

    /// Agreed entries from an index on, at most so many; none if they are not kept any more.
    pub fn since(&self, index: u64, most: u64) -> Option<Vec<(u64, Entry)>> {
        let store = self.raw.as_ref()?.store();
        if index <= store.head.snapshot.0 || index > self.state.applied + 1 {
            return None;
        }
        let high = (self.state.applied + 1).min(index + most);
        let entries = store
            .entries(index, high, None, raft::GetEntriesContext::empty(false))
            .ok()?;
        let lines = entries.iter().map(|e| {
            let entry = match e.get_entry_type() {
                EntryType::EntryNormal => postcard::from_bytes(&e.data).unwrap_or(Entry::Noop),
                // Who votes is told with the state that it led to; a follower needs no other word of it.
                _ => postcard::from_bytes(&e.context).unwrap_or(Entry::Noop),
            };
            (e.index, entry)
        });
        Some(lines.collect())
    }

    /// When `Tick` is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.raw
            .as_ref()
            .filter(|_| self.retired.is_none())
            .map(|_| self.next)
    }

    /// The next thing to be done, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        match input {
            Input::Message {
                from,
                boots,
                process,
                bytes,
            } => self.message(from, boots, process, bytes),
            Input::RecallRequest { from, own } => {
                let known = self.memory.of(from);
                self.memory.heard(
                    from,
                    KnownState {
                        term: 0,
                        kept: (0, 0),
                        ..own
                    },
                );
                self.outputs.push_back(Output::Recalled(from, known));
            }
            Input::RecallReply { from, known } => self.recalled(from, known),
            Input::Persisted(number) => self.kept(number),
            Input::Propose(entry) => self.propose(&entry),
            Input::Confirm(number) => {
                if self.leads.is_some() {
                    self.with(|raw| raw.read_index(number.to_le_bytes().to_vec()));
                }
            }
            Input::Exchange { joins, leaves } => self.exchange(joins, leaves),
            Input::Tick => {}
        }
        self.tick(now);
        self.settle();
    }

    /// Has `raft` do something; a panic of its ends the voting.
    fn with<T>(&mut self, does: impl FnOnce(&mut RawNode<PersistentState>) -> T) -> Option<T> {
        let raw = self.raw.as_mut()?;
        match catch_unwind(AssertUnwindSafe(|| does(raw))) {
            Ok(done) => Some(done),
            Err(_) => {
                self.retire("its log contradicts what others say".into());
                self.raw = None;
                None
            }
        }
    }

    fn own(&self) -> KnownState {
        let Some(raw) = &self.raw else {
            return KnownState::default();
        };
        let (store, last) = (raw.store(), raw.store().last());
        let term = store.term(last).unwrap_or(0);
        KnownState {
            boots: store.head.boots,
            process: self.process,
            term: store.head.hard.0,
            kept: (term, last),
        }
    }

    fn message(&mut self, from: ReplicaId, boots: u64, process: u64, bytes: &[u8]) {
        let Ok(m) = Message::parse_from_bytes(bytes) else {
            return;
        };
        if m.from != from || m.to != self.seat() {
            return;
        }
        let kind = m.get_msg_type();
        let kept = match kind {
            MessageType::MsgAppendResponse if !m.reject => (m.term, m.index),
            _ => (0, 0),
        };
        let asks = matches!(
            kind,
            MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
        );
        // A question before an election is asked in a term that nobody is in yet.
        let term = if asks { 0 } else { m.term };
        self.memory.heard(
            from,
            KnownState {
                boots,
                process,
                term,
                kept,
            },
        );
        if !self.votes() || self.waits.len() > MOST_RECORDS {
            return;
        }
        if !self.raw.as_ref().is_some_and(|raw| bears(raw.store(), &m)) {
            return self.retire(StateLoss::Entries.name().into());
        }
        // What `raft` refuses it says itself, or is silent about.
        self.with(|raw| drop(raw.step(m)));
    }

    fn recalled(&mut self, from: ReplicaId, known: KnownState) {
        let Some(raw) = &self.raw else { return };
        let voters = raw.store().head.voters.clone();
        if !(voters.contains(&from) || voters.is_empty()) || self.without.probation {
            return;
        }
        // Also after it was cleared: one that was cut off then may know more.
        if let Err(why) = compare(self.own(), known) {
            return self.retire(why.name().into());
        }
        if let Some(p) = &mut self.probation {
            p.answered(from);
        }
        self.look_at_probation();
    }

    fn look_at_probation(&mut self) {
        let voters = self
            .raw
            .as_ref()
            .map_or(0, |raw| raw.store().head.voters.len());
        self.probation.take_if(|p| p.is_over(voters));
    }

    fn retire(&mut self, why: String) {
        if self.retired.is_some() {
            return;
        }
        tracing::error!("this seat does not vote any more: {why}");
        self.retired = Some(why.clone());
        if self.leads.take().is_some() {
            self.outputs.push_back(Output::LostLeadership);
        }
        self.waits.clear();
        if let Some(raw) = &mut self.raw {
            let head = Head {
                retired: Some(why.clone()),
                ..raw.store().head.clone()
            };
            raw.mut_store().head.clone_from(&head);
            self.number += 1;
            let record = Record {
                head: Some(head),
                ..Record::default()
            };
            self.outputs
                .push_back(Output::Persist(self.number, Box::new(record)));
        }
        self.outputs.push_back(Output::Retired(why));
    }

    pub(super) fn propose(&mut self, entry: &Entry) {
        // An entry always packs; one that `raft` drops is proposed again by whoever wants it.
        let Ok(data) = postcard::to_stdvec(entry) else {
            return;
        };
        if self.leads.is_some() {
            self.with(|raw| drop(raw.propose(Vec::new(), data)));
        }
    }

    /// One change at a time, and never away from the last voter.
    fn exchange(&mut self, joins: Option<(ReplicaId, Arc<str>)>, leaves: Option<ReplicaId>) {
        let voters = &self.state.voters;
        let joining = joins.filter(|(s, _)| !voters.contains_key(s) && voters.len() < MAX_VOTERS);
        let leaving = leaves.filter(|s| voters.contains_key(s) && voters.len() > 1);
        let mut change = ConfChange::default();
        let mut after = voters.clone();
        // Who comes, comes first: with fewer voters than before, fewer may fail.
        match (joining, leaving) {
            (Some((seat, name)), _) => {
                change.set_change_type(ConfChangeType::AddNode);
                change.node_id = seat;
                after.insert(seat, name);
            }
            (None, Some(seat)) => {
                change.set_change_type(ConfChangeType::RemoveNode);
                change.node_id = seat;
                after.remove(&seat);
            }
            (None, None) => return,
        }
        let Ok(context) = postcard::to_stdvec(&Entry::Voters(after)) else {
            return;
        };
        if self.leads.is_some() {
            self.with(|raw| drop(raw.propose_conf_change(context, change)));
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.next || self.raw.is_none() || self.retired.is_some() {
            return;
        }
        // A process that was stopped does not make up for the ticks that it missed.
        self.next = (self.next + self.settings.tick).max(now + self.settings.tick / 2);
        if self.waits.len() > MOST_RECORDS {
            return;
        }
        if self.probation.is_some() {
            // Alone there is nobody to ask, and a seat that has never spoken has nothing to forget.
            let alone = |h: &Head| h.voters.len() == 1 || h.voters.is_empty() && h.hard.0 == 0;
            if self.raw.as_ref().is_some_and(|r| alone(&r.store().head)) {
                self.probation = None;
            } else {
                // Not before it is kept that the disk was started once more: killed now, it would be told for its own copy.
                if !self.waits.is_empty() {
                    return;
                }
                let own = self.own();
                self.probation
                    .as_mut()
                    .into_iter()
                    .for_each(Probation::asked);
                self.outputs.push_back(Output::Recall(own));
                return self.look_at_probation();
            }
        }
        self.with(|raw| raw.tick());
    }

    /// Hands out what has come of it.
    fn settle(&mut self) {
        while self.retired.is_none() && self.raw.as_ref().is_some_and(RawNode::has_ready) {
            if self
                .with(|raw| raw.ready())
                .map(|ready| self.ready(ready))
                .is_none()
            {
                return;
            }
        }
        self.tell_leads();
        // `raft` draws its spans from the system; here they follow from the seed and the term.
        let seed = self.seed;
        self.with(|raw| {
            let span = ELECTION + (mixed(seed, raw.raft.term) % ELECTION as u64) as usize;
            raw.raft.set_randomized_election_timeout(span);
        });
    }

    fn ready(&mut self, mut ready: raft::Ready) {
        let mut record = Record::default();
        self.send(ready.take_messages());
        for read in ready.take_read_states() {
            if let Ok(number) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                self.outputs
                    .push_back(Output::Confirmed(u64::from_le_bytes(number)));
            }
        }
        let Some(raw) = &mut self.raw else { return };
        let mut head = raw.store().head.clone();
        if !ready.snapshot().is_empty() {
            let (meta, data) = (ready.snapshot().get_metadata(), &ready.snapshot().data);
            let voters = meta.get_conf_state().get_voters().to_vec();
            head.voters.clone_from(&voters);
            head.snapshot = (meta.index, meta.term, voters, data.to_vec());
            record.anew = true;
            if let Ok(state) = State::read(data) {
                self.state = state;
            }
            self.snapshot = meta.index;
            self.outputs.push_back(Output::Restored);
        }
        record.entries = ready.entries().iter().map(LogLine::of).collect();
        if let Some(hard) = ready.hs() {
            head.hard = (hard.term, hard.vote, hard.commit);
        }
        // What is agreed alone is not worth a write: it is told again. It goes along with the next.
        let sync = ready.must_sync() || record.anew || !record.entries.is_empty();
        if sync {
            record.head = Some(head.clone());
        }
        raw.mut_store().apply(&record);
        raw.mut_store().head = head;
        let applies = ready.take_committed_entries();
        let says = ready.take_persisted_messages();
        self.with(|raw| raw.advance_append_async(ready));
        for e in &applies {
            self.apply(e);
        }
        self.advance();
        self.keep(if sync { record } else { Record::default() }, says);
        // Begun again it must not go back to voters of long ago: with those of one change ago it shares a majority, with
        // older ones perhaps none.
        if applies
            .iter()
            .any(|e| e.get_entry_type() != EntryType::EntryNormal)
        {
            // And a new voter takes a snapshot only if it is among its voters.
            return self.compact();
        }
        if self.state.applied >= self.snapshot + ENTRIES_PER_SNAPSHOT {
            self.compact();
        }
    }

    /// Hands a record out; what is said on its ground waits for it, and for those before it.
    fn keep(&mut self, record: Record, says: Vec<Message>) {
        if self.without.kept {
            self.send(says);
        } else if !record.is_empty() {
            self.number += 1;
            self.waits.push_back((self.number, says));
        } else if let Some((_, more)) = self.waits.back_mut() {
            more.extend(says);
        } else {
            self.send(says);
        }
        if !record.is_empty() {
            let number = if self.without.kept { 0 } else { self.number };
            self.outputs
                .push_back(Output::Persist(number, Box::new(record)));
        }
        if self.waits.is_empty() {
            self.with(|raw| raw.on_persist_ready(u64::MAX));
            self.advance();
        }
    }

    /// Tells `raft` how far the state is; of a snapshot only once it is kept.
    fn advance(&mut self) {
        let applied = self.state.applied;
        self.with(|raw| {
            let log = &raw.raft.raft_log;
            let to = applied.min(log.persisted).min(log.committed);
            if to > log.applied {
                raw.advance_apply_to(to);
            }
        });
    }

    fn kept(&mut self, number: u64) {
        while self.waits.front().is_some_and(|(n, _)| *n <= number) {
            if let Some((_, says)) = self.waits.pop_front() {
                self.send(says);
            }
        }
        if self.waits.is_empty() {
            self.with(|raw| raw.on_persist_ready(u64::MAX));
            self.advance();
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for m in messages {
            if let Ok(bytes) = m.write_to_bytes() {
                self.outputs.push_back(Output::Send(m.to, bytes));
            }
            // One that takes a snapshot is sent entries again once it answers, or another snapshot.
            if m.get_msg_type() == MessageType::MsgSnapshot {
                self.with(|raw| raw.report_snapshot(m.to, raft::SnapshotStatus::Finish));
            }
        }
    }

    fn apply(&mut self, e: &raft::eraftpb::Entry) {
        let entry = match e.get_entry_type() {
            EntryType::EntryNormal => postcard::from_bytes(&e.data).unwrap_or(Entry::Noop),
            _ => {
                let Ok(change) = ConfChange::parse_from_bytes(&e.data) else {
                    return;
                };
                let conf = self
                    .with(|raw| raw.apply_conf_change(&change).ok())
                    .flatten();
                if let (Some(conf), Some(raw)) = (conf, &mut self.raw) {
                    raw.mut_store().head.voters = conf.get_voters().to_vec();
                }
                postcard::from_bytes(&e.context).unwrap_or(Entry::Noop)
            }
        };
        let held = self.state.apply(e.index, &entry);
        if matches!(entry, Entry::Voters(_)) {
            let voters: BTreeMap<ReplicaId, Arc<str>> = self.state.voters.clone();
            self.memory.keep(|s| voters.contains_key(s));
        }
        self.outputs
            .push_back(Output::Applied(e.index, entry, held));
    }

    /// Puts a snapshot in the place of entries that are applied.
    fn compact(&mut self) {
        let applied = self.state.applied;
        // The state is that of the last entry applied: a snapshot stands there, or nowhere.
        let Some(raw) = &mut self.raw else { return };
        let (Ok(term), Ok(data)) = (raw.store().term(applied), postcard::to_stdvec(&self.state))
        else {
            return;
        };
        let mut head = raw.store().head.clone();
        head.snapshot = (applied, term, head.voters.clone(), data);
        let record = Record {
            head: Some(head),
            from: Some(applied + 1),
            ..Record::default()
        };
        raw.mut_store().apply(&record);
        self.snapshot = applied;
        self.keep(record, Vec::new());
    }

    fn tell_leads(&mut self) {
        let Some(raw) = &self.raw else { return };
        let raft = &raw.raft;
        let leads = raft.state == StateRole::Leader && raft.apply_to_current_term();
        let leads = leads.then_some(raft.term);
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        self.outputs.push_back(if leads.is_some() {
            Output::BecameLeader
        } else {
            Output::LostLeadership
        });
    }
}

#[cfg(test)]
mod tests;
