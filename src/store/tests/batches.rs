//! Commits with several operations: replies, rows and checksums do not depend on the division of
//! operations into commits.

use std::sync::Arc;

use proptest::prelude::*;
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

use super::{accept, begin_durably, complete, finish, message, retain, MAX_BYTES, SECOND_US};
use crate::api::{Effect, Micros};
use crate::delivery::response::MessageState;
use crate::delivery::{EndpointId, Seq};
use crate::replication::{LogPosition, ShardId};
use crate::store::checksums::ChecksummedKeyspace;
use crate::store::disk::{apply_checksummed, Disk};
use crate::store::error::StoreError;
use crate::store::keys::{encode, key, KEY_END};
use crate::store::keyspace::{Keyspace, KeyspaceReader, MemoryKeyspace, Table};
use crate::store::operations::{ApplyToShard, InstallShard, Op, RegisterDisk, Reply};
use crate::store::tables::Tables;

/// The time of all commits.
const NOW: Micros = 7;
/// The shard in tests with a single shard.
const SHARD: ShardId = 3;
/// The endpoint of all messages.
const ENDPOINT: u64 = 4;

type Replies = Vec<Result<Reply, StoreError>>;
type Rows = Vec<(Table, Vec<u8>, Vec<u8>)>;

fn seq(shard: ShardId, number: u32) -> Seq {
    Seq::of_shard(shard, 1, number)
}

fn record(shard: ShardId, op: Op) -> Op {
    Op::ApplyToShard(ApplyToShard {
        shard,
        position: LogPosition::default().advance(b"r"),
        op: Box::new(op),
    })
}

fn accept_in_shard(shard: ShardId, number: u32) -> Op {
    let call = seq(shard, number);
    record(shard, accept(call.0, Effect::NonIdempotent, 50 * SECOND_US))
}

fn complete_in_shard(shard: ShardId, number: u32) -> Op {
    let callback = seq(shard, 100 + number);
    let message = message(callback.0, ENDPOINT, Effect::NonIdempotent, None);
    record(shard, complete(seq(shard, number).0, vec![message]))
}

fn register_disk(reset: bool) -> Op {
    Op::RegisterDisk(RegisterDisk { id: 7, reset })
}

/// A store whose rows can be listed.
trait Store {
    fn commit(&mut self, ops: Vec<Op>) -> Replies;
    fn rows(self) -> Rows;
}

/// A store in memory.
struct MemoryStore {
    keyspace: MemoryKeyspace,
    tables: Tables,
}

impl MemoryStore {
    fn new() -> MemoryStore {
        let mut keyspace = MemoryKeyspace::default();
        let (tables, _) = Tables::open(&mut keyspace, true, MAX_BYTES, NOW).unwrap();
        let mut store = MemoryStore { keyspace, tables };
        store.commit(vec![register_disk(false)]);
        store
    }
}

impl Store for MemoryStore {
    fn commit(&mut self, ops: Vec<Op>) -> Replies {
        let mut keyspace = ChecksummedKeyspace::new(&mut self.keyspace);
        let tables = &mut self.tables;
        let replies = ops
            .into_iter()
            .map(|op| apply_checksummed(tables, &mut keyspace, op))
            .collect();
        keyspace.flush().unwrap();
        self.tables.finish(&mut self.keyspace, NOW).unwrap();
        replies
    }

    fn rows(self) -> Rows {
        let rows_of = |table| {
            let rows = self.keyspace.scan_all(table, &[], &KEY_END).unwrap();
            rows.into_iter()
                .map(move |(key, value)| (table, key, value))
        };
        Table::ALL.into_iter().flat_map(rows_of).collect()
    }
}

/// A file in memory that can be opened again after its store is dropped.
#[derive(Clone, Debug, Default)]
struct SharedFile(Arc<InMemoryBackend>);

impl StorageBackend for SharedFile {
    fn len(&self) -> std::io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.0.write(offset, data)
    }
}

/// A store on disk.
struct DiskStore {
    file: SharedFile,
    disk: Disk,
}

impl DiskStore {
    fn new() -> DiskStore {
        let file = SharedFile::default();
        let (disk, _) = Disk::open_backend(file.clone(), MAX_BYTES, NOW).unwrap();
        let mut store = DiskStore { file, disk };
        store.commit(vec![register_disk(false)]);
        store
    }
}

