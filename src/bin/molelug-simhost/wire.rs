//! Encoding and decoding of the simulation bench's frames. No other module uses its codes.

use std::fmt;
use std::io::{self, Read, Write};

use molelug::api::{
    Action, Arrival, AttemptEnd, CellId, ClassId, CopyStart, Event, FunctionId, ListUpdate,
    LoadReport, Micros, Outcome, RequestId, Settings, TenantId, WorkerEntry, WorkerId,
    WorkerStatus, ZoneId,
};
use molelug::settings::{self, Field};

/// Sizes of an event record, an action record and a worker list entry, in bytes.
const EVENT_BYTES: usize = 56;
const ACTION_BYTES: usize = 24;
const ENTRY_BYTES: usize = 21;
/// The maximum frame length in bytes. A longer one indicates a corrupt length field.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Why a frame could not be read.
#[derive(Debug)]
pub enum WireError {
    /// Reading failed.
    Io(io::Error),
    /// The frame violates the wire format.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "cannot read input: {e}"),
            WireError::Malformed(reason) => write!(f, "malformed frame: {reason}"),
        }
    }
}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

fn malformed<T>(reason: impl Into<String>) -> Result<T, WireError> {
    Err(WireError::Malformed(reason.into()))
}

/// A decoded event record.
#[derive(Debug)]
pub enum Message {
    /// A new instance starts.
    Start(u64, Box<Settings>, Vec<Field>),
    /// An instance is killed.
    Kill,
    /// An event for an instance's decision module.
    Event(Event),
    /// A record that the module does not use.
    Ignored,
}

/// Reads a frame into `body`. Returns its record count and clock, or `None` at the end of input.
pub fn read_frame(
    input: &mut impl Read,
    body: &mut Vec<u8>,
) -> Result<Option<(usize, Micros)>, WireError> {
    let mut head = [0u8; 16];
    let mut received = 0;
    while received < head.len() {
        match input.read(&mut head[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return malformed("input ends within a header"),
            Ok(n) => received += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
    }
    let length = u32_at(&head, 0)? as usize;
    let count = u32_at(&head, 4)? as usize;
    let clock = micros(f64_at(&head, 8)?);
    if length > MAX_FRAME_BYTES || count.checked_mul(EVENT_BYTES).is_none_or(|n| n > length) {
        return malformed(format!("{count} records do not fit in {length} bytes"));
    }
    body.clear();
    if input.take(length as u64).read_to_end(body)? < length {
        return malformed("input ends within a frame");
    }
    Ok(Some((count, clock)))
}

fn bytes<const N: usize>(b: &[u8], at: usize) -> Result<[u8; N], WireError> {
    match b.get(at..at + N).and_then(|s| s.try_into().ok()) {
        Some(a) => Ok(a),
        None => malformed("field extends past the end of its record"),
    }
}
fn u8_at(b: &[u8], at: usize) -> Result<u8, WireError> {
    Ok(bytes::<1>(b, at)?[0])
}
fn u16_at(b: &[u8], at: usize) -> Result<u16, WireError> {
    bytes(b, at).map(u16::from_le_bytes)
}
fn u32_at(b: &[u8], at: usize) -> Result<u32, WireError> {
    bytes(b, at).map(u32::from_le_bytes)
}
fn u64_at(b: &[u8], at: usize) -> Result<u64, WireError> {
    bytes(b, at).map(u64::from_le_bytes)
}
fn f32_at(b: &[u8], at: usize) -> Result<f32, WireError> {
    bytes(b, at).map(f32::from_le_bytes)
}
fn f64_at(b: &[u8], at: usize) -> Result<f64, WireError> {
    bytes(b, at).map(f64::from_le_bytes)
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

fn tail<'a>(
    body: &'a [u8],
    count: usize,
    record: &[u8],
    at: usize,
    size: usize,
) -> Result<&'a [u8], WireError> {
    let start = u32_at(record, at)? as usize;
    let length = (u32_at(record, at + 4)? as usize).saturating_mul(size);
    let tail = &body[count * EVENT_BYTES..];
    match start
        .checked_add(length)
        .and_then(|end| tail.get(start..end))
    {
        Some(part) => Ok(part),
        None => malformed("record refers to data past the end of the frame"),
    }
}

fn outcome(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::Timeout,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        9 => Outcome::Miss,
        other => return malformed(format!("unknown outcome {other}")),
    })
}

