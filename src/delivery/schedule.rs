//! Retry schedule of callbacks.
//!
//! The default is the schedule that the Standard Webhooks specification recommends ("Deliverability
//! and reliability"): at once, then after 5 s, 5 min, 30 min, 2 h, 5 h, 10 h, 14 h, 20 h and 24 h.

use std::time::{Duration, UNIX_EPOCH};

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::api::Micros;

const MICROS_PER_SECOND: Micros = 1_000_000;
/// Maximum number of pauses of a schedule.
const MAX_PAUSES: usize = 64;
/// The longest pause, in microseconds.
const MAX_PAUSE: Micros = 7 * 86_400 * MICROS_PER_SECOND;
/// Upper bound on the `Retry-After` of an endpoint, in microseconds.
pub const MAX_RETRY_AFTER: Micros = 86_400 * MICROS_PER_SECOND;
/// Largest change of a pause by jitter, as a share of the pause. Jitter spreads the retries of
/// messages that failed together.
const JITTER: f64 = 0.2;

/// Pauses between the attempts at one message, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    pauses: Vec<Micros>,
}

/// Invalid schedule. The operator must correct the configuration or the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// The schedule is empty or too long, or a pause is not between 1 ms and 7 days.
    #[error("a schedule is 1 to {MAX_PAUSES} pauses of 0.001 s to 7 days")]
    OutOfRange,
}

impl Default for Schedule {
    fn default() -> Schedule {
        let hour = 3600 * MICROS_PER_SECOND;
        let hours = [2, 5, 10, 14, 20, 24].map(|h| h * hour);
        let pauses = [
            5 * MICROS_PER_SECOND,
            300 * MICROS_PER_SECOND,
            1800 * MICROS_PER_SECOND,
        ]
        .into_iter()
        .chain(hours)
        .collect();
        Schedule { pauses }
    }
}

impl Schedule {
    /// Creates a schedule of pauses in seconds.
    pub fn from_seconds(pauses: &[f64]) -> Result<Schedule, ScheduleError> {
        let micros = |s: &f64| {
            let at = (s * 1e6) as Micros;
            (s.is_finite() && (1000..=MAX_PAUSE).contains(&at))
                .then_some(at)
                .ok_or(ScheduleError::OutOfRange)
        };
        if pauses.is_empty() || pauses.len() > MAX_PAUSES {
            return Err(ScheduleError::OutOfRange);
        }
        Ok(Schedule {
            pauses: pauses.iter().map(micros).collect::<Result<_, _>>()?,
        })
    }

    /// Creates the schedule of a gateway without a store: 0.25 s, doubling up to 8 s, less than
    /// `window` microseconds in total, but at least one pause.
    pub fn short(window: Micros) -> Schedule {
        let mut pauses = Vec::new();
        let (mut pause, mut total) = (MICROS_PER_SECOND / 4, 0);
        while pauses.len() < MAX_PAUSES && (total + pause < window || pauses.is_empty()) {
            pauses.push(pause);
            total += pause;
            pause = (pause * 2).min(8 * MICROS_PER_SECOND);
        }
        Schedule { pauses }
    }

    /// Returns the pauses in seconds.
    pub fn seconds(&self) -> Vec<f64> {
        self.pauses.iter().map(|p| *p as f64 / 1e6).collect()
    }

    /// Returns the sum of the pauses, without jitter, in microseconds.
    pub fn total(&self) -> Micros {
        self.pauses.iter().sum()
    }

    /// Returns the pause after this number of attempts, from 1; none after the last. The jitter
    /// depends only on `jitter_seed` and the number, so that every run computes the same due time.
    /// The endpoint's Retry-After can only lengthen the pause.
    pub fn pause(
        &self,
        attempts: u32,
        jitter_seed: u64,
        retry_after: Option<Micros>,
    ) -> Option<Micros> {
        let pause = *self.pauses.get(attempts.checked_sub(1)? as usize)?;
        let mut random = ChaCha8Rng::seed_from_u64(jitter_seed ^ (u64::from(attempts) << 48));
        let unit = (random.next_u32() as f64 / f64::from(u32::MAX)) * 2.0 - 1.0;
        let with_jitter = (pause as f64 * (1.0 + JITTER * unit)) as Micros;
        Some(
            with_jitter
                .max(retry_after.unwrap_or(0).min(MAX_RETRY_AFTER))
                .max(1),
        )
    }
}

/// Parses a `Retry-After` field (RFC 9110, 10.2.3), seconds or a date, as a duration from now in
/// microseconds. Returns none for an invalid value.
pub fn retry_after(value: &str, now: Micros) -> Option<Micros> {
    let value = value.trim();
    if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
        // A number too large for the type counts as the maximum.
        return Some(
            value
                .parse::<u64>()
                .map_or(Micros::MAX, |s| s.saturating_mul(MICROS_PER_SECOND)),
        );
    }
    let at = httpdate::parse_http_date(value)
        .ok()?
        .duration_since(UNIX_EPOCH)
        .ok()?;
    Some(at.saturating_sub(Duration::from_micros(now)).as_micros() as Micros)
}

#[cfg(test)]
mod tests;
