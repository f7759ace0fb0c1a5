//! Inputs of the decision module.

use super::{
    CellId, ClassId, CopyStart, FunctionId, LoadRateLimit, LoadReport, Micros, Outcome, RequestId,
    TenantId, WorkerId, ZoneId,
};

/// State of a worker on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// No longer on the list.
    Removed,
}

/// One worker on the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub status: WorkerStatus,
    /// Its capacity relative to that of other workers, without a unit.
    pub capacity: f64,
    /// The last start of its process, if known.
    pub started_at: Option<Micros>,
}

/// Kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as cached before a restart. It may be outdated.
    Cached,
    /// A subscription failed. There are no entries.
    Failed,
}

/// Signal from the service discovery stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoverySignal {
    /// A new stream has opened. It delivers missed updates first.
    Opened,
    /// An update was received and applied.
    Update,
    /// A heartbeat was received: the list has not changed.
    Heartbeat,
    /// Part of an update or heartbeat was received.
    Incomplete,
    /// The stream has ended.
    Closed,
}

/// An incoming request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The called function.
    pub function: FunctionId,
    /// The client's deadline for this request.
    pub expires_at: Micros,
    /// The time from its arrival to its reading, in microseconds.
    pub unread_for: Micros,
    /// The expected run time in microseconds, if the client states it.
    pub expected_work: Option<Micros>,
    /// The memory of one loaded copy, in megabytes.
    pub memory_mb: f64,
    /// Requests that one copy runs at once.
    pub concurrency_per_copy: u32,
    /// The usual load time in microseconds, if known.
    pub load_duration: Option<Micros>,
    /// Whether its attempts carry an idempotency key.
    pub has_idempotency_key: bool,
}

/// The result of an attempt, with the data from its answer.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// The attempt number within the request, starting at 0.
    pub attempt: u8,
    /// Whether the request is finished, by this outcome or earlier.
    pub terminal: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How the copy came to be loaded, if the answer states it.
    pub copy_start: Option<CopyStart>,
    /// Requests of the function that the worker held when this one arrived, if the answer states
    /// it.
    pub function_in_flight: u32,
    /// The time from the sending of the attempt to its end, in microseconds.
    pub latency: Micros,
    /// The time from the arrival of the answer to its reading, in microseconds.
    pub unread_for: Micros,
    /// The worker's load report, if one was attached.
    pub load_report: Option<LoadReport>,
}

/// An event that the caller reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed.
    WorkerList {
        /// The kind of update.
        update: ListUpdate,
        /// The entries.
        workers: Vec<WorkerEntry>,
    },
    /// The service discovery stream sent a signal.
    Discovery(DiscoverySignal),
    /// The service discovery stream sent a signal that was read late.
    DelayedDiscovery {
        /// The signal.
        signal: DiscoverySignal,
        /// When it arrived.
        arrived_at: Micros,
    },
    /// A worker refused a connection while no other connection to it was open: its process has
    /// ended. With another one open, the worker may only have reached its connection limit.
    ConnectionRefused {
        /// The worker.
        worker: WorkerId,
    },
    /// A request arrived.
    Request(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The response to a streaming request has begun.
    Streaming {
        /// The request.
        request: RequestId,
    },
    /// The client disconnected and needs no answer.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A load order ended.
    LoadEnded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// The number of copies now loaded at the worker.
        copies: u32,
    },
    /// A health check ended.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// How it ended; [`Outcome::Error`] if the worker answered that it accepts no new work.
        outcome: Outcome,
        /// The worker's load report, if one was attached.
        load_report: Option<LoadReport>,
        /// The time since it was sent, in microseconds.
        latency: Micros,
        /// The time at which its connection was opened, if known.
        connection_opened_at: Option<Micros>,
    },
    /// Peers observed a worker's health. The caller has weighed their observations. The event may
    /// change the order of workers and bring a trial request forward, but never excludes a worker.
    PeerHealth {
        /// The worker.
        worker: WorkerId,
        /// Other workers are preferred until this instant. `None` if peers report the worker
        /// healthy: a trial after this instance's own failures may then be sent at once.
        unhealthy_until: Option<Micros>,
    },
    /// An operator has set a tenant's quota.
    TenantQuota {
        /// The tenant.
        tenant: TenantId,
        /// The quota in requests per second over all instances; 0 for no quota.
        quota_per_s: f64,
    },
    /// This instance's share of the limits has changed: while a new version starts beside an old
    /// one, each has its own share.
    InstanceLimits {
        /// The new load rate limit. Earlier orders and requests still count.
        load_rate_limit: Option<LoadRateLimit>,
        /// Replaces [`Settings::overload_multiple`](super::Settings::overload_multiple).
        overload_multiple: f64,
        /// The highest known throughput of a worker for this instance, in answers per microsecond;
        /// 0 if unknown.
        observed_capacity: f64,
    },
    /// A timer set by [`Action::Wake`](super::Action::Wake) is due.
    Wake {
        /// The token of the timer.
        token: u64,
    },
}
