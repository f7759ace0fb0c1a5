//! The configuration file that enables consensus.

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

/// The maximum length of a lease name.
const MAX_LEASE_NAME_BYTES: usize = 64;
/// The maximum configurable clock drift.
const MAX_DRIFT_PPM: u32 = 100_000;

/// The content of the file. Its keys are part of the operator interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConsensusConfig {
    /// The address on which this gateway accepts connections from other gateways.
    pub listen: SocketAddr,
    /// This gateway's name; defaults to the name in the gateway's own configuration.
    pub name: Option<String>,
    /// The disk of this gateway's replica, created by `molelug council found` or `molelug council seat`. Without it, the
    /// gateway never votes.
    #[serde(rename = "seat")]
    pub replica_disk: Option<PathBuf>,
    /// The addresses of the voters and of the gateways that may become voters, by name.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The names of the leases.
    #[serde(default, rename = "duties")]
    pub leases: BTreeSet<String>,
    /// The duration of a lease from the holder's request, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// The assumed maximum drift between two clocks, in parts per million.
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u32,
    /// The Raft tick, in milliseconds. A leader sends heartbeats every 2 ticks; a voter that receives none starts an
    /// election after 10 to 20 ticks.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// The file in which this process records its decisions for an independent checker; disabled if absent.
    pub history: Option<PathBuf>,
    /// The file with the keys shared by all gateways, one per line, the active key first.
    pub shared_keys: Option<PathBuf>,
    /// The file with this gateway's private key.
    pub own_key: Option<PathBuf>,
    /// The TOML file with the accepted public keys of each gateway: `name = ["KEY", ...]`.
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

impl ConsensusConfig {
    /// Reads and validates the file. Relative paths in it are resolved against the file's directory.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the file cannot be read or a value is invalid.
    pub fn read(path: &Path) -> Result<ConsensusConfig, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| ConfigError::Read(path.into(), error))?;
        let mut file: ConsensusConfig = toml::from_str(&text)
            .map_err(|error| ConfigError::Parse(path.into(), error.message().to_owned()))?;
        file.path = path.to_owned();
        file.resolve_paths(path.parent().unwrap_or(Path::new("")));
        file.validate()?;
        Ok(file)
    }

    fn resolve_paths(&mut self, directory: &Path) {
        let paths = [
            &mut self.replica_disk,
            &mut self.history,
            &mut self.shared_keys,
            &mut self.own_key,
            &mut self.accepted,
        ];
        for path in paths.into_iter().flatten() {
            *path = directory.join(&*path);
        }
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let mut names = self.voters.keys().chain(&self.name);
        if let Some(name) = names.find(|name| !is_name(name)) {
            return invalid("council.voters", name);
        }
        if self.voters.is_empty() {
            return invalid("council.voters", "{}");
        }
        let is_valid_lease_name = |name: &String| (1..=MAX_LEASE_NAME_BYTES).contains(&name.len());
        if self.leases.len() > MAX_LEASES || !self.leases.iter().all(is_valid_lease_name) {
            return invalid(
                "council.duties",
                "too many, or a name that is empty or longer than 64 bytes",
            );
        }
        // A holder renews its lease three times per lease duration. A lease shorter than an election is allowed: it costs
        // only availability.
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

    /// Reads the configured key files for the gateway with this name.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if a key cannot be read.
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
