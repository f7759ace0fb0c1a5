//! Reasons why a change of a tenant is not confirmed, with remedies for the operator.

use super::{MAX_TENANT_BYTES, MAX_TOTAL_BYTES};

/// Reasons why a change of a tenant is not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another change of the same tenant took effect first.
    #[error("{tenant} was changed elsewhere meanwhile, so that this change has no effect")]
    Changed {
        /// Name of the tenant.
        tenant: String,
    },
    /// The change was not agreed on in time.
    #[error("the change of {tenant} was not agreed on in time; it may still take hold")]
    AgreementTimeout {
        /// Name of the tenant.
        tenant: String,
    },
    /// Too many changes were agreed on since then to determine the outcome.
    #[error("{since} changes were agreed on while this gateway heard of none; whether that of {tenant} holds is not known")]
    Unknown {
        /// Name of the tenant.
        tenant: String,
        /// Number of changes agreed on since then.
        since: u64,
    },
    /// A majority of the voters has fewer machines than `copies` requires.
    #[error("a majority of the council is {have} machines, a promise asks for {want}")]
    TooFewDisks {
        /// Minimum number of disks that store an agreed change.
        have: usize,
        /// Required number of disks.
        want: usize,
    },
    /// All tenants together would exceed the size limit.
    #[error("changed tenants take {bytes} bytes, {MAX_TOTAL_BYTES} may be agreed on")]
    TooMuch {
        /// Resulting size, in bytes.
        bytes: usize,
    },
    /// The maximum number of tenant records is reached.
    #[error("{lines} changed tenants are agreed on, as many as may be")]
    TooMany {
        /// Number of tenant records.
        lines: usize,
    },
    /// The tenant exceeds the size limit.
    #[error("{tenant} takes {bytes} bytes, one may take {MAX_TENANT_BYTES}")]
    TooLong {
        /// Name of the tenant.
        tenant: String,
        /// Size of the tenant, in bytes.
        bytes: usize,
    },
    /// Too many changes are open at this gateway.
    #[error("{open} changes of tenants are under way here, as many as may be")]
    Busy {
        /// Number of open changes.
        open: usize,
    },
    /// The process started and has not yet received the agreed state.
    #[error("this gateway has not heard since its start what is agreed of tenants")]
    NotCaughtUp,
    /// The agreed record of a tenant cannot be read by this version.
    #[error("what is agreed of {tenant} cannot be read by this version: {why}")]
    Unreadable {
        /// Name of the tenant.
        tenant: String,
        /// Reason.
        why: String,
    },
}

impl Refusal {
    /// Returns a remedy for the operator.
    pub fn remedy(&self) -> &'static str {
        match self {
            Refusal::Changed { .. } => "look at the tenant as it is now, and make the change again if it is still wanted",
            Refusal::AgreementTimeout { .. } => {
                "look at whether the council has a majority, then at the tenant itself before the change is made again"
            }
            Refusal::Unknown { .. } => "look at the tenant before the change is made again, and at this gateway's links",
            Refusal::TooFewDisks { .. } => "name more voters in the council's file, or ask for fewer copies",
            Refusal::TooMuch { .. } | Refusal::TooMany { .. } => {
                "write tenants into the operator's file of all gateways instead, or remove some"
            }
            Refusal::TooLong { .. } => "give the tenant fewer endpoints or secrets",
            Refusal::Busy { .. } => "wait for those under way; if they do not end, look at whether the council has a majority",
            Refusal::NotCaughtUp => "wait; if it lasts, look at this gateway's links and at whether the council has a majority",
            Refusal::Unreadable { .. } => "bring this gateway to the version of the others",
        }
    }

    /// Returns whether the same request may be repeated on a later state.
    pub fn is_retryable(&self) -> bool {
        matches!(
            self,
            Refusal::Changed { .. }
                | Refusal::AgreementTimeout { .. }
                | Refusal::Unknown { .. }
                | Refusal::Busy { .. }
        )
    }

    /// Returns the HTTP status for the refusal.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Changed { .. } => 409,
            Refusal::TooLong { .. } => 413,
            Refusal::TooMuch { .. } | Refusal::TooMany { .. } => 507,
            _ => 503,
        }
    }
}
