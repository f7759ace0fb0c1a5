//! Peers without behavior of their own. A test accepts, reads and writes step by step and thereby
//! reproduces one order of events.

use std::net::{SocketAddr, TcpListener, TcpStream};

use serde_json::{json, Value};

use super::*;

/// A command of the gateway to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCommand {
    /// The command's name: `go`, `stage`, `halt`, ...
    pub word: String,
    /// The request's identity, or the tag of a load order.
    pub id: String,
    /// The fields of a request, `name=value,name=value`.
    pub fields: String,
}

impl WorkerCommand {
    /// Returns the idempotency key of a request.
    pub fn idempotency_key(&self) -> Option<&str> {
        let mut fields = self.fields.split(',');
        fields.find_map(|field| field.strip_prefix("replay="))
    }
}

/// One connection of the gateway to a worker.
pub struct WorkerConn {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl WorkerConn {
    /// Returns the next command, or `None` after the gateway has closed the connection.
    pub fn next(&mut self) -> Option<WorkerCommand> {
        let message = read_message(&mut self.stream, &mut self.buffer, resp_length)?;
        let words = molelug::worker::parse_array(&message)
            .expect("RESP")
            .expect("a whole array")
            .strings;
        let text = |n: usize| {
            words
                .get(n)
                .map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned())
        };
        Some(WorkerCommand {
            word: text(0),
            id: text(1),
            fields: text(2),
        })
    }

    /// Returns the next attempt; skips health checks and load orders.
    pub fn next_attempt(&mut self) -> WorkerCommand {
        loop {
            let command = self.next().expect("an attempt");
            if command.word == "go" {
                return command;
            }
        }
    }

    /// Returns the identity of the next attempt. Panics if another command comes first.
    pub fn next_go(&mut self) -> String {
        let command = self.next().expect("an attempt");
        assert_eq!(command.word, "go", "{command:?}");
        command.id
    }

    /// Writes a reply to the command with this ID.
    pub fn answer(&mut self, id: &str, status: &str, fields: &str) {
        let bytes = molelug::worker::encode_array(&[
            id.as_bytes(),
            status.as_bytes(),
            fields.as_bytes(),
            b"done",
        ]);
        self.stream.write_all(&bytes).expect("the gateway reads");
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        reset(self.stream);
    }
}

/// Closes a connection with a TCP reset in place of a FIN.
pub fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("an option");
}

