//! Every way in which a connection, an attempt, a load order or a health check can end, and the one place where that
//! becomes the decision module's [`Outcome`].

use crate::api::Outcome;
use crate::membership::group::Observed;

/// Why a connection, or an exchange on it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// A worker answered `200`.
    Served,
    /// A worker answered `404`: the function is not loaded there.
    NotLoaded,
    /// A worker answered `503`: it is at capacity.
    AtCapacity,
    /// A worker answered `500`.
    Failed,
    /// A worker answered `504`: the request expired before it started.
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
    /// It was cancelled, by the decision module or with its client.
    Cancelled,
    /// Its worker is draining, removed or restarted, so it was withdrawn before it was sent.
    Withdrawn,
    /// Nothing was in flight on the connection for so long that this side closed it.
    Idle,
    /// This process has no descriptor or memory left for it.
    LocalLimit,
    /// All connections to the worker carry as much as they may.
    ConnectionsFull,
    /// This process is shutting down.
    Shutdown,
}

/// How much of an exchange had been sent when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// Not one byte: the worker cannot have seen it.
    Unsent,
    /// Some or all: it may have run.
    Started,
}

impl CloseReason {
    /// The outcome that the decision module is told. Guards against running a request twice: one that was sent and not
    /// answered may have run, whatever followed; one that was not sent never ran.
    pub fn outcome(self, progress: SendProgress) -> Outcome {
        match (self, progress) {
            (CloseReason::Served, _) => Outcome::Ok,
            (CloseReason::NotLoaded, _) => Outcome::Miss,
            (CloseReason::AtCapacity, _) => Outcome::Rejected,
            (CloseReason::Failed, _) => Outcome::Error,
            (CloseReason::Expired, _) => Outcome::NotSent,
            (CloseReason::Refused | CloseReason::ConnectTimeout, _) => Outcome::ConnectFailed,
            (CloseReason::ConnectionsFull, SendProgress::Unsent) => Outcome::Rejected,
            // What this process did or lacks says nothing about the worker.
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

    /// What gossip tells other instances about the worker; `None` where the reason says nothing about it.
    pub fn observation(self, progress: SendProgress) -> Option<Observed> {
        match (self, progress) {
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

    /// A short name for counters and log lines; dashboards read it.
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
