//! How long a worker gets no load orders after it rejected some.
//!
//! Without a pause, a rejected order is given again at once: the request that waits for the load is
//! still queued, and its worker still the next in the order.

use std::collections::BTreeMap;

use super::loads::CopyKey;
use crate::api::{Micros, Outcome, WorkerId};

/// The pause for one function after the first order that failed; it doubles with each further one.
const COPY_PAUSE: Micros = 250_000;
/// The longest such pause.
const MAX_COPY_PAUSE: Micros = 8_000_000;
/// The pause for all functions after the second rejection in a row; it doubles with each further one.
const WORKER_PAUSE: Micros = 100_000;
/// The longest such pause.
const MAX_WORKER_PAUSE: Micros = 2_000_000;
/// Rejections in a row, of any functions, that a worker may give before it is left alone altogether.
const MAX_WORKER_REJECTIONS: u32 = 2;

/// Failures in a row, and until when there is a pause.
#[derive(Debug, Default, Clone, Copy)]
struct Backoff {
    failures: u32,
    until: Micros,
}

impl Backoff {
    /// A failure; the pause is `first`, doubled with each failure after so many that are free, up to `max`.
    fn fail(&mut self, now: Micros, free: u32, first: Micros, max: Micros) {
        self.failures = self.failures.saturating_add(1);
        if self.failures > free {
            let doublings = (self.failures - free - 1).min(16);
            self.until = now + (first << doublings).min(max);
        }
    }
}

/// The pauses of all workers. An entry goes with the first load that stands, or once its pause is long over.
#[derive(Debug, Default)]
pub(super) struct LoadBackoffs {
    copies: BTreeMap<CopyKey, Backoff>,
    workers: BTreeMap<WorkerId, Backoff>,
}

impl LoadBackoffs {
    /// Whether a worker gets no order for this function now.
    pub(super) fn is_paused(&self, now: Micros, key: CopyKey) -> bool {
        if self.copies.is_empty() {
            return false;
        }
        let copy_until = self.copies.get(&key).map_or(0, |backoff| backoff.until);
        let worker_until = self
            .workers
            .get(&key.worker)
            .map_or(0, |backoff| backoff.until);
        now < copy_until.max(worker_until)
    }

    /// An order has ended.
    pub(super) fn on_order_ended(&mut self, now: Micros, key: CopyKey, outcome: Outcome) {
        match outcome {
            Outcome::Ok => {
                self.copies.remove(&key);
                self.workers.remove(&key.worker);
            }
            Outcome::Rejected => {
                self.fail_copy(now, key);
                self.workers.entry(key.worker).or_default().fail(
                    now,
                    MAX_WORKER_REJECTIONS - 1,
                    WORKER_PAUSE,
                    MAX_WORKER_PAUSE,
                );
            }
            Outcome::Error
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::NotSent
            | Outcome::Timeout
            | Outcome::Cancelled
            | Outcome::Miss => self.fail_copy(now, key),
        }
    }

    fn fail_copy(&mut self, now: Micros, key: CopyKey) {
        self.copies
            .entry(key)
            .or_default()
            .fail(now, 0, COPY_PAUSE, MAX_COPY_PAUSE);
    }

    /// A worker's process is a new one: what the old one rejected says nothing of it.
    pub(super) fn forget_worker(&mut self, worker: WorkerId) {
        self.copies.retain(|key, _| key.worker != worker);
        self.workers.remove(&worker);
    }

    /// Forgets pauses that have been over for long.
    pub(super) fn forget_outdated(&mut self, now: Micros) {
        self.copies
            .retain(|_, backoff| now < backoff.until + MAX_COPY_PAUSE);
        self.workers
            .retain(|_, backoff| now < backoff.until + MAX_COPY_PAUSE);
    }
}
