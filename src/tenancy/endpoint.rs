//! Endpoints: destinations of a tenant's messages, with subscriptions and rate limits.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Secret, TenantError, MAX_SECRETS};
use crate::api::Micros;
use crate::delivery::schedule::Schedule;
use crate::delivery::{Enabled, EndpointId, EndpointSettings};

/// Type of the event that answers a call; the only type sent to an endpoint without listed types.
pub const COMPLETED: &str = "call.completed";
/// Maximum number of event types per endpoint.
const MAX_EVENT_TYPES: usize = 32;
/// Default limit on concurrent attempts.
const DEFAULT_IN_FLIGHT: u32 = 8;
/// Upper bound of the configurable limit on concurrent attempts.
const MAX_IN_FLIGHT: u32 = 64;

/// Destination of messages. The address is numeric, because there is no DNS resolution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Portal {
    /// Address and port.
    pub address: SocketAddr,
    /// Path of the URL.
    pub path: String,
}

impl Portal {
    /// Parses `http://ADDRESS:PORT/PATH`.
    pub fn parse(url: &str) -> Result<Portal, TenantError> {
        let rest = url.strip_prefix("http://").ok_or(TenantError::Portal)?;
        let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
        let clean = path.len() <= 1024 && path.bytes().all(|b| b.is_ascii_graphic() && b != b'#');
        let address = host
            .parse::<SocketAddr>()
            .ok()
            .filter(|_| clean)
            .ok_or(TenantError::Portal)?;
        Ok(Portal {
            address,
            path: format!("/{path}"),
        })
    }
}

impl fmt::Display for Portal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}{}", self.address, self.path)
    }
}

/// An endpoint's configuration by the operator. Omitted fields keep their values.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Name of the endpoint within the tenant.
    #[serde(default)]
    pub name: String,
    /// URL of the endpoint.
    pub url: Option<String>,
    /// Subscribed event types; `a.*` matches all types that begin with `a.`. An empty list means
    /// `call.completed`.
    pub types: Option<Vec<String>>,
    /// Whether the endpoint receives messages.
    pub enabled: Option<bool>,
    /// Maximum attempts per second; 0 for no limit.
    pub rate_per_s: Option<f64>,
    /// Maximum number of concurrent attempts.
    pub in_flight: Option<u32>,
    /// Pauses between attempts, in seconds; an empty list selects the gateway's schedule.
    pub schedule_s: Option<Vec<f64>>,
    /// Whether messages with the same order key are delivered one after the other.
    pub ordered: Option<bool>,
    /// The endpoint's own secrets, the current one first; an empty list selects the tenant's
    /// secrets.
    pub secrets: Option<Vec<String>>,
}

/// A configured endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identifier, unique also among endpoints that reuse a name.
    pub id: EndpointId,
    /// Destination of the messages.
    pub portal: Portal,
    /// Subscribed event types.
    pub types: Vec<String>,
    /// Whether the endpoint receives messages, and the reason if not.
    pub enabled: Enabled,
    /// Maximum attempts per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Maximum number of concurrent attempts.
    pub in_flight: u32,
    /// Retry schedule; the gateway's if absent.
    pub schedule: Option<Schedule>,
    /// Whether messages with the same order key are delivered one after the other.
    pub ordered: bool,
    /// Number of changes to the endpoint.
    pub version: u64,
    pub(super) secrets: Vec<Secret>,
}

impl Endpoint {
    /// Creates an endpoint; `spec` must contain a URL.
    pub fn new(id: EndpointId, spec: &EndpointSpec) -> Result<Endpoint, TenantError> {
        let portal = Portal::parse(spec.url.as_deref().ok_or(TenantError::Portal)?)?;
        let mut endpoint = Endpoint {
            id,
            portal,
            types: Vec::new(),
            enabled: Enabled::Yes,
            rate_per_s: 0.0,
            in_flight: DEFAULT_IN_FLIGHT,
            schedule: None,
            ordered: false,
            version: 0,
            secrets: Vec::new(),
        };
        endpoint.change(spec)?;
        Ok(endpoint)
    }

