//! Consensus frames between gateways, and their contents: log entries, snapshots, lease reports and
//! replication messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Debug;
use std::sync::Arc;

use molelug::consensus::peer_memory::KnownState;
use molelug::consensus::state::{Entry, State, SubsystemEntry};
use molelug::consensus::wire::{
    challenge, Body, ForwardedEffects, LeaseEffect, LeaseReport, Poll, Session,
};
use molelug::lease::renewal::{RenewReply, RenewRequest};
use molelug::lease::table::{Entry as LeaseEntry, LeaseTable};
use molelug::lease::LeaseHolder;
use molelug::load_coordination::LoadMessage;
use molelug::replication::error::{Declined, ReplicationError};
use molelug::replication::replica_sets::{
    Disk, Entry as SetEntry, MembershipChange, ReplicaSet, ReplicaSets,
};
use molelug::replication::wire::{
    Message as ReplicationBody, RecordMessage, RequestOutcome, SnapshotPartMessage,
};
use molelug::replication::LogPosition;
use molelug::tenancy::replicated::state::{
    Answer as KeptAnswer, Entry as TenantEntry, Follows, Line, Tenants,
};
use molelug::tenancy::replicated::Origin;
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, EntryType, Message as RaftMessage, MessageType};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixtures::check_lines;
use crate::hex::hex_line;
use crate::{own_keys, shared_keys, ALPHA, BETA};

fn holder(name: &str) -> LeaseHolder {
    LeaseHolder {
        name: name.into(),
        incarnation: 0x0102_0304,
    }
}

fn known() -> KnownState {
    KnownState {
        boots: 3,
        process: 0x1122_3344_5566,
        term: 9,
        acknowledged: (8, 1234),
    }
}

fn log_position() -> LogPosition {
    let mut chain = [0; 32];
    chain
        .iter_mut()
        .zip(1..)
        .for_each(|(byte, value)| *byte = value);
    LogPosition { number: 300, chain }
}

fn disk() -> Disk {
    Disk {
        id: 0xd15c,
        incarnation: 4,
        process: 77,
    }
}

fn names(list: &[&str]) -> BTreeSet<Arc<str>> {
    list.iter().map(|name| Arc::from(*name)).collect()
}

fn voters() -> BTreeMap<u64, Arc<str>> {
    BTreeMap::from([(11, ALPHA.into()), (22, BETA.into()), (33, "gamma".into())])
}

fn kept_answer() -> KeptAnswer {
    KeptAnswer {
        key: [0xaa; 32],
        request: [0xbb; 32],
        bytes: b"{\"name\":\"acme\"}".to_vec(),
    }
}

fn tenant_change() -> TenantEntry {
    TenantEntry {
        tenant: "acme".into(),
        follows: Follows::At(6),
        by: ALPHA.into(),
        origin: Origin {
            process: 77,
            number: 5,
        },
        kept: Some(b"kept tenant".to_vec()),
        listed: true,
        answer: Some(kept_answer()),
    }
}

fn tenant_removal() -> TenantEntry {
    TenantEntry {
        follows: Follows::Nothing(2),
        kept: None,
        listed: false,
        answer: None,
        ..tenant_change()
    }
}

fn change_members(joins: Option<(Arc<str>, u64)>) -> SetEntry {
    SetEntry::ChangeMembers(MembershipChange {
        shard: 9,
        previous_epoch: 4,
        proposer: ALPHA.into(),
        primary: BETA.into(),
        process: 77,
        members: names(&[ALPHA, BETA]),
        joining: joins,
    })
}

fn grant(lease: &str, term: u64) -> LeaseEntry {
    LeaseEntry::Grant {
        lease: lease.into(),
        holder: holder(ALPHA),
        term,
    }
}

fn entries() -> Vec<(&'static str, Entry)> {
    vec![
        ("nothing", Entry::Noop),
        ("duty-grant", Entry::Lease(grant("trials", 1))),
        (
            "duty-given-back",
            Entry::Lease(LeaseEntry::Released {
                lease: "trials".into(),
                term: 1,
            }),
        ),
        ("voters", Entry::Voters(voters())),
        (
            "sets-begun",
            Entry::ReplicaSets(SetEntry::RegisterDisk {
                name: ALPHA.into(),
                disk: disk(),
            }),
        ),
        (
            "sets-change",
            Entry::ReplicaSets(SetEntry::LegacyChange {
                shard: 9,
                previous_epoch: 3,
                proposer: ALPHA.into(),
                primary: BETA.into(),
                process: 77,
                members: names(&[ALPHA, BETA, "gamma"]),
            }),
        ),
        ("sets-move", Entry::ReplicaSets(change_members(None))),
        (
            "sets-move-joins",
            Entry::ReplicaSets(change_members(Some((BETA.into(), 0xd15c)))),
        ),
        ("tenants-change", Entry::Tenants(Box::new(tenant_change()))),
        (
            "tenants-removal",
            Entry::Tenants(Box::new(tenant_removal())),
        ),
    ]
}

