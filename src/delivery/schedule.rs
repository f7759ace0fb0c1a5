//! When a callback is tried again.
//!
//! The default is the schedule that the Standard Webhooks specification recommends ("Deliverability and
//! reliability"): at once, then after 5 s, 5 min, 30 min, 2 h, 5 h, 10 h, 14 h, 20 h and 24 h.

use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::api::Micros;

const SECOND: Micros = 1_000_000;
/// Pauses that a schedule may hold, and the longest one.
const MOST_PAUSES: usize = 64;
const LONGEST: Micros = 7 * 86_400 * SECOND;
/// A portal's `Retry-After` is obeyed up to this.
pub const LONGEST_ADVICE: Micros = 86_400 * SECOND;
/// A pause is moved by up to this share of itself either way, so that what failed together does not come together.
const JITTER: f64 = 0.2;

/// Pauses between the attempts at one message, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    pauses: Vec<Micros>,
}

/// A schedule that cannot be used: it is empty, too long, or a pause is not between 1 ms and 7 days.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadSchedule;

impl fmt::Display for BadSchedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a schedule is 1 to {MOST_PAUSES} pauses of 0.001 s to 7 days"
        )
    }
}

impl std::error::Error for BadSchedule {}

impl Default for Schedule {
    fn default() -> Schedule {
        let hour = 3600 * SECOND;
        let hours = [2, 5, 10, 14, 20, 24].map(|h| h * hour);
        let pauses = [5 * SECOND, 300 * SECOND, 1800 * SECOND]
            .into_iter()
            .chain(hours)
            .collect();
        Schedule { pauses }
    }
}

impl Schedule {
    /// A schedule of these pauses, in seconds.
    pub fn from_seconds(pauses: &[f64]) -> Result<Schedule, BadSchedule> {
        let micros = |s: &f64| {
            let at = (s * 1e6) as Micros;
            (s.is_finite() && (1000..=LONGEST).contains(&at))
                .then_some(at)
                .ok_or(BadSchedule)
        };
        if pauses.is_empty() || pauses.len() > MOST_PAUSES {
            return Err(BadSchedule);
        }
        Ok(Schedule {
            pauses: pauses.iter().map(micros).collect::<Result<_, _>>()?,
        })
    }

    /// The schedule of a gateway that keeps callbacks in memory: 0.25 s, doubling up to 8 s, for `window` in all.
    pub fn short(window: Micros) -> Schedule {
        let mut pauses = Vec::new();
        let (mut pause, mut all) = (SECOND / 4, 0);
        while pauses.len() < MOST_PAUSES && (all + pause < window || pauses.is_empty()) {
            pauses.push(pause);
            all += pause;
            pause = (pause * 2).min(8 * SECOND);
        }
        Schedule { pauses }
    }

    /// The pauses in seconds.
    pub fn seconds(&self) -> Vec<f64> {
        self.pauses.iter().map(|p| *p as f64 / 1e6).collect()
    }

    /// How long all of it takes, without jitter.
    pub fn whole(&self) -> Micros {
        self.pauses.iter().sum()
    }

    /// The pause after so many attempts (1 and up); none when that was the last. It follows from `salt` alone, so
    /// that the same message falls due at the same time in every run. A portal's advice makes it longer, never
    /// shorter.
    pub fn pause(&self, tries: u32, salt: u64, advice: Option<Micros>) -> Option<Micros> {
        let pause = *self.pauses.get(tries.checked_sub(1)? as usize)?;
        let mut random = ChaCha8Rng::seed_from_u64(salt ^ (u64::from(tries) << 48));
        let unit = (random.next_u32() as f64 / f64::from(u32::MAX)) * 2.0 - 1.0;
        let moved = (pause as f64 * (1.0 + JITTER * unit)) as Micros;
        Some(moved.max(advice.unwrap_or(0).min(LONGEST_ADVICE)).max(1))
    }
}

/// Reads a `Retry-After` as RFC 9110 (10.2.3) has it, seconds or a date; what cannot be read advises nothing.
pub fn retry_after(value: &str, now: Micros) -> Option<Micros> {
    let value = value.trim();
    if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
        // A number too long to read is a long time.
        return Some(
            value
                .parse::<u64>()
                .map_or(Micros::MAX, |s| s.saturating_mul(SECOND)),
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
