//! Configuration: the `RELAY_*` variables, the platform's JSON file that they name, and the
//! operator's TOML file.

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
use crate::front::webhook::home::{GroupPlace, HomeGateways};
use crate::identity::{self, Role};
use crate::names::Names;
use crate::settings;
use crate::tenancy::{Registry, Spec};

/// Name of the file of identities beside the operator's file.
const DEFAULT_REPLAY_FILE: &str = "replays";
/// Changes at service discovery count as known after this time, in microseconds, even if discovery
/// is unreachable.
const LIST_MAX_AGE: Micros = 7_000_000;

/// Why a configuration is rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// A required variable or setting is not set.
    Missing(&'static str),
    /// A file cannot be read.
    Read(PathBuf, std::io::Error),
    /// A file cannot be parsed.
    Parse(PathBuf, String),
    /// A value is invalid.
    Value(&'static str, String),
    /// The platform's settings are invalid.
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

/// The machine's limits.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, in MB.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

/// The share of the memory limit that functions without a request under way may use.
const FUNCTION_MEMORY_SHARE: usize = 16;
/// The size of a function's state in bytes, with its candidates and a known copy.
pub(crate) const BYTES_PER_FUNCTION: usize = 2048;

impl Limits {
    /// The limit on memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        const BYTES_PER_MB: f64 = 1e6;
        (self.memory_mb * BYTES_PER_MB) as usize
    }
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
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    admin_addr: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    board: Option<String>,
    #[serde(default)]
    known: KnownUpdates,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct KnownUpdates {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    notices: Vec<Value>,
}

/// A gateway's configuration.
#[derive(Debug)]
pub struct Config {
    /// The file that the configuration was read from, if any.
    pub file: Option<PathBuf>,
    /// The gateway's name.
    pub name: String,
    /// The address of the platform's front.
    pub listen: SocketAddr,
    /// The address of the operator console; `None` if it is off.
    pub admin_addr: Option<SocketAddr>,
    /// The seed for random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// The address of service discovery; `None` if there is none.
    pub discovery_address: Option<SocketAddr>,
    /// The revision of the last discovery update in the file.
    pub initial_revision: u64,
    /// The discovery updates in the file, applied at the start.
    pub initial_updates: Vec<WatchEvent>,
    /// The gateway's number among the gateways of its group, if the settings have one.
    pub number_in_group: Option<u32>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The names of classes, tenants and zones, and the classes' deadlines.
    pub names: Names,
    /// The timeout for connecting to a worker, in microseconds.
    pub connect_timeout: Micros,
    /// The time after which workers close idle connections, in microseconds.
    pub connection_idle_timeout: Micros,
    /// Maximum number of concurrent requests on a worker connection.
    pub max_streams_per_connection: usize,
    /// Maximum number of pending requests.
    pub max_pending_requests: usize,
}

impl Config {
    /// Reads the configuration that the environment names.
    pub fn from_env() -> Result<Config, ConfigError> {
        let var = |name| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = var("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        let mut config = Config::read(Path::new(&path), var("RELAY_NAME"), var("RELAY_LISTEN"))?;
        if let Some(text) = var("RELAY_ADMIN_ADDR") {
            config.admin_addr = Some(parse_address("RELAY_ADMIN_ADDR", &text)?);
        }
        Ok(config)
    }

    /// Reads a file; `name` and `listen` take precedence over its values.
    pub fn read(
        path: &Path,
        name: Option<String>,
        listen: Option<String>,
    ) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let config = Config::parse(&text, name, listen).map_err(|e| match e {
            ConfigError::Parse(_, e) => ConfigError::Parse(path.into(), e),
            e => e,
        })?;
        Ok(Config {
            file: Some(path.into()),
            ..config
        })
    }

    /// Returns the gateway's place in its group.
    pub fn group_place(&self) -> GroupPlace {
        GroupPlace {
            number: self.number_in_group,
            size: self.settings.instances,
        }
    }

    /// Reads the same file again, with the same name and listen address.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let path = self
            .file
            .as_ref()
            .ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        Config::read(path, Some(self.name.clone()), Some(self.listen.to_string()))
    }

    /// The values that a running gateway can change only by a restart.
    pub fn restart_only_values(&self) -> impl PartialEq + '_ {
        let limits = (
            self.limits.sockets,
            self.limits.memory_bytes(),
            self.connect_timeout,
            self.connection_idle_timeout,
            self.max_streams_per_connection,
            self.max_pending_requests,
        );
        (&self.settings, &self.names, limits)
    }

    /// Parses the JSON; `name` and `listen` take precedence over its values.
    pub fn parse(
        text: &str,
        name: Option<String>,
        listen: Option<String>,
    ) -> Result<Config, ConfigError> {
        let raw: ConfigFile = serde_json::from_str(text)
            .map_err(|e| ConfigError::Parse(PathBuf::from("configuration"), e.to_string()))?;
        let listen = listen
            .or(raw.listen)
            .ok_or(ConfigError::Missing("RELAY_LISTEN"))?;
        let board = raw.board.filter(|b| !b.is_empty());
        let admin = raw.admin_addr.filter(|a| !a.is_empty());
        let values = settings::nested(&raw.settings);
        settings::check(&values)?;
        let (mut module, _) = settings::from_map(&values);
        let number = |key: &str| {
            values
                .get(key)
                .and_then(|v| v.parse::<f64>().ok())
                .filter(|v| *v > 0.0)
        };
        // The simulator's clients get no Retry-After without `caps.retryAfter`; on sockets every
        // rejection has one.
        let advice = number("caps.maxRetryAfterMs").unwrap_or(0.0);
        module.max_retry_after = module.max_retry_after.max((advice * 1e3) as Micros);
        // On sockets discovery pushes updates, and its heartbeats show the age of the list.
        module.discovery_heartbeats = board.is_some();
        module.max_functions =
            Some(raw.limits.memory_bytes() / FUNCTION_MEMORY_SHARE / BYTES_PER_FUNCTION);
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
            listen: parse_address("RELAY_LISTEN", &listen)?,
            admin_addr: admin.map(|a| parse_address("admin_addr", &a)).transpose()?,
            seed: parse_seed(&raw.seed)?,
            limits: raw.limits,
            discovery_address: board.map(|b| parse_address("board", &b)).transpose()?,
            initial_revision: raw.known.rev,
            initial_updates: known.collect::<Result<_, _>>()?,
            names,
            number_in_group: values.get("me").and_then(|number| number.parse().ok()),
            connect_timeout: number("caps.connectTimeoutMs")
                .map_or(250_000, |ms| (ms * 1e3) as Micros),
            connection_idle_timeout: number("caps.connIdleMs")
                .map_or(30_000_000, |ms| (ms * 1e3) as Micros),
            max_streams_per_connection: number("caps.streamsPerConn").map_or(100, |n| n as usize),
            max_pending_requests: number("caps.mostHeld").map_or(20_000, |n| n as usize),
            settings: module,
        })
    }
}

