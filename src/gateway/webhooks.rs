//! Driver of the secondary front: passes calls to the store and the core, and callbacks to portals.
//! The decisions are made elsewhere: [`WebhookVerifier`] admits calls, the store persists them, and
//! [`Delivery`] schedules callbacks.

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
use crate::delivery::response::{DeadLetterReason, DeliveryReport, MessageState};
use crate::delivery::schedule::Schedule;
use crate::delivery::{Delivery, EndpointId, Input, Limits, Output, PendingMessage, Seq};
use crate::front::http::{self, request_error, RequestError};
use crate::front::webhook::answer::{self, Progress};
use crate::front::webhook::inbound::{CallContext, EarlierIdentities, WebhookVerifier};
use crate::front::webhook::message::{self, Outcome};
use crate::front::webhook::replay::{self, ReplayStore};
use crate::net::UNTAGGED_FRAME;
use crate::replication::error::ReplicationError;
use crate::replication::wire::RequestOutcome;
use crate::replication::{Epoch, Name, ShardId};
use crate::store::disk::Disk;
use crate::store::error::StoreError;
use crate::store::keyspace::MemoryKeyspace;
use crate::store::operations::{
    AcceptCall, ApplyRetention, BeginAttempt, CompleteCall, FinishAttempt, Op, PurgeResult, Reply,
    RetentionResult,
};
use crate::store::records::{
    AttemptRecord, CallRecord, CallState, IdentityDigest, MessageRecord, TenantsRecord,
};
use crate::store::recovery::{RecoveryAction, ResumeAction};
use crate::store::replicated_op::ReplicatedOp;
use crate::store::tables::{RecoveredState, Tables};
use crate::store::writer::Writer;
use crate::tenancy::{Endpoint, COMPLETED};

mod calls;
mod driver;
mod identities;
mod portals;
mod replies;
mod shard_calls;
mod shards;
mod start;

pub(super) use shard_calls::IncomingCall;

new_key_type! {
    /// Key of an open call that arrived as a webhook.
    pub(super) struct OpenCallKey;
}

/// How long an idle connection to a portal is kept, in microseconds.
const PORTAL_IDLE_TIMEOUT: Micros = 10_000_000;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 4;
/// How long an attempt may wait for its record before it is withdrawn, in microseconds: well under
/// the time within which a draining worker still accepts attempts.
const MAX_RECORD_WAIT: Micros = 250_000;
/// Number of records that one retention pass, or one pass of purging an endpoint, processes.
const RETENTION_BATCH: usize = 256;
/// Pause before the next retention pass if records are left to process, in microseconds.
const RETENTION_CONTINUE_DELAY: Micros = 50_000;
/// Pause before the next retention pass otherwise, in microseconds.
const RETENTION_INTERVAL: Micros = 5_000_000;
/// Number of pending store operations from which new calls are rejected.
const MAX_PENDING_STORE_OPS: usize = 8192;
/// How long shutdown waits for pending store operations, in microseconds.
const SHUTDOWN_STORE_TIMEOUT: Micros = 2_000_000;

/// Maximum number of identities remembered per shard.
pub(super) const MAX_IDENTITIES: usize = 65_536;

/// Recipient of the answer on whether a call is accepted.
#[derive(Clone, Debug)]
pub(super) enum Caller {
    /// A client connection of this gateway.
    Here(ConnKey),
    /// Another gateway, or this one, with the number of its request.
    Gateway(Name, u64),
}

/// A connection to a portal.
#[derive(Debug)]
pub(super) struct PortalConnection {
    endpoint: EndpointId,
    address: SocketAddr,
    /// The message that is in flight on the connection, and when it was sent.
    current: Option<(Seq, Micros)>,
    /// Status and Retry-After of an answer that is not complete yet.
    status: Option<(u16, Option<Micros>)>,
}

impl PortalConnection {
    /// Returns whether no message is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Returns whether a message is in flight of which no byte was sent.
    pub(super) fn is_unsent(&self, out: &net::Outbox) -> bool {
        self.current.is_some_and(|(seq, _)| out.is_unsent(seq.0))
    }
}

/// An accepted call without its final answer.
#[derive(Debug)]
struct OpenCall {
    seq: Seq,
    job: CallContext,
    /// The identity that workers are told.
    id: Rc<str>,
    /// The call in the core, while it runs.
    request: Option<RequestKey>,
}

/// A call that must not run twice.
#[derive(Debug)]
struct AtMostOnceCall {
    seq: Seq,
    /// Whether an attempt may have run.
    ran: bool,
}

/// An attempt that is sent once its record is persisted.
#[derive(Debug)]
struct UnrecordedAttempt {
    dispatch: AttemptDispatch,
    since: Micros,
}

