//! The gateway itself: calloop's events to connections, connections to the core, the core's commands back.
//!
//! Callbacks only note what is ready; all work is done after them, in [`Gateway::turn`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};

use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use slotmap::{new_key_type, Key, KeyData, SecondaryMap, SlotMap};

use crate::api::*;
use crate::clock::Clock;
use crate::completion::{CloseReason, SendProgress};
use crate::config::{Config, Operator};
use crate::core::{Answer, AttemptKey, Command, Core, OrderKey, ProbeKey, RequestKey, Token};
use crate::discovery::{self, EndpointList, WatchEvent, WatchStream};
use crate::front::http::READ_LIMIT;
use crate::front::operator_console;
use crate::front::platform::{self, Ask};
use crate::membership::config::Gossip;
use crate::net::{self, Conn, Stream};
use crate::worker::{self, AttemptCommand, Completed, Exchange, WorkerConnection};

mod clients;
mod commands;
mod connections;
mod consensus;
mod endpoint_updates;
mod error;
mod gossip;
mod health_checks;
mod history;
mod hot_restart;
mod load_coordination;
mod operations;
mod reload;
mod replication;
mod secondary_listeners;
mod tenants;
mod webhooks;
pub use error::GatewayError;
use operations::Ops;
use secondary_listeners::SecondaryListeners;
use webhooks::{JobKey, PortalLink};

new_key_type! {
    /// The slot of a connection.
    pub struct ConnKey;
}

/// Kinds of deadlines that the node hangs into the core's order.
const CONN: u8 = 0;
const BOARD_AGAIN: Token = Token { kind: 2, number: 0 };
const DRAIN_OVER: Token = Token { kind: 2, number: 1 };
const ACCEPT_AGAIN: Token = Token { kind: 2, number: 2 };
const BUNDLE_AGAIN: Token = Token { kind: 2, number: 3 };
const DELIVER: Token = Token { kind: 2, number: 4 };
const RETAIN: Token = Token { kind: 2, number: 5 };
const GOSSIP: Token = Token { kind: 2, number: 6 };
const LINE_AGAIN: Token = Token { kind: 2, number: 7 };
const HANDOVER: Token = Token { kind: 2, number: 8 };
const COUNCIL: Token = Token { kind: 2, number: 9 };
const TRIALS: Token = Token {
    kind: 2,
    number: 10,
};
const LOADS: Token = Token {
    kind: 2,
    number: 11,
};
const COPIES: Token = Token {
    kind: 2,
    number: 12,
};
const TENANTS: Token = Token {
    kind: 2,
    number: 13,
};

/// A client's connection without an open request is closed after this; clients themselves close after 4 s, but
/// for those that ask once and stay.
const CLIENT_IDLE: Micros = 4_500_000;
/// A client has this long to send a whole request, counted from its connect or from the request's first byte.
const CLIENT_SLOW: Micros = 2_000_000;
/// When all places are taken, a connection that has been idle for this long may yield its own to a new one:
/// long enough for a request that is on its way to have come.
const CLIENT_YIELDS: Micros = 150_000;
/// One descriptor in so many is for clients, who hold a third at the most; the others stay free for workers, the board,
/// the second address, files and the event loop, whatever clients do.
const CLIENTS_PART: usize = 2;
/// Descriptors that workers' connections leave to the board, the second address, files and the event loop.
const SPARE_DESCRIPTORS: usize = 24;
/// Places for clients, however few descriptors there are.
const LEAST_CLIENTS: usize = 8;
/// Connections accepted from one listener in one turn.
const MOST_ACCEPTS: usize = 256;
/// How long a connection that is to be closed may go on with a request that has begun to come.
const LAST_LOOK: Micros = 200_000;
/// Answers larger than this are counted against what may wait for slow clients in all.
const LARGE: usize = 16 << 10;
const MOST_WAITING: usize = 48 << 20;
/// How long a connection that was turned away may still send.
const LINGER: Micros = 1_000_000;
/// The board sends a comment every second; silent for this long it is asked anew.
const BOARD_SILENT: Micros = 2_200_000;
const BOARD_PAUSE: Micros = 100_000;
const ACCEPT_PAUSE: Micros = 50_000;
/// An answer that has begun comes whole within this, or its connection is of no more use.
const ANSWER_SLOW: Micros = 200_000;
/// Connections that may wait to be accepted.
const BACKLOG_CONNECTS: i32 = 1024;
/// Bytes that may wait on a worker's connection before new requests take another.
const BACKLOG: usize = 256 << 10;
/// A worker's connection on which something is given up after so long a silence takes nothing new.
const SILENT: Micros = 1_000_000;
/// How often a connection that takes nothing new is looked at, to be closed once nothing is open on it.
const RETIRED_AGAIN: Micros = 250_000;
/// Connections to one worker at once.
const MOST_LINKS: usize = 4;

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

