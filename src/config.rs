//! What a gateway is told: RELAY_* and the JSON that they point to.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ipnet::IpNet;
use serde::Deserialize;
use serde_json::Value;

use crate::api::{Micros, Settings};
use crate::delivery::schedule::Schedule;
use crate::discovery::WatchEvent;
use crate::identity::{self, Role};
use crate::names::Names;
use crate::settings;
use crate::tenancy::{Registry, Spec};

/// What service discovery has to tell counts as told after this, whether it was in reach or not.
const LIST_MAX_AGE: Micros = 7_000_000;

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable is not set.
    Missing(&'static str),
    /// A file cannot be read.
    Read(PathBuf, std::io::Error),
    /// A file is not what it should be.
    Parse(PathBuf, String),
    /// A value cannot be used.
    Value(&'static str, String),
    /// The platform's settings cannot be used.
    Settings(settings::SettingsError),
}

impl From<settings::SettingsError> for ConfigError {
    fn from(e: settings::SettingsError) -> ConfigError {
        ConfigError::Settings(e)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Read(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            ConfigError::Parse(path, e) => write!(f, "{} cannot be used: {e}", path.display()),
            ConfigError::Value(name, value) => write!(f, "{name} = '{value}' cannot be used"),
            ConfigError::Settings(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, in MB.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_memory() -> f64 {
    192.0
}

fn default_sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: default_memory(),
            sockets: default_sockets(),
        }
    }
}

#[derive(Deserialize)]
struct Raw {
    name: Option<String>,
    listen: Option<String>,
    admin_addr: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    board: Option<String>,
    #[serde(default)]
    known: Known,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Known {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    notices: Vec<Value>,
}

/// A gateway's configuration.
#[derive(Debug)]
pub struct Config {
    /// Its file, if it came from one.
    pub file: Option<PathBuf>,
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where staff and the platform ask line by line; none if it is not to be.
    pub admin_addr: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Limits.
    pub limits: Limits,
    /// The notice board, if there is one.
    pub board: Option<SocketAddr>,
    /// The last notice known at the start.
    pub known_rev: u64,
    /// The notices known at the start.
    pub known: Vec<WatchEvent>,
    /// The module's settings.
    pub settings: Settings,
    /// The names.
    pub names: Names,
    /// A connect that has not come up by then has failed.
    pub connect_limit: Micros,
    /// Workers close connections that have been idle for so long.
    pub conn_idle: Micros,
    /// Requests that a worker connection carries at once.
    pub streams: usize,
    /// Requests held at once.
    pub most_held: usize,
}

impl Config {
    /// Reads what the environment names.
    pub fn from_env() -> Result<Config, ConfigError> {
        let var = |name| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = var("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        let mut config = Config::read(Path::new(&path), var("RELAY_NAME"), var("RELAY_LISTEN"))?;
        if let Some(text) = var("RELAY_ADMIN_ADDR") {
            config.admin_addr = Some(address("RELAY_ADMIN_ADDR", &text)?);
        }
        Ok(config)
    }

    /// Reads a file; `name` and `listen` win over what it says.
    pub fn read(
        path: &Path,
        name: Option<String>,
        listen: Option<String>,
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let read = Config::parse(&text, name, listen).map_err(|e| match e {
            ConfigError::Parse(_, e) => ConfigError::Parse(path.into(), e),
            e => e,
        })?;
        Ok(Config {
            file: Some(path.into()),
            ..read
        })
    }

    /// Reads the same file again, under the same name and for the same listener.
    pub fn again(&self) -> Result<Config, ConfigError> {
        let path = self
            .file
            .as_ref()
            .ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        Config::read(path, Some(self.name.clone()), Some(self.listen.to_string()))
    }

    /// All that a running gateway keeps until it is started anew.
    pub fn fixed(&self) -> impl PartialEq + '_ {
        let limits = (
            self.limits.sockets,
            self.connect_limit,
            self.conn_idle,
            self.streams,
            self.most_held,
        );
        (&self.settings, &self.names, limits)
    }

    /// Reads the JSON itself.
    pub fn parse(
        text: &str,
        name: Option<String>,
        listen: Option<String>,
    ) -> Result<Config, ConfigError> {
        let raw: Raw = serde_json::from_str(text)
            .map_err(|e| ConfigError::Parse(PathBuf::from("configuration"), e.to_string()))?;
        let listen = listen
            .or(raw.listen)
            .ok_or(ConfigError::Missing("RELAY_LISTEN"))?;
        let board = raw.board.filter(|b| !b.is_empty());
        let admin = raw.admin_addr.filter(|a| !a.is_empty());
        let facts = settings::nested(&raw.settings);
        settings::check(&facts)?;
        let (mut module, _) = settings::from_map(&facts);
        let number = |key: &str| {
            facts
                .get(key)
                .and_then(|v| v.parse::<f64>().ok())
                .filter(|v| *v > 0.0)
        };
        // Clients of the simulator are told nothing; on sockets every refusal says when to come back.
        let advice = number("caps.maxRetryAfterMs").unwrap_or(0.0);
        module.max_retry_after = module.max_retry_after.max((advice * 1e3) as Micros);
        // On sockets discovery pushes, and its heartbeats tell how old the list is.
        module.discovery_heartbeats = board.is_some();
        module.list_max_age = board.is_some().then_some(LIST_MAX_AGE);
        let listed = |list: &str, field: &str| -> Vec<String> {
            let named = |v: &Value| {
                v.get(field)
                    .and_then(Value::as_str)
                    .unwrap_or_default()
                    .to_owned()
            };
            raw.settings
                .get(list)
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
                .map(named)
                .collect()
        };
        let zones = raw
            .settings
            .get("dcs")
            .and_then(Value::as_array)
            .into_iter()
            .flatten();
        let names = Names {
            classes: listed("services", "name"),
            tenants: listed("orgs", "name"),
            zones: zones.filter_map(Value::as_str).map(str::to_owned).collect(),
            max_deadlines: module.classes.iter().map(|c| c.deadline).collect(),
        };
        let known = raw.known.notices.iter().map(|n| {
            WatchEvent::from_value(n, &names)
                .map_err(|e| ConfigError::Value("known.notices", e.to_string()))
        });
        Ok(Config {
            file: None,
            name: name.or(raw.name).unwrap_or_default(),
            listen: address("RELAY_LISTEN", &listen)?,
            admin_addr: admin.map(|a| address("admin_addr", &a)).transpose()?,
            seed: seed(&raw.seed)?,
            limits: raw.limits,
            board: board.map(|b| address("board", &b)).transpose()?,
            known_rev: raw.known.rev,
            known: known.collect::<Result<_, _>>()?,
            names,
            connect_limit: number("caps.connectTimeoutMs")
                .map_or(250_000, |ms| (ms * 1e3) as Micros),
            conn_idle: number("caps.connIdleMs").map_or(30_000_000, |ms| (ms * 1e3) as Micros),
            streams: number("caps.streamsPerConn").map_or(100, |n| n as usize),
            most_held: number("caps.mostHeld").map_or(20_000, |n| n as usize),
            settings: module,
        })
    }
}

fn address(what: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::Value(what, text.to_owned()))
}

/// A seed comes as 16 hex digits; a number will do too.
fn seed(value: &Value) -> Result<u64, ConfigError> {
    match value {
        Value::Null => Ok(0),
        Value::Number(n) => n
            .as_u64()
            .ok_or_else(|| ConfigError::Value("seed", n.to_string())),
        Value::String(s) => {
            u64::from_str_radix(s, 16).map_err(|_| ConfigError::Value("seed", s.clone()))
        }
        other => Err(ConfigError::Value("seed", other.to_string())),
    }
}

/// An operator's file: what is on besides the platform's front.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Signed webhooks.
    pub webhooks: Option<Webhooks>,
    /// The administration API.
    pub admin: Option<Admin>,
    /// Where tenants are kept over restarts. Once it is there, it and not this file tells the tenants.
    pub state: Option<PathBuf>,
    /// The tenants at the first start.
    #[serde(default)]
    pub tenants: Vec<Spec>,
}

/// The webhooks' settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Webhooks {
    /// Where calls come in.
    pub listen: SocketAddr,
    /// How far a time stamp may be off.
    #[serde(default = "default_tolerance")]
    pub tolerance_s: u64,
    /// Identities remembered against replays.
    #[serde(default = "default_replays")]
    pub replay_entries: usize,
    /// Where they are kept over restarts.
    pub replay_file: Option<PathBuf>,
    /// Where calls and callbacks are kept; without it they last as long as the process.
    pub store: Option<PathBuf>,
    /// Bytes of calls and callbacks that the store takes at most, in MiB.
    #[serde(default = "default_store_mb")]
    pub store_mb: u64,
    /// How long messages are kept, in days; one that still waits then has expired.
    #[serde(default = "default_retention_days")]
    pub retention_days: u64,
    /// Above so many MiB, messages that are over go before their time.
    #[serde(default = "default_retention_mb")]
    pub retention_mb: u64,
    /// Pauses between the attempts at a callback, in seconds; where none are given, those of the Standard Webhooks
    /// specification with a store, and short ones within `callback_window_ms` without.
    pub schedule_s: Option<Vec<f64>>,
    /// An endpoint that has only failed for so many seconds is switched off.
    #[serde(default = "default_disable")]
    pub disable_after_s: u64,
    /// Networks that portals may be in, besides the public ones and loopback.
    #[serde(default)]
    pub allow_networks: Vec<IpNet>,
    /// Networks that portals may not be in.
    #[serde(default)]
    pub deny_networks: Vec<IpNet>,
    /// Attempts at callbacks that are out at once.
    #[serde(default = "default_portals")]
    pub portals: u32,
    /// Calls under way at once; without a store, calls and callbacks.
    #[serde(default = "default_pending")]
    pub pending: usize,
    /// How long a callback is tried.
    #[serde(default = "default_window")]
    pub callback_window_ms: u64,
    /// How long a portal may take over one attempt.
    #[serde(default = "default_answer")]
    pub callback_answer_ms: u64,
}

