//! The lifecycle of connections: registration, input, deadlines, and closing.

use std::io;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};

use super::discovery_state::Unhandled;
use super::endpoint_updates::DISCOVERY_SILENCE_TIMEOUT;
use super::worker_connections::{PARTIAL_REPLY_TIMEOUT, RETIRED_CHECK_INTERVAL};
use super::{consensus, ConnKey, Gateway, GatewayDeadline, ListenerKind, PendingResponse, Role};
use crate::api::{DiscoverySignal, Micros};
use crate::completion::CloseReason;
use crate::discovery;
use crate::front::http::READ_LIMIT;
use crate::front::operator_console;
use crate::net::{ArrivalDating, Connection, ReceptionTime, SharedStream};
use crate::operations::loop_timing::Activity;

/// Returns the idle timeout of a worker's connection, which is shorter than the worker's own limit
/// so that the gateway closes first.
fn worker_idle_timeout(limit: Micros) -> Micros {
    limit * 4 / 5
}

/// Dates the input of a connection that is read at the given time.
type DateInput = fn(&ArrivalDating, Micros, Option<ReceptionTime>) -> Micros;

/// Reads from a connection, and dates what was read.
pub(super) fn read_dated(
    connection: &mut Connection,
    limit: usize,
    now: Micros,
    arrivals: &ArrivalDating,
    date: DateInput,
) -> Result<(), CloseReason> {
    let before = connection.input.bytes().len();
    let (result, received) = if arrivals.needs_reception_times() {
        connection.read_timestamped(limit)
    } else {
        (connection.read(limit), None)
    };
    if connection.input.bytes().len() > before {
        connection.input_arrived_at = date(arrivals, now, received);
    }
    result
}

impl Gateway {
    /// Registers a stream with the event loop.
    pub(super) fn add_connection(
        &mut self,
        stream: std::net::TcpStream,
        up: bool,
        role: Role,
    ) -> io::Result<ConnKey> {
        let now = self.clock.now();
        let (handle, stream) = (&self.handle, SharedStream(Rc::new(stream)));
        self.connections.try_insert_with_key(|key| {
            let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
            let callback = move |_, _: &mut _, gateway: &mut Gateway| {
                gateway.ready.push(key);
                Ok(PostAction::Continue)
            };
            let token = handle
                .insert_source(source, callback)
                .map_err(|error| io::Error::other(error.error.to_string()))?;
            Ok((Connection::new(stream, token, up, now), role))
        })
    }

    /// Sets or removes a connection's deadline.
    pub(super) fn set_deadline(&mut self, key: ConnKey, at: Option<Micros>) {
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        let deadline = GatewayDeadline::Connection(key).into();
        if let Some(old) = connection.deadline.take() {
            self.core.unschedule(old, deadline);
        }
        connection.deadline = at;
        if let Some(at) = at {
            self.core.schedule(at, deadline);
        }
    }

    /// Closes a connection and completes everything in flight on it.
    pub(super) fn close(&mut self, key: ConnKey, reason: CloseReason) {
        self.set_deadline(key, None);
        let Some((connection, role)) = self.connections.remove(key) else {
            return;
        };
        self.handle.remove(connection.token);
        let now = self.clock.now();
        match role {
            Role::Client { kind, pending, .. } => {
                self.client_slots.release(kind);
                self.listeners.accept_pending |= !self.listeners.sockets.is_empty();
                if let Some(PendingResponse::Call(request)) = pending {
                    self.core.client_disconnected(now, request);
                }
            }
            Role::Console => self.ops.console_client_closed(key),
            Role::Peer(peer) => self.peer_closed(now, key, &peer),
            Role::Worker(mut worker) => {
                tracing::debug!(
                    worker = worker.worker.0,
                    in_flight = worker.open(),
                    reason = reason.name(),
                    "worker connection closed"
                );
                let mut completed = Vec::new();
                worker.complete_all(&connection.outbox, reason, &mut completed);
                self.completed.extend(completed);
                self.routes.remove(worker.worker, key);
                if reason == CloseReason::Refused {
                    self.note_refused(now, worker.worker);
                }
            }
            Role::Discovery(stream) => {
                self.discovery_closed(now, &stream, reason);
            }
            Role::Portal(portal) => {
                let untouched = portal.is_unsent(&connection.outbox);
                self.portal_closed(now, key, &portal, reason, untouched);
            }
        }
    }

