//! The record of a run: its actions as text and counts of each kind.

use std::collections::BTreeMap;
use std::fmt::Write;

use molelug::api::{Action, CopyStart, Event, Micros, Outcome};

/// Counts by kind.
pub type Counts = BTreeMap<&'static str, u64>;

/// The keywords of actions in their order in a record's summary line.
const ACTIONS: [&str; 10] = [
    "send",
    "cancel",
    "refuse",
    "fail",
    "order",
    "ask",
    "unload",
    "probe",
    "wake",
    "subscribe",
];

/// The recorded actions of a run and the counts of its actions, events and outcomes.
#[derive(Default)]
pub struct Record {
    text: String,
    pub actions: Counts,
    pub events: Counts,
    pub outcomes: Counts,
    pub copy_starts: Counts,
}

impl Record {
    /// Returns the actions with their times, one per line.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Records an action and its time.
    pub fn action(&mut self, now: Micros, action: &Action) {
        let (kind, values) = describe(action);
        writeln!(self.text, "{now} {kind}{values}").expect("writing to a string cannot fail");
        *self.actions.entry(kind).or_default() += 1;
    }

    /// Records an event.
    pub fn event(&mut self, event: &Event) {
        *self.events.entry(event_kind(event)).or_default() += 1;
        let outcome = match event {
            Event::AttemptEnded(ended) => Some(ended.outcome),
            Event::LoadEnded { outcome, .. } | Event::HealthChecked { outcome, .. } => {
                Some(*outcome)
            }
            _ => None,
        };
        if let Some(outcome) = outcome {
            *self.outcomes.entry(outcome_kind(outcome)).or_default() += 1;
        }
        if let Event::AttemptEnded(ended) = event {
            let copy_start = ended.copy_start.map(copy_start_kind);
            copy_start
                .into_iter()
                .for_each(|kind| *self.copy_starts.entry(kind).or_default() += 1);
        }
    }

    /// Summarizes the run in one line: its number of events, the hash of its text and the counts of
    /// its actions.
    pub fn line(&self, name: &str) -> String {
        let events: u64 = self.events.values().sum();
        let hash = blake3::hash(self.text.as_bytes());
        let count = |kind: &&str| format!("{kind}={}", self.actions.get(kind).unwrap_or(&0));
        let counts: Vec<String> = ACTIONS.iter().map(count).collect();
        format!("{name} events={events} blake3={hash} {}", counts.join(" "))
    }
}

/// Returns an action's keyword and values. The keywords are part of the recorded hashes and don't
/// follow the module's names.
fn describe(action: &Action) -> (&'static str, String) {
    match action {
        Action::Send {
            request,
            worker,
            timeout,
        } => {
            let timeout = timeout.map_or("none".to_owned(), |time| time.to_string());
            (
                "send",
                format!(" {} w{} within={timeout}", request.0, worker.0),
            )
        }
        Action::Cancel { request, attempt } => {
            ("cancel", format!(" {} attempt={attempt}", request.0))
        }
        Action::Reject {
            request,
            retry_after,
        } => ("refuse", format!(" {} retry={retry_after}", request.0)),
        Action::Fail { request } => ("fail", format!(" {}", request.0)),
        Action::Load {
            worker,
            function,
            copies: 0,
        } => ("ask", format!(" w{} f{}", worker.0, function.0)),
        Action::Load {
            worker,
            function,
            copies,
        } => (
            "order",
            format!(" w{} f{} copies={copies}", worker.0, function.0),
        ),
        Action::Unload { worker, function } => {
            ("unload", format!(" w{} f{}", worker.0, function.0))
        }
        Action::HealthCheck { worker } => ("probe", format!(" w{}", worker.0)),
        Action::Wake { after, token } => ("wake", format!(" after={after} token={token}")),
        Action::Subscribe => ("subscribe", String::new()),
        Action::ReopenDiscovery => ("reopen", String::new()),
    }
}

fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::WorkerList { .. } => "members",
        Event::Request(_) => "request",
        Event::AttemptEnded(_) => "ended",
        Event::Streaming { .. } => "streaming",
        Event::ClientGone { .. } => "gone",
        Event::LoadEnded { .. } => "loaded",
        Event::HealthChecked { .. } => "probed",
        Event::PeerHealth { .. } => "rumour",
        Event::TenantQuota { .. } => "share",
        Event::InstanceLimits { .. } => "limits",
        Event::Wake { .. } => "wake",
        Event::Discovery(_) | Event::DelayedDiscovery { .. } => "discovery",
        Event::ConnectionRefused { .. } => "refused",
    }
}

fn outcome_kind(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
        Outcome::Miss => "miss",
    }
}

fn copy_start_kind(copy_start: CopyStart) -> &'static str {
    match copy_start {
        CopyStart::Warm => "stood",
        CopyStart::Triggered => "began",
        CopyStart::Joined => "waited",
        CopyStart::LoadFailed => "load-failed",
    }
}
