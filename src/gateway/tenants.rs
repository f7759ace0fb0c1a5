//! Drives changes of tenants that all gateways agree on, while replication is on. [`Changes`] makes
//! the decisions.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::admin::{self, AdminResponse, Change};
use crate::api::Micros;
use crate::consensus::participant::Input as ConsensusInput;
use crate::consensus::state::SubsystemEntry;
use crate::delivery::EndpointId;
use crate::front::http::{request_error, RequestError};
use crate::gateway::consensus::uptime;
use crate::gateway::history::History;
use crate::gateway::{ConnKey, Gateway, GatewayDeadline};
use crate::tenancy::replicated::changes::{
    ChangeRequest, Changes, Input, Output, Settings, Ticket,
};
use crate::tenancy::replicated::error::Refusal;
use crate::tenancy::replicated::history::HistoryEvent;
use crate::tenancy::replicated::state::Answer;
use crate::tenancy::replicated::MAX_ANSWER_BYTES;
use crate::tenancy::Tenant;

/// An administrator's request that waits until its change of a tenant is agreed on.
#[derive(Debug)]
pub(super) struct PendingAdminRequest {
    /// The administrator's connection.
    pub(super) connection: ConnKey,
    /// The authenticated caller.
    pub(super) caller: String,
    /// The request's idempotency key, if it has one, with the digests of the key and of the
    /// request.
    pub(super) key: Option<(String, [u8; 32], [u8; 32])>,
    /// The response once the change is agreed on.
    pub(super) handled: AdminResponse,
    /// The changes that follow once the change is agreed on.
    pub(super) changes: Vec<Change>,
}

/// The origin of a proposed change.
#[derive(Debug)]
enum ChangeOrigin {
    /// A request of an administrator.
    Admin(Box<PendingAdminRequest>),
    /// An endpoint that this gateway disabled after repeated failures, and its version before that.
    Disabled(EndpointId, u64),
}

/// The driver of changes of tenants; exists only while gateways agree on tenants.
#[derive(Debug)]
pub(super) struct TenantDriver {
    changes: Changes,
    /// Tenants that the operator's file names.
    listed: BTreeSet<String>,
    /// The origins of the changes that are not agreed on yet.
    origins: HashMap<Ticket, ChangeOrigin>,
    last_ticket: Ticket,
    /// Requests for the next step: a response must not be sent while its request is still being
    /// read.
    queued: VecDeque<(Ticket, ChangeRequest)>,
    /// When the scheduled deadline is due.
    scheduled_at: Option<Micros>,
    history: History,
    /// Whether the agreed tenants have been received since the start of the process.
    caught_up: bool,
}

/// Returns the digests of a caller with its idempotency key, and of its request.
pub(super) fn digests(caller: &str, key: &str, request: &[u8]) -> ([u8; 32], [u8; 32]) {
    let caller_and_key = [
        &(caller.len() as u64).to_le_bytes()[..],
        caller.as_bytes(),
        key.as_bytes(),
    ]
    .concat();
    (
        blake3::derive_key("molelug idempotency key 1", &caller_and_key),
        *blake3::hash(request).as_bytes(),
    )
}

impl Gateway {
    /// Starts to agree on tenants with the other gateways.
    pub(super) fn set_up_tenants(&mut self, now: Micros, settings: Settings, history: History) {
        self.cluster.tenants = Some(TenantDriver {
            changes: Changes::new(settings),
            listed: self.secondary.listed.clone(),
            origins: HashMap::new(),
            last_ticket: 0,
            queued: VecDeque::new(),
            scheduled_at: None,
            history,
            caught_up: false,
        });
        if let Some(driver) = &mut self.cluster.tenants {
            driver.history.record(&HistoryEvent::Begun);
        }
        self.update_agreed_tenants(now);
    }

    /// Passes the agreed tenants to [`Changes`], if they have changed.
    pub(super) fn update_agreed_tenants(&mut self, now: Micros) {
        let Some(driver) = &self.cluster.tenants else {
            return;
        };
        let Some(state) = self
            .cluster
            .consensus
            .as_ref()
            .map(|consensus| consensus.participant().state())
        else {
            return;
        };
        // Most changes of the agreed state concern shards.
        if (driver.changes.agreed().changes, driver.changes.voters())
            != (state.tenants.changes, state.voters.len())
        {
            let agreed = Input::StateChanged(Arc::new(state.tenants.clone()), state.voters.len());
            self.handle_tenants(now, agreed);
        }
    }

    /// Checks that this gateway has the tenants that all gateways agree on. A new process has only
    /// its files until it has caught up: a removed tenant or a revoked secret must not be valid
    /// again meanwhile.
    pub(super) fn knows_tenants(&mut self) -> Result<(), Refusal> {
        let Some(driver) = &mut self.cluster.tenants else {
            return Ok(());
        };
        driver.caught_up |= self
            .cluster
            .consensus
            .as_ref()
            .is_some_and(|consensus| consensus.participant().is_caught_up());
        if driver.caught_up {
            Ok(())
        } else {
            Err(Refusal::NotCaughtUp)
        }
    }

