//! Drives the council: frames from and to other gateways, records to the disk, deadlines. It decides nothing.
//!
//! Each gateway connects to whom it has something to say; answers may also go on a connection that the other has made.
//! The time is the machine's since it started, asleep or not: a lease must not outlive a sleep that its grantor did not have.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

use calloop::channel;
use serde_json::json;

use super::*;
use crate::config::ConfigError;
use crate::consensus::config;
use crate::consensus::kept::PersistentState;
use crate::consensus::machine;
use crate::consensus::member::{
    DisabledGuards, HistoryEvent, Input, Output, Participant, Settings,
};
use crate::consensus::wire::{self, Body, LeaseEffect, Session, MAX_FRAME_BYTES};
use crate::lease::{LeaseName, Term};
use crate::membership::keys::Keys;
use crate::store::disk::Disk;
use crate::store::records::{Op, StoreError};
use crate::store::writer::Writer;

/// Bytes read from one gateway before they are looked at.
pub(super) const READ_LIMIT: usize = MAX_FRAME_BYTES + 4;
/// A connection between gateways on which nothing comes for so long is closed. Voters speak all the time, and followers ask.
pub(super) const SILENT: Micros = 10_000_000;
/// Bytes that may wait for one gateway; what comes beyond gets lost, as it may.
const MOST_WAITING: usize = 2 * MAX_FRAME_BYTES;
/// Frames that wait for a connection to open.
const MOST_QUEUED: usize = 64;
/// Connections that other gateways have made, at once; beyond it the longest silent one yields.
const MOST_INBOUND: usize = 2048;
/// Connections accepted in one turn.
const MOST_IN_TURN: usize = 64;
/// Descriptors left below which this gateway does no duties: workers' connections are refused at 24.
const FEW_SOCKETS: usize = 52;
/// How long after a connection failed the next is tried.
const AGAIN: Micros = 100_000;
/// How long after the seat's disk was held by another process it is looked at again.
const HELD_AGAIN: Micros = 500_000;

/// The far end of a connection between gateways.
#[derive(Debug)]
pub(super) struct Peer {
    session: Session,
    /// Whom this one connected to; none if the other did.
    to: Option<Arc<str>>,
    queued: Vec<Body>,
}

/// The council, while it is on.
#[derive(Debug)]
pub(super) struct ConsensusDriver {
    member: Participant,
    file: config::File,
    keys: Keys,
    book: BTreeMap<Arc<str>, SocketAddr>,
    /// None while the process before this one still has the address.
    socket: Option<Rc<TcpListener>>,
    accept: bool,
    out: BTreeMap<Arc<str>, ConnKey>,
    inbound: BTreeMap<Arc<str>, ConnKey>,
    strangers: VecDeque<ConnKey>,
    again: BTreeMap<Arc<str>, Micros>,
    writer: Option<Writer>,
    words: u64,
    process: u64,
    history: Option<File>,
    hung: Option<Micros>,
    /// When the disk of the seat and the address are tried again, if another process held them.
    seat_again: Option<Micros>,
    /// Effects of one's own whose bytes may still wait: by the tag of their frames.
    waits: HashMap<u64, LeaseEffect>,
    tags: u64,
    refused: BTreeMap<String, u64>,
    /// Whether its duties find that they can be done here; whether the process is to end.
    able: bool,
    leaves: bool,
    /// Whether there are descriptors to spare; what the member was told last of all three.
    room: bool,
    told_able: bool,
}

/// Microseconds since the machine started, those asleep counted.
pub(super) fn uptime() -> Micros {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as Micros * 1_000_000 + t.tv_nsec as Micros / 1_000
}

fn distinct(name: &str) -> u64 {
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos() as u64);
    let parts = [
        name.as_bytes(),
        &unix.to_le_bytes(),
        &uptime().to_le_bytes(),
        &std::process::id().to_le_bytes(),
    ];
    let hash = blake3::derive_key("molelug process 1", &parts.concat());
    hash.first_chunk::<8>()
        .map_or(1, |b| u64::from_le_bytes(*b).max(1))
}

