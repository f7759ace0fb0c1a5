//! Non-blocking outgoing connections.

use std::io;
use std::net::{SocketAddr, TcpStream};

use rustix::io::Errno;
use rustix::net::{socket_with, AddressFamily, SocketFlags, SocketType};

use super::timestamped::enable_reception_times;

/// Returns whether an error is due to limits of this machine or process rather than to the peer.
pub fn is_local_limit(error: &io::Error) -> bool {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
    ];
    Errno::from_io_error(error).is_some_and(|errno| local.contains(&errno))
}

/// Starts a non-blocking connect. The standard library does not provide it, so the socket is created with rustix, a
/// dependency of calloop.
///
/// # Errors
///
/// The system's error if the socket cannot be created or the connect fails immediately.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    match rustix::net::connect(&socket, &to) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(errno) => return Err(errno.into()),
    }
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    enable_reception_times(&stream);
    Ok(stream)
}
