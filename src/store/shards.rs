//! Shards in the tables: what a disk holds for others, by the shard in a call's or message's number.
//!
//! A disk that is a copy keeps all of a shard but the rows by which deliveries are found: those are made when the shard comes
//! to be led here. Identities seen and the states of calls have no number; they go by the call's own digest.

use serde::{Deserialize, Serialize};

use super::records::*;
use super::space::{Pair, Space, Table};
use super::tables::{key, number, pack, unpack, waiting_key, TOP};
use crate::api::Micros;
use crate::delivery::verdict::State;
use crate::delivery::Seq;
use crate::replication::{Place, ShardId};

/// What is kept of a shard itself.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Head {
    place: Place,
    led: bool,
}

/// A shard's content, as it is sent to a copy.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Content {
    place: Place,
    /// Rows of tables whose keys begin with a number: which table, key and value.
    rows: Vec<(u8, Vec<u8>, Vec<u8>)>,
    marks: Vec<(Mark, Micros)>,
    states: Vec<(Vec<u8>, CallState)>,
}

/// Tables whose keys begin with a call's or message's number.
const BY_NUMBER: [Table; 5] = [Table::Calls, Table::Messages, Table::Bodies, Table::Begun, Table::Attempts];

fn head(space: &dyn Space, shard: ShardId) -> Result<Head, StoreError> {
    let bytes = space.get(Table::Shards, &key(&[u64::from(shard)]))?;
    bytes.map_or(Ok(Head::default()), |b| unpack(&b, "a shard"))
}

fn put(space: &mut dyn Space, shard: ShardId, head: &Head) -> Result<(), StoreError> {
    space.put(Table::Shards, &key(&[u64::from(shard)]), &pack(head)?)
}

/// Whether deliveries of a number are found here: it is this gateway's alone, or its shard is led here.
pub(super) fn is_led(space: &dyn Space, seq: Seq) -> bool {
    seq.shard() == 0 || head(space, seq.shard()).is_ok_and(|h| h.led)
}

/// A record of a shard leads to a place.
pub(super) fn keep(space: &mut dyn Space, shard: ShardId, place: Place) -> Result<(), StoreError> {
    let led = head(space, shard)?.led;
    put(space, shard, &Head { place, led })
}

/// All shards on the disk, and how far they have come.
pub(super) fn places(space: &dyn Space) -> Result<Vec<(ShardId, Place)>, StoreError> {
    let rows = space.scan(Table::Shards, &[], &TOP, usize::MAX, false)?;
    // Keys are written from numbers of shards.
    rows.iter().map(|(k, v)| Ok((number(k, 0) as ShardId, unpack::<Head>(v, "a shard")?.place))).collect()
}

/// A process begins: it leads nothing.
pub(super) fn rest_all(space: &mut dyn Space) -> Result<(), StoreError> {
    for (shard, _) in places(space)? {
        rest(space, shard)?;
    }
    Ok(())
}

fn range(shard: ShardId) -> (Vec<u8>, Vec<u8>) {
    (key(&[Seq::of_shard(shard, 0, 0).0]), key(&[Seq::of_shard(shard + 1, 0, 0).0]))
}

fn of(space: &dyn Space, table: Table, shard: ShardId) -> Result<Vec<Pair>, StoreError> {
    let (from, to) = range(shard);
    space.scan(table, &from, &to, usize::MAX, false)
}

fn waiting(space: &dyn Space, shard: ShardId) -> Result<Vec<MessageRecord>, StoreError> {
    let all: Result<Vec<MessageRecord>, _> =
        of(space, Table::Messages, shard)?.iter().map(|(_, v)| unpack(v, "a message")).collect();
    Ok(all?.into_iter().filter(|m| m.state == State::Waiting).collect())
}

/// Nothing of a shard waits here any more.
pub(super) fn rest(space: &mut dyn Space, shard: ShardId) -> Result<(), StoreError> {
    let h = head(space, shard)?;
    if !h.led {
        return Ok(());
    }
    for m in waiting(space, shard)? {
        space.remove(Table::Waiting, &waiting_key(&m.waiting))?;
    }
    put(space, shard, &Head { led: false, ..h })
}

/// A shard is led here: what stands of it.
pub(super) fn lead(space: &mut dyn Space, shard: ShardId) -> Result<Reply, StoreError> {
    let mut stands = Stands::default();
    for m in waiting(space, shard)? {
        space.put(Table::Waiting, &waiting_key(&m.waiting), &pack(&m.waiting)?)?;
        match space.get(Table::Begun, &key(&[m.waiting.seq.0]))? {
            Some(at) => stands.begun.push((m.waiting, unpack(&at, "an attempt's beginning")?)),
            None => stands.waits.push(m.waiting),
        }
    }
    for (_, v) in of(space, Table::Calls, shard)? {
        stands.calls.push(unpack(&v, "a call")?);
    }
    stands.marks = marks(space, shard)?;
    let h = head(space, shard)?;
    put(space, shard, &Head { led: true, ..h })?;
    Ok(Reply::Stands(Box::new(stands)))
}

/// A mark's shard is written with it.
fn marks(space: &dyn Space, shard: ShardId) -> Result<Vec<(Mark, Micros)>, StoreError> {
    let mut found = Vec::new();
    for (k, v) in space.scan(Table::Replays, &[], &TOP, usize::MAX, false)? {
        let mark: Mark = k.try_into().map_err(|_| StoreError::Damaged("a digest"))?;
        let (until, of) = until_and_shard(&v)?;
        if of == shard {
            found.push((mark, until));
        }
    }
    Ok(found)
}

