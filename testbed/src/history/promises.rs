//! What was promised, judged by what gateways recorded of shards, callers of answers, workers of runs and the portal of
//! callbacks. Nothing here is the program's own; no clock and no span of time is looked at.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{Error, Result};
use std::path::Path;

use serde::Deserialize;

use crate::fakes::gateway::{SAFE, UNSAFE};

/// What a gateway noted of shards.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "copies", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum CopyNote {
    Led {
        shard: u16,
        epoch: u64,
        number: u64,
        chain: u64,
        members: Vec<String>,
    },
    Rested {
        shard: u16,
        epoch: u64,
    },
    Promised {
        shard: u16,
        epoch: u64,
        number: u64,
        chain: u64,
        disks: usize,
    },
    Stored {
        shard: u16,
        epoch: u64,
        number: u64,
        chain: u64,
    },
    Installed {
        shard: u16,
        number: u64,
        chain: u64,
    },
    Declined {
        shard: u16,
        theirs: u64,
        ours: u64,
    },
    Damaged {
        shard: u16,
        ranges: Vec<u8>,
    },
    Mended {
        shard: u16,
        accepted: bool,
    },
    Refuted {
        shard: u16,
    },
    Recalled {
        shard: u16,
    },
    Waits {
        shard: u16,
        members: Vec<String>,
    },
    Lost {
        shard: u16,
    },
}

#[derive(Debug, Deserialize)]
struct Line {
    name: String,
    process: u64,
    note: CopyNote,
}

/// Reads a folder's histories of shards. A last line that a kill cut off is passed over.
pub fn read(folder: &Path) -> Result<Vec<(String, u64, CopyNote)>> {
    let mut all = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if !path.to_string_lossy().ends_with(".copies.jsonl") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let whole = text.rfind('\n').map_or(0, |end| end + 1);
        for line in text[..whole].lines() {
            let line: Line =
                serde_json::from_str(line).map_err(|e| Error::other(format!("{e}: {line}")))?;
            all.push((line.name, line.process, line.note));
        }
    }
    Ok(all)
}

/// What did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Wrong {
    /// Two processes gave a shard's records their numbers under one epoch.
    TwoLed { shard: u16, epoch: u64 },
    /// One number was promised with two contents.
    TwoPromised { shard: u16, number: u64 },
    /// What was promised was not there when another took the shard over.
    Gone { shard: u16, number: u64, epoch: u64 },
    /// All disks of a shard were lost.
    Lost { shard: u16 },
    /// A call that got a 202 has no end.
    NoEnd { call: String },
    /// A call that is safe to repeat has an end and no callback.
    NoCallback { call: String },
    /// The callback of a call that must not run twice came twice.
    CallbackTwice { call: String, times: usize },
    /// A call that must not run twice ran twice.
    RanTwice { call: String, times: u32 },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// What a history held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Promised {
    /// Calls that got a 202.
    pub calls: usize,
    /// Of those, calls whose end is that nobody can tell.
    pub unknown: usize,
    /// Calls that were turned away, or got no answer.
    pub refused: usize,
    /// Records promised.
    pub records: usize,
    /// Epochs of all shards.
    pub epochs: usize,
    /// Words of older primaries that were refused.
    pub declined: usize,
    /// Snapshots that took the place of what a disk held.
    pub installed: usize,
    /// Shards of damaged disks that were mended from others.
    pub mended: usize,
    /// Reads that found damage which a second read did not find.
    pub refuted: usize,
}

/// Judges.
pub fn check(
    notes: &[(String, u64, CopyNote)],
    told: &BTreeMap<String, (String, u16)>,
    outcomes: &BTreeMap<String, String>,
    runs: &BTreeMap<(String, String), u32>,
    portal: &[(String, bool)],
) -> (Promised, Vec<Wrong>) {
    let (mut held, mut wrong) = (Promised::default(), Vec::new());
    let mut leaders: BTreeMap<(u16, u64), u64> = BTreeMap::new();
    // The digest of each number that was promised, with the epoch; and what each leader began with.
    let mut promised: BTreeMap<(u16, u64), (u64, u64)> = BTreeMap::new();
    let mut begun: Vec<(u16, u64, u64)> = Vec::new();
    for (_, process, note) in notes {
        match note {
            CopyNote::Led {
                shard,
                epoch,
                number,
                ..
            } => {
                held.epochs += 1;
                begun.push((*shard, *epoch, *number));
                if *leaders.entry((*shard, *epoch)).or_insert(*process) != *process {
                    wrong.push(Wrong::TwoLed {
                        shard: *shard,
                        epoch: *epoch,
                    });
                }
            }
            CopyNote::Promised {
                shard,
                number,
                chain,
                epoch,
                ..
            } => {
                held.records += 1;
                let known = promised
                    .entry((*shard, *number))
                    .or_insert((*chain, *epoch));
                if known.0 != *chain {
                    wrong.push(Wrong::TwoPromised {
                        shard: *shard,
                        number: *number,
                    });
                }
                known.1 = known.1.min(*epoch);
            }
            CopyNote::Declined { .. } => held.declined += 1,
            CopyNote::Installed { .. } => held.installed += 1,
            CopyNote::Refuted { .. } => held.refuted += 1,
            CopyNote::Lost { shard } => wrong.push(Wrong::Lost { shard: *shard }),
            CopyNote::Mended {
                accepted: false, ..
            } => held.mended += 1,
            CopyNote::Mended { shard, .. } => wrong.push(Wrong::Lost { shard: *shard }),
            CopyNote::Recalled { .. }
            | CopyNote::Rested { .. }
            | CopyNote::Stored { .. }
            | CopyNote::Damaged { .. }
            | CopyNote::Waits { .. } => {}
        }
    }
    // Whoever leads under a later epoch began with all that was promised under an earlier one.
    for (shard, epoch, number) in begun {
        let of = promised.range((shard, number + 1)..=(shard, u64::MAX));
        if let Some(((_, gone), _)) = of.into_iter().find(|(_, (_, under))| *under < epoch) {
            wrong.push(Wrong::Gone {
                shard,
                number: *gone,
                epoch,
            });
        }
    }
    let mut came: BTreeMap<&str, usize> = BTreeMap::new();
    portal
        .iter()
        .for_each(|(call, _)| *came.entry(call).or_default() += 1);
    let confirmed: BTreeSet<&str> = portal
        .iter()
        .filter(|(_, c)| *c)
        .map(|(call, _)| call.as_str())
        .collect();
    for (call, (class, status)) in told {
        if class == UNSAFE && came.get(call.as_str()).is_some_and(|n| *n > 1) {
            wrong.push(Wrong::CallbackTwice {
                call: call.clone(),
                times: came[call.as_str()],
            });
        }
        if *status != 202 {
            held.refused += 1;
            continue;
        }
        held.calls += 1;
        match outcomes.get(call) {
            None => wrong.push(Wrong::NoEnd { call: call.clone() }),
            Some(o) if o == "unknown" => held.unknown += 1,
            Some(_) => {}
        }
        if class == SAFE && outcomes.contains_key(call) && !confirmed.contains(call.as_str()) {
            wrong.push(Wrong::NoCallback { call: call.clone() });
        }
    }
    for ((id, class), n) in runs
        .iter()
        .filter(|((_, class), n)| class == UNSAFE && **n > 1)
    {
        wrong.push(Wrong::RanTwice {
            call: format!("{class} {id}"),
            times: *n,
        });
    }
    (held, wrong)
}

#[cfg(test)]
mod tests;
