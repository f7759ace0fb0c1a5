//! The codec of the worker protocol: RESP arrays of bulk strings.

use thiserror::Error;

/// The maximum number of bulk strings in an array.
const MAX_ARRAY_LENGTH: usize = 16;
/// The maximum size of a bulk string in bytes.
const MAX_BULK_STRING_BYTES: usize = 1 << 20;
/// The maximum size of a length line in bytes, including its type byte and line end.
const MAX_LENGTH_BYTES: usize = 24;
/// The space per encoded length in bytes, for the initial allocation.
const LENGTH_BYTES_HINT: usize = 16;
/// The maximum number of bytes that a connection buffers for an incomplete array.
pub const READ_LIMIT_BYTES: usize = MAX_BULK_STRING_BYTES + 4096;

/// The reason for which a reply cannot be parsed. The connection must be closed. A likely cause is a worker of an
/// incompatible version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RespError {
    /// A byte that does not begin the expected element.
    #[error("expected {0}")]
    Unexpected(&'static str),
    /// A length that is not a number or is out of bounds.
    #[error("length '{0}' is not a number within bounds")]
    Length(String),
    /// An array whose length is not that of a reply.
    #[error("an answer of {0} words")]
    ArrayLength(usize),
    /// A reply with an unknown status, or with fields that are not UTF-8.
    #[error("reply has an unknown status or unreadable fields: '{0}'")]
    Reply(String),
}

/// A complete array.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteArray<'a> {
    /// Its bulk strings.
    pub strings: Vec<&'a [u8]>,
    /// The size of its encoding in bytes.
    pub size_bytes: usize,
}

/// A complete length line.
struct Length {
    value: usize,
    /// The size of the line in bytes.
    size_bytes: usize,
}

/// Encodes an array of bulk strings.
pub fn encode_array(strings: &[&[u8]]) -> Vec<u8> {
    let payload: usize = strings.iter().map(|s| s.len() + LENGTH_BYTES_HINT).sum();
    let mut encoded = Vec::with_capacity(2 * LENGTH_BYTES_HINT + payload);
    encoded.extend(format!("*{}\r\n", strings.len()).as_bytes());
    for string in strings {
        encoded.extend(format!("${}\r\n", string.len()).as_bytes());
        encoded.extend(*string);
        encoded.extend(b"\r\n");
    }
    encoded
}

/// Parses the first array in `bytes`; `None` while it is incomplete.
///
/// # Errors
///
/// [`RespError::Unexpected`] or [`RespError::Length`] if the bytes are not an array within the limits.
pub fn parse_array(bytes: &[u8]) -> Result<Option<CompleteArray<'_>>, RespError> {
    let Some(count) = parse_length(bytes, b'*', MAX_ARRAY_LENGTH)? else {
        return Ok(None);
    };
    let mut position = count.size_bytes;
    let mut strings = Vec::with_capacity(count.value);
    for _ in 0..count.value {
        let Some(length) = parse_length(&bytes[position..], b'$', MAX_BULK_STRING_BYTES)? else {
            return Ok(None);
        };
        let start = position + length.size_bytes;
        let end = start + length.value + 2;
        let Some(rest) = bytes.get(start..end) else {
            return Ok(None);
        };
        let (string, line_end) = rest.split_at(length.value);
        if line_end != b"\r\n" {
            return Err(RespError::Unexpected("the end of a bulk string"));
        }
        strings.push(string);
        position = end;
    }
    Ok(Some(CompleteArray {
        strings,
        size_bytes: position,
    }))
}

/// Parses the length line of an element with this type byte; `None` while it is incomplete.
fn parse_length(bytes: &[u8], type_byte: u8, max: usize) -> Result<Option<Length>, RespError> {
    match bytes.first() {
        None => return Ok(None),
        Some(first) if *first == type_byte => {}
        Some(_) if type_byte == b'*' => return Err(RespError::Unexpected("an array")),
        Some(_) => return Err(RespError::Unexpected("a bulk string")),
    }
    let window = &bytes[..bytes.len().min(MAX_LENGTH_BYTES)];
    let Some(end) = window.iter().position(|byte| *byte == b'\n') else {
        if window.len() < MAX_LENGTH_BYTES {
            return Ok(None);
        }
        return Err(length_error(window));
    };
    let digits = bytes.get(1..end.max(2) - 1).unwrap_or_default();
    match parse_digits(digits) {
        Some(value) if value <= max && bytes[end - 1] == b'\r' => Ok(Some(Length {
            value,
            size_bytes: end + 1,
        })),
        _ => Err(length_error(digits)),
    }
}

fn parse_digits(digits: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(digits).ok()?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn length_error(text: &[u8]) -> RespError {
    RespError::Length(String::from_utf8_lossy(text).into_owned())
}
