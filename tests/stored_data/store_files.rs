//! Store files of formats 1, 2 and 3: written row by row as before, and read with all that waits in them.

use std::path::Path;

use molelug::api::{Effect, IdempotencyScope};
use molelug::delivery::response::{DeadLetterReason, State};
use molelug::delivery::{EndpointId, Seq, Waiting};
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
use crate::store_records::{attempt, call, mark, message, SECOND};
use crate::store_rows::{file_of, from_text, rows, to_text, Row, Scratch};
use crate::{fixture, pins};

const FORMAT_1: &str = "store-format-1.txt";
const FORMAT_2: &str = "store-format-2.txt";
const FORMAT_3: &str = "store-format-3.txt";
/// The same as a file.
const FORMAT_3_FILE: &str = "store-format-3.redb";
/// What the store hands to a copy of shard 2.
const SHARD_CONTENT: &str = "store-shard-content.txt";

const MAX_BYTES: u64 = 1 << 30;
const SHARDS: [ShardId; 2] = [2, 3];
const KEYED: Effect = Effect::Keyed {
    scope: IdempotencyScope::Zone,
    window: 5 * SECOND,
};

fn commit(disk: &mut Disk, ops: Vec<Op>) -> Vec<Reply> {
    let replies = disk.commit(ops, 30 * SECOND).expect("it is kept");
    replies
        .into_iter()
        .map(|reply| reply.expect("it is done"))
        .collect()
}

fn ask(disk: &mut Disk, op: Op) -> Reply {
    commit(disk, vec![op]).remove(0)
}

fn take(seq: Seq, effect: Effect, of: u8, until: u64) -> Op {
    Op::AcceptCall(AcceptCall {
        call: Box::new(call(seq, effect)),
        identity: mark(of),
        valid_until: until,
    })
}

fn finish(waiting: Box<Waiting>, state: State, attempt: Option<AttemptRecord>) -> Op {
    Op::FinishAttempt(FinishAttempt {
        waiting,
        state,
        attempt,
    })
}

fn complete(call: Seq, outcome: &str, messages: Vec<(MessageRecord, Vec<u8>)>) -> Op {
    Op::CompleteCall(CompleteCall {
        call,
        outcome: outcome.into(),
        messages,
    })
}

fn begin_durably(message: Seq, at: u64) -> Op {
    Op::BeginAttempt(BeginAttempt {
        message,
        durable: true,
        at,
    })
}

fn register(id: u64) -> Op {
    Op::RegisterDisk(RegisterDisk { id, reset: false })
}

/// The gateway's own: open calls, messages at each stage, an attempt that has begun, an identity that was forgotten.
fn fill_own(disk: &mut Disk) {
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
    (tried.due, tried.tries, tried.ran) = (9 * SECOND, 1, Some(7 * SECOND));
    let ended = [
        finish(waiting(0), State::Delivered, Some(attempt())),
        finish(
            waiting(1),
            State::Dead(DeadLetterReason::Exhausted),
            Some(attempt()),
        ),
        finish(tried, State::Waiting, Some(attempt())),
        begin_durably(Seq(15), 6 * SECOND),
        Op::ApplyRetention(ApplyRetention {
            now: 30 * SECOND,
            max_age: 1 << 40,
            max_bytes: MAX_BYTES,
            limit: 100,
        }),
    ];
    let mut ops = vec![
        take(Seq(1), Effect::NonIdempotent, 1, 100 * SECOND),
        Op::SetSent(Seq(1), 3 * SECOND),
        take(Seq(2), KEYED, 2, 100 * SECOND),
        take(Seq(3), Effect::Idempotent, 3, 20 * SECOND),
        complete(Seq(3), "served", answers),
        Op::Publish(published.clone()),
    ];
    ops.extend(ended);
    commit(disk, ops);
}

fn number(shard: ShardId, number: u32) -> Seq {
    Seq::of_shard(shard, 1, number)
}