/// All that the disk holds of a shard.
pub(super) fn read(space: &dyn Space, shard: ShardId) -> Result<Reply, StoreError> {
    let mut content = Content { place: head(space, shard)?.place, ..Content::default() };
    for (n, table) in BY_NUMBER.into_iter().enumerate() {
        // Five tables.
        let n = n as u8;
        content.rows.extend(of(space, table, shard)?.into_iter().map(|(k, v)| (n, k, v)));
    }
    content.marks = marks(space, shard)?;
    for (k, v) in space.scan(Table::ByCall, &[], &TOP, usize::MAX, false)? {
        let state = state(&v)?;
        if state.shard == shard {
            content.states.push((k, state));
        }
    }
    Ok(Reply::Shard(content.place, pack(&content)?))
}

/// What another disk holds takes the place of what this one does; the figures of both.
pub(super) fn write(
    space: &mut dyn Space,
    shard: ShardId,
    place: Place,
    bytes: &[u8],
) -> Result<(Stat, Stat), StoreError> {
    let content: Content = unpack(bytes, "a shard's content")?;
    rest(space, shard)?;
    let gone = figures(space, shard)?;
    for m in of(space, Table::Messages, shard)? {
        let m: MessageRecord = unpack(&m.1, "a message")?;
        space.remove(Table::ByTenant, &key(&[m.serial, m.waiting.seq.0]))?;
        if let Some(order) = m.order {
            let (e, seq) = (m.waiting.endpoint.0, m.waiting.seq.0);
            space.remove(Table::Heads, &key(&[e, order]))?;
            space.remove(Table::Behind, &key(&[e, order, seq]))?;
        }
    }
    for table in BY_NUMBER {
        for (k, _) in of(space, table, shard)? {
            space.remove(table, &k)?;
        }
    }
    for (mark, until) in marks(space, shard)? {
        space.remove(Table::Replays, &mark)?;
        space.remove(Table::ReplayAges, &[&key(&[until])[..], &mark].concat())?;
    }
    for (k, v) in space.scan(Table::ByCall, &[], &TOP, usize::MAX, false)? {
        let state = state(&v)?;
        if state.shard == shard {
            space.remove(Table::ByCall, &k)?;
            space.remove(Table::CallAges, &[&key(&[state.taken])[..], &k].concat())?;
        }
    }
    for (n, k, v) in &content.rows {
        let table = BY_NUMBER.get(usize::from(*n)).copied().ok_or(StoreError::Damaged("a shard's table"))?;
        if Seq(number(k, 0)).shard() != shard {
            return Err(StoreError::Damaged("a row of another shard"));
        }
        space.put(table, k, v)?;
        if table == Table::Messages {
            let m: MessageRecord = unpack(v, "a message")?;
            let (e, seq) = (m.waiting.endpoint.0, m.waiting.seq.0);
            space.put(Table::ByTenant, &key(&[m.serial, seq]), &[])?;
            match (m.order, m.state) {
                (Some(order), State::Behind) => space.put(Table::Behind, &key(&[e, order, seq]), &[])?,
                (Some(order), State::Waiting) => space.put(Table::Heads, &key(&[e, order]), &key(&[seq]))?,
                _ => {}
            }
        }
    }
    for (mark, until) in &content.marks {
        space.put(Table::Replays, mark, &pack(&(*until, shard))?)?;
        space.put(Table::ReplayAges, &[&key(&[*until])[..], mark].concat(), &[])?;
    }
    for (k, state) in &content.states {
        space.put(Table::ByCall, k, &pack(state)?)?;
        space.put(Table::CallAges, &[&key(&[state.taken])[..], k].concat(), &[])?;
    }
    put(space, shard, &Head { place, led: false })?;
    Ok((gone, figures(space, shard)?))
}

fn figures(space: &dyn Space, shard: ShardId) -> Result<Stat, StoreError> {
    let mut stat = Stat { calls: of(space, Table::Calls, shard)?.len() as u64, ..Stat::default() };
    for (_, v) in of(space, Table::Messages, shard)? {
        let m: MessageRecord = unpack(&v, "a message")?;
        stat.messages += 1;
        stat.waiting += u64::from(!m.state.is_over());
    }
    stat.bytes = of(space, Table::Bodies, shard)?.iter().map(|(_, v)| v.len() as u64).sum();
    for (_, v) in of(space, Table::Calls, shard)? {
        stat.bytes += unpack::<CallRecord>(&v, "a call")?.body.len() as u64;
    }
    Ok(stat)
}

/// A call's state, also as earlier versions wrote it.
pub(super) fn state(bytes: &[u8]) -> Result<CallState, StoreError> {
    unpack(bytes, "a call's state").or_else(|e| {
        let (taken, outcome) = unpack(bytes, "a call's state").map_err(|_: StoreError| e)?;
        Ok(CallState { taken, outcome, shard: 0 })
    })
}

/// Until when an identity counts, and its shard; earlier versions wrote none.
fn until_and_shard(bytes: &[u8]) -> Result<(Micros, ShardId), StoreError> {
    unpack(bytes, "a digest").or_else(|_: StoreError| Ok((unpack(bytes, "a digest")?, 0)))
}
