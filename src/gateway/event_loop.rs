//! The gateway's turns: handling of ready connections and due deadlines, then waiting for events.

use std::time::Duration;

use calloop::signals::{Event, Signal, Signals};
use calloop::{EventLoop, LoopHandle};

use super::{Gateway, GatewayDeadline, GatewayError};
use crate::api::Micros;
use crate::operations::loop_timing::{Activity, HeldLoop};

const MICROS_PER_MILLI: Micros = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

impl Gateway {
    /// Registers the signal handlers: SIGTERM and SIGINT drain the gateway, SIGHUP reloads the
    /// configuration, and SIGUSR1 prints the counters.
    ///
    /// Call this before the gateway is reported as ready, as an unhandled signal ends the process,
    /// and before [`Gateway::new`], as the store's thread inherits the signal mask of the thread
    /// that starts it.
    ///
    /// # Errors
    ///
    /// [`GatewayError::Loop`]: the signals cannot be registered with the event loop.
    pub fn watch_signals(handle: &LoopHandle<'static, Gateway>) -> Result<(), GatewayError> {
        let source = Signals::new(&[
            Signal::SIGTERM,
            Signal::SIGINT,
            Signal::SIGHUP,
            Signal::SIGUSR1,
        ])?;
        let callback = |event: Event, _: &mut (), gateway: &mut Gateway| {
            gateway.signals.push(event.signal());
        };
        handle
            .insert_source(source, callback)
            .map_err(|error| GatewayError::Loop(error.error))?;
        Ok(())
    }

    /// Serves until the gateway has been drained and every accepted call has been answered.
    ///
    /// # Errors
    ///
    /// [`GatewayError::Loop`]: the event loop failed.
    pub fn run(&mut self, events: &mut EventLoop<'static, Gateway>) -> Result<(), GatewayError> {
        let mut due_at = None;
        while !self.stop {
            let now = self.clock.now();
            let report = self.timer.begin_pass(now, due_at);
            let clock_offset = self.clock.system_offset();
            self.arrivals.begin_pass(now, due_at, clock_offset);
            log_held_loop(report);
            self.run_once();
            let now = self.clock.now();
            self.arrivals.end_pass(now);
            let report = self.timer.end_pass(now);
            log_held_loop(report);
            if self.stop {
                break;
            }
            let timeout = self.wait_timeout();
            due_at = timeout.map(|timeout| now + timeout.as_micros() as Micros);
            events.dispatch(timeout, self)?;
        }
        Ok(())
    }

    /// Records the end of an activity of the current pass.
    pub(super) fn end_activity(&mut self, activity: Activity) {
        let now = self.clock.now();
        self.timer.end_activity(now, activity);
    }

    /// Returns how long the event loop may wait for events; `None` if no deadline is scheduled.
    fn wait_timeout(&mut self) -> Option<Duration> {
        let now = self.clock.now();
        let has_work = !self.ready.is_empty()
            || !self.turns.is_empty()
            || self.listeners.accept_pending
            || self.ops.is_busy()
            || self.discovery.is_busy()
            || self.cluster.busy();
        if has_work {
            return Some(Duration::ZERO);
        }
        let next = self.core.next_deadline()?;
        Some(Duration::from_micros(next.saturating_sub(now)))
    }

    /// Runs one turn: handles signals, ready connections, due deadlines and the core's commands.
    fn run_once(&mut self) {
        self.handle_signals();
        self.serve_console();
        self.end_activity(Activity::Console);
        self.read_ready();
        self.serve_turns();
        // A reply that has been read takes precedence over a deadline that passes in the same turn.
        while let Some(completed) = self.completed.pop_front() {
            let now = self.clock.now();
            self.report_completed(now, completed);
        }
        self.end_activity(Activity::Connections);
        let now = self.clock.now();
        self.apply_staged(now);
        self.handle_unhandled(now);
        self.end_activity(Activity::EndpointList);
        // Datagrams that have arrived count before the timeouts of those who sent them.
        let now = self.clock.now();
        self.step_gossip(now);
        self.end_activity(Activity::Cluster);
        self.tick();
        self.end_activity(Activity::Deadlines);
        if self.listeners.accept_pending {
            self.accept_all();
        }
        self.end_activity(Activity::Accepting);
        self.run_commands();
        self.end_activity(Activity::Commands);
        let now = self.clock.now();
        self.step_gossip(now);
        self.step_consensus(now);
        self.end_activity(Activity::Cluster);
        // Advice from peers may have caused further commands.
        self.run_commands();
        self.watch_memory(now);
        self.stop_if_drained(now);
        self.end_activity(Activity::Commands);
    }

    /// Reads the connections that are ready. If much is read, the rest waits for the next pass, in
    /// which what was read has been handled.
    fn read_ready(&mut self) {
        let mut ready = std::mem::take(&mut self.ready).into_iter();
        for key in ready.by_ref() {
            self.on_ready(key);
            if self.count_memory_if_due() {
                break;
            }
        }
        let added = std::mem::replace(&mut self.ready, ready.collect());
        self.ready.extend(added);
    }

