//! Verifies signed webhooks and turns them into calls.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::home::TakeRule;
use super::replay::{identity_digest, RecordResult, ReplayStore};
use crate::api::{Arrival, Class, ClassId, Effect, FunctionId, Micros, RequestId};
use crate::core::{Call, IdempotencyKey};
use crate::front::http::{request_error, Request, RequestError};
use crate::front::platform::hex16;
use crate::names::Names;
use crate::store::records::IdentityDigest;
use crate::tenancy::{Registry, Tenant, COMPLETED};

mod headers;
mod time_stamps;

use headers::{SignedHeaders, SIGNATURE_REFUSED};
pub use time_stamps::EarlierIdentities;
use time_stamps::StampCheck;

/// Maximum length of a `webhook-id` and of an order key, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Bytes of the identity's digest in an idempotency key; the platform's keys are as long.
const IDEMPOTENCY_KEY_DIGEST_BYTES: usize = 16;

/// The body of a call. Other fields are ignored; in particular, no callback address is read.
#[derive(Debug, Deserialize)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    data: Data,
}

#[derive(Debug, Deserialize)]
struct Data {
    class: String,
    function: String,
    deadline_ms: Option<f64>,
    estimate_ms: Option<f64>,
    #[serde(default)]
    memory_mb: f64,
    #[serde(default)]
    lanes: u32,
    load_ms: Option<f64>,
    /// The input for the worker, in base64.
    #[serde(default)]
    payload: String,
    /// Callbacks with the same key are delivered in order, to endpoints that ask for it.
    order_key: Option<String>,
}

/// The event type of a call.
pub const REQUESTED: &str = "call.requested";

/// An accepted call's data for its callback.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// The tenant's name.
    pub tenant: String,
    /// Distinguishes tenants that have had the same name.
    pub serial: u64,
    /// The portal's `webhook-id` for the call.
    pub webhook_id: String,
    /// The class's name.
    pub class: String,
    /// The effect of repeating a call of the class.
    pub effect: Effect,
    /// The function.
    pub function: FunctionId,
    /// The order key: callbacks with the same key are delivered in order.
    pub order_key: Option<String>,
    /// The time of its acceptance, or an earlier time if that is unknown.
    pub accepted_at: Micros,
}

impl CallContext {
    /// Derives the idempotency key of a call of a keyed class from the tenant and the `webhook-id`.
    /// It is the same at every gateway and after every restart, so that workers recognize each
    /// repeat of the call wherever it was resumed.
    pub fn idempotency_key(&self) -> Option<IdempotencyKey> {
        if !matches!(self.effect, Effect::Keyed { .. }) {
            return None;
        }
        let digest = identity_digest(&self.tenant, &self.webhook_id);
        let hex: String = digest
            .iter()
            .take(IDEMPOTENCY_KEY_DIGEST_BYTES)
            .map(|byte| format!("{byte:02x}"))
            .collect();
        IdempotencyKey::new(&hex).ok()
    }
}

/// Checks incoming webhooks.
#[derive(Debug)]
pub struct WebhookVerifier {
    /// The largest accepted difference between a time stamp and this clock, in seconds.
    pub tolerance_s: u64,
    /// What is known of the identities that earlier processes accepted.
    pub earlier_identities: EarlierIdentities,
    /// The identities already accepted.
    pub replays: ReplayStore,
    /// Seed for the identities sent to workers; differs per gateway and per start.
    pub seed: u64,
    /// The decision module's classes, indexed by class id.
    pub classes: Vec<Class>,
    /// The rule by which gateways of a group take calls.
    pub take_rule: TakeRule,
}

