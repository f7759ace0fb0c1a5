//! Drives gossip: datagrams from and to the socket, own outcomes and the list of workers in, advice to the module. It
//! decides nothing.

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

/// Datagrams taken in one turn; the others wait in the socket, and then are lost, as datagrams may be.
const MOST_IN_TURN: usize = 64;
/// The list of members is written at most this often.
const KEEP_PAUSE: Micros = 5_000_000;

struct Udp(Rc<UdpSocket>);

impl std::os::fd::AsFd for Udp {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Gossip, while it is on.
#[derive(Debug)]
pub(super) struct GossipDriver {
    group: Group,
    socket: Rc<UdpSocket>,
    file: PathBuf,
    name: String,
    state: Option<PathBuf>,
    readable: bool,
    hung: Option<Micros>,
    keep_at: Option<Micros>,
}

impl GossipDriver {
    /// Whether datagrams wait to be read.
    pub(super) fn busy(&self) -> bool {
        self.readable
    }
}

/// A member as the file for the next start keeps it.
#[derive(serde::Deserialize, serde::Serialize)]
struct Kept {
    name: String,
    address: SocketAddr,
    incarnation: u64,
    seal: String,
}

fn read_members(path: &Path) -> Vec<Record> {
    use base64::prelude::{Engine, BASE64_STANDARD};
    // What cannot be read is only a slower start.
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let all: Vec<Kept> = serde_json::from_str(&text).unwrap_or_default();
    let record = |k: Kept| {
        let seal = BASE64_STANDARD.decode(k.seal).ok()?;
        Some(Record {
            name: k.name,
            address: k.address,
            incarnation: k.incarnation,
            leaving: false,
            seal,
        })
    };
    all.into_iter().filter_map(record).collect()
}

fn write_members(path: &Path, members: Vec<Record>) -> io::Result<()> {
    use base64::prelude::{Engine, BASE64_STANDARD};
    let kept = |r: Record| Kept {
        name: r.name,
        address: r.address,
        incarnation: r.incarnation,
        seal: BASE64_STANDARD.encode(r.seal),
    };
    let all: Vec<Kept> = members.into_iter().map(kept).collect();
    let text = serde_json::to_string(&all).map_err(io::Error::other)?;
    let fresh = path.with_extension("new");
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)
}

