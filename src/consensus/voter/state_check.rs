//! Messages from other voters, and the state check of a new process.

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::Storage as _;

use super::{Output, Voter, MAX_PENDING_RECORDS};
use crate::consensus::peer_memory::{compare, KnownState, StateLoss};
use crate::consensus::persistent_state::{Metadata, PersistentState};
use crate::consensus::ReplicaId;

/// Returns whether the library can process a message: it panics on a heartbeat that commits an entry not in the log.
fn is_consistent(persistent: &PersistentState, message: &Message) -> bool {
    let commits = matches!(message.get_msg_type(), MessageType::MsgHeartbeat);
    !commits || message.commit <= persistent.last()
}

/// Returns the sender's state as shown by a message.
fn observed_state(message: &Message, boots: u64, process: u64) -> KnownState {
    let kind = message.get_msg_type();
    let acknowledged = match kind {
        MessageType::MsgAppendResponse if !message.reject => (message.term, message.index),
        _ => (0, 0),
    };
    let is_pre_vote = matches!(
        kind,
        MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
    );
    // A pre-vote carries the next term, which the sender has not entered.
    let term = if is_pre_vote { 0 } else { message.term };
    KnownState {
        boots,
        process,
        term,
        acknowledged,
    }
}

/// Returns whether a replica needs no state check, because it is the only voter or has never taken part.
fn can_skip_state_check(metadata: &Metadata) -> bool {
    metadata.voters.len() == 1 || metadata.voters.is_empty() && metadata.hard_state.term == 0
}

impl Voter {
    pub(super) fn on_message(&mut self, from: ReplicaId, boots: u64, process: u64, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return;
        };
        if message.from != from || message.to != self.replica() {
            return;
        }
        let observed = observed_state(&message, boots, process);
        self.peer_memory.observe(from, observed);
        if !self.votes() || self.pending_records.len() > MAX_PENDING_RECORDS {
            return;
        }
        let consistent = self
            .raw
            .as_ref()
            .is_some_and(|raw| is_consistent(raw.store(), &message));
        if !consistent {
            return self.retire(StateLoss::Entries.to_string());
        }
        // The library itself answers or drops invalid messages.
        self.with_raft(|raw| drop(raw.step(message)));
    }

    pub(super) fn on_known_state_request(&mut self, from: ReplicaId, own: KnownState) {
        let known = self.peer_memory.known(from);
        let observed = KnownState {
            term: 0,
            acknowledged: (0, 0),
            ..own
        };
        self.peer_memory.observe(from, observed);
        self.outputs.push_back(Output::SendKnownState(from, known));
    }

    pub(super) fn on_known_state_reply(&mut self, from: ReplicaId, known: KnownState) {
        let Some(raw) = &self.raw else { return };
        let voters = &raw.store().metadata.voters;
        let from_voter = voters.contains(&from) || voters.is_empty();
        if !from_voter || self.disabled_guards.state_check {
            return;
        }
        // Late replies are also compared: a voter that was unreachable during the state check may have observed more.
        if let Err(loss) = compare(self.own_state(), known) {
            return self.retire(loss.to_string());
        }
        if let Some(state_check) = &mut self.state_check {
            state_check.on_reply(from);
        }
        self.update_state_check();
    }

    /// Returns this replica's state as stored on its disk.
    fn own_state(&self) -> KnownState {
        let Some(raw) = &self.raw else {
            return KnownState::default();
        };
        let store = raw.store();
        let last = store.last();
        KnownState {
            boots: store.metadata.boots,
            process: self.identity.process,
            term: store.metadata.hard_state.term,
            acknowledged: (store.term(last).unwrap_or(0), last),
        }
    }

    fn update_state_check(&mut self) {
        let voters = self
            .raw
            .as_ref()
            .map_or(0, |raw| raw.store().metadata.voters.len());
        self.state_check
            .take_if(|state_check| state_check.is_over(voters));
    }

    /// Ends the state check, or sends the requests for known state again. Returns whether the library may tick.
    pub(super) fn tick_state_check(&mut self) -> bool {
        let can_skip = self
            .raw
            .as_ref()
            .is_some_and(|raw| can_skip_state_check(&raw.store().metadata));
        if can_skip {
            self.state_check = None;
            return true;
        }
        // The number of starts has to be durable first. Otherwise, if this process were killed now, the next one would start
        // with the same number and be rejected as running on a copy of the disk.
        if !self.pending_records.is_empty() {
            return false;
        }
        let own = self.own_state();
        if let Some(state_check) = &mut self.state_check {
            state_check.on_request();
        }
        self.outputs.push_back(Output::RequestKnownState(own));
        self.update_state_check();
        false
    }
}
