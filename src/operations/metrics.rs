//! The figures that the second address tells: the platform's names, one a line.

use std::fmt::Write;

use crate::counters::Ends;

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
pub fn text(classes: &[String], ends: &[Ends], attempts: u64, gauges: Gauges) -> String {
    let mut out = String::new();
    let none = Ends::default();
    for (n, class) in classes.iter().enumerate() {
        let e = ends.get(n).unwrap_or(&none);
        for (what, count) in [
            ("completed", e.served),
            ("rejected", e.refused),
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
mod tests;
