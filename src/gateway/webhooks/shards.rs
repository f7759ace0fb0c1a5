//! Store operations of shards for the replicator.

use super::{PendingStoreOp, WebhookDriver, MAX_PENDING_STORE_OPS};
use crate::api::Micros;
use crate::core::RequestKey;
use crate::delivery::{Input, PendingMessage, Seq};
use crate::replication::error::ReplicationError;
use crate::replication::{Epoch, LogPosition, Name, ShardId};
use crate::store::operations::{ApplyToShard, FinishAttempt, InstallShard, Op, RegisterDisk};
use crate::store::recovery::settle_remote_attempt;
use crate::store::replicated_op::ReplicatedOp;

impl WebhookDriver {
    /// Returns the step of a call at which a store operation was submitted, for tests that end the
    /// process there.
    pub(in crate::gateway) fn fault_injection_step(&self, number: u64) -> Option<&'static str> {
        match self.pending_store_ops.get(&number)? {
            PendingStoreOp::AcceptCall { .. } => Some("call recorded here"),
            PendingStoreOp::RecordAttempt(_) => Some("intent recorded here"),
            PendingStoreOp::BeginDelivery(_) => Some("callback's intent recorded here"),
            PendingStoreOp::CompleteCall(_) | PendingStoreOp::EnqueueMessages => {
                Some("answer recorded here")
            }
            _ => None,
        }
    }

    /// Registers the start of this process on the disk; `reset` gives the disk a new identifier and
    /// drops its shards.
    pub(in crate::gateway) fn register_disk(&mut self, id: u64, reset: bool) {
        let register = RegisterDisk {
            id: id.max(1),
            reset,
        };
        self.submit(PendingStoreOp::RegisterDisk, Op::RegisterDisk(register));
    }

    /// Writes a record of a shard to the disk. A record that cannot be decoded moves the position
    /// and has no effect.
    pub(in crate::gateway) fn store_shard_record(
        &mut self,
        shard: ShardId,
        position: LogPosition,
        record: &[u8],
        waiter: Option<u64>,
    ) {
        let op = match ReplicatedOp::decode(record) {
            Ok(replicated) => replicated.into_op(),
            Err(_) => Op::Publish(Vec::new()),
        };
        let apply = ApplyToShard {
            shard,
            position,
            op: Box::new(op),
        };
        self.submit(
            PendingStoreOp::StoreRecord(shard, waiter),
            Op::ApplyToShard(apply),
        );
    }

    /// Replaces a shard's content on the disk by a snapshot.
    pub(in crate::gateway) fn install_shard(
        &mut self,
        shard: ShardId,
        position: LogPosition,
        content: Vec<u8>,
    ) {
        let install = InstallShard {
            shard,
            position,
            content,
        };
        self.submit(
            PendingStoreOp::StoreRecord(shard, None),
            Op::InstallShard(install),
        );
    }

    /// Reads a snapshot of a shard for a replica.
    pub(in crate::gateway) fn read_shard_snapshot(&mut self, shard: ShardId, peer: Name) {
        self.submit(
            PendingStoreOp::ReadSnapshot(shard, peer),
            Op::ReadShard(shard),
        );
    }

    /// Verifies the checksums of all shards on the disk.
    pub(in crate::gateway) fn verify_shards(&mut self) {
        self.submit(PendingStoreOp::VerifyDisk, Op::VerifyChecksums);
    }

    /// Accepts the readable part of a damaged shard.
    pub(in crate::gateway) fn accept_shard_damage(&mut self, shard: ShardId) {
        self.submit(PendingStoreOp::AcceptDamage(shard), Op::AcceptDamage(shard));
    }

    /// Reads the state of a shard of which this process has become the primary.
    pub(in crate::gateway) fn become_shard_primary(&mut self, shard: ShardId, epoch: Epoch) {
        self.submit(
            PendingStoreOp::BecomePrimary(shard, epoch),
            Op::BecomePrimary(shard),
        );
    }

    /// Starts the assignment of a shard's sequence numbers in an epoch.
    pub(in crate::gateway) fn start_numbering(&mut self, shard: ShardId, epoch: Epoch) {
        self.numbers.insert(shard, (epoch, 0));
    }

    /// Ends the role as a shard's primary: this process no longer runs the shard's calls or
    /// delivers its messages. Returns the requests to cancel.
    pub(in crate::gateway) fn resign_shard(
        &mut self,
        now: Micros,
        shard: ShardId,
    ) -> Vec<RequestKey> {
        self.numbers.remove(&shard);
        let mut cancelled = Vec::new();
        let at_most_once_calls = &mut self.at_most_once_calls;
        self.jobs.retain(|_, open_call| {
            let is_of_shard = open_call.seq.shard() == shard;
            if is_of_shard {
                at_most_once_calls.remove(&open_call.id);
                cancelled.extend(open_call.request);
            }
            !is_of_shard
        });
        self.postponed.retain(|call| call.seq.shard() != shard);
        for seq in self.delivery.loaded_of_shard(shard) {
            self.out.remove(&seq);
            self.delivery.handle(now, Input::MessageRemoved(seq));
        }
        self.submit(PendingStoreOp::RecordOnly, Op::ResignPrimary(shard));
        cancelled
    }

    /// Settles the attempts that the previous primary of a shard had started.
    pub(in crate::gateway) fn settle_in_flight(
        &mut self,
        now: Micros,
        in_flight: Vec<(PendingMessage, Micros)>,
    ) {
        for (mut waiting, started_at) in in_flight {
            let (state, attempt) = settle_remote_attempt(&mut waiting, started_at, now);
            let finish = FinishAttempt {
                waiting: Box::new(waiting),
                state,
                attempt: Some(attempt),
            };
            self.submit(
                PendingStoreOp::SettleAttempt(waiting, state),
                Op::FinishAttempt(finish),
            );
        }
    }

    /// Passes messages that wait to the delivery scheduler.
    pub(in crate::gateway) fn enqueue_messages(
        &mut self,
        now: Micros,
        messages: Vec<PendingMessage>,
    ) {
        for waiting in messages {
            self.delivery.handle(now, Input::MessagePending(waiting));
        }
    }

    /// Reads the state of a call for another gateway.
    pub(in crate::gateway) fn request_call_state(
        &mut self,
        serial: u64,
        id: String,
        from: Name,
        number: u64,
    ) {
        self.submit(
            PendingStoreOp::ForwardCallState(from, number),
            Op::GetCall(serial, id),
        );
    }

    /// Returns the next sequence number of a shard, or a local one if this process is not the
    /// shard's primary.
    pub(super) fn next_sequence_number(&mut self, shard: ShardId) -> Seq {
        match self.numbers.get_mut(&shard) {
            Some((epoch, last)) => {
                *last += 1;
                Seq::of_shard(shard, *epoch, *last)
            }
            None => self.seq(),
        }
    }

    /// Returns an error if no further call can be accepted.
    pub(super) fn check_capacity(&self) -> Result<(), ReplicationError> {
        if self.stopping.is_some() {
            return Err(ReplicationError::ShuttingDown);
        }
        let is_full = self.jobs.len() >= self.pending
            || self.pending_store_ops.len() >= MAX_PENDING_STORE_OPS;
        if is_full {
            return Err(ReplicationError::PrimaryOverloaded);
        }
        Ok(())
    }
}
