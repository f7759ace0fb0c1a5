//! Why something from service discovery cannot be used.

use thiserror::Error;

/// Why something from service discovery cannot be used. The list of workers stays as it was, and the update is asked
/// for again; an operator looks at the discovery service.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DiscoveryError {
    /// The response's head is not HTTP, or its status is not 200.
    #[error("the notice board's answer cannot be used: {0}")]
    Head(String),
    /// A chunk's length cannot be read.
    #[error("a chunk of the notice board's answer has no readable length")]
    Chunk,
    /// An event is not JSON.
    #[error("a notice is not JSON: {0}")]
    Json(String),
    /// A field of an event is missing or of the wrong type.
    #[error("a notice lacks a usable '{0}'")]
    Field(&'static str),
    /// A worker's status or address has no meaning.
    #[error("a notice names a worker that cannot be used: {0}")]
    Entry(String),
}
