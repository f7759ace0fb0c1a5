//! The start of webhooks, and what the process before has left.

use super::{
    channel, store_error, Backend, CloseReason, ConfigError, Delivery, Disk, EgressPolicy,
    EndpointId, Gateway, GatewayDeadline, GatewayError, HashMap, Inbound, Input, Limits,
    ListenerKind, MemoryKeyspace, Micros, Op, PathBuf, PendingStoreOp, RecoveredState,
    RecoveryAction, Replays, ResumeAction, Schedule, SecondaryMap, SlotMap, StoreError, Tables,
    VecDeque, WebhookDriver, Webhooks, Writer, RETAINED, RETAIN_SOON,
};

impl Gateway {
    /// Sets webhooks up, and goes on with what the store holds.
    pub(in crate::gateway) fn set_up_webhooks(
        &mut self,
        now: Micros,
        w: Webhooks,
    ) -> Result<(), GatewayError> {
        let seed = self.config.seed;
        let most_bytes = w.store_mb << 20;
        let mut found = RecoveredState::default();
        let backend = match &w.store {
            Some(path) => {
                let (disk, f) =
                    Disk::open(path, most_bytes, now).map_err(|e| store_error(path.clone(), &e))?;
                found = f;
                let (tell, told) = channel::channel();
                let note = |event, _: &mut (), node: &mut Gateway| {
                    if let (channel::Event::Msg((number, reply)), Some(h)) =
                        (event, &mut node.secondary.hooks)
                    {
                        h.reply(number, reply);
                    }
                };
                self.handle
                    .insert_source(told, note)
                    .map_err(|e| GatewayError::Loop(e.error))?;
                let again = path.clone();
                // What a start would settle was settled then; what was begun since ends by its own report.
                let opener = move || Disk::reopen(&again, most_bytes);
                let answered = move |number, reply| {
                    // The loop is gone only at the end of the process.
                    let _ = tell.send((number, reply));
                };
                let writer = Writer::start(disk, Box::new(opener), Box::new(answered));
                Backend::Disk(
                    writer
                        .map_err(|e| store_error(path.clone(), &StoreError::Io(e.to_string())))?,
                )
            }
            None => {
                let mut space = MemoryKeyspace::default();
                let opened = Tables::open(&mut space, false, most_bytes, now);
                let (tables, _) = opened.map_err(|e| store_error(PathBuf::new(), &e))?;
                Backend::Memory(Box::new((space, tables)))
            }
        };
        let durable = w.store.is_some();
        let mut replays = match &w.replay_file {
            Some(path) => Replays::open(path, w.replay_entries, now)
                .map_err(|e| GatewayError::Operator(ConfigError::Read(path.clone(), e)))?,
            None => Replays::new(w.replay_entries),
        };
        replays.load(&found.identities);
        let schedule = match (&w.schedule_s, durable) {
            (Some(pauses), _) => Schedule::from_seconds(pauses).map_err(|e| {
                GatewayError::Operator(ConfigError::Value("webhooks.schedule_s", e.to_string()))
            })?,
            (None, true) => Schedule::default(),
            (None, false) => Schedule::short(w.callback_window_ms * 1000),
        };
        // What waits in memory is bounded by what may be taken: all of it is known to delivery.
        let all = Limits {
            max_ready_per_endpoint: usize::MAX / 2,
            max_loaded: usize::MAX / 2,
            load_horizon: Micros::MAX / 2,
            ..Limits::default()
        };
        let caps = if durable { Limits::default() } else { all };
        let caps = Limits {
            max_in_flight: w.portals,
            disable_after: w.disable_after_s * 1_000_000,
            ..caps
        };
        self.secondary.hooks = Some(WebhookDriver {
            inbound: Inbound {
                tolerance_s: w.tolerance_s,
                started: (w.replay_file.is_none() && !durable).then_some(now),
                forgotten: found.identities_expired_until,
                replays,
                seed,
                classes: self.config.settings.classes.clone(),
            },
            delivery: Delivery::new(caps, seed, now),
            jobs: SlotMap::with_key(),
            backend,
            replies: VecDeque::new(),
            pending_store_ops: HashMap::new(),
            last_store_op: 0,
            last_seq: found.last_sequence_number,
            out: HashMap::new(),
            idle: HashMap::new(),
            guards: HashMap::new(),
            guarded: SecondaryMap::new(),
            unrecorded: SecondaryMap::new(),
            networks: EgressPolicy::new(&w.allow_networks, &w.deny_networks),
            schedule,
            hung: None,
            pending: w.pending,
            answer_limit: w.callback_answer_ms * 1000,
            retention: (w.retention_days * 86_400_000_000, w.retention_mb << 20),
            stopping: None,
            shared: VecDeque::new(),
            postponed: Vec::new(),
            numbers: HashMap::new(),
        });
        let names: Vec<String> = self
            .secondary
            .tenants
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        names.iter().for_each(|name| self.tell_endpoints(now, name));
        self.listen(ListenerKind::Webhook, w.listen)?;
        self.recover(now, found);
        if durable {
            self.core
                .schedule(now + RETAIN_SOON, GatewayDeadline::Retention.into());
        }
        Ok(())
    }

    /// Goes on with what the process before left: one row of the crash table for each call.
    pub(super) fn recover(&mut self, now: Micros, found: RecoveredState) {
        let Some(hooks) = &mut self.secondary.hooks else {
            return;
        };
        for (id, due) in &found.endpoints {
            if hooks.delivery.health(*id).is_some() {
                hooks.delivery.handle(now, Input::Stored(*id, *due));
            } else {
                hooks.ask(
                    PendingStoreOp::PurgeEndpoint(*id),
                    Op::PurgeEndpoint(*id, RETAINED),
                );
            }
        }
        self.core.counters.callbacks_unknown += found.unknown_deliveries;
        let (mut run, mut refused, mut unknown) = (0, 0, 0);
        for call in found.calls {
            match self.resume_call(now, call, found.clock_regressed) {
                ResumeAction::Keep | ResumeAction::Postpone => {}
                ResumeAction::Recover(RecoveryAction::Run) => run += 1,
                ResumeAction::Recover(RecoveryAction::ReportUnknown) => unknown += 1,
                ResumeAction::Recover(RecoveryAction::Reject) => refused += 1,
            }
        }
        if run + refused + unknown + found.unknown_deliveries > 0 {
            let callbacks = found.unknown_deliveries;
            tracing::info!(
                run,
                refused,
                unknown,
                callbacks,
                "went on with the calls of the process before"
            );
        }
        if found.clock_regressed {
            tracing::warn!("the clock shows less than when the store was last written");
        }
    }

    /// Tells delivery of a tenant's endpoints as they are now.
    pub(in crate::gateway) fn tell_endpoints(&mut self, now: Micros, tenant: &str) {
        let (Some(hooks), Some(t)) = (
            &mut self.secondary.hooks,
            self.secondary.tenants.get(tenant),
        ) else {
            return;
        };
        for e in t.endpoints.values() {
            hooks.delivery.handle(
                now,
                Input::EndpointChanged(e.id, e.plan(t.serial, &hooks.schedule)),
            );
        }
    }

    /// Endpoints are no more.
    pub(in crate::gateway) fn forget_endpoints(&mut self, now: Micros, ids: &[EndpointId]) {
        for id in ids {
            let Some(hooks) = &mut self.secondary.hooks else {
                return;
            };
            hooks.delivery.handle(now, Input::EndpointRemoved(*id));
            for key in hooks.idle.remove(id).unwrap_or_default() {
                self.close(key, CloseReason::Shutdown);
            }
        }
    }
}
