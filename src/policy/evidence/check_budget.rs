//! The budget of health checks of this instance: its share of the checks that all instances
//! together may send to a worker.

use crate::api::Micros;

/// Health checks per second at one worker from all instances. A check takes at most half a
/// millisecond of worker time, so these take less than a hundredth of one of its cores.
const CHECKS_PER_WORKER_PER_S: f64 = 4.0;
/// The minimum rate of one instance, so that one of very many instances can still find a worker.
const MIN_CHECKS_PER_S: f64 = 0.5;
/// The burst, in seconds' worth of checks.
const BURST_S: f64 = 0.5;
/// The minimum burst: a call that finds all workers doubted justifies checks of two.
const MIN_BURST: f64 = 2.0;
/// The maximum interval before an instance checks a failed worker again, in fleets of any size.
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

    /// Adds the checks accrued since the last call, for the given number of workers.
    pub(super) fn refill(&mut self, now: Micros, workers: usize) {
        let rate =
            (CHECKS_PER_WORKER_PER_S * workers as f64 / self.instances).max(MIN_CHECKS_PER_S);
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.updated_at = self.updated_at.max(now);
        let burst = (rate * BURST_S).max(MIN_BURST);
        self.tokens = (self.tokens + rate * elapsed_s).min(burst);
    }

    /// The interval before this instance checks a worker again after a failed check, as all other
    /// instances may see the same failure.
    pub(super) fn retry_interval(&self) -> Micros {
        let fair_interval_s = self.instances / CHECKS_PER_WORKER_PER_S;
        ((fair_interval_s * MICROS_PER_SECOND) as Micros).min(MAX_RETRY_INTERVAL)
    }

    /// Whether the budget allows a check.
    pub(super) fn has_check(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one check from the budget, if available.
    pub(super) fn take(&mut self) -> bool {
        let has_check = self.has_check();
        if has_check {
            self.tokens -= 1.0;
        }
        has_check
    }
}
