//! What gateways copy of the store: the operations of a shard, as its records have them.

use serde::{Deserialize, Serialize};

use super::records::{AttemptRecord, CallRecord, IdentityDigest, MessageRecord, Op, StoreError};
use super::tables::{pack, unpack};
use crate::api::Micros;
use crate::delivery::response::State;
use crate::delivery::{Seq, Waiting};

/// An operation that counts once all copies have it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicatedOp {
    /// A call is taken.
    AcceptCall(Box<CallRecord>, IdentityDigest, Micros),
    /// It is not, after all.
    RevokeCall(Seq, IdentityDigest),
    /// An attempt of an unsafe call is about to leave.
    MarkSent(Seq, Micros),
    /// No attempt of it ran after all.
    ClearSent(Seq),
    /// A call has its answer, with its callbacks.
    CompleteCall(Seq, String, Vec<(MessageRecord, Vec<u8>)>),
    /// An attempt at a callback that must not come twice is about to leave.
    BeginAttempt(Seq, Micros),
    /// Where a callback stands after an attempt.
    FinishAttempt(Box<Waiting>, State, Option<AttemptRecord>),
}

impl ReplicatedOp {
    /// The record of an operation; none if it is not one that copies have.
    pub fn from_op(op: &Op) -> Option<ReplicatedOp> {
        Some(match op.clone() {
            Op::AcceptCall(call, mark, until) => ReplicatedOp::AcceptCall(call, mark, until),
            Op::RevokeCall(seq, mark) => ReplicatedOp::RevokeCall(seq, mark),
            Op::MarkSent(seq, at) => ReplicatedOp::MarkSent(seq, at),
            Op::ClearSent(seq) => ReplicatedOp::ClearSent(seq),
            Op::CompleteCall(seq, outcome, messages) => {
                ReplicatedOp::CompleteCall(seq, outcome, messages)
            }
            Op::BeginAttempt(seq, true, at) => ReplicatedOp::BeginAttempt(seq, at),
            Op::FinishAttempt(waiting, state, attempt) => {
                ReplicatedOp::FinishAttempt(waiting, state, attempt)
            }
            _ => return None,
        })
    }

    /// The operation of a record.
    pub fn into_op(self) -> Op {
        match self {
            ReplicatedOp::AcceptCall(call, mark, until) => Op::AcceptCall(call, mark, until),
            ReplicatedOp::RevokeCall(seq, mark) => Op::RevokeCall(seq, mark),
            ReplicatedOp::MarkSent(seq, at) => Op::MarkSent(seq, at),
            ReplicatedOp::ClearSent(seq) => Op::ClearSent(seq),
            ReplicatedOp::CompleteCall(seq, outcome, messages) => {
                Op::CompleteCall(seq, outcome, messages)
            }
            ReplicatedOp::BeginAttempt(seq, at) => Op::BeginAttempt(seq, true, at),
            ReplicatedOp::FinishAttempt(waiting, state, attempt) => {
                Op::FinishAttempt(waiting, state, attempt)
            }
        }
    }

    /// Its bytes.
    pub fn encode(&self) -> Result<Vec<u8>, StoreError> {
        pack(self)
    }

    /// Reads a record.
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedOp, StoreError> {
        unpack(bytes, "a shard's record")
    }
}
