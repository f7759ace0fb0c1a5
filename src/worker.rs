//! The workers' side of the wire: RESP arrays of bulk strings on one connection that carries many requests.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;

use slotmap::{Key, KeyData};

use crate::api::{CopyStart, FunctionId, LoadReport, Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::{AttemptKey, AttemptReply, HealthCheckKey, LoadOrderKey};
use crate::net::{Buffer, Outbox, UNTAGGED_FRAME};

/// Words that an array may hold, and bytes that one word may.
const MAX_ARRAY_LENGTH: usize = 16;
const MAX_BULK_STRING_BYTES: usize = 1 << 20;
/// Bytes that a connection may hold of an answer not yet whole.
pub const READ_LIMIT_BYTES: usize = MAX_BULK_STRING_BYTES + 4096;

/// A worker's answer may come a second time within this.
const DUPLICATE_REPLY_WINDOW: Micros = 250_000;

/// Why an answer cannot be read. The connection is of no more use after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RespError {
    /// A byte that is not the start of what has to come there.
    Unexpected(&'static str),
    /// A length out of bounds.
    Length(String),
    /// An array of another length than an answer's.
    ArrayLength(usize),
    /// An answer whose word or fields mean nothing.
    Reply(String),
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RespError::Unexpected(what) => write!(f, "expected {what}"),
            RespError::Length(text) => write!(f, "length '{text}' is not a number within bounds"),
            RespError::ArrayLength(n) => write!(f, "an answer of {n} words"),
            RespError::Reply(what) => write!(f, "answer '{what}' has no meaning"),
        }
    }
}

impl std::error::Error for RespError {}

/// Writes an array of bulk strings.
pub fn encode_array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(32 + words.iter().map(|w| w.len() + 16).sum::<usize>());
    out.extend(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend(format!("${}\r\n", word.len()).as_bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

fn parse_length(bytes: &[u8], sign: u8, most: usize) -> Result<Option<(usize, usize)>, RespError> {
    match bytes.first() {
        None => return Ok(None),
        Some(b) if *b == sign => {}
        Some(_) => {
            return Err(RespError::Unexpected(if sign == b'*' {
                "an array"
            } else {
                "a bulk string"
            }))
        }
    }
    let Some(end) = bytes.iter().take(24).position(|b| *b == b'\n') else {
        let text = || String::from_utf8_lossy(&bytes[..bytes.len().min(24)]).into_owned();
        return if bytes.len() < 24 {
            Ok(None)
        } else {
            Err(RespError::Length(text()))
        };
    };
    let text = bytes.get(1..end.max(2) - 1).unwrap_or_default();
    let number = std::str::from_utf8(text)
        .ok()
        .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    match number.and_then(|t| t.parse::<usize>().ok()) {
        Some(n) if n <= most && bytes[end - 1] == b'\r' => Ok(Some((n, end + 1))),
        _ => Err(RespError::Length(
            String::from_utf8_lossy(text).into_owned(),
        )),
    }
}

/// The words of an array and the bytes that it takes up.
pub type CompleteArray<'a> = (Vec<&'a [u8]>, usize);

/// The words of the first array in `bytes` and its length; `None` while it is not whole.
pub fn parse_array(bytes: &[u8]) -> Result<Option<CompleteArray<'_>>, RespError> {
    let Some((count, mut at)) = parse_length(bytes, b'*', MAX_ARRAY_LENGTH)? else {
        return Ok(None);
    };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((size, head)) = parse_length(&bytes[at..], b'$', MAX_BULK_STRING_BYTES)? else {
            return Ok(None);
        };
        let start = at + head;
        let Some(rest) = bytes.get(start..start + size + 2) else {
            return Ok(None);
        };
        if &rest[size..] != b"\r\n" {
            return Err(RespError::Unexpected("the end of a bulk string"));
        }
        words.push(&rest[..size]);
        at = start + size + 2;
    }
    Ok(Some((words, at)))
}

/// Reads a load report, `name:value;name:value`.
fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut r = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|p| p.split_once(':')) {
        let value = value.trim().parse::<f32>().ok().filter(|v| v.is_finite());
        match name.trim() {
            "q" | "queue" => r.queued = value,
            "rif" | "inflight" => r.in_flight = value,
            "busy" | "util" => r.cpu_utilization = value,
            "x0" => r.pinned_memory = value,
            "x1" => r.active_loads = value,
            _ => {}
        }
    }
    (r != LoadReport::default()).then_some(r)
}

