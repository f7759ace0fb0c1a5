//! Frames between gateways: messages that must arrive complete go over TCP, sealed as membership's datagrams are.
//!
//! A frame is its length in four bytes, little-endian, and a sealed envelope. The acceptor of a connection first sends a
//! challenge that it has never sent before, and the connector puts its own challenge into every frame. A seal covers both
//! challenges, the two names, the direction and a number that counts up, so that a frame counts once, on its connection, for
//! its receiver. No clock is read. A frame that cannot be read ends its connection and nothing else.

mod messages;
mod session;
#[cfg(test)]
mod tests;

pub use messages::{Body, ForwardedEffects, LeaseEffect, LeaseReport, Poll};
pub use session::{challenge, encoded_size, Challenge, FrameError, Session};

/// The version of the frames: 2 has shards in the agreed state, 3 tenants.
pub const VERSION: u32 = 3;
/// The maximum size of a frame without its length.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// The size of a challenge.
pub const CHALLENGE_BYTES: usize = 16;
