//! Sums: whatever is done to a store they fit what it holds, and whatever changes by itself is found.

use proptest::prelude::*;
use redb::backends::InMemoryBackend;

use super::checksums::{verify, Summed};
use super::disk::Disk;
use super::keyspace::{Keyspace, KeyspaceReader, MemoryKeyspace, Table};
use super::records::*;
use super::shards;
use super::tables::{key, pack, Tables, FORMAT, TOP};
use super::tests::{call, mark, message, BYTES, SECOND};
use crate::api::{Effect, Micros};
use crate::delivery::response::{Dead, State};
use crate::delivery::Seq;
use crate::replication::{LogPosition, ShardId};

fn seq(shard: ShardId, n: u32) -> Seq {
    Seq::of_shard(shard, 1, n)
}

/// A store in memory whose changes are summed as a file's are.
struct Store {
    space: MemoryKeyspace,
    tables: Tables,
    place: LogPosition,
}

impl Store {
    fn new() -> Store {
        let mut space = MemoryKeyspace::default();
        let (tables, _) = Tables::open(&mut space, true, BYTES, 0).unwrap();
        let mut s = Store {
            space,
            tables,
            place: LogPosition::default(),
        };
        s.ask(Op::RegisterDisk(7, false)).unwrap();
        s
    }

    fn ask(&mut self, op: Op) -> Result<Reply, StoreError> {
        let anew = if let Op::InstallShard(shard, ..) = &op {
            Some(*shard)
        } else {
            None
        };
        let mut summed = Summed::new(&mut self.space);
        let reply = self.tables.apply(&mut summed, op);
        anew.into_iter()
            .chain(self.tables.unsummed())
            .for_each(|s| summed.anew(s));
        summed.flush().unwrap();
        self.tables.finish(&mut self.space, 0).unwrap();
        reply
    }

    fn record(&mut self, op: Op) {
        let shard = op.shard().unwrap();
        self.place = self.place.then(b"r");
        self.ask(Op::ApplyToShard(shard, self.place, Box::new(op)))
            .unwrap();
    }

    /// A call is taken, and has its answer; another stays open.
    fn fill(&mut self, shard: ShardId, from: u32) {
        for n in from..from + 6 {
            let c = call(seq(shard, n).0, Effect::NonIdempotent);
            self.record(Op::AcceptCall(c, mark(seq(shard, n).0), 50 * SECOND));
            self.record(Op::MarkSent(seq(shard, n), 3));
            if n % 2 == 0 {
                let (m, body) = message(
                    seq(shard, 100 + n).0,
                    4,
                    Effect::NonIdempotent,
                    (n % 4 == 0).then_some(1),
                );
                self.record(Op::CompleteCall(
                    seq(shard, n),
                    "served".into(),
                    vec![(m, body)],
                ));
                self.record(Op::BeginAttempt(seq(shard, 100 + n), true, 5));
            }
        }
    }

    fn unsound(&self) -> Vec<ShardId> {
        let found = verify(&self.space).unwrap();
        found
            .into_iter()
            .filter(|(_, ranges)| !ranges.is_empty())
            .map(|(s, _)| s)
            .collect()
    }

    /// Rows of shards' tables, for the test to change.
    fn rows(&self) -> Vec<(Table, Vec<u8>, Vec<u8>)> {
        let tables = shards::BY_NUMBER
            .into_iter()
            .chain([Table::Replays, Table::ByCall]);
        tables
            .flat_map(|t| {
                let all = self.space.scan(t, &[], &TOP, usize::MAX, false).unwrap();
                all.into_iter().map(move |(k, v)| (t, k, v))
            })
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Fill(ShardId, u32),
    End(ShardId, u32, bool),
    Retain(Micros),
    Copy(ShardId),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u16..4, 0u32..40).prop_map(|(s, n)| Step::Fill(s, n * 10)),
        3 => (1u16..4, 0u32..200, any::<bool>()).prop_map(|(s, n, d)| Step::End(s, n * 2, d)),
        1 => (0u64..200 * SECOND).prop_map(Step::Retain),
        1 => (1u16..4).prop_map(Step::Copy),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever is done, the sums fit; one byte that changes by itself, or one row that is gone, is found in its shard alone,
    /// and a snapshot from another disk mends it.
    #[test]
    fn what_changes_by_itself_is_found_and_nothing_else(
        steps in prop::collection::vec(step(), 1..12),
        (which, byte, gone) in (any::<usize>(), any::<usize>(), any::<bool>()),
    ) {
        let mut s = Store::new();
        for step in steps {
            match step {
                Step::Fill(shard, n) => s.fill(shard, n),
                Step::End(shard, n, delivered) => {
                    let (m, _) = message(seq(shard, 100 + n).0, 4, Effect::NonIdempotent, None);
                    let state = if delivered { State::Delivered } else { State::Dead(Dead::Exhausted) };
                    s.record(Op::FinishAttempt(Box::new(m.waiting), state, None));
                }
                Step::Retain(now) => drop(s.ask(Op::ApplyRetention(now, 60 * SECOND, u64::MAX, 1000)).unwrap()),
                Step::Copy(shard) => {
                    let Reply::ShardContent(place, bytes) = s.ask(Op::ReadShard(shard)).unwrap() else { unreachable!() };
                    s.ask(Op::InstallShard(shard, place, bytes)).unwrap();
                }
            }
            prop_assert!(s.unsound().is_empty());
        }
        let rows = s.rows();
        prop_assume!(!rows.is_empty());
        let good: Vec<_> = (1..4).map(|shard| s.ask(Op::ReadShard(shard)).unwrap()).collect();
        let (table, k, mut v) = rows[which % rows.len()].clone();
        if gone {
            s.space.remove(table, &k).unwrap();
        } else if v.is_empty() {
            return Ok(());
        } else {
            let at = byte % v.len();
            v[at] ^= 0x55;
            s.space.put(table, &k, &v).unwrap();
        }
        let found = s.unsound();
        prop_assert!(!found.is_empty(), "{table:?}");
        for shard in found {
            let told = s.ask(Op::ReadShard(shard));
            prop_assert!(matches!(told, Err(StoreError::ChecksumMismatch(..))), "a damaged shard was handed on");
            let told = s.ask(Op::BecomePrimary(shard));
            prop_assert!(matches!(told, Err(StoreError::ChecksumMismatch(..))), "a damaged shard is led");
            let Reply::ShardContent(place, bytes) = good[usize::from(shard) - 1].clone() else { unreachable!() };
            s.ask(Op::InstallShard(shard, place, bytes)).unwrap();
        }
        prop_assert!(s.unsound().is_empty());
        prop_assert_eq!(s.rows(), rows);
    }
}

