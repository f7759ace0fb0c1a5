//! Tests of health checks by a lease holder.

use super::{
    HealthChecker, Input, Output, ProbeResult, Verdict, ANNOUNCE_INTERVAL, PROBE_TIMEOUT,
    REPORT_INTERVAL, VERDICT_TIMEOUT,
};
use crate::api::{Micros, WorkerId};
use crate::membership::group::AttemptOutcome;

const MS: Micros = 1_000;

fn drain_outputs(checker: &mut HealthChecker) -> Vec<Output> {
    std::iter::from_fn(|| checker.output())
        .filter(|output| !matches!(output, Output::SetCapable(true)))
        .collect()
}

fn new_checker(is_holder: bool, workers: u32) -> HealthChecker {
    let mut checker = HealthChecker::default();
    checker.handle(0, Input::Ready((0..workers).map(WorkerId).collect()));
    checker.handle(0, Input::LeaseChanged(is_holder));
    drain_outputs(&mut checker);
    checker
}

fn unhealthy(worker: WorkerId) -> Verdict {
    Verdict {
        worker,
        unhealthy: true,
    }
}

fn healthy(worker: WorkerId) -> Verdict {
    Verdict {
        worker,
        unhealthy: false,
    }
}

#[test]
fn unanswered_worker_is_reported_once_per_interval() {
    let (mut checker, worker) = (new_checker(false, 3), WorkerId(1));
    checker.handle(1, Input::Outcome(worker, AttemptOutcome::Answered));
    assert_eq!(drain_outputs(&mut checker), []);
    checker.handle(5, Input::Outcome(worker, AttemptOutcome::Refused));
    assert_eq!(drain_outputs(&mut checker), [Output::Report(worker)]);
    checker.handle(
        5 + REPORT_INTERVAL,
        Input::Outcome(worker, AttemptOutcome::Refused),
    );
    assert_eq!(drain_outputs(&mut checker), [Output::Report(worker)]);
}

#[test]
fn holder_probes_before_it_announces_with_growing_backoff() {
    let (mut checker, worker) = (new_checker(true, 3), WorkerId(1));
    checker.handle(0, Input::ReportReceived(worker));
    checker.handle(0, Input::ReportReceived(worker));
    assert_eq!(drain_outputs(&mut checker), [Output::Probe(worker)]);
    checker.handle(10 * MS, Input::ProbeEnded(worker, ProbeResult::Answered));
    assert_eq!(
        drain_outputs(&mut checker),
        [],
        "a worker that answers the probe is not announced"
    );
    let mut probed_at = Vec::new();
    checker.handle(20 * MS, Input::ReportReceived(worker));
    for now in (20..20_000).map(|n| n * MS) {
        checker.handle(now, Input::Tick);
        probed_at.extend(
            drain_outputs(&mut checker)
                .contains(&Output::Probe(worker))
                .then_some(now),
        );
    }
    let pauses: Vec<Micros> = probed_at
        .windows(2)
        .map(|pair| pair[1] - pair[0] - PROBE_TIMEOUT)
        .collect();
    assert_eq!(
        pauses[..5],
        [250, 500, 1_000, 2_000, 4_000].map(|ms| ms * MS)
    );
    checker.handle(
        30_000 * MS,
        Input::Outcome(worker, AttemptOutcome::Answered),
    );
    assert_eq!(
        drain_outputs(&mut checker),
        [
            Output::Announce(vec![healthy(worker)]),
            Output::Advise(worker, None)
        ]
    );
}

