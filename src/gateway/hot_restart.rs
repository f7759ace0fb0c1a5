//! Drives the hot restart between processes of one gateway: its folder in `$TMPDIR`, its files, and the socket that both
//! hold. What their states mean is decided in `operations::hot_restart` and `operations::overrides`.
//!
//! In the folder each process has `PID.lock`, locked while it lives, and `PID.word` with its state, written beside and
//! renamed. Both stay at its end: its last state is read by the process that lives or starts next, which removes them.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use super::startup::MICROS_PER_SECOND;
use super::{Gateway, GatewayDeadline};
use crate::api::Micros;
use crate::operations::hot_restart::{
    ProcessState, SiblingProcesses, SiblingState, MAX_STATE_BYTES, WRITE_INTERVAL,
};

/// How often the other processes' states are read: well within the grace that the rules give after a call.
const SIBLING_READ_INTERVAL: Micros = 100_000;
/// A new process that has not heard from service discovery by then serves with the list that it was given.
const DISCOVERY_START_TIMEOUT: Micros = 1_500_000;

/// The most that a worker is told to have served, in answers a second.
const MAX_TOLD_CAPACITY_PER_S: f64 = 1e5;

/// The hot restart, while the clients' socket is one that the platform holds.
#[derive(Debug)]
pub(super) struct HotRestartDriver {
    /// The folder, and the lock of this process; none if there is no place for it.
    folder: Option<(PathBuf, File)>,
    pid: u32,
    siblings: SiblingProcesses,
    /// The state files read last, by process: when each was written and how long it is.
    read: BTreeMap<u32, (SystemTime, u64)>,
    written: (String, Micros),
    started_at: Micros,
    /// Whether service discovery has answered since the start.
    discovery_answered: bool,
}

/// What the files of other processes hold.
#[derive(Debug, Default)]
struct SiblingReadings {
    living: BTreeSet<u32>,
    dead: Vec<u32>,
    /// The states that have changed since the last time.
    states: Vec<SiblingReading>,
}

/// The state of one other process.
#[derive(Debug)]
struct SiblingReading {
    pid: u32,
    alive: bool,
    state: SiblingState,
    /// How long ago it was written, by the time of the system.
    age: Micros,
}

impl HotRestartDriver {
    /// Reads the files of other processes; `None` if there is no folder for them.
    fn read_files(&mut self, gateway: &str) -> Option<SiblingReadings> {
        let (folder, _) = self.folder.as_ref()?;
        let folder = folder.clone();
        let mut readings = SiblingReadings::default();
        for pid in sibling_pids(&folder, self.pid) {
            let alive = is_locked(&folder.join(format!("{pid}.lock")));
            if alive {
                readings.living.insert(pid);
            } else {
                readings.dead.push(pid);
            }
            let path = folder.join(format!("{pid}.word"));
            match self.read_state(pid, &path, gateway, alive) {
                Ok(Some((state, age))) => readings.states.push(SiblingReading {
                    pid,
                    alive,
                    state,
                    age,
                }),
                Ok(None) => {}
                Err(error) => tracing::error!(pid, %error, "process state cannot be read"),
            }
        }
        self.read.retain(|pid, _| readings.living.contains(pid));
        Some(readings)
    }

    /// The state that another process has written and its age; `None` if there is none, or none since the last time.
    fn read_state(
        &mut self,
        pid: u32,
        path: &Path,
        gateway: &str,
        alive: bool,
    ) -> io::Result<Option<(SiblingState, Micros)>> {
        let Ok(metadata) = fs::metadata(path) else {
            return Ok(None);
        };
        let modified = metadata.modified().unwrap_or(SystemTime::UNIX_EPOCH);
        let version = (modified, metadata.len());
        if self.read.insert(pid, version) == Some(version) {
            return Ok(None);
        }
        let age = SystemTime::now()
            .duration_since(modified)
            .map_or(0, |age| age.as_micros() as Micros);
        let bytes = if metadata.len() > MAX_STATE_BYTES as u64 {
            Vec::new()
        } else {
            fs::read(path)?
        };
        match SiblingState::decode(&bytes, gateway, alive, age) {
            Ok(state) => Ok(Some((state, age))),
            Err(error) => Err(io::Error::other(error.to_string())),
        }
    }
    pub(super) fn siblings(&self) -> &SiblingProcesses {
        &self.siblings
    }
}

