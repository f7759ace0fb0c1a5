//! The store's logic: what each [`Op`] does to the tables. It does no I/O of its own; the [`Space`] is handed in.
//!
//! | table | key | value | removed by |
//! | --- | --- | --- | --- |
//! | calls | number | the call | its answer |
//! | messages, bodies | number | the message; its body | retention |
//! | waiting | endpoint, due, number | what delivery knows | an attempt's end |
//! | begun | number | when | the attempt's end |
//! | attempts | number, which | how it ended | retention, with its message |
//! | by_tenant | tenant, number | - | retention, with its message |
//! | by_call, call_ages | tenant, identity; time before it | the call's state | retention |
//! | replays, replay_ages | digest; time before it | until when | retention, once no stamp of that time is taken |
//! | heads, behind | endpoint, order key (, number) | who is first; who waits behind | the end of the last of the key |
//! | log | index | an entry of the agreed log | a snapshot |
//! | shards | shard | the place of its last record; whether it is led here; what was forgotten of it | never |
//! | sums | shard, range | the sum of its rows' digests | never |
//! | meta | name | format, figures, highest number; a voter's seat and snapshot | never |

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::checksums;
use super::keyspace::{Pair, Space, Table};
use super::log;
use super::records::*;
use super::recovery::settled_with;
use super::shards;
use crate::api::{Effect, Micros};
use crate::consensus::persistent_state::{LogEntry, Metadata};
use crate::delivery::response::{Dead, State};
use crate::delivery::{EndpointId, Seq, Waiting};
use crate::replication::{LogPosition, ShardId};

/// The format of the tables; a file of a higher one is left alone.
pub const FORMAT: u32 = 3;
/// The format of one that holds nothing for others: earlier versions read it.
const ALONE: u32 = 1;
/// Attempts of one message that are kept.
const MOST_ATTEMPTS: usize = 100;
pub(super) const TOP: [u8; 32] = [0xff; 32];

/// What lives beside the tables and is kept with each commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    format: u32,
    /// The highest number given.
    next: u64,
    /// The latest time that was written: a clock that has stepped back since is told by it.
    latest: Micros,
    /// Identities whose stamps were good until then may have been forgotten.
    forgotten: Micros,
    stat: Stat,
}

/// What a start finds.
#[derive(Debug, Default)]
pub struct Found {
    /// Calls that got a 202 and have no answer.
    pub calls: Vec<CallRecord>,
    /// Endpoints for which messages wait, with the first due time.
    pub endpoints: Vec<(EndpointId, Micros)>,
    /// Identities seen, with the time until which they count.
    pub replays: Vec<(IdentityDigest, Micros)>,
    /// The highest number given.
    pub next: u64,
    /// Identities whose stamps were good until then may have been forgotten.
    pub forgotten: Micros,
    /// Whether the clock shows less than it did when the store was last written.
    pub stepped_back: bool,
    /// Callbacks of which nobody can tell whether they arrived.
    pub unknown: u64,
    /// A voter's seat and log, if the file has one.
    pub log: (Option<Metadata>, Vec<LogEntry>),
}

/// The logic over one space.
#[derive(Clone, Debug)]
pub struct Tables {
    head: Head,
    /// Whether messages stay to be looked at once they are over.
    history: bool,
    /// Bytes of bodies at most.
    most_bytes: u64,
    /// Where retention goes on.
    cursor: u64,
    /// Shards that were written before there were sums, or written anew.
    unsummed: Vec<ShardId>,
}

pub(super) fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(|_| StoreError::Damaged("a record"))
}

pub(super) fn unpack<T: DeserializeOwned>(
    bytes: &[u8],
    what: &'static str,
) -> Result<T, StoreError> {
    postcard::from_bytes(bytes).map_err(|_| StoreError::Damaged(what))
}

pub(super) fn key(parts: &[u64]) -> Vec<u8> {
    parts.iter().flat_map(|p| p.to_be_bytes()).collect()
}

