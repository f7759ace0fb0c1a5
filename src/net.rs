//! Connections: one buffer each, that grows as it needs and is compacted in place, and a queue of frames that
//! leave whole or not at all.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

use calloop::RegistrationToken;

use crate::api::Micros;
use crate::completion::CloseReason;

/// Bytes that a buffer starts with.
const INITIAL_BUFFER_BYTES: usize = 2048;
/// Bytes that may wait for a client before no further request of its is taken.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// An empty buffer larger than this is given back.
const MAX_EMPTY_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes read and not yet understood.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

/// How a read went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// Some bytes came; there may be more.
    Received,
    /// Nothing more for now.
    WouldBlock,
    /// The buffer holds as much as it may.
    Full,
    /// The peer's side has ended.
    Ended,
}

impl Buffer {
    /// What has come and was not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > MAX_EMPTY_BUFFER_BYTES {
                self.data = Vec::new();
            }
        }
    }

    /// Reads once; holds no more than `limit` bytes.
    pub fn fill(&mut self, from: &mut impl Read, limit: usize) -> io::Result<Fill> {
        let held = self.end - self.start;
        if held >= limit {
            return Ok(Fill::Full);
        }
        if self.end == self.data.len() {
            if self.start > 0 {
                self.data.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, held);
            }
            if self.end == self.data.len() {
                let size = (self.data.len() * 2)
                    .clamp(INITIAL_BUFFER_BYTES, limit.max(INITIAL_BUFFER_BYTES));
                self.data.resize(size, 0);
            }
        }
        loop {
            match from.read(&mut self.data[self.end..]) {
                Ok(0) => return Ok(Fill::Ended),
                Ok(n) => {
                    self.end += n;
                    return Ok(Fill::Received);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Fill::WouldBlock),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Takes bytes as if they had been read; for recorded exchanges.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if !matches!(self.fill(&mut bytes, usize::MAX >> 1), Ok(Fill::Received)) {
                return;
            }
        }
    }
}

/// A frame on its way out.
#[derive(Debug)]
struct Frame {
    tag: u64,
    bytes: Vec<u8>,
    sent: usize,
    /// Whether it is counted once it has left whole.
    counts: bool,
}

/// Frames that wait to be written.
#[derive(Debug, Default)]
pub struct Outbox {
    frames: VecDeque<Frame>,
    bytes: usize,
    written: u64,
}

/// A tag for frames that are never taken back.
pub const UNTAGGED_FRAME: u64 = 0;

impl Outbox {
    /// Queues a frame.
    pub fn push(&mut self, tag: u64, bytes: Vec<u8>) {
        self.queue(Frame {
            tag,
            bytes,
            sent: 0,
            counts: false,
        });
    }

    /// Queues a frame that is counted once its last byte has left; see [`Outbox::take_whole`].
    pub fn push_counted(&mut self, tag: u64, bytes: Vec<u8>) {
        self.queue(Frame {
            tag,
            bytes,
            sent: 0,
            counts: true,
        });
    }

    fn queue(&mut self, frame: Frame) {
        self.bytes += frame.bytes.len();
        self.frames.push_back(frame);
    }

    /// How many counted frames have left whole since this was last asked.
    pub fn take_written(&mut self) -> u64 {
        std::mem::take(&mut self.written)
    }

