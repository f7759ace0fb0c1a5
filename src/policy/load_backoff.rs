//! Pauses of load orders after a worker rejected some.
//!
//! Without a pause, a rejected order would be repeated at once: the request that needs the load is
//! still queued, and the same worker is still next in the order.

use std::collections::BTreeMap;

use super::loads::CopyKey;
use crate::api::{Micros, Outcome, WorkerId};

/// The pause for one function after the first failed order, in microseconds. It doubles with each
/// further failure.
const INITIAL_FUNCTION_PAUSE: Micros = 250_000;
/// The maximum of this pause, in microseconds.
const MAX_FUNCTION_PAUSE: Micros = 8_000_000;
/// The pause for all functions after the second consecutive rejection, in microseconds. It doubles
/// with each further rejection.
const INITIAL_WORKER_PAUSE: Micros = 100_000;
/// The maximum of this pause, in microseconds.
const MAX_WORKER_PAUSE: Micros = 2_000_000;
/// The number of consecutive rejected load orders, for any functions, at which all load orders to a
/// worker are paused.
const MAX_WORKER_REJECTIONS: u32 = 2;

/// Number of consecutive failures, and the end of the pause.
#[derive(Debug, Default, Clone, Copy)]
struct Backoff {
    failures: u32,
    until: Micros,
}

impl Backoff {
    /// Records a failure. After the first `free_failures` failures, each sets a pause:
    /// `initial_pause`, doubled with each further failure, up to `max_pause`.
    fn record_failure(
        &mut self,
        now: Micros,
        free_failures: u32,
        initial_pause: Micros,
        max_pause: Micros,
    ) {
        self.failures = self.failures.saturating_add(1);
        if self.failures > free_failures {
            let doublings = (self.failures - free_failures - 1).min(16);
            self.until = now + (initial_pause << doublings).min(max_pause);
        }
    }
}

/// The pauses of all workers. An entry is removed with the first successful load, or long after its
/// pause has ended.
#[derive(Debug, Default)]
pub(super) struct LoadBackoffs {
    copies: BTreeMap<CopyKey, Backoff>,
    workers: BTreeMap<WorkerId, Backoff>,
}

impl LoadBackoffs {
    /// Whether load orders for the function are paused at the worker.
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

    /// Records the end of a load order.
    pub(super) fn on_order_ended(&mut self, now: Micros, key: CopyKey, outcome: Outcome) {
        match outcome {
            Outcome::Ok => {
                self.copies.remove(&key);
                self.workers.remove(&key.worker);
            }
            Outcome::Rejected => {
                self.record_copy_failure(now, key);
                self.workers.entry(key.worker).or_default().record_failure(
                    now,
                    MAX_WORKER_REJECTIONS - 1,
                    INITIAL_WORKER_PAUSE,
                    MAX_WORKER_PAUSE,
                );
            }
            Outcome::Error
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::NotSent
            | Outcome::Timeout
            | Outcome::Cancelled
            | Outcome::Miss => self.record_copy_failure(now, key),
        }
    }

    fn record_copy_failure(&mut self, now: Micros, key: CopyKey) {
        self.copies.entry(key).or_default().record_failure(
            now,
            0,
            INITIAL_FUNCTION_PAUSE,
            MAX_FUNCTION_PAUSE,
        );
    }

    /// Forgets the pauses of a worker with a new process: the rejections came from the old one.
    pub(super) fn forget_worker(&mut self, worker: WorkerId) {
        let keys: Vec<CopyKey> = self
            .copies
            .range(CopyKey::all_of(worker))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.copies.remove(&key);
        }
        self.workers.remove(&worker);
    }

    /// Forgets pauses that ended long ago.
    pub(super) fn forget_outdated(&mut self, now: Micros) {
        self.copies
            .retain(|_, backoff| now < backoff.until + MAX_FUNCTION_PAUSE);
        self.workers
            .retain(|_, backoff| now < backoff.until + MAX_FUNCTION_PAUSE);
    }
}
