//! Tests of `operations::metrics`.

use super::*;

#[test]
fn every_class_is_encoded_from_the_start() {
    let gauges = Gauges {
        pending: 14,
        members: 3,
        unavailable: 1,
    };
    let ends = [FinalAnswerCounts {
        served: 812,
        rejected: 2,
        failed: 0,
    }];
    let text = encode(&["a".into(), "b-c".into()], &ends, 9, gauges);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "app.downstream_requests.a.completed:812|c",
            "app.downstream_requests.a.rejected:2|c",
            "app.downstream_requests.a.failed:0|c",
            "app.downstream_requests.b-c.completed:0|c",
            "app.downstream_requests.b-c.rejected:0|c",
            "app.downstream_requests.b-c.failed:0|c",
            "app.upstream_requests:9|c",
            "app.pending:14|g",
            "app.members:3|g",
            "app.members_unavailable:1|g",
        ]
    );
}

#[test]
fn evidence_lists_each_worker_with_its_age() {
    let line = |name: &str, age_ms, suspended| WorkerEvidenceLine {
        name: name.into(),
        age_ms,
        suspended,
    };
    let workers = [line("s-1", Some(12), false), line("s-2", None, true)];
    assert_eq!(
        encode_evidence(None, true, &workers),
        "list_age_ms -\ndiscovery_lost true\nworkers_suspended 1\nworker s-1 12 used\nworker s-2 - suspended\n"
    );
    assert!(
        encode_evidence(Some(7), false, &[]).starts_with("list_age_ms 7\ndiscovery_lost false\n")
    );
}