fn state() -> State {
    let mut lease_table = LeaseTable::default();
    assert!(lease_table.apply(&grant("loads-0", 1)));
    assert!(lease_table.apply(&grant("trials", 1)));
    assert!(lease_table.apply(&LeaseEntry::Released {
        lease: "trials".into(),
        term: 1
    }));
    let set = ReplicaSet {
        epoch: 5,
        primary: Some(ALPHA.into()),
        process: 77,
        members: names(&[ALPHA, BETA]),
        former_members: BTreeMap::from([("gamma".into(), 4)]),
        full_size: 3,
    };
    let sets = ReplicaSets {
        disks: BTreeMap::from([(ALPHA.into(), disk())]),
        shards: BTreeMap::from([(9, set), (10, ReplicaSet::default())]),
    };
    let tenants = Tenants {
        changes: 7,
        removals: 2,
        lines: BTreeMap::from([
            (
                "acme".into(),
                Line {
                    version: 6,
                    kept: Some(b"kept tenant".to_vec()),
                    listed: true,
                },
            ),
            (
                "gone".into(),
                Line {
                    version: 7,
                    kept: None,
                    listed: false,
                },
            ),
        ]),
        recent: VecDeque::from([(
            Origin {
                process: 77,
                number: 5,
            },
            6,
        )]),
        answers: VecDeque::from([kept_answer()]),
    };
    State {
        generation: 2,
        applied: 41,
        voters: voters(),
        leases: lease_table,
        replica_sets: sets,
        tenants,
    }
}

fn effect() -> LeaseEffect {
    LeaseEffect {
        lease: "loads-0".into(),
        term: 3,
        holder: ALPHA.into(),
        number: 12,
        content: vec![1, 2, 3],
    }
}

fn raft_message() -> Vec<u8> {
    let mut entry = RaftEntry::default();
    entry.set_entry_type(EntryType::EntryNormal);
    entry.set_term(9);
    entry.set_index(1234);
    entry.set_data(encoded(&Entry::Lease(grant("trials", 1))).into());
    let mut message = RaftMessage::default();
    message.set_msg_type(MessageType::MsgAppend);
    message.set_from(11);
    message.set_to(22);
    message.set_term(9);
    message.set_log_term(8);
    message.set_index(1233);
    message.set_commit(1230);
    message.set_entries(vec![entry].into());
    message
        .write_to_bytes()
        .expect("the Raft message can be encoded")
}

fn replication_errors() -> Vec<(&'static str, ReplicationError)> {
    vec![
        (
            "not-primary",
            ReplicationError::NotPrimary {
                shard: 9,
                primary: Some(BETA.into()),
            },
        ),
        (
            "deposed",
            ReplicationError::Superseded {
                shard: 9,
                ours: 4,
                theirs: 5,
            },
        ),
        (
            "fewer",
            ReplicationError::TooFewReplicas {
                shard: 9,
                have: 1,
                want: 2,
            },
        ),
        (
            "unreached",
            ReplicationError::PrimaryUnreachable { shard: 9 },
        ),
        ("busy", ReplicationError::TooManyRequests { open: 4096 }),
        (
            "behind",
            ReplicationError::ReplicationLag {
                shard: 9,
                bytes: 70_000,
            },
        ),
        (
            "too-long",
            ReplicationError::TooLong {
                bytes: 600_000,
                max: 524_288,
            },
        ),
        ("seen", ReplicationError::DuplicateIdentity),
        ("late", ReplicationError::IdentityExpired { shard: 9 }),
        (
            "unknown",
            ReplicationError::Unknown {
                subject: "class".into(),
            },
        ),
        ("full", ReplicationError::PrimaryOverloaded),
        ("leaving", ReplicationError::ShuttingDown),
    ]
}

