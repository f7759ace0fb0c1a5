//! Outcomes of attempts to deliver callbacks, and the states of a message.

use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::completion::{CloseReason, SendProgress};
use crate::policy::never_ran;

/// Outcome of an attempt to deliver a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryReport {
    /// How the connection ended, or [`CloseReason::Served`] or [`CloseReason::Failed`] for a
    /// complete answer.
    pub close_reason: CloseReason,
    /// How much of the request was sent.
    pub send_progress: SendProgress,
    /// The status of a complete answer.
    pub status: Option<u16>,
    /// The answer's `Retry-After`, in microseconds from its arrival.
    pub retry_after: Option<Micros>,
}

/// The class of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// 2xx: the endpoint has accepted the message.
    Delivered,
    /// 410: the endpoint wants no further messages.
    OptedOut,
    /// The attempt failed, perhaps because of the endpoint. Holds the requested Retry-After in
    /// microseconds, if any.
    Failed(Option<Micros>),
    /// The gateway ended the attempt before a byte was sent. It says nothing about the endpoint and
    /// does not count.
    Void,
}

impl DeliveryReport {
    /// An attempt that the gateway itself did not send.
    pub const VOID: DeliveryReport = DeliveryReport {
        close_reason: CloseReason::LocalLimit,
        send_progress: SendProgress::Unsent,
        status: None,
        retry_after: None,
    };

    /// Returns whether the endpoint may have received the message. An endpoint that answers has
    /// received it, whatever the answer.
    pub fn may_have_arrived(&self) -> bool {
        !never_ran(self.close_reason.outcome(self.send_progress))
    }

    /// Returns the class of the response. A redirect (3xx) is a failure: a signed message goes only
    /// to the configured address.
    pub fn class(&self) -> ResponseClass {
        match (self.status, self.close_reason, self.send_progress) {
            (Some(200..=299), CloseReason::Served, _) => ResponseClass::Delivered,
            (Some(410), ..) => ResponseClass::OptedOut,
            (Some(429 | 503), ..) => ResponseClass::Failed(Some(self.retry_after.unwrap_or(0))),
            (Some(_), ..) => ResponseClass::Failed(None),
            (
                None,
                CloseReason::LocalLimit | CloseReason::Shutdown | CloseReason::Cancelled,
                SendProgress::Unsent,
            ) => ResponseClass::Void,
            (None, ..) => ResponseClass::Failed(None),
        }
    }
}

/// Why delivery of a message was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeadLetterReason {
    /// The schedule ended without a confirmation. The message may have arrived.
    Exhausted,
    /// The message may have arrived, and its class does not permit a retry.
    Unknown,
    /// The endpoint answered 410 or was removed.
    Gone,
    /// The message waited longer than the retention period.
    Expired,
}

/// The state of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageState {
    /// The message waits for its first attempt or a retry.
    Waiting,
    /// The message waits for the end of an earlier message with the same order key.
    #[serde(rename = "behind")]
    Blocked,
    /// The endpoint has confirmed the message.
    Delivered,
    /// Delivery was given up.
    Dead(DeadLetterReason),
}

impl MessageState {
    /// Returns the name in listings.
    pub fn name(self) -> &'static str {
        match self {
            MessageState::Waiting | MessageState::Blocked => "waiting",
            MessageState::Delivered => "delivered",
            MessageState::Dead(DeadLetterReason::Exhausted) => "exhausted",
            MessageState::Dead(DeadLetterReason::Unknown) => "unknown",
            MessageState::Dead(DeadLetterReason::Gone) => "gone",
            MessageState::Dead(DeadLetterReason::Expired) => "expired",
        }
    }

    /// Returns whether the state is final unless an operator intervenes.
    pub fn is_over(self) -> bool {
        matches!(self, MessageState::Delivered | MessageState::Dead(_))
    }
}

#[cfg(test)]
mod tests;
