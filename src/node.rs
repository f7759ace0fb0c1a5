//! The gateway itself: calloop's events to connections, connections to the core, the core's commands back.
//!
//! Callbacks only note what is ready; all work is done after them, in [`Node::turn`].

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use slotmap::{new_key_type, Key, KeyData, SecondaryMap, SlotMap};

use crate::api::*;
use crate::board::{self, Feed, Notice, Roster};
use crate::clock::Clock;
use crate::config::{Config, Operator};
use crate::core::{Answer, AttemptKey, Command, Core, OrderKey, ProbeKey, RequestKey, Token};
use crate::ending::{Ending, Left};
use crate::front::http::READ_LIMIT;
use crate::front::platform::{self, Ask};
use crate::net::{self, Conn, Stream};
use crate::tenants::Registry;
use crate::worker::{self, Done, Go, Link, Open};

mod second;
use second::{AdminSide, CallbackKey, Hooks, JobKey};

new_key_type! {
    /// The slot of a connection.
    pub struct ConnKey;
}

/// Kinds of deadlines that the node hangs into the core's order.
const CONN: u8 = 0;
const CALLBACK: u8 = 1;
const BOARD_AGAIN: Token = Token { kind: 2, number: 0 };
const DRAIN_OVER: Token = Token { kind: 2, number: 1 };
const ACCEPT_AGAIN: Token = Token { kind: 2, number: 2 };
const BUNDLE_AGAIN: Token = Token { kind: 2, number: 3 };

/// A client's connection without an open request is closed after this; clients themselves close after 4 s.
const CLIENT_IDLE: Micros = 15_000_000;
/// How long connections are accepted after SIGTERM: they keep coming for 0.4 s, requests for 0.2 s more.
const DRAIN: Micros = 900_000;
/// Answers larger than this are counted against what may wait for slow clients in all.
const LARGE: usize = 64 << 10;
const MOST_WAITING: usize = 48 << 20;
/// How long a connection that was turned away may still send.
const LINGER: Micros = 1_000_000;
/// The board sends a comment every second; silent for this long it is asked anew.
const BOARD_SILENT: Micros = 4_000_000;
const BOARD_PAUSE: Micros = 200_000;
const ACCEPT_PAUSE: Micros = 50_000;
/// Bytes that may wait on a worker's connection before new requests take another.
const BACKLOG: usize = 1 << 20;
/// A worker's connection on which something is given up after so long a silence takes nothing new.
const SILENT: Micros = 1_000_000;
/// Connections to one worker at once.
const MOST_LINKS: usize = 6;

/// Why the gateway cannot start or go on.
#[derive(Debug)]
pub enum NodeError {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// The event loop failed.
    Loop(calloop::Error),
    /// The operator's file cannot be used.
    Operator(crate::config::ConfigError),
    /// The administration API's callers cannot be used.
    Identity(crate::identity::IdentityError),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Listen(at, e) => write!(f, "cannot listen on {at}: {e}"),
            NodeError::Loop(e) => write!(f, "the event loop failed: {e}"),
            NodeError::Operator(e) => write!(f, "{e}"),
            NodeError::Identity(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for NodeError {}

impl From<calloop::Error> for NodeError {
    fn from(e: calloop::Error) -> NodeError {
        NodeError::Loop(e)
    }
}

/// Whose a call is.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Client(ConnKey),
    Webhook(JobKey),
}

/// What a listener and its connections speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Platform,
    Webhook,
    Admin,
}

#[derive(Debug)]
enum Role {
    Client { kind: Kind, open: Option<RequestKey>, keep: bool },
    Worker(Link),
    Board(Feed),
    Portal(CallbackKey),
}

