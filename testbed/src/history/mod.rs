//! Reads the histories that processes record and checks them against the safety rules of leases.
//! The checker shares no code with the gateway.
//!
//! A history is a folder of files with one line of JSON per event, in the order in which the
//! process recorded them. The checks use only that order and the contents of the lines; they
//! compare no clocks and judge no durations.

pub mod promises;
pub mod tenants;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{Error, Result};
use std::path::Path;

use serde::Deserialize;

/// A line written by a gateway or by a caller.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// An event that a gateway recorded.
    Noted {
        /// Time at the machine; for readers, unused by the checker.
        at: u64,
        /// Name of the gateway.
        name: String,
        /// Number of its process.
        process: u64,
        /// Event.
        note: Note,
    },
    /// One answer to one call, recorded by a caller.
    Answered {
        /// Number of the call.
        call: u64,
        /// HTTP status; 0 without an answer.
        status: u16,
    },
}

/// A lease holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Owner {
    /// Name of the gateway.
    pub name: String,
    /// Number of its process.
    pub incarnation: u64,
}

/// An event of a gateway. A `duty` is the name of a lease.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Note {
    Agreed {
        index: u64,
        duty: String,
        term: u64,
        owner: Option<Owner>,
    },
    Restored {
        index: u64,
    },
    Began {
        duty: String,
        term: u64,
    },
    Ended {
        duty: String,
        term: u64,
    },
    Acted {
        duty: String,
        term: u64,
        number: u64,
    },
    Sent {
        duty: String,
        term: u64,
        number: u64,
    },
    TakenBack {
        duty: String,
        term: u64,
        number: u64,
    },
    Accepted {
        duty: String,
        term: u64,
        owner: String,
        number: u64,
    },
    Refused {
        duty: String,
        term: u64,
        owner: String,
        number: u64,
        why: String,
    },
    Leads {
        term: u64,
    },
    Follows,
    Retired {
        why: String,
    },
}

/// A violation found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Violation {
    /// A receiver accepted an effect under a lower term than an effect it had accepted before.
    Stale {
        receiver: String,
        duty: String,
        term: u64,
        after: u64,
    },
    /// A lease has two holders in one term.
    TwoOwners { duty: String, term: u64 },
    /// Two gateways report different lease entries at one index of the log.
    TwoEntries { index: u64 },
    /// A term of a lease does not follow the previous term.
    Gap { duty: String, term: u64 },
    /// A gateway acted without holding the lease, or sent an effect after it had lost the lease.
    NoLease {
        owner: String,
        duty: String,
        term: u64,
        number: u64,
    },
    /// A receiver accepted an effect that no lease holder produced.
    Forged {
        receiver: String,
        duty: String,
        term: u64,
        number: u64,
    },
    /// Two processes led the log in one term.
    TwoLeaders { term: u64 },
    /// A call has two answers.
    TwoAnswers { call: u64 },
    /// The history lacks records of this kind.
    Nothing(&'static str),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Stale {
                receiver,
                duty,
                term,
                after,
            } => {
                write!(
                    f,
                    "{receiver} took an effect of {duty} under term {term} after one under {after}"
                )
            }
            Violation::TwoOwners { duty, term } => {
                write!(f, "two owners of {duty} under term {term}")
            }
            Violation::TwoEntries { index } => write!(f, "two entries at {index}"),
            Violation::Gap { duty, term } => {
                write!(f, "term {term} of {duty} does not follow the one before")
            }
            Violation::NoLease {
                owner,
                duty,
                term,
                number,
            } => {
                write!(
                    f,
                    "{owner} did effect {number} of {duty} under term {term} without a lease"
                )
            }
            Violation::Forged {
                receiver,
                duty,
                term,
                number,
            } => {
                write!(
                    f,
                    "{receiver} took effect {number} of {duty} under term {term}, which nobody did"
                )
            }
            Violation::TwoLeaders { term } => write!(f, "two led in term {term} of the log"),
            Violation::TwoAnswers { call } => write!(f, "call {call:016x} has two answers"),
            Violation::Nothing(what) => write!(f, "the history has no {what}"),
        }
    }
}

