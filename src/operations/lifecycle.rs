//! The gateway's lifecycle (starting, serving, draining, shutting down) and its effect on
//! connections.
//!
//! Every listener and connection consults this state. Draining and shutdown are independent: a call
//! for either may come at any time, in any order and more than once, and only shutdown is final.

use crate::api::Micros;

/// How long connections are accepted after SIGTERM, in microseconds, if no sibling process accepts
/// them: clients connect for 0.4 s more, and send requests for another 0.2 s.
pub const SHUTDOWN_ACCEPT_WINDOW: Micros = 900_000;
/// How much longer connections are accepted that wait in the listener's backlog, in microseconds.
const BACKLOG_WINDOW: Micros = 1_000_000;
/// While the gateway drains, idle connections are closed one after the other between these two
/// times after the drain begins, in microseconds. Clients connect for 0.3 s at most.
const DRAIN_CLOSE_FROM: Micros = 300_000;
const DRAIN_CLOSE_UNTIL: Micros = 1_500_000;
/// The same after SIGTERM if a sibling process has taken over. Requests that come before the second
/// time are answered before the process is killed.
const HANDOVER_CLOSE_FROM: Micros = 50_000;
const HANDOVER_CLOSE_UNTIL: Micros = 600_000;
/// How long a connection that is accepted while the gateway drains has for its first request, in
/// microseconds.
const DRAIN_FIRST_REQUEST_TIMEOUT: Micros = 500_000;

/// The gateway's lifecycle state.
#[derive(Debug, Default)]
pub struct Lifecycle {
    started: bool,
    /// The start of the drain.
    draining_since: Option<Micros>,
    /// The start of the shutdown, and true if a sibling process accepts connections.
    shutdown: Option<(Micros, bool)>,
}

impl Lifecycle {
    /// Marks the gateway as able to serve.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Begins to drain. Returns false if the gateway is draining already.
    pub fn begin_draining(&mut self, now: Micros) -> bool {
        let new = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        new
    }

    /// Ends the drain. A shutdown is not affected.
    pub fn resume(&mut self) {
        self.draining_since = None;
    }

    /// Begins to shut down. `taken_over` is true if a sibling process accepts connections from
    /// now on. Returns false if the shutdown has begun already.
    pub fn begin_shutdown(&mut self, now: Micros, taken_over: bool) -> bool {
        let new = self.shutdown.is_none();
        self.shutdown.get_or_insert((now, taken_over));
        new
    }

    /// Returns true once the gateway can serve.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Returns true if the gateway reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.started && self.draining_since.is_none() && self.shutdown.is_none()
    }

    /// Returns true while the gateway drains.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns true once the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns true if connections are accepted. A draining gateway still accepts connections, as
    /// clients may not have noticed the drain yet.
    pub fn accepts(&self, now: Micros) -> bool {
        match self.shutdown {
            None => self.started,
            Some((since, taken_over)) => {
                self.started && !taken_over && now < since + SHUTDOWN_ACCEPT_WINDOW
            }
        }
    }

    /// Returns true if connections in the listener's backlog are still accepted, as no sibling
    /// process accepts them. They are for `BACKLOG_WINDOW` after the accept window.
    pub fn accepts_backlog(&self, now: Micros) -> bool {
        self.started
            && self.shutdown.is_some_and(|(since, taken_over)| {
                !taken_over && now < since + SHUTDOWN_ACCEPT_WINDOW + BACKLOG_WINDOW
            })
    }

    /// The time at which accepting ends, once the shutdown has begun.
    pub fn accepts_until(&self) -> Option<Micros> {
        self.shutdown.map(|(since, taken_over)| {
            if taken_over {
                since
            } else {
                since + SHUTDOWN_ACCEPT_WINDOW
            }
        })
    }

    /// Returns true if a connection stays open after its response.
    pub fn keeps_alive(&self, now: Micros) -> bool {
        self.draining_since.is_none()
            && match self.shutdown {
                None => true,
                Some((since, taken_over)) => !taken_over && now < since + SHUTDOWN_ACCEPT_WINDOW,
            }
    }

    /// The time at which an idle connection is closed, if idle connections are being closed. The
    /// connection has position `rank` among `count` idle connections, the longest idle first.
    pub fn idle_close_deadline(&self, now: Micros, rank: usize, count: usize) -> Option<Micros> {
        let drain_span = self
            .draining_since
            .map(|t| (t + DRAIN_CLOSE_FROM, t + DRAIN_CLOSE_UNTIL));
        let handover = self.shutdown.filter(|(_, taken_over)| *taken_over);
        let handover_span =
            handover.map(|(t, _)| (t + HANDOVER_CLOSE_FROM, t + HANDOVER_CLOSE_UNTIL));
        let close_time = |(from, until): (Micros, Micros)| {
            from + (until - from) * (rank as Micros + 1) / (count as Micros).max(1)
        };
        let staggered = drain_span
            .into_iter()
            .chain(handover_span)
            .map(close_time)
            .min();
        let immediate = self
            .shutdown
            .filter(|(t, taken_over)| !taken_over && now >= t + SHUTDOWN_ACCEPT_WINDOW)
            .map(|_| now);
        staggered.into_iter().chain(immediate).min()
    }

    /// The time by which a connection accepted now must have sent a request, if earlier than usual.
    pub fn first_request_deadline(&self, now: Micros) -> Option<Micros> {
        (self.draining_since.is_some() || self.shutdown.is_some())
            .then_some(now + DRAIN_FIRST_REQUEST_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
