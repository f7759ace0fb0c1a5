//! What the store keeps, and what is asked of it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::api::{Effect, Micros};
use crate::consensus::persistent_state::Record;
use crate::delivery::response::State;
use crate::delivery::{EndpointId, Seq, Waiting};
use crate::replication::error::ReplicationError;
use crate::replication::{LogPosition, ShardId};

/// The digest of a call's identity.
pub type IdentityDigest = [u8; 32];

/// Why the store cannot do what it is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Another process holds the file.
    Held,
    /// The file is not a store of this program.
    Foreign(String),
    /// The file was written by a newer version.
    Newer(u32),
    /// A record cannot be read.
    Damaged(&'static str),
    /// The disk failed or is full; what was asked is not kept.
    Disk(String),
    /// As many bytes wait as may.
    Full,
    /// What the disk holds of a shard is not what was written.
    Unsound(ShardId, Vec<u8>),
    /// It does not stand on as many machines as it has to.
    NotPromised(ReplicationError),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Held => f.write_str("the store is held by another process"),
            StoreError::Foreign(e) => write!(f, "the file is not a store of this program: {e}"),
            StoreError::Newer(v) => write!(
                f,
                "the store has format {v}, which is newer than this program"
            ),
            StoreError::Damaged(what) => write!(f, "the store holds {what} that cannot be read"),
            StoreError::Disk(e) => write!(f, "the store cannot be written or read: {e}"),
            StoreError::Full => f.write_str("the store holds as much as it may"),
            StoreError::Unsound(shard, ranges) => {
                write!(
                    f,
                    "ranges {ranges:?} of shard {shard} are not what was written"
                )
            }
            StoreError::NotPromised(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A call that got a 202, until its answer is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Its number.
    pub seq: Seq,
    /// The tenant's name, and which of that name.
    pub tenant: String,
    /// Which tenant of that name.
    pub serial: u64,
    /// The identity that the caller gave it.
    pub webhook_id: String,
    /// The identity that workers are told.
    pub worker_id: String,
    /// The class's name.
    pub class: String,
    /// What repeating it does.
    pub effect: Effect,
    /// The function.
    pub function: u64,
    /// Until when it is of use, Unix microseconds.
    pub expires: Micros,
    /// The hint at its work.
    pub work: Option<Micros>,
    /// Memory of a copy.
    pub memory_mb: f64,
    /// Calls that a copy runs at a time.
    pub lanes: u32,
    /// Usual time of a load.
    pub load_time: Option<Micros>,
    /// What the worker gets.
    pub body: Vec<u8>,
    /// Answers under one key go out in their order.
    pub order: Option<String>,
    /// When an attempt that is not proved never to have run was first sent.
    pub sent: Option<Micros>,
}

/// A message to an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// What delivery knows of it.
    pub waiting: Waiting,
    /// Where it stands.
    pub state: State,
    /// The tenant's name.
    pub tenant: String,
    /// Which tenant of that name.
    pub serial: u64,
    /// The `webhook-id`, the same with every attempt.
    pub id: String,
    /// The type of event.
    pub kind: String,
    /// The call that it answers.
    pub call: Option<String>,
    /// When it was made.
    pub created: Micros,
    /// The key within which messages keep their order.
    pub order: Option<u64>,
    /// Who had it sent again although it may have arrived.
    pub acknowledged: Option<String>,
}

/// An attempt at a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// When it ended.
    pub at: Micros,
    /// How long it took.
    pub took: Micros,
    /// How it ended.
    pub ending: String,
    /// The answer's status.
    pub status: Option<u16>,
    /// Whether it may have arrived.
    pub may_have_arrived: bool,
}

/// How a call stands, for its caller to ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallState {
    /// When it was taken.
    pub taken: Micros,
    /// `served`, `refused`, `failed` or `unknown`; none while it is open.
    pub outcome: Option<String>,
    /// Its shard; 0 if it is this gateway's alone.
    pub shard: ShardId,
}

/// A list of messages to look for; all that is given must hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// The tenant.
    pub serial: u64,
    /// The state's name.
    pub state: Option<String>,
    /// The type of event.
    pub kind: Option<String>,
    /// The endpoint.
    pub endpoint: Option<EndpointId>,
    /// Made at or after this.
    pub since: Option<Micros>,
    /// Older than this message: the page's cursor.
    pub before: Option<Seq>,
    /// At most so many.
    pub limit: usize,
}

