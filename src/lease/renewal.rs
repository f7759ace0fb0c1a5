//! The messages between lease holders and the grantor. The order of fields is part of the wire format.

use serde::{Deserialize, Serialize};

use super::{LeaseHolder, LeaseName, Term};

/// A renewal request of a gateway to the leader of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The sender.
    pub from: LeaseHolder,
    /// The sequence number of the request at its sender.
    pub sequence: u64,
    /// Whether the sender accepts new leases.
    pub eligible: bool,
    /// The leases to renew, with their terms.
    pub held: Vec<(LeaseName, Term)>,
    /// The leases under which the sender no longer acts, with their terms.
    pub released: Vec<(LeaseName, Term)>,
}

/// The grantor's reply to a renewal request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RenewReply {
    /// The sender of the request.
    pub to: LeaseHolder,
    /// The sequence number of the request.
    pub sequence: u64,
    /// The renewed leases, with their terms.
    pub renewed: Vec<(LeaseName, Term)>,
    /// The leases that the holder has to release because they move to another gateway, with their terms.
    pub recalled: Vec<(LeaseName, Term)>,
}
