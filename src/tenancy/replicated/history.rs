//! Events that a process records about tenants, for an external checker.

use serde::{Deserialize, Serialize};

/// A recorded event. Tenant contents, which include secrets, appear only as digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "tenants", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A process started and read its files.
    Begun,
    /// A gateway adopted the agreed version of a tenant.
    Adopted {
        /// Name of the tenant.
        tenant: String,
        /// Version of the adopted change; for a tenant that is no longer stored, the version of any
        /// state without the tenant.
        version: u64,
        /// Digest of the tenant, truncated to eight bytes; `None` if the tenant was removed.
        digest: Option<u64>,
    },
    /// A requester was told that a change is done.
    Told {
        /// Name of the changed tenant.
        tenant: String,
        /// Version that the change created.
        version: u64,
    },
}

/// Returns the digest that represents a tenant in recorded events.
pub fn digest(kept: &[u8]) -> u64 {
    blake3::hash(kept)
        .as_bytes()
        .first_chunk::<8>()
        .map_or(0, |b| u64::from_le_bytes(*b))
}