#[derive(Debug)]
struct Listener {
    kind: Kind,
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

struct Fd(Rc<TcpListener>);

impl std::os::fd::AsFd for Fd {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// One gateway.
#[derive(Debug)]
pub struct Node {
    handle: LoopHandle<'static, Node>,
    clock: Clock,
    config: Config,
    core: Core<Origin>,
    roster: Roster,
    conns: SlotMap<ConnKey, (Conn, Role)>,
    links: BTreeMap<WorkerId, Vec<ConnKey>>,
    attempts: SecondaryMap<AttemptKey, ConnKey>,
    orders: SecondaryMap<OrderKey, ConnKey>,
    probes: SecondaryMap<ProbeKey, ConnKey>,
    listeners: Vec<Listener>,
    accept: bool,
    clients: usize,
    most_clients: usize,
    /// Clients that are not the platform's.
    others: usize,
    most_others: usize,
    tenants: Registry,
    hooks: Option<Hooks>,
    admin: Option<AdminSide>,
    last_rev: u64,
    gap_at: Option<u64>,
    ready: Vec<ConnKey>,
    dirty: Vec<ConnKey>,
    done: VecDeque<Done>,
    signals: Vec<Signal>,
    draining: bool,
    stop: bool,
}

impl Node {
    /// Listens and takes over what is known; serves once [`Node::run`] is called.
    pub fn new(
        config: Config,
        operator: Operator,
        handle: LoopHandle<'static, Node>,
        mut clock: Clock,
    ) -> Result<Node, NodeError> {
        let now = clock.now();
        let mut core = Core::new(config.settings.clone(), config.seed, now);
        let mut roster = Roster::default();
        let mut last_rev = config.known_rev;
        let mut members: BTreeMap<WorkerId, Member> = BTreeMap::new();
        for notice in &config.known {
            if notice.snapshot {
                members.clear();
            }
            members.extend(roster.apply(notice).0.into_iter().map(|m| (m.worker, m)));
            last_rev = last_rev.max(notice.rev);
        }
        let listed = members.into_values().filter(|m| m.status != Status::Gone).collect();
        core.members(now, ListKind::Cached, listed);
        let most_clients = (config.limits.sockets * 3 / 5).max(8);
        core.hang(now, BOARD_AGAIN);
        let most_others =
            if operator.webhooks.is_some() || operator.admin.is_some() { most_clients / 4 } else { 0 };
        let listen = config.listen;
        let mut node = Node {
            handle,
            clock,
            config,
            core,
            roster,
            conns: SlotMap::with_key(),
            links: BTreeMap::new(),
            attempts: SecondaryMap::new(),
            orders: SecondaryMap::new(),
            probes: SecondaryMap::new(),
            listeners: Vec::new(),
            accept: true,
            clients: 0,
            most_clients,
            others: 0,
            most_others,
            tenants: Registry::default(),
            hooks: None,
            admin: None,
            last_rev,
            gap_at: None,
            ready: Vec::new(),
            dirty: Vec::new(),
            done: VecDeque::new(),
            signals: Vec::new(),
            draining: false,
            stop: false,
        };
        node.listen(Kind::Platform, listen)?;
        node.set_up(now, operator)?;
        Ok(node)
    }

    fn listen(&mut self, kind: Kind, address: SocketAddr) -> Result<(), NodeError> {
        let fail = |e| NodeError::Listen(address, e);
        let socket = TcpListener::bind(address).map_err(fail)?;
        socket.set_nonblocking(true).map_err(fail)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Fd(socket.clone()), Interest::READ, Mode::Edge);
        let note = |_, _: &mut _, node: &mut Node| {
            node.accept = true;
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, note).map_err(|e| NodeError::Loop(e.error))?;
        self.listeners.push(Listener { kind, socket, token });
        Ok(())
    }

    fn address_of(&self, kind: Kind) -> Option<SocketAddr> {
        self.listeners.iter().find(|l| l.kind == kind).and_then(|l| l.socket.local_addr().ok())
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address_of(Kind::Platform)
    }

    /// Where signed webhooks come in, if they are on.
    pub fn webhook_address(&self) -> Option<SocketAddr> {
        self.address_of(Kind::Webhook)
    }

    /// Where the administration API listens, if it is on.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.address_of(Kind::Admin)
    }

