//! Errors in changes to tenants.

use std::fmt;

/// Reasons why a change to a tenant is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// The name is empty, too long, or contains characters other than letters, digits, `-` and `_`.
    Name,
    /// The share is not a valid number of calls per second.
    Share,
    /// The portal is not of the form `http://ADDRESS:PORT/PATH`.
    Portal,
    /// A secret is not of one of the three kinds.
    Secret,
    /// There are too many event types, or an event type is not a valid name.
    Types,
    /// A rate or a limit on attempts in flight is out of bounds.
    Limits,
    /// A retry schedule is out of bounds.
    Schedule,
    /// The endpoint does not exist.
    UnknownEndpoint,
    /// The tenant does not exist.
    Unknown,
    /// The maximum number of tenants, endpoints or secrets is exceeded.
    TooMany,
    /// The stored or replicated state cannot be parsed.
    State,
}

impl TenantError {
    /// Returns a short description of the reason.
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
