//! What goes between the core and its driver: calls in, commands out, and what comes back with an attempt's end.

use std::rc::Rc;

use super::{AttemptKey, HealthCheckKey, LoadOrderKey};
use crate::api::{Arrival, ClassId, CopyStart, FunctionId, LoadReport, Micros, WorkerId};
use crate::completion::CloseReason;

/// A call as a front end submits it.
#[derive(Clone, Debug)]
pub struct Call<O> {
    /// Who is owed the answer; handed back with it.
    pub origin: O,
    /// The identity under which workers receive the call.
    pub identity: Rc<str>,
    /// The payload for the worker.
    pub body: Rc<[u8]>,
    /// What the decision module is told; the core numbers the request.
    pub arrival: Arrival,
}

impl<O> Call<O> {
    /// The same call with another origin.
    pub fn with_origin<P>(self, origin: P) -> Call<P> {
        Call {
            origin,
            identity: self.identity,
            body: self.body,
            arrival: self.arrival,
        }
    }
}

/// The final answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's body.
    Served(Vec<u8>),
    /// Rejected: a retry is harmless after this time.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// Failed; promises nothing.
    Failed,
}

/// An attempt to be sent to a worker.
#[derive(Clone, Debug)]
pub struct AttemptDispatch {
    /// Names the attempt until it has ended.
    pub attempt: AttemptKey,
    /// The worker to send it to.
    pub worker: WorkerId,
    /// The identity under which the worker receives the call.
    pub identity: Rc<str>,
    /// The class of the request.
    pub class: ClassId,
    /// The function to run.
    pub function: FunctionId,
    /// When the gateway stops waiting for the reply.
    pub expires_at: Micros,
    /// The payload.
    pub body: Rc<[u8]>,
}

/// What the core's driver is to do.
#[derive(Debug)]
pub enum Command<O> {
    /// Send an attempt.
    Dispatch(AttemptDispatch),
    /// Cancel an attempt: take it back or tell the worker, and report its end with how much of it had been sent.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
        /// The reason to report.
        reason: CloseReason,
    },
    /// Keep an attempt from starting: take it back if none of its bytes have been sent, and report its end as unsent;
    /// otherwise leave it as it is, and tell the worker nothing.
    Withdraw {
        /// The attempt.
        attempt: AttemptKey,
        /// The reason to report.
        reason: CloseReason,
    },
    /// Send a load order.
    Load {
        /// Names the order until it has ended.
        order: LoadOrderKey,
        /// The worker that is to load.
        worker: WorkerId,
        /// The function to load.
        function: FunctionId,
        /// How many copies are to be loaded; 0 only asks how many are.
        copies: u8,
    },
    /// Give up a load order: take it back if it has not been sent, and report it as timed out.
    AbandonLoad {
        /// The order.
        order: LoadOrderKey,
    },
    /// Have the idle copies of a function unloaded.
    Unload {
        /// The worker that is to unload.
        worker: WorkerId,
        /// The function to unload.
        function: FunctionId,
    },
    /// Send a health check.
    HealthCheck {
        /// Names the health check until it has ended.
        check: HealthCheckKey,
        /// The worker to check.
        worker: WorkerId,
    },
    /// Give up on a health check.
    AbandonHealthCheck {
        /// The health check.
        check: HealthCheckKey,
    },
    /// Open the stream of service discovery anew.
    ReopenDiscovery,
    /// Give the one final answer to a call.
    Answer {
        /// Who is owed the answer.
        origin: O,
        /// The answer.
        answer: Answer,
    },
}

/// What a worker's reply to an attempt carried; empty where there was none.
#[derive(Debug, Default)]
pub struct AttemptReply {
    /// The body.
    pub body: Vec<u8>,
    /// How the copy that served the attempt came to be loaded.
    pub copy_start: Option<CopyStart>,
    /// Requests of the function that the worker held in flight.
    pub function_in_flight: u32,
    /// The worker's load report.
    pub load_report: Option<LoadReport>,
}
