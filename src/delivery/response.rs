//! How an attempt at a callback ended, and the states of a message.

use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::completion::{CloseReason, SendProgress};
use crate::policy::never_ran;

/// How an attempt at a callback ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryReport {
    /// How its connection ended, or [`CloseReason::Served`] and [`CloseReason::Failed`] for a whole
    /// answer.
    pub close_reason: CloseReason,
    /// How much of it had been sent.
    pub send_progress: SendProgress,
    /// The status of a complete answer.
    pub status: Option<u16>,
    /// The answer's `Retry-After`, in microseconds from then.
    pub retry_after: Option<Micros>,
}

/// The class of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// 2xx: the endpoint has accepted the message.
    Delivered,
    /// 410: the endpoint wants no further messages.
    OptedOut,
    /// It failed, perhaps because of the endpoint, which may ask for a Retry-After in microseconds.
    Failed(Option<Micros>),
    /// It ended on this side before a byte was sent. Nothing is known of the endpoint, and the
    /// attempt does not count.
    Void,
}

impl DeliveryReport {
    /// An attempt that was not sent for a reason of this side.
    pub const VOID: DeliveryReport = DeliveryReport {
        close_reason: CloseReason::LocalLimit,
        send_progress: SendProgress::Unsent,
        status: None,
        retry_after: None,
    };

    /// Whether the endpoint may have received the message. One that answers has received it,
    /// whatever the answer.
    pub fn may_have_arrived(&self) -> bool {
        !never_ran(self.close_reason.outcome(self.send_progress))
    }

    /// The class of the response. 3xx is a failure like any other: a signed message goes only to
    /// the address that the operator has set.
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

/// Why a message is not sent any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeadLetterReason {
    /// Its schedule has ended without a confirmation. It may have arrived.
    Exhausted,
    /// It may have arrived, and its class does not permit a retry.
    Unknown,
    /// Its endpoint answered 410, or was removed.
    Gone,
    /// It waited for longer than the retention of messages.
    Expired,
}

/// The state of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It waits for its first attempt or a retry.
    Waiting,
    /// It waits for an earlier message of its order key to end.
    Behind,
    /// The endpoint has confirmed it.
    Delivered,
    /// It is not sent any more.
    Dead(DeadLetterReason),
}

impl State {
    /// Its name in listings.
    pub fn name(self) -> &'static str {
        match self {
            State::Waiting | State::Behind => "waiting",
            State::Delivered => "delivered",
            State::Dead(DeadLetterReason::Exhausted) => "exhausted",
            State::Dead(DeadLetterReason::Unknown) => "unknown",
            State::Dead(DeadLetterReason::Gone) => "gone",
            State::Dead(DeadLetterReason::Expired) => "expired",
        }
    }

    /// Whether nothing more becomes of it by itself.
    pub fn is_over(self) -> bool {
        matches!(self, State::Delivered | State::Dead(_))
    }
}

#[cfg(test)]
mod tests;
