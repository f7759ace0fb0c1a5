//! Whether a worker may be sent new requests as evidence of its state arrives and expires: each
//! rule alone, and all rules together over random orders of events on a virtual clock.

#[path = "evidence/world.rs"]
mod world;

use molelug::api::{DiscoverySignal, Micros, Settings, WorkerId, WorkerStatus};
use molelug::policy::evidence::{
    Availability, CheckResult, EvidenceChange, EvidenceTracker, ReportedCapacity,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const LIST_MAX_AGE: Micros = 7 * SECOND;
const DRAIN_GRACE: Micros = SECOND;
const START: Micros = 1_000 * SECOND;

fn settings(may_health_check: bool) -> Settings {
    Settings {
        instances: 1,
        may_health_check,
        drain_grace: DRAIN_GRACE,
        list_max_age: Some(LIST_MAX_AGE),
        discovery_heartbeats: true,
        ..Settings::default()
    }
}

const WORKER: WorkerId = WorkerId(1);
const OTHER: WorkerId = WorkerId(2);

/// A tracker with two listed workers and a virtual clock.
struct Rig {
    tracker: EvidenceTracker,
    now: Micros,
}

impl Rig {
    fn new(settings: &Settings) -> Rig {
        let mut tracker = EvidenceTracker::new(settings, 7, START);
        tracker.on_listed(WORKER, WorkerStatus::Ready, false);
        tracker.on_listed(OTHER, WorkerStatus::Ready, false);
        Rig {
            tracker,
            now: START,
        }
    }

    /// Creates a rig whose list discovery has just confirmed.
    fn confirmed(settings: &Settings) -> Rig {
        let mut rig = Rig::new(settings);
        rig.connect();
        rig.advance(SECOND);
        rig.signal(DiscoverySignal::Heartbeat);
        assert!(rig.may_send(WORKER));
        rig
    }

    fn connect(&mut self) {
        self.signal(DiscoverySignal::Opened);
        self.signal(DiscoverySignal::Heartbeat);
    }

    fn signal(&mut self, signal: DiscoverySignal) {
        self.tracker.on_discovery(self.now, signal);
    }

    /// Advances the clock in steps of 50 ms with a tick after each, and returns the availability
    /// changes.
    fn advance(&mut self, span: Micros) -> Vec<(WorkerId, Availability)> {
        let end = self.now + span;
        let mut changed = Vec::new();
        while self.now < end {
            self.now = (self.now + 50 * MS).min(end);
            changed.extend(self.tracker.tick(self.now));
        }
        changed
    }

    /// Advances the clock with a heartbeat each second.
    fn advance_with_heartbeats(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.advance(SECOND);
            self.signal(DiscoverySignal::Heartbeat);
        }
    }

    fn may_send(&self, worker: WorkerId) -> bool {
        self.tracker.may_send(self.now, worker)
    }

    fn check(&mut self, worker: WorkerId, result: CheckResult, opened_at: Option<Micros>) {
        let sent_at = self.now;
        self.tracker
            .on_checked(self.now, worker, result, sent_at, opened_at);
        self.tracker.tick(self.now);
    }

    fn reject(&mut self, worker: WorkerId, capacity: ReportedCapacity) {
        self.tracker
            .on_rejected(self.now, worker, self.now, capacity);
    }
}

#[test]
fn unconfirmed_list_expires_before_drains_must_be_known() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance(LIST_MAX_AGE + DRAIN_GRACE - 3 * SECOND);
    assert!(
        rig.may_send(WORKER),
        "the list is valid for most of the span"
    );
    let changed = rig.advance(SECOND);
    assert!(!rig.may_send(WORKER), "a drain may be older than the list");
    assert!(changed.contains(&(WORKER, Availability::Suspended)));
}

#[test]
fn heartbeats_confirm_the_list() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance_with_heartbeats(60);
    assert!(rig.may_send(WORKER));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
}

