//! The events that a participant records for an independent checker.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::lease::{LeaseHolder, LeaseName, Term};

/// One line of the history; the serialized names are part of the history's format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A lease entry was applied and took effect.
    Agreed {
        /// The index of the entry.
        index: u64,
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
        /// The holder; `None` if the lease was released.
        #[serde(rename = "owner")]
        holder: Option<LeaseHolder>,
    },
    /// The state was replaced by a snapshot.
    Restored {
        /// The index of the snapshot.
        index: u64,
    },
    /// This gateway holds a lease from now on.
    #[serde(rename = "began")]
    LeaseAcquired {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
    },
    /// This gateway no longer holds a lease.
    #[serde(rename = "ended")]
    LeaseLost {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
    },
    /// This gateway decided on an effect.
    Acted {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
        /// The number of the effect within the term.
        number: u64,
    },
    /// The bytes of an effect of this gateway were queued.
    Sent {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
        /// The number of the effect within the term.
        number: u64,
    },
    /// This gateway accepted an effect of another holder.
    Accepted {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
        /// The gateway that sent the effect.
        #[serde(rename = "owner")]
        holder: Arc<str>,
        /// The number of the effect within the term.
        number: u64,
    },
    /// This gateway rejected an effect of another gateway.
    #[serde(rename = "refused")]
    Rejected {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
        /// The gateway that sent the effect.
        #[serde(rename = "owner")]
        holder: Arc<str>,
        /// The number of the effect within the term.
        number: u64,
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// This gateway withdrew an effect whose bytes had not left.
    #[serde(rename = "taken_back")]
    Withdrawn {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
        /// The number of the effect within the term.
        number: u64,
    },
    /// This gateway became the leader.
    #[serde(rename = "leads")]
    BecameLeader {
        /// The term of the log.
        term: u64,
    },
    /// This gateway is no longer the leader.
    #[serde(rename = "follows")]
    LostLeadership,
    /// This replica must not vote any more.
    Retired {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
}
