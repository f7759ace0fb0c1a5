//! Model checking of the replicator: one shard at three gateways, in every order of lost, late and
//! repeated messages, of entries agreed on late, of writes cut off by a restart, of lost disks, and
//! of gateways that are isolated for a while.
//!
//! Each gateway has its own clock, which advances only when the gateway is isolated for so long
//! that it regards all others as unreachable. A stopped process is one that takes no steps
//! meanwhile. In the initial state a set of two members has opened the shard.

use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};

use cluster::{gateway_name, Cluster, Message};
use scenario::Scenario;

use crate::replication::config::DisabledGuards;
use crate::replication::replica_sets::{Disk, Entry};
use crate::replication::replicator::Input;

mod cluster;
mod scenario;

/// The maximum number of states of one scenario.
const MAX_STATES: usize = 2_000_000;
const COMMITTED_AT_ALL_MEMBERS: &str = "committed records are at all members";
const COMMITTED_SURVIVES_ONE_LOSS: &str = "a committed record survives one loss";
const COMMITTED_AFTER_CHANGE: &str = "a record is committed after a change";

/// A step of a scenario.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Append(usize),
    Deliver(Message),
    /// Deliver a message that arrives once more later.
    DeliverRepeated(Message),
    Agree(Entry),
    DeliverSets(usize),
    CompleteWrite(usize),
    /// Receive nothing from the others for longer than the failure timeout.
    Isolate(usize),
    Restart(usize),
    /// Restart after all writes have reached the disk.
    RestartAfterWrites(usize),
    Lose(usize),
}

impl Model for Scenario {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        vec![Cluster::with_open_shard(self)]
    }

    fn actions(&self, cluster: &Cluster, steps: &mut Vec<Step>) {
        for (index, gateway) in cluster.gateways.iter().enumerate() {
            if cluster.appended < self.appends && gateway.replicator.is_primary(1) {
                steps.push(Step::Append(index));
            }
            if gateway.seen_state + 1 < cluster.states.len() {
                steps.push(Step::DeliverSets(index));
            }
            if !gateway.writes.is_empty() {
                steps.push(Step::CompleteWrite(index));
            }
            if cluster.remaining_faults.isolations > 0 {
                steps.push(Step::Isolate(index));
            }
            if cluster.remaining_faults.restarts > 0 {
                steps.push(Step::Restart(index));
                if !gateway.writes.is_empty() {
                    steps.push(Step::RestartAfterWrites(index));
                }
            }
            if cluster.remaining_faults.losses > 0 {
                steps.push(Step::Lose(index));
            }
        }
        steps.extend(cluster.messages.iter().cloned().map(Step::Deliver));
        if cluster.remaining_faults.repetitions > 0 {
            let messages = cluster.messages.iter().cloned();
            steps.extend(messages.map(Step::DeliverRepeated));
        }
        steps.extend(cluster.proposed.iter().cloned().map(Step::Agree));
    }

    fn next_state(&self, before: &Cluster, step: Step) -> Option<Cluster> {
        let mut cluster = before.clone();
        match step {
            Step::Append(index) => cluster.append(index),
            Step::Deliver(message) => {
                cluster.messages.remove(&message);
                cluster.deliver(message);
            }
            Step::DeliverRepeated(message) => {
                cluster.remaining_faults.repetitions -= 1;
                cluster.deliver(message);
            }
            Step::Agree(entry) => {
                cluster.proposed.remove(&entry);
                cluster.agree(&entry);
            }
            Step::DeliverSets(index) => cluster.deliver_sets(index),
            Step::CompleteWrite(index) => {
                cluster.complete_write(index);
                cluster.handle(index, Input::Persisted(1));
            }
            Step::Isolate(index) => {
                cluster.remaining_faults.isolations -= 1;
                cluster.isolate(index);
            }
            Step::Restart(index) => {
                cluster.remaining_faults.restarts -= 1;
                cluster.restart(self, index);
            }
            Step::RestartAfterWrites(index) => {
                cluster.remaining_faults.restarts -= 1;
                while cluster.complete_write(index) {}
                cluster.restart(self, index);
            }
            Step::Lose(index) => {
                cluster.remaining_faults.losses -= 1;
                cluster.lose_disk(index);
                cluster.restart(self, index);
            }
        }
        (cluster != *before).then_some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(COMMITTED_AT_ALL_MEMBERS, |_, cluster: &Cluster| {
                (0..cluster.gateways.len()).all(|index| has_committed_if_member(cluster, index))
            }),
            Property::always(COMMITTED_SURVIVES_ONE_LOSS, |_, cluster: &Cluster| {
                cluster.committed.iter().all(|record| {
                    let mut gateways = cluster.gateways.iter();
                    gateways.any(|gateway| gateway.has_record(*record))
                })
            }),
            Property::sometimes(COMMITTED_AFTER_CHANGE, |_, cluster: &Cluster| {
                cluster.committed_after_change
            }),
        ]
    }
}