fn parse_address(setting: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::Value(setting, text.to_owned()))
}

/// Parses a seed: a string of hex digits, or a number.
fn parse_seed(value: &Value) -> Result<u64, ConfigError> {
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

/// An operator's file: optional subsystems and tenants.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The settings of signed webhooks; `None` if webhooks are off.
    pub webhooks: Option<Webhooks>,
    /// The settings of the administration API; `None` if the API is off.
    pub admin: Option<Admin>,
    /// The file that keeps tenants across restarts. Once the file exists, it replaces `tenants`.
    pub state: Option<PathBuf>,
    /// The tenants at the first start.
    #[serde(default)]
    pub tenants: Vec<Spec>,
}

/// The webhooks' settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Webhooks {
    /// The address for incoming calls.
    pub listen: SocketAddr,
    /// The largest accepted deviation of a time stamp, in seconds.
    #[serde(default = "default_tolerance")]
    pub tolerance_s: u64,
    /// How long callbacks to a removed tenant or endpoint are tried, in seconds.
    #[serde(default = "default_removed_grace")]
    pub removed_grace_s: u64,
    /// Maximum number of identities remembered against replays.
    #[serde(default = "default_replays")]
    pub replay_entries: usize,
    /// The file that keeps these identities across restarts.
    pub replay_file: Option<PathBuf>,
    /// The file of identities where neither `replay_file` nor `store` names one: beside the operator's
    /// file, so that gateways whose operator's files are in one folder share it.
    #[serde(skip)]
    pub default_replay_file: Option<PathBuf>,
    /// The number of the gateway that takes signed calls where the gateways of a group do not share
    /// the identities of taken calls.
    #[serde(default)]
    pub home: u32,
    /// The same for single tenants, by name.
    #[serde(default)]
    pub homes: BTreeMap<String, u32>,
    /// The store's file for calls and callbacks; without it they last as long as the process.
    pub store: Option<PathBuf>,
    /// Maximum size of calls and callbacks in the store, in MiB.
    #[serde(default = "default_store_mb")]
    pub store_mb: u64,
    /// Retention time of messages, in days; a message that is still pending then expires.
    #[serde(default = "default_retention_days")]
    pub retention_days: u64,
    /// Size in MiB above which finished messages are removed before their retention time.
    #[serde(default = "default_retention_mb")]
    pub retention_mb: u64,
    /// Pauses between the attempts at a callback, in seconds. The default is the schedule of the
    /// Standard Webhooks specification with a store, and short pauses within `callback_window_ms`
    /// without.
    pub schedule_s: Option<Vec<f64>>,
    /// Time in seconds after which an endpoint whose attempts have all failed is disabled.
    #[serde(default = "default_disable")]
    pub disable_after_s: u64,
    /// Networks in which portals are allowed, besides public networks and loopback.
    #[serde(default)]
    pub allow_networks: Vec<IpNet>,
    /// Networks in which portals are not allowed.
    #[serde(default)]
    pub deny_networks: Vec<IpNet>,
    /// Maximum number of concurrent attempts at callbacks.
    #[serde(default = "default_portals")]
    pub portals: u32,
    /// Maximum number of pending calls; without a store, of pending calls and callbacks.
    #[serde(default = "default_pending")]
    pub pending: usize,
    /// The window for the attempts at a callback without a store, in milliseconds.
    #[serde(default = "default_window")]
    pub callback_window_ms: u64,
    /// The timeout of one attempt at a callback, in milliseconds.
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

