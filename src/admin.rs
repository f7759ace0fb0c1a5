//! The administration API: tenants, their secrets and the counters, for callers with a role.
//!
//! | request | role | does |
//! | --- | --- | --- |
//! | `GET /v1/tenants` | viewer | all tenants, without their secrets |
//! | `GET /v1/tenants/NAME` | viewer | one tenant |
//! | `PUT /v1/tenants/NAME` | operator | creates it or changes what is given |
//! | `DELETE /v1/tenants/NAME` | operator | removes it |
//! | `POST /v1/tenants/NAME/secrets` | operator | makes a secret the current one |
//! | `GET /v1/counters` | viewer | the counters |

use serde::Deserialize;
use serde_json::json;

use crate::api::{Micros, TenantId};
use crate::counters::Counters;
use crate::front::http::{plain, response, Bad, Request};
use crate::identity::{Gate, Role};
use crate::tenants::{Registry, Spec, TenantError};

/// The longest time that a rotated secret may still count, in seconds.
const LONGEST_OVERLAP_S: u64 = 30 * 86_400;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rotation {
    secret: String,
    /// How long the secrets before it still count.
    #[serde(default)]
    keep_old_s: u64,
}

/// What the module is to be told after a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// The tenant.
    pub tenant: TenantId,
    /// Its share; 0 for none.
    pub per_s: f64,
}

/// A request's answer and what follows from it.
#[derive(Debug)]
pub struct Handled {
    /// The status.
    pub status: u16,
    /// The body, JSON.
    pub body: String,
    /// A share that has changed.
    pub share: Option<Share>,
}

fn refused(e: TenantError) -> Bad {
    let status = match e {
        TenantError::Unknown => 404,
        TenantError::TooMany => 409,
        TenantError::State => 500,
        _ => 422,
    };
    let why = match e {
        TenantError::Unknown => "no such tenant",
        TenantError::TooMany => "too many",
        TenantError::Name => "bad name",
        TenantError::Share => "bad share_per_s",
        TenantError::Portal => "bad portal",
        TenantError::Secret => "bad secret",
        TenantError::State => "bad state",
    };
    plain(status, why)
}

/// Answers one request. Nothing is done for a caller without the role that it needs.
pub fn handle(
    r: &Request<'_>,
    gate: &Gate,
    tenants: &mut Registry,
    counters: &Counters,
    now: Micros,
) -> Result<Handled, Bad> {
    let token = r.header("Authorization").and_then(|a| a.strip_prefix("Bearer "));
    let token = token.ok_or(plain(401, "a JWT-SVID is needed"))?;
    let (_, role) = gate.check(token.trim(), now).map_err(|_| plain(401, "the JWT-SVID is not accepted"))?;
    let needed = if r.method == "GET" { Role::Viewer } else { Role::Operator };
    if role.is_none_or(|role| role < needed) {
        return Err(plain(403, "the caller has no role for this"));
    }
    let parts: Vec<&str> = r.path.trim_start_matches('/').split('/').collect();
    let done = |status, body: serde_json::Value, share| Handled { status, body: body.to_string(), share };
    match (r.method, parts.as_slice()) {
        ("GET", ["v1", "counters"]) => Ok(done(200, json!(counters), None)),
        ("GET", ["v1", "tenants"]) => Ok(done(200, json!(tenants.views(now)), None)),
        ("GET", ["v1", "tenants", name]) => {
            let view = tenants.view(name, now).ok_or(refused(TenantError::Unknown))?;
            Ok(done(200, json!(view), None))
        }
        ("PUT", ["v1", "tenants", name]) => {
            let spec: Spec =
                serde_json::from_slice(r.body).map_err(|_| plain(400, "body is not a tenant"))?;
            if !spec.name.is_empty() && spec.name != *name {
                return Err(plain(422, "the name is the path's"));
            }
            let new = tenants.put(name, &spec).map_err(refused)?;
            let t = tenants.get(name).ok_or(refused(TenantError::Unknown))?;
            let share = Some(Share { tenant: t.id, per_s: t.share_per_s });
            Ok(done(if new { 201 } else { 200 }, json!(tenants.view(name, now)), share))
        }
        ("DELETE", ["v1", "tenants", name]) => {
            let (tenant, per_s) = tenants.remove(name).map_err(refused)?;
            Ok(Handled { status: 204, body: String::new(), share: Some(Share { tenant, per_s }) })
        }
        ("POST", ["v1", "tenants", name, "secrets"]) => {
            let body: Rotation =
                serde_json::from_slice(r.body).map_err(|_| plain(400, "body is not a rotation"))?;
            if body.keep_old_s > LONGEST_OVERLAP_S {
                return Err(plain(422, "keep_old_s is too long"));
            }
            let until = now + body.keep_old_s * 1_000_000;
            tenants.rotate(name, &body.secret, now, until).map_err(refused)?;
            Ok(done(200, json!(tenants.view(name, now)), None))
        }
        (
            _,
            ["v1", "counters"] | ["v1", "tenants"] | ["v1", "tenants", _] | ["v1", "tenants", _, "secrets"],
        ) => Err(plain(405, "no such method here")),
        _ => Err(plain(404, "no such path")),
    }
}

/// The bytes of an answer.
pub fn answer(handled: &Result<Handled, Bad>, keep: bool) -> Vec<u8> {
    let json = "Content-Type: application/json\r\nCache-Control: no-store\r\n";
    match handled {
        Ok(h) => response(h.status, json, h.body.as_bytes(), keep),
        Err(bad) => {
            let extra = if bad.status == 401 { "WWW-Authenticate: Bearer\r\n" } else { "" };
            let body = json!({ "error": bad.why }).to_string();
            response(bad.status, &format!("{json}{extra}"), body.as_bytes(), keep && !bad.fatal)
        }
    }
}
