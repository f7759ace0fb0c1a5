//! What answers and silence tell of a worker: its cap, its strikes, and whether it stalls.

use super::*;

/// What a 'full' or a slow spell leaves of a cap.
const CUT: f64 = 0.7;
/// Calls, all instances' together, up to which no worker is slow for their sake.
const LIGHT: f64 = FIRST_CAP * 3.0 / 8.0;
/// A worker that takes so many times a function's usual latency is overloaded or slow: its cap is cut.
const STRAINED: f64 = 2.0;
/// Part of the aim that warm answers of a worker may take on average before its cap is cut.
const AIM_SHARE: f64 = 0.25;
/// Weight of one answer in a worker's strain.
const STRAIN_STEP: f64 = 0.1;

impl Worker {
    /// A cap below one is kept in time: what own calls take beyond the cap, all of them and while still out.
    pub(super) fn owes(&self, now: Micros) -> f64 {
        (self.debt + (f64::from(self.inflight) - self.cap) * (now - self.charged) as f64).max(0.0)
    }

    pub(super) fn charge(&mut self, now: Micros, more: f64) {
        (self.debt, self.charged) = (self.owes(now) + more, now);
    }

    /// Whether it answers, as far as its symptoms tell. One trial at a time ends a spell on the bench.
    pub(super) fn healthy(&self, now: Micros) -> bool {
        !self.stalled && (self.strikes < STRIKES || (now >= self.benched && self.inflight == 0))
    }

    fn cut(&mut self, now: Micros, floor: f64) {
        (self.cap, self.cut_at) = (
            (self.cap.min(f64::from(self.inflight + 1)) * CUT).max(floor),
            now,
        );
    }
}

impl Policy {
    pub(super) fn learn_health(
        &mut self,
        now: Micros,
        e: &AttemptEnd,
        a: &Attempt,
        (class, aim): (usize, f64),
    ) {
        let (worker, outcome) = (e.worker, e.outcome);
        let (usual, floor) = (self.mean_all(), (self.first_cap / 4.0).min(1.0));
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        w.charge(now, 0.0);
        w.inflight = w.inflight.saturating_sub(1);
        let mut reborn = false;
        let answered_since = w.quiet_since > a.sent;
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Miss | Outcome::Rejected => {
                (w.quiet_since, w.strikes, w.stalled) = (now, 0, false);
                let gate = w.gates.entry(class).or_default();
                if outcome == Outcome::Rejected && e.latency as f64 > aim / 10.0 {
                    // 'Full' after a while limits this class: it alone is kept away, longer each time.
                    gate.1 = (2 * gate.1).clamp(INTERVAL / 8, INTERVAL);
                    gate.0 = now + gate.1;
                } else if outcome == Outcome::Rejected {
                    w.cut(now, floor);
                    w.charge(now, 2.0 * usual);
                } else if outcome == Outcome::Ok {
                    *gate = (0, 0);
                }
                // It vanished and answers again: cold and empty, unless this was sent before it went.
                if w.down.take().is_some_and(|at| a.sent >= at) {
                    w.started = Some(now);
                    reborn = true;
                }
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Reset if !answered_since => {
                // All that ends with one connection is one sign.
                w.strikes += u32::from(outcome != Outcome::Reset || w.reset != now);
                w.reset = if outcome == Outcome::Reset {
                    now
                } else {
                    w.reset
                };
                // Answers alone tell only of what survives: silence beyond the usual cuts too.
                if outcome != Outcome::Reset && usual > 0.0 && e.latency as f64 > STRAINED * usual {
                    w.cut(now, floor);
                }
            }
            Outcome::ConnectFailed if !answered_since => {
                w.strikes = (w.strikes + 1).max(STRIKES);
                w.down = Some(now);
            }
            _ => {}
        }
        if w.strikes >= STRIKES {
            w.benched = now + (BENCH << (w.strikes - STRIKES).min(4));
        }
        if reborn {
            self.forget_copies(worker);
        }
    }

