//! How long the event loop's passes take, what they do, and how late deadlines are served.
//!
//! Everything that a gateway owes is done by one loop: while it is held, nothing is read, answered
//! or accepted. The timer is told of the end of each activity of a pass and of each wait for
//! events. It reads no clock.

use std::fmt;

use serde::Serialize;

use crate::api::Micros;

mod histogram;

pub use histogram::Histogram;

/// A pass that takes longer is reported with its cause: a tenth of the time by which an answer may
/// be late leaves room for several such passes in a row.
pub const SLOW_PASS: Micros = 50_000;
/// The minimum interval between two reports.
const REPORT_INTERVAL: Micros = 1_000_000;

/// An activity of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Activity {
    /// Shutdown by signal, and its preparations.
    Signals,
    /// Reload of the configuration.
    Reload,
    /// The operator console.
    Console,
    /// Input of connections, except from discovery.
    Connections,
    /// Reading of the discovery stream and parsing of its events.
    Discovery,
    /// Application of a part of an endpoint list.
    EndpointList,
    /// Deadlines, except those below.
    Deadlines,
    /// Exchange of state with other processes of the gateway.
    HotRestart,
    /// Delivery of callbacks, retention, and replies of the store.
    Store,
    /// Gossip, consensus, replication, and what lease holders do.
    Cluster,
    /// Accepting of clients.
    Accepting,
    /// Decisions, their commands, and writing to connections.
    Commands,
}

impl Activity {
    /// All activities, in the order of their discriminants.
    const ALL: [Activity; 12] = [
        Activity::Signals,
        Activity::Reload,
        Activity::Console,
        Activity::Connections,
        Activity::Discovery,
        Activity::EndpointList,
        Activity::Deadlines,
        Activity::HotRestart,
        Activity::Store,
        Activity::Cluster,
        Activity::Accepting,
        Activity::Commands,
    ];

    /// Its name in logs and figures.
    pub fn name(self) -> &'static str {
        match self {
            Activity::Signals => "signals",
            Activity::Reload => "reload",
            Activity::Console => "console",
            Activity::Connections => "connections",
            Activity::Discovery => "discovery",
            Activity::EndpointList => "endpoint_list",
            Activity::Deadlines => "deadlines",
            Activity::HotRestart => "hot_restart",
            Activity::Store => "store",
            Activity::Cluster => "cluster",
            Activity::Accepting => "accepting",
            Activity::Commands => "commands",
        }
    }
}

/// A report that the loop was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldLoop {
    /// A pass took too long.
    SlowPass {
        /// Its duration.
        duration: Micros,
        /// The activity that took longest.
        longest: Activity,
        /// The time that it took.
        longest_time: Micros,
    },
    /// A wait for events ended later than asked: the process was stopped or had no core.
    LateWakeUp {
        /// How much later.
        late_by: Micros,
    },
}

/// The timer of an event loop.
#[derive(Debug)]
pub struct LoopTimer {
    pass_started_at: Micros,
    last_lap_at: Micros,
    laps: [Micros; Activity::ALL.len()],
    reported_at: Option<Micros>,
    figures: LoopFigures,
}

/// Figures since the start of the process, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoopFigures {
    /// Durations of passes.
    pub passes: Histogram,
    /// How much later than asked waits for events ended.
    pub late_wake_ups: Histogram,
    /// How late deadlines were served.
    pub deadline_lateness: Histogram,
    /// How long requests had waited unread, if the loop was held before.
    pub unread_requests: Histogram,
    /// Time of each activity, in passes in which it occurred.
    pub activities: ActivityFigures,
}

impl fmt::Display for LoopFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}

/// A histogram for each activity.
#[derive(Clone, Debug, Default)]
pub struct ActivityFigures([Histogram; Activity::ALL.len()]);

impl ActivityFigures {
    /// The histogram of an activity.
    pub fn of(&self, activity: Activity) -> &Histogram {
        &self.0[activity as usize]
    }
}

impl Serialize for ActivityFigures {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(
            Activity::ALL
                .iter()
                .map(|activity| (activity.name(), self.of(*activity))),
        )
    }
}

impl LoopTimer {
    /// Creates a timer.
    pub fn new(now: Micros) -> LoopTimer {
        LoopTimer {
            pass_started_at: now,
            last_lap_at: now,
            laps: Default::default(),
            reported_at: None,
            figures: LoopFigures::default(),
        }
    }

    /// Begins a pass, after a wait that should have ended at `due_at`. Returns a report if it ended
    /// much later.
    pub fn begin_pass(&mut self, now: Micros, due_at: Option<Micros>) -> Option<HeldLoop> {
        self.pass_started_at = now;
        self.last_lap_at = now;
        self.laps = Default::default();
        let late_by = due_at.map_or(0, |due_at| now.saturating_sub(due_at));
        self.figures.late_wake_ups.record(late_by);
        (late_by > SLOW_PASS && self.may_report(now)).then_some(HeldLoop::LateWakeUp { late_by })
    }

    /// Records that the time since the previous activity's end was spent on this one.
    pub fn end_activity(&mut self, now: Micros, activity: Activity) {
        self.laps[activity as usize] += now.saturating_sub(self.last_lap_at);
        self.last_lap_at = now;
    }

    /// Ends a pass. Returns a report if it was slow.
    pub fn end_pass(&mut self, now: Micros) -> Option<HeldLoop> {
        let duration = now.saturating_sub(self.pass_started_at);
        self.figures.passes.record(duration);
        for (histogram, time) in self.figures.activities.0.iter_mut().zip(self.laps) {
            if time > 0 {
                histogram.record(time);
            }
        }
        if duration <= SLOW_PASS || !self.may_report(now) {
            return None;
        }
        let longest = Activity::ALL
            .into_iter()
            .max_by_key(|activity| self.laps[*activity as usize])?;
        Some(HeldLoop::SlowPass {
            duration,
            longest,
            longest_time: self.laps[longest as usize],
        })
    }

    /// When the current pass began.
    pub fn pass_started_at(&self) -> Micros {
        self.pass_started_at
    }

    /// Records how late a deadline was served.
    pub fn record_deadline(&mut self, late_by: Micros) {
        self.figures.deadline_lateness.record(late_by);
    }

    /// Records how long a request had waited unread.
    pub fn record_unread(&mut self, waited: Micros) {
        self.figures.unread_requests.record(waited);
    }

    /// The figures so far.
    pub fn figures(&self) -> &LoopFigures {
        &self.figures
    }

    fn may_report(&mut self, now: Micros) -> bool {
        let may_report = self
            .reported_at
            .is_none_or(|at| now >= at + REPORT_INTERVAL);
        if may_report {
            self.reported_at = Some(now);
        }
        may_report
    }
}

#[cfg(test)]
mod tests;
