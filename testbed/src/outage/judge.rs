//! Judges a run: what reached workers after their drain counted as told, and what became of the calls.

use std::fmt;
use std::time::{Duration, Instant};

use super::clients::{Call, End};
use super::scenario::{OutageKind, Restarts, Scenario, TOLD_AFTER};
use super::worker::{Kind, Received};

/// What the rules allow on top of the grace, and what a busy machine adds between a gateway's write and the record.
const SLACK: Duration = Duration::from_millis(50 + 50);
/// How many late sends are noted one by one.
const MAX_NOTES: usize = 4;
/// The share served in the outage, of that beside it, below which a run does not hold, where enough workers stay.
const MIN_RELATIVE_SHARE: f64 = 0.97;

/// What reached one worker.
#[derive(Debug)]
pub struct WorkerRecord {
    /// Its place in the scenario.
    pub worker: usize,
    /// All that reached it.
    pub received: Vec<Received>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    scenario: Scenario,
    /// Calls that reached a draining worker after its drain counted as told and the grace had passed.
    pub late_calls: usize,
    /// Load orders that did.
    pub late_loads: usize,
    /// Calls without an answer in time at a gateway that ran all the time.
    pub lost: usize,
    /// Calls.
    pub calls: usize,
    /// Load orders that workers received.
    pub loads: usize,
    /// Health checks that workers received before the outage, and from then on.
    pub checks: (usize, usize),
    /// The most health checks that a worker received within a second.
    pub most_checks_per_s: usize,
    /// The share served beside the outage, and in it.
    pub served: (f64, f64),
    /// Calls rejected and failed in the outage.
    pub unserved: (usize, usize),
    /// What reached workers too late, and how long after the drain; the first few.
    pub late: Vec<String>,
}

impl Verdict {
    /// The heading of the lines that verdicts are printed as.
    pub const HEADER: &str =
        "seed gateways workers kind          restarts checks rate  late calls/loads  lost/calls  loads  checks before/in (most/s)  served beside/in";

    /// Whether no rule was broken, no check was made before the outage, and enough was served in it.
    pub fn holds(&self) -> bool {
        self.keeps_rules() && self.serves_enough()
    }

    /// Whether no rule was broken and no check was made while discovery was in reach.
    pub fn keeps_rules(&self) -> bool {
        self.late_calls == 0 && self.late_loads == 0 && self.lost == 0 && self.checks.0 == 0
    }

    /// Whether as much was served in the outage as beside it. Judged only where health checks show which workers
    /// serve, most workers stay, and clients wait long enough for a copy to be loaded elsewhere.
    pub fn serves_enough(&self) -> bool {
        let scenario = &self.scenario;
        let is_judged = scenario.health_checks
            && scenario.restarts == Restarts::None
            && !scenario.load_rate_limit
            && scenario.deadline >= Duration::from_millis(600)
            && 2 * scenario.drains.len() <= scenario.workers;
        !is_judged || self.served.1 >= MIN_RELATIVE_SHARE * self.served.0
    }

    /// Judges what was recorded.
    pub fn of(
        scenario: &Scenario,
        begun: Instant,
        workers: &[WorkerRecord],
        calls: &[Call],
    ) -> Verdict {
        let mut verdict = Verdict {
            scenario: scenario.clone(),
            late_calls: 0,
            late_loads: 0,
            lost: 0,
            calls: calls.len(),
            loads: 0,
            checks: (0, 0),
            most_checks_per_s: 0,
            served: (0.0, 0.0),
            unserved: (0, 0),
            late: Vec::new(),
        };
        for record in workers {
            verdict.judge_worker(begun, record);
        }
        verdict.judge_calls(begun, calls);
        verdict
    }

