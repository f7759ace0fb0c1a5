//! Takes over the tenants of the gateway's previous process, which are stored beside its calls.
//!
//! The operator may change the configuration between two starts. What accepted calls were promised
//! does not depend on the new configuration: a tenant or an endpoint that it lacks, or changes,
//! continues as a former version while something is owed under it.

use std::collections::BTreeSet;

use super::{endpoint_identity, tenant_serial, FormerVersion, Registry, Tenant, TenantError};
use super::{Secret, MAX_FORMER_VERSIONS};
use crate::api::{Micros, TenantId};

/// How a configured tenant is recognized as one of the previous process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TenantMatching {
    /// By its serial number, which the state file or the other gateways supply.
    BySerial,
    /// By its name, and a secret or an endpoint's address in common. The operator's file has no
    /// serial numbers; a tenant without anything in common is another one of the same name.
    #[default]
    ByEvidence,
}

/// What the store of the previous process says of its tenants.
pub struct PreviousTenants<'a> {
    /// The text that [`Registry::state`] returned.
    pub text: &'a str,
    /// How tenants are recognized.
    pub matching: TenantMatching,
    /// Whether calls or callbacks of a tenant are not over.
    pub is_owed: &'a dyn Fn(&Tenant) -> bool,
}

impl Tenant {
    /// Returns whether the configuration of another process means the same tenant.
    fn has_evidence_of(&self, before: &Tenant) -> bool {
        let secrets = before.all_secrets();
        let mut own_secrets = self.all_secrets().into_iter();
        let mut own_endpoints = self.endpoints.values();
        own_secrets.any(|secret| secrets.contains(&secret))
            || own_endpoints.any(|endpoint| {
                let mut known = before.endpoints.values();
                known.any(|other| other.portal == endpoint.portal)
            })
    }

    fn all_secrets(&self) -> Vec<&Secret> {
        let of_endpoints = self.endpoints.values().flat_map(|e| e.secrets.iter());
        self.secrets.iter().chain(of_endpoints).collect()
    }

    /// Takes over the serial number of the same tenant in the previous process, and the identifiers
    /// of the endpoints that it had. An endpoint that returns under a removed one's name is new.
    fn take_over_identity(&mut self, before: &Tenant) {
        let is_removed = |name: &&String| !self.endpoints.contains_key(*name);
        let removed = before.endpoints.keys().filter(is_removed).count() as u64;
        self.serial = before.serial;
        self.removed = before.removed + removed;
        self.version += before.version;
        for (name, endpoint) in &mut self.endpoints {
            endpoint.id = match before.endpoints.get(name) {
                Some(known) => known.id,
                None => endpoint_identity(self.serial, name, self.removed),
            };
        }
    }

    /// Assigns another serial number, and identifiers of endpoints that follow from it.
    fn assign_serial(&mut self, serial: u64) {
        self.serial = serial;
        for (name, endpoint) in &mut self.endpoints {
            endpoint.id = endpoint_identity(serial, name, self.removed);
        }
    }
}

impl Registry {
    /// Takes over the tenants of the previous process: the same tenants keep their serial numbers,
    /// and former versions are kept of those that the configuration lacks or changes while
    /// something is owed under them. Returns the number of versions that are kept now and were not
    /// before. On an error nothing changes.
    ///
    /// # Errors
    ///
    /// [`TenantError::State`] if the text cannot be parsed, [`TenantError::TooMany`] if more than
    /// [`MAX_FORMER_VERSIONS`] would be kept.
    pub fn continue_from(
        &mut self,
        previous: &PreviousTenants<'_>,
        now: Micros,
        until: Micros,
    ) -> Result<usize, TenantError> {
        let mut fresh = self.clone();
        let mut before = Registry {
            reserved: self.reserved.clone(),
            next_id: self.next_id,
            ..Registry::default()
        };
        before.restore(previous.text)?;
        fresh.serials = fresh.serials.max(before.serials);
        let former = std::mem::take(&mut before.former);
        for version in former {
            if (previous.is_owed)(&version.tenant) {
                fresh.add_former(version)?;
            }
        }
        if previous.matching == TenantMatching::ByEvidence {
            fresh.match_by_evidence(&before, previous.is_owed);
        }
        let known = fresh.former.len();
        for (name, tenant) in &before.tenants {
            let is_dropped = tenant.drops_obligations(fresh.get(name), now);
            if is_dropped && (previous.is_owed)(tenant) {
                fresh.add_former(FormerVersion {
                    name: name.clone(),
                    tenant: tenant.clone(),
                    replaced_at: now,
                    until,
                })?;
            }
        }
        let added = fresh.former.len() - known;
        *self = fresh;
        Ok(added)
    }

    /// Gives the configured tenants the serial numbers of the same tenants in the previous process,
    /// and new ones to those that it did not have.
    fn match_by_evidence(&mut self, before: &Registry, is_owed: &dyn Fn(&Tenant) -> bool) {
        let mut continued = BTreeSet::new();
        for (name, known) in &before.tenants {
            match self.tenants.get_mut(name) {
                Some(tenant) if tenant.has_evidence_of(known) => {
                    tenant.take_over_identity(known);
                    continued.insert(name.clone());
                }
                // Removed, or replaced by another tenant of the name.
                _ => self.serials += 1,
            }
        }
        let former = self.former.iter().map(|version| &version.tenant);
        let used: BTreeSet<u64> = before
            .tenants
            .values()
            .chain(former)
            .map(|tenant| tenant.serial)
            .collect();
        let serials = self.serials;
        for (name, tenant) in &mut self.tenants {
            // A version of the program that stored no tenants may have accepted calls meanwhile.
            let has_own_calls = !used.contains(&tenant.serial) && is_owed(tenant);
            if serials > 0 && !continued.contains(name) && !has_own_calls {
                tenant.assign_serial(tenant_serial(name, serials));
            }
        }
    }

    /// Adds a former version, unless it is known already.
    fn add_former(&mut self, mut version: FormerVersion) -> Result<(), TenantError> {
        let serial = version.tenant.serial;
        let (tenant, replaced_at) = (&version.tenant, version.replaced_at);
        let is_same = |known: &FormerVersion| {
            known.tenant.serial == serial
                && known.tenant.version == tenant.version
                && known.replaced_at <= replaced_at
                && !tenant.drops_obligations(Some(&known.tenant), replaced_at)
        };
        if self.former.iter().any(is_same) {
            return Ok(());
        }
        if self.former.len() >= MAX_FORMER_VERSIONS {
            return Err(TenantError::TooMany);
        }
        version.tenant.id = self.number_of(&version.name, serial);
        self.former.push(version);
        Ok(())
    }

    /// Returns the number of a tenant of which other versions may be known.
    pub(super) fn number_of(&mut self, name: &str, serial: u64) -> TenantId {
        let former = self.former.iter().map(|version| &version.tenant);
        let mut versions = self.tenants.get(name).into_iter().chain(former);
        let same = versions
            .find(|tenant| tenant.serial == serial)
            .map(|tenant| tenant.id);
        same.unwrap_or_else(|| self.allocate_number(name))
    }
}

#[cfg(test)]
mod tests;