/// Counts of the events in a history, for the report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    /// Number of processes.
    pub processes: usize,
    /// Terms granted, of all leases.
    pub terms: usize,
    /// Effects that lease holders produced.
    pub acted: usize,
    /// Effects that receivers accepted.
    pub accepted: usize,
    /// Effects that receivers refused.
    pub refused: usize,
    /// Effects withdrawn before they were sent.
    pub taken_back: usize,
    /// Calls answered.
    pub answers: usize,
}

/// Reads the history files of a folder; returns the lines of each file in order.
pub fn read(folder: &Path) -> Result<Vec<Vec<Line>>> {
    let mut files: Vec<_> = std::fs::read_dir(folder)?.collect::<Result<Vec<_>>>()?;
    files.sort_by_key(std::fs::DirEntry::path);
    let mut all = Vec::new();
    for file in files
        .into_iter()
        .filter(|f| f.path().extension().is_some_and(|e| e == "jsonl"))
    {
        all.push(parse(&std::fs::read_to_string(file.path())?)?);
    }
    Ok(all)
}

/// Parses lines. Skips an incomplete last line, as a process may be killed while it writes.
pub fn parse(text: &str) -> Result<Vec<Line>> {
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let line = |l: &str| serde_json::from_str(l).map_err(|e| Error::other(format!("'{l}': {e}")));
    complete.lines().map(line).collect()
}

/// Checks histories, one list of lines per file. Returns counts of the events and all violations.
pub fn check(files: &[Vec<Line>]) -> (EventCounts, Vec<Violation>) {
    let mut violations = Vec::new();
    let mut counts = EventCounts::default();
    let mut entries: BTreeMap<u64, (&str, u64, &Option<Owner>)> = BTreeMap::new();
    let mut owners: BTreeMap<(&str, u64), &Owner> = BTreeMap::new();
    let mut actors: BTreeMap<(&str, u64), (&str, u64)> = BTreeMap::new();
    let mut leaders: BTreeMap<u64, (&str, u64)> = BTreeMap::new();
    let mut acted: BTreeSet<(&str, u64, &str, u64)> = BTreeSet::new();
    let mut answers: BTreeSet<u64> = BTreeSet::new();
    let mut processes: BTreeSet<u64> = BTreeSet::new();
    // First the rules that involve several processes.
    for line in files.iter().flatten() {
        let (name, process, note) = match line {
            Line::Noted {
                name,
                process,
                note,
                ..
            } => (name.as_str(), *process, note),
            Line::Answered { call, status } => {
                if *status > 0 && !answers.insert(*call) {
                    violations.push(Violation::TwoAnswers { call: *call });
                }
                continue;
            }
        };
        processes.insert(process);
        match note {
            Note::Agreed {
                index,
                duty,
                term,
                owner,
            } => {
                let entry = (duty.as_str(), *term, owner);
                if *entries.entry(*index).or_insert(entry) != entry {
                    violations.push(Violation::TwoEntries { index: *index });
                }
                if let Some(owner) = owner {
                    if *owners.entry((duty, *term)).or_insert(owner) != owner {
                        violations.push(Violation::TwoOwners {
                            duty: duty.clone(),
                            term: *term,
                        });
                    }
                }
            }
            Note::Acted { duty, term, number } => {
                acted.insert((duty, *term, name, *number));
                counts.acted += 1;
                let recorder = (name, process);
                if *actors.entry((duty, *term)).or_insert(recorder) != recorder {
                    violations.push(Violation::TwoOwners {
                        duty: duty.clone(),
                        term: *term,
                    });
                }
            }
            Note::Leads { term } => {
                let recorder = (name, process);
                if *leaders.entry(*term).or_insert(recorder) != recorder {
                    violations.push(Violation::TwoLeaders { term: *term });
                }
            }
            _ => {}
        }
    }
    for ((duty, term), (name, process)) in &actors {
        let holder = owners.get(&(*duty, *term));
        if holder.is_some_and(|o| o.name != *name || o.incarnation != *process) {
            violations.push(Violation::TwoOwners {
                duty: (*duty).into(),
                term: *term,
            });
        }
    }
    check_terms(&entries, &mut violations);
    // Then the rules for the order of events within one process.
    for file in files {
        check_file(file, &acted, &mut counts, &mut violations);
    }
    (counts.processes, counts.terms, counts.answers) =
        (processes.len(), owners.len(), answers.len());
    violations.dedup();
    (counts, violations)
}

