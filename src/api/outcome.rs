//! Outcomes of attempts, load orders and health checks, and the data that answers carry.

/// Outcome of an attempt, a load order or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served. For a load order: the copies are loaded.
    Ok,
    /// The worker answered with an error. The attempt may have run.
    Error,
    /// The worker rejected it without running it.
    Rejected,
    /// No answer arrived in time. The attempt may have run.
    Timeout,
    /// No connection was established. The attempt did not run.
    ConnectFailed,
    /// The connection dropped. The attempt may have run.
    Reset,
    /// The attempt was cancelled. It may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The worker has no copy of the function. The attempt did not run.
    Miss,
}

/// How the copy that served a request came to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStart {
    /// It was already loaded.
    Warm,
    /// The request triggered the load.
    Triggered,
    /// The request joined a load in progress.
    Joined,
    /// The load failed.
    LoadFailed,
}

/// Load reported by a worker. Values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: Option<f32>,
    /// Requests held, including those waiting.
    pub in_flight: Option<f32>,
    /// The fraction of its processors in use.
    pub cpu_utilization: Option<f32>,
    /// The fraction of its memory that cannot be freed.
    pub pinned_memory: Option<f32>,
    /// Loads in progress or waiting.
    pub active_loads: Option<f32>,
}
