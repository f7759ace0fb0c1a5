//! A Raft voter of the replicated log, as a state machine without I/O.
//!
//! [`Voter`] wraps the `RawNode` of the `raft` library. It outputs numbered records to persist and holds back the messages
//! that depend on a record until the driver reports it persisted. Election timeouts are derived from the seed and the term
//! instead of drawn at random, so that the emulator can replay a run exactly. A new process sends no Raft message before its
//! [`StateCheck`] is over. A damaged disk can make the library panic; the panic retires the replica and does not end the
//! gateway.

mod durability;
mod log;
mod membership;
mod messages;
mod state_check;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

pub use messages::{DisabledVoterGuards, Identity, Input, Output, Settings, VoterError};
use raft::eraftpb::Message;
use raft::{Config, RawNode, StateRole};

use crate::api::Micros;
use crate::consensus::peer_memory::{PeerMemory, StateCheck};
use crate::consensus::persistent_state::{Metadata, PersistentState, Record};
use crate::consensus::state::{Entry, State};
use crate::consensus::ReplicaId;

/// Minimum number of ticks without a heartbeat before a voter starts an election; the maximum is twice this number.
const ELECTION_TICKS: usize = 10;
/// Number of ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Number of entries after a snapshot before the next one is taken.
pub const ENTRIES_PER_SNAPSHOT: u64 = 256;
/// Maximum size of the entries in one message; keeps every frame below its maximum size.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// Maximum number of unacknowledged messages with entries to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 16;
/// Number of pending records beyond which a voter ignores messages and ticks, as its disk has failed or is full.
const MAX_PENDING_RECORDS: usize = 128;
/// Maximum size of the proposed entries that are not committed yet.
const MAX_UNCOMMITTED_BYTES: u64 = 256 << 10;

/// A Raft voter.
pub struct Voter {
    /// The library's node; `None` after a panic in it.
    raw: Option<RawNode<PersistentState>>,
    settings: Settings,
    identity: Identity,
    state: State,
    peer_memory: PeerMemory,
    state_check: Option<StateCheck>,
    retirement_reason: Option<String>,
    /// Records that are not persisted yet, in order.
    pending_records: VecDeque<PendingRecord>,
    last_record_number: u64,
    /// The term for which [`Output::BecameLeader`] was emitted and [`Output::LostLeadership`] was not.
    leading_term: Option<u64>,
    next_tick_at: Micros,
    snapshot_index: u64,
    /// The index of the last entry on the disk at the start.
    last_index_at_start: u64,
    outputs: VecDeque<Output>,
    disabled_guards: DisabledVoterGuards,
}

/// A record that is not persisted yet.
struct PendingRecord {
    number: u64,
    /// The messages to send once the record is persisted.
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

/// Hashes a seed and a term with the SplitMix64 mixing function.
fn splitmix64(seed: u64, term: u64) -> u64 {
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

/// Creates the library's node; a panic becomes an error.
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
    /// Starts a voter from the state on its disk. Its first messages are requests for known state.
    ///
    /// # Errors
    ///
    /// Returns a [`VoterError`] if the replica is retired or the disk cannot be used.
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
        let last_index_at_start = persistent.last();
        let raw = start_raft(&raft_config(&metadata, disabled_guards), persistent)?;
        let mut voter = Voter {
            raw: Some(raw),
            settings,
            identity: Identity {
                seed: identity.seed ^ metadata.replica,
                ..identity
            },
            state,
            peer_memory: PeerMemory::default(),
            state_check: (!disabled_guards.state_check).then(StateCheck::default),
            retirement_reason: None,
            pending_records: VecDeque::new(),
            last_record_number: 0,
            leading_term: None,
            next_tick_at: now,
            snapshot_index: metadata.snapshot.index,
            last_index_at_start,
            outputs: VecDeque::new(),
            disabled_guards,
        };
        // The incremented number of starts has to be durable before the first message.
        let record = Record {
            metadata: Some(metadata),
            ..Record::default()
        };
        voter.persist(record, Vec::new());
        voter.process_ready();
        Ok(voter)
    }

