//! The connection to service discovery, and the application of its updates.

use std::collections::BTreeSet;

use super::discovery_state::Unhandled;
use super::{ConnKey, Gateway, GatewayDeadline, Role};
use crate::api::{DiscoverySignal, ListUpdate, Micros, WorkerEntry, WorkerId, WorkerStatus};
use crate::completion::CloseReason;
use crate::discovery::{reconnect_pause, Endpoint, StagedEndpoints, WatchEvent, WatchStream};
use crate::operations::loop_timing::Activity;
use crate::{discovery, net};

/// The gateway reconnects to service discovery after this much silence; a heartbeat comment arrives
/// every second.
pub(super) const DISCOVERY_SILENCE_TIMEOUT: Micros = 2_200_000;
/// Maximum number of entries applied in one turn. Longer updates are applied in pieces, with
/// connections and deadlines in between.
const MAX_ENTRIES_PER_TURN: usize = 256;
/// Time for a connection to service discovery to be established.
const DISCOVERY_CONNECT_TIMEOUT: Micros = 1_000_000;

impl Gateway {
    /// Connects to service discovery, if one is configured and no connection to it exists.
    pub(super) fn connect_discovery(&mut self, now: Micros) {
        let Some(address) = self.config.discovery_address else {
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

    /// Handles the end of a discovery connection and schedules the next connect. Logs only the end
    /// of a stream that had answered and the first of consecutive failed connects.
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
                .handle_discovery_signal(now, now, DiscoverySignal::Closed);
        }
        self.schedule_discovery_reconnect(now);
    }

    fn schedule_discovery_reconnect(&mut self, now: Micros) {
        let pause = reconnect_pause(self.config.seed, self.discovery.failed_connects);
        self.core
            .schedule(now + pause, GatewayDeadline::DiscoveryReconnect.into());
    }

    /// Closes the discovery stream and opens a new one at once.
    pub(super) fn reopen_discovery(&mut self, now: Micros) {
        self.close_discovery(CloseReason::Shutdown);
        self.connect_discovery(now);
    }

    /// Handles what the stream said, up to and including one event. Returns `false` if the stream
    /// was closed, to request the event again.
    pub(super) fn handle_unhandled(&mut self, now: Micros) -> bool {
        while let Some(unhandled) = self.discovery.unhandled.pop_front() {
            match unhandled {
                Unhandled::Signal(arrived_at, signal) => {
                    self.core.handle_discovery_signal(now, arrived_at, signal);
                }
                Unhandled::Event(arrived_at, event) => {
                    if self.read_watch_event(now, arrived_at, &event) {
                        return true;
                    }
                    self.discovery.unhandled.clear();
                    self.close_discovery(CloseReason::Malformed);
                    return false;
                }
            }
        }
        true
    }

