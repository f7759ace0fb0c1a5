//! The secondary listeners, for webhooks and the administration API: their requests, and the
//! tenants.

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use super::admin_api::AdminApi;
use super::client_turns::MAX_REQUESTS_PER_TURN;
use super::clients::{ReadProgress, CLIENT_IDLE_TIMEOUT, LINGER_TIMEOUT};
use super::webhooks::{refuse, WebhookDriver};
use super::{ConnKey, Gateway, GatewayError, ListenerKind, PendingResponse, Role};
use crate::api::Micros;
use crate::config::{ConfigError, Operator};
use crate::front::http;
use crate::net::UNTAGGED_FRAME;
use crate::tenancy::{Registry, TenantError, TenantMatching};

/// The tenants and the drivers behind the secondary listeners.
#[derive(Debug, Default)]
pub(super) struct SecondaryListeners {
    pub(super) tenants: Registry,
    /// Tenants that the operator's file names.
    pub(super) listed: BTreeSet<String>,
    /// The file that tenants are written to, if one is configured.
    state_file: Option<PathBuf>,
    /// How tenants are recognized as those of the previous process.
    pub(super) tenant_matching: TenantMatching,
    /// Who decides on the tenants.
    pub(super) tenant_agreement: TenantAgreement,
    /// When the former versions of tenants are checked next.
    pub(super) former_check_at: Option<Micros>,
    pub(super) webhooks: Option<WebhookDriver>,
    pub(super) admin: Option<AdminApi>,
}

/// Who decides on the tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TenantAgreement {
    /// This gateway's files.
    #[default]
    None,
    /// All gateways together.
    AmongGateways,
}

/// A request of a secondary listener's client that has been handled.
struct HandledRequest {
    /// The size of the request.
    size_bytes: usize,
    /// The response; `None` while it waits for the store or for other gateways.
    response: Option<Vec<u8>>,
    /// Whether the connection stays open after the response.
    keep_open: bool,
    /// Whether the input could not be parsed as a request.
    malformed: bool,
}

impl Gateway {
    /// Sets up the tenants, webhooks and administration API of the operator's file.
    pub(super) fn set_up_secondary(
        &mut self,
        now: Micros,
        operator: Operator,
        tenant_agreement: TenantAgreement,
    ) -> Result<(), GatewayError> {
        self.load_tenants(&operator)?;
        self.secondary.tenant_agreement = tenant_agreement;
        if tenant_agreement == TenantAgreement::AmongGateways {
            // The other gateways know a tenant by the serial number that follows from its name.
            self.secondary.tenant_matching = TenantMatching::BySerial;
        }
        for (tenant, quota_per_s) in self.secondary.tenants.shares() {
            self.core.set_tenant_quota(now, tenant, quota_per_s);
        }
        if let Some(webhooks) = operator.webhooks {
            self.set_up_webhooks(now, webhooks)?;
        }
        if let Some(admin) = operator.admin {
            self.set_up_admin(now, admin)?;
        }
        Ok(())
    }

    /// Loads the tenants of the settings, of the operator's file and of the tenants' state file.
    fn load_tenants(&mut self, operator: &Operator) -> Result<(), GatewayError> {
        let names = self.config.names.tenants.iter().cloned();
        let settings = self.config.settings.tenants.iter();
        let quotas = settings.map(|tenant| tenant.quota_per_s);
        let platform: Vec<_> = names.zip(quotas).collect();
        let secondary = &mut self.secondary;
        secondary.tenants = operator
            .registry(&platform)
            .map_err(GatewayError::Operator)?;
        secondary.listed = secondary
            .tenants
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        secondary.state_file = operator.state.clone();
        let Some(path) = secondary.state_file.as_ref().filter(|path| path.exists()) else {
            return Ok(());
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| GatewayError::Operator(ConfigError::Read(path.clone(), error)))?;
        let parse_error = |error: TenantError| {
            GatewayError::Operator(ConfigError::Parse(path.clone(), error.to_string()))
        };
        secondary.tenant_matching = TenantMatching::BySerial;
        secondary.tenants.restore(&text).map_err(parse_error)
    }

    /// Handles the requests received on a connection of a secondary listener, up to one that waits
    /// for its answer or to the end of the client's turn.
    pub(super) fn read_secondary_requests(&mut self, key: ConnKey, now: Micros) {
        for _ in 0..MAX_REQUESTS_PER_TURN {
            if self.read_secondary_request(key, now) == ReadProgress::Stop {
                return;
            }
        }
        self.await_turn(key);
    }

