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
    /// One tick, in microseconds. A leader sends heartbeats every 2 ticks, and an election starts 10 to 20 ticks after the
    /// last one.
    pub tick: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { tick: 50_000 }
    }
}

/// What distinguishes one start of a voter from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// A number that no other process has.
    pub process: u64,
    /// The seed of the randomized election timeouts.
    pub seed: u64,
}

/// Guards that a test switches off, to show what each of them prevents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledVoterGuards {
    /// Pre-vote and the leader's quorum check.
    pub pre_vote: bool,
    /// The requests for known state of a new process before its first message.
    pub probation: bool,
    /// The wait for the disk before a message that rests on a record is sent.
    pub persistence: bool,
}

/// An event for a voter.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message of another voter.
    Message {
        /// The sender.
        from: ReplicaId,
        /// How often a process has started on the sender's disk.
        boots: u64,
        /// The sender's process.
        process: u64,
        /// The message of the `raft` library.
        bytes: &'a [u8],
    },
    /// Another voter asks what is known of its replica.
    KnownStateRequest {
        /// The sender.
        from: ReplicaId,
        /// What the sender's disk says.
        own: KnownState,
    },
    /// Another voter replies with what it knows of this replica.
    KnownStateReply {
        /// The sender.
        from: ReplicaId,
        /// What it knows.
        known: KnownState,
    },
    /// All records up to this number are persisted.
    Persisted(u64),
    /// Propose an entry; dropped unless this voter leads.
    Propose(Entry),
    /// Ask a majority whether this voter still leads; answered by [`Output::Confirmed`] or not at all.
    Confirm(u64),
    /// Add a voter, remove one, or both.
    Exchange {
        /// The replica to add, and its name.
        joins: Option<(ReplicaId, Arc<str>)>,
        /// The replica to remove.
        leaves: Option<ReplicaId>,
    },
    /// A deadline has passed.
    Tick,
}

/// An action that a voter asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a voter; a lost one is repeated.
    Send(ReplicaId, Vec<u8>),
    /// Ask all other voters what they know of this replica.
    RequestKnownState(KnownState),
    /// Tell a voter what is known of its replica.
    SendKnownState(ReplicaId, KnownState),
    /// Persist the record, then report its number.
    Persist(u64, Box<Record>),
    /// An entry was committed and applied.
    Applied(AppliedEntry),
    /// The state was replaced by a snapshot.
    Restored,
    /// This voter leads, and has applied all entries of earlier terms.
    BecameLeader,
    /// This voter no longer leads.
    LostLeadership,
    /// A majority confirmed that this voter leads, after the request with this number.
    Confirmed(u64),
    /// This replica must not vote any more, for the given reason.
    Retired(String),
}

/// Why a voter cannot start.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The content of its disk is incomplete; make a new replica.
    #[error(transparent)]
    Damaged(#[from] DamagedState),
    /// Its replica was retired; make a new one.
    #[error("its seat does not vote any more: {0}")]
    Retired(String),
    /// The content of its disk cannot be decoded or contradicts itself; make a new replica.
    #[error("its log cannot be used: {0}")]
    Raft(String),
}
