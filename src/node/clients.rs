//! The platform's clients: accepting, requests and answers, and the orderly end.

use super::*;

impl Node {
    pub(super) fn accept_all(&mut self) {
        self.accept = false;
        for at in 0..self.listeners.len() {
            self.accept_from(at);
        }
    }

    pub(super) fn accept_from(&mut self, at: usize) {
        while let Some(listener) = self.listeners.get(at) {
            let kind = listener.kind;
            // What is not accepted waits in the machine's queue until a connection has ended. The platform's
            // clients keep their room whatever comes to the other listeners.
            let room = match kind {
                Kind::Platform => self.clients - self.others < self.most_clients - self.most_others,
                _ => self.others < self.most_others,
            };
            let socket = listener.socket.clone();
            if !room && !self.make_room(kind) {
                return;
            }
            match socket.accept() {
                Ok((stream, _)) => {
                    let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    let role = Role::Client { kind, open: None, keep: true };
                    let Ok(key) = ready.and_then(|()| self.add(stream, true, role)) else { continue };
                    self.clients += 1;
                    self.others += usize::from(kind != Kind::Platform);
                    self.core.counters.accepted += 1;
                    let now = self.clock.now();
                    self.set_deadline(key, Some(now + CLIENT_SLOW));
                    self.on_ready(key);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    // Out of descriptors or memory: the queue stays, and so would the event. Tried again
                    // after a pause, or this would be a busy loop.
                    let at = self.clock.now() + ACCEPT_PAUSE;
                    self.core.hang(at, ACCEPT_AGAIN);
                    return;
                }
            }
        }
    }

    /// All places are taken: closes the connection that has had nothing open for longest. Guards the places
    /// against clients that ask once and stay, or that connect and say nothing. Where none has been idle for
    /// long enough, it is tried again once one has.
    fn make_room(&mut self, kind: Kind) -> bool {
        let idle = self.conns.iter().filter_map(|(key, (conn, role))| match role {
            Role::Client { kind: k, open: None, .. }
                if (*k == Kind::Platform) == (kind == Kind::Platform) =>
            {
                Some((conn.idle, key))
            }
            _ => None,
        });
        let Some((since, key)) = idle.min() else { return false };
        if self.clock.now() < since + CLIENT_YIELDS {
            self.core.hang(since + CLIENT_YIELDS, ACCEPT_AGAIN);
            return false;
        }
        self.core.counters.yielded += 1;
        self.close(key, Ending::Overflow);
        true
    }

    pub(super) fn on_client(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Client { open, .. })) = self.conns.get_mut(key) else { return };
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
                    conn.out.push(net::KEPT_FRAME, platform::turn_away(&bad, false));
                    (conn.closing, conn.linger) = (true, true);
                    self.dirty.push(key);
                    return self.set_deadline(key, Some(now + LINGER));
                }
            };
            conn.input.consume(taken.size);
            conn.idle = now;
            // A whole request came: the time for the next one begins anew.
            self.set_deadline(key, Some(now + CLIENT_IDLE));
            let Some((conn, Role::Client { keep, .. })) = self.conns.get_mut(key) else { return };
            let stays = taken.keep && !self.listeners.is_empty();
            *keep = stays;
            match taken.ask {
                Ok(Ask::Call(_)) if self.core.open() >= self.config.most_held => {
                    // As the platform does beyond `mostHeld`: turned away before the module.
                    let answer = Answer::Refused { retry_after: 1_000_000 };
                    conn.out.push(net::KEPT_FRAME, platform::answer(&answer, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Ok(Ask::Call(call)) if self.core.is_open(&call.id) => {
                    self.core.counters.bad_requests += 1;
                    let bad = crate::front::http::plain(409, "X-Correlation-Id of an open request");
                    conn.out.push(net::KEPT_FRAME, platform::turn_away(&bad, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Ok(Ask::Call(call)) => {
                    self.set_deadline(key, None);
                    let request = self.core.call(now, call.with(Origin::Client(key)));
                    if let Some((_, Role::Client { open, .. })) = self.conns.get_mut(key) {
                        *open = Some(Owed::Call(request));
                    }
                    return;
                }
                Ok(Ask::Ping) => {
                    conn.out.push(net::KEPT_FRAME, crate::front::http::response(200, "", b"", stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    conn.out.push(net::KEPT_FRAME, platform::turn_away(&bad, stays));
                    conn.closing = !stays;
                    self.dirty.push(key);
                }
            }
        }
    }

    pub(super) fn answer_client(&mut self, key: ConnKey, answer: &Answer) {
        let now = self.clock.now();
        let accepting = !self.listeners.is_empty();
        if let Answer::Served(body) = answer {
            // Guards memory against clients that ask for much and read nothing.
            let waiting = || self.conns.values().map(|(c, _)| c.out.len()).sum::<usize>();
            if body.len() > LARGE && waiting() > MOST_WAITING {
                return self.close(key, Ending::Overflow);
            }
        }
        let Some((conn, Role::Client { open, keep, .. })) = self.conns.get_mut(key) else { return };
        *open = None;
        conn.idle = now;
        let stays = *keep && accepting;
        conn.out.push(net::KEPT_FRAME, platform::answer(answer, stays));
        conn.closing = !stays;
        self.set_deadline(key, Some(now + CLIENT_IDLE));
        self.dirty.push(key);
        // A client may have sent its next request already.
        self.on_client(key, now);
    }

    pub(super) fn drain(&mut self) {
        if !self.draining {
            self.draining = true;
            let at = self.clock.now() + DRAIN;
            self.core.hang(at, DRAIN_OVER);
        }
    }

    pub(super) fn stop_accepting(&mut self) {
        self.accept_all();
        for listener in std::mem::take(&mut self.listeners) {
            self.handle.remove(listener.token);
        }
        let idle = |(_, (conn, role)): &(ConnKey, &(Conn, Role))| {
            matches!(role, Role::Client { open: None, .. }) && conn.out.is_empty()
        };
        let idle: Vec<ConnKey> = self.conns.iter().filter(idle).map(|(key, _)| key).collect();
        for key in idle {
            self.close(key, Ending::Shutdown);
        }
        for (conn, role) in self.conns.values_mut() {
            if let Role::Client { open: None, .. } = role {
                conn.closing = true;
            }
        }
    }
}
