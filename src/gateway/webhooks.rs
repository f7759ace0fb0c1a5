//! Drives the second front: calls to the store and the core, deliveries to portals. It decides nothing: who may go
//! is [`Delivery`]'s, what is kept the store's, what may be taken [`Inbound`]'s.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use calloop::channel;
use slotmap::{new_key_type, SecondaryMap, SlotMap};

use super::replication::{fault_injection_point, PrimaryRequest, RequestOrigin};
use super::{
    io, net, AttemptKey, CloseReason, Completed, ConnKey, Exchange, FunctionId, Gateway,
    GatewayDeadline, GatewayError, ListenerKind, Micros, Origin, Rc, RequestKey, Role,
    SendProgress, VecDeque, CLIENT_IDLE_TIMEOUT,
};
use crate::api::Effect;
use crate::config::{ConfigError, Webhooks};
use crate::core::{AttemptDispatch, Call};
use crate::delivery::egress::EgressPolicy;
use crate::delivery::response::{DeadLetterReason, DeliveryReport, State};
use crate::delivery::schedule::Schedule;
use crate::delivery::{Delivery, EndpointId, Input, Limits, Output, Seq, Waiting};
use crate::front::http::{self, plain, Bad};
use crate::front::webhook::answer::{self, Progress};
use crate::front::webhook::inbound::{Inbound, Job};
use crate::front::webhook::message::{self, Outcome};
use crate::front::webhook::replay::{self, Replays};
use crate::net::UNTAGGED_FRAME;
use crate::replication::error::ReplicationError;
use crate::replication::wire::RequestOutcome;
use crate::replication::{Epoch, Name, ShardId};
use crate::store::disk::Disk;
use crate::store::error::StoreError;
use crate::store::keyspace::MemoryKeyspace;
use crate::store::operations::{
    AcceptCall, ApplyRetention, BeginAttempt, CompleteCall, FinishAttempt, Op, Reply,
    RetentionResult,
};
use crate::store::records::{AttemptRecord, CallRecord, CallState, IdentityDigest, MessageRecord};
use crate::store::recovery::{RecoveryAction, ResumeAction};
use crate::store::replicated_op::ReplicatedOp;
use crate::store::tables::{RecoveredState, Tables};
use crate::store::writer::Writer;
use crate::tenancy::{Endpoint, COMPLETED};

mod calls;
mod portals;
mod replies;
mod shard_calls;
mod shards;
mod start;

pub(super) use shard_calls::IncomingCall;

new_key_type! {
    /// The slot of a call that came as a webhook.
    pub(super) struct JobKey;
}

/// An idle connection to a portal is kept for this long.
const PORTAL_IDLE: Micros = 10_000_000;
/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 4;
/// How long an attempt may wait for its record before its worker is asked no more: well under the time within which
/// a worker that drains may still be sent something.
const STALE: Micros = 250_000;
/// Records that one pass of retention looks at, and the pauses between passes.
const RETAINED: usize = 256;
const RETAIN_SOON: Micros = 50_000;
const RETAIN_LATER: Micros = 5_000_000;
/// Questions to the store that may be open before nothing new is taken.
const MAX_PENDING_STORE_OPS: usize = 8192;
/// How long after the last call the disk is waited for at the end.
const LAST_WORD: Micros = 2_000_000;

/// Identities of one shard that are remembered at most.
pub(super) const MAX_IDENTITIES: usize = 65_536;

/// Who is owed the word that a call is taken.
#[derive(Clone, Debug)]
pub(super) enum Caller {
    /// A caller of this gateway.
    Here(ConnKey),
    /// Another gateway, or this one, by the number of its question.
    Gateway(Name, u64),
}

/// A connection to a portal.
#[derive(Debug)]
pub(super) struct PortalLink {
    endpoint: EndpointId,
    address: SocketAddr,
    /// The message that is out on it, and since when.
    current: Option<(Seq, Micros)>,
    /// What is known of the answer before its end.
    status: Option<(u16, Option<Micros>)>,
}

impl PortalLink {
    /// Whether nothing is out on it.
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Whether not one byte of what is out on it has left.
    pub(super) fn untouched(&self, out: &net::Outbox) -> bool {
        self.current.is_some_and(|(seq, _)| out.is_unsent(seq.0))
    }
}

/// A call whose answer is owed.
#[derive(Debug)]
struct Held {
    seq: Seq,
    job: Job,
    id: Rc<str>,
    /// The call in the core, while it runs.
    request: Option<RequestKey>,
}

