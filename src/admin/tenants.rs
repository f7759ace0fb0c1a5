//! Tenants: `GET|PUT|DELETE /v1/tenants/NAME`, and their secrets.

use serde_json::json;

use super::{body, matches, refused, Change, Context, Handled, Rotation, LONGEST_OVERLAP_S};
use crate::front::http::{plain, Bad, Request};
use crate::tenancy::{Spec, TenantError};

/// All tenants, without their secrets.
pub fn list(r: &Request<'_>, cx: &mut Context<'_>) -> Result<Handled, Bad> {
    if r.method != "GET" {
        return Err(plain(405, "no such method here"));
    }
    Ok(Handled::new(200, json!(cx.tenants.views(cx.now))))
}

fn shown(cx: &Context<'_>, status: u16, name: &str) -> Result<Handled, Bad> {
    let view = cx
        .tenants
        .view(name, cx.now)
        .ok_or(refused(TenantError::Unknown))?;
    let version = cx.tenants.get(name).map(|t| t.version);
    Ok(Handled {
        version,
        ..Handled::new(status, json!(view))
    })
}

/// One tenant: shown, created or changed, removed.
pub fn one(r: &Request<'_>, cx: &mut Context<'_>, name: &str) -> Result<Handled, Bad> {
    let version = cx.tenants.get(name).map(|t| t.version);
    match r.method {
        "GET" => shown(cx, 200, name),
        "PUT" => {
            matches(r, version)?;
            let spec: Spec = body(r, "body is not a tenant")?;
            if !spec.name.is_empty() && spec.name != name {
                return Err(plain(422, "the name is the path's"));
            }
            let new = cx.tenants.put(name, &spec).map_err(refused)?;
            let t = cx.tenants.get(name).ok_or(refused(TenantError::Unknown))?;
            let changes = vec![
                Change::Share(t.id, t.share_per_s),
                Change::Endpoints(name.to_owned()),
            ];
            Ok(Handled {
                changes,
                ..shown(cx, if new { 201 } else { 200 }, name)?
            })
        }
        "DELETE" => {
            matches(r, version)?;
            let t = cx.tenants.get(name);
            let ids = t.map_or(Vec::new(), |t| t.endpoints.values().map(|e| e.id).collect());
            let (tenant, per_s) = cx.tenants.remove(name).map_err(refused)?;
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

/// Reads a rotation: the secret, and until when those before it count.
pub(super) fn rotation(r: &Request<'_>, now: u64) -> Result<(String, u64), Bad> {
    let rotation: Rotation = body(r, "body is not a rotation")?;
    if rotation.keep_old_s > LONGEST_OVERLAP_S {
        return Err(plain(422, "keep_old_s is too long"));
    }
    Ok((rotation.secret, now + rotation.keep_old_s * 1_000_000))
}

/// Makes a secret a tenant's current one.
pub fn rotate(r: &Request<'_>, cx: &mut Context<'_>, name: &str) -> Result<Handled, Bad> {
    matches(r, cx.tenants.get(name).map(|t| t.version))?;
    let (secret, until) = rotation(r, cx.now)?;
    cx.tenants
        .rotate(name, &secret, cx.now, until)
        .map_err(refused)?;
    let changes = vec![Change::Rotated(name.to_owned(), None)];
    Ok(Handled {
        changes,
        ..shown(cx, 200, name)?
    })
}
