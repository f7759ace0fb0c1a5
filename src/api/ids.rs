//! Identifiers. All are numbers; the names behind them stay with the caller.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A request. It is never reused.
    RequestId, u32
);
id!(
    /// A worker. It stays the same when the worker's process restarts.
    WorkerId, u32
);
id!(
    /// A function, which a loaded copy can run.
    FunctionId, u64
);
id!(
    /// The index of a request's class in [`Settings::classes`](super::Settings::classes).
    ClassId, u8
);
id!(
    /// The index of a request's tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantId, u32
);
id!(
    /// A zone.
    ZoneId, u8
);
id!(
    /// A cell: a few workers that share the idempotency keys which they have seen.
    CellId, u16
);
