//! Registry of tenants with their secrets, shares and endpoints.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::api::{Micros, TenantId};
use crate::delivery::{Enabled, EndpointId};

mod continuity;
mod endpoint;
mod error;
#[cfg(test)]
mod fixture_tests;
mod former;
mod persistence;
pub mod replicated;
mod secret;
#[cfg(test)]
mod tests;

pub use continuity::{PreviousTenants, TenantMatching};
pub use endpoint::{Endpoint, EndpointSpec, EndpointView, Portal, COMPLETED};
pub use error::TenantError;
pub use former::{DeliveryTarget, FormerVersion, Released, MAX_FORMER_VERSIONS};
pub use persistence::Adopted;
pub use secret::Secret;

/// Maximum number of tenants. The limits below keep the state of each tenant small.
const MAX_TENANTS: usize = 4096;
/// Maximum number of secrets per tenant, including rotated ones.
const MAX_SECRETS: usize = 8;
/// Maximum number of endpoints per tenant.
const MAX_ENDPOINTS: usize = 32;
/// Name of the endpoint that a tenant's `portal` setting defines.
pub const PORTAL: &str = "portal";

/// A tenant's configuration by the operator.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The tenant's name.
    #[serde(default)]
    pub name: String,
    /// Share in calls per second over all gateways; 0 if none is given.
    pub share_per_s: Option<f64>,
    /// URL that receives the tenant's callbacks.
    pub portal: Option<String>,
    /// The tenant's secrets, the current one first.
    #[serde(default)]
    pub secrets: Vec<String>,
    /// Additional endpoints.
    #[serde(default)]
    pub endpoints: Vec<EndpointSpec>,
}

/// A registered tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Distinguishes the tenant from earlier or later ones of the same name.
    pub serial: u64,
    /// Number of the tenant in the decision module.
    pub id: TenantId,
    /// Share in calls per second.
    pub share_per_s: f64,
    /// Endpoints by name, including the one that `portal` defines.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Number of changes to the tenant.
    pub version: u64,
    secrets: Vec<Secret>,
    /// Number of endpoints removed so far.
    removed: u64,
}

/// Derives an identifier from a hash of `parts`.
fn identity(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize()
        .iter()
        .take(8)
        .fold(0, |n, b| n << 8 | u64::from(*b))
        >> 1
}

/// Returns the serial number of a tenant that is created after `removals` removals.
fn tenant_serial(name: &str, removals: u64) -> u64 {
    identity(&[name.as_bytes(), &removals.to_le_bytes()])
}

/// Returns the identifier of an endpoint of the tenant with this serial number, of which `removed`
/// endpoints were removed before.
fn endpoint_identity(serial: u64, name: &str, removed: u64) -> EndpointId {
    EndpointId(identity(&[
        &serial.to_le_bytes(),
        name.as_bytes(),
        &removed.to_le_bytes(),
    ]))
}

impl Tenant {
    /// Returns the secrets valid at `now`, the current one first.
    pub fn secrets(&self, now: Micros) -> impl Iterator<Item = &Secret> {
        self.secrets.iter().filter(move |s| s.valid(now))
    }

    /// Returns an endpoint and its name by identifier.
    pub fn endpoint(&self, id: EndpointId) -> Option<(&str, &Endpoint)> {
        self.endpoints
            .iter()
            .find(|(_, e)| e.id == id)
            .map(|(name, e)| (name.as_str(), e))
    }

    /// Returns the secrets that sign messages to an endpoint: its own, or else the tenant's.
    pub fn signing(&self, e: &Endpoint, now: Micros) -> Vec<Secret> {
        let own: Vec<Secret> = e.own_secrets(now).filter(|s| s.signs()).cloned().collect();
        if own.is_empty() {
            return self.secrets(now).filter(|s| s.signs()).cloned().collect();
        }
        own
    }

