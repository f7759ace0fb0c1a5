//! Former versions of tenants, to which calls accepted before a change still owe their answers.
//!
//! A change that takes something away which an accepted call was promised keeps the version from
//! before it: the removal of a tenant or of an endpoint, an endpoint that no longer subscribes to
//! [`COMPLETED`], a revoked secret. A version stays until the gateway finds that nothing is owed
//! under it, or until its time is over. At most [`MAX_FORMER_VERSIONS`] are kept.

use super::{Endpoint, Portal, Registry, Secret, Tenant, TenantError, COMPLETED};
use crate::api::{Micros, TenantId};
use crate::delivery::EndpointId;

/// Maximum number of former versions of all tenants.
pub const MAX_FORMER_VERSIONS: usize = 4096;

/// A tenant as it was before a change.
#[derive(Clone, Debug)]
pub struct FormerVersion {
    /// The tenant's name, which may belong to another tenant by now.
    pub name: String,
    /// The tenant before the change.
    pub tenant: Tenant,
    /// The time of the change. Calls accepted before it are owed what this version promised.
    pub replaced_at: Micros,
    /// The time from which waiting callbacks under this version are given up.
    pub until: Micros,
}

/// The destination of a message, with all secrets that sign it.
#[derive(Debug)]
pub struct DeliveryTarget<'a> {
    /// The address.
    pub portal: &'a Portal,
    /// The secrets.
    pub secrets: Vec<Secret>,
}

/// What no version of any tenant refers to any more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Released {
    /// Endpoints that were removed before.
    pub endpoints: Vec<EndpointId>,
    /// Numbers of removed tenants.
    pub numbers: Vec<TenantId>,
}

impl Tenant {
    /// Returns whether a change takes something away that calls of this version were promised.
    pub(super) fn drops_obligations(&self, after: Option<&Tenant>, now: Micros) -> bool {
        let Some(after) = after.filter(|after| after.serial == self.serial) else {
            return !self.endpoints.is_empty();
        };
        self.endpoints.values().any(|before| {
            let Some((_, endpoint)) = after.endpoint(before.id) else {
                return true;
            };
            let remaining = after.signing(endpoint, now);
            let is_revoked = |secret: &Secret| !remaining.contains(secret);
            (before.wants(COMPLETED) && !endpoint.wants(COMPLETED))
                || self.signing(before, now).iter().any(is_revoked)
        })
    }
}

impl Registry {
    /// Keeps the version of a tenant from before a change, `before`, if calls may be owed something
    /// under it. Returns whether it is kept. The number of a removed tenant stays in use meanwhile.
    ///
    /// # Errors
    ///
    /// [`TenantError::TooMany`] if too many versions are kept.
    pub fn keep_former_version(
        &mut self,
        before: &Registry,
        name: &str,
        now: Micros,
        until: Micros,
    ) -> Result<bool, TenantError> {
        let Some(tenant) = before.get(name) else {
            return Ok(false);
        };
        if !tenant.drops_obligations(self.get(name), now) {
            return Ok(false);
        }
        if self.former.len() >= MAX_FORMER_VERSIONS {
            return Err(TenantError::TooMany);
        }
        self.free_ids.retain(|id| *id != tenant.id);
        self.former.push(FormerVersion {
            name: name.to_owned(),
            tenant: tenant.clone(),
            replaced_at: now,
            until,
        });
        Ok(true)
    }

    /// Returns all former versions, the oldest first.
    pub fn former_versions(&self) -> &[FormerVersion] {
        &self.former
    }

    /// Returns the newest version of a tenant, which may be removed.
    pub fn newest_version(&self, name: &str, serial: u64) -> Option<&Tenant> {
        self.get_with_serial(name, serial).or_else(|| {
            let former = self.former_of(name, serial);
            former.first().map(|version| &version.tenant)
        })
    }

    /// Returns the former versions of a tenant, the newest first.
    fn former_of(&self, name: &str, serial: u64) -> Vec<&FormerVersion> {
        self.former
            .iter()
            .rev()
            .filter(|version| version.name == name && version.tenant.serial == serial)
            .collect()
    }

