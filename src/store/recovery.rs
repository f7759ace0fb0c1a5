//! Recovery of calls and attempts after a restart or the loss of a gateway.

use super::records::{AttemptRecord, CallRecord};
use crate::api::{Effect, Micros};
use crate::delivery::response::{DeadLetterReason, State};
use crate::delivery::Waiting;
use crate::policy::permitted_after;

/// What is done with a call that a start finds without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// The call runs as if it had just been accepted.
    Run,
    /// The call is rejected at once; calling again is safe.
    Reject,
    /// It is unknown whether the call ran. Its callback reports that, and the call is never run
    /// again.
    ReportUnknown,
}

/// Chooses the action for a recovered call.
///
/// A call with an idempotency key that may have run is not run again: the decision module does not
/// know the first attempt, so it cannot tell when workers forget the key. If the clock went back
/// that time is not known at all, and the call is treated as one that must not run twice.
pub fn recovery_action(call: &CallRecord, now: Micros, clock_regressed: bool) -> RecoveryAction {
    let is_idempotent = call.effect == Effect::Idempotent;
    if call.sent.is_some() && !is_idempotent {
        let can_reject = permitted_after(call.effect, call.sent, now, 0).reject && !clock_regressed;
        return if can_reject {
            RecoveryAction::Reject
        } else {
            RecoveryAction::ReportUnknown
        };
    }
    if now < call.expires {
        RecoveryAction::Run
    } else {
        RecoveryAction::Reject
    }
}

/// What this process itself has of a call that it is to continue with, as the primary of its shard
/// once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalRun {
    /// Nothing.
    None,
    /// The call is under way here, and its outcome is still recorded.
    UnderWay,
    /// The call was cancelled here, and its last attempt has not ended.
    Ending,
}

/// What is done with a call that a primary finds in its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeAction {
    /// The call is recovered.
    Recover(RecoveryAction),
    /// Nothing: the call goes on.
    Keep,
    /// The decision is made once the last attempt has ended here. A call that may run must not be
    /// rejected because it is not closed here yet.
    Postpone,
}

/// Chooses the action for a call that a primary finds in its shard.
pub fn resume_action(
    call: &CallRecord,
    now: Micros,
    clock_regressed: bool,
    local_run: LocalRun,
) -> ResumeAction {
    let action = recovery_action(call, now, clock_regressed);
    match (local_run, action) {
        (LocalRun::UnderWay, _) => ResumeAction::Keep,
        (LocalRun::Ending, RecoveryAction::Run) => ResumeAction::Postpone,
        (LocalRun::Ending, RecoveryAction::Reject | RecoveryAction::ReportUnknown)
        | (LocalRun::None, _) => ResumeAction::Recover(action),
    }
}

/// Settles an attempt that was in flight when its gateway was lost. By its effect the message waits
/// again, or it is unknown whether it arrived. A message with an idempotency key is not sent again
/// if the clock went back.
pub fn settle_attempt(
    waiting: &mut Waiting,
    started_at: Micros,
    now: Micros,
    clock_regressed: bool,
) -> (State, AttemptRecord) {
    waiting.ran.get_or_insert(started_at);
    waiting.tries += 1;
    let has_key = matches!(waiting.effect, Effect::Keyed { .. });
    let can_resend =
        permitted_after(waiting.effect, waiting.ran, now, 0).retry && !(clock_regressed && has_key);
    let state = if can_resend {
        State::Waiting
    } else {
        State::Dead(DeadLetterReason::Unknown)
    };
    let attempt = AttemptRecord {
        at: now,
        took: 0,
        ending: "killed".into(),
        status: None,
        may_have_arrived: true,
    };
    (state, attempt)
}

/// Settles an attempt whose start was recorded by another machine. The clocks of two machines are
/// not compared, so a message with an idempotency key is not sent again.
pub fn settle_remote_attempt(
    waiting: &mut Waiting,
    started_at: Micros,
    now: Micros,
) -> (State, AttemptRecord) {
    settle_attempt(waiting, started_at, now, true)
}
