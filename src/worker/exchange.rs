//! What is in flight on a worker's connection, and how it ended.

use std::rc::Rc;

use crate::api::FunctionId;
use crate::completion::{CloseReason, SendProgress};
use crate::core::{AttemptKey, AttemptReply, HealthCheckKey, LoadOrderKey};

/// A request to a worker that has one reply.
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
    /// Why it ended.
    pub reason: CloseReason,
    /// How much of it had been sent.
    pub progress: SendProgress,
    /// What the reply carried.
    pub reply: AttemptReply,
    /// For a load order, the copies that are loaded.
    pub copies: u32,
}

impl Completed {
    /// An end without a reply.
    pub fn without_reply(
        exchange: Exchange,
        reason: CloseReason,
        progress: SendProgress,
    ) -> Completed {
        Completed {
            exchange,
            reason,
            progress,
            reply: AttemptReply::default(),
            copies: 0,
        }
    }
}

/// An attempt as a worker receives it.
#[derive(Debug)]
pub struct AttemptCommand<'a> {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The call's identity.
    pub identity: Rc<str>,
    /// The class's name.
    pub class: &'a str,
    /// The function to run.
    pub function: FunctionId,
    /// How long the gateway waits, in whole milliseconds.
    pub wait_ms: u64,
    /// The payload.
    pub body: &'a [u8],
    /// Whether the call must not run twice.
    pub must_run_once: bool,
}
