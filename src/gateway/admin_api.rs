//! The administration API: admission of callers, idempotency keys, and changes to tenants.

use std::path::PathBuf;

use super::{tenants, ConnKey, Gateway, GatewayDeadline, GatewayError, ListenerKind};
use crate::admin::idempotency::{KeyState, Keys};
use crate::admin::{self, AdminResponse, Change, Context, HandleResult};
use crate::api::Micros;
use crate::config::Admin;
use crate::front::http::{self, request_error, RequestError};
use crate::identity::TokenVerifier;
use crate::store::{error::StoreError, operations::Reply};
use crate::tenancy::Registry;

/// The administration API, while it is on.
#[derive(Debug)]
pub(super) struct AdminApi {
    gate: TokenVerifier,
    /// The file of the trust bundle.
    bundle: PathBuf,
    /// How often the trust bundle is read again.
    refresh_interval: Micros,
    /// Idempotency keys that are in use or answered.
    idempotency_keys: Keys,
}

/// A caller's request that passed admission.
struct AdmittedRequest<'a> {
    connection: ConnKey,
    request: &'a http::Request<'a>,
    caller: String,
    /// The idempotency key, if the request has one.
    key: Option<String>,
    /// The digests of the key and of the request, if it has a key.
    digests: Option<([u8; 32], [u8; 32])>,
    /// Whether the connection stays open after the response.
    keep_open: bool,
    now: Micros,
}

impl AdmittedRequest<'_> {
    fn caller_and_key(&self) -> Option<(String, String)> {
        let key = self.key.clone()?;
        Some((self.caller.clone(), key))
    }
}

impl Gateway {
    /// Sets up the administration API.
    pub(super) fn set_up_admin(&mut self, now: Micros, config: Admin) -> Result<(), GatewayError> {
        let gate = TokenVerifier::new(&config.trust_domain, &config.audience, config.roles())
            .map_err(GatewayError::Identity)?;
        self.secondary.admin = Some(AdminApi {
            gate,
            bundle: config.bundle,
            refresh_interval: config.refresh_s.max(1) * 1_000_000,
            idempotency_keys: Keys::default(),
        });
        self.listen(ListenerKind::Admin, config.listen)?;
        self.load_bundle(now);
        Ok(())
    }

    /// Reads the trust bundle and schedules the next reading, as its keys rotate. If the bundle
    /// cannot be used, the keys stay as they are.
    pub(super) fn load_bundle(&mut self, now: Micros) {
        let Some(admin) = &mut self.secondary.admin else {
            return;
        };
        let text = std::fs::read_to_string(&admin.bundle).map_err(|error| error.to_string());
        let loaded =
            text.and_then(|text| admin.gate.load(&text).map_err(|error| error.to_string()));
        if let Err(error) = loaded {
            tracing::warn!(bundle = %admin.bundle.display(), %error, "trust bundle not reloaded");
        }
        let reload_at = now + admin.refresh_interval;
        self.core
            .schedule(reload_at, GatewayDeadline::BundleReload.into());
    }

    /// Handles an administrator's request. Returns the response, unless it has to wait for the
    /// store or for other gateways.
    pub(super) fn administer(
        &mut self,
        connection: ConnKey,
        request: &http::Request<'_>,
        keep_open: bool,
        now: Micros,
    ) -> Option<Vec<u8>> {
        let caller = match self.admit_caller(request, now) {
            Ok(caller) => caller,
            Err(bad) => return Some(admin::answer(&Err(bad), keep_open)),
        };
        if let Some(response) = self.reject_before_tenants_known(request, keep_open) {
            return Some(response);
        }
        let key = request
            .header("Idempotency-Key")
            .filter(|_| request.method == "POST");
        let contents = [request.path.as_bytes(), b"\n", request.body].concat();
        let admitted = AdmittedRequest {
            connection,
            request,
            digests: key.map(|key| tenants::digests(&caller, key, &contents)),
            key: key.map(str::to_owned),
            caller,
            keep_open,
            now,
        };
        match self.begin_idempotency_key(&admitted, &contents) {
            Ok(None) => self.handle_admitted(&admitted),
            Ok(Some(response)) => Some(response),
            Err(bad) => Some(admin::answer(&Err(bad), keep_open)),
        }
    }

    fn admit_caller(
        &self,
        request: &http::Request<'_>,
        now: Micros,
    ) -> Result<String, RequestError> {
        let Some(admin) = &self.secondary.admin else {
            return Err(request_error(404, "off"));
        };
        admin::admit(request, &admin.gate, now)
    }

