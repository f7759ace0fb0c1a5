//! The time: the system's Unix clock, made to only move forward.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::api::Micros;

/// The source of the time. It reads the system's clock once and then counts on with the monotonic clock, so that a
/// step of the system's clock moves no deadline.
#[derive(Debug)]
pub struct Clock {
    started_unix: Micros,
    started_at: Instant,
    last_reading: Micros,
}

impl Clock {
    /// A clock that reads Unix time now and goes on from there without steps.
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

    /// Unix time in microseconds; never less than an earlier reading.
    pub fn now(&mut self) -> Micros {
        let elapsed = self.started_at.elapsed().as_micros() as Micros;
        self.last_reading = self.last_reading.max(self.started_unix + elapsed);
        self.last_reading
    }
}
