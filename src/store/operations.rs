//! Operations of the store and their replies. They are not encoded; see [`super::replicated_op`]
//! for those that are.

use serde::{Deserialize, Serialize};

use super::records::{
    AttemptRecord, CallRecord, CallState, IdentityDigest, MessageRecord, StoreStats,
};
use crate::api::Micros;
use crate::consensus::persistent_state::Record;
use crate::delivery::response::State;
use crate::delivery::{EndpointId, Seq, Waiting};
use crate::replication::{LogPosition, ShardId};

/// A query for messages of a tenant. All criteria that are given must match.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// The tenant's serial number.
    pub serial: u64,
    /// The name of the delivery's state.
    pub state: Option<String>,
    /// The type of event.
    pub kind: Option<String>,
    /// The endpoint.
    pub endpoint: Option<EndpointId>,
    /// The earliest time of creation.
    pub since: Option<Micros>,
    /// The page's cursor: only messages older than this one match.
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
    /// The time until which a repetition of the identity has to be detected.
    pub valid_until: Micros,
}

/// Replaces a call by its outcome and its messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompleteCall {
    /// The call's number.
    pub call: Seq,
    /// The outcome.
    pub outcome: String,
    /// The messages that report the outcome, with their bodies.
    pub messages: Vec<(MessageRecord, Vec<u8>)>,
}

/// Starts an attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BeginAttempt {
    /// The message's number.
    pub message: Seq,
    /// Whether the start has to be durable before the attempt is sent.
    pub durable: bool,
    /// When the attempt starts.
    pub at: Micros,
}

/// Sets the state of a message, after an attempt or without one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishAttempt {
    /// The message as the delivery scheduler has it.
    pub waiting: Box<Waiting>,
    /// The new state.
    pub state: State,
    /// The attempt, if there was one.
    pub attempt: Option<AttemptRecord>,
}

/// Sends a message again.
#[derive(Clone, Debug, PartialEq)]
pub struct Resend {
    /// The message's number.
    pub message: Seq,
    /// The tenant's serial number.
    pub serial: u64,
    /// When it is due.
    pub now: Micros,
    /// The operator who accepts that it may arrive twice. Without one a message that is not
    /// idempotent and may have arrived is not sent again.
    pub acknowledged_by: Option<String>,
}

/// Sends an endpoint's dead letters again, as far as that is safe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResendDeadLetters {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The tenant's serial number.
    pub serial: u64,
    /// The earliest time of creation.
    pub since: Micros,
    /// When they are due.
    pub now: Micros,
    /// The maximum number of messages.
    pub limit: usize,
}

/// One pass of retention.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ApplyRetention {
    /// The current time.
    pub now: Micros,
    /// The maximum age of a record.
    pub max_age: Micros,
    /// Stored bytes above which finished messages are deleted whatever their age.
    pub max_bytes: u64,
    /// The maximum number of records of each kind that the pass examines.
    pub limit: usize,
}

/// Registers the start of a process on this disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegisterDisk {
    /// The identifier that the disk gets if it has none.
    pub id: u64,
    /// Whether the disk gets a new identifier in any case and drops all shards that it holds.
    pub reset: bool,
}

/// Applies a replicated operation to this replica of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyToShard {
    /// The shard.
    pub shard: ShardId,
    /// The position of the replica's log after the operation.
    pub position: LogPosition,
    /// The operation.
    pub op: Box<Op>,
}

/// Replaces a shard's content on this disk by a snapshot from another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct InstallShard {
    /// The shard.
    pub shard: ShardId,
    /// The position of the snapshot.
    pub position: LogPosition,
    /// The snapshot.
    pub content: Vec<u8>,
}

