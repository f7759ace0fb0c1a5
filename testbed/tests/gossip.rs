//! Gossip between real gateway processes on loopback.

use std::path::PathBuf;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::gossip::{run_fleet, BYTES_PER_S};

/// Five instances, one of them a malicious fake: the other four discover each other, keep
/// considering each other alive, serve calls, and stay below their send limit.
#[test]
fn honest_instances_stay_connected_despite_malicious_peer() {
    PROGRAM.get_or_init(|| PathBuf::from(env!("CARGO_BIN_EXE_molelug-testbed")));
    let result = run_fleet(5, 1, 12, true).unwrap();
    assert_eq!(result.agreeing, 4, "{result:?}");
    assert!(
        result.calls > 100 && result.served * 100 >= result.calls * 97,
        "{result:?}"
    );
    assert!(
        result.most_bytes_per_s > 0.0 && result.most_bytes_per_s <= f64::from(BYTES_PER_S),
        "{result:?}"
    );
}
