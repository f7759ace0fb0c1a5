//! An ordered queue of all deadlines of the core and its driver.

use std::collections::BTreeSet;

use crate::api::Micros;

/// A deadline. Deadlines at the same time expire in the order of the variants, then of their numbers.
///
/// Slot keys are stored as integers because the keys' own ordering differs from that of the integers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// A wake-up that the decision module requested with this token.
    Wake(u64),
    /// The timeout of the attempt in this slot.
    Attempt(u64),
    /// The latest time at which the attempt in this slot may start.
    AttemptStart(u64),
    /// The end of the grace period of the request in this slot.
    Request(u64),
    /// The timeout of the load order in this slot.
    LoadOrder(u64),
    /// The timeout of the health check in this slot.
    HealthCheck(u64),
    /// A deadline of the driver, returned unchanged.
    External(ExternalDeadline),
}

/// A deadline of the core's driver, opaque to the core. Its ordering decides among deadlines at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExternalDeadline {
    /// The driver's code of the deadline's kind.
    pub kind: u8,
    /// The driver's number within the kind.
    pub number: u64,
}

/// Deadlines in order of expiry.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue {
    entries: BTreeSet<(Micros, Deadline)>,
}

impl DeadlineQueue {
    /// Adds a deadline.
    pub(super) fn insert(&mut self, at: Micros, deadline: Deadline) {
        self.entries.insert((at, deadline));
    }

    /// Removes a deadline if it is still queued.
    pub(super) fn remove(&mut self, at: Micros, deadline: Deadline) {
        self.entries.remove(&(at, deadline));
    }

    /// Returns the time of the earliest deadline.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest deadline if it has expired.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Deadline> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop_first().map(|(_, deadline)| deadline)
    }
}
