//! Starts consensus and reloads its file.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::disk::{open_replica_disk, OpenedDisk};
use super::effects::OwnEffects;
use super::eligibility::Eligibility;
use super::transport::PeerConnections;
use super::{uptime, ConsensusDriver, RESOURCE_RETRY_INTERVAL};
use crate::api::{Micros, WorkerId};
use crate::config::ConfigError;
use crate::consensus::participant::{DisabledGuards, Participant, Settings};
use crate::consensus::{config, replica_id_from_hash, voter};
use crate::gateway::{Gateway, GatewayError};
use crate::lease::{self, LeaseName};
use crate::load_coordination::LoadCoordinator;
use crate::{health_checks, membership};

/// Returns a number that identifies this process among all processes of the fleet.
fn unique_process(name: &str) -> u64 {
    let unix_nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_nanos() as u64);
    let parts = [
        name.as_bytes(),
        &unix_nanos.to_le_bytes(),
        &uptime().to_le_bytes(),
        &std::process::id().to_le_bytes(),
    ];
    replica_id_from_hash(&blake3::derive_key("molelug process 1", &parts.concat()))
}

/// Returns the guards that the testbed disables; a release build disables none.
fn disabled_guards() -> DisabledGuards {
    let mut guards = DisabledGuards::default();
    if cfg!(debug_assertions) {
        match std::env::var("MOLELUG_WITHOUT").as_deref() {
            Ok("terms") => guards.term_check = true,
            Ok("lease") => guards.lease_check = true,
            Ok("queue") => guards.queue_check = true,
            Ok("pre-vote") => guards.voter.pre_vote = true,
            Ok("probation") => guards.voter.state_check = true,
            Ok("kept") => guards.voter.persistence = true,
            _ => {}
        }
    }
    guards
}

fn participant_settings(
    file: &config::ConsensusConfig,
    name: &str,
    process: u64,
    seed: u64,
) -> Settings {
    Settings {
        name: name.into(),
        process,
        contacts: file
            .voters
            .keys()
            .map(|name| name.as_str().into())
            .collect(),
        leases: lease_names(file),
        lease: lease::Settings {
            duration: file.lease_ms * 1_000,
            drift_ppm: file.drift_ppm,
        },
        voter: voter::Settings {
            tick: file.tick_ms * 1_000,
        },
        seed: seed ^ process,
        disabled_guards: disabled_guards(),
    }
}

/// The configured leases.
pub(super) fn lease_names(file: &config::ConsensusConfig) -> BTreeSet<LeaseName> {
    file.leases
        .iter()
        .map(|lease| lease.as_str().into())
        .collect()
}

/// The addresses of the configured voters.
fn voter_addresses(file: &config::ConsensusConfig) -> BTreeMap<Arc<str>, SocketAddr> {
    file.voters
        .iter()
        .map(|(name, address)| (name.as_str().into(), *address))
        .collect()
}

fn open_history(file: &config::ConsensusConfig) -> Result<Option<File>, GatewayError> {
    file.history
        .as_ref()
        .map(|path| File::options().create(true).append(true).open(path))
        .transpose()
        .map_err(|error| GatewayError::Listen(file.listen, error))
}

impl Gateway {
    /// Listens for other gateways. Returns `None` while another process, usually the previous
    /// process of this gateway, uses the address.
    pub(super) fn listen_for_peers(
        &self,
        address: SocketAddr,
    ) -> Result<Option<Rc<TcpListener>>, GatewayError> {
        let on_connection = |gateway: &mut Gateway| {
            if let Some(driver) = &mut gateway.cluster.consensus {
                driver.peers.accept_pending = true;
            }
        };
        match self.bind_listener(address, on_connection) {
            Ok((socket, _)) => {
                tracing::info!(%address, "consensus listener started");
                Ok(Some(socket))
            }
            Err(GatewayError::Listen(_, error)) if error.kind() == io::ErrorKind::AddrInUse => {
                tracing::warn!(%address, "consensus address is in use, will be retried");
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Opens the replica's disk, if there is one. A disk that cannot be used is logged, and the
    /// gateway learns without it.
    fn open_configured_disk(&self, file: &config::ConsensusConfig) -> OpenedDisk {
        let Some(path) = &file.replica_disk else {
            return OpenedDisk::default();
        };
        open_replica_disk(path, &self.handle).unwrap_or_else(|error| {
            tracing::error!(%error, "replica does not vote");
            OpenedDisk::default()
        })
    }

    /// Starts consensus and the subsystems under leases. `ready` contains the workers that
    /// are ready.
    ///
    /// # Errors
    ///
    /// [`GatewayError`] if the file's values cannot be used or the address cannot be bound.
    pub(in crate::gateway) fn set_up_consensus(
        &mut self,
        now: Micros,
        file: &config::ConsensusConfig,
        ready: BTreeSet<WorkerId>,
    ) -> Result<(), GatewayError> {
        let name = file
            .name
            .clone()
            .unwrap_or_else(|| self.config.name.clone());
        if !membership::is_name(&name) {
            let error = ConfigError::Value("council.name", name);
            return Err(GatewayError::Operator(error));
        }
        let keys = file.keys(&name).map_err(GatewayError::Operator)?;
        let listener = self.listen_for_peers(file.listen)?;
        let disk = self.open_configured_disk(file);
        let must_retry = disk.in_use || listener.is_none();
        let process = unique_process(&name);
        let settings = participant_settings(file, &name, process, self.config.seed);
        let participant = Participant::new(settings, disk.persistent, uptime());
        self.cluster.consensus = Some(ConsensusDriver {
            participant,
            file: file.clone(),
            keys,
            peers: PeerConnections::new(voter_addresses(file), listener),
            writer: disk.writer,
            process,
            history: open_history(file)?,
            scheduled_at: None,
            resource_retry_at: must_retry.then(|| uptime() + RESOURCE_RETRY_INTERVAL),
            own_effects: OwnEffects::default(),
            rejected_frames: BTreeMap::new(),
            eligibility: Eligibility::default(),
        });
        self.set_up_lease_subsystems(now, file, &name, ready);
        self.step_consensus(now);
        Ok(())
    }

    /// Starts the subsystems that work under leases, if their leases are configured.
    fn set_up_lease_subsystems(
        &mut self,
        now: Micros,
        file: &config::ConsensusConfig,
        name: &str,
        ready: BTreeSet<WorkerId>,
    ) {
        if file.leases.contains(health_checks::LEASE_NAME) {
            self.set_up_health_checks(now, ready);
        }
        if let Some(coordinator) = LoadCoordinator::new(name.into(), &lease_names(file)) {
            self.set_up_load_coordination(now, coordinator);
        }
        self.update_known_load_holders(now);
    }

    /// Reads the voters' addresses and the keys again; if that fails, the previous ones stay in
    /// use.
    pub(in crate::gateway) fn reload_consensus(&mut self) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let name = driver.participant.name().to_string();
        let reloaded = config::ConsensusConfig::read(&driver.file.path)
            .and_then(|file| Ok((file.keys(&name)?, file)));
        match reloaded {
            Ok((keys, file)) => {
                driver.keys = keys;
                driver.peers.addresses = voter_addresses(&file);
                tracing::info!("consensus addresses and keys reloaded");
            }
            Err(error) => tracing::error!(%error, "consensus reload failed"),
        }
    }
}