    /// Returns the error response to a request that concerns a tenant, while this gateway does not
    /// know the fleet's tenants.
    fn reject_before_tenants_known(
        &mut self,
        request: &http::Request<'_>,
        keep_open: bool,
    ) -> Option<Vec<u8>> {
        let refusal = self.knows_tenants().err()?;
        admin::tenant_of(request.path)?;
        let detail = refusal.to_string();
        let remedy = Some(refusal.remedy());
        Some(admin::problem(refusal.status(), &detail, remedy, keep_open))
    }

    /// Marks the request's idempotency key, if it has one, as in use. Returns the earlier response
    /// if the request has been answered before.
    fn begin_idempotency_key(
        &mut self,
        admitted: &AdmittedRequest<'_>,
        contents: &[u8],
    ) -> Result<Option<Vec<u8>>, RequestError> {
        let Some(key) = &admitted.key else {
            return Ok(None);
        };
        if !Keys::usable(key) {
            return Err(request_error(422, "an Idempotency-Key is 1 to 128 bytes"));
        }
        let Some(admin) = &mut self.secondary.admin else {
            return Err(request_error(404, "off"));
        };
        match admin
            .idempotency_keys
            .begin(&admitted.caller, key, contents, admitted.now)
        {
            KeyState::New => {}
            KeyState::Answered(response) => return Ok(Some(response)),
            KeyState::Conflict => {
                return Err(request_error(
                    409,
                    "the Idempotency-Key is in use for another request",
                ))
            }
        }
        // Another gateway may have answered the request.
        let answered = admitted
            .digests
            .and_then(|(key, request)| self.answered_before(&key, &request));
        let Some(answered) = answered else {
            return Ok(None);
        };
        self.finish_idempotency_key(admitted.caller_and_key(), false, &[]);
        let response = answered.unwrap_or_else(|bad| admin::answer(&Err(bad), admitted.keep_open));
        Ok(Some(response))
    }

    fn handle_admitted(&mut self, admitted: &AdmittedRequest<'_>) -> Option<Vec<u8>> {
        let tenants_before = self.secondary.tenants.clone();
        let mut handled = match self.handle_admin_request(admitted) {
            Ok(HandleResult::StoreRequest(operation)) => {
                let key = admitted.caller_and_key();
                match self.submit_admin_request(admitted.connection, operation, key) {
                    Ok(()) => return None,
                    Err(bad) => Err(bad),
                }
            }
            Ok(HandleResult::Now(handled)) => Ok(handled),
            Err(bad) => Err(bad),
        };
        let changes = handled
            .as_mut()
            .map_or(Vec::new(), |handled| std::mem::take(&mut handled.changes));
        if self.cluster.tenants.is_some() && changes.iter().any(Change::is_kept) {
            if let Ok(handled) = handled {
                self.propose_change(admitted, tenants_before, handled, changes);
            }
            return None;
        }
        let handled = self.apply_changes(admitted, tenants_before, handled, changes);
        let response = admin::answer(&handled, admitted.keep_open);
        let key = admitted.caller_and_key();
        self.finish_idempotency_key(key, is_final(&handled), &response);
        Some(response)
    }

    fn handle_admin_request(
        &mut self,
        admitted: &AdmittedRequest<'_>,
    ) -> Result<HandleResult, RequestError> {
        let fleet = match admitted.request.path {
            "/v1/peers" => self.gossip_view(admitted.now),
            "/v1/council" | "/v1/council/voters" => self.consensus_view(),
            "/v1/duties" => self.leases_view(),
            _ => serde_json::Value::Null,
        };
        let webhooks = &self.secondary.webhooks;
        let health = |id| webhooks.as_ref().and_then(|webhooks| webhooks.health(id));
        let mut context = Context {
            tenants: &mut self.secondary.tenants,
            counters: &self.core.counters,
            health: &health,
            subsystem_view: fleet,
            now: admitted.now,
        };
        admin::handle(admitted.request, &admitted.caller, &mut context)
    }

