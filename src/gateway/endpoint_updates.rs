//! The connection to service discovery, and what its updates change.

use super::{ConnKey, Gateway, GatewayDeadline, Role};
use crate::api::{DiscoverySignal, ListUpdate, Micros, WorkerEntry, WorkerId, WorkerStatus};
use crate::completion::CloseReason;
use crate::discovery::{reconnect_pause, WatchEvent, WatchStream};
use crate::{discovery, net};

/// Service discovery sends a comment every second; after so long a silence it is connected to again.
pub(super) const DISCOVERY_SILENCE_TIMEOUT: Micros = 2_200_000;
/// How long a connection to service discovery may take to be established.
const DISCOVERY_CONNECT_TIMEOUT: Micros = 1_000_000;

impl Gateway {
    /// Connects to service discovery, if there is one and no connection to it.
    pub(super) fn connect_discovery(&mut self, now: Micros) {
        let Some(address) = self.config.board else {
            return;
        };
        if self
            .connections
            .values()
            .any(|(_, role)| matches!(role, Role::Discovery(_)))
        {
            return;
        }
        let opened = net::connect(address)
            .and_then(|s| self.add_connection(s, false, Role::Discovery(WatchStream::default())));
        match opened {
            Ok(key) => {
                if let Some((connection, _)) = self.connections.get_mut(key) {
                    connection.outbox.push(
                        net::UNTAGGED_FRAME,
                        WatchStream::request(address, self.discovery.last_revision),
                    );
                }
                self.set_deadline(key, Some(now + DISCOVERY_CONNECT_TIMEOUT));
            }
            Err(_) => {
                self.discovery.failed_connects = self.discovery.failed_connects.saturating_add(1);
                self.schedule_discovery_reconnect(now);
            }
        }
    }

    /// Logs the end of a discovery connection: that of a stream that had answered, and the first failed connect after it.
    /// Connects again after a pause.
    pub(super) fn discovery_closed(
        &mut self,
        now: Micros,
        stream: &WatchStream,
        reason: CloseReason,
    ) {
        let answered = stream.has_answered();
        if answered || self.discovery.failed_connects == 0 {
            tracing::info!(
                revision = self.discovery.last_revision,
                reason = reason.name(),
                answered,
                "discovery stream closed"
            );
        }
        self.core.counters.discovery_closed += 1;
        self.discovery.failed_connects = if answered {
            0
        } else {
            self.discovery.failed_connects.saturating_add(1)
        };
        if answered {
            self.core
                .handle_discovery_signal(now, DiscoverySignal::Closed);
        }
        self.schedule_discovery_reconnect(now);
    }

    fn schedule_discovery_reconnect(&mut self, now: Micros) {
        let pause = reconnect_pause(self.config.seed, self.discovery.failed_connects);
        self.core
            .schedule(now + pause, GatewayDeadline::DiscoveryReconnect.into());
    }

    /// Ends the stream of service discovery and opens a new one at once.
    pub(super) fn reopen_discovery(&mut self, now: Micros) {
        let open: Vec<ConnKey> = self
            .connections
            .iter()
            .filter(|(_, (_, role))| matches!(role, Role::Discovery(_)))
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.close(key, CloseReason::Shutdown);
        }
        self.connect_discovery(now);
    }

    /// Handles one event; `false` if service discovery is to be asked again for what was missed.
    pub(super) fn read_watch_event(
        &mut self,
        now: Micros,
        event: &discovery::ServerSentEvent,
    ) -> bool {
        let update = match WatchEvent::parse(&event.data, &self.config.names) {
            Ok(update) => update,
            Err(error) => {
                // The list stays as it is, and so does its revision: the event is asked for once more, as it may have
                // been damaged on the way. Unreadable again, it is skipped.
                self.core.counters.unreadable += 1;
                tracing::warn!(revision = ?event.id, %error, "watch event cannot be read");
                let asked_before =
                    self.discovery.revision_gap == Some(self.discovery.last_revision);
                self.discovery.revision_gap = Some(self.discovery.last_revision);
                return asked_before;
            }
        };
        let is_complete = self.apply_watch_event(now, &update);
        if is_complete {
            self.core
                .handle_discovery_signal(now, DiscoverySignal::Update);
        }
        is_complete
    }

    /// Applies one update; `false` if one before it was missed. One that is older than the list is skipped: an event may
    /// be sent twice, and an old snapshot would bring back workers that were removed.
    pub(super) fn apply_watch_event(&mut self, now: Micros, update: &WatchEvent) -> bool {
        if update.revision < self.discovery.last_revision
            || update.revision == self.discovery.last_revision && !update.snapshot
        {
            return true;
        }
        if !update.snapshot
            && update.revision > self.discovery.last_revision + 1
            && self.discovery.revision_gap != Some(self.discovery.last_revision)
        {
            self.discovery.revision_gap = Some(self.discovery.last_revision);
            return false;
        }
        self.discovery.last_revision = update.revision;
        self.discovery.revision_gap = None;
        let applied = self.discovery.endpoints.apply(update);
        let names = update
            .endpoints
            .iter()
            .map(|endpoint| endpoint.name.as_str());
        let workers = self
            .ops
            .overrides
            .apply_list(update.snapshot, names.zip(applied.workers));
        for worker in &workers {
            self.apply_worker_status(worker);
        }
        self.tell_ready(now, update.snapshot, &workers);
        for worker in applied.address_changes {
            self.retire_connections(worker, None);
        }
        if update.snapshot {
            self.retire_unlisted(&workers);
        }
        self.update_core_workers(now, update.snapshot, workers);
        let connections = &self.routes.connections;
        self.discovery
            .endpoints
            .forget_removed(|worker| connections.contains_key(worker));
        true
    }

    /// Retires the connections to workers that a snapshot does not list.
    fn retire_unlisted(&mut self, listed: &[WorkerEntry]) {
        let is_listed = |worker: &WorkerId| listed.iter().any(|entry| entry.worker == *worker);
        let unlisted: Vec<WorkerId> = self
            .routes
            .connections
            .keys()
            .filter(|worker| !is_listed(worker))
            .copied()
            .collect();
        for worker in unlisted {
            self.discovery.endpoints.set_draining(worker, true);
            self.retire_connections(worker, None);
        }
    }

    /// Tells the core of an update; a snapshot without the workers that it removes.
    fn update_core_workers(&mut self, now: Micros, snapshot: bool, workers: Vec<WorkerEntry>) {
        let update = if snapshot {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Delta
        };
        let told = workers
            .into_iter()
            .filter(|entry| !snapshot || entry.status != WorkerStatus::Removed)
            .collect();
        self.core.update_workers(now, update, told);
    }

    /// Notes a worker's status, and retires connections to it that are of no more use.
    pub(super) fn apply_worker_status(&mut self, entry: &WorkerEntry) {
        let worker = entry.worker;
        self.discovery
            .endpoints
            .set_draining(worker, entry.status != WorkerStatus::Ready);
        match (entry.status, entry.started_at) {
            (WorkerStatus::Ready, Some(started_at)) => {
                self.retire_connections(worker, Some(started_at));
            }
            (WorkerStatus::Ready, None) => {}
            (WorkerStatus::Draining | WorkerStatus::Removed, _) => {
                self.retire_connections(worker, None);
            }
        }
    }
}