    /// Handles the deadline of the driver.
    pub(super) fn tick_tenants(&mut self, now: Micros) {
        if let Some(driver) = &mut self.cluster.tenants {
            driver.scheduled_at = None;
        }
        self.handle_tenants(now, Input::Tick);
    }

    /// Returns the agreed response to an earlier request with this idempotency key; an error if the
    /// key was used for another request.
    pub(super) fn answered_before(
        &self,
        key: &[u8; 32],
        request: &[u8; 32],
    ) -> Option<Result<Vec<u8>, RequestError>> {
        let answer = self
            .cluster
            .tenants
            .as_ref()?
            .changes
            .agreed()
            .answer(key)?;
        let conflict = request_error(409, "the Idempotency-Key is in use for another request");
        Some(if answer.request == *request {
            Ok(answer.bytes.clone())
        } else {
            Err(conflict)
        })
    }

    /// Proposes an administrator's change of a tenant; the response follows once the change is
    /// agreed on.
    pub(super) fn propose_tenant_change(
        &mut self,
        tenant: &str,
        encoded: Option<Vec<u8>>,
        pending: PendingAdminRequest,
    ) {
        let bytes = admin::answer(&Ok(pending.handled.clone()), true);
        let answer = pending
            .key
            .as_ref()
            .filter(|_| bytes.len() <= MAX_ANSWER_BYTES);
        let answer = answer.map(|(_, key, request)| Answer {
            key: *key,
            request: *request,
            bytes,
        });
        self.queue_tenant_change(
            tenant,
            encoded,
            answer,
            ChangeOrigin::Admin(Box::new(pending)),
        );
    }

    /// Proposes to all gateways to disable an endpoint that this gateway has disabled.
    pub(super) fn propose_endpoint_disabled(&mut self, now: Micros, tenant: &str, id: EndpointId) {
        let version = self
            .secondary
            .tenants
            .get(tenant)
            .and_then(|tenant| tenant.endpoint(id))
            .map(|(_, endpoint)| endpoint.version);
        let encoded = self.secondary.tenants.encode_tenant(tenant, now);
        self.queue_tenant_change(
            tenant,
            encoded,
            None,
            ChangeOrigin::Disabled(id, version.map_or(0, |version| version.saturating_sub(1))),
        );
    }

    fn queue_tenant_change(
        &mut self,
        tenant: &str,
        encoded: Option<Vec<u8>>,
        answer: Option<Answer>,
        origin: ChangeOrigin,
    ) {
        let Some(driver) = &mut self.cluster.tenants else {
            return;
        };
        driver.last_ticket += 1;
        driver.origins.insert(driver.last_ticket, origin);
        let (ticket, listed) = (driver.last_ticket, driver.listed.contains(tenant));
        driver.queued.push_back((
            ticket,
            ChangeRequest {
                tenant: tenant.to_owned(),
                encoded,
                listed,
                answer,
            },
        ));
    }

    /// Handles the next queued request; returns whether there was one.
    pub(super) fn step_tenants(&mut self, now: Micros) -> bool {
        let queued = self
            .cluster
            .tenants
            .as_mut()
            .and_then(|driver| driver.queued.pop_front());
        let Some((ticket, request)) = queued else {
            return false;
        };
        self.handle_tenants(now, Input::Change(ticket, request));
        true
    }

    /// Passes an input to [`Changes`], carries out its outputs and schedules its deadline.
    fn handle_tenants(&mut self, now: Micros, input: Input) {
        let Some(driver) = &mut self.cluster.tenants else {
            return;
        };
        driver.changes.handle(uptime(), input);
        let mut adopted = false;
        while let Some(output) = self
            .cluster
            .tenants
            .as_mut()
            .and_then(|driver| driver.changes.output())
        {
            match output {
                Output::Propose(entry) => {
                    self.handle_consensus(ConsensusInput::Submit(SubsystemEntry::Tenants(
                        Box::new(entry),
                    )));
                }
                Output::Removals(removals) => self.secondary.tenants.set_removal_count(removals),
                Output::Adopt(tenant, encoded) => {
                    adopted = true;
                    self.adopt_tenant(now, &tenant, encoded.as_deref());
                }
                Output::Done(ticket) => self.on_tenant_change_agreed(now, ticket),
                Output::Refused(ticket, refusal) => {
                    self.on_tenant_change_refused(now, ticket, &refusal)
                }
                Output::RecordEvent(event) => {
                    if let Some(driver) = &mut self.cluster.tenants {
                        driver.history.record(&event);
                    }
                }
            }
        }
        if adopted {
            // The agreed tenants apply even if their file cannot be written, which is logged.
            self.persist_tenants();
        }
        let Some(driver) = &mut self.cluster.tenants else {
            return;
        };
        let uptime = uptime();
        let next = driver
            .changes
            .next_deadline()
            .map(|at| now + at.saturating_sub(uptime).max(1));
        if let Some(old) = driver.scheduled_at.take() {
            self.core.unschedule(old, GatewayDeadline::Tenants.into());
        }
        driver.scheduled_at = next;
        if let Some(at) = next {
            self.core.schedule(at, GatewayDeadline::Tenants.into());
        }
    }

