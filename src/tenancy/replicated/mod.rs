//! Changes of tenants that all gateways agree on. No I/O.
//!
//! With copies on, a change that the administration API says 2xx to stands in the agreed log before
//! it does: on the disks of a majority of the voters, and so of `copies` machines at least.
//! [`state`] is what the log's entries come to, the same at every gateway; a change names what it
//! follows, so of two at once one takes hold, and of one that comes twice the first. [`changes`] is
//! one gateway's part: it proposes until it is told, takes over what others changed, and answers
//! whoever waits.
//!
//! Kept by id: tenants and the removed ones that an operator's file names (at most
//! [`MAX_TENANT_RECORDS`], [`MAX_TOTAL_BYTES`] in all), changes of late (the last
//! [`MAX_RECENT_CHANGES`]), answers to keyed requests (the last [`MAX_ANSWERS`]), changes under way
//! here (at most [`changes::MAX_OPEN_CHANGES`], each with its end).

pub mod changes;
pub mod error;
pub mod history;
pub mod state;
#[cfg(test)]
mod tests;

/// Tenants at most, those removed among them that an operator's file names.
pub const MAX_TENANT_RECORDS: usize = 4096;
/// Bytes of all tenants together at most: the agreed state has to fit into one frame.
pub const MAX_TOTAL_BYTES: usize = 320 << 10;
/// Bytes of one tenant at most.
pub const MAX_TENANT_BYTES: usize = 24 << 10;
/// Changes that are remembered by their origin.
pub const MAX_RECENT_CHANGES: usize = 256;
/// Answers that are kept for those who ask again with the same key.
pub const MAX_ANSWERS: usize = 128;
/// Bytes of an answer that is kept; a longer one is not, and a repeated request is made anew.
pub const LONGEST_ANSWER: usize = 2 << 10;

/// Which change: of which process, and its number there.
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
    /// Whose.
    pub process: u64,
    /// Its number there.
    pub number: u64,
}
