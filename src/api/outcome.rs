//! How attempts, load orders and health checks end, and what an answer tells besides.

/// How an attempt, a load order or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served. For a load order: the copies stand.
    Ok,
    /// The worker answered with an error. The attempt may have run.
    Error,
    /// The worker rejected it unseen. It did not run.
    Rejected,
    /// No answer came in time. It may have run.
    Timeout,
    /// No connection came up. It did not run.
    ConnectFailed,
    /// The connection dropped. It may have run.
    Reset,
    /// It was cancelled. It may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The worker has no copy of the function. It did not run.
    Miss,
}

/// How the copy that served a request came to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStart {
    /// It stood loaded.
    Warm,
    /// The request triggered the load.
    Triggered,
    /// The request joined a load in progress.
    Joined,
    /// The load failed.
    LoadFailed,
}

/// A worker's report of its load. Values that are not reported are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait.
    pub queued: Option<f32>,
    /// Requests that it holds, those that wait included.
    pub in_flight: Option<f32>,
    /// The share of its processors at work.
    pub cpu_utilization: Option<f32>,
    /// The share of its memory that cannot be freed.
    pub pinned_memory: Option<f32>,
    /// Loads in progress or waiting.
    pub active_loads: Option<f32>,
}
