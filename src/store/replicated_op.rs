//! Operations that are replicated. They are encoded with postcard, so the order of variants and
//! fields is part of the format.

use serde::{Deserialize, Serialize};

use super::error::StoreError;
use super::keys::{decode, encode};
use super::operations::{AcceptCall, BeginAttempt, CompleteCall, FinishAttempt, Op};
use super::records::IdentityDigest;
use crate::api::Micros;
use crate::delivery::Seq;

/// An operation that is committed once enough replicas have acknowledged it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicatedOp {
    /// A call is accepted.
    AcceptCall(AcceptCall),
    /// The acceptance of a call is revoked.
    RevokeCall(Seq, IdentityDigest),
    /// The first attempt of a call that must not run twice is about to be sent.
    SetSent(Seq, Micros),
    /// No attempt of a call has run.
    ClearSent(Seq),
    /// A call has an outcome, and its callbacks are created.
    CompleteCall(CompleteCall),
    /// A delivery attempt of a callback that must not arrive twice is about to be sent.
    BeginAttempt(Seq, Micros),
    /// A callback has a new state.
    FinishAttempt(FinishAttempt),
}

impl ReplicatedOp {
    /// Returns the replicated form of an operation; none if it is not replicated.
    pub fn from_op(op: &Op) -> Option<ReplicatedOp> {
        Some(match op.clone() {
            Op::AcceptCall(accept) => ReplicatedOp::AcceptCall(accept),
            Op::RevokeCall(seq, identity) => ReplicatedOp::RevokeCall(seq, identity),
            Op::SetSent(seq, at) => ReplicatedOp::SetSent(seq, at),
            Op::ClearSent(seq) => ReplicatedOp::ClearSent(seq),
            Op::CompleteCall(complete) => ReplicatedOp::CompleteCall(complete),
            Op::BeginAttempt(begin) if begin.durable => {
                ReplicatedOp::BeginAttempt(begin.message, begin.at)
            }
            Op::FinishAttempt(finish) => ReplicatedOp::FinishAttempt(finish),
            _ => return None,
        })
    }

    /// Returns the store operation to apply on a replica.
    pub fn into_op(self) -> Op {
        match self {
            ReplicatedOp::AcceptCall(accept) => Op::AcceptCall(accept),
            ReplicatedOp::RevokeCall(seq, identity) => Op::RevokeCall(seq, identity),
            ReplicatedOp::SetSent(seq, at) => Op::SetSent(seq, at),
            ReplicatedOp::ClearSent(seq) => Op::ClearSent(seq),
            ReplicatedOp::CompleteCall(complete) => Op::CompleteCall(complete),
            ReplicatedOp::BeginAttempt(message, at) => Op::BeginAttempt(BeginAttempt {
                message,
                durable: true,
                at,
            }),
            ReplicatedOp::FinishAttempt(finish) => Op::FinishAttempt(finish),
        }
    }

    /// Encodes the operation for the replication log.
    pub fn encode(&self) -> Result<Vec<u8>, StoreError> {
        encode(self)
    }

    /// Decodes an operation from the replication log.
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedOp, StoreError> {
        decode(bytes, "a shard's record")
    }
}
