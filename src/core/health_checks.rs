//! Health checks of workers, requested by the decision module or for the fleet.

use slotmap::Key;

use super::deadlines::Deadline;
use super::{Command, Core, HealthCheckKey};
use crate::api::{Event, LoadReport, Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};

/// The timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Micros = 250_000;

/// A health check in flight.
#[derive(Debug)]
pub(super) struct HealthCheck {
    worker: WorkerId,
    sent_at: Micros,
    expires_at: Micros,
}

impl<O: Clone + std::fmt::Debug> Core<O> {
    /// Starts a health check of a worker.
    pub fn start_health_check(&mut self, now: Micros, worker: WorkerId) -> HealthCheckKey {
        let expires_at = now + HEALTH_CHECK_TIMEOUT;
        let check = self.health_checks.insert(HealthCheck {
            worker,
            sent_at: now,
            expires_at,
        });
        self.deadlines
            .insert(expires_at, Deadline::HealthCheck(check.data().as_ffi()));
        self.counters.health_checks += 1;
        self.commands
            .push_back(Command::HealthCheck { check, worker });
        check
    }

    /// Returns whether a health check is in flight.
    pub fn has_health_check(&self, key: HealthCheckKey) -> bool {
        self.health_checks.contains_key(key)
    }

    /// Handles the end of a health check that the driver reports. `connection_opened_at` is the time at which its
    /// connection was opened, if there was one.
    pub fn health_check_ended(
        &mut self,
        now: Micros,
        key: HealthCheckKey,
        reason: CloseReason,
        load_report: Option<LoadReport>,
        connection_opened_at: Option<Micros>,
    ) {
        let Some(check) = self.health_checks.remove(key) else {
            return;
        };
        self.deadlines
            .remove(check.expires_at, Deadline::HealthCheck(key.data().as_ffi()));
        let outcome = reason.outcome(SendProgress::Started);
        self.count_health_check(outcome);
        self.handle_event(
            now,
            Event::HealthChecked {
                worker: check.worker,
                outcome,
                load_report,
                latency: now.saturating_sub(check.sent_at),
                connection_opened_at,
            },
        );
    }
}
