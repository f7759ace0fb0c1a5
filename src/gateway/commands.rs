//! The core's commands carried out on worker connections, and their endings reported.

use super::load_coordination::Order;
use super::{ConnKey, Gateway, Origin, Role};
use crate::api::{ClassId, Effect, Micros};
use crate::completion::{CloseReason, SendProgress};
use crate::core::AttemptDispatch;
use crate::core::Command;
use crate::front::webhook::message::Outcome;
use crate::worker::{AttemptCommand, Completed, Exchange};

impl Gateway {
    /// Carries out commands and reports endings until there is nothing left; then writes.
    pub(super) fn run_commands(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(done) = self.completed.pop_front() {
                self.report_completed(now, done);
            } else if let Some(command) = self.core.next_command() {
                self.perform_command(now, command);
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

    pub(super) fn report_completed(&mut self, now: Micros, done: Completed) {
        match done.exchange {
            Exchange::Attempt(key) => {
                self.routes.attempts.remove(key);
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
                self.routes.load_orders.remove(key);
                self.order_given_ended(now, key, done.copies);
                self.core
                    .load_ended(now, key, done.reason, done.progress, done.copies);
            }
            Exchange::HealthCheck(key) => {
                self.routes.health_checks.remove(key);
                self.trial_ended(now, key, done.reason);
                self.core
                    .health_check_ended(now, key, done.reason, done.reply.load_report);
            }
        }
    }

    pub(super) fn perform_command(&mut self, now: Micros, command: Command<Origin>) {
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
                self.completed.push_back(Completed::without_reply(
                    Exchange::Attempt(attempt),
                    why,
                    SendProgress::Unsent,
                ));
            }
            Command::Cancel {
                attempt,
                reason: why,
            } => {
                let left = self.routes.attempts.get(attempt).copied();
                let left = left.map_or(SendProgress::Started, |key| {
                    self.cancel_exchange(now, key, Exchange::Attempt(attempt))
                });
                self.completed.push_back(Completed::without_reply(
                    Exchange::Attempt(attempt),
                    why,
                    left,
                ));
            }
            Command::Withdraw {
                attempt,
                reason: why,
            } => {
                if self.unrecorded(attempt) || self.withdraw_attempt(attempt) {
                    self.completed.push_back(Completed::without_reply(
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
                    self.send_load_order(now, order);
                }
            }
            Command::AbandonLoad { order } if self.order_forgotten(now, order) => {
                self.completed.push_back(Completed::without_reply(
                    Exchange::LoadOrder(order),
                    CloseReason::TimedOut,
                    SendProgress::Unsent,
                ));
            }
            Command::AbandonLoad { order } => {
                let left = self.routes.load_orders.get(order).copied();
                let left = left.map_or(SendProgress::Started, |key| {
                    self.cancel_exchange(now, key, Exchange::LoadOrder(order))
                });
                self.completed.push_back(Completed::without_reply(
                    Exchange::LoadOrder(order),
                    CloseReason::TimedOut,
                    left,
                ));
            }
            Command::Unload { worker, function } => {
                if let Ok(key) = self.connection_to(now, worker, "") {
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
            } => match self.connection_to(now, worker, "") {
                Ok(key) => {
                    let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                        return;
                    };
                    link.send_health_check(&mut conn.outbox, probe);
                    self.routes.health_checks.insert(probe, key);
                    self.dirty.push(key);
                }
                Err(ending) => {
                    self.completed.push_back(Completed::without_reply(
                        Exchange::HealthCheck(probe),
                        ending,
                        SendProgress::Unsent,
                    ));
                }
            },
        }
    }

    /// Sends an order to load.
    pub(super) fn send_load_order(&mut self, now: Micros, order: Order) {
        if self.discovery.endpoints.is_draining(order.worker) {
            let done = Completed::without_reply(
                Exchange::LoadOrder(order.key),
                CloseReason::Withdrawn,
                SendProgress::Unsent,
            );
            return self.completed.push_back(done);
        }
        match self.connection_to(now, order.worker, "") {
            Ok(key) => {
                let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                    return;
                };
                link.send_load(&mut conn.outbox, order.key, order.function, order.copies);
                self.routes.load_orders.insert(order.key, key);
                self.dirty.push(key);
            }
            Err(ending) => self.completed.push_back(Completed::without_reply(
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
                return self.completed.push_back(Completed::without_reply(
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
        self.routes.attempts.insert(attempt, connection_key);
        self.dirty.push(connection_key);
    }

    /// The connection for an attempt, unless its worker is draining.
    fn connection_for(
        &mut self,
        now: Micros,
        dispatch: &AttemptDispatch,
    ) -> Result<ConnKey, CloseReason> {
        if self.discovery.endpoints.is_draining(dispatch.worker) {
            return Err(CloseReason::Withdrawn);
        }
        self.connection_to(now, dispatch.worker, &dispatch.identity)
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
}
