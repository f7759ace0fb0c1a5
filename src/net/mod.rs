//! Connections of the event loop: an input buffer and a queue of frames to write each.

mod buffer;
mod connect;
mod connection;
mod outbox;

pub use buffer::{Buffer, Fill};
pub use connect::{connect, is_local_limit};
pub use connection::{Connection, SharedStream};
pub use outbox::{Outbox, UNTAGGED_FRAME};
