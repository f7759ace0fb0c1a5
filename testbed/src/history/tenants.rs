//! Changes of tenants, judged by what gateways recorded. Nothing here is the program's own; no clock is looked at.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, Result};
use std::path::Path;

use serde::Deserialize;

/// What a gateway noted of tenants.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "tenants", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum TenantNote {
    Begun,
    Adopted {
        tenant: String,
        version: u64,
        digest: Option<u64>,
    },
    Told {
        tenant: String,
        version: u64,
    },
}

/// A note, with the name and the number of its process; in order for each process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[allow(missing_docs)]
pub struct TenantLine {
    pub name: String,
    pub process: u64,
    pub note: TenantNote,
}

/// Reads a folder's histories of tenants. A last line that a kill cut off is passed over.
pub fn read(folder: &Path) -> Result<Vec<TenantLine>> {
    let mut all = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if !path.to_string_lossy().ends_with(".tenants.jsonl") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let whole = text.rfind('\n').map_or(0, |end| end + 1);
        for line in text[..whole].lines() {
            all.push(serde_json::from_str(line).map_err(|e| Error::other(format!("{e}: {line}")))?);
        }
    }
    Ok(all)
}

/// What did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Wrong {
    /// One version of a tenant was taken over with two contents.
    TwoContents { tenant: String, version: u64 },
    /// A process went back to an older version.
    Back {
        tenant: String,
        process: u64,
        from: u64,
        to: u64,
    },
    /// Two were told that the same change is theirs.
    TwoTold { tenant: String, version: u64 },
    /// A change that somebody was told is done is not known to one that runs.
    Gone {
        tenant: String,
        version: u64,
        at: String,
    },
}

/// Judges: `running` are the gateways that ran at the end, which were awaited to know all.
pub fn check(lines: &[TenantLine], running: &BTreeSet<String>) -> (usize, Vec<Wrong>) {
    let mut wrong = Vec::new();
    let mut contents: BTreeMap<(&str, u64), Option<u64>> = BTreeMap::new();
    let mut at: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut last: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut told: BTreeSet<(&str, u64)> = BTreeSet::new();
    for l in lines {
        match &l.note {
            // What it knew before it has to learn anew.
            TenantNote::Begun => last.retain(|(_, name), _| *name != l.name),
            TenantNote::Adopted {
                tenant,
                version,
                digest,
            } => {
                // Of a tenant that is forgotten the version is only a bound.
                if digest.is_some()
                    && *contents.entry((tenant, *version)).or_insert(*digest) != *digest
                {
                    wrong.push(Wrong::TwoContents {
                        tenant: tenant.clone(),
                        version: *version,
                    });
                }
                let before = at.insert((tenant, l.process), *version).unwrap_or(0);
                if before > *version {
                    let (tenant, process) = (tenant.clone(), l.process);
                    wrong.push(Wrong::Back {
                        tenant,
                        process,
                        from: before,
                        to: *version,
                    });
                }
                last.insert((tenant, &l.name), *version);
            }
            TenantNote::Told { tenant, version } => {
                if !told.insert((tenant, *version)) {
                    wrong.push(Wrong::TwoTold {
                        tenant: tenant.clone(),
                        version: *version,
                    });
                }
            }
        }
    }
    for (tenant, version) in &told {
        for name in running {
            if last
                .get(&(*tenant, name.as_str()))
                .is_none_or(|known| known < version)
            {
                let (tenant, at) = ((*tenant).to_owned(), name.clone());
                wrong.push(Wrong::Gone {
                    tenant,
                    version: *version,
                    at,
                });
            }
        }
    }
    (told.len(), wrong)
}

#[cfg(test)]
mod tests;
