//! Connections from their start to their end: what becomes readable, what falls due, what ends with one.

use std::io;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};

use super::endpoint_updates::{DISCOVERY_RECONNECT_INTERVAL, DISCOVERY_SILENCE_TIMEOUT};
use super::worker_connections::{PARTIAL_REPLY_TIMEOUT, RETIRED_CHECK_INTERVAL};
use super::{consensus, ConnKey, Gateway, GatewayDeadline, ListenerKind, PendingResponse, Role};
use crate::api::Micros;
use crate::completion::CloseReason;
use crate::front::http::READ_LIMIT;
use crate::front::operator_console;
use crate::net::{Connection, SharedStream};
use crate::{discovery, worker};

impl Gateway {
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
            let note = move |_, _: &mut _, node: &mut Gateway| {
                node.ready.push(key);
                Ok(PostAction::Continue)
            };
            let token = handle
                .insert_source(source, note)
                .map_err(|e| io::Error::other(e.error.to_string()))?;
            Ok((Connection::new(stream, token, up, now), role))
        })
    }

    pub(super) fn set_deadline(&mut self, key: ConnKey, at: Option<Micros>) {
        let Some((conn, _)) = self.connections.get_mut(key) else {
            return;
        };
        let deadline = GatewayDeadline::Connection(key).into();
        if let Some(old) = conn.deadline.take() {
            self.core.unschedule(old, deadline);
        }
        conn.deadline = at;
        if let Some(at) = at {
            self.core.schedule(at, deadline);
        }
    }

    /// Ends a connection, and with it everything open on it.
    pub(super) fn close(&mut self, key: ConnKey, ending: CloseReason) {
        self.set_deadline(key, None);
        let Some((conn, role)) = self.connections.remove(key) else {
            return;
        };
        self.handle.remove(conn.token);
        let now = self.clock.now();
        match role {
            Role::Client {
                kind,
                pending: open,
                ..
            } => {
                self.client_slots.release(kind);
                self.listeners.accept_pending |= !self.listeners.sockets.is_empty();
                if let Some(PendingResponse::Call(request)) = open {
                    self.core.client_disconnected(now, request);
                }
            }
            Role::Console => self.ops.console_client_closed(key),
            Role::Peer(peer) => self.peer_closed(now, key, &peer),
            Role::Worker(mut link) => {
                tracing::debug!(
                    worker = link.worker.0,
                    open = link.open(),
                    how = ending.name(),
                    "connection ends"
                );
                let mut done = Vec::new();
                link.complete_all(&conn.outbox, ending, &mut done);
                self.completed.extend(done);
                self.routes.remove(link.worker, key);
            }
            Role::Discovery(_) => self.core.schedule(
                now + DISCOVERY_RECONNECT_INTERVAL,
                GatewayDeadline::DiscoveryReconnect.into(),
            ),
            Role::Portal(link) => {
                let untouched = link.untouched(&conn.outbox);
                self.portal_closed(now, key, &link, ending, untouched);
            }
        }
    }

    pub(super) fn on_ready(&mut self, key: ConnKey) {
        let now = self.clock.now();
        let Some((conn, role)) = self.connections.get_mut(key) else {
            return;
        };
        let was_up = conn.connected;
        match conn.check_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(ending) => return self.close(key, ending),
        }
        let limit = match role {
            Role::Client { .. } => READ_LIMIT,
            Role::Portal(_) => crate::front::webhook::answer::READ_LIMIT,
            Role::Worker(_) => worker::READ_LIMIT_BYTES,
            Role::Discovery(_) => discovery::READ_LIMIT_BYTES,
            Role::Console => operator_console::READ_LIMIT,
            Role::Peer(_) => consensus::READ_LIMIT,
        };
        let read = conn.read(limit);
        if !was_up {
            let next = match role {
                Role::Worker(_) => now + self.config.conn_idle * 4 / 5,
                Role::Portal(_) => conn.deadline.unwrap_or(now),
                Role::Peer(_) => now + consensus::SILENT,
                _ => now + DISCOVERY_SILENCE_TIMEOUT,
            };
            self.set_deadline(key, Some(next));
        }
        self.dirty.push(key);
        // What came before the end still counts.
        self.on_input(key, now);
        let Some((conn, role)) = self.connections.get(key) else {
            return;
        };
        match read {
            Err(ending) => self.close(key, ending),
            Ok(()) if conn.peer_closed => self.close(key, CloseReason::Closed),
            // Clients' buffers are read on when their request has been answered.
            Ok(()) if !conn.has_more_input || matches!(role, Role::Client { .. }) => {}
            // Something longer than the buffer may be: it would never come whole, and nothing behind it.
            Ok(()) if conn.input.bytes().len() >= limit => self.close(key, CloseReason::Malformed),
            Ok(()) => self.ready.push(key),
        }
    }

    pub(super) fn on_input(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, role)) = self.connections.get_mut(key) else {
            return;
        };
        match role {
            Role::Client {
                kind: ListenerKind::Platform,
                ..
            } => self.read_client_requests(key, now),
            Role::Client { .. } => self.read_secondary_requests(key, now),
            Role::Portal(_) => self.on_portal(key, now),
            Role::Console => self.read_console_request(key, now),
            Role::Peer(_) => self.on_peer(key, now),
            Role::Worker(link) => {
                let mut done = Vec::new();
                let result = link.read_replies(now, &mut conn.input, &mut done);
                self.completed.extend(done);
                match result {
                    Ok(unmatched) => {
                        self.core.counters.unmatched += unmatched;
                        let due = link
                            .partial_reply_since
                            .map(|since| since + PARTIAL_REPLY_TIMEOUT);
                        if due.is_some() && due < conn.deadline {
                            self.set_deadline(key, due);
                        }
                    }
                    Err(e) => {
                        let worker = link.worker.0;
                        self.core.counters.unreadable += 1;
                        tracing::warn!(
                            worker = format_args!("{worker:08x}"),
                            "an answer cannot be read: {e}"
                        );
                        self.close(key, CloseReason::Malformed);
                    }
                }
            }
            Role::Discovery(feed) => {
                let mut events = Vec::new();
                let result = feed.read_events(&mut conn.input, &mut events);
                let ended = feed.has_ended();
                let answered = feed.has_answered();
                self.set_deadline(key, Some(now + DISCOVERY_SILENCE_TIMEOUT));
                for event in events {
                    if !self.read_watch_event(now, &event) {
                        return self.close(key, CloseReason::Malformed);
                    }
                }
                if answered {
                    self.note_discovery_answer(now);
                }
                if let Err(e) = result {
                    self.core.counters.unreadable += 1;
                    tracing::warn!("{e}");
                    self.close(key, CloseReason::Malformed);
                } else if ended {
                    self.close(key, CloseReason::Closed);
                }
            }
        }
    }

    pub(super) fn on_deadline(&mut self, now: Micros, key: ConnKey) {
        let idle = self.config.conn_idle * 4 / 5;
        let Some((conn, role)) = self.connections.get_mut(key) else {
            return;
        };
        conn.deadline = None;
        match role {
            Role::Client {
                pending: Some(_), ..
            } => {}
            Role::Client { .. } => self.close_idle_client(key, now),
            Role::Worker(_) if !conn.connected => self.close(key, CloseReason::ConnectTimeout),
            // Guards what waits behind an answer that stopped short: nothing after it can be told apart.
            Role::Worker(link)
                if link
                    .partial_reply_since
                    .is_some_and(|since| now >= since + PARTIAL_REPLY_TIMEOUT) =>
            {
                self.core.counters.unreadable += 1;
                self.close(key, CloseReason::Malformed)
            }
            Role::Worker(link)
                if link.open() == 0 && (link.retired || now >= link.last_received_at + idle) =>
            {
                self.close(key, CloseReason::Idle)
            }
            Role::Worker(link) => {
                let next = match link.open() {
                    _ if link.partial_reply_since.is_some() => now + PARTIAL_REPLY_TIMEOUT,
                    _ if link.retired => now + RETIRED_CHECK_INTERVAL,
                    0 => link.last_received_at + idle,
                    _ => now + idle,
                };
                self.set_deadline(key, Some(next));
            }
            Role::Portal(link) if link.is_idle() => self.close(key, CloseReason::Idle),
            Role::Console | Role::Peer(_) => self.close(key, CloseReason::Idle),
            Role::Discovery(_) | Role::Portal(_) => {
                let ending = if conn.connected {
                    CloseReason::TimedOut
                } else {
                    CloseReason::ConnectTimeout
                };
                self.close(key, ending)
            }
        }
    }
}
