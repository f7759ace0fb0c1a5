//! The platform's clients: accepting, requests and answers, and the orderly end.

use super::*;

/// What is left in a listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// Nothing.
    Empty,
    /// Perhaps more than one turn takes.
    More,
    /// Somebody for whom there is no room now; it is tried again.
    Stuck,
}

impl Gateway {
    pub(super) fn accept_all(&mut self) {
        self.accept = false;
        if !self.ops.life.accepts(self.clock.now()) {
            return;
        }
        for at in 0..self.listeners.len() {
            // Guards all others against a flood: who is left waits for the next turn.
            self.accept |= self.accept_from(at) == Queue::More;
        }
    }

    /// Accepts from one listener until its queue is empty, as many as one turn has room for.
    fn accept_from(&mut self, at: usize) -> Queue {
        for _ in 0..MOST_ACCEPTS {
            let Some(listener) = self.listeners.get(at) else {
                return Queue::Empty;
            };
            let kind = listener.kind;
            // What is not accepted waits in the machine's queue until a connection has ended. The platform's
            // clients keep their room whatever comes to the other listeners.
            let room = match kind {
                Kind::Platform => {
                    self.clients - self.secondary_clients
                        < self.max_clients - self.max_secondary_clients
                }
                _ => self.secondary_clients < self.max_secondary_clients,
            };
            let socket = listener.socket.clone();
            if !room && !self.make_room(kind) {
                return Queue::Stuck;
            }
            match socket.accept() {
                Ok((stream, _)) => {
                    let ready = stream
                        .set_nonblocking(true)
                        .and_then(|()| stream.set_nodelay(true));
                    let role = Role::Client {
                        kind,
                        open: None,
                        keep: true,
                    };
                    let Ok(key) = ready.and_then(|()| self.add(stream, true, role)) else {
                        continue;
                    };
                    self.clients += 1;
                    self.secondary_clients += usize::from(kind != Kind::Platform);
                    self.core.counters.accepted += 1;
                    let now = self.clock.now();
                    let by = self
                        .ops
                        .life
                        .first_request_deadline(now)
                        .unwrap_or(now + CLIENT_SLOW);
                    self.set_deadline(key, Some(by));
                    self.on_ready(key);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Queue::Empty,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    // Out of descriptors or memory: the queue stays, and so would the event. Tried again
                    // after a pause, or this would be a busy loop.
                    let at = self.clock.now() + ACCEPT_PAUSE;
                    self.core.hang(at, ACCEPT_AGAIN);
                    return Queue::Stuck;
                }
            }
        }
        Queue::More
    }

    /// All places are taken: closes the connection that has had nothing open for longest. Guards the places
    /// against clients that ask once and stay, or that connect and say nothing. Where none has been idle for
    /// long enough, it is tried again once one has.
    fn make_room(&mut self, kind: Kind) -> bool {
        let idle = self
            .connections
            .iter()
            .filter_map(|(key, (conn, role))| match role {
                Role::Client {
                    kind: k,
                    open: None,
                    ..
                } if (*k == Kind::Platform) == (kind == Kind::Platform) => Some((conn.idle, key)),
                _ => None,
            });
        let Some((since, key)) = idle.min() else {
            return false;
        };
        if self.clock.now() < since + CLIENT_YIELDS {
            self.core.hang(since + CLIENT_YIELDS, ACCEPT_AGAIN);
            return false;
        }
        self.core.counters.yielded += 1;
        self.close(key, CloseReason::LocalLimit);
        true
    }

