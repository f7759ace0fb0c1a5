//! The notice board's connection and what its events change.

use super::{Gateway, GatewayDeadline, Role};
use crate::api::{ListUpdate, Micros, WorkerEntry, WorkerId, WorkerStatus};
use crate::discovery::{WatchEvent, WatchStream};
use crate::{discovery, net};

/// Service discovery sends a comment every second; after so long a silence it is connected to again.
pub(super) const DISCOVERY_SILENCE_TIMEOUT: Micros = 2_200_000;
/// How long a connection to service discovery may take to be established.
const DISCOVERY_CONNECT_TIMEOUT: Micros = 1_000_000;
/// How long a new connection to service discovery waits after the end of the last.
pub(super) const DISCOVERY_RECONNECT_INTERVAL: Micros = 100_000;

impl Gateway {
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
                if let Some((conn, _)) = self.connections.get_mut(key) {
                    conn.outbox.push(
                        net::UNTAGGED_FRAME,
                        WatchStream::request(address, self.discovery.last_revision),
                    );
                }
                self.set_deadline(key, Some(now + DISCOVERY_CONNECT_TIMEOUT));
            }
            Err(_) => self.core.schedule(
                now + DISCOVERY_RECONNECT_INTERVAL,
                GatewayDeadline::DiscoveryReconnect.into(),
            ),
        }
    }

    /// Takes one event; `false` if the board is to be asked anew for what was missed.
    pub(super) fn read_watch_event(
        &mut self,
        now: Micros,
        event: &discovery::ServerSentEvent,
    ) -> bool {
        let notice = match WatchEvent::parse(&event.data, &self.config.names) {
            Ok(notice) => notice,
            Err(e) => {
                // The list held stays as it is, and so does its number: the event is asked for once more, as it may
                // have been spoilt on the way. Unreadable again, it is passed over.
                self.core.counters.unreadable += 1;
                tracing::warn!(event = ?event.id, "a notice cannot be read: {e}");
                let again = self.discovery.revision_gap == Some(self.discovery.last_revision);
                self.discovery.revision_gap = Some(self.discovery.last_revision);
                return again;
            }
        };
        self.apply_watch_event(now, &notice)
    }

    /// Takes one notice; `false` if one before it was missed. One that is older than the list held is passed
    /// over: a board may write an event twice, and an old whole list would bring back workers that have gone.
    pub(super) fn apply_watch_event(&mut self, now: Micros, notice: &WatchEvent) -> bool {
        if notice.revision < self.discovery.last_revision
            || notice.revision == self.discovery.last_revision && !notice.snapshot
        {
            return true;
        }
        if !notice.snapshot
            && notice.revision > self.discovery.last_revision + 1
            && self.discovery.revision_gap != Some(self.discovery.last_revision)
        {
            self.discovery.revision_gap = Some(self.discovery.last_revision);
            return false;
        }
        (self.discovery.last_revision, self.discovery.revision_gap) = (notice.revision, None);
        let applied = self.discovery.endpoints.apply(notice);
        let lines = notice
            .endpoints
            .iter()
            .map(|e| e.name.as_str())
            .zip(applied.workers);
        let members = self.ops.overrides.list(notice.snapshot, lines);
        for m in &members {
            self.apply_worker_status(m);
        }
        self.tell_ready(now, notice.snapshot, &members);
        for worker in applied.readdressed {
            self.retire_connections(worker, None);
        }
        if notice.snapshot {
            let listed = |w: &WorkerId| members.iter().any(|m| m.worker == *w);
            let gone: Vec<WorkerId> = self
                .routes
                .connections
                .keys()
                .filter(|w| !listed(w))
                .copied()
                .collect();
            for worker in gone {
                self.discovery.endpoints.set_draining(worker, true);
                self.retire_connections(worker, None);
            }
        }
        let kind = if notice.snapshot {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Delta
        };
        let told = members
            .into_iter()
            .filter(|m| !notice.snapshot || m.status != WorkerStatus::Removed)
            .collect();
        self.core.update_workers(now, kind, told);
        let links = &self.routes.connections;
        self.discovery
            .endpoints
            .forget_removed(|worker| links.contains_key(worker));
        true
    }

    pub(super) fn apply_worker_status(&mut self, m: &WorkerEntry) {
        self.discovery
            .endpoints
            .set_draining(m.worker, m.status != WorkerStatus::Ready);
        match (m.status, m.started_at) {
            (WorkerStatus::Ready, Some(started)) => {
                self.retire_connections(m.worker, Some(started))
            }
            (WorkerStatus::Ready, None) => {}
            (WorkerStatus::Draining | WorkerStatus::Removed, _) => {
                self.retire_connections(m.worker, None)
            }
        }
    }
}
