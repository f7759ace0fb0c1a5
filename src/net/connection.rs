//! A connection of the event loop.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use super::arrival::ReceptionTime;
use super::buffer::{Buffer, FillOutcome};
use super::outbox::Outbox;
use super::timestamped::TimestampedReader;
use crate::api::Micros;
use crate::completion::CloseReason;

/// The maximum number of unsent bytes at which further requests of a client are handled.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// The size of a read whose input is discarded, in bytes.
const DISCARDED_READ_BYTES: usize = 64 * 1024;

/// A stream shared by the event loop and its connection.
#[derive(Clone, Debug)]
pub struct SharedStream(pub Rc<TcpStream>);

impl AsFd for SharedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// A connection with its stream, buffers and state.
#[derive(Debug)]
pub struct Connection {
    stream: SharedStream,
    /// Its registration with the event loop.
    pub token: RegistrationToken,
    /// The received bytes that have not been handled.
    pub input: Buffer,
    /// The frames to be written.
    pub outbox: Outbox,
    /// Whether the connection is established.
    pub connected: bool,
    /// Whether reading stopped before the socket was empty.
    pub has_more_input: bool,
    /// Whether the connection waits for its next turn, as its last one ended with input left.
    pub awaits_turn: bool,
    /// Whether the peer has closed its side.
    pub peer_closed: bool,
    /// Whether input is not handled until the output backlog has been written.
    pub paused: bool,
    /// Whether the connection is closed once all output has been written.
    pub closing: bool,
    /// Whether input is read and discarded until the peer closes, before the connection is closed. Closing a socket with
    /// unread bytes sends a reset, which can discard the last response before the peer has read it.
    pub linger: bool,
    /// The scheduled deadline, if any.
    pub deadline: Option<Micros>,
    /// The time since which nothing has been in flight.
    pub idle_since: Micros,
    /// When the input arrived that was read last.
    pub input_arrived_at: Micros,
}

impl Connection {
    /// Wraps a non-blocking stream that is registered with the event loop.
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
            awaits_turn: false,
            peer_closed: false,
            paused: false,
            closing: false,
            linger: false,
            deadline: None,
            idle_since: now,
            input_arrived_at: now,
        }
    }

    /// Returns the peer's address, while it is connected.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.0.peer_addr().ok()
    }

    /// Returns whether a non-blocking connect has been completed.
    ///
    /// # Errors
    ///
    /// [`CloseReason::Refused`] if the connect failed.
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
    /// [`CloseReason::Reset`] if the socket fails.
    pub fn read(&mut self, limit: usize) -> Result<(), CloseReason> {
        let stream = self.stream.clone();
        self.read_from(&mut &*stream.0, limit)
    }

    /// Reads like [`Connection::read`]. Returns the time at which the system received the last
    /// bytes read, if it told.
    ///
    /// # Errors
    ///
    /// [`CloseReason::Reset`] if the socket fails.
    pub fn read_timestamped(
        &mut self,
        limit: usize,
    ) -> (Result<(), CloseReason>, Option<ReceptionTime>) {
        let stream = self.stream.clone();
        let mut reader = TimestampedReader::new(&stream.0);
        let result = self.read_from(&mut reader, limit);
        (result, reader.received)
    }

    fn read_from(&mut self, stream: &mut impl Read, limit: usize) -> Result<(), CloseReason> {
        self.has_more_input = true;
        loop {
            match self.input.fill(stream, limit) {
                Ok(FillOutcome::Received) => {}
                Ok(FillOutcome::WouldBlock) => {
                    self.has_more_input = false;
                    return Ok(());
                }
                Ok(FillOutcome::Full) => return Ok(()),
                Ok(FillOutcome::Ended) => {
                    self.has_more_input = false;
                    self.peer_closed = true;
                    return Ok(());
                }
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Pauses input while the output backlog is too large; returns whether it is paused. This bounds memory for a client
    /// that sends requests without reading responses.
    pub fn pause_if_backlogged(&mut self) -> bool {
        self.paused = self.outbox.len() > MAX_UNSENT_BYTES;
        self.paused
    }

    /// Returns whether input is left, in the buffer or in the socket.
    pub fn has_input(&self) -> bool {
        self.has_more_input || !self.input.bytes().is_empty()
    }

    /// Shuts down the write side and discards further input; returns whether the connection can be closed because the
    /// peer has closed it or it has failed.
    pub fn shut_down_write(&mut self) -> bool {
        // This fails if the peer has already closed; the read below detects that case.
        let _ = self.stream.0.shutdown(Shutdown::Write);
        loop {
            let unread = self.input.bytes().len();
            self.input.consume(unread);
            if self.read(DISCARDED_READ_BYTES).is_err() || self.peer_closed {
                return true;
            }
            if !self.has_more_input {
                return false;
            }
        }
    }

    /// Returns whether the peer has closed or reset the connection, also if input is unread before
    /// its end. An end that is still on its way is not seen.
    pub fn has_peer_departed(&self) -> bool {
        const AT_ONCE: Timespec = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        if self.peer_closed {
            return true;
        }
        let mut descriptors = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let departed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        // If the system cannot tell, the next read or write shows the end.
        poll(&mut descriptors, Some(&AT_ONCE)).is_ok()
            && descriptors[0].revents().intersects(departed)
    }

    /// Writes as much output as the socket accepts; returns `false` if some is left.
    ///
    /// # Errors
    ///
    /// [`CloseReason::Reset`] if the socket fails.
    pub fn flush(&mut self) -> Result<bool, CloseReason> {
        if !self.connected {
            return Ok(self.outbox.is_empty());
        }
        self.outbox
            .flush(&mut &*self.stream.0)
            .map_err(|_| CloseReason::Reset)
    }
}