pub(super) fn number(bytes: &[u8], part: usize) -> u64 {
    let word = bytes
        .get(part * 8..part * 8 + 8)
        .and_then(|b| b.try_into().ok());
    word.map_or(0, u64::from_be_bytes)
}

pub(super) fn waiting_key(w: &Waiting) -> Vec<u8> {
    key(&[w.endpoint.0, w.due, w.seq.0])
}

pub(super) fn call_key(serial: u64, id: &str) -> Vec<u8> {
    [&key(&[serial])[..], id.as_bytes()].concat()
}

impl Tables {
    /// The logic over a space, and what a start finds in it at `now`: attempts that had begun are settled by their
    /// class.
    pub fn open(
        space: &mut dyn Space,
        history: bool,
        most_bytes: u64,
        now: Micros,
    ) -> Result<(Tables, Found), StoreError> {
        let mut tables = Tables::resume(space, history, most_bytes)?;
        let head = tables.head;
        let stepped_back = now < head.latest;
        let mut found = Found {
            next: head.next,
            forgotten: head.forgotten,
            stepped_back,
            ..Found::default()
        };
        for (k, v) in space.scan(Table::Begun, &[], &TOP, usize::MAX, false)? {
            if Seq(number(&k, 0)).shard() > 0 {
                // Whoever leads its shard settles it.
                continue;
            }
            let begun: Micros = unpack(&v, "an attempt's beginning")?;
            found.unknown +=
                u64::from(tables.settle(space, Seq(number(&k, 0)), begun, now, stepped_back)?);
        }
        // What is damaged of shards is mended from another disk, and no reason not to begin.
        let alone = space.scan(Table::Shards, &[], &TOP, 1, false)?.is_empty();
        for (k, v) in space.scan(Table::Calls, &[], &TOP, usize::MAX, false)? {
            if Seq(number(&k, 0)).shard() == 0 {
                found.calls.push(unpack(&v, "a call")?);
            }
        }
        let mut from = key(&[0]);
        while let Some((k, _)) = space.scan(Table::Waiting, &from, &TOP, 1, false)?.pop() {
            found
                .endpoints
                .push((EndpointId(number(&k, 0)), number(&k, 1)));
            let Some(next) = number(&k, 0).checked_add(1) else {
                break;
            };
            from = key(&[next]);
        }
        for (k, v) in space.scan(Table::Replays, &[], &TOP, usize::MAX, false)? {
            let mark = k.try_into().map_err(|_| StoreError::Damaged("a digest"))?;
            match unpack(&v, "a digest") {
                Ok(until) => found.replays.push((mark, until)),
                Err(e) if alone => return Err(e),
                Err(_) => {}
            }
        }
        shards::rest_all(space)?;
        found.log = log::read(space)?;
        tables.finish(space, now)?;
        Ok((tables, found))
    }

    /// The logic over a space that this process has had open before.
    pub fn resume(
        space: &mut dyn Space,
        history: bool,
        most_bytes: u64,
    ) -> Result<Tables, StoreError> {
        let head = match space.get(Table::Meta, b"head")? {
            Some(bytes) => unpack::<Head>(&bytes, "a head")?,
            None if space.scan(Table::Messages, &[], &TOP, 1, false)?.is_empty() => Head {
                format: ALONE,
                ..Head::default()
            },
            None => return Err(StoreError::Foreign("it has messages and no head".into())),
        };
        if head.format > FORMAT {
            return Err(StoreError::Newer(head.format));
        }
        Ok(Tables {
            head,
            history,
            most_bytes,
            cursor: 0,
            unsummed: Vec::new(),
        })
    }