fn default_store_mb() -> u64 {
    1024
}

fn default_retention_days() -> u64 {
    14
}

fn default_retention_mb() -> u64 {
    512
}

fn default_disable() -> u64 {
    5 * 86_400
}

fn default_portals() -> u32 {
    64
}

fn default_tolerance() -> u64 {
    300
}

fn default_replays() -> usize {
    65_536
}

fn default_pending() -> usize {
    256
}

fn default_window() -> u64 {
    60_000
}

fn default_answer() -> u64 {
    5_000
}

/// The administration API's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Its own loopback listener.
    pub listen: SocketAddr,
    /// The SPIFFE trust domain of its callers.
    pub trust_domain: String,
    /// What their tokens are for.
    pub audience: String,
    /// The trust domain's bundle, a JWKS file.
    pub bundle: PathBuf,
    /// How often the bundle is read anew.
    #[serde(default = "default_refresh")]
    pub refresh_s: u64,
    /// Who may do what; whoever is not named may do nothing.
    #[serde(default)]
    pub callers: Vec<Caller>,
}

fn default_refresh() -> u64 {
    60
}

/// One caller of the administration API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its SPIFFE ID.
    pub spiffe_id: String,
    /// Its role.
    pub role: Role,
}

impl Admin {
    /// Roles by SPIFFE ID.
    pub fn roles(&self) -> BTreeMap<String, Role> {
        self.callers
            .iter()
            .map(|c| (c.spiffe_id.clone(), c.role))
            .collect()
    }
}

