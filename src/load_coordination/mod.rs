//! Load coordination: under the leases `loads-0`, `loads-1`, ..., the holder of a shard decides which gateway loads a copy that
//! several gateways would load.
//!
//! Functions are divided into shards. A gateway whose decision module orders a copy at a worker first asks the holder of the
//! function's shard. The holder assigns the load to the first gateway that asks, and announces when the copy is resident, so
//! that the others need not load it. Each load is still an order of the gateway that makes it, within its own rate limit, at a
//! worker that its own module chose under the rules for cold and draining workers. A gateway that gets no answer within
//! [`ANSWER_TIMEOUT`] loads the copy by itself, as without coordination.
//!
//! Late or repeated messages do no harm: an order for a copy that is resident or loading already has no effect at the worker.

mod coordinator;
mod messages;
#[cfg(test)]
mod tests;

pub use coordinator::LoadCoordinator;
pub use messages::{CopyKey, Input, LoadMessage, Output};

use crate::api::Micros;

/// The prefix of the leases' names; a number follows.
pub const PREFIX: &str = "loads-";
/// How long an order waits for the holder's answer.
pub const ANSWER_TIMEOUT: Micros = 60_000;
/// How long it waits for a copy that another gateway loads: no longer than a request can.
const LOAD_TIMEOUT: Micros = 600_000;
/// The maximum delay of an order.
pub const MAX_ORDER_DELAY: Micros = ANSWER_TIMEOUT + LOAD_TIMEOUT;
/// How long a silent holder is not asked again, unless a message of it arrives.
const SILENT_HOLDER_BACKOFF: Micros = 5_000_000;
/// How long a copy is assumed to be resident after the announcement: less than workers keep an idle copy.
const RESIDENT_WINDOW: Micros = 4_000_000;
/// Copies that are remembered, and orders that wait; further orders are made without coordination.
const MAX_COPIES: usize = 4096;
