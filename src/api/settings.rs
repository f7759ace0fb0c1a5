//! What the module is told at start: classes, tenants, limits and what the platform supports.

use super::{Micros, ZoneId};

/// The workers among which an idempotency key is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum IdempotencyScope {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// How far a request may be retried once an attempt may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Effect {
    /// It may be retried and rejected freely.
    Idempotent,
    /// It carries an idempotency key: workers in `scope` drop a repeat for `window` microseconds
    /// from the first attempt that may have run.
    Keyed {
        /// The workers that drop repeats.
        scope: IdempotencyScope,
        /// How long they remember the key, in microseconds.
        window: Micros,
    },
    /// It must never run twice. A class of which nothing is known counts as this.
    #[default]
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, in microseconds, counts with the full weight.
    pub latency_objective: Micros,
    /// The longest that a client waits in all, its own retries included, in microseconds.
    pub deadline: Micros,
    /// How much a request counts against those of other classes.
    pub priority_weight: f64,
    /// The share of the weight that an answer after the latency objective still counts with.
    pub late_weight: f64,
    /// How far a request may be retried.
    pub effect: Effect,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all instances that are within its quota; 0 if it has no quota.
    pub quota_per_s: f64,
}

/// The limit on the rate of load orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The sliding window, in microseconds.
    pub window: Micros,
    /// Load orders allowed in the window, whatever the traffic.
    pub base_loads: f64,
    /// Further load orders allowed for each request taken in the window.
    pub loads_per_request: f64,
}

/// What a worker does with a request whose function it has no copy of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnMiss {
    /// It loads the function while the request waits.
    #[default]
    Load,
    /// It answers [`Outcome::Miss`](super::Outcome::Miss). Only a load order loads the function.
    Reject,
}

/// What the module is told at start. It holds no names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many instances share the work.
    pub instances: u32,
    /// This instance's zone.
    pub zone: ZoneId,
    /// The shortest time between two batches of events, in microseconds.
    pub tick: Micros,
    /// The classes, by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// The tenants, by [`TenantId`](super::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its weight that a request over its tenant's quota counts with.
    pub over_quota_weight: f64,
    /// How long after the client's deadline a final answer still counts, in microseconds.
    pub answer_grace: Micros,
    /// How long after the notice of a drain requests may still be sent there, in microseconds.
    pub drain_grace: Micros,
    /// The least share of its capacity that a worker has when its process starts.
    pub slow_start_floor: f64,
    /// The time after which a started worker has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails when it is sent more than this multiple of its capacity for
    /// longer than [`Settings::overload_window`]; 0 if it does not.
    pub overload_multiple: f64,
    /// See [`Settings::overload_multiple`]; in microseconds.
    pub overload_window: Micros,
    /// The least time that an idle copy stays loaded, in microseconds.
    pub copy_idle_timeout: Micros,
    /// Whether load orders may be given.
    pub may_load: bool,
    /// The limit on the rate of load orders, where one is stated.
    pub load_rate_limit: Option<LoadRateLimit>,
    /// The time after which a load order without an answer ends, in microseconds.
    pub load_order_timeout: Micros,
    /// What a worker does with a request whose function it has no copy of.
    pub on_miss: OnMiss,
    /// Whether answers tell how the copy came to be loaded.
    pub reports_copy_start: bool,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether workers may be health-checked.
    pub may_health_check: bool,
    /// Whether load reports come with answers, rather than with health checks alone.
    pub reports_inline: bool,
    /// The longest Retry-After that clients obey, in microseconds; 0 if they are told none.
    pub max_retry_after: Micros,
    /// Whether the endpoint list has to be subscribed to.
    pub must_subscribe: bool,
    /// What discovery has to tell counts as told after this, in microseconds, whether it was in reach or not; none
    /// where the list does not age.
    pub list_max_age: Option<Micros>,
    /// Whether discovery sends heartbeats that confirm the list, rather than a subscription that holds until it fails.
    pub discovery_heartbeats: bool,
}