fn default_removed_grace() -> u64 {
    3600
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
    /// The address of the API; must be loopback.
    pub listen: SocketAddr,
    /// The SPIFFE trust domain of the API's callers.
    pub trust_domain: String,
    /// The audience that callers' tokens must name.
    pub audience: String,
    /// The trust domain's bundle, a JWKS file.
    pub bundle: PathBuf,
    /// The interval at which the bundle is read again, in seconds.
    #[serde(default = "default_refresh")]
    pub refresh_s: u64,
    /// The callers with a role; any other caller is rejected.
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
    /// The caller's SPIFFE ID.
    pub spiffe_id: String,
    /// The caller's role.
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

impl Webhooks {
    /// Returns the homes of tenants.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Value`] if the group has no gateway of such a number.
    pub fn home_gateways(&self, group: GroupPlace) -> Result<HomeGateways, ConfigError> {
        let homes = HomeGateways {
            default: self.home,
            by_tenant: self.homes.clone(),
        };
        if homes.max() >= group.size {
            let value = format!("{} in a group of {}", homes.max(), group.size);
            return Err(ConfigError::Value("webhooks.home", value));
        }
        Ok(homes)
    }
}

impl Operator {
    /// Reads an operator's file; relative paths in it are resolved against the file's directory.
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
                w.default_replay_file = Some(folder.join(DEFAULT_REPLAY_FILE));
            }
            if let Some(admin) = &mut operator.admin {
                admin.bundle = folder.join(&admin.bundle);
            }
        }
        Ok(operator)
    }

    /// Parses the text and performs all checks that need no I/O.
    pub fn parse(text: &str) -> Result<Operator, ConfigError> {
        // The file may contain secrets, so the error omits the line.
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

    /// Builds the registry of tenants, in which the platform's tenants keep their ids.
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
