//! Reopening of the discovery stream when workers contradict the list: the stream may be stuck.

use super::tracker::EvidenceTracker;
use crate::api::Micros;

/// The age of a contradiction, in microseconds, at which the stream is reopened.
const REOPEN_AFTER: Micros = 3_000_000;
/// The minimum interval between two reopenings, in microseconds.
const REOPEN_INTERVAL: Micros = 5_000_000;
/// The maximum number of doublings of the interval while new streams deliver no update either.
const MAX_REOPEN_DOUBLINGS: u32 = 2;

impl EvidenceTracker {
    /// The time for which the list has contained a worker as ready that answered a health check as
    /// unavailable.
    pub(super) fn contradicted_for(&self, now: Micros) -> Option<Micros> {
        let first = self
            .flagged_workers()
            .filter_map(|worker| worker.reported_unavailable_at);
        first.min().map(|at| now.saturating_sub(at))
    }

    /// The longest time that a worker has been doubted, where health checks are not allowed.
    fn doubted_for(&self, now: Micros) -> Option<Micros> {
        if self.may_check {
            return None;
        }
        let first = self
            .flagged_workers()
            .filter_map(|worker| worker.doubt)
            .map(|doubt| doubt.since);
        first.min().map(|at| now.saturating_sub(at))
    }

    /// Whether to reopen the discovery stream now because the list contradicts a worker's answers.
    /// Reopenings become less frequent while new streams deliver no update either.
    pub fn take_due_reopening(&mut self, now: Micros) -> bool {
        let doublings = self.reopenings.min(MAX_REOPEN_DOUBLINGS);
        let interval = REOPEN_INTERVAL << doublings;
        // Spreads the reopenings of different instances.
        let spread = self.seed % (interval / 2);
        let contradicted_for = self.contradicted_for(now).max(self.doubted_for(now));
        let is_due = now >= self.stream_reopened_at + interval + spread * u64::from(doublings > 0)
            && self.discovery.has_open_stream()
            && contradicted_for >= Some(REOPEN_AFTER);
        if is_due {
            self.stream_reopened_at = now;
            self.reopenings += 1;
            self.discovery.reopen();
        }
        is_due
    }
}
