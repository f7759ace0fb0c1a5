//! Inputs and outputs of the replicator.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::replication::error::ReplicationError;
use crate::replication::history::HistoryEvent;
use crate::replication::primary::CommitWaiter;
use crate::replication::replica_sets::{Entry, ReplicaSets};
use crate::replication::wire::{Message, RequestOutcome};
use crate::replication::{Epoch, LogPosition, Name, ShardId};

/// An input of the replicator.
#[derive(Clone, Debug)]
pub enum Input {
    /// This process has started on its disk.
    DiskOpened {
        /// The disk's identifier.
        id: u64,
        /// The number of process starts on the disk.
        incarnation: u64,
        /// The shards on the disk, with the positions of their logs.
        positions: BTreeMap<ShardId, LogPosition>,
    },
    /// The agreed replica sets have changed.
    SetsChanged(Arc<ReplicaSets>),
    /// A message of another gateway.
    Received(Name, Message),
    /// The connection to another gateway has ended.
    Disconnected(Name),
    /// A record to be committed by this primary.
    Append {
        /// The shard.
        shard: ShardId,
        /// The number under which the commit is reported.
        waiter: CommitWaiter,
        /// The record.
        record: Vec<u8>,
        /// The number of replicas that the record needs; 0 for as many as there are.
        min_replicas: usize,
    },
    /// The oldest pending write of a shard has reached the disk.
    Persisted(ShardId),
    /// A snapshot, requested by [`Output::ReadSnapshot`].
    SnapshotRead {
        /// The shard.
        shard: ShardId,
        /// The replica that needs it.
        peer: Name,
        /// The position of the snapshot.
        position: LogPosition,
        /// The snapshot.
        content: Vec<u8>,
    },
    /// A snapshot could not be read for a replica.
    SnapshotReadFailed(ShardId, Name),
    /// The result of [`Output::VerifyDisk`]: for each shard on the disk the ranges that do not
    /// match their checksums; none if the disk could not be read.
    Verified(Option<Vec<(ShardId, Vec<u8>)>>),
    /// Ranges of a shard do not match their checksums.
    Corrupt(ShardId, Vec<u8>),
    /// The readable rows of a damaged shard were accepted.
    DamageAccepted(ShardId),
    /// The state of a shard was read, as requested by [`Output::BecomePrimary`]. Its work in
    /// progress continues here.
    StateLoaded(ShardId),
    /// A request for a shard's primary.
    Request {
        /// The shard.
        shard: ShardId,
        /// The number under which the response is reported.
        waiter: CommitWaiter,
        /// The request.
        bytes: Vec<u8>,
    },
    /// The response to a request that this primary handled.
    Respond {
        /// The gateway that sent the request.
        peer: Name,
        /// The sender's number of the request.
        number: u64,
        /// The outcome.
        outcome: RequestOutcome,
    },
    /// The process is shutting down: its shards are handed over to members that have their whole
    /// logs.
    GracefulShutdown,
    /// A deadline is due.
    Tick,
}

/// An output of the replicator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to another gateway; it may be lost.
    Send(Name, Message),
    /// Propose an entry for the consensus log; it may be lost.
    Propose(Entry),
    /// Write a record to the disk after all earlier records, and report its completion by
    /// [`Input::Persisted`].
    StoreRecord {
        /// The shard.
        shard: ShardId,
        /// The position after the record.
        position: LogPosition,
        /// The record.
        record: Arc<[u8]>,
        /// The number under which the commit is reported, if this process is the primary.
        waiter: Option<CommitWaiter>,
    },
    /// Replace a shard's content on the disk by a snapshot, and report its completion by
    /// [`Input::Persisted`].
    InstallSnapshot {
        /// The shard.
        shard: ShardId,
        /// The position of the snapshot.
        position: LogPosition,
        /// The snapshot.
        content: Vec<u8>,
    },
    /// Read a snapshot of a shard for a replica.
    ReadSnapshot(ShardId, Name),
    /// Verify the checksums of all shards on the disk, concurrently with writes, and report the
    /// result by [`Input::Verified`].
    VerifyDisk,
    /// Accept the readable rows of a damaged shard, because no other disk has the shard.
    AcceptDamage(ShardId),
    /// A record is committed on this number of replicas.
    Committed(CommitWaiter, usize),
    /// A record is not committed.
    Rejected(CommitWaiter, ReplicationError),
    /// This process has become the primary of a shard: read the shard's state, and report its
    /// completion by [`Input::StateLoaded`].
    BecomePrimary(ShardId, Epoch),
    /// This process is no longer the primary of a shard.
    StepDown(ShardId),
    /// Handle a request as the primary.
    HandleRequest {
        /// The shard.
        shard: ShardId,
        /// The gateway that sent it.
        peer: Name,
        /// The sender's number of the request.
        number: u64,
        /// The request.
        request: Vec<u8>,
    },
    /// The response to a request of this gateway.
    Response(CommitWaiter, RequestOutcome),
    /// The disk is an old copy or in use by another process: its shards do not count, and it needs
    /// a new identifier.
    DiskRejected,
    /// Record an event in the history.
    RecordEvent(HistoryEvent),
}
