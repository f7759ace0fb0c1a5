//! Peers that do nothing by themselves: a test accepts, reads and writes step by step, and so brings about an order of
//! events every time.

use std::net::{SocketAddr, TcpListener, TcpStream};

use serde_json::{json, Value};

use super::*;

/// One message of the gateway to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// `go`, `stage`, `halt`, ...
    pub word: String,
    /// The request's identity or the order's tag.
    pub id: String,
}

/// One connection of the gateway to a worker.
pub struct WorkerConn {
    stream: TcpStream,
    held: Vec<u8>,
}

impl WorkerConn {
    /// The next message; none once the gateway has closed.
    pub fn next(&mut self) -> Option<Said> {
        let message = read_message(&mut self.stream, &mut self.held, resp_length)?;
        let words = molelug::worker::parse_array(&message)
            .expect("RESP")
            .expect("a whole array")
            .strings;
        let text = |n: usize| {
            words
                .get(n)
                .map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned())
        };
        Some(Said {
            word: text(0),
            id: text(1),
        })
    }

    /// The identity of the next attempt; anything else that comes before it fails the test.
    pub fn next_go(&mut self) -> String {
        let said = self.next().expect("an attempt comes");
        assert_eq!(said.word, "go", "{said:?}");
        said.id
    }

    /// Writes an answer.
    pub fn answer(&mut self, id: &str, word: &str, fields: &str) {
        let bytes = molelug::worker::encode_array(&[
            id.as_bytes(),
            word.as_bytes(),
            fields.as_bytes(),
            b"done",
        ]);
        self.stream.write_all(&bytes).expect("the gateway reads");
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        reset(self.stream);
    }
}

/// Ends a connection with a reset in place of an orderly end.
pub fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("an option");
}

/// A worker's listener whose connections come up only when the test lets them.
pub struct HeldDials {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl HeldDials {
    /// A listener whose queue is full: whoever connects waits.
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

    /// Connections other than the test's own that wait to come up, as the machine's table tells.
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

    /// Lets all come up that wait; returns the gateway's connection, if it still waits for one.
    pub fn release(self) -> Option<WorkerConn> {
        let own: Vec<SocketAddr> = self
            .fillers
            .iter()
            .filter_map(|f| f.local_addr().ok())
            .collect();
        rustix::net::listen(&self.listener, 128).expect("a long queue");
        self.listener.set_nonblocking(true).expect("a listener");
        let mut found = None;
        until("what waits comes up, or has been given up", || {
            let nobody_waits =
                self.waiting() == 0 && self.fillers.iter().all(|f| f.peer_addr().is_ok());
            while let Ok((stream, from)) = self.listener.accept() {
                if !own.contains(&from) {
                    stream.set_nonblocking(false).expect("a connection");
                    found = Some(WorkerConn {
                        stream,
                        held: Vec::new(),
                    });
                }
            }
            found.is_some() || nobody_waits
        });
        found
    }
}

/// The next connection; one that never comes fails the test.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener");
    let mut found = None;
    until("a connection comes", || {
        found = listener.accept().ok();
        found.is_some()
    });
    let (stream, _) = found.expect("a connection");
    stream.set_nonblocking(false).expect("a connection");
    listener.set_nonblocking(false).expect("a listener");
    stream
}

/// A worker's listener that accepts at once.
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
            held: Vec::new(),
        }
    }

    /// Whether a connection has come that was not accepted yet.
    pub fn has_another(&self) -> bool {
        self.0.set_nonblocking(true).expect("a listener");
        let came = self.0.accept().is_ok();
        self.0.set_nonblocking(false).expect("a listener");
        came
    }
}

/// The notice board, one connection at a time.
pub struct BoardByHand(TcpListener);

/// One poll of the gateway.
pub struct Poll {
    stream: TcpStream,
    /// The number after which it asks.
    pub after: u64,
}

impl BoardByHand {
    pub fn start() -> BoardByHand {
        BoardByHand(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// The next poll, answered with the head of a stream and, as a notice board does at once, its first comment.
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
            .expect("it reads");
        Poll { stream, after }
    }
}

impl Poll {
    /// Writes a change of the list.
    pub fn tell(&mut self, rev: u64, endpoints: &[Value]) {
        let event = json!({ "rev": rev, "pool": { "index": rev, "snapshot": false, "endpoints": endpoints } });
        self.write(&format!("id: {rev}\ndata: {event}\n\n"));
    }

    /// Writes this as it stands.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it reads");
    }

    /// Waits until the gateway has closed this poll.
    pub fn closed(mut self) {
        self.stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a time-out");
        // A reset is an end too.
        assert!(
            !matches!(self.stream.read(&mut [0; 8]), Ok(n) if n > 0),
            "nothing more is asked here"
        );
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    held: Vec<u8>,
}

/// A call as a client sends it.
#[derive(Clone, Copy)]
pub struct Ask {
    pub id: u64,
    pub class: &'static str,
    pub function: u64,
    pub wait_ms: u64,
}

impl Ask {
    /// A call of a class that may be repeated.
    pub fn safe(id: u64) -> Ask {
        Ask {
            id,
            class: "disponibilidad",
            function: 0xaa,
            wait_ms: 2400,
        }
    }

    /// A call of a class that must not run twice.
    pub fn once(id: u64) -> Ask {
        Ask {
            class: "confirmar-traslado",
            ..Ask::safe(id)
        }
    }

    pub fn id(self) -> String {
        format!("{:016x}", self.id)
    }

    /// Its bytes.
    pub fn text(self) -> String {
        format!(
            "POST /call/{:016x}/trigger HTTP/1.1\r\nHost: t\r\nX-Class: {}\r\nX-Org: franq-bajio\r\n\
             X-Correlation-Id: {:016x}\r\nX-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\nhi",
            self.function, self.class, self.id, self.wait_ms
        )
    }
}

impl Client {
    pub fn connect(g: &Gateway) -> Client {
        Client {
            stream: TcpStream::connect(g.platform).expect("it listens"),
            held: Vec::new(),
        }
    }

    /// Connects and sends one call.
    pub fn asks(g: &Gateway, ask: Ask) -> Client {
        let mut client = Client::connect(g);
        client.send(&ask.text());
        client
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it reads");
    }

    /// The status of the next answer.
    pub fn status(&mut self) -> u16 {
        let answer =
            read_message(&mut self.stream, &mut self.held, http_length).expect("an answer");
        String::from_utf8_lossy(&answer[9..12])
            .parse()
            .expect("a status")
    }
}
