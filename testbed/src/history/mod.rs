//! Histories: what each process recorded, and a checker apart from the program that judges them.
//!
//! A history is a folder of files with a line of JSON for each thing noted, in the order in which its process noted it. Only
//! that order and what the lines say of one another count; no two clocks are compared, and no span of time is judged.

pub mod promises;
pub mod tenants;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{Error, Result};
use std::path::Path;

use serde::Deserialize;

/// A line as a gateway writes it, or a caller.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// Of a gateway.
    Noted {
        /// The machine's time; for readers, not for the checker.
        at: u64,
        /// Its name.
        name: String,
        /// Its process.
        process: u64,
        /// What.
        note: Note,
    },
    /// Of a caller: one answer to one call.
    Answered {
        /// Which call.
        call: u64,
        /// Its status; 0 for none.
        status: u16,
    },
}

/// An owner as histories have it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Owner {
    /// Its name.
    pub name: String,
    /// Its process.
    pub incarnation: u64,
}

/// What a gateway noted.
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

/// What is wrong with a history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Wrong {
    /// A receiver took an effect under a term below one that it had taken before.
    Stale {
        receiver: String,
        duty: String,
        term: u64,
        after: u64,
    },
    /// Two entries at one place of the log, or two owners of one term.
    TwoOwners { duty: String, term: u64 },
    /// Two entries of duties at one place of the log.
    TwoEntries { index: u64 },
    /// A term that does not follow the one before.
    Gap { duty: String, term: u64 },
    /// An owner acted without a lease that ran, or let bytes go after it had ended.
    NoLease {
        owner: String,
        duty: String,
        term: u64,
        number: u64,
    },
    /// A receiver took what no owner had done.
    Forged {
        receiver: String,
        duty: String,
        term: u64,
        number: u64,
    },
    /// Two led the log in one of its terms.
    TwoLeaders { term: u64 },
    /// A call has two final answers.
    TwoAnswers { call: u64 },
    /// Nothing was recorded that could be judged.
    Nothing(&'static str),
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::Stale {
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
            Wrong::TwoOwners { duty, term } => write!(f, "two owners of {duty} under term {term}"),
            Wrong::TwoEntries { index } => write!(f, "two entries at {index}"),
            Wrong::Gap { duty, term } => {
                write!(f, "term {term} of {duty} does not follow the one before")
            }
            Wrong::NoLease {
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
            Wrong::Forged {
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
            Wrong::TwoLeaders { term } => write!(f, "two led in term {term} of the log"),
            Wrong::TwoAnswers { call } => write!(f, "call {call:016x} has two answers"),
            Wrong::Nothing(what) => write!(f, "the history has no {what}"),
        }
    }
}

/// What a history holds, for its report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Processes.
    pub processes: usize,
    /// Terms granted, of all duties.
    pub terms: usize,
    /// Effects that owners decided on.
    pub acted: usize,
    /// Effects that others took.
    pub accepted: usize,
    /// Effects that others refused.
    pub refused: usize,
    /// Effects taken back before they left.
    pub taken_back: usize,
    /// Calls that were answered.
    pub answers: usize,
}

/// Reads the files of a folder, each in its order.
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

/// Reads lines. The last one may be cut short, as a process may be killed while it writes.
pub fn parse(text: &str) -> Result<Vec<Line>> {
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let line = |l: &str| serde_json::from_str(l).map_err(|e| Error::other(format!("'{l}': {e}")));
    whole.lines().map(line).collect()
}

