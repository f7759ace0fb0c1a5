//! Settings of the decision module: classes, tenants, limits and the features of the platform.

use super::{Micros, ZoneId};

/// The workers that share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum IdempotencyScope {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// The effect of a request. It decides whether the request may be retried after an attempt that may
/// have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Effect {
    /// It may be retried and rejected at any time.
    Idempotent,
    /// It carries an idempotency key: workers in `scope` drop duplicates for `window` microseconds
    /// from the first attempt that may have run.
    Keyed {
        /// The workers that drop duplicates.
        scope: IdempotencyScope,
        /// The time for which they remember the key, in microseconds.
        window: Micros,
    },
    /// It must never run twice. This is the default for a class without a stated effect.
    #[default]
    NonIdempotent,
}

impl Effect {
    /// The effect of one request of a class with this effect. Workers recognize a repeat by its
    /// idempotency key alone, so without a key a request of a keyed class must never run twice.
    pub fn of_request(self, has_idempotency_key: bool) -> Effect {
        match self {
            Effect::Keyed { .. } if !has_idempotency_key => Effect::NonIdempotent,
            effect => effect,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, in microseconds, counts with the full weight.
    pub latency_objective: Micros,
    /// The total time that a client waits, its own retries included, in microseconds.
    pub deadline: Micros,
    /// The weight of a request relative to other classes.
    pub priority_weight: f64,
    /// The share of the weight that an answer after the latency objective still has.
    pub late_weight: f64,
    /// Whether and where a request may be retried.
    pub effect: Effect,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second over all instances; 0 if the tenant has none.
    pub quota_per_s: f64,
}

/// The limit on the rate of load orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The sliding window, in microseconds.
    pub window: Micros,
    /// Load orders allowed in the window, regardless of traffic.
    pub base_loads: f64,
    /// Further load orders allowed for each request received in the window.
    pub loads_per_request: f64,
}

/// Behaviour of a worker that receives a request for a function without a loaded copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnMiss {
    /// It loads the function while the request waits.
    #[default]
    Load,
    /// It answers [`Outcome::Miss`](super::Outcome::Miss). Only a load order loads the function.
    Reject,
}

/// Settings of the decision module. They contain no names.
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
    /// The fraction of its weight with which a request over its tenant's quota counts.
    pub over_quota_weight: f64,
    /// The time after the client's deadline during which a final answer still counts, in
    /// microseconds.
    pub answer_grace: Micros,
    /// The time after the announcement that a worker drains during which requests may still be sent
    /// to the worker, in microseconds.
    pub drain_grace: Micros,
    /// The share of its capacity that a worker has when its process starts.
    pub slow_start_floor: f64,
    /// The time after its start at which a worker has its full capacity, in microseconds.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails if it receives more than this multiple of its capacity for
    /// longer than [`Settings::overload_window`]; 0 if such an overload does not make it fail.
    pub overload_multiple: f64,
    /// See [`Settings::overload_multiple`]; in microseconds.
    pub overload_window: Micros,
    /// The minimum time that an idle copy stays loaded, in microseconds.
    pub copy_idle_timeout: Micros,
    /// Whether load orders may be sent.
    pub may_load: bool,
    /// The limit on the rate of load orders, if any.
    pub load_rate_limit: Option<LoadRateLimit>,
    /// The timeout of a load order, in microseconds.
    pub load_order_timeout: Micros,
    /// Behaviour of a worker that receives a request for a function without a loaded copy.
    pub on_miss: OnMiss,
    /// Whether answers state how the copy came to be loaded.
    pub reports_copy_start: bool,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether workers may be health-checked.
    pub may_health_check: bool,
    /// Whether load reports come with answers, not only with health checks.
    pub reports_inline: bool,
    /// The longest Retry-After that clients obey, in microseconds; 0 if Retry-After is not sent.
    pub max_retry_after: Micros,
    /// Whether discovery sends the endpoint list only after a subscription.
    pub must_subscribe: bool,
    /// The time after which changes at discovery count as known to this instance, even if discovery
    /// is unreachable, in microseconds; `None` if the list does not expire.
    pub list_max_age: Option<Micros>,
    /// Maximum number of functions that are remembered without a request under way; `None` if it is
    /// not limited.
    pub max_functions: Option<usize>,
    /// Whether discovery sends heartbeats that confirm the list. Otherwise a subscription is valid
    /// until it fails.
    pub discovery_heartbeats: bool,
}
