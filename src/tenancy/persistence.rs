//! Serialization of tenants, for the state file and for replication to other gateways.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::endpoint::{parse_secrets, stored_secrets, StoredEndpoint};
use super::{FormerVersion, Registry, Spec, Tenant, TenantError, MAX_FORMER_VERSIONS};
use crate::api::{Micros, TenantId};
use crate::delivery::EndpointId;

/// A tenant as stored in the state file, including secrets. Files from versions without endpoints
/// lack the last four fields.
#[derive(Deserialize, Serialize)]
struct StoredTenant {
    name: String,
    share_per_s: f64,
    portal: Option<String>,
    /// Secrets with the ends of their validity.
    secrets: Vec<(String, Option<Micros>)>,
    serial: Option<u64>,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    removed: u64,
    endpoints: Option<Vec<StoredEndpoint>>,
}

/// A former version of a tenant as stored in the state file.
#[derive(Deserialize, Serialize)]
struct StoredFormerVersion {
    tenant: StoredTenant,
    replaced_at: Micros,
    until: Micros,
}

/// Contents of the state file. Versions without endpoints wrote only the list.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum StoredRegistry {
    All {
        serials: u64,
        tenants: Vec<StoredTenant>,
        /// Absent in files of versions that kept no former versions.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        former: Vec<StoredFormerVersion>,
    },
    List(Vec<StoredTenant>),
}

/// Effects of adopting a tenant from another gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Adopted {
    /// The tenant's number and the number's new share.
    pub share: (TenantId, f64),
    /// Removed endpoints.
    pub gone: Vec<EndpointId>,
}

/// Converts expiry times to durations or back with `convert`, so that clocks of different gateways
/// are never compared. Removes the secrets for which `convert` returns `None`.
fn shift(secrets: &mut Vec<(String, Option<Micros>)>, convert: impl Fn(Micros) -> Option<Micros>) {
    secrets.retain_mut(|(_, until)| match *until {
        None => true,
        Some(t) => {
            *until = convert(t);
            until.is_some()
        }
    });
}

impl StoredTenant {
    fn of(name: &str, t: &Tenant) -> StoredTenant {
        StoredTenant {
            name: name.to_owned(),
            share_per_s: t.share_per_s,
            portal: None,
            secrets: stored_secrets(&t.secrets),
            serial: Some(t.serial),
            version: t.version,
            removed: t.removed,
            endpoints: Some(
                t.endpoints
                    .iter()
                    .map(|(name, e)| StoredEndpoint::of(name, e))
                    .collect(),
            ),
        }
    }

    fn shifted(mut self, convert: impl Fn(Micros) -> Option<Micros>) -> StoredTenant {
        shift(&mut self.secrets, &convert);
        self.endpoints
            .iter_mut()
            .flatten()
            .for_each(|e| shift(&mut e.secrets, &convert));
        self
    }
}

impl StoredFormerVersion {
    fn of(version: &FormerVersion) -> StoredFormerVersion {
        StoredFormerVersion {
            tenant: StoredTenant::of(&version.name, &version.tenant),
            replaced_at: version.replaced_at,
            until: version.until,
        }
    }
}

impl Registry {
    /// Returns a tenant serialized for other gateways, including secrets, or `None` if the tenant
    /// does not exist.
    pub fn encode_tenant(&self, name: &str, now: Micros) -> Option<Vec<u8>> {
        let kept = StoredTenant::of(name, self.get(name)?)
            .shifted(|until| until.checked_sub(now).filter(|s| *s > 0));
        // Contains only strings and numbers, so serialization cannot fail.
        Some(serde_json::to_vec(&kept).unwrap_or_default())
    }

