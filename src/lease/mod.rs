//! Duties: named pieces of work on behalf of the fleet, each with at most one owner at a time; no I/O.
//!
//! [`ledger`] is what the agreed log says of owners and terms; [`grantor`] decides, at whoever leads the log, who is to have
//! a duty and for how long; [`holder`] tells an instance what it may do now; [`fence`] stands at whoever receives what an
//! owner did.
//!
//! Three guards, each of which holds without the others:
//!
//! - **Terms.** Each grant has a term, one above the last. An effect carries its duty and term, and who receives it refuses
//!   a term below the highest seen. It needs no clock at all.
//! - **Leases.** A grant alone gives no right to act. Its owner asks for a lease and counts it from before it asked; the
//!   grantor counts from when it answered, and answers only once a majority has confirmed, after the question came, that it
//!   still leads. So the grantor's count ends later, whichever leader it is, as long as no clock runs faster than another by
//!   more than [`Settings::drift_ppm`]. No two clocks are ever compared.
//! - **The log.** Grants and duties given back are entries of the agreed log; an entry that does not follow from the state
//!   before it has no effect, the same at every instance.
//!
//! Renewals go through no log and write to no disk.

pub mod fence;
pub mod grantor;
pub mod holder;
pub mod ledger;
#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use crate::api::Micros;

/// A duty's name, as the operator's file has it.
pub type LeaseName = Arc<str>;

/// Counts the grants of one duty; it only grows.
pub type Term = u64;

/// One process of an instance. A new process under the same name is another owner: it knows nothing of what the old one
/// has under way.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct LeaseHolder {
    /// The instance's name.
    pub name: Arc<str>,
    /// Which of its processes.
    pub incarnation: u64,
}

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long an owner may act after it asked, microseconds.
    pub duration: Micros,
    /// By how many parts in a million two clocks may run apart at most.
    pub drift_ppm: u32,
}

impl Settings {
    /// How long a grantor waits from its answer, until the lease that it gave has surely ended.
    pub fn grant_delay(&self) -> Micros {
        // The owner's clock may be slow, and the grantor's fast.
        self.duration + (self.duration / 1000 * Micros::from(self.drift_ppm)).div_ceil(500) + 1
    }

    /// How often an owner asks: twice more before a lease ends if the first question is lost.
    pub fn renew_interval(&self) -> Micros {
        (self.duration / 3).max(1)
    }
}