impl Store for DiskStore {
    fn commit(&mut self, ops: Vec<Op>) -> Replies {
        self.disk.commit(ops, NOW).unwrap()
    }

    fn rows(self) -> Rows {
        drop(self.disk);
        let database = Database::builder().create_with_backend(self.file).unwrap();
        let transaction = database.begin_read().unwrap();
        let mut rows = Vec::new();
        for table in Table::ALL {
            let definition: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new(table.name());
            let Ok(opened) = transaction.open_table(definition) else {
                continue;
            };
            for row in opened.iter().unwrap() {
                let (key, value) = row.unwrap();
                rows.push((table, key.value().to_vec(), value.value().to_vec()));
            }
        }
        rows
    }
}

/// Returns a snapshot with two calls, one of them complete.
fn snapshot(shard: ShardId) -> Vec<u8> {
    let mut donor = MemoryStore::new();
    donor.commit(vec![accept_in_shard(shard, 900)]);
    donor.commit(vec![accept_in_shard(shard, 901)]);
    donor.commit(vec![complete_in_shard(shard, 900)]);
    match donor.commit(vec![Op::ReadShard(shard)]).pop() {
        Some(Ok(Reply::ShardContent(_, content))) => content,
        other => panic!("{other:?}"),
    }
}

fn install(shard: ShardId) -> Op {
    Op::InstallShard(InstallShard {
        shard,
        position: LogPosition::default().advance(b"s"),
        content: snapshot(shard),
    })
}

/// Asserts that a shard can be read as a snapshot, or promoted, in the same commit as its last
/// change.
fn assert_readable_after(change: &Op) {
    for read in [Op::ReadShard(SHARD), Op::BecomePrimary(SHARD)] {
        let mut store = DiskStore::new();
        store.commit(vec![accept_in_shard(SHARD, 1)]);
        let replies = store.commit(vec![change.clone(), read]);
        assert!(replies.iter().all(Result::is_ok), "{replies:?}");
    }
}

/// Guards against an intact shard reported as damaged because its last record is in the same commit
/// as the read.
#[test]
fn shard_is_intact_in_commit_of_its_record() {
    assert_readable_after(&accept_in_shard(SHARD, 2));
}

/// Guards against the same after a snapshot, which causes all checksums to be recomputed.
#[test]
fn shard_is_intact_in_commit_of_its_snapshot() {
    assert_readable_after(&install(SHARD));
}

/// Guards against the same after accepted damage.
#[test]
fn shard_is_intact_in_commit_of_accepted_damage() {
    for read in [Op::ReadShard(SHARD), Op::BecomePrimary(SHARD)] {
        let mut store = MemoryStore::new();
        store.commit(vec![accept_in_shard(SHARD, 1), accept_in_shard(SHARD, 2)]);
        let call = key(&[seq(SHARD, 1).0]);
        store.keyspace.put(Table::Calls, &call, b"\xff").unwrap();
        let replies = store.commit(vec![Op::AcceptDamage(SHARD), read]);
        assert!(replies.iter().all(Result::is_ok), "{replies:?}");
    }
}

/// Guards against the same after a reset of the disk.
#[test]
fn shard_is_intact_in_commit_of_reset() {
    assert_readable_after(&register_disk(true));
}

/// Guards against the same after the registration of a file of format 2, which has no checksums.
#[test]
fn shard_is_intact_in_commit_of_format_2_registration() {
    for read in [Op::ReadShard(SHARD), Op::BecomePrimary(SHARD)] {
        let mut store = MemoryStore::new();
        store.commit(vec![accept_in_shard(SHARD, 1)]);
        for (row_key, _) in store
            .keyspace
            .scan_all(Table::Checksums, &[], &KEY_END)
            .unwrap()
        {
            store.keyspace.remove(Table::Checksums, &row_key).unwrap();
        }
        let header = store.keyspace.get(Table::Meta, b"head").unwrap().unwrap();
        let older = [&encode(&2u32).unwrap()[..], &header[1..]].concat();
        store.keyspace.put(Table::Meta, b"head", &older).unwrap();
        store.tables = Tables::resume(&mut store.keyspace, true, MAX_BYTES).unwrap();
        let replies = store.commit(vec![register_disk(false), read]);
        assert!(replies.iter().all(Result::is_ok), "{replies:?}");
    }
}

