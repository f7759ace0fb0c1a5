//! Which worker a request goes to, or what is done there first.

use super::*;

/// Homes without a copy that are found by asking within a keep time, before asking stops.
const ASKS: usize = 3;
/// Mean calls that a worker may be owed by a function without another home, while calm.
const CREDIT: f64 = 6.0;

/// What is done next for a held request. `Begin` tells how surely a load begins.
#[rustfmt::skip]
enum Step { Hold, Warm(WorkerId), Wait(WorkerId), Begin(WorkerId, f64), Ask(WorkerId), Order(WorkerId) }

impl Policy {
    /// Sends one held request if some worker may take it now; tells whether it left.
    pub(super) fn place(
        &mut self,
        now: Micros,
        of: FunctionId,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        self.refresh_order(of);
        let step = self.choose(now, of, id);
        match step {
            Step::Hold => {}
            Step::Warm(w) => self.send(now, id, w, false, out),
            Step::Wait(w) => self.send(now, id, w, true, out),
            Step::Begin(w, sure) => {
                self.begin_load(now, (w, of), sure);
                self.send(now, id, w, true, out);
            }
            Step::Ask(worker) => {
                self.functions.entry(of).and_modify(|f| {
                    f.copies.entry(worker).or_default().asked = now;
                    f.asked = now;
                });
                out.push(Action::Load {
                    worker,
                    function: of,
                    copies: 0,
                });
            }
            Step::Order(w) => self.order_load(now, (w, of), id, out),
        }
        matches!(step, Step::Warm(_) | Step::Wait(_) | Step::Begin(..))
    }

