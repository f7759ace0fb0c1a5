//! The reasons for which a connection, an attempt, a load order or a health check can end, and their conversion to the
//! decision module's [`Outcome`].

use crate::api::Outcome;
use crate::membership::group::AttemptOutcome;

/// The reason for the end of a connection or of an exchange on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// A worker answered `200`.
    Served,
    /// A worker answered `404`: it has no loaded copy of the function.
    NotLoaded,
    /// A worker answered `503`: it is at capacity.
    AtCapacity,
    /// A worker answered `500`.
    Failed,
    /// A worker answered `504`: the request expired before it started.
    Expired,
    /// A connection was refused.
    Refused,
    /// A connection was not established by its deadline, or could not be opened at all.
    ConnectTimeout,
    /// The peer reset the connection, or the socket failed.
    Reset,
    /// The peer closed the connection.
    Closed,
    /// The peer violated the protocol.
    Malformed,
    /// The deadline passed.
    TimedOut,
    /// The exchange was cancelled by the decision module or after its client's disconnection.
    Cancelled,
    /// The exchange was withdrawn before it was sent, for example because its worker is draining, removed or restarted.
    Withdrawn,
    /// This process closed the connection after a period without exchanges in flight.
    Idle,
    /// This process has no file descriptor or memory left.
    LocalLimit,
    /// All connections to the worker carry the maximum number of exchanges.
    ConnectionsFull,
    /// This process is shutting down.
    Shutdown,
}

/// The extent to which an exchange had been sent when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte has been sent: the worker cannot have received it.
    Unsent,
    /// Some or all bytes have been sent: it may have run.
    Started,
}

impl CloseReason {
    /// Returns the outcome for the decision module. To prevent a request from running twice, an exchange that was sent
    /// and not answered counts as possibly run, whatever the reason; one that was not sent has never run.
    pub fn outcome(self, progress: SendProgress) -> Outcome {
        match (self, progress) {
            (CloseReason::Served, _) => Outcome::Ok,
            (CloseReason::NotLoaded, _) => Outcome::Miss,
            (CloseReason::AtCapacity, _) => Outcome::Rejected,
            (CloseReason::Failed, _) => Outcome::Error,
            (CloseReason::Expired, _) => Outcome::NotSent,
            (CloseReason::Refused | CloseReason::ConnectTimeout, _) => Outcome::ConnectFailed,
            (CloseReason::ConnectionsFull, SendProgress::Unsent) => Outcome::Rejected,
            // Actions and limits of this process are not evidence about the worker.
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

    /// Returns the observation of the worker that gossip sends to other instances; `None` if the reason is no evidence
    /// about it.
    pub fn observation(self, progress: SendProgress) -> Option<AttemptOutcome> {
        match (self, progress) {
            (
                CloseReason::Served
                | CloseReason::NotLoaded
                | CloseReason::AtCapacity
                | CloseReason::Expired,
                _,
            ) => Some(AttemptOutcome::Answered),
            (CloseReason::Failed, _) => Some(AttemptOutcome::Failed),
            (CloseReason::Refused | CloseReason::ConnectTimeout, _) => {
                Some(AttemptOutcome::Refused)
            }
            (CloseReason::TimedOut | CloseReason::Cancelled, SendProgress::Started) => {
                Some(AttemptOutcome::TimedOut)
            }
            (
                CloseReason::Reset | CloseReason::Closed | CloseReason::Malformed,
                SendProgress::Started,
            ) => Some(AttemptOutcome::Failed),
            _ => None,
        }
    }

    /// Returns a short name for counters and log lines. Dashboards depend on these names.
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
