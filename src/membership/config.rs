//! The gossip configuration file and the key files that it refers to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::keys::Keys;
use crate::config::ConfigError;

/// Contents of the gossip configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// Address that receives datagrams.
    pub listen: SocketAddr,
    /// Address announced to other members, if different from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The instance's name in the group; defaults to the gateway's name.
    pub name: Option<String>,
    /// Addresses to contact at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File that stores the known members for the next start.
    pub state: Option<PathBuf>,
    /// Maximum outgoing bytes per second.
    #[serde(default = "default_bytes_per_s")]
    pub bytes_per_s: u32,
    /// Maximum outgoing datagrams per second.
    #[serde(default = "default_datagrams_per_s")]
    pub datagrams_per_s: u32,
    /// File with the keys that all members share, one per line; the first one creates seals.
    pub shared_keys: Option<PathBuf>,
    /// File with this instance's private key.
    pub own_key: Option<PathBuf>,
    /// File with the public keys accepted for each name, in TOML: `name = ["KEY", ...]`.
    pub accepted: Option<PathBuf>,
    /// Path of this configuration file.
    #[serde(skip)]
    pub file: PathBuf,
}

fn default_bytes_per_s() -> u32 {
    16_384
}

fn default_datagrams_per_s() -> u32 {
    40
}

impl Gossip {
    /// Reads the configuration file. Relative paths in it are resolved against its directory.
    pub fn read(path: &Path) -> Result<Gossip, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let parsed = toml::from_str(&text);
        let mut g: Gossip =
            parsed.map_err(|e| ConfigError::Parse(path.into(), e.message().to_owned()))?;
        g.file = path.to_owned();
        let folder = path.parent().unwrap_or(Path::new(""));
        for file in [
            &mut g.state,
            &mut g.shared_keys,
            &mut g.own_key,
            &mut g.accepted,
        ]
        .into_iter()
        .flatten()
        {
            *file = folder.join(&*file);
        }
        if g.bytes_per_s < 2400 || g.datagrams_per_s < 4 {
            return Err(ConfigError::Value(
                "gossip.bytes_per_s",
                "under 2400 bytes or 4 datagrams".into(),
            ));
        }
        Ok(g)
    }

    /// Reads the configured key files for the instance called `name`.
    pub fn keys(&self, name: &str) -> Result<Keys, ConfigError> {
        read_keys(
            "gossip",
            name,
            &self.shared_keys,
            &self.own_key,
            &self.accepted,
        )
    }
}

/// Reads either the shared keys or this instance's private key and the public keys accepted for
/// each name.
pub fn read_keys(
    what: &'static str,
    name: &str,
    shared: &Option<PathBuf>,
    own: &Option<PathBuf>,
    accepted: &Option<PathBuf>,
) -> Result<Keys, ConfigError> {
    let read =
        |path: &Path| std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e));
    match (shared, own, accepted) {
        (Some(path), None, None) => {
            let lines: Vec<String> = read(path)?
                .lines()
                .map(str::trim)
                .filter(|l| !l.is_empty())
                .map(str::to_owned)
                .collect();
            Keys::shared(&lines).map_err(|e| ConfigError::Parse(path.clone(), e.to_string()))
        }
        (None, Some(own), Some(accepted)) => {
            let all: BTreeMap<String, Vec<String>> = toml::from_str(&read(accepted)?)
                .map_err(|e| ConfigError::Parse(accepted.clone(), e.message().to_owned()))?;
            let keys = Keys::per_instance(name, read(own)?.trim(), &all);
            keys.map_err(|e| ConfigError::Parse(own.clone(), e.to_string()))
        }
        _ => Err(ConfigError::Value(
            what,
            "shared_keys, or own_key and accepted".into(),
        )),
    }
}