/// The other processes that have a file in the folder.
fn sibling_pids(folder: &Path, own: u32) -> BTreeSet<u32> {
    let mut pids = BTreeSet::new();
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let name = entry.file_name();
        let pid = name
            .to_str()
            .and_then(|name| name.split_once('.'))
            .and_then(|(pid, _)| pid.parse::<u32>().ok());
        pids.extend(pid.filter(|pid| *pid != own));
    }
    pids
}

/// Whether a living process holds a lock. A missing file, or one without a lock, is left by a process that has died, at
/// whatever step.
fn is_locked(path: &Path) -> bool {
    File::open(path)
        .is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

fn create_lock(folder: PathBuf, pid: u32) -> io::Result<(PathBuf, File)> {
    fs::create_dir_all(&folder)?;
    // Locked before it gets its name: another process takes a file without a lock for that of a dead process.
    let fresh = folder.join(format!("{pid}.fresh"));
    let file = File::create(&fresh)?;
    file.try_lock().map_err(io::Error::other)?;
    fs::rename(fresh, folder.join(format!("{pid}.lock")))?;
    Ok((folder, file))
}

impl Gateway {
    /// Begins the hot restart, before any list is taken over: the bans of another process apply from the first moment.
    pub(super) fn start_hot_restart(&mut self, now: Micros) {
        let pid = std::process::id();
        let place = std::env::var_os("TMPDIR").filter(|t| !t.is_empty());
        let folder =
            match place.map(|t| create_lock(PathBuf::from(t).join("molelug-handover"), pid)) {
                Some(Ok(folder)) => Some(folder),
                Some(Err(error)) => {
                    tracing::error!(%error, "hot restart has no folder");
                    None
                }
                None => {
                    tracing::error!(error = "TMPDIR is not set", "hot restart has no folder");
                    None
                }
            };
        let hot_restart = HotRestartDriver {
            folder,
            pid,
            siblings: SiblingProcesses::default(),
            read: BTreeMap::new(),
            written: (String::new(), 0),
            started_at: now,
            discovery_answered: false,
        };
        self.ops.hot_restart = Some(hot_restart);
        self.read_siblings(now);
    }

    /// Reads the other processes' states and writes the own, and again after [`SIBLING_READ_INTERVAL`].
    pub(super) fn step_hot_restart(&mut self, now: Micros) {
        self.read_siblings(now);
        self.check_start(now);
        self.write_state(now);
        self.core.schedule(
            now + SIBLING_READ_INTERVAL,
            GatewayDeadline::HotRestart.into(),
        );
    }

    /// Reads what the other processes have written since the last time, and applies it.
    pub(super) fn read_siblings(&mut self, now: Micros) {
        let Some(hot_restart) = &mut self.ops.hot_restart else {
            return;
        };
        let Some(readings) = hot_restart.read_files(&self.config.name) else {
            return;
        };
        let changed = hot_restart.siblings.retain_living(&readings.living);
        let mut bans = Vec::new();
        let mut evidence = Vec::new();
        for reading in readings.states {
            for name in &reading.state.known_workers {
                self.ops.overrides.remember(name);
            }
            bans.extend(
                reading
                    .state
                    .exclusions
                    .iter()
                    .map(|(name, (banned, at))| (name.clone(), *banned, *at)),
            );
            if reading.alive {
                evidence.push((reading.state.clone(), reading.age));
                hot_restart.siblings.update(reading.pid, reading.state);
            }
        }
        let processes = hot_restart.siblings.process_count();
        let own_capacity = self.core.observed_capacity() * MICROS_PER_SECOND;
        let capacity_learnt = hot_restart.siblings.observed_capacity() > own_capacity;
        for (name, banned, at) in bans {
            if let Some(worker) = self.ops.overrides.merge(&name, banned, at, now) {
                tracing::info!(worker = name, excluded = banned, "worker override received");
                self.announce_worker(now, worker);
            }
        }
        for (state, age) in evidence {
            self.import_evidence(now, &state, age);
        }
        if changed {
            tracing::info!(processes, "processes of this gateway changed");
        }
        if changed || capacity_learnt {
            self.update_client_limits(now);
        }
        if !readings.dead.is_empty() {
            // The dead processes' bans are in this process's own state before their files are removed.
            self.write_state(now);
            self.remove_files_of(&readings.dead);
        }
    }

    /// Takes over what a living process knows of workers, from a text that is so old.
    fn import_evidence(&mut self, now: Micros, state: &SiblingState, text_age: Micros) {
        for (name, age) in &state.evidence {
            let Some(worker) = self.discovery.endpoints.find(name) else {
                continue;
            };
            // It was written up to one interval after the ages were taken.
            let age = age + text_age + SIBLING_READ_INTERVAL;
            self.core.import_evidence(worker, now.saturating_sub(age));
        }
    }

    /// What this process knows of workers, for others; nothing while discovery tells them itself.
    fn evidence_for_siblings(&self, now: Micros) -> BTreeMap<String, Micros> {
        if !self.core.is_discovery_lost(now) {
            return BTreeMap::new();
        }
        let endpoints = &self.discovery.endpoints;
        self.core
            .served_evidence(now)
            .into_iter()
            .map(|(worker, at)| (endpoints.name_of(worker), now.saturating_sub(at)))
            .collect()
    }

    fn remove_files_of(&self, dead: &[u32]) {
        let Some((folder, _)) = self
            .ops
            .hot_restart
            .as_ref()
            .and_then(|h| h.folder.as_ref())
        else {
            return;
        };
        for (pid, kind) in dead
            .iter()
            .flat_map(|pid| ["fresh", "new", "word", "lock"].map(|k| (pid, k)))
        {
            // Most do not exist.
            let _ = fs::remove_file(folder.join(format!("{pid}.{kind}")));
        }
    }

    /// Writes this process's state for the others, if it has changed or was written long ago.
    pub(super) fn write_state(&mut self, now: Micros) {
        let evidence = self.evidence_for_siblings(now);
        let life = &self.ops.lifecycle;
        let state = match (life.is_shutting_down(), life.has_started()) {
            (true, _) => ProcessState::Stopping,
            (false, true) => ProcessState::Ready,
            (false, false) => ProcessState::Starting,
        };
        let Some(hot_restart) = &mut self.ops.hot_restart else {
            return;
        };
        let Some((folder, _)) = &hot_restart.folder else {
            return;
        };
        let upkeep = &self.ops.overrides;
        let word = SiblingState {
            gateway: self.config.name.clone(),
            state,
            list_revision: self.discovery.last_revision,
            observed_capacity: (self.core.observed_capacity() * MICROS_PER_SECOND)
                .min(MAX_TOLD_CAPACITY_PER_S),
            exclusions: upkeep.bans().clone(),
            known_workers: upkeep.seen().map(str::to_owned).collect(),
            evidence,
        };
        let text = word.encode();
        if text == hot_restart.written.0 && now < hot_restart.written.1 + WRITE_INTERVAL {
            return;
        }
        let (fresh, path) = (
            folder.join(format!("{}.new", hot_restart.pid)),
            folder.join(format!("{}.word", hot_restart.pid)),
        );
        match fs::write(&fresh, &text).and_then(|()| fs::rename(&fresh, &path)) {
            Ok(()) => hot_restart.written = (text, now),
            Err(error) => tracing::error!(%error, "process state cannot be written"),
        }
    }

    /// Service discovery has answered.
    pub(super) fn note_discovery_answer(&mut self, now: Micros) {
        if let Some(hot_restart) = self
            .ops
            .hot_restart
            .as_mut()
            .filter(|h| !h.discovery_answered)
        {
            hot_restart.discovery_answered = true;
            self.check_start(now);
        }
    }

    /// A process that inherited its socket accepts connections once it knows what the others know.
    pub(super) fn check_start(&mut self, now: Micros) {
        let Some(hot_restart) = &self.ops.hot_restart else {
            return;
        };
        if self.ops.lifecycle.has_started() {
            return;
        }
        let told = self.config.board.is_none() || hot_restart.discovery_answered;
        if told && self.discovery.last_revision >= hot_restart.siblings.latest_list_revision()
            || now >= hot_restart.started_at + DISCOVERY_START_TIMEOUT
        {
            self.ops.lifecycle.start();
            self.listeners.accept_pending = true;
            tracing::info!(
                revision = self.discovery.last_revision,
                "accepting connections"
            );
            self.write_state(now);
        }
    }

    /// Whether another process takes the connections once this one stops.
    pub(super) fn is_taken_over(&self) -> bool {
        self.ops
            .hot_restart
            .as_ref()
            .is_some_and(|h| h.siblings.any_is_ready())
    }

    /// Processes that share one gateway's limits.
    pub(super) fn process_count(&self) -> usize {
        self.ops
            .hot_restart
            .as_ref()
            .map_or(1, |h| h.siblings.process_count())
    }
}
