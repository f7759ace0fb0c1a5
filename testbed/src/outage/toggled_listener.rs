//! A listener that closes while a fake process is down and reopens at the same address.

use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A listener on a free port that can be closed and opened again.
#[derive(Debug)]
pub struct ToggledListener {
    address: SocketAddr,
    socket: Option<TcpListener>,
}

impl ToggledListener {
    /// Listens on a free port.
    pub fn bind() -> Result<ToggledListener> {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        Ok(ToggledListener {
            address: socket.local_addr()?,
            socket: Some(socket),
        })
    }

    /// Returns the address, which stays the same while closed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens or closes the listener; while closed, connections are refused.
    pub fn set_open(&mut self, open: bool) {
        if !open {
            self.socket = None;
        } else if self.socket.is_none() {
            // If the address is not free yet, the next call tries again.
            self.socket = TcpListener::bind(self.address)
                .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
                .ok();
        }
    }

    /// Accepts a pending connection, if there is one.
    pub fn accept(&self) -> Option<TcpStream> {
        let (stream, _) = self.socket.as_ref()?.accept().ok()?;
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }
}
