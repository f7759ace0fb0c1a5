//! The state of the model: three gateways, the messages between them, and the agreed replica sets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::scenario::{Faults, Scenario};
use crate::api::Micros;
use crate::replication::replica_sets::{Entry, ReplicaSets};
use crate::replication::replicator::{Input, Output, Replicator};
use crate::replication::wire;
use crate::replication::{LogPosition, Name, ShardId};

pub(super) const FAILURE_TIMEOUT: Micros = 400;
pub(super) const GATEWAYS: usize = 3;
/// The number of rounds without faults after which the shard is open.
const INITIAL_ROUNDS: usize = 60;
/// The number of ticks during which an isolated gateway receives nothing.
const ISOLATION_TICKS: usize = 6;
const TICK: Micros = FAILURE_TIMEOUT / 4;

/// A gateway of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Gateway {
    pub(super) replicator: Replicator,
    now: Micros,
    /// How often the process has started.
    starts: u64,
    pub(super) disk_id: u64,
    incarnation: u64,
    /// The records on the disk.
    disk: Vec<Vec<u8>>,
    /// The writes that have not reached the disk yet.
    pub(super) writes: VecDeque<Write>,
    /// The index of the last state of the replica sets that has arrived.
    pub(super) seen_state: usize,
}

impl Gateway {
    fn new(scenario: &Scenario, index: usize) -> Gateway {
        let now = 1_000;
        Gateway {
            replicator: Replicator::new(scenario.settings(index, 0), now),
            now,
            starts: 0,
            disk_id: index as u64 + 1,
            incarnation: 0,
            disk: Vec::new(),
            writes: VecDeque::new(),
            seen_state: 0,
        }
    }

    /// Returns whether the disk has a record.
    pub(super) fn has_record(&self, record: u8) -> bool {
        self.disk.contains(&vec![record])
    }

    /// Returns the records after all pending writes.
    fn records_after_writes(&self) -> Vec<Vec<u8>> {
        let mut records = self.disk.clone();
        for write in &self.writes {
            match write {
                Write::Record(record) => records.push(record.clone()),
                Write::Snapshot(snapshot) => records.clone_from(snapshot),
            }
        }
        records
    }
}

/// A write that has not reached a disk yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Write {
    Record(Vec<u8>),
    Snapshot(Vec<Vec<u8>>),
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Message {
    from: usize,
    to: usize,
    body: wire::Message,
}

/// The state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Cluster {
    pub(super) gateways: Vec<Gateway>,
    /// The states of the replica sets since the shard was opened.
    pub(super) states: Vec<Arc<ReplicaSets>>,
    pub(super) proposed: BTreeSet<Entry>,
    pub(super) messages: BTreeSet<Message>,
    /// The number of records that were appended; a record is its number.
    pub(super) appended: u8,
    pub(super) remaining_faults: Faults,
    /// The records that were committed.
    pub(super) committed: BTreeSet<u8>,
    /// Whether a record was committed under a later epoch than the first.
    pub(super) committed_after_change: bool,
    first_epoch: u64,
}

/// Returns the name of a gateway.
pub(super) fn gateway_name(index: usize) -> Name {
    format!("g{index}").into()
}

fn position_after(records: &[Vec<u8>]) -> LogPosition {
    records
        .iter()
        .fold(LogPosition::default(), |position, record| {
            position.advance(record)
        })
}

impl Cluster {
    /// Returns the state after rounds without faults: a set of two members has opened the shard.
    pub(super) fn with_open_shard(scenario: &Scenario) -> Cluster {
        let gateways = (0..GATEWAYS).map(|index| Gateway::new(scenario, index));
        let mut cluster = Cluster {
            gateways: gateways.collect(),
            states: vec![Arc::default()],
            proposed: BTreeSet::new(),
            messages: BTreeSet::new(),
            appended: 0,
            remaining_faults: scenario.faults,
            committed: BTreeSet::new(),
            committed_after_change: false,
            first_epoch: 0,
        };
        for index in 0..GATEWAYS {
            cluster.restart(scenario, index);
        }
        for _ in 0..INITIAL_ROUNDS {
            cluster.run_round();
        }
        let set = cluster.replica_sets().replica_set(1);
        let mut gateways = cluster.gateways.iter();
        assert!(
            set.members.len() == 2 && gateways.any(|gateway| gateway.replicator.is_primary(1)),
            "{set:?}"
        );
        cluster.first_epoch = set.epoch;
        let last = cluster.states.pop().unwrap();
        cluster.states = vec![last];
        for gateway in &mut cluster.gateways {
            gateway.seen_state = 0;
        }
        cluster.messages.clear();
        cluster.proposed.clear();
        cluster
    }

    /// Performs a round without faults: ticks, writes, messages and entries of all gateways.
    fn run_round(&mut self) {
        for index in 0..GATEWAYS {
            self.gateways[index].now += TICK;
            for other in (0..GATEWAYS).filter(|other| *other != index) {
                let heartbeat = wire::Message::Heartbeat;
                self.handle(index, Input::Received(gateway_name(other), heartbeat));
            }
            self.handle(index, Input::Tick);
            while self.complete_write(index) {
                self.handle(index, Input::Persisted(1));
            }
        }
        for message in std::mem::take(&mut self.messages) {
            self.deliver(message);
        }
        for entry in std::mem::take(&mut self.proposed) {
            self.agree(&entry);
        }
        for index in 0..GATEWAYS {
            self.deliver_sets(index);
        }
    }