    /// Takes a frame back whole, if not one byte of it has left. Guards against half a frame: one that has
    /// begun to leave stays and is written to its end.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        let Some(at) = self.frames.iter().position(|f| f.tag == tag && f.sent == 0) else {
            return false;
        };
        if let Some(frame) = self.frames.remove(at) {
            self.bytes -= frame.bytes.len();
        }
        true
    }

    /// Whether a frame still waits with none of its bytes gone.
    pub fn is_unsent(&self, tag: u64) -> bool {
        self.frames.iter().any(|f| f.tag == tag && f.sent == 0)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Writes what the peer takes; `false` if something is left. Frames that wait go out together.
    pub fn flush(&mut self, to: &mut impl Write) -> io::Result<bool> {
        while !self.frames.is_empty() {
            let slices: Vec<io::IoSlice<'_>> = self
                .frames
                .iter()
                .take(64)
                .map(|f| io::IoSlice::new(&f.bytes[f.sent..]))
                .collect();
            match to.write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(mut n) => {
                    while let Some(f) = self.frames.front_mut().filter(|_| n > 0) {
                        let part = n.min(f.bytes.len() - f.sent);
                        (f.sent, n, self.bytes) = (f.sent + part, n - part, self.bytes - part);
                        if f.sent == f.bytes.len() {
                            self.written += u64::from(f.counts);
                            self.frames.pop_front();
                        }
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// The bytes that wait, as they would leave; for recorded exchanges.
    pub fn drain(&mut self) -> Vec<u8> {
        let mut out = Vec::new();
        // A Vec takes everything; there is no error to handle.
        let _ = self.flush(&mut out);
        out
    }
}

/// A stream that the event loop and its connection share.
#[derive(Clone, Debug)]
pub struct SharedStream(pub Rc<TcpStream>);

impl AsFd for SharedStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// One connection.
#[derive(Debug)]
pub struct Connection {
    stream: SharedStream,
    /// Its registration with the event loop.
    pub token: RegistrationToken,
    /// What has come.
    pub input: Buffer,
    /// What waits to go.
    pub outbox: Outbox,
    /// Whether the connection has come up.
    pub connected: bool,
    /// Whether reading stopped before the socket was dry.
    pub has_more_input: bool,
    /// Whether the peer has ended its side.
    pub peer_closed: bool,
    /// Whether its input waits until what it is owed has been written.
    pub paused: bool,
    /// Whether it closes once everything has been written.
    pub closing: bool,
    /// Whether, closing, it first reads on until the peer ends. Guards the last answer: a socket closed with
    /// bytes unread is reset, and the reset can overtake the answer.
    pub linger: bool,
    /// When it is given up, if that stands hung among the deadlines.
    pub deadline: Option<Micros>,
    /// Since when nothing has been open on it.
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

    /// After a non-blocking connect: whether it has come up, still tries, or was refused.
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

    /// Reads until the socket is dry, the buffer holds `limit`, or the peer has ended.
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
                    (self.has_more_input, self.peer_closed) = (false, true);
                    return Ok(());
                }
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Whether so much waits to be written that no further request is taken for now. Guards memory against a
    /// client that sends and never reads.
    pub fn pause_if_backlogged(&mut self) -> bool {
        self.paused = self.outbox.len() > MAX_UNSENT_BYTES;
        self.paused
    }

    /// Reads on if reading had stopped at the limit; tells whether anything new came.
    pub fn refill(&mut self, limit: usize) -> bool {
        let held = self.input.bytes().len();
        self.has_more_input && self.read(limit).is_ok() && self.input.bytes().len() > held
    }

    /// Ends this side and drops what still comes; tells whether the peer has ended too.
    pub fn shut_down_write(&mut self) -> bool {
        // A peer that is gone already makes this fail; the read below then says so.
        let _ = self.stream.0.shutdown(std::net::Shutdown::Write);
        loop {
            let n = self.input.bytes().len();
            self.input.consume(n);
            if self.read(MAX_EMPTY_BUFFER_BYTES).is_err() || self.peer_closed {
                return true;
            }
            if !self.has_more_input {
                return false;
            }
        }
    }

    /// Writes what the peer takes.
    pub fn flush(&mut self) -> Result<bool, CloseReason> {
        if !self.connected {
            return Ok(self.outbox.is_empty());
        }
        self.outbox
            .flush(&mut &*self.stream.0)
            .map_err(|_| CloseReason::Reset)
    }
}

/// Whether an error tells of this machine's or this process's own limits rather than of the peer.
pub fn is_own_limit(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let own = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
    ];
    Errno::from_io_error(e).is_some_and(|e| own.contains(&e))
}

/// Begins to connect without waiting for it. The standard library has no such call, and rustix, which calloop
/// stands on, makes the socket.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    match connect(&socket, &to) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
        Err(e) => return Err(e.into()),
    }
    let stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    Ok(stream)
}

#[cfg(test)]
mod tests;