/// What a client's answer waits for.
#[derive(Clone, Copy, Debug)]
enum PendingResponse {
    /// The module.
    Call(RequestKey),
    /// The store.
    Store,
}

#[derive(Debug)]
enum Role {
    Client {
        kind: Kind,
        open: Option<PendingResponse>,
        keep: bool,
    },
    Worker(WorkerConnection),
    Board(WatchStream),
    /// A caller of the second address.
    Line,
    /// Another gateway of the council.
    Peer(consensus::Peer),
    Portal(PortalLink),
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

/// What goes on between gateways, as far as it is on.
#[derive(Debug, Default)]
struct ClusterDrivers {
    /// The workers that are ready, while anybody here is to know.
    ready: Option<BTreeSet<WorkerId>>,
    gossip: Option<gossip::GossipDriver>,
    consensus: Option<consensus::ConsensusDriver>,
    health_checks: Option<health_checks::HealthCheckDriver>,
    loads: Option<load_coordination::LoadDriver>,
    replication: Option<replication::ReplicationDriver>,
    tenants: Option<tenants::TenantDriver>,
}

impl ClusterDrivers {
    /// Whether something waits to be read or accepted.
    fn busy(&self) -> bool {
        self.gossip.as_ref().is_some_and(gossip::GossipDriver::busy)
            || self
                .consensus
                .as_ref()
                .is_some_and(consensus::ConsensusDriver::busy)
    }
}

/// What else an operator has switched on at the start.
#[derive(Debug, Default)]
pub struct OptionalSubsystems {
    /// Gossip between instances.
    pub gossip: Option<Gossip>,
    /// The council.
    pub consensus: Option<crate::consensus::config::File>,
    /// Copies of what is held for others.
    pub replication: Option<crate::replication::config::ReplicationFile>,
}

/// One gateway.
#[derive(Debug)]
pub struct Gateway {
    handle: LoopHandle<'static, Gateway>,
    clock: Clock,
    config: Config,
    core: Core<Origin>,
    endpoints: EndpointList,
    connections: SlotMap<ConnKey, (Conn, Role)>,
    worker_connections: BTreeMap<WorkerId, Vec<ConnKey>>,
    attempts: SecondaryMap<AttemptKey, ConnKey>,
    load_orders: SecondaryMap<OrderKey, ConnKey>,
    health_checks: SecondaryMap<ProbeKey, ConnKey>,
    listeners: Vec<Listener>,
    accept: bool,
    clients: usize,
    max_clients: usize,
    /// Clients that are not the platform's.
    secondary_clients: usize,
    has_secondary: bool,
    max_secondary_clients: usize,
    secondary: SecondaryListeners,
    cluster: ClusterDrivers,
    ops: Ops,
    last_revision: u64,
    revision_gap: Option<u64>,
    ready: Vec<ConnKey>,
    dirty: Vec<ConnKey>,
    done: VecDeque<Completed>,
    signals: Vec<Signal>,
    stop: bool,
}

impl Gateway {
    /// Listens and takes over what is known; serves once [`Gateway::run`] is called.
    pub fn new(
        config: Config,
        operator: Operator,
        extras: OptionalSubsystems,
        inherited: Option<TcpListener>,
        handle: LoopHandle<'static, Gateway>,
        mut clock: Clock,
    ) -> Result<Gateway, GatewayError> {
        let now = clock.now();
        let core = Core::new(config.settings.clone(), config.seed, now);
        let has_others = operator.webhooks.is_some() || operator.admin.is_some();
        let last_rev = config.known_rev;
        let listen = config.listen;
        let mut node = Gateway {
            handle,
            clock,
            config,
            core,
            endpoints: EndpointList::default(),
            connections: SlotMap::with_key(),
            worker_connections: BTreeMap::new(),
            attempts: SecondaryMap::new(),
            load_orders: SecondaryMap::new(),
            health_checks: SecondaryMap::new(),
            listeners: Vec::new(),
            accept: true,
            clients: 0,
            max_clients: 0,
            secondary_clients: 0,
            has_secondary: has_others,
            max_secondary_clients: 0,
            secondary: SecondaryListeners::default(),
            cluster: ClusterDrivers::default(),
            ops: Ops::default(),
            last_revision: last_rev,
            revision_gap: None,
            ready: Vec::new(),
            dirty: Vec::new(),
            done: VecDeque::new(),
            signals: Vec::new(),
            stop: false,
        };
        match inherited {
            None => {
                node.listen(Kind::Platform, listen)?;
                node.ops.life.start();
            }
            Some(socket) => {
                let (socket, token) = node.watched(socket, |node| node.accept = true)?;
                node.listeners.push(Listener {
                    kind: Kind::Platform,
                    socket,
                    token,
                });
                node.begin_handover(now);
                node.core.hang(now, HANDOVER);
            }
        }
        let ready = node.take_known(now);
        node.share_limits(now);
        node.core.hang(now, BOARD_AGAIN);
        node.set_up_line()?;
        node.set_up(now, operator)?;
        if extras.gossip.is_some() || extras.consensus.is_some() {
            node.cluster.ready = Some(ready.clone());
        }
        if let Some(g) = &extras.gossip {
            node.set_up_gossip(now, g, ready.clone())?;
        }
        if let Some(c) = &extras.consensus {
            node.set_up_council(now, c, ready)?;
        }
        if let Some(c) = &extras.replication {
            node.start_replication(now, c)?;
        }
        Ok(node)
    }