/// A heartbeat that the loop reads late is as old as its arrival: the worker may have begun to
/// drain since.
#[test]
fn heartbeat_read_late_confirms_the_list_from_its_arrival() {
    let mut rig = Rig::confirmed(&settings(false));
    let arrived_at = rig.now + 500 * MS;
    rig.now += 4 * SECOND;
    rig.tracker
        .on_discovery(arrived_at, DiscoverySignal::Heartbeat);
    rig.tracker.tick(rig.now);
    assert_eq!(rig.tracker.list_age(rig.now), Some(rig.now - arrived_at));
    assert!(rig.tracker.is_discovery_lost(rig.now));
    rig.signal(DiscoverySignal::Heartbeat);
    assert_eq!(rig.tracker.list_age(rig.now), Some(0));
}

#[test]
fn served_call_is_evidence_from_its_send_time() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance(4 * SECOND);
    let sent_at = rig.now;
    rig.advance(SECOND);
    rig.tracker.on_served(rig.now, WORKER, sent_at);
    rig.now = sent_at + LIST_MAX_AGE + DRAIN_GRACE - 301 * MS;
    assert!(rig.may_send(WORKER));
    assert!(!rig.may_send(OTHER));
    rig.now = sent_at + LIST_MAX_AGE + DRAIN_GRACE - 300 * MS;
    assert!(!rig.may_send(WORKER), "the safety margin is kept");
}

#[test]
fn new_stream_confirms_nothing_before_its_missed_updates() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.signal(DiscoverySignal::Closed);
    rig.advance(20 * SECOND);
    rig.signal(DiscoverySignal::Opened);
    rig.advance(10 * SECOND);
    assert!(
        !rig.may_send(WORKER),
        "response headers alone confirm nothing"
    );
    rig.signal(DiscoverySignal::Heartbeat);
    rig.advance(100 * MS);
    assert!(!rig.may_send(WORKER), "updates may follow the comment");
    rig.signal(DiscoverySignal::Update);
    rig.advance(150 * MS);
    assert!(!rig.may_send(WORKER), "more updates may follow the first");
    rig.signal(DiscoverySignal::Incomplete);
    rig.advance(5 * SECOND);
    assert!(!rig.may_send(WORKER), "the update is incomplete");
    rig.signal(DiscoverySignal::Update);
    rig.advance(200 * MS);
    assert!(rig.may_send(WORKER));
}

#[test]
fn worker_answering_dead_is_suspended_until_it_restarts() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.check(WORKER, CheckResult::Dead, None);
    assert!(!rig.may_send(WORKER));
    rig.advance_with_heartbeats(2);
    assert!(!rig.may_send(WORKER), "heartbeats do not resume the worker");
    rig.tracker.on_listed(WORKER, WorkerStatus::Ready, false);
    rig.signal(DiscoverySignal::Update);
    assert!(!rig.may_send(WORKER), "a list that may lag does not either");
    rig.tracker.on_listed(WORKER, WorkerStatus::Ready, true);
    rig.advance(50 * MS);
    assert!(rig.may_send(WORKER), "a new process resumes the worker");
}

#[test]
fn worker_answering_dead_is_suspended_despite_served_call() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    rig.advance(SECOND);
    rig.check(WORKER, CheckResult::Dead, None);
    assert!(!rig.may_send(WORKER));
    assert!(rig.may_send(OTHER));
}

#[test]
fn answer_to_earlier_call_resumes_no_dead_worker() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    rig.advance(500 * MS);
    let sent_at = rig.now;
    rig.advance(300 * MS);
    rig.check(WORKER, CheckResult::Dead, None);
    rig.tracker.on_served(rig.now, WORKER, sent_at);
    assert!(!rig.may_send(WORKER));
}

#[test]
fn heartbeats_confirm_nothing_while_workers_contradict_the_list() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.check(WORKER, CheckResult::Dead, None);
    rig.advance_with_heartbeats(8);
    assert!(
        !rig.may_send(OTHER),
        "events about the other worker may be delayed as well"
    );
    rig.check(WORKER, CheckResult::Alive, None);
    rig.advance_with_heartbeats(2);
    assert!(
        !rig.may_send(OTHER),
        "the list lagged for longer than its maximum age"
    );
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(OTHER), "events arrive again");
}

