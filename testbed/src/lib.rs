//! Tools and stand-ins around the gateway: what its tests, measurements and a newcomer's first steps share.

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
pub mod history;
pub mod lease_trials;
pub mod load;
pub mod outage;
pub mod rate;
