//! Fault-injection rounds (`rounds`): real gateway processes with failing links, machines and
//! disks. A checker judges each round by the recorded histories.

pub mod copies;
pub mod fleet;
pub mod tenants;
