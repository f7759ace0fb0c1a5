//! Protects an endpoint: a circuit breaker with half-open trials, a slow start after recovery,
//! a rate, and a budget for attempts that are not first ones.

use crate::api::Micros;

const SECOND: Micros = 1_000_000;
/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// How long it stays open at first, in microseconds. Each trial that fails doubles it.
const INITIAL_OPEN_TIME: Micros = 2 * SECOND;
/// The longest time for which it stays open, in microseconds.
const MAX_OPEN_TIME: Micros = 300 * SECOND;
/// Retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Retries that each second adds to the budget, so that a quiet endpoint gets retries as well.
const RETRIES_PER_S: f64 = 1.0;
/// The largest budget.
const MAX_SAVED_RETRIES: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakerState {
    Closed,
    /// No attempt is allowed until then.
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
    failures: u32,
    pause: Micros,
    /// The attempts allowed in flight while the endpoint recovers.
    ramp: Option<u32>,
    failing_since: Option<Micros>,
}

impl Default for CircuitBreaker {
    fn default() -> CircuitBreaker {
        CircuitBreaker {
            state: BreakerState::Closed,
            failures: 0,
            pause: INITIAL_OPEN_TIME,
            ramp: None,
            failing_since: None,
        }
    }
}

impl CircuitBreaker {
    /// How many attempts may be in flight, `limit` at most. An error is the instant before which
    /// none may be.
    pub fn attempts_allowed(&self, now: Micros, limit: u32) -> Result<u32, Micros> {
        match self.state {
            BreakerState::Open { until } if now < until => Err(until),
            BreakerState::Open { .. } | BreakerState::Trial => Ok(1.min(limit)),
            BreakerState::Closed => Ok(self.ramp.map_or(limit, |r| r.min(limit))),
        }
    }

    /// An attempt is sent.
    pub fn sent(&mut self, now: Micros) {
        if matches!(self.state, BreakerState::Open { until } if now >= until) {
            self.state = BreakerState::Trial;
        }
    }

    /// An attempt was delivered.
    pub fn succeeded(&mut self, limit: u32) {
        (self.failures, self.failing_since) = (0, None);
        match self.state {
            BreakerState::Trial => {
                (self.state, self.pause, self.ramp) =
                    (BreakerState::Closed, INITIAL_OPEN_TIME, Some(2));
            }
            // A late answer to an attempt from before it opened does not close it; only a trial does.
            BreakerState::Open { .. } => {}
            BreakerState::Closed => {
                self.ramp = self
                    .ramp
                    .map(|r| r.saturating_add(1))
                    .filter(|r| *r < limit)
            }
        }
    }

    /// An attempt failed because of the endpoint. Its Retry-After keeps the breaker open for that
    /// long.
    pub fn failed(&mut self, now: Micros, retry_after: Option<Micros>) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.ramp = self.ramp.map(|r| (r / 2).max(1));
        match self.state {
            BreakerState::Trial => {
                self.pause = (self.pause * 2).min(MAX_OPEN_TIME);
                self.state = BreakerState::Open {
                    until: now + self.pause,
                };
            }
            BreakerState::Closed if self.failures >= FAILURES_TO_OPEN => {
                self.state = BreakerState::Open {
                    until: now + self.pause,
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

    /// An attempt ended before it reached the endpoint. If it was the trial, another may be sent.
    pub fn attempt_void(&mut self, now: Micros) {
        if self.state == BreakerState::Trial {
            self.state = BreakerState::Open { until: now };
        }
    }

    /// Since when every attempt has failed. None if the last one did not fail.
    pub fn failing_since(&self) -> Option<Micros> {
        self.failing_since
    }

    /// The name of its state, as operators see it.
    pub fn name(&self) -> &'static str {
        match self.state {
            BreakerState::Open { .. } => "open",
            BreakerState::Trial => "half_open",
            BreakerState::Closed if self.ramp.is_some() => "recovering",
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
    at: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_s: f64, burst: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            per_s,
            burst,
            tokens: burst,
            at: now,
        }
    }

    fn fill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.per_s).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Succeeds if there is a token. An error is the instant at which there is one.
    pub fn ready(&mut self, now: Micros) -> Result<(), Micros> {
        self.fill(now);
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

    /// Sets another rate and burst. Saved tokens stay, up to the burst.
    pub fn change(&mut self, per_s: f64, burst: f64) {
        (self.per_s, self.burst, self.tokens) = (per_s, burst, self.tokens.min(burst));
    }
}

/// The budget for retries, so that an endpoint that recovers is not overloaded by waiting
/// messages.
#[derive(Clone, Debug)]
pub struct RetryBudget(TokenBucket);

impl RetryBudget {
    /// A full budget.
    pub fn new(now: Micros) -> RetryBudget {
        RetryBudget(TokenBucket::new(RETRIES_PER_S, MAX_SAVED_RETRIES, now))
    }

    /// Succeeds if a retry may be sent. An error is the instant at which one may.
    pub fn ready(&mut self, now: Micros) -> Result<(), Micros> {
        self.0.ready(now)
    }

    /// A retry is sent.
    pub fn take(&mut self) {
        self.0.take()
    }

    /// A delivered attempt adds to the budget.
    pub fn earn(&mut self) {
        self.0.add(RETRIES_PER_SUCCESS)
    }
}

#[cfg(test)]
mod tests;
