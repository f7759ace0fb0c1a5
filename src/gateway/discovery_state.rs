//! What the gateway knows from service discovery, and how recent it is.

use crate::discovery::EndpointList;

/// The list of workers and the revision up to which it is known.
#[derive(Debug, Default)]
pub(super) struct DiscoveryState {
    /// The workers.
    pub(super) endpoints: EndpointList,
    /// The revision of the last update that was applied.
    pub(super) last_revision: u64,
    /// The revision after which an update was missed or unreadable and has been asked for again.
    pub(super) revision_gap: Option<u64>,
    /// Connections to service discovery in a row that ended before it answered.
    pub(super) failed_connects: u32,
}
