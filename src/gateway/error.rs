//! Errors that prevent a gateway from starting or continuing.

use std::io;
use std::net::SocketAddr;

/// An error that prevents the gateway from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error(
        "cannot listen on {0}: {1}; check that no other process listens on the address and that the address belongs to this machine"
    )]
    Listen(SocketAddr, #[source] io::Error),
    /// The event loop failed.
    #[error("the event loop failed: {0}; check the limits on file descriptors and memory")]
    Loop(#[from] calloop::Error),
    /// The operator's file cannot be used.
    #[error("{0}")]
    Operator(#[source] crate::config::ConfigError),
    /// The identity settings of the administration API cannot be used.
    #[error("{0}")]
    Identity(#[source] crate::identity::IdentityError),
}
