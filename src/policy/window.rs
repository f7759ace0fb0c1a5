//! Counts and averages over recent time.

use std::collections::VecDeque;

use crate::api::Micros;

/// Instants of recent events, oldest first.
#[derive(Debug, Default)]
pub(super) struct SlidingWindow(VecDeque<Micros>);

impl SlidingWindow {
    /// Records an event.
    pub(super) fn record(&mut self, at: Micros) {
        self.0.push_back(at);
    }

    /// Drops events that are at least `span` microseconds old, and counts the rest.
    pub(super) fn count(&mut self, now: Micros, span: Micros) -> f64 {
        while self.0.front().is_some_and(|at| *at + span <= now) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }

    /// Counts the events younger than `span` microseconds without dropping any.
    pub(super) fn count_within(&self, now: Micros, span: Micros) -> usize {
        self.0
            .iter()
            .rev()
            .take_while(|at| **at + span > now)
            .count()
    }

    /// The instant of the latest event.
    pub(super) fn latest(&self) -> Option<Micros> {
        self.0.back().copied()
    }
}

/// A sum that decays exponentially between samples.
#[derive(Debug, Default)]
pub(super) struct DecayingAverage {
    value: f64,
    updated_at: Micros,
}

impl DecayingAverage {
    /// Time constants in one [`super::FCP_INTERVAL`].
    const DECAYS_PER_INTERVAL: f64 = 4.0;

    /// The value at `now`.
    pub(super) fn value(&self, now: Micros) -> f64 {
        let elapsed = (now - self.updated_at) as f64;
        self.value * (-(elapsed * Self::DECAYS_PER_INTERVAL / super::FCP_INTERVAL as f64)).exp()
    }

    /// Adds the time that a request was in flight, in microseconds. The value is then the mean
    /// number of requests in flight.
    pub(super) fn add(&mut self, now: Micros, in_flight_time: f64) {
        self.value = self.value(now)
            + in_flight_time * Self::DECAYS_PER_INTERVAL / super::FCP_INTERVAL as f64;
        self.updated_at = now;
    }
}