fn any_record() -> impl Strategy<Value = Op> {
    let any_shard_and_number = || (1u16..4, 0u32..6);
    prop_oneof![
        any_shard_and_number().prop_map(|(shard, number)| accept_in_shard(shard, number)),
        any_shard_and_number().prop_map(|(shard, number)| complete_in_shard(shard, number)),
        any_shard_and_number()
            .prop_map(|(shard, number)| record(shard, Op::SetSent(seq(shard, number), 3))),
        any_shard_and_number()
            .prop_map(|(shard, number)| record(shard, Op::ClearSent(seq(shard, number)))),
        any_shard_and_number().prop_map(|(shard, number)| {
            record(shard, begin_durably(seq(shard, 100 + number), 5))
        }),
        (any_shard_and_number(), any::<bool>()).prop_map(|((shard, number), delivered)| {
            let callback = seq(shard, 100 + number);
            let (message, _) = message(callback.0, ENDPOINT, Effect::NonIdempotent, None);
            let state = if delivered {
                MessageState::Delivered
            } else {
                MessageState::Waiting
            };
            record(shard, finish(message.waiting, state))
        }),
    ]
}

fn any_read() -> impl Strategy<Value = Op> {
    prop_oneof![
        (1u16..4).prop_map(Op::ReadShard),
        Just(Op::VerifyChecksums),
        Just(Op::Stats),
        (1usize..4).prop_map(|limit| Op::FetchDue(EndpointId(ENDPOINT), limit)),
        (1usize..4).prop_map(|limit| Op::ExportMessages(None, limit)),
        (1u16..4, 0u32..6).prop_map(|(shard, number)| {
            Op::GetCall(1, format!("call-{}", seq(shard, number).0))
        }),
        (1u16..4, 0u32..6).prop_map(|(shard, number)| Op::GetMessage(seq(shard, 100 + number), 1)),
    ]
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => any_record(),
        4 => any_read(),
        2 => (1u16..4).prop_map(Op::BecomePrimary),
        1 => (1u16..4).prop_map(Op::ResignPrimary),
        1 => (1u16..4).prop_map(install),
        1 => (1u16..4).prop_map(Op::AcceptDamage),
        1 => any::<bool>().prop_map(register_disk),
        1 => (0u64..100 * SECOND_US).prop_map(|now| retain(now, 60 * SECOND_US)),
        1 => Just(Op::PurgeEndpoint(EndpointId(ENDPOINT), 2)),
    ]
}

/// Applies operations, with a commit after each operation marked in `ends_commit` and after the
/// last one, and returns the replies and the rows.
fn run(mut store: impl Store, ops: &[Op], ends_commit: &[bool]) -> (Replies, Rows) {
    let mut replies = Vec::new();
    let mut batch = Vec::new();
    for (op, ends_commit) in ops.iter().zip(ends_commit) {
        batch.push(op.clone());
        if *ends_commit {
            replies.extend(store.commit(std::mem::take(&mut batch)));
        }
    }
    replies.extend(store.commit(batch));
    (replies, store.rows())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against replies or rows that depend on the division of operations into commits.
    #[test]
    fn replies_and_rows_do_not_depend_on_commits(
        steps in prop::collection::vec((any_op(), any::<bool>()), 1..24),
    ) {
        let (ops, random_commits): (Vec<Op>, Vec<bool>) = steps.into_iter().unzip();
        let expected = run(MemoryStore::new(), &ops, &vec![true; ops.len()]);
        let is_mismatch = |reply: &Result<Reply, _>| {
            matches!(reply, Err(StoreError::ChecksumMismatch(..)))
        };
        prop_assert!(!expected.0.iter().any(is_mismatch), "nothing is damaged");
        for ends_commit in [vec![true; ops.len()], vec![false; ops.len()], random_commits] {
            prop_assert_eq!(&run(MemoryStore::new(), &ops, &ends_commit), &expected);
            prop_assert_eq!(&run(DiskStore::new(), &ops, &ends_commit), &expected);
        }
    }
}
