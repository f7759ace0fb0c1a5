//! A monotonic Unix clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::api::Micros;

/// A Unix clock that never goes backward. It reads the system clock once and then advances with the monotonic clock, so
/// that a step of the system clock does not move deadlines.
#[derive(Debug)]
pub struct Clock {
    started_unix: Micros,
    started_at: Instant,
    last_reading: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
    pub fn system() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros() as Micros);
        Clock {
            started_unix: unix,
            started_at: Instant::now(),
            last_reading: unix,
        }
    }

    /// Returns the Unix time in microseconds; never less than an earlier reading.
    pub fn now(&mut self) -> Micros {
        let elapsed = self.started_at.elapsed().as_micros() as Micros;
        self.last_reading = self.last_reading.max(self.started_unix + elapsed);
        self.last_reading
    }

    /// Returns the difference between the system clock and this one in microseconds, which changes
    /// when the system clock is set.
    pub fn system_offset(&mut self) -> i64 {
        let system = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros() as i64);
        system - self.now() as i64
    }
}
