//! Messages to portals: event bodies and the signed HTTP request of an attempt.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use super::inbound::CallContext;
use super::signature;
use crate::api::Micros;
use crate::core::Answer;
use crate::tenancy::{Portal, Secret};

/// The largest answer that a callback carries, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// The outcome of a call, as reported to the portal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The gateway's final answer.
    Answered(Answer),
    /// The gateway was killed during the call: it may have run, and is not run again.
    Unknown,
}

impl Outcome {
    /// The outcome's name in an event: `served`, `refused`, `failed` or `unknown`.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(Answer::Served(body)) if body.len() <= MAX_PAYLOAD_BYTES => "served",
            Outcome::Answered(Answer::Rejected { .. }) => "refused",
            Outcome::Answered(_) => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Formats Unix microseconds after RFC 3339, to the second; empty for a year after 9999.
pub fn timestamp(at: Micros) -> String {
    let at = i64::try_from(at / 1_000_000)
        .ok()
        .and_then(|s| OffsetDateTime::from_unix_timestamp(s).ok());
    at.and_then(|at| at.format(&Rfc3339).ok())
        .unwrap_or_default()
}

/// Encodes the body of an event.
pub fn event(kind: &str, now: Micros, data: &Value) -> Vec<u8> {
    json!({ "type": kind, "timestamp": timestamp(now), "data": data })
        .to_string()
        .into_bytes()
}

/// The data of the event `call.completed`.
pub fn completed(job: &CallContext, outcome: &Outcome) -> Value {
    let mut data = json!({
        "call": job.webhook_id,
        "class": job.class,
        "function": format!("{:016x}", job.function.0),
        "outcome": outcome.name(),
    });
    match outcome {
        Outcome::Answered(Answer::Served(body)) if body.len() <= MAX_PAYLOAD_BYTES => {
            data["payload"] = BASE64_STANDARD.encode(body).into();
        }
        Outcome::Answered(Answer::Served(_)) => {
            data["reason"] = "the answer is too large for a callback".into();
        }
        Outcome::Answered(Answer::Rejected { retry_after }) => {
            data["retry_after_ms"] = (retry_after / 1000).into();
        }
        Outcome::Answered(Answer::Failed) => {}
        Outcome::Unknown => {
            data["reason"] =
                "the gateway was ended while the call was out; it is not run again".into();
        }
    }
    data
}

/// Encodes the HTTP request of an attempt, signed with each of the secrets at time `now`.
pub fn request(
    portal: &Portal,
    id: &str,
    secrets: &[Secret],
    now: Micros,
    body: &[u8],
    keep: bool,
) -> Vec<u8> {
    let stamp = now / 1_000_000;
    let signed = signature::sign(secrets.iter(), id, stamp, body);
    let close = if keep { "" } else { "Connection: close\r\n" };
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nwebhook-id: {id}\r\n\
         webhook-timestamp: {stamp}\r\nwebhook-signature: {signed}\r\nContent-Length: {}\r\n{close}\r\n",
        portal.path,
        portal.address,
        body.len()
    );
    [head.as_bytes(), body].concat()
}

#[cfg(test)]
mod tests;
