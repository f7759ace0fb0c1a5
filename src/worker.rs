//! The workers' side of the wire: RESP arrays of bulk strings on one connection that carries many requests.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;

use slotmap::{Key, KeyData};

use crate::api::{CopyStart, FunctionId, LoadReport, Micros, WorkerId};
use crate::completion::{CloseReason, SendProgress};
use crate::core::{AttemptKey, AttemptReply, OrderKey, ProbeKey};
use crate::net::{Buffer, Outbox, KEPT_FRAME};

/// Words that an array may hold, and bytes that one word may.
const MOST_WORDS: usize = 16;
const LONGEST_WORD: usize = 1 << 20;
/// Bytes that a connection may hold of an answer not yet whole.
pub const READ_LIMIT: usize = LONGEST_WORD + 4096;

/// A worker's answer may come a second time within this.
const SECOND_ANSWER: Micros = 250_000;

/// Why an answer cannot be read. The connection is of no more use after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RespError {
    /// A byte that is not the start of what has to come there.
    Unexpected(&'static str),
    /// A length out of bounds.
    Length(String),
    /// An array of another length than an answer's.
    Words(usize),
    /// An answer whose word or fields mean nothing.
    Answer(String),
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RespError::Unexpected(what) => write!(f, "expected {what}"),
            RespError::Length(text) => write!(f, "length '{text}' is not a number within bounds"),
            RespError::Words(n) => write!(f, "an answer of {n} words"),
            RespError::Answer(what) => write!(f, "answer '{what}' has no meaning"),
        }
    }
}

impl std::error::Error for RespError {}

