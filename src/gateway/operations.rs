//! Drives day-to-day running: the second address and what its calls change. It decides nothing.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use std::fs::File;

use super::accepting::ACCEPT_RETRY_INTERVAL;
use super::clients::LINGER_TIMEOUT;
use super::hot_restart::HotRestartDriver;
use super::{ConnKey, Gateway, GatewayDeadline, GatewayError, Role};
use crate::api::{ListUpdate, Micros, WorkerEntry};
use crate::completion::CloseReason;
use crate::front::operator_console::{self, Ask};
use crate::net;
use crate::operations::lifecycle::Lifecycle;
use crate::operations::metrics::{self, Gauges};
use crate::operations::overrides::{OverrideError, WorkerOverrides};

/// Callers of the second address at once; beyond it the longest silent one yields.
const MAX_CONSOLE_CLIENTS: usize = 16;
/// Callers accepted in one turn.
const MAX_CONSOLE_ACCEPTS_PER_TURN: usize = 64;
/// A caller that says nothing is let go after this.
const CONSOLE_IDLE_TIMEOUT: Micros = 5_000_000;
/// Descriptors held for the second address, for when the machine has none left.
const SPARE_DESCRIPTORS: usize = 2;

/// All that belongs to day-to-day running.
#[derive(Debug, Default)]
pub(super) struct OperationsDriver {
    pub(super) lifecycle: Lifecycle,
    pub(super) overrides: WorkerOverrides,
    console: Option<OperatorConsole>,
    pub(super) hot_restart: Option<HotRestartDriver>,
}

/// The second address, while it is on.
#[derive(Debug)]
struct OperatorConsole {
    socket: Rc<TcpListener>,
    accept: bool,
    /// The callers, in the order in which they came.
    callers: VecDeque<ConnKey>,
    spares: Vec<File>,
}

impl OperatorConsole {
    fn refill_spares(&mut self) {
        while self.spares.len() < SPARE_DESCRIPTORS {
            // Fails only while there are none to spare; tried again when a caller has gone.
            let Ok(file) = File::open("/dev/null") else {
                return;
            };
            self.spares.push(file);
        }
    }
}

impl OperationsDriver {
    pub(super) fn console_client_closed(&mut self, key: ConnKey) {
        if let Some(side) = &mut self.console {
            side.callers.retain(|k| *k != key);
            side.refill_spares();
        }
    }

    /// Whether callers wait to be accepted.
    pub(super) fn is_busy(&self) -> bool {
        self.console.as_ref().is_some_and(|side| side.accept)
    }
}

impl Gateway {
    /// Listens on the second address, if there is to be one.
    pub(super) fn set_up_console(&mut self) -> Result<(), GatewayError> {
        let Some(address) = self.config.admin_addr else {
            return Ok(());
        };
        let (socket, _) = self.bind_listener(address, |node| {
            if let Some(side) = &mut node.ops.console {
                side.accept = true;
            }
        })?;
        let mut side = OperatorConsole {
            socket,
            accept: true,
            callers: VecDeque::new(),
            spares: Vec::new(),
        };
        side.refill_spares();
        self.ops.console = Some(side);
        Ok(())
    }

    /// Where the second address listens, if it does.
    pub fn console_address(&self) -> Option<SocketAddr> {
        self.ops
            .console
            .as_ref()
            .and_then(|side| side.socket.local_addr().ok())
    }

