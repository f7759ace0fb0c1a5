//! Shards in the tables: what a disk holds for others, by the shard in a call's or message's number.
//!
//! A disk that is a copy keeps all of a shard but the rows by which deliveries are found: those are made when the shard comes
//! to be led here. Identities seen and the states of calls have no number; they go by the call's own digest.

use serde::{Deserialize, Serialize};

use super::checksums::Count;
use super::keyspace::{KeyValue, Keyspace, Table};
use super::records::*;
use super::tables::{key, number, pack, unpack, waiting_key, TOP};
use crate::api::Micros;
use crate::delivery::response::State;
use crate::delivery::Seq;
use crate::replication::{LogPosition, ShardId};

/// What is kept of a shard itself.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Head {
    place: LogPosition,
    led: bool,
    /// Identities that counted until then may have been forgotten, here or by a disk that this content came from.
    forgotten: Micros,
}

/// A shard's content, as it is sent to a copy.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Content {
    place: LogPosition,
    /// Rows of tables whose keys begin with a number: which table, key and value.
    rows: Vec<(u8, Vec<u8>, Vec<u8>)>,
    marks: Vec<(IdentityDigest, Micros)>,
    states: Vec<(Vec<u8>, CallState)>,
    forgotten: Micros,
}

/// Tables whose keys begin with a call's or message's number.
pub(super) const BY_NUMBER: [Table; 5] = [
    Table::Calls,
    Table::Messages,
    Table::Bodies,
    Table::Begun,
    Table::Attempts,
];

fn head(space: &dyn Keyspace, shard: ShardId) -> Result<Head, StoreError> {
    let bytes = space.get(Table::Shards, &key(&[u64::from(shard)]))?;
    bytes.map_or(Ok(Head::default()), |b| read_head(&b))
}

/// A shard's head, also as earlier versions wrote it.
fn read_head(bytes: &[u8]) -> Result<Head, StoreError> {
    unpack(bytes, "a shard").or_else(|e| {
        let (place, led) = unpack(bytes, "a shard").map_err(|_: StoreError| e)?;
        Ok(Head {
            place,
            led,
            forgotten: 0,
        })
    })
}

fn put(space: &mut dyn Keyspace, shard: ShardId, head: &Head) -> Result<(), StoreError> {
    space
        .put(Table::Shards, &key(&[u64::from(shard)]), &pack(head)?)
        .map(drop)
}

/// Whether deliveries of a number are found here: it is this gateway's alone, or its shard is led here.
pub(super) fn is_led(space: &dyn Keyspace, seq: Seq) -> bool {
    seq.shard() == 0 || head(space, seq.shard()).is_ok_and(|h| h.led)
}

/// A record of a shard leads to a place.
pub(super) fn keep(
    space: &mut dyn Keyspace,
    shard: ShardId,
    place: LogPosition,
) -> Result<(), StoreError> {
    let head = head(space, shard)?;
    put(space, shard, &Head { place, ..head })
}

/// All shards on the disk, and how far they have come.
pub(super) fn places(space: &dyn Keyspace) -> Result<Vec<(ShardId, LogPosition)>, StoreError> {
    let rows = space.scan(Table::Shards, &[], &TOP, usize::MAX, false)?;
    // Keys are written from numbers of shards.
    rows.iter()
        .map(|(k, v)| Ok((number(k, 0) as ShardId, read_head(v)?.place)))
        .collect()
}

/// A process begins: it leads nothing.
pub(super) fn rest_all(space: &mut dyn Keyspace) -> Result<(), StoreError> {
    for (shard, _) in places(space)? {
        rest(space, shard)?;
    }
    Ok(())
}

fn range(shard: ShardId) -> (Vec<u8>, Vec<u8>) {
    (
        key(&[Seq::of_shard(shard, 0, 0).0]),
        key(&[Seq::of_shard(shard + 1, 0, 0).0]),
    )
}

fn of(space: &dyn Keyspace, table: Table, shard: ShardId) -> Result<Vec<KeyValue>, StoreError> {
    let (from, to) = range(shard);
    space.scan(table, &from, &to, usize::MAX, false)
}

fn waiting(space: &dyn Keyspace, shard: ShardId) -> Result<Vec<MessageRecord>, StoreError> {
    let all: Result<Vec<MessageRecord>, _> = of(space, Table::Messages, shard)?
        .iter()
        .map(|(_, v)| unpack(v, "a message"))
        .collect();
    Ok(all?
        .into_iter()
        .filter(|m| m.state == State::Waiting)
        .collect())
}

/// Nothing of a shard waits here any more.
pub(super) fn rest(space: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    let h = head(space, shard)?;
    if !h.led {
        return Ok(());
    }
    sweep(space, Table::Waiting, |k, _| {
        Seq(number(k, 2)).shard() == shard
    })?;
    put(space, shard, &Head { led: false, ..h })
}

/// Removes the rows of a table that are meant; without a look into what may be damaged.
fn sweep(
    space: &mut dyn Keyspace,
    table: Table,
    meant: impl Fn(&[u8], &[u8]) -> bool,
) -> Result<Vec<KeyValue>, StoreError> {
    let mut gone = space.scan(table, &[], &TOP, usize::MAX, false)?;
    gone.retain(|(k, v)| meant(k, v));
    for (k, _) in &gone {
        space.remove(table, k)?;
    }
    Ok(gone)
}

