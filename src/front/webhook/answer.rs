//! A portal's answer, read whole within limits.

use crate::api::Micros;
use crate::delivery::schedule::retry_after;

/// Bytes that an answer's head may take.
const HEAD: usize = 16 * 1024;
/// Bytes of an answer's body that are read on, so that its connection can be used again.
const BODY: usize = 64 * 1024;
/// Bytes that a portal's connection may hold.
pub const READ_LIMIT: usize = HEAD + BODY + 1024;

/// What has come of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not even its head is whole.
    Waits,
    /// Its status is known; its body is still coming.
    Status(u16, Option<Micros>),
    /// It is whole, and takes up so many bytes; whether the connection can be used again.
    Whole(u16, Option<Micros>, usize, bool),
    /// It cannot be read.
    Malformed,
}

/// Reads the first answer in `bytes`.
pub fn read(bytes: &[u8], now: Micros) -> Progress {
    let mut at = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut headers);
        let size = match head.parse(&bytes[at..]) {
            Ok(httparse::Status::Complete(n)) if n <= HEAD => n,
            Ok(httparse::Status::Partial) if bytes.len() - at <= HEAD => return Progress::Waits,
            _ => return Progress::Malformed,
        };
        let Some(status) = head.code else {
            return Progress::Malformed;
        };
        at += size;
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        let all = |name: &'static str| {
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
        let advice = all("retry-after")
            .next()
            .and_then(|v| retry_after(std::str::from_utf8(v).ok()?, now));
        let closes = all("connection").any(|v| text(v).split(',').any(|w| w.trim() == "close"));
        let keeps = head.version == Some(1) && !closes;
        let rest = &bytes[at..];
        let mut lengths: Vec<String> = all("content-length").map(text).collect();
        lengths.dedup();
        let coded = all("transfer-encoding").next().map(text);
        // The status is told in any case; what follows only decides whether the connection can be used again.
        let end = match (status, coded.as_deref(), lengths.as_slice()) {
            (204 | 304, ..) => Some(0),
            (_, Some("chunked"), []) => match chunked(rest) {
                Ok(end) => end,
                Err(()) => return Progress::Whole(status, advice, bytes.len(), false),
            },
            (_, None, [one]) => match one.parse::<usize>() {
                Ok(n) if n <= BODY => (rest.len() >= n).then_some(n),
                _ => return Progress::Whole(status, advice, bytes.len(), false),
            },
            // Until the connection ends, or in doubt: this one is not used again, so nothing waits for the rest.
            _ => return Progress::Whole(status, advice, bytes.len(), false),
        };
        return match end {
            Some(n) => Progress::Whole(status, advice, at + n, keeps),
            None if rest.len() > BODY => Progress::Whole(status, advice, bytes.len(), false),
            None => Progress::Status(status, advice),
        };
    }
}

/// Where a chunked body ends, if it has come whole.
fn chunked(bytes: &[u8]) -> Result<Option<usize>, ()> {
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((head, 0))) => {
                at += head;
                // Trailers, if any, and the empty line.
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
                    .filter(|n| *n <= BODY)
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
