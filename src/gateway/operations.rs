//! Drives the operator console and carries out its commands. It decides nothing.

use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use super::accepting::ACCEPT_RETRY_INTERVAL;
use super::clients::LINGER_TIMEOUT;
use super::hot_restart::HotRestartDriver;
use super::{ConnKey, Gateway, GatewayDeadline, GatewayError, Role};
use crate::api::{ListUpdate, Micros, WorkerEntry};
use crate::completion::CloseReason;
use crate::front::operator_console::{self, Request};
use crate::net;
use crate::operations::lifecycle::Lifecycle;
use crate::operations::metrics::{self, Gauges, WorkerEvidenceLine};
use crate::operations::overrides::{OverrideError, WorkerOverrides};

/// Maximum number of operator console clients; beyond it the oldest connection is closed.
const MAX_CONSOLE_CLIENTS: usize = 16;
/// Maximum number of console clients accepted in one turn.
const MAX_CONSOLE_ACCEPTS_PER_TURN: usize = 64;
/// The connection of a console client that sends nothing is closed after this time.
const CONSOLE_IDLE_TIMEOUT: Micros = 5_000_000;
/// Microseconds per millisecond, the unit of reported ages.
const MICROS_PER_MILLI: Micros = 1_000;
/// Descriptors reserved for the operator console, for the case that no others are left.
const SPARE_DESCRIPTORS: usize = 2;

/// The operator console, and the state that operators change.
#[derive(Debug, Default)]
pub(super) struct OperationsDriver {
    pub(super) lifecycle: Lifecycle,
    pub(super) overrides: WorkerOverrides,
    console: Option<OperatorConsole>,
    pub(super) hot_restart: Option<HotRestartDriver>,
}

/// The operator console, while it is on.
#[derive(Debug)]
struct OperatorConsole {
    socket: Rc<TcpListener>,
    /// Whether clients may wait to be accepted.
    accept_pending: bool,
    /// The clients in the order in which they connected.
    clients: VecDeque<ConnKey>,
    /// Open files that are closed to free a descriptor for a client.
    spare_descriptors: Vec<File>,
}

impl OperatorConsole {
    fn refill_spare_descriptors(&mut self) {
        while self.spare_descriptors.len() < SPARE_DESCRIPTORS {
            // This fails only while no descriptors are free, and is tried again when a client has
            // disconnected.
            let Ok(file) = File::open("/dev/null") else {
                return;
            };
            self.spare_descriptors.push(file);
        }
    }
}

impl OperationsDriver {
    pub(super) fn console_client_closed(&mut self, key: ConnKey) {
        if let Some(console) = &mut self.console {
            console.clients.retain(|k| *k != key);
            console.refill_spare_descriptors();
        }
    }

    /// Whether clients wait to be accepted.
    pub(super) fn is_busy(&self) -> bool {
        self.console
            .as_ref()
            .is_some_and(|console| console.accept_pending)
    }
}

impl Gateway {
    /// Listens for the operator console, if one is configured.
    ///
    /// # Errors
    ///
    /// [`GatewayError`]: its address cannot be listened on.
    pub(super) fn set_up_console(&mut self) -> Result<(), GatewayError> {
        let Some(address) = self.config.admin_addr else {
            return Ok(());
        };
        let (socket, _) = self.bind_listener(address, |gateway| {
            if let Some(console) = &mut gateway.ops.console {
                console.accept_pending = true;
            }
        })?;
        let mut console = OperatorConsole {
            socket,
            accept_pending: true,
            clients: VecDeque::new(),
            spare_descriptors: Vec::new(),
        };
        console.refill_spare_descriptors();
        self.ops.console = Some(console);
        Ok(())
    }

    /// The address of the operator console, if it is on.
    pub fn console_address(&self) -> Option<SocketAddr> {
        self.ops
            .console
            .as_ref()
            .and_then(|console| console.socket.local_addr().ok())
    }

