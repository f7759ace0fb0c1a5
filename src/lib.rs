#![doc = include_str!("../README.md")]

pub mod admin;
pub mod api;
pub mod cli;
pub mod clock;
pub mod completion;
pub mod config;
pub mod consensus;
pub mod core;
pub mod counters;
pub mod delivery;
pub mod discovery;
pub mod front;
pub mod gateway;
pub mod health_checks;
pub mod identity;
pub mod lease;
pub mod load_coordination;
pub mod membership;
pub mod names;
pub mod net;
pub mod operations;
pub mod policy;
pub mod replication;
pub mod settings;
pub mod store;
pub mod tenancy;
pub mod worker;

#[cfg(test)]
#[path = "../tests/common/fixture.rs"]
mod fixture;
/// Recorded files that tests of private formats are compared with.
#[cfg(test)]
#[path = "../tests/common/fixtures.rs"]
mod fixtures;
#[cfg(test)]
#[path = "../tests/common/hex.rs"]
mod hex;

pub use api::{Action, Event, Outcome, Settings};
pub use policy::Policy;
