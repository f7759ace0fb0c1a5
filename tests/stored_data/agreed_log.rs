//! The consensus log as postcard: entries, snapshots of all versions, and the records on a voter's
//! disk.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use molelug::consensus::peer_memory::KnownState;
use molelug::consensus::persistent_state::{
    DamagedState, HardState, LogEntry, Metadata, PersistentState, Record, Snapshot,
};
use molelug::consensus::state::{Entry, State, SubsystemEntry};
use molelug::consensus::voter::{DisabledVoterGuards, Identity, Settings, Voter};
use molelug::consensus::wire::{challenge, LeaseEffect, LeaseReport, Poll};
use molelug::consensus::{bootstrap_replica_id, ReplicaId};
use molelug::lease::fence::Fence;
use molelug::lease::renewal::{RenewReply, RenewRequest};
use molelug::lease::table::{self, LeaseTable};
use molelug::lease::{LeaseHolder, LeaseName};
use molelug::load_coordination::LoadMessage;
use molelug::replication::placement::{replica_order, Host};
use molelug::replication::replica_sets::{self, Disk, MembershipChange, ReplicaSet, ReplicaSets};
use molelug::replication::{shard_of, Epoch, LogPosition, Name, ShardId};
use molelug::tenancy::replicated::state as tenants;
use molelug::tenancy::replicated::Origin;

use crate::pins::RecordedValues;

fn holder(name: &str) -> LeaseHolder {
    LeaseHolder {
        name: name.into(),
        incarnation: 77,
    }
}

fn lease_name() -> LeaseName {
    "loads-3".into()
}

fn names(of: &[&str]) -> BTreeSet<Name> {
    of.iter().map(|name| Name::from(*name)).collect()
}

fn voters() -> BTreeMap<ReplicaId, Arc<str>> {
    [(11, "n1".into()), (12, "n2".into()), (13, "n3".into())].into()
}

fn disk() -> Disk {
    Disk {
        id: 501,
        incarnation: 2,
        process: 9001,
    }
}

fn grant() -> table::Entry {
    table::Entry::Grant {
        lease: lease_name(),
        holder: holder("n2"),
        term: 1,
    }
}

fn released() -> table::Entry {
    table::Entry::Released {
        lease: lease_name(),
        term: 1,
    }
}

fn register_disk() -> replica_sets::Entry {
    replica_sets::Entry::RegisterDisk {
        name: "n1".into(),
        disk: disk(),
    }
}

fn legacy_change() -> replica_sets::Entry {
    let members = names(&["n1", "n2"]);
    replica_sets::Entry::LegacyChange {
        shard: 3,
        previous_epoch: 0,
        proposer: "n4".into(),
        primary: "n1".into(),
        process: 9001,
        members,
    }
}

fn change_members(joins: Option<(Name, u64)>) -> replica_sets::Entry {
    let (by, primary) = ("n4".into(), "n1".into());
    let members = names(&["n1", "n2", "n5"]);
    replica_sets::Entry::ChangeMembers(MembershipChange {
        shard: 3,
        previous_epoch: 6,
        proposer: by,
        primary,
        process: 9001,
        members,
        joining: joins,
    })
}

fn tenant_answer() -> tenants::Answer {
    tenants::Answer {
        key: [0xa1; 32],
        request: [0xb2; 32],
        bytes: b"201".to_vec(),
    }
}

fn tenant_entry(kept: Option<&[u8]>, follows: tenants::Follows) -> tenants::Entry {
    tenants::Entry {
        tenant: "clinic".into(),
        follows,
        by: "n2".into(),
        origin: Origin {
            process: 9002,
            number: 3,
        },
        kept: kept.map(<[u8]>::to_vec),
        listed: true,
        answer: kept.map(|_| tenant_answer()),
    }
}

fn tenant_put() -> tenants::Entry {
    tenant_entry(Some(b"{}"), tenants::Follows::Nothing(0))
}

