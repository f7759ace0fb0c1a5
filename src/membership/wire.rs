//! Datagrams: versioned protobuf within one MTU, sealed and timestamped, with a replay window per
//! sender.
//!
//! Items that do not fit are sent in a later datagram. There is no fragmentation, so no declared
//! size has to be trusted. Unknown fields are ignored; an unknown version is rejected and counted.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use prost::Message as _;

use super::is_name;
use super::keys::Keys;
use super::observations::Observation;
use super::swim::{Message, MessageKind, Record, Suspicion};
use crate::api::{Micros, WorkerId};

/// Version of the wire format.
pub const VERSION: u32 = 1;
/// Maximum size of a datagram in bytes: within the Ethernet MTU, with room for tunnels.
pub const MTU: usize = 1200;
/// Maximum difference between the clocks of members, and maximum delay of a datagram.
pub const SKEW: Micros = 10_000_000;
/// Maximum number of workers in one sealed observation.
pub const MAX_OBSERVATIONS: usize = 24;

/// Purposes of seals: a seal for one purpose is invalid for any other.
const ENVELOPE: u8 = 1;
const RECORD: u8 = 2;
const ACCUSATION: u8 = 3;
const OBSERVATION: u8 = 4;

#[derive(Clone, PartialEq, prost::Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(string, tag = "2")]
    from: String,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    sent_us: u64,
    #[prost(bytes = "vec", tag = "5")]
    body: Vec<u8>,
    #[prost(bytes = "vec", tag = "6")]
    seal: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Body {
    /// 1 ping, 2 ack, 3 indirect ping request, 4 nack, 5 exchange, 6 exchange with an answer
    /// requested.
    #[prost(uint32, tag = "1")]
    say: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(message, repeated, tag = "4")]
    records: Vec<RecordPart>,
    #[prost(message, repeated, tag = "5")]
    accusations: Vec<AccusationPart>,
    #[prost(message, repeated, tag = "6")]
    observations: Vec<ObservationPart>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RecordPart {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(bool, tag = "4")]
    leaving: bool,
    #[prost(bytes = "vec", tag = "5")]
    seal: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AccusationPart {
    #[prost(string, tag = "1")]
    accused: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    by: String,
    #[prost(bytes = "vec", tag = "4")]
    seal: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ObservationPart {
    #[prost(string, tag = "1")]
    origin: String,
    #[prost(uint64, tag = "2")]
    at_us: u64,
    #[prost(message, repeated, tag = "3")]
    seen: Vec<WorkerOutcomesPart>,
    #[prost(bytes = "vec", tag = "4")]
    seal: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WorkerOutcomesPart {
    #[prost(fixed32, tag = "1")]
    worker: u32,
    #[prost(uint32, tag = "2")]
    answered: u32,
    #[prost(uint32, tag = "3")]
    failed: u32,
    #[prost(uint32, tag = "4")]
    silent: u32,
    #[prost(uint32, tag = "5")]
    refused: u32,
}

/// Observations by one origin over one window, sealed by the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct SealedObservation {
    /// Name of the origin.
    pub origin: String,
    /// End of the window, in Unix microseconds by the origin's clock.
    pub at: Micros,
    /// Observed workers with their outcomes.
    pub seen: Vec<(WorkerId, Observation)>,
    /// The origin's seal.
    pub seal: Vec<u8>,
}

/// Reasons why a datagram, or a part of one, is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// The datagram is longer than [`MTU`].
    TooLong,
    /// The datagram cannot be decoded.
    Garbled,
    /// The datagram has another version.
    Version,
    /// No key is accepted for the sender.
    Stranger,
    /// The seal is invalid.
    Seal,
    /// The timestamp is too old or too far ahead.
    Stale,
    /// The sequence number was received before.
    Replayed,
    /// A record, accusation or observation in the datagram lacks a valid seal by its author.
    Part,
}

