//! Frames between gateways, and what the agreed log and the reports of duties carry inside of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Debug;
use std::sync::Arc;

use molelug::council::memory::Known;
use molelug::council::state::{Brought, Entry, State};
use molelug::council::wire::{word, Body, Effect, Poll, Report, Session};
use molelug::duty::holder::{Answer, Ask};
use molelug::duty::ledger::{Entry as DutyEntry, Ledger};
use molelug::duty::loads::Word as LoadWord;
use molelug::duty::Owner;
use molelug::replication::error::{Declined, Refusal};
use molelug::replication::sets::{Disk, Entry as SetEntry, Move, Set, Sets};
use molelug::replication::wire::{Body as ReplicationBody, Told};
use molelug::replication::Place;
use molelug::tenancy::agreed::state::{Answer as KeptAnswer, Entry as TenantEntry, Follows, Line, Tenants};
use molelug::tenancy::agreed::Origin;
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, EntryType, Message as RaftMessage, MessageType};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixtures::check_lines;
use crate::hex::hex_line;
use crate::{own_keys, shared_keys, ALPHA, BETA};

fn owner(name: &str) -> Owner {
    Owner { name: name.into(), incarnation: 0x0102_0304 }
}

fn known() -> Known {
    Known { boots: 3, process: 0x1122_3344_5566, term: 9, kept: (8, 1234) }
}

fn place() -> Place {
    let mut chain = [0; 32];
    chain.iter_mut().zip(1..).for_each(|(byte, value)| *byte = value);
    Place { number: 300, chain }
}

fn disk() -> Disk {
    Disk { id: 0xd15c, boot: 4, process: 77 }
}

fn names(list: &[&str]) -> BTreeSet<Arc<str>> {
    list.iter().map(|name| Arc::from(*name)).collect()
}

fn voters() -> BTreeMap<u64, Arc<str>> {
    BTreeMap::from([(11, ALPHA.into()), (22, BETA.into()), (33, "gamma".into())])
}

fn kept_answer() -> KeptAnswer {
    KeptAnswer { key: [0xaa; 32], request: [0xbb; 32], bytes: b"{\"name\":\"acme\"}".to_vec() }
}

fn tenant_change() -> TenantEntry {
    TenantEntry {
        tenant: "acme".into(),
        follows: Follows::At(6),
        by: ALPHA.into(),
        origin: Origin { process: 77, number: 5 },
        kept: Some(b"kept tenant".to_vec()),
        listed: true,
        answer: Some(kept_answer()),
    }
}

fn tenant_removal() -> TenantEntry {
    TenantEntry { follows: Follows::Nothing(2), kept: None, listed: false, answer: None, ..tenant_change() }
}

fn set_move(joins: Option<(Arc<str>, u64)>) -> SetEntry {
    SetEntry::Move(Move {
        shard: 9,
        was: 4,
        by: ALPHA.into(),
        primary: BETA.into(),
        process: 77,
        members: names(&[ALPHA, BETA]),
        joins,
    })
}

fn grant(duty: &str, term: u64) -> DutyEntry {
    DutyEntry::Grant { duty: duty.into(), owner: owner(ALPHA), term }
}

fn entries() -> Vec<(&'static str, Entry)> {
    vec![
        ("nothing", Entry::Nothing),
        ("duty-grant", Entry::Duty(grant("trials", 1))),
        ("duty-given-back", Entry::Duty(DutyEntry::GivenBack { duty: "trials".into(), term: 1 })),
        ("voters", Entry::Voters(voters())),
        ("sets-begun", Entry::Sets(SetEntry::Begun { name: ALPHA.into(), disk: disk() })),
        (
            "sets-change",
            Entry::Sets(SetEntry::Change {
                shard: 9,
                was: 3,
                by: ALPHA.into(),
                primary: BETA.into(),
                process: 77,
                members: names(&[ALPHA, BETA, "gamma"]),
            }),
        ),
        ("sets-move", Entry::Sets(set_move(None))),
        ("sets-move-joins", Entry::Sets(set_move(Some((BETA.into(), 0xd15c))))),
        ("tenants-change", Entry::Tenants(Box::new(tenant_change()))),
        ("tenants-removal", Entry::Tenants(Box::new(tenant_removal()))),
    ]
}

