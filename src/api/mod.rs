//! The interface of the decision module: types only, no behaviour.
//!
//! The core turns what happens into [`Event`]s, hands them to the module, and carries out the
//! [`Action`]s that come back. Instants and spans are integer microseconds on the caller's clock,
//! which only moves forward.

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

/// An instant or a span, in microseconds.
pub type Micros = u64;
