//! A gateway of a simulation, with its disk.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::Micros;
use crate::replication::replicator::Replicator;
use crate::replication::{LogPosition, ShardId};

/// The content of a disk.
#[derive(Clone, Debug, Default)]
pub(in crate::replication::tests) struct DiskImage {
    pub(super) id: u64,
    pub(super) incarnation: u64,
    pub(in crate::replication::tests) shards: BTreeMap<ShardId, Vec<Vec<u8>>>,
    /// Shards with a corrupted row.
    pub(super) damaged: BTreeSet<ShardId>,
}

impl DiskImage {
    /// Corrupts the first record of a shard, and returns whether the shard is damaged only now. The
    /// position of the shard is stored elsewhere, and does not change.
    pub(in crate::replication::tests) fn damage(&mut self, shard: ShardId) -> bool {
        let records = self.shards.get_mut(&shard);
        let Some(record) = records.and_then(|records| records.first_mut()) else {
            return false;
        };
        record[0] ^= 0x80;
        self.damaged.insert(shard)
    }
}

/// Returns the position after some records.
pub(in crate::replication::tests) fn position_after(records: &[Vec<u8>]) -> LogPosition {
    records
        .iter()
        .fold(LogPosition::default(), |position, record| {
            position.advance(record)
        })
}

pub(super) enum Write {
    Record(ShardId, Vec<u8>),
    Snapshot(ShardId, Vec<Vec<u8>>),
}

/// A gateway of a simulation.
pub(in crate::replication::tests) struct SimulatedGateway {
    /// The replicator, while the process runs.
    pub(in crate::replication::tests) replicator: Option<Replicator>,
    pub(in crate::replication::tests) disk: DiskImage,
    /// Pending writes, with the time at which they reach the disk.
    pub(super) writes: VecDeque<(Micros, Write)>,
    /// Whether the process is stopped, and continues later.
    pub(in crate::replication::tests) stopped: bool,
    /// Whether the disk is full and completes no writes.
    pub(in crate::replication::tests) disk_full: bool,
    /// The number of records that the disk reports as written and loses when the process ends.
    pub(in crate::replication::tests) lost_records: usize,
    /// The number of reads, for a promotion or a replica, that report damage of an intact shard.
    pub(in crate::replication::tests) false_alarms: usize,
    /// Whether changes of the replica sets do not arrive.
    pub(in crate::replication::tests) ignores_changes: bool,
    /// The index of the last state of the replica sets that has arrived.
    pub(super) seen_state: usize,
}

impl SimulatedGateway {
    pub(super) fn new() -> SimulatedGateway {
        SimulatedGateway {
            replicator: None,
            disk: DiskImage::default(),
            writes: VecDeque::new(),
            stopped: false,
            disk_full: false,
            lost_records: 0,
            false_alarms: 0,
            ignores_changes: false,
            seen_state: 0,
        }
    }
}