/// Checks along the log that each grant of a lease raises its term by one and that a release keeps
/// the term. The first entry of a lease may have any term, as the group may have been bootstrapped
/// anew.
fn check_terms(
    entries: &BTreeMap<u64, (&str, u64, &Option<Owner>)>,
    violations: &mut Vec<Violation>,
) {
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for (duty, term, owner) in entries.values() {
        let before = last
            .get(duty)
            .copied()
            .unwrap_or(*term - u64::from(owner.is_some()));
        let follows = if owner.is_some() { before + 1 } else { before };
        if *term != follows {
            violations.push(Violation::Gap {
                duty: (*duty).into(),
                term: *term,
            });
        }
        last.insert(duty, *term);
    }
}

fn check_file(
    file: &[Line],
    acted: &BTreeSet<(&str, u64, &str, u64)>,
    counts: &mut EventCounts,
    violations: &mut Vec<Violation>,
) {
    // Keyed by process: a file continues over restarts, and a new process has accepted nothing.
    let mut highest_terms: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    let mut active: BTreeSet<(u64, &str, u64)> = BTreeSet::new();
    for line in file {
        let Line::Noted {
            name,
            process,
            note,
            ..
        } = line
        else {
            continue;
        };
        match note {
            Note::Began { duty, term } => drop(active.insert((*process, duty, *term))),
            Note::Ended { duty, term } => drop(active.remove(&(*process, duty.as_str(), *term))),
            Note::Acted { duty, term, number } | Note::Sent { duty, term, number }
                if !active.contains(&(*process, duty.as_str(), *term)) =>
            {
                let (owner, duty) = (name.clone(), duty.clone());
                violations.push(Violation::NoLease {
                    owner,
                    duty,
                    term: *term,
                    number: *number,
                });
            }
            Note::TakenBack { .. } => counts.taken_back += 1,
            Note::Refused { .. } => counts.refused += 1,
            Note::Accepted {
                duty,
                term,
                owner,
                number,
            } => {
                counts.accepted += 1;
                let highest = highest_terms.entry((*process, duty)).or_default();
                if *term < *highest {
                    let (receiver, duty) = (name.clone(), duty.clone());
                    violations.push(Violation::Stale {
                        receiver,
                        duty,
                        term: *term,
                        after: *highest,
                    });
                }
                *highest = (*highest).max(*term);
                if !acted.contains(&(duty.as_str(), *term, owner.as_str(), *number)) {
                    let (receiver, duty) = (name.clone(), duty.clone());
                    violations.push(Violation::Forged {
                        receiver,
                        duty,
                        term: *term,
                        number: *number,
                    });
                }
            }
            _ => {}
        }
    }
}

/// Runs the command `check`: checks the histories in a folder and prints the result. Returns
/// whether there are no violations.
pub fn run(folder: &Path) -> Result<bool> {
    let (counts, mut violations) = check(&read(folder)?);
    if counts.processes == 0 {
        violations.push(Violation::Nothing("process"));
    }
    println!(
        "{} processes, {} terms, {} effects done, {} taken, {} refused, {} taken back, {} calls answered",
        counts.processes, counts.terms, counts.acted, counts.accepted, counts.refused, counts.taken_back, counts.answers
    );
    violations.iter().for_each(|w| println!("WRONG: {w}"));
    println!(
        "{}",
        if violations.is_empty() {
            "sound"
        } else {
            "NOT sound"
        }
    );
    Ok(violations.is_empty())
}

#[cfg(test)]
mod tests;
