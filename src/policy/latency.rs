//! What the latency of answers tells of a function's run time and a worker's concurrency limit.

use super::request::AttemptState;
use super::worker::{ReportedLoad, WorkerState};
use super::{Policy, FCP_INTERVAL, INITIAL_CONCURRENCY_LIMIT};
use crate::api::{AttemptEnd, CopyStart, FunctionId, Micros};

/// A worker that takes so many times a function's usual run time is overloaded or slow: its limit
/// is cut.
pub(super) const SLOW_LATENCY_RATIO: f64 = 2.0;
/// Share of the latency objective that warm answers may take on average before a worker's limit is
/// cut.
const LATENCY_OBJECTIVE_SHARE: f64 = 0.25;
/// The largest sample of the latency ratio.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// The least and the greatest weight of one answer in a worker's latency ratio. Rare answers weigh
/// more.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
const MAX_SAMPLE_WEIGHT: f64 = 0.5;
/// Requests in flight, those of all instances together, up to which a worker is not slow because of
/// them.
const LIGHT_LOAD: f64 = INITIAL_CONCURRENCY_LIMIT * 3.0 / 8.0;
/// Share of its limit that a worker must use before a timely answer raises the limit.
const RAISE_UTILIZATION: f64 = 0.75;
/// The factors between which one answer may change a limit below one.
const MIN_PRESSURE: f64 = 0.6;
const MAX_PRESSURE: f64 = 1.6;

/// What one served attempt tells.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// In microseconds.
    latency: f64,
    /// The function's usual run time in microseconds; 0 before its first answer.
    usual: f64,
    /// In microseconds; 0 for a class that is not in the settings.
    latency_objective: f64,
    /// Requests that the worker held, from all instances.
    load: f64,
    /// Whether the worker reported its load, rather than the function's requests alone.
    load_is_reported: bool,
    /// Whether a copy stood loaded.
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
        let usual = self
            .functions
            .get(&id)
            .map_or(0.0, |function| self.mean_run_time(function));
        let sample = Sample::of(end, attempt, usual, latency_objective);
        let Some(function) = self.functions.get_mut(&id) else {
            return;
        };
        function.record_run_time(sample.latency);
        self.total_run_time += sample.latency;
        self.answers += 1.0;
        self.in_flight_average.add(now, sample.latency);
        let min_limit = self.min_concurrency_limit();
        // Slow answers alone leave few instances a request or two; a worker that reports a light
        // load has its pace.
        let min_limit_when_slow =
            if self.has_spare_capacity && self.initial_concurrency_limit >= 2.0 {
                1.0
            } else {
                min_limit
            };
        let Some(worker) = self.workers.get_mut(&end.worker) else {
            return;
        };
        worker.reported_load = ReportedLoad {
            in_flight: sample.load,
            at: now,
        };
        worker.record_latency_ratio(now, &sample);
        worker.adjust_limit(now, &sample, min_limit, min_limit_when_slow);
    }
}

impl Sample {
    fn of(end: &AttemptEnd, attempt: &AttemptState, usual: f64, latency_objective: f64) -> Sample {
        let reported = end.load_report.and_then(|report| report.in_flight);
        let function_load = f64::from(end.function_in_flight + 1);
        Sample {
            latency: end.latency as f64,
            usual,
            latency_objective,
            load: reported.map_or(0.0, f64::from).max(function_load),
            load_is_reported: reported.is_some(),
            warm: end
                .copy_start
                .map_or(!attempt.may_wait_for_load, |start| start == CopyStart::Warm),
        }
    }

    /// How slow the answer was, against the function elsewhere and against the latency objective;
    /// above 1 is slow.
    fn latency_ratio(&self) -> f64 {
        let against_usual = self.latency / (SLOW_LATENCY_RATIO * self.usual);
        let against_objective = self.latency / (LATENCY_OBJECTIVE_SHARE * self.latency_objective);
        against_usual.max(against_objective).min(MAX_LATENCY_RATIO)
    }
}

impl WorkerState {
    fn record_latency_ratio(&mut self, now: Micros, sample: &Sample) {
        if !sample.warm || sample.usual <= 0.0 || sample.latency_objective <= 0.0 {
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
            && now > self.limit_cut_at + sample.usual as Micros * 2;
        if self.concurrency_limit < 1.0 && load_is_known {
            // Each worker gives few answers: the limit follows what one tells, both ways and soon.
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
    /// How far the worker's load and latency together are above what they should be; 1 is right.
    fn pressure(&self) -> f64 {
        let load = self.load.max(1.0) / INITIAL_CONCURRENCY_LIMIT;
        (load * self.latency * 3.0 / self.latency_objective.max(1.0)).sqrt()
    }
}
