//! The second front's listeners: requests off their connections, and the administration API.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use super::tenants;
use super::webhooks::{refuse, WebhookDriver};
use super::*;
use crate::admin::{
    self, idempotency::Keys, idempotency::Known, Change, Context, Done as Handling,
};
use crate::config::ConfigError;
use crate::front::http::{self, plain, Bad};
use crate::identity::Gate;
use crate::net::KEPT_FRAME;
use crate::store::error::StoreError;
use crate::store::operations::Reply;
use crate::tenancy::{Registry, TenantError};

/// All that belongs to the second front.
#[derive(Debug, Default)]
pub(super) struct SecondaryListeners {
    pub(super) tenants: Registry,
    /// Tenants that the operator's file names.
    pub(super) listed: BTreeSet<String>,
    /// Where tenants are kept.
    state: Option<PathBuf>,
    pub(super) hooks: Option<WebhookDriver>,
    admin: Option<AdminSide>,
}

/// The administration API, while it is on.
#[derive(Debug)]
struct AdminSide {
    gate: Gate,
    bundle: PathBuf,
    refresh: Micros,
    keys: Keys,
}

impl Gateway {
    /// Sets up what an operator's file asks for.
    pub(super) fn set_up(&mut self, now: Micros, operator: Operator) -> Result<(), GatewayError> {
        let shares = self.config.settings.tenants.iter().map(|t| t.quota_per_s);
        let platform: Vec<_> = self
            .config
            .names
            .tenants
            .iter()
            .cloned()
            .zip(shares)
            .collect();
        self.secondary.tenants = operator
            .registry(&platform)
            .map_err(GatewayError::Operator)?;
        self.secondary.listed = self
            .secondary
            .tenants
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        self.secondary.state = operator.state;
        if let Some(path) = self.secondary.state.as_ref().filter(|p| p.exists()) {
            let text = std::fs::read_to_string(path);
            let text =
                text.map_err(|e| GatewayError::Operator(ConfigError::Read(path.clone(), e)))?;
            let bad = |e: TenantError| {
                GatewayError::Operator(ConfigError::Parse(path.clone(), e.to_string()))
            };
            self.secondary.tenants.restore(&text).map_err(bad)?;
        }
        for (tenant, per_s) in self.secondary.tenants.shares() {
            self.core.share(now, tenant, per_s);
        }
        if let Some(w) = operator.webhooks {
            self.set_up_webhooks(now, w)?;
        }
        if let Some(a) = operator.admin {
            let gate = Gate::new(&a.trust_domain, &a.audience, a.roles())
                .map_err(GatewayError::Identity)?;
            let refresh = a.refresh_s.max(1) * 1_000_000;
            self.secondary.admin = Some(AdminSide {
                gate,
                bundle: a.bundle,
                refresh,
                keys: Keys::default(),
            });
            self.listen(Kind::Admin, a.listen)?;
            self.load_bundle(now);
        }
        Ok(())
    }

    /// Reads the trust bundle, now and again: keys rotate. One that cannot be read leaves the keys held.
    pub(super) fn load_bundle(&mut self, now: Micros) {
        let Some(admin) = &mut self.secondary.admin else {
            return;
        };
        let text = std::fs::read_to_string(&admin.bundle).map_err(|e| e.to_string());
        if let Err(e) = text.and_then(|t| admin.gate.load(&t).map_err(|e| e.to_string())) {
            tracing::warn!(bundle = %admin.bundle.display(), "the trust bundle stays as it is: {e}");
        }
        let again = now + admin.refresh;
        self.core.hang(again, BUNDLE_AGAIN);
    }

