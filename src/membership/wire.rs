//! Datagrams: protobuf within one MTU, versioned, each sealed and fresh, with a replay window for each sender.
//!
//! What does not fit is left out and goes with a later one: nothing is put together from parts, so that nobody's
//! sizes are trusted. Unknown fields pass; an unknown version is refused and counted.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use prost::Message as _;

use super::is_name;
use super::keys::Keys;
use super::observations::Observation;
use super::swim::{Message, Record, Say, Suspicion};
use crate::api::{Micros, WorkerId};

/// The version of this wire.
pub const VERSION: u32 = 1;
/// Bytes of a datagram at most: within an Ethernet's MTU, with room for tunnels.
pub const MTU: usize = 1200;
/// How far the clocks of members may be apart, and how late a datagram may come.
pub const SKEW: Micros = 10_000_000;
/// Observations in one sighting.
pub const MAX_OBSERVATIONS: usize = 24;

/// What is sealed: a seal for one is none for another.
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
    /// 1 ping, 2 ack, 3 ping for another, 4 nack, 5 exchange, 6 exchange that wants an answer.
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

/// What an origin saw over one window, sealed by it.
#[derive(Clone, Debug, PartialEq)]
pub struct SealedObservation {
    /// Whose word it is.
    pub origin: String,
    /// The end of its window.
    pub at: Micros,
    /// What it saw.
    pub seen: Vec<(WorkerId, Observation)>,
    /// Its seal.
    pub seal: Vec<u8>,
}

/// Why a datagram, or a part of one, is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// It is longer than a datagram may be.
    TooLong,
    /// It cannot be read.
    Garbled,
    /// It has another version.
    Version,
    /// No key is accepted for its sender.
    Stranger,
    /// Its seal does not hold.
    Seal,
    /// It is too old, or from too far ahead.
    Stale,
    /// It came before.
    Replayed,
    /// A record, accusation or sighting in it is not sealed by whose word it is.
    Part,
}

impl DatagramError {
    /// Its name in counters.
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

/// Seals one's own record.
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

/// Whether a record, such as one kept on disk, is sealed by its member.
pub fn check_record(keys: &Keys, r: &Record) -> bool {
    let content = record_content(&r.name, &r.address.to_string(), r.incarnation, r.leaving);
    keys.check(&r.name, RECORD, &content, &r.seal)
}

/// Seals an accusation of one's own.
pub fn seal_accusation(keys: &Keys, accused: &str, incarnation: u64, by: &str) -> Suspicion {
    let seal = keys.seal(ACCUSATION, &accusation_content(accused, incarnation, by));
    Suspicion {
        accused: accused.into(),
        incarnation,
        by: by.into(),
        seal,
    }
}

/// Seals what one saw.
pub fn seal_sighting(
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

/// A datagram of at most `most` bytes; parts that do not fit are left out, the last ones first. `sightings` is asked
/// for one after the other, with the bytes that are left, until it has none that fits.
pub fn pack(
    keys: &Keys,
    from: &str,
    number: u64,
    now: Micros,
    message: &Message,
    max_bytes: usize,
    mut observations: impl FnMut(usize) -> Option<SealedObservation>,
) -> Option<Vec<u8>> {
    let (say, asked, name) = match &message.say {
        Say::Ping(n, name) => (1, *n, name.clone()),
        Say::Ack(n) => (2, *n, String::new()),
        Say::PingFor(n, name) => (3, *n, name.clone()),
        Say::Nack(n) => (4, *n, String::new()),
        Say::Sync(false) => (5, 0, String::new()),
        Say::Sync(true) => (6, 0, String::new()),
    };
    let mut body = Body {
        say,
        number: asked,
        name,
        ..Body::default()
    };
    // The envelope around a body: its fields, their tags and lengths, and the longest seal.
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

/// Bytes that a sighting takes in a datagram.
pub fn sealed_observation_size(origin: &str, seen: usize) -> usize {
    origin.len() + 64 + 20 + seen * 27
}

/// Numbers seen of one sender: those below the window count as seen.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    bits: u128,
    heard: Micros,
}

impl ReplayWindow {
    /// Takes a number; `false` if it was taken before or is too old to tell.
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

/// What a datagram brought.
#[derive(Debug)]
pub struct Opened {
    /// Who sent it.
    pub from: String,
    /// Its message, with the parts whose seals hold.
    pub message: Message,
    /// Sightings whose seals hold.
    pub sightings: Vec<SealedObservation>,
    /// Parts that were left out, as their seals do not hold.
    pub refused: u32,
}

/// Opens datagrams.
#[derive(Clone, Debug, Default)]
pub struct Opener {
    windows: BTreeMap<String, ReplayWindow>,
    /// How many were refused, by why.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Senders whose numbers are remembered.
const MAX_SENDERS: usize = 4096;

impl Opener {
    /// Opens a datagram. What costs little is looked at first; seals last.
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
        if !is_name(&e.from) || !keys.knows(&e.from) {
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
            // What is older than the skew is refused by its time alone.
            self.windows.retain(|_, w| w.heard + 2 * SKEW > now);
        }
        let window = self.windows.entry(e.from.clone()).or_default();
        if !window.accept(e.number) {
            return Err(DatagramError::Replayed);
        }
        window.heard = now;
        let body = Body::decode(&e.body[..]).map_err(|_| DatagramError::Garbled)?;
        let say = match body.say {
            1 => Say::Ping(body.number, body.name),
            2 => Say::Ack(body.number),
            3 => Say::PingFor(body.number, body.name),
            4 => Say::Nack(body.number),
            5 => Say::Sync(false),
            6 => Say::Sync(true),
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
            // One that is known already brings no news, and its seal was checked when it was.
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
                say,
                records,
                accusations,
            },
            sightings,
            refused,
        })
    }
}

#[cfg(test)]
mod tests;
