//! What an endpoint can bear: a circuit breaker with half-open trials, a slow start after recovery, a rate, and a
//! budget for attempts that are not first ones.

use crate::api::Micros;

const SECOND: Micros = 1_000_000;
/// Failures in a row that open the breaker.
const FAILURES: u32 = 5;
/// How long it stays open at first; doubled by each trial that fails, up to the longest.
const FIRST_OPEN: Micros = 2 * SECOND;
const LONGEST_OPEN: Micros = 300 * SECOND;
/// Repeats earn this share of an attempt with each success ...
const EARNED: f64 = 0.2;
/// ... and this much a second, so that a quiet endpoint's repeats go out as well; no more than this is saved up.
const EARNED_PER_S: f64 = 1.0;
const MOST_SAVED: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    /// Lets nothing through until then.
    Open {
        until: Micros,
    },
    /// One trial is out.
    Trial,
}

/// The breaker and the slow start of one endpoint.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    failures: u32,
    pause: Micros,
    /// Attempts that may be out at once while it recovers; none when it has.
    ramp: Option<u32>,
    failing_since: Option<Micros>,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker {
            state: State::Closed,
            failures: 0,
            pause: FIRST_OPEN,
            ramp: None,
            failing_since: None,
        }
    }
}

impl Breaker {
    /// How many attempts may be out at once, of `limit`, with the time from which that holds: a time that has not
    /// come means none before it.
    pub fn room(&self, now: Micros, limit: u32) -> Result<u32, Micros> {
        match self.state {
            State::Open { until } if now < until => Err(until),
            State::Open { .. } | State::Trial => Ok(1.min(limit)),
            State::Closed => Ok(self.ramp.map_or(limit, |r| r.min(limit))),
        }
    }

    /// An attempt leaves.
    pub fn sent(&mut self, now: Micros) {
        if matches!(self.state, State::Open { until } if now >= until) {
            self.state = State::Trial;
        }
    }

    /// An attempt was answered well.
    pub fn succeeded(&mut self, limit: u32) {
        (self.failures, self.failing_since) = (0, None);
        match self.state {
            State::Trial => {
                (self.state, self.pause, self.ramp) = (State::Closed, FIRST_OPEN, Some(2));
            }
            // The late answer of an attempt from before it opened proves nothing of now; the trial does.
            State::Open { .. } => {}
            State::Closed => {
                self.ramp = self
                    .ramp
                    .map(|r| r.saturating_add(1))
                    .filter(|r| *r < limit)
            }
        }
    }

    /// An attempt failed in a way that speaks of the endpoint. `advice` holds back all of it until then.
    pub fn failed(&mut self, now: Micros, advice: Option<Micros>) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.ramp = self.ramp.map(|r| (r / 2).max(1));
        match self.state {
            State::Trial => {
                self.pause = (self.pause * 2).min(LONGEST_OPEN);
                self.state = State::Open {
                    until: now + self.pause,
                };
            }
            State::Closed if self.failures >= FAILURES => {
                self.state = State::Open {
                    until: now + self.pause,
                };
            }
            _ => {}
        }
        if let Some(advice) = advice {
            let held = match self.state {
                State::Open { until } => until,
                _ => 0,
            };
            self.state = State::Open {
                until: held.max(now + advice.min(LONGEST_OPEN)),
            };
        }
    }

    /// An attempt ended that proves nothing, as it never got that far: a trial is free again.
    pub fn proved_nothing(&mut self, now: Micros) {
        if self.state == State::Trial {
            self.state = State::Open { until: now };
        }
    }

    /// Since when every attempt has failed; none if the last one did not.
    pub fn failing_since(&self) -> Option<Micros> {
        self.failing_since
    }

    /// Its state in a word.
    pub fn name(&self) -> &'static str {
        match self.state {
            State::Open { .. } => "open",
            State::Trial => "half_open",
            State::Closed if self.ramp.is_some() => "recovering",
            State::Closed => "closed",
        }
    }
}

/// A token bucket; as many as `burst` tokens are saved up.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    at: Micros,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_s: f64, burst: f64, now: Micros) -> Bucket {
        Bucket {
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

    /// Whether a token is there, or when one is.
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

    /// Adds a part of one.
    fn add(&mut self, part: f64) {
        self.tokens = (self.tokens + part).min(self.burst);
    }

    /// Another rate and burst; what is saved up stays, within the burst.
    pub fn change(&mut self, per_s: f64, burst: f64) {
        (self.per_s, self.burst, self.tokens) = (per_s, burst, self.tokens.min(burst));
    }
}

/// The budget for attempts that are not first ones: a portal that comes back is not run over by what has waited.
#[derive(Clone, Debug)]
pub struct Budget(Bucket);

impl Budget {
    /// A full one.
    pub fn new(now: Micros) -> Budget {
        Budget(Bucket::new(EARNED_PER_S, MOST_SAVED, now))
    }

    /// Whether a repeat may go, or when.
    pub fn ready(&mut self, now: Micros) -> Result<(), Micros> {
        self.0.ready(now)
    }

    /// A repeat leaves.
    pub fn take(&mut self) {
        self.0.take()
    }

    /// A success earns some.
    pub fn earn(&mut self) {
        self.0.add(EARNED)
    }
}

#[cfg(test)]
mod tests;
