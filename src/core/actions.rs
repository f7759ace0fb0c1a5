//! Delivery of events to the decision module and execution of its actions.

use super::deadlines::Deadline;
use super::{Answer, Command, Core};
use crate::api::{
    Action, Event, ListUpdate, LoadRateLimit, Micros, TenantId, WorkerEntry, WorkerId,
};

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Applies an update of the worker list.
    pub fn update_workers(&mut self, now: Micros, update: ListUpdate, workers: Vec<WorkerEntry>) {
        self.handle_event(now, Event::WorkerList { update, workers });
    }

    /// Sets a tenant's quota in calls per second over all gateways; 0 means no quota.
    pub fn set_tenant_quota(&mut self, now: Micros, tenant: TenantId, quota_per_s: f64) {
        self.handle_event(
            now,
            Event::TenantQuota {
                tenant,
                quota_per_s,
            },
        );
    }

    /// Sets this instance's shares of the load rate limit and of the capacity of cold workers.
    pub fn set_instance_limits(
        &mut self,
        now: Micros,
        load_rate_limit: Option<LoadRateLimit>,
        overload_multiple: f64,
        observed_capacity: f64,
    ) {
        self.handle_event(
            now,
            Event::InstanceLimits {
                load_rate_limit,
                overload_multiple,
                observed_capacity,
            },
        );
    }

    /// Reports peers' observations of a worker to the decision module; see [`Event::PeerHealth`].
    pub fn update_peer_health(
        &mut self,
        now: Micros,
        worker: WorkerId,
        unhealthy_until: Option<Micros>,
    ) {
        self.handle_event(
            now,
            Event::PeerHealth {
                worker,
                unhealthy_until,
            },
        );
    }

    /// Passes an event to the module and performs the resulting actions. An event that an action raises is queued, so
    /// that the module is not re-entered.
    pub(super) fn handle_event(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        if self.events.len() > 1 {
            return;
        }
        // The event stays in the queue while it is handled: a non-empty queue defers further events.
        while let Some(event) = self.events.front().cloned() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle_event(now, event, &mut actions);
            self.undecided_since = Some(now);
            self.perform_actions(now, actions);
            self.events.pop_front();
        }
        self.log_evidence_changes();
    }

    /// Lets the module decide on all pending requests if it has handled an event since its last decision.
    pub(super) fn decide(&mut self) {
        let Some(now) = self.undecided_since.take() else {
            return;
        };
        self.counters.settled += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.append_actions(now, &mut actions);
        self.log_evidence_changes();
        self.perform_actions(now, actions);
    }

    /// Performs actions in order and keeps their buffer for reuse.
    fn perform_actions(&mut self, now: Micros, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            self.perform_action(now, action);
        }
        self.actions = actions;
    }

    fn perform_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                worker,
                timeout,
            } => self.send_attempt(now, request, worker, timeout),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => {
                if self.policy.healthy_workers() == 0 && self.policy.is_discovery_lost(now) {
                    self.counters.rejected_without_evidence += 1;
                }
                self.answer_request(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => self.answer_request(request, Answer::Failed),
            Action::Load {
                worker,
                function,
                copies,
            } => self.send_load_order(now, worker, function, copies),
            Action::Unload { worker, function } => self
                .commands
                .push_back(Command::Unload { worker, function }),
            Action::HealthCheck { worker } => {
                self.start_health_check(now, worker);
            }
            Action::Wake { after, token } => self
                .deadlines
                .insert(now + after.max(1), Deadline::Wake(token)),
            // Service discovery pushes updates without a subscription.
            Action::Subscribe => {}
            Action::ReopenDiscovery => self.commands.push_back(Command::ReopenDiscovery),
        }
    }
}