fn lease_table() -> LeaseTable {
    let mut lease_table = LeaseTable::default();
    assert!(lease_table.apply(&grant()));
    assert!(lease_table.apply(&table::Entry::Grant {
        lease: "loads-4".into(),
        holder: holder("n1"),
        term: 1
    }));
    assert!(lease_table.apply(&table::Entry::Released {
        lease: "loads-4".into(),
        term: 1
    }));
    lease_table
}

fn replica_set() -> ReplicaSet {
    ReplicaSet {
        epoch: 6,
        primary: Some("n1".into()),
        process: 9001,
        members: names(&["n1", "n2"]),
        former_members: [("n3".into(), 5)].into(),
        full_size: 3,
    }
}

fn state() -> State {
    let line = |version, kept: Option<&[u8]>, listed| tenants::Line {
        version,
        kept: kept.map(<[u8]>::to_vec),
        listed,
    };
    State {
        generation: 2,
        applied: 256,
        voters: voters(),
        leases: lease_table(),
        replica_sets: ReplicaSets {
            disks: [("n1".into(), disk())].into(),
            shards: [(3, replica_set())].into(),
        },
        tenants: tenants::Tenants {
            changes: 5,
            removals: 1,
            lines: [
                ("clinic".into(), line(4, Some(b"{}"), false)),
                ("gone".into(), line(5, None, true)),
            ]
            .into(),
            recent: VecDeque::from([(
                Origin {
                    process: 9002,
                    number: 3,
                },
                4,
            )]),
            answers: VecDeque::from([tenant_answer()]),
        },
    }
}

#[test]
fn log_entries_encode_as_before() {
    let mut recorded = RecordedValues::load("agreed-entries.txt");
    recorded.postcard("nothing", &Entry::Noop);
    recorded.postcard("duty granted", &Entry::Lease(grant()));
    recorded.postcard("duty given back", &Entry::Lease(released()));
    recorded.postcard("voters", &Entry::Voters(voters()));
    recorded.postcard("disk begun", &Entry::ReplicaSets(register_disk()));
    recorded.postcard("shard changed", &Entry::ReplicaSets(legacy_change()));
    recorded.postcard("shard moved", &Entry::ReplicaSets(change_members(None)));
    recorded.postcard(
        "shard moved to a further disk",
        &Entry::ReplicaSets(change_members(Some(("n5".into(), 502)))),
    );
    recorded.postcard("tenant put", &Entry::Tenants(Box::new(tenant_put())));
    let removed = tenant_entry(None, tenants::Follows::At(4));
    recorded.postcard("tenant removed", &Entry::Tenants(Box::new(removed.clone())));
    recorded.postcard(
        "brought by shards",
        &SubsystemEntry::ReplicaSets(register_disk()),
    );
    recorded.postcard(
        "brought by tenants",
        &SubsystemEntry::Tenants(Box::new(removed)),
    );
    recorded.finish();
}

#[test]
fn lease_messages_encode_as_before() {
    let mut recorded = RecordedValues::load("duty-messages.txt");
    let ask = RenewRequest {
        from: holder("n2"),
        sequence: 31,
        eligible: true,
        held: vec![(lease_name(), 5)],
        released: vec![("loads-4".into(), 6)],
    };
    recorded.postcard("ask", &ask);
    let (renewed, recalled) = (vec![(lease_name(), 5)], vec![("loads-4".into(), 6)]);
    recorded.postcard(
        "answer",
        &RenewReply {
            to: holder("n2"),
            sequence: 31,
            renewed,
            recalled,
        },
    );
    let mut fence = Fence::default();
    assert_eq!(fence.admit(&lease_name(), 5), Ok(true));
    recorded.postcard("fence", &fence);
    recorded.postcard("load wanted", &LoadMessage::Request(7, 1001));
    recorded.postcard("load ended", &LoadMessage::Ended(7, 1001, 2));
    recorded.postcard("load ordered", &LoadMessage::Assigned(7, 1001, "n2".into()));
    recorded.postcard("load stands", &LoadMessage::Resident(7, 1001, 3));
    let (from, content) = (Arc::from("n2"), b"content".to_vec());
    recorded.postcard(
        "report",
        &LeaseReport {
            lease: lease_name(),
            from,
            content: content.clone(),
        },
    );
    recorded.postcard(
        "effect",
        &LeaseEffect {
            lease: lease_name(),
            term: 5,
            holder: "n2".into(),
            number: 9,
            content,
        },
    );
    recorded.postcard(
        "poll",
        &Poll {
            generation: 2,
            applied: 256,
            effects: (9001, 8),
            replica: Some(13),
        },
    );
    recorded.postcard("poll without seat", &Poll::default());
    recorded.finish();
}

