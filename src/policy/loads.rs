//! Copies of functions: where they stand, which are being loaded, and orders to load.

use super::*;

impl Policy {
    /// How long a load is taken to be under way when nothing is heard of it.
    pub(super) fn load_patience(&self, f: &Function) -> Micros {
        let aim = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .max()
            .unwrap_or(0);
        f.load_time.unwrap_or(aim) * 3 / 2
    }

    pub(super) fn begin_load(&mut self, now: Micros, (worker, function): Home, sure: f64) {
        let Some(f) = self.functions.get_mut(&function) else {
            return;
        };
        if sure == 1.0 {
            f.copies.entry(worker).or_default().loading = Some(now);
        }
        self.loading.insert((worker, function), (now, sure));
    }

    /// Orders a copy, one order for a worker and function at a time, and has the request wait for it.
    pub(super) fn order_load(
        &mut self,
        now: Micros,
        (w, f): Home,
        id: RequestId,
        out: &mut Vec<Action>,
    ) {
        if !self.orders.contains(&(w, f)) {
            let ready = self.workers.get(&w).is_some_and(|w| w.ready);
            let spare = self
                .requests
                .get(&id)
                .is_some_and(|r| r.attempts + 1 < self.settings.max_attempts);
            if !self.settings.may_load || !ready || !self.within_ration(now, spare) {
                return;
            }
            self.ordered.push_back(now);
            self.orders.insert((w, f));
            self.begin_load(now, (w, f), 1.0);
            out.push(Action::Load {
                worker: w,
                function: f,
                copies: 1,
            });
        }
        // A SEND can overtake its LOAD, and a miss there costs an attempt: leave the order a head start.
        let from = now + (2 * self.settings.tick).max(ROUND / 2);
        self.requests
            .entry(id)
            .and_modify(|r| (r.waits, r.avoid) = (Some((w, from)), None));
    }

    pub(super) fn on_loaded(
        &mut self,
        now: Micros,
        (worker, function): Home,
        outcome: Outcome,
        copies: u32,
    ) {
        // A refused connect tells of the worker whatever it was for; few instances see enough of others.
        let refused = outcome == Outcome::ConnectFailed && self.first_cap < 1.0;
        if let Some(w) = self.workers.get_mut(&worker).filter(|_| refused) {
            if w.strikes < STRIKES {
                (w.strikes, w.down, w.benched) = (STRIKES, Some(now), now + BENCH);
            }
        }
        self.orders.remove(&(worker, function));
        self.loading.remove(&(worker, function));
        let Some(f) = self.functions.get_mut(&function) else {
            return;
        };
        let c = f.copies.entry(worker).or_default();
        c.loading = None;
        if copies > 0 {
            (c.count, c.used, c.missed) = (copies, now, 0);
        } else if outcome != Outcome::Timeout {
            (c.count, c.missed) = (0, now);
        }
    }

    pub(super) fn learn_copies(&mut self, now: Micros, function: FunctionId, e: &AttemptEnd) {
        let worker = e.worker;
        let Some(f) = self.functions.get_mut(&function) else {
            return;
        };
        let c = f.copies.entry(worker).or_default();
        c.own = c.own.saturating_sub(1);
        match e.outcome {
            Outcome::Ok => {
                // More held than the lanes believed: the worker has begun, or others have ordered, one more.
                let needed = (e.function_in_flight + 1).div_ceil(f.lanes);
                c.count = c.count.max(1).max(needed.min(c.count + 1));
                (c.used, c.missed) = (now, 0);
            }
            Outcome::Miss => (c.count, c.missed) = (0, now),
            Outcome::Error if e.copy_start != Some(CopyStart::LoadFailed) => return,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => return,
            _ => {}
        }
        c.loading = None;
        self.loading.remove(&(worker, function));
    }
}
