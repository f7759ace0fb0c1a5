//! Every way in which a connection, an attempt or an order can end, and the one place where that becomes
//! the module's [`Outcome`].

use crate::api::Outcome;
use crate::membership::group::Observed;

/// How a connection, or something that was out on it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// A worker answered `200`.
    Served,
    /// A worker answered `404`: the function is not loaded there.
    NotLoaded,
    /// A worker answered `503`: no room.
    AtCapacity,
    /// A worker answered `500`.
    Failed,
    /// A worker answered `504`: the request was over before it began.
    Expired,
    /// A connection was refused.
    Refused,
    /// A connection did not come up by its deadline, or could not be opened at all.
    ConnectTimeout,
    /// The peer reset the connection, or the socket failed.
    Reset,
    /// The peer closed the connection.
    Closed,
    /// The peer broke the protocol.
    Malformed,
    /// The deadline passed.
    TimedOut,
    /// The module called it off.
    Cancelled,
    /// Its worker drains, is gone or has started anew; what had not left was taken back.
    Withdrawn,
    /// Nothing was open on the connection for so long that this side closed it.
    Idle,
    /// This side has no descriptor or no room left for it.
    LocalLimit,
    /// All connections to this worker carry as much as they may.
    ConnectionsFull,
    /// This side is shutting down.
    Shutdown,
}

/// How much of a command had left this machine when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// Not one byte: the worker cannot have heard of it.
    Unsent,
    /// Some or all: it may have run.
    Started,
}

impl CloseReason {
    /// The module's word for this ending. Guards the rule on double effects: what has left and was not
    /// answered may have run, whatever followed; what has not left never ran.
    pub fn outcome(self, left: SendProgress) -> Outcome {
        match (self, left) {
            (CloseReason::Served, _) => Outcome::Ok,
            (CloseReason::NotLoaded, _) => Outcome::Miss,
            (CloseReason::AtCapacity, _) => Outcome::Rejected,
            (CloseReason::Failed, _) => Outcome::Error,
            (CloseReason::Expired, _) => Outcome::NotSent,
            (CloseReason::Refused | CloseReason::ConnectTimeout, _) => Outcome::ConnectFailed,
            (CloseReason::ConnectionsFull, SendProgress::Unsent) => Outcome::Rejected,
            // What this side did or lacks tells nothing of the worker.
            (
                CloseReason::TimedOut
                | CloseReason::Cancelled
                | CloseReason::Withdrawn
                | CloseReason::LocalLimit
                | CloseReason::Shutdown,
                SendProgress::Unsent,
            ) => Outcome::NotSent,
            (_, SendProgress::Unsent) => Outcome::ConnectFailed,
            (CloseReason::TimedOut, SendProgress::Started) => Outcome::Timeout,
            (CloseReason::Cancelled, SendProgress::Started) => Outcome::Cancelled,
            (_, SendProgress::Started) => Outcome::Reset,
        }
    }

    /// What instances that talk are told of a worker by this ending; none where it tells nothing of it.
    pub fn observation(self, left: SendProgress) -> Option<Observed> {
        match (self, left) {
            (
                CloseReason::Served
                | CloseReason::NotLoaded
                | CloseReason::AtCapacity
                | CloseReason::Expired,
                _,
            ) => Some(Observed::Answered),
            (CloseReason::Failed, _) => Some(Observed::Failed),
            (CloseReason::Refused | CloseReason::ConnectTimeout, _) => Some(Observed::Refused),
            (CloseReason::TimedOut | CloseReason::Cancelled, SendProgress::Started) => {
                Some(Observed::Silent)
            }
            (
                CloseReason::Reset | CloseReason::Closed | CloseReason::Malformed,
                SendProgress::Started,
            ) => Some(Observed::Failed),
            _ => None,
        }
    }

    /// A short name for counters and logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Served => "served",
            CloseReason::NotLoaded => "missed",
            CloseReason::AtCapacity => "no_room",
            CloseReason::Failed => "failed",
            CloseReason::Expired => "over",
            CloseReason::Refused => "refused",
            CloseReason::ConnectTimeout => "never_up",
            CloseReason::Reset => "reset",
            CloseReason::Closed => "closed",
            CloseReason::Malformed => "malformed",
            CloseReason::TimedOut => "timed_out",
            CloseReason::Cancelled => "called_off",
            CloseReason::Withdrawn => "withdrawn",
            CloseReason::Idle => "idle",
            CloseReason::LocalLimit => "overflow",
            CloseReason::ConnectionsFull => "crowded",
            CloseReason::Shutdown => "shutdown",
        }
    }
}

#[cfg(test)]
mod tests;
