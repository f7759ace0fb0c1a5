//! The registry of tenants: each one's secrets, share and endpoints.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::api::{Micros, TenantId};
use crate::delivery::{Enabled, EndpointId};

mod endpoint;
mod secret;

use endpoint::{kept_secrets, read_secrets, KeptEndpoint};
pub use endpoint::{Endpoint, EndpointSpec, EndpointView, Portal, COMPLETED};
pub use secret::Secret;

/// Tenants at most; what one holds stays small.
const MOST: usize = 4096;
/// Secrets of one tenant at most, rotated ones included.
const MOST_SECRETS: usize = 8;
/// Endpoints of one tenant at most.
const MOST_ENDPOINTS: usize = 32;
/// The endpoint that a tenant's `portal` stands for.
pub const PORTAL: &str = "portal";

/// Why a tenant cannot be as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// Its name is empty, too long, or holds other than letters, digits, `-` and `_`.
    Name,
    /// Its share is not a number of calls a second.
    Share,
    /// Its portal is not `http://ADDRESS:PORT/PATH`.
    Portal,
    /// A secret is none of the three kinds.
    Secret,
    /// A type of event is no name.
    Types,
    /// A rate or a number in flight is out of bounds.
    Limits,
    /// A schedule is out of bounds.
    Schedule,
    /// There is no such endpoint.
    UnknownEndpoint,
    /// There is no such tenant.
    Unknown,
    /// There are as many as there may be.
    TooMany,
    /// The state file's text cannot be read.
    State,
}

impl TenantError {
    /// Why, in a few words.
    pub fn why(&self) -> &'static str {
        match self {
            TenantError::Name => "a tenant's name is 1 to 64 letters, digits, - and _",
            TenantError::Share => "share_per_s is a number of calls a second, 0 for none stated",
            TenantError::Portal => "portal is http://ADDRESS:PORT/PATH with a numeric address",
            TenantError::Secret => {
                "a secret is whsec_ (24 to 64 bytes), whsk_ (32 or 64) or whpk_ (32) and base64"
            }
            TenantError::Types => "types are up to 32 names, or names and .*",
            TenantError::Limits => "rate_per_s is 0 or at least 0.001, in_flight 1 to 64",
            TenantError::Schedule => "schedule_s is 1 to 64 pauses of 0.001 s to 7 days",
            TenantError::UnknownEndpoint => "no such endpoint",
            TenantError::Unknown => "no such tenant",
            TenantError::TooMany => "too many tenants or secrets",
            TenantError::State => "the tenants' state cannot be read",
        }
    }
}

impl fmt::Display for TenantError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.why())
    }
}

impl std::error::Error for TenantError {}

/// A tenant as an operator writes it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Calls a second over all gateways within its share; 0 where none is stated.
    pub share_per_s: Option<f64>,
    /// Where its callbacks go.
    pub portal: Option<String>,
    /// Its secrets, the current one first.
    #[serde(default)]
    pub secrets: Vec<String>,
    /// Further endpoints.
    #[serde(default)]
    pub endpoints: Vec<EndpointSpec>,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Tells it from one of the same name before or after it.
    pub serial: u64,
    /// Its number in the module.
    pub id: TenantId,
    /// Its share, calls a second.
    pub share_per_s: f64,
    /// Its endpoints by name; that of its `portal` among them.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Counts its changes.
    pub version: u64,
    secrets: Vec<Secret>,
    /// Endpoints removed so far.
    removed: u64,
}

/// An identity that follows from what it is of, and is of no other.
fn identity(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b)) >> 1
}

impl Tenant {
    /// The secrets that count now, the current one first.
    pub fn secrets(&self, now: Micros) -> impl Iterator<Item = &Secret> {
        self.secrets.iter().filter(move |s| s.valid(now))
    }

    /// An endpoint with its name.
    pub fn endpoint(&self, id: EndpointId) -> Option<(&str, &Endpoint)> {
        self.endpoints.iter().find(|(_, e)| e.id == id).map(|(name, e)| (name.as_str(), e))
    }

    /// The secrets that sign for an endpoint: its own, or else the tenant's.
    pub fn signing(&self, e: &Endpoint, now: Micros) -> Vec<Secret> {
        let own: Vec<Secret> = e.own_secrets(now).filter(|s| s.signs()).cloned().collect();
        if own.is_empty() {
            return self.secrets(now).filter(|s| s.signs()).cloned().collect();
        }
        own
    }