fn state() -> State {
    let mut ledger = Ledger::default();
    assert!(ledger.apply(&grant("loads-0", 1)));
    assert!(ledger.apply(&grant("trials", 1)));
    assert!(ledger.apply(&DutyEntry::GivenBack { duty: "trials".into(), term: 1 }));
    let set = Set {
        epoch: 5,
        primary: Some(ALPHA.into()),
        process: 77,
        members: names(&[ALPHA, BETA]),
        former: BTreeMap::from([("gamma".into(), 4)]),
        whole: 3,
    };
    let sets = Sets {
        disks: BTreeMap::from([(ALPHA.into(), disk())]),
        shards: BTreeMap::from([(9, set), (10, Set::default())]),
    };
    let tenants = Tenants {
        changes: 7,
        removals: 2,
        lines: BTreeMap::from([
            ("acme".into(), Line { version: 6, kept: Some(b"kept tenant".to_vec()), listed: true }),
            ("gone".into(), Line { version: 7, kept: None, listed: false }),
        ]),
        recent: VecDeque::from([(Origin { process: 77, number: 5 }, 6)]),
        answers: VecDeque::from([kept_answer()]),
    };
    State { generation: 2, applied: 41, voters: voters(), ledger, sets, tenants }
}

fn effect() -> Effect {
    Effect { duty: "loads-0".into(), term: 3, owner: ALPHA.into(), number: 12, content: vec![1, 2, 3] }
}

fn raft_message() -> Vec<u8> {
    let mut entry = RaftEntry::default();
    entry.set_entry_type(EntryType::EntryNormal);
    entry.set_term(9);
    entry.set_index(1234);
    entry.set_data(packed(&Entry::Duty(grant("trials", 1))).into());
    let mut message = RaftMessage::default();
    message.set_msg_type(MessageType::MsgAppend);
    message.set_from(11);
    message.set_to(22);
    message.set_term(9);
    message.set_log_term(8);
    message.set_index(1233);
    message.set_commit(1230);
    message.set_entries(vec![entry].into());
    message.write_to_bytes().expect("a message of raft's can be written")
}

fn refusals() -> Vec<(&'static str, Refusal)> {
    vec![
        ("not-primary", Refusal::NotPrimary { shard: 9, primary: Some(BETA.into()) }),
        ("deposed", Refusal::Deposed { shard: 9, ours: 4, theirs: 5 }),
        ("fewer", Refusal::Fewer { shard: 9, have: 1, want: 2 }),
        ("unreached", Refusal::Unreached { shard: 9 }),
        ("busy", Refusal::Busy { open: 4096 }),
        ("behind", Refusal::Behind { shard: 9, bytes: 70_000 }),
        ("too-long", Refusal::TooLong { bytes: 600_000, most: 524_288 }),
        ("seen", Refusal::Seen),
        ("late", Refusal::Late { shard: 9 }),
        ("unknown", Refusal::Unknown { what: "class".into() }),
        ("full", Refusal::Full),
        ("leaving", Refusal::Leaving),
    ]
}

fn replication_bodies() -> Vec<(String, ReplicationBody)> {
    let mut bodies: Vec<(String, ReplicationBody)> = vec![
        ("here".into(), ReplicationBody::Here),
        ("where".into(), ReplicationBody::Where(9, 5)),
        ("at".into(), ReplicationBody::At(9, 5, place(), 77)),
        ("record".into(), ReplicationBody::Record(9, 5, place(), b"a record".to_vec())),
        ("has".into(), ReplicationBody::Has(9, 5, 301, 77)),
        ("part".into(), ReplicationBody::Part(9, 5, place(), 2, true, b"a part".to_vec())),
        ("took".into(), ReplicationBody::Took(9, 5, 2)),
        (
            "declined-stale".into(),
            ReplicationBody::Declined(9, Declined::Stale { shard: 9, theirs: 4, ours: 5 }),
        ),
        (
            "declined-too-long".into(),
            ReplicationBody::Declined(9, Declined::TooLong { shard: 9, most: 64 << 20 }),
        ),
        ("ask".into(), ReplicationBody::Ask(9, 15, b"a question".to_vec())),
        ("told-promised".into(), ReplicationBody::Told(15, Told::Promised(2))),
        ("told-content".into(), ReplicationBody::Told(15, Told::Content(b"content".to_vec()))),
        ("unsound".into(), ReplicationBody::Unsound(9, 5)),
    ];
    let refused =
        |(name, refusal)| (format!("told-refused-{name}"), ReplicationBody::Told(15, Told::Refused(refusal)));
    bodies.extend(refusals().into_iter().map(refused));
    bodies
}

