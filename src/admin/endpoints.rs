//! Endpoints: `/v1/tenants/NAME/endpoints/ENDPOINT`, and what can be done with one.

use serde::Deserialize;
use serde_json::json;

use super::tenants::rotation;
use super::{body, matches, refused, Change, Context, Done, Handled};
use crate::front::http::{plain, Bad, Request};
use crate::store::operations::{Op, ResendDeadLetters};
use crate::tenancy::{Endpoint, EndpointSpec, TenantError};

/// Messages that one recovery sends again.
const MOST_RECOVERED: usize = 1000;

fn find<'a>(cx: &'a Context<'_>, tenant: &str, name: &str) -> Result<&'a Endpoint, Bad> {
    let t = cx
        .tenants
        .get(tenant)
        .ok_or(refused(TenantError::Unknown))?;
    t.endpoints
        .get(name)
        .ok_or(refused(TenantError::UnknownEndpoint))
}

fn shown(cx: &Context<'_>, status: u16, tenant: &str, name: &str) -> Result<Handled, Bad> {
    let e = find(cx, tenant, name)?;
    let mut view = json!(e.view(name, cx.now));
    if let Some(health) = (cx.health)(e.id) {
        view["health"] = json!(health);
    }
    Ok(Handled {
        version: Some(e.version),
        ..Handled::new(status, view)
    })
}

/// All endpoints of a tenant.
pub fn list(cx: &Context<'_>, tenant: &str) -> Result<Handled, Bad> {
    let t = cx
        .tenants
        .get(tenant)
        .ok_or(refused(TenantError::Unknown))?;
    let all: Result<Vec<_>, Bad> = t
        .endpoints
        .keys()
        .map(|name| Ok(shown(cx, 200, tenant, name)?.body))
        .collect();
    Ok(Handled::new(200, json!(all?)))
}

/// One endpoint: shown, created or changed, removed.
pub fn one(
    r: &Request<'_>,
    cx: &mut Context<'_>,
    tenant: &str,
    name: &str,
) -> Result<Handled, Bad> {
    let version = find(cx, tenant, name).ok().map(|e| e.version);
    match r.method {
        "GET" => shown(cx, 200, tenant, name),
        "PUT" => {
            matches(r, version)?;
            let spec: EndpointSpec = body(r, "body is not an endpoint")?;
            if !spec.name.is_empty() && spec.name != name {
                return Err(plain(422, "the name is the path's"));
            }
            let new = cx
                .tenants
                .put_endpoint(tenant, name, &spec)
                .map_err(refused)?;
            let changes = vec![Change::Endpoints(tenant.to_owned())];
            Ok(Handled {
                changes,
                ..shown(cx, if new { 201 } else { 200 }, tenant, name)?
            })
        }
        "DELETE" => {
            matches(r, version)?;
            let id = cx.tenants.remove_endpoint(tenant, name).map_err(refused)?;
            let changes = vec![Change::Removed(vec![id])];
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

/// Switches one on or off, rotates its secrets, or sends it a test event.
pub fn act(
    r: &Request<'_>,
    cx: &mut Context<'_>,
    tenant: &str,
    name: &str,
    what: &str,
) -> Result<Handled, Bad> {
    let e = find(cx, tenant, name)?;
    matches(r, Some(e.version))?;
    match what {
        "enable" | "disable" => {
            let spec = EndpointSpec {
                enabled: Some(what == "enable"),
                ..EndpointSpec::default()
            };
            cx.tenants
                .put_endpoint(tenant, name, &spec)
                .map_err(refused)?;
            let changes = vec![Change::Endpoints(tenant.to_owned())];
            Ok(Handled {
                changes,
                ..shown(cx, 200, tenant, name)?
            })
        }
        "secrets" => {
            let (secret, until) = rotation(r, cx.now)?;
            cx.tenants
                .rotate_endpoint(tenant, name, &secret, cx.now, until)
                .map_err(refused)?;
            let changes = vec![Change::Rotated(tenant.to_owned(), Some(name.to_owned()))];
            Ok(Handled {
                changes,
                ..shown(cx, 200, tenant, name)?
            })
        }
        "test" => {
            let changes = vec![Change::Test(tenant.to_owned(), name.to_owned())];
            Ok(Handled {
                changes,
                ..Handled::new(202, json!({ "sent": "endpoint.test" }))
            })
        }
        _ => Err(plain(404, "no such path")),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovery {
    /// Seconds back from now.
    since_s: u64,
}

/// Sends again all that was given up since a time and may be sent again.
pub fn recover(r: &Request<'_>, cx: &Context<'_>, tenant: &str, name: &str) -> Result<Done, Bad> {
    let e = find(cx, tenant, name)?;
    matches(r, Some(e.version))?;
    let recovery: Recovery = body(r, "body is not a recovery")?;
    let since = cx
        .now
        .saturating_sub(recovery.since_s.saturating_mul(1_000_000));
    let serial = cx.tenants.get(tenant).map_or(0, |t| t.serial);
    Ok(Done::Ask(Op::ResendDeadLetters(ResendDeadLetters {
        endpoint: e.id,
        serial,
        since,
        now: cx.now,
        limit: MOST_RECOVERED,
    })))
}
