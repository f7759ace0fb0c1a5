//! Evidence about one worker that is listed as ready.

use super::change::DoubtReason;
use super::validity::EvidenceValidity;
use crate::api::{LoadReport, Micros};

/// The maximum number of reported requests in flight with which a worker has free capacity.
const FREE_IN_FLIGHT: f32 = 3.0;
/// The maximum reported fraction of pinned memory with which a worker has free capacity.
const FREE_PINNED_MEMORY: f32 = 0.7;
/// The number of consecutive rejections at which a worker is doubted if the last one carried no
/// usable load report.
const MAX_REJECTIONS_WITHOUT_REPORT: u32 = 2;
/// The number of consecutive rejections at which a worker is doubted whatever load it reports.
const MAX_REJECTIONS: u32 = 6;
/// The number of consecutive rejected load orders at which a worker is doubted.
const MAX_LOAD_REJECTIONS: u32 = 3;
/// The minimum time in which a process can end and a new one accept calls, in microseconds.
const MIN_RESTART_TIME: Micros = 1_000_000;

/// A doubt whether a worker still accepts new work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Doubt {
    pub(super) since: Micros,
    /// The latest list confirmation that still counts for the worker.
    pub(super) listed_until: Micros,
}

/// How doubts about a worker are settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DoubtPolicy {
    /// A health check.
    HealthCheck,
    /// This instance cannot settle doubts itself. For a doubted worker, list confirmations count
    /// only up to this time of the last delivered update. Later heartbeats do not count, because
    /// the worker may have begun to drain since.
    ListDeliveredAt(Micros),
}

/// Rejections since the worker last served a call.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    calls: u32,
    loads: u32,
    /// When the first rejected call was sent.
    since: Micros,
}

/// The capacity reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportedCapacity {
    /// It has free capacity.
    Free,
    /// It has none, or limits the class.
    Used,
    /// The answer contains too little data.
    #[default]
    Unknown,
}

impl ReportedCapacity {
    /// Evaluates a load report.
    pub fn from_report(report: Option<LoadReport>) -> ReportedCapacity {
        let report = report.unwrap_or_default();
        match (report.in_flight, report.pinned_memory) {
            (Some(in_flight), Some(pinned))
                if in_flight <= FREE_IN_FLIGHT && pinned <= FREE_PINNED_MEMORY =>
            {
                ReportedCapacity::Free
            }
            (Some(_), Some(_)) => ReportedCapacity::Used,
            _ => ReportedCapacity::Unknown,
        }
    }
}

/// Evidence about one worker. Instants are 0 if the event has not occurred.
#[derive(Debug, Default)]
pub(super) struct WorkerEvidence {
    /// The latest instant at which the worker itself showed that it accepted new work.
    pub(super) served_at: Option<Micros>,
    pub(super) doubt: Option<Doubt>,
    rejections: Rejections,
    /// The capacity reported with its last answer.
    pub(super) reported_capacity: ReportedCapacity,
    /// When the last health check was sent to which the worker answered that it accepts no new
    /// work.
    pub(super) reported_unavailable_at: Option<Micros>,
    /// When its process was found to have ended, while discovery was lost.
    pub(super) process_ended_at: Option<Micros>,
    /// Whether its process may be a new one, without the known copies.
    pub(super) is_new_process: bool,
    /// The earliest instant at which it may be used.
    pub(super) usable_from: Micros,
    /// Whether it could be sent new work at the last update.
    pub(super) is_available: bool,
    /// When it was suspended, if it is.
    pub(super) suspended_since: Option<Micros>,
    pub(super) last_used_at: Micros,
    pub(super) check: CheckState,
}

/// The health checks of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CheckState {
    /// When the check in flight was sent.
    pub(super) sent_at: Option<Micros>,
    pub(super) next_at: Micros,
    /// Consecutive checks without the answer that the worker accepts new work.
    pub(super) failures: u32,
}

impl WorkerEvidence {
    /// Forgets the evidence about the previous process when the list reports a new one.
    pub(super) fn begin_process(&mut self) {
        *self = WorkerEvidence {
            is_available: self.is_available,
            suspended_since: self.suspended_since,
            check: self.check,
            last_used_at: self.last_used_at,
            ..WorkerEvidence::default()
        };
    }

    /// The latest evidence, given the time at which discovery last confirmed the list.
    pub(super) fn latest(&self, confirmed_at: Option<Micros>) -> Option<Micros> {
        self.served_at.max(self.listed_at(confirmed_at))
    }

    /// The time of the last list confirmation that is evidence for the worker. A confirmation after
    /// a doubt began does not count, because updates may be withheld.
    fn listed_at(&self, confirmed_at: Option<Micros>) -> Option<Micros> {
        if self.reported_unavailable_at.is_some() || self.process_ended_at.is_some() {
            return None;
        }
        let listed_until = self.doubt.map_or(Micros::MAX, |doubt| doubt.listed_until);
        confirmed_at.map(|at| at.min(listed_until))
    }