    /// Whether any endpoint wants events of a type.
    pub fn wants(&self, kind: &str) -> bool {
        self.endpoints.values().any(|e| e.wants(kind))
    }

    fn set_endpoint(&mut self, name: &str, spec: &EndpointSpec) -> Result<bool, TenantError> {
        check_name(name)?;
        if let Some(e) = self.endpoints.get_mut(name) {
            e.change(spec)?;
            return Ok(false);
        }
        if self.endpoints.len() >= MOST_ENDPOINTS {
            return Err(TenantError::TooMany);
        }
        let (serial, removed) = (self.serial.to_le_bytes(), self.removed.to_le_bytes());
        let id = EndpointId(identity(&[&serial, name.as_bytes(), &removed]));
        self.endpoints.insert(name.to_owned(), Endpoint::new(id, spec)?);
        Ok(true)
    }
}

fn check_name(name: &str) -> Result<(), TenantError> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    if name.is_empty() || name.len() > 64 || !name.bytes().all(fits) {
        return Err(TenantError::Name);
    }
    Ok(())
}

/// A tenant as the state file keeps it, secrets and all. Files of before there were endpoints lack the last four.
#[derive(Deserialize, Serialize)]
struct Kept {
    name: String,
    share_per_s: f64,
    portal: Option<String>,
    /// Each with the time until which it counts.
    secrets: Vec<(String, Option<Micros>)>,
    serial: Option<u64>,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    removed: u64,
    endpoints: Option<Vec<KeptEndpoint>>,
}

/// The state file. Before there were endpoints it was the list alone.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum KeptAll {
    All { serials: u64, tenants: Vec<Kept> },
    List(Vec<Kept>),
}

/// What may be shown of a tenant.
#[derive(Debug, Serialize)]
pub struct View<'a> {
    name: &'a str,
    share_per_s: f64,
    portal: Option<String>,
    secrets: usize,
    endpoints: Vec<&'a str>,
    version: u64,
}

/// All tenants, by name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    tenants: BTreeMap<String, Tenant>,
    /// Numbers and shares of the platform's own tenants, which stay theirs.
    reserved: BTreeMap<String, (TenantId, f64)>,
    free: Vec<TenantId>,
    next: u32,
    serials: u64,
}

impl Registry {
    /// A registry in which the platform's tenants keep their numbers.
    pub fn new(platform: &[(String, f64)]) -> Registry {
        let number =
            |(i, (name, share)): (usize, &(String, f64))| (name.clone(), (TenantId(i as u32), *share));
        let reserved = platform.iter().enumerate().map(number).collect();
        Registry { reserved, next: platform.len() as u32, ..Registry::default() }
    }

    /// A tenant.
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// A tenant, if it is still the very one. Guards an answer against going to another's portal when a tenant
    /// is removed and its name given anew.
    pub fn same(&self, name: &str, serial: u64) -> Option<&Tenant> {
        self.get(name).filter(|t| t.serial == serial)
    }

    /// Creates a tenant or changes what is given of it; tells whether it is new.
    pub fn put(&mut self, name: &str, spec: &Spec) -> Result<bool, TenantError> {
        check_name(name)?;
        if spec.share_per_s.is_some_and(|s| !s.is_finite() || s < 0.0) {
            return Err(TenantError::Share);
        }
        if spec.secrets.len() > MOST_SECRETS {
            return Err(TenantError::TooMany);
        }
        let secrets = spec.secrets.iter().map(|s| Secret::parse(s)).collect::<Result<Vec<_>, _>>()?;
        let known = self.tenants.get(name);
        let new = known.is_none();
        if new && self.tenants.len() >= MOST {
            return Err(TenantError::TooMany);
        }
        let generation = self.serials.to_le_bytes();
        let mut t = known.cloned().unwrap_or_else(|| Tenant {
            serial: identity(&[name.as_bytes(), &generation]),
            id: TenantId(0),
            share_per_s: self.reserved.get(name).map_or(0.0, |(_, share)| *share),
            endpoints: BTreeMap::new(),
            version: 0,
            secrets: Vec::new(),
            removed: 0,
        });
        t.share_per_s = spec.share_per_s.unwrap_or(t.share_per_s);
        if let Some(url) = &spec.portal {
            t.set_endpoint(PORTAL, &EndpointSpec { url: Some(url.clone()), ..EndpointSpec::default() })?;
        }
        for endpoint in &spec.endpoints {
            t.set_endpoint(&endpoint.name, endpoint)?;
        }
        if !secrets.is_empty() {
            t.secrets = secrets;
        }
        if new {
            let known = self.reserved.get(name).map(|(id, _)| *id);
            t.id = known.or_else(|| self.free.pop()).unwrap_or_else(|| {
                self.next += 1;
                TenantId(self.next - 1)
            });
        }
        t.version += 1;
        self.tenants.insert(name.to_owned(), t);
        Ok(new)
    }

