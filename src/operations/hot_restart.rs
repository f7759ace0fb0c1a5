//! What two processes of one gateway tell each other while a new version takes over: each writes one small text
//! of its own and reads the others'. Nobody waits for anybody, and whoever dies at any step leaves a text that is
//! whole or none.
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
//! sum 6f0c…
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::overrides::{MAX_NAME_BYTES, MAX_WORKERS_SEEN};
use crate::api::{LoadRateLimit, Micros, Settings};

/// The form that this version writes and reads.
const VERSION: &str = "1";
/// Bytes that a text may have.
pub const MAX_STATE_BYTES: usize = 2 * MAX_WORKERS_SEEN * (MAX_NAME_BYTES + 32);
/// Answers a second of one worker that are believed at most.
const MOST_BORNE: f64 = 1e5;
/// A text of a dead process that is older than this was not left by an upgrade.
pub const ABANDONED_AFTER: Micros = 60_000_000;
/// A process that has nothing new to tell writes its text again after this, as a sign that it is not old.
pub const WRITE_INTERVAL: Micros = 5_000_000;

/// What a process says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It takes no connection yet.
    #[default]
    Starting,
    /// It takes connections.
    Ready,
    /// It takes none any more.
    Ending,
}

const STATES: [(State, &str); 3] = [
    (State::Starting, "starting"),
    (State::Ready, "ready"),
    (State::Ending, "ending"),
];

/// What one process tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingState {
    /// The gateway that it is a process of.
    pub gateway: String,
    /// What it does.
    pub state: State,
    /// The number of the last notice that it has taken over.
    pub rev: u64,
    /// The most that a worker served for it, answers a second.
    pub bears: f64,
    /// Workers that staff have taken out (or put back), and when.
    pub bans: BTreeMap<String, (bool, Micros)>,
    /// Names that were listed once.
    pub seen: Vec<String>,
}

/// Why a text cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HotRestartError {
    /// It is not a text of this kind, or was written by another version.
    Version(String),
    /// Its sum does not fit: it is damaged or not whole.
    Damaged,
    /// It is larger than one can be.
    TooLarge,
    /// A line has no meaning.
    Line(String),
    /// It is of another gateway.
    Foreign(String),
    /// Its process has been dead for so long that it cannot be an upgrade's.
    LongDead,
}

impl fmt::Display for HotRestartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HotRestartError::Version(line) => {
                write!(f, "'{line}' is not the form that this version reads")
            }
            HotRestartError::Damaged => write!(f, "its sum does not fit"),
            HotRestartError::TooLarge => write!(f, "it is too large"),
            HotRestartError::Line(line) => write!(f, "the line '{line}' has no meaning"),
            HotRestartError::Foreign(name) => write!(f, "it is of the gateway '{name}'"),
            HotRestartError::LongDead => write!(f, "its process died long ago"),
        }
    }
}

impl std::error::Error for HotRestartError {}

fn sum(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().as_str()[..32].to_owned()
}

fn usable(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(|b| (0x21..0x7f).contains(&b))
}

impl SiblingState {
    /// The text; names that cannot stand in a line of their own are left out.
    pub fn text(&self) -> String {
        let state = STATES
            .iter()
            .find(|(s, _)| *s == self.state)
            .map_or("", |(_, word)| word);
        let mut text = format!(
            "molelug-handover {VERSION}\ngateway {}\nstate {state}\nrev {}\nbears {:.1}\n",
            self.gateway, self.rev, self.bears
        );
        for (name, (banned, at)) in self.bans.iter().filter(|(n, _)| usable(n)) {
            text += &format!("{} {name} {at}\n", if *banned { "ban" } else { "free" });
        }
        for name in self.seen.iter().filter(|n| usable(n)) {
            text += &format!("seen {name}\n");
        }
        let sum = sum(&text);
        text + &format!("sum {sum}\n")
    }

    /// Reads a text that another process of the gateway `name` has left `age` ago; `alive` if it still runs.
    pub fn read(
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
        let whole = format!("{body}\n");
        if sum(&whole) != stated {
            return Err(HotRestartError::Damaged);
        }
        let mut word = SiblingState::default();
        for line in whole.lines().skip(1) {
            word.line(line)
                .ok_or_else(|| HotRestartError::Line(line.chars().take(40).collect()))?;
        }
        if word.gateway != name {
            return Err(HotRestartError::Foreign(word.gateway));
        }
        if !alive && age > ABANDONED_AFTER {
            return Err(HotRestartError::LongDead);
        }
        Ok(word)
    }

    fn line(&mut self, line: &str) -> Option<()> {
        let (what, rest) = line.split_once(' ')?;
        match what {
            "gateway" => self.gateway = rest.to_owned(),
            "state" => self.state = STATES.iter().find(|(_, word)| *word == rest)?.0,
            "rev" => self.rev = rest.parse().ok()?,
            "bears" => {
                self.bears = rest
                    .parse()
                    .ok()
                    .filter(|b| (0.0..=MOST_BORNE).contains(b))?
            }
            "ban" | "free" => {
                let (name, at) = rest.split_once(' ')?;
                self.bans.insert(
                    Some(name).filter(|n| usable(n))?.to_owned(),
                    (what == "ban", at.parse().ok()?),
                );
            }
            "seen" => self.seen.push(Some(rest).filter(|n| usable(n))?.to_owned()),
            _ => return None,
        }
        Some(())
    }
}

/// The other processes of this gateway that live.
#[derive(Debug, Default)]
pub struct SiblingProcesses {
    living: BTreeMap<u32, SiblingState>,
    bears: f64,
}

impl SiblingProcesses {
    /// A living process has told this.
    pub fn heard(&mut self, pid: u32, word: SiblingState) {
        self.bears = self.bears.max(word.bears);
        self.living.insert(pid, word);
    }

    /// These are all that live; what others told counts no more. One that lives and has told nothing yet counts
    /// as starting. Tells whether their number has changed.
    pub fn only(&mut self, living: &BTreeSet<u32>) -> bool {
        let before = self.living.len();
        self.living.retain(|pid, _| living.contains(pid));
        let left = self.living.len();
        for pid in living {
            self.living.entry(*pid).or_default();
        }
        before != left || left != self.living.len()
    }

    /// Processes of this gateway, this one counted in.
    pub fn processes(&self) -> usize {
        1 + self.living.len()
    }

    /// The most that a worker was ever said to have served for this gateway, answers a second. A new process goes by
    /// it: what it sees itself is too little to tell it while workers are cold, and they stay idle for it.
    pub fn bears(&self) -> f64 {
        self.bears
    }

    /// This process's part of what one gateway may order and send to a cold worker. The part of the ration that
    /// follows from calls taken is not split: each process counts its own.
    pub fn limits(&self, settings: &Settings) -> (Option<LoadRateLimit>, f64) {
        let n = self.processes() as f64;
        let ration = settings.load_rate_limit.map(|r| LoadRateLimit {
            base_loads: r.base_loads / n,
            ..r
        });
        (ration, settings.overload_multiple / n)
    }

    /// Whether another process takes connections.
    pub fn take_over(&self) -> bool {
        self.living.values().any(|w| w.state == State::Ready)
    }

    /// The last notice that any other has taken over.
    pub fn rev(&self) -> u64 {
        self.living.values().map(|w| w.rev).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod fixture_tests;

#[cfg(test)]
mod tests;
