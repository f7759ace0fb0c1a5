//! Store files of formats 1, 2 and 3: the rows are written as before, and every waiting call and
//! message is recovered.

use std::path::Path;

use molelug::api::{Effect, IdempotencyScope};
use molelug::delivery::response::{DeadLetterReason, MessageState};
use molelug::delivery::{EndpointId, PendingMessage, Seq};
use molelug::replication::{LogPosition, ShardId};
use molelug::store::disk::Disk;
use molelug::store::operations::{
    AcceptCall, ApplyRetention, ApplyToShard, BeginAttempt, CompleteCall, DiskState, Filter,
    FinishAttempt, InstallShard, MessageDetails, Op, RegisterDisk, Reply, ShardState,
};
use molelug::store::records::{
    AttemptRecord, CallRecord, CallState, IdentityDigest, MessageRecord, StoreStats,
};
use molelug::store::tables::RecoveredState;

use crate::agreed_log::voter_record;
use crate::store_records::{attempt, call, identity_digest, message, SECOND};
use crate::store_rows::{file_of, from_text, rows, to_text, Row, Scratch};
use crate::{fixture, pins};

const FORMAT_1: &str = "store-format-1.txt";
const FORMAT_2: &str = "store-format-2.txt";
const FORMAT_3: &str = "store-format-3.txt";
/// The rows of [`FORMAT_3`] as a store file.
const FORMAT_3_FILE: &str = "store-format-3.redb";
/// The content of shard 2 that the store sends to a replica.
const SHARD_CONTENT: &str = "store-shard-content.txt";

const MAX_BYTES: u64 = 1 << 30;
const SHARDS: [ShardId; 2] = [2, 3];
const KEYED: Effect = Effect::Keyed {
    scope: IdempotencyScope::Zone,
    window: 5 * SECOND,
};

fn commit(disk: &mut Disk, ops: Vec<Op>) -> Vec<Reply> {
    let replies = disk.commit(ops, 30 * SECOND).expect("the commit succeeds");
    replies
        .into_iter()
        .map(|reply| reply.expect("the operation succeeds"))
        .collect()
}

fn execute(disk: &mut Disk, op: Op) -> Reply {
    commit(disk, vec![op]).remove(0)
}

fn accept_call(seq: Seq, effect: Effect, of: u8, until: u64) -> Op {
    Op::AcceptCall(AcceptCall {
        call: Box::new(call(seq, effect)),
        identity: identity_digest(of),
        valid_until: until,
    })
}

fn finish_attempt(
    waiting: Box<PendingMessage>,
    state: MessageState,
    attempt: Option<AttemptRecord>,
) -> Op {
    Op::FinishAttempt(FinishAttempt {
        waiting,
        state,
        attempt,
    })
}

fn complete_call(call: Seq, outcome: &str, messages: Vec<(MessageRecord, Vec<u8>)>) -> Op {
    Op::CompleteCall(CompleteCall {
        call,
        outcome: outcome.into(),
        messages,
    })
}

fn begin_durable_attempt(message: Seq, at: u64) -> Op {
    Op::BeginAttempt(BeginAttempt {
        message,
        durable: true,
        at,
    })
}

fn register_disk(id: u64) -> Op {
    Op::RegisterDisk(RegisterDisk { id, reset: false })
}

