//! The core's commands carried out on worker connections, and their endings reported.

use super::load_coordination::Order;
use super::*;
use crate::front::webhook::message::Outcome;

impl Gateway {
    /// Carries out commands and reports endings until there is nothing left; then writes.
    pub(super) fn pump(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(done) = self.done.pop_front() {
                self.report(now, done);
            } else if let Some(command) = self.core.command() {
                self.perform(now, command);
            } else if self.step_webhooks(now)
                || self.step_replication(now)
                || self.step_tenants(now)
            {
            } else if let Some(key) = self.dirty.pop() {
                self.withdraw_expired_effects(key);
                let Some((conn, _)) = self.connections.get_mut(key) else {
                    continue;
                };
                let flushed = conn.flush();
                self.core.counters.written += conn.out.take_whole();
                match flushed {
                    Ok(true) if conn.closing && (!conn.linger || conn.hang_up()) => {
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
        match done.what {
            Exchange::Attempt(key) => {
                self.attempts.remove(key);
                self.guarded_ended(
                    key,
                    crate::policy::never_ran(done.ending.outcome(done.left)),
                );
                let worker = self.core.worker_of(key);
                self.tell_outcome(now, worker, done.ending, done.left);
                self.core.ended(now, key, done.ending, done.left, done.back);
            }
            Exchange::Order(key) => {
                self.load_orders.remove(key);
                self.on_load_order_ended(now, key, done.copies);
                self.core
                    .order_ended(now, key, done.ending, done.left, done.copies);
            }
            Exchange::Probe(key) => {
                self.health_checks.remove(key);
                self.on_health_check_probe_ended(now, key, done.ending);
                self.core
                    .probe_ended(now, key, done.ending, done.back.load_report);
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
            command @ Command::Dispatch { .. } if self.wait_for_record(now, &command) => {}
            Command::Dispatch {
                attempt,
                worker,
                id,
                class,
                function,
                expires_at: expires,
                body,
            } => self.go(now, attempt, worker, id, class, function, expires, &body),
            Command::Cancel {
                attempt,
                reason: why,
            } if self.unrecorded(attempt) => {
                self.done.push_back(Completed::plain(
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
                self.done
                    .push_back(Completed::plain(Exchange::Attempt(attempt), why, left));
            }
            Command::Withdraw {
                attempt,
                reason: why,
            } => {
                if self.unrecorded(attempt) || self.recall(attempt) {
                    self.done.push_back(Completed::plain(
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
                if !self.delay_order(now, order) {
                    self.stage(now, order);
                }
            }
            Command::AbandonLoad { order } if self.cancel_delayed_order(now, order) => {
                self.done.push_back(Completed::plain(
                    Exchange::Order(order),
                    CloseReason::TimedOut,
                    SendProgress::Unsent,
                ));
            }
            Command::AbandonLoad { order } => {
                let left = self.load_orders.get(order).copied();
                let left = left.map_or(SendProgress::Started, |key| {
                    self.give_up(now, key, Exchange::Order(order))
                });
                self.done.push_back(Completed::plain(
                    Exchange::Order(order),
                    CloseReason::TimedOut,
                    left,
                ));
            }
            Command::Unload { worker, function } => {
                if let Ok(key) = self.link(now, worker, "") {
                    let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
                        return;
                    };
                    link.send_unload(&mut conn.out, function);
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
                    link.send_health_check(&mut conn.out, probe);
                    self.health_checks.insert(probe, key);
                    self.dirty.push(key);
                }
                Err(ending) => {
                    self.done.push_back(Completed::plain(
                        Exchange::Probe(probe),
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
            let done = Completed::plain(
                Exchange::Order(order.key),
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
                link.send_load(&mut conn.out, order.key, order.function, order.copies);
                self.load_orders.insert(order.key, key);
                self.dirty.push(key);
            }
            Err(ending) => self.done.push_back(Completed::plain(
                Exchange::Order(order.key),
                ending,
                SendProgress::Unsent,
            )),
        }
    }

    /// Sends an attempt.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn go(
        &mut self,
        now: Micros,
        attempt: AttemptKey,
        worker: WorkerId,
        id: Rc<str>,
        class: ClassId,
        function: FunctionId,
        expires: Micros,
        body: &[u8],
    ) {
        let linked = match self.endpoints.is_draining(worker) {
            true => Err(CloseReason::Withdrawn),
            false => self.link(now, worker, &id),
        };
        let key = match linked {
            Ok(key) => key,
            Err(ending) => {
                return self.done.push_back(Completed::plain(
                    Exchange::Attempt(attempt),
                    ending,
                    SendProgress::Unsent,
                ))
            }
        };
        let once = self.runs_once(class);
        let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
            return;
        };
        let class = self
            .config
            .names
            .classes
            .get(class.0 as usize)
            .map_or("", String::as_str);
        let wait_ms = expires.saturating_sub(now) / 1000;
        link.send_attempt(
            &mut conn.out,
            AttemptCommand {
                attempt,
                id,
                class,
                function,
                wait_ms,
                body,
                once,
            },
        );
        self.attempts.insert(attempt, key);
        self.dirty.push(key);
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
        link.withdraw(&mut conn.out, Exchange::Attempt(attempt))
    }

    /// Gives up what is open on a connection. One that has said nothing since takes nothing new: its machine
    /// may have vanished, and then only a new connection shows whether it is back.
    pub(super) fn give_up(&mut self, now: Micros, key: ConnKey, what: Exchange) -> SendProgress {
        let Some((conn, Role::Worker(link))) = self.connections.get_mut(key) else {
            return SendProgress::Started;
        };
        let left = link.cancel(&mut conn.out, what, now, now + 10_000_000);
        if left == SendProgress::Started && now > link.heard.max(link.busy) + SILENT {
            link.suspect = true;
        }
        if link.suspect && link.open() == 0 {
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
                link.accepts(id, streams) && conn.out.len() < BACKLOG
            }
            _ => false,
        };
        if let Some(key) = keys.iter().copied().find(|key| fits(&key)) {
            if let Some((_, Role::Worker(link))) = self.connections.get_mut(key) {
                link.busy = if link.open() == 0 { now } else { link.busy };
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
            _ if net::is_own_limit(&e) => CloseReason::LocalLimit,
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
