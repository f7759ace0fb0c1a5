//! The metrics and the evidence report of the operator console, one value per line. Metrics have
//! the platform's names.

use std::fmt::Write;

use crate::counters::FinalAnswerCounts;

/// Values that are read from the state when the metrics are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests accepted and not yet answered.
    pub pending: usize,
    /// Workers on the endpoint list.
    pub members: usize,
    /// Listed workers that get no requests: excluded by an operator, draining, or unhealthy.
    pub unavailable: usize,
}

/// Writes the metrics as text. Every class is included from the start.
pub fn encode(
    classes: &[String],
    answers: &[FinalAnswerCounts],
    attempts: u64,
    gauges: Gauges,
) -> String {
    let mut out = String::new();
    let none = FinalAnswerCounts::default();
    for (index, class) in classes.iter().enumerate() {
        let answers_of_class = answers.get(index).unwrap_or(&none);
        for (outcome, count) in [
            ("completed", answers_of_class.served),
            ("rejected", answers_of_class.rejected),
            ("failed", answers_of_class.failed),
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

/// The age of the evidence for one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEvidenceLine {
    /// The worker's name on the endpoint list.
    pub name: String,
    /// The age of the latest evidence, in milliseconds; `None` without evidence.
    pub age_ms: Option<u64>,
    /// True if the worker gets no new requests.
    pub suspended: bool,
}

/// Encodes the age of the endpoint list, the state of discovery, and a line for each worker: its
/// name, the age of the latest evidence that it takes new work, and `used` or `suspended`. Ages are
/// in milliseconds, `-` if unknown.
pub fn encode_evidence(
    list_age_ms: Option<u64>,
    discovery_lost: bool,
    workers: &[WorkerEvidenceLine],
) -> String {
    let age = |age: Option<u64>| age.map_or("-".to_owned(), |age| age.to_string());
    let suspended = workers.iter().filter(|worker| worker.suspended).count();
    let mut out = format!(
        "list_age_ms {}\ndiscovery_lost {discovery_lost}\nworkers_suspended {suspended}\n",
        age(list_age_ms)
    );
    for worker in workers {
        let state = if worker.suspended {
            "suspended"
        } else {
            "used"
        };
        // Writing to a string does not fail.
        let _ = writeln!(out, "worker {} {} {state}", worker.name, age(worker.age_ms));
    }
    out
}

#[cfg(test)]
mod tests;
