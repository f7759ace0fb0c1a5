//! Shards: store operations for the replicator, and calls that another gateway has received.

use std::rc::Rc;

use super::{
    job_of, refuse, Ask, Caller, Guard, Held, JobKey, WebhookDriver, MAX_PENDING_STORE_OPS,
};
use crate::api::{Arrival, ClassId, Effect, FunctionId, Micros, RequestId};
use crate::core::{Answer, Call, RequestKey};
use crate::delivery::{Input, Seq, Waiting};
use crate::front::http::{self, plain};
use crate::front::webhook::inbound::Job;
use crate::front::webhook::message::Outcome;
use crate::gateway::{ConnKey, Gateway, Origin};
use crate::names::Names;
use crate::replication::error::ReplicationError;
use crate::replication::{Epoch, LogPosition, Name, ShardId};
use crate::store::operations::{
    AcceptCall, ApplyToShard, FinishAttempt, InstallShard, Op, RegisterDisk,
};
use crate::store::records::{CallRecord, IdentityDigest};
use crate::store::recovery::{
    resume_action, settle_remote_attempt, LocalRun, RecoveryAction, ResumeAction,
};
use crate::store::replicated_op::ReplicatedOp;

/// A call that the primary of its shard is to accept.
#[derive(Debug)]
pub(in crate::gateway) struct IncomingCall {
    pub(in crate::gateway) shard: ShardId,
    pub(in crate::gateway) record: CallRecord,
    pub(in crate::gateway) identity: IdentityDigest,
    /// The time until which a repetition of the identity has to be detected.
    pub(in crate::gateway) valid_until: Micros,
    pub(in crate::gateway) caller: Caller,
}

