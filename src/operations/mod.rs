//! What the staff do with a gateway in service: state without I/O. The driver is `gateway::operations`, the wire
//! `front::line`; how it is used stands in `docs/operators/daily.md`.

pub mod hot_restart;
pub mod lifecycle;
pub mod metrics;
pub mod overrides;
