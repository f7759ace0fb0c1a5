//! The platform's front: each call is a POST with its fields in headers.

use std::rc::Rc;

use super::http::{self, fatal, request_error, Request, RequestError};
use crate::api::{Arrival, ClassId, FunctionId, Micros, RequestId, TenantId};
use crate::core::{Answer, Call, IdempotencyKey};
use crate::names::Names;

/// The longest deadline for a class that states none, and the largest estimate or load duration,
/// in milliseconds.
const MAX_DURATION_MS: f64 = 600_000.0;
/// The largest memory and concurrency of one copy; no machine is larger.
const MAX_MEMORY_MB: f64 = 1e6;
const MAX_CONCURRENCY: f64 = 1024.0;

/// A client's request.
#[derive(Debug)]
pub enum ClientRequest {
    /// A liveness check.
    Ping,
    /// A call whose origin the caller of [`parse_request`] fills in.
    Call(Call<()>),
}

/// A request taken from a client's connection.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request, or the error to answer it with.
    pub request: Result<ClientRequest, RequestError>,
    /// The request's size in the buffer, in bytes.
    pub size: usize,
    /// True if the connection stays open after the response.
    pub keep_alive: bool,
}

/// Parses 16 lower-case hex digits, the form of all identities on this wire.
pub fn hex16(text: &str) -> Option<u64> {
    let fits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    fits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn number(text: &str) -> Option<f64> {
    text.parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

/// When a request is read, and when it arrived: its deadline counts from the latter.
#[derive(Clone, Copy, Debug)]
pub struct ReadTime {
    /// When it is read.
    pub now: Micros,
    /// When it arrived.
    pub arrived_at: Micros,
}

impl ReadTime {
    /// A request that is read as it arrives.
    pub fn on_arrival(now: Micros) -> ReadTime {
        ReadTime {
            now,
            arrived_at: now,
        }
    }
}

/// Parses the next request; `None` while the request is incomplete.
pub fn parse_request(
    bytes: &[u8],
    names: &Names,
    read: ReadTime,
) -> Result<Option<ParsedRequest>, RequestError> {
    let Some(r) = http::request(bytes)? else {
        return Ok(None);
    };
    Ok(Some(ParsedRequest {
        size: r.size,
        keep_alive: r.keep_alive,
        request: parse(&r, names, read),
    }))
}

fn parse(r: &Request<'_>, names: &Names, read: ReadTime) -> Result<ClientRequest, RequestError> {
    if r.path == "/ping" {
        return if r.method == "GET" {
            Ok(ClientRequest::Ping)
        } else {
            Err(request_error(405, "ping is a GET"))
        };
    }
    let key = r
        .path
        .strip_prefix("/call/")
        .and_then(|p| p.strip_suffix("/trigger"));
    let key = key.ok_or(request_error(404, "no such path"))?;
    if r.method != "POST" {
        return Err(request_error(405, "a call is a POST"));
    }
    let function = FunctionId(hex16(key).ok_or(request_error(404, "a function is 16 hex digits"))?);
    let class = r
        .header("X-Class")
        .and_then(|c| Names::index_of(&names.classes, c));
    let tenant = match r.header("X-Org") {
        Some(org) => Names::index_of(&names.tenants, org),
        None => names.tenants.is_empty().then_some(0),
    };
    let id = r
        .header("X-Correlation-Id")
        .filter(|id| hex16(id).is_some());
    let class_deadline = class
        .and_then(|c| names.max_deadlines.get(c))
        .filter(|t| **t > 0);
    // The 5 % tolerance covers clock differences and rounding at the client.
    let longest_ms = class_deadline.map_or(MAX_DURATION_MS, |t| *t as f64 / 1e3 * 1.05);
    let deadline_ms = r
        .header("X-Deadline-Ms")
        .and_then(number)
        .filter(|ms| *ms > 0.0 && *ms <= longest_ms);
    let parse_estimate = |text| {
        number(text)
            .filter(|ms| *ms <= MAX_DURATION_MS)
            .ok_or(request_error(400, "bad X-Estimate-Ms"))
    };
    let estimate_ms = r.header("X-Estimate-Ms").map(parse_estimate);
    let id = id.ok_or(request_error(400, "bad X-Correlation-Id"))?;
    let idempotency_key = r
        .header("X-Operation-Key")
        .map(|key| IdempotencyKey::new(key).map_err(|_| request_error(400, "bad X-Operation-Key")))
        .transpose()?;
    let mut arrival = Arrival {
        request: RequestId(0),
        class: ClassId(class.ok_or(request_error(400, "unknown class"))? as u8),
        tenant: TenantId(tenant.ok_or(request_error(400, "unknown tenant"))? as u32),
        function,
        unread_for: read.now.saturating_sub(read.arrived_at),
        expires_at: read.arrived_at
            + (deadline_ms.ok_or(request_error(400, "bad X-Deadline-Ms"))? * 1e3) as Micros,
        expected_work: estimate_ms.transpose()?.map(|ms| (ms * 1e3) as Micros),
        memory_mb: 0.0,
        concurrency_per_copy: 1,
        load_duration: None,
        has_idempotency_key: idempotency_key.is_some(),
    };
    extras(r.header("X-Extras").unwrap_or_default(), &mut arrival)?;
    Ok(ClientRequest::Call(Call {
        origin: (),
        identity: id.into(),
        idempotency_key,
        body: Rc::from(r.body),
        arrival,
    }))
}

/// Parses `name:value;name:value` into `arrival`; unknown names are ignored.
fn extras(text: &str, arrival: &mut Arrival) -> Result<(), RequestError> {
    for part in text.split(';').filter(|p| !p.trim().is_empty()) {
        let (name, value) = part
            .split_once(':')
            .ok_or(request_error(400, "bad X-Extras"))?;
        let value = number(value.trim()).ok_or(request_error(400, "bad X-Extras"))?;
        match name.trim() {
            "memory_mb" if value > MAX_MEMORY_MB => return Err(request_error(400, "bad X-Extras")),
            "lanes" if !(1.0..=MAX_CONCURRENCY).contains(&value) => {
                return Err(request_error(400, "bad X-Extras"))
            }
            "load_ms" if value > MAX_DURATION_MS => return Err(request_error(400, "bad X-Extras")),
            "memory_mb" => arrival.memory_mb = value,
            "lanes" => arrival.concurrency_per_copy = value as u32,
            "load_ms" => arrival.load_duration = Some((value * 1e3) as Micros).filter(|t| *t > 0),
            _ => {}
        }
    }
    Ok(())
}

/// Encodes a final answer. A rejection has a `Retry-After` header in whole seconds, rounded up.
pub fn answer(answer: &Answer, keep: bool) -> Vec<u8> {
    match answer {
        Answer::Served(body) => http::response(
            200,
            "Content-Type: application/octet-stream\r\n",
            body,
            keep,
        ),
        Answer::Rejected { retry_after } => {
            let wait = format!("Retry-After: {}\r\n", retry_after.div_ceil(1_000_000));
            http::response(503, &wait, b"", keep)
        }
        Answer::Failed => http::response(502, "", b"", keep),
    }
}

/// Encodes the response to a request that is rejected before it reaches the decision module.
pub fn encode_error(bad: &RequestError, keep: bool) -> Vec<u8> {
    http::response(
        bad.status,
        "Content-Type: text/plain\r\n",
        bad.reason.as_bytes(),
        keep && !bad.fatal,
    )
}

/// The error for a connection that sends no complete request in time.
pub fn request_timeout() -> RequestError {
    fatal(408, "request took too long")
}

#[cfg(test)]
mod tests;