/// The layout of the state in versions without shards.
type StateWithoutShards = (u32, u64, BTreeMap<ReplicaId, Arc<str>>, LeaseTable);
/// The layout of the shards in versions without former members.
type ShardsWithoutFormer = BTreeMap<ShardId, (Epoch, Option<Name>, u64, BTreeSet<Name>)>;
/// The layout of the state in versions without tenants.
type StateWithoutTenants = (
    u32,
    u64,
    BTreeMap<ReplicaId, Arc<str>>,
    LeaseTable,
    (BTreeMap<Name, Disk>, ShardsWithoutFormer),
);

#[test]
fn snapshots_of_all_versions_are_read() {
    let now = state();
    let mut recorded = RecordedValues::load("agreed-state.txt");
    recorded.postcard("state", &now);
    let head = (
        now.generation,
        now.applied,
        now.voters.clone(),
        now.leases.clone(),
    );
    let first: StateWithoutShards = head.clone();
    recorded.postcard("state without shards", &first);
    let shards = [(3, (6, Some("n1".into()), 9001, names(&["n1", "n2"])))].into();
    let second: StateWithoutTenants = (
        head.0,
        head.1,
        head.2,
        head.3,
        (now.replica_sets.disks.clone(), shards),
    );
    recorded.postcard("state without tenants", &second);
    recorded.finish();

    let encoded =
        |bytes: Result<Vec<u8>, _>| State::decode(&bytes.expect("the value can be encoded"));
    assert_eq!(encoded(postcard::to_stdvec(&now)), Ok(now.clone()));
    let without_tenants = State {
        tenants: tenants::Tenants::default(),
        ..now.clone()
    };
    let set = ReplicaSet {
        former_members: BTreeMap::new(),
        full_size: 0,
        ..replica_set()
    };
    let sets = ReplicaSets {
        shards: [(3, set)].into(),
        ..now.replica_sets.clone()
    };
    assert_eq!(
        encoded(postcard::to_stdvec(&second)),
        Ok(State {
            replica_sets: sets,
            ..without_tenants.clone()
        })
    );
    let without_shards = State {
        replica_sets: ReplicaSets::default(),
        ..without_tenants
    };
    assert_eq!(encoded(postcard::to_stdvec(&first)), Ok(without_shards));
}

/// The metadata of a single voter, which becomes leader and applies entries without peers.
fn metadata() -> Metadata {
    let alone = State {
        voters: [(11, "n1".into())].into(),
        ..state()
    };
    let snapshot = postcard::to_stdvec(&alone).expect("the value can be encoded");
    Metadata {
        replica: 11,
        boots: 4,
        retired: None,
        hard_state: HardState {
            term: 8,
            vote: 11,
            commit: 258,
        },
        voters: vec![11],
        snapshot: Snapshot {
            index: 256,
            term: 7,
            voters: vec![11],
            data: snapshot,
        },
    }
}

fn lines() -> Vec<LogEntry> {
    let line = |index, entry: &Entry| LogEntry {
        index,
        term: 8,
        is_conf_change: false,
        data: postcard::to_stdvec(entry).expect("the value can be encoded"),
        context: Vec::new(),
    };
    let removed = tenant_entry(None, tenants::Follows::At(4));
    vec![
        line(257, &Entry::Lease(released())),
        line(258, &Entry::Tenants(Box::new(removed))),
    ]
}