    /// Accepts callers and answers those that have called, before anything else in a turn.
    pub(super) fn serve_console(&mut self) {
        if self.ops.console.is_none() {
            return;
        }
        let is_line =
            |key: &ConnKey| matches!(self.connections.get(*key), Some((_, Role::Console)));
        let (lines, others) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(is_line);
        self.ready = others;
        let lines: Vec<ConnKey> = lines;
        lines.into_iter().for_each(|key| self.on_ready(key));
        for _ in 0..MAX_CONSOLE_ACCEPTS_PER_TURN {
            let Some(side) = self.ops.console.as_mut().filter(|side| side.accept) else {
                return;
            };
            match side.socket.accept() {
                Ok((stream, _)) => self.add_console_client(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => side.accept = false,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Out of descriptors: those held for this are let go, one caller each.
                Err(_) if side.spares.pop().is_some() => {}
                Err(_) => {
                    side.accept = false;
                    let at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                    self.core
                        .schedule(at, GatewayDeadline::ConsoleAcceptRetry.into());
                    return;
                }
            }
        }
    }

    /// Accepting callers is tried again after the machine had no descriptor for one.
    pub(super) fn retry_console_accept(&mut self) {
        if let Some(side) = &mut self.ops.console {
            side.accept = true;
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
        let Some(side) = &mut self.ops.console else {
            return;
        };
        side.callers.push_back(key);
        // Guards the places against callers that say nothing and linger.
        let oldest = side
            .callers
            .front()
            .copied()
            .filter(|_| side.callers.len() > MAX_CONSOLE_CLIENTS);
        if let Some(oldest) = oldest {
            self.close(oldest, CloseReason::LocalLimit);
        }
        self.on_ready(key);
    }

    pub(super) fn read_console_request(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, _)) = self.connections.get(key).filter(|(conn, _)| !conn.closing) else {
            return;
        };
        let bytes = match operator_console::take(conn.input.bytes(), conn.peer_closed) {
            Ok(None) => return,
            Ok(Some(ask)) => self.answer_console(now, ask),
            Err(e) => operator_console::answer(false, e),
        };
        self.set_deadline(key, Some(now + LINGER_TIMEOUT));
        let Some((conn, _)) = self.connections.get_mut(key) else {
            return;
        };
        conn.outbox.push(net::UNTAGGED_FRAME, bytes);
        (conn.closing, conn.linger) = (true, true);
        // At once, not when the turn's other work is done.
        let _ = conn.flush();
        self.dirty.push(key);
    }

    fn answer_console(&mut self, now: Micros, ask: Ask) -> Vec<u8> {
        match ask {
            Ask::Ready if self.ops.lifecycle.is_ready() => operator_console::answer(true, "ready"),
            Ask::Ready => operator_console::answer(false, "not ready"),
            Ask::Telemetry => {
                let counters = &self.core.counters;
                let classes = &self.config.names.classes;
                operator_console::figures(&metrics::text(
                    classes,
                    &counters.answers_by_class,
                    counters.written,
                    self.gauges(),
                ))
            }
            Ask::Exclude(name) => {
                let change = self.ops.overrides.exclude(&name, now);
                self.apply_override(now, &name, change)
            }
            Ask::Include(name) => {
                let change = self.ops.overrides.include(&name, now);
                self.apply_override(now, &name, change)
            }
            Ask::Evacuate => {
                if self.ops.lifecycle.evacuate(now) {
                    tracing::info!("is being emptied");
                    self.schedule_idle_closes(now);
                }
                operator_console::answer(true, "no connection stays")
            }
            Ask::Activate => {
                if self.ops.lifecycle.is_emptied() {
                    tracing::info!("serves again");
                    self.ops.lifecycle.activate();
                    self.schedule_idle_closes(now);
                }
                operator_console::answer(true, "serves")
            }
        }
    }

    /// What staff changed of a worker is told to all that asks for the list; then the answer may say so.
    fn apply_override(
        &mut self,
        now: Micros,
        name: &str,
        change: Result<Option<WorkerEntry>, OverrideError>,
    ) -> Vec<u8> {
        match change {
            Err(refusal) => operator_console::answer(false, refusal),
            Ok(change) => {
                let out = self.ops.overrides.is_banned(name);
                tracing::info!(worker = name, out, changed = change.is_some(), "upkeep");
                if let Some(member) = change {
                    self.announce_worker(now, member);
                }
                self.write_state(now);
                operator_console::answer(
                    true,
                    if out {
                        "gets nothing new"
                    } else {
                        "may be used"
                    },
                )
            }
        }
    }

    pub(super) fn announce_worker(&mut self, now: Micros, member: WorkerEntry) {
        self.apply_worker_status(&member);
        self.tell_ready(now, false, std::slice::from_ref(&member));
        self.core
            .update_workers(now, ListUpdate::Delta, vec![member]);
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