impl WebhookDriver {
    /// Returns the step of a call at which a store operation was submitted, for tests that end the
    /// process there.
    pub(in crate::gateway) fn fault_injection_step(&self, number: u64) -> Option<&'static str> {
        match self.asked.get(&number)? {
            Ask::Take { .. } => Some("call recorded here"),
            Ask::Go(_) => Some("intent recorded here"),
            Ask::Begin(_) => Some("callback's intent recorded here"),
            Ask::Publish => Some("answer recorded here"),
            _ => None,
        }
    }

    /// Registers the start of this process on the disk; `reset` gives the disk a new identifier and
    /// drops its shards.
    pub(in crate::gateway) fn register_disk(&mut self, id: u64, reset: bool) {
        let register = RegisterDisk {
            id: id.max(1),
            reset,
        };
        self.ask(Ask::Disk, Op::RegisterDisk(register));
    }

    /// Writes a record of a shard to the disk. A record that cannot be decoded moves the position
    /// and has no effect.
    pub(in crate::gateway) fn store_shard_record(
        &mut self,
        shard: ShardId,
        position: LogPosition,
        record: &[u8],
        waiter: Option<u64>,
    ) {
        let op = match ReplicatedOp::decode(record) {
            Ok(replicated) => replicated.into_op(),
            Err(_) => Op::Publish(Vec::new()),
        };
        let apply = ApplyToShard {
            shard,
            position,
            op: Box::new(op),
        };
        self.ask(Ask::Record(shard, waiter), Op::ApplyToShard(apply));
    }

    /// Replaces a shard's content on the disk by a snapshot.
    pub(in crate::gateway) fn install_shard(
        &mut self,
        shard: ShardId,
        position: LogPosition,
        content: Vec<u8>,
    ) {
        let install = InstallShard {
            shard,
            position,
            content,
        };
        self.ask(Ask::Record(shard, None), Op::InstallShard(install));
    }

    /// Reads a snapshot of a shard for a replica.
    pub(in crate::gateway) fn read_shard_snapshot(&mut self, shard: ShardId, peer: Name) {
        self.ask(Ask::Shard(shard, peer), Op::ReadShard(shard));
    }

    /// Verifies the checksums of all shards on the disk.
    pub(in crate::gateway) fn verify_shards(&mut self) {
        self.ask(Ask::Verify, Op::VerifyChecksums);
    }

    /// Accepts what is readable of a damaged shard.
    pub(in crate::gateway) fn accept_shard_damage(&mut self, shard: ShardId) {
        self.ask(Ask::Accept(shard), Op::AcceptDamage(shard));
    }

    /// Reads the state of a shard of which this process has become the primary.
    pub(in crate::gateway) fn become_shard_primary(&mut self, shard: ShardId, epoch: Epoch) {
        self.ask(Ask::Lead(shard, epoch), Op::BecomePrimary(shard));
    }

    /// Gives the numbers of a shard from here on, under an epoch.
    pub(in crate::gateway) fn start_numbering(&mut self, shard: ShardId, epoch: Epoch) {
        self.numbers.insert(shard, (epoch, 0));
    }

    /// Ends the role of a shard's primary: its calls and messages are neither run nor delivered
    /// here any more. Returns the requests to cancel.
    pub(in crate::gateway) fn resign_shard(
        &mut self,
        now: Micros,
        shard: ShardId,
    ) -> Vec<RequestKey> {
        self.numbers.remove(&shard);
        let mut cancelled = Vec::new();
        let guards = &mut self.guards;
        self.jobs.retain(|_, held| {
            let is_of_shard = held.seq.shard() == shard;
            if is_of_shard {
                guards.remove(&held.id);
                cancelled.extend(held.request);
            }
            !is_of_shard
        });
        self.postponed.retain(|call| call.seq.shard() != shard);
        for seq in self.delivery.of_shard(shard) {
            self.out.remove(&seq);
            self.delivery.handle(now, Input::MessageRemoved(seq));
        }
        self.ask(Ask::Quiet, Op::ResignPrimary(shard));
        cancelled
    }

    /// Settles the attempts that the previous primary of a shard had started.
    pub(in crate::gateway) fn settle_in_flight(
        &mut self,
        now: Micros,
        in_flight: Vec<(Waiting, Micros)>,
    ) {
        for (mut waiting, started_at) in in_flight {
            let (state, attempt) = settle_remote_attempt(&mut waiting, started_at, now);
            let finish = FinishAttempt {
                waiting: Box::new(waiting),
                state,
                attempt: Some(attempt),
            };
            self.ask(Ask::Settled(waiting, state), Op::FinishAttempt(finish));
        }
    }

    /// Passes messages that wait to the delivery scheduler.
    pub(in crate::gateway) fn enqueue_messages(&mut self, now: Micros, messages: Vec<Waiting>) {
        for waiting in messages {
            self.delivery.handle(now, Input::MessagePending(waiting));
        }
    }

    /// Reads the state of a call for another gateway.
    pub(in crate::gateway) fn request_call_state(
        &mut self,
        serial: u64,
        id: String,
        from: Name,
        number: u64,
    ) {
        self.ask(Ask::State(from, number), Op::GetCall(serial, id));
    }

    /// Returns the next number of a shard, or one that is not replicated if this process is not the
    /// shard's primary.
    pub(super) fn next_sequence_number(&mut self, shard: ShardId) -> Seq {
        match self.numbers.get_mut(&shard) {
            Some((epoch, last)) => {
                *last += 1;
                Seq::of_shard(shard, *epoch, *last)
            }
            None => self.seq(),
        }
    }

    /// Returns why no further call can be accepted, if none can.
    fn check_capacity(&self) -> Result<(), ReplicationError> {
        if self.stopping.is_some() {
            return Err(ReplicationError::ShuttingDown);
        }
        let is_full = self.jobs.len() >= self.pending || self.asked.len() >= MAX_PENDING_STORE_OPS;
        if is_full {
            return Err(ReplicationError::PrimaryOverloaded);
        }
        Ok(())
    }
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
                if let Some(webhooks) = &mut self.secondary.hooks {
                    webhooks.postponed.push(call);
                }
            }
            ResumeAction::Recover(action) => self.recover_call(now, &call, action),
        }
        action
    }

    /// Returns what this process has of a call.
    fn local_run(&self, call: &CallRecord) -> LocalRun {
        let webhooks = self.secondary.hooks.as_ref();
        let is_held = |webhooks: &WebhookDriver| {
            let mut jobs = webhooks.jobs.values();
            jobs.any(|held| held.seq == call.seq)
        };
        if webhooks.is_some_and(is_held) {
            LocalRun::UnderWay
        } else if self.core.is_open(&call.worker_id) {
            LocalRun::Ending
        } else {
            LocalRun::None
        }
    }

    /// Resumes a postponed call whose last attempt has ended; returns whether there was one.
    pub(super) fn resume_postponed(&mut self, now: Micros) -> bool {
        let Some(webhooks) = &mut self.secondary.hooks else {
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
        let Some(webhooks) = &mut self.secondary.hooks else {
            return;
        };
        let id: Rc<str> = call.worker_id.as_str().into();
        let key = webhooks.jobs.insert(Held {
            seq: call.seq,
            job: job_of(call),
            id: id.clone(),
            request: None,
        });
        match (action, runnable) {
            (RecoveryAction::Run, Some(runnable)) => {
                if call.effect != Effect::Idempotent {
                    let seq = call.seq;
                    webhooks.guards.insert(id, Guard { seq, ran: false });
                }
                let request = self
                    .core
                    .submit(now, runnable.with_origin(Origin::Webhook(key)));
                self.set_call_request(key, request);
            }
            (RecoveryAction::ReportUnknown, _) => self.call_back(now, key, &Outcome::Unknown),
            // The call's class or tenant was removed; it never ran, or may run again.
            (RecoveryAction::Run, None) | (RecoveryAction::Reject, _) => {
                let rejected = Outcome::Answered(Answer::Rejected { retry_after: 0 });
                self.call_back(now, key, &rejected);
            }
        }
    }

    /// Notes the request in the core that runs a call.
    pub(super) fn set_call_request(&mut self, key: JobKey, request: RequestKey) {
        let webhooks = self.secondary.hooks.as_mut();
        if let Some(held) = webhooks.and_then(|webhooks| webhooks.jobs.get_mut(key)) {
            held.request = Some(request);
        }
    }

    /// Returns the call of a record; none if its class or tenant is not known here.
    pub(super) fn call_of(&self, call: &CallRecord) -> Option<Call<Job>> {
        let class = Names::place(&self.config.names.classes, &call.class)?;
        let tenant = self.secondary.tenants.same(&call.tenant, call.serial)?.id;
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(class as u8),
            tenant,
            function: FunctionId(call.function),
            expires_at: call.expires,
            expected_work: call.work,
            memory_mb: call.memory_mb,
            concurrency_per_copy: call.concurrency_per_copy,
            load_duration: call.load_time,
        };
        Some(Call {
            origin: job_of(call),
            identity: call.worker_id.as_str().into(),
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
        let call = self.call_of(&record).ok_or(unknown("class or tenant"))?;
        let webhooks = self.secondary.hooks.as_mut().ok_or(unknown("front"))?;
        webhooks.check_capacity()?;
        let seq = webhooks.next_sequence_number(shard);
        record.seq = seq;
        let ask = Ask::Take {
            caller: incoming.caller,
            call: Box::new(call),
            seq,
            mark: incoming.identity,
        };
        let accept = AcceptCall {
            call: Box::new(record),
            identity: incoming.identity,
            valid_until: incoming.valid_until,
        };
        webhooks.ask_for(ask, Op::AcceptCall(accept), min_replicas);
        Ok(())
    }

    /// Confirms a caller's call that the primary of its shard has committed.
    pub(in crate::gateway) fn confirm_call(&mut self, now: Micros, conn: ConnKey, replicas: u8) {
        self.core.counters.webhooks_accepted += 1;
        let head = format!("X-Kept-In: store\r\nX-Copies: {replicas}\r\n");
        self.answer_second(conn, now, |stays| http::response(202, &head, b"", stays));
    }

    /// Rejects a caller's call that is not committed.
    pub(in crate::gateway) fn reject_call(
        &mut self,
        now: Micros,
        conn: ConnKey,
        identity: &IdentityDigest,
        error: &ReplicationError,
    ) {
        let is_duplicate = *error == ReplicationError::DuplicateIdentity;
        if let Some(webhooks) = self.secondary.hooks.as_mut().filter(|_| !is_duplicate) {
            webhooks.inbound.replays.forget(identity);
        }
        self.core.counters.webhooks_rejected += 1;
        let (status, problem) = problem_of(error);
        tracing::debug!(%error, remedy = error.remedy(), "a call is not committed");
        self.answer_second(conn, now, |stays| refuse(&plain(status, problem), stays));
    }
}

/// Returns the status and the problem that a caller gets for an error.
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
