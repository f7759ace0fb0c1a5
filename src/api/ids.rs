//! Identifiers. All are numbers; the caller maps them to names.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A request. Identifiers are never reused.
    RequestId, u32
);
id!(
    /// A worker. The identifier stays the same when the worker's process restarts.
    WorkerId, u32
);
id!(
    /// A function. A loaded copy can run it.
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
    /// A cell: a few workers that share the idempotency keys they have received.
    CellId, u16
);
