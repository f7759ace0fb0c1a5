//! The figures that the second address tells: the platform's names, one a line.

use std::fmt::Write;

use crate::counters::FinalAnswerCounts;

/// What is read from the state at the moment of the question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Calls taken and not yet ended.
    pub pending: usize,
    /// Workers in the list.
    pub members: usize,
    /// Those of them that get nothing now, by hand, by the list's word or by the module's choice.
    pub unavailable: usize,
}

/// The figures as text; every class stands in it from the start.
pub fn text(
    classes: &[String],
    ends: &[FinalAnswerCounts],
    attempts: u64,
    gauges: Gauges,
) -> String {
    let mut out = String::new();
    let none = FinalAnswerCounts::default();
    for (n, class) in classes.iter().enumerate() {
        let e = ends.get(n).unwrap_or(&none);
        for (what, count) in [
            ("completed", e.served),
            ("rejected", e.rejected),
            ("failed", e.failed),
        ] {
            // Writing to a string does not fail.
            let _ = writeln!(out, "app.downstream_requests.{class}.{what}:{count}|c");
        }
    }
    let _ = writeln!(out, "app.upstream_requests:{attempts}|c");
    for (what, n) in [
        ("pending", gauges.pending),
        ("members", gauges.members),
        ("members_unavailable", gauges.unavailable),
    ] {
        let _ = writeln!(out, "app.{what}:{n}|g");
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_is_there_from_the_start() {
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
        let text = text(&["a".into(), "b-c".into()], &ends, 9, gauges);
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
}
