//! The client of service discovery: a stream of server-sent events with numbered updates of the worker list.

mod endpoint_list;
mod error;
mod event_stream;
mod reconnect;
mod staged;
mod watch_event;

pub use endpoint_list::{AppliedUpdate, EndpointList};
pub use error::DiscoveryError;
pub use event_stream::{ServerSentEvent, WatchStream, READ_LIMIT_BYTES};
pub use reconnect::reconnect_pause;
pub use staged::StagedEndpoints;
pub use watch_event::{Endpoint, WatchEvent};

#[cfg(test)]
mod tests;
