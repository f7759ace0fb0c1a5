//! The messages between lease holders and the grantor. The order of fields is part of the wire format.

use serde::{Deserialize, Serialize};

use super::{LeaseHolder, LeaseName, Term};

/// A gateway's request to the leader of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The sender.
    pub from: LeaseHolder,
    /// The number of the request at its sender.
    pub stamp: u64,
    /// Whether the sender can be granted leases.
    pub eligible: bool,
    /// The leases to renew, with their terms.
    pub held: Vec<(LeaseName, Term)>,
    /// The leases that the sender no longer acts under, with their terms.
    pub released: Vec<(LeaseName, Term)>,
}

/// The grantor's reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RenewReply {
    /// The sender of the request.
    pub to: LeaseHolder,
    /// The number of the request.
    pub stamp: u64,
    /// The leases that are renewed.
    pub renewed: Vec<(LeaseName, Term)>,
    /// The leases that have to be released, as they move to another holder.
    pub recalled: Vec<(LeaseName, Term)>,
}
