//! Drives day-to-day running: the second address and what its calls change. It decides nothing.

use std::fs::File;

use super::hot_restart::Handover;
use super::*;
use crate::front::operator_console::{self, Ask};
use crate::operations::lifecycle::Lifecycle;
use crate::operations::metrics::{self, Gauges};
use crate::operations::overrides::{OverrideError, WorkerOverrides};

/// Callers of the second address at once; beyond it the longest silent one yields.
const MOST_LINES: usize = 16;
/// Callers accepted in one turn.
const MOST_IN_TURN: usize = 64;
/// A caller that says nothing is let go after this.
const LINE_SILENT: Micros = 5_000_000;
/// Descriptors held for the second address, for when the machine has none left.
const SPARES: usize = 2;

/// All that belongs to day-to-day running.
#[derive(Debug, Default)]
pub(super) struct Ops {
    pub(super) life: Lifecycle,
    pub(super) upkeep: WorkerOverrides,
    line: Option<LineSide>,
    pub(super) handover: Option<Handover>,
}

/// The second address, while it is on.
#[derive(Debug)]
struct LineSide {
    socket: Rc<TcpListener>,
    accept: bool,
    /// The callers, in the order in which they came.
    callers: VecDeque<ConnKey>,
    spares: Vec<File>,
}

impl LineSide {
    fn save_up(&mut self) {
        while self.spares.len() < SPARES {
            // Fails only while there are none to spare; tried again when a caller has gone.
            let Ok(file) = File::open("/dev/null") else {
                return;
            };
            self.spares.push(file);
        }
    }
}

impl Ops {
    pub(super) fn line_closed(&mut self, key: ConnKey) {
        if let Some(side) = &mut self.line {
            side.callers.retain(|k| *k != key);
            side.save_up();
        }
    }

    /// Whether callers wait to be accepted.
    pub(super) fn is_busy(&self) -> bool {
        self.line.as_ref().is_some_and(|side| side.accept)
    }
}

impl Gateway {
    /// Listens on the second address, if there is to be one.
    pub(super) fn set_up_line(&mut self) -> Result<(), GatewayError> {
        let Some(address) = self.config.admin_addr else {
            return Ok(());
        };
        let (socket, _) = self.listening(address, |node| {
            if let Some(side) = &mut node.ops.line {
                side.accept = true;
            }
        })?;
        let mut side = LineSide {
            socket,
            accept: true,
            callers: VecDeque::new(),
            spares: Vec::new(),
        };
        side.save_up();
        self.ops.line = Some(side);
        Ok(())
    }

    /// Where the second address listens, if it does.
    pub fn line_address(&self) -> Option<SocketAddr> {
        self.ops
            .line
            .as_ref()
            .and_then(|side| side.socket.local_addr().ok())
    }

