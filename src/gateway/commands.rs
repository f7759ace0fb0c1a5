//! Carries out the core's commands and reports completed exchanges to the core.

use super::load_coordination::Order;
use super::{ConnKey, Gateway, Origin, Role};
use crate::api::{Effect, FunctionId, Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::{
    AttemptCompletion, AttemptDispatch, AttemptKey, Command, HealthCheckKey, LoadOrderKey,
};
use crate::front::webhook::message::Outcome;
use crate::policy::never_ran;
use crate::worker::{AttemptCommand, Completed, Exchange};

impl Gateway {
    /// Carries out commands and reports completed exchanges until none are left; then writes the
    /// output of connections.
    pub(super) fn run_commands(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(completed) = self.completed.pop_front() {
                self.report_completed(now, completed);
            } else if let Some(command) = self.core.next_command() {
                self.perform_command(now, command);
            } else if self.step_webhooks(now)
                || self.step_replication(now)
                || self.step_tenants(now)
            {
                continue;
            } else if let Some(key) = self.dirty.pop() {
                self.withdraw_expired_effects(key);
                self.withdraw_without_evidence(now, key);
                if self.close_departed_clients_of(key) {
                    // Their attempts are withdrawn before anything is written.
                    self.dirty.push(key);
                } else {
                    self.flush_connection(key);
                }
            } else {
                return;
            }
        }
    }

    /// Writes a connection's output as far as the socket accepts it. Closes a closing connection
    /// once all its output is written.
    fn flush_connection(&mut self, key: ConnKey) {
        let Some((connection, _)) = self.connections.get_mut(key) else {
            return;
        };
        let flushed = connection.flush();
        self.core.counters.written += connection.outbox.take_written();
        match flushed {
            Ok(true)
                if connection.closing && (!connection.linger || connection.shut_down_write()) =>
            {
                self.close(key, CloseReason::Closed)
            }
            Ok(true) if connection.paused => {
                connection.paused = false;
                self.ready.push(key);
            }
            Ok(_) => {}
            Err(reason) => self.close(key, reason),
        }
    }

    /// Reports a completed exchange to the core and to the subsystems that observe exchanges.
    pub(super) fn report_completed(&mut self, now: Micros, completed: Completed) {
        let reason = completed.reason;
        let progress = completed.progress;
        match completed.exchange {
            Exchange::Attempt(key) => {
                self.routes.attempts.remove(key);
                self.at_most_once_attempt_ended(key, never_ran(reason.outcome(progress)));
                let worker = self.core.worker_of(key);
                self.observe_outcome(now, worker, reason, progress);
                let arrived_at = completed.reply_arrived_at.unwrap_or(now);
                let end = AttemptCompletion {
                    reason,
                    progress,
                    unread_for: now.saturating_sub(arrived_at),
                };
                self.core.attempt_ended(now, key, end, completed.reply);
            }
            Exchange::LoadOrder(key) => {
                self.routes.load_orders.remove(key);
                self.on_load_order_ended(now, key, completed.copies);
                self.core
                    .load_ended(now, key, reason, progress, completed.copies);
            }
            Exchange::HealthCheck(key) => {
                let connection = self.routes.health_checks.remove(key);
                let opened_at = connection.and_then(|key| self.worker_connection_opened_at(key));
                // The lease holder's health checker has a timeout of its own.
                if reason != CloseReason::TimedOut {
                    self.on_health_check_probe_ended(now, key, reason);
                }
                let load_report = completed.reply.load_report;
                self.core
                    .health_check_ended(now, key, reason, load_report, opened_at);
            }
        }
    }

    fn perform_command(&mut self, now: Micros, command: Command<Origin>) {
        match command {
            Command::Answer { origin, answer } => match origin {
                Origin::Client(key) => self.answer_client(key, &answer),
                Origin::Webhook(job) => self.complete_call(now, job, &Outcome::Answered(answer)),
            },
            Command::ReleaseIdentity { origin, identity } => {
                // The identities of webhook calls have a store of their own.
                if let Origin::Client(_) = origin {
                    self.identities.release(&identity);
                }
            }
            Command::Dispatch(dispatch) => {
                if let Some(dispatch) = self.defer_until_recorded(now, dispatch) {
                    self.send_attempt(now, dispatch);
                }
            }
            Command::Cancel { attempt, reason } => self.cancel_attempt(now, attempt, reason),
            Command::Withdraw { attempt, reason } => {
                if self.discard_unrecorded_attempt(attempt) || self.withdraw_attempt(attempt) {
                    self.complete_unsent(Exchange::Attempt(attempt), reason);
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
                if !self.delay_order(now, order) {
                    self.send_load_order(now, order);
                }
            }
            Command::AbandonLoad { order } => self.abandon_load_order(now, order),
            Command::Unload { worker, function } => self.send_unload(now, worker, function),
            Command::HealthCheck { check, worker } => self.send_health_check(now, check, worker),
            Command::AbandonHealthCheck { check } => self.abandon_health_check(now, check),
            Command::ReopenDiscovery => self.reopen_discovery(now),
        }
    }

    /// Queues the report of an exchange of which no byte was sent.
    fn complete_unsent(&mut self, exchange: Exchange, reason: CloseReason) {
        let completed = Completed::without_reply(exchange, reason, SendProgress::Unsent);
        self.completed.push_back(completed);
    }

    fn cancel_attempt(&mut self, now: Micros, attempt: AttemptKey, reason: CloseReason) {
        let exchange = Exchange::Attempt(attempt);
        if self.discard_unrecorded_attempt(attempt) {
            return self.complete_unsent(exchange, reason);
        }
        let connection_key = self.routes.attempts.get(attempt).copied();
        let progress = connection_key.map_or(SendProgress::Started, |key| {
            self.cancel_exchange(now, key, exchange)
        });
        self.completed
            .push_back(Completed::without_reply(exchange, reason, progress));
    }

    fn abandon_load_order(&mut self, now: Micros, order: LoadOrderKey) {
        let exchange = Exchange::LoadOrder(order);
        if self.cancel_delayed_order(now, order) {
            return self.complete_unsent(exchange, CloseReason::TimedOut);
        }
        let connection_key = self.routes.load_orders.get(order).copied();
        let progress = connection_key.map_or(SendProgress::Started, |key| {
            self.cancel_exchange(now, key, exchange)
        });
        self.completed.push_back(Completed::without_reply(
            exchange,
            CloseReason::TimedOut,
            progress,
        ));
    }

    fn abandon_health_check(&mut self, now: Micros, check: HealthCheckKey) {
        let exchange = Exchange::HealthCheck(check);
        let connection_key = self.routes.health_checks.get(check).copied();
        let progress = connection_key.map_or(SendProgress::Unsent, |key| {
            self.cancel_exchange(now, key, exchange)
        });
        self.completed.push_back(Completed::without_reply(
            exchange,
            CloseReason::TimedOut,
            progress,
        ));
    }

    /// Closes the connections of clients that have departed while their attempts wait on a worker's
    /// connection to be written; returns whether there were any.
    fn close_departed_clients_of(&mut self, key: ConnKey) -> bool {
        let Some((connection, Role::Worker(worker))) = self.connections.get(key) else {
            return false;
        };
        if !connection.connected {
            return false;
        }
        let clients = worker
            .unsent_attempts(&connection.outbox)
            .into_iter()
            .filter_map(|attempt| match self.core.origin_of(attempt) {
                Some(Origin::Client(key)) => Some(*key),
                Some(Origin::Webhook(_)) | None => None,
            });
        let departed: Vec<ConnKey> = clients
            .filter(|client| {
                let connection = self.connections.get(*client);
                connection.is_some_and(|(connection, _)| connection.has_peer_departed())
            })
            .collect();
        for client in &departed {
            self.close_departed(*client, CloseReason::Closed);
        }
        !departed.is_empty()
    }

    /// Withdraws unsent attempts and load orders if the core no longer has evidence that the worker
    /// accepts new work. The evidence may expire while they wait for the connection to open.
    fn withdraw_without_evidence(&mut self, now: Micros, key: ConnKey) {
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
            return;
        };
        if connection.outbox.is_empty() || self.core.may_send(now, worker.worker) {
            return;
        }
        let mut withdrawn = Vec::new();
        worker.withdraw_unsent_work(&mut connection.outbox, &mut withdrawn);
        self.core.counters.sends_withheld += withdrawn.len() as u64;
        self.completed.extend(withdrawn);
    }

    /// Whether a worker may be sent new work, according to service discovery, the operators'
    /// overrides and the evidence.
    fn accepts_new_work(&mut self, now: Micros, worker: WorkerId) -> bool {
        if self.discovery.endpoints.is_draining(worker) {
            return false;
        }
        let has_evidence = self.core.may_send(now, worker);
        self.core.counters.sends_withheld += u64::from(!has_evidence);
        has_evidence
    }

    /// Tells a worker to unload a function's idle copies; without a connection they stay loaded.
    fn send_unload(&mut self, now: Micros, worker: WorkerId, function: FunctionId) {
        let Ok(key) = self.connection_to(now, worker, "") else {
            return;
        };
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
            return;
        };
        worker.send_unload(&mut connection.outbox, function);
        self.dirty.push(key);
    }

    fn send_health_check(&mut self, now: Micros, check: HealthCheckKey, worker: WorkerId) {
        let key = match self.connection_to(now, worker, "") {
            Ok(key) => key,
            Err(reason) => return self.complete_unsent(Exchange::HealthCheck(check), reason),
        };
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
            return;
        };
        worker.send_health_check(&mut connection.outbox, check);
        self.routes.health_checks.insert(check, key);
        self.dirty.push(key);
    }

    /// Sends a load order if its worker may be sent new work.
    pub(super) fn send_load_order(&mut self, now: Micros, order: Order) {
        let exchange = Exchange::LoadOrder(order.key);
        if !self.accepts_new_work(now, order.worker) {
            return self.complete_unsent(exchange, CloseReason::Withdrawn);
        }
        let key = match self.connection_to(now, order.worker, "") {
            Ok(key) => key,
            Err(reason) => return self.complete_unsent(exchange, reason),
        };
        let Some((connection, Role::Worker(worker))) = self.connections.get_mut(key) else {
            return;
        };
        worker.send_load(
            &mut connection.outbox,
            order.key,
            order.function,
            order.copies,
        );
        self.routes.load_orders.insert(order.key, key);
        self.dirty.push(key);
    }

    /// Sends an attempt on a connection to its worker.
    pub(super) fn send_attempt(&mut self, now: Micros, dispatch: AttemptDispatch) {
        let attempt = dispatch.attempt;
        let connection_key = match self.connection_for(now, &dispatch) {
            Ok(key) => key,
            Err(reason) => return self.complete_unsent(Exchange::Attempt(attempt), reason),
        };
        let run_at_most_once = dispatch.effect != Effect::Idempotent;
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
            idempotency_key: dispatch.idempotency_key.as_ref(),
            class,
            function: dispatch.function,
            wait_ms: dispatch.expires_at.saturating_sub(now) / 1000,
            body: &dispatch.body,
            run_at_most_once,
        };
        worker.send_attempt(&mut connection.outbox, command);
        self.routes.attempts.insert(attempt, connection_key);
        self.dirty.push(connection_key);
    }

    /// Returns the connection for an attempt if its worker may be sent new work.
    fn connection_for(
        &mut self,
        now: Micros,
        dispatch: &AttemptDispatch,
    ) -> Result<ConnKey, CloseReason> {
        if !self.accepts_new_work(now, dispatch.worker) {
            return Err(CloseReason::Withdrawn);
        }
        self.connection_to(now, dispatch.worker, &dispatch.identity)
    }
}
