//! Service discovery: an event stream of numbered updates, and the list of workers that they describe.

mod endpoint_list;
mod error;
mod event_stream;
mod reconnect;
mod watch_event;

pub use endpoint_list::{AppliedUpdate, EndpointList};
pub use error::DiscoveryError;
pub use event_stream::{ServerSentEvent, WatchStream, READ_LIMIT_BYTES};
pub use reconnect::reconnect_pause;
pub use watch_event::{Endpoint, WatchEvent};

#[cfg(test)]
mod tests;
