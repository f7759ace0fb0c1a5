//! The operator console's protocol: one command line per connection, one answer, then close.
//!
//! This module only parses and encodes; `gateway::operations` runs the commands.

use std::fmt;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 256;
/// Maximum number of bytes buffered for a connection.
pub const READ_LIMIT: usize = 2 * MAX_LINE_BYTES;

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Asks if this process can serve.
    Ready,
    /// Asks for the metrics.
    Telemetry,
    /// Asks for the age of the endpoint list and of the evidence for each worker.
    Evidence,
    /// Asks for the memory that each kind of peers and tables holds.
    Memory,
    /// Excludes a worker.
    Exclude(String),
    /// Includes an excluded worker again.
    Include(String),
    /// Starts to drain the gateway.
    Evacuate,
    /// Ends the drain.
    Activate,
}

/// Why a line is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The line exceeds the maximum length.
    TooLong,
    /// The connection ended before the line did.
    Half,
    /// The line contains bytes other than printable ASCII.
    NotText,
    /// The line has no words.
    Empty,
    /// The first word is not a command.
    Unknown,
    /// The command needs a worker's name, and the line has none.
    NoWorker,
    /// The line has more words than the command takes.
    Superfluous,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestError::TooLong => "the line is too long",
            RequestError::Half => "the line has no end",
            RequestError::NotText => "the line is not plain text",
            RequestError::Empty => "the line is empty",
            RequestError::Unknown => "no such call",
            RequestError::NoWorker => "the call names a worker",
            RequestError::Superfluous => "the call has too many words",
        })
    }
}

impl std::error::Error for RequestError {}

/// Parses the connection's line; `None` while the line is incomplete. `ended` is true once the
/// peer has closed its side: an incomplete line is then an error, and an empty input is `None`.
pub fn parse_line(bytes: &[u8], ended: bool) -> Result<Option<Request>, RequestError> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match bytes.len() {
            n if n > MAX_LINE_BYTES => Err(RequestError::TooLong),
            0 => Ok(None),
            _ if ended => Err(RequestError::Half),
            _ => Ok(None),
        };
    };
    if end > MAX_LINE_BYTES {
        return Err(RequestError::TooLong);
    }
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    if !line.iter().all(|b| (0x20..0x7f).contains(b)) {
        return Err(RequestError::NotText);
    }
    let text = std::str::from_utf8(line).map_err(|_| RequestError::NotText)?;
    let mut words = text.split(' ').filter(|w| !w.is_empty());
    let command = words.next().ok_or(RequestError::Empty)?;
    let mut worker = || {
        words
            .next()
            .map(str::to_owned)
            .ok_or(RequestError::NoWorker)
    };
    let request = match command {
        "readyz" => Request::Ready,
        "telemetry" => Request::Telemetry,
        "evidence" => Request::Evidence,
        "memory" => Request::Memory,
        "exclude" => Request::Exclude(worker()?),
        "include" => Request::Include(worker()?),
        "evacuate" => Request::Evacuate,
        "activate" => Request::Activate,
        _ => return Err(RequestError::Unknown),
    };
    match words.next() {
        None => Ok(Some(request)),
        Some(_) => Err(RequestError::Superfluous),
    }
}

/// Encodes a one-line answer: 200 on success, else 400, and a short text.
pub fn answer(success: bool, text: impl fmt::Display) -> Vec<u8> {
    format!("{} {text}\n", if success { 200 } else { 400 }).into_bytes()
}

/// Encodes an answer of several lines, which ends with `EOF`.
pub fn figures(text: &str) -> Vec<u8> {
    format!("200 OK\n{text}EOF\n").into_bytes()
}

#[cfg(test)]
mod tests;
