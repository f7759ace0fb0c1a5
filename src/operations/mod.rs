//! What the staff do with a gateway in service: state without I/O. The driver is `node::operations`, the wire
//! `front::line`; how it is used stands in `docs/operators/daily.md`.

pub mod figures;
pub mod handover;
pub mod lifecycle;
pub mod upkeep;
