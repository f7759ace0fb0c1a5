//! The core's commands carried out on worker connections, and their endings reported.

use super::load_coordination::Order;
use super::*;
use crate::core::AttemptDispatch;
use crate::front::webhook::message::Outcome;

impl Gateway {
    /// Carries out commands and reports endings until there is nothing left; then writes.
    pub(super) fn pump(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(done) = self.done.pop_front() {
                self.report(now, done);
            } else if let Some(command) = self.core.next_command() {
                self.perform(now, command);
            } else if self.step_webhooks(now) || self.step_copies(now) || self.step_tenants(now) {
            } else if let Some(key) = self.dirty.pop() {
                self.look_at_leases(key);
                let Some((conn, _)) = self.connections.get_mut(key) else {
                    continue;
                };
                let flushed = conn.flush();
                self.core.counters.written += conn.outbox.take_written();
                match flushed {
                    Ok(true) if conn.closing && (!conn.linger || conn.shut_down_write()) => {
                        self.close(key, CloseReason::Closed)
                    }
                    Ok(true) if conn.paused => {
                        conn.paused = false;
                        self.ready.push(key);
                    }
                    Ok(_) => {}
                    Err(ending) => self.close(key, ending),
                }
            } else {
                return;
            }
        }
    }

    pub(super) fn report(&mut self, now: Micros, done: Completed) {
        match done.exchange {
            Exchange::Attempt(key) => {
                self.attempts.remove(key);
                self.guarded_ended(
                    key,
                    crate::policy::never_ran(done.reason.outcome(done.progress)),
                );
                let worker = self.core.worker_of(key);
                self.tell_outcome(now, worker, done.reason, done.progress);
                self.core
                    .attempt_ended(now, key, done.reason, done.progress, done.reply);
            }
            Exchange::LoadOrder(key) => {
                self.load_orders.remove(key);
                self.order_given_ended(now, key, done.copies);
                self.core
                    .load_ended(now, key, done.reason, done.progress, done.copies);
            }
            Exchange::HealthCheck(key) => {
                self.health_checks.remove(key);
                self.trial_ended(now, key, done.reason);
                self.core
                    .health_check_ended(now, key, done.reason, done.reply.load_report);
            }
        }
    }

    pub(super) fn perform(&mut self, now: Micros, command: Command<Origin>) {
        match command {
            Command::Answer {
                origin: Origin::Client(key),
                answer,
            } => self.answer_client(key, &answer),
            Command::Answer {
                origin: Origin::Webhook(job),
                answer,
            } => self.call_back(now, job, &Outcome::Answered(answer)),
            Command::Dispatch(dispatch) => {
                if let Some(dispatch) = self.defer_until_recorded(now, dispatch) {
                    self.send_attempt(now, dispatch);
                }
            }
            Command::Cancel {
                attempt,
                reason: why,
            } if self.unrecorded(attempt) => {
                self.done.push_back(Completed::without_reply(
                    Exchange::Attempt(attempt),
                    why,
                    SendProgress::Unsent,
                ));
            }
            Command::Cancel {
                attempt,
                reason: why,
            } => {
                let left = self.attempts.get(attempt).copied();
                let left = left.map_or(SendProgress::Started, |key| {
                    self.give_up(now, key, Exchange::Attempt(attempt))
                });
                self.done.push_back(Completed::without_reply(
                    Exchange::Attempt(attempt),
                    why,
                    left,
                ));
            }
            Command::Withdraw {
                attempt,
                reason: why,
            } => {
                if self.unrecorded(attempt) || self.recall(attempt) {
                    self.done.push_back(Completed::without_reply(
                        Exchange::Attempt(attempt),
                        why,
                        SendProgress::Unsent,
                    ));
                }
            }
            Command::Load {
                order: key,
                worker,
                function,
                copies,
            } => {
                let order = Order {
                    key,
                    worker,
                    function,
                    copies,
                };
                if !self.order_waits(now, order) {
                    self.stage(now, order);
                }
            }
            Command::AbandonLoad { order } if self.order_forgotten(now, order) => {
                self.done.push_back(Completed::without_reply(
                    Exchange::LoadOrder(order),
                    CloseReason::TimedOut,
                    SendProgress::Unsent,
                ));
            }
            Command::AbandonLoad { order } => {
                let left = self.load_orders.get(order).copied();
                let left = left.map_or(SendProgress::Started, |key| {
                    self.give_up(now, key, Exchange::LoadOrder(order))
                });
                self.done.push_back(Completed::without_reply(
                    Exchange::LoadOrder(order),
                    CloseReason::TimedOut,
                    left,
                ));
            }
            Command::Unload { worker, function } => {
                if let Ok(key) = self.link(now, worker, "") {
                    let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                        return;
                    };
                    link.send_unload(&mut conn.outbox, function);
                    self.dirty.push(key);
                }
            }
            Command::HealthCheck {
                check: probe,
                worker,
            } => match self.link(now, worker, "") {
                Ok(key) => {
                    let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                        return;
                    };
                    link.send_health_check(&mut conn.outbox, probe);
                    self.health_checks.insert(probe, key);
                    self.dirty.push(key);
                }
                Err(ending) => {
                    self.done.push_back(Completed::without_reply(
                        Exchange::HealthCheck(probe),
                        ending,
                        SendProgress::Unsent,
                    ));
                }
            },
        }
    }

    /// Sends an order to load.
    pub(super) fn stage(&mut self, now: Micros, order: Order) {
        if self.endpoints.is_draining(order.worker) {
            let done = Completed::without_reply(
                Exchange::LoadOrder(order.key),
                CloseReason::Withdrawn,
                SendProgress::Unsent,
            );
            return self.done.push_back(done);
        }
        match self.link(now, order.worker, "") {
            Ok(key) => {
                let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                    return;
                };
                link.send_load(&mut conn.outbox, order.key, order.function, order.copies);
                self.load_orders.insert(order.key, key);
                self.dirty.push(key);
            }
            Err(ending) => self.done.push_back(Completed::without_reply(
                Exchange::LoadOrder(order.key),
                ending,
                SendProgress::Unsent,
            )),
        }
    }

    /// Sends an attempt on a connection to its worker.
    pub(super) fn send_attempt(&mut self, now: Micros, dispatch: AttemptDispatch) {
        let attempt = dispatch.attempt;
        let connection_key = match self.connection_for(now, &dispatch) {
            Ok(key) => key,
            Err(reason) => {
                return self.done.push_back(Completed::without_reply(
                    Exchange::Attempt(attempt),
                    reason,
                    SendProgress::Unsent,
                ))
            }
        };
        let must_run_once = self.runs_once(dispatch.class);
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(connection_key)
        else {
            return;
        };
        let class = self
            .config
            .names
            .classes
            .get(usize::from(dispatch.class.0))
            .map_or("", String::as_str);
        let command = AttemptCommand {
            attempt,
            identity: dispatch.identity,
            class,
            function: dispatch.function,
            wait_ms: dispatch.expires_at.saturating_sub(now) / 1000,
            body: &dispatch.body,
            must_run_once,
        };
        worker.send_attempt(&mut connection.outbox, command);
        self.attempts.insert(attempt, connection_key);
        self.dirty.push(connection_key);
    }

    /// The connection for an attempt, unless its worker is draining.
    fn connection_for(
        &mut self,
        now: Micros,
        dispatch: &AttemptDispatch,
    ) -> Result<ConnKey, CloseReason> {
        if self.endpoints.is_draining(dispatch.worker) {
            return Err(CloseReason::Withdrawn);
        }
        self.link(now, dispatch.worker, &dispatch.identity)
    }

    /// Whether a call of this class must not run twice.
    fn runs_once(&self, class: ClassId) -> bool {
        match self
            .config
            .settings
            .classes
            .get(class.0 as usize)
            .map(|c| c.effect)
        {
            Some(Effect::Idempotent) => false,
            Some(Effect::Keyed { .. } | Effect::NonIdempotent) | None => true,
        }
    }

    /// Takes an attempt back if none of its bytes have left; tells whether it has.
    fn recall(&mut self, attempt: AttemptKey) -> bool {
        let Some(key) = self.attempts.get(attempt) else {
            return false;
        };
        let Some((conn, Role::Worker(link))) = self.connections.get_mut(*key) else {
            return false;
        };
        link.withdraw(&mut conn.outbox, Exchange::Attempt(attempt))
    }

    /// Gives up what is open on a connection. One that has said nothing since takes nothing new: its machine
    /// may have vanished, and then only a new connection shows whether it is back.
    pub(super) fn give_up(&mut self, now: Micros, key: ConnKey, what: Exchange) -> SendProgress {
        let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
            return SendProgress::Started;
        };
        let left = link.cancel(&mut conn.outbox, what, now, now + 10_000_000);
        if left == SendProgress::Started
            && now > link.last_received_at.max(link.last_active_at) + SILENT
        {
            link.retired = true;
        }
        if link.retired && link.open() == 0 {
            self.set_deadline(key, Some(now + 100_000));
        }
        self.dirty.push(key);
        left
    }

    /// A connection to a worker that takes this, opened if need be.
    pub(super) fn link(
        &mut self,
        now: Micros,
        worker: WorkerId,
        id: &str,
    ) -> Result<ConnKey, CloseReason> {
        let streams = self.config.streams;
        let keys = self.worker_connections.entry(worker).or_default();
        let fits = |key: &&ConnKey| match self.connections.get(**key) {
            Some((conn, Role::Worker(link))) => {
                link.accepts(id, streams) && conn.outbox.len() < BACKLOG
            }
            _ => false,
        };
        if let Some(key) = keys.iter().copied().find(|key| fits(&key)) {
            if let Some((_, Role::Worker(link))) = self.connections.get_mut(key) {
                link.last_active_at = if link.open() == 0 {
                    now
                } else {
                    link.last_active_at
                };
            }
            return Ok(key);
        }
        let keys_held = keys.len();
        if keys_held >= MOST_LINKS {
            return Err(CloseReason::ConnectionsFull);
        }
        if self.connections.len() >= self.sockets().saturating_sub(SPARE_DESCRIPTORS) {
            return Err(CloseReason::LocalLimit);
        }
        let address = *self
            .endpoints
            .addresses
            .get(&worker)
            .ok_or(CloseReason::Withdrawn)?;
        let stream = net::connect(address).map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => CloseReason::Refused,
            _ if net::is_local_limit(&e) => CloseReason::LocalLimit,
            _ => CloseReason::ConnectTimeout,
        })?;
        let role = Role::Worker(WorkerConnection::new(worker, now));
        let key = self
            .add(stream, false, role)
            .map_err(|_| CloseReason::ConnectTimeout)?;
        self.core.counters.connects += 1;
        tracing::debug!(worker = worker.0, links = keys_held + 1, "connects");
        self.worker_connections.entry(worker).or_default().push(key);
        self.set_deadline(key, Some(now + self.config.connect_limit));
        Ok(key)
    }
}
