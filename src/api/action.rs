//! What is to be done: the outputs of the decision module.

use super::{FunctionId, Micros, RequestId, WorkerId};

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout in microseconds; none if it ends with the client's deadline.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u8,
    },
    /// Give the final answer that the request is rejected. A client's retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries, in microseconds.
        retry_after: Micros,
    },
    /// Give the final answer that the request failed. It promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Order a worker to have at least so many copies loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The copies wanted; 0 asks for the number of copies without loading any.
        copies: u8,
    },
    /// Order a worker to unload idle copies.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Check a worker's health.
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// Set a timer that comes back as [`Event::Wake`](super::Event::Wake).
    Wake {
        /// The time from now, in microseconds.
        after: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Open the stream of the endpoint list anew, as it may be stuck.
    ReopenDiscovery,
}