/// Writes an array of bulk strings.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(32 + words.iter().map(|w| w.len() + 16).sum::<usize>());
    out.extend(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend(format!("${}\r\n", word.len()).as_bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

fn length(bytes: &[u8], sign: u8, most: usize) -> Result<Option<(usize, usize)>, RespError> {
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
pub fn parse(bytes: &[u8]) -> Result<Option<CompleteArray<'_>>, RespError> {
    let Some((count, mut at)) = length(bytes, b'*', MOST_WORDS)? else {
        return Ok(None);
    };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((size, head)) = length(&bytes[at..], b'$', LONGEST_WORD)? else {
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
fn report(text: &str) -> Option<LoadReport> {
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

fn fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
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
    Order(OrderKey),
    /// A probe.
    Probe(ProbeKey),
}

/// Something open on a connection has ended.
#[derive(Debug)]
pub struct Completed {
    /// What.
    pub what: Exchange,
    /// How.
    pub ending: CloseReason,
    /// How much of it had left.
    pub left: SendProgress,
    /// What came back.
    pub back: AttemptReply,
    /// For an order: copies standing.
    pub copies: u32,
}

impl Completed {
    /// An end without an answer.
    pub fn plain(what: Exchange, ending: CloseReason, left: SendProgress) -> Completed {
        Completed {
            what,
            ending,
            left,
            back: AttemptReply::default(),
            copies: 0,
        }
    }
}

/// Something open on a connection.
#[derive(Clone, Copy, Debug)]
struct Entry {
    what: Exchange,
    /// The tag of its frame.
    tag: u64,
    /// Whether it must not run twice.
    once: bool,
}

/// What is open on one connection to a worker. It reads and writes buffers, never a socket.
#[derive(Debug)]
pub struct WorkerConnection {
    /// The worker.
    pub worker: WorkerId,
    /// When it was opened.
    pub opened: Micros,
    /// When anything last came on it.
    pub heard: Micros,
    /// When something last went out with nothing else open.
    pub busy: Micros,
    /// Since when an answer has been coming that is not whole yet.
    pub partial: Option<Micros>,
    /// Whether nothing new goes on it: it kept silent for too long, or its worker has gone.
    pub suspect: bool,
    open: BTreeMap<Rc<str>, Entry>,
    given_up: VecDeque<(Rc<str>, Micros)>,
    /// Identities of calls that must not run twice whose attempt was answered as one that never ran, and until when
    /// that answer may come again.
    turned_away: VecDeque<(Rc<str>, Micros)>,
    next_tag: u64,
}

/// What a `go` carries.
#[derive(Debug)]
pub struct AttemptCommand<'a> {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The request's identity.
    pub id: Rc<str>,
    /// The class's name.
    pub class: &'a str,
    /// The function.
    pub function: FunctionId,
    /// How long the gateway will wait, in whole milliseconds.
    pub wait_ms: u64,
    /// The payload.
    pub body: &'a [u8],
    /// Whether the call must not run twice.
    pub once: bool,
}

impl WorkerConnection {
    /// A connection to a worker, just opened.
    pub fn new(worker: WorkerId, now: Micros) -> WorkerConnection {
        WorkerConnection {
            worker,
            opened: now,
            heard: now,
            busy: now,
            partial: None,
            suspect: false,
            open: BTreeMap::new(),
            given_up: VecDeque::new(),
            turned_away: VecDeque::new(),
            next_tag: KEPT_FRAME + 1,
        }
    }

    /// Requests, orders and probes out on it.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether an attempt under this identity may go here. Guards a resend: the answer to an attempt that was
    /// given up may still come under the same identity, and only on its own connection.
    pub fn accepts(&self, id: &str, streams: usize) -> bool {
        !self.suspect
            && self.open.len() < streams
            && !self.open.contains_key(id)
            && !self.given_up.iter().any(|(i, _)| &**i == id)
    }

    /// Whether an answer that turns this identity away may be the first attempt's, come a second time; asked once for
    /// each. Guards calls that must not run twice: taken for the answer to the next attempt, it would say that this one
    /// never ran. If it is that one's own after all, the call ends with its time.
    fn is_heard_again(&mut self, now: Micros, id: &[u8]) -> bool {
        let at = self
            .turned_away
            .iter()
            .position(|(i, until)| i.as_bytes() == id && now < *until);
        at.and_then(|at| self.turned_away.remove(at)).is_some()
    }

    fn add(&mut self, id: Rc<str>, what: Exchange, once: bool, out: &mut Outbox, bytes: Vec<u8>) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.open.insert(id, Entry { what, tag, once });
        match what {
            Exchange::Attempt(_) => out.push_counted(tag, bytes),
            _ => out.push(tag, bytes),
        }
    }

    /// Sends an attempt.
    pub fn send_attempt(&mut self, out: &mut Outbox, go: AttemptCommand<'_>) {
        let (class, key, max) = (go.class, go.function.0, go.wait_ms.max(1));
        let fields = format!("profile={class},thing={key:016x},max={max}");
        let bytes = array(&[b"go", go.id.as_bytes(), fields.as_bytes(), go.body]);
        self.add(go.id, Exchange::Attempt(go.attempt), go.once, out, bytes);
    }

    /// Sends an order to load.
    pub fn send_load(
        &mut self,
        out: &mut Outbox,
        order: OrderKey,
        function: FunctionId,
        copies: u8,
    ) {
        let tag: Rc<str> = format!("o{:x}", order.data().as_ffi()).into();
        let fields = format!("thing={:016x},copies={copies}", function.0);
        let bytes = array(&[b"stage", tag.as_bytes(), fields.as_bytes()]);
        self.add(tag, Exchange::Order(order), false, out, bytes);
    }

    /// Sends a probe that brings a load report.
    pub fn send_health_check(&mut self, out: &mut Outbox, probe: ProbeKey) {
        let tag: Rc<str> = format!("p{:x}", probe.data().as_ffi()).into();
        let bytes = array(&[b"stat", tag.as_bytes()]);
        self.add(tag, Exchange::Probe(probe), false, out, bytes);
    }

    /// Orders idle copies to be unloaded.
    pub fn send_unload(&mut self, out: &mut Outbox, function: FunctionId) {
        out.push(
            KEPT_FRAME,
            array(&[b"purge", format!("{:016x}", function.0).as_bytes()]),
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
            .find(|(_, e)| e.what == what)
            .map(|(id, _)| id.clone())
        else {
            return SendProgress::Started;
        };
        let Some(Entry { tag, .. }) = self.open.remove(&id) else {
            return SendProgress::Started;
        };
        if out.withdraw(tag) {
            return SendProgress::Unsent;
        }
        if let Exchange::Attempt(_) = what {
            out.push(KEPT_FRAME, array(&[b"halt", id.as_bytes()]));
        }
        while self.given_up.front().is_some_and(|(_, t)| *t < now) {
            self.given_up.pop_front();
        }
        self.given_up.push_back((id, until));
        SendProgress::Started
    }

    /// Takes something back if none of its bytes have left; tells whether it has.
    pub fn withdraw(&mut self, out: &mut Outbox, what: Exchange) -> bool {
        let found = self.open.iter().find(|(_, e)| e.what == what);
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
        self.open.retain(|_, Entry { what, tag, .. }| {
            let unsent = out.withdraw(*tag);
            if unsent {
                done.push(Completed::plain(
                    *what,
                    CloseReason::Withdrawn,
                    SendProgress::Unsent,
                ));
            }
            !unsent
        });
    }

    /// The connection has ended, and with it everything open on it.
    pub fn end(&mut self, out: &Outbox, ending: CloseReason, done: &mut Vec<Completed>) {
        for (_, Entry { what, tag, .. }) in std::mem::take(&mut self.open) {
            let left = if out.untouched(tag) {
                SendProgress::Unsent
            } else {
                SendProgress::Started
            };
            done.push(Completed::plain(what, ending, left));
        }
    }

    /// Reads the answers that have come whole; returns how many matched nothing open.
    pub fn input(
        &mut self,
        now: Micros,
        input: &mut Buffer,
        done: &mut Vec<Completed>,
    ) -> Result<u64, RespError> {
        let mut unmatched = 0;
        while let Some((words, size)) = parse(input.bytes())? {
            (self.heard, self.partial) = (now, None);
            unmatched += u64::from(!self.answer(now, &words, done)?);
            input.consume(size);
        }
        if !input.bytes().is_empty() {
            self.partial.get_or_insert(now);
        }
        Ok(unmatched)
    }

    fn answer(
        &mut self,
        now: Micros,
        words: &[&[u8]],
        done: &mut Vec<Completed>,
    ) -> Result<bool, RespError> {
        let (id, word, rest) = match words {
            [id, word, rest @ ..] if rest.len() <= 2 => (*id, *word, rest),
            _ => return Err(RespError::Words(words.len())),
        };
        let text = |b: &[u8]| String::from_utf8_lossy(&b[..b.len().min(64)]).into_owned();
        let of = rest.first().copied().unwrap_or(b"-");
        let Ok(of) = std::str::from_utf8(of) else {
            return Err(RespError::Answer(text(of)));
        };
        let open = std::str::from_utf8(id)
            .ok()
            .and_then(|id| self.open.get(id))
            .copied();
        let Some(Entry { what, once, .. }) = open else {
            self.given_up.retain(|(i, _)| i.as_bytes() != id);
            return Ok(false);
        };
        let ending = match (word, what) {
            (b"200", _) | (b"alive", Exchange::Probe(_)) => CloseReason::Served,
            (b"404", _) => CloseReason::NotLoaded,
            (b"503", _) => CloseReason::AtCapacity,
            (b"500", _) | (b"dead", Exchange::Probe(_)) => CloseReason::Failed,
            (b"504", _) => CloseReason::Expired,
            _ => return Err(RespError::Answer(text(word))),
        };
        let turned_away = matches!(
            ending,
            CloseReason::NotLoaded | CloseReason::AtCapacity | CloseReason::Expired
        );
        if once && turned_away && self.is_heard_again(now, id) {
            return Ok(false);
        }
        let mut d = Completed::plain(what, ending, SendProgress::Started);
        for (name, value) in fields(of) {
            match name {
                "remark" => {
                    d.back.copy_start = match value {
                        "w" => Some(CopyStart::Warm),
                        "c" => Some(CopyStart::Triggered),
                        "j" => Some(CopyStart::Joined),
                        "f" => Some(CopyStart::LoadFailed),
                        _ => None,
                    }
                }
                "queue_fn" => d.back.function_in_flight = value.parse().unwrap_or(0),
                "copies" => d.copies = value.parse().unwrap_or(0),
                "report" => d.back.load_report = report(value),
                _ => {}
            }
        }
        d.back.body = rest.get(1).map_or_else(Vec::new, |b| b.to_vec());
        self.open.retain(|i, _| {
            let answered = i.as_bytes() == id;
            if answered && once && turned_away {
                self.turned_away.push_back((i.clone(), now + SECOND_ANSWER));
            }
            !answered
        });
        while self
            .turned_away
            .front()
            .is_some_and(|(_, until)| *until <= now)
        {
            self.turned_away.pop_front();
        }
        done.push(d);
        Ok(true)
    }
}

/// A key as an opaque number.
pub fn number(key: impl Key) -> u64 {
    key.data().as_ffi()
}

/// The key of an opaque number.
pub fn key<K: Key>(number: u64) -> K {
    KeyData::from_ffi(number).into()
}

#[cfg(test)]
mod tests;
