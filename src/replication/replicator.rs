//! The replication state machine of one gateway, without I/O. The gateway is a replica of some
//! shards and the primary of others, and sends requests to other primaries.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::config::Settings;
use super::history::HistoryEvent;
use super::primary::{CommitWaiter, Primary};
use super::replica_sets::{Disk, ReplicaSets};
use super::shard::Shard;
use super::wire::Message;
use super::{Epoch, LogPosition, Name, ShardId};
use crate::api::Micros;

mod events;
mod integrity;
mod membership;
mod messages;
mod proposals;
mod reconfiguration;
mod records;
mod requests;

pub use events::{Input, Output};

/// The maximum number of requests to other gateways that are pending.
pub const MAX_FORWARDED_REQUESTS: usize = 4096;
/// Ticks in one failure timeout.
const TICKS_PER_FAILURE_TIMEOUT: Micros = 8;
/// Heartbeats in one failure timeout.
const HEARTBEATS_PER_FAILURE_TIMEOUT: Micros = 5;
/// Retries of a message in one acknowledgement timeout.
const RETRIES_PER_ACKNOWLEDGEMENT_TIMEOUT: Micros = 4;

/// A request of this gateway that waits for its response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    waiter: CommitWaiter,
    shard: ShardId,
    deadline: Micros,
}

/// The replication state machine of one gateway, for all shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replicator {
    settings: Settings,
    disk: Option<Disk>,
    /// Whether the agreed state names this process as the user of its disk.
    is_registered: bool,
    sets: Arc<ReplicaSets>,
    /// The agreed process of each gateway. Positions and acknowledgements of other processes do not
    /// count.
    processes: BTreeMap<Name, u64>,
    shards: BTreeMap<ShardId, Shard>,
    /// The time of the last message from each gateway.
    received_at: BTreeMap<Name, Micros>,
    /// The time until which a removed gateway is not added to a set again.
    excluded_until: BTreeMap<Name, Micros>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    last_request: u64,
    disk_proposed_at: Micros,
    heartbeat_at: Micros,
    ticked_at: Micros,
    /// The time of the next verification of the disk; none while one is in progress.
    verify_at: Option<Micros>,
    is_shutting_down: bool,
    outputs: VecDeque<Output>,
}

impl Replicator {
    /// Creates a replicator that knows no disk and no replica sets yet.
    pub fn new(settings: Settings, now: Micros) -> Replicator {
        let received_at = settings
            .hosts
            .iter()
            .map(|host| (host.name.clone(), now))
            .collect();
        let shards = (1..=settings.shards)
            .map(|id| (id, Shard::new(id, settings.process)))
            .collect();
        Replicator {
            settings,
            disk: None,
            is_registered: false,
            sets: Arc::default(),
            processes: BTreeMap::new(),
            shards,
            received_at,
            excluded_until: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            last_request: 0,
            disk_proposed_at: 0,
            heartbeat_at: 0,
            ticked_at: now,
            verify_at: Some(now),
            is_shutting_down: false,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the next output, if there is one.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the gateways to which connections are kept.
    pub fn peers(&self) -> impl Iterator<Item = &Name> {
        self.settings
            .hosts
            .iter()
            .map(|host| &host.name)
            .filter(|name| **name != self.settings.name)
    }

    /// Returns when [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        self.ticked_at + self.settings.failure_timeout / TICKS_PER_FAILURE_TIMEOUT
    }

    /// Returns whether this process is the primary of any shard.
    pub fn is_any_primary(&self) -> bool {
        self.shards.values().any(|shard| shard.primary.is_some())
    }

    /// Returns whether this process is the primary of a shard.
    pub fn is_primary(&self, shard: ShardId) -> bool {
        self.primary(shard).is_some()
    }

    /// Returns all shards.
    pub fn shards(&self) -> &BTreeMap<ShardId, Shard> {
        &self.shards
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::DiskOpened {
                id,
                incarnation,
                positions,
            } => self.disk_opened(now, id, incarnation, &positions),
            Input::SetsChanged(sets) => {
                self.sets = sets;
                self.check_registration(now);
                self.apply_sets(now);
            }
            Input::Received(from, message) => self.receive(now, from, message),
            Input::Disconnected(name) => {
                for primary in self.primaries_mut() {
                    primary.disconnected(&name);
                }
            }
            Input::Append {
                shard,
                waiter,
                record,
                min_replicas,
            } => self.append(now, shard, waiter, record, min_replicas),
            Input::Persisted(shard) => self.write_persisted(now, shard),
            Input::SnapshotRead {
                shard,
                peer,
                position,
                content,
            } => {
                if let Some(primary) = self.primary_mut(shard) {
                    primary.snapshot_read(now, &peer, position, content.into());
                }
            }
            Input::SnapshotReadFailed(shard, peer) => {
                if let Some(primary) = self.primary_mut(shard) {
                    primary.snapshot_read_failed(now, &peer);
                }
            }
            Input::Verified(ranges) => self.disk_verified(now, ranges),
            Input::Corrupt(shard, ranges) => self.set_corrupt(shard, ranges),
            Input::DamageAccepted(shard) => self.damage_accepted(shard),
            Input::StateLoaded(shard) => self.state_loaded(shard),
            Input::Request {
                shard,
                waiter,
                bytes,
            } => self.request(now, shard, waiter, bytes),
            Input::Respond {
                peer,
                number,
                outcome,
            } => self.respond(peer, number, outcome),
            Input::GracefulShutdown => {
                self.is_shutting_down = true;
                self.tick(now);
            }
            Input::Tick => self.tick(now),
        }
        self.send_to_replicas(now);
    }

