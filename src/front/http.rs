//! What the HTTP listeners share: one request off a buffer, one answer into bytes.

use std::fmt;

/// Bytes that a request's head may take.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// Bytes that a body may take.
pub const BODY_LIMIT: usize = 16 * 1024;
/// Bytes that a client's connection may hold.
pub const READ_LIMIT: usize = HEAD_LIMIT + BODY_LIMIT;
const MOST_HEADERS: usize = 48;

/// Why a request is turned away, with its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad {
    /// The status, a 4xx.
    pub status: u16,
    /// Why, in a few words.
    pub why: &'static str,
    /// Whether the connection is of no more use.
    pub fatal: bool,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.status, self.why)
    }
}

/// A request whose framing is in doubt: what follows on the connection cannot be told apart.
pub fn fatal(status: u16, why: &'static str) -> Bad {
    Bad {
        status,
        why,
        fatal: true,
    }
}

/// A request that is well framed and still cannot be taken.
pub fn plain(status: u16, why: &'static str) -> Bad {
    Bad {
        status,
        why,
        fatal: false,
    }
}

/// One whole request.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    headers: Vec<(&'a str, &'a [u8])>,
    /// The body.
    pub body: &'a [u8],
    /// Bytes that it takes up.
    pub size: usize,
    /// Whether the connection stays.
    pub keep: bool,
}

impl<'a> Request<'a> {
    /// The one value of a header; none if it is absent, comes twice or is not text.
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

/// Reads the first request in `bytes`; `None` while it is not whole.
pub fn request(bytes: &[u8]) -> Result<Option<Request<'_>>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= HEAD_LIMIT => n,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD_LIMIT => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(fatal(431, "head too large")),
        Err(_) => return Err(fatal(400, "malformed request")),
    };
    let headers: Vec<(&str, &[u8])> = head.headers.iter().map(|h| (h.name, h.value)).collect();
    let all = |name: &'static str| {
        headers
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
    };
    if all("transfer-encoding").next().is_some() {
        return Err(fatal(411, "a body needs Content-Length"));
    }
    let mut length = None;
    for (_, value) in all("content-length") {
        let text = std::str::from_utf8(value).ok().map(str::trim);
        let digits = text.filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()));
        match digits.and_then(|t| t.parse::<u64>().ok()) {
            Some(n) if length.is_none_or(|l| l == n) => length = Some(n),
            _ => return Err(fatal(400, "bad Content-Length")),
        }
    }
    let length = length.unwrap_or(0);
    if length > BODY_LIMIT as u64 {
        return Err(fatal(413, "body too large"));
    }
    let Some(body) = bytes.get(size..size + length as usize) else {
        return Ok(None);
    };
    let says = |word: &str| {
        all("connection").any(|(_, v)| {
            std::str::from_utf8(v)
                .is_ok_and(|v| v.split(',').any(|p| p.trim().eq_ignore_ascii_case(word)))
        })
    };
    let keep = if head.version == Some(1) {
        !says("close")
    } else {
        says("keep-alive")
    };
    Ok(Some(Request {
        method: head.method.unwrap_or_default(),
        path: head.path.unwrap_or_default(),
        body,
        size: size + body.len(),
        keep,
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

/// Writes an answer; `extra` are further header lines, each with its line end.
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