    /// Closes the discovery stream.
    fn close_discovery(&mut self, reason: CloseReason) {
        let open: Vec<ConnKey> = self
            .connections
            .iter()
            .filter(|(_, (_, role))| matches!(role, Role::Discovery(_)))
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.close(key, reason);
        }
    }

    /// Handles one event. Returns `false` if the stream has to be reopened to request the event
    /// again.
    pub(super) fn read_watch_event(
        &mut self,
        now: Micros,
        arrived_at: Micros,
        event: &discovery::ServerSentEvent,
    ) -> bool {
        let update = match WatchEvent::parse(&event.data, &self.config.names) {
            Ok(update) => update,
            Err(error) => {
                // The list and its revision stay as they are. The event is requested once more, as
                // it may have been damaged in transit; if it is unreadable again, it is skipped.
                self.core.counters.unreadable += 1;
                tracing::warn!(revision = ?event.id, %error, "watch event cannot be read");
                let requested_before =
                    self.discovery.revision_gap == Some(self.discovery.last_revision);
                self.discovery.revision_gap = Some(self.discovery.last_revision);
                return requested_before;
            }
        };
        self.end_activity(Activity::Discovery);
        let is_complete = self.apply_watch_event(now, &update);
        self.end_activity(Activity::EndpointList);
        if is_complete {
            self.core
                .handle_discovery_signal(now, arrived_at, DiscoverySignal::Update);
        }
        is_complete
    }

    /// Applies one update. Returns `false` if an earlier update was missed. An update older than
    /// the list is skipped: an event may be sent twice, and an old snapshot would restore removed
    /// workers.
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
        let is_short = update.endpoints.len() <= MAX_ENTRIES_PER_TURN;
        if is_short && self.discovery.staged.is_empty() {
            self.apply_update(now, update);
        } else {
            self.stage_update(now, update);
        }
        true
    }

    /// Applies what an update restricts (draining, removed and unlisted workers), and stages the
    /// entries of ready workers.
    fn stage_update(&mut self, now: Micros, update: &WatchEvent) {
        let mut restricted = Vec::new();
        if update.snapshot {
            restricted = self.unlisted_in(update);
            self.discovery.staged = StagedEndpoints::default();
        }
        for endpoint in &update.endpoints {
            if endpoint.status == WorkerStatus::Ready {
                if self.is_changed(endpoint) {
                    self.discovery.staged.stage(endpoint.clone());
                }
            } else {
                self.discovery.staged.withdraw(&endpoint.name);
                restricted.push(endpoint.clone());
            }
        }
        self.apply_delta(now, restricted);
    }

    /// Whether the entry of a ready worker says more than what is applied. An entry that waits for
    /// its turn is replaced in any case.
    fn is_changed(&self, endpoint: &Endpoint) -> bool {
        let Some(entry) = self.ops.overrides.listed_entry(&endpoint.name) else {
            return true;
        };
        let address = self.discovery.endpoints.addresses.get(&entry.worker);
        let is_known = entry.status == endpoint.status
            && entry.zone == endpoint.zone
            && entry.cell == endpoint.cell
            && entry.capacity == endpoint.capacity
            && endpoint
                .started_at
                .is_none_or(|at| entry.started_at >= Some(at))
            && address == Some(&endpoint.address);
        !is_known || self.discovery.staged.contains(&endpoint.name)
    }

    /// Returns the removal of each listed worker that a snapshot does not contain.
    fn unlisted_in(&self, snapshot: &WatchEvent) -> Vec<Endpoint> {
        let names: BTreeSet<&str> = snapshot
            .endpoints
            .iter()
            .map(|endpoint| endpoint.name.as_str())
            .collect();
        let unlisted = self
            .ops
            .overrides
            .listed()
            .filter(|(name, _)| !names.contains(name));
        unlisted
            .filter_map(|(name, entry)| self.removal_of(name, entry))
            .collect()
    }

    /// Returns the entry that removes a listed worker.
    fn removal_of(&self, name: &str, entry: &WorkerEntry) -> Option<Endpoint> {
        Some(Endpoint {
            name: name.to_owned(),
            address: *self.discovery.endpoints.addresses.get(&entry.worker)?,
            zone: entry.zone,
            cell: entry.cell,
            status: WorkerStatus::Removed,
            capacity: entry.capacity,
            started_at: None,
        })
    }

    /// Returns an update that removes the workers at whose addresses a change of the list names new
    /// ones; `None` if there are none. A snapshot removes them by itself.
    pub(super) fn removal_of_superseded(&self, update: &WatchEvent) -> Option<WatchEvent> {
        if update.snapshot {
            return None;
        }
        let superseded = self.discovery.endpoints.superseded_by(update);
        let endpoints: Vec<Endpoint> = superseded
            .iter()
            .filter_map(|name| {
                let entry = self.ops.overrides.listed_entry(name)?;
                self.removal_of(name, entry)
            })
            .collect();
        (!endpoints.is_empty()).then_some(WatchEvent {
            revision: update.revision,
            snapshot: false,
            endpoints,
        })
    }

    fn remove_superseded(&mut self, now: Micros, update: &WatchEvent) {
        let Some(removal) = self.removal_of_superseded(update) else {
            return;
        };
        for endpoint in &removal.endpoints {
            tracing::info!(
                worker = endpoint.name,
                address = %endpoint.address,
                "worker superseded at its address"
            );
        }
        self.core.counters.workers_superseded += removal.endpoints.len() as u64;
        self.apply_update(now, &removal);
    }

    /// Applies the next piece of a long update, if one waits.
    pub(super) fn apply_staged(&mut self, now: Micros) {
        if self.discovery.staged.is_empty() {
            return;
        }
        let endpoints = self.discovery.staged.take(MAX_ENTRIES_PER_TURN);
        self.apply_delta(now, endpoints);
    }

    fn apply_delta(&mut self, now: Micros, endpoints: Vec<Endpoint>) {
        let delta = WatchEvent {
            revision: self.discovery.last_revision,
            snapshot: false,
            endpoints,
        };
        self.apply_update(now, &delta);
    }

    fn apply_update(&mut self, now: Micros, update: &WatchEvent) {
        self.remove_superseded(now, update);
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
        self.update_ready_workers(now, update.snapshot, &workers);
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
    }

    /// Retires the connections to workers that a snapshot does not list.
    fn retire_unlisted(&mut self, listed: &[WorkerEntry]) {
        let listed: BTreeSet<WorkerId> = listed.iter().map(|entry| entry.worker).collect();
        let unlisted: Vec<WorkerId> = self
            .routes
            .connections
            .keys()
            .filter(|worker| !listed.contains(worker))
            .copied()
            .collect();
        for worker in unlisted {
            self.discovery.endpoints.set_draining(worker, true);
            self.retire_connections(worker, None);
        }
    }

    /// Passes an update to the core; a snapshot without the workers that it removes.
    fn update_core_workers(&mut self, now: Micros, snapshot: bool, workers: Vec<WorkerEntry>) {
        let update = if snapshot {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Delta
        };
        let entries = workers
            .into_iter()
            .filter(|entry| !snapshot || entry.status != WorkerStatus::Removed)
            .collect();
        self.core.update_workers(now, update, entries);
    }

    /// Records a worker's status. Retires the connections from before its start, or all of them if
    /// it is draining or removed.
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
