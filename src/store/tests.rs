//! The store against a plain model, and on a disk that fails, tears and lies.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use proptest::prelude::*;
use redb::backends::InMemoryBackend;
use redb::StorageBackend;

use super::disk::Disk;
use super::keyspace::MemoryKeyspace;
use super::records::*;
use super::recovery::{recovery_action, RecoveryAction};
use super::tables::Tables;
use crate::api::{Effect, IdempotencyScope, Micros};
use crate::delivery::response::{Dead, State};
use crate::delivery::{EndpointId, Seq, Waiting};

pub(super) const SECOND: Micros = 1_000_000;
pub(super) const BYTES: u64 = 1 << 30;

pub(super) fn call(seq: u64, effect: Effect) -> Box<CallRecord> {
    Box::new(CallRecord {
        seq: Seq(seq),
        tenant: "clinic".into(),
        serial: 1,
        webhook_id: format!("call-{seq}"),
        worker_id: format!("{seq:016x}"),
        class: "c".into(),
        effect,
        function: 7,
        expires: 100 * SECOND,
        work: None,
        memory_mb: 1.0,
        concurrency_per_copy: 1,
        load_time: None,
        body: b"trip".to_vec(),
        order: None,
        sent: None,
    })
}

pub(super) fn mark(seq: u64) -> IdentityDigest {
    let mut mark = IdentityDigest::default();
    mark[..8].copy_from_slice(&seq.to_be_bytes());
    mark
}

pub(super) fn message(
    seq: u64,
    endpoint: u64,
    effect: Effect,
    order: Option<u64>,
) -> (MessageRecord, Vec<u8>) {
    let waiting = Waiting {
        seq: Seq(seq),
        endpoint: EndpointId(endpoint),
        due: seq,
        effect,
        ran: None,
        tries: 0,
        size: 4,
    };
    let record = MessageRecord {
        waiting,
        state: State::Waiting,
        tenant: "clinic".into(),
        serial: 1,
        id: format!("msg_{seq}"),
        kind: "call.completed".into(),
        call: None,
        created: seq,
        order,
        acknowledged: None,
    };
    (record, b"body".to_vec())
}

