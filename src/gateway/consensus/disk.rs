//! The disk of the replica: opened when no other process uses it, written by its own thread.

use std::io;
use std::path::Path;

use calloop::{channel, LoopHandle};

use super::{ConsensusDriver, RESOURCE_RETRY_INTERVAL};
use crate::api::Micros;
use crate::config::ConfigError;
use crate::consensus::participant::Input;
use crate::consensus::persistent_state::{DamagedState, PersistentState};
use crate::gateway::{Gateway, GatewayError};
use crate::store::disk::Disk;
use crate::store::error::StoreError;
use crate::store::writer::Writer;

/// Why the replica's disk cannot be used.
#[derive(Debug, thiserror::Error)]
enum ReplicaDiskError {
    /// There is no disk. An operator has to create it: a lost disk must not be replaced
    /// automatically by that of a bootstrap voter.
    #[error("there is none; 'molelug council found' or 'molelug council seat' makes one")]
    Missing,
    /// The disk cannot be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The thread that writes to the disk cannot be started.
    #[error(transparent)]
    Thread(#[from] io::Error),
    /// The log on the disk is incomplete; make a new replica.
    #[error(transparent)]
    Damaged(#[from] DamagedState),
}

impl ReplicaDiskError {
    fn into_gateway_error(self, path: &Path) -> GatewayError {
        let message = format!("the seat's disk: {self}");
        GatewayError::Operator(ConfigError::Parse(path.to_owned(), message))
    }
}

/// An opened disk; empty if there is none or another process uses it.
#[derive(Debug, Default)]
pub(super) struct OpenedDisk {
    /// What the disk holds.
    pub(super) persistent: Option<PersistentState>,
    /// The thread that writes to the disk.
    pub(super) writer: Option<Writer>,
    /// Whether another process uses the disk.
    pub(super) in_use: bool,
}

/// Opens the disk of the replica.
pub(super) fn open_replica_disk(
    path: &Path,
    handle: &LoopHandle<'static, Gateway>,
) -> Result<OpenedDisk, GatewayError> {
    let fail = |error: ReplicaDiskError| error.into_gateway_error(path);
    let Some((disk, persistent)) = read_replica_disk(path).map_err(fail)? else {
        return Ok(OpenedDisk {
            in_use: true,
            ..OpenedDisk::default()
        });
    };
    let (sender, receiver) = channel::channel();
    let on_reply = |event, _: &mut (), gateway: &mut Gateway| {
        if let channel::Event::Msg((number, reply)) = event {
            gateway.on_record_written(number, &reply);
        }
    };
    handle
        .insert_source(receiver, on_reply)
        .map_err(|error| GatewayError::Loop(error.error))?;
    let reopen_path = path.to_owned();
    let reopen = move || Disk::reopen(&reopen_path, 0);
    let reply = move |number, result: Result<_, StoreError>| {
        // Sending fails only at the end of the process, when the event loop is gone.
        let _ = sender.send((number, result.map(|_| ())));
    };
    let writer = Writer::start(disk, Box::new(reopen), Box::new(reply))
        .map_err(|error| fail(error.into()))?;
    Ok(OpenedDisk {
        persistent: Some(persistent),
        writer: Some(writer),
        in_use: false,
    })
}

/// Reads the disk; `None` if another process uses it.
fn read_replica_disk(path: &Path) -> Result<Option<(Disk, PersistentState)>, ReplicaDiskError> {
    if !path.exists() {
        return Err(ReplicaDiskError::Missing);
    }
    let (disk, stored) = match Disk::open(path, 0, 0) {
        Err(StoreError::Locked) => return Ok(None),
        opened => opened?,
    };
    let (metadata, log) = stored.log;
    let persistent = PersistentState::from_disk(metadata, log)?;
    Ok(Some((disk, persistent)))
}

impl ConsensusDriver {
    /// Schedules another attempt, as another process uses the disk or the address.
    fn schedule_resource_retry(&mut self, now: Micros) {
        self.resource_retry_at = Some(now + RESOURCE_RETRY_INTERVAL);
    }
}

impl Gateway {
    fn on_record_written(&mut self, number: u64, reply: &Result<(), StoreError>) {
        match reply {
            Ok(()) => self.handle_consensus(Input::Persisted(number)),
            Err(error) => tracing::error!(%error, "consensus record not written"),
        }
    }

    /// Tries to use the address and the disk again, as the previous process may have released them.
    pub(super) fn retry_resources(&mut self, now: Micros) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        driver.resource_retry_at = None;
        self.retry_listener(now);
        self.retry_disk(now);
    }

    fn retry_listener(&mut self, now: Micros) {
        let Some(driver) = &self.cluster.consensus else {
            return;
        };
        if driver.peers.listener.is_some() {
            return;
        }
        let listener = self.listen_for_peers(driver.file.listen).ok().flatten();
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        if listener.is_some() {
            driver.peers.listener = listener;
            driver.peers.accept_pending = true;
        } else {
            driver.schedule_resource_retry(now);
        }
    }

    fn retry_disk(&mut self, now: Micros) {
        let Some(driver) = &self.cluster.consensus else {
            return;
        };
        let Some(path) = driver.file.replica_disk.clone() else {
            return;
        };
        if driver.writer.is_some() || driver.participant.voter_error().is_some() {
            return;
        }
        let opened = open_replica_disk(&path, &self.handle);
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        match opened {
            Ok(disk) if disk.in_use => driver.schedule_resource_retry(now),
            Ok(disk) => {
                driver.writer = disk.writer;
                if let Some(persistent) = disk.persistent {
                    driver.participant.begin_voting(now, persistent);
                }
            }
            Err(error) => tracing::error!(%error, "replica does not vote"),
        }
    }
}
