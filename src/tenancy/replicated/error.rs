//! Why a change of a tenant is not told done, and what an operator can do about it.

use super::{MAX_TENANT_BYTES, MAX_TOTAL_BYTES};

/// Why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another change of the same tenant took hold first.
    #[error("{tenant} was changed elsewhere meanwhile, so that this change has no effect")]
    Changed {
        /// Which tenant.
        tenant: String,
    },
    /// It was not agreed in time.
    #[error("the change of {tenant} was not agreed on in time; it may still take hold")]
    Unreached {
        /// Which tenant.
        tenant: String,
    },
    /// Too much has been agreed since to tell what became of it.
    #[error("{since} changes were agreed on while this gateway heard of none; whether that of {tenant} holds is not known")]
    Unknown {
        /// Which tenant.
        tenant: String,
        /// How many.
        since: u64,
    },
    /// A majority of the voters is fewer machines than a promise asks for.
    #[error("a majority of the council is {have} machines, a promise asks for {want}")]
    Fewer {
        /// How many disks an agreed change stands on at least.
        have: usize,
        /// How many are asked for.
        want: usize,
    },
    /// All tenants together would take too much.
    #[error("changed tenants take {bytes} bytes, {MAX_TOTAL_BYTES} may be agreed on")]
    TooMuch {
        /// How much they would take.
        bytes: usize,
    },
    /// There are as many tenants as there may be.
    #[error("{lines} changed tenants are agreed on, as many as may be")]
    TooMany {
        /// How many.
        lines: usize,
    },
    /// This tenant takes too much.
    #[error("{tenant} takes {bytes} bytes, one may take {MAX_TENANT_BYTES}")]
    TooLong {
        /// Which tenant.
        tenant: String,
        /// How much it takes.
        bytes: usize,
    },
    /// Too many changes are under way here.
    #[error("{open} changes of tenants are under way here, as many as may be")]
    Busy {
        /// How many.
        open: usize,
    },
    /// The process has begun and not yet heard what is agreed.
    #[error("this gateway has not heard since its start what is agreed of tenants")]
    Unheard,
    /// What is agreed of a tenant cannot be read here.
    #[error("what is agreed of {tenant} cannot be read by this version: {why}")]
    Unreadable {
        /// Which tenant.
        tenant: String,
        /// Why not.
        why: String,
    },
}

impl Refusal {
    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            Refusal::Changed { .. } => "look at the tenant as it is now, and make the change again if it is still wanted",
            Refusal::Unreached { .. } => {
                "look at whether the council has a majority, then at the tenant itself before the change is made again"
            }
            Refusal::Unknown { .. } => "look at the tenant before the change is made again, and at this gateway's links",
            Refusal::Fewer { .. } => "name more voters in the council's file, or ask for fewer copies",
            Refusal::TooMuch { .. } | Refusal::TooMany { .. } => {
                "write tenants into the operator's file of all gateways instead, or remove some"
            }
            Refusal::TooLong { .. } => "give the tenant fewer endpoints or secrets",
            Refusal::Busy { .. } => "wait for those under way; if they do not end, look at whether the council has a majority",
            Refusal::Unheard => "wait; if it lasts, look at this gateway's links and at whether the council has a majority",
            Refusal::Unreadable { .. } => "bring this gateway to the version of the others",
        }
    }

    /// Whether the same may be wanted once more, on what stands by then.
    pub fn may_come_again(&self) -> bool {
        matches!(
            self,
            Refusal::Changed { .. }
                | Refusal::Unreached { .. }
                | Refusal::Unknown { .. }
                | Refusal::Busy { .. }
        )
    }

    /// The status that tells it.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Changed { .. } => 409,
            Refusal::TooLong { .. } => 413,
            Refusal::TooMuch { .. } | Refusal::TooMany { .. } => 507,
            _ => 503,
        }
    }
}
