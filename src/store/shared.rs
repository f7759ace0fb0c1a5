//! What gateways copy of the store: the operations of a shard, as its records have them.

use serde::{Deserialize, Serialize};

use super::records::{AttemptRecord, CallRecord, IdentityDigest, MessageRecord, Op, StoreError};
use super::tables::{pack, unpack};
use crate::api::Micros;
use crate::delivery::response::State;
use crate::delivery::{Seq, Waiting};

/// An operation that counts once all copies have it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Shared {
    /// A call is taken.
    Take(Box<CallRecord>, IdentityDigest, Micros),
    /// It is not, after all.
    Untake(Seq, IdentityDigest),
    /// An attempt of an unsafe call is about to leave.
    Sent(Seq, Micros),
    /// No attempt of it ran after all.
    Unsent(Seq),
    /// A call has its answer, with its callbacks.
    Answer(Seq, String, Vec<(MessageRecord, Vec<u8>)>),
    /// An attempt at a callback that must not come twice is about to leave.
    Begin(Seq, Micros),
    /// Where a callback stands after an attempt.
    Ended(Box<Waiting>, State, Option<AttemptRecord>),
}

impl Shared {
    /// The record of an operation; none if it is not one that copies have.
    pub fn of(op: &Op) -> Option<Shared> {
        Some(match op.clone() {
            Op::Take(call, mark, until) => Shared::Take(call, mark, until),
            Op::Untake(seq, mark) => Shared::Untake(seq, mark),
            Op::Sent(seq, at) => Shared::Sent(seq, at),
            Op::Unsent(seq) => Shared::Unsent(seq),
            Op::Answer(seq, outcome, messages) => Shared::Answer(seq, outcome, messages),
            Op::Begin(seq, true, at) => Shared::Begin(seq, at),
            Op::Ended(waiting, state, attempt) => Shared::Ended(waiting, state, attempt),
            _ => return None,
        })
    }

    /// The operation of a record.
    pub fn op(self) -> Op {
        match self {
            Shared::Take(call, mark, until) => Op::Take(call, mark, until),
            Shared::Untake(seq, mark) => Op::Untake(seq, mark),
            Shared::Sent(seq, at) => Op::Sent(seq, at),
            Shared::Unsent(seq) => Op::Unsent(seq),
            Shared::Answer(seq, outcome, messages) => Op::Answer(seq, outcome, messages),
            Shared::Begin(seq, at) => Op::Begin(seq, true, at),
            Shared::Ended(waiting, state, attempt) => Op::Ended(waiting, state, attempt),
        }
    }

    /// Its bytes.
    pub fn pack(&self) -> Result<Vec<u8>, StoreError> {
        pack(self)
    }

    /// Reads a record.
    pub fn read(bytes: &[u8]) -> Result<Shared, StoreError> {
        unpack(bytes, "a shard's record")
    }
}