/// The guards that this build can take out, for the lab's runs; a build for use has none to take out.
fn guards() -> DisabledGuards {
    let mut guards = DisabledGuards::default();
    if cfg!(debug_assertions) {
        match std::env::var("MOLELUG_WITHOUT").as_deref() {
            Ok("terms") => guards.terms = true,
            Ok("lease") => guards.lease = true,
            Ok("queue") => guards.queue = true,
            Ok("pre-vote") => guards.voter.pre_vote = true,
            Ok("probation") => guards.voter.probation = true,
            Ok("kept") => guards.voter.kept = true,
            _ => {}
        }
    }
    guards
}

impl ConsensusDriver {
    /// This gateway's part.
    pub(super) fn member(&self) -> &Participant {
        &self.member
    }

    /// Whether others wait to be accepted.
    pub(super) fn busy(&self) -> bool {
        self.accept
    }

    fn record(&mut self, note: &HistoryEvent) {
        let Some(file) = &mut self.history else {
            return;
        };
        let line = json!({ "at": uptime(), "name": self.member.name(), "process": self.process, "note": note });
        // In one write, which a kill does not cut. A history that cannot be written is a worse check and no reason to stop.
        if let Err(e) = file.write_all(format!("{line}\n").as_bytes()) {
            tracing::warn!("the history is not written any more: {e}");
            self.history = None;
        }
    }

    fn connection(&self, to: &Arc<str>) -> Option<ConnKey> {
        self.out.get(to).or_else(|| self.inbound.get(to)).copied()
    }
}

/// Opens a seat's disk; none if another process has it.
fn open_seat(
    path: &std::path::Path,
    handle: &LoopHandle<'static, Gateway>,
) -> Result<Option<(PersistentState, Writer)>, GatewayError> {
    let fail = |e: &dyn fmt::Display| {
        GatewayError::Operator(ConfigError::Parse(
            path.to_owned(),
            format!("the seat's disk: {e}"),
        ))
    };
    if !path.exists() {
        // Never made here: a disk that was lost must not come back as a founder's by itself.
        return Err(fail(
            &"there is none; 'molelug council found' or 'molelug council seat' makes one",
        ));
    }
    let (disk, found) = match Disk::open(path, 0, 0) {
        Err(StoreError::Held) => return Ok(None),
        other => other.map_err(|e| fail(&e))?,
    };
    let kept = PersistentState::found(found.log.0, found.log.1).map_err(|e| fail(&e))?;
    let (tell, told) = channel::channel();
    let note = |event, _: &mut (), node: &mut Gateway| {
        if let channel::Event::Msg((number, reply)) = event {
            node.record_kept(number, &reply);
        }
    };
    handle
        .insert_source(told, note)
        .map_err(|e| GatewayError::Loop(e.error))?;
    let again = path.to_owned();
    let opener = move || Disk::reopen(&again, 0);
    let answered = move |number, reply: Result<_, StoreError>| {
        // The loop is gone only at the end of the process.
        let _ = tell.send((number, reply.map(|_| ())));
    };
    let writer = Writer::start(disk, Box::new(opener), Box::new(answered)).map_err(|e| fail(&e))?;
    Ok(Some((kept, writer)))
}