    fn read_secondary_request(&mut self, key: ConnKey, now: Micros) -> ReadProgress {
        let Some((connection, Role::Client { kind, pending, .. })) = self.connections.get_mut(key)
        else {
            return ReadProgress::Stop;
        };
        if pending.is_some() || connection.closing || connection.pause_if_backlogged() {
            return ReadProgress::Stop;
        }
        let kind = *kind;
        // The request borrows the connection's input, which is put back after the request is
        // handled.
        let mut input = std::mem::take(&mut connection.input);
        let handled = match http::request(input.bytes()) {
            Ok(None) => {
                connection.input = input;
                return self.await_rest_of_secondary_request(key);
            }
            Ok(Some(request)) => self.handle_secondary_request(key, kind, &request, now),
            Err(bad) => {
                self.core.counters.bad_requests += 1;
                HandledRequest {
                    size_bytes: 0,
                    response: Some(refuse(&bad, false)),
                    keep_open: false,
                    malformed: true,
                }
            }
        };
        input.consume(handled.size_bytes);
        if let Some((connection, _)) = self.connections.get_mut(key) {
            connection.input = input;
        }
        self.respond_to_secondary(key, now, handled)
    }

    /// Waits for the rest of a partial request.
    fn await_rest_of_secondary_request(&mut self, key: ConnKey) -> ReadProgress {
        let connection = self.connections.get(key);
        if connection.is_some_and(|(connection, _)| connection.has_more_input) {
            self.await_turn(key);
        }
        ReadProgress::Stop
    }

    fn handle_secondary_request(
        &mut self,
        key: ConnKey,
        kind: ListenerKind,
        request: &http::Request<'_>,
        now: Micros,
    ) -> HandledRequest {
        let keep_open = request.keep_alive && self.ops.lifecycle.keeps_alive(now);
        if let Some((_, Role::Client { keep_alive, .. })) = self.connections.get_mut(key) {
            *keep_alive = keep_open;
        }
        let response = match kind {
            ListenerKind::Admin => self.administer(key, request, keep_open, now),
            ListenerKind::Webhook if self.is_out_of_memory() => {
                self.core.counters.rejected_for_memory += 1;
                Some(refuse(
                    &http::request_error(503, "out of memory"),
                    keep_open,
                ))
            }
            ListenerKind::Platform | ListenerKind::Webhook => {
                self.handle_webhook_request(key, request, keep_open, now)
            }
        };
        HandledRequest {
            size_bytes: request.size,
            response,
            keep_open,
            malformed: false,
        }
    }

    fn respond_to_secondary(
        &mut self,
        key: ConnKey,
        now: Micros,
        handled: HandledRequest,
    ) -> ReadProgress {
        let Some((connection, Role::Client { pending, .. })) = self.connections.get_mut(key) else {
            return ReadProgress::Stop;
        };
        let Some(response) = handled.response else {
            *pending = Some(PendingResponse::Store);
            self.set_deadline(key, None);
            return ReadProgress::Stop;
        };
        connection.outbox.push(UNTAGGED_FRAME, response);
        connection.closing = !handled.keep_open;
        connection.linger = handled.malformed;
        self.dirty.push(key);
        let timeout = if handled.malformed {
            LINGER_TIMEOUT
        } else {
            CLIENT_IDLE_TIMEOUT
        };
        self.set_deadline(key, Some(now + timeout));
        ReadProgress::Continue
    }

    /// Writes the tenants to their state file, if one is configured, and to the store; returns
    /// `false` if the file cannot be written.
    pub(super) fn persist_tenants(&mut self) -> bool {
        if let Some(path) = &self.secondary.state_file {
            if let Err(error) = write_private_file(path, &self.secondary.tenants.state()) {
                tracing::error!(file = %path.display(), %error, "tenants cannot be written");
                return false;
            }
        }
        self.store_tenants();
        true
    }

    /// Writes the tenants after former versions were dropped. This does not create a state file,
    /// which would replace the tenants of the operator's file.
    pub(super) fn persist_dropped_versions(&mut self) {
        let state_file = self.secondary.state_file.as_ref();
        if state_file.is_some_and(|path| path.exists()) {
            self.persist_tenants();
        } else {
            self.store_tenants();
        }
    }
}

/// Writes a file that only its owner can read, completely or not at all.
fn write_private_file(path: &Path, text: &str) -> std::io::Result<()> {
    let new_path = path.with_extension("new");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&new_path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&new_path, path)
}
