//! A signed webhook becomes a call.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::replay::{mark, Replays, Seen};
use super::signature;
use crate::api::{Arrival, Class, ClassId, Effect, FunctionId, Micros, RequestId};
use crate::core::Call;
use crate::front::http::{plain, Bad, Request};
use crate::front::platform::hex16;
use crate::names::Names;
use crate::store::records::IdentityDigest;
use crate::tenancy::{Registry, Tenant, COMPLETED};

/// The longest identity that is taken.
const LONGEST_ID: usize = 128;

/// What a call's body says. Whatever else it holds is passed over; above all, no address is taken from it.
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
    /// The worker's input, in base64.
    #[serde(default)]
    payload: String,
    /// Answers under one key go out in their order, to endpoints that ask for it.
    order_key: Option<String>,
}

/// The type of event that asks for a call.
pub const REQUESTED: &str = "call.requested";

/// What is known of an accepted call until its callback.
#[derive(Clone, Debug)]
pub struct Job {
    /// The tenant's name.
    pub tenant: String,
    /// Which of that name.
    pub serial: u64,
    /// The identity that the caller gave it.
    pub webhook_id: String,
    /// The class's name.
    pub class: String,
    /// What repeating a call of its class does.
    pub effect: Effect,
    /// The function.
    pub function: FunctionId,
    /// Answers under one key go out in their order.
    pub order: Option<String>,
}

/// The rules for calls from outside.
#[derive(Debug)]
pub struct Inbound {
    /// How far a time stamp may be off, in seconds.
    pub tolerance_s: u64,
    /// When this process started, if it forgot what was taken before: that may have been taken by the process
    /// before it.
    pub started: Option<Micros>,
    /// Identities whose stamps were good until then may have been forgotten: after a clock has stepped back they
    /// would be taken again.
    pub forgotten: Micros,
    /// What was taken.
    pub replays: Replays,
    /// Makes identities for workers that no other gateway or start makes.
    pub seed: u64,
    /// The classes, as the module knows them.
    pub classes: Vec<Class>,
}

impl Inbound {
    /// Checks a request and makes a call of it, with the digest of its identity and the time until which that is
    /// remembered. The order matters: what is not signed learns nothing and takes
    /// no room in the replay store.
    pub fn take(
        &mut self,
        r: &Request<'_>,
        tenants: &Registry,
        names: &Names,
        now: Micros,
    ) -> Result<(Call<Job>, IdentityDigest, Micros), Bad> {
        let name = r
            .path
            .strip_prefix("/webhooks/")
            .ok_or(plain(404, "no such path"))?;
        if r.method != "POST" {
            return Err(plain(405, "a webhook is a POST"));
        }
        let (tenant, id, stamp) = self.signed(r, name, tenants, now)?;
        let call = self.call(r.body, (name, tenant), id, names, now)?;
        if !tenant.wants(COMPLETED) {
            return Err(plain(422, "the tenant has no portal for the answer"));
        }
        let until = (stamp + self.tolerance_s + 1) * 1_000_000;
        if until <= self.forgotten {
            return Err(plain(401, "time stamp refused"));
        }
        match self.replays.take(name, id, now, until) {
            Seen::New => Ok((call, mark(name, id), until)),
            Seen::Before => Err(plain(409, "already taken")),
            Seen::Full => Err(plain(503, "too many calls remembered")),
        }
    }

