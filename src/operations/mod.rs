//! What operators do with a gateway in service: state machines without I/O.
//!
//! The driver is `gateway::operations`, the protocol of the second address
//! `front::operator_console`. `docs/operators/daily.md` describes how it is used.

pub mod hot_restart;
pub mod lifecycle;
pub mod metrics;
pub mod overrides;