/// A call that must not run twice, by the identity that workers are told.
#[derive(Debug)]
struct Guard {
    seq: Seq,
    /// Whether an attempt is not proved never to have run.
    ran: bool,
}

/// An attempt that waits for its record.
#[derive(Debug)]
struct UnrecordedAttempt {
    dispatch: AttemptDispatch,
    since: Micros,
}

/// What a pending operation of the store is for.
#[derive(Debug)]
enum PendingStoreOp {
    /// An accepted call is persisted.
    AcceptCall {
        caller: Caller,
        call: Box<Call<Job>>,
        seq: Seq,
        mark: IdentityDigest,
    },
    /// It is recorded that an attempt of an unsafe call is sent.
    RecordAttempt(AttemptKey),
    /// Messages are persisted that may wait now.
    EnqueueMessages,
    /// An attempt to deliver a message begins.
    BeginDelivery(Seq),
    FetchDue(EndpointId),
    PurgeEndpoint(EndpointId),
    ApplyRetention,
    /// A caller here asks for the state of a call.
    ReadCallState {
        conn: ConnKey,
        id: String,
    },
    AdminRequest {
        conn: ConnKey,
        limit: Option<usize>,
        key: Option<(String, String)>,
    },
    /// Something is recorded that nobody waits for.
    RecordOnly,
    RegisterDisk,
    /// A record or a snapshot of a shard is stored, for a commit if there is a waiter.
    StoreRecord(ShardId, Option<u64>),
    /// A snapshot of a shard is read for a replica.
    ReadSnapshot(ShardId, Name),
    /// The state of a shard is read.
    BecomePrimary(ShardId, Epoch),
    VerifyDisk,
    AcceptDamage(ShardId),
    /// A delivery is settled whose attempt another process had begun.
    SettleAttempt(Waiting, State),
    /// Another gateway asks for the state of a call.
    ForwardCallState(Name, u64),
}

enum Backend {
    Memory(Box<(MemoryKeyspace, Tables)>),
    Disk(Writer),
}

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if matches!(self, Backend::Memory(_)) {
            "Memory"
        } else {
            "Disk"
        })
    }
}

/// Webhooks, while they are on.
#[derive(Debug)]
pub(super) struct WebhookDriver {
    inbound: Inbound,
    delivery: Delivery,
    jobs: SlotMap<JobKey, Held>,
    backend: Backend,
    replies: VecDeque<(u64, Result<Reply, StoreError>)>,
    pending_store_ops: HashMap<u64, PendingStoreOp>,
    last_store_op: u64,
    last_seq: u64,
    /// Messages whose attempt is being made, and their endpoint.
    out: HashMap<Seq, Box<MessageRecord>>,
    idle: HashMap<EndpointId, Vec<ConnKey>>,
    guards: HashMap<Rc<str>, Guard>,
    guarded: SecondaryMap<AttemptKey, Rc<str>>,
    unrecorded: SecondaryMap<AttemptKey, UnrecordedAttempt>,
    networks: EgressPolicy,
    schedule: Schedule,
    hung: Option<Micros>,
    pending: usize,
    answer_limit: Micros,
    retention: (Micros, u64),
    stopping: Option<Micros>,
    /// What is to be copied before it counts: the question's number, the shard, the record and how many disks it asks for.
    pub(super) shared: VecDeque<(u64, ShardId, Vec<u8>, usize)>,
    /// Calls of shards led here whose earlier attempt here has not ended; at most as many as were
    /// under way. Removed when it ends, or with the shard.
    postponed: Vec<CallRecord>,
    /// The epoch and the last number given in each shard that is led here.
    numbers: HashMap<ShardId, (Epoch, u32)>,
}

impl WebhookDriver {
    /// Callbacks that wait in memory; those in a file need no room here.
    fn waiting(&self) -> usize {
        match &self.backend {
            Backend::Memory(both) => both.1.stats().waiting as usize,
            Backend::Disk(_) => 0,
        }
    }

    pub(super) fn durable(&self) -> bool {
        matches!(self.backend, Backend::Disk(_))
    }

    fn ask(&mut self, ask: PendingStoreOp, op: Op) {
        self.ask_for(ask, op, 0);
    }

