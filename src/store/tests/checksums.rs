//! Checksums: they match after every operation, and detect corrupted or lost rows.

use proptest::prelude::*;
use redb::backends::InMemoryBackend;

use super::{accept, begin_durably, complete, finish, message, retain, MAX_BYTES, SECOND_US};
use crate::api::{Effect, Micros};
use crate::delivery::response::{DeadLetterReason, MessageState};
use crate::delivery::Seq;
use crate::replication::{LogPosition, ShardId};
use crate::store::checksums::{verify, ChecksummedKeyspace};
use crate::store::disk::{apply_checksummed, Disk};
use crate::store::error::StoreError;
use crate::store::keys::{encode, key, KEY_END, TABLES_BY_SEQUENCE};
use crate::store::keyspace::{Keyspace, KeyspaceReader, MemoryKeyspace, Table};
use crate::store::operations::{ApplyToShard, InstallShard, Op, RegisterDisk, Reply};
use crate::store::tables::{Tables, FORMAT};

fn seq(shard: ShardId, number: u32) -> Seq {
    Seq::of_shard(shard, 1, number)
}

fn register_disk() -> Op {
    Op::RegisterDisk(RegisterDisk {
        id: 7,
        reset: false,
    })
}

fn apply_to_shard(shard: ShardId, position: LogPosition, op: Op) -> Op {
    Op::ApplyToShard(ApplyToShard {
        shard,
        position,
        op: Box::new(op),
    })
}

/// A row of a shard.
#[derive(Clone, Debug, PartialEq)]
struct Row {
    table: Table,
    key: Vec<u8>,
    value: Vec<u8>,
}

/// A snapshot of a shard, and its position.
#[derive(Clone, Debug)]
struct Snapshot {
    position: LogPosition,
    content: Vec<u8>,
}

/// A store in memory with checksums.
struct Store {
    keyspace: MemoryKeyspace,
    tables: Tables,
    position: LogPosition,
}

impl Store {
    fn new() -> Store {
        let mut keyspace = MemoryKeyspace::default();
        let (tables, _) = Tables::open(&mut keyspace, true, MAX_BYTES, 0).unwrap();
        let mut store = Store {
            keyspace,
            tables,
            position: LogPosition::default(),
        };
        store.apply(register_disk()).unwrap();
        store
    }

    fn apply(&mut self, op: Op) -> Result<Reply, StoreError> {
        let mut keyspace = ChecksummedKeyspace::new(&mut self.keyspace);
        let reply = apply_checksummed(&mut self.tables, &mut keyspace, op);
        keyspace.flush().unwrap();
        self.tables.finish(&mut self.keyspace, 0).unwrap();
        reply
    }

    fn replicate(&mut self, op: Op) {
        let shard = op.shard().unwrap();
        self.position = self.position.advance(b"r");
        self.apply(apply_to_shard(shard, self.position, op))
            .unwrap();
    }

    /// Accepts six calls, completes every other call, and starts an attempt of each callback.
    fn fill(&mut self, shard: ShardId, first: u32) {
        for number in first..first + 6 {
            let call = seq(shard, number);
            self.replicate(accept(call.0, Effect::NonIdempotent, 50 * SECOND_US));
            self.replicate(Op::SetSent(call, 3));
            if number % 2 == 0 {
                let callback = seq(shard, 100 + number);
                let order = (number % 4 == 0).then_some(1);
                let message = message(callback.0, 4, Effect::NonIdempotent, order);
                self.replicate(complete(call.0, vec![message]));
                self.replicate(begin_durably(callback, 5));
            }
        }
    }

    fn snapshot(&mut self, shard: ShardId) -> Snapshot {
        match self.apply(Op::ReadShard(shard)).unwrap() {
            Reply::ShardContent(position, content) => Snapshot { position, content },
            other => panic!("{other:?}"),
        }
    }

    fn install(&mut self, shard: ShardId, snapshot: Snapshot) {
        let install = InstallShard {
            shard,
            position: snapshot.position,
            content: snapshot.content,
        };
        self.apply(Op::InstallShard(install)).unwrap();
    }

    /// Returns the shards whose rows do not match their checksums.
    fn damaged_shards(&self) -> Vec<ShardId> {
        let verified = verify(&self.keyspace).unwrap();
        verified
            .into_iter()
            .filter(|(_, ranges)| !ranges.is_empty())
            .map(|(shard, _)| shard)
            .collect()
    }

    fn scan_all(&self, table: Table) -> Vec<Row> {
        let rows = self.keyspace.scan_all(table, &[], &KEY_END).unwrap();
        rows.into_iter()
            .map(|(key, value)| Row { table, key, value })
            .collect()
    }

