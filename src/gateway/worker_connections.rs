//! Connections to workers: chosen or opened for an exchange, and retired.

use std::io;

use super::{ConnKey, Gateway, Role};
use crate::api::{Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::AttemptKey;
use crate::net;
use crate::worker::{Exchange, WorkerConnection};

/// A reply that has come in part is complete within this, or its connection is of no more use.
pub(super) const PARTIAL_REPLY_TIMEOUT: Micros = 200_000;
/// Bytes that may wait on a worker's connection before new exchanges take another.
const MAX_WORKER_BACKLOG_BYTES: usize = 256 << 10;
/// A worker's connection on which an exchange is cancelled after so long a silence takes nothing new.
const WORKER_SILENCE_TIMEOUT: Micros = 1_000_000;
/// How often a retired connection is checked, to be closed once nothing is in flight on it.
pub(super) const RETIRED_CHECK_INTERVAL: Micros = 250_000;
/// How soon a retired connection with nothing in flight is closed.
const RETIRED_CLOSE_DELAY: Micros = 100_000;
/// How long the identity of a cancelled exchange is not sent again on its connection.
const CANCELLED_IDENTITY_WINDOW: Micros = 10_000_000;
/// Connections to one worker at once.
const MAX_CONNECTIONS_PER_WORKER: usize = 4;
/// Descriptors that workers' connections leave to service discovery, the operator console, files and the event loop.
const RESERVED_DESCRIPTORS: usize = 24;

impl Gateway {
    /// Takes an attempt back if none of its bytes have left; tells whether it has.
    pub(super) fn withdraw_attempt(&mut self, attempt: AttemptKey) -> bool {
        let Some(key) = self.routes.attempts.get(attempt) else {
            return false;
        };
        let Some((conn, Role::Worker(link))) = self.connections.get_mut(*key) else {
            return false;
        };
        link.withdraw(&mut conn.outbox, Exchange::Attempt(attempt))
    }

    /// Gives up what is open on a connection. One that has said nothing since takes nothing new: its machine
    /// may have vanished, and then only a new connection shows whether it is back.
    pub(super) fn cancel_exchange(
        &mut self,
        now: Micros,
        key: ConnKey,
        what: Exchange,
    ) -> SendProgress {
        let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
            return SendProgress::Started;
        };
        let left = link.cancel(&mut conn.outbox, what, now, now + CANCELLED_IDENTITY_WINDOW);
        if left == SendProgress::Started
            && now > link.last_received_at.max(link.last_active_at) + WORKER_SILENCE_TIMEOUT
        {
            link.retired = true;
        }
        if link.retired && link.open() == 0 {
            self.set_deadline(key, Some(now + RETIRED_CLOSE_DELAY));
        }
        self.dirty.push(key);
        left
    }

    /// A connection to a worker that takes this, opened if need be.
    pub(super) fn connection_to(
        &mut self,
        now: Micros,
        worker: WorkerId,
        id: &str,
    ) -> Result<ConnKey, CloseReason> {
        let streams = self.config.streams;
        let keys = self.routes.connections.entry(worker).or_default();
        let fits = |key: &&ConnKey| match self.connections.get(**key) {
            Some((conn, Role::Worker(link))) => {
                link.accepts(id, streams) && conn.outbox.len() < MAX_WORKER_BACKLOG_BYTES
            }
            _ => false,
        };
        if let Some(key) = keys.iter().copied().find(|key| fits(&key)) {
            if let Some((_, Role::Worker(link))) = self.connections.get_mut(key) {
                link.last_active_at = if link.open() == 0 {
                    now
                } else {
                    link.last_active_at
                };
            }
            return Ok(key);
        }
        let keys_held = keys.len();
        if keys_held >= MAX_CONNECTIONS_PER_WORKER {
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
        let stream = net::connect(address).map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => CloseReason::Refused,
            _ if net::is_local_limit(&e) => CloseReason::LocalLimit,
            _ => CloseReason::ConnectTimeout,
        })?;
        let role = Role::Worker(WorkerConnection::new(worker, now));
        let key = self
            .add_connection(stream, false, role)
            .map_err(|_| CloseReason::ConnectTimeout)?;
        self.core.counters.connects += 1;
        tracing::debug!(worker = worker.0, links = keys_held + 1, "connects");
        self.routes.add(worker, key);
        self.set_deadline(key, Some(now + self.config.connect_limit));
        Ok(key)
    }

    /// Nothing more goes out on a worker's connections opened before a time (or on any): what is queued is
    /// taken back, what is out may still be answered.
    pub(super) fn retire_connections(&mut self, worker: WorkerId, before: Option<Micros>) {
        let mut done = Vec::new();
        for key in self
            .routes
            .connections
            .get(&worker)
            .cloned()
            .unwrap_or_default()
        {
            let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                continue;
            };
            if before.is_some_and(|t| link.opened_at >= t) {
                continue;
            }
            link.withdraw_unsent(&mut conn.outbox, &mut done);
            link.retired = true;
            if link.open() == 0 {
                let soon = self.clock.now() + RETIRED_CHECK_INTERVAL;
                self.set_deadline(key, Some(soon));
            }
        }
        self.completed.extend(done);
    }
}
