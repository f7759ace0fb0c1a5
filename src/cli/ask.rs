//! Questions to a gateway's administration API, for the commands that show what it knows.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::Value;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of an answer at most.
const LONGEST: u64 = 8 << 20;

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
    /// Asks, and returns the answer's JSON.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> Result<Value, Box<dyn Error>> {
        let token = std::fs::read_to_string(&self.token)
            .map_err(|e| format!("{}: {e}", self.token.display()))?;
        let mut stream = TcpStream::connect_timeout(&self.admin, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(
            request(method, path, &self.admin.to_string(), token.trim(), body).as_bytes(),
        )?;
        let mut bytes = Vec::new();
        stream.take(LONGEST).read_to_end(&mut bytes)?;
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

/// A text for people: what is not there is a dash.
pub fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests;