fn replication_bodies() -> Vec<(String, ReplicationBody)> {
    let mut bodies: Vec<(String, ReplicationBody)> = vec![
        ("here".into(), ReplicationBody::Heartbeat),
        ("where".into(), ReplicationBody::QueryPosition(9, 5)),
        (
            "at".into(),
            ReplicationBody::Position {
                shard: 9,
                epoch: 5,
                position: log_position(),
                process: 77,
            },
        ),
        (
            "record".into(),
            ReplicationBody::Record(RecordMessage {
                shard: 9,
                epoch: 5,
                before: log_position(),
                bytes: b"a record".to_vec(),
            }),
        ),
        (
            "has".into(),
            ReplicationBody::Acknowledge {
                shard: 9,
                epoch: 5,
                number: 301,
                process: 77,
            },
        ),
        (
            "part".into(),
            ReplicationBody::SnapshotPart(SnapshotPartMessage {
                shard: 9,
                epoch: 5,
                position: log_position(),
                part: 2,
                is_last: true,
                bytes: b"a part".to_vec(),
            }),
        ),
        (
            "took".into(),
            ReplicationBody::SnapshotPartReceived {
                shard: 9,
                epoch: 5,
                part: 2,
            },
        ),
        (
            "declined-stale".into(),
            ReplicationBody::Declined(
                9,
                Declined::Stale {
                    shard: 9,
                    theirs: 4,
                    ours: 5,
                },
            ),
        ),
        (
            "declined-too-long".into(),
            ReplicationBody::Declined(
                9,
                Declined::TooLong {
                    shard: 9,
                    max: 64 << 20,
                },
            ),
        ),
        (
            "ask".into(),
            ReplicationBody::Request {
                shard: 9,
                number: 15,
                request: b"a question".to_vec(),
            },
        ),
        (
            "told-promised".into(),
            ReplicationBody::Reply(15, RequestOutcome::Committed(2)),
        ),
        (
            "told-content".into(),
            ReplicationBody::Reply(15, RequestOutcome::Content(b"content".to_vec())),
        ),
        ("unsound".into(), ReplicationBody::Corrupt(9, 5)),
    ];
    let refused = |(name, refusal)| {
        (
            format!("told-refused-{name}"),
            ReplicationBody::Reply(15, RequestOutcome::Rejected(refusal)),
        )
    };
    bodies.extend(replication_errors().into_iter().map(refused));
    bodies
}

/// The bodies between voters.
fn voter_bodies() -> Vec<(String, Body)> {
    vec![
        (
            "raft".into(),
            Body::Raft {
                generation: 2,
                from: 11,
                boots: 3,
                process: 77,
                message: raft_message(),
            },
        ),
        (
            "recall".into(),
            Body::KnownStateRequest {
                generation: 2,
                from: 11,
                own: known(),
            },
        ),
        (
            "recalled".into(),
            Body::KnownStateReply {
                generation: 2,
                about: 11,
                known: known(),
                from: 22,
            },
        ),
    ]
}

/// The requests for leases and their replies.
fn renewal_bodies() -> Vec<(String, Body)> {
    let ask = RenewRequest {
        from: holder(BETA),
        sequence: 99,
        eligible: true,
        held: vec![("loads-0".into(), 3)],
        released: vec![("trials".into(), 1)],
    };
    let answer = RenewReply {
        to: holder(BETA),
        sequence: 99,
        renewed: vec![("loads-0".into(), 3)],
        recalled: vec![("trials".into(), 1)],
    };
    vec![
        ("ask".into(), Body::RenewLeases(ask.clone(), None)),
        (
            "ask-through-voter".into(),
            Body::RenewLeases(ask, Some("gamma".into())),
        ),
        ("answer".into(), Body::RenewReply(answer)),
    ]
}

/// The polls of learners and their answers.
fn learner_bodies() -> Vec<(String, Body)> {
    let passed = || ForwardedEffects {
        process: 77,
        count: 13,
        effects: vec![effect()],
    };
    let poll = Poll {
        generation: 2,
        applied: 40,
        effects: (77, 12),
        replica: Some(22),
    };
    let numbered = (40..)
        .zip(entries().into_iter().map(|(_, entry)| entry))
        .collect();
    vec![
        ("poll".into(), Body::Poll(poll)),
        ("poll-without-seat".into(), Body::Poll(Poll::default())),
        (
            "entries".into(),
            Body::Entries {
                generation: 2,
                entries: numbered,
                effects: passed(),
            },
        ),
        ("state".into(), Body::State(Box::new(state()), passed())),
    ]
}