    /// Reads from a connection whose socket is ready, and handles the input.
    pub(super) fn on_ready(&mut self, key: ConnKey) {
        self.read_connection(key, ArrivalDating::of_input);
    }

    /// Reads from a client's connection that was just accepted, and handles the input.
    pub(super) fn read_accepted(&mut self, key: ConnKey) {
        self.read_connection(key, ArrivalDating::of_accepted);
    }

    fn read_connection(&mut self, key: ConnKey, date: DateInput) {
        let now = self.clock.now();
        let Some((connection, role)) = self.connections.get_mut(key) else {
            return;
        };
        // More is read from discovery once what was read is handled, which bounds it.
        if matches!(role, Role::Discovery(_)) && !self.discovery.unhandled.is_empty() {
            return self.ready.push(key);
        }
        // Its input is read in its turn.
        if connection.awaits_turn {
            return;
        }
        let was_connected = connection.connected;
        match connection.check_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(reason) => return self.close(key, reason),
        }
        let limit = match role {
            Role::Client { .. } => READ_LIMIT,
            Role::Portal(_) => crate::front::webhook::answer::READ_LIMIT,
            Role::Worker(_) => crate::worker::READ_LIMIT_BYTES,
            Role::Discovery(_) => discovery::READ_LIMIT_BYTES,
            Role::Console => operator_console::READ_LIMIT,
            Role::Peer(_) => consensus::READ_LIMIT_BYTES,
        };
        let unread = connection.input.bytes().len();
        let read = read_dated(connection, limit, now, &self.arrivals, date);
        self.memory
            .note_read(connection.input.bytes().len() - unread);
        if !was_connected {
            let next = match role {
                Role::Worker(_) => now + worker_idle_timeout(self.config.connection_idle_timeout),
                Role::Portal(_) => connection.deadline.unwrap_or(now),
                Role::Peer(_) => now + consensus::PEER_SILENCE_TIMEOUT,
                _ => now + DISCOVERY_SILENCE_TIMEOUT,
            };
            self.set_deadline(key, Some(next));
        }
        if self.close_if_client_departed(key, read) {
            return;
        }
        self.dirty.push(key);
        // Input received before the peer closed is still handled.
        self.on_input(key, now);
        let Some((connection, role)) = self.connections.get(key) else {
            return;
        };
        match read {
            Err(reason) => self.close(key, reason),
            Ok(()) if connection.peer_closed => self.close(key, CloseReason::Closed),
            // More of a client's input is read once its request has been answered.
            Ok(()) if !connection.has_more_input || matches!(role, Role::Client { .. }) => {}
            // Input that fills the buffer without a complete message can never become complete.
            Ok(()) if connection.input.bytes().len() >= limit => {
                self.close(key, CloseReason::Malformed)
            }
            Ok(()) => self.ready.push(key),
        }
    }

    /// Handles the input of a connection by its role.
    pub(super) fn on_input(&mut self, key: ConnKey, now: Micros) {
        let Some((_, role)) = self.connections.get(key) else {
            return;
        };
        match role {
            Role::Client {
                kind: ListenerKind::Platform,
                ..
            } => self.read_client_requests(key, now),
            Role::Client { .. } => self.read_secondary_requests(key, now),
            Role::Portal(_) => self.handle_portal_input(key, now),
            Role::Console => self.read_console_request(key, now),
            Role::Peer(_) => self.on_peer(key, now),
            Role::Worker(_) => self.read_worker_replies(key, now),
            Role::Discovery(_) => self.read_discovery(key, now),
        }
    }

    fn read_worker_replies(&mut self, key: ConnKey, now: Micros) {
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
            return;
        };
        let mut completed = Vec::new();
        let arrived_at = connection.input_arrived_at;
        let unmatched = worker.read_replies(now, arrived_at, &mut connection.input, &mut completed);
        self.completed.extend(completed);
        match unmatched {
            Ok(unmatched) => {
                self.core.counters.unmatched += unmatched;
                let reply_deadline = worker
                    .partial_reply_since
                    .map(|since| since + PARTIAL_REPLY_TIMEOUT);
                if reply_deadline.is_some() && reply_deadline < connection.deadline {
                    self.set_deadline(key, reply_deadline);
                }
            }
            Err(error) => {
                self.core.counters.unreadable += 1;
                tracing::warn!(
                    worker = format_args!("{:08x}", worker.worker.0),
                    %error,
                    "worker reply cannot be read"
                );
                self.close(key, CloseReason::Malformed);
            }
        }
    }

    fn read_discovery(&mut self, key: ConnKey, now: Micros) {
        let Some((connection, Role::Discovery(stream))) = self.connections.get_mut(key) else {
            return;
        };
        let mut events = Vec::new();
        self.timer.end_activity(now, Activity::Connections);
        let had_answered = stream.has_answered();
        let result = stream.read_events(&mut connection.input, &mut events);
        let ended = stream.has_ended();
        let answered = stream.has_answered();
        let has_heartbeat = stream.take_heartbeat();
        let is_incomplete = stream.is_incomplete() || !connection.input.bytes().is_empty();
        // What discovery said is as old as its arrival, however late it is read.
        let arrived_at = connection.input_arrived_at;
        if answered && !had_answered {
            self.core
                .handle_discovery_signal(now, arrived_at, DiscoverySignal::Opened);
        }
        self.set_deadline(key, Some(now + DISCOVERY_SILENCE_TIMEOUT));
        self.end_activity(Activity::Discovery);
        let unhandled = &mut self.discovery.unhandled;
        unhandled.extend(
            events
                .into_iter()
                .map(|event| Unhandled::Event(arrived_at, event)),
        );
        if has_heartbeat {
            unhandled.push_back(Unhandled::Signal(arrived_at, DiscoverySignal::Heartbeat));
        }
        if is_incomplete {
            unhandled.push_back(Unhandled::Signal(arrived_at, DiscoverySignal::Incomplete));
        }
        if !self.handle_unhandled(now) {
            return;
        }
        if answered {
            self.note_discovery_answer(now);
        }
        if let Err(error) = result {
            self.core.counters.unreadable += 1;
            tracing::warn!(%error, "discovery stream cannot be read");
            self.close(key, CloseReason::Malformed);
        } else if ended {
            self.close(key, CloseReason::Closed);
        }
    }

    /// Handles the deadline of a connection by its role.
    pub(super) fn on_deadline(&mut self, now: Micros, key: ConnKey) {
        let idle_timeout = worker_idle_timeout(self.config.connection_idle_timeout);
        let Some((connection, role)) = self.connections.get_mut(key) else {
            return;
        };
        connection.deadline = None;
        match role {
            Role::Client {
                pending: Some(_), ..
            } => {}
            Role::Client { .. } => self.close_idle_client(key, now),
            Role::Worker(_) if !connection.connected => {
                self.close(key, CloseReason::ConnectTimeout)
            }
            // Replies behind an incomplete one cannot be separated from it, so the connection is
            // closed.
            Role::Worker(worker)
                if worker
                    .partial_reply_since
                    .is_some_and(|since| now >= since + PARTIAL_REPLY_TIMEOUT) =>
            {
                self.core.counters.unreadable += 1;
                self.close(key, CloseReason::Malformed)
            }
            Role::Worker(worker)
                if worker.open() == 0
                    && (worker.retired || now >= worker.last_received_at + idle_timeout) =>
            {
                self.close(key, CloseReason::Idle)
            }
            Role::Worker(worker) => {
                let next = match worker.open() {
                    _ if worker.partial_reply_since.is_some() => now + PARTIAL_REPLY_TIMEOUT,
                    _ if worker.retired => now + RETIRED_CHECK_INTERVAL,
                    0 => worker.last_received_at + idle_timeout,
                    _ => now + idle_timeout,
                };
                self.set_deadline(key, Some(next));
            }
            Role::Portal(portal) if portal.is_idle() => self.close(key, CloseReason::Idle),
            Role::Console | Role::Peer(_) => self.close(key, CloseReason::Idle),
            Role::Discovery(_) | Role::Portal(_) => {
                let reason = if connection.connected {
                    CloseReason::TimedOut
                } else {
                    CloseReason::ConnectTimeout
                };
                self.close(key, reason)
            }
        }
    }
}