#[test]
fn contradicted_stream_is_reopened() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.check(WORKER, CheckResult::Dead, None);
    assert!(!rig.tracker.take_due_reopening(rig.now), "the list may lag");
    rig.advance_with_heartbeats(4);
    assert!(rig.tracker.take_due_reopening(rig.now));
    assert!(
        !rig.tracker.take_due_reopening(rig.now),
        "not again at once"
    );
}

#[test]
fn doubted_worker_is_not_confirmed_by_heartbeats() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.reject(WORKER, ReportedCapacity::Free);
    rig.advance_with_heartbeats(8);
    assert!(!rig.may_send(WORKER));
    assert!(rig.may_send(OTHER));
    rig.signal(DiscoverySignal::Update);
    assert!(
        rig.may_send(WORKER),
        "the list is current and has the worker"
    );
}

#[test]
fn full_worker_is_not_doubted_where_checks_are_forbidden() {
    let mut rig = Rig::confirmed(&settings(false));
    for _ in 0..50 {
        rig.reject(WORKER, ReportedCapacity::Used);
        rig.reject(WORKER, ReportedCapacity::Unknown);
        rig.tracker.on_load_rejected(rig.now, WORKER);
    }
    rig.advance_with_heartbeats(30);
    assert!(rig.may_send(WORKER));
}

/// Guards against calls to a worker whose drain was not announced, as heartbeats counted as
/// evidence until the worker's first rejection.
#[test]
fn rejection_after_a_quiet_period_suspends_the_worker() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance_with_heartbeats(20);
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(
        !rig.may_send(WORKER),
        "the worker may have drained at any time"
    );
    assert!(rig.may_send(OTHER));
    rig.signal(DiscoverySignal::Incomplete);
    assert!(
        !rig.may_send(WORKER),
        "an incomplete event confirms nothing"
    );
    rig.signal(DiscoverySignal::Update);
    assert!(
        rig.may_send(WORKER),
        "the completed update confirms the list"
    );
}

#[test]
fn doubted_worker_is_used_while_served_call_counts() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance_with_heartbeats(20);
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    let served_at = rig.now;
    rig.advance_with_heartbeats(1);
    rig.reject(WORKER, ReportedCapacity::Free);
    rig.now = served_at + LIST_MAX_AGE + DRAIN_GRACE - 301 * MS;
    assert!(rig.may_send(WORKER));
    rig.now = served_at + LIST_MAX_AGE + DRAIN_GRACE - 300 * MS;
    assert!(!rig.may_send(WORKER));
}

#[test]
fn worker_is_doubted_again_after_serving_and_rejecting() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance_with_heartbeats(4);
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(rig.tracker.is_doubted(WORKER));
    rig.advance(100 * MS);
    assert!(rig.may_send(WORKER), "the list was delivered recently");
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    assert!(!rig.tracker.is_doubted(WORKER));
    rig.advance_with_heartbeats(20);
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(!rig.may_send(WORKER));
}

#[test]
fn rejecting_workers_are_used_again_after_an_update() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance_with_heartbeats(20);
    for worker in [WORKER, OTHER] {
        rig.reject(worker, ReportedCapacity::Free);
        assert!(!rig.may_send(worker));
    }
    rig.advance_with_heartbeats(1);
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(WORKER) && rig.may_send(OTHER));
}

/// Full workers and draining workers both reject load orders. Only a rejection despite free
/// capacity raises a doubt.
#[test]
fn load_rejections_raise_a_doubt_only_despite_free_capacity() {
    for (capacity, is_doubted) in [
        (ReportedCapacity::Free, true),
        (ReportedCapacity::Used, false),
        (ReportedCapacity::Unknown, false),
    ] {
        let mut rig = Rig::confirmed(&settings(false));
        rig.tracker.on_reported(WORKER, capacity);
        rig.advance_with_heartbeats(20);
        for _ in 0..3 {
            rig.tracker.on_load_rejected(rig.now, WORKER);
        }
        assert_eq!(rig.tracker.is_doubted(WORKER), is_doubted, "{capacity:?}");
        assert_eq!(rig.may_send(WORKER), !is_doubted, "{capacity:?}");
    }
}