    /// Returns the rows that have checksums.
    fn shard_rows(&self) -> Vec<Row> {
        TABLES_BY_SEQUENCE
            .into_iter()
            .chain([Table::Identities, Table::CallStates])
            .flat_map(|table| self.scan_all(table))
            .collect()
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Fill { shard, first } => self.fill(shard, first),
            Step::FinishAttempt {
                shard,
                number,
                delivered,
            } => {
                let callback = seq(shard, 100 + number);
                let (message, _) = message(callback.0, 4, Effect::NonIdempotent, None);
                let state = if delivered {
                    MessageState::Delivered
                } else {
                    MessageState::Dead(DeadLetterReason::Exhausted)
                };
                self.replicate(finish(message.waiting, state));
            }
            Step::Retain { now } => drop(self.apply(retain(now, 60 * SECOND_US)).unwrap()),
            Step::Reinstall { shard } => {
                let snapshot = self.snapshot(shard);
                self.install(shard, snapshot);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Fill {
        shard: ShardId,
        first: u32,
    },
    FinishAttempt {
        shard: ShardId,
        number: u32,
        delivered: bool,
    },
    Retain {
        now: Micros,
    },
    Reinstall {
        shard: ShardId,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u16..4, 0u32..40).prop_map(|(shard, n)| Step::Fill { shard, first: n * 10 }),
        3 => (1u16..4, 0u32..200, any::<bool>()).prop_map(|(shard, n, delivered)| {
            Step::FinishAttempt { shard, number: n * 2, delivered }
        }),
        1 => (0u64..200 * SECOND_US).prop_map(|now| Step::Retain { now }),
        1 => (1u16..4).prop_map(|shard| Step::Reinstall { shard }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// A changed byte or a lost row is detected, and a snapshot from another disk repairs the
    /// damaged shard.
    #[test]
    fn damage_is_detected_and_repaired(
        steps in prop::collection::vec(any_step(), 1..12),
        (row_index, byte_index, remove) in (any::<usize>(), any::<usize>(), any::<bool>()),
    ) {
        let mut store = Store::new();
        for step in &steps {
            store.run(step);
            prop_assert!(store.damaged_shards().is_empty());
        }
        let rows = store.shard_rows();
        prop_assume!(!rows.is_empty());
        let snapshots: Vec<Snapshot> = (1..4).map(|shard| store.snapshot(shard)).collect();

        let Row { table, key, mut value } = rows[row_index % rows.len()].clone();
        if remove {
            store.keyspace.remove(table, &key).unwrap();
        } else if value.is_empty() {
            return Ok(());
        } else {
            let index = byte_index % value.len();
            value[index] ^= 0x55;
            store.keyspace.put(table, &key, &value).unwrap();
        }

        let damaged = store.damaged_shards();
        prop_assert!(!damaged.is_empty(), "{table:?}");
        for shard in damaged {
            let read = store.apply(Op::ReadShard(shard));
            let is_rejected = matches!(read, Err(StoreError::ChecksumMismatch(..)));
            prop_assert!(is_rejected, "a damaged shard was passed on");
            let promoted = store.apply(Op::BecomePrimary(shard));
            let is_rejected = matches!(promoted, Err(StoreError::ChecksumMismatch(..)));
            prop_assert!(is_rejected, "a damaged shard became primary");
            store.install(shard, snapshots[usize::from(shard) - 1].clone());
        }
        prop_assert!(store.damaged_shards().is_empty());
        prop_assert_eq!(store.shard_rows(), rows);
    }
}

#[test]
fn accepted_damage_keeps_readable_rows() {
    let mut store = Store::new();
    store.fill(2, 0);
    let calls = store.scan_all(Table::Calls);
    store
        .keyspace
        .put(Table::Calls, &calls[0].key, b"\xff")
        .unwrap();
    assert!(matches!(
        store.apply(Op::BecomePrimary(2)),
        Err(StoreError::ChecksumMismatch(2, _))
    ));
    store.apply(Op::AcceptDamage(2)).unwrap();
    assert!(store.damaged_shards().is_empty());
    let Reply::PrimaryState(state) = store.apply(Op::BecomePrimary(2)).unwrap() else {
        panic!()
    };
    assert_eq!(state.calls.len(), calls.len() - 1);
}

/// Guards against a replica that does not know of identities removed before the snapshot, because
/// its own disk has not removed identities up to that time.
#[test]
fn snapshot_carries_time_of_expired_identities() {
    let mut store = Store::new();
    store.fill(2, 0);
    store
        .apply(retain(70 * SECOND_US, 600 * SECOND_US))
        .unwrap();
    let snapshot = store.snapshot(2);
    let mut other = Store::new();
    other.install(2, snapshot);
    let Reply::PrimaryState(state) = other.apply(Op::BecomePrimary(2)).unwrap() else {
        panic!()
    };
    assert_eq!(
        (state.identities.len(), state.identities_expired_until),
        (0, 50 * SECOND_US)
    );
}

#[test]
fn reader_verifies_committed_shards() {
    let (mut disk, _) = Disk::open_backend(InMemoryBackend::new(), MAX_BYTES, 0).unwrap();
    disk.commit([register_disk()], 0).unwrap();
    let accept = accept(seq(2, 1).0, Effect::Idempotent, 50 * SECOND_US);
    let position = LogPosition::default().advance(b"r");
    disk.commit([apply_to_shard(2, position, accept)], 0)
        .unwrap();
    assert_eq!(disk.reader().verify(), Ok(vec![(2, Vec::new())]));
}

/// A file of format 2 has no checksums. They are computed once, at the first registration of a
/// process.
#[test]
fn format_2_file_gets_checksums_at_registration() {
    let mut store = Store::new();
    store.fill(2, 0);
    for row in store.scan_all(Table::Checksums) {
        store.keyspace.remove(Table::Checksums, &row.key).unwrap();
    }
    // The shard's header and the file's header as format 2 has them.
    let shard_header = encode(&(store.position, false)).unwrap();
    store
        .keyspace
        .put(Table::Shards, &key(&[2]), &shard_header)
        .unwrap();
    let header = store.keyspace.get(Table::Meta, b"head").unwrap().unwrap();
    assert_eq!(u32::from(header[0]), FORMAT);
    store
        .keyspace
        .put(Table::Meta, b"head", &[&[2], &header[1..]].concat())
        .unwrap();
    assert_eq!(store.damaged_shards(), [2]);

    store.tables = Tables::resume(&mut store.keyspace, true, MAX_BYTES).unwrap();
    let Reply::Disk(disk) = store.apply(register_disk()).unwrap() else {
        panic!()
    };
    assert_eq!(
        (disk.shards, store.damaged_shards()),
        (vec![(2, store.position)], Vec::<ShardId>::new())
    );
}
