//! Shards: what is copied before it counts, and calls that another gateway has taken.

use super::*;

impl WebhookDriver {
    /// What a question that is being kept is for, for tests that end the process there.
    pub(in crate::gateway) fn is_for(&self, number: u64) -> Option<&'static str> {
        match self.asked.get(&number)? {
            Ask::Take { .. } => Some("call recorded here"),
            Ask::Go(_) => Some("intent recorded here"),
            Ask::Begin(_) => Some("callback's intent recorded here"),
            Ask::Publish => Some("answer recorded here"),
            _ => None,
        }
    }

    /// Has the disk tell its number, and how often it was begun; with another one if it is to begin anew.
    pub(in crate::gateway) fn begin_disk(&mut self, id: u64, anew: bool) {
        self.ask(Ask::Disk, Op::BeginDisk(id.max(1), anew));
    }

    /// A record of a shard goes to the disk. One that cannot be read keeps its place, and does nothing.
    pub(in crate::gateway) fn keep_record(
        &mut self,
        shard: ShardId,
        place: LogPosition,
        bytes: &[u8],
        ticket: Option<u64>,
    ) {
        let op = Shared::read(bytes).map_or(Op::Publish(Vec::new()), Shared::op);
        self.ask(
            Ask::Record(shard, ticket),
            Op::Shard(shard, place, Box::new(op)),
        );
    }

    /// Another disk's content takes the place of what this one holds of a shard.
    pub(in crate::gateway) fn keep_shard(
        &mut self,
        shard: ShardId,
        place: LogPosition,
        bytes: Vec<u8>,
    ) {
        self.ask(
            Ask::Record(shard, None),
            Op::WriteShard(shard, place, bytes),
        );
    }

    /// What the disk holds of a shard is read for a copy.
    pub(in crate::gateway) fn read_shard(&mut self, shard: ShardId, to: Name) {
        self.ask(Ask::Shard(shard, to), Op::ReadShard(shard));
    }

    /// What the disk holds of shards is counted, beside all else.
    pub(in crate::gateway) fn verify_shards(&mut self) {
        self.ask(Ask::Verify, Op::Verify);
    }

    /// What is left of a damaged shard counts.
    pub(in crate::gateway) fn accept_shard(&mut self, shard: ShardId) {
        self.ask(Ask::Accept(shard), Op::Accept(shard));
    }

    /// A shard is led here: what stands of it is read.
    pub(in crate::gateway) fn lead_shard(&mut self, shard: ShardId, epoch: Epoch) {
        self.ask(Ask::Lead(shard, epoch), Op::Lead(shard));
    }

    /// Numbers of a shard are given here under an epoch.
    pub(in crate::gateway) fn numbers_of(&mut self, shard: ShardId, epoch: Epoch) {
        self.numbers.insert(shard, (epoch, 0));
    }

    /// A shard is led here no more: nothing of it is run or delivered here. Calls to be given up.
    pub(in crate::gateway) fn rest_shard(
        &mut self,
        now: Micros,
        shard: ShardId,
    ) -> Vec<RequestKey> {
        self.numbers.remove(&shard);
        let mut over = Vec::new();
        self.jobs.retain(|_, held| {
            let goes = held.seq.shard() == shard;
            if goes {
                self.guards.remove(&held.id);
                over.extend(held.request);
            }
            !goes
        });
        for seq in self.delivery.of_shard(shard) {
            self.out.remove(&seq);
            self.delivery.handle(now, Input::Gone(seq));
        }
        self.ask(Ask::Quiet, Op::Rest(shard));
        over
    }

    /// Callbacks whose attempt had begun where their shard was led before: by their class they wait again, or nobody can tell.
    pub(in crate::gateway) fn settle(&mut self, now: Micros, begun: Vec<(Waiting, Micros)>) {
        for (mut w, at) in begun {
            let (state, attempt) = crate::store::recovery::settled(&mut w, at, now);
            self.ask(
                Ask::Settled(w, state),
                Op::Ended(Box::new(w), state, Some(attempt)),
            );
        }
    }

    /// Callbacks wait.
    pub(in crate::gateway) fn wait(&mut self, now: Micros, waits: Vec<Waiting>) {
        waits
            .into_iter()
            .for_each(|w| self.delivery.handle(now, Input::Waits(w)));
    }

    /// How a call stands, for another gateway.
    pub(in crate::gateway) fn ask_state(
        &mut self,
        serial: u64,
        id: String,
        from: Name,
        number: u64,
    ) {
        self.ask(Ask::State(from, number), Op::Call(serial, id));
    }

    /// The next number in a shard, or of this gateway's own.
    pub(super) fn seq_in(&mut self, shard: ShardId) -> Seq {
        match self.numbers.get_mut(&shard) {
            Some((epoch, last)) => {
                *last += 1;
                Seq::of_shard(shard, *epoch, *last)
            }
            None => self.seq(),
        }
    }
}