impl DatagramError {
    /// Returns the name of the reason in counters.
    pub fn name(self) -> &'static str {
        match self {
            DatagramError::TooLong => "too_long",
            DatagramError::Garbled => "garbled",
            DatagramError::Version => "version",
            DatagramError::Stranger => "stranger",
            DatagramError::Seal => "seal",
            DatagramError::Stale => "stale",
            DatagramError::Replayed => "replayed",
            DatagramError::Part => "part",
        }
    }
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

fn put_with_length(out: &mut Vec<u8>, part: &[u8]) {
    out.extend((part.len() as u64).to_le_bytes());
    out.extend(part);
}

fn record_content(name: &str, address: &str, incarnation: u64, leaving: bool) -> Vec<u8> {
    let mut out = Vec::new();
    put_with_length(&mut out, name.as_bytes());
    put_with_length(&mut out, address.as_bytes());
    out.extend(incarnation.to_le_bytes());
    out.push(u8::from(leaving));
    out
}

fn accusation_content(accused: &str, incarnation: u64, by: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_with_length(&mut out, accused.as_bytes());
    put_with_length(&mut out, by.as_bytes());
    out.extend(incarnation.to_le_bytes());
    out
}

fn observation_content(origin: &str, at: Micros, seen: &[(WorkerId, Observation)]) -> Vec<u8> {
    let mut out = Vec::new();
    put_with_length(&mut out, origin.as_bytes());
    out.extend(at.to_le_bytes());
    for (w, o) in seen {
        for n in [w.0, o.answered, o.failed, o.silent, o.refused] {
            out.extend(n.to_le_bytes());
        }
    }
    out
}

/// Creates and seals the own record.
pub fn seal_record(
    keys: &Keys,
    name: &str,
    address: SocketAddr,
    incarnation: u64,
    leaving: bool,
) -> Record {
    let seal = keys.seal(
        RECORD,
        &record_content(name, &address.to_string(), incarnation, leaving),
    );
    Record {
        name: name.into(),
        address,
        incarnation,
        leaving,
        seal,
    }
}

/// Returns whether a record, such as one stored on disk, has a valid seal by its member.
pub fn check_record(keys: &Keys, r: &Record) -> bool {
    let content = record_content(&r.name, &r.address.to_string(), r.incarnation, r.leaving);
    keys.check(&r.name, RECORD, &content, &r.seal)
}

/// Creates and seals an accusation by this instance.
pub fn seal_accusation(keys: &Keys, accused: &str, incarnation: u64, by: &str) -> Suspicion {
    let seal = keys.seal(ACCUSATION, &accusation_content(accused, incarnation, by));
    Suspicion {
        accused: accused.into(),
        incarnation,
        by: by.into(),
        seal,
    }
}

/// Creates and seals the observations by this instance.
pub fn seal_observation(
    keys: &Keys,
    origin: &str,
    at: Micros,
    seen: Vec<(WorkerId, Observation)>,
) -> SealedObservation {
    let seal = keys.seal(OBSERVATION, &observation_content(origin, at, &seen));
    SealedObservation {
        origin: origin.into(),
        at,
        seen,
        seal,
    }
}

fn envelope_content(e: &Envelope) -> Vec<u8> {
    let mut out = Vec::with_capacity(e.body.len() + 96);
    out.extend(e.version.to_le_bytes());
    put_with_length(&mut out, e.from.as_bytes());
    out.extend(e.number.to_le_bytes());
    out.extend(e.sent_us.to_le_bytes());
    put_with_length(&mut out, &e.body);
    out
}

fn record_part(r: &Record) -> RecordPart {
    RecordPart {
        name: r.name.clone(),
        address: r.address.to_string(),
        incarnation: r.incarnation,
        leaving: r.leaving,
        seal: r.seal.clone(),
    }
}

