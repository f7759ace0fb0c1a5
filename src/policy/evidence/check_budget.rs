//! How many health checks this instance may start: its part of what all instances together may ask
//! of a worker.

use crate::api::Micros;

/// Health checks a second at one worker, from all instances together. A check takes a worker half a
/// millisecond at most, so these take less than a hundredth of one of its cores.
const CHECKS_PER_WORKER_PER_S: f64 = 4.0;
/// The least rate of one instance, so that one among very many can still find a worker.
const MIN_CHECKS_PER_S: f64 = 0.5;
/// How much of a second's checks may be started at once.
const BURST_S: f64 = 0.5;
/// The least burst: a call that finds all workers in doubt is worth a check of two.
const MIN_BURST: f64 = 2.0;
/// The longest time for which an instance leaves such a worker alone, in fleets of any size.
const MAX_RETRY_INTERVAL: Micros = 10_000_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket of health checks.
#[derive(Debug)]
pub(super) struct CheckBudget {
    instances: f64,
    tokens: f64,
    updated_at: Micros,
}

impl CheckBudget {
    pub(super) fn new(instances: u32, now: Micros) -> CheckBudget {
        CheckBudget {
            instances: f64::from(instances.max(1)),
            tokens: MIN_BURST,
            updated_at: now,
        }
    }

    /// Adds what has come together since the last call, with so many workers to check.
    pub(super) fn refill(&mut self, now: Micros, workers: usize) {
        let rate =
            (CHECKS_PER_WORKER_PER_S * workers as f64 / self.instances).max(MIN_CHECKS_PER_S);
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.updated_at = self.updated_at.max(now);
        let burst = (rate * BURST_S).max(MIN_BURST);
        self.tokens = (self.tokens + rate * elapsed_s).min(burst);
    }

    /// How long this instance leaves a worker alone whose check failed, as all others may find the same.
    pub(super) fn retry_interval(&self) -> Micros {
        let fair_s = self.instances / CHECKS_PER_WORKER_PER_S;
        ((fair_s * MICROS_PER_SECOND) as Micros).min(MAX_RETRY_INTERVAL)
    }

    /// Whether a check is left.
    pub(super) fn has_check(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one check if there is one left.
    pub(super) fn take(&mut self) -> bool {
        let has_check = self.has_check();
        if has_check {
            self.tokens -= 1.0;
        }
        has_check
    }
}
