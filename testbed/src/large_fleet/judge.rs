//! Judges the records of a run: answers by their deadlines, and commands at draining workers.

use std::fmt;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::clients::{Call, CallResult};
use super::scenario::Scenario;
use crate::outage::{CommandKind, Received};

/// An answer may come this long after its deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Commands may still reach a draining worker for this long after discovery has told of it, beyond
/// the settings' grace.
const DRAIN_SLACK: Duration = Duration::from_millis(100);
/// Time after which every change counts as told, also while discovery is out of reach.
const TOLD_AFTER: Duration = Duration::from_secs(7);
/// The settings' time for an answer after its deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(16);
/// The settings' grace after a drain.
pub const DRAIN_GRACE: Duration = Duration::from_millis(1_000);

/// The time at which a group began to drain, and the commands that it received until it ended.
#[derive(Debug)]
pub struct DrainRecord {
    /// When discovery published the drain.
    pub published_at: Instant,
    /// When the group's processes ended.
    pub ended_at: Instant,
    /// What the group received in the whole run.
    pub received: Vec<Received>,
}

/// What clients and workers recorded in a run.
#[derive(Debug)]
pub struct Records {
    /// The run's start.
    pub started_at: Instant,
    /// The calls.
    pub calls: Vec<Call>,
    /// The groups that drained.
    pub drains: Vec<DrainRecord>,
    /// From when to when the first gateway was killed; its process had ended at the latter.
    pub killed: Option<(Instant, Instant)>,
    /// The intervals in which the first gateway's process was suspended.
    pub suspended: Vec<(Instant, Instant)>,
}

impl Records {
    /// The time at which a call that is answered at its deadline is answered: a process that is
    /// suspended then, or before the settings' time for the answer is over, answers once it is
    /// resumed.
    fn earliest_answer(&self, call: &Call, deadline: Instant) -> Instant {
        let suspension = self.suspended.iter().find(|(from, until)| {
            call.gateway == 0 && *from <= deadline + ANSWER_GRACE && deadline < *until
        });
        suspension.map_or(deadline, |(_, until)| *until)
    }
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    scenario: Scenario,
    /// Number of calls.
    pub calls: usize,
    /// Calls served.
    pub served: usize,
    /// Calls answered more than half a second after their deadline.
    pub late: usize,
    /// Calls without any answer.
    pub unanswered: usize,
    /// The latest answer, after its deadline.
    pub latest: Duration,
    /// Calls and load orders at draining workers past the grace.
    pub late_sends: usize,
    /// Processor time of the gateway that was neither killed nor suspended.
    pub cpu: Duration,
    /// Its resident memory in KiB.
    pub memory_kib: u64,
    /// Its open descriptors at the end.
    pub descriptors: usize,
    /// The connections that it made to workers.
    pub connects: u64,
    /// Its longest pass of the event loop.
    pub longest_pass: Duration,
    /// Its figures of the event loop.
    pub loop_figures: Value,
    /// Descriptions of the first calls that were late or unanswered.
    pub examples: Vec<String>,
}

/// What was measured at a gateway when the run ended.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in KiB.
    pub memory_kib: u64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Connections made to workers.
    pub connects: u64,
    /// The longest pass of the event loop.
    pub longest_pass: Duration,
    /// All figures of the event loop.
    pub loop_figures: Value,
}

impl Verdict {
    /// Column headings for the printed verdicts.
    pub const HEADER: &str = " seed gateways workers busy updates   kill         stops silent rate deadline | calls served late unanswered   latest late sends | cpu s  MiB fds connects pass";

    /// What the event loop spent on each activity: the passes in which it occurred, their total,
    /// and the longest time.
    pub fn activities(&self) -> Vec<(String, String)> {
        let activities = self.loop_figures["activities"].as_object();
        let millis = |micros: &Value| micros.as_f64().unwrap_or(0.0) / 1_000.0;
        let row = |(name, figures): (&String, &Value)| {
            let count = figures["count"].as_u64().unwrap_or(0);
            let total = millis(&figures["total_us"]);
            let longest = millis(&figures["max_us"]);
            (name.clone(), format!("{count:7} {total:9.1} {longest:8.2}"))
        };
        activities.into_iter().flatten().map(row).collect()
    }