/// A stream without events confirms nothing, and is reopened at growing intervals.
#[test]
fn stream_is_reopened_with_backoff_during_a_doubt() {
    let mut rig = Rig::confirmed(&settings(false));
    rig.advance_with_heartbeats(20);
    rig.reject(WORKER, ReportedCapacity::Free);
    let mut reopened_at = Vec::new();
    for _ in 0..300 {
        rig.advance_with_heartbeats(1);
        if rig.tracker.take_due_reopening(rig.now) {
            reopened_at.push(rig.now);
            rig.signal(DiscoverySignal::Closed);
            rig.connect();
        }
        assert!(!rig.may_send(WORKER), "no event has come");
    }
    let intervals: Vec<Micros> = reopened_at
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(intervals.is_sorted(), "{intervals:?}");
    assert!((20 * SECOND..=30 * SECOND).contains(intervals.last().unwrap()));
    rig.signal(DiscoverySignal::Update);
    rig.advance(SECOND);
    assert!(rig.may_send(WORKER));
}

/// While discovery has no events and no worker rejects, no stream is reopened.
#[test]
fn quiet_period_reopens_and_suspends_nothing() {
    let mut rig = Rig::confirmed(&settings(false));
    for _ in 0..600 {
        rig.advance_with_heartbeats(1);
        assert!(!rig.tracker.take_due_reopening(rig.now));
        assert!(rig.may_send(WORKER) && rig.may_send(OTHER));
    }
}

#[test]
fn doubt_is_settled_by_one_check() {
    let mut rig = Rig::confirmed(&settings(true));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(
        rig.tracker.due_checks(rig.now).is_empty(),
        "the list may lag"
    );
    rig.advance_with_heartbeats(2);
    assert_eq!(rig.tracker.due_checks(rig.now), [WORKER]);
    assert!(
        rig.tracker.due_checks(rig.now).is_empty(),
        "the check is in flight"
    );
    rig.check(WORKER, CheckResult::Alive, None);
    rig.advance_with_heartbeats(30);
    assert!(rig.may_send(WORKER));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
}

#[test]
fn returned_process_waits_for_the_list_max_age() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.advance(4 * SECOND);
    rig.tracker.on_process_ended(rig.now, WORKER);
    rig.advance(6 * SECOND);
    assert!(!rig.may_send(WORKER));
    let returned_at = rig.now;
    rig.check(WORKER, CheckResult::Alive, Some(returned_at));
    let mut resumed = Vec::new();
    while !rig.may_send(WORKER) {
        rig.check(WORKER, CheckResult::Alive, Some(returned_at));
        resumed = rig.advance(250 * MS);
    }
    assert!(rig.now >= returned_at + LIST_MAX_AGE);
    assert_eq!(
        resumed,
        [(WORKER, Availability::Resumed { new_process: true })]
    );
}

#[test]
fn old_connection_identifies_the_same_process() {
    let mut rig = Rig::confirmed(&settings(true));
    let opened_at = rig.now - SECOND;
    rig.advance(20 * SECOND);
    for worker in [WORKER, OTHER] {
        rig.check(worker, CheckResult::Alive, Some(opened_at));
        rig.advance(2 * SECOND);
        rig.check(worker, CheckResult::Dead, Some(opened_at));
    }
    rig.advance(SECOND);
    rig.check(WORKER, CheckResult::Alive, Some(opened_at));
    rig.check(OTHER, CheckResult::Alive, Some(rig.now));
    assert!(
        rig.may_send(WORKER),
        "the same process has cancelled its drain"
    );
    assert!(!rig.may_send(OTHER), "the process may be a new one");
}

