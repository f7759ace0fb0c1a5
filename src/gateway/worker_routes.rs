//! The connections to each worker, and the connection that carries each exchange.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::ConnKey;
use crate::api::WorkerId;
use crate::core::{AttemptKey, HealthCheckKey, LoadOrderKey};

/// The connections to workers and of exchanges in flight.
#[derive(Debug, Default)]
pub(super) struct WorkerRoutes {
    /// The open connections to each worker, the oldest first.
    pub(super) connections: BTreeMap<WorkerId, Vec<ConnKey>>,
    /// The connection that carries each attempt.
    pub(super) attempts: SecondaryMap<AttemptKey, ConnKey>,
    /// The connection that carries each load order.
    pub(super) load_orders: SecondaryMap<LoadOrderKey, ConnKey>,
    /// The connection that carries each health check.
    pub(super) health_checks: SecondaryMap<HealthCheckKey, ConnKey>,
}

impl WorkerRoutes {
    /// Adds a connection to a worker.
    pub(super) fn add(&mut self, worker: WorkerId, key: ConnKey) {
        self.connections.entry(worker).or_default().push(key);
    }

    /// Removes a connection to a worker.
    pub(super) fn remove(&mut self, worker: WorkerId, key: ConnKey) {
        let Some(keys) = self.connections.get_mut(&worker) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.connections.remove(&worker);
        }
    }
}
