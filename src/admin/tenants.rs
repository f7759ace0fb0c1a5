//! Tenants: `GET|PUT|DELETE /v1/tenants/NAME`, and their secrets.

use serde_json::json;

use super::{body, matches, refused, Change, Context, Handled, Rotation, MAX_SECRET_OVERLAP_S};
use crate::front::http::{plain, Bad, Request};
use crate::tenancy::{Spec, TenantError};

/// Lists all tenants, without their secrets.
pub fn list(request: &Request<'_>, context: &mut Context<'_>) -> Result<Handled, Bad> {
    if request.method != "GET" {
        return Err(plain(405, "no such method here"));
    }
    Ok(Handled::new(200, json!(context.tenants.views(context.now))))
}

fn shown(context: &Context<'_>, status: u16, name: &str) -> Result<Handled, Bad> {
    let view = context
        .tenants
        .view(name, context.now)
        .ok_or(refused(TenantError::Unknown))?;
    let version = context.tenants.get(name).map(|t| t.version);
    Ok(Handled {
        version,
        ..Handled::new(status, json!(view))
    })
}

/// Shows, creates, changes or removes a tenant.
pub fn one(request: &Request<'_>, context: &mut Context<'_>, name: &str) -> Result<Handled, Bad> {
    let version = context.tenants.get(name).map(|t| t.version);
    match request.method {
        "GET" => shown(context, 200, name),
        "PUT" => {
            matches(request, version)?;
            let spec: Spec = body(request, "body is not a tenant")?;
            if !spec.name.is_empty() && spec.name != name {
                return Err(plain(422, "the name is the path's"));
            }
            let new = context.tenants.put(name, &spec).map_err(refused)?;
            let t = context
                .tenants
                .get(name)
                .ok_or(refused(TenantError::Unknown))?;
            let changes = vec![
                Change::Share(t.id, t.share_per_s),
                Change::Endpoints(name.to_owned()),
            ];
            Ok(Handled {
                changes,
                ..shown(context, if new { 201 } else { 200 }, name)?
            })
        }
        "DELETE" => {
            matches(request, version)?;
            let t = context.tenants.get(name);
            let ids = t.map_or(Vec::new(), |t| t.endpoints.values().map(|e| e.id).collect());
            let (tenant, per_s) = context.tenants.remove(name).map_err(refused)?;
            let changes = vec![Change::Share(tenant, per_s), Change::Removed(ids)];
            Ok(Handled {
                status: 204,
                body: None,
                version: None,
                changes,
            })
        }
        _ => Err(plain(405, "no such method here")),
    }
}

/// Parses a rotation of a secret; returns the new secret and the time until which older secrets
/// stay valid.
pub(super) fn rotation(request: &Request<'_>, now: u64) -> Result<(String, u64), Bad> {
    let rotation: Rotation = body(request, "body is not a rotation")?;
    if rotation.keep_old_s > MAX_SECRET_OVERLAP_S {
        return Err(plain(422, "keep_old_s is too long"));
    }
    Ok((rotation.secret, now + rotation.keep_old_s * 1_000_000))
}

/// Rotates a tenant's secret.
pub fn rotate(
    request: &Request<'_>,
    context: &mut Context<'_>,
    name: &str,
) -> Result<Handled, Bad> {
    matches(request, context.tenants.get(name).map(|t| t.version))?;
    let (secret, until) = rotation(request, context.now)?;
    context
        .tenants
        .rotate(name, &secret, context.now, until)
        .map_err(refused)?;
    let changes = vec![Change::Rotated(name.to_owned(), None)];
    Ok(Handled {
        changes,
        ..shown(context, 200, name)?
    })
}