    fn send(&mut self, to: Name, message: Message) {
        self.outputs.push_back(Output::Send(to, message));
    }

    fn send_all(&mut self, messages: impl IntoIterator<Item = (Name, Message)>) {
        for (to, message) in messages {
            self.send(to, message);
        }
    }

    fn record_event(&mut self, event: HistoryEvent) {
        self.outputs.push_back(Output::RecordEvent(event));
    }

    fn primary(&self, shard: ShardId) -> Option<&Primary> {
        self.shards.get(&shard)?.primary.as_ref()
    }

    fn primary_mut(&mut self, shard: ShardId) -> Option<&mut Primary> {
        self.shards.get_mut(&shard)?.primary.as_mut()
    }

    /// Returns the primary of a shard, if it is this process under the given epoch.
    fn primary_of_epoch(&mut self, shard: ShardId, epoch: Epoch) -> Option<&mut Primary> {
        self.primary_mut(shard)
            .filter(|primary| primary.epoch == epoch)
    }

    fn primaries_mut(&mut self) -> impl Iterator<Item = &mut Primary> {
        self.shards
            .values_mut()
            .filter_map(|shard| shard.primary.as_mut())
    }

    /// Returns whether a message was received from a gateway within a timeout.
    fn is_reachable_within(&self, now: Micros, name: &Name, timeout: Micros) -> bool {
        let received_at = self.received_at.get(name);
        *name == self.settings.name || received_at.is_some_and(|at| now < at + timeout)
    }

    /// Returns whether a message was received from a gateway within the failure timeout.
    fn is_reachable(&self, now: Micros, name: &Name) -> bool {
        self.is_reachable_within(now, name, self.settings.failure_timeout)
    }

    fn disk_opened(
        &mut self,
        now: Micros,
        id: u64,
        incarnation: u64,
        positions: &BTreeMap<ShardId, LogPosition>,
    ) {
        self.disk = Some(Disk {
            id,
            incarnation,
            process: self.settings.process,
        });
        self.is_registered = false;
        for (id, position) in positions {
            if let Some(shard) = self.shards.get_mut(id) {
                shard.position = *position;
            }
        }
        self.check_registration(now);
        self.apply_sets(now);
    }

    fn tick(&mut self, now: Micros) {
        // A process that was stopped itself cannot tell whether other gateways were unreachable.
        if now > self.ticked_at + self.settings.failure_timeout / 2 {
            for received_at in self.received_at.values_mut() {
                *received_at = now;
            }
        }
        self.ticked_at = now;
        self.expire_requests(now);
        self.send_heartbeats(now);
        self.check_registration(now);
        if self.is_registered {
            self.check_integrity(now);
            self.review_sets(now);
        }
    }

    fn send_heartbeats(&mut self, now: Micros) {
        let interval = self.settings.failure_timeout / HEARTBEATS_PER_FAILURE_TIMEOUT;
        if now < self.heartbeat_at + interval {
            return;
        }
        self.heartbeat_at = now;
        let peers: Vec<Name> = self.peers().cloned().collect();
        for peer in peers {
            self.send(peer, Message::Heartbeat);
        }
    }

    /// Sends the due messages to the replicas of the shards of which this process is the primary,
    /// and reports new commits.
    fn send_to_replicas(&mut self, now: Micros) {
        let me = self.settings.name.clone();
        let retry_interval =
            self.settings.acknowledgement_timeout / RETRIES_PER_ACKNOWLEDGEMENT_TIMEOUT;
        let mut messages = Vec::new();
        let mut waits_for_commit = false;
        for primary in self.primaries_mut() {
            for name in primary.members.clone() {
                if name != me {
                    primary.add_peer(&name);
                }
            }
            messages.extend(primary.next_messages(now, retry_interval));
            waits_for_commit |=
                primary.committed < primary.head.number || primary.under_replicated > 0;
        }
        self.send_all(messages);
        if waits_for_commit {
            let shards: Vec<ShardId> = self.shards.keys().copied().collect();
            for shard in shards {
                self.commit(shard);
            }
        }
    }
}
