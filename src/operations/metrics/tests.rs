//! Tests of `operations::metrics`.

use super::*;

#[test]
fn every_class_is_there_from_the_start() {
    let gauges = Gauges {
        pending: 14,
        members: 3,
        unavailable: 1,
    };
    let ends = [Ends {
        served: 812,
        refused: 2,
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
