//! The second address: one line in, one answer, close. Bytes only; what a call does is not decided here.

use std::fmt;

/// Bytes that a line may have.
const LONGEST: usize = 256;
/// Bytes that a connection may hold.
pub const READ_LIMIT: usize = 2 * LONGEST;

/// What a line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Take a worker out.
    Exclude(String),
    /// Put a worker back.
    Include(String),
    /// Empty the gateway.
    Evacuate,
    /// End the drain.
    Activate,
}

/// Why a line cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// It does not end.
    TooLong,
    /// The connection ended within it.
    Half,
    /// It holds bytes that are not plain text.
    NotText,
    /// It is empty.
    Empty,
    /// Its first word is no call.
    Unknown,
    /// The call names a worker and the line has none.
    NoWorker,
    /// It has more words than the call takes.
    Superfluous,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LineError::TooLong => "the line is too long",
            LineError::Half => "the line has no end",
            LineError::NotText => "the line is not plain text",
            LineError::Empty => "the line is empty",
            LineError::Unknown => "no such call",
            LineError::NoWorker => "the call names a worker",
            LineError::Superfluous => "the call has too many words",
        })
    }
}

impl std::error::Error for LineError {}

/// Reads the one line; `None` while it is not whole. `ended` if nothing more will come: then half a line is an
/// error, and no line at all is none.
pub fn take(bytes: &[u8], ended: bool) -> Result<Option<Ask>, LineError> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match bytes.len() {
            n if n > LONGEST => Err(LineError::TooLong),
            0 => Ok(None),
            _ if ended => Err(LineError::Half),
            _ => Ok(None),
        };
    };
    if end > LONGEST {
        return Err(LineError::TooLong);
    }
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    if !line.iter().all(|b| (0x20..0x7f).contains(b)) {
        return Err(LineError::NotText);
    }
    let text = std::str::from_utf8(line).map_err(|_| LineError::NotText)?;
    let mut words = text.split(' ').filter(|w| !w.is_empty());
    let call = words.next().ok_or(LineError::Empty)?;
    let mut worker = || words.next().map(str::to_owned).ok_or(LineError::NoWorker);
    let ask = match call {
        "readyz" => Ask::Ready,
        "telemetry" => Ask::Telemetry,
        "exclude" => Ask::Exclude(worker()?),
        "include" => Ask::Include(worker()?),
        "evacuate" => Ask::Evacuate,
        "activate" => Ask::Activate,
        _ => return Err(LineError::Unknown),
    };
    match words.next() {
        None => Ok(Some(ask)),
        Some(_) => Err(LineError::Superfluous),
    }
}

/// The answer of one line: yes or no, and a few words.
pub fn answer(yes: bool, words: impl fmt::Display) -> Vec<u8> {
    format!("{} {words}\n", if yes { 200 } else { 400 }).into_bytes()
}

/// The answer that carries figures.
pub fn figures(text: &str) -> Vec<u8> {
    format!("200 OK\n{text}EOF\n").into_bytes()
}

#[cfg(test)]
mod tests;
