//! Learners: gateways without a vote that follow the agreed log by long polling.
//!
//! A learner polls one voter, which holds the poll until it has news or `POLL_WAIT_TIMEOUT` has passed. If the voter does
//! not answer, the learner polls the next one. Answers also forward the effects that the voter has accepted. The cost of
//! one learner does not depend on the number of learners.

mod learner;
mod progress;
#[cfg(test)]
mod tests;

pub use learner::{CatchUp, Learner};
pub use progress::LearnerProgress;

use crate::api::Micros;

/// Maximum number of learners whose polls one voter holds; it answers the polls of further learners at once.
pub const MAX_LEARNERS: usize = 2048;
/// Number of recent effects that a voter keeps to forward; a learner that missed more receives only these.
pub const MAX_FORWARDED_EFFECTS: usize = 64;
/// Maximum number of entries in one answer.
pub const MAX_CATCH_UP_ENTRIES: u64 = 128;
/// Maximum time for which a voter holds a poll without news.
const POLL_WAIT_TIMEOUT: Micros = 500_000;
/// Time after which a learner gives up on an answer and polls another voter.
const ANSWER_TIMEOUT: Micros = 2_000_000;
