//! The registry of tenants: each one's secrets, share and portal.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};

use crate::api::{Micros, TenantId};

/// Tenants at most; what one holds stays small.
const MOST: usize = 4096;
/// Secrets of one tenant at most, rotated ones included.
const MOST_SECRETS: usize = 8;

/// Why a tenant cannot be as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// Its name is empty, too long, or holds other than letters, digits, `-` and `_`.
    Name,
    /// Its share is not a number of calls a second.
    Share,
    /// Its portal is not `http://ADDRESS:PORT/PATH`.
    Portal,
    /// A secret is not `whsec_` and the base64 of 24 to 64 bytes.
    Secret,
    /// There is no such tenant.
    Unknown,
    /// There are as many as there may be.
    TooMany,
    /// The state file's text cannot be read.
    State,
}

impl fmt::Display for TenantError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TenantError::Name => "a tenant's name is 1 to 64 letters, digits, - and _",
            TenantError::Share => "share_per_s is a number of calls a second, 0 for none stated",
            TenantError::Portal => "portal is http://ADDRESS:PORT/PATH with a numeric address",
            TenantError::Secret => "a secret is whsec_ and the base64 of 24 to 64 bytes",
            TenantError::Unknown => "no such tenant",
            TenantError::TooMany => "too many tenants or secrets",
            TenantError::State => "the tenants' state cannot be read",
        })
    }
}

impl std::error::Error for TenantError {}

/// A key for signatures. It is never printed.
#[derive(Clone)]
pub struct Secret {
    key: Vec<u8>,
    /// When it stops being accepted; none for the current one.
    pub until: Option<Micros>,
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret {{ until: {:?} }}", self.until)
    }
}

impl Secret {
    /// Reads `whsec_` and base64.
    pub fn parse(text: &str) -> Result<Secret, TenantError> {
        let key = text.strip_prefix("whsec_").and_then(|t| BASE64_STANDARD.decode(t).ok());
        let key = key.filter(|k| (24..=64).contains(&k.len())).ok_or(TenantError::Secret)?;
        Ok(Secret { key, until: None })
    }

    fn text(&self) -> String {
        format!("whsec_{}", BASE64_STANDARD.encode(&self.key))
    }

    /// The key's bytes.
    pub fn key(&self) -> &[u8] {
        &self.key
    }

    fn valid(&self, now: Micros) -> bool {
        self.until.is_none_or(|t| now < t)
    }
}

/// Where a tenant's callbacks go. There is no DNS: the address is numeric.
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
        let address = host.parse::<SocketAddr>().ok().filter(|_| clean).ok_or(TenantError::Portal)?;
        Ok(Portal { address, path: format!("/{path}") })
    }
}

impl fmt::Display for Portal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}{}", self.address, self.path)
    }
}

/// A tenant as an operator writes it.
#[derive(Clone, Debug, Deserialize)]
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
    /// Where its callbacks go.
    pub portal: Option<Portal>,
    secrets: Vec<Secret>,
}

impl Tenant {
    /// The secrets that count now, the current one first.
    pub fn secrets(&self, now: Micros) -> impl Iterator<Item = &Secret> {
        self.secrets.iter().filter(move |s| s.valid(now))
    }
}

/// A tenant as the state file keeps it, secrets and all.
#[derive(Deserialize, Serialize)]
struct Kept {
    name: String,
    share_per_s: f64,
    portal: Option<String>,
    /// Each with the time until which it counts.
    secrets: Vec<(String, Option<Micros>)>,
}

