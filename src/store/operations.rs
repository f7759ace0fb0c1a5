//! Operations of the store and their replies. [`super::replicated_op`] has the encoded form of the
//! operations that are replicated.

use serde::{Deserialize, Serialize};

use super::records::{
    AttemptRecord, CallRecord, CallState, IdentityDigest, MessageRecord, StoreStats, TenantsRecord,
};
use crate::api::Micros;
use crate::consensus::persistent_state::Record;
use crate::delivery::response::MessageState;
use crate::delivery::{EndpointId, PendingMessage, Seq};
use crate::replication::{LogPosition, ShardId};

/// A query for messages of a tenant. A message must match all criteria that are set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// The tenant's serial number.
    pub serial: u64,
    /// The name of the delivery state.
    pub state: Option<String>,
    /// The event type.
    pub kind: Option<String>,
    /// The endpoint of the messages.
    pub endpoint: Option<EndpointId>,
    /// The earliest time of creation, in Unix microseconds.
    pub since: Option<Micros>,
    /// The cursor of the page: only messages with a lower sequence number match.
    pub before: Option<Seq>,
    /// The maximum number of messages.
    pub limit: usize,
}

/// Persists an accepted call and its identity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptCall {
    /// The call.
    pub call: Box<CallRecord>,
    /// The digest of the call's identity.
    pub identity: IdentityDigest,
    /// The time until which a repeated call with this identity must be detected.
    pub valid_until: Micros,
}

/// Completes a call with its outcome and the messages that report the outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompleteCall {
    /// The call's sequence number.
    pub call: Seq,
    /// The outcome.
    pub outcome: String,
    /// The messages that report the outcome, with their bodies.
    pub messages: Vec<(MessageRecord, Vec<u8>)>,
}

/// Starts an attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BeginAttempt {
    /// The message's sequence number.
    pub message: Seq,
    /// Whether the start must be durable before the attempt is sent.
    pub durable: bool,
    /// The start time of the attempt, in Unix microseconds.
    pub at: Micros,
}

/// Sets the state of a message at the end of an attempt, or without an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishAttempt {
    /// The message with the delivery scheduler's updates.
    pub waiting: Box<PendingMessage>,
    /// The new state.
    pub state: MessageState,
    /// The attempt, if there was one.
    pub attempt: Option<AttemptRecord>,
}

/// Sends a message again.
#[derive(Clone, Debug, PartialEq)]
pub struct Resend {
    /// The message's sequence number.
    pub message: Seq,
    /// The tenant's serial number.
    pub serial: u64,
    /// The current time, at which the message becomes due.
    pub now: Micros,
    /// The operator who accepts that the message may arrive twice. If none, a message that is not
    /// idempotent and may have arrived is not sent again.
    pub acknowledged_by: Option<String>,
}

/// Sends an endpoint's dead letters again, except those that need an operator's acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendDeadLetters {
    /// The endpoint of the dead letters.
    pub endpoint: EndpointId,
    /// The tenant's serial number.
    pub serial: u64,
    /// The earliest time of creation, in Unix microseconds.
    pub since: Micros,
    /// The current time, at which the dead letters become due.
    pub now: Micros,
    /// The maximum number of messages.
    pub limit: usize,
}

/// One retention pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ApplyRetention {
    /// The current time.
    pub now: Micros,
    /// The maximum age of a record, in microseconds.
    pub max_age: Micros,
    /// The size of stored bodies, in bytes, above which finished messages of any age are deleted.
    pub max_bytes: u64,
    /// The maximum number of records of each kind that the pass examines.
    pub limit: usize,
}

/// Registers the start of a process on this disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegisterDisk {
    /// The identifier to assign if the disk has none or is reset.
    pub id: u64,
    /// Whether to assign a new identifier and drop all shards on the disk.
    pub reset: bool,
}

/// Applies a replicated operation to this replica of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyToShard {
    /// The shard of the replica.
    pub shard: ShardId,
    /// The position of the replica's log after the operation.
    pub position: LogPosition,
    /// The operation.
    pub op: Box<Op>,
}

/// Replaces a shard's content on this disk by a snapshot from another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct InstallShard {
    /// The shard to replace.
    pub shard: ShardId,
    /// The position of the replica's log that the snapshot corresponds to.
    pub position: LogPosition,
    /// The encoded snapshot.
    pub content: Vec<u8>,
}

