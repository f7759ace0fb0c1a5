//! Outputs of the decision module.

use super::{FunctionId, Micros, RequestId, WorkerId};

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Attempt timeout in microseconds; `None` if the attempt ends with the client's deadline.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt number, starting at 0.
        attempt: u8,
    },
    /// Answer the request with a rejection. It is final, and a retry by the client is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// The time that the client should wait before a retry, in microseconds.
        retry_after: Micros,
    },
    /// Answer the request with a failure. It is final and does not say whether the request ran.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Order a worker to have at least `copies` copies loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The number of copies; 0 queries the number of loaded copies without loading any.
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
        /// Identifies the timer in the resulting event.
        token: u64,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Reopen the endpoint list stream, which may be stuck.
    ReopenDiscovery,
}
