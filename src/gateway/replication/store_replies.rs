//! Handles the store's replies to operations of replication.

use super::fault_injection_point;
use crate::api::Micros;
use crate::gateway::Gateway;
use crate::replication::identities::Identities;
use crate::replication::replicator::Input;
use crate::replication::{Epoch, Name, ShardId};
use crate::store::error::StoreError;
use crate::store::operations::{Reply, ShardState};

impl Gateway {
    /// Handles the reply to the registration of this process on its disk.
    pub(in crate::gateway) fn disk_registered(&mut self, reply: Result<Reply, StoreError>) {
        if let Ok(Reply::Disk(disk)) = reply {
            self.notify_replicator(Input::DiskOpened {
                id: disk.id,
                incarnation: disk.incarnation,
                positions: disk.shards.into_iter().collect(),
            });
        }
    }

    /// Handles the reply to storing a record or a snapshot.
    pub(in crate::gateway) fn record_stored(
        &mut self,
        shard: ShardId,
        waiter: Option<u64>,
        reply: Result<Reply, StoreError>,
    ) {
        let Ok(reply) = reply else {
            return;
        };
        let webhooks = self.secondary.webhooks.as_ref();
        let step = waiter.and_then(|waiter| webhooks?.fault_injection_step(waiter));
        if let Some(step) = step {
            fault_injection_point(step);
        }
        if let (Some(driver), Some(waiter)) = (&mut self.cluster.replication, waiter) {
            driver.uncommitted_replies.insert(waiter, reply);
        }
        self.notify_replicator(Input::Persisted(shard));
    }

    /// Handles the reply to reading a snapshot for a replica.
    pub(in crate::gateway) fn shard_read(
        &mut self,
        shard: ShardId,
        peer: Name,
        reply: Result<Reply, StoreError>,
    ) {
        if let Ok(Reply::ShardContent(position, content)) = reply {
            return self.notify_replicator(Input::SnapshotRead {
                shard,
                peer,
                position,
                content,
            });
        }
        if let Err(StoreError::ChecksumMismatch(shard, ranges)) = reply {
            self.notify_replicator(Input::Corrupt(shard, ranges));
        }
        self.notify_replicator(Input::SnapshotReadFailed(shard, peer));
    }

    /// Handles the loaded state of a shard of which this process has become the primary.
    pub(in crate::gateway) fn shard_state_loaded(
        &mut self,
        now: Micros,
        shard: ShardId,
        epoch: Epoch,
        reply: Result<Reply, StoreError>,
    ) {
        if let Err(StoreError::ChecksumMismatch(shard, ranges)) = reply {
            return self.notify_replicator(Input::Corrupt(shard, ranges));
        }
        let Some(driver) = &mut self.cluster.replication else {
            return;
        };
        let Ok(Reply::PrimaryState(state)) = reply else {
            return;
        };
        if !driver.replicator.awaits_state(shard, epoch) {
            return;
        }
        let identities = state.identities.iter().copied();
        let expired_until = state.identities_expired_until;
        let identities = Identities::new(shard, identities, expired_until);
        driver.open_shards.insert(shard, identities);
        self.notify_replicator(Input::StateLoaded(shard));
        self.resume_shard(now, shard, epoch, *state);
    }

    /// Resumes the calls and messages of a shard, as after a restart.
    fn resume_shard(&mut self, now: Micros, shard: ShardId, epoch: Epoch, state: ShardState) {
        let Some(webhooks) = &mut self.secondary.webhooks else {
            return;
        };
        let calls = state.calls.len();
        let waits = state.waiting.len();
        let begun = state.in_flight.len();
        webhooks.start_numbering(shard, epoch);
        webhooks.settle_in_flight(now, state.in_flight);
        webhooks.enqueue_messages(now, state.waiting);
        for call in state.calls {
            // Times that another machine recorded are not compared with this machine's clock.
            self.resume_call(now, call, true);
        }
        tracing::info!(
            shard,
            epoch,
            calls,
            waits,
            begun,
            "went on with what stood of a shard"
        );
    }
}