/// Writes records outside of shards: open calls, messages in each state, a begun attempt and an
/// expired identity.
fn fill_local_records(disk: &mut Disk) {
    let answers = vec![
        message(Seq(10), Effect::NonIdempotent, Some(7)),
        message(Seq(11), Effect::NonIdempotent, Some(7)),
    ];
    let published = vec![
        message(Seq(12), Effect::Idempotent, None),
        message(Seq(13), KEYED, None),
        message(Seq(14), Effect::Idempotent, None),
        message(Seq(15), Effect::NonIdempotent, None),
    ];
    let waiting = |at: usize| Box::new(published[at].0.waiting);
    let mut tried = waiting(2);
    (tried.due, tried.tries, tried.maybe_received_at) = (9 * SECOND, 1, Some(7 * SECOND));
    let ended = [
        finish_attempt(waiting(0), MessageState::Delivered, Some(attempt())),
        finish_attempt(
            waiting(1),
            MessageState::Dead(DeadLetterReason::Exhausted),
            Some(attempt()),
        ),
        finish_attempt(tried, MessageState::Waiting, Some(attempt())),
        begin_durable_attempt(Seq(15), 6 * SECOND),
        Op::ApplyRetention(ApplyRetention {
            now: 30 * SECOND,
            max_age: 1 << 40,
            max_bytes: MAX_BYTES,
            limit: 100,
        }),
    ];
    let mut ops = vec![
        accept_call(Seq(1), Effect::NonIdempotent, 1, 100 * SECOND),
        Op::SetSent(Seq(1), 3 * SECOND),
        accept_call(Seq(2), KEYED, 2, 100 * SECOND),
        accept_call(Seq(3), Effect::Idempotent, 3, 20 * SECOND),
        complete_call(Seq(3), "served", answers),
        Op::Publish(published.clone()),
    ];
    ops.extend(ended);
    commit(disk, ops);
}

fn shard_seq(shard: ShardId, number: u32) -> Seq {
    Seq::of_shard(shard, 1, number)
}

/// A message with an order key that no other shard uses.
fn ordered_message(shard: ShardId, n: u32) -> (MessageRecord, Vec<u8>) {
    message(
        shard_seq(shard, n),
        Effect::NonIdempotent,
        Some(u64::from(shard)),
    )
}

fn shard_identity(shard: ShardId, of: u8) -> u8 {
    16 * shard as u8 + of
}

/// The records of a shard: an open call, two completed calls, a begun attempt and a finished one.
fn shard_records(shard: ShardId) -> Vec<Op> {
    let taken = |of: u8| {
        accept_call(
            shard_seq(shard, of.into()),
            Effect::NonIdempotent,
            shard_identity(shard, of),
            100 * SECOND,
        )
    };
    let (unordered, body) = message(shard_seq(shard, 103), KEYED, None);
    let waiting = Box::new(unordered.waiting);
    vec![
        taken(1),
        taken(2),
        Op::SetSent(shard_seq(shard, 1), 3 * SECOND),
        complete_call(
            shard_seq(shard, 2),
            "served",
            vec![ordered_message(shard, 101), ordered_message(shard, 102)],
        ),
        begin_durable_attempt(shard_seq(shard, 101), 6 * SECOND),
        taken(3),
        complete_call(shard_seq(shard, 3), "failed", vec![(unordered, body)]),
        finish_attempt(
            waiting,
            MessageState::Dead(DeadLetterReason::Unknown),
            Some(attempt()),
        ),
    ]
}

fn last_position() -> LogPosition {
    shard_records(2)
        .iter()
        .fold(LogPosition::default(), |log_position, _| {
            log_position.advance(b"record")
        })
}

fn fill_shard(disk: &mut Disk, shard: ShardId) {
    let mut log_position = LogPosition::default();
    for op in shard_records(shard) {
        log_position = log_position.advance(b"record");
        let apply = ApplyToShard {
            shard,
            position: log_position,
            op: Box::new(op),
        };
        execute(disk, Op::ApplyToShard(apply));
    }
}

fn rows_of_format_3() -> Vec<Row> {
    let file = Scratch::new();
    let (mut disk, _) = Disk::open(file.path(), MAX_BYTES, SECOND).expect("the store is created");
    fill_local_records(&mut disk);
    execute(&mut disk, register_disk(7001));
    SHARDS
        .into_iter()
        .for_each(|shard| fill_shard(&mut disk, shard));
    execute(&mut disk, Op::BecomePrimary(3));
    execute(&mut disk, Op::AppendLog(Box::new(voter_record())));
    disk.compact().expect("the store is compacted");
    drop(disk);
    let written = rows(file.path());
    if fixture::is_updating() {
        std::fs::copy(file.path(), fixture::path(FORMAT_3_FILE)).expect("the fixture is written");
    }
    written
}

