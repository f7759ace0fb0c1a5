//! Requests to primaries.

use super::simulation::{Response, Simulation, MS};
use crate::replication::config::DisabledGuards;
use crate::replication::error::ReplicationError;
use crate::replication::replicator::Input;
use crate::replication::wire::RequestOutcome;

/// The primary never responds in time. That includes requests of the primary itself.
#[test]
fn request_expires_and_late_response_is_ignored() {
    let mut simulation = Simulation::new(3, 2, 7, DisabledGuards::default());
    simulation.run(3_000 * MS);
    let primary = simulation.agreed_primary(1);
    for gateway in 0..3 {
        let waiter = 70 + gateway as u64;
        let request = Input::Request {
            shard: 1,
            waiter,
            bytes: vec![1],
        };
        simulation.handle(gateway, request);
        simulation.responses.clear();
        simulation.run(700 * MS);
        let error = ReplicationError::PrimaryUnreachable { shard: 1 };
        let expired = Response {
            gateway,
            waiter,
            outcome: RequestOutcome::Rejected(error),
        };
        assert_eq!(simulation.responses, [expired]);
    }

    let request = simulation.requests.last().cloned().unwrap();
    simulation.responses.clear();
    let late = Input::Respond {
        peer: request.from,
        number: request.number,
        outcome: RequestOutcome::Committed(2),
    };
    simulation.handle(primary, late);
    simulation.run(50 * MS);
    assert_eq!(simulation.responses, []);
}