    /// Applies the agreed version of a tenant; `None` removes the tenant.
    fn adopt_tenant(&mut self, now: Micros, tenant: &str, encoded: Option<&[u8]>) {
        let before = self.secondary.tenants.clone();
        match self.secondary.tenants.adopt(now, tenant, encoded) {
            Ok(Some(adopted)) => {
                tracing::info!(tenant, removed = encoded.is_none(), "agreed tenant adopted");
                let kept = self.keep_former_version(now, &before, tenant);
                if let Err(error) = &kept {
                    tracing::error!(tenant, %error, "calls of a changed tenant may stay unanswered");
                }
                let is_kept = kept.unwrap_or(false);
                if !self.secondary.tenants.keeps_number(adopted.share.0) {
                    self.core
                        .set_tenant_quota(now, adopted.share.0, adopted.share.1);
                }
                if !is_kept {
                    self.remove_delivery_endpoints(now, &adopted.gone);
                }
                self.update_delivery_endpoints(now, tenant);
            }
            Ok(None) => {}
            Err(error) => {
                let refusal = Refusal::Unreadable {
                    tenant: tenant.to_owned(),
                    why: error.to_string(),
                };
                tracing::error!(remedy = refusal.remedy(), "{refusal}");
            }
        }
        // Adopting a removal has increased the registry's own count.
        if let Some(driver) = &self.cluster.tenants {
            self.secondary
                .tenants
                .set_removal_count(driver.changes.agreed().removals);
        }
    }

    fn on_tenant_change_agreed(&mut self, now: Micros, ticket: Ticket) {
        let origin = self
            .cluster
            .tenants
            .as_mut()
            .and_then(|driver| driver.origins.remove(&ticket));
        let Some(ChangeOrigin::Admin(pending)) = origin else {
            return;
        };
        let PendingAdminRequest {
            connection,
            caller,
            key,
            handled,
            changes,
        } = *pending;
        tracing::info!(who = caller, "tenant change agreed");
        // The tenant itself was adopted in the same way as a change of another gateway.
        let is_rotation = |change: &Change| matches!(change, Change::Rotated(..));
        changes
            .into_iter()
            .filter(is_rotation)
            .for_each(|change| self.apply_change(now, change));
        let bytes = admin::answer(&Ok(handled.clone()), true);
        self.finish_idempotency_key(key.map(|(key, ..)| (caller, key)), true, &bytes);
        self.answer_secondary_client(connection, now, |keep_open| {
            if keep_open {
                bytes
            } else {
                admin::answer(&Ok(handled), false)
            }
        });
    }

    fn on_tenant_change_refused(&mut self, now: Micros, ticket: Ticket, refusal: &Refusal) {
        tracing::warn!(remedy = refusal.remedy(), "{refusal}");
        match self
            .cluster
            .tenants
            .as_mut()
            .and_then(|driver| driver.origins.remove(&ticket))
        {
            Some(ChangeOrigin::Admin(pending)) => {
                let PendingAdminRequest {
                    connection,
                    caller,
                    key,
                    ..
                } = *pending;
                // The caller may repeat the request with the same key, whether or not the change is
                // still agreed on later.
                self.finish_idempotency_key(key.map(|(key, ..)| (caller, key)), false, &[]);
                let (status, text) = (refusal.status(), refusal.to_string());
                self.answer_secondary_client(connection, now, |keep_open| {
                    admin::problem(status, &text, Some(refusal.remedy()), keep_open)
                });
            }
            // The endpoint stays disabled, and the change is proposed again on top of the others'
            // changes, unless those changed this endpoint; likewise if the proposal timed out and
            // only this gateway knows of it.
            Some(ChangeOrigin::Disabled(id, version)) if refusal.is_retryable() => {
                let with_endpoint = |(name, tenant): (&String, &Tenant)| {
                    Some((name.clone(), tenant.endpoint(id)?.1.version))
                };
                let found = self.secondary.tenants.iter().find_map(with_endpoint);
                match found {
                    Some((tenant, current)) if current == version => {
                        self.secondary.tenants.disable(id);
                        self.propose_endpoint_disabled(now, &tenant, id);
                    }
                    Some((tenant, current)) if current == version + 1 => {
                        self.propose_endpoint_disabled(now, &tenant, id)
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod digest_tests;
#[cfg(test)]
mod fixture_tests;