    /// Has SIGTERM and SIGINT end the gateway in order and SIGUSR1 print the counters.
    pub fn heed_signals(&self) -> Result<(), NodeError> {
        let source = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1])?;
        let note = |event: calloop::signals::Event, _: &mut (), node: &mut Node| {
            node.signals.push(event.signal());
        };
        self.handle.insert_source(source, note).map_err(|e| NodeError::Loop(e.error))?;
        Ok(())
    }

    /// Serves until told to stop; then everything taken has been answered.
    pub fn run(&mut self, events: &mut EventLoop<'static, Node>) -> Result<(), NodeError> {
        while !self.stop {
            self.turn();
            if self.stop {
                break;
            }
            let now = self.clock.now();
            let wait = match self.core.next_deadline() {
                _ if !self.ready.is_empty() || self.accept => Some(Duration::ZERO),
                next => next.map(|t| Duration::from_micros(t.saturating_sub(now))),
            };
            events.dispatch(wait, self)?;
        }
        Ok(())
    }

    /// The counters so far.
    pub fn counters(&self) -> &crate::counters::Counters {
        &self.core.counters
    }

    /// Does all that is ready and due.
    fn turn(&mut self) {
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => eprintln!("counters {}", self.core.counters),
                _ => self.drain(),
            }
        }
        for key in std::mem::take(&mut self.ready) {
            self.on_ready(key);
        }
        self.tick();
        if self.accept {
            self.accept_all();
        }
        self.pump();
        let hooks = self.hooks.as_ref().is_none_or(Hooks::is_idle);
        if self.draining && self.listeners.is_empty() && self.clients == 0 && hooks {
            self.stop = true;
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut due = Vec::new();
        self.core.tick(now, &mut due);
        for token in due {
            match token {
                BOARD_AGAIN => self.open_board(now),
                DRAIN_OVER => self.stop_accepting(),
                ACCEPT_AGAIN => self.accept = true,
                BUNDLE_AGAIN => self.load_bundle(now),
                Token { kind: CALLBACK, number } => self.deliver(now, KeyData::from_ffi(number).into()),
                Token { number, .. } => self.on_deadline(now, KeyData::from_ffi(number).into()),
            }
        }
    }

    // ---- Connections ----

    fn add(&mut self, stream: std::net::TcpStream, up: bool, role: Role) -> io::Result<ConnKey> {
        let (handle, stream) = (&self.handle, Stream(Rc::new(stream)));
        self.conns.try_insert_with_key(|key| {
            let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
            let note = move |_, _: &mut _, node: &mut Node| {
                node.ready.push(key);
                Ok(PostAction::Continue)
            };
            let token =
                handle.insert_source(source, note).map_err(|e| io::Error::other(e.error.to_string()))?;
            Ok((Conn::new(stream, token, up), role))
        })
    }

    fn set_deadline(&mut self, key: ConnKey, at: Option<Micros>) {
        let Some((conn, _)) = self.conns.get_mut(key) else { return };
        let token = Token { kind: CONN, number: key.data().as_ffi() };
        if let Some(old) = conn.deadline.take() {
            self.core.unhang(old, token);
        }
        conn.deadline = at;
        if let Some(at) = at {
            self.core.hang(at, token);
        }
    }

    /// Ends a connection, and with it everything open on it.
    fn close(&mut self, key: ConnKey, ending: Ending) {
        self.set_deadline(key, None);
        let Some((conn, role)) = self.conns.remove(key) else { return };
        self.handle.remove(conn.token);
        let now = self.clock.now();
        match role {
            Role::Client { kind, open, .. } => {
                self.clients -= 1;
                self.others -= usize::from(kind != Kind::Platform);
                self.accept |= !self.listeners.is_empty();
                if let Some(request) = open {
                    self.core.caller_gone(now, request);
                }
            }
            Role::Worker(mut link) => {
                let mut done = Vec::new();
                link.end(&conn.out, ending, &mut done);
                self.done.extend(done);
                if let Some(keys) = self.links.get_mut(&link.worker) {
                    keys.retain(|k| *k != key);
                    if keys.is_empty() {
                        self.links.remove(&link.worker);
                    }
                }
            }
            Role::Board(_) => self.core.hang(now + BOARD_PAUSE, BOARD_AGAIN),
            Role::Portal(callback) => {
                let left =
                    if conn.out.untouched(second::CALLBACK_FRAME) { Left::Nothing } else { Left::Some };
                self.delivered(now, callback, ending, left);
            }
        }
    }

    fn on_ready(&mut self, key: ConnKey) {
        let now = self.clock.now();
        let Some((conn, role)) = self.conns.get_mut(key) else { return };
        let was_up = conn.up;
        match conn.check_connect() {
            Ok(true) => {}
            Ok(false) => return,
            Err(ending) => return self.close(key, ending),
        }
        let limit = match role {
            Role::Client { .. } | Role::Portal(_) => READ_LIMIT,
            Role::Worker(_) => worker::READ_LIMIT,
            Role::Board(_) => board::READ_LIMIT,
        };
        let read = conn.read(limit);
        if !was_up {
            let next = match role {
                Role::Worker(_) => now + self.config.conn_idle * 4 / 5,
                Role::Portal(_) => conn.deadline.unwrap_or(now),
                _ => now + BOARD_SILENT,
            };
            self.set_deadline(key, Some(next));
        }
        self.dirty.push(key);
        // What came before the end still counts.
        self.on_input(key, now);
        let Some((conn, role)) = self.conns.get(key) else { return };
        match read {
            Err(ending) => self.close(key, ending),
            Ok(()) if conn.ended => self.close(key, Ending::Closed),
            // Clients' buffers are read on when their request has been answered.
            Ok(()) if !conn.more || matches!(role, Role::Client { .. }) => {}
            // Something longer than the buffer may be: it would never come whole, and nothing behind it.
            Ok(()) if conn.input.bytes().len() >= limit => self.close(key, Ending::Malformed),
            Ok(()) => self.ready.push(key),
        }
    }

    fn on_input(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, role)) = self.conns.get_mut(key) else { return };
        match role {
            Role::Client { kind: Kind::Platform, .. } => self.on_client(key, now),
            Role::Client { .. } => self.on_second(key, now),
            Role::Portal(_) => {
                if let Some(ending) = crate::front::webhook::callback::portal_answer(conn.input.bytes()) {
                    self.close(key, ending);
                }
            }
            Role::Worker(link) => {
                let mut done = Vec::new();
                let result = link.input(now, &mut conn.input, &mut done);
                self.done.extend(done);
                match result {
                    Ok(unmatched) => self.core.counters.unmatched += unmatched,
                    Err(e) => {
                        let worker = link.worker.0;
                        self.core.counters.unreadable += 1;
                        eprintln!("molelug: worker {worker:08x} answered what cannot be read: {e}");
                        self.close(key, Ending::Malformed);
                    }
                }
            }
            Role::Board(feed) => {
                let mut events = Vec::new();
                let result = feed.input(&mut conn.input, &mut events);
                let ended = feed.ended();
                self.set_deadline(key, Some(now + BOARD_SILENT));
                for event in events {
                    if !self.on_event(now, &event) {
                        return self.close(key, Ending::Malformed);
                    }
                }
                if let Err(e) = result {
                    self.core.counters.unreadable += 1;
                    eprintln!("molelug: {e}");
                    self.close(key, Ending::Malformed);
                } else if ended {
                    self.close(key, Ending::Closed);
                }
            }
        }
    }

    fn on_deadline(&mut self, now: Micros, key: ConnKey) {
        let idle = self.config.conn_idle * 4 / 5;
        let Some((conn, role)) = self.conns.get_mut(key) else { return };
        conn.deadline = None;
        match role {
            Role::Client { open: Some(_), .. } => {}
            Role::Client { .. } => {
                if !conn.input.bytes().is_empty() && conn.out.is_empty() {
                    conn.out.push(net::KEPT_FRAME, platform::turn_away(&platform::too_slow(), false));
                    let _ = conn.flush();
                }
                self.close(key, Ending::Idle);
            }
            Role::Worker(_) if !conn.up => self.close(key, Ending::NeverUp),
            Role::Worker(link) if link.open() == 0 && (link.suspect || now >= link.heard + idle) => {
                self.close(key, Ending::Idle)
            }
            Role::Worker(link) => {
                let next = if link.open() == 0 { link.heard + idle } else { now + idle };
                self.set_deadline(key, Some(next));
            }
            Role::Board(_) | Role::Portal(_) => {
                let ending = if conn.up { Ending::TimedOut } else { Ending::NeverUp };
                self.close(key, ending)
            }
        }
    }

    // ---- Clients ----

    fn accept_all(&mut self) {
        self.accept = false;
        for at in 0..self.listeners.len() {
            self.accept_from(at);
        }
    }

    fn accept_from(&mut self, at: usize) {
        while let Some(listener) = self.listeners.get(at) {
            let kind = listener.kind;
            // What is not accepted waits in the machine's queue until a connection has ended. The platform's
            // clients keep their room whatever comes to the other listeners.
            let room = match kind {
                Kind::Platform => self.clients - self.others < self.most_clients - self.most_others,
                _ => self.others < self.most_others,
            };
            if !room {
                return;
            }
            match listener.socket.accept() {
                Ok((stream, _)) => {
                    let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    let role = Role::Client { kind, open: None, keep: true };
                    let Ok(key) = ready.and_then(|()| self.add(stream, true, role)) else { continue };
                    self.clients += 1;
                    self.others += usize::from(kind != Kind::Platform);
                    self.core.counters.accepted += 1;
                    let now = self.clock.now();
                    self.set_deadline(key, Some(now + CLIENT_IDLE));
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

    fn on_client(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Client { open, keep, .. })) = self.conns.get_mut(key) else { return };
            if open.is_some() || conn.closing {
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
                Ok(Ask::Call(call)) => {
                    self.set_deadline(key, None);
                    let request = self.core.call(now, call.with(Origin::Client(key)));
                    if let Some((_, Role::Client { open, .. })) = self.conns.get_mut(key) {
                        *open = Some(request);
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

    fn answer_client(&mut self, key: ConnKey, answer: &Answer) {
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
        let stays = *keep && accepting;
        conn.out.push(net::KEPT_FRAME, platform::answer(answer, stays));
        conn.closing = !stays;
        self.set_deadline(key, Some(now + CLIENT_IDLE));
        self.dirty.push(key);
        // A client may have sent its next request already.
        self.on_client(key, now);
    }

    // ---- Commands ----

    /// Carries out commands and reports endings until there is nothing left; then writes.
    fn pump(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(done) = self.done.pop_front() {
                self.report(now, done);
            } else if let Some(command) = self.core.command() {
                self.perform(now, command);
            } else if let Some(key) = self.dirty.pop() {
                let Some((conn, _)) = self.conns.get_mut(key) else { continue };
                match conn.flush() {
                    Ok(true) if conn.closing && (!conn.linger || conn.hang_up()) => {
                        self.close(key, Ending::Closed)
                    }
                    Ok(_) => {}
                    Err(ending) => self.close(key, ending),
                }
            } else {
                return;
            }
        }
    }

    fn report(&mut self, now: Micros, done: Done) {
        match done.what {
            Open::Attempt(key) => {
                self.attempts.remove(key);
                self.core.ended(now, key, done.ending, done.left, done.back);
            }
            Open::Order(key) => {
                self.orders.remove(key);
                self.core.order_ended(now, key, done.ending, done.left, done.copies);
            }
            Open::Probe(key) => {
                self.probes.remove(key);
                self.core.probe_ended(now, key, done.ending, done.back.report);
            }
        }
    }

    fn perform(&mut self, now: Micros, command: Command<Origin>) {
        match command {
            Command::Answer { origin: Origin::Client(key), answer } => self.answer_client(key, &answer),
            Command::Answer { origin: Origin::Webhook(job), answer } => self.call_back(now, job, &answer),
            Command::Go { attempt, worker, id, class, function, expires, body } => {
                let key = match self.link(now, worker, &id) {
                    Ok(key) => key,
                    Err(ending) => {
                        return self.done.push_back(Done::plain(
                            Open::Attempt(attempt),
                            ending,
                            Left::Nothing,
                        ))
                    }
                };
                let Some((conn, Role::Worker(link))) = self.conns.get_mut(key) else { return };
                let class = self.config.names.classes.get(class.0 as usize).map_or("", String::as_str);
                let wait_ms = expires.saturating_sub(now) / 1000;
                link.go(&mut conn.out, Go { attempt, id, class, function, wait_ms, body: &body });
                self.attempts.insert(attempt, key);
                self.dirty.push(key);
            }
            Command::Halt { attempt, why } => {
                let left = self.attempts.get(attempt).copied();
                let left = left.map_or(Left::Some, |key| self.give_up(now, key, Open::Attempt(attempt)));
                self.done.push_back(Done::plain(Open::Attempt(attempt), why, left));
            }
            Command::Stage { order, worker, function, copies } => match self.link(now, worker, "") {
                Ok(key) => {
                    let Some((conn, Role::Worker(link))) = self.conns.get_mut(key) else { return };
                    link.stage(&mut conn.out, order, function, copies);
                    self.orders.insert(order, key);
                    self.dirty.push(key);
                }
                Err(ending) => {
                    self.done.push_back(Done::plain(Open::Order(order), ending, Left::Nothing));
                }
            },
            Command::Forget { order } => {
                let left = self.orders.get(order).copied();
                let left = left.map_or(Left::Some, |key| self.give_up(now, key, Open::Order(order)));
                self.done.push_back(Done::plain(Open::Order(order), Ending::TimedOut, left));
            }
            Command::Purge { worker, function } => {
                if let Ok(key) = self.link(now, worker, "") {
                    let Some((conn, Role::Worker(link))) = self.conns.get_mut(key) else { return };
                    link.purge(&mut conn.out, function);
                    self.dirty.push(key);
                }
            }
            Command::Probe { probe, worker } => match self.link(now, worker, "") {
                Ok(key) => {
                    let Some((conn, Role::Worker(link))) = self.conns.get_mut(key) else { return };
                    link.probe(&mut conn.out, probe);
                    self.probes.insert(probe, key);
                    self.dirty.push(key);
                }
                Err(ending) => {
                    self.done.push_back(Done::plain(Open::Probe(probe), ending, Left::Nothing));
                }
            },
        }
    }

    /// Gives up what is open on a connection. One that has said nothing since takes nothing new: its machine
    /// may have vanished, and then only a new connection shows whether it is back.
    fn give_up(&mut self, now: Micros, key: ConnKey, what: Open) -> Left {
        let Some((conn, Role::Worker(link))) = self.conns.get_mut(key) else { return Left::Some };
        let left = link.give_up(&mut conn.out, what, now, now + 10_000_000);
        if left == Left::Some && now > link.heard.max(link.busy) + SILENT {
            link.suspect = true;
        }
        if link.suspect && link.open() == 0 {
            self.set_deadline(key, Some(now + 100_000));
        }
        self.dirty.push(key);
        left
    }

    /// A connection to a worker that takes this, opened if need be.
    fn link(&mut self, now: Micros, worker: WorkerId, id: &str) -> Result<ConnKey, Ending> {
        let streams = self.config.streams;
        let keys = self.links.entry(worker).or_default();
        let fits = |key: &&ConnKey| match self.conns.get(**key) {
            Some((conn, Role::Worker(link))) => link.takes(id, streams) && conn.out.len() < BACKLOG,
            _ => false,
        };
        if let Some(key) = keys.iter().copied().find(|key| fits(&key)) {
            if let Some((_, Role::Worker(link))) = self.conns.get_mut(key) {
                link.busy = if link.open() == 0 { now } else { link.busy };
            }
            return Ok(key);
        }
        if keys.len() >= MOST_LINKS || self.conns.len() >= self.config.limits.sockets.saturating_sub(24) {
            return Err(Ending::Overflow);
        }
        let address = *self.roster.addresses.get(&worker).ok_or(Ending::NeverUp)?;
        let stream = net::connect(address).map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => Ending::Refused,
            _ => Ending::NeverUp,
        })?;
        let role = Role::Worker(Link::new(worker, now));
        let key = self.add(stream, false, role).map_err(|_| Ending::NeverUp)?;
        self.core.counters.connects += 1;
        self.links.entry(worker).or_default().push(key);
        self.set_deadline(key, Some(now + self.config.connect_limit));
        Ok(key)
    }

    // ---- The board ----

    fn open_board(&mut self, now: Micros) {
        let Some(address) = self.config.board else { return };
        if self.conns.values().any(|(_, role)| matches!(role, Role::Board(_))) {
            return;
        }
        let opened = net::connect(address).and_then(|s| self.add(s, false, Role::Board(Feed::default())));
        match opened {
            Ok(key) => {
                if let Some((conn, _)) = self.conns.get_mut(key) {
                    conn.out.push(net::KEPT_FRAME, Feed::request(address, self.last_rev));
                }
                self.set_deadline(key, Some(now + 1_000_000));
            }
            Err(_) => self.core.hang(now + BOARD_PAUSE, BOARD_AGAIN),
        }
    }

    /// Takes one event; `false` if the board is to be asked anew for what was missed.
    fn on_event(&mut self, now: Micros, event: &board::Sse) -> bool {
        let notice = match Notice::parse(&event.data, &self.config.names) {
            Ok(notice) => notice,
            Err(e) => {
                // The list held stays as it is; the next event goes on from there.
                self.core.counters.unreadable += 1;
                eprintln!("molelug: event {:?} is passed over: {e}", event.id);
                self.last_rev = self.last_rev.max(event.id.unwrap_or(0));
                return true;
            }
        };
        if !notice.snapshot {
            if notice.rev <= self.last_rev {
                return true;
            }
            if notice.rev > self.last_rev + 1 && self.gap_at != Some(self.last_rev) {
                self.gap_at = Some(self.last_rev);
                return false;
            }
        }
        (self.last_rev, self.gap_at) = (notice.rev, None);
        let (members, moved) = self.roster.apply(&notice);
        for m in &members {
            self.on_member(m);
        }
        for worker in moved {
            self.retire(worker, None);
        }
        if notice.snapshot {
            let listed = |w: &WorkerId| members.iter().any(|m| m.worker == *w);
            let gone: Vec<WorkerId> = self.links.keys().filter(|w| !listed(w)).copied().collect();
            gone.into_iter().for_each(|w| self.retire(w, None));
        }
        let kind = if notice.snapshot { ListKind::Full } else { ListKind::Delta };
        let told = members.into_iter().filter(|m| !notice.snapshot || m.status != Status::Gone).collect();
        self.core.members(now, kind, told);
        true
    }

    fn on_member(&mut self, m: &Member) {
        match (m.status, m.started) {
            (Status::Ready, Some(started)) => self.retire(m.worker, Some(started)),
            (Status::Ready, None) => {}
            (Status::Draining | Status::Gone, _) => self.retire(m.worker, None),
        }
    }

    /// Nothing more goes out on a worker's connections opened before a time (or on any): what is queued is
    /// taken back, what is out may still be answered.
    fn retire(&mut self, worker: WorkerId, before: Option<Micros>) {
        let mut done = Vec::new();
        for key in self.links.get(&worker).cloned().unwrap_or_default() {
            let Some((conn, Role::Worker(link))) = self.conns.get_mut(key) else { continue };
            if before.is_some_and(|t| link.opened >= t) {
                continue;
            }
            link.withdraw_unsent(&mut conn.out, &mut done);
            link.suspect = true;
        }
        self.done.extend(done);
    }

    // ---- The end ----

    fn drain(&mut self) {
        if !self.draining {
            self.draining = true;
            let at = self.clock.now() + DRAIN;
            self.core.hang(at, DRAIN_OVER);
        }
    }

    fn stop_accepting(&mut self) {
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
