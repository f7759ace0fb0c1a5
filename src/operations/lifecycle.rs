//! Whether the gateway starts, serves, drains or shuts down, and what that means for connections.
//!
//! Every listener and connection asks here. Draining and shutdown are independent: a call for
//! either may come at any time, in any order and more than once, and only shutdown is final.

use crate::api::Micros;

/// How long connections are accepted after SIGTERM, in microseconds, if no sibling process accepts
/// them: clients connect for 0.4 s more, and send requests for another 0.2 s.
pub const SHUTDOWN_ACCEPT_WINDOW: Micros = 900_000;
/// How much longer connections are accepted that wait in the listener's backlog, in microseconds.
const BACKLOG_WINDOW: Micros = 1_000_000;
/// While the gateway drains, idle connections are closed one after the other between these two
/// times from the call, in microseconds. Clients connect for 0.3 s at most.
const DRAIN_CLOSE_FROM: Micros = 300_000;
const DRAIN_CLOSE_UNTIL: Micros = 1_500_000;
/// The same after SIGTERM if a sibling process has taken over. Requests that come before the second
/// time are answered before the process is killed.
const HANDOVER_CLOSE_FROM: Micros = 50_000;
const HANDOVER_CLOSE_UNTIL: Micros = 600_000;
/// How long a connection that is accepted while the gateway drains has for its first request, in
/// microseconds.
const DRAIN_FIRST_REQUEST_TIMEOUT: Micros = 500_000;

/// What the gateway does with connections.
#[derive(Debug, Default)]
pub struct Lifecycle {
    started: bool,
    /// Since when it drains.
    draining_since: Option<Micros>,
    /// Since when it shuts down, and whether a sibling process accepts connections.
    shutdown: Option<(Micros, bool)>,
}

impl Lifecycle {
    /// The gateway can serve.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Begins to drain. Returns whether it did not drain before.
    pub fn begin_draining(&mut self, now: Micros) -> bool {
        let new = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        new
    }

    /// Serves again, unless it shuts down.
    pub fn resume(&mut self) {
        self.draining_since = None;
    }

    /// Begins to shut down. `taken_over` says that a sibling process accepts connections from now
    /// on. Returns whether the shutdown had not begun before.
    pub fn begin_shutdown(&mut self, now: Micros, taken_over: bool) -> bool {
        let new = self.shutdown.is_none();
        self.shutdown.get_or_insert((now, taken_over));
        new
    }

    /// Whether it has begun to serve.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Whether it reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.started && self.draining_since.is_none() && self.shutdown.is_none()
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether it shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether connections are accepted. They still are while it drains, since clients may not have
    /// noticed yet.
    pub fn accepts(&self, now: Micros) -> bool {
        match self.shutdown {
            None => self.started,
            Some((since, taken_over)) => {
                self.started && !taken_over && now < since + SHUTDOWN_ACCEPT_WINDOW
            }
        }
    }

    /// Whether connections in the listener's backlog are still accepted, as no sibling process
    /// does.
    pub fn accepts_backlog(&self, now: Micros) -> bool {
        self.started
            && self.shutdown.is_some_and(|(since, taken_over)| {
                !taken_over && now < since + SHUTDOWN_ACCEPT_WINDOW + BACKLOG_WINDOW
            })
    }

    /// When accepting ends, once the shutdown has begun.
    pub fn accepts_until(&self) -> Option<Micros> {
        self.shutdown.map(|(since, taken_over)| {
            if taken_over {
                since
            } else {
                since + SHUTDOWN_ACCEPT_WINDOW
            }
        })
    }

    /// Whether a connection stays open after its answer.
    pub fn keeps_alive(&self, now: Micros) -> bool {
        self.draining_since.is_none()
            && match self.shutdown {
                None => true,
                Some((since, taken_over)) => !taken_over && now < since + SHUTDOWN_ACCEPT_WINDOW,
            }
    }

    /// When an idle connection is closed, if idle connections are closed now. Its place is `rank`
    /// of `all`, the longest idle first.
    pub fn idle_close_deadline(&self, now: Micros, rank: usize, all: usize) -> Option<Micros> {
        let emptied = self
            .draining_since
            .map(|t| (t + DRAIN_CLOSE_FROM, t + DRAIN_CLOSE_UNTIL));
        let handed = self.shutdown.filter(|(_, taken_over)| *taken_over);
        let handed = handed.map(|(t, _)| (t + HANDOVER_CLOSE_FROM, t + HANDOVER_CLOSE_UNTIL));
        let span = |(from, by): (Micros, Micros)| {
            from + (by - from) * (rank as Micros + 1) / (all as Micros).max(1)
        };
        let at = emptied.into_iter().chain(handed).map(span).min();
        let over = self
            .shutdown
            .filter(|(t, taken_over)| !taken_over && now >= t + SHUTDOWN_ACCEPT_WINDOW)
            .map(|_| now);
        at.into_iter().chain(over).min()
    }

    /// When a connection that is accepted now must have sent a request, if it gets less time than
    /// usual.
    pub fn first_request_deadline(&self, now: Micros) -> Option<Micros> {
        (self.draining_since.is_some() || self.shutdown.is_some())
            .then_some(now + DRAIN_FIRST_REQUEST_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
