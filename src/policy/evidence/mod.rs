//! Evidence that workers accept new work, and the decisions that follow from it.
//!
//! Service discovery counts as having announced a drain after a fixed time, even if it was
//! unreachable. A worker may therefore be sent new work only while there is evidence, younger than
//! that time plus the grace, that it had not begun to drain. Evidence is a list confirmed by
//! discovery, a call that the worker served, or a health check that it answered as alive. An answer
//! to a load query is not evidence: a draining worker gives it too.
//!
//! The tracker is a state machine without I/O on the caller's monotonic clock. It suspends workers
//! whose evidence has expired, requests health checks where they are allowed, and resumes workers.
//! It keeps state only for workers that are listed as ready, and drops it when they leave the list.

mod availability;
mod change;
mod check_budget;
mod checks;
mod contradiction;
mod discovery;
mod reexamination;
mod tracker;
mod validity;
mod view;
mod worker;

pub use availability::Availability;
pub use change::{DoubtReason, EvidenceChange, SuspendReason};
pub use tracker::{CheckResult, EvidenceTracker};
pub use view::WorkerEvidenceAge;
pub use worker::ReportedCapacity;