    /// Replaces a tenant with the version from other gateways, or removes it if `serialized` is
    /// `None`. On an error nothing changes.
    pub fn adopt(
        &mut self,
        now: Micros,
        name: &str,
        serialized: Option<&[u8]>,
    ) -> Result<Option<Adopted>, TenantError> {
        let known = self.get(name);
        let ids = |t: &Tenant| t.endpoints.values().map(|e| e.id).collect::<Vec<_>>();
        let mut gone = known.map_or(Vec::new(), ids);
        let Some(serialized) = serialized else {
            if known.is_none() {
                return Ok(None);
            }
            let share = self.remove(name)?;
            return Ok(Some(Adopted { share, gone }));
        };
        let kept: StoredTenant =
            serde_json::from_slice(serialized).map_err(|_| TenantError::State)?;
        if kept.name != name {
            return Err(TenantError::Name);
        }
        let mut fresh = self.clone();
        // The tenant keeps its local number; everything else is replaced.
        if let Some(t) = fresh.tenants.get_mut(name) {
            t.endpoints.clear();
        }
        fresh.read(kept.shifted(|span| Some(now.saturating_add(span))))?;
        *self = fresh;
        let t = self.get(name).ok_or(TenantError::Unknown)?;
        gone.retain(|id| t.endpoint(*id).is_none());
        Ok(Some(Adopted {
            share: (t.id, t.share_per_s),
            gone,
        }))
    }

    /// Sets the number of tenants removed by all gateways. The number enters the serials of new
    /// tenants, so a new tenant differs from all removed ones.
    pub fn set_removal_count(&mut self, removals: u64) {
        self.serials = removals;
    }

    fn read(&mut self, kept: StoredTenant) -> Result<(), TenantError> {
        let spec = Spec {
            share_per_s: Some(kept.share_per_s),
            portal: kept.portal,
            ..Spec::default()
        };
        self.put(&kept.name, &spec)?;
        let t = self
            .tenants
            .get_mut(&kept.name)
            .ok_or(TenantError::Unknown)?;
        t.secrets = parse_secrets(&kept.secrets)?;
        (t.serial, t.removed) = (kept.serial.unwrap_or(t.serial), kept.removed);
        t.version = kept.version.max(1);
        for endpoint in kept.endpoints.into_iter().flatten() {
            let (name, endpoint) = endpoint.read()?;
            t.endpoints.insert(name, endpoint);
        }
        Ok(())
    }

    /// Reads a former version. Versions of the same tenant have the same number.
    fn read_former(&mut self, kept: StoredFormerVersion) -> Result<(), TenantError> {
        let name = kept.tenant.name.clone();
        let mut alone = Registry::default();
        alone.read(kept.tenant)?;
        let mut tenant = alone.tenants.remove(&name).ok_or(TenantError::Unknown)?;
        tenant.id = self.number_of(&name, tenant.serial);
        self.former.push(FormerVersion {
            name,
            tenant,
            replaced_at: kept.replaced_at,
            until: kept.until,
        });
        Ok(())
    }

    /// Returns all tenants as text for the state file. The text contains secrets, so the file is
    /// readable only by its owner.
    pub fn state(&self) -> String {
        let tenants = self
            .tenants
            .iter()
            .map(|(name, t)| StoredTenant::of(name, t))
            .collect();
        // Contains only strings and numbers, so serialization cannot fail.
        serde_json::to_string(&StoredRegistry::All {
            serials: self.serials,
            tenants,
            former: self.former.iter().map(StoredFormerVersion::of).collect(),
        })
        .unwrap_or_default()
    }

    /// Replaces all tenants with those of a state file. On an error nothing changes.
    pub fn restore(&mut self, text: &str) -> Result<(), TenantError> {
        let kept: StoredRegistry = serde_json::from_str(text).map_err(|_| TenantError::State)?;
        let (serials, list, former) = match kept {
            StoredRegistry::All {
                serials,
                tenants,
                former,
            } => (serials, tenants, former),
            StoredRegistry::List(tenants) => (0, tenants, Vec::new()),
        };
        let mut fresh = Registry {
            tenants: BTreeMap::new(),
            former: Vec::new(),
            ..self.clone()
        };
        fresh.free_ids.extend(
            self.tenants
                .iter()
                .filter(|(n, _)| !self.reserved.contains_key(*n))
                .map(|(_, t)| t.id),
        );
        fresh.serials = serials;
        for kept in list {
            fresh.read(kept)?;
        }
        for version in former.into_iter().take(MAX_FORMER_VERSIONS) {
            fresh.read_former(version)?;
        }
        *self = fresh;
        Ok(())
    }
}
