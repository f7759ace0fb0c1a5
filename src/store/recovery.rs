//! What becomes of a call that got a 202 and has no answer when the gateway starts: one row for each stage and
//! class. Callbacks whose attempt had begun are settled by [`super::tables::Tables::open`].

use super::records::CallRecord;
use crate::api::{Effect, Micros};
use crate::brain::allowed;

/// What is done with a call found at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It runs, as if it had just come.
    Run,
    /// It is refused at once: to call again is harmless.
    Refuse,
    /// Nobody can tell whether it ran: its callback says so, and it is never run again.
    Unknown,
}

/// Tells a call's fate. A keyed call that may have run is not run again: the module does not know of the first
/// attempt, and so not when workers forget it. With a clock that has stepped back nobody can tell that either, and
/// it counts as one that must not run twice.
pub fn fate(call: &CallRecord, now: Micros, stepped_back: bool) -> Fate {
    let safe = call.effect == Effect::Safe;
    if call.sent.is_some() && !safe {
        let refuse = allowed(call.effect, call.sent, now, 0).refuse && !stepped_back;
        return if refuse { Fate::Refuse } else { Fate::Unknown };
    }
    if now < call.expires {
        Fate::Run
    } else {
        Fate::Refuse
    }
}
