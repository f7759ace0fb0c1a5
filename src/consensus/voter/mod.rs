//! A voter of the agreed log, as one value without I/O.
//!
//! It wraps the `RawNode` of the `raft` library. Its records are numbered and handed out, and messages that rest on them wait
//! until the driver reports them persisted. Random election timeouts are replaced by ones that follow from the seed and the
//! term, so that the emulator replays exactly. A new process sends nothing before its [`Probation`] is over. A panic of the
//! library, which a damaged disk can cause, retires the replica and does not end the gateway.

mod durability;
mod log;
mod membership;
mod messages;
mod probation;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

pub use messages::{DisabledVoterGuards, Identity, Input, Output, Settings, VoterError};
use raft::eraftpb::Message;
use raft::{Config, RawNode, StateRole};

use crate::api::Micros;
use crate::consensus::peer_memory::{PeerMemory, Probation};
use crate::consensus::persistent_state::{Metadata, PersistentState, Record};
use crate::consensus::state::{Entry, State};
use crate::consensus::ReplicaId;

/// Minimum ticks without a heartbeat after which a voter starts an election; the maximum is twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Entries behind a snapshot before the next one is made.
pub const ENTRIES_PER_SNAPSHOT: u64 = 256;
/// Bytes of entries in one message, so that every frame stays below its maximum size.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// Messages with entries on their way to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 16;
/// Unpersisted records beyond which a voter neither receives nor ticks: its disk has failed or is full.
const MAX_PENDING_RECORDS: usize = 128;
/// Bytes of proposed entries that are not committed yet.
const MAX_UNCOMMITTED_BYTES: u64 = 256 << 10;

/// One voter.
pub struct Voter {
    /// The library's node; `None` after a panic in it.
    raw: Option<RawNode<PersistentState>>,
    settings: Settings,
    identity: Identity,
    state: State,
    memory: PeerMemory,
    probation: Option<Probation>,
    retired: Option<String>,
    /// Records on their way to the disk, in order.
    pending_records: VecDeque<PendingRecord>,
    last_record: u64,
    /// The term in which [`Output::BecameLeader`] was put out and [`Output::LostLeadership`] was not yet.
    leading_term: Option<u64>,
    next_tick_at: Micros,
    snapshot_index: u64,
    /// The last entry on its disk when it started.
    last_at_start: u64,
    outputs: VecDeque<Output>,
    disabled_guards: DisabledVoterGuards,
}

/// A record on its way to the disk.
struct PendingRecord {
    number: u64,
    /// The messages that must not be sent before the record is persisted.
    messages: Vec<Message>,
}

impl fmt::Debug for Voter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Voter")
            .field("state", &self.state)
            .field("leading_term", &self.leading_term)
            .finish_non_exhaustive()
    }
}

