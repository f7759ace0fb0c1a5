//! State that two processes of one gateway share while a new version replaces an old one. Each
//! writes one small text of its own and reads those of its siblings. No process waits for another,
//! and a process that ends at any step leaves a complete text or none.
//!
//! ```text
//! molelug-handover 1
//! gateway n3
//! state ready
//! rev 41
//! bears 24.1
//! ban s-00c41f7a 1764620000000000
//! free s-1b 1764620001000000
//! seen s-2c
//! served s-00c41f7a 120000
//! sum 6f0c…
//! ```
//!
//! `served` lines are written only while discovery is lost: the age in microseconds of the latest
//! evidence that a worker takes new work. An age is not affected by a step of the system clock.

use std::collections::{BTreeMap, BTreeSet};

use super::overrides::{MAX_NAME_BYTES, MAX_WORKERS_SEEN};
use crate::api::{LoadRateLimit, Micros, Settings};

/// The version of the text that this program writes and reads.
const VERSION: &str = "1";
/// The largest text, in bytes.
pub const MAX_STATE_BYTES: usize = 3 * MAX_WORKERS_SEEN * (MAX_NAME_BYTES + 32);
/// The largest worker capacity that is accepted as valid, in answers per second.
const MAX_CAPACITY_PER_S: f64 = 1e5;
/// A text of an ended process that is older than this, in microseconds, is not part of an upgrade.
pub const ABANDONED_AFTER: Micros = 60_000_000;
/// How often a process writes its text although nothing has changed, in microseconds, so that the
/// text does not look abandoned.
pub const WRITE_INTERVAL: Micros = 5_000_000;

/// A process's state with regard to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProcessState {
    /// The process does not accept connections yet.
    #[default]
    Starting,
    /// The process accepts connections.
    Ready,
    /// The process no longer accepts connections.
    Stopping,
}

const STATES: [(ProcessState, &str); 3] = [
    (ProcessState::Starting, "starting"),
    (ProcessState::Ready, "ready"),
    (ProcessState::Stopping, "ending"),
];

/// What one process shares with its siblings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingState {
    /// The name of the gateway that the process belongs to.
    pub gateway: String,
    /// The process's state.
    pub state: ProcessState,
    /// The revision of the endpoint list that the process has applied.
    pub list_revision: u64,
    /// The highest rate at which one worker served this process, in answers per second.
    pub observed_capacity: f64,
    /// Workers that operators have excluded (true) or included again (false), and the time of the
    /// change.
    pub exclusions: BTreeMap<String, (bool, Micros)>,
    /// Names of workers that were listed at some time.
    pub known_workers: Vec<String>,
    /// Workers that took new work, and the age of that evidence in microseconds. Shared while
    /// discovery is lost: a process that starts then has no other source.
    pub evidence: BTreeMap<String, Micros>,
}

/// Why a sibling's text cannot be used. The process goes on without it; the operator need only act
/// if both processes are to run for longer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HotRestartError {
    /// The text is not a sibling's state, or another version wrote it. The operator finishes the
    /// upgrade.
    #[error("'{0}' is not the form that this version reads")]
    Version(String),
    /// The checksum does not match: the text is damaged or incomplete. The sibling writes it again
    /// within seconds.
    #[error("its sum does not fit")]
    Damaged,
    /// The text exceeds [`MAX_STATE_BYTES`]. The operator removes the file.
    #[error("the text is too large")]
    TooLarge,
    /// A line has an unknown key or an invalid value. The operator removes the file.
    #[error("the line '{0}' has an unknown key or an invalid value")]
    UnknownLine(String),
    /// The text belongs to another gateway. The operator gives each gateway a `TMPDIR` of its own.
    #[error("the text belongs to the gateway '{0}'")]
    OtherGateway(String),
    /// The process ended too long ago to be part of an upgrade. Nothing needs to be done.
    #[error("the process that wrote the text ended too long ago")]
    Abandoned,
}

fn checksum(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().as_str()[..32].to_owned()
}

fn is_encodable(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|b| (0x21..0x7f).contains(&b))
}

impl SiblingState {
    /// Encodes the text. Names that cannot be written on a line are omitted.
    pub fn encode(&self) -> String {
        let state = STATES
            .iter()
            .find(|(s, _)| *s == self.state)
            .map_or("", |(_, word)| word);
        let mut text = format!(
            "molelug-handover {VERSION}\ngateway {}\nstate {state}\nrev {}\nbears {:.1}\n",
            self.gateway, self.list_revision, self.observed_capacity
        );
        for (name, (excluded, at)) in self.exclusions.iter().filter(|(n, _)| is_encodable(n)) {
            text += &format!("{} {name} {at}\n", if *excluded { "ban" } else { "free" });
        }
        for name in self.known_workers.iter().filter(|n| is_encodable(n)) {
            text += &format!("seen {name}\n");
        }
        let evidence = self.evidence.iter().filter(|(name, _)| is_encodable(name));
        for (name, age) in evidence.take(MAX_WORKERS_SEEN) {
            text += &format!("served {name} {age}\n");
        }
        let checksum = checksum(&text);
        text + &format!("sum {checksum}\n")
    }

