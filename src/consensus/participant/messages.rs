//! The inputs and outputs of a participant.

use std::sync::Arc;

use super::history::HistoryEvent;
use crate::consensus::persistent_state::Record;
use crate::consensus::state::SubsystemEntry;
use crate::consensus::wire::{Body, LeaseEffect};
use crate::lease::{LeaseName, Term};

/// An event that the driver passes to a participant.
#[derive(Clone, Debug)]
pub enum Input {
    /// A frame was received from another gateway, whose name was authenticated.
    Frame(Arc<str>, Body),
    /// The connection to another gateway closed or could not be opened.
    Disconnected(Arc<str>),
    /// The driver has persisted all records up to this number.
    Persisted(u64),
    /// This gateway becomes eligible to hold leases, or is no longer eligible.
    SetEligible(bool),
    /// Send an effect under a lease of this gateway. Ignored unless the lease is valid.
    SendEffect(LeaseName, Vec<u8>),
    /// Send a report to the holder of a lease. It may be lost.
    Report(LeaseName, Vec<u8>),
    /// Propose an entry of another subsystem. It may be lost.
    Submit(SubsystemEntry),
    /// Add a voter, remove one, or both, at the request of an operator.
    ChangeVoters {
        /// The gateway to add. It has a replica and polls this gateway as a learner.
        added: Option<Arc<str>>,
        /// The gateway to remove.
        removed: Option<Arc<str>>,
    },
    /// A deadline has passed.
    Tick,
}

/// An action that the driver carries out for a participant.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame to another gateway. It may be lost.
    Send(Arc<str>, Body),
    /// Send an effect of this gateway, unless the lease ends before the bytes are sent.
    SendEffect(Arc<str>, LeaseEffect),
    /// Persist the record, then report its number by [`Input::Persisted`].
    Persist(u64, Box<Record>),
    /// This gateway acquired the lease.
    LeaseAcquired(LeaseName, Term),
    /// This gateway lost the lease.
    LeaseLost(LeaseName, Term),
    /// An effect of another holder was received and accepted.
    EffectReceived(LeaseEffect),
    /// A report of another gateway was received by this gateway as the holder of the lease.
    ReportReceived(LeaseName, Arc<str>, Vec<u8>),
    /// The agreed state of other subsystems may have changed, or one of their proposals had no effect.
    SubsystemChanged,
    /// Append the event to the history; the order of events is kept.
    Record(HistoryEvent),
}
