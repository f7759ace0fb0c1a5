//! Test bed of the gateway: fakes of its peers, fault injection, checkers of recorded histories,
//! measurements and a demo.

pub mod bench;
pub mod cli;
pub mod conformance;
pub mod crash;
pub mod demo;
pub mod emulator;
pub mod fakes;
pub mod fault_injection;
pub mod fault_proxy;
pub mod gossip;
pub mod guarantees;
pub mod history;
pub mod large_fleet;
pub mod lease_trials;
pub mod load;
pub mod outage;
pub mod rate;
pub mod rude_clients;
