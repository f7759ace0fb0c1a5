//! Group membership and shared observations of workers between instances; no I/O.
//!
//! [`swim`] tracks the members, [`observations`] merges the outcomes that instances report about
//! workers, [`reputation`] turns them into bounded advice, [`wire`] encodes and authenticates
//! datagrams, [`keys`] holds the keys for the seals, and [`budget`] limits the outgoing traffic.
//!
//! No instance can speak for another: each member seals its own record, each origin seals its
//! observations, and each accuser seals its accusations. Relayed items keep their original seal.

pub mod budget;
pub mod config;
pub mod group;
pub mod keys;
pub mod observations;
pub mod reputation;
pub mod swim;
pub mod wire;

/// Maximum length of an instance name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether `name` is a valid instance name.
pub fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}
