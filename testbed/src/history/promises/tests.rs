//! Tests of `history::promises`.

use super::*;

fn led(process: u64, epoch: u64, number: u64) -> (String, u64, CopyNote) {
    (
        "g".into(),
        process,
        CopyNote::Led {
            shard: 1,
            epoch,
            number,
            chain: 0,
            members: Vec::new(),
        },
    )
}

fn promised(epoch: u64, number: u64, chain: u64) -> (String, u64, CopyNote) {
    (
        "g".into(),
        1,
        CopyNote::Promised {
            shard: 1,
            epoch,
            number,
            chain,
            disks: 2,
        },
    )
}

fn violations(notes: &[(String, u64, CopyNote)]) -> Vec<Violation> {
    check(
        notes,
        &BTreeMap::new(),
        &BTreeMap::new(),
        &BTreeMap::new(),
        &[],
    )
    .1
}

#[test]
fn each_violation_is_reported() {
    assert_eq!(
        violations(&[
            led(1, 1, 0),
            promised(1, 1, 7),
            led(2, 2, 1),
            promised(2, 1, 7)
        ]),
        []
    );
    assert_eq!(
        violations(&[led(1, 1, 0), led(2, 1, 0)]),
        [Violation::TwoLed { shard: 1, epoch: 1 }]
    );
    assert_eq!(
        violations(&[promised(1, 1, 7), promised(2, 1, 8)]),
        [Violation::TwoPromised {
            shard: 1,
            number: 1
        }]
    );
    let gone = Violation::Gone {
        shard: 1,
        number: 2,
        epoch: 2,
    };
    assert_eq!(
        violations(&[promised(1, 1, 7), promised(1, 2, 8), led(2, 2, 1)]),
        [gone]
    );
    let told = [
        ("a", READ_CLASS, 202),
        ("b", NON_IDEMPOTENT_CLASS, 202),
        ("c", NON_IDEMPOTENT_CLASS, 503),
    ];
    let told = told
        .map(|(id, class, status)| (id.to_owned(), (class.to_owned(), status)))
        .into();
    let outcomes = [("a".to_owned(), "served".to_owned())].into();
    let runs = [(("x".to_owned(), NON_IDEMPOTENT_CLASS.to_owned()), 2)].into();
    let portal = [("c".to_owned(), true), ("c".to_owned(), true)];
    let (counts, wrong) = check(&[], &told, &outcomes, &runs, &portal);
    assert_eq!((counts.calls, counts.refused), (2, 1));
    assert_eq!(
        wrong,
        [
            Violation::NoCallback { call: "a".into() },
            Violation::NoEnd { call: "b".into() },
            Violation::CallbackTwice {
                call: "c".into(),
                times: 2
            },
            Violation::RanTwice {
                call: format!("{NON_IDEMPOTENT_CLASS} x"),
                times: 2
            },
        ]
    );
}