    /// Proposes a change of a tenant to the fleet, and undoes it here until it is agreed on.
    fn propose_change(
        &mut self,
        admitted: &AdmittedRequest<'_>,
        tenants_before: Registry,
        handled: AdminResponse,
        changes: Vec<Change>,
    ) {
        let Some(tenant) = admin::tenant_of(admitted.request.path) else {
            return;
        };
        let changed = self.secondary.tenants.encode_tenant(tenant, admitted.now);
        self.secondary.tenants = tenants_before;
        let key = admitted
            .key
            .clone()
            .zip(admitted.digests)
            .map(|(key, (key_digest, request_digest))| (key, key_digest, request_digest));
        let pending = tenants::PendingAdminRequest {
            connection: admitted.connection,
            caller: admitted.caller.clone(),
            key,
            handled,
            changes,
        };
        self.propose_tenant_change(tenant, changed, pending);
    }

    /// Writes the changed tenants to their file and applies the changes that follow. If the file
    /// cannot be written, the change is undone.
    fn apply_changes(
        &mut self,
        admitted: &AdmittedRequest<'_>,
        tenants_before: Registry,
        handled: Result<AdminResponse, RequestError>,
        changes: Vec<Change>,
    ) -> Result<AdminResponse, RequestError> {
        if changes.is_empty() {
            return handled;
        }
        let tenant = admin::tenant_of(admitted.request.path).unwrap_or_default();
        let kept = self.keep_former_version(admitted.now, &tenants_before, tenant);
        let Ok(is_kept) = kept else {
            self.secondary.tenants = tenants_before;
            return Err(request_error(503, "too many changes wait for calls to end"));
        };
        if !self.persist_tenants() {
            self.secondary.tenants = tenants_before;
            return Err(request_error(500, "the change could not be kept"));
        }
        tracing::info!(
            caller = admitted.caller,
            method = admitted.request.method,
            path = admitted.request.path,
            "administration request applied"
        );
        for change in changes {
            // What is still owed is removed once nothing is.
            if !(is_kept && self.is_removal(&change)) {
                self.apply_change(admitted.now, change);
            }
        }
        handled
    }

    /// Returns whether a change follows from the removal of a tenant, or of one of its endpoints.
    fn is_removal(&self, change: &Change) -> bool {
        match change {
            Change::Removed(_) => true,
            Change::QuotaChanged(number, _) => self.secondary.tenants.keeps_number(*number),
            Change::Endpoints(_) | Change::Voters { .. } => false,
            Change::Rotated(..) | Change::Test(..) => false,
        }
    }

    /// Releases a caller's idempotency key, and stores the response with it if the response is
    /// final.
    pub(super) fn finish_idempotency_key(
        &mut self,
        key: Option<(String, String)>,
        is_final: bool,
        response: &[u8],
    ) {
        if let (Some((caller, key)), Some(admin)) = (key, &mut self.secondary.admin) {
            admin
                .idempotency_keys
                .end(&caller, &key, is_final.then_some(response));
        }
    }

    /// Answers an administrator's request with the store's reply.
    pub(super) fn answer_stored(
        &mut self,
        now: Micros,
        conn: ConnKey,
        limit: Option<usize>,
        key: Option<(String, String)>,
        reply: Result<Reply, StoreError>,
    ) {
        let handled = admin::messages::answer(limit, reply);
        let bytes = admin::answer(&handled, true);
        self.finish_idempotency_key(key, is_final(&handled), &bytes);
        self.answer_secondary_client(conn, now, |keep_open| {
            if keep_open {
                bytes
            } else {
                admin::answer(&handled, false)
            }
        });
    }

    /// Applies a change that follows from an administrator's request.
    pub(super) fn apply_change(&mut self, now: Micros, change: Change) {
        match change {
            Change::QuotaChanged(tenant, per_s) => self.core.set_tenant_quota(now, tenant, per_s),
            Change::Endpoints(tenant) => self.update_delivery_endpoints(now, &tenant),
            Change::Voters { joins, leaves } => self.exchange_voters(now, joins, leaves),
            Change::Removed(ids) => self.remove_delivery_endpoints(now, &ids),
            Change::Rotated(tenant, endpoint) => {
                let data = serde_json::json!({ "endpoint": endpoint });
                self.publish_operational_event(now, &tenant, None, "secret.rotated", &data);
            }
            Change::Test(tenant, endpoint) => {
                let data = serde_json::json!({ "endpoint": endpoint });
                self.publish_operational_event(
                    now,
                    &tenant,
                    Some(&endpoint),
                    "endpoint.test",
                    &data,
                );
            }
        }
    }
}

/// Whether a request with the same idempotency key gets the same response from now on.
fn is_final(handled: &Result<AdminResponse, RequestError>) -> bool {
    match handled {
        Ok(_) => true,
        Err(bad) => bad.status < 500,
    }
}
