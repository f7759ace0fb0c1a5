//! A request from its arrival to its one final answer, and what may follow an attempt that may have run.

use super::*;

/// What may follow for a request, by its effect class and what its attempts may have done.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct Allowed {
    /// Another attempt (keyed: within the group of the first that may have run).
    pub resend: bool,
    /// A refusal; where false only a failure is left.
    pub refuse: bool,
}

/// The table of outcome x effect class: `ran` is when the first attempt that may have run was sent.
pub fn allowed(effect: Effect, ran: Option<Micros>, now: Micros, margin: Micros) -> Allowed {
    let open = |window| ran.is_none_or(|sent| now + margin < sent + window);
    match effect {
        Effect::Idempotent => Allowed {
            resend: true,
            refuse: true,
        },
        _ if ran.is_none() => Allowed {
            resend: true,
            refuse: true,
        },
        Effect::Keyed {
            scope: group,
            window,
        } => Allowed {
            resend: open(window),
            refuse: open(window) && group == IdempotencyScope::All,
        },
        Effect::NonIdempotent => Allowed {
            resend: false,
            refuse: false,
        },
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss
    )
}

impl Request {
    /// Held with no time left for an attempt, or with none permitted any more: it gets its answer at once.
    pub(super) fn hopeless(&self, now: Micros, end: Micros, settings: &Settings) -> bool {
        let permitted = allowed(self.effect, self.ran.map(|(_, sent)| sent), now, ROUND).resend;
        end > self.expires || !permitted || self.attempts >= settings.max_attempts.max(1)
    }
}

impl Policy {
    pub(super) fn on_request(&mut self, now: Micros, a: Arrival) {
        if self.settings.load_rate_limit.is_some() {
            self.taken.push_back(now);
        }
        let over_share = self.past_share(now, a.tenant);
        let unseen = || Function {
            last_calls: 1.0,
            ..Default::default()
        };
        let f = self.functions.entry(a.function).or_insert_with(unseen);
        f.lanes = a.concurrency_per_copy.max(1);
        f.load_time = a.load_duration.or(f.load_time);
        f.calls += 1.0;
        f.held.push_back(a.request);
        self.held.insert(a.function);
        self.deadlines.insert((a.expires_at, a.request));
        let class = a.class.0 as usize;
        let (function, expires, left) =
            (a.function, a.expires_at, a.expires_at.saturating_sub(now));
        // A try with less time than others of its class is a repeat: its aim runs from the first try.
        let longest = *self
            .tries
            .entry(class)
            .and_modify(|t| *t = left.max(*t))
            .or_insert(left);
        let (aim, deadline, effect) = self
            .settings
            .classes
            .get(class)
            .map_or_else(Default::default, |c| {
                (c.latency_objective, c.deadline, c.effect)
            });
        let repeat = left + self.settings.tick < longest;
        let asked = if repeat {
            now.min(expires.saturating_sub(deadline))
        } else {
            now
        };
        let mut r = Request {
            function,
            class,
            effect,
            aim,
            over_share,
            ..Default::default()
        };
        (r.arrived, r.asked, r.expires, r.tenant) = (now, asked, expires, a.tenant.0 as usize);
        self.requests.insert(a.request, r);
    }