/// Purpose of a pending store operation.
#[derive(Debug)]
enum PendingStoreOp {
    /// Persists an accepted call.
    AcceptCall {
        caller: Caller,
        call: Box<Call<CallContext>>,
        seq: Seq,
        identity_digest: IdentityDigest,
    },
    /// Records that an attempt of an unsafe call is sent.
    RecordAttempt(AttemptKey),
    /// Persists a change that may release messages for delivery.
    EnqueueMessages,
    /// Replaces a call of the tenant with this serial number by its outcome and its callbacks.
    CompleteCall(u64),
    /// Records the beginning of an attempt to deliver a message.
    BeginDelivery(Seq),
    FetchDue(EndpointId),
    PurgeEndpoint(EndpointId),
    ApplyRetention,
    /// Reads the state of a call for a client of this gateway.
    ReadCallState {
        conn: ConnKey,
        id: String,
        /// Serial numbers of further tenants of this name, asked for next if this one has no such
        /// call.
        others: Vec<u64>,
    },
    AdminRequest {
        conn: ConnKey,
        limit: Option<usize>,
        key: Option<(String, String)>,
    },
    /// Records a change whose result has no recipient.
    RecordOnly,
    RegisterDisk,
    /// Stores a record or a snapshot of a shard. The number, if any, is that of the operation that
    /// waits for the commit of the record.
    StoreRecord(ShardId, Option<u64>),
    /// Reads a snapshot of a shard for a replica.
    ReadSnapshot(ShardId, Name),
    /// Reads the state of a shard for its new primary.
    BecomePrimary(ShardId, Epoch),
    VerifyDisk,
    AcceptDamage(ShardId),
    /// Settles a delivery whose attempt another process had begun.
    SettleAttempt(PendingMessage, MessageState),
    /// Reads the state of a call for another gateway.
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

/// State of webhooks while they are enabled.
#[derive(Debug)]
pub(super) struct WebhookDriver {
    inbound: WebhookVerifier,
    delivery: Delivery,
    jobs: SlotMap<OpenCallKey, OpenCall>,
    backend: Backend,
    replies: VecDeque<(u64, Result<Reply, StoreError>)>,
    pending_store_ops: HashMap<u64, PendingStoreOp>,
    last_store_op: u64,
    last_seq: u64,
    /// Messages with an attempt in flight.
    out: HashMap<Seq, Box<MessageRecord>>,
    /// Idle connections to portals.
    idle: HashMap<EndpointId, Vec<ConnKey>>,
    at_most_once_calls: HashMap<Rc<str>, AtMostOnceCall>,
    at_most_once_attempts: SecondaryMap<AttemptKey, Rc<str>>,
    unrecorded: SecondaryMap<AttemptKey, UnrecordedAttempt>,
    egress_policy: EgressPolicy,
    schedule: Schedule,
    /// Deadline of delivery for which a timer is set.
    armed_deadline: Option<Micros>,
    /// Limit on open calls, pending callbacks in memory included.
    pending: usize,
    /// How long a portal may take to answer, in microseconds.
    answer_timeout: Micros,
    /// How long callbacks to a removed tenant or endpoint are tried, in microseconds.
    removal_grace: Micros,
    /// Maximum age in microseconds and maximum size in bytes of the retained records.
    retention: (Micros, u64),
    /// When shutdown began.
    stopping: Option<Micros>,
    /// Records to replicate: the number of the store operation, the shard, the record and the
    /// minimum number of replicas.
    pub(super) pending_appends: VecDeque<(u64, ShardId, Vec<u8>, usize)>,
    /// Calls of shards of this primary whose earlier attempt here has not ended; at most as many as
    /// were in progress. A call is removed when the attempt ends, or with the shard.
    postponed: Vec<CallRecord>,
    /// The epoch and the last assigned number of each shard of which this process is the primary.
    numbers: HashMap<ShardId, (Epoch, u32)>,
}

fn store_error(path: PathBuf, e: &dyn std::error::Error) -> GatewayError {
    GatewayError::Operator(ConfigError::Parse(path, e.to_string()))
}

fn answer_report(status: u16, advice: Option<Micros>) -> DeliveryReport {
    let reason = if (200..300).contains(&status) {
        CloseReason::Served
    } else {
        CloseReason::Failed
    };
    DeliveryReport {
        close_reason: reason,
        send_progress: SendProgress::Started,
        status: Some(status),
        retry_after: advice,
    }
}

fn job_of(call: &CallRecord, accepted_at: Micros) -> CallContext {
    CallContext {
        tenant: call.tenant.clone(),
        serial: call.serial,
        webhook_id: call.webhook_id.clone(),
        class: call.class.clone(),
        effect: call.effect,
        function: FunctionId(call.function),
        order_key: call.order.clone(),
        accepted_at,
    }
}

fn order_key_hash(key: &str) -> u64 {
    let digest = replay::identity_digest("", key);
    digest.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}

fn new_message(seq: Seq, e: &Endpoint, kind: &str, now: Micros, body: &[u8]) -> MessageRecord {
    MessageRecord {
        waiting: PendingMessage {
            seq,
            endpoint: e.id,
            due: now,
            effect: Effect::Idempotent,
            maybe_received_at: None,
            tries: 0,
            size: body.len() as u32,
        },
        state: MessageState::Waiting,
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

/// Returns the response to a refused request.
pub(super) fn refuse(bad: &RequestError, stays: bool) -> Vec<u8> {
    let mut extra = "Content-Type: text/plain\r\n".to_owned();
    if bad.status == 503 {
        extra.push_str("Retry-After: 1\r\n");
    }
    if let Some(number) = bad.home {
        extra.push_str(&format!("X-Home-Gateway: {number}\r\n"));
    }
    http::response(
        bad.status,
        &extra,
        bad.reason.as_bytes(),
        stays && !bad.fatal,
    )
}

impl Gateway {
    /// Writes the pending answer to a client of the secondary front, and continues to read its
    /// requests.
    pub(super) fn answer_secondary_client(
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
        self.continue_after_answer(key);
    }
}
