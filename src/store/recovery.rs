//! Recovery of calls and delivery attempts after a restart or the loss of a gateway.

use super::records::{AttemptRecord, CallRecord};
use crate::api::{Effect, Micros};
use crate::delivery::response::{DeadLetterReason, MessageState};
use crate::delivery::PendingMessage;
use crate::policy::permitted_after;

/// The action for a call without an outcome that is recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Run the call as if it had just been accepted.
    Run,
    /// Reject the call at once; its caller can safely retry.
    Reject,
    /// Report in the callback that it is unknown whether the call ran. The call is not run again.
    ReportUnknown,
}

/// Chooses the action for a recovered call.
///
/// A call with an idempotency key that may have run is not run again: the decision module does not
/// know the first attempt, so it cannot determine when workers forget the key. If the clock went
/// backwards, the age of the key is unknown, and the call is treated as one that must not run
/// twice.
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

/// The progress in this process of a call in the shard of a new primary. The process may have been
/// the shard's primary before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalRun {
    /// The call is not open in this process.
    None,
    /// The call is in progress in this process, and its outcome will be recorded.
    InProgress,
    /// The call was cancelled in this process, but its last attempt has not ended.
    Cancelled,
}

/// The action for a call without an outcome in the shard of a new primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeAction {
    /// Recover the call.
    Recover(RecoveryAction),
    /// Let the call continue in this process.
    Keep,
    /// Choose the action again once the last attempt has ended in this process. A call that may run
    /// must not be rejected because its last attempt is still open.
    Postpone,
}

/// Chooses the action for a call without an outcome in the shard of a new primary.
pub fn resume_action(
    call: &CallRecord,
    now: Micros,
    clock_regressed: bool,
    local_run: LocalRun,
) -> ResumeAction {
    let action = recovery_action(call, now, clock_regressed);
    match (local_run, action) {
        (LocalRun::InProgress, _) => ResumeAction::Keep,
        (LocalRun::Cancelled, RecoveryAction::Run) => ResumeAction::Postpone,
        (LocalRun::Cancelled, RecoveryAction::Reject | RecoveryAction::ReportUnknown)
        | (LocalRun::None, _) => ResumeAction::Recover(action),
    }
}

/// Settles an attempt that was in flight when its gateway was lost. Depending on the effect, the
/// message waits for another attempt, or ends because it is unknown whether it arrived. A message
/// with an idempotency key is not sent again if the clock went backwards.
pub fn settle_attempt(
    waiting: &mut PendingMessage,
    started_at: Micros,
    now: Micros,
    clock_regressed: bool,
) -> (MessageState, AttemptRecord) {
    waiting.maybe_received_at.get_or_insert(started_at);
    waiting.tries += 1;
    let has_key = matches!(waiting.effect, Effect::Keyed { .. });
    let can_resend = permitted_after(waiting.effect, waiting.maybe_received_at, now, 0).retry
        && !(clock_regressed && has_key);
    let state = if can_resend {
        MessageState::Waiting
    } else {
        MessageState::Dead(DeadLetterReason::Unknown)
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

/// Settles an attempt whose start was recorded by another machine. A message with an idempotency
/// key is not sent again, because the clocks of two machines are not compared.
pub fn settle_remote_attempt(
    waiting: &mut PendingMessage,
    started_at: Micros,
    now: Micros,
) -> (MessageState, AttemptRecord) {
    settle_attempt(waiting, started_at, now, true)
}
