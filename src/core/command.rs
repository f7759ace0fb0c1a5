//! What goes between the core and its driver: calls in, commands out, and what comes back with an attempt's end.

use std::rc::Rc;

use super::{AttemptKey, OrderKey, ProbeKey};
use crate::api::{Arrival, ClassId, CopyStart, FunctionId, LoadReport, Micros, WorkerId};
use crate::completion::CloseReason;

/// A call as a front hands it in.
#[derive(Clone, Debug)]
pub struct Call<O> {
    /// Whose answer it is; handed back with it.
    pub origin: O,
    /// The identity that workers are told.
    pub id: Rc<str>,
    /// What the worker gets.
    pub body: Rc<[u8]>,
    /// What the module is told; the core numbers the request.
    pub arrival: Arrival,
}

impl<O> Call<O> {
    /// The same call with another origin.
    pub fn with<P>(self, origin: P) -> Call<P> {
        let Call {
            id, body, arrival, ..
        } = self;
        Call {
            origin,
            id,
            body,
            arrival,
        }
    }
}

/// The final answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's body.
    Served(Vec<u8>),
    /// Refused: trying again is harmless, after this time.
    Rejected {
        /// The module's advice.
        retry_after: Micros,
    },
    /// Failed; promises nothing.
    Failed,
}

/// What the sockets' side is to do.
#[derive(Debug)]
pub enum Command<O> {
    /// Send an attempt.
    Dispatch {
        /// Names it until it has ended.
        attempt: AttemptKey,
        /// To whom.
        worker: WorkerId,
        /// The request's identity.
        id: Rc<str>,
        /// Its class.
        class: ClassId,
        /// The function.
        function: FunctionId,
        /// When the gateway stops waiting.
        expires_at: Micros,
        /// The payload.
        body: Rc<[u8]>,
    },
    /// An attempt is given up: take it back or tell the worker, and report its ending with how much of it
    /// had left.
    Cancel {
        /// Which.
        attempt: AttemptKey,
        /// The ending to report.
        reason: CloseReason,
    },
    /// An attempt must not begin any more: take it back if none of its bytes have left, and report the ending with
    /// nothing left; otherwise leave it as it is, without a word to the worker.
    Withdraw {
        /// Which.
        attempt: AttemptKey,
        /// The ending to report.
        reason: CloseReason,
    },
    /// Send an order to load.
    Load {
        /// Names it until it has ended.
        order: OrderKey,
        /// To whom.
        worker: WorkerId,
        /// What.
        function: FunctionId,
        /// How many copies; 0 only asks.
        copies: u8,
    },
    /// Nobody waits for an order any more: take it back if it has not left, and report it as timed out.
    AbandonLoad {
        /// Which.
        order: OrderKey,
    },
    /// Have idle copies unloaded.
    Unload {
        /// To whom.
        worker: WorkerId,
        /// What.
        function: FunctionId,
    },
    /// Probe a worker.
    HealthCheck {
        /// Names it until it has ended.
        check: ProbeKey,
        /// Whom.
        worker: WorkerId,
    },
    /// The one final answer to a call.
    Answer {
        /// Whose.
        origin: O,
        /// What.
        answer: Answer,
    },
}

/// What came back with an attempt's end.
#[derive(Debug, Default)]
pub struct AttemptReply {
    /// The answer's body.
    pub body: Vec<u8>,
    /// What it tells of the copy.
    pub copy_start: Option<CopyStart>,
    /// Requests of the function that the worker held.
    pub function_in_flight: u32,
    /// The worker's report.
    pub load_report: Option<LoadReport>,
}
