//! Fake workers, portals and administrators, and a wrapper that runs a real gateway as a child
//! process. Everything listens on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::prelude::{Engine, BASE64_STANDARD};
use molelug::front::webhook::signature;
use molelug::tenancy::Secret;

pub mod admin;
pub mod gateway;
pub mod portal;
pub mod worker;

pub use gateway::Gateway;
pub use portal::{Portal, PortalBehavior};
pub use worker::Worker;

/// Longest time that the fakes and the tests wait for an answer or a log line.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the current Unix time in seconds.
pub fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

/// Returns a webhook secret in text form, `whsec_` and base64, derived from a seed.
pub fn secret_text(seed: u8) -> String {
    format!("whsec_{}", BASE64_STANDARD.encode([seed; 32]))
}

/// Returns the parsed secret of [`secret_text`].
pub fn secret(seed: u8) -> Secret {
    // Cannot fail: 32 bytes are a valid secret.
    Secret::parse(&secret_text(seed)).unwrap_or_else(|e| unreachable!("{e}"))
}

/// Reads one complete HTTP message with a Content-Length; bytes after it stay in `buffer`. Returns
/// `None` at the end of the stream.
pub fn read_http(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(head_end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..head_end]).to_ascii_lowercase();
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
            let size_bytes = head_end + 4 + length.unwrap_or(0usize);
            if buffer.len() >= size_bytes {
                return Ok(Some(buffer.drain(..size_bytes).collect()));
            }
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buffer.extend(&chunk[..n]),
        }
    }
}

/// Returns the value of a header, given its name in lower case; empty if absent.
pub fn header(message: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(message);
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let line = head
        .lines()
        .find(|l| l.to_ascii_lowercase().starts_with(&format!("{name}:")));
    line.and_then(|l| l.split_once(':'))
        .map_or(String::new(), |(_, v)| v.trim().to_owned())
}

/// Returns the body of an HTTP message.
pub fn body(message: &[u8]) -> &[u8] {
    let at = message
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map_or(message.len(), |p| p + 4);
    &message[at..]
}

/// Returns the status code of an HTTP response; 0 if it has none.
pub fn status(message: &[u8]) -> u16 {
    String::from_utf8_lossy(message)
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

/// A client that sends signed calls one after the other on one connection.
#[derive(Debug)]
pub struct Caller {
    to: SocketAddr,
    patience: Duration,
    stream: Option<(TcpStream, Vec<u8>)>,
}

/// Returns the body of a webhook call.
pub fn call_body(class: &str, function: u64, order_key: Option<&str>) -> Vec<u8> {
    let data = serde_json::json!({ "class": class, "function": format!("{function:016x}"), "lanes": 4,
                                   "payload": BASE64_STANDARD.encode("trip"), "order_key": order_key });
    serde_json::json!({ "type": "call.requested", "data": data })
        .to_string()
        .into_bytes()
}

impl Caller {
    /// Creates a caller of one address that waits up to [`WAIT_TIMEOUT`] for an answer.
    pub fn new(to: SocketAddr) -> Caller {
        Caller {
            to,
            patience: WAIT_TIMEOUT,
            stream: None,
        }
    }

    /// Creates a caller that waits up to this many seconds for an answer.
    pub fn with_timeout(to: SocketAddr, seconds: u64) -> Caller {
        Caller {
            to,
            patience: Duration::from_secs(seconds),
            stream: None,
        }
    }

    /// Sends a signed call and returns the complete response. The first call after an error opens
    /// a new connection.
    pub fn call(
        &mut self,
        tenant: &str,
        secret: &Secret,
        id: &str,
        text: &[u8],
    ) -> std::io::Result<Vec<u8>> {
        let stamp = now_s();
        let signed = signature::sign(std::iter::once(secret), id, stamp, text);
        let head = format!(
            "POST /webhooks/{tenant} HTTP/1.1\r\nHost: lab\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
             webhook-signature: {signed}\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        self.exchange(&[head.as_bytes(), text].concat())
    }

    /// Sends bytes and returns one complete response.
    pub fn exchange(&mut self, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
        let (mut stream, mut buffer) = match self.stream.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(self.to)?;
                stream.set_read_timeout(Some(self.patience))?;
                stream.set_nodelay(true)?;
                (stream, Vec::new())
            }
        };
        stream.write_all(bytes)?;
        let answer = read_http(&mut stream, &mut buffer)?;
        let answer =
            answer.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        if header(&answer, "connection") != "close" {
            self.stream = Some((stream, buffer));
        }
        Ok(answer)
    }
}