/// An operation of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Persists an accepted call.
    AcceptCall(AcceptCall),
    /// Removes a call whose acceptance could not be confirmed, with its identity.
    RevokeCall(Seq, IdentityDigest),
    /// Records when the first attempt of an unsafe call is sent.
    SetSent(Seq, Micros),
    /// Records that no attempt of a call has run.
    ClearSent(Seq),
    /// Replaces a call by its outcome and its messages.
    CompleteCall(CompleteCall),
    /// Persists messages that answer no call, with their bodies.
    Publish(Vec<(MessageRecord, Vec<u8>)>),
    /// Starts an attempt to deliver a message.
    BeginAttempt(BeginAttempt),
    /// Sets the state of a message.
    FinishAttempt(FinishAttempt),
    /// Reads the first waiting messages of an endpoint, up to a limit.
    FetchDue(EndpointId, usize),
    /// Ends waiting messages of an endpoint that was removed, up to a limit.
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
    /// Runs one pass of retention.
    ApplyRetention(ApplyRetention),
    /// Reads the counts of the store's content.
    Stats,
    /// Compares the rows of all shards with their checksums.
    VerifyChecksums,
    /// Reads messages after a number, the oldest first, up to a limit.
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
    /// Accepts what is readable of a damaged shard that no other disk has.
    AcceptDamage(ShardId),
    /// Makes this gateway the primary of a shard, and reads the shard's state.
    BecomePrimary(ShardId),
    /// Ends this gateway's role as the primary of a shard.
    ResignPrimary(ShardId),
}

impl Op {
    /// Returns the shard whose replicas must have the operation before it is committed; none if it
    /// is not replicated.
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
    /// The operation is done.
    Done,
    /// Messages that now wait for an attempt.
    Queued(Vec<Waiting>),
    /// The message to send, with its body; none if it does not wait any more.
    Attempt(Option<Box<(MessageRecord, Vec<u8>)>>),
    /// The first waiting messages, and the due time of the next one after them.
    Due(Vec<Waiting>, Option<Micros>),
    /// Whether there may be more to do.
    More(bool),
    /// The reason for which a message is not sent again.
    ResendRejected(&'static str),
    /// A list of messages.
    Messages(Vec<MessageRecord>),
    /// One message with its attempts and body.
    Message(Option<Box<MessageDetails>>),
    /// The state of a call.
    Call(Option<CallState>),
    /// The result of a pass of retention.
    Retained(RetentionResult),
    /// Counts of the store's content.
    Stats(StoreStats),
    /// The disk's identity and content.
    Disk(DiskState),
    /// For each shard the ranges of rows that do not match their checksums.
    Verified(Vec<(ShardId, Vec<u8>)>),
    /// A snapshot of a shard, and its position.
    ShardContent(LogPosition, Vec<u8>),
    /// The state of a shard of which this gateway has become the primary.
    PrimaryState(Box<ShardState>),
}

/// The result of a pass of retention.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetentionResult {
    /// Messages that expired while they waited.
    pub expired: Vec<Seq>,
    /// Messages of the same order keys that wait in their place.
    pub released: Vec<Waiting>,
    /// Whether there may be more records to examine.
    pub more: bool,
}

/// The identity and content of a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskState {
    /// The disk's identifier.
    pub id: u64,
    /// How often a process has started on the disk.
    pub incarnation: u64,
    /// The shards on the disk, with the positions of their logs.
    pub shards: Vec<(ShardId, LogPosition)>,
}

/// The state of a shard that is taken over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardState {
    /// Calls without an outcome.
    pub calls: Vec<CallRecord>,
    /// Identities seen, with the time until which each is valid.
    pub identities: Vec<(IdentityDigest, Micros)>,
    /// Messages that wait.
    pub waiting: Vec<Waiting>,
    /// Messages of which an attempt was started, and when.
    pub in_flight: Vec<(Waiting, Micros)>,
    /// Identities that were valid until this time may have been removed.
    pub identities_expired_until: Micros,
}

/// A message with its attempts and body.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageDetails {
    /// The message.
    pub record: MessageRecord,
    /// Its latest attempts, in order.
    pub attempts: Vec<AttemptRecord>,
    /// Its body.
    pub body: Vec<u8>,
}
