//! Drives the hot restart between processes of one gateway, which share the listening socket and a
//! folder in `$TMPDIR`. The processes' states are interpreted in `operations::hot_restart` and
//! `operations::overrides`.
//!
//! In the folder each process has `PID.lock`, which is locked while the process lives, and
//! `PID.word` with its state, which is replaced by a rename. Both files stay when the process ends:
//! a process that lives then or starts next reads the last state and removes them.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use super::call_identities::CallIdentities;
use super::startup::MICROS_PER_SECOND;
use super::{Gateway, GatewayDeadline};
use crate::api::Micros;
use crate::operations::hot_restart::{
    ProcessState, SiblingProcesses, SiblingState, MAX_STATE_BYTES, WRITE_INTERVAL,
};

/// How often the other processes' states are read: well within the grace that the rules give after
/// a call.
const SIBLING_READ_INTERVAL: Micros = 100_000;
/// A new process that service discovery has not answered within this time serves with the
/// configured list of workers.
const DISCOVERY_START_TIMEOUT: Micros = 1_500_000;

/// Maximum capacity reported to other processes, in answers per second of a worker.
const MAX_REPORTED_CAPACITY_PER_S: f64 = 1e5;

/// The driver of hot restarts; exists only while the platform's listening socket is inherited.
#[derive(Debug)]
pub(super) struct HotRestartDriver {
    /// The folder and the lock of this process; `None` if the folder cannot be used.
    folder: Option<(PathBuf, File)>,
    pid: u32,
    siblings: SiblingProcesses,
    /// The modification time and length of the state file read last, by process.
    last_read: BTreeMap<u32, (SystemTime, u64)>,
    /// The state written last, and when.
    last_written: (String, Micros),
    /// What the last written state was made from, while it holds no evidence.
    last_written_from: Option<StateVersion>,
    started_at: Micros,
    /// Whether service discovery has answered since the start.
    discovery_answered: bool,
}

/// What a process's state is made from, if it holds no evidence: equal versions give equal states.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StateVersion {
    state: ProcessState,
    list_revision: u64,
    observed_capacity: f64,
    overrides: u64,
}

/// The contents of the other processes' files.
#[derive(Debug, Default)]
struct SiblingReadings {
    living: BTreeSet<u32>,
    dead: Vec<u32>,
    /// The states that have changed since the previous reading.
    states: Vec<SiblingReading>,
}

/// The state of one other process.
#[derive(Debug)]
struct SiblingReading {
    pid: u32,
    alive: bool,
    state: SiblingState,
    /// The time since the state was written, by the system clock.
    age: Micros,
}

