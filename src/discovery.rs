//! The notice board: server-sent events over HTTP, and the list of workers that they tell.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde_json::Value;

use crate::api::*;
use crate::names::Names;
use crate::net::Buffer;

/// A line or a head longer than this is taken for damage.
pub const READ_LIMIT_BYTES: usize = 4 << 20;

/// Why something from the board cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoveryError {
    /// The answer's head is not HTTP, or not a 200.
    Head(String),
    /// A chunk's length cannot be read.
    Chunk,
    /// An event is not JSON.
    Json(String),
    /// A field of an event is missing or of the wrong kind.
    Field(&'static str),
    /// A worker's state or address has no meaning.
    Entry(String),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryError::Head(what) => {
                write!(f, "the notice board's answer cannot be used: {what}")
            }
            DiscoveryError::Chunk => write!(
                f,
                "a chunk of the notice board's answer has no readable length"
            ),
            DiscoveryError::Json(e) => write!(f, "a notice is not JSON: {e}"),
            DiscoveryError::Field(name) => write!(f, "a notice lacks a usable '{name}'"),
            DiscoveryError::Entry(what) => {
                write!(f, "a notice names a worker that cannot be used: {what}")
            }
        }
    }
}

impl std::error::Error for DiscoveryError {}

/// One worker as a notice tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the module is told, but for its number.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub status: WorkerStatus,
    /// Its size against others'.
    pub capacity: f64,
    /// When it started, if late.
    pub started_at: Option<Micros>,
}

/// One numbered event.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Its number.
    pub revision: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The lines.
    pub endpoints: Vec<Endpoint>,
}

impl WatchEvent {
    /// Reads a notice's text.
    pub fn parse(text: &str, names: &Names) -> Result<WatchEvent, DiscoveryError> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| DiscoveryError::Json(e.to_string()))?;
        WatchEvent::from_value(&value, names)
    }

    /// Reads a notice from JSON.
    pub fn from_value(value: &Value, names: &Names) -> Result<WatchEvent, DiscoveryError> {
        let rev = value
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
            .map(|e| endpoint(e, names))
            .collect::<Result<_, _>>()?;
        Ok(WatchEvent {
            revision: rev,
            snapshot,
            endpoints,
        })
    }
}

fn endpoint(value: &Value, names: &Names) -> Result<Endpoint, DiscoveryError> {
    let text = |field: &'static str| value.get(field).and_then(Value::as_str);
    let name = text("name")
        .filter(|n| !n.is_empty())
        .ok_or(DiscoveryError::Field("name"))?;
    let address = text("address").ok_or(DiscoveryError::Field("address"))?;
    let status = match text("status").ok_or(DiscoveryError::Field("status"))? {
        "SERVING" => WorkerStatus::Ready,
        "DRAINING" => WorkerStatus::Draining,
        "DELETED" => WorkerStatus::Removed,
        other => {
            return Err(DiscoveryError::Entry(format!(
                "{name} has the state '{other}'"
            )))
        }
    };
    let zone = text("zone")
        .and_then(|z| Names::place(&names.zones, z))
        .unwrap_or(usize::from(u8::MAX));
    let since = value.get("since_ms").and_then(Value::as_f64).unwrap_or(0.0);
    Ok(Endpoint {
        name: name.to_owned(),
        address: address
            .parse()
            .map_err(|_| DiscoveryError::Entry(format!("{name} has the address '{address}'")))?,
        zone: ZoneId(zone as u8),
        cell: CellId(value.get("group").and_then(Value::as_u64).unwrap_or(0) as u16),
        status,
        capacity: value.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
        started_at: (since > 0.0).then_some((since * 1000.0) as Micros),
    })
}

