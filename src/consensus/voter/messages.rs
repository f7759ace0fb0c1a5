//! The settings, inputs, outputs and errors of a voter.

use std::sync::Arc;

use crate::api::Micros;
use crate::consensus::peer_memory::KnownState;
use crate::consensus::persistent_state::{DamagedState, Record};
use crate::consensus::state::{AppliedEntry, Entry};
use crate::consensus::ReplicaId;

/// The timing of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// One Raft tick, in microseconds. A leader sends heartbeats every 2 ticks; a voter starts an election 10 to 20 ticks
    /// after the last heartbeat.
    pub tick: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { tick: 50_000 }
    }
}

/// Distinguishes one start of a voter from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The ID of the process; no other process has it.
    pub process: u64,
    /// The seed of the randomized election timeouts.
    pub seed: u64,
}

/// Safety guards that a test disables to show that each of them is necessary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledVoterGuards {
    /// Raft's pre-vote and the leader's quorum check.
    pub pre_vote: bool,
    /// The exchange of known state that a new process completes before it takes part.
    pub state_check: bool,
    /// The wait for a record to be persisted before the messages that depend on it are sent.
    pub persistence: bool,
}

/// An event for a voter.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A Raft message from another voter.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The number of process starts on the sender's disk.
        boots: u64,
        /// The ID of the sender's process.
        process: u64,
        /// The encoded message of the `raft` library.
        bytes: &'a [u8],
    },
    /// Another voter requests the state that this voter has observed of its replica.
    KnownStateRequest {
        /// The sender.
        from: ReplicaId,
        /// The state on the sender's disk.
        own: KnownState,
    },
    /// Another voter replies with the state that it has observed of this replica.
    KnownStateReply {
        /// The sender.
        from: ReplicaId,
        /// The observed state.
        known: KnownState,
    },
    /// The driver has persisted all records up to this number.
    Persisted(u64),
    /// Propose an entry. Ignored unless this voter leads.
    Propose(Entry),
    /// Confirm with a majority that this voter still leads. Answered by [`Output::Confirmed`], or not at all.
    Confirm(u64),
    /// Add a voter or remove one. If both are given, this proposes the addition; once that has taken effect, the same input
    /// proposes the removal.
    ChangeVoters {
        /// The replica to add, and its name.
        added: Option<(ReplicaId, Arc<str>)>,
        /// The replica to remove.
        removed: Option<ReplicaId>,
    },
    /// A deadline has passed.
    Tick,
}

/// An action to be carried out for a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a Raft message to a voter. It may be lost; the library repeats it.
    Send(ReplicaId, Vec<u8>),
    /// Request the observed state of this replica from all other voters.
    RequestKnownState(KnownState),
    /// Send a voter the state observed of its replica.
    SendKnownState(ReplicaId, KnownState),
    /// Persist the record, then report its number by [`Input::Persisted`].
    Persist(u64, Box<Record>),
    /// An entry was committed and applied.
    Applied(AppliedEntry),
    /// The state was replaced by a snapshot.
    Restored,
    /// This voter became the leader and has applied all entries of earlier terms.
    BecameLeader,
    /// This voter is no longer the leader.
    LostLeadership,
    /// A majority confirmed that this voter still led after the [`Input::Confirm`] with this number.
    Confirmed(u64),
    /// This replica is retired for the given reason and never votes again.
    Retired(String),
}

/// The reason why a voter cannot start.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The content of the disk is incomplete; a new replica has to be created.
    #[error(transparent)]
    Damaged(#[from] DamagedState),
    /// The replica was retired; a new one has to be created.
    #[error("its seat does not vote any more: {0}")]
    Retired(String),
    /// The content of the disk cannot be decoded or is inconsistent; a new replica has to be created.
    #[error("its log cannot be used: {0}")]
    Raft(String),
}
