//! The workers' side of the wire: RESP arrays of bulk strings on one connection that carries many requests.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;

use slotmap::{Key, KeyData};

use crate::api::{FunctionId, Micros, Report, Warmth, WorkerId};
use crate::core::{AttemptKey, Back, OrderKey, ProbeKey};
use crate::ending::{Ending, Left};
use crate::net::{Buffer, Outbox, KEPT_FRAME};

/// Words that an array may hold, and bytes that one word may.
const MOST_WORDS: usize = 16;
const LONGEST_WORD: usize = 1 << 20;
/// Bytes that a connection may hold of an answer not yet whole.
pub const READ_LIMIT: usize = LONGEST_WORD + 4096;

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
            return Err(RespError::Unexpected(if sign == b'*' { "an array" } else { "a bulk string" }))
        }
    }
    let Some(end) = bytes.iter().take(24).position(|b| *b == b'\n') else {
        let text = || String::from_utf8_lossy(&bytes[..bytes.len().min(24)]).into_owned();
        return if bytes.len() < 24 { Ok(None) } else { Err(RespError::Length(text())) };
    };
    let text = bytes.get(1..end.max(2) - 1).unwrap_or_default();
    let number = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    match number.and_then(|t| t.parse::<usize>().ok()) {
        Some(n) if n <= most && bytes[end - 1] == b'\r' => Ok(Some((n, end + 1))),
        _ => Err(RespError::Length(String::from_utf8_lossy(text).into_owned())),
    }
}

/// The words of an array and the bytes that it takes up.
pub type Whole<'a> = (Vec<&'a [u8]>, usize);

/// The words of the first array in `bytes` and its length; `None` while it is not whole.
pub fn parse(bytes: &[u8]) -> Result<Option<Whole<'_>>, RespError> {
    let Some((count, mut at)) = length(bytes, b'*', MOST_WORDS)? else { return Ok(None) };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((size, head)) = length(&bytes[at..], b'$', LONGEST_WORD)? else { return Ok(None) };
        let start = at + head;
        let Some(rest) = bytes.get(start..start + size + 2) else { return Ok(None) };
        if &rest[size..] != b"\r\n" {
            return Err(RespError::Unexpected("the end of a bulk string"));
        }
        words.push(&rest[..size]);
        at = start + size + 2;
    }
    Ok(Some((words, at)))
}

/// Reads a load report, `name:value;name:value`.
fn report(text: &str) -> Option<Report> {
    let mut r = Report::default();
    for (name, value) in text.split(';').filter_map(|p| p.split_once(':')) {
        let value = value.trim().parse::<f32>().ok().filter(|v| v.is_finite());
        match name.trim() {
            "q" | "queue" => r.queue = value,
            "rif" | "inflight" => r.inflight = value,
            "busy" | "util" => r.busy = value,
            "x0" => r.pinned = value,
            "x1" => r.loads = value,
            _ => {}
        }
    }
    (r != Report::default()).then_some(r)
}

fn fields(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split(',').filter(move |_| text != "-").filter_map(|p| p.split_once('='))
}

/// What something open on a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Open {
    /// An attempt.
    Attempt(AttemptKey),
    /// A load order.
    Order(OrderKey),
    /// A probe.
    Probe(ProbeKey),
}

/// Something open on a connection has ended.
#[derive(Debug)]
pub struct Done {
    /// What.
    pub what: Open,
    /// How.
    pub ending: Ending,
    /// How much of it had left.
    pub left: Left,
    /// What came back.
    pub back: Back,
    /// For an order: copies standing.
    pub copies: u32,
}

impl Done {
    /// An end without an answer.
    pub fn plain(what: Open, ending: Ending, left: Left) -> Done {
        Done { what, ending, left, back: Back::default(), copies: 0 }
    }
}

/// What is open on one connection to a worker. It reads and writes buffers, never a socket.
#[derive(Debug)]
pub struct Link {
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
    open: BTreeMap<Rc<str>, (Open, u64)>,
    given_up: VecDeque<(Rc<str>, Micros)>,
    next_tag: u64,
}

