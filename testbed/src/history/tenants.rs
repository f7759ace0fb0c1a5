//! Checks changes of tenants in the histories that gateways record. Shares no code with the gateway
//! and uses no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, Result};
use std::path::Path;

use serde::Deserialize;

/// An event of a tenant's configuration at a gateway.
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

/// An event with the gateway's name and its process number. The lines of a process are in order.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[allow(missing_docs)]
pub struct TenantLine {
    pub name: String,
    pub process: u64,
    pub note: TenantNote,
}

/// Reads a folder's histories of tenants. Skips an incomplete last line, which a kill can leave.
pub fn read(folder: &Path) -> Result<Vec<TenantLine>> {
    let mut all = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if !path.to_string_lossy().ends_with(".tenants.jsonl") {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let complete_bytes = text.rfind('\n').map_or(0, |end| end + 1);
        for line in text[..complete_bytes].lines() {
            all.push(serde_json::from_str(line).map_err(|e| Error::other(format!("{e}: {line}")))?);
        }
    }
    Ok(all)
}

/// A violation found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Violation {
    /// One version of a tenant was adopted with two contents.
    TwoContents { tenant: String, version: u64 },
    /// A process returned to an older version.
    Back {
        tenant: String,
        process: u64,
        from: u64,
        to: u64,
    },
    /// Two callers got a confirmation for the same version.
    TwoTold { tenant: String, version: u64 },
    /// A running gateway does not know a confirmed change.
    Gone {
        tenant: String,
        version: u64,
        at: String,
    },
}

/// Checks the lines and returns the number of confirmed changes and all violations. `running` are
/// the gateways that run at the end, after a wait for them to learn all changes.
pub fn check(lines: &[TenantLine], running: &BTreeSet<String>) -> (usize, Vec<Violation>) {
    let mut violations = Vec::new();
    let mut contents: BTreeMap<(&str, u64), Option<u64>> = BTreeMap::new();
    let mut process_versions: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut gateway_versions: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut confirmed: BTreeSet<(&str, u64)> = BTreeSet::new();
    for l in lines {
        match &l.note {
            // A restarted gateway has to learn all tenants again.
            TenantNote::Begun => gateway_versions.retain(|(_, name), _| *name != l.name),
            TenantNote::Adopted {
                tenant,
                version,
                digest,
            } => {
                // Without a digest the tenant is deleted and the version is only a lower bound.
                if digest.is_some()
                    && *contents.entry((tenant, *version)).or_insert(*digest) != *digest
                {
                    violations.push(Violation::TwoContents {
                        tenant: tenant.clone(),
                        version: *version,
                    });
                }
                let before = process_versions
                    .insert((tenant, l.process), *version)
                    .unwrap_or(0);
                if before > *version {
                    let (tenant, process) = (tenant.clone(), l.process);
                    violations.push(Violation::Back {
                        tenant,
                        process,
                        from: before,
                        to: *version,
                    });
                }
                gateway_versions.insert((tenant, &l.name), *version);
            }
            TenantNote::Told { tenant, version } => {
                if !confirmed.insert((tenant, *version)) {
                    violations.push(Violation::TwoTold {
                        tenant: tenant.clone(),
                        version: *version,
                    });
                }
            }
        }
    }
    for (tenant, version) in &confirmed {
        for name in running {
            if gateway_versions
                .get(&(*tenant, name.as_str()))
                .is_none_or(|known| known < version)
            {
                let (tenant, at) = ((*tenant).to_owned(), name.clone());
                violations.push(Violation::Gone {
                    tenant,
                    version: *version,
                    at,
                });
            }
        }
    }
    (confirmed.len(), violations)
}

#[cfg(test)]
mod tests;
