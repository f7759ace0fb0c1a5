//! Endpoints: `/v1/tenants/NAME/endpoints/ENDPOINT`, and the actions on an endpoint.

use serde::Deserialize;
use serde_json::json;

use super::tenants::rotation;
use super::{body, matches, tenant_error, AdminResponse, Change, Context, HandleResult};
use crate::front::http::{request_error, Request, RequestError};
use crate::store::operations::{Op, ResendDeadLetters};
use crate::tenancy::{Endpoint, EndpointSpec, TenantError};

/// Maximum number of messages that one recovery resends.
const MAX_RECOVERED_MESSAGES: usize = 1000;

fn find<'a>(
    context: &'a Context<'_>,
    tenant: &str,
    name: &str,
) -> Result<&'a Endpoint, RequestError> {
    let t = context
        .tenants
        .get(tenant)
        .ok_or(tenant_error(TenantError::Unknown))?;
    t.endpoints
        .get(name)
        .ok_or(tenant_error(TenantError::UnknownEndpoint))
}

fn shown(
    context: &Context<'_>,
    status: u16,
    tenant: &str,
    name: &str,
) -> Result<AdminResponse, RequestError> {
    let e = find(context, tenant, name)?;
    let mut view = json!(e.view(name, context.now));
    if let Some(health) = (context.health)(e.id) {
        view["health"] = json!(health);
    }
    Ok(AdminResponse {
        version: Some(e.version),
        ..AdminResponse::new(status, view)
    })
}

/// Lists all endpoints of a tenant.
pub fn list(context: &Context<'_>, tenant: &str) -> Result<AdminResponse, RequestError> {
    let t = context
        .tenants
        .get(tenant)
        .ok_or(tenant_error(TenantError::Unknown))?;
    let all: Result<Vec<_>, RequestError> = t
        .endpoints
        .keys()
        .map(|name| Ok(shown(context, 200, tenant, name)?.body))
        .collect();
    Ok(AdminResponse::new(200, json!(all?)))
}

/// Shows, creates, changes or removes an endpoint.
pub fn one(
    request: &Request<'_>,
    context: &mut Context<'_>,
    tenant: &str,
    name: &str,
) -> Result<AdminResponse, RequestError> {
    let version = find(context, tenant, name).ok().map(|e| e.version);
    match request.method {
        "GET" => shown(context, 200, tenant, name),
        "PUT" => {
            matches(request, version)?;
            let spec: EndpointSpec = body(request, "body is not an endpoint")?;
            if !spec.name.is_empty() && spec.name != name {
                return Err(request_error(422, "the name is the path's"));
            }
            let new = context
                .tenants
                .put_endpoint(tenant, name, &spec)
                .map_err(tenant_error)?;
            let changes = vec![Change::Endpoints(tenant.to_owned())];
            Ok(AdminResponse {
                changes,
                ..shown(context, if new { 201 } else { 200 }, tenant, name)?
            })
        }
        "DELETE" => {
            matches(request, version)?;
            let id = context
                .tenants
                .remove_endpoint(tenant, name)
                .map_err(tenant_error)?;
            let changes = vec![Change::Removed(vec![id])];
            Ok(AdminResponse {
                status: 204,
                body: None,
                version: None,
                changes,
            })
        }
        _ => Err(request_error(405, "no such method here")),
    }
}

/// Enables or disables an endpoint, rotates its secrets, or sends it a test event.
pub fn act(
    request: &Request<'_>,
    context: &mut Context<'_>,
    tenant: &str,
    name: &str,
    action: &str,
) -> Result<AdminResponse, RequestError> {
    let e = find(context, tenant, name)?;
    matches(request, Some(e.version))?;
    match action {
        "enable" | "disable" => {
            let spec = EndpointSpec {
                enabled: Some(action == "enable"),
                ..EndpointSpec::default()
            };
            context
                .tenants
                .put_endpoint(tenant, name, &spec)
                .map_err(tenant_error)?;
            let changes = vec![Change::Endpoints(tenant.to_owned())];
            Ok(AdminResponse {
                changes,
                ..shown(context, 200, tenant, name)?
            })
        }
        "secrets" => {
            let (secret, until) = rotation(request, context.now)?;
            context
                .tenants
                .rotate_endpoint(tenant, name, &secret, context.now, until)
                .map_err(tenant_error)?;
            let changes = vec![Change::Rotated(tenant.to_owned(), Some(name.to_owned()))];
            Ok(AdminResponse {
                changes,
                ..shown(context, 200, tenant, name)?
            })
        }
        "test" => {
            let changes = vec![Change::Test(tenant.to_owned(), name.to_owned())];
            Ok(AdminResponse {
                changes,
                ..AdminResponse::new(202, json!({ "sent": "endpoint.test" }))
            })
        }
        _ => Err(request_error(404, "no such path")),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovery {
    /// Age of the oldest messages to recover, in seconds.
    since_s: u64,
}

/// Resends the messages that became dead letters since a time and may be sent again.
pub fn recover(
    request: &Request<'_>,
    context: &Context<'_>,
    tenant: &str,
    name: &str,
) -> Result<HandleResult, RequestError> {
    let e = find(context, tenant, name)?;
    matches(request, Some(e.version))?;
    let recovery: Recovery = body(request, "body is not a recovery")?;
    let since = context
        .now
        .saturating_sub(recovery.since_s.saturating_mul(1_000_000));
    let serial = context.tenants.get(tenant).map_or(0, |t| t.serial);
    Ok(HandleResult::StoreRequest(Op::ResendDeadLetters(
        ResendDeadLetters {
            endpoint: e.id,
            serial,
            since,
            now: context.now,
            limit: MAX_RECOVERED_MESSAGES,
        },
    )))
}
