//! The second front's side of the gateway: signed webhooks, their callbacks, and the administration API.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use slotmap::{new_key_type, Key, SlotMap};

use super::{ConnKey, Kind, Node, NodeError, Origin, Role, BUNDLE_AGAIN, CALLBACK, CLIENT_IDLE, LINGER};
use crate::admin;
use crate::api::Micros;
use crate::config::{ConfigError, Operator};
use crate::core::{Answer, Token};
use crate::ending::{Ending, Left};
use crate::front::http::{self, plain, Bad};
use crate::front::webhook::callback::{Callback, Next};
use crate::front::webhook::inbound::{Inbound, Job};
use crate::front::webhook::replay::Replays;
use crate::identity::Gate;
use crate::net::{self, KEPT_FRAME};
use crate::tenants::TenantError;

new_key_type! {
    /// The slot of a call that came as a webhook.
    pub(super) struct JobKey;
    /// The slot of a callback.
    pub(super) struct CallbackKey;
}

/// The frame of a callback on its connection; the only one.
pub(super) const CALLBACK_FRAME: u64 = 1;
/// Connections to portals at once.
const MOST_PORTALS: usize = 64;
/// How long a callback waits for one of them.
const PORTAL_PAUSE: Micros = 50_000;

/// Webhooks, while they are on.
#[derive(Debug)]
pub(super) struct Hooks {
    inbound: Inbound,
    /// Each with the identity that workers were told.
    jobs: SlotMap<JobKey, (Job, String)>,
    callbacks: SlotMap<CallbackKey, Callback>,
    portals: usize,
    pending: usize,
    window: Micros,
    answer_limit: Micros,
}

impl Hooks {
    /// Whether nothing taken is without its delivered or given-up callback.
    pub(super) fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.callbacks.is_empty()
    }
}

/// The administration API, while it is on.
#[derive(Debug)]
pub(super) struct AdminSide {
    gate: Gate,
    bundle: PathBuf,
    refresh: Micros,
}

impl Node {
    /// Sets up what an operator's file asks for.
    pub(super) fn set_up(&mut self, now: Micros, operator: Operator) -> Result<(), NodeError> {
        let shares = self.config.settings.tenants.iter().map(|t| t.quota_per_s);
        let platform: Vec<_> = self.config.names.tenants.iter().cloned().zip(shares).collect();
        self.tenants = operator.registry(&platform).map_err(NodeError::Operator)?;
        self.state = operator.state;
        if let Some(path) = self.state.as_ref().filter(|p| p.exists()) {
            let text = std::fs::read_to_string(path);
            let text = text.map_err(|e| NodeError::Operator(ConfigError::Read(path.clone(), e)))?;
            let bad = |e: TenantError| NodeError::Operator(ConfigError::Parse(path.clone(), e.to_string()));
            self.tenants.restore(&text).map_err(bad)?;
        }
        for (tenant, per_s) in self.tenants.shares() {
            self.core.share(now, tenant, per_s);
        }
        if let Some(w) = operator.webhooks {
            let replays = match &w.replay_file {
                Some(path) => Replays::open(path, w.replay_entries, now)
                    .map_err(|e| NodeError::Operator(ConfigError::Read(path.clone(), e)))?,
                None => Replays::new(w.replay_entries),
            };
            self.hooks = Some(Hooks {
                inbound: Inbound {
                    tolerance_s: w.tolerance_s,
                    started: w.replay_file.is_none().then_some(now),
                    replays,
                    seed: self.config.seed,
                    classes: self.config.settings.classes.clone(),
                },
                jobs: SlotMap::with_key(),
                callbacks: SlotMap::with_key(),
                portals: 0,
                pending: w.pending,
                window: w.callback_window_ms * 1000,
                answer_limit: w.callback_answer_ms * 1000,
            });
            self.listen(Kind::Webhook, w.listen)?;
        }
        if let Some(a) = operator.admin {
            let gate = Gate::new(&a.trust_domain, &a.audience, a.roles()).map_err(NodeError::Identity)?;
            self.admin = Some(AdminSide { gate, bundle: a.bundle, refresh: a.refresh_s.max(1) * 1_000_000 });
            self.listen(Kind::Admin, a.listen)?;
            self.load_bundle(now);
        }
        Ok(())
    }