    fn handle_signals(&mut self) {
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => {
                    eprintln!("counters {}", self.core.counters);
                    eprintln!("loop_figures {}", self.timer.figures());
                }
                Signal::SIGHUP => {
                    self.reload();
                    self.end_activity(Activity::Reload);
                }
                _ => self.drain(),
            }
        }
        self.end_activity(Activity::Signals);
    }

    /// Stops a draining gateway that has no listener, client or webhook call left and has handed
    /// its shards over.
    fn stop_if_drained(&mut self, now: Micros) {
        let webhooks = self.secondary.webhooks.as_ref();
        let webhooks_idle = webhooks.is_none_or(|webhooks| webhooks.is_idle(now));
        let drained = self.ops.lifecycle.is_shutting_down()
            && self.listeners.sockets.is_empty()
            && self.client_slots.is_empty()
            && webhooks_idle;
        if drained {
            let late = webhooks.is_some_and(|webhooks| webhooks.is_shutdown_overdue(now));
            self.stop = self.hand_over_shards() || late;
        }
    }

    /// Handles the deadlines that have fallen due.
    fn tick(&mut self) {
        let now = self.clock.now();
        if let Some(first) = self.core.next_deadline().filter(|at| *at <= now) {
            self.timer.record_deadline(now - first);
        }
        let mut due = Vec::new();
        self.core.tick(now, &mut due);
        for deadline in due {
            let deadline = GatewayDeadline::from(deadline);
            self.handle_deadline(now, deadline);
            self.end_activity(activity_of(deadline));
        }
    }

    fn handle_deadline(&mut self, now: Micros, deadline: GatewayDeadline) {
        match deadline {
            GatewayDeadline::DiscoveryReconnect => self.connect_discovery(now),
            GatewayDeadline::StopAccepting => {
                if self.stop_accepting(now) {
                    self.stop_webhooks(now);
                    self.leave_gossip_group(now);
                }
            }
            GatewayDeadline::AcceptRetry => self.listeners.accept_pending = true,
            GatewayDeadline::BundleReload => self.load_bundle(now),
            GatewayDeadline::Delivery => self.tick_webhooks(now),
            GatewayDeadline::Retention => self.begin_retention_pass(now),
            GatewayDeadline::Gossip => self.tick_gossip(now),
            GatewayDeadline::Consensus => self.tick_consensus(),
            GatewayDeadline::Replication => self.tick_replication(),
            GatewayDeadline::Tenants => self.tick_tenants(now),
            GatewayDeadline::FormerTenants => {
                self.secondary.former_check_at = None;
                self.drop_settled_versions(now);
            }
            GatewayDeadline::HealthChecks => self.tick_health_checks(now),
            GatewayDeadline::LoadCoordination => self.tick_load_coordination(now),
            GatewayDeadline::ConsoleAcceptRetry => self.retry_console_accept(),
            GatewayDeadline::HotRestart => self.step_hot_restart(now),
            GatewayDeadline::Connection(key) => self.on_deadline(now, key),
        }
    }
}

/// The activity that a deadline's handling counts as.
fn activity_of(deadline: GatewayDeadline) -> Activity {
    match deadline {
        GatewayDeadline::HotRestart => Activity::HotRestart,
        GatewayDeadline::Delivery | GatewayDeadline::Retention => Activity::Store,
        GatewayDeadline::Gossip
        | GatewayDeadline::Consensus
        | GatewayDeadline::Replication
        | GatewayDeadline::Tenants
        | GatewayDeadline::FormerTenants
        | GatewayDeadline::HealthChecks
        | GatewayDeadline::LoadCoordination => Activity::Cluster,
        GatewayDeadline::DiscoveryReconnect
        | GatewayDeadline::StopAccepting
        | GatewayDeadline::AcceptRetry
        | GatewayDeadline::BundleReload
        | GatewayDeadline::ConsoleAcceptRetry
        | GatewayDeadline::Connection(_) => Activity::Deadlines,
    }
}

/// Logs that the loop was held, with the cause and the processor time that the system granted.
fn log_held_loop(report: Option<HeldLoop>) {
    match report {
        None => {}
        Some(HeldLoop::SlowPass {
            duration,
            longest,
            longest_time,
        }) => tracing::warn!(
            duration_ms = duration / MICROS_PER_MILLI,
            longest = longest.name(),
            longest_ms = longest_time / MICROS_PER_MILLI,
            core_wait_total_ms = ?core_wait_total_ms(),
            "event loop pass was slow"
        ),
        Some(HeldLoop::LateWakeUp { late_by }) => tracing::warn!(
            late_ms = late_by / MICROS_PER_MILLI,
            core_wait_total_ms = ?core_wait_total_ms(),
            "event loop woke up late"
        ),
    }
}

/// The time for which the process was ready to run and had no core, since its start, if the system
/// tells: the second figure of its scheduler statistics, in nanoseconds.
fn core_wait_total_ms() -> Option<u64> {
    let statistics = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    let nanos: u64 = statistics.split_whitespace().nth(1)?.parse().ok()?;
    Some(nanos / NANOS_PER_MILLI)
}