/// A worker's listener that completes handshakes only when the test releases them.
pub struct HeldDials {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl HeldDials {
    /// Starts a listener with a full accept queue, so that further connections stay in the
    /// handshake.
    pub fn start() -> HeldDials {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        rustix::net::listen(&listener, 0).expect("a short queue");
        let at = listener.local_addr().expect("an address");
        let first = molelug::net::connect(at).expect("a socket");
        until("the queue is full", || first.peer_addr().is_ok());
        let second = molelug::net::connect(at).expect("a socket");
        HeldDials {
            listener,
            fillers: vec![first, second],
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Counts the connections in the handshake, without the test's own, from `/proc/net/tcp`.
    pub fn waiting(&self) -> usize {
        const SYN_SENT: &str = "02";
        let port = format!(":{:04X}", self.address().port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        let waits = |line: &&str| {
            let mut fields = line.split_whitespace().skip(2);
            fields.next().is_some_and(|to| to.ends_with(&port)) && fields.next() == Some(SYN_SENT)
        };
        let fillers = self
            .fillers
            .iter()
            .filter(|f| f.peer_addr().is_err())
            .count();
        table.lines().filter(waits).count().saturating_sub(fillers)
    }

    /// Completes all pending handshakes and returns the gateway's connection, unless the gateway
    /// has given up on it.
    pub fn release(self) -> Option<WorkerConn> {
        let own: Vec<SocketAddr> = self
            .fillers
            .iter()
            .filter_map(|f| f.local_addr().ok())
            .collect();
        rustix::net::listen(&self.listener, 128).expect("a long queue");
        self.listener.set_nonblocking(true).expect("a listener");
        let mut found = None;
        until(
            "every pending connection is established or abandoned",
            || {
                let none_pending =
                    self.waiting() == 0 && self.fillers.iter().all(|f| f.peer_addr().is_ok());
                while let Ok((stream, from)) = self.listener.accept() {
                    if !own.contains(&from) {
                        stream.set_nonblocking(false).expect("a connection");
                        found = Some(WorkerConn {
                            stream,
                            buffer: Vec::new(),
                        });
                    }
                }
                found.is_some() || none_pending
            },
        );
        found
    }
}

/// Accepts the next connection. Panics if none comes.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener");
    let mut found = None;
    until("a connection is accepted", || {
        found = listener.accept().ok();
        found.is_some()
    });
    let (stream, _) = found.expect("a connection");
    stream.set_nonblocking(false).expect("a connection");
    listener.set_nonblocking(false).expect("a listener");
    stream
}

/// A worker whose replies the test writes; connections are accepted without delay.
pub struct WorkerByHand(TcpListener);

impl WorkerByHand {
    pub fn start() -> WorkerByHand {
        WorkerByHand(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    pub fn accept(&self) -> WorkerConn {
        WorkerConn {
            stream: accept(&self.0),
            buffer: Vec::new(),
        }
    }

    /// Returns whether a further connection is pending.
    pub fn has_pending_connection(&self) -> bool {
        self.0.set_nonblocking(true).expect("a listener");
        let is_pending = self.0.accept().is_ok();
        self.0.set_nonblocking(false).expect("a listener");
        is_pending
    }
}

/// A notice board (service discovery) that the test drives one connection at a time.
pub struct BoardByHand(TcpListener);

/// One watch request of the gateway.
pub struct Poll {
    stream: TcpStream,
    /// The revision after which the gateway asks for changes (`Last-Event-ID`).
    pub after: u64,
}

impl BoardByHand {
    pub fn start() -> BoardByHand {
        BoardByHand(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// Accepts the next poll and answers it with the response head and the first comment, which a
    /// notice board sends immediately.
    pub fn poll(&self) -> Poll {
        let mut stream = accept(&self.0);
        let head = read_message(&mut stream, &mut Vec::new(), http_length).expect("a poll");
        let head = String::from_utf8(head).expect("text");
        let after = head
            .lines()
            .find_map(|l| l.strip_prefix("Last-Event-ID: "))
            .expect("a number");
        let after = after.trim().parse().expect("a number");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n")
            .expect("the peer reads");
        Poll { stream, after }
    }
}

impl Poll {
    /// Writes a change of the endpoint list.
    pub fn tell(&mut self, rev: u64, endpoints: &[Value]) {
        let event = json!({ "rev": rev, "pool": { "index": rev, "snapshot": false, "endpoints": endpoints } });
        self.write(&format!("id: {rev}\ndata: {event}\n\n"));
    }

    /// Writes the text unchanged.
    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the peer reads");
    }

    /// Waits until the gateway has closed this poll.
    pub fn closed(mut self) {
        self.stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a timeout");
        // A reset also counts as closed.
        assert!(
            !matches!(self.stream.read(&mut [0; 8]), Ok(n) if n > 0),
            "the gateway sends nothing more on this connection"
        );
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A call as a client sends it.
#[derive(Clone, Copy)]
pub struct Ask {
    pub id: u64,
    pub class: &'static str,
    pub function: u64,
    pub wait_ms: u64,
    /// The operation's idempotency key.
    pub key: Option<&'static str>,
}

impl Ask {
    /// A call of an idempotent class.
    pub fn safe(id: u64) -> Ask {
        Ask {
            id,
            class: "disponibilidad",
            function: 0xaa,
            wait_ms: 2400,
            key: None,
        }
    }

    /// A call of a non-idempotent class.
    pub fn once(id: u64) -> Ask {
        Ask {
            class: "confirmar-traslado",
            ..Ask::safe(id)
        }
    }

    pub fn id(self) -> String {
        format!("{:016x}", self.id)
    }

    /// The HTTP request of the call.
    pub fn text(self) -> String {
        let key = self
            .key
            .map_or(String::new(), |key| format!("X-Operation-Key: {key}\r\n"));
        format!(
            "POST /call/{:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {}\r\nX-Org: franq-bajio\r\n\
             X-Correlation-Id: {:016x}\r\nX-Deadline-Ms: {}\r\n{key}Content-Length: 2\r\n\r\nhi",
            self.function, self.class, self.id, self.wait_ms
        )
    }
}

impl Client {
    pub fn connect(g: &Gateway) -> Client {
        Client::connect_to(g.platform)
    }

    pub fn connect_to(address: SocketAddr) -> Client {
        Client {
            stream: TcpStream::connect(address).expect("the address accepts connections"),
            buffer: Vec::new(),
        }
    }

    /// Connects and sends one call.
    pub fn asks(g: &Gateway, ask: Ask) -> Client {
        let mut client = Client::connect(g);
        client.send(&ask.text());
        client
    }

    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the peer reads");
    }

    /// Reads the next response and returns its status.
    pub fn status(&mut self) -> u16 {
        let answer =
            read_message(&mut self.stream, &mut self.buffer, http_length).expect("an answer");
        String::from_utf8_lossy(&answer[9..12])
            .parse()
            .expect("a status")
    }
}