    /// Returns the replica ID, or 0 after a panic of the library.
    pub fn replica(&self) -> ReplicaId {
        self.raw.as_ref().map_or(0, |raw| raw.raft.id)
    }

    /// Returns the ID of the process.
    pub fn process(&self) -> u64 {
        self.identity.process
    }

    /// Returns the number of process starts on the disk.
    pub fn boots(&self) -> u64 {
        self.raw
            .as_ref()
            .map_or(0, |raw| raw.store().metadata.boots)
    }

    /// Returns the state with all entries applied that are known to be committed.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the leader, which may be this voter, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        let raw = self.raw.as_ref().filter(|_| self.state_check.is_none())?;
        Some(raw.raft.leader_id).filter(|leader| *leader != 0)
    }

    /// Returns whether a leader is known and all entries on the disk at the start were applied or replaced.
    pub fn is_current(&self) -> bool {
        let last = self.raw.as_ref().map_or(0, |raw| raw.store().last());
        self.leader().is_some() && self.state.applied >= self.last_index_at_start.min(last)
    }

    /// Returns whether this voter leads and has applied all entries of earlier terms.
    pub fn leads(&self) -> bool {
        self.leading_term.is_some()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raw.as_ref().map_or(0, |raw| raw.raft.term)
    }

    /// Returns whether this voter takes part: its state check is over and its replica is not retired.
    pub fn votes(&self) -> bool {
        self.raw.is_some() && self.state_check.is_none() && self.retirement_reason.is_none()
    }

    /// Returns the reason why the replica was retired, if it was.
    pub fn retirement_reason(&self) -> Option<&str> {
        self.retirement_reason.as_deref()
    }

    /// Returns the number of log entries after the snapshot.
    pub fn entries(&self) -> usize {
        self.raw.as_ref().map_or(0, |raw| raw.store().len())
    }

    /// Returns the time at which [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        let active = self.raw.is_some() && self.retirement_reason.is_none();
        active.then_some(self.next_tick_at)
    }

    /// Returns the next action, if any.
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
            Input::ChangeVoters { added, removed } => self.propose_voter_change(added, removed),
            Input::Tick => {}
        }
        self.tick(now);
        self.process_ready();
    }

    /// Calls the library. A panic in the call retires the replica.
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

    /// Stops voting with this replica permanently.
    fn retire(&mut self, reason: String) {
        if self.retirement_reason.is_some() {
            return;
        }
        tracing::error!(reason, "replica retired");
        self.retirement_reason = Some(reason.clone());
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
            self.last_record_number += 1;
            let persist = Output::Persist(self.last_record_number, Box::new(record));
            self.outputs.push_back(persist);
        }
        self.outputs.push_back(Output::Retired(reason));
    }

    /// Proposes an entry. Ignored unless this voter leads.
    pub(in crate::consensus) fn propose(&mut self, entry: &Entry) {
        // Encoding an entry cannot fail. The proposer repeats an entry that the library drops.
        let Ok(data) = postcard::to_stdvec(entry) else {
            return;
        };
        if self.leads() {
            self.with_raft(|raw| drop(raw.propose(Vec::new(), data)));
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.next_tick_at || self.raw.is_none() || self.retirement_reason.is_some() {
            return;
        }
        // After a pause of the process, missed ticks are skipped.
        let regular = self.next_tick_at + self.settings.tick;
        self.next_tick_at = regular.max(now + self.settings.tick / 2);
        if self.pending_records.len() > MAX_PENDING_RECORDS {
            return;
        }
        if self.state_check.is_some() && !self.tick_state_check() {
            return;
        }
        self.with_raft(|raw| raw.tick());
    }

    /// Processes the library's `Ready` values until there are none left.
    fn process_ready(&mut self) {
        while self.retirement_reason.is_none() && self.raw.as_ref().is_some_and(RawNode::has_ready)
        {
            match self.with_raft(|raw| raw.ready()) {
                Some(ready) => self.on_ready(ready),
                None => return,
            }
        }
        self.update_leadership();
        // Replaces the library's random election timeout by one derived from the seed and the term.
        let seed = self.identity.seed;
        self.with_raft(|raw| {
            let extra_ticks = splitmix64(seed, raw.raft.term) % ELECTION_TICKS as u64;
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