/// The stored record of a voter: a snapshot and the entries after it.
pub fn voter_record() -> Record {
    Record {
        metadata: Some(metadata()),
        entries: lines(),
        compact_before: None,
        reset: false,
    }
}

#[test]
fn voter_records_encode_as_before() {
    let mut recorded = RecordedValues::load("voter-records.txt");
    recorded.postcard("record", &voter_record());
    let retired = Some("its disk is an older one".to_owned());
    recorded.postcard(
        "retired head",
        &Metadata {
            retired,
            ..metadata()
        },
    );
    let context = postcard::to_stdvec(&Entry::Voters(voters())).expect("the value can be encoded");
    recorded.postcard(
        "change of voters",
        &LogEntry {
            index: 9,
            term: 3,
            is_conf_change: true,
            data: vec![1, 2],
            context,
        },
    );
    recorded.postcard(
        "record that drops",
        &Record {
            compact_before: Some(200),
            reset: true,
            ..Record::default()
        },
    );
    recorded.postcard(
        "known",
        &KnownState {
            boots: 4,
            process: 9001,
            term: 8,
            acknowledged: (8, 258),
        },
    );
    recorded.finish();
}

/// A new process starts with the voter state that an earlier process stored.
#[test]
fn voter_restores_its_state_from_stored_log() {
    let bytes = crate::fixture::read_text("voter-records.txt");
    let hex = bytes
        .lines()
        .find_map(|line| line.strip_prefix("record: "))
        .expect("the record");
    let record: Record =
        postcard::from_bytes(&crate::pins::from_hex(hex)).expect("the bytes can be decoded");
    let cut = PersistentState::from_disk(record.metadata.clone(), record.entries[..1].to_vec());
    assert_eq!(
        cut,
        Err(DamagedState::Truncated {
            last: 257,
            committed: 258
        })
    );
    let kept =
        PersistentState::from_disk(record.metadata, record.entries).expect("the log is whole");
    assert_eq!((kept.last(), kept.len()), (258, 2));

    let voter = Voter::new(
        Settings::default(),
        kept,
        Identity {
            process: 9001,
            seed: 1,
        },
        0,
        DisabledVoterGuards::default(),
    )
    .expect("the voter starts");
    assert_eq!((voter.replica(), voter.boots(), voter.term()), (11, 5, 8));
    let state = voter.state();
    assert_eq!((state.applied, state.generation), (258, 2));
    assert_eq!(
        state.leases.record(&lease_name()).holder,
        None,
        "entry 257 releases the lease"
    );
    assert_eq!(
        state.tenants.lines["clinic"].kept, None,
        "entry 258 removes the tenant"
    );
    assert_eq!(state.replica_sets.replica_set(3), replica_set());
}

#[test]
fn derived_identities_and_digests_are_unchanged() {
    let mut recorded = RecordedValues::load("derived.txt");
    recorded.line("founder's seat", &bootstrap_replica_id(2, "n1").to_string());
    recorded.bytes("connection's word", &challenge("n1", 9001, 3));
    let first = LogPosition::default().advance(b"record");
    recorded.postcard("place of a first record", &first);
    recorded.postcard("place of a second record", &first.advance(b"another"));
    let mark = molelug::front::webhook::replay::identity_digest("clinic", "call-1");
    recorded.bytes("mark of a call", &mark);
    recorded.line("shard of a mark", &shard_of(&mark, 64).to_string());
    let host = |at: u32| Host {
        name: format!("n{at}").into(),
        hall: Some(format!("hall-{}", at % 3)),
    };
    let hosts: Vec<Host> = (1..=7).map(host).collect();
    for shard in [1, 2, 3, 64] {
        recorded.line(
            &format!("hosts of shard {shard}"),
            &replica_order(shard, &hosts).join(" "),
        );
    }
    recorded.finish();
}
