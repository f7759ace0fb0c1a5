//! The list of workers from service discovery, and its revision.

use std::collections::VecDeque;

use crate::api::{DiscoverySignal, Micros};
use crate::discovery::{EndpointList, ServerSentEvent, StagedEndpoints};

/// An event or a signal of the stream, with the time at which it arrived.
#[derive(Debug)]
pub(super) enum Unhandled {
    Event(Micros, ServerSentEvent),
    Signal(Micros, DiscoverySignal),
}

/// The list of workers and its revision.
#[derive(Debug, Default)]
pub(super) struct DiscoveryState {
    /// The workers.
    pub(super) endpoints: EndpointList,
    /// What the stream said and is not handled yet, in order; one event is handled in each turn.
    pub(super) unhandled: VecDeque<Unhandled>,
    /// Entries of long updates that are not applied yet.
    pub(super) staged: StagedEndpoints,
    /// The revision of the last update that was applied.
    pub(super) last_revision: u64,
    /// The revision after which an update was missed or unreadable and has been requested again.
    pub(super) revision_gap: Option<u64>,
    /// Consecutive connections to service discovery that ended before it answered.
    pub(super) failed_connects: u32,
}

impl DiscoveryState {
    /// Whether there is more to do without any further input.
    pub(super) fn is_busy(&self) -> bool {
        !self.unhandled.is_empty() || !self.staged.is_empty()
    }
}
