//! Drives gossip: passes datagrams, outcomes of own attempts and the list of workers to [`Group`],
//! and its datagrams and health advice to the socket and the core. It decides nothing.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};

use super::{
    io, CloseReason, Gateway, GatewayDeadline, GatewayError, Generic, Interest, Micros, Mode,
    PostAction, Rc, SendProgress, SocketAddr, WorkerEntry, WorkerId, WorkerStatus,
};
use crate::config::ConfigError;
use crate::membership::config::Gossip;
use crate::membership::group::{Group, Input, Output, Settings};
use crate::membership::reputation::HealthAdvice;
use crate::membership::swim::Record;
use crate::membership::wire::MTU;

/// Datagrams read in one turn; the others stay in the socket's buffer, which drops datagrams once
/// it is full.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Minimum interval between two writes of the members' file.
const MEMBERS_WRITE_INTERVAL: Micros = 5_000_000;

/// The registration of the socket with the event loop.
struct SocketFd(Rc<UdpSocket>);

impl std::os::fd::AsFd for SocketFd {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// The driver of gossip; exists only while gossip is on.
#[derive(Debug)]
pub(super) struct GossipDriver {
    group: Group,
    socket: Rc<UdpSocket>,
    /// The configuration file, which a reload reads again.
    file: PathBuf,
    name: String,
    /// The file of the known members, if one is configured.
    state: Option<PathBuf>,
    readable: bool,
    /// When the scheduled deadline is due.
    scheduled_at: Option<Micros>,
    /// When the members' file is to be written.
    write_at: Option<Micros>,
}

impl GossipDriver {
    /// Whether datagrams wait to be read.
    pub(super) fn busy(&self) -> bool {
        self.readable
    }
}

/// A member in the file that the next start reads.
#[derive(serde::Deserialize, serde::Serialize)]
struct StoredMember {
    name: String,
    address: SocketAddr,
    incarnation: u64,
    seal: String,
}

fn read_members(path: &Path) -> Vec<Record> {
    use base64::prelude::{Engine, BASE64_STANDARD};
    // Without the file, members are found more slowly.
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let all: Vec<StoredMember> = serde_json::from_str(&text).unwrap_or_default();
    let record = |member: StoredMember| {
        let seal = BASE64_STANDARD.decode(member.seal).ok()?;
        Some(Record {
            name: member.name,
            address: member.address,
            incarnation: member.incarnation,
            leaving: false,
            seal,
        })
    };
    all.into_iter().filter_map(record).collect()
}

fn write_members(path: &Path, members: Vec<Record>) -> io::Result<()> {
    use base64::prelude::{Engine, BASE64_STANDARD};
    let stored = |record: Record| StoredMember {
        name: record.name,
        address: record.address,
        incarnation: record.incarnation,
        seal: BASE64_STANDARD.encode(record.seal),
    };
    let all: Vec<StoredMember> = members.into_iter().map(stored).collect();
    let text = serde_json::to_string(&all).map_err(io::Error::other)?;
    let fresh = path.with_extension("new");
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)
}

impl Gateway {
    /// Starts gossip. `ready` contains the workers that are ready.
    pub(super) fn set_up_gossip(
        &mut self,
        now: Micros,
        config: &Gossip,
        ready: BTreeSet<WorkerId>,
    ) -> Result<(), GatewayError> {
        let name = config
            .name
            .clone()
            .unwrap_or_else(|| self.config.name.clone());
        if !crate::membership::is_name(&name) {
            return Err(GatewayError::Operator(ConfigError::Value(
                "gossip.name",
                name,
            )));
        }
        let keys = config.keys(&name).map_err(GatewayError::Operator)?;
        let listen_error = |error| GatewayError::Listen(config.listen, error);
        let socket = UdpSocket::bind(config.listen).map_err(listen_error)?;
        socket.set_nonblocking(true).map_err(listen_error)?;
        let address = config
            .advertise
            .map_or_else(|| socket.local_addr(), Ok)
            .map_err(listen_error)?;
        let socket = Rc::new(socket);
        let source = Generic::new(SocketFd(socket.clone()), Interest::READ, Mode::Edge);
        let on_readable = |_, _: &mut _, gateway: &mut Gateway| {
            if let Some(driver) = &mut gateway.cluster.gossip {
                driver.readable = true;
            }
            Ok(PostAction::Continue)
        };
        self.handle
            .insert_source(source, on_readable)
            .map_err(|error| GatewayError::Loop(error.error))?;
        let settings = Settings {
            name: name.clone(),
            address,
            bytes_per_s: config.bytes_per_s,
            datagrams_per_s: config.datagrams_per_s,
            swim: crate::membership::swim::Settings::default(),
            bounds: crate::membership::reputation::Bounds::default(),
        };
        let mut group = Group::new(settings, keys, self.config.seed ^ now, now);
        group.handle(
            now,
            Input::KnownMembers(
                config.state.as_deref().map_or(Vec::new(), read_members),
                config.seeds.clone(),
            ),
        );
        group.handle(now, Input::Ready(ready));
        tracing::info!("gossip started as {name} on {address}");
        self.cluster.gossip = Some(GossipDriver {
            group,
            socket,
            file: config.file.clone(),
            name,
            state: config.state.clone(),
            readable: true,
            scheduled_at: None,
            write_at: None,
        });
        Ok(())
    }