    /// Accepts callers and answers those that have called, before anything else in a turn.
    pub(super) fn serve_line(&mut self) {
        if self.ops.line.is_none() {
            return;
        }
        let is_line = |key: &ConnKey| matches!(self.connections.get(*key), Some((_, Role::Line)));
        let (lines, others) = std::mem::take(&mut self.ready)
            .into_iter()
            .partition(is_line);
        self.ready = others;
        let lines: Vec<ConnKey> = lines;
        lines.into_iter().for_each(|key| self.on_ready(key));
        for _ in 0..MOST_IN_TURN {
            let Some(side) = self.ops.line.as_mut().filter(|side| side.accept) else {
                return;
            };
            match side.socket.accept() {
                Ok((stream, _)) => self.add_line(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => side.accept = false,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Out of descriptors: those held for this are let go, one caller each.
                Err(_) if side.spares.pop().is_some() => {}
                Err(_) => {
                    side.accept = false;
                    let at = self.clock.now() + ACCEPT_PAUSE;
                    self.core.hang(at, LINE_AGAIN);
                    return;
                }
            }
        }
    }

    /// Accepting callers is tried again after the machine had no descriptor for one.
    pub(super) fn accept_lines_again(&mut self) {
        if let Some(side) = &mut self.ops.line {
            side.accept = true;
        }
    }

    fn add_line(&mut self, stream: std::net::TcpStream) {
        let ready = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        let Ok(key) = ready.and_then(|()| self.add(stream, true, Role::Line)) else {
            return;
        };
        let now = self.clock.now();
        self.set_deadline(key, Some(now + LINE_SILENT));
        let Some(side) = &mut self.ops.line else {
            return;
        };
        side.callers.push_back(key);
        // Guards the places against callers that say nothing and linger.
        let oldest = side
            .callers
            .front()
            .copied()
            .filter(|_| side.callers.len() > MOST_LINES);
        if let Some(oldest) = oldest {
            self.close(oldest, CloseReason::LocalLimit);
        }
        self.on_ready(key);
    }

    pub(super) fn on_line(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, _)) = self.connections.get(key).filter(|(conn, _)| !conn.closing) else {
            return;
        };
        let bytes = match operator_console::take(conn.input.bytes(), conn.ended) {
            Ok(None) => return,
            Ok(Some(ask)) => self.answer_line(now, ask),
            Err(e) => operator_console::answer(false, e),
        };
        self.set_deadline(key, Some(now + LINGER));
        let Some((conn, _)) = self.connections.get_mut(key) else {
            return;
        };
        conn.out.push(net::KEPT_FRAME, bytes);
        (conn.closing, conn.linger) = (true, true);
        // At once, not when the turn's other work is done.
        let _ = conn.flush();
        self.dirty.push(key);
    }

    fn answer_line(&mut self, now: Micros, ask: Ask) -> Vec<u8> {
        match ask {
            Ask::Ready if self.ops.life.is_ready() => operator_console::answer(true, "ready"),
            Ask::Ready => operator_console::answer(false, "not ready"),
            Ask::Telemetry => {
                let counters = &self.core.counters;
                let classes = &self.config.names.classes;
                operator_console::figures(&metrics::encode(
                    classes,
                    &counters.ends,
                    counters.written,
                    self.gauges(),
                ))
            }
            Ask::Exclude(name) => {
                let change = self.ops.upkeep.exclude(&name, now);
                self.keep_upkeep(now, &name, change)
            }
            Ask::Include(name) => {
                let change = self.ops.upkeep.include(&name, now);
                self.keep_upkeep(now, &name, change)
            }
            Ask::Evacuate => {
                if self.ops.life.begin_draining(now) {
                    tracing::info!("is being emptied");
                    self.thin_out(now);
                }
                operator_console::answer(true, "no connection stays")
            }
            Ask::Activate => {
                if self.ops.life.is_draining() {
                    tracing::info!("serves again");
                    self.ops.life.resume();
                    self.thin_out(now);
                }
                operator_console::answer(true, "serves")
            }
        }
    }

    /// What staff changed of a worker is told to all that asks for the list; then the answer may say so.
    fn keep_upkeep(
        &mut self,
        now: Micros,
        name: &str,
        change: Result<Option<WorkerEntry>, OverrideError>,
    ) -> Vec<u8> {
        match change {
            Err(refusal) => operator_console::answer(false, refusal),
            Ok(change) => {
                let out = self.ops.upkeep.is_excluded(name);
                tracing::info!(worker = name, out, changed = change.is_some(), "upkeep");
                if let Some(member) = change {
                    self.tell_member(now, member);
                }
                self.write_word(now);
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

    pub(super) fn tell_member(&mut self, now: Micros, member: WorkerEntry) {
        self.on_member(&member);
        self.tell_ready(now, false, std::slice::from_ref(&member));
        self.core.members(now, ListUpdate::Delta, vec![member]);
    }

    fn gauges(&self) -> Gauges {
        let members = self.ops.upkeep.listed();
        Gauges {
            pending: self.core.open(),
            members,
            unavailable: members.saturating_sub(self.core.fit()),
        }
    }
}
