//! Endpoints: where a tenant's messages go, which ones, and how fast.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Secret, TenantError, MAX_SECRETS};
use crate::api::Micros;
use crate::delivery::schedule::Schedule;
use crate::delivery::{Enabled, EndpointId, EndpointPlan};

/// The type of event that answers a call; the only one that goes to an endpoint that names none.
pub const COMPLETED: &str = "call.completed";
/// Event types that an endpoint may name.
const MAX_EVENT_TYPES: usize = 32;
/// Attempts out at once where nothing is said.
const DEFAULT_IN_FLIGHT: u32 = 8;
const MAX_IN_FLIGHT: u32 = 64;

/// Where messages go. There is no DNS: the address is numeric.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Portal {
    /// The address.
    pub address: SocketAddr,
    /// The path.
    pub path: String,
}

impl Portal {
    /// Reads `http://ADDRESS:PORT/PATH`.
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

/// An endpoint as an operator writes it; what is not given stays.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Its name within the tenant.
    #[serde(default)]
    pub name: String,
    /// Where it is.
    pub url: Option<String>,
    /// The types of event it wants; `a.*` stands for all that begin with `a.`. None named:
    /// `call.completed`.
    pub types: Option<Vec<String>>,
    /// Whether it is sent anything.
    pub enabled: Option<bool>,
    /// Attempts a second at most; 0 for no limit.
    pub rate_per_s: Option<f64>,
    /// Attempts out at once at most.
    pub in_flight: Option<u32>,
    /// Pauses between attempts, in seconds; an empty list for the gateway's own schedule.
    pub schedule_s: Option<Vec<f64>>,
    /// Whether messages under one order key wait for each other.
    pub ordered: Option<bool>,
    /// Its own secrets, the current one first; without any the tenant's sign.
    pub secrets: Option<Vec<String>>,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Tells it from any other, also of the same name.
    pub id: EndpointId,
    /// Where it is.
    pub portal: Portal,
    /// The types of event it wants.
    pub types: Vec<String>,
    /// Whether it is sent anything.
    pub enabled: Enabled,
    /// Attempts a second at most; 0 for no limit.
    pub rate_per_s: f64,
    /// Attempts out at once at most.
    pub in_flight: u32,
    /// Its own schedule.
    pub schedule: Option<Schedule>,
    /// Whether messages under one order key wait for each other.
    pub ordered: bool,
    /// Counts its changes.
    pub version: u64,
    pub(super) secrets: Vec<Secret>,
}

impl Endpoint {
    /// A new endpoint; it needs a portal.
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

    /// Changes what is given; on an error nothing.
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
            Some(false) => Enabled::ByHand,
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

    /// Whether it wants events of a type.
    pub fn wants(&self, kind: &str) -> bool {
        if self.types.is_empty() {
            return kind == COMPLETED;
        }
        self.types.iter().any(|t| match t.strip_suffix('*') {
            Some(stem) => kind.starts_with(stem),
            None => kind == t,
        })
    }

    /// Its own secrets that count now.
    pub fn own_secrets(&self, now: Micros) -> impl Iterator<Item = &Secret> {
        self.secrets.iter().filter(move |s| s.valid(now))
    }

    /// What delivery is told of it.
    pub fn plan(&self, tenant: u64, schedule: &Schedule) -> EndpointPlan {
        EndpointPlan {
            tenant,
            enabled: self.enabled,
            per_s: self.rate_per_s,
            in_flight: self.in_flight,
            schedule: self.schedule.clone().unwrap_or_else(|| schedule.clone()),
        }
    }

    /// What may be shown of it.
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

/// What may be shown of an endpoint.
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

/// An endpoint as the state file keeps it, secrets and all.
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