    /// Updates the set of ready workers after the list of workers has changed, and passes the set
    /// to health checks and gossip.
    pub(super) fn update_ready_workers(
        &mut self,
        now: Micros,
        snapshot: bool,
        entries: &[WorkerEntry],
    ) {
        let Some(ready) = &mut self.cluster.ready_workers else {
            return;
        };
        if snapshot {
            ready.clear();
        }
        for entry in entries {
            if entry.status == WorkerStatus::Ready {
                ready.insert(entry.worker);
            } else {
                ready.remove(&entry.worker);
            }
        }
        let ready = ready.clone();
        self.set_health_check_workers(now, ready.clone());
        if let Some(driver) = &mut self.cluster.gossip {
            driver.group.handle(now, Input::Ready(ready));
        }
    }

    /// Passes a worker's health, as observed at the end of an attempt, to health checks and gossip.
    pub(super) fn observe_outcome(
        &mut self,
        now: Micros,
        worker: Option<WorkerId>,
        reason: CloseReason,
        progress: SendProgress,
    ) {
        let (Some(worker), Some(observed)) = (worker, reason.observation(progress)) else {
            return;
        };
        self.observe_for_health_checks(now, worker, observed);
        if let Some(driver) = &mut self.cluster.gossip {
            driver.group.handle(now, Input::Outcome(worker, observed));
        }
    }

    /// Reads datagrams, carries out the outputs and schedules the next deadline.
    pub(super) fn step_gossip(&mut self, now: Micros) {
        let Some(driver) = &mut self.cluster.gossip else {
            return;
        };
        if driver.readable {
            let mut bytes = [0; MTU + 1];
            driver.readable = false;
            for count in 0..=MAX_DATAGRAMS_PER_TURN {
                if count == MAX_DATAGRAMS_PER_TURN {
                    driver.readable = true;
                    break;
                }
                match driver.socket.recv_from(&mut bytes) {
                    Ok((size, from)) => driver
                        .group
                        .handle(now, Input::Datagram(from, &bytes[..size])),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // The error of an earlier send, which this read has cleared.
                    Err(_) => {}
                }
            }
        }
        while let Some(output) = driver.group.output() {
            match output {
                // A datagram that cannot be sent is dropped: gossip tolerates losses.
                Output::Datagram(to, bytes) => drop(driver.socket.send_to(&bytes, to)),
                Output::Advice(worker, HealthAdvice::Demote(until)) => {
                    self.core.update_peer_health(now, worker, Some(until))
                }
                Output::Advice(worker, HealthAdvice::AllowTrial) => {
                    self.core.update_peer_health(now, worker, None)
                }
                Output::Changed(name, state) => {
                    self.core.counters.gossip_alive = driver.group.alive() as u64;
                    tracing::info!(
                        peer = name,
                        standing = state.name(),
                        "gossip peer changed state"
                    );
                }
                Output::StoreMembers => {
                    driver.write_at.get_or_insert(now + MEMBERS_WRITE_INTERVAL);
                }
            }
        }
        let counters = &mut self.core.counters;
        (counters.gossip_bytes, counters.gossip_datagrams) =
            (driver.group.sent_bytes, driver.group.sent_datagrams);
        counters.gossip_rejected = driver.group.rejections().0.values().sum();
        let next = driver.group.next_deadline();
        let next = next.map(|at| driver.write_at.map_or(at, |write_at| at.min(write_at)));
        if next != driver.scheduled_at {
            if let Some(old) = driver.scheduled_at {
                self.core.unschedule(old, GatewayDeadline::Gossip.into());
            }
            driver.scheduled_at = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::Gossip.into());
            }
        }
    }

    /// Handles gossip's deadline.
    pub(super) fn tick_gossip(&mut self, now: Micros) {
        let Some(driver) = &mut self.cluster.gossip else {
            return;
        };
        driver.scheduled_at = None;
        driver.group.handle(now, Input::Tick);
        if driver.write_at.is_some_and(|at| at <= now) {
            driver.write_at = None;
            if let Some(path) = &driver.state {
                if let Err(error) = write_members(path, driver.group.members_to_store()) {
                    tracing::warn!(file = %path.display(), "gossip members cannot be written: {error}");
                }
            }
        }
    }

    /// Reads the seeds and keys again; if that fails, the previous ones stay in use.
    pub(super) fn reload_gossip(&mut self, now: Micros) {
        let Some(driver) = &mut self.cluster.gossip else {
            return;
        };
        match Gossip::read(&driver.file)
            .and_then(|config| Ok((config.keys(&driver.name)?, config.seeds)))
        {
            Ok((keys, seeds)) => {
                driver.group.handle(now, Input::Keys(keys));
                driver
                    .group
                    .handle(now, Input::KnownMembers(Vec::new(), seeds));
                tracing::info!("gossip seeds and keys reloaded");
            }
            Err(error) => tracing::error!("gossip reload failed: {error}"),
        }
    }

    /// Leaves the gossip group and tells the other members.
    pub(super) fn leave_gossip_group(&mut self, now: Micros) {
        if let Some(driver) = &mut self.cluster.gossip {
            driver.group.handle(now, Input::Leave);
            self.step_gossip(now);
        }
    }

    /// Describes the gossip group for operators; null while gossip is off.
    pub(super) fn gossip_view(&self, now: Micros) -> serde_json::Value {
        let Some(driver) = &self.cluster.gossip else {
            return serde_json::Value::Null;
        };
        let (rejected, withheld) = driver.group.rejections();
        let (rumours, observations) = driver.group.queue_sizes();
        serde_json::json!({ "name": driver.name, "peers": driver.group.peers(now), "refused": rejected,
            "withheld": withheld, "rumours": rumours, "sightings_held": observations,
            "sent_bytes": driver.group.sent_bytes, "sent_datagrams": driver.group.sent_datagrams })
    }
}

#[cfg(test)]
mod fixture_tests;
