//! One budget of memory for everything that peers can make the gateway keep.
//!
//! The driver counts what each kind holds, and asks for the pressure that follows. Under pressure,
//! in this order: calls with large bodies are rejected; then all new calls are rejected, accepting
//! waits, and the clients' connections that hold most without a call under way are closed. Calls
//! that were taken on keep their connections.

use std::fmt::Write;

use crate::api::Micros;

/// Memory that the process uses without any peer: its program, its settings and its workers' list.
const FIXED_BYTES: usize = 8_000_000;
/// The budget of a process with less memory than its fixed part.
const MIN_BUDGET_BYTES: usize = 2_000_000;
/// The share of the memory beyond the fixed part that may be counted. The rest is for what the
/// allocator cannot reuse.
const COUNTED_SHARE: f64 = 0.75;
/// The shares of the budget in use from which the pressure is high and critical. What is left is
/// for what is read between two counts.
const HIGH_SHARE: f64 = 0.5;
const CRITICAL_SHARE: f64 = 0.75;
/// The share of the budget that may be read from peers before memory is counted again.
const UNCOUNTED_SHARE: f64 = 1.0 / 32.0;
/// The longest time between two counts while peers send anything.
const COUNT_INTERVAL: Micros = 100_000;
/// The shortest time between two reports of pressure.
const REPORT_INTERVAL: Micros = 1_000_000;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Input of clients that has not been handled.
    ClientInput,
    /// Responses that clients have not read.
    UnsentResponses,
    /// Open requests, with their bodies, which are kept for retries.
    Requests,
    /// Incomplete replies of workers.
    WorkerInput,
    /// Commands that wait to be written to workers.
    UnsentCommands,
    /// Input and output of discovery, portals, other gateways and the console.
    OtherConnections,
    /// The functions that the decision module remembers.
    Functions,
    /// The identities of calls that must not run twice.
    Identities,
}

impl MemoryKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [MemoryKind; 8] = [
        MemoryKind::ClientInput,
        MemoryKind::UnsentResponses,
        MemoryKind::Requests,
        MemoryKind::WorkerInput,
        MemoryKind::UnsentCommands,
        MemoryKind::OtherConnections,
        MemoryKind::Functions,
        MemoryKind::Identities,
    ];

    /// Its name in logs and figures.
    pub fn name(self) -> &'static str {
        match self {
            MemoryKind::ClientInput => "client_input",
            MemoryKind::UnsentResponses => "unsent_responses",
            MemoryKind::Requests => "requests",
            MemoryKind::WorkerInput => "worker_input",
            MemoryKind::UnsentCommands => "unsent_commands",
            MemoryKind::OtherConnections => "other_connections",
            MemoryKind::Functions => "functions",
            MemoryKind::Identities => "identities",
        }
    }
}

/// The bytes that each kind holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse([usize; MemoryKind::ALL.len()]);

impl MemoryUse {
    /// Adds bytes of a kind.
    pub fn add(&mut self, kind: MemoryKind, bytes: usize) {
        self.0[kind as usize] += bytes;
    }

    /// The bytes of a kind.
    pub fn of(&self, kind: MemoryKind) -> usize {
        self.0[kind as usize]
    }

    /// The bytes of all kinds.
    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }

    /// The kind that holds most.
    pub fn largest(&self) -> MemoryKind {
        let mut kinds = MemoryKind::ALL;
        kinds.sort_by_key(|kind| std::cmp::Reverse(self.of(*kind)));
        kinds[0]
    }
}

/// How scarce memory is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// There is enough.
    #[default]
    Normal,
    /// Calls with large bodies find no room.
    High,
    /// No new call finds room.
    Critical,
}

impl MemoryPressure {
    /// Its name in logs and figures.
    pub fn name(self) -> &'static str {
        match self {
            MemoryPressure::Normal => "normal",
            MemoryPressure::High => "high",
            MemoryPressure::Critical => "critical",
        }
    }
}

/// The budget of a process.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used: MemoryUse,
    pressure: MemoryPressure,
    counted_at: Micros,
    /// Bytes read from peers since memory was counted.
    uncounted: usize,
    reported_at: Option<Micros>,
}

impl MemoryBudget {
    /// Creates the budget of a process with this limit on its memory.
    pub fn new(limit_bytes: usize) -> MemoryBudget {
        MemoryBudget {
            limit_bytes,
            used: MemoryUse::default(),
            pressure: MemoryPressure::Normal,
            counted_at: 0,
            uncounted: 0,
            reported_at: None,
        }
    }

    /// Changes the limit on the memory.
    pub fn set_limit(&mut self, limit_bytes: usize) {
        self.limit_bytes = limit_bytes;
    }

    /// The bytes that all kinds may hold together.
    pub fn budget(&self) -> usize {
        let variable = self.limit_bytes.saturating_sub(FIXED_BYTES);
        share_of(variable, COUNTED_SHARE).max(MIN_BUDGET_BYTES)
    }

    /// The bytes in use from which connections are closed to free memory.
    pub fn high_mark(&self) -> usize {
        share_of(self.budget(), HIGH_SHARE)
    }

    /// Notes that bytes were read from a peer.
    pub fn note_read(&mut self, bytes: usize) {
        self.uncounted += bytes;
    }

    /// Whether so much was read since the last count that memory must be counted now.
    pub fn is_count_due(&self) -> bool {
        self.uncounted >= share_of(self.budget(), UNCOUNTED_SHARE)
    }

    /// Whether memory should be counted at the end of a pass.
    pub fn is_count_useful(&self, now: Micros) -> bool {
        let has_changed = self.uncounted > 0 || self.pressure != MemoryPressure::Normal;
        self.is_count_due() || has_changed && now >= self.counted_at + COUNT_INTERVAL
    }

    /// Takes a count; returns the pressure.
    pub fn record(&mut self, now: Micros, used: MemoryUse) -> MemoryPressure {
        let total = used.total();
        self.used = used;
        self.counted_at = now;
        self.uncounted = 0;
        self.pressure = if total >= share_of(self.budget(), CRITICAL_SHARE) {
            MemoryPressure::Critical
        } else if total >= self.high_mark() {
            MemoryPressure::High
        } else {
            MemoryPressure::Normal
        };
        self.pressure
    }

    /// Whether pressure is to be reported now.
    pub fn take_report(&mut self, now: Micros) -> bool {
        let is_due = self
            .reported_at
            .is_none_or(|reported_at| now >= reported_at + REPORT_INTERVAL);
        let reports = is_due && self.pressure != MemoryPressure::Normal;
        if reports {
            self.reported_at = Some(now);
        }
        reports
    }

    /// The pressure at the last count.
    pub fn pressure(&self) -> MemoryPressure {
        self.pressure
    }

    /// The bytes at the last count.
    pub fn used(&self) -> &MemoryUse {
        &self.used
    }

    /// Encodes the gauges, one value a line, with the process's resident memory if it is known.
    pub fn encode(&self, resident_bytes: Option<usize>) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        for kind in MemoryKind::ALL {
            let _ = writeln!(out, "{} {}", kind.name(), self.used.of(kind));
        }
        let _ = writeln!(out, "counted {}", self.used.total());
        let _ = writeln!(out, "budget {}", self.budget());
        let _ = writeln!(out, "limit {}", self.limit_bytes);
        let resident = resident_bytes.map_or("-".to_owned(), |bytes| bytes.to_string());
        let _ = writeln!(out, "resident {resident}");
        let _ = writeln!(out, "pressure {}", self.pressure.name());
        out
    }
}

fn share_of(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}

#[cfg(test)]
mod tests;