impl Gateway {
    /// Listens for other gateways; none while another process, the one before this, has the address.
    fn listen_for_peers(
        &self,
        address: SocketAddr,
    ) -> Result<Option<Rc<TcpListener>>, GatewayError> {
        let note = |node: &mut Gateway| {
            if let Some(hall) = &mut node.cluster.consensus {
                hall.accept = true;
            }
        };
        match self.bind_listener(address, note) {
            Ok((socket, _)) => {
                tracing::info!("meets the council on {address}");
                Ok(Some(socket))
            }
            Err(GatewayError::Listen(_, e)) if e.kind() == io::ErrorKind::AddrInUse => {
                tracing::warn!("{address} is in use; tried again until it is free");
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }

    /// Begins to take part. A seat's disk that cannot be used is told, and the gateway follows without it.
    pub(super) fn set_up_council(
        &mut self,
        now: Micros,
        f: &config::File,
        ready: BTreeSet<WorkerId>,
    ) -> Result<(), GatewayError> {
        let name = f.name.clone().unwrap_or_else(|| self.config.name.clone());
        if !crate::membership::is_name(&name) {
            return Err(GatewayError::Operator(ConfigError::Value(
                "council.name",
                name,
            )));
        }
        let keys = f.keys(&name).map_err(GatewayError::Operator)?;
        let socket = self.listen_for_peers(f.listen)?;
        let open = |path: &PathBuf| open_seat(path, &self.handle);
        let (seat, seat_again) = match f.seat.as_ref().map(open) {
            None => (None, None),
            Some(Ok(Some(seat))) => (Some(seat), None),
            Some(Ok(None)) => (None, Some(uptime() + HELD_AGAIN)),
            Some(Err(e)) => {
                tracing::error!("this gateway does not vote: {e}");
                (None, None)
            }
        };
        let seat_again = seat_again.or(socket.is_none().then(|| uptime() + HELD_AGAIN));
        let (kept, writer) = seat.map_or((None, None), |(kept, writer)| (Some(kept), Some(writer)));
        let process = distinct(&name);
        let member = Participant::new(
            member_settings(f, &name, process, self.config.seed),
            kept,
            uptime(),
        );
        let history = f
            .history
            .as_ref()
            .map(|p| File::options().create(true).append(true).open(p))
            .transpose();
        let history = history.map_err(|e| GatewayError::Listen(f.listen, e))?;
        let book = f
            .voters
            .iter()
            .map(|(n, a)| (n.as_str().into(), *a))
            .collect();
        self.cluster.consensus = Some(ConsensusDriver {
            member,
            file: f.clone(),
            keys,
            book,
            socket,
            accept: true,
            out: BTreeMap::new(),
            inbound: BTreeMap::new(),
            strangers: VecDeque::new(),
            again: BTreeMap::new(),
            writer,
            words: 0,
            process,
            history,
            hung: None,
            seat_again,
            waits: HashMap::new(),
            tags: 0,
            refused: BTreeMap::new(),
            able: true,
            leaves: false,
            room: true,
            told_able: true,
        });
        if f.duties.contains(crate::health_checks::NAME) {
            self.set_up_trials(now, ready);
        }
        let duties: BTreeSet<LeaseName> = f.duties.iter().map(|d| d.as_str().into()).collect();
        if let Some(loads) = crate::load_coordination::Loads::new(name.as_str().into(), &duties) {
            self.set_up_loads(now, loads);
        }
        self.know_loads(now);
        self.step_council(now);
        Ok(())
    }

    fn record_kept(&mut self, number: u64, reply: &Result<(), StoreError>) {
        if let Err(e) = reply {
            return tracing::error!("a record of the council is not kept: {e}");
        }
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.member.handle(uptime(), Input::Persisted(number));
    }

    /// The deadline fell due; what follows is done at the turn's end.
    pub(super) fn tick_council(&mut self) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.hung = None;
        let now = uptime();
        hall.member.handle(now, Input::Tick);
        if hall.seat_again.is_some_and(|t| now >= t) {
            self.try_seat(now);
        }
    }

    /// The process before this one may have let go of the address and of the seat's disk: then this one votes.
    fn try_seat(&mut self, now: Micros) {
        let Some(hall) = &self.cluster.consensus else {
            return;
        };
        let (listens, address) = (hall.socket.is_some(), hall.file.listen);
        let wanted = hall
            .file
            .seat
            .clone()
            .filter(|_| hall.writer.is_none() && hall.member.voter_error().is_none());
        let socket = if listens {
            None
        } else {
            self.listen_for_peers(address).ok().flatten()
        };
        let seat = wanted.map(|path| open_seat(&path, &self.handle));
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.seat_again = None;
        match socket {
            Some(socket) => (hall.socket, hall.accept) = (Some(socket), true),
            None if !listens => hall.seat_again = Some(now + HELD_AGAIN),
            None => {}
        }
        match seat {
            Some(Ok(Some((kept, writer)))) => {
                hall.writer = Some(writer);
                hall.member.begin_voting(now, kept);
            }
            Some(Ok(None)) => hall.seat_again = Some(now + HELD_AGAIN),
            Some(Err(e)) => tracing::error!("this gateway does not vote: {e}"),
            None => {}
        }
    }

    pub(super) fn tell_member_of_council(&mut self, input: Input) {
        if let Some(hall) = &mut self.cluster.consensus {
            hall.member.handle(uptime(), input);
        }
    }

    /// Whether the duties can be done here, as they find themselves.
    pub(super) fn set_able(&mut self, able: bool) {
        if let Some(hall) = &mut self.cluster.consensus {
            hall.able = able;
        }
        self.look_at_able();
    }

    /// One that has hardly a descriptor left, that finds itself cut off, or that is to end, leaves duties to others.
    fn look_at_able(&mut self) {
        let left = self
            .max_descriptors()
            .saturating_sub(self.connections.len());
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.room = if hall.room {
            left >= FEW_SOCKETS
        } else {
            left >= FEW_SOCKETS + FEW_SOCKETS / 4
        };
        let able = hall.able && hall.room && !hall.leaves;
        if std::mem::replace(&mut hall.told_able, able) != able {
            tracing::warn!(
                able,
                room = hall.room,
                leaves = hall.leaves,
                "whether this gateway does duties has changed"
            );
            self.tell_member_of_council(Input::SetEligible(able));
        }
    }

    /// Accepts other gateways, and does what the member has to have done.
    pub(super) fn step_council(&mut self, now: Micros) {
        if self.cluster.consensus.is_none() {
            return;
        }
        self.accept_peers(now);
        self.look_at_able();
        self.step_trials(now);
        self.step_loads(now);
        while let Some(output) = self
            .cluster
            .consensus
            .as_mut()
            .and_then(|h| h.member.output())
        {
            self.carry_out(now, output);
            // What was learned may have moved a duty to something.
            self.step_trials(now);
            self.step_loads(now);
        }
        self.meet(now);
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        let up = uptime();
        let due = hall
            .member
            .next_deadline(up)
            .min(hall.seat_again.unwrap_or(Micros::MAX));
        let next = Some(now + due.saturating_sub(up));
        if hall.hung.is_none_or(|old| Some(old) > next || old <= now) {
            if let Some(old) = hall.hung.take() {
                self.core.unschedule(old, GatewayDeadline::Consensus.into());
            }
            hall.hung = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::Consensus.into());
            }
        }
    }

    /// What the log says of the shards here.
    fn know_loads(&mut self, now: Micros) {
        let Some(hall) = &self.cluster.consensus else {
            return;
        };
        let ledger = &hall.member.state().leases;
        let of = |d: &String| {
            let duty: LeaseName = d.as_str().into();
            let owned = ledger.record(&duty).holder.is_some();
            (duty, owned)
        };
        let all: Vec<(LeaseName, bool)> = hall.file.duties.iter().map(of).collect();
        all.into_iter()
            .for_each(|(duty, owned)| self.loads_known(now, &duty, owned));
    }

    fn carry_out(&mut self, now: Micros, output: Output) {
        match output {
            Output::Send(to, body) => self.say(now, &to, body),
            Output::SendOwn(to, effect) => self.say_own(&to, effect),
            Output::Persist(number, record) => {
                if let Some(writer) = self
                    .cluster
                    .consensus
                    .as_ref()
                    .and_then(|h| h.writer.as_ref())
                {
                    writer.ask(number, Op::Log(record));
                }
            }
            Output::LeaseBegan(duty, term) => {
                tracing::info!(duty = &*duty, term, "this gateway owns a duty");
                self.trials_owned(now, &duty, true);
                self.loads_owned(now, &duty, true);
            }
            Output::LeaseEnded(duty, term) => {
                tracing::info!(duty = &*duty, term, "this gateway owns a duty no more");
                self.take_back(&duty, term);
                self.trials_owned(now, &duty, false);
                self.loads_owned(now, &duty, false);
            }
            Output::EffectReceived(effect) => {
                self.trials_told(now, &effect.lease, &effect.content);
                self.loads_told(now, &effect.lease, &effect.content);
            }
            Output::ReportReceived(duty, from, content) => {
                self.trials_heard(now, &duty, &content);
                self.loads_heard(now, &duty, &from, &content);
            }
            Output::SubsystemChanged => {
                self.copies_agreed();
                self.tenants_agreed(now);
            }
            Output::Record(note) => {
                match &note {
                    HistoryEvent::Agreed { duty, owner, .. } => {
                        self.loads_known(now, duty, owner.is_some())
                    }
                    HistoryEvent::Restored { .. } => self.know_loads(now),
                    _ => {}
                }
                if let Some(hall) = &mut self.cluster.consensus {
                    hall.record(&note);
                }
            }
        }
    }

    /// Connections to those whom the member wants to speak with.
    fn meet(&mut self, now: Micros) {
        let copies = self.copies_peers();
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        let mut wanted: BTreeSet<Arc<str>> = hall.member.peers();
        wanted.extend(copies);
        let over: Vec<ConnKey> = hall
            .out
            .iter()
            .filter(|(n, _)| !wanted.contains(*n))
            .map(|(_, k)| *k)
            .collect();
        hall.again.retain(|_, t| *t > now);
        let missing: Vec<Arc<str>> = wanted
            .into_iter()
            .filter(|n| !hall.out.contains_key(n) && !hall.again.contains_key(n))
            .collect();
        over.into_iter()
            .for_each(|key| self.close(key, CloseReason::Idle));
        for name in missing {
            self.connect_peer(now, &name);
        }
    }

    fn connect_peer(&mut self, now: Micros, name: &Arc<str>) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        let Some(address) = hall.book.get(name).copied() else {
            return;
        };
        hall.again.insert(name.clone(), now + AGAIN);
        hall.words += 1;
        let word = wire::challenge(hall.member.name(), hall.process, hall.words);
        let session = Session::connector(hall.member.name(), name, word);
        let peer = Peer {
            session,
            to: Some(name.clone()),
            queued: Vec::new(),
        };
        // Descriptors are the calls' first.
        if self.connections.len() + FEW_SOCKETS / 2 >= self.max_descriptors() {
            return;
        }
        let added =
            net::connect(address).and_then(|s| self.add_connection(s, false, Role::Peer(peer)));
        match added {
            Ok(key) => {
                self.set_deadline(key, Some(now + 1_000_000));
                if let Some(hall) = &mut self.cluster.consensus {
                    hall.out.insert(name.clone(), key);
                }
            }
            Err(_) => self.lost_peer(name),
        }
    }

    fn lost_peer(&mut self, name: &Arc<str>) {
        if let Some(hall) = &mut self.cluster.consensus {
            hall.member
                .handle(uptime(), Input::Disconnected(name.clone()));
        }
        self.tell_copies(crate::replication::machine::Input::Disconnected(
            name.clone(),
        ));
    }

    fn accept_peers(&mut self, now: Micros) {
        for _ in 0..MOST_IN_TURN {
            let Some(hall) = self.cluster.consensus.as_mut().filter(|h| h.accept) else {
                return;
            };
            let Some(socket) = &hall.socket else {
                hall.accept = false;
                return;
            };
            match socket.accept() {
                Ok((stream, _)) => self.add_peer(now, stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => hall.accept = false,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    // Out of descriptors: those who wait are accepted at a later turn.
                    hall.accept = false;
                    return;
                }
            }
        }
    }

    fn add_peer(&mut self, now: Micros, stream: std::net::TcpStream) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.words += 1;
        let word = wire::challenge(hall.member.name(), hall.process, hall.words);
        let peer = Peer {
            session: Session::acceptor(hall.member.name(), word),
            to: None,
            queued: Vec::new(),
        };
        let ready = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        let Ok(key) = ready.and_then(|()| self.add_connection(stream, true, Role::Peer(peer)))
        else {
            return;
        };
        self.set_deadline(key, Some(now + SILENT));
        if let Some((conn, _)) = self.connections.get_mut(key) {
            conn.outbox.push(net::UNTAGGED_FRAME, word.to_vec());
        }
        self.dirty.push(key);
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.strangers.push_back(key);
        let oldest = hall
            .strangers
            .front()
            .copied()
            .filter(|_| hall.strangers.len() > MOST_INBOUND);
        if let Some(oldest) = oldest {
            self.close(oldest, CloseReason::LocalLimit);
        }
    }

    /// Takes what has come from another gateway.
    pub(super) fn on_peer(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Peer(peer))) = self.connections.get_mut(key) else {
                return;
            };
            let Some(hall) = &mut self.cluster.consensus else {
                return;
            };
            let taken = peer.session.take(&hall.keys, conn.input.bytes());
            let (size, body) = match taken {
                Ok(Some(taken)) => taken,
                Ok(None) => return,
                Err(why) => {
                    *hall.refused.entry(why.to_string()).or_default() += 1;
                    tracing::debug!("a frame is refused: {why}");
                    return self.close(key, CloseReason::Malformed);
                }
            };
            conn.input.consume(size);
            let queued = if peer.session.is_open() {
                std::mem::take(&mut peer.queued)
            } else {
                Vec::new()
            };
            let name: Option<Arc<str>> = peer.session.peer().map(Into::into);
            let accepted = peer.to.is_none();
            self.set_deadline(key, Some(now + SILENT));
            let Some(name) = name else { continue };
            if accepted {
                self.know_peer(key, &name);
            }
            for body in queued {
                self.push(key, &body, net::UNTAGGED_FRAME);
            }
            if let Some(Body::Replication(body)) = body {
                self.copies_frame(name, body);
            } else if let (Some(body), Some(hall)) = (body, &mut self.cluster.consensus) {
                hall.member.handle(uptime(), Input::Frame(name, body));
            }
        }
    }

    /// Who made a connection has said its name; the newest of its connections counts.
    fn know_peer(&mut self, key: ConnKey, name: &Arc<str>) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        if hall.inbound.get(name) == Some(&key) {
            return;
        }
        hall.strangers.retain(|k| *k != key);
        if let Some(old) = hall.inbound.insert(name.clone(), key) {
            self.close(old, CloseReason::Idle);
            if let Some(hall) = &mut self.cluster.consensus {
                hall.inbound.insert(name.clone(), key);
            }
        }
    }

    /// A connection between gateways has ended.
    pub(super) fn peer_closed(&mut self, now: Micros, key: ConnKey, peer: &Peer) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        hall.strangers.retain(|k| *k != key);
        hall.inbound.retain(|_, k| *k != key);
        if let Some(to) = &peer.to {
            hall.out.retain(|_, k| *k != key);
            hall.again.insert(to.clone(), now + AGAIN);
            self.lost_peer(&to.clone());
        }
    }

    fn push(&mut self, key: ConnKey, body: &Body, tag: u64) {
        let Some((conn, Role::Peer(peer))) = self.connections.get_mut(key) else {
            return;
        };
        let Some(hall) = &self.cluster.consensus else {
            return;
        };
        if conn.outbox.len() > MOST_WAITING {
            return;
        }
        if let Some(bytes) = peer.session.pack(&hall.keys, body) {
            conn.outbox.push(tag, bytes);
            self.dirty.push(key);
        }
    }

    /// Who this gateway is to others, which process, and where it records.
    pub(super) fn council_identity(&self) -> Option<(Arc<str>, u64, Option<PathBuf>)> {
        let hall = self.cluster.consensus.as_ref()?;
        Some((
            hall.member.name().clone(),
            hall.process,
            hall.file.history.clone(),
        ))
    }

    /// What is agreed of shards, as far as it is known here.
    pub(super) fn agreed_sets(&self) -> Option<crate::replication::sets::ReplicaSets> {
        self.cluster
            .consensus
            .as_ref()
            .map(|h| h.member.state().replica_sets.clone())
    }

    /// Where others than voters are reached; voters stay as the council's file has them.
    pub(super) fn know_addresses(&mut self, all: impl Iterator<Item = (Arc<str>, SocketAddr)>) {
        if let Some(hall) = &mut self.cluster.consensus {
            for (name, at) in all {
                hall.book.entry(name).or_insert(at);
            }
        }
    }

    pub(super) fn say(&mut self, now: Micros, to: &Arc<str>, body: Body) {
        if self
            .cluster
            .consensus
            .as_ref()
            .is_some_and(|h| h.connection(to).is_none() && !h.again.contains_key(to))
        {
            self.connect_peer(now, to);
        }
        let Some(key) = self
            .cluster
            .consensus
            .as_ref()
            .and_then(|h| h.connection(to))
        else {
            return;
        };
        let Some((_, Role::Peer(peer))) = self.connections.get_mut(key) else {
            return;
        };
        if peer.session.is_open() {
            return self.push(key, &body, net::UNTAGGED_FRAME);
        }
        if peer.queued.len() < MOST_QUEUED {
            peer.queued.push(body);
        }
    }

    /// An effect of one's own: its lease is looked at once more, now that its bytes are to be queued. It does not wait for a
    /// connection to open.
    fn say_own(&mut self, to: &Arc<str>, effect: LeaseEffect) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        let up = uptime();
        let open = |key: &ConnKey| matches!(self.connections.get(*key), Some((_, Role::Peer(p))) if p.session.is_open());
        let key = hall.connection(to).filter(open);
        if !hall.member.still_holds(up, &effect.lease, effect.term) {
            let LeaseEffect {
                lease: duty,
                term,
                number,
                ..
            } = effect;
            return hall.record(&HistoryEvent::TakenBack { duty, term, number });
        }
        let Some(key) = key else { return };
        hall.tags += 1;
        let tag = hall.tags;
        // Only what may still wait is kept; what has left cannot be taken back.
        if hall.waits.len() > 1024 {
            hall.waits.clear();
        }
        hall.waits.insert(tag, effect.clone());
        hall.record(&HistoryEvent::Sent {
            duty: effect.lease.clone(),
            term: effect.term,
            number: effect.number,
        });
        self.push(key, &Body::Effect(effect), tag);
    }

    /// Effects of an ended lease whose bytes still wait are taken back.
    fn take_back(&mut self, duty: &LeaseName, term: Term) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        let of = |e: &LeaseEffect| e.lease == *duty && e.term == term;
        let tags: Vec<u64> = hall
            .waits
            .iter()
            .filter(|(_, e)| of(e))
            .map(|(t, _)| *t)
            .collect();
        for tag in tags {
            let taken = self
                .connections
                .values_mut()
                .any(|(conn, role)| matches!(role, Role::Peer(_)) && conn.outbox.withdraw(tag));
            let Some(LeaseEffect {
                lease: duty,
                term,
                number,
                ..
            }) = hall.waits.remove(&tag)
            else {
                continue;
            };
            if taken && !hall.member.queue_guard_disabled() {
                hall.record(&HistoryEvent::TakenBack { duty, term, number });
            }
        }
    }

    /// Whether nothing of an ended lease is about to leave on a connection between gateways; looked at before bytes are
    /// written, as the process may have been stopped since they were queued.
    pub(super) fn look_at_leases(&mut self, key: ConnKey) {
        if !matches!(self.connections.get(key), Some((conn, Role::Peer(_))) if !conn.outbox.is_empty())
        {
            return;
        }
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        if hall.waits.is_empty() {
            return;
        }
        let up = uptime();
        let over: BTreeSet<(LeaseName, Term)> = hall
            .waits
            .values()
            .filter(|e| !hall.member.still_holds(up, &e.lease, e.term))
            .map(|e| (e.lease.clone(), e.term))
            .collect();
        over.into_iter()
            .for_each(|(duty, term)| self.take_back(&duty, term));
    }

    /// SIGTERM: others take over what this gateway does for all.
    pub(super) fn give_duties_back(&mut self, now: Micros) {
        if let Some(hall) = &mut self.cluster.consensus {
            hall.leaves = true;
        }
        self.look_at_able();
        self.step_council(now);
    }

    /// An operator has one gateway vote, or another no more.
    pub(super) fn exchange_voters(
        &mut self,
        now: Micros,
        joins: Option<String>,
        leaves: Option<String>,
    ) {
        tracing::info!(?joins, ?leaves, "voters are exchanged");
        self.tell_member_of_council(Input::Exchange {
            joins: joins.map(Into::into),
            leaves: leaves.map(Into::into),
        });
        self.step_council(now);
    }

    /// What can be seen of the council.
    pub(super) fn council_view(&self) -> serde_json::Value {
        let Some(hall) = &self.cluster.consensus else {
            return serde_json::Value::Null;
        };
        let (m, state) = (&hall.member, hall.member.state());
        let voters: BTreeMap<&str, String> = state
            .voters
            .iter()
            .map(|(s, n)| (&**n, format!("{s:016x}")))
            .collect();
        let open = |key: &ConnKey| matches!(self.connections.get(*key), Some((_, Role::Peer(p))) if p.session.is_open());
        let reached: Vec<&str> = hall
            .out
            .iter()
            .filter(|(_, k)| open(k))
            .map(|(n, _)| &**n)
            .collect();
        json!({ "name": m.name(), "process": hall.process, "generation": state.generation, "applied": state.applied,
            "voters": voters, "votes": m.votes(), "leads": m.leads(), "leader": m.leader(), "asks": m.catch_up_source(),
            "why_not_voting": m.voter_error(), "waits_for_its_disk": hall.seat_again.is_some(),
            "log_term": m.voter().map(|c| c.term()), "entries": m.voter().map(|c| c.entries()),
            "followers": m.learners(), "seats": m.replicas(), "reached": reached, "refused": hall.refused,
            "able": hall.told_able })
    }

    /// What can be seen of duties, and why one has no owner who acts, as far as this gateway can tell.
    pub(super) fn duties_view(&self) -> serde_json::Value {
        let Some(hall) = &self.cluster.consensus else {
            return serde_json::Value::Null;
        };
        let (m, now) = (&hall.member, uptime());
        let ledger = &m.state().leases;
        let mut names: BTreeSet<LeaseName> =
            hall.file.duties.iter().map(|d| d.as_str().into()).collect();
        names.extend(ledger.duties().map(|(d, _)| d.clone()));
        let mine: BTreeMap<&LeaseName, Option<Micros>> =
            m.held_leases().map(|(d, _, until)| (d, until)).collect();
        let view = |duty: &LeaseName| {
            let stands = ledger.record(duty);
            let until = mine.get(duty).copied().flatten();
            let why = match (
                m.leads(),
                m.leader().is_some() || m.catch_up_source().is_some(),
            ) {
                (true, _) => m.grant_reason(now, duty).map(|w| json!(w)),
                (false, true) => None,
                (false, false) => Some(json!("no_leader_known")),
            };
            json!({ "duty": duty, "term": stands.term, "owner": stands.holder.as_ref().map(|o| &*o.name),
                "process": stands.holder.as_ref().map(|o| o.incarnation), "mine": m.held_term(now, duty).is_some(),
                "lease_left_ms": until.map(|t| t.saturating_sub(now) / 1_000), "why_nobody": why })
        };
        json!({ "name": m.name(), "leads": m.leads(), "leader": m.leader(),
            "duties": names.iter().map(view).collect::<Vec<_>>(), "trials": self.trials_view(),
            "loads": self.loads_view() })
    }

    /// Reads the addresses of voters and the keys anew; what cannot be used leaves those held.
    pub(super) fn reload_council(&mut self) {
        let Some(hall) = &mut self.cluster.consensus else {
            return;
        };
        let name = hall.member.name().to_string();
        match config::File::read(&hall.file.file).and_then(|f| Ok((f.keys(&name)?, f))) {
            Ok((keys, f)) => {
                hall.keys = keys;
                hall.book = f
                    .voters
                    .iter()
                    .map(|(n, a)| (n.as_str().into(), *a))
                    .collect();
                tracing::info!("voters' addresses and keys of the council were read anew");
            }
            Err(e) => tracing::error!("voters and keys of the council stay as they are: {e}"),
        }
    }
}

fn member_settings(f: &config::File, name: &str, process: u64, seed: u64) -> Settings {
    Settings {
        name: name.into(),
        process,
        contacts: f.voters.keys().map(|n| n.as_str().into()).collect(),
        leases: f.duties.iter().map(|d| d.as_str().into()).collect(),
        lease: crate::lease::Settings {
            duration: f.lease_ms * 1_000,
            drift_ppm: f.drift_ppm,
        },
        voter: machine::Settings {
            tick: f.tick_ms * 1_000,
        },
        seed: seed ^ process,
        disabled_guards: guards(),
    }
}
