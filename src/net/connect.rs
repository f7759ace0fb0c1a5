//! Outgoing connections.

use std::io;
use std::net::{SocketAddr, TcpStream};

use rustix::io::Errno;
use rustix::net::{socket_with, AddressFamily, SocketFlags, SocketType};

/// Whether an error comes of this machine's or this process's own limits rather than of the peer.
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

/// Begins to connect without waiting for it. The standard library has no such call, so that rustix, on which calloop
/// is built, makes the socket.
///
/// # Errors
///
/// The system's, where the socket cannot be made or the peer refuses at once.
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
    Ok(stream)
}
