//! Exchanges on a worker connection and their results.

use std::rc::Rc;

use crate::api::{FunctionId, Micros};
use crate::completion::{CloseReason, SendProgress};
use crate::core::{AttemptKey, AttemptReply, HealthCheckKey, IdempotencyKey, LoadOrderKey};

/// A command to a worker that expects one reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// An attempt.
    Attempt(AttemptKey),
    /// A load order.
    LoadOrder(LoadOrderKey),
    /// A health check.
    HealthCheck(HealthCheckKey),
}

/// An exchange that has ended.
#[derive(Debug)]
pub struct Completed {
    /// The exchange.
    pub exchange: Exchange,
    /// The reason for its end.
    pub reason: CloseReason,
    /// When its reply arrived; `None` if none did.
    pub reply_arrived_at: Option<Micros>,
    /// The extent to which it had been sent.
    pub progress: SendProgress,
    /// The content of the reply.
    pub reply: AttemptReply,
    /// For a load order, the number of loaded copies.
    pub copies: u32,
}

impl Completed {
    /// Creates the result of an exchange without a reply.
    pub fn without_reply(
        exchange: Exchange,
        reason: CloseReason,
        progress: SendProgress,
    ) -> Completed {
        Completed {
            exchange,
            reason,
            reply_arrived_at: None,
            progress,
            reply: AttemptReply::default(),
            copies: 0,
        }
    }
}

/// The parameters of an attempt to be sent to a worker.
#[derive(Debug)]
pub struct AttemptCommand<'a> {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The call's identity.
    pub identity: Rc<str>,
    /// The key by which the worker recognizes repeats.
    pub idempotency_key: Option<&'a IdempotencyKey>,
    /// The class's name.
    pub class: &'a str,
    /// The function to run.
    pub function: FunctionId,
    /// The time for which the gateway waits for the reply, in milliseconds.
    pub wait_ms: u64,
    /// The payload.
    pub body: &'a [u8],
    /// Whether the call must run at most once.
    pub run_at_most_once: bool,
}