fn is_head(row: &Row) -> bool {
    row.table == "meta" && row.key == b"head"
}

/// Converts rows to format 2: without checksums, and without the expiry of identities in shards.
fn to_format_2(mut rows: Vec<Row>) -> Vec<Row> {
    rows.retain(|row| row.table != "sums");
    for row in &mut rows {
        if is_head(row) {
            row.value[0] = 2;
        } else if row.table == "shards" {
            let (log_position, led, _): (LogPosition, bool, u64) =
                postcard::from_bytes(&row.value).expect("a shard");
            row.value =
                postcard::to_stdvec(&(log_position, led)).expect("the value can be encoded");
        }
    }
    rows
}

/// The rows of format 1, where rows by identity contain no shard.
fn rows_of_format_1() -> Vec<Row> {
    let file = Scratch::new();
    let (mut disk, _) = Disk::open(file.path(), MAX_BYTES, SECOND).expect("the store is created");
    fill_local_records(&mut disk);
    drop(disk);
    let mut rows = rows(file.path());
    for row in &mut rows {
        if is_head(row) {
            assert_eq!(row.value[0], 1);
        } else if row.table == "by_call" {
            let state: CallState = postcard::from_bytes(&row.value).expect("a call's state");
            row.value = postcard::to_stdvec(&(state.retention_start, state.outcome))
                .expect("the value can be encoded");
        } else if row.table == "replays" {
            let (until, _): (u64, ShardId) = postcard::from_bytes(&row.value).expect("an identity");
            row.value = postcard::to_stdvec(&until).expect("the value can be encoded");
        }
    }
    rows
}

fn open(path: &Path) -> (Disk, RecoveredState) {
    Disk::open(path, MAX_BYTES, 40 * SECOND).expect("the store opens")
}

fn open_fixture(name: &str) -> (Scratch, Disk, RecoveredState) {
    let file = file_of(&from_text(&fixture::read_text(name)));
    let (disk, found) = open(file.path());
    (file, disk, found)
}

fn sent_call(seq: Seq) -> CallRecord {
    CallRecord {
        sent: Some(3 * SECOND),
        ..call(seq, Effect::NonIdempotent)
    }
}

fn identity_digests(of: &[u8]) -> Vec<(IdentityDigest, u64)> {
    of.iter()
        .map(|of| (identity_digest(*of), 100 * SECOND))
        .collect()
}

fn assert_local_records_are_recovered(found: &RecoveredState) {
    assert_eq!(found.calls, [sent_call(Seq(1)), call(Seq(2), KEYED)]);
    assert_eq!(found.endpoints, [(EndpointId(4004), 6 * SECOND)]);
    assert_eq!(
        (found.last_sequence_number, found.identities_expired_until),
        (15, 20 * SECOND)
    );
    assert_eq!(
        (found.unknown_deliveries, found.clock_regressed),
        (1, false)
    );
}

fn message_details(disk: &mut Disk, seq: Seq) -> MessageDetails {
    match execute(disk, Op::GetMessage(seq, 21)) {
        Reply::Message(Some(shown)) => *shown,
        other => panic!("{seq:?}: {other:?}"),
    }
}

