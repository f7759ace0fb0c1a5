//! The file that switches gossip on, and the keys that it names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::keys::Keys;
use crate::config::ConfigError;

/// What an operator writes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The instance's name in the group; the gateway's own if absent.
    pub name: Option<String>,
    /// Members to begin with.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where members are kept for the next start.
    pub state: Option<PathBuf>,
    /// Bytes a second that leave at most.
    #[serde(default = "default_bytes")]
    pub bytes_per_s: u32,
    /// Datagrams a second that leave at most.
    #[serde(default = "default_datagrams")]
    pub datagrams_per_s: u32,
    /// Keys that all share, a line each, the one in use first.
    pub shared_keys: Option<PathBuf>,
    /// This instance's own private key.
    pub own_key: Option<PathBuf>,
    /// The public keys accepted for each name: TOML, `name = ["KEY", ...]`.
    pub accepted: Option<PathBuf>,
    /// Where it came from.
    #[serde(skip)]
    pub file: PathBuf,
}

fn default_bytes() -> u32 {
    16_384
}

fn default_datagrams() -> u32 {
    40
}

impl Gossip {
    /// Reads a file; a relative path in it is taken from the file's folder.
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

    /// Reads the keys that it names, for this instance's name.
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

/// Reads keys: those that all share, or one's own and the public ones accepted for each name.
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
            let keys = Keys::each(name, read(own)?.trim(), &all);
            keys.map_err(|e| ConfigError::Parse(own.clone(), e.to_string()))
        }
        _ => Err(ConfigError::Value(
            what,
            "shared_keys, or own_key and accepted".into(),
        )),
    }
}
