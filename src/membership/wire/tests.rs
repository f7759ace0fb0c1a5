//! Tests of `membership::wire`.

use super::super::keys::tests::each;
use super::*;
use proptest::prelude::*;

const NOW: Micros = 1_000_000_000;

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn ping(keys: &Keys) -> Message {
    let records = vec![seal_record(keys, "a", address(1), 5, false)];
    let accusations = vec![seal_accusation(keys, "b", 3, "a")];
    Message {
        kind: MessageKind::Ping(7, "b".into()),
        records,
        accusations,
    }
}

fn sighting(keys: &Keys) -> SealedObservation {
    let o = Observation {
        at: NOW,
        answered: 1,
        failed: 2,
        silent: 3,
        refused: 4,
    };
    seal_observation(keys, "a", NOW, vec![(WorkerId(9), o)])
}

fn packed(keys: &Keys, number: u64) -> Vec<u8> {
    let mut one = Some(sighting(keys));
    pack(keys, "a", number, NOW, &ping(keys), MTU, |_| one.take()).unwrap()
}

#[test]
fn datagram_is_accepted_once_and_while_fresh() {
    let (a, b) = (each(0, 2), each(1, 2));
    let mut opener = Decoder::default();
    let bytes = packed(&a, 10);
    let opened = opener.open(&b, NOW + 5, &bytes, |_| false).unwrap();
    assert_eq!((opened.from.as_str(), &opened.message), ("a", &ping(&a)));
    assert_eq!(
        (opened.observations, opened.refused),
        (vec![sighting(&a)], 0)
    );
    assert_eq!(
        opener.open(&b, NOW + 6, &bytes, |_| false).unwrap_err(),
        DatagramError::Replayed
    );
    assert!(
        opener.open(&b, NOW, &packed(&a, 9), |_| false).is_ok(),
        "delivered out of order"
    );
    assert!(opener.open(&b, NOW, &packed(&a, 500), |_| false).is_ok());
    assert_eq!(
        opener
            .open(&b, NOW, &packed(&a, 11), |_| false)
            .unwrap_err(),
        DatagramError::Replayed,
        "below the window"
    );
    for late in [NOW + SKEW + 1, NOW - SKEW - 1] {
        assert_eq!(
            opener
                .open(&b, late, &packed(&a, 501), |_| false)
                .unwrap_err(),
            DatagramError::Stale
        );
    }
    assert_eq!(
        opener
            .open(&each(0, 1), NOW, &packed(&b, 1), |_| false)
            .unwrap_err(),
        DatagramError::Seal
    );
    assert_eq!(
        opener.open(&b, NOW, &[0; MTU + 1], |_| false).unwrap_err(),
        DatagramError::TooLong
    );
    assert_eq!(opener.refused["replayed"], 2);
}

#[test]
fn forged_items_and_datagrams_are_rejected() {
    let (a, b) = (each(0, 3), each(1, 3));
    // `b` forges a record, an accusation and an observation by `a`, and a whole datagram from `a`.
    let records = vec![Record {
        name: "a".into(),
        ..seal_record(&b, "b", address(2), 99, false)
    }];
    let accusations = vec![Suspicion {
        by: "a".into(),
        ..seal_accusation(&b, "c", 1, "b")
    }];
    let message = Message {
        kind: MessageKind::Sync(false),
        records,
        accusations,
    };
    let mut forged = Some(SealedObservation {
        origin: "a".into(),
        ..sighting(&b)
    });
    let bytes = pack(&b, "b", 1, NOW, &message, MTU, |_| forged.take()).unwrap();
    let opened = Decoder::default().open(&a, NOW, &bytes, |_| false).unwrap();
    assert_eq!(opened.refused, 3);
    assert!(
        opened.message.records.is_empty()
            && opened.message.accusations.is_empty()
            && opened.observations.is_empty()
    );
    let bytes = pack(&b, "a", 1, NOW, &message, MTU, |_| None).unwrap();
    assert_eq!(
        Decoder::default()
            .open(&each(2, 3), NOW, &bytes, |_| false)
            .unwrap_err(),
        DatagramError::Seal
    );
}

#[test]
fn other_version_is_rejected_and_unknown_fields_pass() {
    let (a, b) = (each(0, 2), each(1, 2));
    let mut e = Envelope::decode(&packed(&a, 1)[..]).unwrap();
    e.version = 2;
    e.seal = a.seal(ENVELOPE, &envelope_content(&e));
    let mut opener = Decoder::default();
    assert_eq!(
        opener
            .open(&b, NOW, &e.encode_to_vec(), |_| false)
            .unwrap_err(),
        DatagramError::Version
    );
    let mut e = Envelope::decode(&packed(&a, 1)[..]).unwrap();
    // Field 99, a varint, at the end of the body.
    e.body.extend([0x98, 0x06, 0x01]);
    e.seal = a.seal(ENVELOPE, &envelope_content(&e));
    assert!(opener.open(&b, NOW, &e.encode_to_vec(), |_| false).is_ok());
}

proptest! {
    /// Random bytes cause no panic, and a datagram with a flipped bit is rejected.
    #[test]
    fn damaged_datagrams_are_rejected(noise in prop::collection::vec(any::<u8>(), 0..1300), at in any::<usize>(), bit in 0u8..8) {
        let (a, b) = (each(0, 2), each(1, 2));
        let mut opener = Decoder::default();
        let _ = opener.open(&b, NOW, &noise, |_| false);
        let mut bytes = packed(&a, 1);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(opener.open(&b, NOW, &bytes, |_| false).is_err());
    }

    /// A datagram never exceeds the requested size, whatever its contents.
    #[test]
    fn items_that_do_not_fit_are_omitted(max_bytes in 0usize..MTU, n in 0usize..40) {
        let a = each(0, 2);
        let records = (0..n).map(|i| seal_record(&a, &format!("member-{i}"), address(1), 5, false)).collect();
        let message = Message { kind: MessageKind::Sync(true), records, accusations: Vec::new() };
        let bytes = pack(&a, "a", 1, NOW, &message, max_bytes, |left| (left > 200).then(|| sighting(&a)));
        prop_assert!(bytes.is_none_or(|b| b.len() <= max_bytes));
    }
}
