//! Simulation of gateways on a virtual clock, with a network that loses, repeats and delays
//! messages, and with disks that fail.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::api::Micros;
use crate::replication::config::{DisabledGuards, Settings};
use crate::replication::error::ReplicationError;
use crate::replication::history::HistoryEvent;
use crate::replication::placement::Host;
use crate::replication::replica_sets::{Entry, ReplicaSets};
use crate::replication::replicator::{Input, Replicator};
use crate::replication::wire::{Message, RequestOutcome};
use crate::replication::{Name, ShardId};

mod gateway;
mod outputs;
mod queries;
mod verdict;

pub(super) use gateway::position_after;
use gateway::{DiskImage, SimulatedGateway, Write};

/// A millisecond in microseconds.
pub(super) const MS: Micros = 1_000;
/// The number of shards of a simulation.
pub(super) const SHARDS: u16 = 4;

enum Event {
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    Entry(Entry),
}

/// A record that was appended.
pub(super) struct AppendedRecord {
    shard: ShardId,
    bytes: Vec<u8>,
}

/// A response to a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Response {
    pub(super) gateway: usize,
    pub(super) waiter: u64,
    pub(super) outcome: RequestOutcome,
}

/// A request that a primary handles.
#[derive(Clone, Debug)]
pub(super) struct HandledRequest {
    pub(super) from: Name,
    pub(super) number: u64,
}

/// A simulation of several gateways.
pub(super) struct Simulation {
    pub(super) now: Micros,
    random: ChaCha8Rng,
    pub(super) gateways: Vec<SimulatedGateway>,
    /// All states of the replica sets.
    states: Vec<Arc<ReplicaSets>>,
    events: BTreeMap<(Micros, u64), Event>,
    last_event: u64,
    /// The percentage of messages that are lost.
    pub(super) loss_percent: u64,
    /// Pairs of sender and recipient whose messages are lost.
    pub(super) partitions: BTreeSet<(usize, usize)>,
    /// Whether proposed entries are agreed on; false while the consensus log has no majority.
    pub(super) has_quorum: bool,
    replicas: usize,
    disabled_guards: DisabledGuards,
    last_process: u64,
    pub(super) last_waiter: u64,
    /// The records that were appended, by their waiters.
    pub(super) appended: BTreeMap<u64, AppendedRecord>,
    /// The waiters of the records that were committed.
    pub(super) committed: BTreeSet<u64>,
    pub(super) rejections: Vec<ReplicationError>,
    /// The events that gateways recorded, each with the gateway.
    pub(super) history: Vec<(usize, HistoryEvent)>,
    /// The reads of a shard's state by new primaries: the gateway and the shard of each read.
    pub(super) state_reads: Vec<(usize, ShardId)>,
    pub(super) responses: Vec<Response>,
    pub(super) requests: Vec<HandledRequest>,
}

/// Returns the name of a gateway.
pub(super) fn gateway_name(index: usize) -> Name {
    format!("g{index}").into()
}

/// Returns the index of a gateway.
pub(super) fn gateway_index(name: &Name) -> usize {
    name[1..].parse().unwrap()
}

impl Simulation {
    pub(super) fn new(
        gateways: usize,
        replicas: usize,
        seed: u64,
        disabled_guards: DisabledGuards,
    ) -> Simulation {
        let mut simulation = Simulation {
            now: 1_000 * MS,
            random: ChaCha8Rng::seed_from_u64(seed),
            gateways: (0..gateways).map(|_| SimulatedGateway::new()).collect(),
            states: vec![Arc::default()],
            events: BTreeMap::new(),
            last_event: 0,
            loss_percent: 0,
            partitions: BTreeSet::new(),
            has_quorum: true,
            replicas,
            disabled_guards,
            last_process: 0,
            last_waiter: 0,
            appended: BTreeMap::new(),
            committed: BTreeSet::new(),
            rejections: Vec::new(),
            history: Vec::new(),
            state_reads: Vec::new(),
            responses: Vec::new(),
            requests: Vec::new(),
        };
        for index in 0..gateways {
            simulation.gateways[index].disk.id = simulation.random.next_u64();
            simulation.start(index);
        }
        simulation
    }

    /// Draws a number below a limit.
    pub(super) fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    fn settings(&mut self, index: usize) -> Settings {
        self.last_process += 1;
        let host = |index| Host {
            name: gateway_name(index),
            hall: Some(format!("h{}", index % 3)),
        };
        Settings {
            name: gateway_name(index),
            process: self.last_process,
            replicas: self.replicas,
            shards: SHARDS,
            failure_timeout: 400 * MS,
            acknowledgement_timeout: 200 * MS,
            request_timeout: 500 * MS,
            max_repairs: 2,
            verify_interval: 500 * MS,
            hosts: (0..self.gateways.len()).map(host).collect(),
            disabled_guards: self.disabled_guards,
        }
    }

    /// Starts a process.
    pub(super) fn start(&mut self, index: usize) {
        let settings = self.settings(index);
        let gateway = &mut self.gateways[index];
        gateway.disk.incarnation += 1;
        gateway.writes.clear();
        gateway.stopped = false;
        gateway.replicator = Some(Replicator::new(settings, self.now));
        gateway.seen_state = 0;
        let shards = gateway.disk.shards.iter();
        let input = Input::DiskOpened {
            id: gateway.disk.id,
            incarnation: gateway.disk.incarnation,
            positions: shards
                .map(|(shard, records)| (*shard, position_after(records)))
                .collect(),
        };
        self.handle(index, input);
        self.deliver_state(index);
    }

