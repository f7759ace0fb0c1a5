//! The platform's clients: accepting, requests and answers, and the orderly end.

use std::io;

use super::listeners::LISTEN_BACKLOG;
use super::{ConnKey, Gateway, GatewayDeadline, ListenerKind, Origin, PendingResponse, Role};
use crate::api::Micros;
use crate::completion::CloseReason;
use crate::core::Answer;
use crate::front::http::READ_LIMIT;
use crate::front::platform;
use crate::front::platform::Ask;
use crate::net;

/// A client's connection without a pending request is closed after this; the platform's clients close theirs after 4 s,
/// but for those that send one request and stay.
pub(super) const CLIENT_IDLE_TIMEOUT: Micros = 4_500_000;
/// A client has this long to send a complete request, counted from its connect or from the request's first byte.
const CLIENT_REQUEST_TIMEOUT: Micros = 2_000_000;
/// While no slot is free, a connection that has been idle for this long may be closed for a new one: long enough for a
/// request that is on its way to have come.
const MIN_IDLE_BEFORE_EVICTION: Micros = 150_000;
/// Connections accepted from one listener in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// How long a connection that is to be closed may go on with a request that has come in part.
const PARTIAL_REQUEST_TIMEOUT: Micros = 200_000;
/// Answers larger than this are counted against [`MAX_UNSENT_BYTES`].
const LARGE_ANSWER_BYTES: usize = 16 << 10;
/// Bytes that may wait to be written to all clients before a large answer closes its connection instead.
const MAX_UNSENT_BYTES: usize = 48 << 20;
/// How long a connection that was rejected may still send.
pub(super) const LINGER_TIMEOUT: Micros = 1_000_000;
/// How long accepting pauses when the machine has no descriptor or memory for a connection.
pub(super) const ACCEPT_RETRY_INTERVAL: Micros = 50_000;
/// `Retry-After` of a call that is rejected because too many are pending.
const OVERLOAD_RETRY_AFTER: Micros = 1_000_000;

/// What is left in a listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptOutcome {
    /// Nothing.
    Empty,
    /// Perhaps more than one turn takes.
    More,
    /// Somebody for whom there is no room now; it is tried again.
    NoCapacity,
}

impl Gateway {
    pub(super) fn accept_all(&mut self) {
        self.listeners.accept_pending = false;
        if !self.ops.lifecycle.accepts(self.clock.now()) {
            return;
        }
        for at in 0..self.listeners.sockets.len() {
            // Guards all others against a flood: who is left waits for the next turn.
            self.listeners.accept_pending |= self.accept_from(at) == AcceptOutcome::More;
        }
    }

