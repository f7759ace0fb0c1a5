//! The file that switches copies on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::error::FileError;
use super::placement::Host;
use super::{MAX_REPLICAS, MAX_SHARDS};
use crate::api::Micros;
use crate::membership::is_name;

/// What is done with a class's calls while fewer machines hold a shard than are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFewer {
    /// They are refused with 503: nothing is promised.
    #[default]
    Refuse,
    /// They are taken, and it is told that they stand on fewer.
    Fewer,
}

/// One gateway that may hold copies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileMember {
    /// Where its council's frames come in.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Option<String>,
}

/// What an operator writes; the same at every gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicationFile {
    /// Machines whose disks a promise stands on.
    pub copies: usize,
    /// Parts that identities are spread over; never changed once anything is held.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// For how long a primary may be silent before a copy takes over.
    #[serde(default = "default_silent")]
    pub silent_ms: u64,
    /// For how long a copy may owe its word before the primary leaves it out.
    #[serde(default = "default_stall")]
    pub stall_ms: u64,
    /// For how long a question to a primary may take.
    #[serde(default = "default_ask")]
    pub ask_ms: u64,
    /// Shards that are copied anew at once.
    #[serde(default = "default_repairs")]
    pub repairs: usize,
    /// How often a disk looks at whether it still holds what was written; 0 for never.
    #[serde(default = "default_verify")]
    pub verify_s: u64,
    /// By class, where it is not `refuse`.
    #[serde(default)]
    pub when_fewer: BTreeMap<String, WhenFewer>,
    /// All that may hold copies.
    pub members: BTreeMap<String, FileMember>,
    /// Where it came from.
    #[serde(skip)]
    pub file: PathBuf,
}

fn default_shards() -> u16 {
    32
}

fn default_silent() -> u64 {
    2_000
}

fn default_stall() -> u64 {
    1_000
}

fn default_ask() -> u64 {
    2_000
}

fn default_repairs() -> usize {
    2
}

fn default_verify() -> u64 {
    3_600
}

/// What the machine goes by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This gateway's name.
    pub name: super::Name,
    /// This process, unlike any other.
    pub process: u64,
    /// Machines whose disks a promise stands on.
    pub copies: usize,
    /// Parts that identities are spread over.
    pub shards: u16,
    /// For how long a primary may be silent.
    pub failure_timeout: Micros,
    /// For how long a copy may owe its word.
    pub acknowledgement_timeout: Micros,
    /// For how long a question may take.
    pub request_timeout: Micros,
    /// Shards that are copied anew at once.
    pub max_repairs: usize,
    /// How often the disk here is looked at; 0 for never.
    pub verify_interval: Micros,
    /// All that may hold copies.
    pub hosts: Vec<Host>,
    /// Guards taken out, for tests.
    pub disabled_guards: DisabledGuards,
}

/// Guards that a test takes out, to see what they hold off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledGuards {
    /// A copy does not look at the epoch of what it is sent.
    pub epochs: bool,
    /// A record counts as promised before the whole set has it.
    pub all: bool,
    /// A process goes on under the epoch of the one before it.
    pub process: bool,
    /// Records behind a gap or of another history are taken.
    pub chain: bool,
    /// A record is promised although the set has become smaller than it asks for.
    pub want: bool,
    /// A copy whose disk is damaged goes on counting.
    pub sound: bool,
    /// Whoever takes over does not look at whether another of the set has more.
    pub ahead: bool,
    /// A change of a tenant is told done before it is agreed on.
    pub agreed: bool,
}

fn bad<T>(key: &str, value: impl ToString, expected: &str) -> Result<T, FileError> {
    Err(FileError::Value {
        key: key.into(),
        value: value.to_string(),
        expected: expected.into(),
    })
}

impl ReplicationFile {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<ReplicationFile, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::Read {
            path: path.into(),
            error,
        })?;
        let mut f = ReplicationFile::parse(path, &text)?;
        f.file = path.to_owned();
        Ok(f)
    }

    /// Reads a file's text.
    pub fn parse(path: &Path, text: &str) -> Result<ReplicationFile, FileError> {
        let parsed: Result<ReplicationFile, toml::de::Error> = toml::from_str(text);
        let f = parsed.map_err(|e| FileError::Parse {
            path: path.into(),
            line: e
                .span()
                .map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1),
            what: e.message().to_owned(),
        })?;
        if !(1..=MAX_REPLICAS).contains(&f.copies) {
            return bad("copies", f.copies, "1 to 5 machines");
        }
        if !(1..=MAX_SHARDS).contains(&f.shards) {
            return bad("shards", f.shards, "1 to 1024 parts");
        }
        let spans = [
            ("silent_ms", f.silent_ms),
            ("stall_ms", f.stall_ms),
            ("ask_ms", f.ask_ms),
        ];
        if let Some((key, ms)) = spans
            .into_iter()
            .find(|(_, ms)| !(50..=600_000).contains(ms))
        {
            return bad(key, ms, "50 to 600000 milliseconds");
        }
        if !(1..=64).contains(&f.repairs) {
            return bad("repairs", f.repairs, "1 to 64 shards at once");
        }
        if f.verify_s > 31_536_000 {
            return bad("verify_s", f.verify_s, "0 to 31536000 seconds");
        }
        if let Some(name) = f.members.keys().find(|n| !is_name(n)) {
            return bad("members", name, "names of gateways, as RELAY_NAME has them");
        }
        if f.members.len() < f.copies {
            return bad(
                "members",
                f.members.len(),
                "at least as many gateways as copies",
            );
        }
        Ok(f)
    }

    /// What the machine goes by.
    pub fn settings(&self, name: &str, process: u64, without: DisabledGuards) -> Settings {
        let host = |(n, m): (&String, &FileMember)| Host {
            name: n.as_str().into(),
            hall: m.hall.clone(),
        };
        Settings {
            name: name.into(),
            process,
            copies: self.copies,
            shards: self.shards,
            failure_timeout: self.silent_ms * 1_000,
            acknowledgement_timeout: self.stall_ms * 1_000,
            request_timeout: self.ask_ms * 1_000,
            max_repairs: self.repairs,
            verify_interval: self.verify_s * 1_000_000,
            hosts: self.members.iter().map(host).collect(),
            disabled_guards: without,
        }
    }
}
