//! Notes of histories, one of each kind, as checkers read them: the JSON of `note` in each line.

use std::sync::Arc;

use molelug::consensus::participant;
use molelug::lease::LeaseHolder;
use molelug::replication;
use molelug::tenancy::replicated;

use crate::pins::Pins;

#[test]
fn council_notes_are_written_as_before() {
    use participant::HistoryEvent;
    let duty: Arc<str> = "loads-3".into();
    let owner = LeaseHolder {
        name: "n2".into(),
        incarnation: 77,
    };
    let mut pins = Pins::of("history-council.txt");
    let agreed = |owner| HistoryEvent::Agreed {
        index: 12,
        lease: duty.clone(),
        term: 5,
        holder: owner,
    };
    pins.json("agreed", &agreed(Some(owner)));
    pins.json("agreed without owner", &agreed(None));
    pins.json("restored", &HistoryEvent::Restored { index: 256 });
    pins.json(
        "began",
        &HistoryEvent::LeaseAcquired {
            lease: duty.clone(),
            term: 5,
        },
    );
    pins.json(
        "ended",
        &HistoryEvent::LeaseLost {
            lease: duty.clone(),
            term: 6,
        },
    );
    pins.json(
        "acted",
        &HistoryEvent::EffectCreated {
            lease: duty.clone(),
            term: 5,
            number: 9,
        },
    );
    pins.json(
        "sent",
        &HistoryEvent::Sent {
            lease: duty.clone(),
            term: 5,
            number: 10,
        },
    );
    pins.json(
        "accepted",
        &HistoryEvent::Accepted {
            lease: duty.clone(),
            term: 5,
            holder: "n2".into(),
            number: 11,
        },
    );
    let why = "term 4 is over".to_owned();
    pins.json(
        "refused",
        &HistoryEvent::Rejected {
            lease: duty.clone(),
            term: 4,
            holder: "n1".into(),
            number: 3,
            reason: why,
        },
    );
    pins.json(
        "taken back",
        &HistoryEvent::Withdrawn {
            lease: duty,
            term: 5,
            number: 12,
        },
    );
    pins.json("leads", &HistoryEvent::BecameLeader { term: 8 });
    pins.json("follows", &HistoryEvent::LostLeadership);
    pins.json(
        "retired",
        &HistoryEvent::Retired {
            reason: "its disk is an older one".into(),
        },
    );
    pins.finish();
}

#[test]
fn replication_notes_are_written_as_before() {
    use replication::history::{short_digest, HistoryEvent};
    let members = || vec!["n1".into(), "n2".into(), "n3".into()];
    let mut pins = Pins::of("history-replication.txt");
    pins.json(
        "led",
        &HistoryEvent::BecamePrimary {
            shard: 3,
            epoch: 7,
            number: 41,
            chain: 900,
            members: members(),
        },
    );
    pins.json("rested", &HistoryEvent::SteppedDown { shard: 3, epoch: 7 });
    pins.json(
        "promised",
        &HistoryEvent::Committed {
            shard: 3,
            epoch: 7,
            number: 42,
            chain: 901,
            disks: 2,
        },
    );
    pins.json(
        "stored",
        &HistoryEvent::Stored {
            shard: 3,
            epoch: 7,
            number: 43,
            chain: 902,
        },
    );
    pins.json(
        "installed",
        &HistoryEvent::Installed {
            shard: 3,
            number: 44,
            chain: 903,
        },
    );
    pins.json(
        "damaged",
        &HistoryEvent::Damaged {
            shard: 3,
            ranges: vec![0, 15],
        },
    );
    pins.json(
        "waits",
        &HistoryEvent::WaitingForReplica {
            shard: 3,
            members: members(),
        },
    );
    pins.json(
        "mended",
        &HistoryEvent::Repaired {
            shard: 3,
            accepted: true,
        },
    );
    pins.json(
        "declined",
        &HistoryEvent::Declined {
            shard: 3,
            theirs: 6,
            ours: 7,
        },
    );
    pins.json("recalled", &HistoryEvent::RecoveredFromFormer { shard: 3 });
    pins.json("lost", &HistoryEvent::DataLost { shard: 4 });
    let chain: replication::ChainDigest = std::array::from_fn(|at| at as u8);
    pins.line(
        "digest cut to eight bytes",
        &short_digest(&chain).to_string(),
    );
    pins.finish();
}

#[test]
fn tenancy_notes_are_written_as_before() {
    use replicated::history::{digest, HistoryEvent};
    let adopted = |digest| HistoryEvent::Adopted {
        tenant: "clinic".into(),
        version: 4,
        digest,
    };
    let mut pins = Pins::of("history-tenancy.txt");
    pins.json("begun", &HistoryEvent::Begun);
    pins.json("adopted", &adopted(Some(digest(b"a tenant"))));
    pins.json("adopted as removed", &adopted(None));
    pins.json(
        "told",
        &HistoryEvent::Told {
            tenant: "clinic".into(),
            version: 4,
        },
    );
    pins.finish();
}
