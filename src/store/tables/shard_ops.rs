//! Operations on the disk's shard replicas, which also update the store's header.

use serde::{Deserialize, Serialize};

use super::{Tables, FORMAT};
use crate::replication::{LogPosition, ShardId};
use crate::store::error::StoreError;
use crate::store::keys::{decode, encode};
use crate::store::keyspace::{Keyspace, KeyspaceReader, Table};
use crate::store::operations::{ApplyToShard, DiskState, InstallShard, RegisterDisk, Reply};
use crate::store::shards;
use crate::store::shards::snapshot::{self, ShardSnapshot};

/// The key of the disk's identity in [`Table::Meta`].
const DISK_KEY: &[u8] = b"disk";

/// The stored identity of the disk.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct DiskIdentity {
    id: u64,
    /// The number of process starts on the disk.
    incarnation: u64,
}

impl Tables {
    /// Registers the start of a process, and returns the disk's identity and the shards on it.
    pub(super) fn register_disk(
        &mut self,
        keyspace: &mut dyn Keyspace,
        register: RegisterDisk,
    ) -> Result<Reply, StoreError> {
        let stored: Option<DiskIdentity> = keyspace
            .get(Table::Meta, DISK_KEY)?
            .map(|bytes| decode(&bytes, "a disk"))
            .transpose()?;
        let identity = match stored {
            Some(DiskIdentity { id, incarnation }) if !register.reset => DiskIdentity {
                id,
                incarnation: incarnation + 1,
            },
            _ => DiskIdentity {
                id: register.id,
                incarnation: 1,
            },
        };
        keyspace.put(Table::Meta, DISK_KEY, &encode(&identity)?)?;
        let mut shards = shards::positions(keyspace)?;
        if register.reset || self.header.format < FORMAT {
            self.shards_to_recompute
                .extend(shards.iter().map(|(shard, _)| *shard));
        }
        self.header.format = FORMAT;
        if register.reset {
            for (shard, _) in shards.drain(..) {
                self.drop_shard(keyspace, shard)?;
            }
        }
        Ok(Reply::Disk(DiskState {
            id: identity.id,
            incarnation: identity.incarnation,
            shards,
        }))
    }

    fn drop_shard(
        &mut self,
        keyspace: &mut dyn Keyspace,
        shard: ShardId,
    ) -> Result<(), StoreError> {
        let empty = InstallShard {
            shard,
            position: LogPosition::default(),
            content: encode(&ShardSnapshot::default())?,
        };
        self.install_shard(keyspace, &empty)?;
        shards::remove_header(keyspace, shard)
    }

    /// Applies a replicated operation, and sets the position of the replica's log.
    pub(super) fn apply_to_shard(
        &mut self,
        keyspace: &mut dyn Keyspace,
        apply: ApplyToShard,
    ) -> Result<Reply, StoreError> {
        shards::set_position(keyspace, apply.shard, apply.position)?;
        self.apply(keyspace, *apply.op)
    }

    /// Reads a snapshot of a shard.
    pub(super) fn read_shard(
        &self,
        reader: &dyn KeyspaceReader,
        shard: ShardId,
    ) -> Result<Reply, StoreError> {
        let expired_until = self.header.identities_expired_until;
        let (position, content) = snapshot::read(reader, shard, expired_until)?;
        Ok(Reply::ShardContent(position, content))
    }

    /// Replaces a shard's content by a snapshot, and updates the store's counts.
    pub(super) fn install_shard(
        &mut self,
        keyspace: &mut dyn Keyspace,
        install: &InstallShard,
    ) -> Result<Reply, StoreError> {
        let InstallShard {
            shard,
            position,
            content,
        } = install;
        let change = snapshot::install(keyspace, *shard, *position, content)?;
        let (before, after) = (change.before, change.after);
        let stats = &mut self.header.stats;
        stats.calls = stats.calls.saturating_sub(before.calls) + after.calls;
        stats.messages = stats.messages.saturating_sub(before.messages) + after.messages;
        stats.waiting = stats.waiting.saturating_sub(before.waiting) + after.waiting;
        stats.bytes = stats.bytes.saturating_sub(before.bytes) + after.bytes;
        Ok(Reply::Done)
    }

    /// Accepts a damaged shard: keeps its readable rows and removes the others.
    pub(super) fn accept_damage(
        &mut self,
        keyspace: &mut dyn Keyspace,
        shard: ShardId,
    ) -> Result<Reply, StoreError> {
        self.shards_to_recompute.push(shard);
        shards::accept_damage(keyspace, shard).map(|()| Reply::Done)
    }

    /// Makes this gateway the primary of a shard.
    pub(super) fn become_primary(
        &self,
        keyspace: &mut dyn Keyspace,
        shard: ShardId,
    ) -> Result<Reply, StoreError> {
        let expired_until = self.header.identities_expired_until;
        let state = shards::become_primary(keyspace, shard, expired_until)?;
        Ok(Reply::PrimaryState(Box::new(state)))
    }
}
