//! The file that switches the council on, and how a seat is founded.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Deserialize;

use super::persistent_state::{Head, LogLine, PersistentState, Record};
use super::state::State;
use super::{bootstrap_voter, ReplicaId, MAX_VOTERS};
use crate::config::ConfigError;
use crate::lease::ledger::{LeaseTable, MAX_LEASES};
use crate::membership::config::read_keys;
use crate::membership::is_name;
use crate::membership::keys::Keys;

/// What an operator writes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where frames come in.
    pub listen: SocketAddr,
    /// The instance's name; the gateway's own if absent.
    pub name: Option<String>,
    /// The disk of its seat, made by `molelug council found` or `seat`; without one it never votes.
    pub seat: Option<PathBuf>,
    /// Those that vote, or may come to, and where they are reached.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The duties, by name.
    #[serde(default)]
    pub duties: BTreeSet<String>,
    /// How long an owner may act after it asked.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// By how many parts in a million two clocks may run apart at most.
    #[serde(default = "default_drift")]
    pub drift_ppm: u32,
    /// A voter's tick: a leader speaks every 2, and is given up after 10 to 20.
    #[serde(default = "default_tick")]
    pub tick_ms: u64,
    /// Where this process records what it decided, for a checker; off if absent.
    pub history: Option<PathBuf>,
    /// Keys that all share, a line each, the one in use first.
    pub shared_keys: Option<PathBuf>,
    /// This instance's own private key.
    pub own_key: Option<PathBuf>,
    /// The public keys accepted for each name: TOML, `name = ["KEY", ...]`.
    pub accepted: Option<PathBuf>,
    /// Where it came from.
    #[serde(skip)]
    pub file: PathBuf,
}

fn default_lease() -> u64 {
    3_000
}

fn default_drift() -> u32 {
    1_000
}

fn default_tick() -> u64 {
    50
}

fn bad<T>(what: &'static str, value: impl std::fmt::Display) -> Result<T, ConfigError> {
    Err(ConfigError::Value(what, value.to_string()))
}

impl File {
    /// Reads a file; a relative path in it is taken from the file's folder.
    pub fn read(path: &Path) -> Result<File, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let parsed = toml::from_str(&text);
        let mut f: File =
            parsed.map_err(|e| ConfigError::Parse(path.into(), e.message().to_owned()))?;
        f.file = path.to_owned();
        let folder = path.parent().unwrap_or(Path::new(""));
        let files = [
            &mut f.seat,
            &mut f.history,
            &mut f.shared_keys,
            &mut f.own_key,
            &mut f.accepted,
        ];
        files
            .into_iter()
            .flatten()
            .for_each(|file| *file = folder.join(&*file));
        if let Some(name) = f.voters.keys().chain(&f.name).find(|n| !is_name(n)) {
            return bad("council.voters", name);
        }
        if f.voters.is_empty() {
            return bad("council.voters", "nobody");
        }
        if f.duties.len() > MAX_LEASES || f.duties.iter().any(|d| d.is_empty() || d.len() > 64) {
            return bad(
                "council.duties",
                "too many, or a name that is empty or longer than 64 bytes",
            );
        }
        // A lease is renewed thrice while it runs, and must outlive a change of leaders only to be of use, not to be safe.
        if !(5..=1_000).contains(&f.tick_ms)
            || !(100..=600_000).contains(&f.lease_ms)
            || f.drift_ppm > 100_000
        {
            return bad(
                "council",
                "tick_ms from 5 to 1000, lease_ms from 100 to 600000, drift_ppm up to 100000",
            );
        }
        Ok(f)
    }

    /// Reads the keys that it names, for this instance's name.
    pub fn keys(&self, name: &str) -> Result<Keys, ConfigError> {
        read_keys(
            "council",
            name,
            &self.shared_keys,
            &self.own_key,
            &self.accepted,
        )
    }
}

/// The place of a founding in its log, and its term.
const FIRST: u64 = 1;

/// Why a council cannot be founded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapError {
    /// Not 1 to 7 different names.
    Names,
    /// Who founds is not among them.
    NotAmongThem,
    /// The state to begin with has a generation that is not below the new one.
    Generation(u32),
}

impl std::fmt::Display for BootstrapError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BootstrapError::Names => {
                write!(
                    f,
                    "a council has 1 to {MAX_VOTERS} voters, each with a name of its own"
                )
            }
            BootstrapError::NotAmongThem => {
                f.write_str("the gateway itself is not among the voters")
            }
            BootstrapError::Generation(g) => {
                write!(
                    f,
                    "the disk is of generation {g}, which is not an earlier one"
                )
            }
        }
    }
}

impl std::error::Error for BootstrapError {}

/// What the disk of a founder holds: the same state at every founder, its own seat. `from` is what a survivor of an older
/// generation knows; its duties begin anew with terms above all that were granted.
pub fn bootstrap(
    generation: u32,
    me: &str,
    names: &[String],
    from: Option<&State>,
) -> Result<Record, BootstrapError> {
    let voters: BTreeMap<ReplicaId, Arc<str>> = names
        .iter()
        .map(|n| (bootstrap_voter(generation, n), n.as_str().into()))
        .collect();
    let sound = !names.is_empty() && names.iter().all(|n| is_name(n));
    if !sound || voters.len() != names.len() || names.len() > MAX_VOTERS {
        return Err(BootstrapError::Names);
    }
    if !names.iter().any(|n| n == me) {
        return Err(BootstrapError::NotAmongThem);
    }
    if let Some(old) = from.filter(|s| s.generation >= generation) {
        return Err(BootstrapError::Generation(old.generation));
    }
    let ledger = from.map_or_else(LeaseTable::default, |s| s.leases.rebootstrapped(generation));
    // As if one entry had been agreed: a seat that joins later has it not, and is sent the state.
    let (sets, tenants) = from.map_or_else(Default::default, |s| {
        (s.replica_sets.clone(), s.tenants.clone())
    });
    let state = State {
        generation,
        applied: FIRST,
        voters,
        leases: ledger,
        replica_sets: sets,
        tenants,
    };
    Ok(seat_of(bootstrap_voter(generation, me), &state))
}

/// What the disk of a seat holds that nobody has made a voter yet.
pub fn fresh(seat: ReplicaId) -> Record {
    seat_of(seat, &State::default())
}

fn seat_of(seat: ReplicaId, state: &State) -> Record {
    let seats: Vec<ReplicaId> = state.voters.keys().copied().collect();
    // A state always packs.
    let data = postcard::to_stdvec(state).unwrap_or_default();
    let at = state.applied;
    let head = Head {
        seat,
        voters: seats.clone(),
        hard: (at, 0, at),
        snapshot: (at, at, seats, data),
        ..Head::default()
    };
    Record {
        head: Some(head),
        ..Record::default()
    }
}

/// The state that a disk's snapshot and its agreed entries come to; for founding anew from it.
pub fn state_of(head: &Head, lines: &[LogLine]) -> Option<State> {
    let mut state = State::read(&head.snapshot.3).ok()?;
    for line in lines.iter().filter(|l| l.index <= head.hard.2) {
        let bytes = if line.voters {
            &line.context
        } else {
            &line.data
        };
        state.apply(
            line.index,
            &postcard::from_bytes(bytes).unwrap_or(super::state::Entry::Noop),
        );
    }
    Some(state)
}

/// A disk's content as the program holds it.
pub fn kept_of(record: &Record) -> PersistentState {
    let mut kept = PersistentState::default();
    kept.apply(record);
    kept
}