/// An operation of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Persists an accepted call.
    AcceptCall(AcceptCall),
    /// Removes a call whose acceptance could not be confirmed, and the call's identity.
    RevokeCall(Seq, IdentityDigest),
    /// Records the time at which the first attempt of a call that must not run twice is sent.
    SetSent(Seq, Micros),
    /// Records that no attempt of a call has run.
    ClearSent(Seq),
    /// Completes a call with its outcome and the messages that report the outcome.
    CompleteCall(CompleteCall),
    /// Persists messages that do not report a call's outcome, with their bodies.
    Publish(Vec<(MessageRecord, Vec<u8>)>),
    /// Starts an attempt to deliver a message.
    BeginAttempt(BeginAttempt),
    /// Sets the state of a message.
    FinishAttempt(FinishAttempt),
    /// Reads the first waiting messages of an endpoint, up to a limit.
    FetchDue(EndpointId, usize),
    /// Ends the waiting messages of a removed endpoint, up to a limit.
    PurgeEndpoint(EndpointId, usize),
    /// Sends a message again.
    Resend(Resend),
    /// Sends an endpoint's dead letters again.
    ResendDeadLetters(ResendDeadLetters),
    /// Lists messages of a tenant, the newest first.
    ListMessages(Filter),
    /// Reads a message of a tenant with its attempts and body.
    GetMessage(Seq, u64),
    /// Reads the state of a call, by its tenant's serial number and its identity.
    GetCall(u64, String),
    /// Runs one retention pass.
    ApplyRetention(ApplyRetention),
    /// Reads the counts of the store's content.
    Stats,
    /// Compares the rows of all shards with their checksums.
    VerifyChecksums,
    /// Reads messages after a sequence number, the oldest first, up to a limit.
    ExportMessages(Option<Seq>, usize),
    /// Persists a change of the consensus log.
    AppendLog(Box<Record>),
    /// Registers the start of a process on this disk.
    RegisterDisk(RegisterDisk),
    /// Applies a replicated operation to this replica of a shard.
    ApplyToShard(ApplyToShard),
    /// Reads a snapshot of a shard.
    ReadShard(ShardId),
    /// Replaces a shard's content by a snapshot.
    InstallShard(InstallShard),
    /// Keeps the readable rows of a damaged shard that has no intact replica, and drops the others.
    AcceptDamage(ShardId),
    /// Makes this gateway the primary of a shard, and reads the shard's state.
    BecomePrimary(ShardId),
    /// Ends this gateway's role as the primary of a shard.
    ResignPrimary(ShardId),
    /// Persists the tenants under which calls are accepted from now on.
    StoreTenants(TenantsRecord),
}

impl Op {
    /// Returns the shard whose replicas must have the operation before its commit; none if the
    /// operation is not replicated.
    pub fn shard(&self) -> Option<ShardId> {
        let seq = match self {
            Op::AcceptCall(accept) => accept.call.seq,
            Op::CompleteCall(complete) => complete.call,
            Op::BeginAttempt(begin) if begin.durable => begin.message,
            Op::FinishAttempt(finish) => finish.waiting.seq,
            Op::SetSent(seq, _) | Op::ClearSent(seq) | Op::RevokeCall(seq, _) => *seq,
            _ => return None,
        };
        Some(seq.shard()).filter(|shard| *shard > 0)
    }

    /// Returns whether the operation compares rows with their checksums.
    pub(super) fn verifies_checksums(&self) -> bool {
        matches!(
            self,
            Op::ReadShard(_) | Op::BecomePrimary(_) | Op::VerifyChecksums
        )
    }
}

/// The reply to an [`Op`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The operation succeeded and returns no data.
    Done,
    /// The messages that are now waiting for an attempt.
    Queued(Vec<PendingMessage>),
    /// The message to send, with its body; none if the message is no longer waiting.
    Attempt(Option<Box<(MessageRecord, Vec<u8>)>>),
    /// The first waiting messages of an endpoint, and the due time of the message after them.
    Due(Vec<PendingMessage>, Option<Micros>),
    /// The result of one pass of ending the messages to a removed endpoint.
    Purged(PurgeResult),
    /// The reason why a message is not sent again.
    ResendRejected(&'static str),
    /// A list of messages.
    Messages(Vec<MessageRecord>),
    /// One message with its attempts and body.
    Message(Option<Box<MessageDetails>>),
    /// The state of a call.
    Call(Option<CallState>),
    /// The result of a retention pass.
    Retained(RetentionResult),
    /// Counts of the store's content.
    Stats(StoreStats),
    /// The disk's identity and content.
    Disk(DiskState),
    /// The ranges of each shard whose rows do not match their checksums.
    Verified(Vec<(ShardId, Vec<u8>)>),
    /// The position and the encoded snapshot of a shard.
    ShardContent(LogPosition, Vec<u8>),
    /// The state of a shard of which this gateway has become the primary.
    PrimaryState(Box<ShardState>),
}

/// The result of one pass of ending the messages to a removed endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PurgeResult {
    /// The number of messages that ended undelivered.
    pub ended: u64,
    /// Whether the limit was reached, so that more messages may remain.
    pub more: bool,
}

/// The result of a retention pass.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetentionResult {
    /// The messages that expired while they waited.
    pub expired: Vec<Seq>,
    /// The next messages of the same order keys, which are now waiting.
    pub released: Vec<PendingMessage>,
    /// Whether there may be more records to examine.
    pub more: bool,
}

/// The identity and content of a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskState {
    /// The disk's identifier.
    pub id: u64,
    /// The number of process starts on the disk.
    pub incarnation: u64,
    /// The shards on the disk, with the positions of their logs.
    pub shards: Vec<(ShardId, LogPosition)>,
}

/// The state of a shard that its new primary needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardState {
    /// Calls without an outcome.
    pub calls: Vec<CallRecord>,
    /// The identities of accepted calls, with the time until which each is valid.
    pub identities: Vec<(IdentityDigest, Micros)>,
    /// Messages that wait for an attempt.
    pub waiting: Vec<PendingMessage>,
    /// Messages with a started attempt, and the start time of the attempt.
    pub in_flight: Vec<(PendingMessage, Micros)>,
    /// Identities that expired at or before this time may have been removed.
    pub identities_expired_until: Micros,
}

/// A message with its attempts and body.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageDetails {
    /// The message.
    pub record: MessageRecord,
    /// The latest attempts, in chronological order.
    pub attempts: Vec<AttemptRecord>,
    /// The body of the message.
    pub body: Vec<u8>,
}