fn parse_fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(',')
        .filter(move |_| text != "-")
        .filter_map(|p| p.split_once('='))
}

/// What something open on a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// An attempt.
    Attempt(AttemptKey),
    /// A load order.
    LoadOrder(LoadOrderKey),
    /// A probe.
    HealthCheck(HealthCheckKey),
}

/// Something open on a connection has ended.
#[derive(Debug)]
pub struct Completed {
    /// What.
    pub exchange: Exchange,
    /// How.
    pub reason: CloseReason,
    /// How much of it had left.
    pub progress: SendProgress,
    /// What came back.
    pub reply: AttemptReply,
    /// For an order: copies standing.
    pub copies: u32,
}

impl Completed {
    /// An end without an answer.
    pub fn without_reply(what: Exchange, reason: CloseReason, progress: SendProgress) -> Completed {
        Completed {
            exchange: what,
            reason,
            progress,
            reply: AttemptReply::default(),
            copies: 0,
        }
    }
}

/// Something open on a connection.
#[derive(Clone, Copy, Debug)]
struct OpenExchange {
    exchange: Exchange,
    /// The tag of its frame.
    tag: u64,
    /// Whether it must not run twice.
    must_run_once: bool,
}

/// What is open on one connection to a worker. It reads and writes buffers, never a socket.
#[derive(Debug)]
pub struct WorkerConnection {
    /// The worker.
    pub worker: WorkerId,
    /// When it was opened.
    pub opened_at: Micros,
    /// When anything last came on it.
    pub last_received_at: Micros,
    /// When something last went out with nothing else open.
    pub last_active_at: Micros,
    /// Since when an answer has been coming that is not whole yet.
    pub partial_reply_since: Option<Micros>,
    /// Whether nothing new goes on it: it kept silent for too long, or its worker has gone.
    pub retired: bool,
    open: BTreeMap<Rc<str>, OpenExchange>,
    cancelled: VecDeque<(Rc<str>, Micros)>,
    /// Identities of calls that must not run twice whose attempt was answered as one that never ran, and until when
    /// that answer may come again.
    rejected: VecDeque<(Rc<str>, Micros)>,
    next_tag: u64,
}

/// What a `go` carries.
#[derive(Debug)]
pub struct AttemptCommand<'a> {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The request's identity.
    pub identity: Rc<str>,
    /// The class's name.
    pub class: &'a str,
    /// The function.
    pub function: FunctionId,
    /// How long the gateway will wait, in whole milliseconds.
    pub wait_ms: u64,
    /// The payload.
    pub body: &'a [u8],
    /// Whether the call must not run twice.
    pub must_run_once: bool,
}

impl WorkerConnection {
    /// A connection to a worker, just opened.
    pub fn new(worker: WorkerId, now: Micros) -> WorkerConnection {
        WorkerConnection {
            worker,
            opened_at: now,
            last_received_at: now,
            last_active_at: now,
            partial_reply_since: None,
            retired: false,
            open: BTreeMap::new(),
            cancelled: VecDeque::new(),
            rejected: VecDeque::new(),
            next_tag: UNTAGGED_FRAME + 1,
        }
    }

    /// Requests, orders and probes out on it.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether an attempt under this identity may go here. Guards a resend: the answer to an attempt that was
    /// given up may still come under the same identity, and only on its own connection.
    pub fn accepts(&self, id: &str, streams: usize) -> bool {
        !self.retired
            && self.open.len() < streams
            && !self.open.contains_key(id)
            && !self.cancelled.iter().any(|(i, _)| &**i == id)
    }

    /// Whether an answer that turns this identity away may be the first attempt's, come a second time; asked once for
    /// each. Guards calls that must not run twice: taken for the answer to the next attempt, it would say that this one
    /// never ran. If it is that one's own after all, the call ends with its time.
    fn is_duplicate_rejection(&mut self, now: Micros, id: &[u8]) -> bool {
        let at = self
            .rejected
            .iter()
            .position(|(i, until)| i.as_bytes() == id && now < *until);
        at.and_then(|at| self.rejected.remove(at)).is_some()
    }