    /// Answers what has come on a webhook's or administrator's connection.
    pub(super) fn on_second(&mut self, key: ConnKey, now: Micros) {
        loop {
            let Some((conn, Role::Client { kind, keep, open })) = self.connections.get_mut(key)
            else {
                return;
            };
            if open.is_some() || conn.closing || conn.hold_back() {
                return;
            }
            let kind = *kind;
            let accepting = self.ops.life.keeps_alive(now);
            // The request borrows the connection's buffer, which is put back once it is answered.
            let mut input = std::mem::take(&mut conn.input);
            let (size, bytes, stays, malformed) = match http::request(input.bytes()) {
                Ok(None) => {
                    conn.input = input;
                    if conn.refill(http::READ_LIMIT) {
                        continue;
                    }
                    if conn.ended {
                        self.ready.push(key);
                    }
                    return;
                }
                Ok(Some(r)) => {
                    let stays = r.keep && accepting;
                    *keep = stays;
                    let bytes = match kind {
                        Kind::Admin => self.administer(key, &r, stays, now),
                        _ => self.take_webhook(key, &r, stays, now),
                    };
                    (r.size, bytes, stays, false)
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    (0, Some(refuse(&bad, false)), false, true)
                }
            };
            input.consume(size);
            let Some((conn, Role::Client { open, .. })) = self.connections.get_mut(key) else {
                return;
            };
            conn.input = input;
            let Some(bytes) = bytes else {
                *open = Some(PendingResponse::Store);
                return self.set_deadline(key, None);
            };
            conn.out.push(KEPT_FRAME, bytes);
            (conn.closing, conn.linger) = (!stays, malformed);
            self.dirty.push(key);
            self.set_deadline(
                key,
                Some(now + if malformed { LINGER } else { CLIENT_IDLE }),
            );
        }
    }

    fn administer(
        &mut self,
        conn: ConnKey,
        r: &http::Request<'_>,
        stays: bool,
        now: Micros,
    ) -> Option<Vec<u8>> {
        let problem = |bad: Bad| Some(admin::answer(&Err(bad), stays));
        let admitted = self
            .secondary
            .admin
            .as_ref()
            .map(|side| admin::admit(r, &side.gate, now));
        let who = match admitted.unwrap_or(Err(plain(404, "off"))) {
            Ok(who) => who,
            Err(bad) => return problem(bad),
        };
        if let Err(why) = self.knows_tenants() {
            if admin::tenant_of(r.path).is_some() {
                return Some(admin::problem(
                    why.status(),
                    &why.to_string(),
                    Some(why.remedy()),
                    stays,
                ));
            }
        }
        let key = r.header("Idempotency-Key").filter(|_| r.method == "POST");
        let request = [r.path.as_bytes(), b"\n", r.body].concat();
        let digests = key.map(|key| tenants::digests(&who, key, &request));
        if let Some(key) = key {
            if !Keys::usable(key) {
                return problem(plain(422, "an Idempotency-Key is 1 to 128 bytes"));
            }
            let Some(side) = &mut self.secondary.admin else {
                return problem(plain(404, "off"));
            };
            match side.keys.begin(&who, key, &request, now) {
                Known::New => {}
                Known::Answered(bytes) => return Some(bytes),
                Known::Conflict => {
                    return problem(plain(
                        409,
                        "the Idempotency-Key is in use for another request",
                    ))
                }
            }
        }
        // Another gateway may have answered it.
        if let Some(answer) = digests.and_then(|(whose, what)| self.answered_before(&whose, &what))
        {
            self.end_key(key.map(|k| (who, k.to_owned())), false, &[]);
            return Some(answer.unwrap_or_else(|bad| admin::answer(&Err(bad), stays)));
        }
        let before = self.secondary.tenants.clone();
        let fleet = match r.path {
            "/v1/peers" => self.peers(now),
            "/v1/council" | "/v1/council/voters" => self.council_view(),
            "/v1/duties" => self.duties_view(),
            _ => serde_json::Value::Null,
        };
        let hooks = &self.secondary.hooks;
        let health = |id| hooks.as_ref().and_then(|h| h.health(id));
        let counters = &self.core.counters;
        let mut cx = Context {
            tenants: &mut self.secondary.tenants,
            counters,
            health: &health,
            fleet,
            now,
        };
        let handled = admin::handle(r, &who, &mut cx);
        let key = key.map(|key| (who.clone(), key.to_owned()));
        let mut handled = match handled {
            Ok(Handling::Ask(op)) => match self.ask_for_admin(conn, op, key.clone()) {
                Ok(()) => return None,
                Err(bad) => Err(bad),
            },
            Ok(Handling::Now(handled)) => Ok(handled),
            Err(bad) => Err(bad),
        };
        let changes = handled
            .as_mut()
            .map_or(Vec::new(), |h| std::mem::take(&mut h.changes));
        if self.cluster.tenants.is_some() && changes.iter().any(Change::is_kept) {
            if let (Ok(handled), Some(tenant)) = (handled, admin::tenant_of(r.path)) {
                // As it would be; it is so once all agree.
                let kept = self.secondary.tenants.told(tenant, now);
                self.secondary.tenants = before;
                let key = key
                    .zip(digests)
                    .map(|((_, key), (whose, what))| (key, whose, what));
                self.agree_on(
                    tenant,
                    kept,
                    tenants::Asker {
                        conn,
                        who,
                        key,
                        handled,
                        changes,
                    },
                );
            }
            return None;
        }
        if !changes.is_empty() && !self.keep_tenants() {
            // A change that would be forgotten is not made.
            self.secondary.tenants = before;
            handled = Err(plain(500, "the change could not be kept"));
        } else {
            if !changes.is_empty() {
                tracing::info!(who, method = r.method, path = r.path, "administered");
            }
            changes
                .into_iter()
                .for_each(|change| self.follow(now, change));
        }
        let bytes = admin::answer(&handled, stays);
        self.end_key(
            key,
            handled
                .as_ref()
                .map_or_else(|bad| bad.status < 500, |_| true),
            &bytes,
        );
        Some(bytes)
    }