    /// Takes over the notices known at the start; returns the workers that are ready.
    fn take_known(&mut self, now: Micros) -> BTreeSet<WorkerId> {
        let mut members: BTreeMap<WorkerId, WorkerEntry> = BTreeMap::new();
        for notice in &self.config.known {
            if notice.snapshot {
                members.clear();
            }
            let lines = notice
                .endpoints
                .iter()
                .map(|e| e.name.as_str())
                .zip(self.endpoints.apply(notice).0);
            let told = self.ops.upkeep.apply_list(notice.snapshot, lines);
            members.extend(told.into_iter().map(|m| (m.worker, m)));
            self.last_revision = self.last_revision.max(notice.rev);
        }
        members.values().for_each(|m| {
            self.endpoints
                .set_draining(m.worker, m.status != WorkerStatus::Ready)
        });
        let ready = members
            .values()
            .filter(|m| m.status == WorkerStatus::Ready)
            .map(|m| m.worker)
            .collect();
        let listed = members
            .into_values()
            .filter(|m| m.status != WorkerStatus::Removed)
            .collect();
        self.core.members(now, ListUpdate::Cached, listed);
        ready
    }

    /// How many places there are: this process's part, while others of the same gateway live.
    fn share_limits(&mut self, now: Micros) {
        if let Some(handover) = &self.ops.handover {
            let (ration, fall_multiple) = handover.others().limits(&self.config.settings);
            let bears = handover.others().bears() / 1e6;
            self.core.limits(now, ration, fall_multiple, bears);
        }
        let sockets = self.sockets();
        self.max_clients = (sockets / CLIENTS_PART).max(LEAST_CLIENTS);
        self.max_secondary_clients = if self.has_secondary {
            self.max_clients / 4
        } else {
            0
        };
    }

    /// Descriptors that this process may hold.
    fn sockets(&self) -> usize {
        self.config.limits.sockets / self.processes()
    }

    fn listen(&mut self, kind: Kind, address: SocketAddr) -> Result<(), GatewayError> {
        let (socket, token) = self.listening(address, |node| node.accept = true)?;
        self.listeners.push(Listener {
            kind,
            socket,
            token,
        });
        Ok(())
    }

    /// Binds an address and has those who connect noted.
    fn listening(
        &self,
        address: SocketAddr,
        note: fn(&mut Gateway),
    ) -> Result<(Rc<TcpListener>, RegistrationToken), GatewayError> {
        let fail = |e| GatewayError::Listen(address, e);
        let socket = TcpListener::bind(address).map_err(fail)?;
        // The library's queue of 128 overflows in a flood, and a connect that is dropped comes again after a
        // second only.
        rustix::net::listen(&socket, BACKLOG_CONNECTS).map_err(|e| fail(e.into()))?;
        self.watched(socket, note).map_err(|e| match e {
            GatewayError::Loop(calloop::Error::IoError(e)) => fail(e),
            e => e,
        })
    }