/// The workers by name. A worker's number follows from its name alone, as all gateways walk the workers in one
/// order of their numbers.
#[derive(Debug, Default)]
pub struct EndpointList {
    numbers: BTreeMap<String, WorkerId>,
    names: BTreeMap<WorkerId, String>,
    /// Where each worker listens.
    pub addresses: BTreeMap<WorkerId, SocketAddr>,
    /// Workers that have left the list and are forgotten once nothing is open to them.
    removed: BTreeSet<WorkerId>,
    /// Workers to which nothing new may go, by the list's word or the operator's.
    draining: BTreeSet<WorkerId>,
}

impl EndpointList {
    /// A worker's number.
    pub fn id_of(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let tail = name.rsplit('-').next().unwrap_or(name);
        let hex = (tail.len() == 8)
            .then(|| u32::from_str_radix(tail, 16).ok())
            .flatten();
        let hashed = || {
            name.bytes().fold(0x811c_9dc5u32, |h, b| {
                (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
            })
        };
        let mut id = WorkerId(hex.unwrap_or_else(hashed));
        while self.names.contains_key(&id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.numbers.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        id
    }

    /// Takes a notice over; returns what the module is told, and the workers that have another address now.
    pub fn apply(&mut self, notice: &WatchEvent) -> (Vec<WorkerEntry>, Vec<WorkerId>) {
        let mut moved = Vec::new();
        let mut members = Vec::with_capacity(notice.endpoints.len());
        if notice.snapshot {
            self.removed.extend(self.addresses.keys());
        }
        for e in &notice.endpoints {
            let worker = self.id_of(&e.name);
            if self
                .addresses
                .insert(worker, e.address)
                .is_some_and(|old| old != e.address)
            {
                moved.push(worker);
            }
            if e.status == WorkerStatus::Removed {
                self.removed.insert(worker);
            } else {
                self.removed.remove(&worker);
            }
            members.push(WorkerEntry {
                worker,
                zone: e.zone,
                cell: e.cell,
                status: e.status,
                capacity: e.capacity,
                started_at: e.started_at,
            });
        }
        (members, moved)
    }

    /// Forgets the workers that have left the list, but for those still in use. Guards memory where workers
    /// keep being replaced by new ones.
    pub fn forget_removed(&mut self, in_use: impl Fn(&WorkerId) -> bool) {
        let (kept, gone) = std::mem::take(&mut self.removed)
            .into_iter()
            .partition(|w| in_use(w));
        self.removed = kept;
        let gone: BTreeSet<WorkerId> = gone;
        for worker in gone {
            self.addresses.remove(&worker);
            self.draining.remove(&worker);
            if let Some(name) = self.names.remove(&worker) {
                self.numbers.remove(&name);
            }
        }
    }

    /// Notes whether a worker drains, is gone or is taken out.
    pub fn set_draining(&mut self, worker: WorkerId, leaving: bool) {
        if leaving {
            self.draining.insert(worker);
        } else {
            self.draining.remove(&worker);
        }
    }

    /// Whether nothing new may go to a worker. Asked where its bytes would leave, as it may have been told since the
    /// module decided.
    pub fn is_draining(&self, worker: WorkerId) -> bool {
        self.draining.contains(&worker)
    }

    /// How many workers it knows.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether it knows none.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }
}

#[derive(Debug, Default, PartialEq, Eq)]
enum Framing {
    #[default]
    Head,
    /// As it comes until the connection ends.
    UntilClose,
    /// In chunks; so many bytes of this one are left.
    Chunked(usize),
    Ended,
}

/// The reader of one connection to the board: bytes in, events out.
#[derive(Debug, Default)]
pub struct WatchStream {
    framing: Framing,
    text: Vec<u8>,
    id: Option<String>,
    data: String,
}

/// One server-sent event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Its `id`, if it is a number.
    pub id: Option<u64>,
    /// Its `data`.
    pub data: String,
}

impl WatchStream {
    /// The request that begins a connection.
    pub fn request(board: SocketAddr, last: u64) -> Vec<u8> {
        format!(
            "GET /board/poll HTTP/1.1\r\nHost: {board}\r\nAccept: text/event-stream\r\n\
             Cache-Control: no-cache\r\nLast-Event-ID: {last}\r\n\r\n"
        )
        .into_bytes()
    }