/// A body of each kind, and of each kind of content.
fn bodies() -> Vec<(String, Body)> {
    let report = LeaseReport {
        lease: "trials".into(),
        from: BETA.into(),
        content: vec![9, 8, 7],
    };
    let mut bodies = voter_bodies();
    bodies.extend(renewal_bodies());
    bodies.extend(learner_bodies());
    bodies.extend([
        ("effect".into(), Body::Effect(effect())),
        ("report".into(), Body::Report(report.clone(), false)),
        ("report-through-voter".into(), Body::Report(report, true)),
        (
            "brought-sets".into(),
            Body::Submit(SubsystemEntry::ReplicaSets(change_members(None)), false),
        ),
        (
            "brought-tenants".into(),
            Body::Submit(SubsystemEntry::Tenants(Box::new(tenant_change())), true),
        ),
    ]);
    let copies = |(name, body)| (format!("copies-{name}"), Body::Replication(body));
    bodies.extend(replication_bodies().into_iter().map(copies));
    bodies
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value can be encoded")
}

/// Encodes each value, compares it with its recorded bytes and decodes it again.
fn check_encoded<T>(file: &str, values: &[(String, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let lines: Vec<String> = values
        .iter()
        .map(|(name, value)| hex_line(name, &encoded(value)))
        .collect();
    check_lines(file, &lines);
    for (name, value) in values {
        let read: T = postcard::from_bytes(&encoded(value)).expect("recorded bytes can be read");
        assert_eq!(read, *value, "{name}");
    }
}

fn named<T>(values: Vec<(&str, T)>) -> Vec<(String, T)> {
    values
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// Both ends of a connection that `alpha` opens to `beta`.
fn open_sessions() -> (Session, Session) {
    let accepted = challenge(BETA, 0x0b0b, 5);
    let mut connector = Session::connector(ALPHA, BETA, challenge(ALPHA, 0x0a0a, 4));
    let taken = connector
        .read_frame(&shared_keys(), &accepted)
        .expect("the challenge is accepted");
    assert_eq!(taken, Some((accepted.len(), None)));
    (connector, Session::acceptor(BETA, accepted))
}

#[test]
fn consensus_bodies_match_their_recorded_bytes() {
    check_encoded("wire/council_bodies.txt", &bodies());
}

#[test]
fn log_entries_match_their_recorded_bytes() {
    check_encoded("wire/log_entries.txt", &named(entries()));
}

#[test]
fn state_snapshot_matches_its_recorded_bytes() {
    check_encoded("wire/state_snapshot.txt", &[("state".to_owned(), state())]);
    assert_eq!(
        State::decode(&encoded(&state())).expect("a snapshot can be read"),
        state()
    );
}

#[test]
fn load_coordination_messages_match_their_recorded_bytes() {
    let words = vec![
        ("wants", LoadMessage::Request(7, 0x0123_4567_89ab_cdef)),
        ("ended", LoadMessage::Ended(7, 0x0123_4567_89ab_cdef, 2)),
        (
            "orders",
            LoadMessage::Assigned(7, 0x0123_4567_89ab_cdef, BETA.into()),
        ),
        ("stands", LoadMessage::Resident(7, 0x0123_4567_89ab_cdef, 3)),
    ];
    check_encoded("wire/load_duty_words.txt", &named(words));
}

#[test]
fn sealed_frames_match_their_recorded_bytes() {
    let keys = shared_keys();
    let (mut connector, mut acceptor) = open_sessions();
    let mut lines = Vec::new();
    for (name, body) in bodies() {
        let frame = connector
            .seal_frame(&keys, &body)
            .expect("the session is open");
        lines.push(hex_line(&name, &frame));
        assert_eq!(
            acceptor.read_frame(&keys, &frame),
            Ok(Some((frame.len(), Some(body.clone())))),
            "{name}"
        );
        let reply = acceptor
            .seal_frame(&keys, &body)
            .expect("the session is open");
        lines.push(hex_line(&format!("{name}-back"), &reply));
        assert_eq!(
            connector.read_frame(&keys, &reply),
            Ok(Some((reply.len(), Some(body)))),
            "{name}"
        );
    }
    check_lines("wire/council_frames.txt", &lines);
}

#[test]
fn signed_frame_matches_its_recorded_bytes() {
    let (mut connector, mut acceptor) = open_sessions();
    let body = Body::Effect(effect());
    let frame = connector
        .seal_frame(&own_keys(ALPHA), &body)
        .expect("the session is open");
    check_lines(
        "wire/council_frame_signed.txt",
        &[hex_line("effect", &frame)],
    );
    assert_eq!(
        acceptor.read_frame(&own_keys(BETA), &frame),
        Ok(Some((frame.len(), Some(body))))
    );
}