/// Returns whether a gateway has all committed records, if it can take over the shard. A gateway
/// whose disk was lost cannot, once the loss is agreed on.
fn has_committed_if_member(cluster: &Cluster, index: usize) -> bool {
    let gateway = &cluster.gateways[index];
    let sets = cluster.replica_sets();
    let name = gateway_name(index);
    let is_registered = sets
        .disks
        .get(&name)
        .is_some_and(|disk: &Disk| disk.id == gateway.disk_id);
    let is_member = sets.replica_set(1).members.contains(&name);
    let has_all = || {
        cluster
            .committed
            .iter()
            .all(|record| gateway.has_record(*record))
    };
    !is_registered || !is_member || has_all()
}

/// Explores a scenario up to a number of states, and returns the properties that do not hold and
/// the number of states.
fn explore(scenario: Scenario, max_states: usize) -> (Vec<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |threads| threads.get().min(4));
    let checker = scenario
        .checker()
        .threads(threads)
        .target_state_count(max_states)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let violated = checker
        .model()
        .properties()
        .iter()
        .filter(|property| {
            let is_discovered = checker.discovery(property.name).is_some();
            is_discovered != matches!(property.expectation, Expectation::Sometimes)
        })
        .map(|property| property.name)
        .collect();
    (violated, checker.unique_state_count())
}

fn assert_holds(scenario: Scenario, max_states: usize) {
    let (violated, states) = explore(scenario.clone(), max_states);
    println!("{states} states: {scenario:?}");
    assert_eq!(violated, Vec::<&str>::new());
}

#[test]
fn commits_survive_faults() {
    assert_holds(Scenario::new(1, 1, 0, 0, 1), MAX_STATES);
    assert_holds(Scenario::new(1, 1, 0, 1, 0), MAX_STATES);
}

/// Explores more faults than the test above, up to the maximum number of states.
#[test]
#[ignore = "takes minutes; cargo test --release --lib replication::tests::model -- --ignored"]
fn commits_survive_more_faults() {
    for scenario in [
        Scenario::new(1, 2, 0, 1, 0),
        Scenario::new(1, 1, 1, 1, 0),
        Scenario::new(2, 1, 1, 0, 0),
        Scenario::new(1, 2, 1, 0, 0),
        Scenario::new(1, 1, 1, 0, 1),
    ] {
        assert_holds(scenario, 2 * MAX_STATES);
    }
}

#[test]
fn disabled_guards_are_detected() {
    let without_acknowledgements = Scenario {
        disabled_guards: DisabledGuards {
            full_acknowledgement: true,
            ..DisabledGuards::default()
        },
        ..Scenario::new(1, 1, 0, 0, 0)
    };
    let (violated, _) = explore(without_acknowledgements, MAX_STATES);
    assert!(violated.contains(&COMMITTED_AT_ALL_MEMBERS));

    let without_min_replicas = Scenario {
        disabled_guards: DisabledGuards {
            min_replicas_check: true,
            ..DisabledGuards::default()
        },
        ..Scenario::new(1, 1, 0, 1, 0)
    };
    let (violated, _) = explore(without_min_replicas, MAX_STATES);
    assert!(violated.contains(&COMMITTED_SURVIVES_ONE_LOSS));
}