/// Encodes a datagram of at most `max_bytes`, without the items that do not fit. `observations` is
/// called with the number of bytes left until it returns `None` or an item that does not fit.
pub fn pack(
    keys: &Keys,
    from: &str,
    number: u64,
    now: Micros,
    message: &Message,
    max_bytes: usize,
    mut observations: impl FnMut(usize) -> Option<SealedObservation>,
) -> Option<Vec<u8>> {
    let (say, asked, name) = match &message.kind {
        MessageKind::Ping(n, name) => (1, *n, name.clone()),
        MessageKind::Ack(n) => (2, *n, String::new()),
        MessageKind::PingRequest(n, name) => (3, *n, name.clone()),
        MessageKind::Nack(n) => (4, *n, String::new()),
        MessageKind::Sync(false) => (5, 0, String::new()),
        MessageKind::Sync(true) => (6, 0, String::new()),
    };
    let mut body = Body {
        say,
        number: asked,
        name,
        ..Body::default()
    };
    // Size of the envelope: its fields, their tags and lengths, and the longest seal.
    let room = max_bytes.checked_sub(from.len() + 64 + 40)?;
    let mut left = room.checked_sub(body.encoded_len())?;
    let mut fits = |size: usize| {
        let whole = size + 4;
        let good = whole <= left;
        left -= if good { whole } else { 0 };
        good
    };
    for r in &message.records {
        let part = record_part(r);
        if fits(part.encoded_len()) {
            body.records.push(part);
        }
    }
    for a in &message.accusations {
        let part = AccusationPart {
            accused: a.accused.clone(),
            incarnation: a.incarnation,
            by: a.by.clone(),
            seal: a.seal.clone(),
        };
        if fits(part.encoded_len()) {
            body.accusations.push(part);
        }
    }
    while let Some(s) = observations(left.saturating_sub(4)) {
        let seen = s.seen.iter().map(|(w, o)| WorkerOutcomesPart {
            worker: w.0,
            answered: o.answered,
            failed: o.failed,
            silent: o.silent,
            refused: o.refused,
        });
        let part = ObservationPart {
            origin: s.origin,
            at_us: s.at,
            seen: seen.collect(),
            seal: s.seal,
        };
        let whole = part.encoded_len() + 4;
        if whole > left {
            break;
        }
        left -= whole;
        body.observations.push(part);
    }
    let mut e = Envelope {
        version: VERSION,
        from: from.to_owned(),
        number,
        sent_us: now,
        body: body.encode_to_vec(),
        seal: Vec::new(),
    };
    e.seal = keys.seal(ENVELOPE, &envelope_content(&e));
    let bytes = e.encode_to_vec();
    (bytes.len() <= max_bytes).then_some(bytes)
}

/// Returns the upper bound of the bytes that a sealed observation takes in a datagram.
pub fn sealed_observation_size(origin: &str, seen: usize) -> usize {
    origin.len() + 64 + 20 + seen * 27
}

/// Sequence numbers received from one sender. Numbers below the window count as received.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    bits: u128,
    heard: Micros,
}

impl ReplayWindow {
    /// Records a number. Returns `false` if it was received before or is below the window.
    fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.bits = if ahead >= 128 { 0 } else { self.bits << ahead };
            (self.bits, self.highest) = (self.bits | 1, number);
            return true;
        }
        let behind = self.highest - number;
        if behind >= 128 || self.bits & (1 << behind) != 0 {
            return false;
        }
        self.bits |= 1 << behind;
        true
    }
}

/// Verified contents of a datagram.
#[derive(Debug)]
pub struct Opened {
    /// Name of the sender.
    pub from: String,
    /// The message, without known records and items with invalid seals.
    pub message: Message,
    /// Sealed observations with valid seals.
    pub observations: Vec<SealedObservation>,
    /// Number of items dropped because of an invalid seal, name, address or length.
    pub refused: u32,
}

/// Decodes and verifies datagrams.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    windows: BTreeMap<String, ReplayWindow>,
    /// Number of rejected datagrams by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Number of senders with replay windows above which stale windows are removed.
const MAX_SENDERS: usize = 4096;