fn assert_local_records_are_kept(disk: &mut Disk) {
    let (mut record, body) = message(Seq(14), Effect::Idempotent, None);
    (record.waiting.due, record.waiting.tries) = (9 * SECOND, 1);
    record.waiting.maybe_received_at = Some(7 * SECOND);
    assert_eq!(
        message_details(disk, Seq(14)),
        MessageDetails {
            record,
            attempts: vec![attempt()],
            body
        }
    );
    let (record, _) = message(Seq(11), Effect::NonIdempotent, Some(7));
    assert_eq!(
        message_details(disk, Seq(11)).record,
        MessageRecord {
            state: MessageState::Blocked,
            ..record
        }
    );
    for (seq, state) in [
        (10, MessageState::Waiting),
        (12, MessageState::Delivered),
        (13, MessageState::Dead(DeadLetterReason::Exhausted)),
        (15, MessageState::Dead(DeadLetterReason::Unknown)),
    ] {
        assert_eq!(message_details(disk, Seq(seq)).record.state, state, "{seq}");
    }
    let answered = Some(CallState {
        retention_start: 100 * SECOND,
        outcome: Some("served".into()),
        shard: 0,
    });
    assert_eq!(
        execute(disk, Op::GetCall(21, "call-3".into())),
        Reply::Call(answered)
    );
    let open = Some(CallState {
        retention_start: 100 * SECOND,
        outcome: None,
        shard: 0,
    });
    assert_eq!(
        execute(disk, Op::GetCall(21, "call-2".into())),
        Reply::Call(open)
    );
}

/// Waiting messages are found by endpoint, and a delivery queues the next message of its order key.
fn assert_delivery_continues(disk: &mut Disk) {
    let (first, _) = message(Seq(10), Effect::NonIdempotent, Some(7));
    let Reply::Due(waiting, None) = execute(disk, Op::FetchDue(EndpointId(4004), 10)) else {
        panic!("unexpected reply")
    };
    let own: Vec<Seq> = waiting
        .iter()
        .map(|waiting| waiting.seq)
        .filter(|seq| seq.shard() == 0)
        .collect();
    assert_eq!(own, [Seq(10), Seq(14)]);
    let delivered = finish_attempt(Box::new(first.waiting), MessageState::Delivered, None);
    let (next, _) = message(Seq(11), Effect::NonIdempotent, Some(7));
    assert_eq!(execute(disk, delivered), Reply::Queued(vec![next.waiting]));
    let filter = Filter {
        serial: 21,
        state: Some("unknown".into()),
        limit: 1,
        ..Filter::default()
    };
    let Reply::Messages(listed) = execute(
        disk,
        Op::ListMessages(Filter {
            before: Some(Seq(100)),
            ..filter
        }),
    ) else {
        panic!("no list")
    };
    assert_eq!(
        listed
            .iter()
            .map(|message| message.waiting.seq)
            .collect::<Vec<_>>(),
        [Seq(15)]
    );
}

fn assert_shards_are_found(found: &RecoveredState) {
    let record = voter_record();
    assert_eq!(found.log, (record.metadata, record.entries));
    let of_shards = SHARDS
        .iter()
        .flat_map(|shard| (1..4).map(|of| shard_identity(*shard, of)));
    let expected: Vec<u8> = [1, 2].into_iter().chain(of_shards).collect();
    assert_eq!(found.identities, identity_digests(&expected));
}

/// Checks both shards after a process has registered on the disk.
fn assert_shards_are_kept(disk: &mut Disk) {
    let intact = SHARDS.map(|shard| (shard, Vec::new())).to_vec();
    assert_eq!(disk.reader().verify(), Ok(intact));
    let stats = StoreStats {
        calls: 4,
        messages: 12,
        waiting: 7,
        bytes: 4 * 13 + 12 * 16,
    };
    assert_eq!(execute(disk, Op::Stats), Reply::Stats(stats));
    for shard in SHARDS {
        let begun = ordered_message(shard, 101).0.waiting;
        let expected = ShardState {
            calls: vec![sent_call(shard_seq(shard, 1))],
            identities: identity_digests(&[1, 2, 3].map(|of| shard_identity(shard, of))),
            waiting: Vec::new(),
            in_flight: vec![(begun, 6 * SECOND)],
            identities_expired_until: 20 * SECOND,
        };
        assert_eq!(
            execute(disk, Op::BecomePrimary(shard)),
            Reply::PrimaryState(Box::new(expected))
        );
        let (record, _) = ordered_message(shard, 102);
        let behind = MessageRecord {
            state: MessageState::Blocked,
            ..record
        };
        assert_eq!(message_details(disk, shard_seq(shard, 102)).record, behind);
    }
}