    /// Decodes the text that a process of the gateway `name` wrote `age` microseconds ago. `alive`
    /// is true if that process still runs.
    pub fn decode(
        bytes: &[u8],
        name: &str,
        alive: bool,
        age: Micros,
    ) -> Result<SiblingState, HotRestartError> {
        if bytes.len() > MAX_STATE_BYTES {
            return Err(HotRestartError::TooLarge);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| HotRestartError::Damaged)?;
        let (first, _) = text.split_once('\n').ok_or(HotRestartError::Damaged)?;
        if first.strip_prefix("molelug-handover ") != Some(VERSION) {
            return Err(HotRestartError::Version(first.chars().take(40).collect()));
        }
        let body = text
            .strip_suffix('\n')
            .and_then(|t| t.rsplit_once("\nsum "));
        let (body, stated) = body.ok_or(HotRestartError::Damaged)?;
        let covered = format!("{body}\n");
        if checksum(&covered) != stated {
            return Err(HotRestartError::Damaged);
        }
        let mut state = SiblingState::default();
        for line in covered.lines().skip(1) {
            state
                .apply_line(line)
                .ok_or_else(|| HotRestartError::UnknownLine(line.chars().take(40).collect()))?;
        }
        if state.gateway != name {
            return Err(HotRestartError::OtherGateway(state.gateway));
        }
        if !alive && age > ABANDONED_AFTER {
            return Err(HotRestartError::Abandoned);
        }
        Ok(state)
    }

    fn apply_line(&mut self, line: &str) -> Option<()> {
        let (key, rest) = line.split_once(' ')?;
        match key {
            "gateway" => self.gateway = rest.to_owned(),
            "state" => self.state = STATES.iter().find(|(_, word)| *word == rest)?.0,
            "rev" => self.list_revision = rest.parse().ok()?,
            "bears" => {
                self.observed_capacity = rest
                    .parse()
                    .ok()
                    .filter(|b| (0.0..=MAX_CAPACITY_PER_S).contains(b))?
            }
            "ban" | "free" => {
                let (name, at) = rest.split_once(' ')?;
                self.exclusions.insert(
                    Some(name).filter(|n| is_encodable(n))?.to_owned(),
                    (key == "ban", at.parse().ok()?),
                );
            }
            "served" => {
                let (name, age) = rest.split_once(' ')?;
                let name = Some(name).filter(|name| is_encodable(name))?.to_owned();
                self.evidence.insert(name, age.parse().ok()?);
            }
            "seen" => self
                .known_workers
                .push(Some(rest).filter(|n| is_encodable(n))?.to_owned()),
            _ => return None,
        }
        Some(())
    }
}

/// The other running processes of this gateway.
#[derive(Debug, Default)]
pub struct SiblingProcesses {
    living: BTreeMap<u32, SiblingState>,
    observed_capacity: f64,
}

impl SiblingProcesses {
    /// Records the state of a running process.
    pub fn update(&mut self, pid: u32, state: SiblingState) {
        self.observed_capacity = self.observed_capacity.max(state.observed_capacity);
        self.living.insert(pid, state);
    }

    /// Keeps only the running processes. A process that has shared no state yet counts as starting.
    /// Returns true if the set of processes has changed.
    pub fn retain_living(&mut self, living: &BTreeSet<u32>) -> bool {
        let before = self.living.len();
        self.living.retain(|pid, _| living.contains(pid));
        let left = self.living.len();
        for pid in living {
            self.living.entry(*pid).or_default();
        }
        before != left || left != self.living.len()
    }

    /// The number of processes of this gateway, this one included.
    pub fn process_count(&self) -> usize {
        1 + self.living.len()
    }

    /// The highest rate at which one worker ever served this gateway, in answers per second. A new
    /// process relies on it, as it sees too few answers of its own while workers are in slow start.
    pub fn observed_capacity(&self) -> f64 {
        self.observed_capacity
    }

    /// This process's share of the load rate limit and of the overload multiple. The rate limit's
    /// term per request is not divided: each process counts its own requests.
    pub fn limits(&self, settings: &Settings) -> (Option<LoadRateLimit>, f64) {
        let processes = self.process_count() as f64;
        let load_rate_limit = settings.load_rate_limit.map(|limit| LoadRateLimit {
            base_loads: limit.base_loads / processes,
            ..limit
        });
        (load_rate_limit, settings.overload_multiple / processes)
    }

    /// Returns true if another process accepts connections.
    pub fn any_is_ready(&self) -> bool {
        self.living
            .values()
            .any(|state| state.state == ProcessState::Ready)
    }

    /// The latest revision of the endpoint list that another process has applied.
    pub fn latest_list_revision(&self) -> u64 {
        self.living
            .values()
            .map(|state| state.list_revision)
            .max()
            .unwrap_or(0)
    }
}

#[cfg(test)]
mod fixture_tests;

#[cfg(test)]
mod tests;