    /// Whether the board has answered.
    pub fn has_answered(&self) -> bool {
        self.framing != Framing::Head
    }

    /// Whether the answer has come to its own end.
    pub fn has_ended(&self) -> bool {
        self.framing == Framing::Ended
    }

    /// Reads what has come; appends the events that are whole.
    pub fn read_events(
        &mut self,
        input: &mut Buffer,
        events: &mut Vec<ServerSentEvent>,
    ) -> Result<(), DiscoveryError> {
        loop {
            let bytes = input.bytes();
            match self.framing {
                Framing::Head => {
                    let mut headers = [httparse::EMPTY_HEADER; 32];
                    let mut head = httparse::Response::new(&mut headers);
                    let size = match head.parse(bytes) {
                        Ok(httparse::Status::Complete(n)) => n,
                        Ok(httparse::Status::Partial) if bytes.len() < 16 * 1024 => return Ok(()),
                        Ok(_) => return Err(DiscoveryError::Head("its head does not end".into())),
                        Err(e) => return Err(DiscoveryError::Head(e.to_string())),
                    };
                    match head.code {
                        Some(200) => {}
                        code => {
                            return Err(DiscoveryError::Head(format!(
                                "status {}",
                                code.unwrap_or(0)
                            )))
                        }
                    }
                    let chunked = head.headers.iter().any(|h| {
                        h.name.eq_ignore_ascii_case("transfer-encoding")
                            && h.value.to_ascii_lowercase().ends_with(b"chunked")
                    });
                    self.framing = if chunked {
                        Framing::Chunked(0)
                    } else {
                        Framing::UntilClose
                    };
                    input.consume(size);
                }
                Framing::UntilClose => {
                    let n = bytes.len();
                    self.text.extend(bytes);
                    input.consume(n);
                    return self.split_lines(events);
                }
                Framing::Chunked(0) => {
                    let size = match httparse::parse_chunk_size(bytes) {
                        Ok(httparse::Status::Complete((_, 0))) => {
                            self.framing = Framing::Ended;
                            return Ok(());
                        }
                        Ok(httparse::Status::Complete((n, size)))
                            if size < READ_LIMIT_BYTES as u64 =>
                        {
                            input.consume(n);
                            size as usize
                        }
                        Ok(httparse::Status::Partial) => return Ok(()),
                        _ => return Err(DiscoveryError::Chunk),
                    };
                    // The line end behind the chunk is counted in and cut off again below.
                    self.framing = Framing::Chunked(size + 2);
                }
                Framing::Chunked(left) => {
                    if bytes.is_empty() {
                        return Ok(());
                    }
                    let n = left.min(bytes.len());
                    let payload = n.min(left.saturating_sub(2));
                    self.text.extend(&bytes[..payload]);
                    input.consume(n);
                    self.framing = Framing::Chunked(left - n);
                    self.split_lines(events)?;
                }
                Framing::Ended => return Ok(()),
            }
        }
    }

    fn split_lines(&mut self, events: &mut Vec<ServerSentEvent>) -> Result<(), DiscoveryError> {
        let mut start = 0;
        while let Some(n) = self.text[start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.text[start..start + n]).into_owned();
            start += n + 1;
            self.read_field(line.strip_suffix('\r').unwrap_or(&line), events);
        }
        self.text.drain(..start);
        if self.text.len() + self.data.len() > READ_LIMIT_BYTES {
            return Err(DiscoveryError::Head("an event does not end".into()));
        }
        Ok(())
    }

    fn read_field(&mut self, line: &str, events: &mut Vec<ServerSentEvent>) {
        if line.is_empty() {
            let (id, data) = (self.id.take(), std::mem::take(&mut self.data));
            if !data.is_empty() {
                events.push(ServerSentEvent {
                    id: id.and_then(|i| i.trim().parse().ok()),
                    data,
                });
            }
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = Some(value.to_owned()),
            "data" => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            // A comment has an empty field name; other fields mean nothing here.
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
