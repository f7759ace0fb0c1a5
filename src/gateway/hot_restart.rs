//! Drives the handover between processes of one gateway: its folder in `$TMPDIR`, its files, and the socket that
//! both hold. What the words mean is decided in `operations::hot_restart` and `operations::upkeep`.
//!
//! In the folder each process has `PID.lock`, locked while it lives, and `PID.word`, written beside and renamed. Both stay
//! at its end: what it was told last is heard by whoever lives or starts next, who then clears them away.

use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::path::PathBuf;
use std::time::SystemTime;

use super::*;
use crate::operations::hot_restart::{
    ProcessState, SiblingProcesses, SiblingState, MAX_STATE_BYTES, WRITE_INTERVAL,
};

/// How often the others' words are looked at: well within the grace that the rules give after a call.
const LOOK: Micros = 100_000;
/// A new process that has not heard from the notice board by then serves with the list that it was given.
const BOARD_PATIENCE: Micros = 1_500_000;

/// The handover, while the clients' socket is one that the platform holds.
#[derive(Debug)]
pub(super) struct Handover {
    /// The folder, and the lock of this process; none if there is no place for it.
    folder: Option<(PathBuf, File)>,
    pid: u32,
    others: SiblingProcesses,
    /// The word files read last, by process: when written and how long.
    read: BTreeMap<u32, (SystemTime, u64)>,
    written: (String, Micros),
    begun: Micros,
    /// Whether the board has answered since the start.
    board: bool,
}

impl Handover {
    pub(super) fn others(&self) -> &SiblingProcesses {
        &self.others
    }
}

fn begin(folder: PathBuf, pid: u32) -> io::Result<(PathBuf, File)> {
    fs::create_dir_all(&folder)?;
    // Locked before it gets its name: another process takes a file without a lock for a dead one's.
    let fresh = folder.join(format!("{pid}.fresh"));
    let file = File::create(&fresh)?;
    file.try_lock().map_err(io::Error::other)?;
    fs::rename(fresh, folder.join(format!("{pid}.lock")))?;
    Ok((folder, file))
}

impl Gateway {
    /// Begins the handover, before any list is taken over: bans that another process holds bind from the first
    /// moment.
    pub(super) fn begin_handover(&mut self, now: Micros) {
        let pid = std::process::id();
        let place = std::env::var_os("TMPDIR").filter(|t| !t.is_empty());
        let folder = match place.map(|t| begin(PathBuf::from(t).join("molelug-handover"), pid)) {
            Some(Ok(folder)) => Some(folder),
            Some(Err(e)) => {
                tracing::error!("nothing is handed over between processes: {e}");
                None
            }
            None => {
                tracing::error!("nothing is handed over between processes: TMPDIR is not set");
                None
            }
        };
        let handover = Handover {
            folder,
            pid,
            others: SiblingProcesses::default(),
            read: BTreeMap::new(),
            written: (String::new(), 0),
            begun: now,
            board: false,
        };
        self.ops.handover = Some(handover);
        self.look(now);
    }

    /// Looks at what the other processes tell, and again in a while.
    pub(super) fn look_at_others(&mut self, now: Micros) {
        self.look(now);
        self.check_start(now);
        self.write_word(now);
        self.core.hang(now + LOOK, HANDOVER);
    }

