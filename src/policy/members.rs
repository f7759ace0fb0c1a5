//! The list of workers: who is new, gone or unfit, and the order in which all instances walk them.

use super::*;

/// A worker's place in a function's walk: the same at every instance, so that they meet at the same homes.
pub(super) fn rendezvous(function: FunctionId, worker: WorkerId) -> u64 {
    let w = u64::from(worker.0).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let mut x = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ w;
    for _ in 0..2 {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    x ^ (x >> 31)
}

impl Policy {
    pub(super) fn on_members(&mut self, now: Micros, kind: ListUpdate, members: Vec<WorkerEntry>) {
        if kind == ListUpdate::Failed {
            self.subscribed = 0;
            return;
        }
        self.list_version += 1;
        if kind != ListUpdate::Delta {
            let named: BTreeSet<WorkerId> = members.iter().map(|m| m.worker).collect();
            for (id, worker) in self
                .workers
                .iter_mut()
                .filter(|(id, _)| !named.contains(id))
            {
                worker.ready = false;
                self.loading.retain(|(w, _), _| w != id);
            }
        }
        for m in members {
            let w = self.workers.entry(m.worker).or_default();
            let begun = w.cap == 0.0 || m.started_at.is_some() && m.started_at > w.started;
            if begun {
                let fresh = Worker {
                    quiet_since: now,
                    heard_ok: now,
                    strain: 1.0,
                    ..Default::default()
                };
                *w = Worker {
                    inflight: w.inflight,
                    started: m.started_at,
                    cap: self.first_cap,
                    ..fresh
                };
            }
            (w.zone, w.cell, w.ready) =
                (Some(m.zone), Some(m.cell), m.status == WorkerStatus::Ready);
            if begun || m.status == WorkerStatus::Removed {
                self.forget_copies(m.worker);
            }
        }
        self.survey(now);
    }

    /// Others' word moves a worker down the walk for a while, or ends a spell on the bench: one trial tells.
    pub(super) fn on_rumour(&mut self, now: Micros, worker: WorkerId, down: Option<Micros>) {
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        match down {
            Some(until) => w.rumoured = until,
            None => (w.rumoured, w.benched) = (0, w.benched.min(now)),
        }
    }

    pub(super) fn on_round(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.surveyed + SURVEY {
            return;
        }
        self.surveyed = now;
        if now >= self.rolled + INTERVAL {
            self.rolled = now;
            // What is not seen for two intervals is forgotten, or memory would grow with every function met.
            self.functions.retain(|_, f| {
                f.calls + f.last_calls > 0.0
                    || !f.held.is_empty()
                    || f.copies.values().any(|c| c.own > 0)
            });
            for f in self.functions.values_mut() {
                (f.last_calls, f.calls, f.sum) = (f.calls, 0.0, 0.0);
                f.total *= (MEMORY / f.answers).min(1.0);
                f.answers = f.answers.min(MEMORY);
                f.copies
                    .retain(|w, c| c.own > 0 || self.workers.contains_key(w));
            }
        }
        self.survey(now);
        // Nobody tells the end of a load whose requests have left: past its usual time it holds no place.
        let mut loading = std::mem::take(&mut self.loading);
        loading.retain(|(_, f), (since, _)| {
            self.functions
                .get(f)
                .is_some_and(|f| now <= *since + self.load_patience(f))
        });
        self.loading = loading;
        self.call_back(now, out);
    }

    fn survey(&mut self, now: Micros) {
        let of = |(id, w): (&WorkerId, &Worker)| self.stalled(now, *id, w).then_some(*id);
        let stalled: BTreeSet<WorkerId> = self.workers.iter().filter_map(of).collect();
        self.workers
            .iter_mut()
            .for_each(|(id, w)| w.stalled = stalled.contains(id));
        self.workers.retain(|_, w| w.ready || w.inflight > 0);
        self.ready = self.workers.values().filter(|w| w.ready).count();
        self.fit = self
            .workers
            .values()
            .filter(|w| w.ready && w.healthy(now))
            .count();
        let ready = self.ready.max(1) as f64;
        let served = recent(&mut self.served, now, INTERVAL);
        // The best seen: a budget cut by the very loss it should mend would never recover.
        self.bears = self.bears.max(served / INTERVAL as f64 / ready);
        let caps: f64 = self
            .workers
            .values()
            .filter(|w| w.ready)
            .map(|w| w.cap)
            .sum();
        self.calm = self.carried(now) < CALM * caps;
        self.pressed = self.carried(now) > PRESSED * caps.max(self.first_cap * ready);
    }

    pub(super) fn forget_copies(&mut self, worker: WorkerId) {
        for f in self.functions.values_mut() {
            if let Some(c) = f.copies.get_mut(&worker) {
                *c = Copies {
                    own: c.own,
                    ..Default::default()
                };
            }
        }
        self.loading.retain(|(w, _), _| *w != worker);
    }

    pub(super) fn refresh_order(&mut self, function: FunctionId) {
        let stale = |f: &&mut Function| f.order_of != self.list_version;
        if let Some(f) = self.functions.get_mut(&function).filter(stale) {
            f.order_of = self.list_version;
            f.order = self
                .workers
                .iter()
                .filter(|(_, w)| w.ready)
                .map(|(id, _)| *id)
                .collect();
            f.order.sort_by_key(|w| rendezvous(function, *w));
            f.order.truncate(WALK);
        }
    }
}
