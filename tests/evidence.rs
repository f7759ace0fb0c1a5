//! When a worker may be sent new work, as evidence of it comes and goes: each rule by itself, and all of them together
//! over random orders of events on a virtual clock.

#[path = "evidence/world.rs"]
mod world;

use molelug::api::{DiscoverySignal, Micros, Settings, WorkerId, WorkerStatus};
use molelug::policy::evidence::{
    Availability, CheckResult, EvidenceChange, EvidenceTracker, ReportedCapacity,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TOLD_AFTER: Micros = 7 * SECOND;
const GRACE: Micros = SECOND;
const START: Micros = 1_000 * SECOND;

fn settings(may_health_check: bool) -> Settings {
    Settings {
        instances: 1,
        may_health_check,
        drain_grace: GRACE,
        list_max_age: Some(TOLD_AFTER),
        discovery_heartbeats: true,
        ..Settings::default()
    }
}

const WORKER: WorkerId = WorkerId(1);
const OTHER: WorkerId = WorkerId(2);

/// A tracker with two listed workers, and the time.
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

    /// One whose list discovery has confirmed just now.
    fn heard(settings: &Settings) -> Rig {
        let mut rig = Rig::new(settings);
        rig.connect();
        rig.pass(SECOND);
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

    /// Lets time pass with ticks as the module makes them.
    fn pass(&mut self, span: Micros) -> Vec<(WorkerId, Availability)> {
        let end = self.now + span;
        let mut changed = Vec::new();
        while self.now < end {
            self.now = (self.now + 50 * MS).min(end);
            changed.extend(self.tracker.tick(self.now));
        }
        changed
    }

    /// The same with a heartbeat each second.
    fn pass_with_heartbeats(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.pass(SECOND);
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
fn list_without_confirmation_expires_before_drain_counts_as_told() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass(TOLD_AFTER + GRACE - 3 * SECOND);
    assert!(rig.may_send(WORKER), "it holds for most of the span");
    let changed = rig.pass(SECOND);
    assert!(!rig.may_send(WORKER), "a drain may be older than the list");
    assert!(changed.contains(&(WORKER, Availability::Suspended)));
}

#[test]
fn heartbeats_confirm_the_list() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass_with_heartbeats(60);
    assert!(rig.may_send(WORKER));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
}

#[test]
fn served_call_is_evidence_from_when_it_was_sent() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass(4 * SECOND);
    let sent_at = rig.now;
    rig.pass(SECOND);
    rig.tracker.on_served(rig.now, WORKER, sent_at);
    rig.now = sent_at + TOLD_AFTER + GRACE - 301 * MS;
    assert!(rig.may_send(WORKER));
    assert!(!rig.may_send(OTHER));
    rig.now = sent_at + TOLD_AFTER + GRACE - 300 * MS;
    assert!(!rig.may_send(WORKER), "the margin is kept");
}

#[test]
fn new_stream_confirms_nothing_before_its_backlog() {
    let mut rig = Rig::heard(&settings(false));
    rig.signal(DiscoverySignal::Closed);
    rig.pass(20 * SECOND);
    rig.signal(DiscoverySignal::Opened);
    rig.pass(10 * SECOND);
    assert!(!rig.may_send(WORKER), "a head alone says nothing");
    rig.signal(DiscoverySignal::Heartbeat);
    rig.pass(100 * MS);
    assert!(!rig.may_send(WORKER), "updates may follow the comment");
    rig.signal(DiscoverySignal::Update);
    rig.pass(150 * MS);
    assert!(!rig.may_send(WORKER), "more updates may follow the first");
    rig.signal(DiscoverySignal::Incomplete);
    rig.pass(5 * SECOND);
    assert!(!rig.may_send(WORKER), "an update is cut in the middle");
    rig.signal(DiscoverySignal::Update);
    rig.pass(200 * MS);
    assert!(rig.may_send(WORKER));
}

