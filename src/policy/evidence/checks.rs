//! Selection and rate of health checks.

use std::collections::BTreeSet;
use std::ops::Bound;

use super::tracker::EvidenceTracker;
use super::worker::{CheckState, WorkerEvidence};
use crate::api::{FunctionId, Micros, WorkerId};
use crate::policy::endpoints::rendezvous_hash;

/// The age of the latest evidence about a worker in use, in microseconds, above which the worker is
/// checked while discovery is lost.
const REFRESH_AGE: Micros = 2_500_000;
/// The time after the last request or load order sent to a worker during which the worker counts as
/// in use, in microseconds.
pub(super) const USE_WINDOW: Micros = 5_000_000;
/// The age of a doubt, in microseconds, from which a worker is checked while discovery is
/// available. Before that, a late list update may settle the doubt without a check.
const DOUBT_CHECK_DELAY: Micros = 2_000_000;
/// The time after a request, in microseconds, for which workers not in use are checked too.
const DEMAND_WINDOW: Micros = 2_000_000;
/// The minimum interval between two checks of a worker, in microseconds.
const MIN_CHECK_INTERVAL: Micros = 250_000;
/// The maximum of the interval as it grows with failed checks, in microseconds.
const MAX_CHECK_INTERVAL: Micros = 2_000_000;
/// The maximum number of doublings of the interval.
const MAX_DOUBLINGS: u32 = 3;
/// The maximum number of workers, besides those doubted or in use, among which one update looks for
/// workers to check. In a larger fleet the next update continues after them.
const MAX_CHECK_SEARCH: usize = 256;
/// The time after which a check without a result counts as ended, in microseconds.
const CHECK_LOST_AFTER: Micros = 2_000_000;

/// Priority of a check, the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CheckPriority {
    /// The worker is doubted.
    Doubted,
    /// The worker is in use and its evidence is old.
    InUse,
    /// The worker may be needed.
    Wanted,
}

impl CheckState {
    /// Records the start of a check.
    fn begin(&mut self, now: Micros) {
        self.sent_at = Some(now);
    }

    /// Records the end of a check. After a failure, the next check starts `retry_interval` later at
    /// the earliest.
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
    /// The workers whose health check is due now. While discovery is available, only doubted and
    /// suspended workers are checked.
    pub fn due_checks(&mut self, now: Micros) -> Vec<WorkerId> {
        if !self.may_check || !self.must_examine_workers(now) {
            return Vec::new();
        }
        self.budget.refill(now, self.workers.len());
        if !self.budget.has_check() {
            return Vec::new();
        }
        let is_lost = self.discovery.is_lost(now);
        let has_recent_requests = self
            .last_request_at
            .is_some_and(|at| now < at + DEMAND_WINDOW);
        let confirmed_at = self.discovery.confirmed_at(now);
        let seed = FunctionId(self.seed);
        let searched = self.workers_to_search(is_lost);
        self.examined += searched.len() as u64;
        let mut due: Vec<(CheckPriority, u64, WorkerId)> = searched
            .into_iter()
            .filter_map(|id| {
                let worker = self.workers.get(&id)?;
                if !worker.check.may_begin(now) {
                    return None;
                }
                let priority =
                    check_priority(now, worker, confirmed_at, is_lost, has_recent_requests)?;
                // Each instance has its own order, so that they do not all check the same worker.
                Some((priority, rendezvous_hash(seed, id), id))
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

impl EvidenceTracker {
    /// The workers among which to look for due checks, each once.
    fn workers_to_search(&mut self, is_lost: bool) -> Vec<WorkerId> {
        if is_lost && self.workers.len() <= MAX_CHECK_SEARCH {
            return self.workers.keys().copied().collect();
        }
        let mut searched: BTreeSet<WorkerId> = self.flagged.clone();
        if is_lost {
            searched.extend(self.recently_used.iter().map(|(_, id)| *id));
            searched.extend(self.next_in_turn());
        } else {
            searched.extend(self.unavailable.iter().take(MAX_CHECK_SEARCH));
        }
        searched.into_iter().collect()
    }

    /// The workers after those of the previous call, beginning anew after the last.
    fn next_in_turn(&mut self) -> Vec<WorkerId> {
        let after = self.check_cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let next: Vec<WorkerId> = self
            .workers
            .range((after, Bound::Unbounded))
            .map(|(id, _)| *id)
            .take(MAX_CHECK_SEARCH)
            .collect();
        self.check_cursor = next.last().copied();
        next
    }
}

/// The priority of a check of a worker; `None` if there is no reason for one.
fn check_priority(
    now: Micros,
    worker: &WorkerEvidence,
    confirmed_at: Option<Micros>,
    is_lost: bool,
    has_recent_requests: bool,
) -> Option<CheckPriority> {
    let is_doubt_due = worker
        .doubt
        .is_some_and(|doubt| is_lost || now >= doubt.since + DOUBT_CHECK_DELAY);
    if is_doubt_due {
        return Some(CheckPriority::Doubted);
    }
    let is_old = worker
        .latest(confirmed_at)
        .is_none_or(|at| now > at + REFRESH_AGE);
    let is_in_use = worker.is_available && now < worker.last_used_at + USE_WINDOW;
    if is_lost && is_in_use && is_old {
        return Some(CheckPriority::InUse);
    }
    let is_unavailable = worker.reported_unavailable_at.is_some() || !worker.is_available;
    let is_wanted = has_recent_requests && is_old && (is_lost || is_unavailable);
    is_wanted.then_some(CheckPriority::Wanted)
}
