//! Fair Choice on total processing time: which of the held requests leave next, and which are given up.

use super::*;

impl Policy {
    /// Sends what may leave: lowest demand first, earliest arrival on ties. On-time requests go before those
    /// past their aim, those before what is over a tenant's share.
    pub(super) fn release(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut queue = Vec::new();
        for function in &self.held {
            let f = &self.functions[function];
            // No demand is negative, so that its bits are in its order.
            let (demand, mean) = (self.demand(f).to_bits(), self.mean(f) as Micros);
            for id in &f.held {
                let r = &self.requests[id];
                let end = now + mean.min(r.aim / 2);
                let rank = u8::from(end > r.asked + r.aim).max(2 * u8::from(r.over_share));
                queue.push((
                    rank,
                    demand,
                    r.arrived,
                    *id,
                    *function,
                    r.hopeless(now, end, &self.settings),
                ));
            }
        }
        queue.sort_unstable();
        let (mut stuck, mut give_up) = (None, None);
        for (rank, _, _, id, function, hopeless) in queue {
            // What earns least is given up early: late it takes cores from what is in time elsewhere too.
            let waits = self.requests[&id].waits.is_some();
            if hopeless || rank > 0 && !waits && *give_up.get_or_insert_with(|| self.backlogged()) {
                self.answer(now, id, out);
            } else if stuck != Some((rank, function))
                && !self.place(now, function, id, out)
                && !waits
            {
                stuck = Some((rank, function));
            }
        }
    }

    /// More is held than half of what all workers have in flight from here; at many instances: pressed.
    fn backlogged(&self) -> bool {
        if self.first_cap < 1.0 && self.pressed {
            return true;
        }
        let held: usize = self.held.iter().map(|f| self.functions[f].held.len()).sum();
        2 * held
            > self
                .workers
                .values()
                .map(|w| w.inflight as usize)
                .sum::<usize>()
                + FIRST_CAP as usize
    }

    /// FCP: the larger of last interval's calls times the mean and this interval's run time.
    fn demand(&self, f: &Function) -> f64 {
        (f.last_calls * self.mean(f)).max(f.sum)
    }

    pub(super) fn mean(&self, f: &Function) -> f64 {
        Some(f.total / f.answers)
            .filter(|m| m.is_finite())
            .unwrap_or_else(|| self.mean_all())
    }

    pub(super) fn mean_all(&self) -> f64 {
        self.total / self.answers.max(1.0)
    }

    pub(super) fn carried(&self, now: Micros) -> f64 {
        self.inflow.0 * (-((now - self.inflow.1) as f64) * 4.0 / INTERVAL as f64).exp()
    }
}
