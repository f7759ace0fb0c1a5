//! Calls of shards: accepted for another gateway, and resumed by a new primary.

use std::rc::Rc;

use super::{
    job_of, refuse, AtMostOnceCall, Caller, OpenCall, OpenCallKey, PendingStoreOp, WebhookDriver,
};
use crate::api::{Arrival, ClassId, Effect, FunctionId, Micros, RequestId};
use crate::core::{Answer, Call, RequestKey};
use crate::front::http::{self, request_error};
use crate::front::webhook::inbound::CallContext;
use crate::front::webhook::message::Outcome;
use crate::gateway::{ConnKey, Gateway, Origin};
use crate::names::Names;
use crate::replication::error::ReplicationError;
use crate::replication::ShardId;
use crate::store::operations::{AcceptCall, Op};
use crate::store::records::{CallRecord, IdentityDigest};
use crate::store::recovery::{resume_action, LocalRun, RecoveryAction, ResumeAction};

/// A call that the primary of its shard is to accept.
#[derive(Debug)]
pub(in crate::gateway) struct IncomingCall {
    pub(in crate::gateway) shard: ShardId,
    pub(in crate::gateway) record: CallRecord,
    pub(in crate::gateway) identity: IdentityDigest,
    /// The time until which a repetition of the identity must be detected.
    pub(in crate::gateway) valid_until: Micros,
    pub(in crate::gateway) caller: Caller,
}

impl Gateway {
    /// Continues with a call that another process has accepted, or this one before it lost the
    /// shard for a while, and returns what is done with it.
    pub(in crate::gateway) fn resume_call(
        &mut self,
        now: Micros,
        call: CallRecord,
        clock_regressed: bool,
    ) -> ResumeAction {
        let action = resume_action(&call, now, clock_regressed, self.local_run(&call));
        match action {
            ResumeAction::Keep => {}
            ResumeAction::Postpone => {
                if let Some(webhooks) = &mut self.secondary.webhooks {
                    webhooks.postponed.push(call);
                }
            }
            ResumeAction::Recover(action) => self.recover_call(now, &call, action),
        }
        action
    }

    /// Returns whether a call is in progress or ending in this process.
    fn local_run(&self, call: &CallRecord) -> LocalRun {
        let webhooks = self.secondary.webhooks.as_ref();
        let is_held = |webhooks: &WebhookDriver| {
            let mut jobs = webhooks.jobs.values();
            jobs.any(|open_call| open_call.seq == call.seq)
        };
        if webhooks.is_some_and(is_held) {
            LocalRun::InProgress
        } else if self.core.is_open(&call.worker_id) {
            LocalRun::Cancelled
        } else {
            LocalRun::None
        }
    }

    /// Resumes a postponed call whose last attempt has ended; returns whether there was one.
    pub(super) fn resume_postponed(&mut self, now: Micros) -> bool {
        let Some(webhooks) = &mut self.secondary.webhooks else {
            return false;
        };
        let mut postponed = webhooks.postponed.iter();
        let Some(index) = postponed.position(|call| !self.core.is_open(&call.worker_id)) else {
            return false;
        };
        let call = webhooks.postponed.swap_remove(index);
        self.resume_call(now, call, true);
        true
    }

    fn recover_call(&mut self, now: Micros, call: &CallRecord, action: RecoveryAction) {
        let runnable = self.call_of(call);
        let job = job_of(call, self.earliest_acceptance(call).min(now));
        let Some(webhooks) = &mut self.secondary.webhooks else {
            return;
        };
        let id: Rc<str> = call.worker_id.as_str().into();
        let key = webhooks.jobs.insert(OpenCall {
            seq: call.seq,
            job,
            id: id.clone(),
            request: None,
        });
        match (action, runnable) {
            (RecoveryAction::Run, Some(runnable)) => {
                if call.effect != Effect::Idempotent {
                    let seq = call.seq;
                    webhooks
                        .at_most_once_calls
                        .insert(id, AtMostOnceCall { seq, ran: false });
                }
                let request = self
                    .core
                    .submit(now, runnable.with_origin(Origin::Webhook(key)));
                self.set_call_request(key, request);
            }
            (RecoveryAction::ReportUnknown, _) => self.complete_call(now, key, &Outcome::Unknown),
            // The class or tenant of the call was removed. The call never ran, or may run again.
            (RecoveryAction::Run, None) | (RecoveryAction::Reject, _) => {
                let rejected = Outcome::Answered(Answer::Rejected { retry_after: 0 });
                self.complete_call(now, key, &rejected);
            }
        }
    }

    /// Notes the request in the core that runs a call.
    pub(super) fn set_call_request(&mut self, key: OpenCallKey, request: RequestKey) {
        let webhooks = self.secondary.webhooks.as_mut();
        if let Some(open_call) = webhooks.and_then(|webhooks| webhooks.jobs.get_mut(key)) {
            open_call.request = Some(request);
        }
    }