    /// Returns the endpoints that a call's answer goes to: those that subscribe now, and those that
    /// did when it was accepted. An endpoint that still exists is returned as it is now.
    pub fn answer_endpoints(&self, name: &str, serial: u64, accepted_at: Micros) -> Vec<&Endpoint> {
        let current = self.get_with_serial(name, serial);
        let former = self
            .former_of(name, serial)
            .into_iter()
            .filter(|version| version.replaced_at >= accepted_at)
            .map(|version| &version.tenant);
        let mut promised: Vec<&Endpoint> = Vec::new();
        for endpoint in current
            .into_iter()
            .chain(former)
            .flat_map(|tenant| tenant.endpoints.values())
            .filter(|endpoint| endpoint.wants(COMPLETED))
        {
            if promised.iter().all(|known| known.id != endpoint.id) {
                let newest = current.and_then(|tenant| tenant.endpoint(endpoint.id));
                promised.push(newest.map_or(endpoint, |(_, newest)| newest));
            }
        }
        promised
    }

    /// Returns the destination of a message to an endpoint, which may be removed. Besides the
    /// current secrets those sign that were revoked lately, for portals that know no others.
    pub fn delivery_target(
        &self,
        name: &str,
        serial: u64,
        id: EndpointId,
        now: Micros,
    ) -> Option<DeliveryTarget<'_>> {
        let current = self
            .get_with_serial(name, serial)
            .map(|tenant| (tenant, now));
        let former = self
            .former_of(name, serial)
            .into_iter()
            .map(|version| (&version.tenant, version.replaced_at));
        let mut target: Option<DeliveryTarget<'_>> = None;
        for (tenant, at) in current.into_iter().chain(former) {
            let Some((_, endpoint)) = tenant.endpoint(id) else {
                continue;
            };
            let target = target.get_or_insert_with(|| DeliveryTarget {
                portal: &endpoint.portal,
                secrets: Vec::new(),
            });
            for secret in tenant.signing(endpoint, at) {
                if !target.secrets.contains(&secret) {
                    target.secrets.push(secret);
                }
            }
        }
        target
    }

    /// Returns the endpoints that only former versions have, with the serial number of their
    /// tenants.
    pub fn former_endpoints(&self) -> Vec<(u64, &Endpoint)> {
        let mut endpoints: Vec<(u64, &Endpoint)> = Vec::new();
        for version in self.former.iter().rev() {
            for endpoint in version.tenant.endpoints.values() {
                let is_known = |(_, known): &(u64, &Endpoint)| known.id == endpoint.id;
                if !self.is_current(version, endpoint.id) && !endpoints.iter().any(is_known) {
                    endpoints.push((version.tenant.serial, endpoint));
                }
            }
        }
        endpoints
    }

    fn is_current(&self, version: &FormerVersion, id: EndpointId) -> bool {
        self.get_with_serial(&version.name, version.tenant.serial)
            .is_some_and(|tenant| tenant.endpoint(id).is_some())
    }

    /// Returns whether a number is still that of a removed tenant whose calls are not answered yet.
    pub fn keeps_number(&self, number: TenantId) -> bool {
        let is_current = self.tenants.values().any(|tenant| tenant.id == number);
        let is_reserved = self.reserved.values().any(|(id, _)| *id == number);
        let mut former = self.former.iter();
        !is_current && !is_reserved && former.any(|version| version.tenant.id == number)
    }

    /// Drops the former versions for which `is_settled` holds, and returns what is no longer
    /// referred to.
    pub fn drop_settled(&mut self, is_settled: impl Fn(&FormerVersion) -> bool) -> Released {
        let former = std::mem::take(&mut self.former);
        let (settled, kept) = former.into_iter().partition(is_settled);
        self.former = kept;
        let mut released = Released::default();
        for version in settled {
            self.release(&version, &mut released);
        }
        released
    }

    fn release(&mut self, version: &FormerVersion, released: &mut Released) {
        for endpoint in version.tenant.endpoints.values() {
            let is_in_use = self.is_current(version, endpoint.id)
                || self
                    .former
                    .iter()
                    .any(|other| other.tenant.endpoint(endpoint.id).is_some());
            if !is_in_use && !released.endpoints.contains(&endpoint.id) {
                released.endpoints.push(endpoint.id);
            }
        }
        let number = version.tenant.id;
        let is_in_use = self.reserved.values().any(|(id, _)| *id == number)
            || self.tenants.values().any(|tenant| tenant.id == number)
            || self.former.iter().any(|other| other.tenant.id == number);
        if !is_in_use && !self.free_ids.contains(&number) {
            self.free_ids.push(number);
            released.numbers.push(number);
        }
    }
}

#[cfg(test)]
mod tests;