/// The only disk: what can be read counts, and the rest goes.
#[test]
fn what_is_left_of_the_only_disk_counts() {
    let mut s = Store::new();
    s.fill(2, 0);
    let calls = s
        .space
        .scan(Table::Calls, &[], &TOP, usize::MAX, false)
        .unwrap();
    s.space.put(Table::Calls, &calls[0].0, b"\xff").unwrap();
    assert!(matches!(
        s.ask(Op::BecomePrimary(2)),
        Err(StoreError::ChecksumMismatch(2, _))
    ));
    s.ask(Op::AcceptDamage(2)).unwrap();
    assert!(s.unsound().is_empty());
    let Reply::PrimaryState(stands) = s.ask(Op::BecomePrimary(2)).unwrap() else {
        panic!()
    };
    assert_eq!(stands.calls.len(), calls.len() - 1);
}

/// A disk that has forgotten identities tells until when, also to a disk that it is copied to.
#[test]
fn what_may_have_been_forgotten_goes_with_a_shard() {
    let mut s = Store::new();
    s.fill(2, 0);
    s.ask(Op::ApplyRetention(
        70 * SECOND,
        600 * SECOND,
        u64::MAX,
        1000,
    ))
    .unwrap();
    let Reply::ShardContent(place, bytes) = s.ask(Op::ReadShard(2)).unwrap() else {
        panic!()
    };
    // Its clock has not come so far.
    let mut other = Store::new();
    other.ask(Op::InstallShard(2, place, bytes)).unwrap();
    let Reply::PrimaryState(stands) = other.ask(Op::BecomePrimary(2)).unwrap() else {
        panic!()
    };
    assert_eq!(
        (stands.identities.len(), stands.identities_expired_until),
        (0, 50 * SECOND)
    );
}

/// A file of before there were sums: they are counted once, when a process begins on it.
#[test]
fn a_file_of_before_sums_is_summed_when_it_is_begun() {
    let backend = InMemoryBackend::new();
    let (mut disk, _) = Disk::open_backend(backend, BYTES, 0).unwrap();
    disk.commit([Op::RegisterDisk(7, false)], 0).unwrap();
    let c = call(seq(2, 1).0, Effect::Idempotent);
    let take = Op::AcceptCall(c, mark(1), 50 * SECOND);
    disk.commit(
        [Op::ApplyToShard(
            2,
            LogPosition::default().then(b"r"),
            Box::new(take),
        )],
        0,
    )
    .unwrap();
    assert_eq!(disk.reader().verify(), Ok(vec![(2, Vec::new())]));

    let mut s = Store::new();
    s.fill(2, 0);
    for (k, _) in s
        .space
        .scan(Table::Sums, &[], &TOP, usize::MAX, false)
        .unwrap()
    {
        s.space.remove(Table::Sums, &k).unwrap();
    }
    // Its head as the version before wrote it, and its format.
    s.space
        .put(Table::Shards, &key(&[2]), &pack(&(s.place, false)).unwrap())
        .unwrap();
    let head = s.space.get(Table::Meta, b"head").unwrap().unwrap();
    assert_eq!(u32::from(head[0]), FORMAT);
    s.space
        .put(Table::Meta, b"head", &[&[2], &head[1..]].concat())
        .unwrap();
    assert_eq!(s.unsound(), [2]);
    s.tables = Tables::resume(&mut s.space, true, BYTES).unwrap();
    let Reply::Disk(_, _, places) = s.ask(Op::RegisterDisk(7, false)).unwrap() else {
        panic!()
    };
    assert_eq!(
        (places, s.unsound()),
        (vec![(2, s.place)], Vec::<ShardId>::new())
    );
}