impl Gateway {
    /// Goes on with a call that another process has taken: by its class and stage it runs, is refused, or nobody can tell.
    pub(in crate::gateway) fn go_on(
        &mut self,
        now: Micros,
        call: CallRecord,
        stepped_back: bool,
    ) -> RecoveryAction {
        let fate = fate(&call, now, stepped_back);
        let made = self
            .call_of(&call)
            .filter(|_| !self.core.is_open(&call.worker_id));
        let Some(hooks) = &mut self.secondary.hooks else {
            return RecoveryAction::Refuse;
        };
        let (job, id): (Job, Rc<str>) = (job_of(&call), call.worker_id.as_str().into());
        let key = hooks.jobs.insert(Held {
            seq: call.seq,
            job,
            id: id.clone(),
            request: None,
        });
        match (fate, made) {
            (RecoveryAction::Run, Some(made)) => {
                if call.effect != Effect::Idempotent {
                    hooks.guards.insert(
                        id,
                        Guard {
                            seq: call.seq,
                            ran: false,
                        },
                    );
                }
                let request = self
                    .core
                    .submit(now, made.with_origin(Origin::Webhook(key)));
                self.runs(key, request);
                RecoveryAction::Run
            }
            (RecoveryAction::Unknown, _) => {
                self.call_back(now, key, &Outcome::Unknown);
                RecoveryAction::Unknown
            }
            // Its class or tenant is gone; it never ran, or may run again.
            _ => {
                self.call_back(
                    now,
                    key,
                    &Outcome::Answered(Answer::Rejected { retry_after: 0 }),
                );
                RecoveryAction::Refuse
            }
        }
    }

    pub(super) fn runs(&mut self, key: JobKey, request: RequestKey) {
        if let Some(held) = self
            .secondary
            .hooks
            .as_mut()
            .and_then(|h| h.jobs.get_mut(key))
        {
            held.request = Some(request);
        }
    }

    /// The call that a record is of; none if its class or tenant is not known here.
    pub(super) fn call_of(&self, call: &CallRecord) -> Option<Call<Job>> {
        let place = Names::place(&self.config.names.classes, &call.class)?;
        let tenant = self.secondary.tenants.same(&call.tenant, call.serial)?.id;
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(place as u8),
            tenant,
            function: FunctionId(call.function),
            expires_at: call.expires,
            expected_work: call.work,
            memory_mb: call.memory_mb,
            concurrency_per_copy: call.lanes,
            load_duration: call.load_time,
        };
        let id = call.worker_id.as_str().into();
        Some(Call {
            origin: job_of(call),
            identity: id,
            body: call.body.clone().into(),
            arrival,
        })
    }

    /// A call that another gateway, or a caller here, wants this primary to take.
    #[allow(clippy::too_many_arguments)]
    pub(in crate::gateway) fn take_asked(
        &mut self,
        now: Micros,
        shard: ShardId,
        mut record: CallRecord,
        mark: IdentityDigest,
        until: Micros,
        want: usize,
        caller: Caller,
    ) -> Result<(), ReplicationError> {
        let unknown = |what: &str| ReplicationError::Unknown { what: what.into() };
        if now >= record.expires {
            return Err(ReplicationError::Unreached { shard });
        }
        if self.core.is_open(&record.worker_id) {
            return Err(ReplicationError::Seen);
        }
        let call = self.call_of(&record).ok_or(unknown("class or tenant"))?;
        let hooks = self.secondary.hooks.as_mut().ok_or(unknown("front"))?;
        if hooks.stopping.is_some() {
            return Err(ReplicationError::Leaving);
        }
        if hooks.jobs.len() >= hooks.pending || hooks.asked.len() >= MOST_ASKED {
            return Err(ReplicationError::Full);
        }
        let seq = hooks.seq_in(shard);
        record.seq = seq;
        let ask = Ask::Take {
            caller,
            call: Box::new(call),
            seq,
            mark,
        };
        hooks.ask_for(ask, Op::Take(Box::new(record), mark, until), want);
        Ok(())
    }

    /// A caller's call is promised by whoever leads its shard.
    pub(in crate::gateway) fn promised_call(&mut self, now: Micros, conn: ConnKey, copies: u8) {
        self.core.counters.webhooks_accepted += 1;
        let head = format!("X-Kept-In: store\r\nX-Copies: {copies}\r\n");
        self.answer_second(conn, now, |stays| http::response(202, &head, b"", stays));
    }

    /// A caller's call is not promised.
    pub(in crate::gateway) fn refused_call(
        &mut self,
        now: Micros,
        conn: ConnKey,
        mark: &IdentityDigest,
        why: &ReplicationError,
    ) {
        if let Some(hooks) = self
            .secondary
            .hooks
            .as_mut()
            .filter(|_| *why != ReplicationError::Seen)
        {
            hooks.inbound.replays.forget(mark);
        }
        self.core.counters.webhooks_rejected += 1;
        let (status, text) = match why {
            ReplicationError::Seen => (409, "already taken"),
            ReplicationError::TooLong { .. } => (413, "longer than a record may be"),
            ReplicationError::Late { .. } => (401, "its time stamp is over where its shard is led"),
            ReplicationError::Unknown { .. } => (422, "unknown to the gateway that would take it"),
            ReplicationError::Fewer { .. } => (503, "held by fewer machines than it has to be"),
            ReplicationError::Full
            | ReplicationError::Busy { .. }
            | ReplicationError::Behind { .. } => (503, "too many calls under way"),
            ReplicationError::Leaving => (503, "the gateway is about to end"),
            _ => (503, "nobody can promise it now"),
        };
        tracing::debug!(remedy = why.remedy(), "a call is not promised: {why}");
        self.answer_second(conn, now, |stays| refuse(&plain(status, text), stays));
    }
}
