//! The types exchanged between the core and its driver: calls, commands and replies to attempts.

use std::rc::Rc;

use super::{AttemptKey, HealthCheckKey, IdempotencyKey, LoadOrderKey};
use crate::api::{Arrival, ClassId, CopyStart, Effect, FunctionId, LoadReport, Micros, WorkerId};
use crate::completion::CloseReason;

/// A call that a front submits.
#[derive(Clone, Debug)]
pub struct Call<O> {
    /// The driver's reference to the caller, returned with the answer.
    pub origin: O,
    /// The identity under which workers receive the call.
    pub identity: Rc<str>,
    /// The key by which workers recognize repeats, if the caller has given one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The payload for the worker.
    pub body: Rc<[u8]>,
    /// The description for the decision module; the core assigns its request id and notes whether it has a key.
    pub arrival: Arrival,
}

impl<O> Call<O> {
    /// Replaces the origin of the call.
    pub fn with_origin<P>(self, origin: P) -> Call<P> {
        Call {
            origin,
            identity: self.identity,
            idempotency_key: self.idempotency_key,
            body: self.body,
            arrival: self.arrival,
        }
    }
}

/// The final answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The body of a worker's reply.
    Served(Vec<u8>),
    /// Rejected; a retry after `retry_after` is harmless.
    Rejected {
        /// The time that the client should wait before it retries.
        retry_after: Micros,
    },
    /// Failed; the call may or may not have run.
    Failed,
}

/// An attempt to be sent to a worker.
#[derive(Clone, Debug)]
pub struct AttemptDispatch {
    /// The key of the attempt, valid until it has ended.
    pub attempt: AttemptKey,
    /// The worker to send it to.
    pub worker: WorkerId,
    /// The identity under which the worker receives the call.
    pub identity: Rc<str>,
    /// The key by which workers recognize repeats.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The class of the request.
    pub class: ClassId,
    /// The effect of running the request more than once.
    pub effect: Effect,
    /// The function to run.
    pub function: FunctionId,
    /// The time at which the gateway stops waiting for the reply.
    pub expires_at: Micros,
    /// The payload.
    pub body: Rc<[u8]>,
}

/// An instruction to the core's driver.
#[derive(Debug)]
pub enum Command<O> {
    /// Send an attempt.
    Dispatch(AttemptDispatch),
    /// Cancel an attempt: remove it from the output queue or notify the worker, and report its end with its send
    /// progress.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
        /// The reason to report.
        reason: CloseReason,
    },
    /// Withdraw an attempt that has not started: if none of its bytes have been sent, remove it from the output queue
    /// and report its end as unsent; otherwise leave it in flight and send the worker nothing.
    Withdraw {
        /// The attempt.
        attempt: AttemptKey,
        /// The reason to report.
        reason: CloseReason,
    },
    /// Send a load order.
    Load {
        /// The key of the order, valid until it has ended.
        order: LoadOrderKey,
        /// The worker that loads the copies.
        worker: WorkerId,
        /// The function to load.
        function: FunctionId,
        /// The number of copies; 0 queries the number of loaded copies.
        copies: u8,
    },
    /// Stop waiting for a load order: remove it from the output queue if it has not been sent, and report it as timed
    /// out.
    AbandonLoad {
        /// The order.
        order: LoadOrderKey,
    },
    /// Tell a worker to unload the idle copies of a function.
    Unload {
        /// The worker that unloads the copies.
        worker: WorkerId,
        /// The function to unload.
        function: FunctionId,
    },
    /// Send a health check.
    HealthCheck {
        /// The key of the health check, valid until it has ended.
        check: HealthCheckKey,
        /// The worker to check.
        worker: WorkerId,
    },
    /// Stop waiting for a health check.
    AbandonHealthCheck {
        /// The health check.
        check: HealthCheckKey,
    },
    /// Close the service discovery stream and open a new one.
    ReopenDiscovery,
    /// A call that must not run twice has ended, and no attempt of it can have run: the same
    /// identity may be submitted again.
    ReleaseIdentity {
        /// The origin of the call.
        origin: O,
        /// The identity of the call.
        identity: Rc<str>,
    },
    /// Deliver the final answer to a call.
    Answer {
        /// The origin of the call.
        origin: O,
        /// The answer.
        answer: Answer,
    },
}

/// The content of a worker's reply to an attempt; the default if there was no reply.
#[derive(Debug, Default)]
pub struct AttemptReply {
    /// The body.
    pub body: Vec<u8>,
    /// The way in which the copy that served the attempt was loaded.
    pub copy_start: Option<CopyStart>,
    /// The number of requests of the function in flight at the worker.
    pub function_in_flight: u32,
    /// The worker's load report.
    pub load_report: Option<LoadReport>,
}
