//! Outputs of the simulated replicators.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand_chacha::rand_core::Rng;

use super::{
    gateway_index, position_after, DiskImage, Event, HandledRequest, Response, Simulation, Write,
    MS,
};
use crate::replication::replicator::{Input, Output};
use crate::replication::wire::Message;
use crate::replication::{LogPosition, Name, ShardId};

impl Simulation {
    pub(super) fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::Send(to, message) => self.send(index, &to, message),
            Output::Propose(entry) => {
                if self.has_quorum && self.random_below(100) >= self.loss_percent {
                    self.schedule(5 * MS, Event::Entry(entry));
                }
            }
            Output::StoreRecord { shard, record, .. } => self.store(index, shard, &record),
            Output::InstallSnapshot {
                shard,
                position,
                content,
            } => self.install(index, shard, position, &content),
            Output::ReadSnapshot(shard, peer) => self.read_snapshot(index, shard, peer),
            Output::VerifyDisk => {
                let disk = &self.gateways[index].disk;
                let ranges_of = |shard| match disk.damaged.contains(shard) {
                    true => vec![0],
                    false => Vec::new(),
                };
                let shards = disk.shards.keys().chain(&disk.damaged);
                let verified = shards.map(|shard| (*shard, ranges_of(shard))).collect();
                self.handle(index, Input::Verified(Some(verified)));
            }
            Output::AcceptDamage(shard) => {
                self.gateways[index].disk.damaged.remove(&shard);
                self.handle(index, Input::DamageAccepted(shard));
            }
            Output::Committed(waiter, _) => {
                assert!(self.committed.insert(waiter), "committed twice");
            }
            Output::Rejected(_, error) => self.rejections.push(error),
            Output::DiskRejected => self.replace_disk(index),
            Output::RecordEvent(event) => self.history.push((index, event)),
            Output::Response(waiter, outcome) => self.responses.push(Response {
                gateway: index,
                waiter,
                outcome,
            }),
            Output::HandleRequest { peer, number, .. } => {
                self.requests.push(HandledRequest { from: peer, number });
            }
            Output::BecomePrimary(shard, _) => {
                if self.detects_damage(index, shard) {
                    self.handle(index, Input::Corrupt(shard, vec![0]));
                } else {
                    self.state_reads.push((index, shard));
                    self.handle(index, Input::StateLoaded(shard));
                }
            }
            Output::StepDown(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: Message) {
        let to = gateway_index(to);
        let is_lost =
            self.random_below(100) < self.loss_percent || self.partitions.contains(&(from, to));
        if is_lost {
            return;
        }
        let mut span = MS;
        if self.loss_percent > 0 {
            span = 30 * MS;
            if self.random_below(10) == 0 {
                let message = message.clone();
                self.schedule(span, Event::Message { from, to, message });
            }
        }
        self.schedule(span, Event::Message { from, to, message });
    }

    fn store(&mut self, index: usize, shard: ShardId, record: &Arc<[u8]>) {
        let at = self.now + 1 + self.random_below(3 * MS);
        let write = Write::Record(shard, record.to_vec());
        self.gateways[index].writes.push_back((at, write));
    }

    fn install(&mut self, index: usize, shard: ShardId, position: LogPosition, content: &[u8]) {
        let records: Vec<Vec<u8>> = postcard::from_bytes(content).unwrap();
        assert!(
            position_after(&records) == position || self.disabled_guards.integrity_check,
            "damage was passed on"
        );
        let write = Write::Snapshot(shard, records);
        self.gateways[index].writes.push_back((self.now + 1, write));
    }

    fn detects_damage(&mut self, index: usize, shard: ShardId) -> bool {
        let gateway = &mut self.gateways[index];
        if gateway.false_alarms > 0 {
            gateway.false_alarms -= 1;
            return true;
        }
        gateway.disk.damaged.contains(&shard) && !self.disabled_guards.integrity_check
    }

    /// Reads a snapshot that includes all pending writes, as the store's thread does.
    fn read_snapshot(&mut self, index: usize, shard: ShardId, peer: Name) {
        if self.detects_damage(index, shard) {
            self.handle(index, Input::Corrupt(shard, vec![0]));
            return self.handle(index, Input::SnapshotReadFailed(shard, peer));
        }
        let gateway = &self.gateways[index];
        let mut records = gateway.disk.shards.get(&shard).cloned().unwrap_or_default();
        for (_, write) in &gateway.writes {
            match write {
                Write::Record(of, record) if *of == shard => records.push(record.clone()),
                Write::Snapshot(of, snapshot) if *of == shard => records.clone_from(snapshot),
                _ => {}
            }
        }
        let input = Input::SnapshotRead {
            shard,
            peer,
            position: position_after(&records),
            content: postcard::to_stdvec(&records).unwrap(),
        };
        self.handle(index, input);
    }

    fn replace_disk(&mut self, index: usize) {
        let id = self.random.next_u64();
        let gateway = &mut self.gateways[index];
        gateway.disk = DiskImage {
            id,
            incarnation: 1,
            ..DiskImage::default()
        };
        gateway.writes.clear();
        let input = Input::DiskOpened {
            id,
            incarnation: 1,
            positions: BTreeMap::new(),
        };
        self.handle(index, input);
    }
}
