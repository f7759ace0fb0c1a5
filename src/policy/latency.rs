//! Updates of a function's mean run time and a worker's concurrency limit from the latency of
//! answers.

use super::request::AttemptState;
use super::worker::{ReportedLoad, WorkerState};
use super::{Policy, FCP_INTERVAL, INITIAL_CONCURRENCY_LIMIT};
use crate::api::{AttemptEnd, CopyStart, FunctionId, Micros};

/// Above this multiple of a function's usual run time a worker is overloaded or slow, and its limit
/// is cut.
pub(super) const SLOW_LATENCY_RATIO: f64 = 2.0;
/// Fraction of the latency objective that warm answers may take on average before a worker's limit
/// is cut.
const LATENCY_OBJECTIVE_SHARE: f64 = 0.25;
/// Upper bound of a sample of the latency ratio.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// The minimum and maximum weight of one answer in a worker's latency ratio. Rare answers weigh
/// more.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
const MAX_SAMPLE_WEIGHT: f64 = 0.5;
/// Requests in flight from all instances up to which load does not explain a worker's slowness.
const LIGHT_LOAD: f64 = INITIAL_CONCURRENCY_LIMIT * 3.0 / 8.0;
/// Fraction of its limit that a worker must use before a timely answer raises the limit.
const RAISE_UTILIZATION: f64 = 0.75;
/// Bounds of the factor by which one answer may change a limit below one.
const MIN_PRESSURE: f64 = 0.6;
const MAX_PRESSURE: f64 = 1.6;

/// Measurements of one served attempt.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// In microseconds.
    latency: f64,
    /// The function's usual run time in microseconds; 0 before its first answer.
    usual_run_time: f64,
    /// In microseconds; 0 for a class that is not in the settings.
    latency_objective: f64,
    /// Requests that the worker held, from all instances.
    load: f64,
    /// Whether the worker reported its total load, not only the function's requests.
    load_is_reported: bool,
    /// Whether a copy was already loaded.
    warm: bool,
}

impl Policy {
    /// Records a served attempt's latency.
    pub(super) fn record_latency(
        &mut self,
        now: Micros,
        id: FunctionId,
        end: &AttemptEnd,
        attempt: &AttemptState,
        latency_objective: f64,
    ) {
        self.recent_answers.record(now);
        let usual_run_time = self
            .functions
            .get(&id)
            .map_or(0.0, |function| self.mean_run_time(function));
        let sample = Sample::of(end, attempt, usual_run_time, latency_objective);
        let Some(function) = self.functions.get_mut(&id) else {
            return;
        };
        function.record_run_time(sample.latency);
        self.total_run_time += sample.latency;
        self.answers += 1.0;
        self.in_flight_average.add(now, sample.latency);
        let min_limit = self.min_concurrency_limit();
        // With few instances, slow answers alone do not cut the limit below one request. They do
        // not cut it at all if the worker reports a light load: it is slow for another reason.
        let min_limit_when_slow =
            if self.has_spare_capacity && self.initial_concurrency_limit >= 2.0 {
                1.0
            } else {
                min_limit
            };
        let Some(mut worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        worker.reported_load = ReportedLoad {
            in_flight: sample.load,
            at: now.saturating_sub(end.unread_for),
        };
        worker.record_latency_ratio(now, &sample);
        worker.adjust_limit(now, &sample, min_limit, min_limit_when_slow);
    }
}

impl Sample {
    fn of(
        end: &AttemptEnd,
        attempt: &AttemptState,
        usual_run_time: f64,
        latency_objective: f64,
    ) -> Sample {
        let reported = end.load_report.and_then(|report| report.in_flight);
        let function_load = f64::from(end.function_in_flight + 1);
        Sample {
            latency: end.latency as f64,
            usual_run_time,
            latency_objective,
            load: reported.map_or(0.0, f64::from).max(function_load),
            load_is_reported: reported.is_some(),
            warm: end
                .copy_start
                .map_or(!attempt.may_wait_for_load, |start| start == CopyStart::Warm),
        }
    }

    /// The latency relative to the function's run time elsewhere and to the latency objective;
    /// above 1 is slow.
    fn latency_ratio(&self) -> f64 {
        let ratio_to_run_time = self.latency / (SLOW_LATENCY_RATIO * self.usual_run_time);
        let ratio_to_objective = self.latency / (LATENCY_OBJECTIVE_SHARE * self.latency_objective);
        ratio_to_run_time
            .max(ratio_to_objective)
            .min(MAX_LATENCY_RATIO)
    }
}

impl WorkerState {
    fn record_latency_ratio(&mut self, now: Micros, sample: &Sample) {
        if !sample.warm || sample.usual_run_time <= 0.0 || sample.latency_objective <= 0.0 {
            return;
        }
        let since_last_sample = (now - self.last_sample_at) as f64;
        let weight =
            (since_last_sample / FCP_INTERVAL as f64).clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.latency_ratio += weight * (sample.latency_ratio() - self.latency_ratio);
        self.last_sample_at = now;
    }

    fn adjust_limit(
        &mut self,
        now: Micros,
        sample: &Sample,
        min_limit: f64,
        min_limit_when_slow: f64,
    ) {
        let load_is_known = sample.load_is_reported || sample.load > INITIAL_CONCURRENCY_LIMIT;
        let is_slow = self.latency_ratio > 1.0
            && (!sample.load_is_reported || sample.load > LIGHT_LOAD)
            && now > self.limit_cut_at + sample.usual_run_time as Micros * 2;
        if self.concurrency_limit < 1.0 && load_is_known {
            // Each worker gives few answers, so the limit follows each of them at once, up and
            // down.
            let pressure = sample.pressure().clamp(MIN_PRESSURE, MAX_PRESSURE);
            self.concurrency_limit = (self.concurrency_limit / pressure).clamp(min_limit, 1.0);
        } else if is_slow {
            self.cut_limit(now, min_limit_when_slow);
        } else if f64::from(self.in_flight + 1) >= self.concurrency_limit * RAISE_UTILIZATION {
            self.raise_limit();
        }
    }
}

impl Sample {
    /// The worker's load and latency relative to their targets; 1 is on target.
    fn pressure(&self) -> f64 {
        let load = self.load.max(1.0) / INITIAL_CONCURRENCY_LIMIT;
        (load * self.latency * 3.0 / self.latency_objective.max(1.0)).sqrt()
    }
}
