//! What becomes of a call that got a 202 and has no answer when the gateway starts: one row for each stage and
//! class. Callbacks whose attempt had begun are settled by [`super::tables::Tables::open`].

use super::records::CallRecord;
use crate::api::Micros;
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

/// Tells a call's fate. With a clock that has stepped back, nobody can tell how long workers have remembered a
/// keyed call, so it counts as one that must not run twice.
pub fn fate(call: &CallRecord, now: Micros, stepped_back: bool) -> Fate {
    let mut may = allowed(call.effect, call.sent, now, 0);
    if stepped_back && call.sent.is_some() && call.effect != crate::api::Effect::Safe {
        (may.resend, may.refuse) = (false, false);
    }
    match may {
        m if m.resend && now < call.expires => Fate::Run,
        m if m.refuse => Fate::Refuse,
        _ => Fate::Unknown,
    }
}
