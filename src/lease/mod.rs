//! Leases on tasks that one gateway performs for the whole fleet. Each lease has at most one holder at a time.
//!
//! The state machines in this module do no I/O. [`table`] is the replicated state: holders and terms. [`grantor`] runs at the
//! leader of the log and decides which gateway holds a lease and for how long. [`holder`] tracks the leases under which its
//! gateway may act now. Holders and the grantor exchange the messages of [`renewal`]. [`fence`] protects the receivers of
//! effects.
//!
//! Three independent guards prevent two gateways from acting under the same lease:
//!
//! - **Terms.** Each grant has a term, one above the previous term of the lease. An effect carries its lease and term, and
//!   receivers reject a term below the highest one seen. This guard needs no clock.
//! - **Lease times.** A grant alone gives no right to act. The holder requests a renewal, and its lease time starts before it
//!   sends the request. The grantor's lease time starts with its reply, which it sends only after a majority has confirmed,
//!   later than the request arrived, that it still leads. The grantor's time therefore ends after the holder's, under any
//!   leader, as long as no two clock rates differ by more than [`Settings::drift_ppm`]. Timestamps of different machines are
//!   never compared.
//! - **The log.** Grants and releases are entries of the agreed log. Every gateway ignores an entry that is not valid in the
//!   state before it.
//!
//! Renewals write neither to the log nor to disk.

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

/// The fencing token of a grant; it increases with each grant of the same lease.
pub type Term = u64;

/// The identity of a gateway process. A restarted gateway is a different holder, as it does not know which effects the
/// previous process had in progress.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The gateway's name.
    pub name: Arc<str>,
    /// The incarnation number; differs for each process of the gateway.
    pub incarnation: u64,
}

/// The timing of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a holder may act after it sends a renewal request, in microseconds.
    pub duration: Micros,
    /// The maximum difference between the rates of two clocks, in parts per million.
    pub drift_ppm: u32,
}

impl Settings {
    /// How long after its last reply a grantor waits before it grants the lease to another gateway. The old lease has ended by
    /// then.
    pub fn grant_delay(&self) -> Micros {
        // The holder's clock may be slow while the grantor's is fast: twice the drift.
        let double_drift = (self.duration / 1000 * Micros::from(self.drift_ppm)).div_ceil(500);
        self.duration + double_drift + 1
    }

    /// The interval between renewal requests. If a request is lost, two more are sent before the lease ends.
    pub fn renew_interval(&self) -> Micros {
        (self.duration / 3).max(1)
    }
}
