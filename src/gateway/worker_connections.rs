//! Connections to workers: selection, opening, cancellation of exchanges, and retirement.

use std::io;

use super::{ConnKey, Gateway, Role};
use crate::api::{Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::AttemptKey;
use crate::net;
use crate::worker::{Exchange, WorkerConnection};

/// Time for the rest of a partial reply, after which the connection is closed.
pub(super) const PARTIAL_REPLY_TIMEOUT: Micros = 200_000;
/// Unsent bytes on a worker's connection from which new exchanges use another connection.
const MAX_WORKER_BACKLOG_BYTES: usize = 256 << 10;
/// A worker's connection that has been silent for this long when an exchange is cancelled is
/// retired.
const WORKER_SILENCE_TIMEOUT: Micros = 1_000_000;
/// How often a retired connection is checked; it is closed once nothing is in flight on it.
pub(super) const RETIRED_CHECK_INTERVAL: Micros = 250_000;
/// How soon a retired connection with nothing in flight is closed.
const RETIRED_CLOSE_DELAY: Micros = 100_000;
/// How long the identity of a cancelled exchange is not sent again on the same connection.
const CANCELLED_IDENTITY_WINDOW: Micros = 10_000_000;
/// Maximum number of open connections to one worker.
const MAX_CONNECTIONS_PER_WORKER: usize = 4;
/// Descriptors that workers' connections leave free for service discovery, the operator console,
/// files and the event loop.
const RESERVED_DESCRIPTORS: usize = 24;

impl Gateway {
    /// Withdraws an attempt if none of its bytes have been sent; returns whether it was withdrawn.
    pub(super) fn withdraw_attempt(&mut self, attempt: AttemptKey) -> bool {
        let Some(key) = self.routes.attempts.get(attempt) else {
            return false;
        };
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(*key) else {
            return false;
        };
        worker.withdraw(&mut connection.outbox, Exchange::Attempt(attempt))
    }

    /// Cancels an exchange on a connection. A connection that has been silent for long is retired:
    /// the worker's machine may be gone, and only a new connection shows whether it is back.
    pub(super) fn cancel_exchange(
        &mut self,
        now: Micros,
        key: ConnKey,
        exchange: Exchange,
    ) -> SendProgress {
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
            return SendProgress::Started;
        };
        let until = now + CANCELLED_IDENTITY_WINDOW;
        let progress = worker.cancel(&mut connection.outbox, exchange, now, until);
        let last_activity_at = worker.last_received_at.max(worker.last_active_at);
        let silent = now > last_activity_at + WORKER_SILENCE_TIMEOUT;
        if progress == SendProgress::Started && silent {
            worker.retired = true;
        }
        if worker.retired && worker.open() == 0 {
            self.set_deadline(key, Some(now + RETIRED_CLOSE_DELAY));
        }
        self.dirty.push(key);
        progress
    }

    /// Returns when a connection to a worker was opened.
    pub(super) fn worker_connection_opened_at(&self, key: ConnKey) -> Option<Micros> {
        match self.connections.get(key) {
            Some((_, Role::Worker(worker))) => Some(worker.opened_at),
            _ => None,
        }
    }

    /// Returns a connection to a worker that accepts an exchange under this identity; opens one if
    /// there is none.
    pub(super) fn connection_to(
        &mut self,
        now: Micros,
        worker: WorkerId,
        identity: &str,
    ) -> Result<ConnKey, CloseReason> {
        // The entry stays, empty, if no connection can be opened: it keeps the worker in the
        // endpoint list.
        let keys = self.routes.connections.entry(worker).or_default();
        let open_connections = keys.len();
        let max_open = self.config.max_streams_per_connection;
        let accepting = keys.iter().copied().find(|key| {
            let Some((connection, Role::Worker(worker))) = self.connections.get(*key) else {
                return false;
            };
            worker.accepts(identity, max_open) && connection.outbox.len() < MAX_WORKER_BACKLOG_BYTES
        });
        let Some(key) = accepting else {
            return self.open_connection_to(now, worker, open_connections);
        };
        if let Some((_, Role::Worker(worker))) = self.connections.get_mut(key) {
            if worker.open() == 0 {
                worker.last_active_at = now;
            }
        }
        Ok(key)
    }

    /// Opens a connection to a worker, which has `open_connections` already.
    fn open_connection_to(
        &mut self,
        now: Micros,
        worker: WorkerId,
        open_connections: usize,
    ) -> Result<ConnKey, CloseReason> {
        if open_connections >= MAX_CONNECTIONS_PER_WORKER {
            return Err(CloseReason::ConnectionsFull);
        }
        if self.connections.len() >= self.max_descriptors().saturating_sub(RESERVED_DESCRIPTORS) {
            return Err(CloseReason::LocalLimit);
        }
        let address = *self
            .discovery
            .endpoints
            .addresses
            .get(&worker)
            .ok_or(CloseReason::Withdrawn)?;
        let connected = net::connect(address).map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CloseReason::Refused,
            _ if net::is_local_limit(&error) => CloseReason::LocalLimit,
            _ => CloseReason::ConnectTimeout,
        });
        if matches!(connected, Err(CloseReason::Refused)) {
            self.note_refused(now, worker);
        }
        let stream = connected?;
        let role = Role::Worker(WorkerConnection::new(worker, now));
        let key = self
            .add_connection(stream, false, role)
            .map_err(|_| CloseReason::ConnectTimeout)?;
        self.core.counters.connects += 1;
        tracing::debug!(
            worker = worker.0,
            connections = open_connections + 1,
            "worker connection opened"
        );
        self.routes.add(worker, key);
        self.set_deadline(key, Some(now + self.config.connect_timeout));
        Ok(key)
    }

    /// Reports a refused connection to the core, unless another connection to the worker is open.
    pub(super) fn note_refused(&mut self, now: Micros, worker: WorkerId) {
        let keys = self.routes.connections.get(&worker);
        if keys.is_none_or(Vec::is_empty) {
            self.core.connection_refused(now, worker);
        }
    }

    /// Retires a worker's connections that were opened before an instant, or all of them: withdraws
    /// unsent exchanges, still accepts replies to sent ones, and sends nothing new.
    pub(super) fn retire_connections(&mut self, worker: WorkerId, before: Option<Micros>) {
        let mut completed = Vec::new();
        let keys = self.routes.connections.get(&worker).cloned();
        for key in keys.unwrap_or_default() {
            let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
                continue;
            };
            if before.is_some_and(|before| worker.opened_at >= before) {
                continue;
            }
            worker.withdraw_unsent(&mut connection.outbox, &mut completed);
            worker.retired = true;
            if worker.open() == 0 {
                let check_at = self.clock.now() + RETIRED_CHECK_INTERVAL;
                self.set_deadline(key, Some(check_at));
            }
        }
        self.completed.extend(completed);
    }
}