fn report(record: &[u8], at: usize, fields: &[Field]) -> Result<Option<LoadReport>, WireError> {
    let count = u8_at(record, at)? as usize;
    if count > 4 {
        return malformed(format!(
            "load report has {count} values, at most 4 are allowed"
        ));
    }
    let mut report = LoadReport::default();
    for (i, field) in fields.iter().take(count).enumerate() {
        let value = Some(f32_at(record, at + 1 + 4 * i)?);
        match field {
            Field::Queue => report.queued = value,
            Field::Inflight => report.in_flight = value,
            Field::Busy => report.cpu_utilization = value,
            Field::Pinned => report.pinned_memory = value,
            Field::Loads => report.active_loads = value,
            Field::Other => {}
        }
    }
    Ok((count > 0).then_some(report))
}

/// The instance that record `index` of a frame is for.
pub fn instance(body: &[u8], index: usize) -> Result<u16, WireError> {
    u16_at(record(body, index)?, 1)
}

fn record(body: &[u8], index: usize) -> Result<&[u8], WireError> {
    match body.get(index * EVENT_BYTES..(index + 1) * EVENT_BYTES) {
        Some(r) => Ok(r),
        None => malformed("record extends past the end of the frame"),
    }
}

/// Decodes record `index`. `fields` lists the values of the instance's load reports.
pub fn message(
    body: &[u8],
    count: usize,
    index: usize,
    fields: &[Field],
) -> Result<Message, WireError> {
    let event = record(body, index)?;
    Ok(Message::Event(match event[0] {
        8 => {
            let text = String::from_utf8_lossy(tail(body, count, event, 11, 1)?).into_owned();
            let (settings, fields) = settings::from_map(&settings::lines(&text));
            return Ok(Message::Start(
                u64_at(event, 3)?,
                Box::new(settings),
                fields,
            ));
        }
        5 => return Ok(Message::Kill),
        10 => {
            tail(body, count, event, 5, 1)?;
            return Ok(Message::Ignored);
        }
        3 => {
            let kind = match u8_at(event, 3)? {
                0 => ListUpdate::Delta,
                1 => ListUpdate::Snapshot,
                2 => ListUpdate::Cached,
                3 => ListUpdate::Failed,
                other => return malformed(format!("unknown list update kind {other}")),
            };
            let entries = tail(body, count, event, 8, ENTRY_BYTES)?;
            Event::WorkerList {
                update: kind,
                workers: entries
                    .chunks_exact(ENTRY_BYTES)
                    .map(worker_entry)
                    .collect::<Result<_, _>>()?,
            }
        }
        1 => Event::Request(Arrival {
            request: RequestId(u32_at(event, 3)?),
            class: ClassId(u8_at(event, 7)?),
            tenant: TenantId(u32_at(event, 8)?),
            function: FunctionId(u64_at(event, 12)?),
            unread_for: 0,
            expires_at: micros(f64_at(event, 20)?),
            expected_work: (u8_at(event, 48)? & 1 != 0).then_some(micros(f64_at(event, 28)?)),
            memory_mb: f64::from(f32_at(event, 36)?),
            concurrency_per_copy: f32_at(event, 40)? as u32,
            load_duration: Some(micros(f64::from(f32_at(event, 44)?))).filter(|t| *t > 0),
            // The simulator's requests of keyed classes carry their key implicitly.
            has_idempotency_key: true,
        }),
        7 => {
            let outcome = outcome(u16_at(event, 13)?)?;
            let packed = u32_at(event, 15)?;
            Event::AttemptEnded(AttemptEnd {
                request: RequestId(u32_at(event, 3)?),
                worker: WorkerId(u32_at(event, 7)?),
                attempt: u8_at(event, 11)?,
                terminal: u8_at(event, 12)? != 0,
                outcome,
                copy_start: match packed & 7 {
                    1 => Some(CopyStart::Warm),
                    2 => Some(CopyStart::Triggered),
                    3 => Some(CopyStart::Joined),
                    4 => Some(CopyStart::LoadFailed),
                    _ => None,
                },
                function_in_flight: packed >> 3,
                unread_for: 0,
                latency: micros(f64_at(event, 19)?),
                load_report: report(event, 27, fields)?,
            })
        }
        11 => Event::ClientGone {
            request: RequestId(u32_at(event, 3)?),
        },
        4 => Event::LoadEnded {
            outcome: outcome(u16_at(event, 11)?)?,
            copies: u32::from(u8_at(event, 13)?),
            worker: WorkerId(u32_at(event, 14)?),
            function: FunctionId(u64_at(event, 18)?),
        },
        6 => Event::Streaming {
            request: RequestId(u32_at(event, 3)?),
        },
        9 => Event::Wake {
            token: u64_at(event, 3)?,
        },
        2 => Event::HealthChecked {
            worker: WorkerId(u32_at(event, 3)?),
            outcome: outcome(u16_at(event, 7)?)?,
            load_report: report(event, 17, fields)?,
            latency: micros(f64_at(event, 9)?),
            connection_opened_at: None,
        },
        other => return malformed(format!("unknown event code {other}")),
    }))
}