    /// A kill came while an attempt was out: by its class it waits again, or nobody can tell.
    fn settle(
        &mut self,
        space: &mut dyn Space,
        seq: Seq,
        begun: Micros,
        now: Micros,
        stepped_back: bool,
    ) -> Result<bool, StoreError> {
        space.remove(Table::Begun, &key(&[seq.0]))?;
        let Some(message) = self.message(space, seq)? else {
            return Ok(false);
        };
        if message.state != State::Waiting {
            return Ok(false);
        }
        let mut w = message.waiting;
        let (state, attempt) = settled_with(&mut w, begun, now, stepped_back);
        self.ended(space, w, state, Some(attempt))?;
        Ok(state != State::Waiting)
    }

    /// Its figures.
    pub fn stat(&self) -> Stat {
        self.head.stat
    }

    /// Shards whose sums are to be counted anew.
    pub(super) fn unsummed(&mut self) -> Vec<ShardId> {
        std::mem::take(&mut self.unsummed)
    }

    /// Keeps what lives beside the tables; the last step of a commit.
    pub fn finish(&mut self, space: &mut dyn Space, now: Micros) -> Result<(), StoreError> {
        self.head.latest = self.head.latest.max(now);
        space
            .put(Table::Meta, b"head", &pack(&self.head)?)
            .map(drop)
    }

    fn message(&self, space: &dyn Space, seq: Seq) -> Result<Option<MessageRecord>, StoreError> {
        let bytes = space.get(Table::Messages, &key(&[seq.0]))?;
        bytes.map(|b| unpack(&b, "a message")).transpose()
    }

    fn call(&self, space: &dyn Space, seq: Seq) -> Result<Option<CallRecord>, StoreError> {
        let bytes = space.get(Table::Calls, &key(&[seq.0]))?;
        bytes.map(|b| unpack(&b, "a call")).transpose()
    }

