//! The rude clients.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::records::Records;
use super::scenario::{Rudeness, DEADLINE};
use crate::fakes::gateway::{NON_IDEMPOTENT_CLASS, READ_CLASS};

/// The largest body of a call, in bytes.
const LARGEST_BODY: usize = 16 * 1024;
/// Requests that a flooding client writes at once.
const REQUESTS_AT_ONCE: usize = 32;
/// Calls that a client sends ahead before it leaves.
const CALLS_AHEAD: usize = 60;
/// The deadline of calls of functions that nobody runs.
const SHORT_DEADLINE: Duration = Duration::from_millis(30);
/// The pause after a failed connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The pause between two bytes of a client that writes slowly.
const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(200);
/// Fields of a head of very many.
const SHORT_FIELDS: usize = 1_500;

/// The text of a call.
pub fn call_text(
    identity: u64,
    class: &str,
    function: u64,
    deadline: Duration,
    body: usize,
) -> String {
    format!(
        "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {class}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {identity:016x}\r\nX-Deadline-Ms: {}\r\nContent-Length: {body}\r\n\r\n{}",
        deadline.as_millis(),
        "b".repeat(body)
    )
}

/// A rude client, or a crowd of them.
#[derive(Clone, Debug)]
pub struct RudeClient {
    /// The gateway's address.
    pub address: SocketAddr,
    /// What it does.
    pub rudeness: Rudeness,
    /// How many connections a crowd has.
    pub connections: usize,
    /// The run's records.
    pub records: Arc<Records>,
}

impl RudeClient {
    /// Goes on until the run is over.
    pub fn run(&self) {
        if self.rudeness.is_crowd() {
            return self.hold_connections();
        }
        while !self.records.is_over() {
            let Ok(stream) = TcpStream::connect(self.address) else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            match self.rudeness {
                Rudeness::LeaveUnread => self.leave_unread(stream),
                Rudeness::LeaveAtOnce => self.leave_at_once(stream),
                Rudeness::RepeatIdentity => self.repeat_identity(stream),
                Rudeness::Garbage => self.send_garbage(stream),
                _ => self.flood(stream),
            };
        }
    }

    /// Writes requests as fast as they are taken, and reads the answers away.
    fn flood(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = stream.try_clone().ok()?;
        std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        while !self.records.is_over() {
            let text: String = (0..REQUESTS_AT_ONCE).map(|_| self.request()).collect();
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        stream.shutdown(Shutdown::Both).ok()
    }

    fn request(&self) -> String {
        let identity = self.records.new_identity();
        match self.rudeness {
            Rudeness::Pings => "GET /ping HTTP/1.1\r\nHost: t\r\n\r\n".to_owned(),
            Rudeness::UnknownClass => call_text(identity, "unknown", 7, DEADLINE, 2),
            _ => {
                let function = identity << 8 | 0xff;
                call_text(identity, READ_CLASS, function, SHORT_DEADLINE, 2)
            }
        }
    }

    fn send_garbage(&self, mut stream: TcpStream) -> Option<()> {
        stream.write_all(&[0xff; 600]).ok()?;
        stream.read(&mut [0; 64]).ok().map(drop)
    }

    /// Sends many calls ahead, waits a little, and closes or resets.
    fn leave_unread(&self, mut stream: TcpStream) -> Option<()> {
        let identities: Vec<u64> = (0..CALLS_AHEAD)
            .map(|_| self.records.new_identity())
            .collect();
        for identity in &identities {
            let text = call_text(*identity, READ_CLASS, identity % 3, DEADLINE, 1_000);
            stream.write_all(text.as_bytes()).ok()?;
        }
        let wait_ms = 100 + identities[0] % 400;
        std::thread::sleep(Duration::from_millis(wait_ms));
        let resets = identities[0].is_multiple_of(2);
        leave(stream, resets);
        for identity in identities {
            self.records.note_departure(identity);
        }
        Some(())
    }

    fn leave_at_once(&self, mut stream: TcpStream) -> Option<()> {
        let identity = self.records.new_identity();
        let function = identity << 8 | 0xfe;
        let text = call_text(identity, NON_IDEMPOTENT_CLASS, function, DEADLINE, 8_000);
        stream.write_all(text.as_bytes()).ok()?;
        leave(stream, identity.is_multiple_of(2));
        self.records.note_departure(identity);
        Some(())
    }

    /// Sends an unsafe call three times, each on a new connection after the one before was closed.
    fn repeat_identity(&self, first: TcpStream) -> Option<()> {
        let identity = self.records.new_identity();
        let text = call_text(identity, NON_IDEMPOTENT_CLASS, 5, DEADLINE, 2);
        let mut next = Some(first);
        for wait_ms in [20, 120, 20] {
            let mut stream = match next.take() {
                Some(stream) => stream,
                None => TcpStream::connect(self.address).ok()?,
            };
            self.records.note_return(identity);
            let sent = stream.write_all(text.as_bytes());
            std::thread::sleep(Duration::from_millis(wait_ms));
            leave(stream, identity.is_multiple_of(2));
            self.records.note_departure(identity);
            sent.ok()?;
        }
        Some(())
    }

    /// Holds many connections, writes slowly on them, and opens those again that were closed.
    fn hold_connections(&self) {
        let mut held: Vec<TcpStream> = Vec::new();
        while !self.records.is_over() {
            while held.len() < self.connections && !self.records.is_over() {
                match self.open_held() {
                    Some(stream) => held.push(stream),
                    None => break,
                }
            }
            std::thread::sleep(SLOW_WRITE_PAUSE);
            held.retain_mut(|stream| match stream.write(b"x") {
                Ok(_) => true,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            });
        }
    }

    fn open_held(&self) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_nonblocking(true).ok()?;
        let text = self.held_text();
        // What the sockets do not take is left out.
        let _ = stream.write(text.as_bytes()).ok()?;
        Some(stream)
    }

    fn held_text(&self) -> String {
        let identity = self.records.new_identity();
        let whole = || call_text(identity, READ_CLASS, 7, DEADLINE, LARGEST_BODY);
        match self.rudeness {
            Rudeness::EndlessHeads => format!("GET /ping HTTP/1.1\r\nX-Pad: {}", "p".repeat(7_000)),
            Rudeness::ManyFields => {
                let fields: String = (0..SHORT_FIELDS).map(|n| format!("a{n}:\r\n")).collect();
                format!("GET /ping HTTP/1.1\r\n{fields}")
            }
            Rudeness::NeverRead => whole().repeat(4),
            _ => {
                let text = whole();
                text[..text.len() - LARGEST_BODY / 4].to_owned()
            }
        }
    }
}

/// Closes a connection with unread answers, or with a reset.
fn leave(stream: TcpStream, resets: bool) {
    if resets {
        let _ = set_socket_linger(&stream, Some(Duration::ZERO));
    }
    drop(stream);
}
