//! Learners: gateways that do not vote follow the agreed log by polling a voter.
//!
//! The cost of one learner does not depend on how many there are. A learner polls one voter; the voter holds the poll until
//! there is something new, or for `POLL_WAIT_TIMEOUT`. A voter that does not answer is given up for the next. Effects that
//! voters accepted are forwarded with the answers.

mod learner;
mod progress;
#[cfg(test)]
mod tests;

pub use learner::{CatchUp, Learner};
pub use progress::LearnerProgress;

use crate::api::Micros;

/// Learners whose polls one voter holds; polls of further learners are answered at once.
pub const MAX_LEARNERS: usize = 2048;
/// Recent effects that a voter can forward; a learner that was away for longer gets only these.
pub const MAX_FORWARDED_EFFECTS: usize = 64;
/// Entries in one answer.
pub const MAX_CATCH_UP_ENTRIES: u64 = 128;
/// How long a voter holds a poll while nothing is new.
const POLL_WAIT_TIMEOUT: Micros = 500_000;
/// How long a learner waits for an answer before it polls another voter.
const ANSWER_TIMEOUT: Micros = 2_000_000;