    /// Does what is asked.
    pub fn apply(&mut self, space: &mut dyn Space, op: Op) -> Result<Reply, StoreError> {
        match op {
            Op::Take(call, mark, until) => {
                if call.seq.shard() == 0
                    && self.head.stat.bytes + call.body.len() as u64 > self.most_bytes
                {
                    return Err(StoreError::Full);
                }
                self.given(call.seq);
                self.head.stat.calls += 1;
                self.head.stat.bytes += call.body.len() as u64;
                space.put(Table::Calls, &key(&[call.seq.0]), &pack(&*call)?)?;
                space.put(Table::Replays, &mark, &pack(&(until, call.seq.shard()))?)?;
                space.put(
                    Table::ReplayAges,
                    &[&key(&[until])[..], &mark].concat(),
                    &[],
                )?;
                let taken = call.expires;
                let name = call_key(call.serial, &call.webhook_id);
                space.put(Table::CallAges, &[&key(&[taken])[..], &name].concat(), &[])?;
                space.put(
                    Table::ByCall,
                    &name,
                    &pack(&CallState {
                        taken,
                        outcome: None,
                        shard: call.seq.shard(),
                    })?,
                )?;
                Ok(Reply::Done)
            }
            Op::Untake(seq, mark) => {
                if let Some(bytes) = space.remove(Table::Calls, &key(&[seq.0]))? {
                    let call: CallRecord = unpack(&bytes, "a call")?;
                    self.uncount(&call);
                    space.remove(Table::ByCall, &call_key(call.serial, &call.webhook_id))?;
                    if let Some(until) = space.remove(Table::Replays, &mark)? {
                        let until: Micros = unpack(&until, "a digest")?;
                        space.remove(Table::ReplayAges, &[&key(&[until])[..], &mark].concat())?;
                    }
                }
                Ok(Reply::Done)
            }
            Op::Sent(seq, at) => self.sent(space, seq, Some(at)),
            Op::Unsent(seq) => self.sent(space, seq, None),
            Op::Answer(seq, outcome, messages) => {
                let Some(bytes) = space.remove(Table::Calls, &key(&[seq.0]))? else {
                    return Ok(Reply::Waits(Vec::new()));
                };
                let call: CallRecord = unpack(&bytes, "a call")?;
                self.uncount(&call);
                let name = call_key(call.serial, &call.webhook_id);
                if let Some(bytes) = space.get(Table::ByCall, &name)? {
                    let state = shards::state(&bytes)?;
                    if self.history {
                        let state = CallState {
                            outcome: Some(outcome),
                            ..state
                        };
                        space.put(Table::ByCall, &name, &pack(&state)?)?;
                    } else {
                        space.remove(Table::ByCall, &name)?;
                        space
                            .remove(Table::CallAges, &[&key(&[state.taken])[..], &name].concat())?;
                    }
                }
                self.publish(space, messages)
            }
            Op::Publish(messages) => self.publish(space, messages),
            Op::Begin(seq, recorded, at) => {
                let message = self
                    .message(space, seq)?
                    .filter(|m| m.state == State::Waiting);
                let Some(message) = message.filter(|_| recorded || shards::is_led(space, seq))
                else {
                    return Ok(Reply::Begun(None));
                };
                if recorded {
                    space.put(Table::Begun, &key(&[seq.0]), &pack(&at)?)?;
                }
                let body = space
                    .get(Table::Bodies, &key(&[seq.0]))?
                    .unwrap_or_default();
                Ok(Reply::Begun(Some(Box::new((message, body)))))
            }
            Op::Ended(waiting, state, attempt) => self
                .ended(space, *waiting, state, attempt)
                .map(Reply::Waits),
            Op::Fetch(endpoint, limit) => {
                let (from, to) = (key(&[endpoint.0]), key(&[endpoint.0, u64::MAX, u64::MAX]));
                let mut pairs = space.scan(Table::Waiting, &from, &to, limit + 1, false)?;
                let next = pairs.get(limit).map(|(k, _)| number(k, 1));
                pairs.truncate(limit);
                let all = pairs
                    .iter()
                    .map(|(_, v)| unpack(v, "what waits"))
                    .collect::<Result<_, _>>()?;
                Ok(Reply::Fetched(all, next))
            }
            Op::Purge(endpoint, limit) => self.purge(space, endpoint, limit),
            Op::Again(seq, serial, now, by) => self.again(space, seq, serial, now, by),
            Op::Recover(endpoint, serial, since, now, limit) => {
                let filter = Filter {
                    serial,
                    endpoint: Some(endpoint),
                    since: Some(since),
                    limit,
                    ..Filter::default()
                };
                let mut waits = Vec::new();
                for m in self.list(space, &filter, |m| matches!(m.state, State::Dead(_)))? {
                    if let Reply::Waits(w) = self.again(space, m.waiting.seq, serial, now, None)? {
                        waits.extend(w);
                    }
                }
                Ok(Reply::Waits(waits))
            }
            Op::Messages(filter) => Ok(Reply::Messages(self.list(space, &filter, |_| true)?)),
            Op::Message(seq, serial) => {
                let Some(record) = self.message(space, seq)?.filter(|m| m.serial == serial) else {
                    return Ok(Reply::Message(None));
                };
                let (from, to) = (key(&[seq.0]), key(&[seq.0, u64::MAX]));
                let pairs = space.scan(Table::Attempts, &from, &to, MOST_ATTEMPTS, false)?;
                let attempts = pairs
                    .iter()
                    .map(|(_, v)| unpack(v, "an attempt"))
                    .collect::<Result<_, _>>()?;
                let body = space
                    .get(Table::Bodies, &key(&[seq.0]))?
                    .unwrap_or_default();
                Ok(Reply::Message(Some(Box::new(Shown {
                    record,
                    attempts,
                    body,
                }))))
            }
            Op::Call(serial, id) => {
                let bytes = space.get(Table::ByCall, &call_key(serial, &id))?;
                Ok(Reply::Call(bytes.map(|b| shards::state(&b)).transpose()?))
            }
            Op::Retain(now, age, bytes, limit) => self.retain(space, now, age, bytes, limit),
            Op::Stat => Ok(Reply::Stat(self.head.stat)),
            // Read beside the thread that writes, where there is one.
            Op::Verify => checksums::verify(space).map(Reply::Verified),
            Op::Log(record) => log::keep(space, &record).map(|()| Reply::Done),
            Op::BeginDisk(id, anew) => self.begin_disk(space, id, anew),
            Op::Shard(shard, place, op) => {
                shards::keep(space, shard, place)?;
                self.apply(space, *op)
            }
            Op::ReadShard(shard) => shards::read(space, shard, self.head.forgotten),
            Op::WriteShard(shard, place, bytes) => self.write_shard(space, shard, place, &bytes),
            Op::Accept(shard) => {
                self.unsummed.push(shard);
                shards::accept(space, shard).map(|()| Reply::Done)
            }
            Op::Lead(shard) => shards::lead(space, shard, self.head.forgotten),
            Op::Rest(shard) => shards::rest(space, shard).map(|()| Reply::Done),
            Op::Export(after, limit) => {
                let from = key(&[after.map_or(0, |s| s.0 + 1)]);
                let page = space.scan(Table::Messages, &from, &TOP, limit, false)?;
                let all = page
                    .iter()
                    .map(|(_, v)| unpack(v, "a message"))
                    .collect::<Result<_, _>>()?;
                Ok(Reply::Messages(all))
            }
        }
    }

