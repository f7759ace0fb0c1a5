//! Connections between gateways and the frames on them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use super::ConsensusDriver;
use crate::api::Micros;
use crate::completion::CloseReason;
use crate::consensus::participant::Input;
use crate::consensus::wire::{self, Body, Challenge, Session, MAX_FRAME_BYTES};
use crate::gateway::{ConnKey, Gateway, Role};
use crate::net;
use crate::replication;

/// A silent connection is closed after this time; voters send heartbeats, and learners poll.
pub(in crate::gateway) const PEER_SILENCE_TIMEOUT: Micros = 10_000_000;
/// Descriptors that have to be free for this gateway to hold leases; workers' connections are
/// refused at 24.
pub(super) const MIN_FREE_DESCRIPTORS: usize = 52;
/// Bytes that may be queued for one gateway; frames beyond it are dropped.
const MAX_QUEUED_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// Frames that wait for a connection to open.
const MAX_WAITING_FRAMES: usize = 64;
/// Accepted connections whose peer is not authenticated yet; beyond it the oldest is closed.
const MAX_UNIDENTIFIED: usize = 2048;
/// Connections accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// How long after an attempt to connect the next one may start.
const RECONNECT_INTERVAL: Micros = 100_000;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Micros = 1_000_000;

/// The far end of a connection between gateways.
#[derive(Debug)]
pub(in crate::gateway) struct Peer {
    session: Session,
    /// The gateway that this one connected to; `None` on an accepted connection.
    connected_to: Option<Arc<str>>,
    /// Frames that wait for the session to open.
    waiting: Vec<Body>,
}

impl Peer {
    fn new(session: Session, connected_to: Option<Arc<str>>) -> Peer {
        Peer {
            session,
            connected_to,
            waiting: Vec::new(),
        }
    }
}

/// All connections to other gateways.
#[derive(Debug)]
pub(super) struct PeerConnections {
    pub(super) addresses: BTreeMap<Arc<str>, SocketAddr>,
    /// `None` while the previous process still uses the address.
    pub(super) listener: Option<Rc<TcpListener>>,
    /// Whether connections may wait to be accepted.
    pub(super) accept_pending: bool,
    /// Connections that this gateway made.
    pub(super) outbound: BTreeMap<Arc<str>, ConnKey>,
    /// Connections that others made, the newest of each.
    inbound: BTreeMap<Arc<str>, ConnKey>,
    /// Accepted connections whose peer is not authenticated yet, the oldest first.
    unidentified: VecDeque<ConnKey>,
    /// When the next attempt to connect may start.
    reconnect_at: BTreeMap<Arc<str>, Micros>,
    /// The number of challenges used.
    challenges: u64,
}

impl PeerConnections {
    pub(super) fn new(
        addresses: BTreeMap<Arc<str>, SocketAddr>,
        listener: Option<Rc<TcpListener>>,
    ) -> PeerConnections {
        PeerConnections {
            addresses,
            listener,
            accept_pending: true,
            outbound: BTreeMap::new(),
            inbound: BTreeMap::new(),
            unidentified: VecDeque::new(),
            reconnect_at: BTreeMap::new(),
            challenges: 0,
        }
    }

    /// The connection for frames to a gateway.
    pub(super) fn connection(&self, to: &Arc<str>) -> Option<ConnKey> {
        self.outbound
            .get(to)
            .or_else(|| self.inbound.get(to))
            .copied()
    }
}

impl ConsensusDriver {
    fn next_challenge(&mut self) -> Challenge {
        self.peers.challenges += 1;
        let name = self.participant.name();
        wire::challenge(name, self.process, self.peers.challenges)
    }
}

impl Gateway {
    /// Connects to the gateways that the participant and replication need, and closes other
    /// connections.
    pub(super) fn update_peer_connections(&mut self, now: Micros) {
        let replication_peers = self.replication_peers();
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let mut wanted: BTreeSet<Arc<str>> = driver.participant.peers();
        wanted.extend(replication_peers);
        let peers = &mut driver.peers;
        peers.reconnect_at.retain(|_, at| *at > now);
        let unneeded: Vec<ConnKey> = peers
            .outbound
            .iter()
            .filter(|(name, _)| !wanted.contains(*name))
            .map(|(_, key)| *key)
            .collect();
        let missing: Vec<Arc<str>> = wanted
            .into_iter()
            .filter(|name| {
                !peers.outbound.contains_key(name) && !peers.reconnect_at.contains_key(name)
            })
            .collect();
        for key in unneeded {
            self.close(key, CloseReason::Idle);
        }
        for name in missing {
            self.connect_peer(now, &name);
        }
    }