fn assert_disk_is_registered(disk: &mut Disk) {
    let places = SHARDS.map(|shard| (shard, last_position())).to_vec();
    assert_eq!(
        execute(disk, register_disk(1)),
        Reply::Disk(DiskState {
            id: 7001,
            incarnation: 2,
            shards: places
        })
    );
}

#[test]
fn store_rows_are_written_as_before() {
    let written = rows_of_format_3();
    fixture::assert_matches(FORMAT_3, &to_text(&written));
    fixture::assert_matches(FORMAT_2, &to_text(&to_format_2(written)));
    fixture::assert_matches(FORMAT_1, &to_text(&rows_of_format_1()));
}

#[test]
fn store_file_of_format_3_is_read() {
    let file = Scratch::new();
    std::fs::write(file.path(), fixture::read(FORMAT_3_FILE)).expect("a copy");
    assert_eq!(to_text(&rows(file.path())), fixture::read_text(FORMAT_3));
    let (mut disk, found) = open(file.path());
    assert_local_records_are_recovered(&found);
    assert_shards_are_found(&found);
    assert_local_records_are_kept(&mut disk);
    assert_disk_is_registered(&mut disk);
    assert_shards_are_kept(&mut disk);
    assert_delivery_continues(&mut disk);
}

#[test]
fn store_of_format_2_is_read_and_checksummed() {
    let (_file, mut disk, found) = open_fixture(FORMAT_2);
    assert_local_records_are_recovered(&found);
    assert_shards_are_found(&found);
    assert_local_records_are_kept(&mut disk);
    let damaged = disk.reader().verify().expect("the store is read");
    assert!(
        damaged.iter().all(|(_, ranges)| !ranges.is_empty()),
        "no range has a checksum yet: {damaged:?}"
    );
    assert_disk_is_registered(&mut disk);
    assert_shards_are_kept(&mut disk);
    assert_delivery_continues(&mut disk);
}

#[test]
fn store_of_format_1_is_read() {
    let (_file, mut disk, found) = open_fixture(FORMAT_1);
    assert_local_records_are_recovered(&found);
    assert_eq!(found.identities, identity_digests(&[1, 2]));
    assert_eq!(found.log, (None, Vec::new()));
    assert_local_records_are_kept(&mut disk);
    assert_eq!(
        execute(&mut disk, register_disk(7001)),
        Reply::Disk(DiskState {
            id: 7001,
            incarnation: 1,
            shards: Vec::new()
        })
    );
    assert_local_records_are_kept(&mut disk);
    assert_delivery_continues(&mut disk);
}

#[test]
fn shard_content_is_sent_as_before() {
    let (_file, mut disk, _) = open_fixture(FORMAT_3);
    let Reply::ShardContent(log_position, content) = execute(&mut disk, Op::ReadShard(2)) else {
        panic!("no content")
    };
    assert_eq!(log_position, last_position());
    fixture::assert_matches(SHARD_CONTENT, &format!("{}\n", pins::to_hex(&content)));

    let stored = pins::from_hex(fixture::read_text(SHARD_CONTENT).trim_end());
    let copy = Scratch::new();
    let (mut disk, _) = open(copy.path());
    execute(&mut disk, register_disk(7002));
    let install = InstallShard {
        shard: 2,
        position: log_position,
        content: stored.clone(),
    };
    execute(&mut disk, Op::InstallShard(install));
    assert_eq!(disk.reader().verify(), Ok(vec![(2, Vec::new())]));
    assert_eq!(
        execute(&mut disk, Op::ReadShard(2)),
        Reply::ShardContent(log_position, stored)
    );
}