/// What a `go` carries.
#[derive(Debug)]
pub struct Go<'a> {
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
}

impl Link {
    /// A connection to a worker, just opened.
    pub fn new(worker: WorkerId, now: Micros) -> Link {
        Link {
            worker,
            opened: now,
            heard: now,
            busy: now,
            partial: None,
            suspect: false,
            open: BTreeMap::new(),
            given_up: VecDeque::new(),
            next_tag: KEPT_FRAME + 1,
        }
    }

    /// Requests, orders and probes out on it.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether an attempt under this identity may go here. Guards a resend: the answer to an attempt that was
    /// given up may still come under the same identity, and only on its own connection.
    pub fn takes(&self, id: &str, streams: usize) -> bool {
        !self.suspect
            && self.open.len() < streams
            && !self.open.contains_key(id)
            && !self.given_up.iter().any(|(i, _)| &**i == id)
    }

    fn add(&mut self, id: Rc<str>, what: Open, out: &mut Outbox, bytes: Vec<u8>) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.open.insert(id, (what, tag));
        match what {
            Open::Attempt(_) => out.push_counted(tag, bytes),
            _ => out.push(tag, bytes),
        }
    }

    /// Sends an attempt.
    pub fn go(&mut self, out: &mut Outbox, go: Go<'_>) {
        let (class, key, max) = (go.class, go.function.0, go.wait_ms.max(1));
        let fields = format!("profile={class},thing={key:016x},max={max}");
        let bytes = array(&[b"go", go.id.as_bytes(), fields.as_bytes(), go.body]);
        self.add(go.id, Open::Attempt(go.attempt), out, bytes);
    }

    /// Sends an order to load.
    pub fn stage(&mut self, out: &mut Outbox, order: OrderKey, function: FunctionId, copies: u8) {
        let tag: Rc<str> = format!("o{:x}", order.data().as_ffi()).into();
        let fields = format!("thing={:016x},copies={copies}", function.0);
        let bytes = array(&[b"stage", tag.as_bytes(), fields.as_bytes()]);
        self.add(tag, Open::Order(order), out, bytes);
    }

    /// Sends a probe that brings a load report.
    pub fn probe(&mut self, out: &mut Outbox, probe: ProbeKey) {
        let tag: Rc<str> = format!("p{:x}", probe.data().as_ffi()).into();
        let bytes = array(&[b"stat", tag.as_bytes()]);
        self.add(tag, Open::Probe(probe), out, bytes);
    }

    /// Orders idle copies to be unloaded.
    pub fn purge(&mut self, out: &mut Outbox, function: FunctionId) {
        out.push(KEPT_FRAME, array(&[b"purge", format!("{:016x}", function.0).as_bytes()]));
    }

    /// Gives something up: takes it back unsent, or tells the worker.
    pub fn give_up(&mut self, out: &mut Outbox, what: Open, now: Micros, until: Micros) -> Left {
        let Some(id) = self.open.iter().find(|(_, (w, _))| *w == what).map(|(id, _)| id.clone()) else {
            return Left::Some;
        };
        let Some((_, tag)) = self.open.remove(&id) else { return Left::Some };
        if out.withdraw(tag) {
            return Left::Nothing;
        }
        if let Open::Attempt(_) = what {
            out.push(KEPT_FRAME, array(&[b"halt", id.as_bytes()]));
        }
        while self.given_up.front().is_some_and(|(_, t)| *t < now) {
            self.given_up.pop_front();
        }
        self.given_up.push_back((id, until));
        Left::Some
    }

    /// Takes back every attempt and order that waits with none of its bytes gone. Guards the rules on drains,
    /// loads and cold starts for what is queued here.
    pub fn withdraw_unsent(&mut self, out: &mut Outbox, done: &mut Vec<Done>) {
        self.open.retain(|_, (what, tag)| {
            let unsent = out.withdraw(*tag);
            if unsent {
                done.push(Done::plain(*what, Ending::Withdrawn, Left::Nothing));
            }
            !unsent
        });
    }

    /// The connection has ended, and with it everything open on it.
    pub fn end(&mut self, out: &Outbox, ending: Ending, done: &mut Vec<Done>) {
        for (_, (what, tag)) in std::mem::take(&mut self.open) {
            let left = if out.untouched(tag) { Left::Nothing } else { Left::Some };
            done.push(Done::plain(what, ending, left));
        }
    }

    /// Reads the answers that have come whole; returns how many matched nothing open.
    pub fn input(&mut self, now: Micros, input: &mut Buffer, done: &mut Vec<Done>) -> Result<u64, RespError> {
        let mut unmatched = 0;
        while let Some((words, size)) = parse(input.bytes())? {
            (self.heard, self.partial) = (now, None);
            unmatched += u64::from(!self.answer(&words, done)?);
            input.consume(size);
        }
        if !input.bytes().is_empty() {
            self.partial.get_or_insert(now);
        }
        Ok(unmatched)
    }

    fn answer(&mut self, words: &[&[u8]], done: &mut Vec<Done>) -> Result<bool, RespError> {
        let (id, word, rest) = match words {
            [id, word, rest @ ..] if rest.len() <= 2 => (*id, *word, rest),
            _ => return Err(RespError::Words(words.len())),
        };
        let text = |b: &[u8]| String::from_utf8_lossy(&b[..b.len().min(64)]).into_owned();
        let of = rest.first().copied().unwrap_or(b"-");
        let Ok(of) = std::str::from_utf8(of) else { return Err(RespError::Answer(text(of))) };
        let Some((what, _)) = std::str::from_utf8(id).ok().and_then(|id| self.open.get(id)).copied() else {
            self.given_up.retain(|(i, _)| i.as_bytes() != id);
            return Ok(false);
        };
        let ending = match (word, what) {
            (b"200", _) | (b"alive", Open::Probe(_)) => Ending::Served,
            (b"404", _) => Ending::Missed,
            (b"503", _) => Ending::NoRoom,
            (b"500", _) | (b"dead", Open::Probe(_)) => Ending::Failed,
            (b"504", _) => Ending::Over,
            _ => return Err(RespError::Answer(text(word))),
        };
        let mut d = Done::plain(what, ending, Left::Some);
        for (name, value) in fields(of) {
            match name {
                "remark" => {
                    d.back.warmth = match value {
                        "w" => Some(Warmth::Stood),
                        "c" => Some(Warmth::Began),
                        "j" => Some(Warmth::Waited),
                        "f" => Some(Warmth::LoadFailed),
                        _ => None,
                    }
                }
                "queue_fn" => d.back.crowd = value.parse().unwrap_or(0),
                "copies" => d.copies = value.parse().unwrap_or(0),
                "report" => d.back.report = report(value),
                _ => {}
            }
        }
        d.back.body = rest.get(1).map_or_else(Vec::new, |b| b.to_vec());
        self.open.retain(|i, _| i.as_bytes() != id);
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
mod tests {
    use super::*;
    use slotmap::SlotMap;

    const ID: &str = "9b1f03aa5c7e2d41";

    struct Rig {
        link: Link,
        out: Outbox,
        input: Buffer,
        done: Vec<Done>,
        keys: SlotMap<AttemptKey, ()>,
    }

    impl Rig {
        fn new() -> Rig {
            let link = Link::new(WorkerId(1), 0);
            let keys = SlotMap::with_key();
            Rig { link, out: Outbox::default(), input: Buffer::default(), done: Vec::new(), keys }
        }

        fn go(&mut self, id: &str) -> AttemptKey {
            let attempt = self.keys.insert(());
            let go =
                Go { attempt, id: id.into(), class: "c", function: FunctionId(7), wait_ms: 9, body: b"x" };
            self.link.go(&mut self.out, go);
            attempt
        }

        fn hear(&mut self, bytes: &[u8]) -> Result<u64, RespError> {
            self.input.feed(bytes);
            self.link.input(1, &mut self.input, &mut self.done)
        }

        fn ends(&self) -> Vec<(Ending, Left)> {
            self.done.iter().map(|d| (d.ending, d.left)).collect()
        }
    }

    #[test]
    fn the_late_answer_of_a_given_up_attempt_is_nobodys_and_its_identity_waits() {
        let mut r = Rig::new();
        let first = r.go(ID);
        r.out.drain();
        assert_eq!(r.link.give_up(&mut r.out, Open::Attempt(first), 5, 100), Left::Some);
        assert_eq!(r.out.drain(), array(&[b"halt", ID.as_bytes()]));
        assert!(!r.link.takes(ID, 100), "a resend goes on another connection");
        assert!(r.link.takes("9b1f03aa5c7e2d42", 100));
        assert_eq!(r.hear(&array(&[ID.as_bytes(), b"200", b"-", b"old"])), Ok(1));
        assert!(r.done.is_empty() && r.link.takes(ID, 100), "it has come, so the identity is free again");
    }

    #[test]
    fn what_has_not_left_is_taken_back_whole_and_without_a_word() {
        let mut r = Rig::new();
        let (first, _) = (r.go(ID), r.go("9b1f03aa5c7e2d42"));
        assert_eq!(r.link.give_up(&mut r.out, Open::Attempt(first), 5, 100), Left::Nothing);
        assert!(r.link.takes(ID, 100));
        let mut done = Vec::new();
        r.link.withdraw_unsent(&mut r.out, &mut done);
        assert_eq!((done.len(), done[0].ending, done[0].left), (1, Ending::Withdrawn, Left::Nothing));
        assert_eq!((r.out.drain(), r.link.open()), (vec![], 0), "a drained worker hears nothing more");
    }

    #[test]
    fn when_a_connection_ends_only_what_left_may_have_run() {
        let mut r = Rig::new();
        r.go(ID);
        r.out.drain();
        r.go("9b1f03aa5c7e2d42");
        r.link.end(&r.out, Ending::Reset, &mut r.done);
        assert_eq!(r.ends(), vec![(Ending::Reset, Left::Some), (Ending::Reset, Left::Nothing)]);
    }

    #[test]
    fn an_answer_is_read_with_all_that_it_tells() {
        let mut r = Rig::new();
        r.go(ID);
        let fields = b"remark=f,queue_fn=3,report=inflight:7;x0:0.5;x1:2;new:1,other=1";
        let bytes = array(&[ID.as_bytes(), b"500", fields, b""]);
        for b in &bytes {
            assert_eq!(r.hear(&[*b]), Ok(0));
        }
        let back = &r.done[0].back;
        let report = Report { inflight: Some(7.0), pinned: Some(0.5), loads: Some(2.0), ..Report::default() };
        assert_eq!((back.warmth, back.crowd, back.report), (Some(Warmth::LoadFailed), 3, Some(report)));
    }

    #[test]
    fn what_is_no_answer_is_told_clearly_and_never_panics() {
        for (bytes, error) in [
            (&b"+OK\r\n"[..], "expected an array"),
            (b"*2\r\n:1\r\n", "expected a bulk string"),
            (b"*99\r\n", "length '99' is not a number within bounds"),
            (b"*2\r\n$-1\r\n", "length '-1' is not a number within bounds"),
            (b"*2\r\n$2\r\nabXX", "expected the end of a bulk string"),
            (b"*1\r\n$1\r\na\r\n", "an answer of 1 words"),
        ] {
            assert_eq!(Rig::new().hear(bytes).map_err(|e| e.to_string()), Err(error.into()));
        }
        let mut r = Rig::new();
        r.go(ID);
        assert!(r.hear(&array(&[ID.as_bytes(), b"teapot", b"-", b""])).is_err());
        // Every damage of one byte to a good answer is read, waited on or refused.
        let good = array(&[ID.as_bytes(), b"200", b"remark=w,queue_fn=1", b"body"]);
        for at in 0..good.len() {
            for byte in [0, b'\r', b'\n', b'*', b'$', b'9', 0xff] {
                let mut bad = good.clone();
                bad[at] = byte;
                let mut r = Rig::new();
                r.go(ID);
                let _ = r.hear(&bad);
                assert!(r.done.len() <= 1);
            }
        }
    }
}