    /// Accepts from one listener until its queue is empty, as many as one turn has room for.
    fn accept_from(&mut self, at: usize) -> AcceptOutcome {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listeners.sockets.get(at) else {
                return AcceptOutcome::Empty;
            };
            let kind = listener.kind;
            // What is not accepted waits in the machine's queue until a connection has ended. The platform's
            // clients keep their room whatever comes to the other listeners.
            let has_slot = self.client_slots.has_free(kind);
            let socket = listener.socket.clone();
            if !has_slot && !self.evict_idle_client(kind) {
                return AcceptOutcome::NoCapacity;
            }
            match socket.accept() {
                Ok((stream, _)) => {
                    let ready = stream
                        .set_nonblocking(true)
                        .and_then(|()| stream.set_nodelay(true));
                    let role = Role::Client {
                        kind,
                        pending: None,
                        keep_alive: true,
                    };
                    let Ok(key) = ready.and_then(|()| self.add_connection(stream, true, role))
                    else {
                        continue;
                    };
                    self.client_slots.occupy(kind);
                    self.core.counters.accepted += 1;
                    let now = self.clock.now();
                    let by = self
                        .ops
                        .lifecycle
                        .first_request_by(now)
                        .unwrap_or(now + CLIENT_REQUEST_TIMEOUT);
                    self.set_deadline(key, Some(by));
                    self.on_ready(key);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return AcceptOutcome::Empty,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    // Out of descriptors or memory: the queue stays, and so would the event. Tried again
                    // after a pause, or this would be a busy loop.
                    let at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                    self.core.schedule(at, GatewayDeadline::AcceptRetry.into());
                    return AcceptOutcome::NoCapacity;
                }
            }
        }
        AcceptOutcome::More
    }

    /// All places are taken: closes the connection that has had nothing open for longest. Guards the places
    /// against clients that ask once and stay, or that connect and say nothing. Where none has been idle for
    /// long enough, it is tried again once one has.
    fn evict_idle_client(&mut self, kind: ListenerKind) -> bool {
        let idle = self
            .connections
            .iter()
            .filter_map(|(key, (conn, role))| match role {
                Role::Client {
                    kind: k,
                    pending: None,
                    ..
                } if (*k == ListenerKind::Platform) == (kind == ListenerKind::Platform) => {
                    Some((conn.idle_since, key))
                }
                _ => None,
            });
        let Some((since, key)) = idle.min() else {
            return false;
        };
        if self.clock.now() < since + MIN_IDLE_BEFORE_EVICTION {
            self.core.schedule(
                since + MIN_IDLE_BEFORE_EVICTION,
                GatewayDeadline::AcceptRetry.into(),
            );
            return false;
        }
        self.core.counters.evicted_idle += 1;
        self.close(key, CloseReason::LocalLimit);
        true
    }

    pub(super) fn read_client_requests(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Client { pending: open, .. })) = self.connections.get_mut(key)
            else {
                return;
            };
            if open.is_some() || conn.closing || conn.pause_if_backlogged() {
                return;
            }
            let taken = match platform::take(conn.input.bytes(), &self.config.names, now) {
                Ok(Some(taken)) => taken,
                Ok(None) => {
                    // The buffer was full while a request was open: what waits in the socket raises no
                    // event any more.
                    if conn.refill(READ_LIMIT) {
                        continue;
                    }
                    if conn.peer_closed {
                        self.ready.push(key);
                    }
                    // A request that comes by and by has its time from its first byte on.
                    let due = now + CLIENT_REQUEST_TIMEOUT;
                    if !conn.input.bytes().is_empty() && conn.deadline.is_none_or(|t| t > due) {
                        self.set_deadline(key, Some(due));
                    }
                    return;
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    conn.outbox
                        .push(net::UNTAGGED_FRAME, platform::turn_away(&bad, false));
                    (conn.closing, conn.linger) = (true, true);
                    self.dirty.push(key);
                    return self.set_deadline(key, Some(now + LINGER_TIMEOUT));
                }
            };
            conn.input.consume(taken.size);
            conn.idle_since = now;
            // A whole request came: the time for the next one begins anew.
            self.set_deadline(key, Some(now + CLIENT_IDLE_TIMEOUT));
            let Some((
                conn,
                Role::Client {
                    keep_alive: keep, ..
                },
            )) = self.connections.get_mut(key)
            else {
                return;
            };
            let stays = taken.keep && self.ops.lifecycle.keeps(now);
            *keep = stays;
            match taken.ask {
                Ok(Ask::Call(call)) if self.core.pending_requests() >= self.config.most_held => {
                    // As the platform does beyond `mostHeld`: turned away before the module.
                    self.core.count_rejected(call.arrival.class);
                    let answer = Answer::Rejected {
                        retry_after: OVERLOAD_RETRY_AFTER,
                    };
                    conn.outbox
                        .push(net::UNTAGGED_FRAME, platform::answer(&answer, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Ok(Ask::Call(call)) if self.core.is_open(&call.identity) => {
                    self.core.counters.bad_requests += 1;
                    let bad = crate::front::http::plain(409, "X-Correlation-Id of an open request");
                    conn.outbox
                        .push(net::UNTAGGED_FRAME, platform::turn_away(&bad, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Ok(Ask::Call(call)) => {
                    self.set_deadline(key, None);
                    let request = self.core.submit(now, call.with_origin(Origin::Client(key)));
                    if let Some((_, Role::Client { pending: open, .. })) =
                        self.connections.get_mut(key)
                    {
                        *open = Some(PendingResponse::Call(request));
                    }
                    return;
                }
                Ok(Ask::Ping) => {
                    let status = if self.ops.lifecycle.is_emptied() {
                        503
                    } else {
                        200
                    };
                    conn.outbox.push(
                        net::UNTAGGED_FRAME,
                        crate::front::http::response(status, "", b"", stays),
                    );
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    conn.outbox
                        .push(net::UNTAGGED_FRAME, platform::turn_away(&bad, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
            }
        }
    }

    pub(super) fn answer_client(&mut self, key: ConnKey, answer: &Answer) {
        let now = self.clock.now();
        let accepting = self.ops.lifecycle.keeps(now);
        if let Answer::Served(body) = answer {
            // Guards memory against clients that ask for much and read nothing.
            let waiting = || {
                self.connections
                    .values()
                    .map(|(c, _)| c.outbox.len())
                    .sum::<usize>()
            };
            if body.len() > LARGE_ANSWER_BYTES && waiting() > MAX_UNSENT_BYTES {
                return self.close(key, CloseReason::LocalLimit);
            }
        }
        let Some((
            conn,
            Role::Client {
                pending: open,
                keep_alive: keep,
                ..
            },
        )) = self.connections.get_mut(key)
        else {
            return;
        };
        *open = None;
        conn.idle_since = now;
        let stays = *keep && accepting;
        conn.outbox
            .push(net::UNTAGGED_FRAME, platform::answer(answer, stays));
        conn.closing = !stays;
        self.set_deadline(key, Some(now + CLIENT_IDLE_TIMEOUT));
        self.dirty.push(key);
        // A client may have sent its next request already.
        self.read_client_requests(key, now);
    }

    /// SIGTERM.
    pub(super) fn drain(&mut self) {
        let now = self.clock.now();
        // Another process may have become ready since the last look.
        self.read_siblings(now);
        if self.ops.lifecycle.end(now, self.is_taken_over()) {
            self.core.schedule(
                self.ops.lifecycle.accepts_until().unwrap_or(now),
                GatewayDeadline::StopAccepting.into(),
            );
            self.schedule_idle_closes(now);
            self.write_state(now);
            self.give_duties_back(now);
        }
    }

    /// Closes the listeners once nobody waits there any more; tells whether they are closed. Guards those whom the
    /// machine has accepted already: the end of a listener resets them. Where another process shares the socket,
    /// they are that one's.
    pub(super) fn stop_accepting(&mut self, now: Micros) -> bool {
        let waits = self.ops.lifecycle.takes_rest(now) && self.accept_remaining();
        if waits {
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

    /// Accepts all that the machine has accepted; tells whether somebody is left who has no room yet.
    fn accept_remaining(&mut self) -> bool {
        let mut waits = false;
        for at in 0..self.listeners.sockets.len() {
            let mut queue = AcceptOutcome::More;
            // A whole queue at the most, or a flood would keep the listener open.
            for _ in 0..=LISTEN_BACKLOG as usize / MAX_ACCEPTS_PER_TURN {
                if queue == AcceptOutcome::More {
                    queue = self.accept_from(at);
                }
            }
            waits |= queue == AcceptOutcome::NoCapacity;
        }
        waits
    }

    /// Gives idle connections the time by which they are closed, if they are to be, the longest idle first.
    pub(super) fn schedule_idle_closes(&mut self, now: Micros) {
        let mut idle: Vec<(Micros, ConnKey)> = Vec::new();
        let leaves = self.ops.lifecycle.idle_until(now, 0, 1).is_some();
        for (key, (conn, role)) in self.connections.iter_mut() {
            match role {
                // Half a request has its own time, and its answer ends the connection.
                Role::Client { pending: None, .. }
                    if !conn.input.bytes().is_empty() && !conn.closing => {}
                Role::Client { pending: None, .. } if conn.outbox.is_empty() => {
                    idle.push((conn.idle_since, key))
                }
                Role::Client { pending: None, .. } => conn.closing |= leaves,
                _ => {}
            }
        }
        idle.sort();
        let all = idle.len();
        for (rank, (since, key)) in idle.into_iter().enumerate() {
            let by = self.ops.lifecycle.idle_until(now, rank, all);
            self.set_deadline(
                key,
                Some(by.unwrap_or(since.max(now) + CLIENT_IDLE_TIMEOUT)),
            );
        }
    }

    /// A client's connection has been idle, or within a request, for as long as it may.
    pub(super) fn close_idle_client(&mut self, key: ConnKey, now: Micros) {
        if self.read_before_close(key, now) {
            return;
        }
        let Some((conn, _)) = self.connections.get_mut(key) else {
            return;
        };
        if !conn.input.bytes().is_empty() && conn.outbox.is_empty() {
            conn.outbox.push(
                net::UNTAGGED_FRAME,
                platform::turn_away(&platform::too_slow(), false),
            );
            let _ = conn.flush();
        }
        self.close(key, CloseReason::Idle);
    }

    /// An idle connection is about to be closed: what has come on it by now still counts. Tells whether the
    /// connection stays for it.
    fn read_before_close(&mut self, key: ConnKey, now: Micros) -> bool {
        let Some((conn, _)) = self.connections.get_mut(key) else {
            return false;
        };
        // One that has had its time for the rest of a request gets no more of it.
        if conn.closing || !conn.input.bytes().is_empty() {
            return false;
        }
        if conn.read(READ_LIMIT).is_err() || conn.input.bytes().is_empty() {
            return false;
        }
        self.on_input(key, now);
        let Some((conn, Role::Client { pending: open, .. })) = self.connections.get_mut(key) else {
            return true;
        };
        if open.is_none() && !conn.closing && !conn.input.bytes().is_empty() {
            // Half a request: it may come whole yet, soon.
            self.set_deadline(key, Some(now + PARTIAL_REQUEST_TIMEOUT));
        }
        true
    }
}
