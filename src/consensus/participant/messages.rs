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
    /// A frame came from another gateway, whose name was authenticated.
    Frame(Arc<str>, Body),
    /// The connection to another gateway closed or could not be opened.
    Disconnected(Arc<str>),
    /// All records up to this number are persisted.
    Persisted(u64),
    /// Whether this gateway is eligible to hold leases.
    SetEligible(bool),
    /// An effect under a lease of this gateway; dropped unless the lease is valid.
    Act(LeaseName, Vec<u8>),
    /// A report for the holder of a lease; it may get lost.
    Report(LeaseName, Vec<u8>),
    /// An entry that another subsystem proposes; it may get lost.
    Submit(SubsystemEntry),
    /// An operator adds or removes a voter.
    Exchange {
        /// The gateway to add; it has a replica and follows at this gateway.
        joins: Option<Arc<str>>,
        /// The gateway to remove.
        leaves: Option<Arc<str>>,
    },
    /// A deadline has passed.
    Tick,
}

/// An action that the driver carries out for a participant.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send to another gateway; the frame may get lost.
    Send(Arc<str>, Body),
    /// Send an effect of this gateway, unless its lease ends before its bytes have left.
    SendOwn(Arc<str>, LeaseEffect),
    /// Persist the record, then report its number.
    Persist(u64, Box<Record>),
    /// This gateway holds the lease from now on.
    LeaseAcquired(LeaseName, Term),
    /// This gateway no longer holds the lease.
    LeaseLost(LeaseName, Term),
    /// An effect of another holder is accepted.
    EffectReceived(LeaseEffect),
    /// Another gateway reports to this gateway as the holder of the lease.
    ReportReceived(LeaseName, Arc<str>, Vec<u8>),
    /// The agreed state of other subsystems may have changed, or a proposal of theirs had no effect.
    SubsystemChanged,
    /// Append the event to the history, in order.
    Record(HistoryEvent),
}