    fn judge_worker(&mut self, begun: Instant, record: &WorkerRecord) {
        let mut checked_at = Vec::new();
        for received in &record.received {
            let at = received.at.duration_since(begun);
            match received.kind {
                Kind::Call => {
                    let late = self.note_if_late(record.worker, at, received);
                    self.late_calls += usize::from(late);
                }
                Kind::Load => {
                    self.loads += 1;
                    let late = self.note_if_late(record.worker, at, received);
                    self.late_loads += usize::from(late);
                }
                Kind::HealthCheck if at < self.scenario.outage_at => self.checks.0 += 1,
                Kind::HealthCheck => {
                    self.checks.1 += 1;
                    checked_at.push(at);
                }
            }
        }
        let second = Duration::from_secs(1);
        let most = (0..checked_at.len())
            .map(|first| {
                let within = |at: &&Duration| **at < checked_at[first] + second;
                checked_at[first..].iter().take_while(within).count()
            })
            .max();
        self.most_checks_per_s = self.most_checks_per_s.max(most.unwrap_or(0));
    }

    /// Whether a drain of the worker counted as told at this time, past the grace; if so it is noted.
    fn note_if_late(&mut self, worker: usize, at: Duration, received: &Received) -> bool {
        let grace = self.scenario.grace;
        let drain = self.scenario.drains.iter().find(|drain| {
            let last_send = drain.at + TOLD_AFTER + grace + SLACK;
            drain.worker == worker && at > last_send && at < drain.returns_at
        });
        let Some(drain) = drain else {
            return false;
        };
        if self.late.len() < MAX_NOTES {
            self.late.push(format!(
                "{:?} of worker {worker} at {at:.3?}, {:.3?} after its drain at {:.3?} (it ended at {:.3?})",
                received.kind,
                at - drain.at,
                drain.at,
                drain.ends_at
            ));
        }
        true
    }

    fn judge_calls(&mut self, begun: Instant, calls: &[Call]) {
        let scenario = &self.scenario;
        let is_in_outage = |call: &&Call| {
            let at = call.sent_at.duration_since(begun);
            scenario.kind != OutageKind::None
                && at >= scenario.outage_at
                && at < scenario.outage_ends_at
        };
        // A gateway is killed with what it had taken; its calls are not judged.
        let is_judged = |call: &&Call| scenario.restarts == Restarts::None || call.gateway != 0;
        let share = |calls: Vec<&Call>| {
            let served = calls.iter().filter(|call| call.end == End::Served).count();
            served as f64 / calls.len().max(1) as f64
        };
        let (inside, beside): (Vec<&Call>, Vec<&Call>) =
            calls.iter().filter(is_judged).partition(is_in_outage);
        let lost = calls
            .iter()
            .filter(is_judged)
            .filter(|call| matches!(call.end, End::Lost | End::Unreachable))
            .count();
        let ended = |end: End| inside.iter().filter(|call| call.end == end).count();
        self.unserved = (ended(End::Rejected), ended(End::Failed));
        self.served = (share(beside), share(inside));
        self.lost = lost;
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.scenario;
        write!(
            f,
            "{:>4} {:>8} {:>7} {:<13} {:<9} {:<6} {:<5} {:>6} / {:<6}    {:>4} / {:<6} {:>6}  {:>6} / {:<6} ({:>3})         {:.3} / {:.3} {}",
            s.seed,
            s.gateways,
            s.workers,
            format!("{:?}", s.kind),
            format!("{:?}", s.restarts),
            s.health_checks,
            s.load_rate_limit,
            self.late_calls,
            self.late_loads,
            self.lost,
            self.calls,
            self.loads,
            self.checks.0,
            self.checks.1,
            self.most_checks_per_s,
            self.served.0,
            self.served.1,
            if self.holds() { "" } else { "FAILED" }
        )?;
        if !self.holds() {
            write!(f, "\n     {:?}", self.scenario)?;
            let (rejected, failed) = self.unserved;
            write!(
                f,
                "\n     in the outage {rejected} rejected, {failed} failed"
            )?;
        }
        for note in &self.late {
            write!(f, "\n     {note}")?;
        }
        Ok(())
    }
}