/// One body of each kind, and of each kind of what it carries.
fn bodies() -> Vec<(String, Body)> {
    let passed = || (77, 13, vec![effect()]);
    let ask = Ask {
        from: owner(BETA),
        stamp: 99,
        able: true,
        holds: vec![("loads-0".into(), 3)],
        back: vec![("trials".into(), 1)],
    };
    let answer = Answer {
        to: owner(BETA),
        stamp: 99,
        renewed: vec![("loads-0".into(), 3)],
        recalled: vec![("trials".into(), 1)],
    };
    let report = Report { duty: "trials".into(), from: BETA.into(), content: vec![9, 8, 7] };
    let poll = Poll { generation: 2, applied: 40, passed: (77, 12), seat: Some(22) };
    let numbered = (40..).zip(entries().into_iter().map(|(_, entry)| entry)).collect();
    let mut bodies: Vec<(String, Body)> = vec![
        ("raft".into(), Body::Raft(2, 11, 3, 77, raft_message())),
        ("recall".into(), Body::Recall(2, 11, known())),
        ("recalled".into(), Body::Recalled(2, 11, known(), 22)),
        ("ask".into(), Body::Ask(ask.clone(), None)),
        ("ask-through-voter".into(), Body::Ask(ask, Some("gamma".into()))),
        ("answer".into(), Body::Answer(answer)),
        ("poll".into(), Body::Poll(poll)),
        ("poll-without-seat".into(), Body::Poll(Poll::default())),
        ("entries".into(), Body::Entries(2, numbered, passed())),
        ("state".into(), Body::State(Box::new(state()), passed())),
        ("effect".into(), Body::Effect(effect())),
        ("report".into(), Body::Report(report.clone(), false)),
        ("report-through-voter".into(), Body::Report(report, true)),
        ("brought-sets".into(), Body::Brought(Brought::Sets(set_move(None)), false)),
        ("brought-tenants".into(), Body::Brought(Brought::Tenants(Box::new(tenant_change())), true)),
    ];
    let copies = |(name, body)| (format!("copies-{name}"), Body::Copies(body));
    bodies.extend(replication_bodies().into_iter().map(copies));
    bodies
}

fn packed(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a value of fixed content can be packed")
}

/// Packs each value, compares it with its recorded bytes and reads it back.
fn check_packed<T>(file: &str, values: &[(String, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let lines: Vec<String> = values.iter().map(|(name, value)| hex_line(name, &packed(value))).collect();
    check_lines(file, &lines);
    for (name, value) in values {
        let read: T = postcard::from_bytes(&packed(value)).expect("recorded bytes can be read");
        assert_eq!(read, *value, "{name}");
    }
}

fn named<T>(values: Vec<(&str, T)>) -> Vec<(String, T)> {
    values.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// Two ends of one connection, `alpha` the one that connects.
fn open_sessions() -> (Session, Session) {
    let accepted = word(BETA, 0x0b0b, 5);
    let mut connector = Session::connector(ALPHA, BETA, word(ALPHA, 0x0a0a, 4));
    let taken = connector.take(&shared_keys(), &accepted).expect("a word is taken");
    assert_eq!(taken, Some((accepted.len(), None)));
    (connector, Session::acceptor(BETA, accepted))
}

#[test]
fn council_bodies_match_their_recorded_bytes() {
    check_packed("wire/council_bodies.txt", &bodies());
}

#[test]
fn log_entries_match_their_recorded_bytes() {
    check_packed("wire/log_entries.txt", &named(entries()));
}

#[test]
fn state_snapshot_matches_its_recorded_bytes() {
    check_packed("wire/state_snapshot.txt", &[("state".to_owned(), state())]);
    assert_eq!(State::read(&packed(&state())).expect("a snapshot can be read"), state());
}

#[test]
fn load_duty_words_match_their_recorded_bytes() {
    let words = vec![
        ("wants", LoadWord::Wants(7, 0x0123_4567_89ab_cdef)),
        ("ended", LoadWord::Ended(7, 0x0123_4567_89ab_cdef, 2)),
        ("orders", LoadWord::Orders(7, 0x0123_4567_89ab_cdef, BETA.into())),
        ("stands", LoadWord::Stands(7, 0x0123_4567_89ab_cdef, 3)),
    ];
    check_packed("wire/load_duty_words.txt", &named(words));
}

#[test]
fn sealed_frames_match_their_recorded_bytes() {
    let keys = shared_keys();
    let (mut connector, mut acceptor) = open_sessions();
    let mut lines = Vec::new();
    for (name, body) in bodies() {
        let frame = connector.pack(&keys, &body).expect("the session is open");
        lines.push(hex_line(&name, &frame));
        assert_eq!(acceptor.take(&keys, &frame), Ok(Some((frame.len(), Some(body.clone())))), "{name}");
        let reply = acceptor.pack(&keys, &body).expect("the session is open");
        lines.push(hex_line(&format!("{name}-back"), &reply));
        assert_eq!(connector.take(&keys, &reply), Ok(Some((reply.len(), Some(body)))), "{name}");
    }
    check_lines("wire/council_frames.txt", &lines);
}

#[test]
fn signed_frame_matches_its_recorded_bytes() {
    let (mut connector, mut acceptor) = open_sessions();
    let body = Body::Effect(effect());
    let frame = connector.pack(&own_keys(ALPHA), &body).expect("the session is open");
    check_lines("wire/council_frame_signed.txt", &[hex_line("effect", &frame)]);
    assert_eq!(acceptor.take(&own_keys(BETA), &frame), Ok(Some((frame.len(), Some(body)))));
}