impl WebhookVerifier {
    /// Verifies a request and returns its call, the digest of its identity and the time until which
    /// the identity is remembered. The signature is checked first, so that an unsigned request
    /// learns nothing and takes no room in the replay store.
    pub fn take(
        &mut self,
        r: &Request<'_>,
        tenants: &Registry,
        names: &Names,
        now: Micros,
    ) -> Result<(Call<CallContext>, IdentityDigest, Micros), RequestError> {
        let name = r
            .path
            .strip_prefix("/webhooks/")
            .ok_or(request_error(404, "no such path"))?;
        if r.method != "POST" {
            return Err(request_error(405, "a webhook is a POST"));
        }
        let (tenant, id, stamp) = self.verify(r, name, tenants, now)?;
        let call = self.parse_call(r.body, (name, tenant), id, names, now)?;
        if !tenant.wants(COMPLETED) {
            return Err(request_error(
                422,
                "the tenant has no portal for the answer",
            ));
        }
        self.require_home(name, now)?;
        let until = (stamp + self.tolerance_s + 1) * 1_000_000;
        match self.replays.take(name, id, now, until) {
            RecordResult::New => Ok((call, identity_digest(name, id), until)),
            RecordResult::Before => Err(request_error(409, "already taken")),
            RecordResult::Forgotten => Err(request_error(401, "time stamp refused")),
            RecordResult::Full => Err(request_error(503, "too many calls remembered")),
            RecordResult::Unavailable => Err(request_error(503, "the call cannot be remembered")),
        }
    }

    /// Rejects a call that another gateway has to take: this one cannot know whether that was done.
    fn require_home(&mut self, tenant: &str, now: Micros) -> Result<(), RequestError> {
        if self.take_rule.other_home(tenant, false).is_none() {
            return Ok(());
        }
        // Another gateway may have registered or left meanwhile.
        self.replays.refresh(now).map_err(|error| {
            tracing::warn!(%error, "the file of identities cannot be read: a call is rejected");
            request_error(503, "the call cannot be remembered")
        })?;
        let has_all_members = self.replays.has_all_members(self.take_rule.place.size);
        match self.take_rule.other_home(tenant, has_all_members) {
            None => Ok(()),
            Some(home) => Err(RequestError {
                home: Some(home),
                ..request_error(421, "not run: another gateway takes this tenant's calls")
            }),
        }
    }

    /// Verifies the signature and time stamp of a request. Returns the tenant, the `webhook-id` and
    /// the time stamp in seconds.
    fn verify<'a, 't>(
        &self,
        r: &Request<'a>,
        name: &str,
        tenants: &'t Registry,
        now: Micros,
    ) -> Result<(&'t Tenant, &'a str, u64), RequestError> {
        let tenant = tenants.get(name).ok_or(SIGNATURE_REFUSED)?;
        let signed = SignedHeaders::read(r)?;
        if !signed.is_by(tenant, r.body, now) {
            return Err(SIGNATURE_REFUSED);
        }
        self.require_fresh(signed.stamp, now)?;
        Ok((tenant, signed.id, signed.stamp))
    }

    fn require_fresh(&self, stamp: u64, now: Micros) -> Result<(), RequestError> {
        let earlier = self.earlier_identities;
        match earlier.check_stamp(stamp, self.tolerance_s, now) {
            StampCheck::Fresh => Ok(()),
            StampCheck::Refused => Err(request_error(401, "time stamp refused")),
            StampCheck::JustStarted => Err(request_error(503, "just started")),
        }
    }

