//! Messages to portals: their bodies, and the bytes of an attempt.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use super::inbound::Job;
use super::signature;
use crate::api::Micros;
use crate::core::Answer;
use crate::tenancy::{Portal, Secret};

/// An answer larger than this, in bytes, is not passed on.
const LONGEST_PAYLOAD: usize = 64 * 1024;

/// How a call ended, for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// As the module decided.
    Answered(Answer),
    /// A kill came between: nobody can tell whether it ran, and it is not run again.
    Unknown,
}

impl Outcome {
    /// Its name: `served`, `refused`, `failed` or `unknown`.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(Answer::Served(body)) if body.len() <= LONGEST_PAYLOAD => "served",
            Outcome::Answered(Answer::Rejected { .. }) => "refused",
            Outcome::Answered(_) => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Unix microseconds as RFC 3339 has them, to the second; empty for a year past 9999.
pub fn timestamp(at: Micros) -> String {
    let at = i64::try_from(at / 1_000_000)
        .ok()
        .and_then(|s| OffsetDateTime::from_unix_timestamp(s).ok());
    at.and_then(|at| at.format(&Rfc3339).ok())
        .unwrap_or_default()
}

/// The body of an event.
pub fn event(kind: &str, now: Micros, data: &Value) -> Vec<u8> {
    json!({ "type": kind, "timestamp": timestamp(now), "data": data })
        .to_string()
        .into_bytes()
}

/// What the event `call.completed` tells of a call.
pub fn completed(job: &Job, outcome: &Outcome) -> Value {
    let mut data = json!({
        "call": job.webhook_id,
        "class": job.class,
        "function": format!("{:016x}", job.function.0),
        "outcome": outcome.name(),
    });
    match outcome {
        Outcome::Answered(Answer::Served(body)) if body.len() <= LONGEST_PAYLOAD => {
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

/// The bytes of an attempt, signed for this moment with each of the secrets.
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
