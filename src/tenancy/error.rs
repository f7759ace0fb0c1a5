//! Why a tenant cannot be as asked.

use std::fmt;

/// Why a tenant cannot be as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// Its name is empty, too long, or holds other than letters, digits, `-` and `_`.
    Name,
    /// Its share is not a number of calls a second.
    Share,
    /// Its portal is not `http://ADDRESS:PORT/PATH`.
    Portal,
    /// A secret is none of the three kinds.
    Secret,
    /// A type of event is no name.
    Types,
    /// A rate or a number in flight is out of bounds.
    Limits,
    /// A schedule is out of bounds.
    Schedule,
    /// There is no such endpoint.
    UnknownEndpoint,
    /// There is no such tenant.
    Unknown,
    /// There are as many as there may be.
    TooMany,
    /// The state file's text cannot be read.
    State,
}

impl TenantError {
    /// Why, in a few words.
    pub fn why(&self) -> &'static str {
        match self {
            TenantError::Name => "a tenant's name is 1 to 64 letters, digits, - and _",
            TenantError::Share => "share_per_s is a number of calls a second, 0 for none stated",
            TenantError::Portal => "portal is http://ADDRESS:PORT/PATH with a numeric address",
            TenantError::Secret => {
                "a secret is whsec_ (24 to 64 bytes), whsk_ (32 or 64) or whpk_ (32) and base64"
            }
            TenantError::Types => "types are up to 32 names, or names and .*",
            TenantError::Limits => "rate_per_s is 0 or at least 0.001, in_flight 1 to 64",
            TenantError::Schedule => "schedule_s is 1 to 64 pauses of 0.001 s to 7 days",
            TenantError::UnknownEndpoint => "no such endpoint",
            TenantError::Unknown => "no such tenant",
            TenantError::TooMany => "too many tenants or secrets",
            TenantError::State => "the tenants' state cannot be read",
        }
    }
}

impl fmt::Display for TenantError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.why())
    }
}

impl std::error::Error for TenantError {}
