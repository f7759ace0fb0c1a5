//! Appending, writing and committing of records.

use std::sync::Arc;

use super::{Output, Replicator};
use crate::api::Micros;
use crate::replication::error::ReplicationError;
use crate::replication::history::{short_digest, HistoryEvent};
use crate::replication::primary::{
    is_within_record_limit, CommitWaiter, Primary, MAX_UNCOMMITTED_BYTES,
};
use crate::replication::shard::{PendingWrite, WriteKind};
use crate::replication::wire::MAX_RECORD_BYTES;
use crate::replication::ShardId;

/// Checks whether a primary can accept a record.
fn check_record(
    primary: &Primary,
    shard: ShardId,
    bytes: usize,
    min_replicas: usize,
) -> Result<(), ReplicationError> {
    let replicas = primary.replica_count();
    let uncommitted = primary.uncommitted_bytes();
    if !is_within_record_limit(bytes) {
        return Err(ReplicationError::TooLong {
            bytes,
            max: MAX_RECORD_BYTES,
        });
    }
    if replicas < min_replicas {
        return Err(ReplicationError::TooFewReplicas {
            shard,
            have: replicas,
            want: min_replicas,
        });
    }
    if min_replicas > 0 && uncommitted > MAX_UNCOMMITTED_BYTES {
        return Err(ReplicationError::ReplicationLag {
            shard,
            bytes: uncommitted,
        });
    }
    Ok(())
}

impl Replicator {
    /// Appends a record to the log of a shard of which this process is the primary.
    pub(super) fn append(
        &mut self,
        now: Micros,
        shard: ShardId,
        waiter: CommitWaiter,
        record: Vec<u8>,
        min_replicas: usize,
    ) {
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        let agreed_primary = replica.set.primary.clone();
        let Some(primary) = replica.primary.as_mut().filter(|primary| primary.is_open) else {
            let error = ReplicationError::NotPrimary {
                shard,
                primary: agreed_primary,
            };
            return self.outputs.push_back(Output::Rejected(waiter, error));
        };
        if let Err(error) = check_record(primary, shard, record.len(), min_replicas) {
            return self.outputs.push_back(Output::Rejected(waiter, error));
        }
        let record: Arc<[u8]> = record.into();
        let position = primary.append(record.clone(), waiter, min_replicas);
        replica.position = position;
        let write = PendingWrite {
            epoch: replica.set.epoch,
            from: None,
            position,
            kind: WriteKind::Record,
        };
        replica.push_write(now, write);
        self.outputs.push_back(Output::StoreRecord {
            shard,
            position,
            record,
            waiter: Some(waiter),
        });
    }

    /// Completes the oldest pending write of a shard, which has reached the disk.
    pub(super) fn write_persisted(&mut self, now: Micros, shard: ShardId) {
        let guards = self.settings.disabled_guards;
        let Some(replica) = self.shards.get_mut(&shard) else {
            return;
        };
        let was_corrupt = replica.damage.is_some();
        let completed = replica.write_persisted(now, guards);
        let is_repaired = was_corrupt && replica.damage.is_none();
        let stored = replica.stored();
        if let Some(primary) = &mut replica.primary {
            primary.stored = stored.min(primary.head.number);
        }
        if let Some(write) = completed.write {
            self.record_event(write_event(shard, &write));
        }
        if is_repaired {
            self.record_event(HistoryEvent::Repaired {
                shard,
                accepted: false,
            });
        }
        self.send_all(completed.messages);
        self.commit(shard);
    }

    /// Reports the newly committed records of a shard.
    pub(super) fn commit(&mut self, shard: ShardId) {
        let me = self.settings.name.clone();
        let guards = self.settings.disabled_guards;
        let Some(primary) = self.primary_mut(shard) else {
            return;
        };
        let commits = primary.commit(&me, guards);
        let (epoch, replicas) = (primary.epoch, primary.replica_count());
        for commit in commits {
            self.record_event(HistoryEvent::Committed {
                shard,
                epoch,
                number: commit.position.number,
                chain: short_digest(&commit.position.chain),
                disks: replicas,
            });
            self.outputs
                .push_back(Output::Committed(commit.waiter, replicas));
        }
    }
}

fn write_event(shard: ShardId, write: &PendingWrite) -> HistoryEvent {
    let number = write.position.number;
    let chain = short_digest(&write.position.chain);
    match write.kind {
        WriteKind::Record => HistoryEvent::Stored {
            shard,
            epoch: write.epoch,
            number,
            chain,
        },
        WriteKind::Snapshot => HistoryEvent::Installed {
            shard,
            number,
            chain,
        },
    }
}
