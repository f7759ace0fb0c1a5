//! Events that a participant records for an independent checker.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::lease::{LeaseHolder, LeaseName, Term};

/// An event, written as one line of the history. The serialized names are part of the history's format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A lease entry was applied and changed the lease.
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
    /// This gateway acquired a lease.
    #[serde(rename = "began")]
    LeaseAcquired {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
    },
    /// This gateway lost a lease.
    #[serde(rename = "ended")]
    LeaseLost {
        /// The lease.
        #[serde(rename = "duty")]
        lease: LeaseName,
        /// The term of the lease.
        term: Term,
    },
    /// This gateway created an effect under its lease.
    #[serde(rename = "acted")]
    EffectCreated {
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
    /// This gateway withdrew an effect before its bytes were sent.
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
        /// The Raft term.
        term: u64,
    },
    /// This gateway is no longer the leader.
    #[serde(rename = "follows")]
    LostLeadership,
    /// This gateway's replica was retired, or its disk could not be used.
    Retired {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
}