    /// Who signed a request, under which identity and when; an error unless its signature and time hold.
    fn signed<'a, 't>(
        &self,
        r: &Request<'a>,
        name: &str,
        tenants: &'t Registry,
        now: Micros,
    ) -> Result<(&'t Tenant, &'a str, u64), Bad> {
        let refused = plain(401, "signature refused");
        let tenant = tenants.get(name).ok_or(refused)?;
        // A full stop separates what is signed; within an identity it would let one signature fit two readings.
        let id = r
            .header("webhook-id")
            .filter(|id| !id.is_empty() && id.len() <= LONGEST_ID && !id.contains('.'))
            .ok_or(refused)?;
        let stamp = r
            .header("webhook-timestamp")
            .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let stamp: u64 = stamp.and_then(|t| t.parse().ok()).ok_or(refused)?;
        let given = r.header("webhook-signature").ok_or(refused)?;
        if !signature::verify(tenant.secrets(now), id, stamp, r.body, given) {
            return Err(refused);
        }
        let seconds = now / 1_000_000;
        let started = self.started.map(|t| t / 1_000_000);
        if stamp.abs_diff(seconds) > self.tolerance_s || started.is_some_and(|s| stamp < s) {
            return Err(plain(401, "time stamp refused"));
        }
        // Time stamps are whole seconds: this one may be of either process.
        if started == Some(stamp) {
            return Err(plain(503, "just started"));
        }
        Ok((tenant, id, stamp))
    }

    /// Checks a signed question for the state of a call, `GET /webhooks/TENANT/calls/ID`: the identity signed is
    /// the call's. Returns which tenant, and the call's identity. It changes nothing, so it may be repeated.
    pub fn ask<'a>(
        &self,
        r: &Request<'a>,
        tenants: &Registry,
        now: Micros,
    ) -> Result<(u64, &'a str), Bad> {
        let rest = r
            .path
            .strip_prefix("/webhooks/")
            .ok_or(plain(404, "no such path"))?;
        let (name, call) = rest
            .split_once("/calls/")
            .ok_or(plain(404, "no such path"))?;
        let (tenant, id, _) = self.signed(r, name, tenants, now)?;
        if id != call || !r.body.is_empty() {
            return Err(plain(401, "signature refused"));
        }
        Ok((tenant.serial, id))
    }

    fn call(
        &self,
        body: &[u8],
        (name, tenant): (&str, &Tenant),
        webhook_id: &str,
        names: &Names,
        now: Micros,
    ) -> Result<Call<Job>, Bad> {
        let event: Event =
            serde_json::from_slice(body).map_err(|_| plain(400, "body is not a call event"))?;
        if event.kind != REQUESTED {
            return Err(plain(422, "unknown type of event"));
        }
        let d = event.data;
        let place = Names::index_of(&names.classes, &d.class).ok_or(plain(422, "unknown class"))?;
        let class = self.classes.get(place).ok_or(plain(422, "unknown class"))?;
        let function =
            FunctionId(hex16(&d.function).ok_or(plain(422, "a function is 16 hex digits"))?);
        let sane = |ms: &f64| ms.is_finite() && *ms > 0.0 && *ms <= 600_000.0;
        if ![d.deadline_ms, d.estimate_ms, d.load_ms]
            .iter()
            .flatten()
            .all(sane)
            || d.memory_mb.is_nan()
            || d.memory_mb < 0.0
        {
            return Err(plain(422, "a figure is out of bounds"));
        }
        let micros = |ms: f64| (ms * 1e3) as Micros;
        let payload = BASE64_STANDARD
            .decode(&d.payload)
            .map_err(|_| plain(422, "payload is not base64"))?;
        let wait = d
            .deadline_ms
            .map_or(class.deadline, micros)
            .min(class.deadline);
        let job = Job {
            tenant: name.to_owned(),
            serial: tenant.serial,
            webhook_id: webhook_id.to_owned(),
            class: d.class,
            effect: class.effect,
            function,
            order: d
                .order_key
                .filter(|k| !k.is_empty() && k.len() <= LONGEST_ID),
        };
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(place as u8),
            tenant: tenant.id,
            function,
            expires_at: now + wait,
            expected_work: d.estimate_ms.map(micros),
            memory_mb: d.memory_mb,
            concurrency_per_copy: d.lanes.max(1),
            load_duration: d.load_ms.map(micros),
        };
        let id = self.identity(name, webhook_id).into();
        Ok(Call {
            origin: job,
            identity: id,
            body: payload.into(),
            arrival,
        })
    }

    /// The identity that workers are told: 16 hex digits that follow from the call's own.
    fn identity(&self, tenant: &str, webhook_id: &str) -> String {
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
