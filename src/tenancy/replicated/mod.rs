//! Replicated changes of tenants, agreed on by all gateways; no I/O.
//!
//! With copies enabled, the administration API answers 2xx to a change only after the change is
//! committed to the replicated log: on the disks of a majority of the voters, and therefore on at
//! least `copies` machines. [`state`] applies the log's entries, with the same result at every
//! gateway. Each change names the version that it is based on, so only one of two concurrent
//! changes, and only the first of two identical entries, takes effect. [`changes`] is the part of
//! one gateway: it proposes a change until the outcome is known, adopts changes by other gateways,
//! and answers the requesters.
//!
//! Stored by identifier: tenants, including removed ones listed in an operator's file (at most
//! [`MAX_TENANT_RECORDS`] with [`MAX_TOTAL_BYTES`] in total), the last [`MAX_RECENT_CHANGES`]
//! changes, the last [`MAX_ANSWERS`] answers to requests with an idempotency key, and the open
//! changes of this gateway (at most [`changes::MAX_OPEN_CHANGES`], each with a deadline).

pub mod changes;
pub mod error;
pub mod history;
pub mod state;
#[cfg(test)]
mod tests;

/// Maximum number of tenants, including removed ones that are listed in an operator's file.
pub const MAX_TENANT_RECORDS: usize = 4096;
/// Maximum size of all tenants together, in bytes: the agreed state must fit into one frame.
pub const MAX_TOTAL_BYTES: usize = 320 << 10;
/// Maximum size of one tenant, in bytes.
pub const MAX_TENANT_BYTES: usize = 24 << 10;
/// Number of recent changes stored by origin.
pub const MAX_RECENT_CHANGES: usize = 256;
/// Number of answers stored for repeated requests with the same key.
pub const MAX_ANSWERS: usize = 128;
/// Maximum size of a stored answer, in bytes. A longer answer is not stored, and a repeated request
/// is executed again.
pub const MAX_ANSWER_BYTES: usize = 2 << 10;

/// Identifier of a change: the process that made the change, and the number of the change there.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Origin {
    /// Identifier of the process.
    pub process: u64,
    /// Number of the change at the process.
    pub number: u64,
}
