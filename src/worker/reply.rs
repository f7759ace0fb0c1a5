//! Parsing of worker replies: identity, status, fields and body.

use super::{Exchange, RespError};
use crate::api::{CopyStart, LoadReport};
use crate::completion::CloseReason;

/// The maximum number of reply bytes that an error message quotes.
const MAX_QUOTED_BYTES: usize = 64;
/// The placeholder for an empty list of fields.
const NO_FIELDS: &str = "-";

/// A reply split into its parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reply<'a> {
    pub(super) identity: &'a [u8],
    pub(super) status: &'a [u8],
    pub(super) fields: &'a str,
    pub(super) body: &'a [u8],
}

/// The known fields of a reply.
#[derive(Debug, Default)]
pub(super) struct ReplyFields {
    pub(super) copy_start: Option<CopyStart>,
    pub(super) function_in_flight: u32,
    pub(super) copies: u32,
    pub(super) load_report: Option<LoadReport>,
}

impl<'a> Reply<'a> {
    /// Splits a reply's bulk strings into its parts.
    pub(super) fn from_strings(strings: &[&'a [u8]]) -> Result<Reply<'a>, RespError> {
        let (identity, status, rest) = match strings {
            [identity, status, rest @ ..] if rest.len() <= 2 => (*identity, *status, rest),
            _ => return Err(RespError::ArrayLength(strings.len())),
        };
        let fields = rest.first().copied().unwrap_or(NO_FIELDS.as_bytes());
        let fields = std::str::from_utf8(fields).map_err(|_| RespError::Reply(quote(fields)))?;
        let body = rest.get(1).copied().unwrap_or_default();
        Ok(Reply {
            identity,
            status,
            fields,
            body,
        })
    }

    /// Converts the status to a close reason.
    pub(super) fn close_reason(&self, exchange: Exchange) -> Result<CloseReason, RespError> {
        match (self.status, exchange) {
            (b"200", _) | (b"alive", Exchange::HealthCheck(_)) => Ok(CloseReason::Served),
            (b"404", _) => Ok(CloseReason::NotLoaded),
            (b"503", _) => Ok(CloseReason::AtCapacity),
            (b"500", _) | (b"dead", Exchange::HealthCheck(_)) => Ok(CloseReason::Failed),
            (b"504", _) => Ok(CloseReason::Expired),
            _ => Err(RespError::Reply(quote(self.status))),
        }
    }

    /// Parses the fields. Unknown fields are ignored; unreadable values become the default.
    pub(super) fn read_fields(&self) -> ReplyFields {
        let mut read = ReplyFields::default();
        if self.fields == NO_FIELDS {
            return read;
        }
        let fields = self.fields.split(',');
        for (name, value) in fields.filter_map(|field| field.split_once('=')) {
            match name {
                "remark" => read.copy_start = parse_copy_start(value),
                "queue_fn" => read.function_in_flight = value.parse().unwrap_or(0),
                "copies" => read.copies = value.parse().unwrap_or(0),
                "report" => read.load_report = parse_load_report(value),
                _ => {}
            }
        }
        read
    }
}

fn parse_copy_start(value: &str) -> Option<CopyStart> {
    match value {
        "w" => Some(CopyStart::Warm),
        "c" => Some(CopyStart::Triggered),
        "j" => Some(CopyStart::Joined),
        "f" => Some(CopyStart::LoadFailed),
        _ => None,
    }
}

/// Parses a load report of the form `name:value;name:value`; `None` if it contains no known value.
fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let entries = text.split(';').filter_map(|entry| entry.split_once(':'));
    for (name, value) in entries {
        let value = value.trim().parse::<f32>().ok().filter(|v| v.is_finite());
        match name.trim() {
            "q" | "queue" => report.queued = value,
            "rif" | "inflight" => report.in_flight = value,
            "busy" | "util" => report.cpu_utilization = value,
            "x0" => report.pinned_memory = value,
            "x1" => report.active_loads = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

fn quote(bytes: &[u8]) -> String {
    let shown = &bytes[..bytes.len().min(MAX_QUOTED_BYTES)];
    String::from_utf8_lossy(shown).into_owned()
}
