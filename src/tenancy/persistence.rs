//! Tenants as text: the state file's, and one tenant's for other gateways.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::endpoint::{parse_secrets, stored_secrets, StoredEndpoint};
use super::{Registry, Spec, Tenant, TenantError};
use crate::api::{Micros, TenantId};
use crate::delivery::EndpointId;

/// A tenant as the state file keeps it, secrets and all. Files of before there were endpoints lack
/// the last four.
#[derive(Deserialize, Serialize)]
struct StoredTenant {
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
    endpoints: Option<Vec<StoredEndpoint>>,
}

/// The state file. Before there were endpoints it was the list alone.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum StoredRegistry {
    All {
        serials: u64,
        tenants: Vec<StoredTenant>,
    },
    List(Vec<StoredTenant>),
}

/// What follows from a tenant that was taken over from another gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Adopted {
    /// Its number, and the share that the number has from here on.
    pub share: (TenantId, f64),
    /// Endpoints that are no more.
    pub gone: Vec<EndpointId>,
}

/// Times of a clock of one's own become spans, and spans times of another: no two clocks are
/// compared. What is over is left out.
fn shift(secrets: &mut Vec<(String, Option<Micros>)>, by: impl Fn(Micros) -> Option<Micros>) {
    secrets.retain_mut(|(_, until)| match *until {
        None => true,
        Some(t) => {
            *until = by(t);
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

    fn shifted(mut self, by: impl Fn(Micros) -> Option<Micros>) -> StoredTenant {
        shift(&mut self.secrets, &by);
        self.endpoints
            .iter_mut()
            .flatten()
            .for_each(|e| shift(&mut e.secrets, &by));
        self
    }
}

impl Registry {
    /// A tenant as other gateways are told of it, secrets and all; none if there is no such tenant.
    pub fn told(&self, name: &str, now: Micros) -> Option<Vec<u8>> {
        let kept = StoredTenant::of(name, self.get(name)?)
            .shifted(|until| until.checked_sub(now).filter(|s| *s > 0));
        // Strings and numbers only: there is nothing that could not be written.
        Some(serde_json::to_vec(&kept).unwrap_or_default())
    }

    /// A tenant is so from here on, or is no more, as other gateways say. On an error nothing
    /// changes.
    pub fn adopt(
        &mut self,
        now: Micros,
        name: &str,
        told: Option<&[u8]>,
    ) -> Result<Option<Adopted>, TenantError> {
        let known = self.get(name);
        let ids = |t: &Tenant| t.endpoints.values().map(|e| e.id).collect::<Vec<_>>();
        let mut gone = known.map_or(Vec::new(), ids);
        let Some(told) = told else {
            if known.is_none() {
                return Ok(None);
            }
            let share = self.remove(name)?;
            return Ok(Some(Adopted { share, gone }));
        };
        let kept: StoredTenant = serde_json::from_slice(told).map_err(|_| TenantError::State)?;
        if kept.name != name {
            return Err(TenantError::Name);
        }
        let mut fresh = self.clone();
        // Its number stays its own; all else is as told.
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

    /// How many tenants all gateways have removed: one that is made from here on is none of these.
    pub fn set_removals(&mut self, removals: u64) {
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

    /// All tenants as text for the state file. It holds the secrets: it is written for its owner
    /// alone.
    pub fn state(&self) -> String {
        let tenants = self
            .tenants
            .iter()
            .map(|(name, t)| StoredTenant::of(name, t))
            .collect();
        // Strings and numbers only: there is nothing that could not be written.
        serde_json::to_string(&StoredRegistry::All {
            serials: self.serials,
            tenants,
        })
        .unwrap_or_default()
    }

    /// Takes the tenants of a state file in place of its own. On an error nothing changes.
    pub fn restore(&mut self, text: &str) -> Result<(), TenantError> {
        let kept: StoredRegistry = serde_json::from_str(text).map_err(|_| TenantError::State)?;
        let (serials, list) = match kept {
            StoredRegistry::All { serials, tenants } => (serials, tenants),
            StoredRegistry::List(tenants) => (0, tenants),
        };
        let mut fresh = Registry {
            tenants: BTreeMap::new(),
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
        *self = fresh;
        Ok(())
    }
}