#[test]
fn holder_repeats_announcement_until_worker_is_healthy() {
    let (mut checker, worker) = (new_checker(true, 3), WorkerId(1));
    checker.handle(0, Input::ReportReceived(worker));
    let (mut now, mut announced) = (0, Vec::new());
    while now < 10_000 * MS {
        now += 10 * MS;
        checker.handle(now, Input::Tick);
        announced.extend(
            drain_outputs(&mut checker)
                .into_iter()
                .filter(|output| matches!(output, Output::Announce(_)))
                .map(|output| (now, output)),
        );
    }
    assert!(announced
        .iter()
        .all(|(_, output)| *output == Output::Announce(vec![unhealthy(worker)])));
    assert!(
        announced
            .windows(2)
            .all(|pair| pair[1].0 - pair[0].0 <= ANNOUNCE_INTERVAL)
            && announced.len() >= 9,
        "{announced:?}"
    );
    const { assert!(3 * ANNOUNCE_INTERVAL < VERDICT_TIMEOUT) };
    checker.handle(now, Input::Outcome(worker, AttemptOutcome::Answered));
    drain_outputs(&mut checker);
    now += 10_000 * MS;
    checker.handle(now, Input::Tick);
    let outputs = drain_outputs(&mut checker);
    assert!(
        !outputs.contains(&Output::Announce(vec![unhealthy(worker)])),
        "{outputs:?}"
    );
}

#[test]
fn verdict_expires_or_is_replaced_by_own_observation() {
    let (mut checker, worker) = (new_checker(false, 3), WorkerId(1));
    checker.handle(
        0,
        Input::Verdicts(vec![unhealthy(worker), unhealthy(WorkerId(99))]),
    );
    assert_eq!(
        drain_outputs(&mut checker),
        [Output::Advise(worker, Some(VERDICT_TIMEOUT))],
        "a worker that is not ready is ignored"
    );
    assert_eq!(checker.unhealthy().collect::<Vec<_>>(), [worker]);
    checker.handle(VERDICT_TIMEOUT, Input::Tick);
    assert_eq!(checker.unhealthy().count(), 0);
    checker.handle(VERDICT_TIMEOUT, Input::Verdicts(vec![unhealthy(worker)]));
    drain_outputs(&mut checker);
    checker.handle(
        VERDICT_TIMEOUT + 1,
        Input::Outcome(worker, AttemptOutcome::Answered),
    );
    assert_eq!(drain_outputs(&mut checker), [Output::Advise(worker, None)]);
}

#[test]
fn holder_with_most_workers_unhealthy_becomes_incapable() {
    let mut checker = new_checker(true, 6);
    for n in 0..4 {
        checker.handle(n, Input::ReportReceived(WorkerId(n as u32)));
        checker.handle(
            n,
            Input::ProbeEnded(WorkerId(n as u32), ProbeResult::Failed),
        );
    }
    assert!(drain_outputs(&mut checker).contains(&Output::SetCapable(false)));
    checker.handle(9, Input::Outcome(WorkerId(0), AttemptOutcome::Answered));
    let outputs: Vec<Output> = std::iter::from_fn(|| checker.output()).collect();
    assert!(outputs.contains(&Output::SetCapable(true)));
}

#[test]
fn next_holder_continues_with_announced_workers() {
    let (mut checker, worker) = (new_checker(false, 3), WorkerId(1));
    checker.handle(0, Input::Verdicts(vec![unhealthy(worker)]));
    checker.handle(MS, Input::LeaseChanged(true));
    assert!(drain_outputs(&mut checker).contains(&Output::Probe(worker)));
    checker.handle(2 * MS, Input::ProbeEnded(worker, ProbeResult::Failed));
    assert!(drain_outputs(&mut checker).contains(&Output::Announce(vec![unhealthy(worker)])));
}

#[test]
fn former_holder_announces_nothing() {
    let mut checker = new_checker(true, 3);
    checker.handle(0, Input::ReportReceived(WorkerId(1)));
    drain_outputs(&mut checker);
    checker.handle(1, Input::LeaseChanged(false));
    checker.handle(
        10_000 * MS,
        Input::ProbeEnded(WorkerId(1), ProbeResult::Failed),
    );
    checker.handle(20_000 * MS, Input::Tick);
    assert_eq!(drain_outputs(&mut checker), []);
}
