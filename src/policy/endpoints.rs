//! The endpoint list: new, restarted and removed workers, and the order in which instances try
//! them.

use std::collections::BTreeSet;

use super::loads::CopyKey;
use super::worker::WorkerState;
use super::Policy;
use crate::api::{
    DiscoverySignal, FunctionId, ListUpdate, Micros, WorkerEntry, WorkerId, WorkerStatus,
};

/// A worker's rank among a function's candidates. It is the same at every instance.
pub(super) fn rendezvous_hash(function: FunctionId, worker: WorkerId) -> u64 {
    let mixed_worker = u64::from(worker.0).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let mut hash = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ mixed_worker;
    for _ in 0..2 {
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    hash ^ (hash >> 31)
}

impl Policy {
    /// Applies an update of the endpoint list.
    pub(super) fn on_worker_list(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entries: Vec<WorkerEntry>,
    ) {
        if !self.settings.discovery_heartbeats {
            let signal = match update {
                ListUpdate::Failed => DiscoverySignal::Closed,
                ListUpdate::Delta | ListUpdate::Snapshot | ListUpdate::Cached => {
                    DiscoverySignal::Update
                }
            };
            self.evidence.on_discovery(now, signal);
        }
        if update == ListUpdate::Failed {
            self.subscribed_at = 0;
            return;
        }
        self.visited += entries.len() as u64;
        if update != ListUpdate::Delta {
            self.retire_unlisted(&entries);
        }
        for entry in &entries {
            self.apply_entry(now, entry);
        }
        self.scan_workers(now);
    }

    /// Stops new work to workers that a complete list no longer contains.
    fn retire_unlisted(&mut self, entries: &[WorkerEntry]) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        let unlisted: Vec<WorkerId> = self
            .workers
            .iter()
            .map(|(id, _)| *id)
            .filter(|id| !listed.contains(id))
            .collect();
        for id in unlisted {
            if let Some(mut worker) = self.workers.get_mut(&id) {
                worker.ready = false;
            }
            self.note_availability_change(id);
            self.forget_loads_in_progress(id);
        }
        self.evidence.retain_listed(|id| listed.contains(&id));
    }

    fn apply_entry(&mut self, now: Micros, entry: &WorkerEntry) {
        let mut worker = self.workers.get_or_add(entry.worker);
        let was_ready = worker.ready;
        let first_listed = worker.concurrency_limit == 0.0;
        let restarted = entry.started_at.is_some() && entry.started_at > worker.started_at;
        if first_listed || restarted {
            let in_flight = worker.in_flight;
            let limit = self.initial_concurrency_limit;
            *worker = WorkerState::new_process(now, entry.started_at, limit, in_flight);
        }
        worker.zone = Some(entry.zone);
        worker.cell = Some(entry.cell);
        worker.ready = entry.status == WorkerStatus::Ready;
        let changed = worker.ready != was_ready || restarted;
        drop(worker);
        if changed {
            self.note_availability_change(entry.worker);
        }
        self.evidence
            .on_listed(entry.worker, entry.status, restarted);
        if first_listed || restarted || entry.status == WorkerStatus::Removed {
            self.forget_copies(entry.worker);
        }
    }

    /// Treats a resumed worker, whose process may be new with an unknown start time, as starting
    /// now: it is in slow start and has no copies.
    pub(super) fn begin_slow_start(&mut self, now: Micros, id: WorkerId) {
        let limit = self.initial_concurrency_limit;
        let Some(mut worker) = self.workers.get_mut(&id) else {
            return;
        };
        let (zone, cell, ready) = (worker.zone, worker.cell, worker.ready);
        *worker = WorkerState::new_process(now, Some(now), limit, worker.in_flight);
        worker.zone = zone;
        worker.cell = cell;
        worker.ready = ready;
        drop(worker);
        self.forget_copies(id);
    }

    /// Forgets the copies on a worker whose process has ended.
    pub(super) fn forget_copies(&mut self, worker: WorkerId) {
        for key in self.known_copies.range(CopyKey::all_of(worker)) {
            self.visited += 1;
            let function = self.functions.get_mut(&key.function);
            if let Some(copy) = function.and_then(|function| function.copies.get_mut(&worker)) {
                copy.forget();
            }
        }
        self.forget_loads_in_progress(worker);
        self.load_backoffs.forget_worker(worker);
    }

    fn forget_loads_in_progress(&mut self, worker: WorkerId) {
        let keys: Vec<CopyKey> = self
            .loads_in_progress
            .range(CopyKey::all_of(worker))
            .map(|(key, _)| *key)
            .collect();
        self.visited += keys.len() as u64;
        for key in keys {
            self.loads_in_progress.remove(&key);
        }
    }

    /// Applies peers' observations: they move a worker to the end of every candidate list for a
    /// while, or end its ejection so that a trial request can be sent.
    pub(super) fn on_peer_health(
        &mut self,
        now: Micros,
        worker: WorkerId,
        unhealthy_until: Option<Micros>,
    ) {
        let Some(mut state) = self.workers.get_mut(&worker) else {
            return;
        };
        if let Some(until) = unhealthy_until {
            state.peer_unhealthy_until = until;
        } else {
            state.peer_unhealthy_until = 0;
            state.ejected_until = state.ejected_until.min(now);
        }
    }
}