    fn connect_peer(&mut self, now: Micros, name: &Arc<str>) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let Some(address) = driver.peers.addresses.get(name).copied() else {
            return;
        };
        let reconnect_at = now + RECONNECT_INTERVAL;
        driver.peers.reconnect_at.insert(name.clone(), reconnect_at);
        let challenge = driver.next_challenge();
        let session = Session::connector(driver.participant.name(), name, challenge);
        let peer = Peer::new(session, Some(name.clone()));
        // Requests have priority for descriptors.
        if self.connections.len() + MIN_FREE_DESCRIPTORS / 2 >= self.max_descriptors() {
            return;
        }
        let added = net::connect(address)
            .and_then(|stream| self.add_connection(stream, false, Role::Peer(peer)));
        match added {
            Ok(key) => {
                self.set_deadline(key, Some(now + CONNECT_TIMEOUT));
                if let Some(driver) = &mut self.cluster.consensus {
                    driver.peers.outbound.insert(name.clone(), key);
                }
            }
            Err(_) => self.on_peer_disconnected(name),
        }
    }

    fn on_peer_disconnected(&mut self, name: &Arc<str>) {
        self.handle_consensus(Input::Disconnected(name.clone()));
        let disconnected = replication::replicator::Input::Disconnected(name.clone());
        self.notify_replicator(disconnected);
    }

    pub(super) fn accept_peers(&mut self, now: Micros) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(driver) = &mut self.cluster.consensus else {
                return;
            };
            let peers = &mut driver.peers;
            if !peers.accept_pending {
                return;
            }
            let Some(listener) = &peers.listener else {
                peers.accept_pending = false;
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => self.add_accepted_peer(now, stream),
                Err(error) => match error.kind() {
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => {}
                    // No connection waits, or there are no descriptors; then a later turn accepts.
                    _ => {
                        peers.accept_pending = false;
                        return;
                    }
                },
            }
        }
    }

    fn add_accepted_peer(&mut self, now: Micros, stream: TcpStream) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let challenge = driver.next_challenge();
        let session = Session::acceptor(driver.participant.name(), challenge);
        let peer = Peer::new(session, None);
        let configured = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        let Ok(key) = configured.and_then(|()| self.add_connection(stream, true, Role::Peer(peer)))
        else {
            return;
        };
        self.set_deadline(key, Some(now + PEER_SILENCE_TIMEOUT));
        if let Some((conn, _)) = self.connections.get_mut(key) {
            conn.outbox.push(net::UNTAGGED_FRAME, challenge.to_vec());
        }
        self.dirty.push(key);
        self.add_unidentified(key);
    }

    /// Remembers a connection until its peer is authenticated; closes the oldest if there are too
    /// many.
    fn add_unidentified(&mut self, key: ConnKey) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let unidentified = &mut driver.peers.unidentified;
        unidentified.push_back(key);
        if unidentified.len() <= MAX_UNIDENTIFIED {
            return;
        }
        if let Some(oldest) = unidentified.front().copied() {
            self.close(oldest, CloseReason::LocalLimit);
        }
    }

    /// Handles the frames that have arrived on a connection.
    pub(in crate::gateway) fn on_peer(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Peer(peer))) = self.connections.get_mut(key) else {
                return;
            };
            let Some(driver) = &mut self.cluster.consensus else {
                return;
            };
            let taken = peer.session.read_frame(&driver.keys, conn.input.bytes());
            let (bytes, body) = match taken {
                Ok(Some(taken)) => taken,
                Ok(None) => return,
                Err(error) => {
                    *driver.rejected_frames.entry(error.to_string()).or_default() += 1;
                    tracing::debug!(%error, "consensus frame rejected");
                    return self.close(key, CloseReason::Malformed);
                }
            };
            conn.input.consume(bytes);
            let waiting = if peer.session.is_open() {
                std::mem::take(&mut peer.waiting)
            } else {
                Vec::new()
            };
            let name: Option<Arc<str>> = peer.session.peer().map(Into::into);
            let accepted = peer.connected_to.is_none();
            self.set_deadline(key, Some(now + PEER_SILENCE_TIMEOUT));
            let Some(name) = name else { continue };
            if accepted {
                self.identify_peer(key, &name);
            }
            for body in waiting {
                self.push_frame(key, &body, net::UNTAGGED_FRAME);
            }
            match body {
                Some(Body::Replication(body)) => self.receive_replication_message(name, body),
                Some(body) => self.handle_consensus(Input::Frame(name, body)),
                None => {}
            }
        }
    }

    /// Records the authenticated peer of an accepted connection, which replaces the peer's older
    /// one.
    fn identify_peer(&mut self, key: ConnKey, name: &Arc<str>) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let peers = &mut driver.peers;
        if peers.inbound.get(name) == Some(&key) {
            return;
        }
        peers
            .unidentified
            .retain(|unidentified| *unidentified != key);
        let Some(previous) = peers.inbound.insert(name.clone(), key) else {
            return;
        };
        self.close(previous, CloseReason::Idle);
        if let Some(driver) = &mut self.cluster.consensus {
            driver.peers.inbound.insert(name.clone(), key);
        }
    }

    /// Handles the end of a connection between gateways.
    pub(in crate::gateway) fn peer_closed(&mut self, now: Micros, key: ConnKey, peer: &Peer) {
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let peers = &mut driver.peers;
        peers
            .unidentified
            .retain(|unidentified| *unidentified != key);
        peers.inbound.retain(|_, inbound| *inbound != key);
        let Some(name) = &peer.connected_to else {
            return;
        };
        peers.outbound.retain(|_, outbound| *outbound != key);
        let reconnect_at = now + RECONNECT_INTERVAL;
        peers.reconnect_at.insert(name.clone(), reconnect_at);
        self.on_peer_disconnected(name);
    }

    /// Seals a frame and queues its bytes; dropped if too many are queued.
    pub(super) fn push_frame(&mut self, key: ConnKey, body: &Body, tag: u64) {
        let Some((conn, Role::Peer(peer))) = self.connections.get_mut(key) else {
            return;
        };
        let Some(driver) = &self.cluster.consensus else {
            return;
        };
        if conn.outbox.len() > MAX_QUEUED_BYTES {
            return;
        }
        if let Some(bytes) = peer.session.seal_frame(&driver.keys, body) {
            conn.outbox.push(tag, bytes);
            self.dirty.push(key);
        }
    }

    /// Whether a connection leads to a gateway and its session is open.
    pub(super) fn is_open_peer(&self, key: ConnKey) -> bool {
        match self.connections.get(key) {
            Some((_, Role::Peer(peer))) => peer.session.is_open(),
            _ => false,
        }
    }

    /// Adds the addresses of gateways that are not configured voters.
    pub(in crate::gateway) fn add_peer_addresses(
        &mut self,
        addresses: impl Iterator<Item = (Arc<str>, SocketAddr)>,
    ) {
        if let Some(driver) = &mut self.cluster.consensus {
            for (name, address) in addresses {
                driver.peers.addresses.entry(name).or_insert(address);
            }
        }
    }

    /// Sends a frame, or keeps it until the connection opens. The frame may be dropped.
    pub(in crate::gateway) fn send_frame(&mut self, now: Micros, to: &Arc<str>, body: Body) {
        let Some(driver) = &self.cluster.consensus else {
            return;
        };
        let may_connect = !driver.peers.reconnect_at.contains_key(to);
        if driver.peers.connection(to).is_none() && may_connect {
            self.connect_peer(now, to);
        }
        let Some(key) = self
            .cluster
            .consensus
            .as_ref()
            .and_then(|driver| driver.peers.connection(to))
        else {
            return;
        };
        let Some((_, Role::Peer(peer))) = self.connections.get_mut(key) else {
            return;
        };
        if peer.session.is_open() {
            return self.push_frame(key, &body, net::UNTAGGED_FRAME);
        }
        if peer.waiting.len() < MAX_WAITING_FRAMES {
            peer.waiting.push(body);
        }
    }
}
