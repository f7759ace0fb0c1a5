//! Calls: taken, run and answered.

use super::{
    fault_injection_point, http, message, new_message, order, plain, refuse, replay, AcceptCall,
    AttemptDispatch, AttemptKey, Call, CallRecord, Caller, CloseReason, CompleteCall, Completed,
    ConnKey, Effect, Exchange, Gateway, Guard, Held, IdentityDigest, Job, JobKey, Micros, Op,
    Origin, Outcome, PendingStoreOp, PrimaryRequest, ReplicationError, Reply, RequestOrigin,
    RequestOutcome, SendProgress, Seq, StoreError, UnrecordedAttempt, COMPLETED,
    MAX_PENDING_STORE_OPS, STALE,
};

impl Gateway {
    /// Takes a webhook, or turns it away; none while its answer waits for the store.
    pub(in crate::gateway) fn take_webhook(
        &mut self,
        key: ConnKey,
        r: &http::Request<'_>,
        stays: bool,
        now: Micros,
    ) -> Option<Vec<u8>> {
        if let Err(why) = self.knows_tenants() {
            tracing::debug!(remedy = why.remedy(), "{why}");
            return Some(refuse(
                &plain(503, "it is not known yet what is agreed of tenants"),
                stays,
            ));
        }
        let tenants = &self.secondary.tenants;
        let Some(hooks) = &mut self.secondary.hooks else {
            return Some(refuse(&plain(404, "off"), stays));
        };
        if r.method == "GET" {
            return match hooks.inbound.ask(r, tenants, now) {
                Ok((serial, id)) if self.cluster.replication.is_some() => {
                    let tenant = r
                        .path
                        .strip_prefix("/webhooks/")
                        .and_then(|p| p.split_once('/'));
                    let mark = replay::mark(tenant.map_or("", |(t, _)| t), id);
                    let (id, shard) = (
                        id.to_owned(),
                        self.cluster
                            .replication
                            .as_ref()
                            .map_or(0, |s| s.shard_of(&mark)),
                    );
                    self.send_to_primary(
                        shard,
                        &PrimaryRequest::CallState(serial, id.clone()),
                        RequestOrigin::CallState(key, id),
                    );
                    None
                }
                Ok((serial, id)) => {
                    let ask = PendingStoreOp::ReadCallState {
                        conn: key,
                        id: id.to_owned(),
                    };
                    hooks.ask(ask, Op::GetCall(serial, id.to_owned()));
                    None
                }
                Err(bad) => Some(refuse(&bad, stays)),
            };
        }
        // Taken only with room for what follows: what got a 202 is owed a callback.
        let full = hooks.jobs.len()
            + hooks.waiting()
            + hooks
                .pending_store_ops
                .len()
                .saturating_sub(MAX_PENDING_STORE_OPS)
            >= hooks.pending;
        let taken = if full || hooks.pending_store_ops.len() >= MAX_PENDING_STORE_OPS {
            Err(plain(503, "too many calls under way"))
        } else {
            hooks.inbound.take(r, tenants, &self.config.names, now)
        };
        match taken {
            // Answers on workers' connections are told apart by identity alone.
            Ok((call, ..)) if self.core.is_open(&call.identity) => {
                Some(refuse(&plain(409, "already taken"), stays))
            }
            Ok((call, mark, until)) => {
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
                    order: job.order.clone(),
                    sent: None,
                };
                if let Some(shard) = self.cluster.replication.as_ref().map(|s| s.shard_of(&mark)) {
                    let left = record.expires.saturating_sub(now);
                    let request = PrimaryRequest::AcceptCall {
                        call: Box::new(CallRecord {
                            expires: left,
                            ..record
                        }),
                        identity: mark,
                        valid_until: until,
                    };
                    self.send_to_primary(shard, &request, RequestOrigin::AcceptCall(key, mark));
                    return None;
                }
                let ask = PendingStoreOp::AcceptCall {
                    caller: Caller::Here(key),
                    call: Box::new(call),
                    seq,
                    mark,
                };
                let accept = AcceptCall {
                    call: Box::new(record),
                    identity: mark,
                    valid_until: until,
                };
                hooks.ask(ask, Op::AcceptCall(accept));
                None
            }
            Err(bad) => {
                self.core.counters.webhooks_rejected += 1;
                Some(refuse(&bad, stays))
            }
        }
    }

    /// A call is kept, or not: it gets its 202 and goes to the module, or is turned away.
    pub(super) fn taken(
        &mut self,
        now: Micros,
        caller: Caller,
        call: Call<Job>,
        seq: Seq,
        mark: IdentityDigest,
        kept: Result<Reply, StoreError>,
    ) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        if let Err(e) = kept {
            return match (caller, e) {
                (Caller::Here(conn), e) => {
                    hooks.inbound.replays.forget(&mark);
                    self.core.counters.webhooks_rejected += 1;
                    let full = e == StoreError::Full;
                    let why = if full {
                        "the store is full"
                    } else {
                        "the call cannot be kept"
                    };
                    self.answer_second(conn, now, |stays| refuse(&plain(503, why), stays))
                }
                (Caller::Gateway(to, number), e) => {
                    let shard = seq.shard();
                    self.remove_identity(shard, &mark);
                    let why = match e {
                        StoreError::NotCommitted(why) => why,
                        _ => ReplicationError::PrimaryUnreachable { shard },
                    };
                    self.respond_to_request(to, number, RequestOutcome::Rejected(why));
                }
            };
        }
        let kept = if hooks.durable() { "store" } else { "memory" };
        let id = call.identity.clone();
        if call.origin.effect != Effect::Idempotent && hooks.durable() {
            hooks.guards.insert(id.clone(), Guard { seq, ran: false });
        }
        let job = hooks.jobs.insert(Held {
            seq,
            job: call.origin.clone(),
            id,
            request: None,
        });
        match caller {
            Caller::Here(conn) => {
                self.core.counters.webhooks_accepted += 1;
                self.answer_second(conn, now, |stays| {
                    http::response(202, &format!("X-Kept-In: {kept}\r\n"), b"", stays)
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

    /// Holds back an attempt of a call that must not run twice until it is recorded that it is sent; hands back an
    /// attempt that needs no record.
    pub(in crate::gateway) fn defer_until_recorded(
        &mut self,
        now: Micros,
        dispatch: AttemptDispatch,
    ) -> Option<AttemptDispatch> {
        let Some(hooks) = &mut self.secondary.hooks else {
            return Some(dispatch);
        };
        let Some(guard) = hooks.guards.get(&dispatch.identity) else {
            return Some(dispatch);
        };
        let seq = guard.seq;
        let attempt = dispatch.attempt;
        hooks.guarded.insert(attempt, dispatch.identity.clone());
        let waiting = UnrecordedAttempt {
            dispatch,
            since: now,
        };
        hooks.unrecorded.insert(attempt, waiting);
        hooks.ask(
            PendingStoreOp::RecordAttempt(attempt),
            Op::SetSent(seq, now),
        );
        None
    }

    /// Whether an attempt still waited for its record: then it never left.
    pub(in crate::gateway) fn unrecorded(&mut self, attempt: AttemptKey) -> bool {
        self.secondary
            .hooks
            .as_mut()
            .is_some_and(|h| h.unrecorded.remove(attempt).is_some())
    }

    pub(super) fn recorded(&mut self, now: Micros, attempt: AttemptKey, kept: bool) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        let Some(waiting) = hooks.unrecorded.remove(attempt) else {
            return;
        };
        if !kept || now > waiting.since + STALE {
            return self.completed.push_back(Completed::without_reply(
                Exchange::Attempt(attempt),
                CloseReason::Withdrawn,
                SendProgress::Unsent,
            ));
        }
        fault_injection_point("intent promised");
        self.send_attempt(now, waiting.dispatch);
    }

    /// An attempt has ended; whether it is proved never to have run.
    pub(in crate::gateway) fn guarded_ended(&mut self, attempt: AttemptKey, never_ran: bool) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        let Some(id) = hooks.guarded.remove(attempt) else {
            return;
        };
        let Some(guard) = hooks.guards.get_mut(&id) else {
            return;
        };
        fault_injection_point("attempt answered");
        guard.ran |= !never_ran;
        let (seq, ran) = (guard.seq, guard.ran);
        if !ran {
            hooks.ask(PendingStoreOp::RecordOnly, Op::ClearSent(seq));
        }
    }

    /// A webhook's call has its final answer: it is kept with its messages, in place of the call.
    pub(in crate::gateway) fn call_back(&mut self, now: Micros, job: JobKey, outcome: &Outcome) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        let Some(held) = hooks.jobs.remove(job) else {
            return;
        };
        hooks.guards.remove(&held.id);
        let body = message::event(COMPLETED, now, &message::completed(&held.job, outcome));
        let tenant = self
            .secondary
            .tenants
            .same(&held.job.tenant, held.job.serial);
        let mut messages = Vec::new();
        for e in tenant
            .iter()
            .flat_map(|t| t.endpoints.values())
            .filter(|e| e.wants(COMPLETED))
        {
            let shard = held.seq.shard();
            let mut m = new_message(hooks.next_sequence_number(shard), e, COMPLETED, now, &body);
            m.id = format!("msg_{}", held.id);
            (m.tenant, m.serial) = (held.job.tenant.clone(), held.job.serial);
            m.waiting.effect = held.job.effect;
            m.call = Some(held.job.webhook_id.clone());
            // Each shard has its own order of a key.
            m.order = held
                .job
                .order
                .as_ref()
                .filter(|_| e.ordered)
                .map(|k| order(k) ^ u64::from(shard));
            messages.push((m, body.clone()));
        }
        if messages.is_empty() {
            self.core.counters.callbacks_undelivered += 1;
        }
        hooks.ask(
            PendingStoreOp::EnqueueMessages,
            Op::CompleteCall(CompleteCall {
                call: held.seq,
                outcome: outcome.name().into(),
                messages,
            }),
        );
    }

    /// An operational event to those of a tenant's endpoints that want it.
    pub(in crate::gateway) fn tell_tenant(
        &mut self,
        now: Micros,
        tenant: &str,
        only: Option<&str>,
        kind: &str,
        data: &serde_json::Value,
    ) {
        let (Some(hooks), Some(t)) = (
            &mut self.secondary.hooks,
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
            hooks.ask(PendingStoreOp::EnqueueMessages, Op::Publish(messages));
        }
    }
}