    /// Creates an endpoint or changes what is given of it; tells whether it is new.
    pub fn put_endpoint(
        &mut self,
        tenant: &str,
        name: &str,
        spec: &EndpointSpec,
    ) -> Result<bool, TenantError> {
        let t = self.tenants.get_mut(tenant).ok_or(TenantError::Unknown)?;
        let new = t.set_endpoint(name, spec)?;
        t.version += 1;
        Ok(new)
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, tenant: &str, name: &str) -> Result<EndpointId, TenantError> {
        let t = self.tenants.get_mut(tenant).ok_or(TenantError::Unknown)?;
        let e = t.endpoints.remove(name).ok_or(TenantError::UnknownEndpoint)?;
        (t.removed, t.version) = (t.removed + 1, t.version + 1);
        Ok(e.id)
    }

    /// An endpoint failed for so long, or said 410, that it is switched off.
    pub fn disable(&mut self, id: EndpointId) -> Option<(String, String)> {
        let (tenant, t) = self.tenants.iter_mut().find(|(_, t)| t.endpoint(id).is_some())?;
        let (name, e) = t.endpoints.iter_mut().find(|(_, e)| e.id == id)?;
        (e.enabled, e.version) = (Enabled::ByFailure, e.version + 1);
        Some((tenant.clone(), name.clone()))
    }

    /// The same as [`Registry::rotate`] for an endpoint's own secrets.
    pub fn rotate_endpoint(
        &mut self,
        tenant: &str,
        name: &str,
        secret: &str,
        now: Micros,
        until: Micros,
    ) -> Result<(), TenantError> {
        let fresh = Secret::parse(secret)?;
        let t = self.tenants.get_mut(tenant).ok_or(TenantError::Unknown)?;
        let e = t.endpoints.get_mut(name).ok_or(TenantError::UnknownEndpoint)?;
        e.secrets = secret::rotated(e.secrets.clone(), fresh, now, until, MOST_SECRETS)?;
        e.version += 1;
        Ok(())
    }

    /// Makes a secret the current one; those before it count until `until` and no longer.
    pub fn rotate(
        &mut self,
        name: &str,
        secret: &str,
        now: Micros,
        until: Micros,
    ) -> Result<(), TenantError> {
        let fresh = Secret::parse(secret)?;
        let t = self.tenants.get_mut(name).ok_or(TenantError::Unknown)?;
        t.secrets = secret::rotated(t.secrets.clone(), fresh, now, until, MOST_SECRETS)?;
        t.version += 1;
        Ok(())
    }

    /// Removes a tenant; returns its number and the share that the number has from now on. A number may be
    /// given to another, but the platform's stay, with the platform's shares.
    pub fn remove(&mut self, name: &str) -> Result<(TenantId, f64), TenantError> {
        let t = self.tenants.remove(name).ok_or(TenantError::Unknown)?;
        self.serials += 1;
        if let Some(reserved) = self.reserved.get(name) {
            return Ok(*reserved);
        }
        self.free.push(t.id);
        Ok((t.id, 0.0))
    }

    /// The numbers and shares of all tenants.
    pub fn shares(&self) -> Vec<(TenantId, f64)> {
        self.tenants.values().map(|t| (t.id, t.share_per_s)).collect()
    }

    /// All tenants as text for the state file. It holds the secrets: it is written for its owner alone.
    pub fn state(&self) -> String {
        let kept = |(name, t): (&String, &Tenant)| Kept {
            name: name.clone(),
            share_per_s: t.share_per_s,
            portal: None,
            secrets: kept_secrets(&t.secrets),
            serial: Some(t.serial),
            version: t.version,
            removed: t.removed,
            endpoints: Some(t.endpoints.iter().map(|(name, e)| KeptEndpoint::of(name, e)).collect()),
        };
        let tenants = self.tenants.iter().map(kept).collect();
        // Strings and numbers only: there is nothing that could not be written.
        serde_json::to_string(&KeptAll::All { serials: self.serials, tenants }).unwrap_or_default()
    }

