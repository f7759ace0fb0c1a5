//! The operator's file that switches consensus on.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::config::ConfigError;
use crate::lease::table::MAX_LEASES;
use crate::membership::config::read_keys;
use crate::membership::is_name;
use crate::membership::keys::Keys;

/// The maximum size of a lease's name.
const MAX_LEASE_NAME_BYTES: usize = 64;
/// The maximum clock drift that can be configured.
const MAX_DRIFT_PPM: u32 = 100_000;

/// The content of the file; its keys are part of the operator's interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The address on which other gateways connect.
    pub listen: SocketAddr,
    /// This gateway's name; the gateway's configured name if absent.
    pub name: Option<String>,
    /// The disk of its replica, made by `molelug council found` or `seat`; without one it never votes.
    #[serde(rename = "seat")]
    pub replica_disk: Option<PathBuf>,
    /// The gateways that vote, or may come to, and their addresses.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The names of the leases.
    #[serde(default, rename = "duties")]
    pub leases: BTreeSet<String>,
    /// How long a holder may act after its request, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// The maximum drift between two clocks, in parts per million.
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u32,
    /// A voter's tick, in milliseconds: heartbeats come every 2 ticks, elections after 10 to 20.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// The file in which this process records its decisions, for a checker; off if absent.
    pub history: Option<PathBuf>,
    /// The file of keys that all gateways share, a line each, the one in use first.
    pub shared_keys: Option<PathBuf>,
    /// The file of this gateway's own private key.
    pub own_key: Option<PathBuf>,
    /// The file of the public keys accepted for each name: TOML, `name = ["KEY", ...]`.
    pub accepted: Option<PathBuf>,
    /// The path of this file.
    #[serde(skip)]
    pub path: PathBuf,
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_drift_ppm() -> u32 {
    1_000
}

fn default_tick_ms() -> u64 {
    50
}

fn invalid<T>(setting: &'static str, value: impl Display) -> Result<T, ConfigError> {
    Err(ConfigError::Value(setting, value.to_string()))
}

impl File {
    /// Reads the file; a relative path in it is taken from the file's folder.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if the file cannot be read or a value is not valid.
    pub fn read(path: &Path) -> Result<File, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| ConfigError::Read(path.into(), error))?;
        let mut file: File = toml::from_str(&text)
            .map_err(|error| ConfigError::Parse(path.into(), error.message().to_owned()))?;
        file.path = path.to_owned();
        file.resolve_paths(path.parent().unwrap_or(Path::new("")));
        file.check()?;
        Ok(file)
    }

    fn resolve_paths(&mut self, folder: &Path) {
        let paths = [
            &mut self.replica_disk,
            &mut self.history,
            &mut self.shared_keys,
            &mut self.own_key,
            &mut self.accepted,
        ];
        for path in paths.into_iter().flatten() {
            *path = folder.join(&*path);
        }
    }

    fn check(&self) -> Result<(), ConfigError> {
        let mut names = self.voters.keys().chain(&self.name);
        if let Some(name) = names.find(|name| !is_name(name)) {
            return invalid("council.voters", name);
        }
        if self.voters.is_empty() {
            return invalid("council.voters", "nobody");
        }
        let is_valid_lease = |name: &String| (1..=MAX_LEASE_NAME_BYTES).contains(&name.len());
        if self.leases.len() > MAX_LEASES || !self.leases.iter().all(is_valid_lease) {
            return invalid(
                "council.duties",
                "too many, or a name that is empty or longer than 64 bytes",
            );
        }
        // A lease is renewed three times while it runs. It may be shorter than an election: that costs availability only.
        if !(5..=1_000).contains(&self.tick_ms)
            || !(100..=600_000).contains(&self.lease_ms)
            || self.drift_ppm > MAX_DRIFT_PPM
        {
            return invalid(
                "council",
                "tick_ms from 5 to 1000, lease_ms from 100 to 600000, drift_ppm up to 100000",
            );
        }
        Ok(())
    }

    /// Reads the keys that the file names, for a gateway's name.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if a key cannot be read.
    pub fn keys(&self, name: &str) -> Result<Keys, ConfigError> {
        read_keys(
            "council",
            name,
            &self.shared_keys,
            &self.own_key,
            &self.accepted,
        )
    }
}
