//! The clients' listening socket, inherited from the platform as a file descriptor.

use std::fmt;
use std::io;
use std::net::TcpListener;

/// Why the descriptor in RELAY_FD cannot be used.
#[derive(Debug)]
pub enum InheritError {
    /// The value is not the number of a descriptor that can be inherited.
    Number(String),
    /// The descriptor is not a TCP stream socket.
    Socket(i32, io::Error),
    /// The socket is not listening.
    NotListening(i32),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritError::Number(text) => {
                write!(f, "RELAY_FD = '{text}' is no descriptor from 3 on")
            }
            InheritError::Socket(fd, e) => {
                write!(
                    f,
                    "RELAY_FD names descriptor {fd}, which cannot be used: {e}"
                )
            }
            InheritError::NotListening(fd) => {
                write!(
                    f,
                    "RELAY_FD names descriptor {fd}, a socket that does not listen"
                )
            }
        }
    }
}

impl std::error::Error for InheritError {}

/// Takes the inherited socket, if RELAY_FD names one. Must be called before any descriptor is
/// opened: otherwise a wrong number could be a descriptor of this process. The crate listenfd reads
/// the first descriptor from the environment, which is safe to change while there is one thread.
pub fn take() -> Result<Option<TcpListener>, InheritError> {
    let Some(text) = std::env::var("RELAY_FD").ok().filter(|v| !v.is_empty()) else {
        return Ok(None);
    };
    let fd = text.trim().parse::<i32>().ok().filter(|fd| *fd > 2);
    let fd = fd.ok_or(InheritError::Number(text))?;
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let socket = taken
        .map_err(|e| InheritError::Socket(fd, e))?
        .ok_or(InheritError::NotListening(fd))?;
    match rustix::net::sockopt::socket_acceptconn(&socket) {
        Ok(true) => Ok(Some(socket)),
        _ => Err(InheritError::NotListening(fd)),
    }
}
