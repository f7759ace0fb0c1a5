//! Operation of a running gateway (drain, exclusions, hot restart, metrics): state without I/O.
//!
//! The driver is `gateway::operations`, the operator console's protocol `front::operator_console`.
//! `docs/operators/daily.md` describes how it is used.

pub mod hot_restart;
pub mod lifecycle;
pub mod loop_timing;
pub mod memory_budget;
pub mod metrics;
pub mod overrides;
