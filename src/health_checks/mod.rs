//! Health checks by a lease holder: one gateway probes unresponsive workers on behalf of all gateways.
//!
//! Each gateway observes the outcomes of its own requests. A gateway that gets no answer from a worker reports the worker to
//! the holder of the lease [`LEASE_NAME`]. The holder probes the worker itself. If the probe fails too, it announces the worker as
//! unhealthy, repeats the probe with exponential backoff, and announces the worker as healthy once it answers. The decision
//! module takes the announcements as advice: for a limited time it tries an unhealthy worker last, and it may use a healthy
//! worker at once. While no gateway holds the lease, or the holder cannot be reached, nothing is announced, earlier
//! announcements expire, and each gateway relies on its own observations.
//!
//! Late or repeated messages are harmless: a probe is a ping, and a verdict only changes the rank of a worker, for
//! [`VERDICT_TIMEOUT`].

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{Micros, WorkerId};
use crate::membership::group::AttemptOutcome;

/// The name of the lease for health checks.
pub const LEASE_NAME: &str = "trials";
/// The number of consecutive failed requests from which on a worker is reported to the holder. One is enough: in a large fleet
/// each gateway may send only one request to a silent worker, and the holder's probe shows whether the worker is unhealthy.
const MIN_FAILURES_TO_REPORT: u32 = 1;
/// The number of consecutive failed requests from which on a worker counts as failing in the gateway's self-check.
const MIN_FAILURES_IN_SELF_CHECK: u32 = 2;
/// The pause after the first failed probe, equal to the decision module's pause for outliers. It doubles with each further
/// failure.
const INITIAL_BACKOFF: Micros = 250_000;
/// The maximum number of times that the pause doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// How long the holder waits for the answer to a probe.
const PROBE_TIMEOUT: Micros = 500_000;
/// How often the holder repeats the announcement of unhealthy workers, for gateways that have just started.
const ANNOUNCE_INTERVAL: Micros = 1_000_000;
/// How long a verdict is valid after its arrival. Three repeats are due in this time, so that a few may be lost.
pub const VERDICT_TIMEOUT: Micros = 4_000_000;
/// The minimum interval between reports of the same worker.
const REPORT_INTERVAL: Micros = 1_000_000;
/// The maximum number of workers that the holder checks at the same time; for further workers, gateways rely on their own
/// observations.
const MAX_CHECKED_WORKERS: usize = 256;
/// The minimum number of ready workers for a self-check.
const MIN_SELF_CHECK_WORKERS: usize = 4;

/// Whether a probe was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The worker answered.
    Answered,
    /// The worker did not answer, or not in time.
    Failed,
}

/// The health of a worker as the lease holder announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it is unhealthy.
    pub unhealthy: bool,
}

/// An event for a health checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request of this gateway ended.
    Outcome(WorkerId, AttemptOutcome),
    /// The workers that are ready.
    Ready(BTreeSet<WorkerId>),
    /// Whether this gateway holds the lease.
    LeaseChanged(bool),
    /// Another gateway got no answer from a worker.
    ReportReceived(WorkerId),
    /// The holder announced the health of workers.
    Verdicts(Vec<Verdict>),
    /// A probe of this gateway ended.
    ProbeEnded(WorkerId, ProbeResult),
    /// A deadline has passed.
    Tick,
}

/// An action that a health checker asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Report a worker to the lease holder.
    Report(WorkerId),
    /// Probe a worker.
    Probe(WorkerId),
    /// Announce the health of workers to all gateways.
    Announce(Vec<Verdict>),
    /// Advise the decision module that a worker is unhealthy until the given time, or healthy if there is none.
    Advise(WorkerId, Option<Micros>),
    /// Set whether this gateway is capable of the checks.
    SetCapable(bool),
}

/// A worker that the lease holder checks.
#[derive(Clone, Debug)]
struct CheckedWorker {
    next_probe_at: Micros,
    failures: u32,
    /// When the probe in progress was sent; `None` if none is.
    probed_at: Option<Micros>,
}

impl CheckedWorker {
    fn is_unhealthy(&self) -> bool {
        self.failures > 0
    }

    fn deadline(&self) -> Micros {
        self.probed_at
            .map_or(self.next_probe_at, |at| at + PROBE_TIMEOUT)
    }
}

/// The consecutive failed requests of this gateway to one worker.
#[derive(Clone, Debug, Default)]
struct FailedRequests {
    count: u32,
    /// When the worker was last reported to the holder.
    reported_at: Option<Micros>,
}