/// Judges histories, a list for each file; all that is wrong with them.
pub fn check(files: &[Vec<Line>]) -> (Held, Vec<Wrong>) {
    let mut wrong = Vec::new();
    let mut held = Held::default();
    let mut entries: BTreeMap<u64, (&str, u64, &Option<Owner>)> = BTreeMap::new();
    let mut owners: BTreeMap<(&str, u64), &Owner> = BTreeMap::new();
    let mut actors: BTreeMap<(&str, u64), (&str, u64)> = BTreeMap::new();
    let mut leaders: BTreeMap<u64, (&str, u64)> = BTreeMap::new();
    let mut acted: BTreeSet<(&str, u64, &str, u64)> = BTreeSet::new();
    let mut answers: BTreeSet<u64> = BTreeSet::new();
    let mut processes: BTreeSet<u64> = BTreeSet::new();
    // First what all said together.
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
                    wrong.push(Wrong::TwoAnswers { call: *call });
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
                    wrong.push(Wrong::TwoEntries { index: *index });
                }
                if let Some(owner) = owner {
                    if *owners.entry((duty, *term)).or_insert(owner) != owner {
                        wrong.push(Wrong::TwoOwners {
                            duty: duty.clone(),
                            term: *term,
                        });
                    }
                }
            }
            Note::Acted { duty, term, number } => {
                acted.insert((duty, *term, name, *number));
                held.acted += 1;
                let me = (name, process);
                if *actors.entry((duty, *term)).or_insert(me) != me {
                    wrong.push(Wrong::TwoOwners {
                        duty: duty.clone(),
                        term: *term,
                    });
                }
            }
            Note::Leads { term } => {
                let me = (name, process);
                if *leaders.entry(*term).or_insert(me) != me {
                    wrong.push(Wrong::TwoLeaders { term: *term });
                }
            }
            _ => {}
        }
    }
    for ((duty, term), (name, process)) in &actors {
        let granted = owners.get(&(*duty, *term));
        if granted.is_some_and(|o| o.name != *name || o.incarnation != *process) {
            wrong.push(Wrong::TwoOwners {
                duty: (*duty).into(),
                term: *term,
            });
        }
    }
    check_terms(&entries, &mut wrong);
    // Then each process by itself.
    for file in files {
        check_file(file, &acted, &mut held, &mut wrong);
    }
    (held.processes, held.terms, held.answers) = (processes.len(), owners.len(), answers.len());
    wrong.dedup();
    (held, wrong)
}

/// Along the log each grant's term is one above the last, but for a council that was founded anew.
fn check_terms(entries: &BTreeMap<u64, (&str, u64, &Option<Owner>)>, wrong: &mut Vec<Wrong>) {
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for (duty, term, owner) in entries.values() {
        let before = last
            .get(duty)
            .copied()
            .unwrap_or(*term - u64::from(owner.is_some()));
        let follows = if owner.is_some() { before + 1 } else { before };
        if *term != follows {
            wrong.push(Wrong::Gap {
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
    held: &mut Held,
    wrong: &mut Vec<Wrong>,
) {
    // Of one process: a file goes on over restarts, and a new process has seen nothing.
    let mut seen: BTreeMap<(u64, &str), u64> = BTreeMap::new();
    let mut runs: BTreeSet<(u64, &str, u64)> = BTreeSet::new();
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
            Note::Began { duty, term } => drop(runs.insert((*process, duty, *term))),
            Note::Ended { duty, term } => drop(runs.remove(&(*process, duty.as_str(), *term))),
            Note::Acted { duty, term, number } | Note::Sent { duty, term, number }
                if !runs.contains(&(*process, duty.as_str(), *term)) =>
            {
                let (owner, duty) = (name.clone(), duty.clone());
                wrong.push(Wrong::NoLease {
                    owner,
                    duty,
                    term: *term,
                    number: *number,
                });
            }
            Note::TakenBack { .. } => held.taken_back += 1,
            Note::Refused { .. } => held.refused += 1,
            Note::Accepted {
                duty,
                term,
                owner,
                number,
            } => {
                held.accepted += 1;
                let highest = seen.entry((*process, duty)).or_default();
                if *term < *highest {
                    let (receiver, duty) = (name.clone(), duty.clone());
                    wrong.push(Wrong::Stale {
                        receiver,
                        duty,
                        term: *term,
                        after: *highest,
                    });
                }
                *highest = (*highest).max(*term);
                if !acted.contains(&(duty.as_str(), *term, owner.as_str(), *number)) {
                    let (receiver, duty) = (name.clone(), duty.clone());
                    wrong.push(Wrong::Forged {
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

/// `check`: judges a folder and says what it found.
pub fn run(folder: &Path) -> Result<bool> {
    let (held, mut wrong) = check(&read(folder)?);
    if held.processes == 0 {
        wrong.push(Wrong::Nothing("process"));
    }
    println!(
        "{} processes, {} terms, {} effects done, {} taken, {} refused, {} taken back, {} calls answered",
        held.processes, held.terms, held.acted, held.accepted, held.refused, held.taken_back, held.answers
    );
    wrong.iter().for_each(|w| println!("WRONG: {w}"));
    println!(
        "{}",
        if wrong.is_empty() {
            "sound"
        } else {
            "NOT sound"
        }
    );
    Ok(wrong.is_empty())
}

#[cfg(test)]
mod tests;