    /// Returns the agreed state.
    pub(super) fn replica_sets(&self) -> &ReplicaSets {
        self.states.last().unwrap()
    }

    /// Passes an input to a replicator, and performs its outputs.
    pub(super) fn handle(&mut self, index: usize, input: Input) {
        let now = self.gateways[index].now;
        self.gateways[index].replicator.handle(now, input);
        while let Some(output) = self.gateways[index].replicator.next_output() {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            // Reachability is modelled by isolations.
            Output::Send(_, wire::Message::Heartbeat | wire::Message::Declined(..)) => {}
            Output::Send(to, body) => {
                self.messages.insert(Message {
                    from: index,
                    to: to[1..].parse().unwrap(),
                    body,
                });
            }
            Output::Propose(entry) => {
                self.proposed.insert(entry);
            }
            Output::StoreRecord { record, .. } => {
                let write = Write::Record(record.to_vec());
                self.gateways[index].writes.push_back(write);
            }
            Output::InstallSnapshot { content, .. } => {
                let records = postcard::from_bytes(&content).unwrap();
                let write = Write::Snapshot(records);
                self.gateways[index].writes.push_back(write);
            }
            Output::ReadSnapshot(shard, peer) => self.read_snapshot(index, shard, peer),
            Output::Committed(waiter, _) => {
                self.committed.insert(waiter as u8);
                let epoch = self.gateways[index].replicator.shards()[&1].set.epoch;
                self.committed_after_change |= epoch > self.first_epoch;
            }
            Output::DiskRejected => self.replace_disk(index),
            _ => {}
        }
    }

    fn read_snapshot(&mut self, index: usize, shard: ShardId, peer: Name) {
        let records = self.gateways[index].records_after_writes();
        let input = Input::SnapshotRead {
            shard,
            peer,
            position: position_after(&records),
            content: postcard::to_stdvec(&records).unwrap(),
        };
        self.handle(index, input);
    }

    fn replace_disk(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.disk_id += 10;
        gateway.incarnation = 1;
        gateway.disk.clear();
        gateway.writes.clear();
        let input = Input::DiskOpened {
            id: gateway.disk_id,
            incarnation: gateway.incarnation,
            positions: BTreeMap::new(),
        };
        self.handle(index, input);
    }

    /// Appends the next record at a gateway.
    pub(super) fn append(&mut self, index: usize) {
        self.appended += 1;
        let input = Input::Append {
            shard: 1,
            waiter: u64::from(self.appended),
            record: vec![self.appended],
            min_replicas: 2,
        };
        self.handle(index, input);
    }

    /// Delivers a message.
    pub(super) fn deliver(&mut self, message: Message) {
        let from = gateway_name(message.from);
        self.handle(message.to, Input::Received(from, message.body));
    }

    /// Completes the oldest write of a gateway, and returns whether there was one.
    pub(super) fn complete_write(&mut self, index: usize) -> bool {
        let gateway = &mut self.gateways[index];
        match gateway.writes.pop_front() {
            Some(Write::Record(record)) => gateway.disk.push(record),
            Some(Write::Snapshot(records)) => gateway.disk = records,
            None => return false,
        }
        true
    }

    /// Restarts a process. The messages in flight to and from it are lost with its connections.
    pub(super) fn restart(&mut self, scenario: &Scenario, index: usize) {
        let seen_state = self.states.len() - 1;
        let gateway = &mut self.gateways[index];
        gateway.starts += 1;
        gateway.incarnation += 1;
        gateway.writes.clear();
        let settings = scenario.settings(index, gateway.starts);
        gateway.replicator = Replicator::new(settings, gateway.now);
        gateway.seen_state = seen_state;
        let input = Input::DiskOpened {
            id: gateway.disk_id,
            incarnation: gateway.incarnation,
            positions: [(1, position_after(&gateway.disk))].into(),
        };
        self.messages
            .retain(|message| message.from != index && message.to != index);
        let sets = self.states[seen_state].clone();
        self.handle(index, input);
        self.handle(index, Input::SetsChanged(sets));
        for other in (0..GATEWAYS).filter(|other| *other != index) {
            self.handle(other, Input::Disconnected(gateway_name(index)));
        }
    }

    /// Loses a disk, which an empty one replaces.
    pub(super) fn lose_disk(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.disk_id += 10;
        gateway.incarnation = 0;
        gateway.disk.clear();
    }

    /// Agrees on an entry.
    pub(super) fn agree(&mut self, entry: &Entry) {
        let mut sets = self.replica_sets().clone();
        if sets.apply(entry) {
            self.states.push(Arc::new(sets));
        }
    }

    /// Delivers the latest replica sets to a gateway.
    pub(super) fn deliver_sets(&mut self, index: usize) {
        self.gateways[index].seen_state = self.states.len() - 1;
        let sets = self.states.last().unwrap().clone();
        self.handle(index, Input::SetsChanged(sets));
    }

    /// Advances the clock of a gateway that receives nothing.
    pub(super) fn isolate(&mut self, index: usize) {
        for _ in 0..ISOLATION_TICKS {
            self.gateways[index].now += TICK;
            self.handle(index, Input::Tick);
        }
    }
}