/// What may be shown of a tenant.
#[derive(Debug, Serialize)]
pub struct View<'a> {
    name: &'a str,
    share_per_s: f64,
    portal: Option<String>,
    secrets: usize,
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
        let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
        if name.is_empty() || name.len() > 64 || !name.bytes().all(fits) {
            return Err(TenantError::Name);
        }
        if spec.share_per_s.is_some_and(|s| !s.is_finite() || s < 0.0) {
            return Err(TenantError::Share);
        }
        if spec.secrets.len() > MOST_SECRETS {
            return Err(TenantError::TooMany);
        }
        let portal = spec.portal.as_deref().map(Portal::parse).transpose()?;
        let secrets = spec.secrets.iter().map(|s| Secret::parse(s)).collect::<Result<Vec<_>, _>>()?;
        let new = !self.tenants.contains_key(name);
        if new {
            if self.tenants.len() >= MOST {
                return Err(TenantError::TooMany);
            }
            let free = || self.free.pop().map(|id| (id, 0.0));
            let known = self.reserved.get(name).copied().or_else(free);
            let (id, share_per_s) = known.unwrap_or_else(|| {
                self.next += 1;
                (TenantId(self.next - 1), 0.0)
            });
            self.serials += 1;
            let serial = self.serials;
            let tenant = Tenant { serial, id, share_per_s, portal: None, secrets: Vec::new() };
            self.tenants.insert(name.to_owned(), tenant);
        }
        let Some(t) = self.tenants.get_mut(name) else { return Err(TenantError::Unknown) };
        t.share_per_s = spec.share_per_s.unwrap_or(t.share_per_s);
        t.portal = portal.or_else(|| t.portal.take());
        if !secrets.is_empty() {
            t.secrets = secrets;
        }
        Ok(new)
    }

    /// Makes a secret the current one; those before it count until `until` and no longer.
    pub fn rotate(
        &mut self,
        name: &str,
        secret: &str,
        now: Micros,
        until: Micros,
    ) -> Result<(), TenantError> {
        let secret = Secret::parse(secret)?;
        let t = self.tenants.get_mut(name).ok_or(TenantError::Unknown)?;
        t.secrets.retain(|s| s.valid(now) && s.key != secret.key);
        for old in &mut t.secrets {
            old.until = Some(old.until.map_or(until, |t| t.min(until)));
        }
        t.secrets.retain(|s| s.valid(now));
        if t.secrets.len() >= MOST_SECRETS {
            return Err(TenantError::TooMany);
        }
        t.secrets.insert(0, secret);
        Ok(())
    }

    /// Removes a tenant; returns its number and the share that the number has from now on. A number may be
    /// given to another, but the platform's stay, with the platform's shares.
    pub fn remove(&mut self, name: &str) -> Result<(TenantId, f64), TenantError> {
        let t = self.tenants.remove(name).ok_or(TenantError::Unknown)?;
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
            portal: t.portal.as_ref().map(Portal::to_string),
            secrets: t.secrets.iter().map(|s| (s.text(), s.until)).collect(),
        };
        let list: Vec<Kept> = self.tenants.iter().map(kept).collect();
        // Strings and numbers only: there is nothing that could not be written.
        serde_json::to_string(&list).unwrap_or_default()
    }

    /// Takes the tenants of a state file in place of its own. On an error nothing changes.
    pub fn restore(&mut self, text: &str) -> Result<(), TenantError> {
        let list: Vec<Kept> = serde_json::from_str(text).map_err(|_| TenantError::State)?;
        let mut fresh = Registry { tenants: BTreeMap::new(), ..self.clone() };
        fresh
            .free
            .extend(self.tenants.iter().filter(|(n, _)| !self.reserved.contains_key(*n)).map(|(_, t)| t.id));
        for kept in list {
            let spec = Spec {
                name: String::new(),
                share_per_s: Some(kept.share_per_s),
                portal: kept.portal,
                secrets: vec![],
            };
            fresh.put(&kept.name, &spec)?;
            let secrets =
                kept.secrets.iter().map(|(text, until)| Ok(Secret { until: *until, ..Secret::parse(text)? }));
            let secrets = secrets.collect::<Result<Vec<_>, TenantError>>()?;
            fresh.tenants.entry(kept.name).and_modify(|t| t.secrets = secrets);
        }
        *self = fresh;
        Ok(())
    }

    /// What may be shown of one tenant.
    pub fn view<'a>(&'a self, name: &'a str, now: Micros) -> Option<View<'a>> {
        let t = self.tenants.get(name)?;
        let portal = t.portal.as_ref().map(Portal::to_string);
        Some(View { name, share_per_s: t.share_per_s, portal, secrets: t.secrets(now).count() })
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
        }
    }

    #[test]
    fn a_rotated_secret_counts_until_its_time_and_is_never_shown() {
        let mut r = Registry::new(&[("org".into(), 5.0)]);
        assert_eq!(r.put("other", &spec()), Ok(true));
        assert_eq!((r.get("other").unwrap().id, r.put("org", &spec())), (TenantId(1), Ok(true)));
        r.rotate("other", B, 10, 20).unwrap();
        assert_eq!(r.get("other").unwrap().secrets(19).count(), 2);
        let left: Vec<_> = r.get("other").unwrap().secrets(20).map(|s| s.key().to_vec()).collect();
        assert_eq!(left, vec![b"aaaaaaaaaaaaaaaaaaaaaaaa".to_vec()]);
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