    /// Returns whether any endpoint is subscribed to events of a type.
    pub fn wants(&self, kind: &str) -> bool {
        self.endpoints.values().any(|e| e.wants(kind))
    }

    fn set_endpoint(&mut self, name: &str, spec: &EndpointSpec) -> Result<bool, TenantError> {
        check_name(name)?;
        if let Some(e) = self.endpoints.get_mut(name) {
            e.change(spec)?;
            return Ok(false);
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            return Err(TenantError::TooMany);
        }
        let id = endpoint_identity(self.serial, name, self.removed);
        self.endpoints
            .insert(name.to_owned(), Endpoint::new(id, spec)?);
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

/// A tenant without confidential values.
#[derive(Debug, Serialize)]
pub struct View<'a> {
    name: &'a str,
    share_per_s: f64,
    portal: Option<String>,
    secrets: usize,
    endpoints: Vec<&'a str>,
    version: u64,
}

/// Registry of all tenants, by name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    tenants: BTreeMap<String, Tenant>,
    /// Numbers and shares reserved for the platform's own tenants.
    reserved: BTreeMap<String, (TenantId, f64)>,
    /// Versions from before changes under which calls are owed an answer, the oldest first.
    former: Vec<FormerVersion>,
    free_ids: Vec<TenantId>,
    next_id: u32,
    serials: u64,
}

impl Registry {
    /// Creates a registry that reserves the numbers and shares of the platform's tenants.
    pub fn new(platform: &[(String, f64)]) -> Registry {
        let number = |(i, (name, share)): (usize, &(String, f64))| {
            (name.clone(), (TenantId(i as u32), *share))
        };
        let reserved = platform.iter().enumerate().map(number).collect();
        Registry {
            reserved,
            next_id: platform.len() as u32,
            ..Registry::default()
        }
    }

    /// Returns a tenant by name.
    pub fn get(&self, name: &str) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// Returns a tenant if its serial matches. This prevents an answer from going to
    /// another tenant's portal after the tenant was removed and its name was reused.
    pub fn get_with_serial(&self, name: &str, serial: u64) -> Option<&Tenant> {
        self.get(name).filter(|t| t.serial == serial)
    }

    /// Creates a tenant, or changes the given fields of an existing one. Returns whether the tenant
    /// is new.
    pub fn put(&mut self, name: &str, spec: &Spec) -> Result<bool, TenantError> {
        check_name(name)?;
        if spec.share_per_s.is_some_and(|s| !s.is_finite() || s < 0.0) {
            return Err(TenantError::Share);
        }
        if spec.secrets.len() > MAX_SECRETS {
            return Err(TenantError::TooMany);
        }
        let secrets = spec
            .secrets
            .iter()
            .map(|s| Secret::parse(s))
            .collect::<Result<Vec<_>, _>>()?;
        let known = self.tenants.get(name);
        let new = known.is_none();
        if new && self.tenants.len() >= MAX_TENANTS {
            return Err(TenantError::TooMany);
        }
        let mut t = known.cloned().unwrap_or_else(|| Tenant {
            serial: tenant_serial(name, self.serials),
            id: TenantId(0),
            share_per_s: self.reserved.get(name).map_or(0.0, |(_, share)| *share),
            endpoints: BTreeMap::new(),
            version: 0,
            secrets: Vec::new(),
            removed: 0,
        });
        t.share_per_s = spec.share_per_s.unwrap_or(t.share_per_s);
        if let Some(url) = &spec.portal {
            t.set_endpoint(
                PORTAL,
                &EndpointSpec {
                    url: Some(url.clone()),
                    ..EndpointSpec::default()
                },
            )?;
        }
        for endpoint in &spec.endpoints {
            t.set_endpoint(&endpoint.name, endpoint)?;
        }
        if !secrets.is_empty() {
            t.secrets = secrets;
        }
        if new {
            t.id = self.allocate_number(name);
        }
        t.version += 1;
        self.tenants.insert(name.to_owned(), t);
        Ok(new)
    }