    pub(super) fn learn_latency(
        &mut self,
        now: Micros,
        of: FunctionId,
        e: &AttemptEnd,
        a: &Attempt,
        aim: f64,
    ) {
        let least_cap = (self.first_cap / 4.0).min(1.0);
        let (latency, warm) = (
            e.latency as f64,
            e.copy_start.map_or(!a.cold, |w| w == CopyStart::Warm),
        );
        self.served.push_back(now);
        let told = e.load_report.is_some_and(|r| r.in_flight.is_some());
        let load = e
            .load_report
            .and_then(|r| r.in_flight)
            .map_or(0.0, f64::from)
            .max(f64::from(e.function_in_flight + 1));
        let usual = self.functions.get(&of).map_or(0.0, |f| self.mean(f));
        let Some(f) = self.functions.get_mut(&of) else {
            return;
        };
        (f.sum, f.total, f.answers) = (f.sum + latency, f.total + latency, f.answers + 1.0);
        (self.total, self.answers) = (self.total + latency, self.answers + 1.0);
        self.inflow = (self.carried(now) + latency * 4.0 / INTERVAL as f64, now);
        let Some(w) = self.workers.get_mut(&e.worker) else {
            return;
        };
        w.told = (load, now);
        if warm && usual > 0.0 && aim > 0.0 {
            // Slow against the function elsewhere, or too slow for the aim. Rare answers weigh more.
            let slow = (latency / (STRAINED * usual))
                .max(latency / (AIM_SHARE * aim))
                .min(4.0);
            let weight = ((now - w.heard_ok) as f64 / INTERVAL as f64).clamp(STRAIN_STEP, 0.5);
            w.strain += weight * (slow - w.strain);
            w.heard_ok = now;
        }
        if w.cap < 1.0 && (told || load > FIRST_CAP) {
            // Few answers come from each worker: the cap follows what one tells both ways, and soon.
            let pressure = (load.max(1.0) / FIRST_CAP * latency * 3.0 / aim.max(1.0)).sqrt();
            w.cap = (w.cap / pressure.clamp(0.6, 1.6)).clamp(least_cap, 1.0);
        } else if w.strain > 1.0 && (!told || load > LIGHT) && now > w.cut_at + usual as Micros * 2
        {
            // Slow answers alone leave few instances a call or two; one that tells of few calls has its pace.
            let few = self.calm && self.first_cap >= 2.0;
            w.cut(now, if few { 1.0 } else { least_cap });
        } else if f64::from(w.inflight + 1) >= w.cap * 0.75 {
            w.cap += (1.0 / w.cap).min(w.cap / 8.0);
        }
    }

    /// No answer at all for longer than its attempts take elsewhere: hung, cut off, or buried in work.
    pub(super) fn stalled(&self, now: Micros, id: WorkerId, w: &Worker) -> bool {
        let aim = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0);
        // One long request alone is no sign of a hang, nor is a wait for a load.
        let limit =
            (4.0 * self.mean_all()).max(aim as f64 * 0.75) * if w.inflight > 1 { 1.0 } else { 2.0 };
        let here = self
            .loading
            .range((id, FunctionId(0))..=(id, FunctionId(u64::MAX)));
        let load = here
            .filter_map(|((_, f), _)| self.functions.get(f))
            .map(|f| self.load_patience(f))
            .max();
        w.inflight > 0 && now > w.quiet_since + limit as Micros + load.unwrap_or(0)
    }

    /// Calls back what may be repeated from silent workers; a time-out by the clock would feed an overload.
    pub(super) fn call_back(&mut self, now: Micros, out: &mut Vec<Action>) {
        let stalled = self.workers.values().filter(|w| w.stalled).count();
        if stalled == 0 || !self.settings.may_cancel || 2 * stalled > self.workers.len() {
            return;
        }
        for (id, r) in self.requests.iter_mut().filter(|(_, r)| !r.done) {
            let Some(a) = r.out.as_mut() else { continue };
            let quiet = |w: &Worker| w.stalled && (now - a.sent) * 4 > (now - w.quiet_since) * 3;
            let ours = self.workers.get(&a.worker).is_some_and(quiet);
            let again = r.attempts < self.settings.max_attempts
                && allowed(r.effect, Some(a.sent), now, ROUND).resend;
            if ours && again && !a.cancelled {
                a.cancelled = true;
                out.push(Action::Cancel {
                    request: *id,
                    attempt: (r.attempts - 1) as u8,
                });
            }
        }
    }
}
