//! Membership datagrams, sealed with shared keys and with a key pair per gateway.

use molelug::api::{Micros, WorkerId};
use molelug::membership::keys::Keys;
use molelug::membership::observations::Observation;
use molelug::membership::swim::{Message, MessageKind};
use molelug::membership::wire::{
    pack, seal_accusation, seal_observation, seal_record, Decoder, SealedObservation, MTU,
};

use crate::fixtures::check_lines;
use crate::hex::hex_line;
use crate::{own_keys, shared_keys, ALPHA, BETA};

/// The time at which all datagrams are sent.
const NOW: Micros = 1_700_000_000_000_000;

fn says() -> Vec<(&'static str, MessageKind)> {
    vec![
        ("ping", MessageKind::Ping(7, BETA.into())),
        ("ack", MessageKind::Ack(7)),
        ("ping-for", MessageKind::PingRequest(8, "gamma".into())),
        ("nack", MessageKind::Nack(8)),
        ("sync", MessageKind::Sync(false)),
        ("sync-wants-answer", MessageKind::Sync(true)),
    ]
}

fn message(keys: &Keys, say: MessageKind) -> Message {
    let address = "[2001:db8::7]:7946".parse().expect("an address");
    let records = vec![
        seal_record(keys, ALPHA, address, 5, false),
        seal_record(keys, ALPHA, ([192, 0, 2, 1], 7946).into(), 6, true),
    ];
    Message {
        kind: say,
        records,
        accusations: vec![seal_accusation(keys, BETA, 3, ALPHA)],
    }
}

fn sighting(keys: &Keys) -> SealedObservation {
    let seen = |answered| Observation {
        at: NOW,
        answered,
        failed: 2,
        silent: 300,
        refused: 4,
    };
    seal_observation(
        keys,
        ALPHA,
        NOW,
        vec![
            (WorkerId(9), seen(1)),
            (WorkerId(0x00c4_1f7a), seen(70_000)),
        ],
    )
}

fn check_datagrams(file: &str, sender: &Keys, receiver: &Keys) {
    let mut opener = Decoder::default();
    let mut lines = Vec::new();
    for (number, (name, say)) in (1..).zip(says()) {
        let message = message(sender, say);
        let mut sightings = vec![sighting(sender)];
        let datagram = pack(sender, ALPHA, number, NOW, &message, MTU, |_| {
            sightings.pop()
        });
        let datagram = datagram.expect("it fits one datagram");
        lines.push(hex_line(name, &datagram));
        let opened = opener
            .open(receiver, NOW, &datagram, |_| false)
            .expect("it can be opened");
        assert_eq!(opened.from, ALPHA);
        assert_eq!((opened.message, opened.refused), (message, 0), "{name}");
        assert_eq!(opened.observations, [sighting(sender)], "{name}");
    }
    check_lines(file, &lines);
}

#[test]
fn datagrams_match_their_recorded_bytes() {
    check_datagrams(
        "wire/datagrams_shared_keys.txt",
        &shared_keys(),
        &shared_keys(),
    );
}

#[test]
fn signed_datagrams_match_their_recorded_bytes() {
    check_datagrams(
        "wire/datagrams_own_keys.txt",
        &own_keys(ALPHA),
        &own_keys(BETA),
    );
}

#[test]
fn seals_match_their_recorded_bytes() {
    let mut lines = Vec::new();
    for purpose in 1..=5 {
        let content = b"a content";
        let shared = shared_keys().seal(purpose, content);
        assert!(shared_keys().check(ALPHA, purpose, content, &shared));
        lines.push(hex_line(&format!("shared-{purpose}"), &shared));
        let own = own_keys(ALPHA).seal(purpose, content);
        assert!(own_keys(BETA).check(ALPHA, purpose, content, &own));
        lines.push(hex_line(&format!("own-{purpose}"), &own));
    }
    check_lines("wire/seals.txt", &lines);
}
