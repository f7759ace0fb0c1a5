//! Which workers are checked next, and how often.

use super::tracker::EvidenceTracker;
use super::worker::{CheckState, WorkerEvidence};
use crate::api::{FunctionId, Micros, WorkerId};
use crate::policy::endpoints::rendezvous_hash;

/// While discovery is lost, a worker in use is checked once its evidence is older than this.
const REFRESH_AGE: Micros = 2_500_000;
/// A worker is in use for so long after it was last sent to.
const USE_WINDOW: Micros = 5_000_000;
/// While discovery is heard, a doubted worker is checked only after this: the list may lag, and
/// tell by itself.
const DOUBT_PATIENCE: Micros = 2_000_000;
/// Requests in so short a time make it worth looking for workers that are not in use.
const DEMAND_WINDOW: Micros = 2_000_000;
/// The least time between two checks of a worker.
const MIN_CHECK_INTERVAL: Micros = 250_000;
/// The longest pause after checks that failed.
const MAX_CHECK_INTERVAL: Micros = 2_000_000;
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// A check of which nothing was heard by then counts as ended.
const CHECK_LOST_AFTER: Micros = 2_000_000;

/// What a check is for; the first is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It is in use and there is a reason to doubt it.
    Doubted,
    /// It is in use and its evidence grows old.
    InUse,
    /// It may be needed.
    Wanted,
}

impl CheckState {
    /// A check begins.
    fn begin(&mut self, now: Micros) {
        self.sent_at = Some(now);
    }

    /// A check has ended. One that failed is not repeated before `retry_interval`.
    pub(super) fn end(&mut self, now: Micros, alive: bool, retry_interval: Micros) {
        self.sent_at = None;
        self.failures = if alive { 0 } else { self.failures + 1 };
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = (MIN_CHECK_INTERVAL << doublings).min(MAX_CHECK_INTERVAL);
        self.next_at = now
            + if alive {
                pause
            } else {
                pause.max(retry_interval)
            };
    }

    fn may_begin(&self, now: Micros) -> bool {
        let in_flight = self
            .sent_at
            .is_some_and(|sent_at| now < sent_at + CHECK_LOST_AFTER);
        !in_flight && now >= self.next_at
    }
}

impl EvidenceTracker {
    /// The workers whose health is checked now. Without a doubt, none is checked while discovery is heard.
    pub fn due_checks(&mut self, now: Micros) -> Vec<WorkerId> {
        if !self.may_check || !self.is_attentive(now) {
            return Vec::new();
        }
        self.budget.refill(now, self.workers.len());
        if !self.budget.has_check() {
            return Vec::new();
        }
        let is_lost = self.discovery.is_lost(now);
        let is_demanded = self.demanded_at.is_some_and(|at| now < at + DEMAND_WINDOW);
        let confirmed_at = self.discovery.confirmed_at(now);
        let seed = FunctionId(self.seed);
        let mut due: Vec<(Urgency, u64, WorkerId)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.check.may_begin(now))
            .filter_map(|(id, worker)| {
                let urgency = urgency(now, worker, confirmed_at, is_lost, is_demanded)?;
                // Each instance has an order of its own, so that they do not all check the same worker.
                Some((urgency, rendezvous_hash(seed, *id), *id))
            })
            .collect();
        due.sort_unstable();
        let mut checks = Vec::new();
        for (_, _, id) in due {
            if !self.budget.take() {
                break;
            }
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.check.begin(now);
                checks.push(id);
            }
        }
        checks
    }
}

/// How urgent a check of a worker is; none if there is no reason for one.
fn urgency(
    now: Micros,
    worker: &WorkerEvidence,
    confirmed_at: Option<Micros>,
    is_lost: bool,
    is_demanded: bool,
) -> Option<Urgency> {
    let is_doubt_due = worker
        .doubt
        .is_some_and(|doubt| is_lost || now >= doubt.since + DOUBT_PATIENCE);
    if is_doubt_due {
        return Some(Urgency::Doubted);
    }
    let is_old = worker
        .latest(confirmed_at)
        .is_none_or(|at| now > at + REFRESH_AGE);
    let is_in_use = worker.is_available && now < worker.used_at + USE_WINDOW;
    if is_lost && is_in_use && is_old {
        return Some(Urgency::InUse);
    }
    let is_out = worker.said_dead_at.is_some() || !worker.is_available;
    let is_wanted = is_demanded && is_old && (is_lost || is_out);
    is_wanted.then_some(Urgency::Wanted)
}
