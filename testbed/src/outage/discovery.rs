//! A fake service discovery with several failure modes.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::scenario::OutageKind;
use super::toggled_listener::ToggledListener;

/// Interval at which a stream checks for events to send.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between comments.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between the bytes of a stream in [`OutageKind::Dribble`].
const DRIBBLE_INTERVAL: Duration = Duration::from_millis(600);

/// State shared by all streams.
#[derive(Debug)]
struct Shared {
    /// Events from revision 2 on; revision 1 is in the gateways' configuration files.
    events: Vec<String>,
    kind: OutageKind,
    over: bool,
}

/// The fake service discovery.
#[derive(Clone, Debug)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl Discovery {
    /// Starts the service on a free port.
    pub fn start() -> Result<Discovery> {
        let listener = ToggledListener::bind()?;
        let discovery = Discovery {
            address: listener.address(),
            shared: Arc::new(Mutex::new(Shared {
                events: Vec::new(),
                kind: OutageKind::None,
                over: false,
            })),
        };
        let own = discovery.clone();
        std::thread::spawn(move || own.accept(listener));
        Ok(discovery)
    }

    /// Sets the failure mode.
    pub fn set(&self, kind: OutageKind) {
        self.lock().kind = kind;
    }

    /// Publishes an event with these changed endpoints.
    pub fn publish(&self, endpoints: &[Value]) {
        self.publish_event(endpoints, false);
    }

    /// Publishes the complete list.
    pub fn publish_snapshot(&self, endpoints: &[Value]) {
        self.publish_event(endpoints, true);
    }

    fn publish_event(&self, endpoints: &[Value], snapshot: bool) {
        let mut shared = self.lock();
        let revision = shared.events.len() as u64 + 2;
        let event = json!({ "rev": revision,
            "pool": { "index": revision, "snapshot": snapshot, "endpoints": endpoints } });
        shared
            .events
            .push(format!("id: {revision}\ndata: {event}\n\n"));
    }

    /// Stops the service.
    pub fn stop(&self) {
        self.lock().over = true;
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn accept(&self, mut listener: ToggledListener) {
        loop {
            let (kind, over) = {
                let shared = self.lock();
                (shared.kind, shared.over)
            };
            if over {
                return;
            }
            listener.set_open(kind != OutageKind::Refused);
            let Some(stream) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL / 2);
                continue;
            };
            if kind == OutageKind::Reset {
                // Closes the connection with a reset instead of a FIN.
                let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
                continue;
            }
            let own = self.clone();
            std::thread::spawn(move || own.serve(stream));
        }
    }

    /// Serves one stream until the stream fails or the service stops.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut next = self.read_revision(&mut stream)?.saturating_sub(1) as usize;
        let mut has_answered = false;
        let mut last_comment = Instant::now();
        let mut last_byte = Instant::now();
        loop {
            std::thread::sleep(POLL_INTERVAL);
            let (kind, pending) = {
                let shared = self.lock();
                if shared.over {
                    return None;
                }
                let pending: Vec<String> = shared.events.iter().skip(next).cloned().collect();
                (shared.kind, pending)
            };
            if kind == OutageKind::Refused || kind == OutageKind::Reset {
                return None;
            }
            if kind == OutageKind::Silent {
                continue;
            }
            if !has_answered {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                    .ok()?;
                has_answered = true;
                last_comment = Instant::now() - COMMENT_INTERVAL;
            }
            match kind {
                OutageKind::CutInEvent => {
                    stream.write_all(b"id: 99\ndata: {\"rev\":99,\"poo").ok()?;
                    // Sends nothing until the outage is over, then closes the stream.
                    while self.lock().kind == kind {
                        std::thread::sleep(POLL_INTERVAL);
                    }
                    return None;
                }
                OutageKind::Dribble => {
                    if last_byte.elapsed() >= DRIBBLE_INTERVAL {
                        last_byte = Instant::now();
                        stream.write_all(b"x").ok()?;
                    }
                    continue;
                }
                _ => {}
            }
            if last_comment.elapsed() >= COMMENT_INTERVAL {
                last_comment += COMMENT_INTERVAL;
                stream.write_all(b": \n\n").ok()?;
            }
            if kind == OutageKind::None {
                for event in &pending {
                    stream.write_all(event.as_bytes()).ok()?;
                }
                next += pending.len();
            }
        }
    }

    /// Reads the request and returns the revision in its `Last-Event-ID` header.
    fn read_revision(&self, stream: &mut TcpStream) -> Option<u64> {
        let mut head = Vec::new();
        let mut chunk = [0; 1024];
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                n => head.extend(&chunk[..n]),
            }
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        text.lines()
            .find_map(|line| line.strip_prefix("Last-Event-ID: "))?
            .trim()
            .parse()
            .ok()
    }
}