    /// Has those who connect to a listening socket noted.
    fn watched(
        &self,
        socket: TcpListener,
        note: fn(&mut Gateway),
    ) -> Result<(Rc<TcpListener>, RegistrationToken), GatewayError> {
        socket
            .set_nonblocking(true)
            .map_err(|e| GatewayError::Loop(e.into()))?;
        let socket = Rc::new(socket);
        let source = Generic::new(Fd(socket.clone()), Interest::READ, Mode::Edge);
        let noted = move |_, _: &mut _, node: &mut Gateway| {
            note(node);
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, noted)
            .map_err(|e| GatewayError::Loop(e.error))?;
        Ok((socket, token))
    }

    fn address_of(&self, kind: Kind) -> Option<SocketAddr> {
        self.listeners
            .iter()
            .find(|l| l.kind == kind)
            .and_then(|l| l.socket.local_addr().ok())
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

    /// Has SIGTERM and SIGINT end the gateway in order, SIGHUP read the configuration anew and SIGUSR1 print the
    /// counters. To be called before anything is said to be ready, as an unheeded signal ends the process, and before
    /// [`Gateway::new`]: the store's thread heeds signals as the thread does that it was begun from.
    pub fn watch_signals(handle: &LoopHandle<'static, Gateway>) -> Result<(), GatewayError> {
        let source = Signals::new(&[
            Signal::SIGTERM,
            Signal::SIGINT,
            Signal::SIGHUP,
            Signal::SIGUSR1,
        ])?;
        let note = |event: calloop::signals::Event, _: &mut (), node: &mut Gateway| {
            node.signals.push(event.signal());
        };
        handle
            .insert_source(source, note)
            .map_err(|e| GatewayError::Loop(e.error))?;
        Ok(())
    }

    /// Serves until told to stop; then everything taken has been answered.
    pub fn run(&mut self, events: &mut EventLoop<'static, Gateway>) -> Result<(), GatewayError> {
        while !self.stop {
            self.run_once();
            if self.stop {
                break;
            }
            let now = self.clock.now();
            let wait = match self.core.next_deadline() {
                _ if !self.ready.is_empty()
                    || self.accept
                    || self.ops.is_busy()
                    || self.cluster.busy() =>
                {
                    Some(Duration::ZERO)
                }
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
    fn run_once(&mut self) {
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => eprintln!("counters {}", self.core.counters),
                Signal::SIGHUP => self.reload(),
                _ => self.drain(),
            }
        }
        self.serve_line();
        for key in std::mem::take(&mut self.ready) {
            self.on_ready(key);
        }
        // An answer that has been read counts before a deadline that has passed in the same turn.
        while let Some(done) = self.done.pop_front() {
            let now = self.clock.now();
            self.report(now, done);
        }
        self.tick();
        if self.accept {
            self.accept_all();
        }
        self.pump();
        let now = self.clock.now();
        self.step_gossip(now);
        self.step_council(now);
        // Advice may have moved the module to something.
        self.pump();
        let hooks = self.secondary.hooks.as_ref().is_none_or(|h| h.is_idle(now));
        if self.ops.life.is_shutting_down()
            && self.listeners.is_empty()
            && self.clients == 0
            && hooks
        {
            let late = self
                .secondary
                .hooks
                .as_ref()
                .is_some_and(|h| h.is_late(now));
            self.stop = self.hand_over_shards() || late;
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut due = Vec::new();
        self.core.tick(now, &mut due);
        for token in due {
            match token {
                BOARD_AGAIN => self.open_board(now),
                DRAIN_OVER => {
                    if self.stop_accepting(now) {
                        self.stop_webhooks(now);
                        self.leave_group(now);
                    }
                }
                ACCEPT_AGAIN => self.accept = true,
                BUNDLE_AGAIN => self.load_bundle(now),
                DELIVER => self.tick_webhooks(now),
                RETAIN => self.retain(now),
                GOSSIP => self.tick_gossip(now),
                COUNCIL => self.tick_council(),
                COPIES => self.tick_replication(),
                TENANTS => self.tick_tenants(now),
                TRIALS => self.tick_trials(now),
                LOADS => self.tick_loads(now),
                LINE_AGAIN => self.accept_lines_again(),
                HANDOVER => self.look_at_others(now),
                Token { number, .. } => self.on_deadline(now, KeyData::from_ffi(number).into()),
            }
        }
    }
}