    /// Returns the number of a platform's tenant, or else a free number.
    fn allocate_number(&mut self, name: &str) -> TenantId {
        let reserved = self.reserved.get(name).map(|(id, _)| *id);
        reserved.or_else(|| self.free_ids.pop()).unwrap_or_else(|| {
            self.next_id += 1;
            TenantId(self.next_id - 1)
        })
    }

    /// Creates an endpoint, or changes the given fields of an existing one. Returns whether the
    /// endpoint is new.
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

    /// Removes an endpoint and returns its identifier.
    pub fn remove_endpoint(&mut self, tenant: &str, name: &str) -> Result<EndpointId, TenantError> {
        let t = self.tenants.get_mut(tenant).ok_or(TenantError::Unknown)?;
        let e = t
            .endpoints
            .remove(name)
            .ok_or(TenantError::UnknownEndpoint)?;
        (t.removed, t.version) = (t.removed + 1, t.version + 1);
        Ok(e.id)
    }

    /// Disables an endpoint after persistent failures or a 410 response. Returns the names of the
    /// tenant and the endpoint.
    pub fn disable(&mut self, id: EndpointId) -> Option<(String, String)> {
        let (tenant, t) = self
            .tenants
            .iter_mut()
            .find(|(_, t)| t.endpoint(id).is_some())?;
        let (name, e) = t.endpoints.iter_mut().find(|(_, e)| e.id == id)?;
        (e.enabled, e.version) = (Enabled::DisabledByFailure, e.version + 1);
        Some((tenant.clone(), name.clone()))
    }

    /// Rotates an endpoint's own secrets like [`Registry::rotate`].
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
        let e = t
            .endpoints
            .get_mut(name)
            .ok_or(TenantError::UnknownEndpoint)?;
        e.secrets = secret::rotated(e.secrets.clone(), fresh, now, until, MAX_SECRETS)?;
        e.version += 1;
        Ok(())
    }

    /// Makes a secret the current one. Earlier secrets stay valid until `until` at the latest.
    pub fn rotate(
        &mut self,
        name: &str,
        secret: &str,
        now: Micros,
        until: Micros,
    ) -> Result<(), TenantError> {
        let fresh = Secret::parse(secret)?;
        let t = self.tenants.get_mut(name).ok_or(TenantError::Unknown)?;
        t.secrets = secret::rotated(t.secrets.clone(), fresh, now, until, MAX_SECRETS)?;
        t.version += 1;
        Ok(())
    }

    /// Removes a tenant. Returns its number and the number's new share. Numbers are reused, except
    /// for those of the platform's tenants, which keep the platform's shares.
    pub fn remove(&mut self, name: &str) -> Result<(TenantId, f64), TenantError> {
        let t = self.tenants.remove(name).ok_or(TenantError::Unknown)?;
        self.serials += 1;
        if let Some(reserved) = self.reserved.get(name) {
            return Ok(*reserved);
        }
        self.free_ids.push(t.id);
        Ok((t.id, 0.0))
    }

    /// Returns the numbers and shares of all tenants, including removed ones whose calls are not
    /// answered yet.
    pub fn shares(&self) -> Vec<(TenantId, f64)> {
        let removed = self
            .former
            .iter()
            .map(|version| &version.tenant)
            .filter(|tenant| self.keeps_number(tenant.id));
        removed
            .chain(self.tenants.values())
            .map(|t| (t.id, t.share_per_s))
            .collect()
    }

    /// Returns a tenant without confidential values.
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

    /// Iterates over all tenants by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Tenant)> {
        self.tenants.iter()
    }

    /// Returns all tenants without confidential values.
    pub fn views(&self, now: Micros) -> Vec<View<'_>> {
        self.tenants
            .keys()
            .filter_map(|name| self.view(name, now))
            .collect()
    }
}