#[test]
fn worker_that_said_dead_is_suspended_until_alive() {
    let mut rig = Rig::heard(&settings(true));
    rig.check(WORKER, CheckResult::Dead, None);
    assert!(!rig.may_send(WORKER));
    rig.pass_with_heartbeats(2);
    assert!(!rig.may_send(WORKER), "comments do not bring it back");
    rig.tracker.on_listed(WORKER, WorkerStatus::Ready, false);
    rig.signal(DiscoverySignal::Update);
    assert!(!rig.may_send(WORKER), "nor does a list that lags");
    rig.tracker.on_listed(WORKER, WorkerStatus::Ready, true);
    rig.pass(50 * MS);
    assert!(rig.may_send(WORKER), "a new process does");
}

#[test]
fn worker_that_said_dead_gets_nothing_though_it_served_just_before() {
    let mut rig = Rig::heard(&settings(true));
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    rig.pass(SECOND);
    rig.check(WORKER, CheckResult::Dead, None);
    assert!(!rig.may_send(WORKER));
    assert!(rig.may_send(OTHER));
}

#[test]
fn answer_to_an_earlier_call_does_not_bring_a_dead_worker_back() {
    let mut rig = Rig::heard(&settings(true));
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    rig.pass(500 * MS);
    let sent_at = rig.now;
    rig.pass(300 * MS);
    rig.check(WORKER, CheckResult::Dead, None);
    rig.tracker.on_served(rig.now, WORKER, sent_at);
    assert!(!rig.may_send(WORKER));
}

#[test]
fn comments_confirm_nothing_while_a_worker_contradicts_the_list() {
    let mut rig = Rig::heard(&settings(true));
    rig.check(WORKER, CheckResult::Dead, None);
    rig.pass_with_heartbeats(8);
    assert!(
        !rig.may_send(OTHER),
        "events may be held back for it as well"
    );
    rig.check(WORKER, CheckResult::Alive, None);
    rig.pass_with_heartbeats(2);
    assert!(
        !rig.may_send(OTHER),
        "the list lagged for longer than it may"
    );
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(OTHER), "events come again");
}

#[test]
fn contradicted_stream_is_opened_anew() {
    let mut rig = Rig::heard(&settings(true));
    rig.check(WORKER, CheckResult::Dead, None);
    assert!(!rig.tracker.take_due_reopening(rig.now), "the list may lag");
    rig.pass_with_heartbeats(4);
    assert!(rig.tracker.take_due_reopening(rig.now));
    assert!(
        !rig.tracker.take_due_reopening(rig.now),
        "not at once again"
    );
}

#[test]
fn doubted_worker_is_not_confirmed_by_comments() {
    let mut rig = Rig::heard(&settings(false));
    rig.reject(WORKER, ReportedCapacity::Free);
    rig.pass_with_heartbeats(8);
    assert!(!rig.may_send(WORKER));
    assert!(rig.may_send(OTHER));
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(WORKER), "the list is current and names it");
}

#[test]
fn full_worker_is_not_doubted_where_checks_are_forbidden() {
    let mut rig = Rig::heard(&settings(false));
    for _ in 0..50 {
        rig.reject(WORKER, ReportedCapacity::Used);
        rig.reject(WORKER, ReportedCapacity::Unknown);
        rig.tracker.on_load_rejected(rig.now, WORKER);
    }
    rig.pass_with_heartbeats(30);
    assert!(rig.may_send(WORKER));
}

/// Guards against calls that go on to a worker which drains unheard, because comments were taken for
/// evidence up to its first rejection.
#[test]
fn worker_that_rejects_after_a_quiet_spell_is_suspended_at_once() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass_with_heartbeats(20);
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(!rig.may_send(WORKER), "it may have drained at any time");
    assert!(rig.may_send(OTHER));
    rig.signal(DiscoverySignal::Incomplete);
    assert!(!rig.may_send(WORKER), "half an event says nothing");
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(WORKER), "an event comes in the middle");
}

#[test]
fn doubted_worker_is_used_while_what_it_served_holds() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass_with_heartbeats(20);
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    let served_at = rig.now;
    rig.pass_with_heartbeats(1);
    rig.reject(WORKER, ReportedCapacity::Free);
    rig.now = served_at + TOLD_AFTER + GRACE - 301 * MS;
    assert!(rig.may_send(WORKER));
    rig.now = served_at + TOLD_AFTER + GRACE - 300 * MS;
    assert!(!rig.may_send(WORKER));
}