    pub(super) fn end_key(
        &mut self,
        key: Option<(String, String)>,
        final_answer: bool,
        bytes: &[u8],
    ) {
        if let (Some((who, key)), Some(side)) = (key, &mut self.secondary.admin) {
            side.keys.end(&who, &key, final_answer.then_some(bytes));
        }
    }

    /// What the store said makes an administrator's answer.
    pub(super) fn answer_asked(
        &mut self,
        now: Micros,
        conn: ConnKey,
        limit: Option<usize>,
        key: Option<(String, String)>,
        reply: Result<Reply, StoreError>,
    ) {
        let handled = admin::messages::answer(limit, reply);
        let good = handled
            .as_ref()
            .map_or_else(|bad| bad.status < 500, |_| true);
        let bytes = admin::answer(&handled, true);
        self.end_key(key, good, &bytes);
        self.answer_second(conn, now, |stays| {
            if stays {
                bytes
            } else {
                admin::answer(&handled, false)
            }
        });
    }

    pub(super) fn follow(&mut self, now: Micros, change: Change) {
        match change {
            Change::Share(tenant, per_s) => self.core.share(now, tenant, per_s),
            Change::Endpoints(tenant) => self.tell_endpoints(now, &tenant),
            Change::Voters { joins, leaves } => self.exchange_voters(now, joins, leaves),
            Change::Removed(ids) => self.forget_endpoints(now, &ids),
            Change::Rotated(tenant, endpoint) => {
                let data = serde_json::json!({ "endpoint": endpoint });
                self.tell_tenant(now, &tenant, None, "secret.rotated", &data);
            }
            Change::Test(tenant, endpoint) => {
                let data = serde_json::json!({ "endpoint": endpoint });
                self.tell_tenant(now, &tenant, Some(&endpoint), "endpoint.test", &data);
            }
        }
    }

    /// Writes the tenants to their file, if they have one; `false` if that failed.
    pub(super) fn keep_tenants(&self) -> bool {
        let Some(path) = &self.secondary.state else {
            return true;
        };
        match keep(path, &self.secondary.tenants.state()) {
            Ok(()) => true,
            Err(e) => {
                tracing::error!(file = %path.display(), "cannot be written: {e}");
                false
            }
        }
    }
}

/// Writes a file for its owner alone, whole or not at all.
fn keep(path: &Path, text: &str) -> std::io::Result<()> {
    let fresh = path.with_extension("new");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&fresh)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&fresh, path)
}