/// Removes rows by identity, with what tells their age. One that cannot be read is nobody's, and goes with any shard.
fn sweep_aged(
    space: &mut dyn Keyspace,
    (table, ages): (Table, Table),
    shard: ShardId,
    shard_of: impl Fn(&[u8]) -> Result<ShardId, StoreError>,
) -> Result<(), StoreError> {
    let gone = sweep(space, table, |_, v| {
        shard_of(v).map_or(true, |of| of == shard)
    })?;
    let gone: std::collections::BTreeSet<Vec<u8>> = gone.into_iter().map(|(k, _)| k).collect();
    sweep(space, ages, |k, _| {
        k.get(8..).is_some_and(|of| gone.contains(of))
    })?;
    Ok(())
}

/// What is left of a shard counts as it stands; rows that cannot be read go.
pub(super) fn accept(space: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    let good = |table: Table, v: &[u8]| match table {
        Table::Calls => unpack::<CallRecord>(v, "a call").is_ok(),
        Table::Messages => unpack::<MessageRecord>(v, "a message").is_ok(),
        Table::Begun => unpack::<Micros>(v, "an attempt's beginning").is_ok(),
        Table::Attempts => unpack::<AttemptRecord>(v, "an attempt").is_ok(),
        _ => true,
    };
    for table in BY_NUMBER {
        for (k, v) in of(space, table, shard)? {
            if !good(table, &v) {
                space.remove(table, &k)?;
            }
        }
    }
    // Of those by identity only what is nobody's.
    let nobody = ShardId::MAX;
    sweep_aged(
        space,
        (Table::Replays, Table::ReplayAges),
        nobody,
        shard_of_mark,
    )?;
    sweep_aged(space, (Table::ByCall, Table::CallAges), nobody, |v| {
        Ok(state(v)?.shard)
    })
}

/// All of a shard goes, damaged or not.
fn let_go(space: &mut dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    rest(space, shard)?;
    for (table, part) in [(Table::ByTenant, 1), (Table::Behind, 2)] {
        sweep(space, table, |k, _| Seq(number(k, part)).shard() == shard)?;
    }
    sweep(space, Table::Heads, |_, v| {
        Seq(number(v, 0)).shard() == shard
    })?;
    for table in BY_NUMBER {
        for (k, _) in of(space, table, shard)? {
            space.remove(table, &k)?;
        }
    }
    sweep_aged(
        space,
        (Table::Replays, Table::ReplayAges),
        shard,
        shard_of_mark,
    )?;
    sweep_aged(space, (Table::ByCall, Table::CallAges), shard, |v| {
        Ok(state(v)?.shard)
    })
}

/// A shard is led here: what stands of it.
pub(super) fn lead(
    space: &mut dyn Keyspace,
    shard: ShardId,
    identities_expired_until: Micros,
) -> Result<Reply, StoreError> {
    // Not on what is damaged: whoever has it whole is to lead.
    sound(space, shard)?;
    let mut stands = ShardState::default();
    for m in waiting(space, shard)? {
        space.put(Table::Waiting, &waiting_key(&m.waiting), &pack(&m.waiting)?)?;
        match space.get(Table::Begun, &key(&[m.waiting.seq.0]))? {
            Some(at) => stands
                .in_flight
                .push((m.waiting, unpack(&at, "an attempt's beginning")?)),
            None => stands.waiting.push(m.waiting),
        }
    }
    for (_, v) in of(space, Table::Calls, shard)? {
        stands.calls.push(unpack(&v, "a call")?);
    }
    stands.identities = marks(space, shard)?;
    let h = head(space, shard)?;
    stands.identities_expired_until = h.forgotten.max(identities_expired_until);
    put(space, shard, &Head { led: true, ..h })?;
    Ok(Reply::PrimaryState(Box::new(stands)))
}

/// A mark's shard is written with it.
fn marks(
    space: &dyn Keyspace,
    shard: ShardId,
) -> Result<Vec<(IdentityDigest, Micros)>, StoreError> {
    let mut found = Vec::new();
    for (k, v) in space.scan(Table::Replays, &[], &TOP, usize::MAX, false)? {
        let mark: IdentityDigest = k
            .try_into()
            .map_err(|_| StoreError::Unreadable("a digest"))?;
        let (until, of) = until_and_shard(&v)?;
        if of == shard {
            found.push((mark, until));
        }
    }
    Ok(found)
}

/// Whether what the disk holds of a shard is what was written.
fn sound(space: &dyn Keyspace, shard: ShardId) -> Result<(), StoreError> {
    let mut count = Count::default();
    for table in BY_NUMBER {
        of(space, table, shard)?
            .iter()
            .for_each(|(k, v)| count.row(table, k, v));
    }
    for table in [Table::Replays, Table::ByCall] {
        space
            .scan(table, &[], &TOP, usize::MAX, false)?
            .iter()
            .for_each(|(k, v)| count.row(table, k, v));
    }
    match count.unlike(space, shard)? {
        unlike if unlike.is_empty() => Ok(()),
        unlike => Err(StoreError::ChecksumMismatch(shard, unlike)),
    }
}