    fn choose(&self, now: Micros, function: FunctionId, id: RequestId) -> Step {
        let (f, r, keep) = (
            &self.functions[&function],
            &self.requests[&id],
            self.settings.copy_idle_timeout,
        );
        let none = Copies::default();
        let copy = |w: &WorkerId| f.copies.get(w).unwrap_or(&none);
        let past = |t: Micros| t == 0 || now >= t + keep;
        let warm = |c: &Copies| c.count > 0 && (c.own > 0 || !past(c.used));
        let sound = |w: &WorkerId| {
            self.workers
                .get(w)
                .is_some_and(|s| s.ready && s.healthy(now))
        };
        // Credit of many instances adds up in a rush: of many only a function without two homes has any.
        let lone = f.copies.iter().filter(|(w, c)| warm(c) && sound(w)).count() < 2;
        let calls = if self.first_cap < 1.0 {
            CREDIT * f64::from(lone && self.calm)
        } else {
            1.0
        };
        let credit = calls * self.mean_all();
        let room = |w: &WorkerId| self.has_slot(now, *w, credit) && self.usable(now, *w, r);
        // Workers of which ill is rumoured come last, each part in the function's own order.
        let ill = |w: &WorkerId| self.workers.get(w).is_some_and(|s| now < s.rumoured);
        let walk = || {
            f.order
                .iter()
                .filter(|w| !ill(w))
                .chain(f.order.iter().filter(|w| ill(w)))
                .copied()
        };
        let rest: Vec<WorkerId> = walk().filter(room).collect();
        let usable = || rest.iter().copied();
        let untried = |c: &Copies| c.own == 0 && past(c.used) && past(c.missed);
        let (patience, many) = (self.load_patience(f), self.settings.instances > 1);
        let loads = |c: &Copies| c.loading.is_some_and(|t| now < t + patience) && c.count == 0;
        let open = |w: &WorkerId| {
            self.workers
                .get(w)
                .is_some_and(|s| self.cold_room(now, *w, s))
        };
        let cold = |w: &WorkerId| {
            self.workers
                .get(w)
                .and_then(|s| s.started)
                .is_some_and(|t| now < t + self.settings.slow_start_duration)
        };
        let home = walk().find(|w| sound(w) && (self.first_cap < 1.0 || open(w)));
        // 1. Warm with a free lane. A first home not tried lately is not cold: others may keep copies there.
        let lane = |c: &Copies| warm(c) && c.own < f.lanes * c.count;
        // Not with the last attempt, nor away from a load ordered for this call: three misses are a refusal.
        let spare = r.attempts + 1 < self.settings.max_attempts;
        let blind = spare && r.waits.is_none();
        let first = |w: WorkerId| Some(w) == home && many && blind && untried(copy(&w));
        // One of many instances tries the next home with the call itself, cold ones last.
        let tries =
            self.first_cap < 1.0 && !self.miss_loads() && spare && (blind || r.attempts == 1);
        let told = |w: &WorkerId| self.workers.get(w).map_or(0, |w| self.told(now, w));
        let next = || {
            let worth = |w: &WorkerId| untried(copy(w)) && told(w) < CROWD;
            let back =
                || usable().find(|w| r.attempts == 1 && Some(*w) == home && untried(copy(w)));
            back()
                .or_else(|| usable().filter(worth).min_by_key(cold))
                .filter(|_| tries)
        };
        // Rested workers first: else every instance fills the same home before it goes to the next.
        let rested = |w: &WorkerId| {
            self.workers
                .get(w)
                .is_some_and(|s| s.cap >= 1.0 || s.owes(now) == 0.0)
        };
        let quiet = usable().find(|w| (lane(copy(w)) && rested(w) || first(*w)) && told(w) < CROWD);
        let taken = || {
            usable()
                .filter(|w| lane(copy(w)))
                .min_by_key(|w| if told(w) < CROWD { 0 } else { told(w) })
        };
        match quiet.or_else(|| taken().map(|w| next().filter(|_| blind).unwrap_or(w))) {
            Some(w) if !warm(copy(&w)) => {
                return Step::Begin(w, if self.miss_loads() { 0.5 } else { 0.0 })
            }
            Some(w) => return Step::Warm(w),
            None => {}
        }
        if let Some(w) = next().filter(|_| r.waits.is_some()) {
            return Step::Begin(w, 0.0);
        }
        if let Some((w, from)) = r
            .waits
            .filter(|(w, _)| loads(copy(w)) && self.usable(now, *w, r))
        {
            return if now >= from && self.has_slot(now, w, credit) {
                Step::Wait(w)
            } else {
                Step::Hold
            };
        }
        // Further homes are tried before a load evicts others' copies: by few instances with an ask, by many
        // with the call itself, as a miss costs one attempt. The last is kept for a known copy or load.
        if f.asked > 0 && now < f.asked + 2 * ROUND {
            return Step::Hold;
        }
        let misses = f.copies.values().filter(|c| !past(c.missed)).count();
        if self.settings.may_load && many && misses < ASKS {
            match usable().find(|w| untried(copy(w)) && past(copy(w).asked)) {
                Some(w) if self.miss_loads() || self.first_cap >= 1.0 => return Step::Ask(w),
                Some(w) if blind => return Step::Begin(next().unwrap_or(w), 0.0),
                _ => {}
            }
        }
        // 2. A load under way: wait there, not more than two turns deep.
        let any_warm = f.copies.iter().any(|(w, c)| warm(c) && sound(w));
        if !any_warm {
            if let Some(w) = usable().find(|w| loads(copy(w)) && copy(w).own < 2 * f.lanes) {
                return Step::Wait(w);
            }
        }
        // 3. Lanes taken: one more turn is cheaper than part of a load, and each load evicts others' copies.
        let waited = now - r.arrived;
        if any_warm && waited < (self.mean(f) as Micros).max(patience / 4) {
            return Step::Hold;
        }
        // 4. A second turn where the function stands: the worker starts another copy by itself, no fetch.
        if let Some(w) =
            usable().find(|w| warm(copy(w)) && copy(w).own < 2 * f.lanes * copy(w).count)
        {
            return Step::Warm(w);
        }
        // 5. A cold worker, next in the order; loads under way are bounded, the store is shared. While all
        // carry much only the first home loads: spreading then evicts others' copies, and all is late.
        let most_loads = (self.first_cap * self.ready as f64 / 2.0 - 1.0).max(2.0);
        if any_warm && !self.calm
            || self.loading.values().map(|(_, sure)| sure).sum::<f64>() > most_loads
            || f.copies.values().any(loads) && waited < patience
        {
            return Step::Hold;
        }
        let near = |w: &WorkerId| self.calm || Some(*w) == home;
        match usable().find(|w| near(w) && !warm(copy(w)) && !loads(copy(w))) {
            Some(w) if !self.miss_loads() && (!blind || !past(copy(&w).missed)) => Step::Order(w),
            Some(w) => Step::Begin(w, 1.0),
            None => Step::Hold,
        }
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        cold: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let function = r.function;
        r.attempts += 1;
        r.out = Some(Attempt {
            worker,
            sent: now,
            cold,
            cancelled: false,
        });
        // A try elsewhere leaves the load ordered for it to come back to, and its head start.
        r.waits = r.waits.filter(|(w, _)| *w != worker);
        let Some(f) = self.functions.get_mut(&function) else {
            return;
        };
        let c = f.copies.entry(worker).or_default();
        (c.own, c.used) = (c.own + 1, now);
        self.unhold(function, id);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.quiet_since = if w.inflight == 0 { now } else { w.quiet_since };
            w.charge(now, 0.0);
            w.inflight += 1;
            recent(&mut w.sent, now, self.settings.overload_window);
            w.sent.push_back(now);
        }
        out.push(Action::Send {
            request: id,
            worker,
            timeout: None,
        });
    }

    /// Whether a worker may take this request now, lanes and slots aside.
    fn usable(&self, now: Micros, id: WorkerId, r: &Request) -> bool {
        let Some(w) = self.workers.get(&id) else {
            return false;
        };
        if !w.ready
            || w.gates.get(&r.class).is_some_and(|g| now < g.0)
            || !self.cold_room(now, id, w)
        {
            return false;
        }
        if let (Some((at, _)), Effect::Keyed { scope: group, .. }) = (r.ran, r.effect) {
            let first = self.workers.get(&at);
            if group == IdempotencyScope::Zone && first.is_none_or(|f| f.zone != w.zone)
                || group == IdempotencyScope::Cell && first.is_none_or(|f| f.cell != w.cell)
            {
                return false;
            }
        }
        // Never eject most of the fleet: when most look ill the fault is elsewhere.
        (w.healthy(now) || 2 * self.fit < self.ready) && (r.avoid != Some(id) || self.ready < 2)
    }

    fn has_slot(&self, now: Micros, worker: WorkerId, credit: f64) -> bool {
        let room = |w: &Worker| {
            f64::from(w.inflight) < w.cap.max(2.0)
                && (w.cap >= 1.0 || w.owes(now) <= if w.strikes == 0 { credit } else { 0.0 })
        };
        self.workers.get(&worker).is_some_and(room)
    }

    /// Calls that a worker told of; to few instances their own tell enough.
    pub(super) fn told(&self, now: Micros, w: &Worker) -> u32 {
        let counts = self.first_cap < 1.0 && now < w.told.1 + self.settings.copy_idle_timeout;
        u32::from(counts) * w.told.0 as u32
    }

    /// Whether a call that misses begins a load by itself; else it takes no place among the loads.
    fn miss_loads(&self) -> bool {
        self.settings.on_miss == OnMiss::Load
    }
}