/// An order key that no other shard has.
fn ordered(shard: ShardId, n: u32) -> (MessageRecord, Vec<u8>) {
    message(
        number(shard, n),
        Effect::NonIdempotent,
        Some(u64::from(shard)),
    )
}

fn shard_mark(shard: ShardId, of: u8) -> u8 {
    16 * shard as u8 + of
}

/// The records of a shard: an open call, two that have answers, an attempt that has begun, one that has ended.
fn shard_records(shard: ShardId) -> Vec<Op> {
    let taken = |of: u8| {
        take(
            number(shard, of.into()),
            Effect::NonIdempotent,
            shard_mark(shard, of),
            100 * SECOND,
        )
    };
    let (unordered, body) = message(number(shard, 103), KEYED, None);
    let waiting = Box::new(unordered.waiting);
    vec![
        taken(1),
        taken(2),
        Op::SetSent(number(shard, 1), 3 * SECOND),
        complete(
            number(shard, 2),
            "served",
            vec![ordered(shard, 101), ordered(shard, 102)],
        ),
        begin_durably(number(shard, 101), 6 * SECOND),
        taken(3),
        complete(number(shard, 3), "failed", vec![(unordered, body)]),
        finish(
            waiting,
            State::Dead(DeadLetterReason::Unknown),
            Some(attempt()),
        ),
    ]
}

fn last_place() -> LogPosition {
    shard_records(2)
        .iter()
        .fold(LogPosition::default(), |place, _| place.advance(b"record"))
}

fn fill_shard(disk: &mut Disk, shard: ShardId) {
    let mut place = LogPosition::default();
    for op in shard_records(shard) {
        place = place.advance(b"record");
        let apply = ApplyToShard {
            shard,
            position: place,
            op: Box::new(op),
        };
        ask(disk, Op::ApplyToShard(apply));
    }
}