    /// Verifies a signed query for a call's state, `GET /webhooks/TENANT/calls/ID`, whose
    /// `webhook-id` must equal the call's. Returns the serial numbers of the tenants of this name
    /// whose secret signed it, the current tenant's first, and the call's identity. A removed tenant
    /// may ask as long as its calls are owed an answer. The query is read-only, so its identity is
    /// not recorded against replays.
    pub fn verify_state_query<'a>(
        &self,
        r: &Request<'a>,
        tenants: &Registry,
        now: Micros,
    ) -> Result<(Vec<u64>, &'a str), RequestError> {
        let rest = r
            .path
            .strip_prefix("/webhooks/")
            .ok_or(request_error(404, "no such path"))?;
        let (name, call) = rest
            .split_once("/calls/")
            .ok_or(request_error(404, "no such path"))?;
        let signed = SignedHeaders::read(r)?;
        let current = tenants.get(name).map(|tenant| (tenant, now));
        let removed = tenants
            .former_versions()
            .iter()
            .rev()
            .filter(|version| version.name == name)
            .filter(|version| {
                tenants
                    .get_with_serial(name, version.tenant.serial)
                    .is_none()
            })
            .map(|version| (&version.tenant, version.replaced_at));
        let mut serials = Vec::new();
        for (tenant, valid_at) in current.into_iter().chain(removed) {
            if !serials.contains(&tenant.serial) && signed.is_by(tenant, r.body, valid_at) {
                serials.push(tenant.serial);
            }
        }
        if serials.is_empty() {
            return Err(SIGNATURE_REFUSED);
        }
        self.require_fresh(signed.stamp, now)?;
        if signed.id != call || !r.body.is_empty() {
            return Err(SIGNATURE_REFUSED);
        }
        Ok((serials, signed.id))
    }

    fn parse_call(
        &self,
        body: &[u8],
        (name, tenant): (&str, &Tenant),
        webhook_id: &str,
        names: &Names,
        now: Micros,
    ) -> Result<Call<CallContext>, RequestError> {
        let event: Event = serde_json::from_slice(body)
            .map_err(|_| request_error(400, "body is not a call event"))?;
        if event.kind != REQUESTED {
            return Err(request_error(422, "unknown type of event"));
        }
        let d = event.data;
        let class_index =
            Names::index_of(&names.classes, &d.class).ok_or(request_error(422, "unknown class"))?;
        let class = self
            .classes
            .get(class_index)
            .ok_or(request_error(422, "unknown class"))?;
        let function = FunctionId(
            hex16(&d.function).ok_or(request_error(422, "a function is 16 hex digits"))?,
        );
        let in_range = |ms: &f64| ms.is_finite() && *ms > 0.0 && *ms <= 600_000.0;
        if ![d.deadline_ms, d.estimate_ms, d.load_ms]
            .iter()
            .flatten()
            .all(in_range)
            || d.memory_mb.is_nan()
            || d.memory_mb < 0.0
        {
            return Err(request_error(422, "a figure is out of bounds"));
        }
        let micros = |ms: f64| (ms * 1e3) as Micros;
        let payload = BASE64_STANDARD
            .decode(&d.payload)
            .map_err(|_| request_error(422, "payload is not base64"))?;
        let deadline = d
            .deadline_ms
            .map_or(class.deadline, micros)
            .min(class.deadline);
        let job = CallContext {
            tenant: name.to_owned(),
            serial: tenant.serial,
            webhook_id: webhook_id.to_owned(),
            class: d.class,
            effect: class.effect,
            function,
            order_key: d
                .order_key
                .filter(|k| !k.is_empty() && k.len() <= MAX_ID_BYTES),
            accepted_at: now,
        };
        let idempotency_key = job.idempotency_key();
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(class_index as u8),
            tenant: tenant.id,
            function,
            unread_for: 0,
            expires_at: now + deadline,
            expected_work: d.estimate_ms.map(micros),
            memory_mb: d.memory_mb,
            concurrency_per_copy: d.lanes.max(1),
            load_duration: d.load_ms.map(micros),
            has_idempotency_key: idempotency_key.is_some(),
        };
        let id = self.worker_identity(name, webhook_id).into();
        Ok(Call {
            origin: job,
            identity: id,
            idempotency_key,
            body: payload.into(),
            arrival,
        })
    }

    /// Derives the identity sent to workers, 16 hex digits, from the tenant and the `webhook-id`.
    fn worker_identity(&self, tenant: &str, webhook_id: &str) -> String {
        let mut hash = Sha256::new();
        hash.update(self.seed.to_le_bytes());
        hash.update((tenant.len() as u64).to_le_bytes());
        hash.update(tenant);
        hash.update(webhook_id);
        hash.finalize()
            .iter()
            .take(8)
            .map(|b| format!("{b:02x}"))
            .collect()
    }
}

#[cfg(test)]
mod fixture_tests;
