//! Load coordination: prevents several gateways from loading the same copy.
//!
//! Functions are divided into shards, each with a lease (`loads-0`, `loads-1`, ...). A gateway whose decision module orders a
//! copy at a worker first asks the holder of the function's shard. The holder assigns the load to the first gateway that asks,
//! and announces when the copy is resident, so that the other gateways do not load it. The assigned gateway sends an ordinary
//! load order: it counts against that gateway's rate limit, and the worker is the one that its decision module chose under the
//! rules for cold and draining workers. A gateway that gets no answer within [`ANSWER_TIMEOUT`] loads the copy without
//! coordination.
//!
//! Late or repeated messages are harmless: an order for a copy that is already resident or loading has no effect at the worker.

mod coordinator;
mod messages;
#[cfg(test)]
mod tests;

pub use coordinator::LoadCoordinator;
pub use messages::{CopyKey, Input, LoadMessage, Output};

use crate::api::Micros;

/// The prefix of the names of shard leases; the number of the shard follows.
pub const SHARD_LEASE_PREFIX: &str = "loads-";
/// How long an order waits for the holder's answer.
pub const ANSWER_TIMEOUT: Micros = 60_000;
/// How long an order waits for a copy that another gateway loads: no longer than a request can wait.
const ASSIGNED_LOAD_TIMEOUT: Micros = 600_000;
/// The maximum time for which coordination delays a load order.
pub const MAX_ORDER_DELAY: Micros = ANSWER_TIMEOUT + ASSIGNED_LOAD_TIMEOUT;
/// How long a gateway does not ask a silent holder again, unless a message from the holder arrives.
const SILENT_HOLDER_BACKOFF: Micros = 5_000_000;
/// How long a copy is assumed to be resident after its announcement: shorter than workers keep an idle copy.
const RESIDENT_WINDOW: Micros = 4_000_000;
/// The maximum number of entries in each table of a coordinator. Orders that find the table of waiting copies full are sent
/// without coordination.
const MAX_COPIES: usize = 4096;
