//! Start of webhooks, and recovery of the calls of the previous process.

use super::{
    channel, store_error, Backend, ConfigError, Delivery, Disk, EgressPolicy, EndpointId, Gateway,
    GatewayDeadline, GatewayError, HashMap, Input, Limits, ListenerKind, MemoryKeyspace, Micros,
    PathBuf, RecoveredState, RecoveryAction, ResumeAction, Schedule, SecondaryMap, SlotMap,
    StoreError, Tables, VecDeque, WebhookDriver, WebhookVerifier, Webhooks, Writer,
    RETENTION_CONTINUE_DELAY,
};

impl Gateway {
    /// Sets up webhooks and resumes the calls and messages in the store.
    pub(in crate::gateway) fn set_up_webhooks(
        &mut self,
        now: Micros,
        w: Webhooks,
    ) -> Result<(), GatewayError> {
        let seed = self.config.seed;
        let max_bytes = w.store_mb << 20;
        let mut found = RecoveredState::default();
        let backend = match &w.store {
            Some(path) => {
                let (mut disk, f) =
                    Disk::open(path, max_bytes, now).map_err(|e| store_error(path.clone(), &e))?;
                found = f;
                let removal_grace = w.removed_grace_s.saturating_mul(1_000_000);
                self.continue_tenants(now, removal_grace, &mut disk, &found)
                    .map_err(|e| store_error(path.clone(), &e))?;
                let (sender, replies) = channel::channel();
                let on_reply = |event, _: &mut (), node: &mut Gateway| {
                    if let (channel::Event::Msg((number, reply)), Some(h)) =
                        (event, &mut node.secondary.webhooks)
                    {
                        h.reply(number, reply);
                    }
                };
                self.handle
                    .insert_source(replies, on_reply)
                    .map_err(|e| GatewayError::Loop(e.error))?;
                let reopen_path = path.clone();
                // Opening the disk at the start has settled earlier attempts. Attempts that began
                // since then end with their own report.
                let opener = move || Disk::reopen(&reopen_path, max_bytes);
                let answered = move |number, reply| {
                    // Sending fails only at the end of the process, when the event loop is gone.
                    let _ = sender.send((number, reply));
                };
                let writer = Writer::start(disk, Box::new(opener), Box::new(answered));
                Backend::Disk(
                    writer
                        .map_err(|e| store_error(path.clone(), &StoreError::Io(e.to_string())))?,
                )
            }
            None => {
                let mut space = MemoryKeyspace::default();
                let opened = Tables::open(&mut space, false, max_bytes, now);
                let (tables, _) = opened.map_err(|e| store_error(PathBuf::new(), &e))?;
                Backend::Memory(Box::new((space, tables)))
            }
        };
        let durable = w.store.is_some();
        let (mut replays, earlier_identities) = self.open_replays(&w, now)?;
        let take_rule = self.take_rule(&w, &mut replays)?;
        replays.load(&found.identities);
        replays.set_forgotten_until(found.identities_expired_until);
        let schedule = match (&w.schedule_s, durable) {
            (Some(pauses), _) => Schedule::from_seconds(pauses).map_err(|e| {
                GatewayError::Operator(ConfigError::Value("webhooks.schedule_s", e.to_string()))
            })?,
            (None, true) => Schedule::default(),
            (None, false) => Schedule::short(w.callback_window_ms * 1000),
        };
        // Without a store, delivery loads all messages. The limit on accepted calls bounds their
        // number.
        let unlimited = Limits {
            max_ready_per_endpoint: usize::MAX / 2,
            max_loaded: usize::MAX / 2,
            load_horizon: Micros::MAX / 2,
            ..Limits::default()
        };
        let limits = if durable {
            Limits::default()
        } else {
            unlimited
        };
        let limits = Limits {
            max_in_flight: w.portals,
            disable_after: w.disable_after_s * 1_000_000,
            ..limits
        };
        self.secondary.webhooks = Some(WebhookDriver {
            inbound: WebhookVerifier {
                tolerance_s: w.tolerance_s,
                earlier_identities,
                replays,
                seed,
                classes: self.config.settings.classes.clone(),
                take_rule,
            },
            delivery: Delivery::new(limits, seed, now),
            jobs: SlotMap::with_key(),
            backend,
            replies: VecDeque::new(),
            pending_store_ops: HashMap::new(),
            last_store_op: 0,
            last_seq: found.last_sequence_number,
            out: HashMap::new(),
            idle: HashMap::new(),
            at_most_once_calls: HashMap::new(),
            at_most_once_attempts: SecondaryMap::new(),
            unrecorded: SecondaryMap::new(),
            egress_policy: EgressPolicy::new(&w.allow_networks, &w.deny_networks),
            schedule,
            armed_deadline: None,
            pending: w.pending,
            answer_timeout: w.callback_answer_ms * 1000,
            removal_grace: w.removed_grace_s.saturating_mul(1_000_000),
            retention: (w.retention_days * 86_400_000_000, w.retention_mb << 20),
            stopping: None,
            pending_appends: VecDeque::new(),
            postponed: Vec::new(),
            numbers: HashMap::new(),
        });
        let names: Vec<String> = self
            .secondary
            .tenants
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        names
            .iter()
            .for_each(|name| self.update_delivery_endpoints(now, name));
        self.set_up_former_versions(now);
        self.listen(ListenerKind::Webhook, w.listen)?;
        self.recover(now, found);
        if durable {
            self.core.schedule(
                now + RETENTION_CONTINUE_DELAY,
                GatewayDeadline::Retention.into(),
            );
        }
        Ok(())
    }