#[test]
fn worker_that_rejects_serves_and_rejects_is_doubted_anew() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass_with_heartbeats(4);
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(rig.tracker.is_doubted(WORKER));
    rig.pass(100 * MS);
    assert!(rig.may_send(WORKER), "the list was delivered lately");
    rig.tracker.on_served(rig.now, WORKER, rig.now);
    assert!(!rig.tracker.is_doubted(WORKER));
    rig.pass_with_heartbeats(20);
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(!rig.may_send(WORKER));
}

#[test]
fn workers_that_all_reject_are_used_again_after_an_update() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass_with_heartbeats(20);
    for worker in [WORKER, OTHER] {
        rig.reject(worker, ReportedCapacity::Free);
        assert!(!rig.may_send(worker));
    }
    rig.pass_with_heartbeats(1);
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(WORKER) && rig.may_send(OTHER));
}

/// A full worker rejects load orders as one that drains does; only one with free capacity is doubted.
#[test]
fn load_rejections_raise_a_doubt_only_despite_free_capacity() {
    for (capacity, is_doubted) in [
        (ReportedCapacity::Free, true),
        (ReportedCapacity::Used, false),
        (ReportedCapacity::Unknown, false),
    ] {
        let mut rig = Rig::heard(&settings(false));
        rig.tracker.on_reported(WORKER, capacity);
        rig.pass_with_heartbeats(20);
        for _ in 0..3 {
            rig.tracker.on_load_rejected(rig.now, WORKER);
        }
        assert_eq!(rig.tracker.is_doubted(WORKER), is_doubted, "{capacity:?}");
        assert_eq!(rig.may_send(WORKER), !is_doubted, "{capacity:?}");
    }
}

/// A stream that stays quiet behind the list costs less and less, and proves nothing.
#[test]
fn stream_is_opened_anew_with_backoff_while_a_doubt_lasts() {
    let mut rig = Rig::heard(&settings(false));
    rig.pass_with_heartbeats(20);
    rig.reject(WORKER, ReportedCapacity::Free);
    let mut reopened_at = Vec::new();
    for _ in 0..300 {
        rig.pass_with_heartbeats(1);
        if rig.tracker.take_due_reopening(rig.now) {
            reopened_at.push(rig.now);
            rig.signal(DiscoverySignal::Closed);
            rig.connect();
        }
        assert!(!rig.may_send(WORKER), "no event has come");
    }
    let pauses: Vec<Micros> = reopened_at
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!((20 * SECOND..=30 * SECOND).contains(pauses.last().unwrap()));
    rig.signal(DiscoverySignal::Update);
    rig.pass(SECOND);
    assert!(rig.may_send(WORKER));
}

/// On a day on which discovery has nothing to say and nothing is rejected, nothing is opened anew.
#[test]
fn quiet_day_opens_no_stream_anew_and_suspends_nobody() {
    let mut rig = Rig::heard(&settings(false));
    for _ in 0..600 {
        rig.pass_with_heartbeats(1);
        assert!(!rig.tracker.take_due_reopening(rig.now));
        assert!(rig.may_send(WORKER) && rig.may_send(OTHER));
    }
}

#[test]
fn doubt_is_settled_by_one_check() {
    let mut rig = Rig::heard(&settings(true));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
    rig.reject(WORKER, ReportedCapacity::Free);
    assert!(
        rig.tracker.due_checks(rig.now).is_empty(),
        "the list may lag"
    );
    rig.pass_with_heartbeats(2);
    assert_eq!(rig.tracker.due_checks(rig.now), [WORKER]);
    assert!(rig.tracker.due_checks(rig.now).is_empty(), "it is out");
    rig.check(WORKER, CheckResult::Alive, None);
    rig.pass_with_heartbeats(30);
    assert!(rig.may_send(WORKER));
    assert!(rig.tracker.due_checks(rig.now).is_empty());
}

