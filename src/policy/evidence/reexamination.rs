//! Which workers' evidence has to be examined again, and when, so that an update does not look at
//! the whole fleet.

use std::collections::BTreeSet;

use crate::api::{Micros, WorkerId};

/// The workers to be examined.
#[derive(Debug, Default)]
pub(super) struct Reexamination {
    /// Workers with new evidence since the last update.
    touched: BTreeSet<WorkerId>,
    /// When workers are examined again without new evidence. An entry may be outdated: the worker
    /// is then examined once more than needed.
    schedule: BTreeSet<(Micros, WorkerId)>,
    /// Whether the expiry of every available worker is in the schedule.
    watches_all: bool,
    /// The list confirmation with which the unavailable workers were examined last.
    confirmed_at: Option<Micros>,
}

impl Reexamination {
    /// Notes that a worker has new evidence.
    pub(super) fn touch(&mut self, id: WorkerId) {
        self.touched.insert(id);
    }

    pub(super) fn has_touched(&self) -> bool {
        !self.touched.is_empty()
    }

    /// Examines a worker again at `at`.
    pub(super) fn schedule(&mut self, at: Micros, id: WorkerId) {
        self.schedule.insert((at, id));
    }

    pub(super) fn watches_all(&self) -> bool {
        self.watches_all
    }

    /// Schedules the expiries of all available workers, once, as the list is no longer confirmed.
    pub(super) fn watch_all(&mut self, expiries: impl Iterator<Item = (Micros, WorkerId)>) {
        if !self.watches_all {
            self.watches_all = true;
            self.schedule.extend(expiries);
        }
    }

    /// Discovery confirms the list again, so that only restricted workers can expire. They are
    /// examined once more, which schedules them anew.
    pub(super) fn stop_watching_all<'a>(&mut self, restricted: impl Iterator<Item = &'a WorkerId>) {
        if self.watches_all {
            self.watches_all = false;
            self.schedule.clear();
            self.touched.extend(restricted);
        }
    }

    /// Removes and returns the workers to be examined now.
    pub(super) fn take_due(&mut self, now: Micros) -> BTreeSet<WorkerId> {
        let mut due = std::mem::take(&mut self.touched);
        while let Some((at, id)) = self.schedule.first().copied().filter(|(at, _)| *at <= now) {
            self.schedule.remove(&(at, id));
            due.insert(id);
        }
        due
    }

    /// Whether discovery has confirmed the list since the unavailable workers were examined last.
    pub(super) fn is_newly_confirmed(&mut self, confirmed_at: Option<Micros>) -> bool {
        let is_new = confirmed_at > self.confirmed_at;
        self.confirmed_at = confirmed_at;
        is_new
    }
}