    /// A number was given; those of shards are counted by whoever leads them.
    fn given(&mut self, seq: Seq) {
        if seq.shard() == 0 {
            self.head.next = self.head.next.max(seq.0);
        }
    }

    fn begin_disk(
        &mut self,
        space: &mut dyn Space,
        id: u64,
        anew: bool,
    ) -> Result<Reply, StoreError> {
        let known = space
            .get(Table::Meta, b"disk")?
            .map(|b| unpack::<(u64, u64)>(&b, "a disk"))
            .transpose()?;
        let (id, boot) = known
            .filter(|_| !anew)
            .map_or((id, 1), |(id, boot)| (id, boot + 1));
        space.put(Table::Meta, b"disk", &pack(&(id, boot))?)?;
        let mut places = shards::places(space)?;
        if anew || self.head.format < FORMAT {
            self.unsummed.extend(places.iter().map(|(shard, _)| *shard));
        }
        self.head.format = FORMAT;
        if anew {
            for (shard, _) in places.drain(..) {
                self.write_shard(
                    space,
                    shard,
                    Default::default(),
                    &pack(&shards::Content::default())?,
                )?;
                space.remove(Table::Shards, &key(&[u64::from(shard)]))?;
            }
        }
        Ok(Reply::Disk(id, boot, places))
    }

    fn write_shard(
        &mut self,
        space: &mut dyn Space,
        shard: ShardId,
        place: LogPosition,
        bytes: &[u8],
    ) -> Result<Reply, StoreError> {
        let (gone, came) = shards::write(space, shard, place, bytes)?;
        let stat = &mut self.head.stat;
        for (now, out, into) in [
            (&mut stat.calls, gone.calls, came.calls),
            (&mut stat.messages, gone.messages, came.messages),
            (&mut stat.waiting, gone.waiting, came.waiting),
            (&mut stat.bytes, gone.bytes, came.bytes),
        ] {
            *now = now.saturating_sub(out) + into;
        }
        Ok(Reply::Done)
    }

    fn uncount(&mut self, call: &CallRecord) {
        self.head.stat.calls = self.head.stat.calls.saturating_sub(1);
        self.head.stat.bytes = self.head.stat.bytes.saturating_sub(call.body.len() as u64);
    }

