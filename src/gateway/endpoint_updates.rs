//! The notice board's connection and what its events change.

use super::*;

impl Gateway {
    pub(super) fn open_board(&mut self, now: Micros) {
        let Some(address) = self.config.board else {
            return;
        };
        if self
            .connections
            .values()
            .any(|(_, role)| matches!(role, Role::Board(_)))
        {
            return;
        }
        let opened = net::connect(address)
            .and_then(|s| self.add(s, false, Role::Board(WatchStream::default())));
        match opened {
            Ok(key) => {
                if let Some((conn, _)) = self.connections.get_mut(key) {
                    conn.out.push(
                        net::KEPT_FRAME,
                        WatchStream::request(address, self.last_revision),
                    );
                }
                self.set_deadline(key, Some(now + 1_000_000));
            }
            Err(_) => self.core.hang(now + BOARD_PAUSE, BOARD_AGAIN),
        }
    }

    /// Takes one event; `false` if the board is to be asked anew for what was missed.
    pub(super) fn on_event(&mut self, now: Micros, event: &discovery::EventStreamDecoder) -> bool {
        let notice = match WatchEvent::parse(&event.data, &self.config.names) {
            Ok(notice) => notice,
            Err(e) => {
                // The list held stays as it is, and so does its number: the event is asked for once more, as it may
                // have been spoilt on the way. Unreadable again, it is passed over.
                self.core.counters.unreadable += 1;
                tracing::warn!(event = ?event.id, "a notice cannot be read: {e}");
                let again = self.revision_gap == Some(self.last_revision);
                self.revision_gap = Some(self.last_revision);
                return again;
            }
        };
        self.on_notice(now, &notice)
    }

    /// Takes one notice; `false` if one before it was missed. One that is older than the list held is passed
    /// over: a board may write an event twice, and an old whole list would bring back workers that have gone.
    pub(super) fn on_notice(&mut self, now: Micros, notice: &WatchEvent) -> bool {
        if notice.rev < self.last_revision || notice.rev == self.last_revision && !notice.snapshot {
            return true;
        }
        if !notice.snapshot
            && notice.rev > self.last_revision + 1
            && self.revision_gap != Some(self.last_revision)
        {
            self.revision_gap = Some(self.last_revision);
            return false;
        }
        (self.last_revision, self.revision_gap) = (notice.rev, None);
        let (listed, moved) = self.endpoints.apply(notice);
        let lines = notice.endpoints.iter().map(|e| e.name.as_str()).zip(listed);
        let members = self.ops.upkeep.apply_list(notice.snapshot, lines);
        for m in &members {
            self.on_member(m);
        }
        self.tell_ready(now, notice.snapshot, &members);
        for worker in moved {
            self.retire(worker, None);
        }
        if notice.snapshot {
            let listed = |w: &WorkerId| members.iter().any(|m| m.worker == *w);
            let gone: Vec<WorkerId> = self
                .worker_connections
                .keys()
                .filter(|w| !listed(w))
                .copied()
                .collect();
            for worker in gone {
                self.endpoints.set_draining(worker, true);
                self.retire(worker, None);
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
        self.core.members(now, kind, told);
        let links = &self.worker_connections;
        self.endpoints
            .forget_removed(|worker| links.contains_key(worker));
        true
    }

    pub(super) fn on_member(&mut self, m: &WorkerEntry) {
        self.endpoints
            .set_draining(m.worker, m.status != WorkerStatus::Ready);
        match (m.status, m.started_at) {
            (WorkerStatus::Ready, Some(started)) => self.retire(m.worker, Some(started)),
            (WorkerStatus::Ready, None) => {}
            (WorkerStatus::Draining | WorkerStatus::Removed, _) => self.retire(m.worker, None),
        }
    }

    /// Nothing more goes out on a worker's connections opened before a time (or on any): what is queued is
    /// taken back, what is out may still be answered.
    pub(super) fn retire(&mut self, worker: WorkerId, before: Option<Micros>) {
        let mut done = Vec::new();
        for key in self
            .worker_connections
            .get(&worker)
            .cloned()
            .unwrap_or_default()
        {
            let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                continue;
            };
            if before.is_some_and(|t| link.opened >= t) {
                continue;
            }
            link.withdraw_unsent(&mut conn.out, &mut done);
            link.suspect = true;
            if link.open() == 0 {
                let soon = self.clock.now() + RETIRED_AGAIN;
                self.set_deadline(key, Some(soon));
            }
        }
        self.done.extend(done);
    }
}