    /// Resumes the calls, deliveries and endpoints that the previous process left in the store.
    pub(super) fn recover(&mut self, now: Micros, found: RecoveredState) {
        let Some(hooks) = &mut self.secondary.webhooks else {
            return;
        };
        let mut callbacks_kept = 0;
        for (id, due) in &found.endpoints {
            if hooks.delivery.health(*id).is_some() {
                hooks.delivery.handle(now, Input::Stored(*id, *due));
            } else {
                callbacks_kept += 1;
            }
        }
        let tenants = &self.secondary.tenants;
        let (calls, calls_kept): (Vec<_>, Vec<_>) = found.calls.into_iter().partition(|call| {
            let known = tenants.newest_version(&call.tenant, call.serial);
            known.is_some()
        });
        if callbacks_kept + calls_kept.len() > 0 {
            // Only a store from before a version that stores its tenants has such.
            tracing::warn!(
                endpoints = callbacks_kept,
                calls = calls_kept.len(),
                remedy = "name their tenants and endpoints in the configuration again",
                "unknown tenants are owed answers, which wait in the store"
            );
        }
        self.core.counters.callbacks_unknown += found.unknown_deliveries;
        let (mut run, mut refused, mut unknown) = (0, 0, 0);
        for call in calls {
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
                "resumed the calls of the previous process"
            );
        }
        if found.clock_regressed {
            tracing::warn!("the clock is behind the time of the last write to the store");
        }
    }

    /// Passes the current settings of a tenant's endpoints to delivery.
    pub(in crate::gateway) fn update_delivery_endpoints(&mut self, now: Micros, tenant: &str) {
        let (Some(hooks), Some(t)) = (
            &mut self.secondary.webhooks,
            self.secondary.tenants.get(tenant),
        ) else {
            return;
        };
        let mut addresses = Vec::new();
        for endpoint in t.endpoints.values() {
            hooks.set_delivery_endpoint(now, t.serial, endpoint);
            addresses.push((endpoint.id, endpoint.portal.address));
        }
        for (id, address) in addresses {
            self.close_idle_portal_connections(id, Some(address));
        }
    }

    /// Removes endpoints from delivery and closes their idle connections.
    pub(in crate::gateway) fn remove_delivery_endpoints(
        &mut self,
        now: Micros,
        ids: &[EndpointId],
    ) {
        for id in ids {
            let Some(hooks) = &mut self.secondary.webhooks else {
                return;
            };
            hooks.delivery.handle(now, Input::EndpointRemoved(*id));
            self.close_idle_portal_connections(*id, None);
        }
    }
}
