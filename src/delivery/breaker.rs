//! Protects an endpoint with a circuit breaker with half-open trials, a slow start after recovery,
//! a rate limit and a retry budget.

use crate::api::Micros;

const SECOND: Micros = 1_000_000;
/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// How long the breaker stays open at first, in microseconds. Each failed trial doubles the time.
const INITIAL_OPEN_TIME: Micros = 2 * SECOND;
/// The longest time for which the breaker stays open, in microseconds.
const MAX_OPEN_TIME: Micros = 300 * SECOND;
/// Retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Retries that each second adds to the budget, so that an endpoint without recent successes can
/// be retried.
const RETRIES_PER_S: f64 = 1.0;
/// The largest number of retries in the budget.
const MAX_BUDGETED_RETRIES: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakerState {
    Closed,
    /// No attempt is allowed before `until`.
    Open {
        until: Micros,
    },
    /// One trial is in flight.
    Trial,
}

/// The circuit breaker and the slow start of one endpoint.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: BreakerState,
    /// Number of failures since the last success.
    consecutive_failures: u32,
    /// How long the breaker opens next time, in microseconds.
    open_time: Micros,
    /// Attempts allowed in flight while the endpoint recovers; none once it has recovered.
    slow_start_limit: Option<u32>,
    failing_since: Option<Micros>,
}

impl Default for CircuitBreaker {
    fn default() -> CircuitBreaker {
        CircuitBreaker {
            state: BreakerState::Closed,
            consecutive_failures: 0,
            open_time: INITIAL_OPEN_TIME,
            slow_start_limit: None,
            failing_since: None,
        }
    }
}

impl CircuitBreaker {
    /// Returns how many attempts may be in flight, `limit` at most. If no attempt is allowed yet,
    /// the error is the time from which attempts are allowed.
    pub fn attempts_allowed(&self, now: Micros, limit: u32) -> Result<u32, Micros> {
        match self.state {
            BreakerState::Open { until } if now < until => Err(until),
            BreakerState::Open { .. } | BreakerState::Trial => Ok(1.min(limit)),
            BreakerState::Closed => Ok(self.slow_start_limit.map_or(limit, |r| r.min(limit))),
        }
    }

    /// Records that an attempt is sent. The first one after the open time is the trial.
    pub fn sent(&mut self, now: Micros) {
        if matches!(self.state, BreakerState::Open { until } if now >= until) {
            self.state = BreakerState::Trial;
        }
    }

    /// Records a delivered attempt. A successful trial closes the breaker and begins the slow
    /// start.
    pub fn succeeded(&mut self, limit: u32) {
        (self.consecutive_failures, self.failing_since) = (0, None);
        match self.state {
            BreakerState::Trial => {
                (self.state, self.open_time, self.slow_start_limit) =
                    (BreakerState::Closed, INITIAL_OPEN_TIME, Some(2));
            }
            // Only a trial closes the breaker. A late answer to an attempt that was sent before the
            // breaker opened does not.
            BreakerState::Open { .. } => {}
            BreakerState::Closed => {
                self.slow_start_limit = self
                    .slow_start_limit
                    .map(|r| r.saturating_add(1))
                    .filter(|r| *r < limit)
            }
        }
    }

    /// Records an attempt that failed because of the endpoint. A Retry-After keeps the breaker open
    /// for that time, up to the maximum.
    pub fn failed(&mut self, now: Micros, retry_after: Option<Micros>) {
        self.consecutive_failures += 1;
        self.failing_since.get_or_insert(now);
        self.slow_start_limit = self.slow_start_limit.map(|r| (r / 2).max(1));
        match self.state {
            BreakerState::Trial => {
                self.open_time = (self.open_time * 2).min(MAX_OPEN_TIME);
                self.state = BreakerState::Open {
                    until: now + self.open_time,
                };
            }
            BreakerState::Closed if self.consecutive_failures >= FAILURES_TO_OPEN => {
                self.state = BreakerState::Open {
                    until: now + self.open_time,
                };
            }
            _ => {}
        }
        if let Some(retry_after) = retry_after {
            let open_until = match self.state {
                BreakerState::Open { until } => until,
                _ => 0,
            };
            self.state = BreakerState::Open {
                until: open_until.max(now + retry_after.min(MAX_OPEN_TIME)),
            };
        }
    }

    /// Records an attempt that ended before it reached the endpoint. If the attempt was the
    /// trial, another trial may be sent.
    pub fn attempt_void(&mut self, now: Micros) {
        if self.state == BreakerState::Trial {
            self.state = BreakerState::Open { until: now };
        }
    }

    /// Returns when the current run of failures began; none if the last attempt succeeded.
    pub fn failing_since(&self) -> Option<Micros> {
        self.failing_since
    }

    /// Returns the name of the state that operators see.
    pub fn name(&self) -> &'static str {
        match self.state {
            BreakerState::Open { .. } => "open",
            BreakerState::Trial => "half_open",
            BreakerState::Closed if self.slow_start_limit.is_some() => "recovering",
            BreakerState::Closed => "closed",
        }
    }
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    /// When `tokens` was last updated.
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_s: f64, burst: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            per_s,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Succeeds if a token is available. Otherwise the error is the time of the next token.
    pub fn ready(&mut self, now: Micros) -> Result<(), Micros> {
        self.refill(now);
        if self.tokens >= 1.0 {
            return Ok(());
        }
        Err(now
            + ((1.0 - self.tokens) / self.per_s * 1e6)
                .ceil()
                .clamp(1.0, 1e12) as Micros)
    }

    /// Takes a token.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds a part of a token.
    fn add(&mut self, part: f64) {
        self.tokens = (self.tokens + part).min(self.burst);
    }

    /// Changes the rate and the burst. Unused tokens stay, up to the burst.
    pub fn change(&mut self, per_s: f64, burst: f64) {
        (self.per_s, self.burst, self.tokens) = (per_s, burst, self.tokens.min(burst));
    }
}

/// Retry budget, which keeps the retries of waiting messages from overloading an endpoint that
/// recovers.
#[derive(Clone, Debug)]
pub struct RetryBudget(TokenBucket);

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Micros) -> RetryBudget {
        RetryBudget(TokenBucket::new(RETRIES_PER_S, MAX_BUDGETED_RETRIES, now))
    }

    /// Succeeds if a retry may be sent. Otherwise the error is the time from which a retry may.
    pub fn ready(&mut self, now: Micros) -> Result<(), Micros> {
        self.0.ready(now)
    }

    /// Deducts a retry.
    pub fn take(&mut self) {
        self.0.take()
    }

    /// Adds the share of a retry that a delivered attempt is worth.
    pub fn add_success(&mut self) {
        self.0.add(RETRIES_PER_SUCCESS)
    }
}

#[cfg(test)]
mod tests;
