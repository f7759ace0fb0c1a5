//! The time: the system's Unix clock, made to only move forward.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::api::Micros;

/// Where the time comes from. Tests hand in a clock of their own.
#[derive(Debug)]
pub struct Clock {
    unix: Micros,
    begun: Instant,
    last: Micros,
}

impl Clock {
    /// A clock that reads Unix time now and goes on from there without steps.
    pub fn system() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as Micros);
        Clock {
            unix,
            begun: Instant::now(),
            last: unix,
        }
    }

    /// Unix microseconds; never less than what was told before.
    pub fn now(&mut self) -> Micros {
        self.last = self
            .last
            .max(self.unix + self.begun.elapsed().as_micros() as Micros);
        self.last
    }
}