    /// Asks for something that is to stand on so many disks, if it is a shard's.
    fn ask_for(&mut self, ask: PendingStoreOp, op: Op, want: usize) {
        self.last_store_op += 1;
        let number = self.last_store_op;
        self.pending_store_ops.insert(number, ask);
        if let (Some(shard), Some(shared)) = (op.shard(), ReplicatedOp::from_op(&op)) {
            match shared.encode() {
                Ok(bytes) => self.shared.push_back((number, shard, bytes, want)),
                Err(e) => self.replies.push_back((number, Err(e))),
            }
            return;
        }
        match &mut self.backend {
            Backend::Disk(writer) => writer.submit(number, op),
            Backend::Memory(both) => {
                let (space, tables) = &mut **both;
                let reply = tables.apply(space, op);
                self.replies.push_back((number, reply));
            }
        }
    }

    fn seq(&mut self) -> Seq {
        self.last_seq += 1;
        Seq(self.last_seq)
    }

    /// Whether what was waited for at the end of the process has taken too long.
    pub(super) fn is_late(&self, now: Micros) -> bool {
        self.stopping.is_some_and(|t| now > t + LAST_WORD)
    }

    /// Whether nothing is left that the end of the process would lose or leave in doubt.
    pub(super) fn is_idle(&self, now: Micros) -> bool {
        let late = self.is_late(now);
        let kept = if self.durable() {
            self.delivery.attempts_in_flight() == 0 && (self.pending_store_ops.is_empty() || late)
        } else {
            self.waiting() == 0 && self.pending_store_ops.is_empty()
        };
        self.jobs.is_empty() && kept
    }

    /// What can be seen of an endpoint.
    pub(super) fn health(&self, id: EndpointId) -> Option<crate::delivery::Health> {
        self.delivery.health(id)
    }

    /// Notes a reply of the store's thread.
    pub(super) fn reply(&mut self, number: u64, reply: Result<Reply, StoreError>) {
        self.replies.push_back((number, reply));
    }
}

fn store_error(path: PathBuf, e: &StoreError) -> GatewayError {
    GatewayError::Operator(ConfigError::Parse(path, e.to_string()))
}

fn answered(status: u16, advice: Option<Micros>) -> DeliveryReport {
    let ending = if (200..300).contains(&status) {
        CloseReason::Served
    } else {
        CloseReason::Failed
    };
    DeliveryReport {
        close_reason: ending,
        send_progress: SendProgress::Started,
        status: Some(status),
        retry_after: advice,
    }
}

fn job_of(call: &CallRecord) -> Job {
    Job {
        tenant: call.tenant.clone(),
        serial: call.serial,
        webhook_id: call.webhook_id.clone(),
        class: call.class.clone(),
        effect: call.effect,
        function: FunctionId(call.function),
        order: call.order.clone(),
    }
}

fn order(key: &str) -> u64 {
    let mark = replay::mark("", key);
    mark.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}

fn new_message(seq: Seq, e: &Endpoint, kind: &str, now: Micros, body: &[u8]) -> MessageRecord {
    MessageRecord {
        waiting: Waiting {
            seq,
            endpoint: e.id,
            due: now,
            effect: Effect::Idempotent,
            ran: None,
            tries: 0,
            size: body.len() as u32,
        },
        state: State::Waiting,
        tenant: String::new(),
        serial: 0,
        id: format!("msg_{:016x}", seq.0),
        kind: kind.to_owned(),
        call: None,
        created: now,
        order: None,
        acknowledged: None,
    }
}

/// The bytes of a refusal.
pub(super) fn refuse(bad: &Bad, stays: bool) -> Vec<u8> {
    let extra = if bad.status == 503 {
        "Content-Type: text/plain\r\nRetry-After: 1\r\n"
    } else {
        "Content-Type: text/plain\r\n"
    };
    http::response(bad.status, extra, bad.why.as_bytes(), stays && !bad.fatal)
}

impl Gateway {
    /// Writes the answer that a client of the second front is owed, and reads on.
    pub(super) fn answer_second(
        &mut self,
        key: ConnKey,
        now: Micros,
        bytes: impl FnOnce(bool) -> Vec<u8>,
    ) {
        let accepting = self.ops.lifecycle.keeps_alive(now);
        let Some((
            conn,
            Role::Client {
                pending: open,
                keep_alive: keep,
                ..
            },
        )) = self.connections.get_mut(key)
        else {
            return;
        };
        *open = None;
        conn.idle_since = now;
        let stays = *keep && accepting;
        conn.outbox.push(UNTAGGED_FRAME, bytes(stays));
        conn.closing = !stays;
        self.set_deadline(key, Some(now + CLIENT_IDLE_TIMEOUT));
        self.dirty.push(key);
        self.read_secondary_requests(key, now);
    }
}
