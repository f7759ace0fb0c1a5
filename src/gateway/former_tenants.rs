//! Drives the former versions of tenants: keeps them at changes, and drops them once nothing is
//! owed under them any more.

use super::{Gateway, GatewayDeadline};
use crate::api::Micros;
use crate::delivery::EndpointId;
use crate::store::disk::Disk;
use crate::store::error::StoreError;
use crate::store::operations::Op;
use crate::store::records::TenantsRecord;
use crate::store::tables::RecoveredState;
use crate::tenancy::{
    FormerVersion, PreviousTenants, Registry, Tenant, TenantError, TenantMatching,
};

/// How often former versions are checked, in microseconds.
const CHECK_INTERVAL: Micros = 1_000_000;

/// What this gateway knows of the calls and callbacks that are not over.
struct OpenWork<'a> {
    now: Micros,
    /// The serial numbers and acceptance times of open calls.
    calls: Vec<(u64, Micros)>,
    /// Whether another gateway, or an operation of the store, may still bring more.
    may_grow: bool,
    /// Whether the process ends and nothing outlives it: waiting callbacks are given up.
    gives_up: bool,
    has_messages: &'a dyn Fn(EndpointId) -> bool,
    is_sending: &'a dyn Fn(EndpointId) -> bool,
}

impl OpenWork<'_> {
    /// Returns whether a former version is no longer needed.
    fn is_settled(&self, version: &FormerVersion) -> bool {
        let serial = version.tenant.serial;
        let has_calls = self
            .calls
            .iter()
            .any(|(of, accepted_at)| *of == serial && *accepted_at <= version.replaced_at);
        if has_calls {
            return false;
        }
        let any_endpoint = |holds: &dyn Fn(EndpointId) -> bool| {
            let mut endpoints = version.tenant.endpoints.values();
            endpoints.any(|endpoint| holds(endpoint.id))
        };
        let is_over = self.now >= version.until;
        let is_given_up = self.gives_up && !any_endpoint(self.is_sending);
        let is_done = !self.may_grow && !any_endpoint(self.has_messages);
        is_over || is_given_up || is_done
    }
}

impl RecoveredState {
    /// Returns whether calls or callbacks of a tenant are not over.
    fn owes(&self, tenant: &Tenant) -> bool {
        let waits = |id: EndpointId| self.endpoints.iter().any(|(waiting, _)| *waiting == id);
        self.calls.iter().any(|call| call.serial == tenant.serial)
            || tenant.endpoints.values().any(|endpoint| waits(endpoint.id))
    }
}

/// Why the tenants of the previous process cannot be taken over. Nothing that is owed is lost.
#[derive(Debug, thiserror::Error)]
pub(super) enum StartError {
    /// The stored tenants cannot be continued.
    #[error(
        "the tenants of its calls cannot be taken over ({0}); start it with the former \
         configuration until they are answered"
    )]
    Tenants(#[from] TenantError),
    /// The tenants cannot be stored.
    #[error("the tenants cannot be stored in it: {0}")]
    Store(#[from] StoreError),
}

impl Gateway {
    /// Keeps the version of a tenant from before a change, if calls may be owed an answer under it.
    /// Returns whether it is kept.
    pub(super) fn keep_former_version(
        &mut self,
        now: Micros,
        before: &Registry,
        tenant: &str,
    ) -> Result<bool, TenantError> {
        let Some(webhooks) = &self.secondary.webhooks else {
            return Ok(false);
        };
        let until = now.saturating_add(webhooks.removal_grace());
        let tenants = &mut self.secondary.tenants;
        let is_kept = tenants.keep_former_version(before, tenant, now, until)?;
        if is_kept {
            self.schedule_former_version_check(now);
        }
        Ok(is_kept)
    }

    /// Takes over the tenants of the previous process from the store, whatever the files name now,
    /// and stores the tenants of this one before it accepts calls.
    pub(super) fn continue_tenants(
        &mut self,
        now: Micros,
        removal_grace: Micros,
        store: &mut Disk,
        found: &RecoveredState,
    ) -> Result<(), StartError> {
        let tenants = &mut self.secondary.tenants;
        let matching = self.secondary.tenant_matching;
        if let Some(TenantsRecord(text)) = &found.tenants {
            let previous = PreviousTenants {
                text,
                matching,
                is_owed: &|tenant| found.owes(tenant) || matching == TenantMatching::BySerial,
            };
            let until = now.saturating_add(removal_grace);
            let kept = tenants.continue_from(&previous, now, until)?;
            if kept > 0 {
                tracing::info!(
                    kept,
                    "tenants that the configuration lacks or changes are still owed answers"
                );
            }
        }
        let stored = Op::StoreTenants(TenantsRecord(tenants.state()));
        store.commit([stored], now)?;
        for (tenant, quota_per_s) in self.secondary.tenants.shares() {
            self.core.set_tenant_quota(now, tenant, quota_per_s);
        }
        Ok(())
    }

    /// Stores the tenants beside their calls. A call that is accepted later is stored after them.
    pub(super) fn store_tenants(&mut self) {
        let text = self.secondary.tenants.state();
        if let Some(webhooks) = &mut self.secondary.webhooks {
            webhooks.store_tenants(TenantsRecord(text));
        }
    }

    /// Passes the endpoints that only former versions have to delivery, and sets the first check.
    pub(super) fn set_up_former_versions(&mut self, now: Micros) {
        if self.secondary.tenants.former_versions().is_empty() {
            return;
        }
        if let Some(webhooks) = &mut self.secondary.webhooks {
            for (serial, endpoint) in self.secondary.tenants.former_endpoints() {
                webhooks.set_delivery_endpoint(now, serial, endpoint);
            }
        }
        self.schedule_former_version_check(now);
    }

    fn schedule_former_version_check(&mut self, now: Micros) {
        let deadline = GatewayDeadline::FormerTenants.into();
        let at = now + CHECK_INTERVAL;
        if let Some(scheduled_at) = self.secondary.former_check_at.replace(at) {
            self.core.unschedule(scheduled_at, deadline);
        }
        self.core.schedule(at, deadline);
    }

    /// Drops the former versions under which nothing is owed any more, and what only they used.
    pub(super) fn drop_settled_versions(&mut self, now: Micros) {
        let Some(webhooks) = &self.secondary.webhooks else {
            return;
        };
        let work = OpenWork {
            now,
            calls: webhooks.open_calls(),
            may_grow: self.cluster.replication.is_some() || webhooks.awaits_store(),
            gives_up: self.ops.lifecycle.is_shutting_down() && !webhooks.durable(),
            has_messages: &|id| webhooks.has_messages(id),
            is_sending: &|id| webhooks.is_sending(id),
        };
        let tenants = &mut self.secondary.tenants;
        let kept_before = tenants.former_versions().len();
        let released = tenants.drop_settled(|version| work.is_settled(version));
        let kept = tenants.former_versions().len();
        for number in released.numbers {
            self.core.set_tenant_quota(now, number, 0.0);
        }
        self.remove_delivery_endpoints(now, &released.endpoints);
        if kept < kept_before {
            // The file may be written later: a version that is read again is dropped again.
            self.persist_dropped_versions();
        }
        if kept > 0 {
            self.schedule_former_version_check(now);
        }
    }
}