    /// Returns whether every call was answered in time and no draining worker got a late command.
    pub fn holds(&self) -> bool {
        self.late == 0 && self.unanswered == 0 && self.late_sends == 0
    }

    /// Judges the records.
    pub fn of(scenario: &Scenario, records: &Records, usage: Usage) -> Verdict {
        let mut verdict = Verdict {
            scenario: scenario.clone(),
            calls: records.calls.len(),
            served: 0,
            late: 0,
            unanswered: 0,
            latest: Duration::ZERO,
            late_sends: 0,
            cpu: usage.cpu,
            memory_kib: usage.memory_kib,
            descriptors: usage.descriptors,
            connects: usage.connects,
            longest_pass: usage.longest_pass,
            loop_figures: usage.loop_figures,
            examples: Vec::new(),
        };
        for call in &records.calls {
            verdict.judge_call(call, records);
        }
        let outage_lag = scenario.outage.map_or(Duration::ZERO, |_| TOLD_AFTER);
        for drain in &records.drains {
            let allowed_until = drain.published_at + outage_lag + DRAIN_GRACE + DRAIN_SLACK;
            verdict.late_sends += drain
                .received
                .iter()
                .filter(|received| received.kind != CommandKind::HealthCheck)
                .filter(|received| received.at > allowed_until && received.at < drain.ended_at)
                .count();
        }
        verdict
    }

    fn judge_call(&mut self, call: &Call, records: &Records) {
        let deadline = records.earliest_answer(call, call.sent_at + self.scenario.deadline);
        let ended_at = match call.result {
            CallResult::Unreachable => return,
            CallResult::Answered(status) => {
                self.served += usize::from(status == 200);
                call.ended_at
            }
            CallResult::Unanswered => {
                // A killed gateway owes no answer whose time had not passed.
                let was_killed = call.gateway == 0
                    && records.killed.is_some_and(|(from, until)| {
                        call.sent_at <= until && deadline + ANSWER_SLACK >= from
                    });
                if !was_killed {
                    self.unanswered += 1;
                    self.note(records.started_at, call);
                }
                return;
            }
        };
        let lateness = ended_at.saturating_duration_since(deadline);
        self.latest = self.latest.max(lateness);
        if lateness > ANSWER_SLACK {
            self.late += 1;
            self.note(records.started_at, call);
        }
    }

    fn note(&mut self, started_at: Instant, call: &Call) {
        if self.examples.len() < 8 {
            self.examples.push(format!(
                "gateway {} sent {:.3} ended {:.3} {:?}",
                call.gateway,
                call.sent_at.duration_since(started_at).as_secs_f64(),
                call.ended_at.duration_since(started_at).as_secs_f64(),
                call.result
            ));
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scenario = &self.scenario;
        let kill = scenario
            .kill
            .map_or("-".to_owned(), |(_, kind, _)| format!("{kind:?}"));
        write!(
            f,
            "{:5} {:8} {:7} {:4} {:9} {:12} {:5} {:6} {:4} {:6}ms | {:5} {:6} {:4} {:10} {:+7.3}s {:10} | {:5.2} {:4} {:3} {:8} {:3}ms",
            scenario.seed,
            scenario.gateways,
            scenario.workers,
            scenario.busy_neighbours,
            format!("{:?}", scenario.updates),
            kill,
            scenario.stops.len(),
            scenario.unanswered_percent,
            scenario.rate,
            scenario.deadline.as_millis(),
            self.calls,
            self.served,
            self.late,
            self.unanswered,
            self.latest.as_secs_f64(),
            self.late_sends,
            self.cpu.as_secs_f64(),
            self.memory_kib / 1024,
            self.descriptors,
            self.connects,
            self.longest_pass.as_millis(),
        )?;
        if self.longest_pass > ANSWER_SLACK / 2 {
            for (activity, figures) in self.activities() {
                write!(f, "\n      {activity:14} {figures}")?;
            }
        }
        for example in &self.examples {
            write!(f, "\n      {example}")?;
        }
        Ok(())
    }
}
