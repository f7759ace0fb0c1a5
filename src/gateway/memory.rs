//! Counts the memory that peers occupy, and frees some under pressure. The budget and the pressure
//! are `operations::memory_budget`'s.

use std::net::SocketAddr;

use super::{ConnKey, Gateway, Role};
use crate::api::Micros;
use crate::completion::CloseReason;
use crate::config::BYTES_PER_FUNCTION;
use crate::core::Call;
use crate::net::Connection;
use crate::operations::memory_budget::{MemoryKind, MemoryPressure, MemoryUse};

/// The size of an open request in bytes, without its body.
const BYTES_PER_REQUEST: usize = 1024;
/// The size of a connection in bytes, without its buffers.
const BYTES_PER_CONNECTION: usize = 1024;
/// A connection that holds less is not closed to free memory.
const LARGE_HOLDER_BYTES: usize = 4 * 1024;
/// A client that has not read its response after this time may lose it.
const UNREAD_RESPONSE_TIMEOUT: Micros = 500_000;
/// Bodies larger than this find no room under high pressure.
const LARGE_BODY_BYTES: usize = 2 * 1024;
/// The size of a page of memory, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4096;

/// A connection and the memory that it holds.
#[derive(Clone, Copy, Debug)]
struct Holder {
    key: ConnKey,
    bytes: usize,
    address: Option<SocketAddr>,
}

impl Gateway {
    /// Counts memory if so much was read that the last count is no guide; returns whether it was
    /// counted.
    pub(super) fn count_memory_if_due(&mut self) -> bool {
        let is_due = self.memory.is_count_due();
        if is_due {
            let now = self.clock.now();
            self.count_memory(now);
        }
        is_due
    }

    /// Counts memory at the end of a pass, if anything has changed.
    pub(super) fn watch_memory(&mut self, now: Micros) {
        if self.memory.is_count_useful(now) {
            self.count_memory(now);
        }
    }

    fn count_memory(&mut self, now: Micros) {
        let used = self.memory_use();
        let pressure = self.memory.record(now, used);
        if self.memory.take_report(now) {
            self.report_memory();
        }
        if pressure == MemoryPressure::Critical {
            self.close_largest_holders(now, used.total());
        }
    }

    fn memory_use(&self) -> MemoryUse {
        let mut used = MemoryUse::default();
        for (connection, role) in self.connections.values() {
            let (input, output) = match role {
                Role::Client { .. } => (MemoryKind::ClientInput, MemoryKind::UnsentResponses),
                Role::Worker(_) => (MemoryKind::WorkerInput, MemoryKind::UnsentCommands),
                Role::Discovery(_) | Role::Console | Role::Peer(_) | Role::Portal(_) => {
                    (MemoryKind::OtherConnections, MemoryKind::OtherConnections)
                }
            };
            used.add(input, connection.input.capacity() + BYTES_PER_CONNECTION);
            used.add(output, connection.outbox.len());
        }
        let completed = self.completed.iter().map(|c| c.reply.body.len());
        used.add(MemoryKind::WorkerInput, completed.sum());
        let requests = self.core.open_requests() * BYTES_PER_REQUEST;
        used.add(MemoryKind::Requests, requests + self.core.body_bytes());
        let functions = self.core.function_count() * BYTES_PER_FUNCTION;
        used.add(MemoryKind::Functions, functions);
        used.add(MemoryKind::Identities, self.identities.bytes());
        used
    }

    /// Logs the pressure, with the kind and the connection that hold most.
    fn report_memory(&self) {
        let used = self.memory.used();
        let largest = self.connections.iter().map(holder).max_by_key(|h| h.bytes);
        let kind = used.largest();
        tracing::warn!(
            pressure = self.memory.pressure().name(),
            counted = used.total(),
            budget = self.memory.budget(),
            resident = ?resident_bytes(),
            largest_kind = kind.name(),
            largest_kind_bytes = used.of(kind),
            largest_peer = ?largest.and_then(|h| h.address),
            largest_peer_bytes = largest.map_or(0, |h| h.bytes),
            clients = self.client_slots.count(),
            "memory pressure"
        );
    }

    /// Closes the clients' connections that hold most, until memory is below the high mark.
    fn close_largest_holders(&mut self, now: Micros, total: usize) {
        let excess = total.saturating_sub(self.memory.high_mark());
        let mut holders: Vec<Holder> = self
            .connections
            .iter()
            .filter(|(_, (connection, role))| may_close(now, connection, role))
            .map(holder)
            .filter(|holder| holder.bytes > LARGE_HOLDER_BYTES)
            .collect();
        holders.sort_unstable_by_key(|holder| std::cmp::Reverse(holder.bytes));
        let mut freed = 0;
        for holder in holders {
            if freed >= excess {
                break;
            }
            freed += holder.bytes;
            self.core.counters.closed_for_memory += 1;
            self.close(holder.key, CloseReason::LocalLimit);
        }
    }

    /// Whether a new call finds no room.
    pub(super) fn lacks_memory_for(&self, call: &Call<()>) -> bool {
        match self.memory.pressure() {
            MemoryPressure::Normal => false,
            MemoryPressure::High => call.body.len() > LARGE_BODY_BYTES,
            MemoryPressure::Critical => true,
        }
    }

    /// Whether memory is so scarce that nothing new is taken on.
    pub(super) fn is_out_of_memory(&self) -> bool {
        self.memory.pressure() == MemoryPressure::Critical
    }

    /// The gauges of memory, for operators.
    pub(super) fn describe_memory(&mut self, now: Micros) -> String {
        self.memory.record(now, self.memory_use());
        self.memory.encode(resident_bytes())
    }
}

/// Whether a connection may be closed to free memory: a client's that has sent a part of a request
/// and no more, or has not read its response for long. A whole request is owed its answer.
fn may_close(now: Micros, connection: &Connection, role: &Role) -> bool {
    let Role::Client { pending: None, .. } = role else {
        return false;
    };
    if connection.outbox.is_empty() {
        !connection.awaits_turn && !connection.has_more_input
    } else {
        now >= connection.idle_since + UNREAD_RESPONSE_TIMEOUT
    }
}

fn holder((key, (connection, _)): (ConnKey, &(Connection, Role))) -> Holder {
    Holder {
        key,
        bytes: connection.input.capacity() + connection.outbox.len() + BYTES_PER_CONNECTION,
        address: connection.peer_address(),
    }
}

/// The process's resident memory, if the system tells.
fn resident_bytes() -> Option<usize> {
    let pages = std::fs::read_to_string("/proc/self/statm").ok()?;
    let resident: usize = pages.split_whitespace().nth(1)?.parse().ok()?;
    Some(resident * PAGE_BYTES)
}
