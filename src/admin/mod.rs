//! The administration API, one file per resource, with problem details (RFC 9457), entity tags and
//! idempotency keys.
//!
//! `docs/openapi.json` lists the routes; a test compares it with [`ROUTES`]. A request that needs
//! the store returns [`HandleResult::StoreRequest`], and the store's reply goes to [`messages::answer`].

use serde::Deserialize;
use serde_json::{json, Value};

use crate::api::{Micros, TenantId};
use crate::counters::Counters;
use crate::delivery::EndpointId;
use crate::front::http::{request_error, response, Request, RequestError};
use crate::identity::{Role, TokenVerifier};
use crate::store::operations::Op;
use crate::tenancy::{Registry, TenantError};

pub mod consensus;
pub mod endpoints;
pub mod idempotency;
pub mod messages;
pub mod tenants;

/// The longest time that a replaced secret stays valid, in seconds.
const MAX_SECRET_OVERLAP_S: u64 = 30 * 86_400;

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
    /// Time for which the older secrets stay valid, in seconds.
    #[serde(default)]
    keep_old_s: u64,
}

/// A change that the gateway applies after a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A tenant's quota has changed, in requests per second; 0 for none.
    QuotaChanged(TenantId, f64),
    /// The endpoints of this tenant have changed; delivery must be updated.
    Endpoints(String),
    /// These endpoints were removed.
    Removed(Vec<EndpointId>),
    /// A secret was rotated: of the tenant, or of its endpoint with this name.
    Rotated(String, Option<String>),
    /// A test event must be sent to an endpoint; holds the tenant's and the endpoint's name.
    Test(String, String),
    /// The voters of the consensus group must be exchanged.
    Voters {
        /// The gateway to add.
        joins: Option<String>,
        /// The gateway to remove.
        leaves: Option<String>,
    },
}

impl Change {
    /// Returns true if the change alters stored tenants.
    pub fn is_kept(&self) -> bool {
        !matches!(self, Change::Test(..) | Change::Voters { .. })
    }
}

/// A request's response and the changes that follow from it.
#[derive(Clone, Debug)]
pub struct AdminResponse {
    /// The status code.
    pub status: u16,
    /// The JSON body; `None` for an empty one.
    pub body: Option<Value>,
    /// The version for the entity tag.
    pub version: Option<u64>,
    /// The changes to apply.
    pub changes: Vec<Change>,
}

/// The result of handling a request.
#[derive(Debug)]
pub enum HandleResult {
    /// The response is complete.
    Now(AdminResponse),
    /// The store must run this operation; its reply makes the response.
    StoreRequest(Op),
}

impl AdminResponse {
    /// Creates a response without changes.
    pub fn new(status: u16, body: Value) -> AdminResponse {
        AdminResponse {
            status,
            body: Some(body),
            version: None,
            changes: Vec::new(),
        }
    }
}

/// Maps a tenant's error to its status.
pub fn tenant_error(e: TenantError) -> RequestError {
    let status = match e {
        TenantError::Unknown | TenantError::UnknownEndpoint => 404,
        TenantError::TooMany => 409,
        TenantError::State => 500,
        _ => 422,
    };
    request_error(status, e.why())
}

/// The state that a request may access.
pub struct Context<'a> {
    /// The tenants.
    pub tenants: &'a mut Registry,
    /// The counters.
    pub counters: &'a Counters,
    /// Looks up the health of an endpoint, if webhooks are on.
    pub health: &'a dyn Fn(EndpointId) -> Option<crate::delivery::Health>,
    /// The view of gossip, consensus or leases for the path; null if that subsystem is off.
    pub subsystem_view: Value,
    /// The current time.
    pub now: Micros,
}

/// Authenticates the caller and checks its role for the request's method; returns its SPIFFE ID.
pub fn admit(
    request: &Request<'_>,
    gate: &TokenVerifier,
    now: Micros,
) -> Result<String, RequestError> {
    let token = request
        .header("Authorization")
        .and_then(|a| a.strip_prefix("Bearer "));
    let token = token.ok_or(request_error(401, "a JWT-SVID is needed"))?;
    let (who, role) = gate
        .check(token.trim(), now)
        .map_err(|_| request_error(401, "the JWT-SVID is not accepted"))?;
    let needed = if request.method == "GET" {
        Role::Viewer
    } else {
        Role::Operator
    };
    if role.is_none_or(|role| role < needed) {
        return Err(request_error(403, "the caller has no role for this"));
    }
    Ok(who)
}

