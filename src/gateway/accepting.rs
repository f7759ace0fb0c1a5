//! Accepting clients, from the first to the last.

use std::io;
use std::net::TcpStream;

use super::clients::CLIENT_REQUEST_TIMEOUT;
use super::listeners::LISTEN_BACKLOG;
use super::{ConnKey, Gateway, GatewayDeadline, ListenerKind, Role};
use crate::api::Micros;
use crate::completion::CloseReason;

/// Connections accepted from one listener in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// How long accepting pauses when the machine has no descriptor or memory for a connection.
pub(super) const ACCEPT_RETRY_INTERVAL: Micros = 50_000;
/// While no slot is free, a connection that has been idle for this long may be closed for a new one: long enough for a
/// request that is on its way to have come.
const MIN_IDLE_BEFORE_EVICTION: Micros = 150_000;

/// What is left in a listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptOutcome {
    /// Nothing.
    Empty,
    /// Perhaps more than one turn takes.
    More,
    /// A connection for which there is no capacity now; accepting is tried again.
    NoCapacity,
}

impl Gateway {
    /// Accepts from all listeners, as far as one turn goes.
    pub(super) fn accept_all(&mut self) {
        self.listeners.accept_pending = false;
        if !self.ops.lifecycle.accepts(self.clock.now()) {
            return;
        }
        for place in 0..self.listeners.sockets.len() {
            // Guards all others against a flood: who is left waits for the next turn.
            self.listeners.accept_pending |= self.accept_from(place) == AcceptOutcome::More;
        }
    }

    /// Accepts from one listener until its queue is empty, as many as one turn takes.
    fn accept_from(&mut self, place: usize) -> AcceptOutcome {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listeners.sockets.get(place).cloned() else {
                return AcceptOutcome::Empty;
            };
            let kind = listener.kind;
            // A connection that is not accepted waits in the machine's queue until another has ended.
            if !self.client_slots.has_free(kind) && !self.evict_idle_client(kind) {
                return AcceptOutcome::NoCapacity;
            }
            match listener.socket.accept() {
                Ok((stream, _)) => self.add_client(kind, stream),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return AcceptOutcome::Empty,
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => {}
                    _ => {
                        // Out of descriptors or memory: the queue stays, and so would the event. Without a pause this
                        // would be a busy loop.
                        let retry_at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                        self.core
                            .schedule(retry_at, GatewayDeadline::AcceptRetry.into());
                        return AcceptOutcome::NoCapacity;
                    }
                },
            }
        }
        AcceptOutcome::More
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
        self.on_ready(key);
    }

    /// No slot is free: closes the connection that has been idle for longest. Guards the slots against clients that
    /// send one request and stay, or that connect and say nothing. Where none has been idle for long enough, accepting
    /// is tried again once one has.
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

    /// The client without a pending request, among those that share slots with `kind`, that has been idle for longest.
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

    /// Closes the listeners once nobody waits there any more; tells whether they are closed. Guards connections that
    /// the machine has accepted already: closing a listener resets them. Where another process shares the socket, they
    /// are that process's.
    pub(super) fn stop_accepting(&mut self, now: Micros) -> bool {
        let somebody_waits = self.ops.lifecycle.accepts_backlog(now) && self.accept_remaining();
        if somebody_waits {
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

    /// Accepts all that the machine has accepted; tells whether somebody is left for whom there is no capacity yet.
    fn accept_remaining(&mut self) -> bool {
        let mut somebody_waits = false;
        for place in 0..self.listeners.sockets.len() {
            let mut outcome = AcceptOutcome::More;
            // One full queue at most, or a flood would keep the listener open.
            for _ in 0..=LISTEN_BACKLOG as usize / MAX_ACCEPTS_PER_TURN {
                if outcome == AcceptOutcome::More {
                    outcome = self.accept_from(place);
                }
            }
            somebody_waits |= outcome == AcceptOutcome::NoCapacity;
        }
        somebody_waits
    }
}