    /// Applies the given fields. On an error nothing changes.
    pub fn change(&mut self, spec: &EndpointSpec) -> Result<(), TenantError> {
        let mut new = self.clone();
        if let Some(url) = &spec.url {
            new.portal = Portal::parse(url)?;
        }
        if let Some(types) = &spec.types {
            let clean = |t: &String| {
                let name = t.strip_suffix(".*").unwrap_or(t);
                !name.is_empty()
                    && name.len() <= 64
                    && name
                        .bytes()
                        .all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b))
            };
            if types.len() > MAX_EVENT_TYPES || !types.iter().all(clean) {
                return Err(TenantError::Types);
            }
            new.types.clone_from(types);
        }
        new.enabled = match spec.enabled {
            Some(true) => Enabled::Yes,
            Some(false) => Enabled::DisabledByOperator,
            None => new.enabled,
        };
        new.rate_per_s = spec.rate_per_s.unwrap_or(new.rate_per_s);
        new.in_flight = spec.in_flight.unwrap_or(new.in_flight);
        let rate = new.rate_per_s;
        if !rate.is_finite() || rate < 0.0 || (rate > 0.0 && rate < 0.001) {
            return Err(TenantError::Limits);
        }
        if !(1..=MAX_IN_FLIGHT).contains(&new.in_flight) {
            return Err(TenantError::Limits);
        }
        if let Some(pauses) = &spec.schedule_s {
            let read = (!pauses.is_empty())
                .then(|| Schedule::from_seconds(pauses))
                .transpose();
            new.schedule = read.map_err(|_| TenantError::Schedule)?;
        }
        new.ordered = spec.ordered.unwrap_or(new.ordered);
        if let Some(secrets) = &spec.secrets {
            if secrets.len() > MAX_SECRETS {
                return Err(TenantError::TooMany);
            }
            new.secrets = secrets
                .iter()
                .map(|s| Secret::parse(s))
                .collect::<Result<_, _>>()?;
        }
        new.version += 1;
        *self = new;
        Ok(())
    }

    /// Returns whether the endpoint is subscribed to events of a type.
    pub fn wants(&self, kind: &str) -> bool {
        if self.types.is_empty() {
            return kind == COMPLETED;
        }
        self.types.iter().any(|t| match t.strip_suffix('*') {
            Some(stem) => kind.starts_with(stem),
            None => kind == t,
        })
    }

    /// Returns the endpoint's own secrets valid at `now`.
    pub fn own_secrets(&self, now: Micros) -> impl Iterator<Item = &Secret> {
        self.secrets.iter().filter(move |s| s.valid(now))
    }

    /// Returns the delivery settings of the endpoint.
    pub fn settings(&self, tenant: u64, schedule: &Schedule) -> EndpointSettings {
        EndpointSettings {
            tenant,
            enabled: self.enabled,
            per_s: self.rate_per_s,
            in_flight: self.in_flight,
            schedule: self.schedule.clone().unwrap_or_else(|| schedule.clone()),
        }
    }

    /// Returns the endpoint without confidential values.
    pub fn view<'a>(&'a self, name: &'a str, now: Micros) -> EndpointView<'a> {
        EndpointView {
            name,
            url: self.portal.to_string(),
            types: &self.types,
            enabled: self.enabled,
            rate_per_s: self.rate_per_s,
            in_flight: self.in_flight,
            schedule_s: self.schedule.as_ref().map(Schedule::seconds),
            ordered: self.ordered,
            secrets: self.own_secrets(now).map(Secret::kind).collect(),
            public_keys: self.own_secrets(now).filter_map(Secret::public).collect(),
            version: self.version,
        }
    }
}

/// An endpoint without confidential values.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointView<'a> {
    name: &'a str,
    url: String,
    types: &'a [String],
    enabled: Enabled,
    rate_per_s: f64,
    in_flight: u32,
    schedule_s: Option<Vec<f64>>,
    ordered: bool,
    secrets: Vec<&'static str>,
    public_keys: Vec<String>,
    version: u64,
}

/// An endpoint as stored in the state file, including secrets.
#[derive(Deserialize, Serialize)]
pub(super) struct StoredEndpoint {
    name: String,
    id: EndpointId,
    url: String,
    types: Vec<String>,
    enabled: Enabled,
    rate_per_s: f64,
    in_flight: u32,
    schedule_s: Vec<f64>,
    ordered: bool,
    version: u64,
    pub(super) secrets: Vec<(String, Option<Micros>)>,
}

impl StoredEndpoint {
    pub(super) fn of(name: &str, e: &Endpoint) -> StoredEndpoint {
        StoredEndpoint {
            name: name.to_owned(),
            id: e.id,
            url: e.portal.to_string(),
            types: e.types.clone(),
            enabled: e.enabled,
            rate_per_s: e.rate_per_s,
            in_flight: e.in_flight,
            schedule_s: e.schedule.as_ref().map_or(Vec::new(), Schedule::seconds),
            ordered: e.ordered,
            version: e.version,
            secrets: stored_secrets(&e.secrets),
        }
    }

    pub(super) fn read(self) -> Result<(String, Endpoint), TenantError> {
        let spec = EndpointSpec {
            url: Some(self.url),
            types: Some(self.types),
            rate_per_s: Some(self.rate_per_s),
            in_flight: Some(self.in_flight),
            schedule_s: Some(self.schedule_s),
            ordered: Some(self.ordered),
            ..EndpointSpec::default()
        };
        let mut endpoint = Endpoint::new(self.id, &spec)?;
        (endpoint.enabled, endpoint.version) = (self.enabled, self.version);
        endpoint.secrets = parse_secrets(&self.secrets)?;
        Ok((self.name, endpoint))
    }
}

pub(super) fn stored_secrets(secrets: &[Secret]) -> Vec<(String, Option<Micros>)> {
    secrets.iter().map(|s| (s.text(), s.until)).collect()
}

pub(super) fn parse_secrets(kept: &[(String, Option<Micros>)]) -> Result<Vec<Secret>, TenantError> {
    kept.iter()
        .map(|(text, until)| Ok(Secret::parse(text)?.until(*until)))
        .collect()
}