/// The value of a query parameter; `None` if it is absent, repeated or has percent escapes.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut all = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .filter(|(n, _)| *n == name);
    let (_, value) = all.next()?;
    (all.next().is_none() && !value.contains('%')).then_some(value)
}

/// Parses a JSON body; an empty body counts as `{}`.
pub fn body<T: serde::de::DeserializeOwned>(
    request: &Request<'_>,
    what: &'static str,
) -> Result<T, RequestError> {
    let bytes: &[u8] = if request.body.is_empty() {
        b"{}"
    } else {
        request.body
    };
    serde_json::from_slice(bytes).map_err(|_| request_error(400, what))
}

/// Checks `If-Match` against a version; a request without the header always passes.
pub fn matches(request: &Request<'_>, version: Option<u64>) -> Result<(), RequestError> {
    let Some(given) = request.header("If-Match") else {
        return Ok(());
    };
    let fits = given.split(',').map(str::trim).any(|tag| match version {
        Some(v) => tag == "*" || tag == format!("\"{v}\""),
        None => false,
    });
    fits.then_some(())
        .ok_or(request_error(412, "it has changed since"))
}

/// Handles a request of an admitted caller.
pub fn handle(
    request: &Request<'_>,
    who: &str,
    context: &mut Context<'_>,
) -> Result<HandleResult, RequestError> {
    let (path, query) = request.path.split_once('?').unwrap_or((request.path, ""));
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let now = |handled: Result<AdminResponse, RequestError>| handled.map(HandleResult::Now);
    match (request.method, parts.as_slice()) {
        ("GET", ["v1", "counters"]) => Ok(HandleResult::Now(AdminResponse::new(
            200,
            json!(context.counters),
        ))),
        ("GET", ["v1", "peers"]) if context.subsystem_view.is_null() => {
            Err(request_error(404, "gossip is off"))
        }
        ("GET", ["v1", "peers"]) => Ok(HandleResult::Now(AdminResponse::new(
            200,
            context.subsystem_view.take(),
        ))),
        ("GET", ["v1", "council" | "duties"]) => consensus::show(context),
        ("POST", ["v1", "council", "voters"]) => now(consensus::exchange(request, context)),
        ("GET", ["v1", "store"]) => Ok(HandleResult::StoreRequest(Op::Stats)),
        (_, ["v1", "tenants"]) => now(tenants::list(request, context)),
        (_, ["v1", "tenants", name]) => now(tenants::one(request, context, name)),
        ("POST", ["v1", "tenants", name, "secrets"]) => {
            now(tenants::rotate(request, context, name))
        }
        ("GET", ["v1", "tenants", name, "endpoints"]) => now(endpoints::list(context, name)),
        (_, ["v1", "tenants", name, "endpoints", e]) => {
            now(endpoints::one(request, context, name, e))
        }
        ("POST", ["v1", "tenants", name, "endpoints", e, "recover"]) => {
            endpoints::recover(request, context, name, e)
        }
        ("POST", ["v1", "tenants", name, "endpoints", e, what]) => {
            now(endpoints::act(request, context, name, e, what))
        }
        ("GET", ["v1", "tenants", name, "messages"]) => messages::list(context, name, query),
        ("GET", ["v1", "tenants", name, "messages", m]) => messages::one(context, name, m),
        ("POST", ["v1", "tenants", name, "messages", m, "again"]) => {
            messages::again(request, context, who, name, m)
        }
        _ if path_exists(&parts) => Err(request_error(405, "no such method here")),
        _ => Err(request_error(404, "no such path")),
    }
}

/// The tenant named in a path.
pub fn tenant_of(path: &str) -> Option<&str> {
    let path = path.split('?').next()?;
    path.strip_prefix("/v1/tenants/")?.split('/').next()
}

/// Returns true if a route has this path, whatever its method.
fn path_exists(parts: &[&str]) -> bool {
    ROUTES.iter().any(|(_, route, _)| {
        let route: Vec<&str> = route.trim_start_matches('/').split('/').collect();
        route.len() == parts.len() && route.iter().zip(parts).all(|(a, b)| *a == "*" || a == b)
    })
}

/// Encodes a response. An error becomes a problem detail.
pub fn answer(handled: &Result<AdminResponse, RequestError>, keep: bool) -> Vec<u8> {
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
        Err(bad) => problem(bad.status, bad.reason, None, keep && !bad.fatal),
    }
}

/// Encodes a problem detail, with an optional remedy for the operator.
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