fn worker_entry(entry: &[u8]) -> Result<WorkerEntry, WireError> {
    Ok(WorkerEntry {
        worker: WorkerId(u32_at(entry, 0)?),
        zone: ZoneId(u8_at(entry, 4)?),
        cell: CellId(u16_at(entry, 6)?),
        status: match u8_at(entry, 8)? {
            2 => WorkerStatus::Ready,
            1 => WorkerStatus::Draining,
            0 => WorkerStatus::Removed,
            other => return malformed(format!("unknown worker status {other}")),
        },
        capacity: f64::from(f32_at(entry, 9)?),
        started_at: Some(micros(f64_at(entry, 13)?)).filter(|t| *t > 0),
    })
}

/// Buffer for a reply frame.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance_id: u16, action: &Action) {
        let start = self.records.len();
        let code = match action {
            Action::Send { .. } => 65,
            Action::Load { .. } => 70,
            Action::Wake { .. } => 71,
            Action::HealthCheck { .. } => 72,
            Action::Fail { .. } => 73,
            Action::Unload { .. } => 74,
            Action::Subscribe | Action::ReopenDiscovery => 75,
            Action::Reject { .. } => 76,
            Action::Cancel { .. } => 78,
        };
        self.records.push(code);
        self.records.extend(instance_id.to_le_bytes());
        match *action {
            Action::Send {
                request,
                worker,
                timeout: attempt_timeout,
            } => {
                self.records.extend(request.0.to_le_bytes());
                self.records.extend(worker.0.to_le_bytes());
                self.records
                    .extend(attempt_timeout.map_or(0.0, millis).to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                self.records.extend(request.0.to_le_bytes());
                self.records.push(attempt);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.records.extend(request.0.to_le_bytes());
                self.records.extend(millis(retry_after).to_le_bytes());
            }
            Action::Fail { request } => self.records.extend(request.0.to_le_bytes()),
            Action::Load {
                worker,
                function,
                copies,
            } => {
                self.records.extend(worker.0.to_le_bytes());
                self.records.extend(function.0.to_le_bytes());
                self.records.push(copies);
            }
            Action::Unload { worker, function } => {
                self.records.extend(worker.0.to_le_bytes());
                self.records.extend(function.0.to_le_bytes());
            }
            Action::HealthCheck { worker } => self.records.extend(worker.0.to_le_bytes()),
            Action::Wake { after, token } => {
                self.records.extend(millis(after).to_le_bytes());
                self.records.extend(token.to_le_bytes());
            }
            Action::Subscribe | Action::ReopenDiscovery => self.records.push(1),
        }
        self.records.resize(start + ACTION_BYTES, 0);
        self.count += 1;
    }

    /// Writes the reply and clears the buffer.
    pub fn flush(&mut self, output: &mut impl Write) -> io::Result<()> {
        output.write_all(&(self.records.len() as u32).to_le_bytes())?;
        output.write_all(&self.count.to_le_bytes())?;
        output.write_all(&self.records)?;
        output.flush()?;
        self.records.clear();
        self.count = 0;
        Ok(())
    }
}
