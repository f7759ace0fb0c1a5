//! What a process records of tenants, for a checker apart from it.

use serde::{Deserialize, Serialize};

/// A note. What a tenant is, secrets among it, is told by a digest only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "tenants", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A process has begun, and knows what its files say.
    Begun,
    /// A tenant was taken over as it is agreed on.
    Adopted {
        /// Which.
        tenant: String,
        /// Which change it is as of; of one that is forgotten, any at which it was.
        version: u64,
        /// The digest of what it is, cut to eight bytes; none if it was removed.
        digest: Option<u64>,
    },
    /// Somebody was told that a change is done.
    Told {
        /// Which tenant's.
        tenant: String,
        /// The change.
        version: u64,
    },
}

/// What stands for a tenant in notes.
pub fn digest(kept: &[u8]) -> u64 {
    blake3::hash(kept)
        .as_bytes()
        .first_chunk::<8>()
        .map_or(0, |b| u64::from_le_bytes(*b))
}
