//! Guards against former primaries and former processes, each with and without the guard.

use super::simulation::{gateway_name, position_after, Simulation, MS};
use crate::replication::config::DisabledGuards;
use crate::replication::replicator::Input;
use crate::replication::wire::Message;

/// Guards against late messages of a stopped primary. The second primary was replaced itself, and
/// is now a replica of the third. Only the epoch tells it that the first primary is outdated.
#[test]
fn replica_declines_messages_of_earlier_epochs() {
    for epoch_check in [false, true] {
        let disabled_guards = DisabledGuards {
            epoch_check,
            ..DisabledGuards::default()
        };
        let mut simulation = Simulation::new(3, 2, 4, disabled_guards);
        simulation.run(3_000 * MS);
        let first = simulation.agreed_primary(1);
        simulation.gateways[first].stopped = true;
        simulation.gateways[first].ignores_changes = true;
        simulation.run(3_000 * MS);
        let second = simulation.agreed_primary(1);
        simulation.gateways[second].stopped = true;
        simulation.run(3_000 * MS);
        simulation.gateways[second].stopped = false;
        simulation.run(3_000 * MS);
        let members = simulation.members(1);
        assert!(
            members.contains(&gateway_name(second))
                && simulation.agreed_primary(1) != second
                && members.len() == 2
        );

        simulation.gateways[first].stopped = false;
        let waiter = simulation.append_at(first, 1, Some(vec![1]), 0);
        simulation.run(1_000 * MS);
        simulation.gateways[first].ignores_changes = false;
        simulation.run_traffic(500 * MS);
        assert_eq!(
            simulation.committed.contains(&waiter),
            epoch_check,
            "the guard prevents the commit"
        );
        assert_eq!(simulation.verify().is_err(), epoch_check);
    }
}

/// Guards against a late acknowledgement for a record of the previous process. Under the same epoch
/// it would count for a record of this process, which the replica does not have.
#[test]
fn process_does_not_continue_epoch_of_previous_one() {
    for process_check in [false, true] {
        let disabled_guards = DisabledGuards {
            process_check,
            ..DisabledGuards::default()
        };
        let mut simulation = Simulation::new(2, 2, 6, disabled_guards);
        simulation.run(3_000 * MS);
        simulation.run_traffic(300 * MS);
        simulation.run(200 * MS);
        let epoch = simulation.replica_set(1).epoch;
        let first = simulation.agreed_primary(1);
        let second = 1 - first;
        simulation.partitions.insert((first, second));
        simulation.kill(first);
        simulation.start(first);
        simulation.run(20 * MS);
        // The new process waits for the position of the other member until the timeout, and then
        // accepts records. Without a quorum nothing else is agreed on meanwhile.
        simulation.has_quorum = false;
        simulation.run(430 * MS);
        let records = &simulation.gateways[first].disk.shards[&1];
        let number = position_after(records).number + 1;
        let process = simulation.replica_sets().disks[&gateway_name(second)].process;
        let waiter = simulation.append_at(first, 1, Some(vec![1]), 0);
        simulation.run(10 * MS);
        let acknowledge = Message::Acknowledge {
            shard: 1,
            epoch,
            number,
            process,
        };
        simulation.handle(first, Input::Received(gateway_name(second), acknowledge));
        assert_eq!(simulation.committed.contains(&waiter), process_check);
    }
}
