//! When input arrived that the event loop read late.
//!
//! Everything that is counted from an arrival (deadlines, latencies, the age of what discovery
//! said) must not count from the reading: whatever holds the loop would be added to it. The loop
//! knows when it last found its sockets empty; input that it finds after it was held arrived since.
//! The system's time of reception is more exact, where it is known.
//!
//! What remains unknown: a wait that the loop ended in time may have been extended by less than
//! [`HELD_AFTER`], and before a listener is bound or a connection is set up nothing is recorded.

use crate::api::Micros;

/// The loop counts as held if a pass, and the time by which a wait ended late, took longer.
const HELD_AFTER: Micros = 10_000;
/// The maximum change of the difference between the system clock and the monotonic clock from one
/// pass to the next; beyond it the system clock was set, and times of reception are not used.
const MAX_CLOCK_DRIFT: i64 = 2_000;

/// The time at which the system received input, by the system clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceptionTime(pub Micros);

/// Dates input by the passes of the event loop.
#[derive(Debug)]
pub struct ArrivalDating {
    pass_started_at: Micros,
    pass_ended_at: Micros,
    /// When the sockets were last known to be empty; input of this pass arrived since.
    empty_at: Micros,
    /// When the listeners' queues were last empty.
    queue_empty_at: Micros,
    is_held: bool,
    /// When the events of this pass were reported, at the earliest.
    reported_at: Micros,
    /// Whether the wait before this pass ended late.
    was_wait_late: bool,
    /// Whether connections were left in a queue for lack of capacity.
    is_queue_left: bool,
    /// The difference between the system clock and the monotonic clock.
    clock_offset: i64,
    clock_was_set: bool,
}

impl ArrivalDating {
    /// Begins at the start of the loop; listeners are bound from now on.
    pub fn new(now: Micros, clock_offset: i64) -> ArrivalDating {
        ArrivalDating {
            pass_started_at: now,
            pass_ended_at: now,
            empty_at: now,
            queue_empty_at: now,
            is_held: false,
            reported_at: now,
            was_wait_late: false,
            is_queue_left: false,
            clock_offset,
            clock_was_set: false,
        }
    }

    /// Begins a pass, after a wait that should have ended at `due_at`. The events of this pass were
    /// reported just now, or at any time of the wait if it ended late.
    pub fn begin_pass(&mut self, now: Micros, due_at: Option<Micros>, clock_offset: i64) {
        let pass = self.pass_ended_at.saturating_sub(self.pass_started_at);
        let late_by = due_at.map_or(0, |due_at| now.saturating_sub(due_at));
        let is_wait_late = late_by > HELD_AFTER;
        self.is_held = pass + late_by > HELD_AFTER || self.was_wait_late;
        // Input that had arrived by the report of the previous pass's events was read then.
        self.empty_at = if self.is_held { self.reported_at } else { now };
        // A process that is stopped after its events were reported, and before it runs again, finds
        // what arrives meanwhile in its next pass only.
        self.reported_at = if is_wait_late {
            self.pass_ended_at
        } else {
            now
        };
        self.was_wait_late = is_wait_late;
        self.pass_started_at = now;
        self.clock_was_set = (clock_offset - self.clock_offset).abs() > MAX_CLOCK_DRIFT;
        self.clock_offset = clock_offset;
    }

    /// Ends a pass: the loop waits for events next.
    pub fn end_pass(&mut self, now: Micros) {
        self.pass_ended_at = now;
    }

    /// Whether times of reception are needed, as the loop was held.
    pub fn needs_reception_times(&self) -> bool {
        self.is_held || self.is_queue_left
    }

    /// When input arrived that is read at `now` on a connection that was reported as ready.
    pub fn of_input(&self, now: Micros, received: Option<ReceptionTime>) -> Micros {
        let latest = self.pass_started_at.min(now);
        self.date(self.empty_at, latest, received)
    }

    /// When the first input of a connection arrived that is accepted at `now`.
    pub fn of_accepted(&self, now: Micros, received: Option<ReceptionTime>) -> Micros {
        let earliest = if self.is_queue_left {
            self.queue_empty_at
        } else if self.is_held || now > self.pass_started_at + HELD_AFTER {
            self.empty_at.max(self.queue_empty_at)
        } else {
            now
        };
        self.date(earliest, now, received)
    }

    /// Notes that a listener's queue is empty, or that it could not be emptied for lack of
    /// capacity.
    pub fn note_queue(&mut self, now: Micros, is_empty: bool) {
        self.is_queue_left = !is_empty;
        if is_empty {
            self.queue_empty_at = now;
        }
    }

    fn date(&self, earliest: Micros, latest: Micros, received: Option<ReceptionTime>) -> Micros {
        let earliest = earliest.min(latest);
        let Some(ReceptionTime(received)) = received.filter(|_| !self.clock_was_set) else {
            return earliest;
        };
        let at = (received as i64).saturating_sub(self.clock_offset);
        (at.max(0) as Micros).clamp(earliest, latest)
    }
}

#[cfg(test)]
mod tests;
