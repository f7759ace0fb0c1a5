//! Parsing of numbered updates of the worker list from JSON.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::DiscoveryError;
use crate::api::{CellId, Micros, WorkerStatus, ZoneId};
use crate::names::Names;

/// The zone index of a worker whose zone is not in the settings.
const UNKNOWN_ZONE: usize = u8::MAX as usize;
/// The capacity of a worker without a stated weight.
const DEFAULT_CAPACITY: f64 = 1.0;

/// The description of one worker in an update.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its status.
    pub status: WorkerStatus,
    /// Its capacity relative to other workers.
    pub capacity: f64,
    /// The start time of its process, if stated.
    pub started_at: Option<Micros>,
}

/// A numbered update of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// The revision number.
    pub revision: u64,
    /// Whether the update is the complete list.
    pub snapshot: bool,
    /// The workers in the update.
    pub endpoints: Vec<Endpoint>,
}

impl WatchEvent {
    /// Parses an update from JSON text.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError`] if a required element is missing or invalid.
    pub fn parse(text: &str, names: &Names) -> Result<WatchEvent, DiscoveryError> {
        // A well-formed event, however long, is read without a tree of values. Anything else takes
        // the path that tolerates what is optional and names what is wrong.
        if let Ok(event) = serde_json::from_str::<WireEvent<'_>>(text) {
            return event.into_update(names);
        }
        let value: Value =
            serde_json::from_str(text).map_err(|error| DiscoveryError::Json(error.to_string()))?;
        WatchEvent::from_value(&value, names)
    }

    /// Parses an update from a JSON value.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError`] if a required element is missing or invalid.
    pub fn from_value(value: &Value, names: &Names) -> Result<WatchEvent, DiscoveryError> {
        let revision = value
            .get("rev")
            .and_then(Value::as_u64)
            .ok_or(DiscoveryError::Field("rev"))?;
        let pool = value.get("pool").ok_or(DiscoveryError::Field("pool"))?;
        let snapshot = pool
            .get("snapshot")
            .and_then(Value::as_bool)
            .ok_or(DiscoveryError::Field("snapshot"))?;
        let list = pool
            .get("endpoints")
            .and_then(Value::as_array)
            .ok_or(DiscoveryError::Field("endpoints"))?;
        let endpoints = list
            .iter()
            .map(|endpoint| Endpoint::from_value(endpoint, names))
            .collect::<Result<_, _>>()?;
        Ok(WatchEvent {
            revision,
            snapshot,
            endpoints,
        })
    }
}

/// An event as it is sent.
#[derive(Deserialize)]
struct WireEvent<'a> {
    rev: u64,
    #[serde(borrow)]
    pool: WirePool<'a>,
}

#[derive(Deserialize)]
struct WirePool<'a> {
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<WireEndpoint<'a>>,
}

/// An entry as it is sent; `None` for what is missing.
#[derive(Default, Deserialize)]
#[serde(default)]
struct WireEndpoint<'a> {
    #[serde(borrow)]
    name: Option<Cow<'a, str>>,
    #[serde(borrow)]
    address: Option<Cow<'a, str>>,
    #[serde(borrow)]
    status: Option<Cow<'a, str>>,
    #[serde(borrow)]
    zone: Option<Cow<'a, str>>,
    group: Option<u64>,
    weight: Option<f64>,
    since_ms: Option<f64>,
}

impl WireEvent<'_> {
    fn into_update(self, names: &Names) -> Result<WatchEvent, DiscoveryError> {
        let endpoints = self.pool.endpoints.iter();
        Ok(WatchEvent {
            revision: self.rev,
            snapshot: self.pool.snapshot,
            endpoints: endpoints
                .map(|endpoint| Endpoint::from_wire(endpoint, names))
                .collect::<Result<_, _>>()?,
        })
    }
}

impl Endpoint {
    fn from_value(value: &Value, names: &Names) -> Result<Endpoint, DiscoveryError> {
        let text = |field: &'static str| {
            let text = value.get(field).and_then(Value::as_str);
            text.map(Cow::Borrowed)
        };
        let number = |field: &'static str| value.get(field).and_then(Value::as_f64);
        let wire = WireEndpoint {
            name: text("name"),
            address: text("address"),
            status: text("status"),
            zone: text("zone"),
            group: value.get("group").and_then(Value::as_u64),
            weight: number("weight"),
            since_ms: number("since_ms"),
        };
        Endpoint::from_wire(&wire, names)
    }

    fn from_wire(wire: &WireEndpoint<'_>, names: &Names) -> Result<Endpoint, DiscoveryError> {
        let name = wire
            .name
            .as_deref()
            .filter(|name| !name.is_empty())
            .ok_or(DiscoveryError::Field("name"))?;
        let address = wire
            .address
            .as_deref()
            .ok_or(DiscoveryError::Field("address"))?;
        let status = wire
            .status
            .as_deref()
            .ok_or(DiscoveryError::Field("status"))?;
        let status = parse_status(name, status)?;
        let zone = wire
            .zone
            .as_deref()
            .and_then(|zone| Names::index_of(&names.zones, zone))
            .unwrap_or(UNKNOWN_ZONE);
        Ok(Endpoint {
            name: name.to_owned(),
            address: parse_address(name, address)?,
            zone: ZoneId(zone as u8),
            cell: CellId(wire.group.unwrap_or(0) as u16),
            status,
            capacity: wire.weight.unwrap_or(DEFAULT_CAPACITY),
            started_at: parse_started_at(wire.since_ms),
        })
    }
}

fn parse_status(name: &str, status: &str) -> Result<WorkerStatus, DiscoveryError> {
    match status {
        "SERVING" => Ok(WorkerStatus::Ready),
        "DRAINING" => Ok(WorkerStatus::Draining),
        "DELETED" => Ok(WorkerStatus::Removed),
        other => Err(DiscoveryError::Entry(format!(
            "{name} has the state '{other}'"
        ))),
    }
}

fn parse_address(name: &str, address: &str) -> Result<SocketAddr, DiscoveryError> {
    address
        .parse()
        .map_err(|_| DiscoveryError::Entry(format!("{name} has the address '{address}'")))
}

fn parse_started_at(since_ms: Option<f64>) -> Option<Micros> {
    let since_ms = since_ms?;
    (since_ms > 0.0).then_some((since_ms * 1000.0) as Micros)
}
