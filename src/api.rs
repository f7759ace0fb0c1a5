//! The interface of the decision module: types only, no behaviour.
//!
//! Times are integer microseconds on the caller's clock, which only moves forward.

/// A time or a span, in microseconds.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(
    /// A request; never reused.
    RequestId, u32
);
id!(
    /// A worker; kept when its process restarts.
    WorkerId, u32
);
id!(
    /// A function that a loaded copy can run.
    FunctionId, u64
);
id!(
    /// The place of a request's class in [`Settings::classes`].
    ClassId, u8
);
id!(
    /// The place of a request's tenant in [`Settings::tenants`].
    TenantId, u32
);
id!(
    /// A zone.
    ZoneId, u8
);
id!(
    /// A cell: a few workers that share which keys they have seen.
    CellId, u16
);

/// The workers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum IdempotencyScope {
    /// Every worker.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// How far a request may be repeated once it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Effect {
    /// May be repeated and refused freely.
    Idempotent,
    /// Repeats are dropped within `group` for `window` from the first attempt that may have run.
    Keyed {
        /// The workers that drop repeats.
        scope: IdempotencyScope,
        /// How long they remember.
        window: Micros,
    },
    /// Must never run twice; also what a class of which nothing is known counts as.
    #[default]
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// The longest a client waits in all.
    pub deadline: Micros,
    /// Worth of a request.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// What repeating does.
    pub effect: Effect,
}

/// A tenant's share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all instances that are within its share; 0 where none is stated.
    pub quota_per_s: f64,
}

/// The ration of load orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The sliding window.
    pub window: Micros,
    /// Orders allowed whatever the traffic.
    pub base_loads: f64,
    /// Further orders allowed for each request taken in the window.
    pub loads_per_request: f64,
}

/// What a worker does with a request whose function it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnMiss {
    /// It loads the function while the request waits.
    #[default]
    Load,
    /// It answers [`Outcome::Miss`]; only an order loads.
    Reject,
}

/// What the module is told at start. It holds no names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many instances share the work.
    pub instances: u32,
    /// This instance's zone.
    pub zone: ZoneId,
    /// The shortest time between two batches of events.
    pub tick: Micros,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// A final answer still counts this long after the client's time.
    pub answer_grace: Micros,
    /// How long after news of a drain new work may still go there.
    pub drain_grace: Micros,
    /// Least share of its capacity at which a worker starts.
    pub slow_start_floor: f64,
    /// It is warm after this time at the latest.
    pub slow_start_duration: Micros,
    /// A cold worker sent this multiple of what it can do falls over ...
    pub overload_multiple: f64,
    /// ... when it goes on for this long.
    pub overload_window: Micros,
    /// An idle copy stays at least this long.
    pub copy_idle_timeout: Micros,
    /// Whether load orders may be given.
    pub may_load: bool,
    /// The ration of load orders, where one is stated.
    pub load_rate_limit: Option<LoadRateLimit>,
    /// A load order without an answer ends after this time.
    pub load_order_timeout: Micros,
    /// What a worker does on a miss.
    pub on_miss: OnMiss,
    /// Whether answers tell if a copy stood loaded.
    pub reports_copy_start: bool,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether workers may be probed.
    pub may_health_check: bool,
    /// Whether load reports come with answers rather than with probes alone.
    pub reports_inline: bool,
    /// The longest wait that a client obeys after a refusal; 0 where clients are not told.
    pub max_retry_after: Micros,
    /// Whether the list of workers must be subscribed to.
    pub must_subscribe: bool,
}

/// How an attempt, an order or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served (an order: the copies stand).
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen: it did not run.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection: it did not run.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The function is not loaded there: it did not run.
    Miss,
}

/// What an answer tells of the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStart {
    /// A copy stood loaded.
    Warm,
    /// The request began a load.
    Triggered,
    /// It waited for a load begun before.
    Joined,
    /// The load failed.
    LoadFailed,
}

/// A worker's report of its load; values not reported are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: Option<f32>,
    /// Requests held.
    pub in_flight: Option<f32>,
    /// Share of its processors at work.
    pub cpu_utilization: Option<f32>,
    /// Share of its memory that cannot be freed.
    pub pinned_memory: Option<f32>,
    /// Loads under way or waiting.
    pub active_loads: Option<f32>,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Takes work.
    Ready,
    /// Finishing; takes nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of workers.
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
    /// Its size against others', unitless.
    pub capacity: f64,
    /// When its process last started, where that is known.
    pub started_at: Option<Micros>,
}

/// What kind of news of the list this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed lines only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as last had before a restart; it may be old.
    Cached,
    /// A subscription failed; no lines.
    Failed,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The function it calls.
    pub function: FunctionId,
    /// When the client stops waiting for this try.
    pub expires_at: Micros,
    /// Expected work, where clients tell.
    pub expected_work: Option<Micros>,
    /// Memory of one loaded copy, in MB.
    pub memory_mb: f64,
    /// Requests that one copy runs at once.
    pub concurrency_per_copy: u32,
    /// The usual time of a load, where it is told.
    pub load_duration: Option<Micros>,
}

/// How an attempt ended and what came back with it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The worker tried.
    pub worker: WorkerId,
    /// Which attempt, from 0.
    pub attempt: u8,
    /// Whether the request is finished by this outcome or was before it.
    pub terminal: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// What the answer tells of the copy.
    pub copy_start: Option<CopyStart>,
    /// Requests of the function that the worker held when this one came, where told.
    pub function_in_flight: u32,
    /// Time since it was sent.
    pub latency: Micros,
    /// The worker's report, where one came along.
    pub load_report: Option<LoadReport>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of workers.
    WorkerList {
        /// What kind.
        update: ListUpdate,
        /// The lines.
        workers: Vec<WorkerEntry>,
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
    /// The client left; nothing more is owed.
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
        /// How.
        outcome: Outcome,
        /// Copies standing there now.
        copies: u32,
    },
    /// A probe ended.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// How.
        outcome: Outcome,
        /// The worker's report, where one came along.
        load_report: Option<LoadReport>,
    },
    /// What others saw of a worker, weighed outside. It may reorder and bring forward, never exclude.
    PeerHealth {
        /// The worker.
        worker: WorkerId,
        /// Until when others come before it in every walk; none if it is said to be well: then a trial after an own
        /// failure may come now.
        unhealthy_until: Option<Micros>,
    },
    /// A tenant's share has been set by an operator.
    TenantQuota {
        /// The tenant.
        tenant: TenantId,
        /// Calls a second over all instances; 0 where none is stated.
        quota_per_s: f64,
    },
    /// What this instance may use of the load ration and of a cold worker has changed: while a new version starts
    /// beside an old one, each has its part.
    InstanceLimits {
        /// The ration from now on; what was ordered and taken before still counts.
        load_rate_limit: Option<LoadRateLimit>,
        /// In place of [`Settings::fall_multiple`].
        overload_multiple: f64,
        /// The most that a worker is known to have served for this gateway, answers a microsecond; 0 if nothing is.
        observed_capacity: f64,
    },
    /// A timer set by [`Action::Wake`] is due.
    Wake {
        /// The token given with it.
        token: u64,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out of the attempt; `None`: until the client's time ends.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u8,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait first.
        retry_after: Micros,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Order a worker to hold at least so many copies.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The copies wanted.
        copies: u8,
    },
    /// Order a worker to unload the idle copies.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Probe a worker.
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask for [`Event::Wake`].
    Wake {
        /// Time from now.
        after: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to the list of workers.
    Subscribe,
}