    /// Ends a process. A random number of its pending writes still reach the disk.
    pub(super) fn kill(&mut self, index: usize) {
        let writes = self.gateways[index].writes.len() as u64;
        let completed = self.random_below(writes + 1);
        for _ in 0..completed {
            self.complete_write(index);
        }
        let gateway = &mut self.gateways[index];
        gateway.replicator = None;
        gateway.writes.clear();
        for records in gateway.disk.shards.values_mut() {
            records.truncate(records.len().saturating_sub(gateway.lost_records));
        }
    }

    /// Loses a machine with its disk. The next process starts on an empty disk.
    pub(super) fn lose(&mut self, index: usize) {
        self.kill(index);
        let id = self.random.next_u64();
        self.gateways[index].disk = DiskImage {
            id,
            ..DiskImage::default()
        };
    }

    /// Delivers the latest state of the replica sets to a gateway.
    fn deliver_state(&mut self, index: usize) {
        let last = self.states.len() - 1;
        if self.gateways[index].seen_state < last || last == 0 {
            self.gateways[index].seen_state = last;
            let sets = self.states[last].clone();
            self.handle(index, Input::SetsChanged(sets));
        }
    }

    /// Completes the oldest write of a disk, and returns its shard.
    fn complete_write(&mut self, index: usize) -> Option<ShardId> {
        let gateway = &mut self.gateways[index];
        let (_, write) = gateway.writes.pop_front()?;
        match write {
            Write::Record(shard, record) => {
                gateway.disk.shards.entry(shard).or_default().push(record);
                Some(shard)
            }
            Write::Snapshot(shard, records) => {
                gateway.disk.shards.insert(shard, records);
                gateway.disk.damaged.remove(&shard);
                Some(shard)
            }
        }
    }

    /// Passes an input to a replicator, and performs its outputs.
    pub(super) fn handle(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(replicator) = &mut self.gateways[index].replicator else {
            return;
        };
        replicator.handle(now, input);
        let mut outputs = Vec::new();
        while let Some(output) = replicator.next_output() {
            outputs.push(output);
        }
        for output in outputs {
            self.perform(index, output);
        }
    }

    /// Schedules an event at a random time within a span.
    fn schedule(&mut self, span: Micros, event: Event) {
        self.last_event += 1;
        let at = self.now + 1 + self.random_below(span);
        self.events.insert((at, self.last_event), event);
    }

    /// Advances the clock by a span, and handles the events that are due.
    pub(super) fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            let later = self.events.split_off(&(self.now, u64::MAX));
            for (_, event) in std::mem::replace(&mut self.events, later) {
                self.dispatch(event);
            }
            for index in 0..self.gateways.len() {
                self.step_gateway(index);
            }
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Message { from, to, message } if !self.gateways[to].stopped => {
                self.handle(to, Input::Received(gateway_name(from), message));
            }
            // The operating system keeps the message until the process continues.
            Event::Message { .. } => self.schedule(50 * MS, event),
            Event::Entry(entry) => {
                let mut sets = (**self.states.last().unwrap()).clone();
                sets.apply(&entry);
                self.states.push(Arc::new(sets));
            }
        }
    }

    fn step_gateway(&mut self, index: usize) {
        if self.gateways[index].replicator.is_none() || self.gateways[index].stopped {
            return;
        }
        while self.is_write_due(index) {
            if let Some(shard) = self.complete_write(index) {
                self.handle(index, Input::Persisted(shard));
            }
        }
        // The replica sets arrive late, and at different times at each gateway.
        if self.random_below(4) == 0 && !self.gateways[index].ignores_changes {
            self.deliver_state(index);
        }
        let replicator = self.gateways[index].replicator.as_ref();
        let deadline = replicator.map(Replicator::next_deadline);
        if deadline.is_some_and(|deadline| deadline <= self.now) {
            self.handle(index, Input::Tick);
        }
    }

    fn is_write_due(&self, index: usize) -> bool {
        let gateway = &self.gateways[index];
        let next = gateway.writes.front();
        !gateway.disk_full && next.is_some_and(|(at, _)| *at <= self.now)
    }

    /// Appends a record at one gateway, and returns its waiter.
    pub(super) fn append_at(
        &mut self,
        index: usize,
        shard: ShardId,
        record: Option<Vec<u8>>,
        min_replicas: usize,
    ) -> u64 {
        self.last_waiter += 1;
        let waiter = self.last_waiter;
        let bytes = record.unwrap_or_else(|| waiter.to_le_bytes().to_vec());
        let appended = AppendedRecord {
            shard,
            bytes: bytes.clone(),
        };
        self.appended.insert(waiter, appended);
        let input = Input::Append {
            shard,
            waiter,
            record: bytes,
            min_replicas,
        };
        self.handle(index, input);
        waiter
    }

    /// Appends a record of a random shard at all gateways that regard themselves as its primary.
    pub(super) fn append(&mut self, min_replicas: usize) {
        let shard = 1 + self.random_below(u64::from(SHARDS)) as ShardId;
        for index in 0..self.gateways.len() {
            if self.is_primary(index, shard) && !self.gateways[index].stopped {
                self.append_at(index, shard, None, min_replicas);
            }
        }
    }

    /// Appends records throughout a span.
    pub(super) fn run_traffic(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.append(self.replicas);
            self.run(10 * MS);
        }
    }
}
