//! The metrics of the second address, under the platform's names, one a line.

use std::fmt::Write;

use crate::counters::Ends;

/// Values that are read from the state when the metrics are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not yet answered.
    pub pending: usize,
    /// Workers on the endpoint list.
    pub members: usize,
    /// Those of them that get no requests now: excluded by an operator, draining, or unhealthy.
    pub unavailable: usize,
}

/// Writes the metrics as text. Every class is included from the start.
pub fn encode(classes: &[String], ends: &[Ends], attempts: u64, gauges: Gauges) -> String {
    let mut out = String::new();
    let none = Ends::default();
    for (index, class) in classes.iter().enumerate() {
        let ends_of_class = ends.get(index).unwrap_or(&none);
        for (outcome, count) in [
            ("completed", ends_of_class.served),
            ("rejected", ends_of_class.refused),
            ("failed", ends_of_class.failed),
        ] {
            // Writing to a string does not fail.
            let _ = writeln!(out, "app.downstream_requests.{class}.{outcome}:{count}|c");
        }
    }
    let _ = writeln!(out, "app.upstream_requests:{attempts}|c");
    for (gauge, value) in [
        ("pending", gauges.pending),
        ("members", gauges.members),
        ("members_unavailable", gauges.unavailable),
    ] {
        let _ = writeln!(out, "app.{gauge}:{value}|g");
    }
    out
}

#[cfg(test)]
mod tests;