    /// Takes the tenants of a state file in place of its own. On an error nothing changes.
    pub fn restore(&mut self, text: &str) -> Result<(), TenantError> {
        let kept: KeptAll = serde_json::from_str(text).map_err(|_| TenantError::State)?;
        let (serials, list) = match kept {
            KeptAll::All { serials, tenants } => (serials, tenants),
            KeptAll::List(tenants) => (0, tenants),
        };
        let mut fresh = Registry { tenants: BTreeMap::new(), ..self.clone() };
        fresh
            .free
            .extend(self.tenants.iter().filter(|(n, _)| !self.reserved.contains_key(*n)).map(|(_, t)| t.id));
        fresh.serials = serials;
        for kept in list {
            let spec = Spec { share_per_s: Some(kept.share_per_s), portal: kept.portal, ..Spec::default() };
            fresh.put(&kept.name, &spec)?;
            let Some(t) = fresh.tenants.get_mut(&kept.name) else { continue };
            t.secrets = read_secrets(&kept.secrets)?;
            (t.serial, t.removed) = (kept.serial.unwrap_or(t.serial), kept.removed);
            t.version = kept.version.max(1);
            for endpoint in kept.endpoints.into_iter().flatten() {
                let (name, endpoint) = endpoint.read()?;
                t.endpoints.insert(name, endpoint);
            }
        }
        *self = fresh;
        Ok(())
    }

    /// What may be shown of one tenant.
    pub fn view<'a>(&'a self, name: &'a str, now: Micros) -> Option<View<'a>> {
        let t = self.tenants.get(name)?;
        Some(View {
            name,
            share_per_s: t.share_per_s,
            portal: t.endpoints.get(PORTAL).map(|e| e.portal.to_string()),
            secrets: t.secrets(now).count(),
            endpoints: t.endpoints.keys().map(String::as_str).collect(),
            version: t.version,
        })
    }