#[test]
fn each_stage_and_class_has_its_fate_after_a_kill() {
    let keyed = |group| Effect::Keyed {
        scope: group,
        window: 5 * SECOND,
    };
    let rows = [
        (Effect::NonIdempotent, None, 10, RecoveryAction::Run),
        (Effect::NonIdempotent, None, 200, RecoveryAction::Reject),
        (Effect::Idempotent, Some(5), 10, RecoveryAction::Run),
        (Effect::Idempotent, Some(5), 200, RecoveryAction::Reject),
        (
            Effect::NonIdempotent,
            Some(5),
            10,
            RecoveryAction::ReportUnknown,
        ),
        (
            Effect::NonIdempotent,
            Some(5),
            200,
            RecoveryAction::ReportUnknown,
        ),
        (
            keyed(IdempotencyScope::All),
            Some(7),
            10,
            RecoveryAction::Reject,
        ),
        (
            keyed(IdempotencyScope::All),
            Some(4),
            10,
            RecoveryAction::ReportUnknown,
        ),
        (
            keyed(IdempotencyScope::Zone),
            Some(99),
            101,
            RecoveryAction::ReportUnknown,
        ),
        (
            keyed(IdempotencyScope::All),
            Some(99),
            101,
            RecoveryAction::Reject,
        ),
    ];
    for (effect, sent, now, expected) in rows {
        let c = CallRecord {
            sent: sent.map(|s| s * SECOND),
            ..*call(1, effect)
        };
        assert_eq!(
            recovery_action(&c, now * SECOND, false),
            expected,
            "{effect:?} {sent:?} {now}"
        );
    }
    let c = CallRecord {
        sent: Some(7 * SECOND),
        ..*call(1, keyed(IdempotencyScope::All))
    };
    assert_eq!(
        recovery_action(&c, 6 * SECOND, true),
        RecoveryAction::ReportUnknown,
        "the clock has stepped back"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Take(bool),
    Answer(usize, Option<u64>),
    End(usize, u8),
    Kill,
    Retain(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Take),
        4 => (any::<usize>(), prop::option::of(0u64..3)).prop_map(|(n, o)| Step::Answer(n, o)),
        6 => (any::<usize>(), 0u8..5).prop_map(|(n, how)| Step::End(n, how)),
        1 => Just(Step::Kill),
        1 => (0u64..2000).prop_map(Step::Retain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Calls become messages and messages end, with kills between: none is lost, none ends twice, those of one order
    /// key go out in their order, and the figures are those of a plain count.
    #[test]
    fn calls_and_messages_are_neither_lost_nor_doubled(steps in prop::collection::vec(step(), 1..120)) {
        let mut space = MemoryKeyspace::default();
        let (mut tables, _) = Tables::open(&mut space, true, BYTES, 0).unwrap();
        let (mut next, mut now) = (0, 1000);
        let mut calls: BTreeMap<u64, Effect> = BTreeMap::new();
        // Number, order key, and whether it may be sent now.
        let mut waits: BTreeMap<u64, (Effect, Option<u64>)> = BTreeMap::new();
        let mut over = 0u64;
        let mut last_of_key: BTreeMap<u64, u64> = BTreeMap::new();
        for step in steps {
            now += 1;
            match step {
                Step::Take(safe) => {
                    next += 1;
                    let effect = if safe { Effect::Idempotent } else { Effect::NonIdempotent };
                    tables.apply(&mut space, Op::AcceptCall(call(next, effect), mark(next), now + 300)).unwrap();
                    calls.insert(next, effect);
                }
                Step::Answer(n, order) if !calls.is_empty() => {
                    let seq = *calls.keys().nth(n % calls.len()).unwrap();
                    let effect = calls.remove(&seq).unwrap();
                    next += 1;
                    let mut m = message(next, 0, effect, order);
                    m.0.created = now;
                    waits.insert(next, (effect, order));
                    tables.apply(&mut space, Op::CompleteCall(Seq(seq), "served".into(), vec![m])).unwrap();
                }
                Step::End(n, how) => {
                    let Reply::Due(ready, _) = tables.apply(&mut space, Op::FetchDue(EndpointId(0), 1000)).unwrap() else { panic!() };
                    // Of each key exactly the oldest may go.
                    let mut expect: Vec<u64> = waits.iter().filter(|(s, (_, o))| {
                        o.is_none() || waits.iter().find(|(_, (_, p))| p == o).unwrap().0 == *s
                    }).map(|(s, _)| *s).collect();
                    expect.sort();
                    let mut seen: Vec<u64> = ready.iter().map(|w| w.seq.0).collect();
                    seen.sort();
                    prop_assert_eq!(&seen, &expect);
                    if ready.is_empty() {
                        continue;
                    }
                    let mut w = ready[n % ready.len()];
                    let recorded = w.effect != Effect::Idempotent;
                    tables.apply(&mut space, Op::BeginAttempt(w.seq, recorded, now)).unwrap();
                    w.tries += 1;
                    let state = match how {
                        0 => { w.due = now + 5; State::Waiting }
                        1 => State::Dead(Dead::Exhausted),
                        _ => State::Delivered,
                    };
                    tables.apply(&mut space, Op::FinishAttempt(Box::new(w), state, None)).unwrap();
                    if state != State::Waiting {
                        let (_, order) = waits.remove(&w.seq.0).unwrap();
                        over += 1;
                        if let Some(order) = order {
                            prop_assert!(last_of_key.insert(order, w.seq.0) < Some(w.seq.0), "out of order");
                        }
                    }
                }
                Step::Kill => {
                    tables.finish(&mut space, now).unwrap();
                    let (fresh, found) = Tables::open(&mut space, true, BYTES, now).unwrap();
                    tables = fresh;
                    let seen: Vec<u64> = found.calls.iter().map(|c| c.seq.0).collect();
                    prop_assert_eq!(seen, calls.keys().copied().collect::<Vec<_>>());
                    prop_assert_eq!(found.last_sequence_number, next);
                    prop_assert_eq!((found.unknown_deliveries, found.clock_went_back), (0, false));
                }
                Step::Retain(age) => {
                    let Reply::Retained(expired, forward, _) = tables.apply(&mut space, Op::ApplyRetention(now, age, BYTES, 1000)).unwrap() else { panic!() };
                    prop_assert!(forward.iter().all(|w| waits.contains_key(&w.seq.0)));
                    for seq in expired {
                        let (_, order) = waits.remove(&seq.0).unwrap();
                        over += 1;
                        if let Some(order) = order {
                            last_of_key.insert(order, seq.0);
                        }
                    }
                }
                Step::Answer(..) => {}
            }
            let Reply::Stats(stat) = tables.apply(&mut space, Op::Stats).unwrap() else { panic!() };
            prop_assert_eq!((stat.calls, stat.waiting), (calls.len() as u64, waits.len() as u64));
            prop_assert!(stat.messages >= stat.waiting && stat.messages <= stat.waiting + over);
            prop_assert_eq!(stat.bytes, 4 * (stat.messages + stat.calls));
        }
    }
}

/// One of an order key that is let go brings the next forward, which delivery is told of; a removed endpoint's go all.
#[test]
fn what_is_let_go_of_does_not_hold_those_behind_it() {
    let mut space = MemoryKeyspace::default();
    let (mut t, _) = Tables::open(&mut space, true, BYTES, 0).unwrap();
    let all = (1..=4).map(|n| {
        let mut m = message(n, 0, Effect::Idempotent, Some(7));
        m.0.created = n * 100;
        m
    });
    t.apply(&mut space, Op::Publish(all.collect())).unwrap();
    let Reply::Retained(expired, forward, _) = t
        .apply(&mut space, Op::ApplyRetention(350, 100, BYTES, 10))
        .unwrap()
    else {
        panic!()
    };
    assert_eq!(expired, [Seq(1), Seq(2)]);
    assert_eq!(forward.iter().map(|w| w.seq).collect::<Vec<_>>(), [Seq(3)]);
    t.apply(&mut space, Op::PurgeEndpoint(EndpointId(0), 10))
        .unwrap();
    let Reply::Stats(stat) = t.apply(&mut space, Op::Stats).unwrap() else {
        panic!()
    };
    assert_eq!((stat.waiting, stat.messages), (0, 4));
}

#[test]
fn a_callback_killed_on_its_way_follows_its_class_and_sending_again_needs_an_acknowledgement() {
    let mut space = MemoryKeyspace::default();
    let (mut t, _) = Tables::open(&mut space, true, BYTES, 0).unwrap();
    let all = vec![
        message(1, 0, Effect::NonIdempotent, None),
        message(2, 0, Effect::Idempotent, None),
    ];
    t.apply(&mut space, Op::Publish(all)).unwrap();
    for seq in [1, 2] {
        t.apply(&mut space, Op::BeginAttempt(Seq(seq), seq == 1, 50))
            .unwrap();
    }
    let (mut t, found) = Tables::open(&mut space, true, BYTES, 60).unwrap();
    assert_eq!(
        (found.unknown_deliveries, found.endpoints),
        (1, vec![(EndpointId(0), 2)])
    );
    let state = |t: &mut Tables, space: &mut MemoryKeyspace, seq| match t
        .apply(space, Op::GetMessage(Seq(seq), 1))
        .unwrap()
    {
        Reply::Message(Some(m)) => (m.record.state, m.attempts.len()),
        other => panic!("{other:?}"),
    };
    assert_eq!(
        state(&mut t, &mut space, 1),
        (State::Dead(Dead::Unknown), 1)
    );
    assert_eq!(state(&mut t, &mut space, 2), (State::Waiting, 0));
    let again = |t: &mut Tables, space: &mut MemoryKeyspace, by: Option<&str>| {
        t.apply(space, Op::Resend(Seq(1), 1, 70, by.map(str::to_owned)))
            .unwrap()
    };
    assert!(matches!(
        again(&mut t, &mut space, None),
        Reply::ResendRejected(_)
    ));
    assert!(
        matches!(t.apply(&mut space, Op::ResendDeadLetters(EndpointId(0), 1, 0, 70, 10)).unwrap(), Reply::Queued(w) if w.is_empty())
    );
    assert!(matches!(again(&mut t, &mut space, Some("ops")), Reply::Queued(w) if w.len() == 1));
    let Reply::Message(Some(m)) = t.apply(&mut space, Op::GetMessage(Seq(1), 1)).unwrap() else {
        panic!()
    };
    assert_eq!(
        (m.record.state, m.record.acknowledged.as_deref()),
        (State::Waiting, Some("ops"))
    );
    assert_eq!(
        t.apply(&mut space, Op::GetMessage(Seq(1), 2)).unwrap(),
        Reply::Message(None),
        "another tenant's"
    );
}

/// A disk that can be told to fail, to lose what was not synced, or to tear the write at which it fails.
#[derive(Clone, Debug, Default)]
struct Sick {
    /// What is on the platter, and what is only in its cache.
    synced: Arc<Mutex<Vec<u8>>>,
    cache: Arc<InMemoryBackend>,
    /// Calls that change something until it fails; wraps below nought into never.
    left: Arc<AtomicU64>,
    torn: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
}

impl Sick {
    fn new(left: u64, torn: bool) -> Sick {
        let sick = Sick::default();
        sick.left.store(left, Ordering::SeqCst);
        sick.torn.store(torn, Ordering::SeqCst);
        sick
    }

    fn step(&self) -> std::io::Result<()> {
        let left = self.left.load(Ordering::SeqCst);
        if left == 0 {
            self.failed.store(true, Ordering::SeqCst);
            return Err(std::io::Error::other("no space left on device"));
        }
        self.left.store(left - 1, Ordering::SeqCst);
        Ok(())
    }

    /// The machine after a crash: what was synced, on a healthy disk; of a torn write also its first half.
    fn after(&self) -> Sick {
        let bytes = self.synced.lock().unwrap().clone();
        let well = Sick::new(u64::MAX, false);
        well.cache.set_len(bytes.len() as u64).unwrap();
        well.cache.write(0, &bytes).unwrap();
        *well.synced.lock().unwrap() = bytes;
        well
    }
}

impl StorageBackend for Sick {
    fn len(&self) -> std::io::Result<u64> {
        self.cache.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.cache.read(offset, out)
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.step()?;
        self.cache.set_len(len)
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.step()?;
        let mut bytes = vec![0; self.cache.len()? as usize];
        self.cache.read(0, &mut bytes)?;
        *self.synced.lock().unwrap() = bytes;
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        if let Err(e) = self.step() {
            if self.torn.load(Ordering::SeqCst) {
                // Half of the page reaches the platter by itself.
                let mut synced = self.synced.lock().unwrap();
                let (at, half) = (offset as usize, data.len() / 2);
                if synced.len() >= at + half {
                    synced[at..at + half].copy_from_slice(&data[..half]);
                }
            }
            return Err(e);
        }
        self.cache.write(offset, data)
    }
}

/// At every step at which the disk can fail, whole or torn: what was told done is there after a crash, and the file
/// opens. What was told an error may be there or not, and is undone by [`Op::Untake`].
#[test]
fn whatever_write_fails_what_was_told_done_is_kept() {
    for torn in [false, true] {
        let mut points = 0;
        for left in 1..2000 {
            let sick = Sick::new(left, torn);
            let Ok((mut disk, _)) = Disk::open_backend(sick.clone(), BYTES, 1) else {
                continue;
            };
            let mut done = Vec::new();
            for seq in 1..=6 {
                let op = Op::AcceptCall(call(seq, Effect::NonIdempotent), mark(seq), 300);
                match disk.commit([op, Op::MarkSent(Seq(seq), 5)], seq) {
                    Ok(_) => done.push(seq),
                    Err(e) => {
                        assert!(matches!(e, StoreError::Io(_)), "{e}");
                        break;
                    }
                }
            }
            let failed = sick.failed.load(Ordering::SeqCst);
            points += usize::from(failed);
            assert!(
                failed || done.len() == 6,
                "an error that the disk did not give"
            );
            drop(disk);
            let (mut disk, found) =
                Disk::open_backend(sick.after(), BYTES, 9).expect("it opens after the crash");
            let seen: Vec<u64> = found.calls.iter().map(|c| c.seq.0).collect();
            assert!(
                seen.starts_with(&done) && seen.len() <= done.len() + 1,
                "{left}: {done:?} {seen:?}"
            );
            assert!(
                found.calls.iter().all(|c| c.sent == Some(5)),
                "one commit is kept whole"
            );
            let next = done.len() as u64 + 1;
            disk.commit([Op::RevokeCall(Seq(next), mark(next))], 10)
                .unwrap();
            assert_eq!(disk.commit([Op::Stats], 10).unwrap().len(), 1);
            if !failed {
                break;
            }
        }
        assert!(points > 20, "only {points} points of failure were met");
    }
}

/// The disk fails under the thread: nothing new is taken, what has happened is kept once the disk is back, and what was
/// told an error is undone.
#[test]
fn a_disk_that_fails_and_comes_back_loses_nothing_that_was_told_done() {
    use super::writer::Writer;
    let sick = Sick::new(u64::MAX, false);
    let (disk, _) = Disk::open_backend(sick.clone(), BYTES, 1).unwrap();
    let (tell, told) = std::sync::mpsc::channel();
    let (backend, well) = (sick.clone(), Arc::new(AtomicBool::new(false)));
    let mended = well.clone();
    let opener = move || match mended.load(Ordering::SeqCst) {
        true => Disk::open_backend(backend.after(), BYTES, 2).map(|(disk, _)| disk),
        false => Err(StoreError::Io("still sick".into())),
    };
    let answered = move |number, reply| tell.send((number, reply)).unwrap();
    let writer = Writer::start(disk, Box::new(opener), Box::new(answered)).unwrap();
    let next = || {
        told.recv_timeout(std::time::Duration::from_secs(30))
            .unwrap()
    };
    writer.submit(
        1,
        Op::AcceptCall(call(1, Effect::NonIdempotent), mark(1), 300),
    );
    assert_eq!(next(), (1, Ok(Reply::Done)));
    sick.left.store(0, Ordering::SeqCst);
    writer.submit(2, Op::AcceptCall(call(2, Effect::Idempotent), mark(2), 300));
    assert!(matches!(next(), (2, Err(StoreError::Io(_)))));
    writer.submit(
        3,
        Op::CompleteCall(
            Seq(1),
            "served".into(),
            vec![message(7, 0, Effect::NonIdempotent, None)],
        ),
    );
    writer.submit(4, Op::AcceptCall(call(3, Effect::Idempotent), mark(3), 300));
    assert!(
        matches!(next(), (4, Err(StoreError::Io(_)))),
        "nothing new is taken; the answer waits"
    );
    well.store(true, Ordering::SeqCst);
    let (number, reply) = next();
    assert!(number == 3 && matches!(reply, Ok(Reply::Queued(w)) if w.len() == 1));
    writer.submit(5, Op::Stats);
    let (_, Ok(Reply::Stats(stat))) = next() else {
        panic!()
    };
    assert_eq!(
        (stat.calls, stat.messages, stat.waiting),
        (0, 1, 1),
        "2 and 3 are undone, 1 is answered"
    );
}

/// A clock that steps back over a restart is noticed, and identities that may have been forgotten are told.
#[test]
fn a_clock_that_steps_back_is_noticed() {
    let mut space = MemoryKeyspace::default();
    let (mut t, _) = Tables::open(&mut space, true, BYTES, 1000).unwrap();
    t.apply(
        &mut space,
        Op::AcceptCall(call(1, Effect::Idempotent), mark(1), 1300),
    )
    .unwrap();
    t.apply(
        &mut space,
        Op::CompleteCall(Seq(1), "served".into(), vec![]),
    )
    .unwrap();
    t.apply(&mut space, Op::ApplyRetention(2000, 1 << 40, BYTES, 10))
        .unwrap();
    t.finish(&mut space, 2000).unwrap();
    let (_, found) = Tables::open(&mut space, true, BYTES, 900).unwrap();
    assert!(found.clock_went_back && found.identities.is_empty());
    assert_eq!(
        found.identities_expired_until, 1300,
        "a stamp that was good until then may have been taken"
    );
}

#[test]
fn a_file_that_is_not_ours_or_is_held_is_left_alone() {
    let folder = std::env::temp_dir().join(format!("molelug-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("store");
    std::fs::write(&path, "a letter, not a store").unwrap();
    assert!(matches!(
        Disk::open(&path, BYTES, 0),
        Err(StoreError::NotAStore(_))
    ));
    assert_eq!(std::fs::read(&path).unwrap(), b"a letter, not a store");
    std::fs::remove_file(&path).unwrap();
    let (held, _) = Disk::open(&path, BYTES, 0).unwrap();
    assert_eq!(Disk::open(&path, BYTES, 0).unwrap_err(), StoreError::Locked);
    drop(held);
    assert!(Disk::open(&path, BYTES, 0).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}