impl Decoder {
    /// Decodes and verifies a datagram. Cheap checks come before the seals. `known` returns whether
    /// a record is already known, so that its seal needs no check.
    pub fn open(
        &mut self,
        keys: &Keys,
        now: Micros,
        bytes: &[u8],
        known: impl Fn(&Record) -> bool,
    ) -> Result<Opened, DatagramError> {
        let opened = self.check(keys, now, bytes, known);
        let why = match &opened {
            Ok(o) if o.refused > 0 => Some(DatagramError::Part),
            Ok(_) => None,
            Err(e) => Some(*e),
        };
        if let Some(why) = why {
            *self.refused.entry(why.name()).or_default() += 1;
        }
        opened
    }

    fn check(
        &mut self,
        keys: &Keys,
        now: Micros,
        bytes: &[u8],
        known: impl Fn(&Record) -> bool,
    ) -> Result<Opened, DatagramError> {
        if bytes.len() > MTU {
            return Err(DatagramError::TooLong);
        }
        let e = Envelope::decode(bytes).map_err(|_| DatagramError::Garbled)?;
        if e.version != VERSION {
            return Err(DatagramError::Version);
        }
        if !is_name(&e.from) || !keys.accepts_name(&e.from) {
            return Err(DatagramError::Stranger);
        }
        if e.sent_us.abs_diff(now) > SKEW {
            return Err(DatagramError::Stale);
        }
        if !keys.check(&e.from, ENVELOPE, &envelope_content(&e), &e.seal) {
            return Err(DatagramError::Seal);
        }
        let full = self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&e.from);
        if full {
            // The timestamp check alone rejects replays older than the skew.
            self.windows.retain(|_, w| w.heard + 2 * SKEW > now);
        }
        let window = self.windows.entry(e.from.clone()).or_default();
        if !window.accept(e.number) {
            return Err(DatagramError::Replayed);
        }
        window.heard = now;
        let body = Body::decode(&e.body[..]).map_err(|_| DatagramError::Garbled)?;
        let say = match body.say {
            1 => MessageKind::Ping(body.number, body.name),
            2 => MessageKind::Ack(body.number),
            3 => MessageKind::PingRequest(body.number, body.name),
            4 => MessageKind::Nack(body.number),
            5 => MessageKind::Sync(false),
            6 => MessageKind::Sync(true),
            _ => return Err(DatagramError::Garbled),
        };
        let mut refused = 0;
        let mut records = Vec::new();
        for part in body.records {
            let Ok(address) = part.address.parse() else {
                refused += 1;
                continue;
            };
            let r = Record {
                name: part.name,
                address,
                incarnation: part.incarnation,
                leaving: part.leaving,
                seal: part.seal,
            };
            // A known record is not new, and its seal was verified before.
            if known(&r) {
                continue;
            }
            if is_name(&r.name) && check_record(keys, &r) {
                records.push(r);
            } else {
                refused += 1;
            }
        }
        let mut accusations = Vec::new();
        for part in body.accusations {
            let a = Suspicion {
                accused: part.accused,
                incarnation: part.incarnation,
                by: part.by,
                seal: part.seal,
            };
            if keys.check(
                &a.by,
                ACCUSATION,
                &accusation_content(&a.accused, a.incarnation, &a.by),
                &a.seal,
            ) {
                accusations.push(a);
            } else {
                refused += 1;
            }
        }
        let mut sightings = Vec::new();
        for part in body.observations {
            let seen: Vec<(WorkerId, Observation)> = part
                .seen
                .iter()
                .map(|s| {
                    let o = Observation {
                        at: part.at_us,
                        answered: s.answered,
                        failed: s.failed,
                        silent: s.silent,
                        refused: s.refused,
                    };
                    (WorkerId(s.worker), o)
                })
                .collect();
            let content = observation_content(&part.origin, part.at_us, &seen);
            if seen.len() <= MAX_OBSERVATIONS
                && keys.check(&part.origin, OBSERVATION, &content, &part.seal)
            {
                sightings.push(SealedObservation {
                    origin: part.origin,
                    at: part.at_us,
                    seen,
                    seal: part.seal,
                });
            } else {
                refused += 1;
            }
        }
        Ok(Opened {
            from: e.from,
            message: Message {
                kind: say,
                records,
                accusations,
            },
            observations: sightings,
            refused,
        })
    }
}

#[cfg(test)]
mod tests;