    fn sent(
        &mut self,
        space: &mut dyn Space,
        seq: Seq,
        at: Option<Micros>,
    ) -> Result<Reply, StoreError> {
        if let Some(mut call) = self.call(space, seq)? {
            call.sent = at.map(|at| call.sent.unwrap_or(at));
            space.put(Table::Calls, &key(&[seq.0]), &pack(&call)?)?;
        }
        Ok(Reply::Done)
    }

    fn publish(
        &mut self,
        space: &mut dyn Space,
        messages: Vec<(MessageRecord, Vec<u8>)>,
    ) -> Result<Reply, StoreError> {
        let mut waits = Vec::new();
        for (mut m, body) in messages {
            let (seq, w) = (m.waiting.seq, m.waiting);
            self.given(seq);
            if let Some(order) = m.order {
                let head = key(&[w.endpoint.0, order]);
                if space.get(Table::Heads, &head)?.is_some() {
                    m.state = State::Behind;
                    space.put(Table::Behind, &key(&[w.endpoint.0, order, seq.0]), &[])?;
                } else {
                    space.put(Table::Heads, &head, &key(&[seq.0]))?;
                }
            }
            if m.state == State::Waiting && shards::is_led(space, seq) {
                space.put(Table::Waiting, &waiting_key(&w), &pack(&w)?)?;
                waits.push(w);
            }
            self.head.stat.messages += 1;
            self.head.stat.waiting += 1;
            self.head.stat.bytes += body.len() as u64;
            space.put(Table::Bodies, &key(&[seq.0]), &body)?;
            space.put(Table::ByTenant, &key(&[m.serial, seq.0]), &[])?;
            space.put(Table::Messages, &key(&[seq.0]), &pack(&m)?)?;
        }
        Ok(Reply::Waits(waits))
    }

    /// Where a message stands now; returns who may go in its place, if its order key has others.
    fn ended(
        &mut self,
        space: &mut dyn Space,
        waiting: Waiting,
        state: State,
        attempt: Option<AttemptRecord>,
    ) -> Result<Vec<Waiting>, StoreError> {
        let seq = waiting.seq;
        space.remove(Table::Begun, &key(&[seq.0]))?;
        // It may have been let go, or be over by another way, such as its endpoint's removal.
        let Some(mut m) = self.message(space, seq)? else {
            return Ok(Vec::new());
        };
        if m.state.is_over() && state != State::Delivered {
            return Ok(Vec::new());
        }
        let was_over = m.state.is_over();
        space.remove(Table::Waiting, &waiting_key(&m.waiting))?;
        if let Some(attempt) = attempt {
            let (from, to) = (key(&[seq.0]), key(&[seq.0, u64::MAX]));
            let last = space.scan(Table::Attempts, &from, &to, 1, true)?.pop();
            let n = last.map_or(0, |(k, _)| number(&k, 1) + 1);
            if let Some(oldest) = n.checked_sub(MOST_ATTEMPTS as u64) {
                space.remove(Table::Attempts, &key(&[seq.0, oldest]))?;
            }
            space.put(Table::Attempts, &key(&[seq.0, n]), &pack(&attempt)?)?;
        }
        (m.waiting, m.state) = (waiting, state);
        space.put(Table::Messages, &key(&[seq.0]), &pack(&m)?)?;
        if state == State::Waiting {
            if shards::is_led(space, seq) {
                space.put(Table::Waiting, &waiting_key(&waiting), &pack(&waiting)?)?;
            }
            return Ok(Vec::new());
        }
        if !was_over {
            self.head.stat.waiting = self.head.stat.waiting.saturating_sub(1);
        }
        let next = self.next_in_order(space, &m)?;
        if !self.history {
            self.delete(space, seq, &m)?;
        }
        Ok(next)
    }