/// Derives a pseudo-random number from a seed and a term.
fn mix(seed: u64, term: u64) -> u64 {
    let mut mixed = seed ^ term.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn raft_config(metadata: &Metadata, guards: DisabledVoterGuards) -> Config {
    Config {
        id: metadata.replica,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: metadata.snapshot.index,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: !guards.pre_vote,
        pre_vote: !guards.pre_vote,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}

/// Creates the library's node.
fn start_raft(
    config: &Config,
    persistent: PersistentState,
) -> Result<RawNode<PersistentState>, VoterError> {
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    catch_unwind(|| RawNode::new(config, persistent, &logger))
        .map_err(|_| VoterError::Raft("it contradicts itself".into()))?
        .map_err(|error| VoterError::Raft(error.to_string()))
}

impl Voter {
    /// Starts a voter on what its disk holds. It sends requests for known state before any other message.
    ///
    /// # Errors
    ///
    /// [`VoterError`] if the replica is retired or the disk cannot be used.
    pub fn new(
        settings: Settings,
        mut persistent: PersistentState,
        identity: Identity,
        now: Micros,
        disabled_guards: DisabledVoterGuards,
    ) -> Result<Voter, VoterError> {
        if let Some(reason) = &persistent.metadata.retired {
            return Err(VoterError::Retired(reason.clone()));
        }
        persistent.metadata.boots += 1;
        let metadata = persistent.metadata.clone();
        let state = State::decode(&metadata.snapshot.data)
            .map_err(|error| VoterError::Raft(error.to_string()))?;
        let last_at_start = persistent.last();
        let raw = start_raft(&raft_config(&metadata, disabled_guards), persistent)?;
        let mut voter = Voter {
            raw: Some(raw),
            settings,
            identity: Identity {
                seed: identity.seed ^ metadata.replica,
                ..identity
            },
            state,
            memory: PeerMemory::default(),
            probation: (!disabled_guards.probation).then(Probation::default),
            retired: None,
            pending_records: VecDeque::new(),
            last_record: 0,
            leading_term: None,
            next_tick_at: now,
            snapshot_index: metadata.snapshot.index,
            last_at_start,
            outputs: VecDeque::new(),
            disabled_guards,
        };
        // The number of starts has to be durable before the first message.
        let record = Record {
            metadata: Some(metadata),
            ..Record::default()
        };
        voter.persist(record, Vec::new());
        voter.settle();
        Ok(voter)
    }

    /// Its replica; 0 after a panic of the library.
    pub fn replica(&self) -> ReplicaId {
        self.raw.as_ref().map_or(0, |raw| raw.raft.id)
    }

    /// The process that started it.
    pub fn process(&self) -> u64 {
        self.identity.process
    }

    /// How often a process has started on its disk.
    pub fn boots(&self) -> u64 {
        self.raw
            .as_ref()
            .map_or(0, |raw| raw.store().metadata.boots)
    }

    /// The state with all entries applied that are known to be committed.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The leader, if known; itself if it leads.
    pub fn leader(&self) -> Option<ReplicaId> {
        let raw = self.raw.as_ref().filter(|_| self.probation.is_none())?;
        Some(raw.raft.leader_id).filter(|leader| *leader != 0)
    }

    /// Whether there is a leader, and all that its disk held at the start was applied or replaced.
    pub fn is_current(&self) -> bool {
        let last = self.raw.as_ref().map_or(0, |raw| raw.store().last());
        self.leader().is_some() && self.state.applied >= self.last_at_start.min(last)
    }

    /// Whether it leads and has applied all entries of earlier terms.
    pub fn leads(&self) -> bool {
        self.leading_term.is_some()
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.raw.as_ref().map_or(0, |raw| raw.raft.term)
    }

    /// Whether it takes part: its probation is over and its replica is not retired.
    pub fn votes(&self) -> bool {
        self.raw.is_some() && self.probation.is_none() && self.retired.is_none()
    }

    /// Why its replica must not vote any more, if so.
    pub fn retired(&self) -> Option<&str> {
        self.retired.as_deref()
    }

    /// The number of entries behind the snapshot.
    pub fn entries(&self) -> usize {
        self.raw.as_ref().map_or(0, |raw| raw.store().len())
    }

    /// When [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        let active = self.raw.is_some() && self.retired.is_none();
        active.then_some(self.next_tick_at)
    }

    /// The next action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        match input {
            Input::Message {
                from,
                boots,
                process,
                bytes,
            } => self.on_message(from, boots, process, bytes),
            Input::KnownStateRequest { from, own } => self.on_known_state_request(from, own),
            Input::KnownStateReply { from, known } => self.on_known_state_reply(from, known),
            Input::Persisted(number) => self.on_persisted(number),
            Input::Propose(entry) => self.propose(&entry),
            Input::Confirm(number) => {
                if self.leads() {
                    self.with_raft(|raw| raw.read_index(number.to_le_bytes().to_vec()));
                }
            }
            Input::Exchange { joins, leaves } => self.exchange(joins, leaves),
            Input::Tick => {}
        }
        self.tick(now);
        self.settle();
    }

    /// Calls the library; a panic in it retires the replica.
    fn with_raft<T>(&mut self, call: impl FnOnce(&mut RawNode<PersistentState>) -> T) -> Option<T> {
        let raw = self.raw.as_mut()?;
        match catch_unwind(AssertUnwindSafe(|| call(raw))) {
            Ok(result) => Some(result),
            Err(_) => {
                self.retire("its log contradicts what others say".into());
                self.raw = None;
                None
            }
        }
    }

    /// Stops voting with this replica for good.
    fn retire(&mut self, reason: String) {
        if self.retired.is_some() {
            return;
        }
        tracing::error!(reason, "replica retired");
        self.retired = Some(reason.clone());
        if self.leading_term.take().is_some() {
            self.outputs.push_back(Output::LostLeadership);
        }
        self.pending_records.clear();
        if let Some(raw) = &mut self.raw {
            let metadata = &mut raw.mut_store().metadata;
            metadata.retired = Some(reason.clone());
            let record = Record {
                metadata: Some(metadata.clone()),
                ..Record::default()
            };
            self.last_record += 1;
            let persist = Output::Persist(self.last_record, Box::new(record));
            self.outputs.push_back(persist);
        }
        self.outputs.push_back(Output::Retired(reason));
    }

    /// Proposes an entry; dropped unless this voter leads.
    pub(in crate::consensus) fn propose(&mut self, entry: &Entry) {
        // Entries always encode; the proposer repeats an entry that the library drops.
        let Ok(data) = postcard::to_stdvec(entry) else {
            return;
        };
        if self.leads() {
            self.with_raft(|raw| drop(raw.propose(Vec::new(), data)));
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.next_tick_at || self.raw.is_none() || self.retired.is_some() {
            return;
        }
        // A process that was stopped does not make up for missed ticks.
        let regular = self.next_tick_at + self.settings.tick;
        self.next_tick_at = regular.max(now + self.settings.tick / 2);
        if self.pending_records.len() > MAX_PENDING_RECORDS {
            return;
        }
        if self.probation.is_some() && !self.tick_probation() {
            return;
        }
        self.with_raft(|raw| raw.tick());
    }

    /// Takes what the library has ready until there is nothing left.
    fn settle(&mut self) {
        while self.retired.is_none() && self.raw.as_ref().is_some_and(RawNode::has_ready) {
            match self.with_raft(|raw| raw.ready()) {
                Some(ready) => self.on_ready(ready),
                None => return,
            }
        }
        self.update_leadership();
        // The library draws election timeouts at random; here they follow from the seed and the term.
        let seed = self.identity.seed;
        self.with_raft(|raw| {
            let extra_ticks = mix(seed, raw.raft.term) % ELECTION_TICKS as u64;
            let timeout = ELECTION_TICKS + extra_ticks as usize;
            raw.raft.set_randomized_election_timeout(timeout);
        });
    }

    fn update_leadership(&mut self) {
        let Some(raw) = &self.raw else { return };
        let raft = &raw.raft;
        let leads = raft.state == StateRole::Leader && raft.apply_to_current_term();
        let leading_term = leads.then_some(raft.term);
        if leading_term == self.leading_term {
            return;
        }
        self.leading_term = leading_term;
        let output = if leads {
            Output::BecameLeader
        } else {
            Output::LostLeadership
        };
        self.outputs.push_back(output);
    }
}
