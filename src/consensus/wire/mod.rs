//! Authenticated frames between gateways over TCP, for messages that must arrive complete. They use the keys and seals of
//! membership's datagrams.
//!
//! A frame is a length in four bytes, little-endian, followed by a sealed envelope. The acceptor of a connection first sends
//! a challenge that it has never sent before; the connector puts its own challenge into every frame. The seal covers both
//! challenges, both names, the direction and an increasing number, so that a frame is accepted once, on one connection, by
//! one receiver. The protocol does not depend on a clock. A frame that cannot be read closes its connection and has no other
//! effect.

mod messages;
mod session;
#[cfg(test)]
mod tests;

pub use messages::{Body, ForwardedEffects, LeaseEffect, LeaseReport, Poll};
pub use session::{challenge, encoded_size, Challenge, FrameError, Session};

/// The version of the frame format. Version 2 added shards to the agreed state, version 3 tenants.
pub const VERSION: u32 = 3;
/// The maximum size of a frame, excluding the length field.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// The size of a challenge.
pub const CHALLENGE_BYTES: usize = 16;
