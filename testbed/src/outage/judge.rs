//! Checks the records of a run: commands that reached workers after their drain had to be known,
//! and the results of the calls.

use std::fmt;
use std::time::{Duration, Instant};

use super::clients::{Call, CallResult};
use super::scenario::{OutageKind, Restarts, Scenario, DRAIN_KNOWN_AFTER};
use super::worker::{CommandKind, Received};

/// Tolerance on top of the grace: 50 ms allowed by the rules, and 50 ms that a busy machine can add
/// between a gateway's write and the worker's record.
const SLACK: Duration = Duration::from_millis(50 + 50);
/// Maximum number of late sends that are listed.
const MAX_LATE_LISTED: usize = 4;
/// Minimum ratio of the share served during the outage to the share served outside it, if enough
/// workers keep serving.
const MIN_RELATIVE_SHARE: f64 = 0.97;

/// Commands that one worker received.
#[derive(Debug)]
pub struct WorkerRecord {
    /// Index of the worker in the scenario.
    pub worker: usize,
    /// Commands in order.
    pub received: Vec<Received>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    scenario: Scenario,
    /// Calls that reached a draining worker after its drain had to be known and the grace had
    /// passed.
    pub late_calls: usize,
    /// Load orders that reached a draining worker that late.
    pub late_loads: usize,
    /// Calls not answered in time, at gateways that were not restarted.
    pub lost: usize,
    /// Number of calls.
    pub calls: usize,
    /// Load orders that workers received.
    pub loads: usize,
    /// Health checks that workers received before the outage, and after its start.
    pub checks: (usize, usize),
    /// Maximum number of health checks that one worker received within a second.
    pub most_checks_per_s: usize,
    /// Share of calls served outside the outage, and during it.
    pub served: (f64, f64),
    /// Calls rejected and calls failed during the outage.
    pub unserved: (usize, usize),
    /// Descriptions of the first late sends.
    pub late: Vec<String>,
}

impl Verdict {
    /// Column headings for the printed verdicts.
    pub const HEADER: &str =
        "seed gateways workers kind          restarts checks rate  late calls/loads  lost/calls  loads  checks before/in (most/s)  served beside/in";

    /// Returns whether the run kept the rules and served enough calls during the outage.
    pub fn holds(&self) -> bool {
        self.keeps_rules() && self.serves_enough()
    }

    /// Returns whether no send was late, no call was lost, and no health check was sent before the
    /// outage.
    pub fn keeps_rules(&self) -> bool {
        self.late_calls == 0 && self.late_loads == 0 && self.lost == 0 && self.checks.0 == 0
    }

    /// Returns whether enough calls were served during the outage. Applies only if health checks
    /// show which workers serve, most workers keep serving, and the deadline leaves time to load a
    /// copy elsewhere.
    pub fn serves_enough(&self) -> bool {
        let scenario = &self.scenario;
        let is_judged = scenario.health_checks
            && scenario.restarts == Restarts::None
            && !scenario.load_rate_limit
            && scenario.deadline >= Duration::from_millis(600)
            && 2 * scenario.drains.len() <= scenario.workers;
        !is_judged || self.served.1 >= MIN_RELATIVE_SHARE * self.served.0
    }

    /// Checks the records of a run.
    pub fn of(
        scenario: &Scenario,
        started_at: Instant,
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
            verdict.judge_worker(started_at, record);
        }
        verdict.judge_calls(started_at, calls);
        verdict
    }

    fn judge_worker(&mut self, started_at: Instant, record: &WorkerRecord) {
        let mut checked_at = Vec::new();
        for received in &record.received {
            let at = received.at.duration_since(started_at);
            match received.kind {
                CommandKind::Call => {
                    let late = self.note_if_late(record.worker, at, received);
                    self.late_calls += usize::from(late);
                }
                CommandKind::Load => {
                    self.loads += 1;
                    let late = self.note_if_late(record.worker, at, received);
                    self.late_loads += usize::from(late);
                }
                CommandKind::HealthCheck if at < self.scenario.outage_at => self.checks.0 += 1,
                CommandKind::HealthCheck => {
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

    /// Returns whether the command came after a drain of the worker had to be known and the grace
    /// had passed; if so, adds the command to the list of late sends.
    fn note_if_late(&mut self, worker: usize, at: Duration, received: &Received) -> bool {
        let grace = self.scenario.grace;
        let drain = self.scenario.drains.iter().find(|drain| {
            let last_send = drain.at + DRAIN_KNOWN_AFTER + grace + SLACK;
            drain.worker == worker && at > last_send && at < drain.returns_at
        });
        let Some(drain) = drain else {
            return false;
        };
        if self.late.len() < MAX_LATE_LISTED {
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

    fn judge_calls(&mut self, started_at: Instant, calls: &[Call]) {
        let scenario = &self.scenario;
        let is_in_outage = |call: &&Call| {
            let at = call.sent_at.duration_since(started_at);
            scenario.kind != OutageKind::None
                && at >= scenario.outage_at
                && at < scenario.outage_ends_at
        };
        // A killed gateway loses the calls it had accepted, so its calls are not checked.
        let is_judged = |call: &&Call| scenario.restarts == Restarts::None || call.gateway != 0;
        let share = |calls: Vec<&Call>| {
            let served = calls
                .iter()
                .filter(|call| call.end == CallResult::Served)
                .count();
            served as f64 / calls.len().max(1) as f64
        };
        let (inside, beside): (Vec<&Call>, Vec<&Call>) =
            calls.iter().filter(is_judged).partition(is_in_outage);
        let lost = calls
            .iter()
            .filter(is_judged)
            .filter(|call| matches!(call.end, CallResult::Lost | CallResult::Unreachable))
            .count();
        let ended = |end: CallResult| inside.iter().filter(|call| call.end == end).count();
        self.unserved = (ended(CallResult::Rejected), ended(CallResult::Failed));
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
