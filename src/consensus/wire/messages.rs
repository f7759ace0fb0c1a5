//! The content of frames. The order of variants and fields is part of the wire format.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::peer_memory::KnownState;
use crate::consensus::state::{Entry, State, SubsystemEntry};
use crate::consensus::ReplicaId;
use crate::lease::renewal::{RenewReply, RenewRequest};
use crate::lease::{LeaseName, Term};
use crate::replication;

/// An effect that a lease holder sends to all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEffect {
    /// The lease.
    pub lease: LeaseName,
    /// The term under which the lease is held.
    pub term: Term,
    /// The name of the holder.
    pub holder: Arc<str>,
    /// The number of the effect within the term.
    pub number: u64,
    /// The content, interpreted only by the subsystem that uses the lease.
    pub content: Vec<u8>,
}

/// A report from a gateway to the holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The lease.
    pub lease: LeaseName,
    /// The name of the reporting gateway.
    pub from: Arc<str>,
    /// The content, interpreted only by the subsystem that uses the lease.
    pub content: Vec<u8>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A Raft message from one voter to another.
    Raft {
        /// The generation of the sender's state.
        generation: u32,
        /// The sender.
        from: ReplicaId,
        /// The number of process starts on the sender's disk.
        boots: u64,
        /// The ID of the sender's process.
        process: u64,
        /// The encoded message of the `raft` library.
        message: Vec<u8>,
    },
    /// A voter requests the state that the receiver has observed of its replica.
    KnownStateRequest {
        /// The generation of the sender's state.
        generation: u32,
        /// The sender.
        from: ReplicaId,
        /// The state on the sender's disk.
        own: KnownState,
    },
    /// The state that a voter has observed of another replica.
    KnownStateReply {
        /// The generation of the sender's state.
        generation: u32,
        /// The replica whose state was requested.
        about: ReplicaId,
        /// The observed state.
        known: KnownState,
        /// The sender.
        from: ReplicaId,
    },
    /// A request for leases to the leader, and the name of the voter that forwarded it, if any.
    RenewLeases(RenewRequest, Option<String>),
    /// The reply to a request for leases.
    RenewReply(RenewReply),
    /// A learner's request for new entries and effects.
    Poll(Poll),
    /// The answer to a poll, with entries in order.
    Entries {
        /// The generation of the sender's state.
        generation: u32,
        /// Indexes and entries.
        entries: Vec<(u64, Entry)>,
        /// The effects that the learner does not have yet.
        effects: ForwardedEffects,
    },
    /// The answer to a poll, with the whole state, because the entries are no longer stored or the generation differs.
    State(Box<State>, ForwardedEffects),
    /// An effect of a lease holder.
    Effect(LeaseEffect),
    /// A report to a lease holder, and whether a voter has forwarded it.
    Report(LeaseReport, bool),
    /// A proposal of another subsystem, and whether a voter has forwarded it.
    Submit(SubsystemEntry, bool),
    /// A message between gateways that hold shard replicas; not part of consensus.
    Replication(replication::wire::Message),
}

/// A learner's poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The generation of the learner's state.
    pub generation: u32,
    /// The index of the last entry applied by the learner.
    pub applied: u64,
    /// The ID of the voter process that last forwarded effects, and the number of effects it had forwarded by then.
    pub effects: (u64, u64),
    /// The learner's replica ID, if it has a replica.
    pub replica: Option<ReplicaId>,
}

/// Effects forwarded by a voter to a learner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedEffects {
    /// The ID of the voter's process.
    pub process: u64,
    /// The number of effects that the process has forwarded, including these.
    pub count: u64,
    /// The effects, in order.
    pub effects: Vec<LeaseEffect>,
}
