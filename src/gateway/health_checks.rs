//! Drives health checks: passes own outcomes, the list of workers and verdicts to
//! [`HealthChecker`], and carries out its probes, reports and advice. It decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{json, Value};

use super::{Gateway, GatewayDeadline};
use crate::api::{Micros, WorkerId};
use crate::completion::CloseReason;
use crate::consensus::participant;
use crate::core::HealthCheckKey;
use crate::health_checks::{HealthChecker, Input, Output, ProbeResult, Verdict, LEASE_NAME};
use crate::membership::group::AttemptOutcome;

#[cfg(test)]
mod fixture_tests;

/// The driver of health checks; exists only while their lease is configured.
#[derive(Debug)]
pub(super) struct HealthCheckDriver {
    checker: HealthChecker,
    /// Probes of the lease holder in progress.
    probes: BTreeMap<HealthCheckKey, WorkerId>,
    /// When the scheduled deadline is due.
    scheduled_at: Option<Micros>,
}

/// Encodes verdicts for the other gateways, as pairs of a worker's number and whether it is
/// unhealthy.
fn encode_verdicts(verdicts: Vec<Verdict>) -> Vec<u8> {
    let pairs: Vec<(u32, bool)> = verdicts
        .into_iter()
        .map(|verdict| (verdict.worker.0, verdict.unhealthy))
        .collect();
    // Pairs always encode.
    postcard::to_stdvec(&pairs).unwrap_or_default()
}

/// Decodes verdicts; none if they cannot be decoded.
fn decode_verdicts(content: &[u8]) -> Vec<Verdict> {
    let pairs: Vec<(u32, bool)> = postcard::from_bytes(content).unwrap_or_default();
    pairs
        .into_iter()
        .map(|(worker, unhealthy)| Verdict {
            worker: WorkerId(worker),
            unhealthy,
        })
        .collect()
}

impl Gateway {
    /// Starts health checks. `ready` contains the workers that are ready.
    pub(super) fn set_up_health_checks(&mut self, now: Micros, ready: BTreeSet<WorkerId>) {
        let mut checker = HealthChecker::default();
        checker.handle(now, Input::Ready(ready));
        self.cluster.health_checks = Some(HealthCheckDriver {
            checker,
            probes: BTreeMap::new(),
            scheduled_at: None,
        });
    }

    fn handle_health_checks(&mut self, now: Micros, input: Input) {
        if let Some(driver) = &mut self.cluster.health_checks {
            driver.checker.handle(now, input);
        }
    }

    /// Passes the set of ready workers to the checker after the set has changed.
    pub(super) fn set_health_check_workers(&mut self, now: Micros, ready: BTreeSet<WorkerId>) {
        self.handle_health_checks(now, Input::Ready(ready));
    }

    /// Passes a worker's health, as observed in a request of this gateway, to the checker.
    pub(super) fn observe_for_health_checks(
        &mut self,
        now: Micros,
        worker: WorkerId,
        observed: AttemptOutcome,
    ) {
        self.handle_health_checks(now, Input::Outcome(worker, observed));
    }

    /// Informs the checker that this gateway has acquired or lost a lease.
    pub(super) fn set_health_check_lease(&mut self, now: Micros, lease: &str, held: bool) {
        if lease == LEASE_NAME {
            self.handle_health_checks(now, Input::LeaseChanged(held));
        }
    }

    /// Passes the verdicts that the holder of a lease has announced to the checker.
    pub(super) fn on_health_check_effect(&mut self, now: Micros, lease: &str, content: &[u8]) {
        if lease == LEASE_NAME {
            let verdicts = decode_verdicts(content);
            self.handle_health_checks(now, Input::Verdicts(verdicts));
        }
    }

    /// Passes another gateway's report of a worker, meant for the lease holder, to the checker.
    pub(super) fn on_health_check_report(&mut self, now: Micros, lease: &str, content: &[u8]) {
        if lease != LEASE_NAME {
            return;
        }
        if let Ok(worker) = postcard::from_bytes::<u32>(content) {
            let report = Input::ReportReceived(WorkerId(worker));
            self.handle_health_checks(now, report);
        }
    }

    /// Handles the end of a health check, if it was a probe of the lease holder.
    pub(super) fn on_health_check_probe_ended(
        &mut self,
        now: Micros,
        key: HealthCheckKey,
        reason: CloseReason,
    ) {
        let driver = self.cluster.health_checks.as_mut();
        let Some(worker) = driver.and_then(|driver| driver.probes.remove(&key)) else {
            return;
        };
        let result = if reason == CloseReason::Served {
            ProbeResult::Answered
        } else {
            ProbeResult::Failed
        };
        self.handle_health_checks(now, Input::ProbeEnded(worker, result));
    }

    /// Carries out the checker's outputs and schedules its deadline.
    pub(super) fn step_health_checks(&mut self, now: Micros) {
        while let Some(output) = self
            .cluster
            .health_checks
            .as_mut()
            .and_then(|driver| driver.checker.output())
        {
            self.on_health_check_output(now, output);
        }
        let Some(driver) = &mut self.cluster.health_checks else {
            return;
        };
        // The core does not report probes that it gave up; the checker has a timeout of its own for
        // them.
        let core = &self.core;
        driver.probes.retain(|key, _| core.has_health_check(*key));
        let next = driver.checker.next_deadline().map(|at| at.max(now));
        if next == driver.scheduled_at {
            return;
        }
        let previous = std::mem::replace(&mut driver.scheduled_at, next);
        if let Some(at) = previous {
            self.core
                .unschedule(at, GatewayDeadline::HealthChecks.into());
        }
        if let Some(at) = next {
            self.core.schedule(at, GatewayDeadline::HealthChecks.into());
        }
    }

    fn on_health_check_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Report(worker) => {
                let content = postcard::to_stdvec(&worker.0).unwrap_or_default();
                self.handle_consensus(participant::Input::Report(LEASE_NAME.into(), content));
            }
            Output::Probe(worker) => {
                let key = self.core.start_health_check(now, worker);
                if let Some(driver) = &mut self.cluster.health_checks {
                    driver.probes.insert(key, worker);
                }
            }
            Output::Announce(verdicts) => {
                let content = encode_verdicts(verdicts);
                self.handle_consensus(participant::Input::SendEffect(LEASE_NAME.into(), content));
            }
            Output::Advise(worker, until) => self.core.update_peer_health(now, worker, until),
            Output::SetCapable(capable) => self.set_subsystems_capable(capable),
        }
    }

    /// Handles the deadline of the driver.
    pub(super) fn tick_health_checks(&mut self, now: Micros) {
        if let Some(driver) = &mut self.cluster.health_checks {
            driver.scheduled_at = None;
        }
        self.handle_health_checks(now, Input::Tick);
    }

    /// Describes health checks for operators; null while the lease is not configured.
    pub(super) fn health_checks_view(&self) -> Value {
        let Some(driver) = &self.cluster.health_checks else {
            return Value::Null;
        };
        let unhealthy: Vec<String> = driver
            .checker
            .unhealthy()
            .map(|worker| format!("{:08x}", worker.0))
            .collect();
        json!({ "ill": unhealthy, "trials": driver.checker.probes })
    }
}
