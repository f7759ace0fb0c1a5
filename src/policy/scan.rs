//! Periodic work: FCP intervals, the scan of all workers, and expired loads.

use super::worker::WorkerState;
use super::{Policy, FCP_INTERVAL, HEALTH_SCAN_INTERVAL};
use crate::api::{Action, Micros, WorkerId};

use super::loads::CopyKey;

/// Fraction of all concurrency limits in use above which requests no longer spread to workers
/// without a copy.
const SPREAD_UTILIZATION: f64 = 0.75;
/// Fraction of all concurrency limits, or of the initial ones if higher, in use above which late
/// requests are shed.
const OVERLOAD_UTILIZATION: f64 = 0.5;

impl Policy {
    /// Does the periodic work if it is due.
    pub(super) fn on_wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.last_scan_at + HEALTH_SCAN_INTERVAL {
            return;
        }
        self.last_scan_at = now;
        if now >= self.interval_started_at + FCP_INTERVAL {
            self.begin_interval(now);
        }
        self.scan_workers(now);
        self.forget_overdue_loads(now);
        self.cancel_stalled(now, actions);
    }

    fn begin_interval(&mut self, now: Micros) {
        self.interval_started_at = now;
        self.load_backoffs.forget_outdated(now);
        // Without this, memory would grow with every function ever called.
        self.visited += self.functions.len() as u64;
        self.functions.forget_unused();
        for function in self.functions.values_mut() {
            function.begin_interval();
            function
                .copies
                .retain(|worker, copy| copy.own_in_flight > 0 || self.workers.contains_key(worker));
        }
        let functions = &self.functions;
        self.known_copies.retain(|key| {
            let function = functions.get(&key.function);
            function.is_some_and(|function| function.copies.contains_key(&key.worker))
        });
    }

    /// Forgets loads past their usual time: no answer reports the end of a load whose requests have
    /// left.
    fn forget_overdue_loads(&mut self, now: Micros) {
        let mut loads = std::mem::take(&mut self.loads_in_progress);
        loads.retain(|key, load| {
            let function = self.functions.get(&key.function);
            function.is_some_and(|function| now <= load.since + self.assumed_load_time(function))
        });
        self.loads_in_progress = loads;
    }

    /// Updates the stalled workers, the number of healthy workers, and the capacity in use. Only
    /// workers in use or suspected of a fault are looked at.
    pub(super) fn scan_workers(&mut self, now: Micros) {
        self.update_stalled(now);
        self.workers.remove_unused();
        self.ready_workers = self
            .evidence
            .available_count()
            .unwrap_or(self.workers.ready_count());
        let suspects = self.workers.suspects();
        self.visited += suspects.len() as u64;
        let unhealthy = suspects
            .iter()
            .filter(|id| self.is_available(now, **id))
            .filter_map(|id| self.workers.get(id))
            .filter(|worker| !worker.is_healthy(now))
            .count();
        self.healthy_workers = self.ready_workers.saturating_sub(unhealthy);
        self.measure_capacity(now);
    }

    fn update_stalled(&mut self, now: Micros) {
        let usual_latency = self.usual_latency();
        let in_question: Vec<WorkerId> = self
            .workers
            .busy()
            .union(self.workers.stalled())
            .copied()
            .collect();
        self.visited += in_question.len() as u64;
        for id in in_question {
            let stalled = self
                .workers
                .get(&id)
                .is_some_and(|worker| self.is_stalled(now, id, worker, usual_latency));
            if let Some(mut worker) = self.workers.get_mut(&id) {
                worker.stalled = stalled;
            }
        }
    }

    fn measure_capacity(&mut self, now: Micros) {
        let ready = self.ready_workers.max(1) as f64;
        let answers = self.recent_answers.count(now, FCP_INTERVAL);
        // The maximum is kept: a budget reduced by the same loss of throughput that it should
        // repair would never recover.
        self.observed_capacity = self
            .observed_capacity
            .max(answers / FCP_INTERVAL as f64 / ready);
        let limits = self.workers.total_limit();
        let in_flight = self.in_flight_average.value(now);
        let initial_limits = self.initial_concurrency_limit * ready;
        self.has_spare_capacity = in_flight < SPREAD_UTILIZATION * limits;
        self.is_overloaded = in_flight > OVERLOAD_UTILIZATION * limits.max(initial_limits);
    }

    /// The time in microseconds that attempts usually take at most.
    fn usual_latency(&self) -> f64 {
        let objective = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0);
        (4.0 * self.mean_run_time_of_all()).max(objective as f64 * 0.75)
    }

    /// Whether a worker has been silent for longer than attempts usually take: it hangs, is
    /// partitioned, or is overloaded.
    fn is_stalled(
        &self,
        now: Micros,
        id: WorkerId,
        worker: &WorkerState,
        usual_latency: f64,
    ) -> bool {
        if worker.in_flight == 0 {
            return false;
        }
        // A single long request does not indicate a hang, nor does the wait for a load.
        let stall_timeout = usual_latency * if worker.in_flight > 1 { 1.0 } else { 2.0 };
        now > worker.last_answer_at + stall_timeout as Micros + self.longest_load_at(id)
    }

    /// The longest assumed load time of the functions being loaded at a worker, in microseconds.
    fn longest_load_at(&self, worker: WorkerId) -> Micros {
        self.loads_in_progress
            .range(CopyKey::all_of(worker))
            .filter_map(|(key, _)| self.functions.get(&key.function))
            .map(|function| self.assumed_load_time(function))
            .max()
            .unwrap_or(0)
    }
}
