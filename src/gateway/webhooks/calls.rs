//! Calls: acceptance, execution and final answer.

use super::{
    fault_injection_point, http, message, new_message, order_key_hash, refuse, replay,
    request_error, AcceptCall, AtMostOnceCall, AttemptDispatch, AttemptKey, Call, CallContext,
    CallRecord, Caller, CloseReason, CompleteCall, Completed, ConnKey, Effect, Exchange, Gateway,
    IdentityDigest, Micros, Op, OpenCall, OpenCallKey, Origin, Outcome, PendingStoreOp,
    PrimaryRequest, ReplicationError, Reply, RequestOrigin, RequestOutcome, SendProgress, Seq,
    StoreError, UnrecordedAttempt, COMPLETED, MAX_PENDING_STORE_OPS, MAX_RECORD_WAIT,
};

impl Gateway {
    /// Handles a webhook request. Returns the answer, or none if the answer depends on the store.
    pub(in crate::gateway) fn handle_webhook_request(
        &mut self,
        key: ConnKey,
        r: &http::Request<'_>,
        stays: bool,
        now: Micros,
    ) -> Option<Vec<u8>> {
        if let Err(why) = self.knows_tenants() {
            tracing::debug!(remedy = why.remedy(), "{why}");
            return Some(refuse(
                &request_error(503, "it is not known yet what is agreed of tenants"),
                stays,
            ));
        }
        let tenants = &self.secondary.tenants;
        let Some(hooks) = &mut self.secondary.webhooks else {
            return Some(refuse(&request_error(404, "off"), stays));
        };
        if r.method == "GET" {
            return match hooks.inbound.verify_state_query(r, tenants, now) {
                Ok((serials, id)) if self.cluster.replication.is_some() => {
                    let tenant = r
                        .path
                        .strip_prefix("/webhooks/")
                        .and_then(|p| p.split_once('/'));
                    let identity_digest =
                        replay::identity_digest(tenant.map_or("", |(t, _)| t), id);
                    let (id, shard) = (
                        id.to_owned(),
                        self.cluster
                            .replication
                            .as_ref()
                            .map_or(0, |s| s.shard_of(&identity_digest)),
                    );
                    self.query_call_state(key, shard, id, serials);
                    None
                }
                Ok((serials, id)) => {
                    hooks.read_call_state(key, id.to_owned(), serials);
                    None
                }
                Err(bad) => Some(refuse(&bad, stays)),
            };
        }
        // A call is accepted only if there is capacity for its callback, which a 202 promises.
        let full = hooks.jobs.len()
            + hooks.waiting()
            + hooks
                .pending_store_ops
                .len()
                .saturating_sub(MAX_PENDING_STORE_OPS)
            >= hooks.pending;
        let admitted = if full || hooks.pending_store_ops.len() >= MAX_PENDING_STORE_OPS {
            Err(request_error(503, "too many calls under way"))
        } else {
            hooks.inbound.take(r, tenants, &self.config.names, now)
        };
        match admitted {
            // Answers on workers' connections are distinguished by identity alone.
            Ok((call, ..)) if self.core.is_open(&call.identity) => {
                Some(refuse(&request_error(409, "already taken"), stays))
            }
            Ok((call, identity_digest, until)) => {
                let (seq, job, a) = (hooks.seq(), &call.origin, &call.arrival);
                let record = CallRecord {
                    seq,
                    tenant: job.tenant.clone(),
                    serial: job.serial,
                    webhook_id: job.webhook_id.clone(),
                    worker_id: call.identity.to_string(),
                    class: job.class.clone(),
                    effect: job.effect,
                    function: job.function.0,
                    expires: a.expires_at,
                    work: a.expected_work,
                    memory_mb: a.memory_mb,
                    concurrency_per_copy: a.concurrency_per_copy,
                    load_time: a.load_duration,
                    body: call.body.to_vec(),
                    order: job.order_key.clone(),
                    sent: None,
                };
                if let Some(shard) = self
                    .cluster
                    .replication
                    .as_ref()
                    .map(|s| s.shard_of(&identity_digest))
                {
                    let remaining = record.expires.saturating_sub(now);
                    let request = PrimaryRequest::AcceptCall {
                        call: Box::new(CallRecord {
                            expires: remaining,
                            ..record
                        }),
                        identity: identity_digest,
                        valid_until: until,
                    };
                    self.send_to_primary(
                        shard,
                        &request,
                        RequestOrigin::AcceptCall(key, identity_digest),
                    );
                    return None;
                }
                let purpose = PendingStoreOp::AcceptCall {
                    caller: Caller::Here(key),
                    call: Box::new(call),
                    seq,
                    identity_digest,
                };
                let accept = AcceptCall {
                    call: Box::new(record),
                    identity: identity_digest,
                    valid_until: until,
                };
                hooks.submit(purpose, Op::AcceptCall(accept));
                None
            }
            Err(bad) => {
                self.core.counters.webhooks_rejected += 1;
                Some(refuse(&bad, stays))
            }
        }
    }

