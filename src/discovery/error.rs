//! Errors in the input from service discovery.

use thiserror::Error;

/// The reason for which input from service discovery cannot be used. The worker list stays unchanged and the update is
/// requested again. A likely cause is a fault of the discovery service.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DiscoveryError {
    /// The response head is not valid HTTP, its status is not 200, or the response exceeds a size limit.
    #[error("discovery response cannot be used: {0}")]
    Head(String),
    /// The size of a chunk is malformed or exceeds the limit.
    #[error("discovery response has a chunk of invalid size")]
    Chunk,
    /// An event is not JSON.
    #[error("a notice is not JSON: {0}")]
    Json(String),
    /// A field of an event is missing or of the wrong type.
    #[error("a notice lacks a usable '{0}'")]
    Field(&'static str),
    /// The status or the address of a worker is invalid.
    #[error("a watch event lists an invalid worker: {0}")]
    Entry(String),
}