    /// Returns the earliest time at which the call of a record can have been accepted. Records do
    /// not have the time itself.
    fn earliest_acceptance(&self, call: &CallRecord) -> Micros {
        let index = Names::index_of(&self.config.names.classes, &call.class);
        let class = index.and_then(|index| self.config.settings.classes.get(index));
        class.map_or(0, |class| call.expires.saturating_sub(class.deadline))
    }

    /// Creates the call of a record; none if its class or tenant is not known here.
    pub(super) fn call_of(&self, call: &CallRecord) -> Option<Call<CallContext>> {
        let class = Names::index_of(&self.config.names.classes, &call.class)?;
        let tenant = self
            .secondary
            .tenants
            .newest_version(&call.tenant, call.serial)?
            .id;
        let context = job_of(call, self.earliest_acceptance(call));
        let idempotency_key = context.idempotency_key();
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(class as u8),
            tenant,
            function: FunctionId(call.function),
            unread_for: 0,
            expires_at: call.expires,
            expected_work: call.work,
            memory_mb: call.memory_mb,
            concurrency_per_copy: call.concurrency_per_copy,
            load_duration: call.load_time,
            has_idempotency_key: idempotency_key.is_some(),
        };
        Some(Call {
            origin: context,
            identity: call.worker_id.as_str().into(),
            idempotency_key,
            body: call.body.clone().into(),
            arrival,
        })
    }

    /// Accepts a call as the primary of its shard, once it is committed on `min_replicas` replicas.
    pub(in crate::gateway) fn accept_as_primary(
        &mut self,
        now: Micros,
        incoming: IncomingCall,
        min_replicas: usize,
    ) -> Result<(), ReplicationError> {
        let IncomingCall {
            shard, mut record, ..
        } = incoming;
        let unknown = |subject: &str| ReplicationError::Unknown {
            subject: subject.into(),
        };
        if now >= record.expires {
            return Err(ReplicationError::PrimaryUnreachable { shard });
        }
        if self.core.is_open(&record.worker_id) {
            return Err(ReplicationError::DuplicateIdentity);
        }
        let tenants = &self.secondary.tenants;
        if tenants
            .get_with_serial(&record.tenant, record.serial)
            .is_none()
        {
            return Err(unknown("tenant"));
        }
        let mut call = self.call_of(&record).ok_or(unknown("class"))?;
        call.origin.accepted_at = now;
        let webhooks = self.secondary.webhooks.as_mut().ok_or(unknown("front"))?;
        webhooks.check_capacity()?;
        let seq = webhooks.next_sequence_number(shard);
        record.seq = seq;
        let purpose = PendingStoreOp::AcceptCall {
            caller: incoming.caller,
            call: Box::new(call),
            seq,
            identity_digest: incoming.identity,
        };
        let accept = AcceptCall {
            call: Box::new(record),
            identity: incoming.identity,
            valid_until: incoming.valid_until,
        };
        webhooks.submit_for_replicas(purpose, Op::AcceptCall(accept), min_replicas);
        Ok(())
    }

    /// Confirms a client's call that the primary of its shard has committed.
    pub(in crate::gateway) fn confirm_call(&mut self, now: Micros, conn: ConnKey, replicas: u8) {
        self.core.counters.webhooks_accepted += 1;
        let head = format!("X-Kept-In: store\r\nX-Copies: {replicas}\r\n");
        self.answer_secondary_client(conn, now, |stays| http::response(202, &head, b"", stays));
    }

    /// Rejects a client's call that is not committed.
    pub(in crate::gateway) fn reject_call(
        &mut self,
        now: Micros,
        conn: ConnKey,
        identity: &IdentityDigest,
        error: &ReplicationError,
    ) {
        let is_duplicate = *error == ReplicationError::DuplicateIdentity;
        if let Some(webhooks) = self.secondary.webhooks.as_mut().filter(|_| !is_duplicate) {
            webhooks.inbound.replays.forget(identity);
        }
        self.core.counters.webhooks_rejected += 1;
        let (status, problem) = problem_of(error);
        tracing::debug!(%error, remedy = error.remedy(), "call rejected: not committed");
        self.answer_secondary_client(conn, now, |stays| {
            refuse(&request_error(status, problem), stays)
        });
    }
}

/// Returns the status and the problem text that a client receives for an error.
fn problem_of(error: &ReplicationError) -> (u16, &'static str) {
    match error {
        ReplicationError::DuplicateIdentity => (409, "already taken"),
        ReplicationError::TooLong { .. } => (413, "longer than a record may be"),
        ReplicationError::IdentityExpired { .. } => {
            (401, "its time stamp is over where its shard is led")
        }
        ReplicationError::Unknown { .. } => (422, "unknown to the gateway that would take it"),
        ReplicationError::TooFewReplicas { .. } => {
            (503, "held by fewer machines than it has to be")
        }
        ReplicationError::PrimaryOverloaded
        | ReplicationError::TooManyRequests { .. }
        | ReplicationError::ReplicationLag { .. } => (503, "too many calls under way"),
        ReplicationError::ShuttingDown => (503, "the gateway is about to end"),
        ReplicationError::NotPrimary { .. }
        | ReplicationError::Superseded { .. }
        | ReplicationError::PrimaryUnreachable { .. } => (503, "nobody can promise it now"),
    }
}