fn rows_of_format_3() -> Vec<Row> {
    let file = Scratch::new();
    let (mut disk, _) = Disk::open(file.path(), MAX_BYTES, SECOND).expect("it is made");
    fill_own(&mut disk);
    ask(&mut disk, register(7001));
    SHARDS
        .into_iter()
        .for_each(|shard| fill_shard(&mut disk, shard));
    ask(&mut disk, Op::BecomePrimary(3));
    ask(&mut disk, Op::AppendLog(Box::new(voter_record())));
    disk.compact().expect("it shrinks");
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

/// As the version before wrote it: without sums, and shards do not tell what was forgotten.
fn to_format_2(mut rows: Vec<Row>) -> Vec<Row> {
    rows.retain(|row| row.table != "sums");
    for row in &mut rows {
        if is_head(row) {
            row.value[0] = 2;
        } else if row.table == "shards" {
            let (place, led, _): (LogPosition, bool, u64) =
                postcard::from_bytes(&row.value).expect("a shard");
            row.value = postcard::to_stdvec(&(place, led)).expect("it encodes");
        }
    }
    rows
}

/// As the first versions wrote it: rows by identity have no shard.
fn rows_of_format_1() -> Vec<Row> {
    let file = Scratch::new();
    let (mut disk, _) = Disk::open(file.path(), MAX_BYTES, SECOND).expect("it is made");
    fill_own(&mut disk);
    drop(disk);
    let mut rows = rows(file.path());
    for row in &mut rows {
        if is_head(row) {
            assert_eq!(row.value[0], 1);
        } else if row.table == "by_call" {
            let state: CallState = postcard::from_bytes(&row.value).expect("a call's state");
            row.value = postcard::to_stdvec(&(state.taken, state.outcome)).expect("it encodes");
        } else if row.table == "replays" {
            let (until, _): (u64, ShardId) = postcard::from_bytes(&row.value).expect("an identity");
            row.value = postcard::to_stdvec(&until).expect("it encodes");
        }
    }
    rows
}

fn open(path: &Path) -> (Disk, RecoveredState) {
    Disk::open(path, MAX_BYTES, 40 * SECOND).expect("it opens")
}

fn open_fixture(name: &str) -> (Scratch, Disk, RecoveredState) {
    let file = file_of(&from_text(&fixture::read_text(name)));
    let (disk, found) = open(file.path());
    (file, disk, found)
}

fn sent(seq: Seq) -> CallRecord {
    CallRecord {
        sent: Some(3 * SECOND),
        ..call(seq, Effect::NonIdempotent)
    }
}

fn marks(of: &[u8]) -> Vec<(IdentityDigest, u64)> {
    of.iter().map(|of| (mark(*of), 100 * SECOND)).collect()
}

fn assert_own_is_found(found: &RecoveredState) {
    assert_eq!(found.calls, [sent(Seq(1)), call(Seq(2), KEYED)]);
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

fn shown(disk: &mut Disk, seq: Seq) -> MessageDetails {
    match ask(disk, Op::GetMessage(seq, 21)) {
        Reply::Message(Some(shown)) => *shown,
        other => panic!("{seq:?}: {other:?}"),
    }
}

fn assert_own_is_kept(disk: &mut Disk) {
    let (mut record, body) = message(Seq(14), Effect::Idempotent, None);
    (record.waiting.due, record.waiting.tries) = (9 * SECOND, 1);
    record.waiting.ran = Some(7 * SECOND);
    assert_eq!(
        shown(disk, Seq(14)),
        MessageDetails {
            record,
            attempts: vec![attempt()],
            body
        }
    );
    let (record, _) = message(Seq(11), Effect::NonIdempotent, Some(7));
    assert_eq!(
        shown(disk, Seq(11)).record,
        MessageRecord {
            state: State::Behind,
            ..record
        }
    );
    for (seq, state) in [
        (10, State::Waiting),
        (12, State::Delivered),
        (13, State::Dead(DeadLetterReason::Exhausted)),
        (15, State::Dead(DeadLetterReason::Unknown)),
    ] {
        assert_eq!(shown(disk, Seq(seq)).record.state, state, "{seq}");
    }
    let answered = Some(CallState {
        taken: 100 * SECOND,
        outcome: Some("served".into()),
        shard: 0,
    });
    assert_eq!(
        ask(disk, Op::GetCall(21, "call-3".into())),
        Reply::Call(answered)
    );
    let open = Some(CallState {
        taken: 100 * SECOND,
        outcome: None,
        shard: 0,
    });
    assert_eq!(
        ask(disk, Op::GetCall(21, "call-2".into())),
        Reply::Call(open)
    );
}

/// What waits is found by its endpoint, and the next of an order key comes forward.
fn assert_waiting_goes_on(disk: &mut Disk) {
    let (first, _) = message(Seq(10), Effect::NonIdempotent, Some(7));
    let Reply::Due(waiting, None) = ask(disk, Op::FetchDue(EndpointId(4004), 10)) else {
        panic!("more waits")
    };
    let own: Vec<Seq> = waiting
        .iter()
        .map(|waiting| waiting.seq)
        .filter(|seq| seq.shard() == 0)
        .collect();
    assert_eq!(own, [Seq(10), Seq(14)]);
    let delivered = finish(Box::new(first.waiting), State::Delivered, None);
    let (next, _) = message(Seq(11), Effect::NonIdempotent, Some(7));
    assert_eq!(ask(disk, delivered), Reply::Queued(vec![next.waiting]));
    let filter = Filter {
        serial: 21,
        state: Some("unknown".into()),
        limit: 1,
        ..Filter::default()
    };
    let Reply::Messages(listed) = ask(
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
        .flat_map(|shard| (1..4).map(|of| shard_mark(*shard, of)));
    let expected: Vec<u8> = [1, 2].into_iter().chain(of_shards).collect();
    assert_eq!(found.identities, marks(&expected));
}

/// Both shards, once a process has begun on the disk.
fn assert_shards_are_kept(disk: &mut Disk) {
    let sound = SHARDS.map(|shard| (shard, Vec::new())).to_vec();
    assert_eq!(disk.reader().verify(), Ok(sound));
    let figures = StoreStats {
        calls: 4,
        messages: 12,
        waiting: 7,
        bytes: 4 * 13 + 12 * 16,
    };
    assert_eq!(ask(disk, Op::Stats), Reply::Stats(figures));
    for shard in SHARDS {
        let begun = ordered(shard, 101).0.waiting;
        let stands = ShardState {
            calls: vec![sent(number(shard, 1))],
            identities: marks(&[1, 2, 3].map(|of| shard_mark(shard, of))),
            waiting: Vec::new(),
            in_flight: vec![(begun, 6 * SECOND)],
            identities_expired_until: 20 * SECOND,
        };
        assert_eq!(
            ask(disk, Op::BecomePrimary(shard)),
            Reply::PrimaryState(Box::new(stands))
        );
        let (record, _) = ordered(shard, 102);
        let behind = MessageRecord {
            state: State::Behind,
            ..record
        };
        assert_eq!(shown(disk, number(shard, 102)).record, behind);
    }
}

fn begin(disk: &mut Disk) {
    let places = SHARDS.map(|shard| (shard, last_place())).to_vec();
    assert_eq!(
        ask(disk, register(1)),
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
    assert_own_is_found(&found);
    assert_shards_are_found(&found);
    assert_own_is_kept(&mut disk);
    begin(&mut disk);
    assert_shards_are_kept(&mut disk);
    assert_waiting_goes_on(&mut disk);
}

#[test]
fn store_of_format_2_is_read_and_summed() {
    let (_file, mut disk, found) = open_fixture(FORMAT_2);
    assert_own_is_found(&found);
    assert_shards_are_found(&found);
    assert_own_is_kept(&mut disk);
    let unsound = disk.reader().verify().expect("it is read");
    assert!(
        unsound.iter().all(|(_, ranges)| !ranges.is_empty()),
        "nothing is summed yet: {unsound:?}"
    );
    begin(&mut disk);
    assert_shards_are_kept(&mut disk);
    assert_waiting_goes_on(&mut disk);
}

#[test]
fn store_of_format_1_is_read() {
    let (_file, mut disk, found) = open_fixture(FORMAT_1);
    assert_own_is_found(&found);
    assert_eq!(found.identities, marks(&[1, 2]));
    assert_eq!(found.log, (None, Vec::new()));
    assert_own_is_kept(&mut disk);
    assert_eq!(
        ask(&mut disk, register(7001)),
        Reply::Disk(DiskState {
            id: 7001,
            incarnation: 1,
            shards: Vec::new()
        })
    );
    assert_own_is_kept(&mut disk);
    assert_waiting_goes_on(&mut disk);
}

#[test]
fn shard_content_is_handed_on_as_before() {
    let (_file, mut disk, _) = open_fixture(FORMAT_3);
    let Reply::ShardContent(place, content) = ask(&mut disk, Op::ReadShard(2)) else {
        panic!("no content")
    };
    assert_eq!(place, last_place());
    fixture::assert_matches(SHARD_CONTENT, &format!("{}\n", pins::to_hex(&content)));

    let stored = pins::from_hex(fixture::read_text(SHARD_CONTENT).trim_end());
    let copy = Scratch::new();
    let (mut disk, _) = open(copy.path());
    ask(&mut disk, register(7002));
    let install = InstallShard {
        shard: 2,
        position: place,
        content: stored.clone(),
    };
    ask(&mut disk, Op::InstallShard(install));
    assert_eq!(disk.reader().verify(), Ok(vec![(2, Vec::new())]));
    assert_eq!(
        ask(&mut disk, Op::ReadShard(2)),
        Reply::ShardContent(place, stored)
    );
}