/// The health checks of one gateway, as an observer and as the lease holder.
#[derive(Clone, Debug, Default)]
pub struct HealthChecker {
    is_holder: bool,
    ready: BTreeSet<WorkerId>,
    failed_requests: BTreeMap<WorkerId, FailedRequests>,
    /// The workers that this gateway checks as the lease holder.
    checked: BTreeMap<WorkerId, CheckedWorker>,
    /// The workers that the holder announced as unhealthy, and when each announcement expires.
    announced: BTreeMap<WorkerId, Micros>,
    /// The last [`Output::SetCapable`].
    capable: Option<bool>,
    /// When this gateway, as the holder, repeats its announcement.
    next_announcement_at: Option<Micros>,
    /// The number of probes that this gateway has sent.
    pub probes: u64,
    outputs: VecDeque<Output>,
}

impl HealthChecker {
    /// The workers that this gateway checks as the holder, and those that the holder announced as unhealthy.
    pub fn unhealthy(&self) -> impl Iterator<Item = WorkerId> + '_ {
        let announced = self
            .announced
            .keys()
            .filter(|worker| !self.checked.contains_key(worker));
        self.checked.keys().chain(announced).copied()
    }

    /// When [`Input::Tick`] is due, if ever.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.checked
            .values()
            .map(CheckedWorker::deadline)
            .chain(self.announced.values().copied())
            .chain(self.next_announcement_at)
            .min()
    }

    /// The next action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Outcome(worker, AttemptOutcome::Answered) => self.on_answer(worker),
            Input::Outcome(worker, _) => self.on_failure(now, worker),
            Input::Ready(ready) => self.set_ready(ready),
            Input::LeaseChanged(held) => self.set_is_holder(now, held),
            Input::ReportReceived(worker) => {
                if self.is_holder {
                    self.start_checking(now, worker);
                }
            }
            Input::Verdicts(verdicts) => {
                for verdict in verdicts {
                    self.on_verdict(now, verdict);
                }
            }
            Input::ProbeEnded(worker, result) => {
                if self.is_being_probed(worker) {
                    self.on_probe_ended(now, worker, result);
                }
            }
            Input::Tick => {}
        }
        self.tick(now);
        self.check_self();
    }

    fn on_answer(&mut self, worker: WorkerId) {
        self.failed_requests.remove(&worker);
        self.set_healthy(worker);
        // The gateway's own observation takes precedence over an announcement.
        if self.announced.remove(&worker).is_some() {
            self.outputs.push_back(Output::Advise(worker, None));
        }
    }

    fn on_failure(&mut self, now: Micros, worker: WorkerId) {
        if !self.ready.contains(&worker) {
            return;
        }
        let failed = self.failed_requests.entry(worker).or_default();
        failed.count = failed.count.saturating_add(1);
        let reported_recently = failed
            .reported_at
            .is_some_and(|at| now < at + REPORT_INTERVAL);
        if failed.count < MIN_FAILURES_TO_REPORT || reported_recently {
            return;
        }
        failed.reported_at = Some(now.max(1));
        if self.is_holder {
            self.start_checking(now, worker);
        } else {
            self.outputs.push_back(Output::Report(worker));
        }
    }

    fn set_ready(&mut self, ready: BTreeSet<WorkerId>) {
        self.failed_requests
            .retain(|worker, _| ready.contains(worker));
        self.checked.retain(|worker, _| ready.contains(worker));
        self.announced.retain(|worker, _| ready.contains(worker));
        self.ready = ready;
    }

    /// Drops the state from an earlier time as the holder, so that nothing outdated is announced. A new holder starts with the
    /// workers that the previous holder announced.
    fn set_is_holder(&mut self, now: Micros, held: bool) {
        self.is_holder = held;
        self.checked.clear();
        if !held {
            return;
        }
        let announced: Vec<WorkerId> = self.announced.keys().copied().collect();
        for worker in announced {
            self.start_checking(now, worker);
        }
    }

    fn on_verdict(&mut self, now: Micros, verdict: Verdict) {
        let worker = verdict.worker;
        if !self.ready.contains(&worker) {
            return;
        }
        let expires_at = now + VERDICT_TIMEOUT;
        if verdict.unhealthy {
            self.announced.insert(worker, expires_at);
        } else {
            self.announced.remove(&worker);
        }
        self.failed_requests.remove(&worker);
        let until = verdict.unhealthy.then_some(expires_at);
        self.outputs.push_back(Output::Advise(worker, until));
    }

    /// Schedules a probe of a worker. It is announced only if the probe fails, as a report may be due to a fault of the
    /// reporting gateway.
    fn start_checking(&mut self, now: Micros, worker: WorkerId) {
        let is_known = self.checked.contains_key(&worker);
        let is_full = self.checked.len() >= MAX_CHECKED_WORKERS;
        if !self.ready.contains(&worker) || is_known || is_full {
            return;
        }
        let checked = CheckedWorker {
            next_probe_at: now,
            failures: 0,
            probed_at: None,
        };
        self.checked.insert(worker, checked);
    }

    fn set_healthy(&mut self, worker: WorkerId) {
        let checked = self.checked.remove(&worker);
        if !checked.is_some_and(|checked| checked.is_unhealthy()) {
            return;
        }
        let verdict = Verdict {
            worker,
            unhealthy: false,
        };
        self.outputs.push_back(Output::Announce(vec![verdict]));
        self.outputs.push_back(Output::Advise(worker, None));
    }

    fn is_being_probed(&self, worker: WorkerId) -> bool {
        self.checked
            .get(&worker)
            .is_some_and(|checked| checked.probed_at.is_some())
    }

    fn on_probe_ended(&mut self, now: Micros, worker: WorkerId, result: ProbeResult) {
        if result == ProbeResult::Answered {
            return self.set_healthy(worker);
        }
        let Some(checked) = self.checked.get_mut(&worker) else {
            return;
        };
        let doublings = checked.failures.min(MAX_BACKOFF_DOUBLINGS);
        checked.next_probe_at = now + (INITIAL_BACKOFF << doublings);
        checked.failures = checked.failures.saturating_add(1);
        checked.probed_at = None;
        if checked.failures == 1 {
            let verdict = Verdict {
                worker,
                unhealthy: true,
            };
            self.outputs.push_back(Output::Announce(vec![verdict]));
        }
        let until = now + VERDICT_TIMEOUT + (INITIAL_BACKOFF << MAX_BACKOFF_DOUBLINGS);
        self.outputs.push_back(Output::Advise(worker, Some(until)));
    }

    fn tick(&mut self, now: Micros) {
        self.fail_late_probes(now);
        for (worker, checked) in &mut self.checked {
            if checked.probed_at.is_none() && now >= checked.next_probe_at {
                checked.probed_at = Some(now);
                self.probes += 1;
                self.outputs.push_back(Output::Probe(*worker));
            }
        }
        self.announced.retain(|_, expires_at| now < *expires_at);
        self.repeat_announcement(now);
    }

    fn fail_late_probes(&mut self, now: Micros) {
        let is_late = |checked: &CheckedWorker| {
            let probed_at = checked.probed_at;
            probed_at.is_some_and(|at| now >= at + PROBE_TIMEOUT)
        };
        let late: Vec<WorkerId> = self
            .checked
            .iter()
            .filter(|(_, checked)| is_late(checked))
            .map(|(worker, _)| *worker)
            .collect();
        for worker in late {
            self.on_probe_ended(now, worker, ProbeResult::Failed);
        }
    }

    fn repeat_announcement(&mut self, now: Micros) {
        let verdicts: Vec<Verdict> = self
            .checked
            .iter()
            .filter(|(_, checked)| checked.is_unhealthy())
            .map(|(worker, _)| Verdict {
                worker: *worker,
                unhealthy: true,
            })
            .collect();
        if verdicts.is_empty() {
            self.next_announcement_at = None;
            return;
        }
        let next = now + ANNOUNCE_INTERVAL;
        if now >= *self.next_announcement_at.get_or_insert(next) {
            self.next_announcement_at = Some(next);
            self.outputs.push_back(Output::Announce(verdicts));
        }
    }

    /// Checks whether this gateway is capable of health checks. If more than half of the ready workers seem to fail, the
    /// gateway itself is more likely to be cut off.
    fn check_self(&mut self) {
        let failing = self
            .ready
            .iter()
            .filter(|worker| self.is_failing(worker))
            .count();
        let capable = self.ready.len() < MIN_SELF_CHECK_WORKERS || 2 * failing <= self.ready.len();
        if self.capable.replace(capable) != Some(capable) {
            self.outputs.push_back(Output::SetCapable(capable));
        }
    }

    fn is_failing(&self, worker: &WorkerId) -> bool {
        let failed = self.failed_requests.get(worker);
        let checked = self.checked.get(worker);
        failed.is_some_and(|failed| failed.count >= MIN_FAILURES_IN_SELF_CHECK)
            || checked.is_some_and(CheckedWorker::is_unhealthy)
    }
}
