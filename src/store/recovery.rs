//! What becomes of a call that got a 202 and has no answer when the gateway starts: one row for each stage and
//! class. Callbacks whose attempt had begun are settled by [`super::tables::Tables::open`].

use super::records::{AttemptRecord, CallRecord};
use crate::api::{Effect, Micros};
use crate::delivery::response::{Dead, State};
use crate::delivery::Waiting;
use crate::policy::allowed;

/// What is done with a call found at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// It runs, as if it had just come.
    Run,
    /// It is refused at once: to call again is harmless.
    Reject,
    /// Nobody can tell whether it ran: its callback says so, and it is never run again.
    ReportUnknown,
}

/// Tells a call's fate. A keyed call that may have run is not run again: the module does not know of the first
/// attempt, and so not when workers forget it. With a clock that has stepped back nobody can tell that either, and
/// it counts as one that must not run twice.
pub fn recovery_action(call: &CallRecord, now: Micros, stepped_back: bool) -> RecoveryAction {
    let safe = call.effect == Effect::Idempotent;
    if call.sent.is_some() && !safe {
        let refuse = allowed(call.effect, call.sent, now, 0).refuse && !stepped_back;
        return if refuse {
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

/// What becomes of a callback whose attempt had begun when its gateway was lost: by its class it waits again, or nobody can
/// tell. A keyed one is not sent again with a clock that has stepped back.
pub fn settle_attempt(
    w: &mut Waiting,
    begun: Micros,
    now: Micros,
    stepped_back: bool,
) -> (State, AttemptRecord) {
    w.ran.get_or_insert(begun);
    let keyed = matches!(w.effect, Effect::Keyed { .. });
    let again = allowed(w.effect, w.ran, now, 0).resend && !(stepped_back && keyed);
    let state = if again {
        State::Waiting
    } else {
        State::Dead(Dead::Unknown)
    };
    w.tries += 1;
    (
        state,
        AttemptRecord {
            at: now,
            took: 0,
            ending: "killed".into(),
            status: None,
            may_have_arrived: true,
        },
    )
}

/// The same where another machine's clock said when it had begun: a keyed one is not sent again, as clocks of two machines
/// are not compared.
pub fn settle_remote_attempt(
    w: &mut Waiting,
    begun: Micros,
    now: Micros,
) -> (State, AttemptRecord) {
    settle_attempt(w, begun, now, true)
}
