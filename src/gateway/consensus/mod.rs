//! Drives consensus: frames from and to other gateways, records to the disk, and deadlines. It
//! decides nothing.
//!
//! Each gateway connects to those it has frames for; answers may also use a connection that the
//! other gateway has made. Time is the machine's uptime including sleep: otherwise a lease would
//! last longer at a holder that has slept than at its grantor.

mod disk;
mod effects;
mod eligibility;
mod outputs;
mod setup;
mod transport;
mod views;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

use rustix::time::{clock_gettime, ClockId};
use serde_json::json;

use super::{Gateway, GatewayDeadline};
use crate::api::Micros;
use crate::consensus::config;
use crate::consensus::participant::{HistoryEvent, Input, Participant};
use crate::consensus::wire::MAX_FRAME_BYTES;
use crate::membership::keys::Keys;
use crate::replication::replica_sets::ReplicaSets;
use crate::store::writer::Writer;
use effects::OwnEffects;
use eligibility::Eligibility;
use transport::PeerConnections;
pub(super) use transport::{Peer, PEER_SILENCE_TIMEOUT};

/// Bytes read from one gateway before they are handled.
pub(super) const READ_LIMIT_BYTES: usize = MAX_FRAME_BYTES + 4;
/// How often the disk or the address is tried again while another process uses it.
const RESOURCE_RETRY_INTERVAL: Micros = 500_000;

/// The driver of consensus; exists only while consensus is on.
#[derive(Debug)]
pub(super) struct ConsensusDriver {
    participant: Participant,
    file: config::ConsensusConfig,
    keys: Keys,
    peers: PeerConnections,
    /// The replica's disk, if there is one.
    writer: Option<Writer>,
    process: u64,
    history: Option<File>,
    /// When the scheduled deadline is due.
    scheduled_at: Option<Micros>,
    /// When the replica's disk and the address are tried again, if another process uses them.
    resource_retry_at: Option<Micros>,
    own_effects: OwnEffects,
    /// Counts of rejected frames by the reason.
    rejected_frames: BTreeMap<String, u64>,
    eligibility: Eligibility,
}

/// Microseconds since the machine started, including sleep.
pub(super) fn uptime() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

impl ConsensusDriver {
    /// The participant of this gateway.
    pub(super) fn participant(&self) -> &Participant {
        &self.participant
    }

    /// Whether connections wait to be accepted.
    pub(super) fn busy(&self) -> bool {
        self.peers.accept_pending
    }

    fn handle(&mut self, input: Input) {
        self.participant.handle(uptime(), input);
    }

    /// Appends an event to the history file.
    fn record(&mut self, event: &HistoryEvent) {
        let Some(file) = &mut self.history else {
            return;
        };
        let name = self.participant.name();
        let line = json!({ "at": uptime(), "name": name, "process": self.process, "note": event });
        // A single write is not interrupted by a kill. Only the separate checker needs the history,
        // so a failure does not stop the process.
        if let Err(error) = file.write_all(format!("{line}\n").as_bytes()) {
            tracing::warn!(%error, "consensus history stopped");
            self.history = None;
        }
    }
}

/// The identity of this gateway in the consensus group.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    /// The gateway's name.
    pub(super) name: Arc<str>,
    /// The process's number.
    pub(super) process: u64,
    /// The history file of consensus.
    pub(super) history: Option<PathBuf>,
}

impl Gateway {
    /// Handles the deadline of the driver; the outputs are handled at the end of the turn.
    pub(super) fn tick_consensus(&mut self) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        driver.scheduled_at = None;
        let now = uptime();
        driver.participant.handle(now, Input::Tick);
        if driver.resource_retry_at.is_some_and(|at| now >= at) {
            self.retry_resources(now);
        }
    }

    pub(super) fn handle_consensus(&mut self, input: Input) {
        if let Some(driver) = &mut self.cluster.consensus {
            driver.handle(input);
        }
    }

    /// Accepts other gateways and handles the outputs of the participant.
    pub(super) fn step_consensus(&mut self, now: Micros) {
        if self.cluster.consensus.is_none() {
            return;
        }
        self.accept_peers(now);
        self.update_eligibility();
        self.step_health_checks(now);
        self.step_load_coordination(now);
        while let Some(output) = self
            .cluster
            .consensus
            .as_mut()
            .and_then(|driver| driver.participant.output())
        {
            self.on_consensus_output(now, output);
            // An output may have given the lease holders' subsystems something to do.
            self.step_health_checks(now);
            self.step_load_coordination(now);
        }
        self.update_peer_connections(now);
        self.schedule_consensus(now);
    }

    /// Schedules the next deadline in the core's timers.
    fn schedule_consensus(&mut self, now: Micros) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let uptime = uptime();
        let due = driver
            .participant
            .next_deadline(uptime)
            .min(driver.resource_retry_at.unwrap_or(Micros::MAX));
        let next = now + due.saturating_sub(uptime);
        let keeps_current = driver
            .scheduled_at
            .is_some_and(|current| current <= next && current > now);
        if keeps_current {
            return;
        }
        if let Some(current) = driver.scheduled_at.replace(next) {
            self.core
                .unschedule(current, GatewayDeadline::Consensus.into());
        }
        self.core.schedule(next, GatewayDeadline::Consensus.into());
    }

    /// Returns this gateway's identity in the consensus group; `None` while consensus is off.
    pub(super) fn consensus_identity(&self) -> Option<Identity> {
        let driver = self.cluster.consensus.as_ref()?;
        Some(Identity {
            name: driver.participant.name().clone(),
            process: driver.process,
            history: driver.file.history.clone(),
        })
    }

    /// Returns the agreed shards and the disks that hold them, as far as known here.
    pub(super) fn agreed_replica_sets(&self) -> Option<ReplicaSets> {
        let driver = self.cluster.consensus.as_ref()?;
        Some(driver.participant.state().replica_sets.clone())
    }
}