impl HotRestartDriver {
    /// Reads the files of other processes; `None` if there is no folder.
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
        self.last_read
            .retain(|pid, _| readings.living.contains(pid));
        Some(readings)
    }

    /// Returns the state that another process has written, and its age; `None` if there is no state
    /// or it has not changed since the previous reading.
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
        if self.last_read.insert(pid, version) == Some(version) {
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

/// Returns the other processes that have a file in the folder.
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

/// Whether a living process holds a lock. If the file is missing or not locked, its process has
/// ended.
fn is_locked(path: &Path) -> bool {
    File::open(path)
        .is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Creates the folder and the locked lock file of a process.
fn create_lock(folder: PathBuf, pid: u32) -> io::Result<(PathBuf, File)> {
    fs::create_dir_all(&folder)?;
    // The file is locked before it gets its name, as an unlocked file counts as that of a dead
    // process.
    let new_path = folder.join(format!("{pid}.fresh"));
    let file = File::create(&new_path)?;
    file.try_lock().map_err(io::Error::other)?;
    fs::rename(new_path, folder.join(format!("{pid}.lock")))?;
    Ok((folder, file))
}

impl Gateway {
    /// Starts the hot restart, before any list of workers is applied, so that the exclusions of
    /// other processes apply from the start.
    pub(super) fn start_hot_restart(&mut self, now: Micros) {
        let pid = std::process::id();
        let temp_dir = std::env::var_os("TMPDIR").filter(|t| !t.is_empty());
        let folder =
            match temp_dir.map(|t| create_lock(PathBuf::from(t).join("molelug-handover"), pid)) {
                Some(Ok(folder)) => Some(folder),
                Some(Err(error)) => {
                    tracing::error!(%error, "hot restart folder cannot be used");
                    None
                }
                None => {
                    tracing::error!(
                        error = "TMPDIR is not set",
                        "hot restart folder cannot be used"
                    );
                    None
                }
            };
        let hot_restart = HotRestartDriver {
            folder,
            pid,
            siblings: SiblingProcesses::default(),
            last_read: BTreeMap::new(),
            last_written: (String::new(), 0),
            last_written_from: None,
            started_at: now,
            discovery_answered: false,
        };
        self.share_identities(
            now,
            hot_restart.folder.as_ref().map(|(path, _)| path.as_path()),
        );
        self.ops.hot_restart = Some(hot_restart);
        self.read_siblings(now);
    }

    /// Shares the identities of calls that must not run twice with the other processes.
    fn share_identities(&mut self, now: Micros, folder: Option<&Path>) {
        let Some(folder) = folder else {
            return;
        };
        match CallIdentities::shared(folder, self.config.limits.memory_bytes(), now) {
            Ok(identities) => self.identities = identities,
            Err(error) => tracing::error!(%error, "file of call identities cannot be used"),
        }
    }

    /// Reads the other processes' states, writes this process's state, and schedules the next step.
    pub(super) fn step_hot_restart(&mut self, now: Micros) {
        self.read_siblings(now);
        self.check_start(now);
        self.write_state(now);
        self.core.schedule(
            now + SIBLING_READ_INTERVAL,
            GatewayDeadline::HotRestart.into(),
        );
    }

    /// Reads and applies the states that other processes have changed since the previous reading.
    pub(super) fn read_siblings(&mut self, now: Micros) {
        let Some(hot_restart) = &mut self.ops.hot_restart else {
            return;
        };
        let Some(readings) = hot_restart.read_files(&self.config.name) else {
            return;
        };
        let changed = hot_restart.siblings.retain_living(&readings.living);
        let mut exclusions = Vec::new();
        let mut evidence = Vec::new();
        for reading in readings.states {
            for name in &reading.state.known_workers {
                self.ops.overrides.remember(name);
            }
            exclusions.extend(
                reading
                    .state
                    .exclusions
                    .iter()
                    .map(|(name, (excluded, at))| (name.clone(), *excluded, *at)),
            );
            if reading.alive {
                evidence.push((reading.state.clone(), reading.age));
                hot_restart.siblings.update(reading.pid, reading.state);
            }
        }
        let processes = hot_restart.siblings.process_count();
        let own_capacity = self.core.observed_capacity() * MICROS_PER_SECOND;
        let capacity_increased = hot_restart.siblings.observed_capacity() > own_capacity;
        for (name, excluded, at) in exclusions {
            if let Some(worker) = self.ops.overrides.merge(&name, excluded, at, now) {
                tracing::info!(worker = name, excluded, "worker override received");
                self.announce_worker(now, worker);
            }
        }
        for (state, age) in evidence {
            self.import_evidence(now, &state, age);
        }
        if changed {
            tracing::info!(processes, "processes of this gateway changed");
        }
        if changed || capacity_increased {
            self.update_client_limits(now);
        }
        if !readings.dead.is_empty() {
            // This process's state includes the dead processes' exclusions before their files are
            // removed.
            self.write_state(now);
            self.remove_files_of(&readings.dead);
        }
    }

    /// Imports a living process's evidence about workers, from a state file of the given age.
    fn import_evidence(&mut self, now: Micros, state: &SiblingState, file_age: Micros) {
        for (name, age) in &state.evidence {
            let Some(worker) = self.discovery.endpoints.find(name) else {
                continue;
            };
            // The file was written up to one interval after the ages were computed.
            let age = age + file_age + SIBLING_READ_INTERVAL;
            self.core.import_evidence(worker, now.saturating_sub(age));
        }
    }

    /// Returns this process's evidence about workers for other processes; empty unless discovery is
    /// lost, as otherwise they learn of workers from discovery.
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
            // Most of these files do not exist.
            let _ = fs::remove_file(folder.join(format!("{pid}.{kind}")));
        }
    }

    /// Writes this process's state for other processes, if the state has changed or the last write
    /// is at least [`WRITE_INTERVAL`] ago.
    pub(super) fn write_state(&mut self, now: Micros) {
        let evidence = self.evidence_for_siblings(now);
        let lifecycle = &self.ops.lifecycle;
        let state = match (lifecycle.is_shutting_down(), lifecycle.has_started()) {
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
        let overrides = &self.ops.overrides;
        let observed_capacity =
            (self.core.observed_capacity() * MICROS_PER_SECOND).min(MAX_REPORTED_CAPACITY_PER_S);
        let version = evidence.is_empty().then_some(StateVersion {
            state,
            list_revision: self.discovery.last_revision,
            observed_capacity,
            overrides: overrides.version(),
        });
        let is_recent = now < hot_restart.last_written.1 + WRITE_INTERVAL;
        // Without a change the state is not even encoded: it holds many names.
        if is_recent && version.is_some() && version == hot_restart.last_written_from {
            return;
        }
        let own_state = SiblingState {
            gateway: self.config.name.clone(),
            state,
            list_revision: self.discovery.last_revision,
            observed_capacity,
            exclusions: overrides.bans().clone(),
            known_workers: overrides.seen().map(str::to_owned).collect(),
            evidence,
        };
        let text = own_state.encode();
        if text == hot_restart.last_written.0 && is_recent {
            hot_restart.last_written_from = version;
            return;
        }
        let (new_path, path) = (
            folder.join(format!("{}.new", hot_restart.pid)),
            folder.join(format!("{}.word", hot_restart.pid)),
        );
        match fs::write(&new_path, &text).and_then(|()| fs::rename(&new_path, &path)) {
            Ok(()) => {
                hot_restart.last_written = (text, now);
                hot_restart.last_written_from = version;
            }
            Err(error) => tracing::error!(%error, "process state cannot be written"),
        }
    }

    /// Notes that service discovery has answered.
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

    /// Lets a process that inherited its socket accept connections once its list of workers is as
    /// recent as that of the other processes, or after [`DISCOVERY_START_TIMEOUT`].
    pub(super) fn check_start(&mut self, now: Micros) {
        let Some(hot_restart) = &self.ops.hot_restart else {
            return;
        };
        if self.ops.lifecycle.has_started() {
            return;
        }
        let discovery_known =
            self.config.discovery_address.is_none() || hot_restart.discovery_answered;
        if discovery_known
            && !self.discovery.is_busy()
            && self.discovery.last_revision >= hot_restart.siblings.latest_list_revision()
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

    /// Whether another process accepts connections once this one stops.
    pub(super) fn is_taken_over(&self) -> bool {
        self.ops
            .hot_restart
            .as_ref()
            .is_some_and(|h| h.siblings.any_is_ready())
    }

    /// Returns the number of processes that share the gateway's limits.
    pub(super) fn process_count(&self) -> usize {
        self.ops
            .hot_restart
            .as_ref()
            .map_or(1, |h| h.siblings.process_count())
    }
}
