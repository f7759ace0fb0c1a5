//! Non-blocking connections of the event loop, with an input buffer and an output queue each.

mod arrival;
mod buffer;
mod connect;
mod connection;
mod outbox;
mod timestamped;

pub use arrival::{ArrivalDating, ReceptionTime};
pub use buffer::{Buffer, FillOutcome};
pub use connect::{connect, is_local_limit};
pub use connection::{Connection, SharedStream};
pub use outbox::{Outbox, UNTAGGED_FRAME};
pub use timestamped::{enable_reception_times, TimestampedReader};
