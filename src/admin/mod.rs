//! The administration API: one file a resource, problem details (RFC 9457), entity tags, idempotency keys.
//!
//! `docs/openapi.json` lists the routes; a test holds it against [`ROUTES`]. What the store has to be asked leaves as
//! [`Done::Ask`] and comes back to [`messages::answer`].

use serde::Deserialize;
use serde_json::{json, Value};

use crate::api::{Micros, TenantId};
use crate::counters::Counters;
use crate::delivery::EndpointId;
use crate::front::http::{plain, response, Bad, Request};
use crate::identity::{Gate, Role};
use crate::store::operations::Op;
use crate::tenancy::{Registry, TenantError};

pub mod consensus;
pub mod endpoints;
pub mod idempotency;
pub mod messages;
pub mod tenants;

/// The longest time that a rotated secret may still count, in seconds.
const LONGEST_OVERLAP_S: u64 = 30 * 86_400;

/// Method, path and role of every route; `*` stands for a name.
pub const ROUTES: [(&str, &str, Role); 23] = [
    ("GET", "/v1/council", Role::Viewer),
    ("POST", "/v1/council/voters", Role::Operator),
    ("GET", "/v1/duties", Role::Viewer),
    ("GET", "/v1/peers", Role::Viewer),
    ("GET", "/v1/counters", Role::Viewer),
    ("GET", "/v1/store", Role::Viewer),
    ("GET", "/v1/tenants", Role::Viewer),
    ("GET", "/v1/tenants/*", Role::Viewer),
    ("PUT", "/v1/tenants/*", Role::Operator),
    ("DELETE", "/v1/tenants/*", Role::Operator),
    ("POST", "/v1/tenants/*/secrets", Role::Operator),
    ("GET", "/v1/tenants/*/endpoints", Role::Viewer),
    ("GET", "/v1/tenants/*/endpoints/*", Role::Viewer),
    ("PUT", "/v1/tenants/*/endpoints/*", Role::Operator),
    ("DELETE", "/v1/tenants/*/endpoints/*", Role::Operator),
    ("POST", "/v1/tenants/*/endpoints/*/enable", Role::Operator),
    ("POST", "/v1/tenants/*/endpoints/*/disable", Role::Operator),
    ("POST", "/v1/tenants/*/endpoints/*/secrets", Role::Operator),
    ("POST", "/v1/tenants/*/endpoints/*/test", Role::Operator),
    ("POST", "/v1/tenants/*/endpoints/*/recover", Role::Operator),
    ("GET", "/v1/tenants/*/messages", Role::Viewer),
    ("GET", "/v1/tenants/*/messages/*", Role::Viewer),
    ("POST", "/v1/tenants/*/messages/*/again", Role::Operator),
];

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rotation {
    secret: String,
    /// How long the secrets before it still count.
    #[serde(default)]
    keep_old_s: u64,
}

/// What follows from a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A tenant's share; 0 for none.
    Share(TenantId, f64),
    /// The endpoints of a tenant are to be told to delivery anew.
    Endpoints(String),
    /// These endpoints are no more.
    Removed(Vec<EndpointId>),
    /// A secret was rotated: of a tenant, or of an endpoint by name.
    Rotated(String, Option<String>),
    /// A test event is to go to an endpoint.
    Test(String, String),
    /// Who votes in the council is to change.
    Voters {
        /// Who is to vote.
        joins: Option<String>,
        /// Who is to vote no more.
        leaves: Option<String>,
    },
}

impl Change {
    /// Whether it changes a tenant for good, so that it has to be kept.
    pub fn is_kept(&self) -> bool {
        !matches!(self, Change::Test(..) | Change::Voters { .. })
    }
}

/// A request's answer and what follows from it.
#[derive(Clone, Debug)]
pub struct Handled {
    /// The status.
    pub status: u16,
    /// The body, JSON; none for an empty one.
    pub body: Option<Value>,
    /// The entity tag.
    pub version: Option<u64>,
    /// What follows.
    pub changes: Vec<Change>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Done {
    /// It is answered.
    Now(Handled),
    /// The store is to be asked; its reply makes the answer.
    Ask(Op),
}

impl Handled {
    /// An answer from which nothing follows.
    pub fn new(status: u16, body: Value) -> Handled {
        Handled {
            status,
            body: Some(body),
            version: None,
            changes: Vec::new(),
        }
    }
}

/// Maps a tenant's error to its status.
pub fn refused(e: TenantError) -> Bad {
    let status = match e {
        TenantError::Unknown | TenantError::UnknownEndpoint => 404,
        TenantError::TooMany => 409,
        TenantError::State => 500,
        _ => 422,
    };
    plain(status, e.why())
}

/// What a request may look at.
pub struct Context<'a> {
    /// The tenants.
    pub tenants: &'a mut Registry,
    /// The counters.
    pub counters: &'a Counters,
    /// The health of an endpoint, if webhooks are on.
    pub health: &'a dyn Fn(EndpointId) -> Option<crate::delivery::Health>,
    /// What the path asks for of the group of instances or of the council; null if that is off.
    pub fleet: Value,
    /// The time.
    pub now: Micros,
}

/// Who asks, if the caller has the role for it. Nothing is done for one without.
pub fn admit(r: &Request<'_>, gate: &Gate, now: Micros) -> Result<String, Bad> {
    let token = r
        .header("Authorization")
        .and_then(|a| a.strip_prefix("Bearer "));
    let token = token.ok_or(plain(401, "a JWT-SVID is needed"))?;
    let (who, role) = gate
        .check(token.trim(), now)
        .map_err(|_| plain(401, "the JWT-SVID is not accepted"))?;
    let needed = if r.method == "GET" {
        Role::Viewer
    } else {
        Role::Operator
    };
    if role.is_none_or(|role| role < needed) {
        return Err(plain(403, "the caller has no role for this"));
    }
    Ok(who)
}

