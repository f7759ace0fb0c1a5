//! The bounds of a model: the number of appended records and of faults.

use super::cluster::{gateway_name, FAILURE_TIMEOUT, GATEWAYS};
use crate::replication::config::{DisabledGuards, Settings};
use crate::replication::placement::Host;

/// The number of faults that may occur, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Faults {
    /// How often a gateway receives nothing for longer than the failure timeout.
    pub(super) isolations: u8,
    /// How often a process restarts.
    pub(super) restarts: u8,
    /// How often a machine is lost with its disk, and starts again on an empty disk.
    pub(super) losses: u8,
    /// How often a message arrives twice.
    pub(super) repetitions: u8,
}

/// The bounds of a model.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    /// The number of records that are appended.
    pub(super) appends: u8,
    pub(super) faults: Faults,
    pub(super) disabled_guards: DisabledGuards,
}

impl Scenario {
    pub(super) fn new(
        appends: u8,
        isolations: u8,
        restarts: u8,
        losses: u8,
        repetitions: u8,
    ) -> Scenario {
        Scenario {
            appends,
            faults: Faults {
                isolations,
                restarts,
                losses,
                repetitions,
            },
            disabled_guards: DisabledGuards::default(),
        }
    }

    /// Returns the settings of a gateway's process.
    pub(super) fn settings(&self, index: usize, starts: u64) -> Settings {
        let host = |index| Host {
            name: gateway_name(index),
            hall: None,
        };
        Settings {
            name: gateway_name(index),
            process: 100 * (index as u64 + 1) + starts,
            replicas: 2,
            shards: 1,
            failure_timeout: FAILURE_TIMEOUT,
            acknowledgement_timeout: FAILURE_TIMEOUT / 2,
            request_timeout: FAILURE_TIMEOUT,
            max_repairs: 1,
            verify_interval: 0,
            hosts: (0..GATEWAYS).map(host).collect(),
            disabled_guards: self.disabled_guards,
        }
    }
}