/// All that the disk holds of a shard, if it is what was written: nothing damaged is handed on.
pub(super) fn read(
    space: &dyn Keyspace,
    shard: ShardId,
    forgotten: Micros,
) -> Result<Reply, StoreError> {
    sound(space, shard)?;
    let h = head(space, shard)?;
    let forgotten = h.forgotten.max(forgotten);
    let mut content = Content {
        place: h.place,
        forgotten,
        ..Content::default()
    };
    for (n, table) in BY_NUMBER.into_iter().enumerate() {
        // Five tables.
        let n = n as u8;
        content
            .rows
            .extend(of(space, table, shard)?.into_iter().map(|(k, v)| (n, k, v)));
    }
    content.marks = marks(space, shard)?;
    for (k, v) in space.scan(Table::ByCall, &[], &TOP, usize::MAX, false)? {
        let state = state(&v)?;
        if state.shard == shard {
            content.states.push((k, state));
        }
    }
    Ok(Reply::ShardContent(content.place, pack(&content)?))
}

/// What another disk holds takes the place of what this one does; the figures of both.
pub(super) fn write(
    space: &mut dyn Keyspace,
    shard: ShardId,
    place: LogPosition,
    bytes: &[u8],
) -> Result<(StoreStats, StoreStats), StoreError> {
    let content: Content = unpack(bytes, "a shard's content")?;
    let gone = figures(space, shard)?;
    let_go(space, shard)?;
    for (n, k, v) in &content.rows {
        let table = BY_NUMBER
            .get(usize::from(*n))
            .copied()
            .ok_or(StoreError::Unreadable("a shard's table"))?;
        if Seq(number(k, 0)).shard() != shard {
            return Err(StoreError::Unreadable("a row of another shard"));
        }
        space.put(table, k, v)?;
        if table == Table::Messages {
            let m: MessageRecord = unpack(v, "a message")?;
            let (e, seq) = (m.waiting.endpoint.0, m.waiting.seq.0);
            space.put(Table::ByTenant, &key(&[m.serial, seq]), &[])?;
            match (m.order, m.state) {
                (Some(order), State::Behind) => {
                    space.put(Table::Behind, &key(&[e, order, seq]), &[])?;
                }
                (Some(order), State::Waiting) => {
                    space.put(Table::Heads, &key(&[e, order]), &key(&[seq]))?;
                }
                _ => {}
            }
        }
    }
    for (mark, until) in &content.marks {
        space.put(Table::Replays, mark, &pack(&(*until, shard))?)?;
        space.put(
            Table::ReplayAges,
            &[&key(&[*until])[..], mark].concat(),
            &[],
        )?;
    }
    for (k, state) in &content.states {
        space.put(Table::ByCall, k, &pack(state)?)?;
        space.put(
            Table::CallAges,
            &[&key(&[state.taken])[..], k].concat(),
            &[],
        )?;
    }
    let forgotten = head(space, shard)?.forgotten.max(content.forgotten);
    put(
        space,
        shard,
        &Head {
            place,
            led: false,
            forgotten,
        },
    )?;
    Ok((gone, figures(space, shard)?))
}

/// Figures of what the disk holds of a shard; what cannot be read is left out.
fn figures(space: &dyn Keyspace, shard: ShardId) -> Result<StoreStats, StoreError> {
    let calls = of(space, Table::Calls, shard)?;
    let mut stat = StoreStats {
        calls: calls.len() as u64,
        ..StoreStats::default()
    };
    for (_, v) in of(space, Table::Messages, shard)? {
        stat.messages += 1;
        let waits = unpack(&v, "a message").is_ok_and(|m: MessageRecord| !m.state.is_over());
        stat.waiting += u64::from(waits);
    }
    stat.bytes = of(space, Table::Bodies, shard)?
        .iter()
        .map(|(_, v)| v.len() as u64)
        .sum();
    for (_, v) in calls {
        stat.bytes += unpack::<CallRecord>(&v, "a call").map_or(0, |c| c.body.len() as u64);
    }
    Ok(stat)
}

/// A call's state, also as earlier versions wrote it.
pub(super) fn state(bytes: &[u8]) -> Result<CallState, StoreError> {
    unpack(bytes, "a call's state").or_else(|e| {
        let (taken, outcome) = unpack(bytes, "a call's state").map_err(|_: StoreError| e)?;
        Ok(CallState {
            taken,
            outcome,
            shard: 0,
        })
    })
}

/// The shard of an identity's row.
pub(super) fn shard_of_mark(bytes: &[u8]) -> Result<ShardId, StoreError> {
    until_and_shard(bytes).map(|(_, shard)| shard)
}

/// Until when an identity counts, and its shard; earlier versions wrote none.
fn until_and_shard(bytes: &[u8]) -> Result<(Micros, ShardId), StoreError> {
    unpack(bytes, "a digest").or_else(|_: StoreError| Ok((unpack(bytes, "a digest")?, 0)))
}