/// What is asked of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Keep a call, and that its identity was seen, until this time.
    Take(Box<CallRecord>, IdentityDigest, Micros),
    /// Forget a call whose taking could not be confirmed.
    Untake(Seq, IdentityDigest),
    /// An attempt of an unsafe call is about to leave, at this time.
    Sent(Seq, Micros),
    /// No attempt of it ran after all.
    Unsent(Seq),
    /// A call has its answer: the outcome and its messages, in place of the call.
    Answer(Seq, String, Vec<(MessageRecord, Vec<u8>)>),
    /// Keep messages that answer no call.
    Publish(Vec<(MessageRecord, Vec<u8>)>),
    /// An attempt at a message is about to leave; whether that is to be recorded, and when.
    Begin(Seq, bool, Micros),
    /// Where a message stands after an attempt, or without one.
    Ended(Box<Waiting>, State, Option<AttemptRecord>),
    /// The first that wait for an endpoint.
    Fetch(EndpointId, usize),
    /// End what waits for an endpoint that is no more; at most so many at once.
    Purge(EndpointId, usize),
    /// Send a message again, due at this time; one that may have arrived and must not twice only if acknowledged,
    /// by whom.
    Again(Seq, u64, Micros, Option<String>),
    /// Send again all messages of an endpoint that were given up since a time and may be sent again; at most so many.
    Recover(EndpointId, u64, Micros, Micros, usize),
    /// Messages of a tenant, the newest first.
    Messages(Filter),
    /// One message of a tenant with its attempts and body.
    Message(Seq, u64),
    /// How a tenant's call stands.
    Call(u64, String),
    /// Let go of what is old or too much: now, the age, the bytes, and how many records to look at.
    Retain(Micros, Micros, u64, usize),
    /// Figures.
    Stat,
    /// Whether what the disk holds of shards is still what was written.
    Verify,
    /// All messages after one, the oldest first, so many.
    Export(Option<Seq>, usize),
    /// Keep a change of a voter's log.
    Log(Box<Record>),
    /// A process begins on this disk, which gets this number if it has none; `true` takes a new one whatever it has, and lets
    /// go of all that is held for others.
    BeginDisk(u64, bool),
    /// A record of a shard, and the place it leads to.
    Shard(ShardId, LogPosition, Box<Op>),
    /// All that the disk holds of a shard, for a copy.
    ReadShard(ShardId),
    /// What another disk holds of a shard takes the place of what this one does.
    WriteShard(ShardId, LogPosition, Vec<u8>),
    /// No other disk has a shard that is damaged here: what is left of it counts.
    Accept(ShardId),
    /// A shard is led here from now on: what stands of it.
    Lead(ShardId),
    /// It is led here no more: nothing of it waits here.
    Rest(ShardId),
}

impl Op {
    /// The shard whose copies must have this before it counts; none if it is this gateway's alone.
    pub fn shard(&self) -> Option<ShardId> {
        let seq = match self {
            Op::Take(call, ..) => call.seq,
            Op::Begin(seq, true, _) | Op::Sent(seq, _) | Op::Unsent(seq) | Op::Answer(seq, ..) => {
                *seq
            }
            Op::Untake(seq, _) => *seq,
            Op::Ended(waiting, ..) => waiting.seq,
            _ => return None,
        };
        Some(seq.shard()).filter(|s| *s > 0)
    }
}

/// What the store answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Done.
    Done,
    /// Messages that now wait for their attempt.
    Waits(Vec<Waiting>),
    /// The message whose attempt may leave, with its body; none if it does not wait any more.
    Begun(Option<Box<(MessageRecord, Vec<u8>)>>),
    /// The first that wait, and when the next after them is due.
    Fetched(Vec<Waiting>, Option<Micros>),
    /// Whether there may be more to do.
    More(bool),
    /// It may not be sent again: it may have arrived, or it is not known.
    NotAgain(&'static str),
    /// Messages.
    Messages(Vec<MessageRecord>),
    /// One message, its attempts and its body.
    Message(Option<Box<Shown>>),
    /// A call's state.
    Call(Option<CallState>),
    /// Messages that expired while they waited, those that wait in their place, and whether there may be more to
    /// look at.
    Retained(Vec<Seq>, Vec<Waiting>, bool),
    /// Figures.
    Stat(Stat),
    /// The disk's number, how often it was begun, and how far the shards on it have come.
    Disk(u64, u64, Vec<(ShardId, LogPosition)>),
    /// The ranges of each shard that are not what was written.
    Verified(Vec<(ShardId, Vec<u8>)>),
    /// A shard's content, as of a place.
    Shard(LogPosition, Vec<u8>),
    /// What stands of a shard.
    Stands(Box<Stands>),
}

/// What stands of a shard that is taken over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stands {
    /// Calls without an answer.
    pub calls: Vec<CallRecord>,
    /// Identities taken, and until when they count.
    pub marks: Vec<(IdentityDigest, Micros)>,
    /// Callbacks that wait.
    pub waits: Vec<Waiting>,
    /// Callbacks of which an attempt had begun, and when.
    pub begun: Vec<(Waiting, Micros)>,
    /// Identities that counted until then may have been forgotten.
    pub forgotten: Micros,
}

/// All that is kept of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// The message.
    pub record: MessageRecord,
    /// Its latest attempts, in their order.
    pub attempts: Vec<AttemptRecord>,
    /// Its body.
    pub body: Vec<u8>,
}

/// Figures of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stat {
    /// Calls without an answer.
    pub calls: u64,
    /// Messages in all.
    pub messages: u64,
    /// Messages that wait.
    pub waiting: u64,
    /// Bytes of bodies.
    pub bytes: u64,
}
