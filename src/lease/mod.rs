//! Leases: named pieces of work on behalf of all gateways, each with at most one holder at a time. No I/O.
//!
//! [`table`] is the agreed state: holders and terms. [`grantor`] decides, at the leader of the log, who holds a lease and for
//! how long. [`holder`] tells a gateway for which leases it may act now, with the messages of [`renewal`]. [`fence`] protects
//! the receivers of effects.
//!
//! Three guards, each of which holds without the others:
//!
//! - **Terms.** Each grant has a term, one above the last. An effect carries its lease and term, and receivers reject a term
//!   below the highest seen. This needs no clock.
//! - **Leases.** A grant alone gives no right to act. The holder requests a renewal and counts its time from before the
//!   request. The grantor counts from its reply, and replies only once a majority has confirmed, after the request came, that
//!   it still leads. So the grantor's time ends later, whichever leader it is, as long as no clock runs faster than another
//!   by more than [`Settings::drift_ppm`]. Clocks are never compared.
//! - **The log.** Grants and releases are entries of the agreed log; an entry that does not follow from the state before it
//!   has no effect, the same at every gateway.
//!
//! Renewals use no log and no disk.

pub mod fence;
pub mod grantor;
pub mod holder;
pub mod renewal;
pub mod table;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::api::Micros;

/// The name of a lease, as configured.
pub type LeaseName = Arc<str>;

/// Counts the grants of one lease; it only grows.
pub type Term = u64;

/// One process of a gateway. A new process of the same name is another holder: it knows nothing of what the previous one has
/// in progress.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The gateway's name.
    pub name: Arc<str>,
    /// The number of the process.
    pub incarnation: u64,
}

/// The duration of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a holder may act after its request, in microseconds.
    pub duration: Micros,
    /// The maximum drift between two clocks, in parts per million.
    pub drift_ppm: u32,
}

impl Settings {
    /// How long after its reply a grantor waits until the lease has certainly ended.
    pub fn grant_delay(&self) -> Micros {
        // The holder's clock may be slow while the grantor's is fast: twice the drift.
        let double_drift = (self.duration / 1000 * Micros::from(self.drift_ppm)).div_ceil(500);
        self.duration + double_drift + 1
    }

    /// How often a holder requests a renewal: twice more before a lease ends if the first request is lost.
    pub fn renew_interval(&self) -> Micros {
        (self.duration / 3).max(1)
    }
}