impl Operator {
    /// Reads an operator's file; a relative path in it is taken from the file's folder.
    pub fn read(path: &Path) -> Result<Operator, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let mut operator = Operator::parse(&text).map_err(|e| match e {
            ConfigError::Parse(_, e) => ConfigError::Parse(path.into(), e),
            e => e,
        })?;
        if let Some(folder) = path.parent() {
            operator.state = operator.state.map(|state| folder.join(state));
            if let Some(w) = &mut operator.webhooks {
                w.replay_file = w.replay_file.take().map(|file| folder.join(file));
                w.store = w.store.take().map(|file| folder.join(file));
            }
            if let Some(admin) = &mut operator.admin {
                admin.bundle = folder.join(&admin.bundle);
            }
        }
        Ok(operator)
    }

    /// Reads the text itself, and checks all that can be checked without the machine.
    pub fn parse(text: &str) -> Result<Operator, ConfigError> {
        // The error of a file that may hold secrets is told without the line it is about.
        let operator: Operator = toml::from_str(text).map_err(|e| {
            ConfigError::Parse(PathBuf::from("operator's file"), e.message().to_owned())
        })?;
        if let Some(admin) = &operator.admin {
            if !admin.listen.ip().is_loopback() {
                return Err(ConfigError::Value("admin.listen", admin.listen.to_string()));
            }
            for caller in &admin.callers {
                identity::check_id(&caller.spiffe_id, &admin.trust_domain)
                    .map_err(|e| ConfigError::Value("admin.callers", e.to_string()))?;
            }
        }
        if let Some(w) = &operator.webhooks {
            if let Some(pauses) = &w.schedule_s {
                Schedule::from_seconds(pauses)
                    .map_err(|e| ConfigError::Value("webhooks.schedule_s", e.to_string()))?;
            }
        }
        operator.registry(&[])?;
        Ok(operator)
    }

    /// The tenants as a registry in which the platform's keep their numbers.
    pub fn registry(&self, platform: &[(String, f64)]) -> Result<Registry, ConfigError> {
        let mut registry = Registry::new(platform);
        for spec in &self.tenants {
            let new = registry.put(&spec.name, spec);
            let new =
                new.map_err(|e| ConfigError::Value("tenants", format!("{}: {e}", spec.name)))?;
            if !new {
                return Err(ConfigError::Value(
                    "tenants",
                    format!("{} comes twice", spec.name),
                ));
            }
        }
        Ok(registry)
    }
}