/// The value of a query's parameter, if it comes once and has no escapes.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut all = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .filter(|(n, _)| *n == name);
    let (_, value) = all.next()?;
    (all.next().is_none() && !value.contains('%')).then_some(value)
}

/// A body of JSON; an empty one counts as `{}`.
pub fn body<T: serde::de::DeserializeOwned>(r: &Request<'_>, what: &'static str) -> Result<T, Bad> {
    let bytes: &[u8] = if r.body.is_empty() { b"{}" } else { r.body };
    serde_json::from_slice(bytes).map_err(|_| plain(400, what))
}

/// Checks `If-Match` against a version; a change without it is made whatever the version.
pub fn matches(r: &Request<'_>, version: Option<u64>) -> Result<(), Bad> {
    let Some(given) = r.header("If-Match") else {
        return Ok(());
    };
    let fits = given.split(',').map(str::trim).any(|tag| match version {
        Some(v) => tag == "*" || tag == format!("\"{v}\""),
        None => false,
    });
    fits.then_some(()).ok_or(plain(412, "it has changed since"))
}

/// Answers one request of a caller who was admitted.
pub fn handle(r: &Request<'_>, who: &str, cx: &mut Context<'_>) -> Result<Done, Bad> {
    let (path, query) = r.path.split_once('?').unwrap_or((r.path, ""));
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let now = |handled: Result<Handled, Bad>| handled.map(Done::Now);
    match (r.method, parts.as_slice()) {
        ("GET", ["v1", "counters"]) => Ok(Done::Now(Handled::new(200, json!(cx.counters)))),
        ("GET", ["v1", "peers"]) if cx.fleet.is_null() => Err(plain(404, "gossip is off")),
        ("GET", ["v1", "peers"]) => Ok(Done::Now(Handled::new(200, cx.fleet.take()))),
        ("GET", ["v1", "council" | "duties"]) => consensus::show(cx),
        ("POST", ["v1", "council", "voters"]) => now(consensus::exchange(r, cx)),
        ("GET", ["v1", "store"]) => Ok(Done::Ask(Op::Stats)),
        (_, ["v1", "tenants"]) => now(tenants::list(r, cx)),
        (_, ["v1", "tenants", name]) => now(tenants::one(r, cx, name)),
        ("POST", ["v1", "tenants", name, "secrets"]) => now(tenants::rotate(r, cx, name)),
        ("GET", ["v1", "tenants", name, "endpoints"]) => now(endpoints::list(cx, name)),
        (_, ["v1", "tenants", name, "endpoints", e]) => now(endpoints::one(r, cx, name, e)),
        ("POST", ["v1", "tenants", name, "endpoints", e, "recover"]) => {
            endpoints::recover(r, cx, name, e)
        }
        ("POST", ["v1", "tenants", name, "endpoints", e, what]) => {
            now(endpoints::act(r, cx, name, e, what))
        }
        ("GET", ["v1", "tenants", name, "messages"]) => messages::list(cx, name, query),
        ("GET", ["v1", "tenants", name, "messages", m]) => messages::one(cx, name, m),
        ("POST", ["v1", "tenants", name, "messages", m, "again"]) => {
            messages::again(r, cx, who, name, m)
        }
        _ if known(&parts) => Err(plain(405, "no such method here")),
        _ => Err(plain(404, "no such path")),
    }
}

/// The tenant that a path is of.
pub fn tenant_of(path: &str) -> Option<&str> {
    let path = path.split('?').next()?;
    path.strip_prefix("/v1/tenants/")?.split('/').next()
}

/// Whether some method has this path.
fn known(parts: &[&str]) -> bool {
    ROUTES.iter().any(|(_, route, _)| {
        let route: Vec<&str> = route.trim_start_matches('/').split('/').collect();
        route.len() == parts.len() && route.iter().zip(parts).all(|(a, b)| *a == "*" || a == b)
    })
}

/// The bytes of an answer. An error is a problem detail.
pub fn answer(handled: &Result<Handled, Bad>, keep: bool) -> Vec<u8> {
    let store = "Cache-Control: no-store\r\n";
    match handled {
        Ok(h) => {
            let tag = h
                .version
                .map_or(String::new(), |v| format!("ETag: \"{v}\"\r\n"));
            let text = h.body.as_ref().map_or(String::new(), Value::to_string);
            let head = format!("Content-Type: application/json\r\n{store}{tag}");
            response(h.status, &head, text.as_bytes(), keep)
        }
        Err(bad) => problem(bad.status, bad.why, None, keep && !bad.fatal),
    }
}

/// The bytes of a problem detail, with what an operator can do about it.
pub fn problem(status: u16, detail: &str, remedy: Option<&str>, keep: bool) -> Vec<u8> {
    let mut head =
        "Content-Type: application/problem+json\r\nCache-Control: no-store\r\n".to_owned();
    if status == 401 {
        head.push_str("WWW-Authenticate: Bearer\r\n");
    }
    if status == 503 {
        head.push_str("Retry-After: 1\r\n");
    }
    let mut body = json!({ "type": "about:blank", "status": status, "detail": detail });
    if let Some(remedy) = remedy {
        body["remedy"] = json!(remedy);
    }
    response(status, &head, body.to_string().as_bytes(), keep)
}