    /// Whether it is doubted, said that it is unavailable, or its process has ended.
    pub(super) fn is_flagged(&self) -> bool {
        self.doubt.is_some()
            || self.reported_unavailable_at.is_some()
            || self.process_ended_at.is_some()
    }

    /// When the evidence expires without any further event.
    pub(super) fn expires_at(
        &self,
        validity: &EvidenceValidity,
        confirmed_at: Option<Micros>,
    ) -> Micros {
        let own = self.served_at.map_or(0, |at| at + validity.own_evidence);
        let listed = self
            .listed_at(confirmed_at)
            .map_or(0, |at| at + validity.list_evidence);
        own.max(listed)
    }

    /// Whether it may be sent new work.
    pub(super) fn may_send(
        &self,
        now: Micros,
        validity: &EvidenceValidity,
        confirmed_at: Option<Micros>,
    ) -> bool {
        if self.reported_unavailable_at.is_some() || now < self.usable_from {
            return false;
        }
        now < self.expires_at(validity, confirmed_at)
    }

    /// Records that the worker accepted new work at `at`, on a connection opened at `opened_at` if
    /// known. Returns whether it counts as evidence.
    pub(super) fn record_served(
        &mut self,
        now: Micros,
        at: Micros,
        opened_at: Option<Micros>,
        validity: &EvidenceValidity,
        confirmed_at: Option<Micros>,
    ) -> bool {
        let last_contradiction = self.reported_unavailable_at.max(self.process_ended_at);
        if last_contradiction.is_some_and(|contradicted_at| at <= contradicted_at) {
            return false;
        }
        let latest = self.latest(confirmed_at);
        let same_process = latest.is_some_and(|latest| {
            let on_old_connection = opened_at.is_some_and(|opened_at| opened_at <= latest);
            on_old_connection || at.saturating_sub(latest) < MIN_RESTART_TIME
        });
        // Without a sign that its process ended, a worker whose evidence has only expired is
        // assumed to run the same process: a gateway that has not used the worker sends it few
        // requests.
        if last_contradiction.is_some() && !same_process {
            // Discovery may announce the start as late as a drain.
            self.usable_from = now + validity.max_list_age;
            self.is_new_process = true;
        }
        self.served_at = self.served_at.max(Some(at));
        self.reported_unavailable_at = None;
        self.process_ended_at = None;
        if self.doubt.is_none_or(|doubt| at >= doubt.since) {
            self.doubt = None;
            self.rejections = Rejections::default();
        }
        true
    }

    /// Records a rejected call. Returns the reason if a new doubt begins.
    ///
    /// If no health check can settle a doubt, only a rejection despite reported free capacity
    /// raises one: otherwise an overloaded worker would stay suspended.
    pub(super) fn record_rejection(
        &mut self,
        sent_at: Micros,
        capacity: ReportedCapacity,
        policy: DoubtPolicy,
    ) -> Option<DoubtReason> {
        self.reported_capacity = capacity;
        if self.rejections.calls == 0 {
            self.rejections.since = sent_at;
        }
        self.rejections.calls += 1;
        let calls = self.rejections.calls;
        let reason = match capacity {
            ReportedCapacity::Free => DoubtReason::RejectedWithCapacity,
            _ if policy != DoubtPolicy::HealthCheck => return None,
            ReportedCapacity::Unknown if calls >= MAX_REJECTIONS_WITHOUT_REPORT => {
                DoubtReason::RejectedRepeatedly
            }
            _ if calls >= MAX_REJECTIONS => DoubtReason::RejectedRepeatedly,
            _ => return None,
        };
        let since = self.rejections.since;
        self.begin_doubt(since, policy).then_some(reason)
    }

    /// Records a rejected load order. Returns the reason if a new doubt begins.
    ///
    /// A full worker rejects load orders as a draining one does. If no health check can tell them
    /// apart, only a worker whose last answer reported free capacity is doubted.
    pub(super) fn record_load_rejection(
        &mut self,
        sent_at: Micros,
        policy: DoubtPolicy,
    ) -> Option<DoubtReason> {
        self.rejections.loads += 1;
        let has_capacity = self.reported_capacity == ReportedCapacity::Free;
        let is_doubtful = self.rejections.loads >= MAX_LOAD_REJECTIONS
            && (policy == DoubtPolicy::HealthCheck || has_capacity);
        (is_doubtful && self.begin_doubt(sent_at, policy)).then_some(DoubtReason::LoadsRejected)
    }

    /// Records a successful load order.
    pub(super) fn record_load(&mut self) {
        self.rejections.loads = 0;
    }

    /// Begins a doubt. Returns false if the worker is already doubted or unavailable.
    fn begin_doubt(&mut self, since: Micros, policy: DoubtPolicy) -> bool {
        if self.doubt.is_some() || self.reported_unavailable_at.is_some() {
            return false;
        }
        let listed_until = match policy {
            DoubtPolicy::HealthCheck => since,
            DoubtPolicy::ListDeliveredAt(delivered_at) => since.min(delivered_at),
        };
        self.doubt = Some(Doubt {
            since,
            listed_until,
        });
        true
    }
}