    pub(super) fn on_ended(&mut self, now: Micros, e: &AttemptEnd, out: &mut Vec<Action>) {
        let (id, worker, outcome) = (e.request, e.worker, e.outcome);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(mut attempt) = r.out.take() else {
            return;
        };
        let function = r.function;
        r.done |= e.terminal;
        if !never_ran(outcome) {
            r.ran.get_or_insert((worker, attempt.sent));
        }
        if outcome != Outcome::Ok {
            r.avoid = Some(worker);
        }
        let (aim, class) = (r.aim as f64, r.class);
        let (done, client_time) = (r.done, r.expires <= now + self.settings.tick);
        if attempt.cold && outcome == Outcome::Ok {
            let f = self.functions.get(&function);
            let usual = f.map_or(0.0, |f| self.mean(f) + self.load_patience(f) as f64 / 3.0);
            attempt.cold = e
                .copy_start
                .map_or(e.latency as f64 > usual, |w| w != CopyStart::Warm);
        }
        self.learn_copies(now, function, e);
        self.learn_health(now, e, &attempt, (class, aim));
        if outcome == Outcome::Ok {
            self.learn_latency(now, function, e, &attempt, aim);
        }
        if done {
            self.forget(id);
            return;
        }
        let r = &self.requests[&id];
        let again = allowed(r.effect, r.ran.map(|(_, sent)| sent), now, ROUND).resend;
        if !again || client_time || r.attempts >= self.settings.max_attempts {
            self.answer(now, id, out);
            return;
        }
        let first = self.functions.get(&function).and_then(|f| f.order.first());
        // A copy in a crowd is not enough: at a miss the next home is told to hold one too.
        let crowd = |w: &WorkerId| {
            self.workers
                .get(w)
                .is_some_and(|w| self.told(now, w) >= CROWD)
        };
        let copies = self
            .functions
            .get(&function)
            .into_iter()
            .flat_map(|f| &f.copies);
        let jammed = r.attempts == 1 && copies.filter(|(_, c)| c.count > 0).any(|(w, _)| crowd(w));
        if outcome == Outcome::Miss && (first == Some(&worker) || jammed) {
            self.order_load(now, (worker, function), id, out);
        }
        if let Some(f) = self.functions.get_mut(&function) {
            f.held.push_front(id);
            self.held.insert(function);
        }
    }

    pub(super) fn on_client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.done = true;
        let attempt = r.attempts.saturating_sub(1) as u8;
        match r.out {
            Some(_) if self.settings.may_cancel => out.push(Action::Cancel {
                request: id,
                attempt,
            }),
            Some(_) => {}
            None => self.forget(id),
        }
    }

    /// No held request outlives its client's time: at every event, as a try can come with hardly any left.
    pub(super) fn keep_time(&mut self, now: Micros, out: &mut Vec<Action>) {
        let edge = now + self.round() + self.settings.tick;
        let due: Vec<RequestId> = self
            .deadlines
            .iter()
            .take_while(|(t, _)| *t <= edge)
            .map(|(_, id)| *id)
            .collect();
        for id in due {
            let r = &self.requests[&id];
            let silent = now > r.expires + self.settings.answer_grace / 2;
            if !r.done && (r.out.is_none() || silent) {
                self.answer(now, id, out);
            }
        }
    }

    /// Gives the final answer: a refusal while the table permits it, else a failure.
    pub(super) fn answer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let retry_after = self.room_in(now, id);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.done = true;
        let still_out = r.out.is_some() && r.effect != Effect::Idempotent;
        let refuse = !still_out && allowed(r.effect, r.ran.map(|(_, sent)| sent), now, 0).refuse;
        let (refused, failed) = (
            Action::Reject {
                request: id,
                retry_after,
            },
            Action::Fail { request: id },
        );
        out.push(if refuse { refused } else { failed });
        if r.out.is_none() {
            self.forget(id);
        }
    }

    /// When its tenant's bucket holds a call again and the first of the function's homes has paid its debt.
    fn room_in(&self, now: Micros, id: RequestId) -> Micros {
        let Some(r) = self.requests.get(&id) else {
            return 0;
        };
        let bucket = self.buckets.get(r.tenant).filter(|_| r.over_share);
        let share = bucket.map_or(0.0, |(rate, level, _)| (1.0 - level).max(0.0) * 1e6 / rate);
        let homes = self
            .functions
            .get(&r.function)
            .into_iter()
            .flat_map(|f| &f.order);
        let sound = homes
            .filter_map(|w| self.workers.get(w))
            .filter(|w| w.ready && w.healthy(now));
        let paid = sound
            .map(|w| (w.owes(now) - self.mean_all()).max(0.0) / w.cap)
            .fold(f64::INFINITY, f64::min);
        (paid.max(share) as Micros).min(self.settings.max_retry_after)
    }

    fn forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(r.expires, id));
        self.unhold(r.function, id);
    }

    pub(super) fn unhold(&mut self, function: FunctionId, id: RequestId) {
        let Some(f) = self.functions.get_mut(&function) else {
            return;
        };
        f.held.retain(|h| *h != id);
        if f.held.is_empty() {
            self.held.remove(&function);
        }
    }
}
