//! The contents of frames. The order of variants and fields is part of the wire format.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::peer_memory::KnownState;
use crate::consensus::state::{Entry, State, SubsystemEntry};
use crate::consensus::ReplicaId;
use crate::lease::renewal::{RenewReply, RenewRequest};
use crate::lease::{LeaseName, Term};
use crate::replication;

/// An effect that a lease holder has on all gateways.
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
    /// The content, which only the lease's subsystem reads.
    pub content: Vec<u8>,
}

/// A report of one gateway to the holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The lease.
    pub lease: LeaseName,
    /// The gateway that reports.
    pub from: Arc<str>,
    /// The content, which only the lease's subsystem reads.
    pub content: Vec<u8>,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of one voter to another.
    Raft {
        /// The generation of the sender's state.
        generation: u32,
        /// The sender.
        from: ReplicaId,
        /// How often a process has started on the sender's disk.
        boots: u64,
        /// The sender's process.
        process: u64,
        /// The message of the `raft` library.
        message: Vec<u8>,
    },
    /// A voter asks what is known about its replica.
    KnownStateRequest {
        /// The generation of the sender's state.
        generation: u32,
        /// The sender.
        from: ReplicaId,
        /// What the sender's disk says.
        own: KnownState,
    },
    /// What a voter knows about another replica.
    KnownStateReply {
        /// The generation of the sender's state.
        generation: u32,
        /// The replica that asked.
        about: ReplicaId,
        /// What is known about it.
        known: KnownState,
        /// The sender.
        from: ReplicaId,
    },
    /// A request for leases to the leader, and the voter that forwarded it, if any.
    RenewLeases(RenewRequest, Option<String>),
    /// The reply to a request for leases.
    RenewReply(RenewReply),
    /// A learner asks for what is new.
    Poll(Poll),
    /// The answer to a poll with entries in order.
    Entries {
        /// The generation of the sender's state.
        generation: u32,
        /// Indexes and entries.
        entries: Vec<(u64, Entry)>,
        /// The effects that the learner does not have yet.
        effects: ForwardedEffects,
    },
    /// The answer to a poll with the state, in place of entries that are no longer stored.
    State(Box<State>, ForwardedEffects),
    /// An effect of a lease holder.
    Effect(LeaseEffect),
    /// A report to a lease holder, and whether a voter forwarded it.
    Report(LeaseReport, bool),
    /// A proposal of another subsystem, and whether a voter forwarded it.
    Submit(SubsystemEntry, bool),
    /// A message between gateways that hold replicas of shards; not part of consensus.
    Replication(replication::wire::Message),
}

/// A learner's poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The generation of the learner's state.
    pub generation: u32,
    /// The index of the last entry that the learner has applied.
    pub applied: u64,
    /// The voter's process that forwarded effects last, and how many it had forwarded.
    pub effects: (u64, u64),
    /// The learner's replica, if it has one that does not vote.
    pub replica: Option<ReplicaId>,
}

/// Effects that a voter forwards to a learner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedEffects {
    /// The voter's process.
    pub process: u64,
    /// How many effects it has forwarded, up to and with these.
    pub count: u64,
    /// The effects, in order.
    pub effects: Vec<LeaseEffect>,
}
