//! Judges what clients and workers recorded.

use std::fmt;
use std::time::{Duration, Instant};

use super::records::{Outcome, Records, UsualCall};
use super::scenario::{Scenario, DEADLINE};

/// An answer may be this late; later it counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client left.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);
/// Requests on open connections keep coming for this long after SIGTERM.
const REQUESTS_AFTER_SIGTERM: Duration = Duration::from_millis(200);
/// The part of its limit that a gateway without peers may use, in MB.
const IDLE_MEMORY_MB: u64 = 8;

/// The peak memory of a process, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMemory {
    /// Before any client connected.
    pub idle: u64,
    /// At the end.
    pub peak: u64,
}

/// When the gateway was restarted.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// When it was told to end.
    pub terminated_at: Instant,
    /// When its successor listened.
    pub listened_at: Instant,
}

/// The result of one seed.
#[derive(Clone, Debug)]
pub struct Verdict {
    scenario: Scenario,
    calls: usize,
    served: usize,
    median: Duration,
    latest: Duration,
    longest_connect: Duration,
    added_mb: u64,
    violations: Vec<String>,
}

impl Verdict {
    /// The heading of a table of verdicts.
    pub const HEADING: &'static str =
        "  seed memory sockets neighbours run_ms restart calls served p50_ms max_ms connect_ms added_mb groups";

    /// Judges a run.
    pub fn of(
        scenario: &Scenario,
        records: &Records,
        memory: &[ProcessMemory],
        restart: Option<Restart>,
    ) -> Verdict {
        let calls = judged_calls(records.calls(), restart);
        let mut violations = Vec::new();
        let mut latencies: Vec<Duration> = calls.iter().map(|c| c.ended_at - c.sent_at).collect();
        latencies.sort_unstable();
        for call in &calls {
            let duration = call.ended_at - call.sent_at;
            match call.outcome {
                Outcome::Answered(_) if duration <= DEADLINE + MAX_LATENESS => {}
                outcome => violations.push(format!("usual call {outcome:?} after {duration:?}")),
            }
        }
        judge_attempts(records, &mut violations);
        let added = memory.iter().map(|m| m.peak.saturating_sub(m.idle)).max();
        let added_mb = added.unwrap_or(0) / 1_000_000;
        if added_mb >= scenario.memory_mb - IDLE_MEMORY_MB {
            violations.push(format!("memory {added_mb} MB of {} MB", scenario.memory_mb));
        }
        let is_served = |call: &&UsualCall| call.outcome == Outcome::Answered(200);
        Verdict {
            scenario: scenario.clone(),
            calls: calls.len(),
            served: calls.iter().filter(is_served).count(),
            median: latencies
                .get(latencies.len() / 2)
                .copied()
                .unwrap_or_default(),
            longest_connect: calls
                .iter()
                .map(|c| c.connect_time)
                .max()
                .unwrap_or_default(),
            latest: latencies.last().copied().unwrap_or_default(),
            added_mb,
            violations,
        }
    }

    /// Whether nothing was violated.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Leaves out the calls that a restart excuses.
fn judged_calls(calls: Vec<UsualCall>, restart: Option<Restart>) -> Vec<UsualCall> {
    let Some(restart) = restart else {
        return calls;
    };
    let from = restart.terminated_at + REQUESTS_AFTER_SIGTERM;
    calls
        .into_iter()
        .filter(|call| call.sent_at < from || call.sent_at > restart.listened_at)
        .collect()
}

fn judge_attempts(records: &Records, violations: &mut Vec<String>) {
    let mut late = 0;
    let mut latest = Duration::ZERO;
    for (identity, attempts, departed_at) in records.attempts() {
        let processes = attempts.iter().map(|attempt| attempt.process);
        let by_one_process = processes.clone().min() == processes.max();
        // The stand-ins run every attempt that they record. Safe calls may run again.
        if attempts.len() > 1 && by_one_process && attempts[0].is_unsafe {
            violations.push(format!("{identity:x} ran {} times", attempts.len()));
        }
        for attempt in attempts {
            let after = departed_at.map(|at| attempt.at.saturating_duration_since(at));
            if let Some(after) = after.filter(|after| *after > DEPARTURE_GRACE) {
                late += 1;
                latest = latest.max(after);
            }
        }
    }
    if late > 0 {
        violations.push(format!(
            "{late} attempts after a departure, up to {latest:?}"
        ));
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.scenario;
        write!(
            f,
            "{:>6} {:>6} {:>7} {:>10} {:>6} {:>7} {:>5} {:>6} {:>6} {:>6} {:>10} {:>8} ",
            s.seed,
            s.memory_mb,
            s.sockets,
            s.busy_neighbours,
            s.run_time.as_millis(),
            s.restart_at.is_some(),
            self.calls,
            self.served,
            self.median.as_millis(),
            self.latest.as_millis(),
            self.longest_connect.as_millis(),
            self.added_mb
        )?;
        for group in &s.groups {
            write!(f, " {:?} x {}", group.rudeness, group.clients)?;
        }
        if !self.holds() {
            let shown: Vec<&str> = self.violations.iter().take(4).map(String::as_str).collect();
            write!(
                f,
                " BROKEN ({}): {}",
                self.violations.len(),
                shown.join("; ")
            )?;
        }
        Ok(())
    }
}