    /// The next of a message's order key comes to wait.
    fn next_in_order(
        &mut self,
        space: &mut dyn Space,
        m: &MessageRecord,
    ) -> Result<Vec<Waiting>, StoreError> {
        let Some(order) = m.order else {
            return Ok(Vec::new());
        };
        let head = key(&[m.waiting.endpoint.0, order]);
        if space.get(Table::Heads, &head)?.map(|s| number(&s, 0)) != Some(m.waiting.seq.0) {
            space.remove(
                Table::Behind,
                &key(&[m.waiting.endpoint.0, order, m.waiting.seq.0]),
            )?;
            return Ok(Vec::new());
        }
        let to = key(&[m.waiting.endpoint.0, order, u64::MAX]);
        while let Some((k, _)) = space.scan(Table::Behind, &head, &to, 1, false)?.pop() {
            space.remove(Table::Behind, &k)?;
            let seq = Seq(number(&k, 2));
            let Some(mut next) = self
                .message(space, seq)?
                .filter(|n| n.state == State::Behind)
            else {
                continue;
            };
            next.state = State::Waiting;
            space.put(Table::Heads, &head, &key(&[seq.0]))?;
            if shards::is_led(space, seq) {
                space.put(
                    Table::Waiting,
                    &waiting_key(&next.waiting),
                    &pack(&next.waiting)?,
                )?;
            }
            space.put(Table::Messages, &key(&[seq.0]), &pack(&next)?)?;
            return Ok(vec![next.waiting]);
        }
        space.remove(Table::Heads, &head)?;
        Ok(Vec::new())
    }

    fn purge(
        &mut self,
        space: &mut dyn Space,
        endpoint: EndpointId,
        limit: usize,
    ) -> Result<Reply, StoreError> {
        let (from, to) = (key(&[endpoint.0]), key(&[endpoint.0, u64::MAX, u64::MAX]));
        let pairs = space.scan(Table::Waiting, &from, &to, limit, false)?;
        for (k, v) in &pairs {
            let w: Waiting = unpack(v, "what waits")?;
            if space.get(Table::Begun, &key(&[w.seq.0]))?.is_some() {
                // It is out; its end is kept when it comes, and a kill settles it. It does not wait any more.
                space.remove(Table::Waiting, k)?;
                continue;
            }
            // Those that come forward in its place are of the same endpoint.
            let mut over = vec![w];
            while let Some(w) = over.pop() {
                over.extend(self.ended(space, w, State::Dead(Dead::Gone), None)?);
            }
        }
        Ok(Reply::More(pairs.len() == limit))
    }

    fn again(
        &mut self,
        space: &mut dyn Space,
        seq: Seq,
        serial: u64,
        now: Micros,
        by: Option<String>,
    ) -> Result<Reply, StoreError> {
        let Some(mut m) = self.message(space, seq)?.filter(|m| m.serial == serial) else {
            return Ok(Reply::NotAgain("no such message"));
        };
        if !m.state.is_over() {
            return Ok(Reply::NotAgain("it still waits"));
        }
        let arrived = m.state == State::Delivered || m.waiting.ran.is_some();
        if m.waiting.effect != Effect::Idempotent && arrived {
            if by.is_none() {
                return Ok(Reply::NotAgain(
                    "it may have arrived, and its class forbids to send it twice",
                ));
            }
            m.acknowledged = by;
            m.waiting.ran = None;
        }
        (m.waiting.tries, m.waiting.due, m.state, m.order) = (0, now, State::Waiting, None);
        self.head.stat.waiting += 1;
        space.put(Table::Waiting, &waiting_key(&m.waiting), &pack(&m.waiting)?)?;
        space.put(Table::Messages, &key(&[seq.0]), &pack(&m)?)?;
        Ok(Reply::Waits(vec![m.waiting]))
    }

