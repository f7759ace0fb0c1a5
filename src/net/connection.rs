//! One connection of the event loop.

use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::RegistrationToken;

use super::buffer::{Buffer, Fill, MAX_EMPTY_BUFFER_BYTES};
use super::outbox::Outbox;
use crate::api::Micros;
use crate::completion::CloseReason;

/// Bytes that may wait for a client before no further request of its is handled.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// A stream that the event loop and its connection share.
#[derive(Clone, Debug)]
pub struct SharedStream(pub Rc<TcpStream>);

impl AsFd for SharedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// One connection: its stream, its buffers and its state.
#[derive(Debug)]
pub struct Connection {
    stream: SharedStream,
    /// Its registration with the event loop.
    pub token: RegistrationToken,
    /// What was received and not handled yet.
    pub input: Buffer,
    /// What waits to be written.
    pub outbox: Outbox,
    /// Whether the connection is established.
    pub connected: bool,
    /// Whether reading stopped before the socket was empty.
    pub has_more_input: bool,
    /// Whether the peer has closed its side.
    pub peer_closed: bool,
    /// Whether no input is handled until what waits has been written.
    pub paused: bool,
    /// Whether it is closed once everything has been written.
    pub closing: bool,
    /// Whether, before it is closed, it reads on until the peer closes. Guards the last response: a socket closed with
    /// bytes unread is reset, and the reset can overtake the response.
    pub linger: bool,
    /// When it falls due, if a deadline is scheduled for it.
    pub deadline: Option<Micros>,
    /// Since when nothing has been in flight on it.
    pub idle_since: Micros,
}

impl Connection {
    /// Wraps a stream that is non-blocking and registered.
    pub fn new(
        stream: SharedStream,
        token: RegistrationToken,
        connected: bool,
        now: Micros,
    ) -> Connection {
        Connection {
            stream,
            token,
            input: Buffer::default(),
            outbox: Outbox::default(),
            connected,
            has_more_input: false,
            peer_closed: false,
            paused: false,
            closing: false,
            linger: false,
            deadline: None,
            idle_since: now,
        }
    }

    /// After a non-blocking connect: whether the connection is established.
    ///
    /// # Errors
    ///
    /// [`CloseReason::Refused`].
    pub fn check_connect(&mut self) -> Result<bool, CloseReason> {
        if self.connected {
            return Ok(true);
        }
        match self.stream.0.take_error() {
            Ok(None) => match self.stream.0.peer_addr() {
                Ok(_) => {
                    self.connected = true;
                    Ok(true)
                }
                Err(_) => Ok(false),
            },
            Ok(Some(_)) | Err(_) => Err(CloseReason::Refused),
        }
    }

    /// Reads until the socket is empty, the buffer holds `limit` bytes, or the peer has closed.
    ///
    /// # Errors
    ///
    /// [`CloseReason::Reset`].
    pub fn read(&mut self, limit: usize) -> Result<(), CloseReason> {
        self.has_more_input = true;
        loop {
            match self.input.fill(&mut &*self.stream.0, limit) {
                Ok(Fill::Received) => {}
                Ok(Fill::WouldBlock) => {
                    self.has_more_input = false;
                    return Ok(());
                }
                Ok(Fill::Full) => return Ok(()),
                Ok(Fill::Ended) => {
                    self.has_more_input = false;
                    self.peer_closed = true;
                    return Ok(());
                }
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Pauses input while too much waits to be written; tells whether it is paused. Guards memory against a client
    /// that sends and never reads.
    pub fn pause_if_backlogged(&mut self) -> bool {
        self.paused = self.outbox.len() > MAX_UNSENT_BYTES;
        self.paused
    }

    /// Reads on if reading had stopped at the limit; tells whether anything new was received.
    pub fn refill(&mut self, limit: usize) -> bool {
        let unread = self.input.bytes().len();
        self.has_more_input && self.read(limit).is_ok() && self.input.bytes().len() > unread
    }

    /// Closes this side and drops what still comes; tells whether the peer has closed too.
    pub fn shut_down_write(&mut self) -> bool {
        // This fails if the peer has closed already; the read below then says so.
        let _ = self.stream.0.shutdown(Shutdown::Write);
        loop {
            let unread = self.input.bytes().len();
            self.input.consume(unread);
            if self.read(MAX_EMPTY_BUFFER_BYTES).is_err() || self.peer_closed {
                return true;
            }
            if !self.has_more_input {
                return false;
            }
        }
    }

    /// Writes what the peer takes; `false` if something is left.
    ///
    /// # Errors
    ///
    /// [`CloseReason::Reset`].
    pub fn flush(&mut self) -> Result<bool, CloseReason> {
        if !self.connected {
            return Ok(self.outbox.is_empty());
        }
        self.outbox
            .flush(&mut &*self.stream.0)
            .map_err(|_| CloseReason::Reset)
    }
}