    /// Answers a call whose record is persisted with a 202 and submits it to the core. Rejects the
    /// call if the store has failed.
    pub(super) fn call_persisted(
        &mut self,
        now: Micros,
        caller: Caller,
        call: Call<CallContext>,
        seq: Seq,
        identity_digest: IdentityDigest,
        reply: Result<Reply, StoreError>,
    ) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        if let Err(e) = reply {
            return match (caller, e) {
                (Caller::Here(conn), e) => {
                    hooks.inbound.replays.forget(&identity_digest);
                    self.core.counters.webhooks_rejected += 1;
                    let full = e == StoreError::Full;
                    let why = if full {
                        "the store is full"
                    } else {
                        "the call cannot be kept"
                    };
                    self.answer_secondary_client(conn, now, |stays| {
                        refuse(&request_error(503, why), stays)
                    })
                }
                (Caller::Gateway(to, number), e) => {
                    let shard = seq.shard();
                    self.remove_identity(shard, &identity_digest);
                    let why = match e {
                        StoreError::NotCommitted(why) => why,
                        _ => ReplicationError::PrimaryUnreachable { shard },
                    };
                    self.respond_to_request(to, number, RequestOutcome::Rejected(why));
                }
            };
        }
        let kept_in = if hooks.durable() { "store" } else { "memory" };
        let id = call.identity.clone();
        if call.origin.effect != Effect::Idempotent && hooks.durable() {
            hooks
                .at_most_once_calls
                .insert(id.clone(), AtMostOnceCall { seq, ran: false });
        }
        let job = hooks.jobs.insert(OpenCall {
            seq,
            job: call.origin.clone(),
            id,
            request: None,
        });
        match caller {
            Caller::Here(conn) => {
                self.core.counters.webhooks_accepted += 1;
                self.answer_secondary_client(conn, now, |stays| {
                    http::response(202, &format!("X-Kept-In: {kept_in}\r\n"), b"", stays)
                });
            }
            Caller::Gateway(to, number) => {
                fault_injection_point("call promised");
                let disks = self.replica_count(seq.shard());
                self.respond_to_request(to, number, RequestOutcome::Committed(disks));
            }
        }
        let request = self
            .core
            .submit(now, call.with_origin(Origin::Webhook(job)));
        self.set_call_request(job, request);
    }

    /// Defers an attempt of a call that must not run twice until its start is recorded. Returns an
    /// attempt that needs no record.
    pub(in crate::gateway) fn defer_until_recorded(
        &mut self,
        now: Micros,
        dispatch: AttemptDispatch,
    ) -> Option<AttemptDispatch> {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return Some(dispatch);
        };
        let Some(guard) = hooks.at_most_once_calls.get(&dispatch.identity) else {
            return Some(dispatch);
        };
        let seq = guard.seq;
        let attempt = dispatch.attempt;
        hooks
            .at_most_once_attempts
            .insert(attempt, dispatch.identity.clone());
        let waiting = UnrecordedAttempt {
            dispatch,
            since: now,
        };
        hooks.unrecorded.insert(attempt, waiting);
        hooks.submit(
            PendingStoreOp::RecordAttempt(attempt),
            Op::SetSent(seq, now),
        );
        None
    }

    /// Discards an attempt that waits for its record. Returns whether there was one; such an
    /// attempt was never sent.
    pub(in crate::gateway) fn discard_unrecorded_attempt(&mut self, attempt: AttemptKey) -> bool {
        self.secondary
            .webhooks
            .as_mut()
            .is_some_and(|h| h.unrecorded.remove(attempt).is_some())
    }

    pub(super) fn attempt_recorded(&mut self, now: Micros, attempt: AttemptKey, is_recorded: bool) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        let Some(waiting) = hooks.unrecorded.remove(attempt) else {
            return;
        };
        if !is_recorded || now > waiting.since + MAX_RECORD_WAIT {
            return self.completed.push_back(Completed::without_reply(
                Exchange::Attempt(attempt),
                CloseReason::Withdrawn,
                SendProgress::Unsent,
            ));
        }
        fault_injection_point("intent promised");
        self.send_attempt(now, waiting.dispatch);
    }

    /// Handles the end of an attempt. `never_ran` is set if the attempt is proved not to have run.
    pub(in crate::gateway) fn at_most_once_attempt_ended(
        &mut self,
        attempt: AttemptKey,
        never_ran: bool,
    ) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        let Some(id) = hooks.at_most_once_attempts.remove(attempt) else {
            return;
        };
        let Some(guard) = hooks.at_most_once_calls.get_mut(&id) else {
            return;
        };
        fault_injection_point("attempt answered");
        guard.ran |= !never_ran;
        let (seq, ran) = (guard.seq, guard.ran);
        if !ran {
            hooks.submit(PendingStoreOp::RecordOnly, Op::ClearSent(seq));
        }
    }

    /// Handles the final answer of a webhook's call: the store replaces the call by its outcome and
    /// the callback messages.
    pub(in crate::gateway) fn complete_call(
        &mut self,
        now: Micros,
        job: OpenCallKey,
        outcome: &Outcome,
    ) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        let Some(open_call) = hooks.jobs.remove(job) else {
            return;
        };
        hooks.at_most_once_calls.remove(&open_call.id);
        let body = message::event(COMPLETED, now, &message::completed(&open_call.job, outcome));
        let endpoints = self.secondary.tenants.answer_endpoints(
            &open_call.job.tenant,
            open_call.job.serial,
            open_call.job.accepted_at,
        );
        let mut messages = Vec::new();
        for e in endpoints {
            let shard = open_call.seq.shard();
            let mut m = new_message(hooks.next_sequence_number(shard), e, COMPLETED, now, &body);
            m.id = format!("msg_{}", open_call.id);
            (m.tenant, m.serial) = (open_call.job.tenant.clone(), open_call.job.serial);
            m.waiting.effect = open_call.job.effect;
            m.call = Some(open_call.job.webhook_id.clone());
            // Messages with the same order key are ordered within a shard.
            m.order = open_call
                .job
                .order_key
                .as_ref()
                .filter(|_| e.ordered)
                .map(|k| order_key_hash(k) ^ u64::from(shard));
            messages.push((m, body.clone()));
        }
        if messages.is_empty() {
            self.core.counters.callbacks_undelivered += 1;
            let (tenant, call) = (&open_call.job.tenant, &open_call.job.webhook_id);
            tracing::warn!(
                tenant,
                call,
                "a call ends without a callback: no endpoint is known"
            );
        }
        hooks.submit(
            PendingStoreOp::CompleteCall(open_call.job.serial),
            Op::CompleteCall(CompleteCall {
                call: open_call.seq,
                outcome: outcome.name().into(),
                messages,
            }),
        );
    }

    /// Sends an operational event to the tenant's endpoints that subscribe to it, or only to the
    /// endpoint `only`.
    pub(in crate::gateway) fn publish_operational_event(
        &mut self,
        now: Micros,
        tenant: &str,
        only: Option<&str>,
        kind: &str,
        data: &serde_json::Value,
    ) {
        let (Some(hooks), Some(t)) = (
            &mut self.secondary.webhooks,
            self.secondary.tenants.get(tenant),
        ) else {
            return;
        };
        let body = message::event(kind, now, data);
        let mut messages = Vec::new();
        for (name, e) in &t.endpoints {
            if only.map_or(e.wants(kind), |only| only == name) {
                let mut m = new_message(hooks.seq(), e, kind, now, &body);
                (m.tenant, m.serial) = (tenant.to_owned(), t.serial);
                messages.push((m, body.clone()));
            }
        }
        if !messages.is_empty() {
            hooks.submit(PendingStoreOp::EnqueueMessages, Op::Publish(messages));
        }
    }
}