    /// Accepts console clients and answers their requests, before anything else in a turn.
    pub(super) fn serve_console(&mut self) {
        if self.ops.console.is_none() {
            return;
        }
        let is_console_client =
            |key: &ConnKey| matches!(self.connections.get(*key), Some((_, Role::Console)));
        let (console_clients, others) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(is_console_client);
        self.ready = others;
        let console_clients: Vec<ConnKey> = console_clients;
        for key in console_clients {
            self.on_ready(key);
        }
        for _ in 0..MAX_CONSOLE_ACCEPTS_PER_TURN {
            let Some(console) = self
                .ops
                .console
                .as_mut()
                .filter(|console| console.accept_pending)
            else {
                return;
            };
            match console.socket.accept() {
                Ok((stream, _)) => self.add_console_client(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => console.accept_pending = false,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Out of descriptors: a reserved one is freed for each client.
                Err(_) if console.spare_descriptors.pop().is_some() => {}
                Err(_) => {
                    console.accept_pending = false;
                    let at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                    self.core
                        .schedule(at, GatewayDeadline::ConsoleAcceptRetry.into());
                    return;
                }
            }
        }
    }

    /// Accepts console clients again, after no descriptor was free for one.
    pub(super) fn retry_console_accept(&mut self) {
        if let Some(console) = &mut self.ops.console {
            console.accept_pending = true;
        }
    }

    fn add_console_client(&mut self, stream: std::net::TcpStream) {
        let ready = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        let Ok(key) = ready.and_then(|()| self.add_connection(stream, true, Role::Console)) else {
            return;
        };
        let now = self.clock.now();
        self.set_deadline(key, Some(now + CONSOLE_IDLE_TIMEOUT));
        let Some(console) = &mut self.ops.console else {
            return;
        };
        console.clients.push_back(key);
        // This guards the descriptors against clients that stay connected and send nothing.
        let oldest = console
            .clients
            .front()
            .copied()
            .filter(|_| console.clients.len() > MAX_CONSOLE_CLIENTS);
        if let Some(oldest) = oldest {
            self.close(oldest, CloseReason::LocalLimit);
        }
        self.on_ready(key);
    }

    pub(super) fn read_console_request(&mut self, key: ConnKey, now: Micros) {
        let Some((connection, _)) = self
            .connections
            .get(key)
            .filter(|(connection, _)| !connection.closing)
        else {
            return;
        };
        let bytes =
            match operator_console::parse_line(connection.input.bytes(), connection.peer_closed) {
                Ok(None) => return,
                Ok(Some(request)) => self.answer_console(now, request),
                Err(e) => operator_console::answer(false, e),
            };
        self.set_deadline(key, Some(now + LINGER_TIMEOUT));
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        connection.outbox.push(net::UNTAGGED_FRAME, bytes);
        connection.closing = true;
        connection.linger = true;
        // The answer is written at once, not at the end of the turn. The next read reports a write
        // error.
        let _ = connection.flush();
        self.dirty.push(key);
    }

    fn answer_console(&mut self, now: Micros, request: Request) -> Vec<u8> {
        match request {
            Request::Ready if self.ops.lifecycle.is_ready() && self.core.knows_workers(now) => {
                operator_console::answer(true, "ready")
            }
            Request::Ready => operator_console::answer(false, "not ready"),
            Request::Telemetry => {
                let counters = &self.core.counters;
                let classes = &self.config.names.classes;
                operator_console::figures(&metrics::encode(
                    classes,
                    &counters.answers_by_class,
                    counters.written,
                    self.gauges(),
                ))
            }
            Request::Evidence => operator_console::figures(&self.describe_evidence(now)),
            Request::Memory => operator_console::figures(&self.describe_memory(now)),
            Request::Exclude(name) => {
                let change = self.ops.overrides.exclude(&name, now);
                self.apply_override(now, &name, change)
            }
            Request::Include(name) => {
                let change = self.ops.overrides.include(&name, now);
                self.apply_override(now, &name, change)
            }
            Request::Evacuate => {
                if self.ops.lifecycle.begin_draining(now) {
                    tracing::info!("draining started");
                    self.schedule_idle_closes(now);
                }
                operator_console::answer(true, "no connection stays")
            }
            Request::Activate => {
                if self.ops.lifecycle.is_draining() {
                    tracing::info!("draining ended");
                    self.ops.lifecycle.resume();
                    self.schedule_idle_closes(now);
                }
                operator_console::answer(true, "serves")
            }
        }
    }

    /// Applies an operator's override of a worker, and writes it for other processes, before the
    /// operator gets the answer.
    fn apply_override(
        &mut self,
        now: Micros,
        name: &str,
        change: Result<Option<WorkerEntry>, OverrideError>,
    ) -> Vec<u8> {
        match change {
            Err(refusal) => operator_console::answer(false, refusal),
            Ok(change) => {
                let excluded = self.ops.overrides.is_excluded(name);
                let changed = change.is_some();
                tracing::info!(worker = name, excluded, changed, "worker override set");
                if let Some(worker) = change {
                    self.announce_worker(now, worker);
                }
                self.write_state(now);
                operator_console::answer(
                    true,
                    if excluded {
                        "gets nothing new"
                    } else {
                        "may be used"
                    },
                )
            }
        }
    }

    /// Passes a worker whose status an operator has changed to the core and the subsystems.
    pub(super) fn announce_worker(&mut self, now: Micros, worker: WorkerEntry) {
        self.apply_worker_status(&worker);
        self.update_ready_workers(now, false, std::slice::from_ref(&worker));
        self.core
            .update_workers(now, ListUpdate::Delta, vec![worker]);
    }

    fn describe_evidence(&self, now: Micros) -> String {
        let view = self.core.evidence_view(now);
        let millis = |age: Option<Micros>| age.map(|age| age / MICROS_PER_MILLI);
        let workers: Vec<WorkerEvidenceLine> = view
            .workers
            .iter()
            .map(|worker| WorkerEvidenceLine {
                name: self.discovery.endpoints.name_of(worker.worker),
                age_ms: millis(worker.age),
                suspended: worker.suspended,
            })
            .collect();
        metrics::encode_evidence(millis(view.list_age), view.discovery_lost, &workers)
    }

    fn gauges(&self) -> Gauges {
        let members = self.ops.overrides.listed_count();
        Gauges {
            pending: self.core.pending_requests(),
            members,
            unavailable: members.saturating_sub(self.core.available_workers()),
        }
    }
}
