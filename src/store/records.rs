//! Records that the store persists. They are encoded by postcard, so the order of their fields is
//! part of the format.

use serde::{Deserialize, Serialize};

use crate::api::{Effect, Micros};
use crate::delivery::response::State;
use crate::delivery::{Seq, Waiting};
use crate::replication::ShardId;

/// The digest of a call's identity.
pub type IdentityDigest = [u8; 32];

/// An accepted call, from its 202 until its outcome is committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The sequence number.
    pub seq: Seq,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's serial number, which tells tenants of one name apart.
    pub serial: u64,
    /// The identity that the caller gave the call.
    pub webhook_id: String,
    /// The identity under which workers receive the call.
    pub worker_id: String,
    /// The name of the request class.
    pub class: String,
    /// The effect of running the call more than once.
    pub effect: Effect,
    /// The function that is called.
    pub function: u64,
    /// When the call expires, in Unix microseconds.
    pub expires: Micros,
    /// The caller's estimate of the work.
    pub work: Option<Micros>,
    /// Memory of one copy of the function.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub concurrency_per_copy: u32,
    /// The usual time to load a copy.
    pub load_time: Option<Micros>,
    /// The body that is sent to the worker.
    pub body: Vec<u8>,
    /// The order key; callbacks of one key are delivered in order.
    pub order: Option<String>,
    /// When an attempt was first sent that may have run.
    pub sent: Option<Micros>,
}

/// A message to an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// The part that the delivery scheduler uses.
    pub waiting: Waiting,
    /// The state of the delivery.
    pub state: State,
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's serial number, which tells tenants of one name apart.
    pub serial: u64,
    /// The `webhook-id`, which is the same for every attempt.
    pub id: String,
    /// The type of event.
    pub kind: String,
    /// The identity of the call that the message answers, if it answers one.
    pub call: Option<String>,
    /// When the message was created.
    pub created: Micros,
    /// The order key; messages of one key are delivered in order.
    pub order: Option<u64>,
    /// The operator who requested a resend although the message may have arrived.
    pub acknowledged: Option<String>,
}

/// A finished attempt to deliver a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// When it ended.
    pub at: Micros,
    /// How long it took.
    pub took: Micros,
    /// How it ended.
    pub ending: String,
    /// The status code of the response.
    pub status: Option<u16>,
    /// Whether the message may have arrived.
    pub may_have_arrived: bool,
}

/// The state of a call, as its caller can query it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallState {
    /// The time from which retention measures the state's age.
    pub taken: Micros,
    /// `served`, `refused`, `failed` or `unknown`; none while the call is open.
    pub outcome: Option<String>,
    /// The call's shard; 0 if it is not replicated.
    pub shard: ShardId,
}

/// Counts of the store's content. The names of the fields are keys of JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// Calls without an outcome.
    pub calls: u64,
    /// All messages.
    pub messages: u64,
    /// Messages whose delivery is not over.
    pub waiting: u64,
    /// Bytes of the bodies.
    pub bytes: u64,
}
