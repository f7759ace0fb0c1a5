//! Replies of the store, and outputs of delivery.

use super::{
    fault_injection_point, http, refuse, request_error, ApplyRetention, AttemptRecord,
    BeginAttempt, CallState, ConnKey, DeadLetterReason, DeliveryReport, FinishAttempt, Gateway,
    GatewayDeadline, Input, MessageRecord, MessageState, Micros, Op, Output, PendingMessage,
    PendingStoreOp, PurgeResult, ReplicationError, Reply, RequestError, RequestOutcome,
    RetentionResult, StoreError, COMPLETED, RETENTION_BATCH, RETENTION_CONTINUE_DELAY,
    RETENTION_INTERVAL,
};
use crate::delivery::{EndpointId, Seq};
use crate::replication::replicator::Input as ReplicatorInput;
use crate::replication::Name;

/// Pause before messages are read again from a store that has failed, in microseconds.
const FETCH_RETRY_INTERVAL: Micros = 1_000_000;

impl Gateway {
    /// Handles one reply of the store or one output of delivery, or resumes a postponed call.
    /// Returns whether there was one of these. If not, updates the timer of delivery.
    pub(in crate::gateway) fn step_webhooks(&mut self, now: Micros) -> bool {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return false;
        };
        if let Some((number, reply)) = hooks.replies.pop_front() {
            if let Some(purpose) = hooks.pending_store_ops.remove(&number) {
                self.handle_store_reply(now, purpose, reply);
            }
            return true;
        }
        if let Some(output) = hooks.delivery.output() {
            self.handle_delivery_output(now, output);
            return true;
        }
        if !hooks.postponed.is_empty() && self.resume_postponed(now) {
            return true;
        }
        let Some(hooks) = &mut self.secondary.webhooks else {
            return false;
        };
        let next = hooks.delivery.next_deadline();
        if next != hooks.armed_deadline {
            if let Some(old) = hooks.armed_deadline {
                self.core.unschedule(old, GatewayDeadline::Delivery.into());
            }
            hooks.armed_deadline = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::Delivery.into());
            }
        }
        false
    }

    /// Handles the expiry of delivery's deadline.
    pub(in crate::gateway) fn tick_webhooks(&mut self, now: Micros) {
        if let Some(hooks) = &mut self.secondary.webhooks {
            hooks.armed_deadline = None;
            hooks.delivery.handle(now, Input::Tick);
        }
    }

    /// Handles the reply to an operation of the store.
    pub(super) fn handle_store_reply(
        &mut self,
        now: Micros,
        op: PendingStoreOp,
        reply: Result<Reply, StoreError>,
    ) {
        match op {
            PendingStoreOp::AcceptCall {
                caller,
                call,
                seq,
                identity_digest,
            } => self.call_persisted(now, caller, *call, seq, identity_digest, reply),
            PendingStoreOp::RegisterDisk => self.disk_registered(reply),
            PendingStoreOp::StoreRecord(shard, waiter) => self.record_stored(shard, waiter, reply),
            PendingStoreOp::ReadSnapshot(shard, peer) => self.shard_read(shard, peer, reply),
            PendingStoreOp::BecomePrimary(shard, epoch) => {
                self.shard_state_loaded(now, shard, epoch, reply);
            }
            PendingStoreOp::VerifyDisk => self.disk_verified(reply),
            PendingStoreOp::AcceptDamage(shard) => {
                self.notify_replicator(ReplicatorInput::DamageAccepted(shard));
            }
            PendingStoreOp::SettleAttempt(message, state) => {
                self.attempt_settled(now, message, state, reply);
            }
            PendingStoreOp::ForwardCallState(peer, number) => {
                self.forward_call_state(peer, number, reply);
            }
            PendingStoreOp::RecordAttempt(attempt) => {
                self.attempt_recorded(now, attempt, reply.is_ok())
            }
            PendingStoreOp::CompleteCall(_)
            | PendingStoreOp::EnqueueMessages
            | PendingStoreOp::RecordOnly => {
                self.enqueue_released(now, reply);
            }
            PendingStoreOp::BeginDelivery(seq) => self.delivery_begun(now, seq, reply),
            PendingStoreOp::FetchDue(endpoint) => self.due_fetched(now, endpoint, reply),
            PendingStoreOp::PurgeEndpoint(endpoint) => self.endpoint_purged(endpoint, &reply),
            PendingStoreOp::ApplyRetention => self.retention_applied(now, reply),
            PendingStoreOp::ReadCallState { conn, id, others }
                if !others.is_empty() && matches!(reply, Ok(Reply::Call(None))) =>
            {
                if let Some(hooks) = &mut self.secondary.webhooks {
                    hooks.read_call_state(conn, id, others);
                }
            }
            PendingStoreOp::ReadCallState { conn, id, .. } => {
                let state = match reply {
                    Ok(Reply::Call(state)) => Ok(state),
                    _ => Err(request_error(503, "the store cannot be read")),
                };
                self.answer_state(now, conn, &id, state);
            }
            PendingStoreOp::AdminRequest { conn, limit, key } => {
                if let Ok(Reply::Queued(messages)) = &reply {
                    self.enqueue_released(now, Ok(Reply::Queued(messages.clone())));
                }
                self.answer_stored(now, conn, limit, key, reply);
            }
        }
    }

    /// Handles the result of verifying the checksums of all shards.
    fn disk_verified(&mut self, reply: Result<Reply, StoreError>) {
        let verified = match reply {
            Ok(Reply::Verified(verified)) => Some(verified),
            _ => None,
        };
        self.notify_replicator(ReplicatorInput::Verified(verified));
    }

    /// Handles the settlement of a delivery whose attempt another process had begun.
    fn attempt_settled(
        &mut self,
        now: Micros,
        message: PendingMessage,
        state: MessageState,
        reply: Result<Reply, StoreError>,
    ) {
        let is_pending = reply.is_ok() && state == MessageState::Waiting;
        if let Some(hooks) = self.secondary.webhooks.as_mut().filter(|_| is_pending) {
            hooks.delivery.handle(now, Input::MessagePending(message));
        }
        self.enqueue_released(now, reply);
    }

    /// Sends the state of a call to the gateway that asked for it.
    fn forward_call_state(&mut self, peer: Name, number: u64, reply: Result<Reply, StoreError>) {
        let outcome = match reply {
            Ok(Reply::Call(state)) => {
                RequestOutcome::Content(postcard::to_stdvec(&state).unwrap_or_default())
            }
            _ => RequestOutcome::Rejected(ReplicationError::Unknown {
                subject: "call".into(),
            }),
        };
        self.respond_to_request(peer, number, outcome);
    }

    /// Sends a message once the start of its attempt is recorded; otherwise informs delivery.
    fn delivery_begun(&mut self, now: Micros, seq: Seq, reply: Result<Reply, StoreError>) {
        if let Ok(Reply::Attempt(Some(message))) = reply {
            fault_injection_point("callback's intent promised");
            return self.send_message(now, message.0, &message.1);
        }
        let input = match reply {
            Ok(_) => Input::MessageRemoved(seq),
            Err(_) => Input::AttemptEnded(seq, DeliveryReport::VOID),
        };
        if let Some(hooks) = &mut self.secondary.webhooks {
            hooks.delivery.handle(now, input);
        }
    }

    /// Passes the fetched messages of an endpoint to delivery.
    fn due_fetched(&mut self, now: Micros, endpoint: EndpointId, reply: Result<Reply, StoreError>) {
        let input = match reply {
            Ok(Reply::Due(messages, next)) => Input::Fetched(endpoint, messages, next),
            // The store has failed. Its messages remain, and a later fetch reads them.
            _ => Input::Fetched(endpoint, Vec::new(), Some(now + FETCH_RETRY_INTERVAL)),
        };
        if let Some(hooks) = &mut self.secondary.webhooks {
            hooks.delivery.handle(now, input);
        }
    }

    /// Counts the messages that ended with their endpoint, and continues if it has more.
    fn endpoint_purged(&mut self, endpoint: EndpointId, reply: &Result<Reply, StoreError>) {
        let Ok(Reply::Purged(PurgeResult { ended, more })) = *reply else {
            return;
        };
        self.core.counters.callbacks_undelivered += ended;
        if ended > 0 {
            let endpoint = endpoint.0;
            tracing::warn!(
                endpoint,
                ended,
                "callbacks end undelivered: their endpoint is gone"
            );
        }
        if let Some(hooks) = self.secondary.webhooks.as_mut().filter(|_| more) {
            let purge = Op::PurgeEndpoint(endpoint, RETENTION_BATCH);
            hooks.submit(PendingStoreOp::PurgeEndpoint(endpoint), purge);
        }
    }

    /// Handles the result of a retention pass and schedules the next pass.
    fn retention_applied(&mut self, now: Micros, reply: Result<Reply, StoreError>) {
        let RetentionResult {
            expired,
            released,
            more,
        } = match reply {
            Ok(Reply::Retained(result)) => result,
            _ => RetentionResult::default(),
        };
        if let Some(hooks) = &mut self.secondary.webhooks {
            for message in released {
                hooks.delivery.handle(now, Input::MessagePending(message));
            }
            for seq in expired {
                hooks.delivery.handle(now, Input::MessageRemoved(seq));
                self.core.counters.callbacks_undelivered += 1;
            }
        }
        let pause = if more {
            RETENTION_CONTINUE_DELAY
        } else {
            RETENTION_INTERVAL
        };
        self.core
            .schedule(now + pause, GatewayDeadline::Retention.into());
    }

    /// Answers a client's request for the state of a call.
    pub(in crate::gateway) fn answer_state(
        &mut self,
        now: Micros,
        conn: ConnKey,
        id: &str,
        body: Result<Option<CallState>, RequestError>,
    ) {
        self.answer_secondary_client(conn, now, |stays| match body {
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
            Ok(None) => refuse(&request_error(404, "no such call"), stays),
            Err(bad) => refuse(&bad, stays),
        });
    }

    pub(super) fn enqueue_released(&mut self, now: Micros, reply: Result<Reply, StoreError>) {
        let (Some(hooks), Ok(Reply::Queued(all))) = (&mut self.secondary.webhooks, reply) else {
            return;
        };
        all.into_iter()
            .for_each(|w| hooks.delivery.handle(now, Input::MessagePending(w)));
    }

    /// Begins a retention pass.
    pub(in crate::gateway) fn begin_retention_pass(&mut self, now: Micros) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        let (max_age, max_bytes) = hooks.retention;
        let retention = ApplyRetention {
            now,
            max_age,
            max_bytes,
            limit: RETENTION_BATCH,
        };
        hooks.submit(
            PendingStoreOp::ApplyRetention,
            Op::ApplyRetention(retention),
        );
    }

    pub(super) fn handle_delivery_output(&mut self, now: Micros, output: Output) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        match output {
            Output::Begin { seq, recorded, .. } => {
                let begin = BeginAttempt {
                    message: seq,
                    durable: recorded,
                    at: now,
                };
                hooks.submit(PendingStoreOp::BeginDelivery(seq), Op::BeginAttempt(begin))
            }
            Output::Fetch(id, limit) => {
                hooks.submit(PendingStoreOp::FetchDue(id), Op::FetchDue(id, limit))
            }
            Output::Purge(id) => hooks.submit(
                PendingStoreOp::PurgeEndpoint(id),
                Op::PurgeEndpoint(id, RETENTION_BATCH),
            ),
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
                        "delivery attempt ended"
                    );
                }
                hooks.submit(
                    PendingStoreOp::EnqueueMessages,
                    Op::FinishAttempt(FinishAttempt {
                        waiting: Box::new(message),
                        state,
                        attempt,
                    }),
                );
                if state.is_over() {
                    self.count_outcome(&message, state);
                    let record = record
                        .filter(|r| r.kind == COMPLETED && matches!(state, MessageState::Dead(_)));
                    let tenants = &self.secondary.tenants;
                    let is_current =
                        |r: &MessageRecord| tenants.get_with_serial(&r.tenant, r.serial).is_some();
                    if let Some(r) = record.filter(|r| {
                        state != MessageState::Dead(DeadLetterReason::Gone) && is_current(r)
                    }) {
                        let data = serde_json::json!({ "message": r.id, "call": r.call, "state": state.name() });
                        self.publish_operational_event(
                            now,
                            &r.tenant,
                            None,
                            "message.exhausted",
                            &data,
                        );
                    }
                }
            }
            Output::EndpointDisabled(id, why) => {
                let Some((tenant, name)) = self.secondary.tenants.disable(id) else {
                    // A removed endpoint is not enabled again.
                    return self.remove_delivery_endpoints(now, &[id]);
                };
                tracing::warn!(tenant, endpoint = name, why, "an endpoint is switched off");
                self.persist_tenants();
                self.propose_endpoint_disabled(now, &tenant, id);
                let data = serde_json::json!({ "endpoint": name, "why": why });
                self.publish_operational_event(now, &tenant, None, "endpoint.disabled", &data);
            }
        }
    }

    pub(super) fn count_outcome(&mut self, message: &PendingMessage, state: MessageState) {
        let counters = &mut self.core.counters;
        match state {
            MessageState::Delivered => counters.callbacks_delivered += 1,
            _ if message.maybe_received_at.is_some() => counters.callbacks_unknown += 1,
            _ => counters.callbacks_undelivered += 1,
        }
    }
}
