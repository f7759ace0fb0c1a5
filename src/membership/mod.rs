//! Membership and shared suspicion between instances; no I/O.
//!
//! [`swim`] knows who is there, [`observations`] what others saw of workers, [`reputation`] what that may do here, [`wire`]
//! what a datagram is and who sealed it, [`keys`] with what, [`budget`] how much may leave.
//!
//! Nobody speaks for another: a member's own state is a record that it sealed itself, an observation is sealed by
//! its origin, and an accusation counts as its accuser's. What is relayed keeps its seal.

pub mod budget;
pub mod config;
pub mod group;
pub mod keys;
pub mod observations;
pub mod reputation;
pub mod swim;
pub mod wire;

/// The longest name of an instance, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether a text can be an instance's name.
pub fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}