#[test]
fn worker_with_expired_evidence_resumes_as_before() {
    let mut rig = Rig::confirmed(&settings(true));
    rig.advance(20 * SECOND);
    assert!(!rig.may_send(WORKER));
    while rig.tracker.next_change().is_some() {}
    rig.check(WORKER, CheckResult::Alive, Some(rig.now));
    assert!(rig.may_send(WORKER));
    let resumed = std::iter::from_fn(|| rig.tracker.next_change()).any(|change| {
        matches!(change, EvidenceChange::Resumed { worker, new_process: false, .. } if worker == WORKER)
    });
    assert!(
        resumed,
        "the worker resumes without slow start and with its copies"
    );
}

#[test]
fn checks_need_demand_and_are_capped() {
    let mut rig = Rig::confirmed(&Settings {
        instances: 100,
        ..settings(true)
    });
    for id in 10..60 {
        rig.tracker
            .on_listed(WorkerId(id), WorkerStatus::Ready, false);
    }
    rig.advance(20 * SECOND);
    assert!(
        rig.tracker.due_checks(rig.now).is_empty(),
        "there are no calls"
    );
    let mut checks = 0;
    for _ in 0..200 {
        rig.tracker.on_request(rig.now);
        for worker in rig.tracker.due_checks(rig.now) {
            checks += 1;
            rig.tracker
                .on_checked(rig.now, worker, CheckResult::NoAnswer, rig.now, None);
        }
        rig.advance(50 * MS);
    }
    // A hundred instances share four checks per second at each of 52 workers. This instance's share
    // is two per second.
    assert!((15..=25).contains(&checks), "{checks} in 10 s");
}

#[test]
fn instances_check_in_different_orders() {
    let first = |seed| {
        let mut tracker = EvidenceTracker::new(&settings(true), seed, START);
        for id in 0..50 {
            tracker.on_listed(WorkerId(id), WorkerStatus::Ready, false);
        }
        let now = START + SECOND;
        tracker.tick(now);
        tracker.on_request(now);
        tracker.due_checks(now)[0]
    };
    let firsts: std::collections::BTreeSet<WorkerId> = (0..30).map(first).collect();
    assert!(firsts.len() > 10, "{firsts:?}");
}

#[test]
fn gateway_started_without_discovery_checks_first() {
    let mut rig = Rig::new(&settings(true));
    assert!(!rig.may_send(WORKER), "the file's list has no known age");
    rig.advance(SECOND);
    rig.tracker.on_request(rig.now);
    assert_eq!(rig.tracker.due_checks(rig.now).len(), 2);
    rig.check(WORKER, CheckResult::Alive, Some(rig.now));
    assert!(rig.may_send(WORKER));
    assert!(!rig.may_send(OTHER));
}

#[test]
fn static_list_never_ages() {
    let mut rig = Rig::new(&Settings {
        list_max_age: None,
        max_functions: None,
        ..settings(true)
    });
    rig.advance(60 * SECOND);
    assert!(rig.may_send(WORKER));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
}

#[test]
fn failed_subscription_ages_the_list() {
    let mut rig = Rig::new(&Settings {
        discovery_heartbeats: false,
        ..settings(false)
    });
    rig.signal(DiscoverySignal::Update);
    rig.advance(60 * SECOND);
    assert!(
        rig.may_send(WORKER),
        "the subscription keeps the list current"
    );
    rig.signal(DiscoverySignal::Closed);
    rig.advance(LIST_MAX_AGE + DRAIN_GRACE);
    assert!(!rig.may_send(WORKER));
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(WORKER));
}

#[test]
fn evidence_of_another_process_is_adopted() {
    let mut rig = Rig::new(&settings(false));
    rig.tracker.import(WORKER, rig.now - 2 * SECOND);
    assert!(rig.may_send(WORKER));
    rig.advance(LIST_MAX_AGE + DRAIN_GRACE - 2 * SECOND);
    assert!(!rig.may_send(WORKER));
}

#[test]
fn random_events_never_allow_a_late_send() {
    for seed in 0..400 {
        for may_health_check in [false, true] {
            world::World::new(seed, may_health_check).run();
        }
    }
}
