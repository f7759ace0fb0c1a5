//! Checks the durability of accepted calls: compares the shard events that gateways record with the
//! answers to callers, the runs of workers and the callbacks at the portal. Shares no code with the
//! gateway and uses no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{Error, Result};
use std::path::Path;

use serde::Deserialize;

use crate::fakes::gateway::{NON_IDEMPOTENT_CLASS, READ_CLASS};

/// An event of a shard at a gateway.
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

/// Reads a folder's histories of shards: name and process number of the gateway, and the event.
/// Skips an incomplete last line, which a kill can leave.
pub fn read(folder: &Path) -> Result<Vec<(String, u64, CopyNote)>> {
    let mut all = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if !path.to_string_lossy().ends_with(".copies.jsonl") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let complete_bytes = text.rfind('\n').map_or(0, |end| end + 1);
        for line in text[..complete_bytes].lines() {
            let line: Line =
                serde_json::from_str(line).map_err(|e| Error::other(format!("{e}: {line}")))?;
            all.push((line.name, line.process, line.note));
        }
    }
    Ok(all)
}

/// A violation of the guarantees.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Violation {
    /// Two processes were primary of a shard in one epoch.
    TwoLed { shard: u16, epoch: u64 },
    /// One record number was acknowledged with two contents.
    TwoPromised { shard: u16, number: u64 },
    /// The primary of a later epoch began without an acknowledged record.
    Gone { shard: u16, number: u64, epoch: u64 },
    /// All members of a shard lost their disks, or a repair accepted incomplete data.
    Lost { shard: u16 },
    /// A call answered 202 has no outcome.
    NoEnd { call: String },
    /// A call that is safe to repeat has an outcome and no confirmed callback.
    NoCallback { call: String },
    /// The callback of a call that must not run twice arrived more than once.
    CallbackTwice { call: String, times: usize },
    /// A call that must not run twice ran more than once.
    RanTwice { call: String, times: u32 },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Counts of the events in a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurabilityCounts {
    /// Calls answered 202.
    pub calls: usize,
    /// Calls answered 202 whose outcome is `unknown`.
    pub unknown: usize,
    /// Calls rejected or not answered.
    pub refused: usize,
    /// Acknowledgements of records.
    pub records: usize,
    /// Epochs begun, of all shards.
    pub epochs: usize,
    /// Messages from primaries of older epochs that were refused.
    pub declined: usize,
    /// Snapshots that replaced a replica's contents.
    pub installed: usize,
    /// Damaged replicas that were repaired from others.
    pub mended: usize,
    /// Reads that reported damage which a second read did not confirm.
    pub refuted: usize,
}

/// Checks the shard events against the answers to callers (`told`: class and status by call), the
/// outcomes by call, the runs by identity and class, and the portal's callbacks (call, confirmed).
/// Returns counts of the events and all violations.
pub fn check(
    notes: &[(String, u64, CopyNote)],
    told: &BTreeMap<String, (String, u16)>,
    outcomes: &BTreeMap<String, String>,
    runs: &BTreeMap<(String, String), u32>,
    portal: &[(String, bool)],
) -> (DurabilityCounts, Vec<Violation>) {
    let (mut counts, mut violations) = (DurabilityCounts::default(), Vec::new());
    let mut primaries: BTreeMap<(u16, u64), u64> = BTreeMap::new();
    // The digest of each acknowledged number with its lowest epoch, and the number that each
    // primary began at.
    let mut acknowledged: BTreeMap<(u16, u64), (u64, u64)> = BTreeMap::new();
    let mut epoch_starts: Vec<(u16, u64, u64)> = Vec::new();
    for (_, process, note) in notes {
        match note {
            CopyNote::Led {
                shard,
                epoch,
                number,
                ..
            } => {
                counts.epochs += 1;
                epoch_starts.push((*shard, *epoch, *number));
                if *primaries.entry((*shard, *epoch)).or_insert(*process) != *process {
                    violations.push(Violation::TwoLed {
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
                counts.records += 1;
                let known = acknowledged
                    .entry((*shard, *number))
                    .or_insert((*chain, *epoch));
                if known.0 != *chain {
                    violations.push(Violation::TwoPromised {
                        shard: *shard,
                        number: *number,
                    });
                }
                known.1 = known.1.min(*epoch);
            }
            CopyNote::Declined { .. } => counts.declined += 1,
            CopyNote::Installed { .. } => counts.installed += 1,
            CopyNote::Refuted { .. } => counts.refuted += 1,
            CopyNote::Lost { shard } => violations.push(Violation::Lost { shard: *shard }),
            CopyNote::Mended {
                accepted: false, ..
            } => counts.mended += 1,
            CopyNote::Mended { shard, .. } => violations.push(Violation::Lost { shard: *shard }),
            CopyNote::Recalled { .. }
            | CopyNote::Rested { .. }
            | CopyNote::Stored { .. }
            | CopyNote::Damaged { .. }
            | CopyNote::Waits { .. } => {}
        }
    }
    // The primary of an epoch must begin with all records acknowledged in earlier epochs.
    for (shard, epoch, number) in epoch_starts {
        let later = acknowledged.range((shard, number + 1)..=(shard, u64::MAX));
        if let Some(((_, missing), _)) = later
            .into_iter()
            .find(|(_, (_, acknowledged_in))| *acknowledged_in < epoch)
        {
            violations.push(Violation::Gone {
                shard,
                number: *missing,
                epoch,
            });
        }
    }
    let mut callback_counts: BTreeMap<&str, usize> = BTreeMap::new();
    portal
        .iter()
        .for_each(|(call, _)| *callback_counts.entry(call).or_default() += 1);
    let confirmed: BTreeSet<&str> = portal
        .iter()
        .filter(|(_, c)| *c)
        .map(|(call, _)| call.as_str())
        .collect();
    for (call, (class, status)) in told {
        if class == NON_IDEMPOTENT_CLASS
            && callback_counts.get(call.as_str()).is_some_and(|n| *n > 1)
        {
            violations.push(Violation::CallbackTwice {
                call: call.clone(),
                times: callback_counts[call.as_str()],
            });
        }
        if *status != 202 {
            counts.refused += 1;
            continue;
        }
        counts.calls += 1;
        match outcomes.get(call) {
            None => violations.push(Violation::NoEnd { call: call.clone() }),
            Some(o) if o == "unknown" => counts.unknown += 1,
            Some(_) => {}
        }
        if class == READ_CLASS && outcomes.contains_key(call) && !confirmed.contains(call.as_str())
        {
            violations.push(Violation::NoCallback { call: call.clone() });
        }
    }
    for ((id, class), n) in runs
        .iter()
        .filter(|((_, class), n)| class == NON_IDEMPOTENT_CLASS && **n > 1)
    {
        violations.push(Violation::RanTwice {
            call: format!("{class} {id}"),
            times: *n,
        });
    }
    (counts, violations)
}

#[cfg(test)]
mod tests;
