//! Accepts clients, from the start of the gateway until it has drained.

use std::io;
use std::net::TcpStream;

use super::clients::CLIENT_REQUEST_TIMEOUT;
use super::listeners::LISTEN_BACKLOG;
use super::{ConnKey, Gateway, GatewayDeadline, ListenerKind, Role};
use crate::api::Micros;
use crate::completion::CloseReason;

/// Maximum number of connections accepted from one listener in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// How long accepting pauses when the machine has no descriptor or memory for a connection.
pub(super) const ACCEPT_RETRY_INTERVAL: Micros = 50_000;
/// While no slot is free, a connection that has been idle for this long may be closed in favour of
/// a new one. Within this time a request that is on its way has arrived.
const MIN_IDLE_BEFORE_EVICTION: Micros = 150_000;

/// The state of a listener's queue after accepting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptOutcome {
    /// No connection is left.
    Empty,
    /// More connections than one turn accepts may be left.
    More,
    /// A connection is left for which there is no capacity now; accepting is tried again.
    NoCapacity,
}

impl Gateway {
    /// Accepts from all listeners, up to one turn's limit each.
    pub(super) fn accept_all(&mut self) {
        self.listeners.accept_pending = false;
        if !self.ops.lifecycle.accepts(self.clock.now()) {
            return;
        }
        for place in 0..self.listeners.sockets.len() {
            // The remaining connections wait for the next turn, so that a flood does not delay
            // others.
            let outcome = self.accept_from(place);
            self.listeners.accept_pending |= outcome == AcceptOutcome::More;
            let now = self.clock.now();
            self.arrivals
                .note_queue(now, outcome == AcceptOutcome::Empty);
        }
    }

    /// Accepts from one listener until its queue is empty or the turn's limit is reached.
    fn accept_from(&mut self, place: usize) -> AcceptOutcome {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listeners.sockets.get(place).cloned() else {
                return AcceptOutcome::Empty;
            };
            let kind = listener.kind;
            self.count_memory_if_due();
            if self.is_out_of_memory() {
                self.retry_accepting_later();
                return AcceptOutcome::NoCapacity;
            }
            // A connection that is not accepted waits in the kernel's queue until a slot is free.
            if !self.client_slots.has_free(kind) && !self.evict_idle_client(kind) {
                return AcceptOutcome::NoCapacity;
            }
            match listener.socket.accept() {
                Ok((stream, _)) => self.add_client(kind, stream),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return AcceptOutcome::Empty,
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => {}
                    _ => {
                        // Out of descriptors or memory: the queue stays non-empty, and accepting
                        // again at once would be a busy loop.
                        self.retry_accepting_later();
                        return AcceptOutcome::NoCapacity;
                    }
                },
            }
        }
        AcceptOutcome::More
    }

    fn retry_accepting_later(&mut self) {
        let retry_at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
        self.core
            .schedule(retry_at, GatewayDeadline::AcceptRetry.into());
    }

    /// Adds an accepted connection; one that cannot be set up is dropped.
    fn add_client(&mut self, kind: ListenerKind, stream: TcpStream) {
        let set_up = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        let role = Role::Client {
            kind,
            pending: None,
            keep_alive: true,
            is_far_ahead: false,
        };
        let Ok(key) = set_up.and_then(|()| self.add_connection(stream, true, role)) else {
            return;
        };
        self.client_slots.occupy(kind);
        self.core.counters.accepted += 1;
        let now = self.clock.now();
        let request_deadline = self
            .ops
            .lifecycle
            .first_request_deadline(now)
            .unwrap_or(now + CLIENT_REQUEST_TIMEOUT);
        self.set_deadline(key, Some(request_deadline));
        self.read_accepted(key);
    }

    /// Closes the connection that has been idle for longest, to free a slot; returns whether one
    /// was closed. This guards the slots against clients that stay after one request or connect and
    /// send nothing. If no connection has been idle for long enough, accepting is tried again once
    /// one has.
    fn evict_idle_client(&mut self, kind: ListenerKind) -> bool {
        let Some((idle_since, key)) = self.longest_idle_client(kind) else {
            return false;
        };
        let evictable_at = idle_since + MIN_IDLE_BEFORE_EVICTION;
        if self.clock.now() < evictable_at {
            self.core
                .schedule(evictable_at, GatewayDeadline::AcceptRetry.into());
            return false;
        }
        self.core.counters.evicted_idle += 1;
        self.close(key, CloseReason::LocalLimit);
        true
    }

    /// Returns the longest idle client without a pending request among those that share slots with
    /// `kind`.
    fn longest_idle_client(&self, kind: ListenerKind) -> Option<(Micros, ConnKey)> {
        self.connections
            .iter()
            .filter_map(|(key, (connection, role))| match role {
                Role::Client {
                    kind: other,
                    pending: None,
                    ..
                } if other.is_secondary() == kind.is_secondary() => {
                    Some((connection.idle_since, key))
                }
                _ => None,
            })
            .min()
    }

    /// Begins a graceful shutdown, on SIGTERM.
    pub(super) fn drain(&mut self) {
        let now = self.clock.now();
        // Another process may have become ready since its state was last read.
        self.read_siblings(now);
        if self.ops.lifecycle.begin_shutdown(now, self.is_taken_over()) {
            self.core.schedule(
                self.ops.lifecycle.accepts_until().unwrap_or(now),
                GatewayDeadline::StopAccepting.into(),
            );
            self.schedule_idle_closes(now);
            self.write_state(now);
            self.release_leases(now);
        }
    }

    /// Closes the listeners once no connection waits there; returns whether they are closed.
    /// Closing a listener resets the connections in the kernel's queue, so these are accepted
    /// first, unless another process shares the socket and accepts them.
    pub(super) fn stop_accepting(&mut self, now: Micros) -> bool {
        let connections_wait = self.ops.lifecycle.accepts_backlog(now) && self.accept_remaining();
        if connections_wait {
            self.core.schedule(
                now + ACCEPT_RETRY_INTERVAL,
                GatewayDeadline::StopAccepting.into(),
            );
            return false;
        }
        for listener in std::mem::take(&mut self.listeners.sockets) {
            self.handle.remove(listener.token);
        }
        self.schedule_idle_closes(now);
        true
    }

    /// Accepts all connections in the kernel's queues; returns whether one is left for which there
    /// is no capacity yet.
    fn accept_remaining(&mut self) -> bool {
        let mut connections_wait = false;
        for place in 0..self.listeners.sockets.len() {
            let mut outcome = AcceptOutcome::More;
            // At most one full queue is accepted, or a flood would keep the listener open.
            for _ in 0..=LISTEN_BACKLOG as usize / MAX_ACCEPTS_PER_TURN {
                if outcome == AcceptOutcome::More {
                    outcome = self.accept_from(place);
                }
            }
            connections_wait |= outcome == AcceptOutcome::NoCapacity;
        }
        connections_wait
    }
}
