//! One history event of each kind as JSON: the `note` field of a history line, which checkers read.

use std::sync::Arc;

use molelug::consensus::participant;
use molelug::lease::LeaseHolder;
use molelug::replication;
use molelug::tenancy::replicated;

use crate::pins::RecordedValues;

#[test]
fn consensus_history_events_are_written_as_before() {
    use participant::HistoryEvent;
    let loads_lease: Arc<str> = "loads-3".into();
    let n2_holder = LeaseHolder {
        name: "n2".into(),
        incarnation: 77,
    };
    let mut recorded = RecordedValues::load("history-council.txt");
    let agreed = |n2_holder| HistoryEvent::Agreed {
        index: 12,
        lease: loads_lease.clone(),
        term: 5,
        holder: n2_holder,
    };
    recorded.json("agreed", &agreed(Some(n2_holder)));
    recorded.json("agreed without owner", &agreed(None));
    recorded.json("restored", &HistoryEvent::Restored { index: 256 });
    recorded.json(
        "began",
        &HistoryEvent::LeaseAcquired {
            lease: loads_lease.clone(),
            term: 5,
        },
    );
    recorded.json(
        "ended",
        &HistoryEvent::LeaseLost {
            lease: loads_lease.clone(),
            term: 6,
        },
    );
    recorded.json(
        "acted",
        &HistoryEvent::EffectCreated {
            lease: loads_lease.clone(),
            term: 5,
            number: 9,
        },
    );
    recorded.json(
        "sent",
        &HistoryEvent::Sent {
            lease: loads_lease.clone(),
            term: 5,
            number: 10,
        },
    );
    recorded.json(
        "accepted",
        &HistoryEvent::Accepted {
            lease: loads_lease.clone(),
            term: 5,
            holder: "n2".into(),
            number: 11,
        },
    );
    let rejection = "term 4 is over".to_owned();
    recorded.json(
        "refused",
        &HistoryEvent::Rejected {
            lease: loads_lease.clone(),
            term: 4,
            holder: "n1".into(),
            number: 3,
            reason: rejection,
        },
    );
    recorded.json(
        "taken back",
        &HistoryEvent::Withdrawn {
            lease: loads_lease,
            term: 5,
            number: 12,
        },
    );
    recorded.json("leads", &HistoryEvent::BecameLeader { term: 8 });
    recorded.json("follows", &HistoryEvent::LostLeadership);
    recorded.json(
        "retired",
        &HistoryEvent::Retired {
            reason: "its disk is an older one".into(),
        },
    );
    recorded.finish();
}

#[test]
fn replication_history_events_are_written_as_before() {
    use replication::history::{short_digest, HistoryEvent};
    let members = || vec!["n1".into(), "n2".into(), "n3".into()];
    let mut recorded = RecordedValues::load("history-replication.txt");
    recorded.json(
        "led",
        &HistoryEvent::BecamePrimary {
            shard: 3,
            epoch: 7,
            number: 41,
            chain: 900,
            members: members(),
        },
    );
    recorded.json("rested", &HistoryEvent::SteppedDown { shard: 3, epoch: 7 });
    recorded.json(
        "promised",
        &HistoryEvent::Committed {
            shard: 3,
            epoch: 7,
            number: 42,
            chain: 901,
            disks: 2,
        },
    );
    recorded.json(
        "stored",
        &HistoryEvent::Stored {
            shard: 3,
            epoch: 7,
            number: 43,
            chain: 902,
        },
    );
    recorded.json(
        "installed",
        &HistoryEvent::Installed {
            shard: 3,
            number: 44,
            chain: 903,
        },
    );
    recorded.json(
        "damaged",
        &HistoryEvent::Damaged {
            shard: 3,
            ranges: vec![0, 15],
        },
    );
    recorded.json(
        "waits",
        &HistoryEvent::WaitingForReplica {
            shard: 3,
            members: members(),
        },
    );
    recorded.json(
        "mended",
        &HistoryEvent::Repaired {
            shard: 3,
            accepted: true,
        },
    );
    recorded.json(
        "declined",
        &HistoryEvent::Declined {
            shard: 3,
            theirs: 6,
            ours: 7,
        },
    );
    recorded.json("recalled", &HistoryEvent::RecoveredFromFormer { shard: 3 });
    recorded.json("lost", &HistoryEvent::DataLost { shard: 4 });
    let chain: replication::ChainDigest = std::array::from_fn(|at| at as u8);
    recorded.line(
        "digest cut to eight bytes",
        &short_digest(&chain).to_string(),
    );
    recorded.finish();
}

#[test]
fn tenancy_history_events_are_written_as_before() {
    use replicated::history::{digest, HistoryEvent};
    let adopted = |digest| HistoryEvent::Adopted {
        tenant: "clinic".into(),
        version: 4,
        digest,
    };
    let mut recorded = RecordedValues::load("history-tenancy.txt");
    recorded.json("begun", &HistoryEvent::Begun);
    recorded.json("adopted", &adopted(Some(digest(b"a tenant"))));
    recorded.json("adopted as removed", &adopted(None));
    recorded.json(
        "told",
        &HistoryEvent::Told {
            tenant: "clinic".into(),
            version: 4,
        },
    );
    recorded.finish();
}
