//! Changes of discovery and worker evidence that are reported to operators.

use crate::api::{Micros, WorkerId};

/// Why a worker that is listed as ready is doubted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtReason {
    /// It rejected a call although it reported free capacity.
    RejectedWithCapacity,
    /// It rejected several consecutive calls and served none.
    RejectedRepeatedly,
    /// It rejected several consecutive load orders.
    LoadsRejected,
}

/// Why a worker is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspendReason {
    /// All evidence has expired.
    EvidenceExpired,
    /// It answered a health check that it accepts no new work.
    SaidDead,
    /// Its process seems to be new; discovery may not have announced its start yet.
    ProcessReplaced,
}

/// A change that is logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceChange {
    /// Discovery has not confirmed the list for too long.
    DiscoveryLost {
        /// The age of the list; `None` if it was never confirmed.
        list_age: Option<Micros>,
    },
    /// Discovery confirms the list again.
    DiscoveryRestored {
        /// The time for which it was lost.
        lost_for: Micros,
    },
    /// A worker is doubted.
    Doubted {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: DoubtReason,
        /// The age of the latest evidence; none if there is none.
        evidence_age: Option<Micros>,
    },
    /// A worker is sent no new work from now on.
    Suspended {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: SuspendReason,
        /// The age of the latest evidence; none if there is none.
        evidence_age: Option<Micros>,
    },
    /// A worker may be sent new work again.
    Resumed {
        /// The worker.
        worker: WorkerId,
        /// Whether its process may have been replaced. Its copies are then forgotten and it is in
        /// slow start.
        new_process: bool,
        /// The time for which it was suspended.
        suspended_for: Micros,
    },
}
