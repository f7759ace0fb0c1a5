//! The protocol to workers: RESP arrays of bulk strings on connections that carry many concurrent exchanges.

mod connection;
mod exchange;
mod reply;
mod resp;

pub use connection::WorkerConnection;
pub use exchange::{AttemptCommand, Completed, Exchange};
pub use resp::{encode_array, parse_array, CompleteArray, RespError, READ_LIMIT_BYTES};

#[cfg(test)]
mod tests;
