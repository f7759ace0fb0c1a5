//! The store's replies, and what delivery asks for.

use super::{
    fault_injection_point, http, plain, refuse, ApplyRetention, Ask, AttemptRecord, Bad,
    BeginAttempt, CallState, ConnKey, DeadLetterReason, DeliveryReport, FinishAttempt, Gateway,
    GatewayDeadline, Input, Micros, Op, Output, ReplicationError, Reply, RequestOutcome,
    RetentionResult, State, StoreError, Waiting, COMPLETED, RETAINED, RETAIN_LATER, RETAIN_SOON,
};

impl Gateway {
    /// Does one thing that the store or delivery asks for; whether there was one.
    pub(in crate::gateway) fn step_webhooks(&mut self, now: Micros) -> bool {
        let Some(hooks) = &mut self.secondary.hooks else {
            return false;
        };
        if let Some((number, reply)) = hooks.replies.pop_front() {
            if let Some(ask) = hooks.asked.remove(&number) {
                self.replied(now, ask, reply);
            }
            return true;
        }
        if let Some(output) = hooks.delivery.output() {
            self.deliver(now, output);
            return true;
        }
        if !hooks.postponed.is_empty() && self.resume_postponed(now) {
            return true;
        }
        let Some(hooks) = &mut self.secondary.hooks else {
            return false;
        };
        let next = hooks.delivery.next_deadline();
        if next != hooks.hung {
            if let Some(old) = hooks.hung {
                self.core.unschedule(old, GatewayDeadline::Delivery.into());
            }
            hooks.hung = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::Delivery.into());
            }
        }
        false
    }

    /// Delivery's own deadline fell due.
    pub(in crate::gateway) fn tick_webhooks(&mut self, now: Micros) {
        if let Some(hooks) = &mut self.secondary.hooks {
            hooks.hung = None;
            hooks.delivery.handle(now, Input::Tick);
        }
    }

    pub(super) fn replied(&mut self, now: Micros, ask: Ask, reply: Result<Reply, StoreError>) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        match ask {
            Ask::Take {
                caller,
                call,
                seq,
                mark,
            } => self.taken(now, caller, *call, seq, mark, reply),
            Ask::Disk => self.disk_registered(reply),
            Ask::Record(shard, ticket) => self.record_stored(shard, ticket, reply),
            Ask::Shard(shard, to) => self.shard_read(shard, to, reply),
            Ask::Lead(shard, epoch) => self.shard_state_loaded(now, shard, epoch, reply),
            Ask::Verify => {
                let found = match reply {
                    Ok(Reply::Verified(found)) => Some(found),
                    _ => None,
                };
                self.notify_replicator(crate::replication::replicator::Input::Verified(found));
            }
            Ask::Accept(shard) => {
                self.notify_replicator(crate::replication::replicator::Input::DamageAccepted(
                    shard,
                ));
            }
            Ask::Settled(w, state) => {
                if reply.is_ok() && state == State::Waiting {
                    hooks.delivery.handle(now, Input::MessagePending(w));
                }
                self.now_wait(now, reply);
            }
            Ask::State(to, number) => {
                let told = match reply {
                    Ok(Reply::Call(state)) => {
                        RequestOutcome::Content(postcard::to_stdvec(&state).unwrap_or_default())
                    }
                    _ => RequestOutcome::Rejected(ReplicationError::Unknown {
                        subject: "call".into(),
                    }),
                };
                self.respond_to_request(to, number, told);
            }
            Ask::Go(attempt) => self.recorded(now, attempt, reply.is_ok()),
            Ask::Publish | Ask::Quiet => self.now_wait(now, reply),
            Ask::Begin(seq) => match reply {
                Ok(Reply::Attempt(Some(both))) => {
                    fault_injection_point("callback's intent promised");
                    self.attempt(now, both.0, &both.1)
                }
                Ok(_) => hooks.delivery.handle(now, Input::MessageRemoved(seq)),
                Err(_) => hooks
                    .delivery
                    .handle(now, Input::AttemptEnded(seq, DeliveryReport::VOID)),
            },
            Ask::Fetch(id) => match reply {
                Ok(Reply::Due(all, next)) => {
                    hooks.delivery.handle(now, Input::Fetched(id, all, next))
                }
                // The disk is sick: asked again after a while, and nothing known is lost by it.
                _ => hooks
                    .delivery
                    .handle(now, Input::Fetched(id, Vec::new(), Some(now + 1_000_000))),
            },
            Ask::Purge(id) => {
                if matches!(reply, Ok(Reply::More(true))) {
                    hooks.ask(Ask::Purge(id), Op::PurgeEndpoint(id, RETAINED));
                }
            }
            Ask::Retain => {
                let RetentionResult {
                    expired,
                    released,
                    more,
                } = match reply {
                    Ok(Reply::Retained(result)) => result,
                    _ => RetentionResult::default(),
                };
                released
                    .into_iter()
                    .for_each(|w| hooks.delivery.handle(now, Input::MessagePending(w)));
                for seq in expired {
                    hooks.delivery.handle(now, Input::MessageRemoved(seq));
                    self.core.counters.callbacks_undelivered += 1;
                }
                self.core.schedule(
                    now + if more { RETAIN_SOON } else { RETAIN_LATER },
                    GatewayDeadline::Retention.into(),
                );
            }
            Ask::Call { conn, id } => {
                let body = match reply {
                    Ok(Reply::Call(state)) => Ok(state),
                    _ => Err(plain(503, "the store cannot be read")),
                };
                self.answer_state(now, conn, &id, body);
            }
            Ask::Admin { conn, limit, key } => {
                let waits = match &reply {
                    Ok(Reply::Queued(all)) => all.clone(),
                    _ => Vec::new(),
                };
                self.now_wait(now, Ok(Reply::Queued(waits)));
                self.answer_stored(now, conn, limit, key, reply);
            }
        }
    }

    /// Tells a caller how its call stands.
    pub(in crate::gateway) fn answer_state(
        &mut self,
        now: Micros,
        conn: ConnKey,
        id: &str,
        body: Result<Option<CallState>, Bad>,
    ) {
        self.answer_second(conn, now, |stays| match body {
            Ok(Some(state)) => {
                let outcome = state.outcome.as_deref().unwrap_or("open");
                let body = serde_json::json!({ "call": id, "outcome": outcome }).to_string();
                http::response(
                    200,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                    stays,
                )
            }
            Ok(None) => refuse(&plain(404, "no such call"), stays),
            Err(bad) => refuse(&bad, stays),
        });
    }

    pub(super) fn now_wait(&mut self, now: Micros, reply: Result<Reply, StoreError>) {
        let (Some(hooks), Ok(Reply::Queued(all))) = (&mut self.secondary.hooks, reply) else {
            return;
        };
        all.into_iter()
            .for_each(|w| hooks.delivery.handle(now, Input::MessagePending(w)));
    }

    /// A pass of retention is due.
    pub(in crate::gateway) fn retain(&mut self, now: Micros) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        let (max_age, max_bytes) = hooks.retention;
        let retention = ApplyRetention {
            now,
            max_age,
            max_bytes,
            limit: RETAINED,
        };
        hooks.ask(Ask::Retain, Op::ApplyRetention(retention));
    }

    pub(super) fn deliver(&mut self, now: Micros, output: Output) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        match output {
            Output::Begin { seq, recorded, .. } => {
                let begin = BeginAttempt {
                    message: seq,
                    durable: recorded,
                    at: now,
                };
                hooks.ask(Ask::Begin(seq), Op::BeginAttempt(begin))
            }
            Output::Fetch(id, limit) => hooks.ask(Ask::Fetch(id), Op::FetchDue(id, limit)),
            Output::Purge(id) => hooks.ask(Ask::Purge(id), Op::PurgeEndpoint(id, RETAINED)),
            Output::Persist {
                message,
                state,
                attempt,
            } => {
                let record = hooks.out.remove(&message.seq);
                let attempt = attempt.map(|report| AttemptRecord {
                    at: now,
                    took: record
                        .as_ref()
                        .map_or(0, |r| now.saturating_sub(r.waiting.due)),
                    ending: report.close_reason.name().into(),
                    status: report.status,
                    may_have_arrived: report.may_have_arrived(),
                });
                if let (Some(r), Some(a)) = (&record, &attempt) {
                    let _span = tracing::debug_span!("delivery", tenant = r.tenant, message = r.id)
                        .entered();
                    let (endpoint, state) = (message.endpoint.0, state.name());
                    tracing::debug!(
                        endpoint,
                        status = a.status,
                        ending = a.ending,
                        state,
                        "an attempt has ended"
                    );
                }
                hooks.ask(
                    Ask::Publish,
                    Op::FinishAttempt(FinishAttempt {
                        waiting: Box::new(message),
                        state,
                        attempt,
                    }),
                );
                if state.is_over() {
                    self.count(&message, state);
                    let record =
                        record.filter(|r| r.kind == COMPLETED && matches!(state, State::Dead(_)));
                    if let Some(r) = record.filter(|_| state != State::Dead(DeadLetterReason::Gone))
                    {
                        let data = serde_json::json!({ "message": r.id, "call": r.call, "state": state.name() });
                        self.tell_tenant(now, &r.tenant, None, "message.exhausted", &data);
                    }
                }
            }
            Output::EndpointDisabled(id, why) => {
                let Some((tenant, name)) = self.secondary.tenants.disable(id) else {
                    return;
                };
                tracing::warn!(tenant, endpoint = name, why, "an endpoint is switched off");
                self.persist_tenants();
                self.agree_on_disabled(now, &tenant, id);
                let data = serde_json::json!({ "endpoint": name, "why": why });
                self.tell_tenant(now, &tenant, None, "endpoint.disabled", &data);
            }
        }
    }

    pub(super) fn count(&mut self, message: &Waiting, state: State) {
        let counters = &mut self.core.counters;
        match state {
            State::Delivered => counters.callbacks_delivered += 1,
            _ if message.ran.is_some() => counters.callbacks_unknown += 1,
            _ => counters.callbacks_undelivered += 1,
        }
    }
}
