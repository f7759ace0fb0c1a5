//! The list of workers from service discovery, and its revision.

use crate::discovery::{EndpointList, StagedEndpoints};

/// The list of workers and its revision.
#[derive(Debug, Default)]
pub(super) struct DiscoveryState {
    /// The workers.
    pub(super) endpoints: EndpointList,
    /// Entries of long updates that are not applied yet.
    pub(super) staged: StagedEndpoints,
    /// The revision of the last update that was applied.
    pub(super) last_revision: u64,
    /// The revision after which an update was missed or unreadable and has been requested again.
    pub(super) revision_gap: Option<u64>,
    /// Consecutive connections to service discovery that ended before it answered.
    pub(super) failed_connects: u32,
}
