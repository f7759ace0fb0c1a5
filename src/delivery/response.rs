//! What an attempt's end means, for the message and for the endpoint.

use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::completion::{CloseReason, SendProgress};
use crate::policy::never_ran;

/// How an attempt at a callback ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// How its connection ended, or [`CloseReason::Served`] and [`CloseReason::Failed`] for a whole answer.
    pub ending: CloseReason,
    /// How much of it had left.
    pub left: SendProgress,
    /// The answer's status, if one came whole.
    pub status: Option<u16>,
    /// The answer's `Retry-After`, as a span.
    pub advice: Option<Micros>,
}

/// What follows from a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A 2xx: the portal has it.
    Delivered,
    /// 410: the portal wants nothing more here.
    Gone,
    /// It failed; the endpoint may be ill. With advice, the endpoint asks to be left alone for so long.
    Failed(Option<Micros>),
    /// It ended on this side before a byte left: nothing is known of the endpoint, and no attempt is counted.
    Void,
}

impl Report {
    /// An attempt that never left, for a reason of this side's own.
    pub const VOID: Report = Report {
        ending: CloseReason::LocalLimit,
        left: SendProgress::Unsent,
        status: None,
        advice: None,
    };

    /// Whether the portal may have taken it. Whatever a portal says, once its answer comes it has seen the message.
    pub fn may_have_arrived(&self) -> bool {
        !never_ran(self.ending.outcome(self.left))
    }

    /// What it means. 3xx is a failure like any other: a signed message goes nowhere but to the address that the
    /// operator has set.
    pub fn meaning(&self) -> ResponseClass {
        match (self.status, self.ending, self.left) {
            (Some(200..=299), CloseReason::Served, _) => ResponseClass::Delivered,
            (Some(410), ..) => ResponseClass::Gone,
            (Some(429 | 503), ..) => ResponseClass::Failed(Some(self.advice.unwrap_or(0))),
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
pub enum Dead {
    /// Its schedule has ended; a portal may have seen it, but none confirmed it.
    Exhausted,
    /// It may have arrived, and its class forbids to send it again.
    Unknown,
    /// Its endpoint said 410, or was removed with its tenant.
    Gone,
    /// It waited for longer than messages are kept.
    Expired,
}

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It waits for its first or a further attempt.
    Waiting,
    /// It waits for another of its order key to end.
    Behind,
    /// A portal confirmed it.
    Delivered,
    /// It is not sent any more.
    Dead(Dead),
}

impl State {
    /// Its name in listings.
    pub fn name(self) -> &'static str {
        match self {
            State::Waiting | State::Behind => "waiting",
            State::Delivered => "delivered",
            State::Dead(Dead::Exhausted) => "exhausted",
            State::Dead(Dead::Unknown) => "unknown",
            State::Dead(Dead::Gone) => "gone",
            State::Dead(Dead::Expired) => "expired",
        }
    }

    /// Whether nothing more becomes of it by itself.
    pub fn is_over(self) -> bool {
        matches!(self, State::Delivered | State::Dead(_))
    }
}

#[cfg(test)]
mod tests;
