//! Final checks of a simulation: no committed record is lost.

use std::collections::{BTreeMap, BTreeSet};

use super::{gateway_index, position_after, Simulation, MS, SHARDS};
use crate::replication::history::HistoryEvent;
use crate::replication::{Name, ShardId};

impl Simulation {
    /// Ends all faults, and checks that all members of each shard have its committed records.
    pub(in crate::replication::tests) fn verify(&mut self) -> Result<(), String> {
        self.end_faults();
        self.run(6_000 * MS);
        for shard in 1..=SHARDS {
            self.verify_shard(shard)?;
        }
        self.verify_history()
    }

    fn end_faults(&mut self) {
        self.loss_percent = 0;
        self.has_quorum = true;
        self.partitions.clear();
        for index in 0..self.gateways.len() {
            self.gateways[index].stopped = false;
            self.gateways[index].disk_full = false;
            if self.gateways[index].replicator.is_none() {
                self.start(index);
            }
        }
    }

    fn verify_shard(&self, shard: ShardId) -> Result<(), String> {
        let members = self.members(shard);
        if members.len() != self.replicas {
            return Err(format!("shard {shard} has the members {members:?}"));
        }
        let mut positions = BTreeSet::new();
        for member in &members {
            let disk = &self.gateways[gateway_index(member)].disk;
            let records = disk.shards.get(&shard).cloned().unwrap_or_default();
            positions.insert(position_after(&records));
            self.verify_replica(shard, member, &records)?;
        }
        if positions.len() != 1 {
            return Err(format!("the replicas of shard {shard} differ"));
        }
        Ok(())
    }

    fn verify_replica(
        &self,
        shard: ShardId,
        member: &Name,
        records: &[Vec<u8>],
    ) -> Result<(), String> {
        for waiter in &self.committed {
            let appended = &self.appended[waiter];
            if appended.shard == shard && !records.contains(&appended.bytes) {
                return Err(format!("{member} lacks record {waiter} of shard {shard}"));
            }
        }
        Ok(())
    }

    /// Checks that no number was committed twice, and that each epoch had one primary.
    fn verify_history(&self) -> Result<(), String> {
        let mut committed: BTreeMap<(ShardId, u64), u64> = BTreeMap::new();
        let mut primaries: BTreeMap<(ShardId, u64), usize> = BTreeMap::new();
        for (index, event) in &self.history {
            match event {
                HistoryEvent::Committed {
                    shard,
                    number,
                    chain,
                    ..
                } if *committed.entry((*shard, *number)).or_insert(*chain) != *chain => {
                    return Err(format!(
                        "record {number} of shard {shard} was committed twice"
                    ));
                }
                HistoryEvent::BecamePrimary { shard, epoch, .. }
                    if *primaries.entry((*shard, *epoch)).or_insert(*index) != *index =>
                {
                    return Err(format!("shard {shard} had two primaries in epoch {epoch}"));
                }
                _ => {}
            }
        }
        Ok(())
    }
}