    fn enqueue(
        &mut self,
        id: Rc<str>,
        what: Exchange,
        once: bool,
        out: &mut Outbox,
        bytes: Vec<u8>,
    ) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.open.insert(
            id,
            OpenExchange {
                exchange: what,
                tag,
                must_run_once: once,
            },
        );
        match what {
            Exchange::Attempt(_) => out.push_counted(tag, bytes),
            _ => out.push(tag, bytes),
        }
    }

    /// Sends an attempt.
    pub fn send_attempt(&mut self, out: &mut Outbox, go: AttemptCommand<'_>) {
        let (class, key, max) = (go.class, go.function.0, go.wait_ms.max(1));
        let fields = format!("profile={class},thing={key:016x},max={max}");
        let bytes = encode_array(&[b"go", go.identity.as_bytes(), fields.as_bytes(), go.body]);
        self.enqueue(
            go.identity,
            Exchange::Attempt(go.attempt),
            go.must_run_once,
            out,
            bytes,
        );
    }

    /// Sends an order to load.
    pub fn send_load(
        &mut self,
        out: &mut Outbox,
        order: LoadOrderKey,
        function: FunctionId,
        copies: u8,
    ) {
        let tag: Rc<str> = format!("o{:x}", order.data().as_ffi()).into();
        let fields = format!("thing={:016x},copies={copies}", function.0);
        let bytes = encode_array(&[b"stage", tag.as_bytes(), fields.as_bytes()]);
        self.enqueue(tag, Exchange::LoadOrder(order), false, out, bytes);
    }

    /// Sends a probe that brings a load report.
    pub fn send_health_check(&mut self, out: &mut Outbox, probe: HealthCheckKey) {
        let tag: Rc<str> = format!("p{:x}", probe.data().as_ffi()).into();
        let bytes = encode_array(&[b"stat", tag.as_bytes()]);
        self.enqueue(tag, Exchange::HealthCheck(probe), false, out, bytes);
    }

    /// Orders idle copies to be unloaded.
    pub fn send_unload(&mut self, out: &mut Outbox, function: FunctionId) {
        out.push(
            UNTAGGED_FRAME,
            encode_array(&[b"purge", format!("{:016x}", function.0).as_bytes()]),
        );
    }

    /// Gives something up: takes it back unsent, or tells the worker.
    pub fn cancel(
        &mut self,
        out: &mut Outbox,
        what: Exchange,
        now: Micros,
        until: Micros,
    ) -> SendProgress {
        let Some(id) = self
            .open
            .iter()
            .find(|(_, e)| e.exchange == what)
            .map(|(id, _)| id.clone())
        else {
            return SendProgress::Started;
        };
        let Some(OpenExchange { tag, .. }) = self.open.remove(&id) else {
            return SendProgress::Started;
        };
        if out.withdraw(tag) {
            return SendProgress::Unsent;
        }
        if let Exchange::Attempt(_) = what {
            out.push(UNTAGGED_FRAME, encode_array(&[b"halt", id.as_bytes()]));
        }
        while self.cancelled.front().is_some_and(|(_, t)| *t < now) {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back((id, until));
        SendProgress::Started
    }

    /// Takes something back if none of its bytes have left; tells whether it has.
    pub fn withdraw(&mut self, out: &mut Outbox, what: Exchange) -> bool {
        let found = self.open.iter().find(|(_, e)| e.exchange == what);
        let Some((id, tag)) = found.map(|(id, e)| (id.clone(), e.tag)) else {
            return false;
        };
        let unsent = out.withdraw(tag);
        if unsent {
            self.open.remove(&id);
        }
        unsent
    }

    /// Takes back every attempt and order that waits with none of its bytes gone. Guards the rules on drains,
    /// loads and cold starts for what is queued here.
    pub fn withdraw_unsent(&mut self, out: &mut Outbox, done: &mut Vec<Completed>) {
        self.open.retain(
            |_,
             OpenExchange {
                 exchange: what,
                 tag,
                 ..
             }| {
                let unsent = out.withdraw(*tag);
                if unsent {
                    done.push(Completed::without_reply(
                        *what,
                        CloseReason::Withdrawn,
                        SendProgress::Unsent,
                    ));
                }
                !unsent
            },
        );
    }

    /// The connection has ended, and with it everything open on it.
    pub fn complete_all(&mut self, out: &Outbox, ending: CloseReason, done: &mut Vec<Completed>) {
        for (
            _,
            OpenExchange {
                exchange: what,
                tag,
                ..
            },
        ) in std::mem::take(&mut self.open)
        {
            let left = if out.is_unsent(tag) {
                SendProgress::Unsent
            } else {
                SendProgress::Started
            };
            done.push(Completed::without_reply(what, ending, left));
        }
    }

    /// Reads the answers that have come whole; returns how many matched nothing open.
    pub fn read_replies(
        &mut self,
        now: Micros,
        input: &mut Buffer,
        done: &mut Vec<Completed>,
    ) -> Result<u64, RespError> {
        let mut unmatched = 0;
        while let Some((words, size)) = parse_array(input.bytes())? {
            (self.last_received_at, self.partial_reply_since) = (now, None);
            unmatched += u64::from(!self.handle_reply(now, &words, done)?);
            input.consume(size);
        }
        if !input.bytes().is_empty() {
            self.partial_reply_since.get_or_insert(now);
        }
        Ok(unmatched)
    }

    fn handle_reply(
        &mut self,
        now: Micros,
        words: &[&[u8]],
        done: &mut Vec<Completed>,
    ) -> Result<bool, RespError> {
        let (id, word, rest) = match words {
            [id, word, rest @ ..] if rest.len() <= 2 => (*id, *word, rest),
            _ => return Err(RespError::ArrayLength(words.len())),
        };
        let text = |b: &[u8]| String::from_utf8_lossy(&b[..b.len().min(64)]).into_owned();
        let of = rest.first().copied().unwrap_or(b"-");
        let Ok(of) = std::str::from_utf8(of) else {
            return Err(RespError::Reply(text(of)));
        };
        let open = std::str::from_utf8(id)
            .ok()
            .and_then(|id| self.open.get(id))
            .copied();
        let Some(OpenExchange {
            exchange: what,
            must_run_once: once,
            ..
        }) = open
        else {
            self.cancelled.retain(|(i, _)| i.as_bytes() != id);
            return Ok(false);
        };
        let ending = match (word, what) {
            (b"200", _) | (b"alive", Exchange::HealthCheck(_)) => CloseReason::Served,
            (b"404", _) => CloseReason::NotLoaded,
            (b"503", _) => CloseReason::AtCapacity,
            (b"500", _) | (b"dead", Exchange::HealthCheck(_)) => CloseReason::Failed,
            (b"504", _) => CloseReason::Expired,
            _ => return Err(RespError::Reply(text(word))),
        };
        let turned_away = matches!(
            ending,
            CloseReason::NotLoaded | CloseReason::AtCapacity | CloseReason::Expired
        );
        if once && turned_away && self.is_duplicate_rejection(now, id) {
            return Ok(false);
        }
        let mut d = Completed::without_reply(what, ending, SendProgress::Started);
        for (name, value) in parse_fields(of) {
            match name {
                "remark" => {
                    d.reply.copy_start = match value {
                        "w" => Some(CopyStart::Warm),
                        "c" => Some(CopyStart::Triggered),
                        "j" => Some(CopyStart::Joined),
                        "f" => Some(CopyStart::LoadFailed),
                        _ => None,
                    }
                }
                "queue_fn" => d.reply.function_in_flight = value.parse().unwrap_or(0),
                "copies" => d.copies = value.parse().unwrap_or(0),
                "report" => d.reply.load_report = parse_load_report(value),
                _ => {}
            }
        }
        d.reply.body = rest.get(1).map_or_else(Vec::new, |b| b.to_vec());
        self.open.retain(|i, _| {
            let answered = i.as_bytes() == id;
            if answered && once && turned_away {
                self.rejected
                    .push_back((i.clone(), now + DUPLICATE_REPLY_WINDOW));
            }
            !answered
        });
        while self
            .rejected
            .front()
            .is_some_and(|(_, until)| *until <= now)
        {
            self.rejected.pop_front();
        }
        done.push(d);
        Ok(true)
    }
}

/// A key as an opaque number.
pub fn key_to_number(key: impl Key) -> u64 {
    key.data().as_ffi()
}

/// The key of an opaque number.
pub fn key_from_number<K: Key>(number: u64) -> K {
    KeyData::from_ffi(number).into()
}

#[cfg(test)]
mod tests;