    pub(super) fn on_client(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Client { open, .. })) = self.connections.get_mut(key) else {
                return;
            };
            if open.is_some() || conn.closing || conn.hold_back() {
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
                    if conn.ended {
                        self.ready.push(key);
                    }
                    // A request that comes by and by has its time from its first byte on.
                    let due = now + CLIENT_SLOW;
                    if !conn.input.bytes().is_empty() && conn.deadline.is_none_or(|t| t > due) {
                        self.set_deadline(key, Some(due));
                    }
                    return;
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    conn.out
                        .push(net::KEPT_FRAME, platform::turn_away(&bad, false));
                    (conn.closing, conn.linger) = (true, true);
                    self.dirty.push(key);
                    return self.set_deadline(key, Some(now + LINGER));
                }
            };
            conn.input.consume(taken.size);
            conn.idle = now;
            // A whole request came: the time for the next one begins anew.
            self.set_deadline(key, Some(now + CLIENT_IDLE));
            let Some((conn, Role::Client { keep, .. })) = self.connections.get_mut(key) else {
                return;
            };
            let stays = taken.keep && self.ops.life.keeps_alive(now);
            *keep = stays;
            match taken.ask {
                Ok(Ask::Call(call)) if self.core.open() >= self.config.most_held => {
                    // As the platform does beyond `mostHeld`: turned away before the module.
                    self.core.turned_away(call.arrival.class);
                    let answer = Answer::Rejected {
                        retry_after: 1_000_000,
                    };
                    conn.out
                        .push(net::KEPT_FRAME, platform::answer(&answer, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Ok(Ask::Call(call)) if self.core.is_open(&call.id) => {
                    self.core.counters.bad_requests += 1;
                    let bad = crate::front::http::plain(409, "X-Correlation-Id of an open request");
                    conn.out
                        .push(net::KEPT_FRAME, platform::turn_away(&bad, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Ok(Ask::Call(call)) => {
                    self.set_deadline(key, None);
                    let request = self.core.call(now, call.with(Origin::Client(key)));
                    if let Some((_, Role::Client { open, .. })) = self.connections.get_mut(key) {
                        *open = Some(PendingResponse::Call(request));
                    }
                    return;
                }
                Ok(Ask::Ping) => {
                    let status = if self.ops.life.is_draining() {
                        503
                    } else {
                        200
                    };
                    conn.out.push(
                        net::KEPT_FRAME,
                        crate::front::http::response(status, "", b"", stays),
                    );
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    conn.out
                        .push(net::KEPT_FRAME, platform::turn_away(&bad, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
            }
        }
    }

    pub(super) fn answer_client(&mut self, key: ConnKey, answer: &Answer) {
        let now = self.clock.now();
        let accepting = self.ops.life.keeps_alive(now);
        if let Answer::Served(body) = answer {
            // Guards memory against clients that ask for much and read nothing.
            let waiting = || {
                self.connections
                    .values()
                    .map(|(c, _)| c.out.len())
                    .sum::<usize>()
            };
            if body.len() > LARGE && waiting() > MOST_WAITING {
                return self.close(key, CloseReason::LocalLimit);
            }
        }
        let Some((conn, Role::Client { open, keep, .. })) = self.connections.get_mut(key) else {
            return;
        };
        *open = None;
        conn.idle = now;
        let stays = *keep && accepting;
        conn.out
            .push(net::KEPT_FRAME, platform::answer(answer, stays));
        conn.closing = !stays;
        self.set_deadline(key, Some(now + CLIENT_IDLE));
        self.dirty.push(key);
        // A client may have sent its next request already.
        self.on_client(key, now);
    }

    /// SIGTERM.
    pub(super) fn drain(&mut self) {
        let now = self.clock.now();
        // Another process may have become ready since the last look.
        self.look(now);
        if self.ops.life.begin_shutdown(now, self.is_taken_over()) {
            self.core
                .hang(self.ops.life.accepts_until().unwrap_or(now), DRAIN_OVER);
            self.thin_out(now);
            self.write_word(now);
            self.give_duties_back(now);
        }
    }

    /// Closes the listeners once nobody waits there any more; tells whether they are closed. Guards those whom the
    /// machine has accepted already: the end of a listener resets them. Where another process shares the socket,
    /// they are that one's.
    pub(super) fn stop_accepting(&mut self, now: Micros) -> bool {
        let waits = self.ops.life.accepts_backlog(now) && self.accept_rest();
        if waits {
            self.core.hang(now + ACCEPT_PAUSE, DRAIN_OVER);
            return false;
        }
        for listener in std::mem::take(&mut self.listeners) {
            self.handle.remove(listener.token);
        }
        self.thin_out(now);
        true
    }

    /// Accepts all that the machine has accepted; tells whether somebody is left who has no room yet.
    fn accept_rest(&mut self) -> bool {
        let mut waits = false;
        for at in 0..self.listeners.len() {
            let mut queue = Queue::More;
            // A whole queue at the most, or a flood would keep the listener open.
            for _ in 0..=BACKLOG_CONNECTS as usize / MOST_ACCEPTS {
                if queue == Queue::More {
                    queue = self.accept_from(at);
                }
            }
            waits |= queue == Queue::Stuck;
        }
        waits
    }

    /// Gives idle connections the time by which they are closed, if they are to be, the longest idle first.
    pub(super) fn thin_out(&mut self, now: Micros) {
        let mut idle: Vec<(Micros, ConnKey)> = Vec::new();
        let leaves = self.ops.life.idle_close_deadline(now, 0, 1).is_some();
        for (key, (conn, role)) in self.connections.iter_mut() {
            match role {
                // Half a request has its own time, and its answer ends the connection.
                Role::Client { open: None, .. }
                    if !conn.input.bytes().is_empty() && !conn.closing => {}
                Role::Client { open: None, .. } if conn.out.is_empty() => {
                    idle.push((conn.idle, key))
                }
                Role::Client { open: None, .. } => conn.closing |= leaves,
                _ => {}
            }
        }
        idle.sort();
        let all = idle.len();
        for (rank, (since, key)) in idle.into_iter().enumerate() {
            let by = self.ops.life.idle_close_deadline(now, rank, all);
            self.set_deadline(key, Some(by.unwrap_or(since.max(now) + CLIENT_IDLE)));
        }
    }

    /// A client's connection has been idle, or within a request, for as long as it may.
    pub(super) fn end_idle(&mut self, key: ConnKey, now: Micros) {
        if self.last_look(key, now) {
            return;
        }
        let Some((conn, _)) = self.connections.get_mut(key) else {
            return;
        };
        if !conn.input.bytes().is_empty() && conn.out.is_empty() {
            conn.out.push(
                net::KEPT_FRAME,
                platform::turn_away(&platform::too_slow(), false),
            );
            let _ = conn.flush();
        }
        self.close(key, CloseReason::Idle);
    }

    /// An idle connection is about to be closed: what has come on it by now still counts. Tells whether the
    /// connection stays for it.
    fn last_look(&mut self, key: ConnKey, now: Micros) -> bool {
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
        let Some((conn, Role::Client { open, .. })) = self.connections.get_mut(key) else {
            return true;
        };
        if open.is_none() && !conn.closing && !conn.input.bytes().is_empty() {
            // Half a request: it may come whole yet, soon.
            self.set_deadline(key, Some(now + LAST_LOOK));
        }
        true
    }
}