    pub(super) fn look(&mut self, now: Micros) {
        let Some(handover) = &mut self.ops.handover else {
            return;
        };
        let Some((folder, _)) = &handover.folder else {
            return;
        };
        let mut pids = BTreeSet::new();
        for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
            let name = entry.file_name();
            let pid = name
                .to_str()
                .and_then(|n| n.split_once('.'))
                .and_then(|(pid, _)| pid.parse::<u32>().ok());
            pids.extend(pid.filter(|pid| *pid != handover.pid));
        }
        let mut living = BTreeSet::new();
        let mut heard = Vec::new();
        let mut dead = Vec::new();
        for pid in pids {
            // A lock that cannot be had is held by a living process; no file, or one without a lock, is left
            // by one that has died, at whatever step.
            let lock = File::open(folder.join(format!("{pid}.lock")));
            let alive =
                lock.is_ok_and(|f| matches!(f.try_lock_shared(), Err(TryLockError::WouldBlock)));
            if alive {
                living.insert(pid);
            } else {
                dead.push(pid);
            }
            let path = folder.join(format!("{pid}.word"));
            let Ok(meta) = fs::metadata(&path) else {
                continue;
            };
            let modified = meta.modified().unwrap_or(SystemTime::UNIX_EPOCH);
            let mark = (modified, meta.len());
            if handover.read.get(&pid) == Some(&mark) {
                continue;
            }
            handover.read.insert(pid, mark);
            let age = SystemTime::now()
                .duration_since(modified)
                .map_or(0, |d| d.as_micros() as Micros);
            let bytes = if meta.len() > MAX_STATE_BYTES as u64 {
                Ok(Vec::new())
            } else {
                fs::read(&path)
            };
            let word = bytes.map(|b| SiblingState::decode(&b, &self.config.name, alive, age));
            match word {
                Ok(Ok(word)) => heard.push((pid, alive, word)),
                Ok(Err(e)) => tracing::error!(pid, "what another process left is passed over: {e}"),
                Err(e) => tracing::error!(pid, "what another process left cannot be read: {e}"),
            }
        }
        handover.read.retain(|pid, _| living.contains(pid));
        let changed = handover.others.retain_living(&living);
        let mut bans = Vec::new();
        for (pid, alive, word) in heard {
            word.known_workers
                .iter()
                .for_each(|name| self.ops.upkeep.remember(name));
            bans.extend(
                word.exclusions
                    .iter()
                    .map(|(name, (ban, at))| (name.clone(), *ban, *at)),
            );
            if alive {
                handover.others.update(pid, word);
            }
        }
        let processes = handover.others.process_count();
        let learnt = handover.others.bears() > self.core.bears() * 1e6;
        for (name, ban, at) in bans {
            if let Some(member) = self.ops.upkeep.merge(&name, ban, at, now) {
                tracing::info!(worker = name, out = ban, "upkeep, told by another process");
                self.tell_member(now, member);
            }
        }
        if changed {
            tracing::info!(processes, "processes of this gateway");
        }
        if changed || learnt {
            self.share_limits(now);
        }
        if !dead.is_empty() {
            // Its bans are in this process's own word before its files go.
            self.write_word(now);
            self.clear_away(&dead);
        }
    }

    fn clear_away(&self, dead: &[u32]) {
        let Some((folder, _)) = self.ops.handover.as_ref().and_then(|h| h.folder.as_ref()) else {
            return;
        };
        for (pid, kind) in dead
            .iter()
            .flat_map(|pid| ["fresh", "new", "word", "lock"].map(|k| (pid, k)))
        {
            // Most are not there.
            let _ = fs::remove_file(folder.join(format!("{pid}.{kind}")));
        }
    }

    /// Tells the others what has changed here, if anything has or the last word has become old.
    pub(super) fn write_word(&mut self, now: Micros) {
        let life = &self.ops.life;
        let state = match (life.is_shutting_down(), life.has_started()) {
            (true, _) => ProcessState::Stopping,
            (false, true) => ProcessState::Ready,
            (false, false) => ProcessState::Starting,
        };
        let Some(handover) = &mut self.ops.handover else {
            return;
        };
        let Some((folder, _)) = &handover.folder else {
            return;
        };
        let upkeep = &self.ops.upkeep;
        let word = SiblingState {
            gateway: self.config.name.clone(),
            state,
            list_revision: self.last_revision,
            observed_capacity: (self.core.bears() * 1e6).min(1e5),
            exclusions: upkeep.bans().clone(),
            known_workers: upkeep.seen().map(str::to_owned).collect(),
        };
        let text = word.encode();
        if text == handover.written.0 && now < handover.written.1 + WRITE_INTERVAL {
            return;
        }
        let (fresh, path) = (
            folder.join(format!("{}.new", handover.pid)),
            folder.join(format!("{}.word", handover.pid)),
        );
        match fs::write(&fresh, &text).and_then(|()| fs::rename(&fresh, &path)) {
            Ok(()) => handover.written = (text, now),
            Err(e) => tracing::error!("another process will not hear of this: {e}"),
        }
    }

    /// The board has answered.
    pub(super) fn heard_board(&mut self, now: Micros) {
        if let Some(handover) = self.ops.handover.as_mut().filter(|h| !h.board) {
            handover.board = true;
            self.check_start(now);
        }
    }

    /// A process that was handed its socket takes connections once it knows what the others know.
    pub(super) fn check_start(&mut self, now: Micros) {
        let Some(handover) = &self.ops.handover else {
            return;
        };
        if self.ops.life.has_started() {
            return;
        }
        let told = self.config.board.is_none() || handover.board;
        if told && self.last_revision >= handover.others.latest_list_revision()
            || now >= handover.begun + BOARD_PATIENCE
        {
            self.ops.life.start();
            self.accept = true;
            tracing::info!(rev = self.last_revision, "takes connections");
            self.write_word(now);
        }
    }

    /// Whether another process takes the connections once this one stops.
    pub(super) fn is_taken_over(&self) -> bool {
        self.ops
            .handover
            .as_ref()
            .is_some_and(|h| h.others.any_is_ready())
    }

    /// Processes that share one gateway's limits.
    pub(super) fn processes(&self) -> usize {
        self.ops
            .handover
            .as_ref()
            .map_or(1, |h| h.others.process_count())
    }
}
