//! HTTP/1.1 for all listeners: parses a request from a buffer and encodes a response.

use std::fmt;

/// Maximum size of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;
/// Maximum number of bytes buffered for a client's connection.
pub const READ_LIMIT: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
const MAX_HEADERS: usize = 48;

/// A rejected request: the status and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The status code.
    pub status: u16,
    /// The reason, sent as the body or problem detail.
    pub reason: &'static str,
    /// True if the connection must be closed, as the next request's start is unknown.
    pub fatal: bool,
    /// The number of the gateway that handles the request, if that is another one.
    pub home: Option<u32>,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.status, self.reason)
    }
}

/// Creates an error that closes the connection, for a request with ambiguous framing.
pub fn fatal(status: u16, why: &'static str) -> RequestError {
    RequestError {
        status,
        reason: why,
        fatal: true,
        home: None,
    }
}

/// Creates an error that leaves the connection usable, for a well-framed request.
pub const fn request_error(status: u16, why: &'static str) -> RequestError {
    RequestError {
        status,
        reason: why,
        fatal: false,
        home: None,
    }
}

/// A complete request.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    headers: Vec<(&'a str, &'a [u8])>,
    /// The body.
    pub body: &'a [u8],
    /// The request's size in the buffer, in bytes.
    pub size: usize,
    /// True if the connection stays open after the response.
    pub keep_alive: bool,
}

impl<'a> Request<'a> {
    /// The value of a header; `None` if the header is absent, repeated or not UTF-8.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let (first, more) = (found.next()?, found.next());
        if more.is_some() {
            return None;
        }
        std::str::from_utf8(first.1).ok().map(str::trim)
    }
}

/// Parses the first request in `bytes`; `None` while the request is incomplete.
pub fn request(bytes: &[u8]) -> Result<Option<Request<'_>>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(fatal(431, "head too large")),
        Err(_) => return Err(fatal(400, "malformed request")),
    };
    let headers: Vec<(&str, &[u8])> = head.headers.iter().map(|h| (h.name, h.value)).collect();
    let headers_named = |name: &'static str| {
        headers
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
    };
    if headers_named("transfer-encoding").next().is_some() {
        return Err(fatal(411, "a body needs Content-Length"));
    }
    let mut length = None;
    for (_, value) in headers_named("content-length") {
        let text = std::str::from_utf8(value).ok().map(str::trim);
        let digits = text.filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()));
        match digits.and_then(|t| t.parse::<u64>().ok()) {
            Some(n) if length.is_none_or(|l| l == n) => length = Some(n),
            _ => return Err(fatal(400, "bad Content-Length")),
        }
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY_BYTES as u64 {
        return Err(fatal(413, "body too large"));
    }
    let Some(body) = bytes.get(size..size + length as usize) else {
        return Ok(None);
    };
    let connection_has = |option: &str| {
        headers_named("connection").any(|(_, v)| {
            std::str::from_utf8(v)
                .is_ok_and(|v| v.split(',').any(|p| p.trim().eq_ignore_ascii_case(option)))
        })
    };
    let keep = if head.version == Some(1) {
        !connection_has("close")
    } else {
        connection_has("keep-alive")
    };
    Ok(Some(Request {
        method: head.method.unwrap_or_default(),
        path: head.path.unwrap_or_default(),
        body,
        size: size + body.len(),
        keep_alive: keep,
        headers,
    }))
}

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Encodes a response. `extra` holds further header lines, each with its CRLF.
pub fn response(status: u16, extra: &str, body: &[u8], keep: bool) -> Vec<u8> {
    let close = if keep { "" } else { "Connection: close\r\n" };
    let head = format!(
        "HTTP/1.1 {status} {}\r\n{extra}{close}Content-Length: {}\r\n\r\n",
        reason(status),
        body.len()
    );
    let mut out = Vec::with_capacity(head.len() + body.len());
    out.extend(head.as_bytes());
    out.extend(body);
    out
}
