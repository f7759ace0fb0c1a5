//! Parses a portal's HTTP response within size limits.

use crate::api::Micros;
use crate::delivery::schedule::retry_after;

/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest response body that is read to its end so that the connection can be reused, in
/// bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of bytes buffered for a portal's connection.
pub const READ_LIMIT: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + 1024;

/// How much of a response has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The head is incomplete.
    Incomplete,
    /// The head is complete and the body is not: the status and the `Retry-After` time.
    Status(u16, Option<Micros>),
    /// The response is finished: the status, the `Retry-After` time, the response's size in bytes,
    /// and true if the connection can be reused.
    Complete(u16, Option<Micros>, usize, bool),
    /// The head cannot be parsed.
    Malformed,
}

/// Parses the first final response in `bytes`; skips 1xx responses other than 101.
pub fn read(bytes: &[u8], now: Micros) -> Progress {
    let mut at = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut headers);
        let size = match head.parse(&bytes[at..]) {
            Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
            Ok(httparse::Status::Partial) if bytes.len() - at <= MAX_HEAD_BYTES => {
                return Progress::Incomplete
            }
            _ => return Progress::Malformed,
        };
        let Some(status) = head.code else {
            return Progress::Malformed;
        };
        at += size;
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        let values_of = |name: &'static str| {
            head.headers
                .iter()
                .filter(move |h| h.name.eq_ignore_ascii_case(name))
                .map(|h| h.value)
        };
        let text = |value: &[u8]| {
            std::str::from_utf8(value)
                .unwrap_or_default()
                .trim()
                .to_ascii_lowercase()
        };
        let retry_after_time = values_of("retry-after")
            .next()
            .and_then(|v| retry_after(std::str::from_utf8(v).ok()?, now));
        let closes =
            values_of("connection").any(|v| text(v).split(',').any(|w| w.trim() == "close"));
        let reusable = head.version == Some(1) && !closes;
        let rest = &bytes[at..];
        let mut lengths: Vec<String> = values_of("content-length").map(text).collect();
        lengths.dedup();
        let transfer_coding = values_of("transfer-encoding").next().map(text);
        // The status is reported in any case; the body decides only whether the connection is
        // reusable.
        let end = match (status, transfer_coding.as_deref(), lengths.as_slice()) {
            (204 | 304, ..) => Some(0),
            (_, Some("chunked"), []) => match chunked(rest) {
                Ok(end) => end,
                Err(()) => return Progress::Complete(status, retry_after_time, bytes.len(), false),
            },
            (_, None, [one]) => match one.parse::<usize>() {
                Ok(n) if n <= MAX_BODY_BYTES => (rest.len() >= n).then_some(n),
                _ => return Progress::Complete(status, retry_after_time, bytes.len(), false),
            },
            // The body ends with the connection, or its framing is ambiguous: the connection is not
            // reused, so the rest of the body is not awaited.
            _ => return Progress::Complete(status, retry_after_time, bytes.len(), false),
        };
        return match end {
            Some(n) => Progress::Complete(status, retry_after_time, at + n, reusable),
            None if rest.len() > MAX_BODY_BYTES => {
                Progress::Complete(status, retry_after_time, bytes.len(), false)
            }
            None => Progress::Status(status, retry_after_time),
        };
    }
}

/// The offset of a chunked body's end; `None` while the body is incomplete.
fn chunked(bytes: &[u8]) -> Result<Option<usize>, ()> {
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((head, 0))) => {
                at += head;
                // Skips trailers, if any, up to and including the empty line.
                loop {
                    let Some(line) = bytes[at..].windows(2).position(|w| w == b"\r\n") else {
                        return Ok(None);
                    };
                    at += line + 2;
                    if line == 0 {
                        return Ok(Some(at));
                    }
                }
            }
            Ok(httparse::Status::Complete((head, size))) => {
                let next = usize::try_from(size)
                    .ok()
                    .filter(|n| *n <= MAX_BODY_BYTES)
                    .map(|n| at + head + n + 2);
                at = next.ok_or(())?;
                if at > bytes.len() {
                    return Ok(None);
                }
                if &bytes[at - 2..at] != b"\r\n" {
                    return Err(());
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(()),
        }
    }
}

#[cfg(test)]
mod tests;