impl Gateway {
    /// Begins to talk. Called once the list of workers is known.
    pub(super) fn set_up_gossip(
        &mut self,
        now: Micros,
        g: &Gossip,
        ready: BTreeSet<WorkerId>,
    ) -> Result<(), GatewayError> {
        let name = g.name.clone().unwrap_or_else(|| self.config.name.clone());
        if !crate::membership::is_name(&name) {
            return Err(GatewayError::Operator(ConfigError::Value(
                "gossip.name",
                name,
            )));
        }
        let keys = g.keys(&name).map_err(GatewayError::Operator)?;
        let fail = |e| GatewayError::Listen(g.listen, e);
        let socket = UdpSocket::bind(g.listen).map_err(fail)?;
        socket.set_nonblocking(true).map_err(fail)?;
        let address = g
            .advertise
            .map_or_else(|| socket.local_addr(), Ok)
            .map_err(fail)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Udp(socket.clone()), Interest::READ, Mode::Edge);
        let note = |_, _: &mut _, node: &mut Gateway| {
            if let Some(talk) = &mut node.cluster.gossip {
                talk.readable = true;
            }
            Ok(PostAction::Continue)
        };
        self.handle
            .insert_source(source, note)
            .map_err(|e| GatewayError::Loop(e.error))?;
        let settings = Settings {
            name: name.clone(),
            address,
            bytes_per_s: g.bytes_per_s,
            datagrams_per_s: g.datagrams_per_s,
            swim: crate::membership::swim::Settings::default(),
            bounds: crate::membership::reputation::Bounds::default(),
        };
        let mut group = Group::new(settings, keys, self.config.seed ^ now, now);
        group.handle(
            now,
            Input::Known(
                g.state.as_deref().map_or(Vec::new(), read_members),
                g.seeds.clone(),
            ),
        );
        group.handle(now, Input::Ready(ready));
        tracing::info!("{name} talks on {address}");
        self.cluster.gossip = Some(GossipDriver {
            group,
            socket,
            file: g.file.clone(),
            name,
            state: g.state.clone(),
            readable: true,
            hung: None,
            keep_at: None,
        });
        Ok(())
    }

    /// The list of workers has changed.
    pub(super) fn tell_ready(&mut self, now: Micros, snapshot: bool, members: &[WorkerEntry]) {
        let Some(ready) = &mut self.cluster.ready else {
            return;
        };
        if snapshot {
            ready.clear();
        }
        for m in members {
            if m.status == WorkerStatus::Ready {
                ready.insert(m.worker);
            } else {
                ready.remove(&m.worker);
            }
        }
        let ready = ready.clone();
        self.set_health_check_workers(now, ready.clone());
        if let Some(talk) = &mut self.cluster.gossip {
            talk.group.handle(now, Input::Ready(ready));
        }
    }

    /// An own attempt at a worker has ended.
    pub(super) fn tell_outcome(
        &mut self,
        now: Micros,
        worker: Option<WorkerId>,
        ending: CloseReason,
        left: SendProgress,
    ) {
        let (Some(worker), Some(seen)) = (worker, ending.observation(left)) else {
            return;
        };
        self.observe_for_health_checks(now, worker, seen);
        if let Some(talk) = &mut self.cluster.gossip {
            talk.group.handle(now, Input::Outcome(worker, seen));
        }
    }

    /// Takes what came, and does what follows.
    pub(super) fn step_gossip(&mut self, now: Micros) {
        let Some(talk) = &mut self.cluster.gossip else {
            return;
        };
        if talk.readable {
            let mut bytes = [0; MTU + 1];
            talk.readable = false;
            for n in 0..=MOST_IN_TURN {
                if n == MOST_IN_TURN {
                    talk.readable = true;
                    break;
                }
                match talk.socket.recv_from(&mut bytes) {
                    Ok((size, from)) => talk
                        .group
                        .handle(now, Input::Datagram(from, &bytes[..size])),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    // Nothing more; or an error that a datagram of ours drew, which is cleared by having been read.
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
        }
        while let Some(output) = talk.group.output() {
            match output {
                // One that the machine has no room for is lost, as any may be.
                Output::Datagram(to, bytes) => drop(talk.socket.send_to(&bytes, to)),
                Output::Advice(worker, HealthAdvice::Down(until)) => {
                    self.core.update_peer_health(now, worker, Some(until))
                }
                Output::Advice(worker, HealthAdvice::Well) => {
                    self.core.update_peer_health(now, worker, None)
                }
                Output::Changed(name, standing) => {
                    self.core.counters.gossip_alive = talk.group.alive() as u64;
                    tracing::info!(
                        peer = name,
                        standing = standing.name(),
                        "a peer stands otherwise"
                    );
                }
                Output::Keep => {
                    talk.keep_at.get_or_insert(now + KEEP_PAUSE);
                }
            }
        }
        let counters = &mut self.core.counters;
        (counters.gossip_bytes, counters.gossip_datagrams) =
            (talk.group.sent_bytes, talk.group.sent_datagrams);
        counters.gossip_rejected = talk.group.refused().0.values().sum();
        let next = talk.group.next_deadline();
        let next = next.map(|t| talk.keep_at.map_or(t, |k| t.min(k)));
        if next != talk.hung {
            if let Some(old) = talk.hung {
                self.core.unschedule(old, GatewayDeadline::Gossip.into());
            }
            talk.hung = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::Gossip.into());
            }
        }
    }

    /// Gossip's deadline fell due.
    pub(super) fn tick_gossip(&mut self, now: Micros) {
        let Some(talk) = &mut self.cluster.gossip else {
            return;
        };
        talk.hung = None;
        talk.group.handle(now, Input::Tick);
        if talk.keep_at.is_some_and(|t| t <= now) {
            talk.keep_at = None;
            if let Some(path) = &talk.state {
                if let Err(e) = write_members(path, talk.group.keep()) {
                    tracing::warn!(file = %path.display(), "members are not kept: {e}");
                }
            }
        }
    }

    /// Reads seeds and keys anew; what cannot be used leaves those held.
    pub(super) fn reload_gossip(&mut self, now: Micros) {
        let Some(talk) = &mut self.cluster.gossip else {
            return;
        };
        match Gossip::read(&talk.file).and_then(|g| Ok((g.keys(&talk.name)?, g.seeds))) {
            Ok((keys, seeds)) => {
                talk.group.handle(now, Input::Keys(keys));
                talk.group.handle(now, Input::Known(Vec::new(), seeds));
                tracing::info!("seeds and keys of the group were read anew");
            }
            Err(e) => tracing::error!("seeds and keys of the group stay as they are: {e}"),
        }
    }

    /// Leaves the group in order.
    pub(super) fn leave_group(&mut self, now: Micros) {
        if let Some(talk) = &mut self.cluster.gossip {
            talk.group.handle(now, Input::Leave);
            self.step_gossip(now);
        }
    }

    /// What can be seen of the group.
    pub(super) fn peers(&self, now: Micros) -> serde_json::Value {
        let Some(talk) = &self.cluster.gossip else {
            return serde_json::Value::Null;
        };
        let (refused, withheld) = talk.group.refused();
        let (rumours, held) = talk.group.sizes();
        serde_json::json!({ "name": talk.name, "peers": talk.group.peers(now), "refused": refused,
            "withheld": withheld, "rumours": rumours, "sightings_held": held,
            "sent_bytes": talk.group.sent_bytes, "sent_datagrams": talk.group.sent_datagrams })
    }
}

#[cfg(test)]
mod fixture_tests;
