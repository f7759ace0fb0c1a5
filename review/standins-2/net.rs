//! Stand-ins of workers, clients and portals, and a service discovery that stays quiet.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::{log, sleep_ms};

/// A worker's side of one connection.
pub struct Connection {
    pub number: u64,
    stream: Mutex<TcpStream>,
}

impl Connection {
    pub fn reply(&self, words: &[&[u8]]) -> bool {
        let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            bytes.extend(format!("${}\r\n", word.len()).bytes());
            bytes.extend(*word);
            bytes.extend(b"\r\n");
        }
        let mut stream = self.stream.lock().unwrap_or_else(|e| e.into_inner());
        stream.write_all(&bytes).is_ok()
    }

    pub fn reset(&self) {
        let stream = self.stream.lock().unwrap_or_else(|e| e.into_inner());
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Something that handles a worker's commands; `None` tells the end of a connection.
pub type Handler = dyn Fn(&Arc<Connection>, Option<Vec<Vec<u8>>>) + Send + Sync;

fn take_array(input: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    fn line(input: &[u8], at: usize) -> Option<(usize, usize)> {
        let end = input[at..].windows(2).position(|w| w == b"\r\n")? + at;
        let number = std::str::from_utf8(&input[at + 1..end]).ok()?.parse().ok()?;
        Some((number, end + 2))
    }
    if input.is_empty() {
        return None;
    }
    let (count, mut at) = line(input, 0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        if at >= input.len() {
            return None;
        }
        let (length, start) = line(input, at)?;
        if input.len() < start + length + 2 {
            return None;
        }
        words.push(input[start..start + length].to_vec());
        at = start + length + 2;
    }
    input.drain(..at);
    Some(words)
}

/// Starts a worker; returns its address.
pub fn worker(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a worker's port");
    let address = listener.local_addr().expect("an address");
    serve_worker(listener, handler);
    address
}

pub fn serve_worker(listener: TcpListener, handler: Arc<Handler>) {
    static NUMBERS: AtomicU64 = AtomicU64::new(1);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let Ok(writer) = stream.try_clone() else { continue };
            let connection = Arc::new(Connection {
                number: NUMBERS.fetch_add(1, Ordering::Relaxed),
                stream: Mutex::new(writer),
            });
            std::thread::spawn(move || {
                let mut input = Vec::new();
                let mut chunk = [0; 65536];
                while let Ok(n) = stream.read(&mut chunk) {
                    if n == 0 {
                        break;
                    }
                    input.extend(&chunk[..n]);
                    while let Some(words) = take_array(&mut input) {
                        handler(&connection, Some(words));
                    }
                }
                handler(&connection, None);
            });
        }
    });
}

/// The value of a field in `name=value,name=value`.
pub fn field(fields: &[u8], name: &str) -> Option<String> {
    let text = std::str::from_utf8(fields).ok()?;
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
}

/// A parsed HTTP message.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message; `None` at the end of the connection or on an error.
pub fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 65536];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some(Message { first, headers, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => input.extend(&chunk[..n]),
            _ => return None,
        }
    }
}

/// Sends one request on a new connection and returns the status and the body of the answer.
pub fn request(address: SocketAddr, bytes: &[u8], limit_ms: u64) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(limit_ms)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_millis(limit_ms))).ok()?;
    stream.write_all(bytes).ok()?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    let status = answer.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.body))
}

/// One call of the platform's front.
pub struct Call<'a> {
    pub function: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub extras: &'a str,
    pub body: &'a [u8],
}

impl Call<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let head = format!(
            "POST /call/{}/trigger HTTP/1.1\r\nHost: api.internal\r\nX-Class: {}\r\nX-Org: {}\r\n\
             X-Correlation-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Extras: {}\r\nContent-Length: {}\r\n\r\n",
            self.function, self.class, self.tenant, self.id, self.deadline_ms, self.extras, self.body.len()
        );
        [head.as_bytes(), self.body].concat()
    }
}

/// Whether the gateway answers `GET /ping` with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let ping = b"GET /ping HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    matches!(request(address, ping, 500), Some((200, _)))
}

/// A service discovery without news: a comment each second.
pub fn quiet_board() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            std::thread::spawn(move || {
                if read_message(&mut stream, &mut Vec::new()).is_none() {
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: a\n\n";
                let mut open = stream.write_all(head.as_bytes()).is_ok();
                while open {
                    sleep_ms(1000);
                    open = stream.write_all(b": a\n\n").is_ok();
                }
            });
        }
    });
    address
}

/// What a portal answers to a message: the status.
pub type PortalHandler = dyn Fn(&Message) -> u16 + Send + Sync;

pub fn portal(handler: Arc<PortalHandler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a portal's port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut input = Vec::new();
                while let Some(message) = read_message(&mut stream, &mut input) {
                    let status = handler(&message);
                    let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n");
                    if stream.write_all(answer.as_bytes()).is_err() {
                        log("a portal's answer could not be written");
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The value of a text field in JSON, by its name.
pub fn json_text(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let end = json[start..].find('"')? + start;
    Some(json[start..end].to_owned())
}