    /// All tenants, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Tenant)> {
        self.tenants.iter()
    }

    /// What may be shown of all.
    pub fn views(&self, now: Micros) -> Vec<View<'_>> {
        self.tenants.keys().filter_map(|name| self.view(name, now)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: &str = "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3";
    const B: &str = "whsec_YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFh";

    fn spec() -> Spec {
        Spec {
            name: String::new(),
            share_per_s: Some(9.0),
            portal: Some("http://127.0.0.1:9/in".into()),
            secrets: vec![A.into()],
            endpoints: Vec::new(),
        }
    }

    /// A file written before there were endpoints is still read: its portal is one.
    #[test]
    fn a_state_file_of_before_endpoints_is_read() {
        let old = format!(
            "[{{\"name\":\"clinic\",\"share_per_s\":3.0,\"portal\":\"http://127.0.0.1:9/in\",\
             \"secrets\":[[\"{A}\",null],[\"{B}\",20]]}}]"
        );
        let mut r = Registry::new(&[]);
        r.restore(&old).unwrap();
        let t = r.get("clinic").unwrap();
        let e = &t.endpoints[PORTAL];
        assert_eq!((e.portal.to_string().as_str(), e.wants(COMPLETED)), ("http://127.0.0.1:9/in", true));
        assert_eq!((t.share_per_s, t.secrets(19).count(), t.signing(e, 20).len()), (3.0, 2, 1));
        let mut again = Registry::new(&[]);
        again.restore(&r.state()).unwrap();
        assert_eq!((again.state(), again.get("clinic").unwrap().serial), (r.state(), t.serial));
    }

    #[test]
    fn endpoints_want_types_have_their_own_secrets_and_identities_of_their_own() {
        let mut r = Registry::new(&[]);
        r.put("t", &spec()).unwrap();
        let all = EndpointSpec {
            url: Some("http://127.0.0.1:9/all".into()),
            types: Some(vec!["endpoint.*".into(), "call.completed".into()]),
            secrets: Some(vec![B.into()]),
            ..EndpointSpec::default()
        };
        assert_eq!(r.put_endpoint("t", "all", &all), Ok(true));
        let first = r.get("t").unwrap().endpoints["all"].clone();
        assert!(
            first.wants("endpoint.disabled") && first.wants(COMPLETED) && !first.wants("message.exhausted")
        );
        assert!(r.get("t").unwrap().signing(&first, 0)[0] == Secret::parse(B).unwrap());
        r.rotate_endpoint("t", "all", A, 10, 20).unwrap();
        assert_eq!(r.get("t").unwrap().signing(&r.get("t").unwrap().endpoints["all"], 15).len(), 2);
        assert_eq!(r.disable(first.id), Some(("t".into(), "all".into())));
        assert_eq!(r.get("t").unwrap().endpoints["all"].enabled, Enabled::ByFailure);
        assert_eq!(r.remove_endpoint("t", "all"), Ok(first.id));
        r.put_endpoint("t", "all", &all).unwrap();
        assert_ne!(r.get("t").unwrap().endpoints["all"].id, first.id, "another of the same name");
        let bad = |s: EndpointSpec| EndpointSpec { url: Some("http://127.0.0.1:9/".into()), ..s };
        for (spec, error) in [
            (EndpointSpec::default(), TenantError::Portal),
            (bad(EndpointSpec { in_flight: Some(0), ..Default::default() }), TenantError::Limits),
            (bad(EndpointSpec { rate_per_s: Some(f64::NAN), ..Default::default() }), TenantError::Limits),
            (bad(EndpointSpec { schedule_s: Some(vec![-1.0]), ..Default::default() }), TenantError::Schedule),
            (bad(EndpointSpec { types: Some(vec!["*".into()]), ..Default::default() }), TenantError::Types),
        ] {
            assert_eq!(r.put_endpoint("t", "x", &spec), Err(error));
        }
        assert!(!r.get("t").unwrap().endpoints.contains_key("x"));
    }

    #[test]
    fn a_rotated_secret_counts_until_its_time_and_is_never_shown() {
        let mut r = Registry::new(&[("org".into(), 5.0)]);
        assert_eq!(r.put("other", &spec()), Ok(true));
        assert_eq!((r.get("other").unwrap().id, r.put("org", &spec())), (TenantId(1), Ok(true)));
        r.rotate("other", B, 10, 20).unwrap();
        assert_eq!(r.get("other").unwrap().secrets(19).count(), 2);
        let left: Vec<_> = r.get("other").unwrap().secrets(20).cloned().collect();
        assert_eq!(left, vec![Secret::parse(B).unwrap()]);
        let shown = format!("{:?} {}", r.get("other"), serde_json::to_string(&r.views(0)).unwrap());
        assert!(!shown.contains("whsec") && !shown.contains("97"), "{shown}");
        assert_eq!(r.remove("org"), Ok((TenantId(0), 5.0)), "the platform's share stands again");
        let serial = r.get("other").unwrap().serial;
        assert_eq!(r.remove("other"), Ok((TenantId(1), 0.0)));
        assert_eq!(r.put("other", &spec()), Ok(true));
        assert!(r.get("other").is_some() && r.same("other", serial).is_none(), "the name is another's now");
    }

    #[test]
    fn what_is_kept_comes_back_with_secrets_and_their_times() {
        let mut r = Registry::new(&[("org".into(), 5.0)]);
        r.put("gone", &spec()).unwrap();
        r.remove("gone").unwrap();
        r.put("other", &spec()).unwrap();
        r.rotate("other", B, 10, 20).unwrap();
        let mut back = Registry::new(&[("org".into(), 5.0)]);
        back.put("first", &spec()).unwrap();
        back.restore(&r.state()).unwrap();
        assert!(back.get("first").is_none(), "the state is all there is");
        let t = back.get("other").unwrap();
        assert_eq!((t.secrets(19).count(), t.secrets(20).count(), t.share_per_s), (2, 1, 9.0));
        assert_eq!((back.state(), t.id), (r.state(), TenantId(1)));
        assert_eq!(back.restore("[{}]"), Err(TenantError::State));
        assert!(back.get("other").is_some());
    }

    #[test]
    fn what_cannot_be_used_changes_nothing() {
        let mut r = Registry::new(&[]);
        for (name, change) in [
            ("", spec()),
            ("a/b", spec()),
            ("a", Spec { share_per_s: Some(f64::NAN), ..spec() }),
            ("a", Spec { portal: Some("https://127.0.0.1:9/".into()), ..spec() }),
            ("a", Spec { portal: Some("http://portal.example/".into()), ..spec() }),
            ("a", Spec { portal: Some("http://127.0.0.1:9/a b".into()), ..spec() }),
            ("a", Spec { secrets: vec!["whsec_short".into()], ..spec() }),
        ] {
            assert!(r.put(name, &change).is_err(), "{name} {change:?}");
        }
        assert!(r.get("a").is_none());
        assert_eq!(r.rotate("a", A, 0, 0), Err(TenantError::Unknown));
    }
}
