//! Instances that talk, as processes on loopback.

use std::path::PathBuf;

use molelug_testbed::fakes::gateway::PROGRAM;
use molelug_testbed::gossip::{run_fleet, BYTES_PER_S};

/// Five instances, one of them a stand-in that lies in every way: the four find and keep each other, serve, and stay
/// under their ceiling.
#[test]
fn four_instances_keep_each_other_beside_one_that_lies() {
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
