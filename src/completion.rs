//! Every way in which a connection, an attempt or an order can end, and the one place where that becomes
//! the module's [`Outcome`].

use crate::api::Outcome;
use crate::membership::group::Seen;

/// How a connection, or something that was out on it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// A worker answered `200`.
    Served,
    /// A worker answered `404`: the function is not loaded there.
    Missed,
    /// A worker answered `503`: no room.
    NoRoom,
    /// A worker answered `500`.
    Failed,
    /// A worker answered `504`: the request was over before it began.
    Over,
    /// A connection was refused.
    Refused,
    /// A connection did not come up by its deadline, or could not be opened at all.
    NeverUp,
    /// The peer reset the connection, or the socket failed.
    Reset,
    /// The peer closed the connection.
    Closed,
    /// The peer broke the protocol.
    Malformed,
    /// The deadline passed.
    TimedOut,
    /// The module called it off.
    CalledOff,
    /// Its worker drains, is gone or has started anew; what had not left was taken back.
    Withdrawn,
    /// Nothing was open on the connection for so long that this side closed it.
    Idle,
    /// This side has no descriptor or no room left for it.
    Overflow,
    /// All connections to this worker carry as much as they may.
    Crowded,
    /// This side is shutting down.
    Shutdown,
}

/// How much of a command had left this machine when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Not one byte: the worker cannot have heard of it.
    Nothing,
    /// Some or all: it may have run.
    Some,
}

impl Ending {
    /// The module's word for this ending. Guards the rule on double effects: what has left and was not
    /// answered may have run, whatever followed; what has not left never ran.
    pub fn outcome(self, left: Left) -> Outcome {
        match (self, left) {
            (Ending::Served, _) => Outcome::Ok,
            (Ending::Missed, _) => Outcome::Miss,
            (Ending::NoRoom, _) => Outcome::Rejected,
            (Ending::Failed, _) => Outcome::Error,
            (Ending::Over, _) => Outcome::NotSent,
            (Ending::Refused | Ending::NeverUp, _) => Outcome::ConnectFailed,
            (Ending::Crowded, Left::Nothing) => Outcome::Rejected,
            // What this side did or lacks tells nothing of the worker.
            (
                Ending::TimedOut
                | Ending::CalledOff
                | Ending::Withdrawn
                | Ending::Overflow
                | Ending::Shutdown,
                Left::Nothing,
            ) => Outcome::NotSent,
            (_, Left::Nothing) => Outcome::ConnectFailed,
            (Ending::TimedOut, Left::Some) => Outcome::Timeout,
            (Ending::CalledOff, Left::Some) => Outcome::Cancelled,
            (_, Left::Some) => Outcome::Reset,
        }
    }

    /// What instances that talk are told of a worker by this ending; none where it tells nothing of it.
    pub fn seen(self, left: Left) -> Option<Seen> {
        match (self, left) {
            (Ending::Served | Ending::Missed | Ending::NoRoom | Ending::Over, _) => Some(Seen::Answered),
            (Ending::Failed, _) => Some(Seen::Failed),
            (Ending::Refused | Ending::NeverUp, _) => Some(Seen::Refused),
            (Ending::TimedOut | Ending::CalledOff, Left::Some) => Some(Seen::Silent),
            (Ending::Reset | Ending::Closed | Ending::Malformed, Left::Some) => Some(Seen::Failed),
            _ => None,
        }
    }

    /// A short name for counters and logs.
    pub fn name(self) -> &'static str {
        match self {
            Ending::Served => "served",
            Ending::Missed => "missed",
            Ending::NoRoom => "no_room",
            Ending::Failed => "failed",
            Ending::Over => "over",
            Ending::Refused => "refused",
            Ending::NeverUp => "never_up",
            Ending::Reset => "reset",
            Ending::Closed => "closed",
            Ending::Malformed => "malformed",
            Ending::TimedOut => "timed_out",
            Ending::CalledOff => "called_off",
            Ending::Withdrawn => "withdrawn",
            Ending::Idle => "idle",
            Ending::Overflow => "overflow",
            Ending::Crowded => "crowded",
            Ending::Shutdown => "shutdown",
        }
    }
}

#[cfg(test)]
mod tests;