    fn list(
        &self,
        space: &dyn Space,
        f: &Filter,
        also: impl Fn(&MessageRecord) -> bool,
    ) -> Result<Vec<MessageRecord>, StoreError> {
        let from = key(&[f.serial]);
        let mut to = key(&[f.serial, f.before.map_or(u64::MAX, |s| s.0)]);
        let mut found = Vec::new();
        while found.len() < f.limit {
            let page = space.scan(Table::ByTenant, &from, &to, 64, true)?;
            let Some((last, _)) = page.last() else { break };
            to = last.clone();
            for (k, _) in &page {
                let Some(m) = self.message(space, Seq(number(k, 1)))? else {
                    continue;
                };
                if f.since.is_some_and(|t| m.created < t) {
                    return Ok(found);
                }
                let fits = f.state.as_ref().is_none_or(|s| m.state.name() == s)
                    && f.kind.as_ref().is_none_or(|k| m.kind == *k)
                    && f.endpoint.is_none_or(|e| m.waiting.endpoint == e)
                    && also(&m);
                if fits && found.len() < f.limit {
                    found.push(m);
                }
            }
        }
        Ok(found)
    }

    fn delete(
        &mut self,
        space: &mut dyn Space,
        seq: Seq,
        m: &MessageRecord,
    ) -> Result<(), StoreError> {
        let body = space
            .remove(Table::Bodies, &key(&[seq.0]))?
            .map_or(0, |b| b.len() as u64);
        space.remove(Table::Messages, &key(&[seq.0]))?;
        space.remove(Table::ByTenant, &key(&[m.serial, seq.0]))?;
        for (k, _) in space.scan(
            Table::Attempts,
            &key(&[seq.0]),
            &key(&[seq.0, u64::MAX]),
            usize::MAX,
            false,
        )? {
            space.remove(Table::Attempts, &k)?;
        }
        self.head.stat.messages = self.head.stat.messages.saturating_sub(1);
        self.head.stat.bytes = self.head.stat.bytes.saturating_sub(body);
        Ok(())
    }

    /// Lets go of what is old, and of what is over while there are too many bytes. What waits is never let go of
    /// for its size; past the age it ends as expired.
    fn retain(
        &mut self,
        space: &mut dyn Space,
        now: Micros,
        age: Micros,
        bytes: u64,
        limit: usize,
    ) -> Result<Reply, StoreError> {
        let page = space.scan(Table::Messages, &key(&[self.cursor]), &TOP, limit, false)?;
        let whole = page.len() < limit;
        self.cursor = if whole {
            0
        } else {
            page.last().map_or(0, |(k, _)| number(k, 0) + 1)
        };
        let (mut expired, mut forward) = (Vec::new(), Vec::new());
        for (k, _) in page {
            let seq = Seq(number(&k, 0));
            // As it stands now: the one before it in the page may have brought it forward.
            let Some(m) = self.message(space, seq)? else {
                continue;
            };
            let old = m.created.saturating_add(age) < now;
            let out = space.get(Table::Begun, &k)?.is_some() || !shards::is_led(space, seq);
            if m.state.is_over() && (old || self.head.stat.bytes > bytes) {
                self.delete(space, seq, &m)?;
            } else if old && !m.state.is_over() && !out {
                forward.extend(self.ended(space, m.waiting, State::Dead(Dead::Expired), None)?);
                expired.push(seq);
            }
        }
        let calls: Vec<Pair> = space.scan(
            Table::CallAges,
            &[],
            &key(&[now.saturating_sub(age)]),
            limit,
            false,
        )?;
        for (k, _) in &calls {
            space.remove(Table::CallAges, k)?;
            space.remove(Table::ByCall, &k[8..])?;
        }
        let marks = space.scan(Table::ReplayAges, &[], &key(&[now]), limit, false)?;
        for (k, _) in &marks {
            self.head.forgotten = self.head.forgotten.max(number(k, 0));
            space.remove(Table::ReplayAges, k)?;
            space.remove(Table::Replays, &k[8..])?;
        }
        forward.retain(|w| !expired.contains(&w.seq));
        Ok(Reply::Retained(
            expired,
            forward,
            !whole || calls.len() == limit || marks.len() == limit,
        ))
    }
}
