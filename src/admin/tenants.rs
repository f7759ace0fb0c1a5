//! Tenants: `GET|PUT|DELETE /v1/tenants/NAME`, and their secrets.

use serde_json::json;

use super::{
    body, matches, tenant_error, AdminResponse, Change, Context, Rotation, MAX_SECRET_OVERLAP_S,
};
use crate::front::http::{request_error, Request, RequestError};
use crate::tenancy::{Spec, TenantError};

/// Lists all tenants, without their secrets.
pub fn list(
    request: &Request<'_>,
    context: &mut Context<'_>,
) -> Result<AdminResponse, RequestError> {
    if request.method != "GET" {
        return Err(request_error(405, "no such method here"));
    }
    Ok(AdminResponse::new(
        200,
        json!(context.tenants.views(context.now)),
    ))
}

fn shown(context: &Context<'_>, status: u16, name: &str) -> Result<AdminResponse, RequestError> {
    let view = context
        .tenants
        .view(name, context.now)
        .ok_or(tenant_error(TenantError::Unknown))?;
    let version = context.tenants.get(name).map(|t| t.version);
    Ok(AdminResponse {
        version,
        ..AdminResponse::new(status, json!(view))
    })
}

/// Shows, creates, changes or removes a tenant.
pub fn one(
    request: &Request<'_>,
    context: &mut Context<'_>,
    name: &str,
) -> Result<AdminResponse, RequestError> {
    let version = context.tenants.get(name).map(|t| t.version);
    match request.method {
        "GET" => shown(context, 200, name),
        "PUT" => {
            matches(request, version)?;
            let spec: Spec = body(request, "body is not a tenant")?;
            if !spec.name.is_empty() && spec.name != name {
                return Err(request_error(422, "the name is the path's"));
            }
            let new = context.tenants.put(name, &spec).map_err(tenant_error)?;
            let t = context
                .tenants
                .get(name)
                .ok_or(tenant_error(TenantError::Unknown))?;
            let changes = vec![
                Change::QuotaChanged(t.id, t.share_per_s),
                Change::Endpoints(name.to_owned()),
            ];
            Ok(AdminResponse {
                changes,
                ..shown(context, if new { 201 } else { 200 }, name)?
            })
        }
        "DELETE" => {
            matches(request, version)?;
            let t = context.tenants.get(name);
            let ids = t.map_or(Vec::new(), |t| t.endpoints.values().map(|e| e.id).collect());
            let (tenant, per_s) = context.tenants.remove(name).map_err(tenant_error)?;
            let changes = vec![Change::QuotaChanged(tenant, per_s), Change::Removed(ids)];
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

/// Parses a rotation of a secret; returns the new secret and the time until which older secrets
/// stay valid.
pub(super) fn rotation(request: &Request<'_>, now: u64) -> Result<(String, u64), RequestError> {
    let rotation: Rotation = body(request, "body is not a rotation")?;
    if rotation.keep_old_s > MAX_SECRET_OVERLAP_S {
        return Err(request_error(422, "keep_old_s is too long"));
    }
    Ok((rotation.secret, now + rotation.keep_old_s * 1_000_000))
}

/// Rotates a tenant's secret.
pub fn rotate(
    request: &Request<'_>,
    context: &mut Context<'_>,
    name: &str,
) -> Result<AdminResponse, RequestError> {
    matches(request, context.tenants.get(name).map(|t| t.version))?;
    let (secret, until) = rotation(request, context.now)?;
    context
        .tenants
        .rotate(name, &secret, context.now, until)
        .map_err(tenant_error)?;
    let changes = vec![Change::Rotated(name.to_owned(), None)];
    Ok(AdminResponse {
        changes,
        ..shown(context, 200, name)?
    })
}
