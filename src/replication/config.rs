//! The replication file, and the settings of the replicator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::error::FileError;
use super::placement::Host;
use super::{Name, MAX_REPLICAS, MAX_SHARDS};
use crate::api::Micros;
use crate::membership::is_name;

/// The handling of a class's calls while a shard has fewer replicas than configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFewer {
    /// Calls are rejected with 503.
    #[default]
    Refuse,
    /// Calls are accepted, and the response contains the number of replicas.
    Fewer,
}

/// A gateway that may hold replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileMember {
    /// The address of its consensus listener.
    pub address: SocketAddr,
    /// The hall that the gateway is in.
    pub hall: Option<String>,
}

/// The replication file as operators write it, the same at every gateway. The names of the fields
/// are its keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicationFile {
    /// The number of replicas of a committed record.
    pub copies: usize,
    /// The number of shards; it must not change once anything is stored.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// The time without a message from a primary before another member takes over, in milliseconds.
    #[serde(default = "default_silent_ms")]
    pub silent_ms: u64,
    /// The time limit for a replica's acknowledgement before the primary removes the replica, in
    /// milliseconds.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: u64,
    /// The time limit for a request to a primary, in milliseconds.
    #[serde(default = "default_ask_ms")]
    pub ask_ms: u64,
    /// The maximum number of shards that are repaired at a time.
    #[serde(default = "default_repairs")]
    pub repairs: usize,
    /// The interval between verifications of a disk's checksums, in seconds; 0 disables them.
    #[serde(default = "default_verify_s")]
    pub verify_s: u64,
    /// The handling of calls by class; `refuse` for classes without an entry.
    #[serde(default)]
    pub when_fewer: BTreeMap<String, WhenFewer>,
    /// All gateways that may hold replicas.
    pub members: BTreeMap<String, FileMember>,
    /// The path of the file.
    #[serde(skip)]
    pub file: PathBuf,
}

fn default_shards() -> u16 {
    32
}

fn default_silent_ms() -> u64 {
    2_000
}

fn default_stall_ms() -> u64 {
    1_000
}

fn default_ask_ms() -> u64 {
    2_000
}

fn default_repairs() -> usize {
    2
}

fn default_verify_s() -> u64 {
    3_600
}

/// The settings of the replicator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The name of this gateway.
    pub name: Name,
    /// The identifier of this process.
    pub process: u64,
    /// The number of replicas of a committed record.
    pub replicas: usize,
    /// The number of shards.
    pub shards: u16,
    /// The time without a message after which a gateway counts as unreachable.
    pub failure_timeout: Micros,
    /// The time limit for a replica's acknowledgement.
    pub acknowledgement_timeout: Micros,
    /// The time limit for a request to a primary.
    pub request_timeout: Micros,
    /// The maximum number of shards that are repaired at a time.
    pub max_repairs: usize,
    /// The interval between verifications of the disk; 0 disables them.
    pub verify_interval: Micros,
    /// All gateways that may hold replicas.
    pub hosts: Vec<Host>,
    /// Guards that a test disables.
    pub disabled_guards: DisabledGuards,
}

/// Guards that a test disables to show the failures that they prevent. The comment of each field
/// describes the replicator without the guard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledGuards {
    /// A replica does not check the epoch of a message.
    pub epoch_check: bool,
    /// A record is committed before all members have it.
    pub full_acknowledgement: bool,
    /// A process continues under the epoch of the previous one.
    pub process_check: bool,
    /// A replica accepts records after a gap or of another log.
    pub chain_check: bool,
    /// A record is committed although the set has become too small for it.
    pub min_replicas_check: bool,
    /// A replica with a damaged disk still counts.
    pub integrity_check: bool,
    /// A new primary does not check whether another member has more records.
    pub ahead_check: bool,
    /// A change of a tenant is reported as done before it is agreed on.
    pub tenant_agreement: bool,
}

/// The valid range of timeouts, in milliseconds.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 50..=600_000;
/// The maximum number of shards that are repaired at a time.
const MAX_REPAIRS: usize = 64;
/// The maximum interval of verification: a year, in seconds.
const MAX_VERIFY_INTERVAL_S: u64 = 31_536_000;

/// Returns the line number of an offset in a text, counted from 1.
fn line_number(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

fn value_error<T>(key: &str, value: impl ToString, expected: &str) -> Result<T, FileError> {
    Err(FileError::Value {
        key: key.into(),
        value: value.to_string(),
        expected: expected.into(),
    })
}

impl ReplicationFile {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<ReplicationFile, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::Read {
            path: path.into(),
            error,
        })?;
        let mut file = ReplicationFile::parse(path, &text)?;
        file.file = path.to_owned();
        Ok(file)
    }

    /// Parses and checks the text of a file; `path` is for errors.
    pub fn parse(path: &Path, text: &str) -> Result<ReplicationFile, FileError> {
        let file: ReplicationFile = toml::from_str(text).map_err(|error| FileError::Parse {
            path: path.into(),
            line: error.span().map(|span| line_number(text, span.start)),
            message: error.message().to_owned(),
        })?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), FileError> {
        if !(1..=MAX_REPLICAS).contains(&self.copies) {
            return value_error("copies", self.copies, "1 to 5 replicas");
        }
        if !(1..=MAX_SHARDS).contains(&self.shards) {
            return value_error("shards", self.shards, "1 to 1024 shards");
        }
        let timeouts = [
            ("silent_ms", self.silent_ms),
            ("stall_ms", self.stall_ms),
            ("ask_ms", self.ask_ms),
        ];
        for (key, timeout_ms) in timeouts {
            if !TIMEOUT_RANGE_MS.contains(&timeout_ms) {
                return value_error(key, timeout_ms, "50 to 600000 milliseconds");
            }
        }
        if !(1..=MAX_REPAIRS).contains(&self.repairs) {
            return value_error("repairs", self.repairs, "1 to 64 shards at once");
        }
        if self.verify_s > MAX_VERIFY_INTERVAL_S {
            return value_error("verify_s", self.verify_s, "0 to 31536000 seconds");
        }
        if let Some(name) = self.members.keys().find(|name| !is_name(name)) {
            let expected = "names of gateways, as in RELAY_NAME";
            return value_error("members", name, expected);
        }
        if self.members.len() < self.copies {
            let expected = "at least as many gateways as copies";
            return value_error("members", self.members.len(), expected);
        }
        Ok(())
    }

    /// Returns the settings of the replicator.
    pub fn settings(&self, name: &str, process: u64, disabled_guards: DisabledGuards) -> Settings {
        let hosts = self.members.iter().map(|(name, member)| Host {
            name: name.as_str().into(),
            hall: member.hall.clone(),
        });
        Settings {
            name: name.into(),
            process,
            replicas: self.copies,
            shards: self.shards,
            failure_timeout: self.silent_ms * 1_000,
            acknowledgement_timeout: self.stall_ms * 1_000,
            request_timeout: self.ask_ms * 1_000,
            max_repairs: self.repairs,
            verify_interval: self.verify_s * 1_000_000,
            hosts: hosts.collect(),
            disabled_guards,
        }
    }
}
