//! Messages and their attempts: `/v1/tenants/NAME/messages`, in pages with a cursor, newest first.

use serde::Deserialize;
use serde_json::{json, Value};

use super::{body, query, tenant_error, AdminResponse, Context, HandleResult};
use crate::delivery::Seq;
use crate::front::http::{request_error, Request, RequestError};
use crate::front::webhook::message::timestamp;
use crate::store::error::StoreError;
use crate::store::operations::{Filter, Op, Reply, Resend};
use crate::store::records::{AttemptRecord, MessageRecord};
use crate::tenancy::TenantError;

/// Default and maximum number of messages on a page.
const DEFAULT_PAGE_LEN: usize = 50;
const MAX_PAGE_LEN: usize = 200;

fn seq(text: &str) -> Result<Seq, RequestError> {
    text.parse()
        .map(Seq)
        .map_err(|_| request_error(404, "no such message"))
}

fn serial(context: &Context<'_>, tenant: &str) -> Result<u64, RequestError> {
    context
        .tenants
        .get(tenant)
        .map(|t| t.serial)
        .ok_or(tenant_error(TenantError::Unknown))
}

/// Lists a page of a tenant's messages, filtered by state, type, endpoint and time.
pub fn list(context: &Context<'_>, tenant: &str, q: &str) -> Result<HandleResult, RequestError> {
    let t = context
        .tenants
        .get(tenant)
        .ok_or(tenant_error(TenantError::Unknown))?;
    let bad = request_error(422, "a parameter cannot be used");
    let number = |name: &str| {
        query(q, name)
            .map(|v| v.parse::<u64>().map_err(|_| bad))
            .transpose()
    };
    let endpoint = query(q, "endpoint").map(|name| t.endpoints.get(name).map(|e| e.id));
    let limit = number("limit")?.map_or(DEFAULT_PAGE_LEN, |n| n as usize);
    if limit == 0 || limit > MAX_PAGE_LEN || endpoint == Some(None) {
        return Err(bad);
    }
    Ok(HandleResult::StoreRequest(Op::ListMessages(Filter {
        serial: t.serial,
        state: query(q, "state").map(str::to_owned),
        kind: query(q, "type").map(str::to_owned),
        endpoint: endpoint.flatten(),
        since: number("since")?.map(|s| s.saturating_mul(1_000_000)),
        before: number("cursor")?.map(Seq),
        limit,
    })))
}

/// Shows a message, its attempts and its body.
pub fn one(
    context: &Context<'_>,
    tenant: &str,
    message: &str,
) -> Result<HandleResult, RequestError> {
    Ok(HandleResult::StoreRequest(Op::GetMessage(
        seq(message)?,
        serial(context, tenant)?,
    )))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ResendRequest {
    /// Resend the message although it may have arrived and its class forbids a repetition.
    #[serde(default)]
    acknowledge_duplicate: bool,
}

/// Resends a message.
pub fn again(
    request: &Request<'_>,
    context: &Context<'_>,
    who: &str,
    tenant: &str,
    message: &str,
) -> Result<HandleResult, RequestError> {
    let resend: ResendRequest = body(request, "body is not a request to send again")?;
    let acknowledged_by = resend.acknowledge_duplicate.then(|| who.to_owned());
    Ok(HandleResult::StoreRequest(Op::Resend(Resend {
        message: seq(message)?,
        serial: serial(context, tenant)?,
        now: context.now,
        acknowledged_by,
    })))
}

fn view(m: &MessageRecord) -> Value {
    json!({
        "message": m.waiting.seq.0.to_string(),
        "webhook_id": m.id,
        "type": m.kind,
        "call": m.call,
        "state": m.state.name(),
        "attempts": m.waiting.tries,
        "created": timestamp(m.created),
        "due": (!m.state.is_over()).then(|| timestamp(m.waiting.due)),
        "may_have_arrived": m.waiting.maybe_received_at.is_some(),
        "acknowledged_by": m.acknowledged,
        "bytes": m.waiting.size,
    })
}

/// A message in the form of `molelug store export`.
pub fn exported(m: &MessageRecord) -> Value {
    let mut line = view(m);
    line["tenant"] = m.tenant.as_str().into();
    line
}

fn attempt(a: &AttemptRecord) -> Value {
    json!({ "at": timestamp(a.at), "took_ms": a.took / 1000, "ending": a.ending, "status": a.status,
            "may_have_arrived": a.may_have_arrived })
}

/// Converts the store's reply into a response. `op_limit` is the page size of a list request.
pub fn answer(
    op_limit: Option<usize>,
    reply: Result<Reply, StoreError>,
) -> Result<AdminResponse, RequestError> {
    match reply {
        Ok(Reply::Messages(all)) => {
            // A full page may have a successor.
            let full = op_limit.is_some_and(|limit| all.len() >= limit);
            let cursor = all
                .last()
                .filter(|_| full)
                .map(|m| m.waiting.seq.0.to_string());
            let list: Vec<Value> = all.iter().map(view).collect();
            Ok(AdminResponse::new(
                200,
                json!({ "messages": list, "cursor": cursor }),
            ))
        }
        Ok(Reply::Message(Some(shown))) => {
            let mut body = view(&shown.record);
            body["log"] = shown.attempts.iter().map(attempt).collect();
            body["body"] = serde_json::from_slice(&shown.body).unwrap_or(Value::Null);
            Ok(AdminResponse::new(200, body))
        }
        Ok(Reply::Message(None)) => Err(request_error(404, "no such message")),
        Ok(Reply::Queued(all)) => Ok(AdminResponse::new(202, json!({ "sent_again": all.len() }))),
        Ok(Reply::ResendRejected("no such message")) => Err(request_error(404, "no such message")),
        Ok(Reply::ResendRejected(why)) => Err(request_error(409, why)),
        Ok(Reply::Stats(stat)) => Ok(AdminResponse::new(200, json!(stat))),
        Ok(_) => Err(request_error(500, "the store answered something else")),
        Err(StoreError::Full) => Err(request_error(503, "the store is full")),
        Err(_) => Err(request_error(503, "the store cannot be written or read")),
    }
}
