//! Drives the operator console and what its commands change. It decides nothing.

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

/// Clients of the operator console at once; beyond it the oldest is closed.
const MAX_CONSOLE_CLIENTS: usize = 16;
/// Console clients accepted in one turn.
const MAX_CONSOLE_ACCEPTS_PER_TURN: usize = 64;
/// A console client that sends nothing is closed after this.
const CONSOLE_IDLE_TIMEOUT: Micros = 5_000_000;
/// Microseconds of a millisecond, in which ages are told.
const MICROS_PER_MILLI: Micros = 1_000;
/// Descriptors reserved for the operator console, for when the machine has none left.
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
    accept: bool,
    /// The clients, in the order in which they connected.
    clients: VecDeque<ConnKey>,
    spares: Vec<File>,
}

impl OperatorConsole {
    fn refill_spares(&mut self) {
        while self.spares.len() < SPARE_DESCRIPTORS {
            // Fails only while there are none to spare; tried again when a client has disconnected.
            let Ok(file) = File::open("/dev/null") else {
                return;
            };
            self.spares.push(file);
        }
    }
}

impl OperationsDriver {
    pub(super) fn console_client_closed(&mut self, key: ConnKey) {
        if let Some(console) = &mut self.console {
            console.clients.retain(|k| *k != key);
            console.refill_spares();
        }
    }

    /// Whether clients wait to be accepted.
    pub(super) fn is_busy(&self) -> bool {
        self.console.as_ref().is_some_and(|console| console.accept)
    }
}

impl Gateway {
    /// Listens for the operator console, if there is to be one.
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
                console.accept = true;
            }
        })?;
        let mut console = OperatorConsole {
            socket,
            accept: true,
            clients: VecDeque::new(),
            spares: Vec::new(),
        };
        console.refill_spares();
        self.ops.console = Some(console);
        Ok(())
    }

    /// Where the operator console listens, if it is on.
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
            let Some(console) = self.ops.console.as_mut().filter(|console| console.accept) else {
                return;
            };
            match console.socket.accept() {
                Ok((stream, _)) => self.add_console_client(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => console.accept = false,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Out of descriptors: a reserved one is freed for each client.
                Err(_) if console.spares.pop().is_some() => {}
                Err(_) => {
                    console.accept = false;
                    let at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                    self.core
                        .schedule(at, GatewayDeadline::ConsoleAcceptRetry.into());
                    return;
                }
            }
        }
    }

    /// Accepting console clients is tried again after the machine had no descriptor for one.
    pub(super) fn retry_console_accept(&mut self) {
        if let Some(console) = &mut self.ops.console {
            console.accept = true;
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
        // Guards the descriptors against clients that send nothing and stay.
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
        let bytes = match operator_console::take(connection.input.bytes(), connection.peer_closed) {
            Ok(None) => return,
            Ok(Some(ask)) => self.answer_console(now, ask),
            Err(e) => operator_console::answer(false, e),
        };
        self.set_deadline(key, Some(now + LINGER_TIMEOUT));
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        connection.outbox.push(net::UNTAGGED_FRAME, bytes);
        connection.closing = true;
        connection.linger = true;
        // Written at once, not when the turn's other work is done; an error shows at the next read.
        let _ = connection.flush();
        self.dirty.push(key);
    }

    fn answer_console(&mut self, now: Micros, ask: Request) -> Vec<u8> {
        match ask {
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
                    tracing::info!("evacuation began");
                    self.schedule_idle_closes(now);
                }
                operator_console::answer(true, "no connection stays")
            }
            Request::Activate => {
                if self.ops.lifecycle.is_draining() {
                    tracing::info!("evacuation ended");
                    self.ops.lifecycle.resume();
                    self.schedule_idle_closes(now);
                }
                operator_console::answer(true, "serves")
            }
        }
    }

    /// Applies an operator's change of a worker, and tells other processes, before the answer says so.
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

    /// Tells the core and the subsystems of a worker whose status an operator changed.
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
        let members = self.ops.overrides.listed();
        Gauges {
            pending: self.core.pending_requests(),
            members,
            unavailable: members.saturating_sub(self.core.available_workers()),
        }
    }
}
