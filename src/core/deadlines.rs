//! Every deadline of the core and of its driver in one ordered queue.

use std::collections::BTreeSet;

use crate::api::Micros;

/// What falls due. Deadlines of the same instant fall due in the order of the variants and then of their numbers.
///
/// Slots are held as numbers, as a slot map's keys compare in another order than their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// The decision module asked to be woken with this token.
    Wake(u64),
    /// The attempt in this slot times out.
    Attempt(u64),
    /// The attempt in this slot must not be started any more.
    AttemptStart(u64),
    /// The request in this slot is overdue.
    Request(u64),
    /// The load order in this slot times out.
    LoadOrder(u64),
    /// The health check in this slot times out.
    HealthCheck(u64),
    /// A deadline of the core's driver, handed back as it came.
    External(ExternalDeadline),
}

/// A deadline of the core's driver. The core gives it no meaning; it orders deadlines of one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExternalDeadline {
    /// The driver's code for the kind of deadline.
    pub kind: u8,
    /// The driver's number within the kind.
    pub number: u64,
}

/// Deadlines in the order in which they fall due.
#[derive(Debug, Default)]
pub(super) struct DeadlineQueue {
    entries: BTreeSet<(Micros, Deadline)>,
}

impl DeadlineQueue {
    /// Adds a deadline.
    pub(super) fn insert(&mut self, at: Micros, deadline: Deadline) {
        self.entries.insert((at, deadline));
    }

    /// Removes a deadline if it has not fallen due yet.
    pub(super) fn remove(&mut self, at: Micros, deadline: Deadline) {
        self.entries.remove(&(at, deadline));
    }

    /// The instant of the first deadline.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first deadline that has fallen due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Deadline> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop_first().map(|(_, deadline)| deadline)
    }
}
