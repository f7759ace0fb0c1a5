//! The interface of the decision module: types only, no behaviour.
//!
//! The core converts inputs into [`Event`]s, passes them to the module, and carries out the
//! returned [`Action`]s. Instants and durations are integer microseconds on the caller's monotonic
//! clock.

mod action;
mod event;
mod ids;
mod outcome;
mod settings;

pub use action::Action;
pub use event::{
    Arrival, AttemptEnd, DiscoverySignal, Event, ListUpdate, WorkerEntry, WorkerStatus,
};
pub use ids::{CellId, ClassId, FunctionId, RequestId, TenantId, WorkerId, ZoneId};
pub use outcome::{CopyStart, LoadReport, Outcome};
pub use settings::{Class, Effect, IdempotencyScope, LoadRateLimit, OnMiss, Settings, Tenant};

/// An instant or a duration, in microseconds.
pub type Micros = u64;