#[test]
fn returned_process_waits_until_its_start_would_be_told() {
    let mut rig = Rig::heard(&settings(true));
    rig.pass(4 * SECOND);
    rig.tracker.on_process_ended(rig.now, WORKER);
    rig.pass(6 * SECOND);
    assert!(!rig.may_send(WORKER));
    let returned_at = rig.now;
    rig.check(WORKER, CheckResult::Alive, Some(returned_at));
    let mut resumed = Vec::new();
    while !rig.may_send(WORKER) {
        rig.check(WORKER, CheckResult::Alive, Some(returned_at));
        resumed = rig.pass(250 * MS);
    }
    assert!(rig.now >= returned_at + TOLD_AFTER);
    assert_eq!(
        resumed,
        [(WORKER, Availability::Resumed { new_process: true })]
    );
}

#[test]
fn process_on_old_connection_is_the_same() {
    let mut rig = Rig::heard(&settings(true));
    let opened_at = rig.now - SECOND;
    rig.pass(20 * SECOND);
    for worker in [WORKER, OTHER] {
        rig.check(worker, CheckResult::Alive, Some(opened_at));
        rig.pass(2 * SECOND);
        rig.check(worker, CheckResult::Dead, Some(opened_at));
    }
    rig.pass(SECOND);
    rig.check(WORKER, CheckResult::Alive, Some(opened_at));
    rig.check(OTHER, CheckResult::Alive, Some(rig.now));
    assert!(rig.may_send(WORKER), "it has thought better of its drain");
    assert!(!rig.may_send(OTHER), "it may be another one");
}

#[test]
fn worker_that_was_only_not_heard_of_is_used_as_before() {
    let mut rig = Rig::heard(&settings(true));
    rig.pass(20 * SECOND);
    assert!(!rig.may_send(WORKER));
    while rig.tracker.next_change().is_some() {}
    rig.check(WORKER, CheckResult::Alive, Some(rig.now));
    assert!(rig.may_send(WORKER));
    let resumed = std::iter::from_fn(|| rig.tracker.next_change()).any(|change| {
        matches!(change, EvidenceChange::Resumed { worker, new_process: false, .. } if worker == WORKER)
    });
    assert!(resumed, "without slow start, with its copies");
}

#[test]
fn checks_need_demand_and_are_capped() {
    let mut rig = Rig::heard(&Settings {
        instances: 100,
        ..settings(true)
    });
    for id in 10..60 {
        rig.tracker
            .on_listed(WorkerId(id), WorkerStatus::Ready, false);
    }
    rig.pass(20 * SECOND);
    assert!(rig.tracker.due_checks(rig.now).is_empty(), "no calls");
    let mut checks = 0;
    for _ in 0..200 {
        rig.tracker.on_request(rig.now);
        for worker in rig.tracker.due_checks(rig.now) {
            checks += 1;
            rig.tracker
                .on_checked(rig.now, worker, CheckResult::NoAnswer, rig.now, None);
        }
        rig.pass(50 * MS);
    }
    // A hundred instances share four checks a second at each of 52 workers: two a second are this one's.
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
fn gateway_without_discovery_from_its_start_checks_first() {
    let mut rig = Rig::new(&settings(true));
    assert!(!rig.may_send(WORKER), "the file's list has no known age");
    rig.pass(SECOND);
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
        ..settings(true)
    });
    rig.pass(60 * SECOND);
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
    rig.pass(60 * SECOND);
    assert!(rig.may_send(WORKER), "a subscription holds");
    rig.signal(DiscoverySignal::Closed);
    rig.pass(TOLD_AFTER + GRACE);
    assert!(!rig.may_send(WORKER));
    rig.signal(DiscoverySignal::Update);
    assert!(rig.may_send(WORKER));
}

#[test]
fn evidence_of_another_process_is_adopted() {
    let mut rig = Rig::new(&settings(false));
    rig.tracker.import(WORKER, rig.now - 2 * SECOND);
    assert!(rig.may_send(WORKER));
    rig.pass(TOLD_AFTER + GRACE - 2 * SECOND);
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
