//! Stand-ins for what a gateway talks to, and the gateway itself as a process of its own. All on loopback.

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
pub use portal::{Manner, Portal};
pub use worker::Worker;

/// Nothing waits longer than this.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Seconds since 1970.
pub fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

/// The secret that stand-ins share: `whsec_` and base64.
pub fn secret_text(seed: u8) -> String {
    format!("whsec_{}", BASE64_STANDARD.encode([seed; 32]))
}

/// The same, read.
pub fn secret(seed: u8) -> Secret {
    // 32 bytes are a secret.
    Secret::parse(&secret_text(seed)).unwrap_or_else(|e| unreachable!("{e}"))
}

/// Reads one whole HTTP message with Content-Length; what lies behind it stays in `held`.
pub fn read_http(stream: &mut TcpStream, held: &mut Vec<u8>) -> std::io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(head) = held.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&held[..head]).to_ascii_lowercase();
            let length = text
                .lines()
                .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
            let whole = head + 4 + length.unwrap_or(0usize);
            if held.len() >= whole {
                return Ok(Some(held.drain(..whole).collect()));
            }
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => held.extend(&chunk[..n]),
        }
    }
}

/// A header's value in a message's head.
pub fn header(message: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(message);
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let line = head
        .lines()
        .find(|l| l.to_ascii_lowercase().starts_with(&format!("{name}:")));
    line.and_then(|l| l.split_once(':'))
        .map_or(String::new(), |(_, v)| v.trim().to_owned())
}

/// A message's body.
pub fn body(message: &[u8]) -> &[u8] {
    let at = message
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map_or(message.len(), |p| p + 4);
    &message[at..]
}

/// An answer's status.
pub fn status(message: &[u8]) -> u16 {
    String::from_utf8_lossy(message)
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0)
}

/// A connection on which signed calls are sent, one after the other.
#[derive(Debug)]
pub struct Caller {
    to: SocketAddr,
    patience: Duration,
    stream: Option<(TcpStream, Vec<u8>)>,
}

/// A signed call's text.
pub fn call_body(class: &str, function: u64, order: Option<&str>) -> Vec<u8> {
    let data = serde_json::json!({ "class": class, "function": format!("{function:016x}"), "lanes": 4,
                                   "payload": BASE64_STANDARD.encode("trip"), "order_key": order });
    serde_json::json!({ "type": "call.requested", "data": data })
        .to_string()
        .into_bytes()
}

impl Caller {
    /// A caller of one address.
    pub fn new(to: SocketAddr) -> Caller {
        Caller {
            to,
            patience: PATIENCE,
            stream: None,
        }
    }

    /// One that waits so many seconds for an answer.
    pub fn patient(to: SocketAddr, seconds: u64) -> Caller {
        Caller {
            to,
            patience: Duration::from_secs(seconds),
            stream: None,
        }
    }

    /// Sends a signed call and returns the whole answer. After an error the connection is made anew.
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

    /// Sends bytes and returns one whole answer.
    pub fn exchange(&mut self, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
        let (mut stream, mut held) = match self.stream.take() {
            Some(both) => both,
            None => {
                let stream = TcpStream::connect(self.to)?;
                stream.set_read_timeout(Some(self.patience))?;
                stream.set_nodelay(true)?;
                (stream, Vec::new())
            }
        };
        stream.write_all(bytes)?;
        let answer = read_http(&mut stream, &mut held)?;
        let answer =
            answer.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        if header(&answer, "connection") != "close" {
            self.stream = Some((stream, held));
        }
        Ok(answer)
    }
}
