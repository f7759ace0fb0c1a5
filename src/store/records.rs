//! Records that the store persists. They are encoded with postcard, so the order of their fields is
//! part of the file format.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::api::{Effect, Micros};
use crate::delivery::response::MessageState;
use crate::delivery::{PendingMessage, Seq};
use crate::replication::ShardId;

/// The digest of the identity by which repeated calls are detected.
pub type IdentityDigest = [u8; 32];

/// An accepted call. The record exists from the 202 response until the outcome is committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call's sequence number.
    pub seq: Seq,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's serial number, which distinguishes tenants that had the same name.
    pub serial: u64,
    /// The `webhook-id` that the caller sent with the call.
    pub webhook_id: String,
    /// The identifier of the call in requests to workers.
    pub worker_id: String,
    /// The name of the request class.
    pub class: String,
    /// The effect of running the call more than once.
    pub effect: Effect,
    /// The identifier of the called function.
    pub function: u64,
    /// The time at which the call expires, in Unix microseconds.
    pub expires: Micros,
    /// The caller's estimate of the run time, in microseconds.
    pub work: Option<Micros>,
    /// The memory of one copy of the function, in megabytes.
    pub memory_mb: f64,
    /// The number of calls that one copy runs concurrently.
    pub concurrency_per_copy: u32,
    /// The usual time to load a copy, in microseconds.
    pub load_time: Option<Micros>,
    /// The request body for the worker.
    pub body: Vec<u8>,
    /// The order key. Callbacks with the same key are delivered in order.
    pub order: Option<String>,
    /// The time at which the first attempt that may have run was sent, in Unix microseconds.
    pub sent: Option<Micros>,
}

/// All tenants of a process, as the text of [`crate::tenancy::Registry::state`]. It has secrets, so
/// that debug output omits it.
#[derive(Clone, PartialEq, Eq)]
pub struct TenantsRecord(pub String);

impl fmt::Debug for TenantsRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TenantsRecord({} bytes)", self.0.len())
    }
}

/// A message to a tenant's endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// The data that the delivery scheduler uses.
    pub waiting: PendingMessage,
    /// The state of the delivery.
    pub state: MessageState,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's serial number, which distinguishes tenants that had the same name.
    pub serial: u64,
    /// The `webhook-id`, which is the same for every attempt.
    pub id: String,
    /// The event type.
    pub kind: String,
    /// The identity of the call whose outcome the message reports; none for other messages.
    pub call: Option<String>,
    /// The time of creation, in Unix microseconds.
    pub created: Micros,
    /// The order key. Messages with the same key are delivered in order.
    pub order: Option<u64>,
    /// The operator who accepted, in a resend request, that the message may arrive twice.
    pub acknowledged: Option<String>,
}

/// A finished attempt to deliver a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The time at which the attempt ended, in Unix microseconds.
    pub at: Micros,
    /// The duration of the attempt, in microseconds.
    pub took: Micros,
    /// The result of the attempt.
    pub ending: String,
    /// The status code of the response; none if there was no response.
    pub status: Option<u16>,
    /// Whether the message may have arrived.
    pub may_have_arrived: bool,
}

/// The state of a call that its caller can query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallState {
    /// The time from which retention measures the age of the state, in Unix microseconds.
    pub retention_start: Micros,
    /// `served`, `refused`, `failed` or `unknown`; none while the call is open.
    pub outcome: Option<String>,
    /// The shard of the call; 0 if the call is not replicated.
    pub shard: ShardId,
}

/// Counts of the store's content. The field names are JSON keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// The number of calls without an outcome.
    pub calls: u64,
    /// The number of all messages.
    pub messages: u64,
    /// The number of messages whose delivery is not over.
    pub waiting: u64,
    /// The total size of the bodies of calls and messages, in bytes.
    pub bytes: u64,
}
