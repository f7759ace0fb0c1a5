//! What happens: the inputs of the decision module.

use super::{
    CellId, ClassId, CopyStart, FunctionId, LoadRateLimit, LoadReport, Micros, Outcome, RequestId,
    TenantId, WorkerId, ZoneId,
};

/// A worker's state on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left the list.
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
    /// Its capacity relative to other workers', without a unit.
    pub capacity: f64,
    /// When its process last started, where that is known.
    pub started_at: Option<Micros>,
}

/// The kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as it was cached before a restart. It may be outdated.
    Cached,
    /// A subscription failed. There are no entries.
    Failed,
}

/// A sign of the stream of service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoverySignal {
    /// A new stream has answered. What was missed comes first.
    Opened,
    /// An update has come; it has been applied.
    Update,
    /// A heartbeat has come: nothing has changed.
    Heartbeat,
    /// Part of an update or heartbeat has come.
    Incomplete,
    /// The stream has ended.
    Closed,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The function that it calls.
    pub function: FunctionId,
    /// When the client stops waiting for this request.
    pub expires_at: Micros,
    /// The expected run time in microseconds, where clients tell it.
    pub expected_work: Option<Micros>,
    /// The memory of one loaded copy, in megabytes.
    pub memory_mb: f64,
    /// Requests that one copy runs at once.
    pub concurrency_per_copy: u32,
    /// The usual time of a load in microseconds, where it is told.
    pub load_duration: Option<Micros>,
}

/// How an attempt ended and what came back with it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The worker that was tried.
    pub worker: WorkerId,
    /// Which attempt of the request, from 0.
    pub attempt: u8,
    /// Whether the request is finished by this outcome or was before it.
    pub terminal: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How the copy came to be loaded, where the answer tells it.
    pub copy_start: Option<CopyStart>,
    /// Requests of the function that the worker held when this one came, where the answer tells it.
    pub function_in_flight: u32,
    /// The time since the attempt was sent, in microseconds.
    pub latency: Micros,
    /// The worker's load report, where one came along.
    pub load_report: Option<LoadReport>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed.
    WorkerList {
        /// What the entries are.
        update: ListUpdate,
        /// The entries.
        workers: Vec<WorkerEntry>,
    },
    /// The stream of service discovery has given a sign.
    Discovery(DiscoverySignal),
    /// A connection to a worker was refused while no other was open: its process has ended. With another one open, it may
    /// only have as many as it takes.
    WorkerRefused {
        /// The worker.
        worker: WorkerId,
    },
    /// A request arrived.
    Request(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The answer to a streamed request has begun.
    Streaming {
        /// The request.
        request: RequestId,
    },
    /// The client left and needs no answer any more.
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
        /// The copies that stand there now.
        copies: u32,
    },
    /// A health check ended.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// How it ended; [`Outcome::Error`] if the worker answered that it takes nothing new.
        outcome: Outcome,
        /// The worker's load report, where one came along.
        load_report: Option<LoadReport>,
        /// The time since it was sent, in microseconds.
        latency: Micros,
        /// When the connection that carried it was opened, where that is known.
        connection_opened_at: Option<Micros>,
    },
    /// Peers observed a worker's health. The caller has weighed their observations. They may change
    /// the order of workers and bring a trial forward, but never exclude a worker.
    PeerHealth {
        /// The worker.
        worker: WorkerId,
        /// Other workers come first until this instant. None if the worker is said to be healthy: a
        /// trial after an own failure may then come now.
        unhealthy_until: Option<Micros>,
    },
    /// An operator has set a tenant's quota.
    TenantQuota {
        /// The tenant.
        tenant: TenantId,
        /// Requests a second over all instances; 0 for no quota.
        quota_per_s: f64,
    },
    /// The part of the limits that this instance may use has changed: while a new version starts
    /// beside an old one, each has its own part.
    InstanceLimits {
        /// The load rate limit from now on. Earlier orders and requests still count.
        load_rate_limit: Option<LoadRateLimit>,
        /// Replaces [`Settings::overload_multiple`](super::Settings::overload_multiple).
        overload_multiple: f64,
        /// The most that a worker is known to have served for this instance, in answers a
        /// microsecond; 0 if nothing is known.
        observed_capacity: f64,
    },
    /// A timer set by [`Action::Wake`](super::Action::Wake) is due.
    Wake {
        /// The token given with the timer.
        token: u64,
    },
}
