//! What an operator is told of: each change of what is known of discovery and of a worker.

use crate::api::{Micros, WorkerId};

/// Why a worker is doubted although it is listed as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtReason {
    /// It rejected a call although it reported free capacity.
    RejectedWithCapacity,
    /// It rejected several calls in a row and served none.
    RejectedRepeatedly,
    /// It rejected several load orders in a row.
    LoadsRejected,
}

/// Why a worker is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspendReason {
    /// There is no evidence left that is young enough.
    EvidenceExpired,
    /// A health check said that it takes nothing new.
    SaidDead,
    /// Its process seems to be new; discovery may not have told of its start yet.
    ProcessReplaced,
}

/// A change that is logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceChange {
    /// Discovery has confirmed nothing for too long.
    DiscoveryLost {
        /// The age of the list; none if it was never confirmed.
        list_age: Option<Micros>,
    },
    /// Discovery confirms the list again.
    DiscoveryHeard {
        /// How long it was lost.
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
    /// A worker gets nothing new from now on.
    Suspended {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: SuspendReason,
        /// The age of the latest evidence; none if there is none.
        evidence_age: Option<Micros>,
    },
    /// A worker may be sent to again.
    Resumed {
        /// The worker.
        worker: WorkerId,
        /// Whether its process may have been replaced: its copies are forgotten and it is in slow start.
        new_process: bool,
        /// How long it was suspended.
        suspended_for: Micros,
    },
}
