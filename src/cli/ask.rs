//! A client of a gateway's administration API, for the commands that query a running gateway.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::Value;

/// Timeout for connecting and for each read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Where a gateway is administered, and by whom.
#[derive(Clone, Debug, Bpaf)]
pub struct At {
    /// The gateway's administration API
    #[bpaf(long, argument("ADDRESS"))]
    admin: SocketAddr,
    /// The file with the caller's JWT-SVID
    #[bpaf(long, argument("FILE"))]
    token: PathBuf,
    /// Print what came as JSON
    #[bpaf(long)]
    pub json: bool,
}

impl At {
    /// Sends a request and returns the response's JSON.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> Result<Value, Box<dyn Error>> {
        let token = std::fs::read_to_string(&self.token)
            .map_err(|e| format!("{}: {e}", self.token.display()))?;
        let mut stream = TcpStream::connect_timeout(&self.admin, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.write_all(
            request(method, path, &self.admin.to_string(), token.trim(), body).as_bytes(),
        )?;
        let mut bytes = Vec::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut bytes)?;
        answer(&bytes)
    }
}

fn request(method: &str, path: &str, host: &str, token: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {token}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn answer(bytes: &[u8]) -> Result<Value, Box<dyn Error>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = response.parse(bytes)? else {
        return Err("the answer was cut short".into());
    };
    let status = response.code.unwrap_or(0);
    let body: Value =
        serde_json::from_slice(bytes.get(head..).unwrap_or_default()).unwrap_or(Value::Null);
    if !(200..300).contains(&status) {
        let why = body["detail"].as_str().unwrap_or("no reason was given");
        return Err(format!("{status}: {why}").into());
    }
    Ok(body)
}

/// Formats a value for display; null becomes a dash.
pub fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests;
