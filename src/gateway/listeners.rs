//! The addresses that the gateway listens on.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};

use super::{Gateway, GatewayError};
use crate::net::enable_reception_times;

/// Maximum number of connections that wait to be accepted.
pub(super) const LISTEN_BACKLOG: i32 = 1024;

/// The protocol of a listener and its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// The platform's calls.
    Platform,
    /// Signed webhooks.
    Webhook,
    /// The administration API.
    Admin,
}

impl ListenerKind {
    /// Whether this is not the platform's listener.
    pub(super) fn is_secondary(self) -> bool {
        self != ListenerKind::Platform
    }
}

/// A listening socket for clients.
#[derive(Clone, Debug)]
pub(super) struct Listener {
    pub(super) kind: ListenerKind,
    pub(super) socket: Rc<TcpListener>,
    pub(super) token: RegistrationToken,
}

/// The listening sockets for clients.
#[derive(Debug)]
pub(super) struct Listeners {
    pub(super) sockets: Vec<Listener>,
    /// Whether connections may wait to be accepted.
    pub(super) accept_pending: bool,
}

impl Default for Listeners {
    fn default() -> Listeners {
        Listeners {
            sockets: Vec::new(),
            accept_pending: true,
        }
    }
}

/// The registration of a listening socket with the event loop.
struct ListenerFd(Rc<TcpListener>);

impl AsFd for ListenerFd {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

impl Gateway {
    /// Listens for clients on an address.
    pub(super) fn listen(
        &mut self,
        kind: ListenerKind,
        address: SocketAddr,
    ) -> Result<(), GatewayError> {
        let (socket, token) = self.bind_listener(address, |gateway| {
            gateway.listeners.accept_pending = true;
        })?;
        self.listeners.sockets.push(Listener {
            kind,
            socket,
            token,
        });
        Ok(())
    }

    /// Listens for the platform's clients on a socket that was inherited from the process's parent.
    pub(super) fn listen_on_inherited(&mut self, socket: TcpListener) -> Result<(), GatewayError> {
        let (socket, token) = self.register_listener(socket, |gateway| {
            gateway.listeners.accept_pending = true;
        })?;
        self.listeners.sockets.push(Listener {
            kind: ListenerKind::Platform,
            socket,
            token,
        });
        Ok(())
    }

    /// Binds an address; `on_connect` is called when a connection arrives.
    pub(super) fn bind_listener(
        &self,
        address: SocketAddr,
        on_connect: fn(&mut Gateway),
    ) -> Result<(Rc<TcpListener>, RegistrationToken), GatewayError> {
        let listen_error = |error| GatewayError::Listen(address, error);
        let socket = TcpListener::bind(address).map_err(listen_error)?;
        // The standard library's backlog of 128 overflows in a flood, and a dropped connect is only
        // retried after a second.
        rustix::net::listen(&socket, LISTEN_BACKLOG).map_err(|errno| listen_error(errno.into()))?;
        self.register_listener(socket, on_connect)
            .map_err(|error| match error {
                GatewayError::Loop(calloop::Error::IoError(error)) => listen_error(error),
                other => other,
            })
    }

    /// Registers a listening socket with the event loop; `on_connect` is called when a connection
    /// arrives.
    pub(super) fn register_listener(
        &self,
        socket: TcpListener,
        on_connect: fn(&mut Gateway),
    ) -> Result<(Rc<TcpListener>, RegistrationToken), GatewayError> {
        socket
            .set_nonblocking(true)
            .map_err(|error| GatewayError::Loop(error.into()))?;
        enable_reception_times(&socket);
        let socket = Rc::new(socket);
        let source = Generic::new(ListenerFd(socket.clone()), Interest::READ, Mode::Edge);
        let callback = move |_, _: &mut _, gateway: &mut Gateway| {
            on_connect(gateway);
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, callback)
            .map_err(|error| GatewayError::Loop(error.error))?;
        Ok((socket, token))
    }

    fn address_of(&self, kind: ListenerKind) -> Option<SocketAddr> {
        self.listeners
            .sockets
            .iter()
            .find(|listener| listener.kind == kind)
            .and_then(|listener| listener.socket.local_addr().ok())
    }

    /// The address for the platform's clients.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address_of(ListenerKind::Platform)
    }

    /// The address for signed webhooks, if they are on.
    pub fn webhook_address(&self) -> Option<SocketAddr> {
        self.address_of(ListenerKind::Webhook)
    }

    /// The address of the administration API, if it is on.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.address_of(ListenerKind::Admin)
    }
}