    /// Reads the trust bundle, now and again: keys rotate. One that cannot be read leaves the keys held.
    pub(super) fn load_bundle(&mut self, now: Micros) {
        let Some(admin) = &mut self.admin else { return };
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
            let Some((conn, Role::Client { kind, keep, .. })) = self.conns.get_mut(key) else { return };
            if conn.closing || conn.hold_back() {
                return;
            }
            let kind = *kind;
            let accepting = !self.listeners.is_empty();
            // The request borrows the connection's buffer, which is put back once it is answered.
            let mut input = std::mem::take(&mut conn.input);
            let (size, bytes, stays, malformed) = match http::request(input.bytes()) {
                Ok(None) => {
                    conn.input = input;
                    if conn.refill(http::READ_LIMIT) {
                        continue;
                    }
                    return;
                }
                Ok(Some(r)) => {
                    let stays = r.keep && accepting;
                    *keep = stays;
                    let bytes = match kind {
                        Kind::Admin => self.administer(&r, stays, now),
                        _ => self.take_webhook(&r, stays, now),
                    };
                    (r.size, bytes, stays, false)
                }
                Err(bad) => {
                    self.core.counters.bad_requests += 1;
                    (0, refuse(&bad, false), false, true)
                }
            };
            input.consume(size);
            let Some((conn, _)) = self.conns.get_mut(key) else { return };
            conn.input = input;
            conn.out.push(KEPT_FRAME, bytes);
            (conn.closing, conn.linger) = (!stays, malformed);
            self.dirty.push(key);
            self.set_deadline(key, Some(now + if malformed { LINGER } else { CLIENT_IDLE }));
        }
    }

    fn administer(&mut self, r: &http::Request<'_>, stays: bool, now: Micros) -> Vec<u8> {
        let Some(side) = &self.admin else { return refuse(&plain(404, "off"), stays) };
        let before =
            self.state.as_ref().filter(|_| r.method != "GET").map(|path| (path, self.tenants.clone()));
        let mut handled = admin::handle(r, &side.gate, &mut self.tenants, &self.core.counters, now);
        if let (Some((path, before)), true) = (before, handled.is_ok()) {
            // A change that would be forgotten is not made.
            if let Err(e) = keep(path, &self.tenants.state()) {
                tracing::error!(file = %path.display(), "cannot be written: {e}");
                self.tenants = before;
                handled = Err(plain(500, "the change could not be kept"));
            }
        }
        if let Some(share) = handled.as_ref().ok().and_then(|h| h.share) {
            self.core.share(now, share.tenant, share.per_s);
        }
        admin::answer(&handled, stays)
    }

    fn take_webhook(&mut self, r: &http::Request<'_>, stays: bool, now: Micros) -> Vec<u8> {
        let Some(hooks) = &mut self.hooks else { return refuse(&plain(404, "off"), stays) };
        // Taken only with room for its callback: what got a 202 is owed one.
        let full = hooks.jobs.len() + hooks.callbacks.len() >= hooks.pending;
        let taken = if full {
            Err(plain(503, "too many calls under way"))
        } else {
            hooks.inbound.take(r, &self.tenants, &self.config.names, now)
        };
        match taken {
            Ok(call) => {
                let job = hooks.jobs.insert((call.origin.clone(), call.id.to_string()));
                self.core.counters.webhooks_taken += 1;
                self.core.call(now, call.with(Origin::Webhook(job)));
                http::response(202, "", b"", stays)
            }
            Err(bad) => {
                self.core.counters.webhooks_refused += 1;
                refuse(&bad, stays)
            }
        }
    }

    /// A webhook's call has its final answer: the one callback for it begins.
    pub(super) fn call_back(&mut self, now: Micros, job: JobKey, answer: &Answer) {
        let Some(hooks) = &mut self.hooks else { return };
        let Some((job, id)) = hooks.jobs.remove(job) else { return };
        let expires = now + hooks.window;
        let key = hooks.callbacks.insert(Callback::new(&job, &id, answer, now, expires));
        self.deliver(now, key);
    }

    /// Begins an attempt at a callback.
    pub(super) fn deliver(&mut self, now: Micros, key: CallbackKey) {
        let Some(hooks) = &mut self.hooks else { return };
        let Some(callback) = hooks.callbacks.get_mut(key) else { return };
        let tenant = self.tenants.same(&callback.tenant, callback.serial);
        let Some(tenant) = tenant.filter(|_| now < callback.expires) else {
            let next = callback.given_up();
            return self.settle(key, next);
        };
        if hooks.portals >= MOST_PORTALS {
            let again = Token { kind: CALLBACK, number: key.data().as_ffi() };
            return self.core.hang((now + PORTAL_PAUSE).min(callback.expires), again);
        }
        let deadline = (now + hooks.answer_limit).min(callback.expires);
        let address = tenant.portal.as_ref().map(|p| p.address);
        let (Some(address), Some(bytes)) = (address, callback.attempt(tenant, now)) else {
            let next = callback.given_up();
            return self.settle(key, next);
        };
        hooks.portals += 1;
        let opened = net::connect(address).and_then(|s| self.add(s, false, Role::Portal(key)));
        match opened {
            Ok(conn_key) => {
                if let Some((conn, _)) = self.conns.get_mut(conn_key) {
                    conn.out.push(CALLBACK_FRAME, bytes);
                }
                self.set_deadline(conn_key, Some(deadline));
            }
            Err(e) => {
                let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
                let ending = if refused { Ending::Refused } else { Ending::NeverUp };
                self.delivered(now, key, ending, Left::Nothing);
            }
        }
    }

    /// An attempt at a callback has ended.
    pub(super) fn delivered(&mut self, now: Micros, key: CallbackKey, ending: Ending, left: Left) {
        let Some(hooks) = &mut self.hooks else { return };
        hooks.portals = hooks.portals.saturating_sub(1);
        let Some(callback) = hooks.callbacks.get_mut(key) else { return };
        match callback.ended(now, ending, left) {
            Next::Again(at) => self.core.hang(at, Token { kind: CALLBACK, number: key.data().as_ffi() }),
            next => self.settle(key, next),
        }
    }

    fn settle(&mut self, key: CallbackKey, next: Next) {
        if let Some(hooks) = &mut self.hooks {
            hooks.callbacks.remove(key);
        }
        let counters = &mut self.core.counters;
        match next {
            Next::Delivered => counters.callbacks_delivered += 1,
            Next::Unknown => counters.callbacks_unknown += 1,
            Next::Undelivered | Next::Again(_) => counters.callbacks_undelivered += 1,
        }
    }
}

/// Writes a file for its owner alone, whole or not at all.
fn keep(path: &Path, text: &str) -> std::io::Result<()> {
    let fresh = path.with_extension("new");
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&fresh)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&fresh, path)
}

fn refuse(bad: &Bad, stays: bool) -> Vec<u8> {
    let extra = if bad.status == 503 {
        "Content-Type: text/plain\r\nRetry-After: 1\r\n"
    } else {
        "Content-Type: text/plain\r\n"
    };
    http::response(bad.status, extra, bad.why.as_bytes(), stays && !bad.fatal)
}
